"""Measures the management port under connection floods: late and wrong answers, longest event loop turn.

Two floods reconnect during the whole run: idle and half-written connections to the clients' port, and idle
connections or half-written calls to the management port. Meanwhile ordinary requests are sent and counted,
and the metrics of the management port are compared with these counts.
"""

from __future__ import annotations

import contextlib
import random
import re
import socket
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from benchmarks._gateway_site import GatewaySite, killed_at_exit
from benchmarks._load import Load

RATE = 150.0  # ordinary requests a second at the clients' port
CLIENT_CONNECTIONS = 400  # flood connections to the clients' port, more than its part of 384 file descriptors
MANAGEMENT_CONNECTIONS = 24  # flood connections to the management port, 1.5 times its limit
HOLD_S = 4.0  # how long each flood connection is held open
LATE_S = 1.0  # a call to the management port that takes longer counts as late


class ConnectionFlood:
    """A thread that keeps `count` connections to `port` open, each for HOLD_S or until the gateway closes it.

    About half of the connections send `partial_message`, an incomplete message; the others send nothing.
    """

    def __init__(self, port: int, count: int, partial_message: bytes, seed: int) -> None:
        self.port, self.count, self.partial_message = port, count, partial_message
        self.made = 0
        self._random = random.Random(seed)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        connections: list[tuple[float, socket.socket]] = []
        while not self._stop.wait(0.01):
            now = time.monotonic()
            for until, sock in connections[:]:
                if now > until or self._closed(sock):
                    connections.remove((until, sock))
                    sock.close()
            while len(connections) < self.count:
                with contextlib.suppress(OSError):
                    sock = socket.create_connection(("127.0.0.1", self.port), timeout=1)
                    sock.setblocking(False)
                    connections.append((now + HOLD_S, sock))
                    self.made += 1
                    if self._random.random() < 0.5:
                        sock.send(self.partial_message)
                    continue
                break
        for _, sock in connections:
            sock.close()

    @staticmethod
    def _closed(sock: socket.socket) -> bool:
        try:
            return sock.recv(4096) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def stop(self) -> None:
        """Ends the thread, which closes all its connections."""
        self._stop.set()
        self._thread.join()


def _metrics(text: str) -> dict[str, float]:
    return {name: float(value) for name, value in re.findall(r"^(app_\S+) (\S+)$", text, re.M)}


def run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    """Runs the floods for 60 s; the short form runs them for 20 s and takes at most 60 s in total."""
    seconds = 20.0 if short else 60.0
    found: dict[str, Any] = {
        "calls": 0,
        "late": 0,
        "wrong": 0,
        "slowest_ms": 0.0,
        "turn_ms_max": 0.0,
        "figures_off_max": 0,
    }
    with tempfile.TemporaryDirectory() as name, killed_at_exit([]) as started:
        site = GatewaySite(Path(name))
        gateway = site.start()
        started.append(gateway)
        site.wait_ready(gateway)
        load = Load(site.world, site.port, RATE, seed, conns=6, orders=0.05)
        floods = [
            ConnectionFlood(site.port, CLIENT_CONNECTIONS, b"\0\0\1\0\x80\1\0\1", seed),
            ConnectionFlood(
                gateway.management_port,
                MANAGEMENT_CONNECTIONS,
                b"PUT /ops/stores/down HTTP/1.1\r\nContent-Le",
                seed,
            ),
        ]
        try:
            end, turn = time.monotonic() + seconds, 0
            while time.monotonic() < end:
                site.world.run(0.1)
                turn += 1
                store_name = site.edge_stores[turn // 4 % len(site.edge_stores)].name
                for method, path, body, expected_status in (
                    ("GET", "/ops/readiness", None, 200),
                    ("GET", "/ops/stats", None, 200),
                    (
                        "PUT",
                        "/ops/stores/" + ("down" if turn % 4 == 1 else "up"),
                        f'{{"id": "{store_name}"}}',
                        200,
                    ),
                    ("PUT", "/ops/stores/down", '{"id": "nobody"}', 404),
                    ("GET", "/ops/stores/up", None, 405),
                    ("PUT", "/ops/stores/up", "{", 400),
                ):
                    status, text, seconds_taken = site.call(gateway, method, path, body)
                    found["calls"] += 1
                    found["wrong"] += status not in (expected_status, 0)
                    found["late"] += status == 0 or seconds_taken > LATE_S
                    found["slowest_ms"] = max(found["slowest_ms"], round(seconds_taken * 1000, 1))
                    if path == "/ops/stats" and status == 200:
                        count_error = _count_error(_metrics(text), load)
                        found["figures_off_max"] = max(found["figures_off_max"], count_error)
        finally:
            for flood in floods:
                flood.stop()
        load.stop()
        site.world.run(3.0)
        last = _metrics(site.call(gateway, "GET", "/ops/stats")[1])
        found["turn_ms_max"] = round(last["app_turn_seconds_max"] * 1000, 1)
        found["crowd"] = [flood.made for flood in floods]
        found["requests"], found["closed_on"] = load.tally.asked, load.tally.closed_on
        found["unanswered"] = load.open
        load.close()
        site.world.close()
    for key, value in found.items():
        print(f"{key:18} {value}")
    return {**found, "seed": seed}


def _count_error(metrics: dict[str, float], load: Load) -> int:
    """Returns by how many requests the gateway's metrics differ from the clients' own counts.

    Answers that the gateway has written and the clients have not read yet are not a difference.
    """
    ended = sum(value for key, value in metrics.items() if key.startswith("app_transactions_total"))
    return int(max(load.tally.answered - ended, ended - load.tally.answered - load.open, 0))
