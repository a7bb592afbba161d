"""Stand-ins of the review: stores, a notice board, clients and the start of the project's programs.

Everything listens on 127.0.0.1 and works in threads of the test's own process; `Record` writes what happened.
The stores keep to PROTOCOL: they serve a copy only if it is young enough for the request (`newer`), fill a
miss from the source that the request names, run writes at the origin, and drop a purged copy by themselves.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any

from olivecourse.emulator.settings import settings
from olivecourse.fronts import codec

ROOT = Path(__file__).resolve().parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
CLASSES = [("pages", 2500, "idempotent", False), ("commande", 3000, "at_most_once", True)]


class CannotRun(Exception):
    """The case could not be played, so that nothing can be said about the rule."""


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


class Record:
    """Writes lines with the seconds since the start to record.txt; may be used by all threads."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock, self._start = threading.Lock(), time.time()
        self(f"the disruption is {'on' if TROUBLE else 'off'}")

    def __call__(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.time() - self._start:8.3f} {text}\n")
            self._file.flush()


def listen() -> socket.socket:
    return socket.create_server(("127.0.0.1", 0), backlog=128)


def address(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def in_thread(call: Any, *arguments: Any) -> threading.Thread:
    thread = threading.Thread(target=call, args=arguments, daemon=True)
    thread.start()
    return thread


class Origin:
    """What all stores share: the version of each object that is valid now, and the Unix ms of its purge."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.purged_ms: dict[str, int] = {}
        self.ran: dict[str, bytes] = {}  # the writes run, by idempotency key, or by id where there is none
        self.answers_to_lose = 0  # so many of the next answers to writes never arrive

    def body(self, asset: str, version: int) -> bytes:
        return f"object {asset} version {version}\n".encode()

    def run(self, fields: dict[str, str], request: str, body: bytes) -> bool:
        """Runs a write, unless it is a repeat; returns whether its answer arrives."""
        self.ran.setdefault(fields.get("op", request), body)
        self.answers_to_lose -= 1
        return self.answers_to_lose < 0

    def purge(self, assets: list[str]) -> int:
        """New versions take the place of the old ones; returns the Unix ms of the purge."""
        made_ms = unix_ms()
        for asset in assets:
            self.versions[asset] = self.versions.get(asset, 1) + 1
            self.purged_ms[asset] = made_ms
        return made_ms


class Store:
    """A cache, a parent or the origin. `copies` maps "ASSET/PART" to (stamp in Unix ms, version).

    `fetches` has (time of arrival, id, fields) of every request, `ran` the bodies of the writes run here.
    """

    DROPS_PURGED_AFTER_S = 5.0  # the settings allow 6 s

    def __init__(self, name: str, kind: str, origin: Origin, record: Record, delay_s: float = 0.01) -> None:
        self.name, self.kind, self.origin, self.record, self.delay_s = name, kind, origin, record, delay_s
        self.sources: dict[str, Store] = {}
        self.copies: dict[str, tuple[int, int]] = {}
        self.fetches: list[tuple[float, str, dict[str, str]]] = []
        self.sock = listen()
        in_thread(self._accept)

    @property
    def address(self) -> str:
        return address(self.sock)

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            in_thread(self._serve, conn)

    def _serve(self, conn: socket.socket) -> None:
        lock, stream = threading.Lock(), conn.makefile("rb")
        with contextlib.suppress(OSError, ValueError):
            while line := stream.readline():
                words = line.decode().split()
                if words[0] != "fetch":
                    continue  # `abort`: what it names is answered all the same, which the gateway ignores
                arrived, body = time.time(), stream.read(int(words[3]) + 2)[:-2]
                fields = dict(pair.split("=", 1) for pair in words[2].split(","))
                self.fetches.append((arrived, words[1], fields))
                answer = (conn, lock, words[1], fields, body, arrived)
                in_thread(self._answer, *answer) if self.delay_s else self._answer(*answer)
        conn.close()

    def lookup(self, key: str, newer_ms: int, now_ms: int) -> tuple[int, int] | None:
        """The copy held here that is young enough, if there is one; the origin holds the newest of all."""
        asset = key.split("/")[0]
        if self.kind == "origin":
            return now_ms, self.origin.versions.get(asset, 1)
        copy, purged_ms = self.copies.get(key), self.origin.purged_ms.get(asset, 0)
        if copy is None or newer_ms and now_ms - copy[0] > newer_ms:
            return None
        if copy[0] < purged_ms and now_ms > purged_ms + self.DROPS_PURGED_AFTER_S * 1000:
            del self.copies[key]
            return None
        return copy

    def _answer(
        self,
        conn: socket.socket,
        lock: Any,
        request: str,
        fields: dict[str, str],
        body: bytes,
        arrived: float,
    ) -> None:
        source = self.sources.get(fields.get("fetch", ""))
        if body or fields["sort"] == "commande":
            taken = self.kind == "origin" or source is not None
            answered = not taken or self.origin.run(fields, request, body)
            time.sleep(self.delay_s)
            shown = "absent" if not taken else "ran, answered" if answered else "ran, the answer is lost"
            self.record(f"store {self.name}: order {request} {body!r} {fields} -> {shown}")
            if answered:
                data = b"order taken\n" if taken else b""
                line = f"{request} {'data n=MISS' if taken else 'absent -'} {len(data)}\r\n"
                with contextlib.suppress(OSError), lock:
                    conn.sendall(line.encode() + data + b"\r\n")
            return
        key = f"{fields['asset']}/{fields.get('slice', '0')}"
        newer_ms, now_ms = int(fields.get("newer", 0)), int(arrived * 1000)
        copy, note = self.lookup(key, newer_ms, now_ms), "HIT"
        if copy is None and source is not None:
            note = "MISS"
            copy = source.lookup(key, newer_ms, now_ms) or self.sources["s-00000009"].lookup(key, 0, now_ms)
            if copy is not None and "retain" in fields:
                self.copies[key] = copy
        if self.delay_s:
            time.sleep(self.delay_s)
        if copy is None:
            answer, shown = f"{request} absent - 0\r\n\r\n".encode(), "absent"
        else:
            data = self.origin.body(fields["asset"], copy[1])
            line = f"{request} data version=v{copy[1]},stamp={copy[0]},n={note} {len(data)}\r\n"
            answer, shown = line.encode() + data + b"\r\n", f"version {copy[1]} ({note})"
        self.record(f"store {self.name}: {request} {key} newer={newer_ms} -> {shown}")
        with contextlib.suppress(OSError), lock:
            conn.sendall(answer)

    def close(self) -> None:
        self.sock.close()


class Board:
    """The notice board: numbered events, told by long polls over HTTP/1.1."""

    POLL = re.compile(r"GET /board/poll\?watch=(\d+)&linger=(\d+)\S* HTTP/1\.1")

    def __init__(self, record: Record) -> None:
        self.record, self.events = record, list[dict[str, Any]]()
        self._changed = threading.Condition()
        self.polls = 0  # long polls received, and when the last one came
        self.polled_at = 0.0
        self.sock = listen()
        in_thread(self._accept)

    @property
    def address(self) -> str:
        return address(self.sock)

    def publish(self, **event: Any) -> float:
        """Adds an event and answers the open polls; returns the Unix time from which it counts as told."""
        with self._changed:
            self.events.append({"rev": len(self.events) + 1, **event})
            told = time.time()
            self._changed.notify_all()
        self.record(f"board: tells {json.dumps(event)[:160]}")
        return told

    def known(self) -> dict[str, Any]:
        return {"rev": len(self.events), "notices": list(self.events)}

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            in_thread(self._serve, conn)

    def _serve(self, conn: socket.socket) -> None:
        stream = conn.makefile("rb")
        with contextlib.suppress(OSError):
            while head := stream.readline():
                poll = self.POLL.match(head.decode())
                while stream.readline().strip():
                    pass
                if poll is None:
                    break
                seen, wait_s = int(poll[1]), min(int(poll[2]), 5000) / 1000
                with self._changed:
                    if wait_s:
                        self.polls, self.polled_at = self.polls + 1, time.time()
                    self._changed.wait_for(lambda seen=seen: len(self.events) > seen, wait_s)
                    newer = self.events[seen:]
                    body = json.dumps({"rev": len(self.events), "notices": newer}).encode()
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        conn.close()


def office(record: Record, caches: int = 3) -> tuple[Origin, list[Store], dict[str, Any]]:
    """The stores of one office with its hub cache and the archive, and the event that lists them."""
    origin = Origin()
    stores = [Store(f"s-0000000{i + 1}", "petit", origin, record) for i in range(caches)]
    stores += [Store("s-00000008", "parent", origin, record), Store("s-00000009", "origin", origin, record)]
    for store in stores:
        store.sources = {other.name: other for other in stores if other.kind != "petit"}
    members = [
        {
            "id": store.name,
            "host_port": store.address,
            "locality": "praia" if store.kind == "petit" else "hub-nord",
            "flavor": store.kind,
            "cell": i,
            "phase": "Ready",
            "size": 8,
            "up_since_ms": 0,
        }
        for i, store in enumerate(stores)
    ]
    return origin, stores, {"pool": {"revision": 1, "complete": True, "members": members}}


def write_files(folder: Path, stores: list[Store]) -> None:
    """Writes settings.json and stores.csv, to which an operator's file refers."""
    (folder / "settings.json").write_text(json.dumps(settings(CLASSES)))
    rows = [
        f"{store.name},{store.address},{'praia' if store.kind == 'petit' else 'hub-nord'},{store.kind},8"
        for store in stores
    ]
    (folder / "stores.csv").write_text("\n".join(["name,address,zone,kind,size", *rows]) + "\n")


class Client:
    """A Thrift client with one connection; calls do not wait, `answer` does."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._number, self._stream = 0, self.sock.makefile("rb")

    def send(self, cls: str, asset: str, deadline_ms: int, body: bytes = b"", shard: int = 17) -> str:
        """Sends a request with a new id and returns the id."""
        self._number, request = self._number + 1, os.urandom(8).hex()
        fields = {"c": cls, "i": request, "o": asset, "n": "0", "d": str(deadline_ms), "shard": str(shard)}
        args = codec.ServeArgs(fields=fields | {"m": "40"}, body=body)
        self.sock.sendall(codec.encode("serve", 1, self._number, args))
        return request

    def answer(self) -> tuple[str, bytes]:
        """The next answer: its kind (served, refused, failed, fault) and its bytes; "none" without one."""
        try:
            size = int.from_bytes(self._stream.read(4), "big")
            _, kind, _, result = codec.decode(self._stream.read(size), {"serve": codec.Result})
        except (OSError, ValueError, EOFError):
            return "none", b""
        if kind == 3:
            return "fault", b""
        if result.success is not None:
            return "served", result.success.body
        return ("refused" if result.refused is not None else "failed"), b""

    def close(self) -> None:
        self.sock.close()


class Programs:
    """The project's programs of one case, started with the deploy file's `run`; all are ended by `close`."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        if not (ROOT / ".venv/bin/python").exists() or not (ROOT / ".native").exists():
            raise CannotRun("the build of the deploy file has not run")

    def start(self, name: str, arguments: str = "", **env: str) -> subprocess.Popen[bytes]:
        tmpdir = self.folder / f"tmp-{name}"
        tmpdir.mkdir(exist_ok=True)
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", f"{RUN} {arguments}"],
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "TMPDIR": str(tmpdir), **env},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes.append(process)
        self.record(f"start {name}: pid {process.pid}")
        return process

    def log_lines(self, name: str, event: str) -> list[dict[str, Any]]:
        found = []
        for line in (self.folder / f"{name}.log").read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if entry.get("event") == event:
                    found.append(entry)
        return found

    def wait_ready(self, name: str, process: subprocess.Popen[bytes], seconds: float = 20.0) -> None:
        self.wait_log(name, "ready", process, seconds)

    def wait_log(self, name: str, event: str, process: subprocess.Popen[bytes], seconds: float) -> None:
        end = time.time() + seconds
        while not self.log_lines(name, event):
            if process.poll() is not None or time.time() > end:
                raise CannotRun(f"{name} did not write `{event}`: {self.tail(name)}")
            time.sleep(0.02)

    def tail(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text(errors="replace")[-400:]

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(10)
        shutil.rmtree(self.folder, ignore_errors=True)


def http_call(port: int, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """A call at an operators' door; returns the status and the parsed JSON (or the text) of the answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        answer = connection.getresponse()
        text = answer.read().decode()
        try:
            return answer.status, json.loads(text)
        except ValueError:
            return answer.status, text
    finally:
        connection.close()


def play(folder: Path, case: Any) -> int:
    """Runs `case(record, programs)`, which returns how often the rule was broken; returns the exit code."""
    record, programs = Record(folder), None
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))  # ends the programs, too
    try:
        programs = Programs(record)
        broken = case(record, programs)
        record(f"verdict: {'broken ' + str(broken) + ' times' if broken else 'held'}")
        return BROKEN if broken else HELD
    except Exception as error:  # a fault of the case itself must not pass for a broken rule
        record(f"could not run: {type(error).__name__}: {error}")
        return NOT_RUN
    finally:
        if programs is not None:
            programs.close()
