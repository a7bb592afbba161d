"""The command `olivecourse demo`, which runs a gateway with emulated stores on free loopback ports.

The emulated stores are the cache boxes of one office, a hub cache and an archive. The command prints a signed
link and an order to try with curl, and one line for each request at a store and each log line of the gateway.
"""

from __future__ import annotations

import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import deque
from pathlib import Path
from typing import Any

import click

from olivecourse.emulator.settings import settings
from olivecourse.emulator.stores import EmulatorLoop, Store
from olivecourse.fronts import tokens

OBJECT = "7f3a9c21e0b4d655"
CLASSES = [
    ("fichiers", 6000, "idempotent", False),
    ("pages", 2500, "idempotent", False),
    ("commande", 3000, "at_most_once", True),
]
KIND_BY_NAME = {"box": "petit", "hub": "parent", "archive": "origin"}
RESULT_TEXTS = {"HIT": "held it", "MISS": "did not hold it and filled it from"}


def _free_port() -> int:
    """Returns a TCP port of the loopback address that is free at the time of the call."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def _write_files(folder: Path, stores: list[Store], public: str, port: int) -> Path:
    """Writes the configuration files of the demo's gateway to `folder` and returns the path of the operator's
    file. The gateway listens on `port` and has the URL `public`.
    """
    (folder / "settings.json").write_text(json.dumps(settings(CLASSES)))
    inventory_rows = [
        f"{store.name},{store.address},{'praia' if store.name.startswith('box') else 'hub-nord'},"
        f"{KIND_BY_NAME[store.name.split('-')[0]]},8"
        for store in stores
    ]
    (folder / "stores.csv").write_text("\n".join(["name,address,zone,kind,size", *inventory_rows]) + "\n")
    secret = secrets.token_urlsafe(32)
    (folder / "keys.json").write_text(
        json.dumps({"demo": {"keys": [{"kty": "oct", "kid": "demo", "alg": "HS256", "k": secret}]}})
    )
    path = folder / "operator.yaml"
    path.write_text(
        f"name: demo\nlisten: 127.0.0.1:{port}\nsettings: settings.json\ninventory: stores.csv\n"
        f"signed: {{public: '{public}', keys: keys.json, leeway_s: 0}}\n"
        "memory: {folder: memory}\nstorms: {}\n"
    )
    return path


def _print_store_event(store: Store, request: str, word: str, fields: dict[str, str]) -> None:
    """Prints what an emulated store did with a request; `word` and `fields` are those of its answer."""
    target = f"{fields.get('sort', '?')} {fields.get('asset', '?')}"
    if word == "data" and fields.get("sort") == "commande":
        click.echo(f"  {store.name}: passed the order {request} on to {fields.get('fetch', 'the archive')}")
    elif word == "data":
        source = fields.get("fetch", "") if fields["n"] == "MISS" else ""
        click.echo(
            f"  {store.name}: {target}: {RESULT_TEXTS.get(fields['n'], fields['n'])} {source}".rstrip()
        )
    else:
        click.echo(f"  {store.name}: {target}: {word}")


def _format_log_line(line: dict[str, Any]) -> str:
    """Returns a parsed log line of the gateway as text for the terminal: the event name and the fields,
    without time and level.
    """
    omitted = ("event", "level", "timestamp", "gateway")
    fields = " ".join(f"{key}={value}" for key, value in line.items() if key not in omitted)
    return f"  gateway: {line['event']} {fields}"


@click.command()
@click.option("--seconds", type=click.FloatRange(0), default=None, help="Stop after this many seconds.")
def demo(seconds: float | None) -> None:
    """Start a gateway with one office of emulated stores, and print a link and an order to try with curl."""
    stores = [
        Store(store_name, holds_all=False) for store_name in ("box-1", "box-2", "box-3", "hub-1", "archive-1")
    ]
    world, port = EmulatorLoop(stores, _print_store_event), _free_port()
    public = f"http://127.0.0.1:{port}"
    log_lines: deque[dict[str, Any]] = deque(maxlen=1000)
    stop_signals: list[int] = []
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, lambda received, _: stop_signals.append(received))
    with tempfile.TemporaryDirectory() as folder:
        operator = _write_files(Path(folder), stores, public, port)
        command = [sys.executable, "-m", "olivecourse", "serve", "--operator", str(operator)]
        gateway = subprocess.Popen(
            command, stderr=subprocess.PIPE, text=True, start_new_session=True, env={**os.environ}
        )

        def listen() -> None:
            """Adds the gateway's log lines, parsed from JSON, to `log_lines` until the gateway process
            ends.
            """
            assert gateway.stderr is not None
            for line in gateway.stderr:
                with contextlib.suppress(ValueError):
                    log_lines.append(json.loads(line))

        threading.Thread(target=listen, daemon=True).start()
        try:
            signing_key = tokens.read_keys(str(Path(folder) / "keys.json"))["demo"]
            _serve(world, log_lines, stop_signals, gateway, public, signing_key, seconds)
        finally:
            if gateway.poll() is None:
                gateway.terminate()
            gateway.wait(10)
            world.close()
    click.echo("ended")


def _serve(
    world: EmulatorLoop,
    log_lines: deque[dict[str, Any]],
    stop_signals: list[int],
    gateway: subprocess.Popen[str],
    public: str,
    signing_key: tokens.Key,
    seconds: float | None,
) -> None:
    """Runs the emulated stores and prints the gateway's log lines and the examples, until a signal arrives,
    the gateway ends or `seconds` have passed.
    """
    started, ready_at, link_printed = time.monotonic(), 0.0, False
    while not stop_signals and gateway.poll() is None:
        world.turn(time.monotonic() + 0.1)
        while log_lines:
            log_line = log_lines.popleft()
            ready_at = ready_at or (time.monotonic() if log_line["event"] == "ready" else 0.0)
            click.echo(_format_log_line(log_line))
        if ready_at and not link_printed and time.monotonic() - ready_at > 1.1:
            # The gateway rejects order tokens that were issued within the first second after its start.
            link_printed = True
            _print_examples(public, signing_key)
        if seconds is not None and time.monotonic() - started > seconds:
            return


def _print_examples(public: str, signing_key: tokens.Key) -> None:
    """Prints curl commands for a signed link and for an order with its token, both valid at the gateway with
    the URL `public`.
    """
    read_uri, order_uri = (
        f"{public}/fichiers/{OBJECT}/0?shard=17&kb=41.5",
        f"{public}/commande/{OBJECT}/0?shard=17",
    )
    now = time.time()
    token = tokens.issue(signing_key, order_uri, 900, now, aud="demo", jti=secrets.token_hex(16))
    click.echo(f"""
A signed link, valid for an hour; the second request is a hit at a box:

  curl -i '{tokens.signed_uri(read_uri, tokens.issue(signing_key, read_uri, 3600, now))}'

An order, valid for 15 minutes and for one use; a second use is rejected:

  curl -i -X POST -d '12 wall calendars' -H 'Authorization: Bearer {token}' '{order_uri}'

Ctrl-C ends it.
""")
