"""Small stand-ins for the cases 6 to 10: stores, a notice board, clients, and the start of processes.

They use the standard library alone, bind to 127.0.0.1 and free ports, and behave as the pages say. Every case
writes what was sent, answered and run to `record.txt` in its folder.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
S = 1_000_000_000


class CannotRun(Exception):
    """The case could not be played, for a reason that says nothing of the rule."""


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


_given_ports: set[int] = set()


def free_port() -> int:
    """A port that is free for TCP and UDP, below the range that the system takes for connections."""
    while True:
        port = random.SystemRandom().randrange(10_240, 32_000)
        if port in _given_ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        _given_ports.add(port)
        return port


class Record:
    """The file `record.txt` of a case; each line begins with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8", buffering=1)
        self._started = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")


def settings(classes: list[tuple[str, int, str, bool]]) -> dict[str, Any]:
    """The settings of a small office; a class is (name, deadline in ms, effect, whether it is never kept)."""
    count = len(classes)
    return {
        "me": 0, "instances": 1, "az": 1, "zones": ["hub-nord", "praia"],
        "kinds": ["petit", "parent", "origin"], "discovery": "push", "period_ns": 2_000_000,
        "weight_kind": "rough",
        "family_info": {
            "zone_hub": [0, 0], "seats_by_zone": [0, 1], "mid_kind": 1, "source_kind": 2, "joins": True,
            "may_pass_by": False, "siblings": "any", "notes_given": "all", "client_kb_per_s": 6300.0,
            "max_age_ns": [0] * count, "grace_for_ns": [0] * count, "stale_earns": [0.7] * count,
            "never_kept": [write for *_, write in classes], "purge_grace_ns": 300_000_000,
            "purge_settles_ns": 6 * S, "parent_floor": 0.064, "parent_ramp_ns": 18 * S,
            "parent_limit_factor": 2.0,
        },
        "limits": {
            "cancel": True, "second_copies": True, "retry_after": True, "max_retry_after_ns": S,
            "max_attempts": 8, "connect_timeout_ns": 400_000_000, "conn_idle_ns": 15 * S,
            "streams_per_conn": 100, "peers": False, "probes": False,
        },
        "contract": {
            "grace_to_answer_ns": 8_000_000, "stop_sending_within_ns": 250_000_000, "cold_from": 0.16,
            "cold_ns": 15 * S, "tip_multiple": 2.5, "overload_for_ns": 3 * S,
        },
        "profiles": [
            {
                "name": name, "on_time_ns": 600_000_000, "aim_stretch": 2.0,
                "deadline_ns": deadline * 1_000_000, "worth": 1.0, "late_worth": 0.1,
                "effect": effect, "key_scope": "all",
                "memory_span_ns": 5 * S, "streamed": False,
            }
            for name, deadline, effect, _ in classes
        ],
    }  # fmt: skip


# Stores ---------------------------------------------------------------------------------------------


class StoreRequest:
    """One `fetch` at a store; `begun_at` and `whole_at` are Unix ms of its first and last byte's arrival."""

    def __init__(self, id: str, fields: dict[str, str], body: bytes, begun_at: int) -> None:
        self.id, self.fields, self.body = id, fields, body
        self.begun_at, self.whole_at = begun_at, unix_ms()


# Returns (word, fields, body) to answer, or None for no answer at all.
Handler = Callable[
    ["Store", StoreRequest, asyncio.StreamWriter], Awaitable[tuple[str, dict[str, str], bytes] | None]
]


async def serve_plain(store: Store, request: StoreRequest, writer: asyncio.StreamWriter):
    """A store that holds everything, with a fresh copy, and answers after 5 ms."""
    await asyncio.sleep(0.005)
    body = request.fields.get("asset", "").encode() + b"/" + request.fields.get("slice", "0").encode()
    return "data", {"version": "v1", "stamp": str(unix_ms()), "n": "HIT"}, body


class Store:
    """A store, parent or origin that listens at a free port and speaks the line protocol."""

    def __init__(self, name: str, record: Record, handler: Handler = serve_plain) -> None:
        self.name, self.record, self.handler = name, record, handler
        self.requests: list[StoreRequest] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> Store:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", port, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        open_requests: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                first = await reader.readexactly(1)
                begun_at = unix_ms()
                words = (first + await reader.readuntil(b"\r\n")).decode("ascii").split()
                if words[0] == "abort":
                    self.record(f"{self.name}: abort {words[1]}")
                    task = open_requests.pop(words[1], None)
                    if task is not None:
                        task.cancel()
                    continue
                if words[0] != "fetch" or len(words) != 4:
                    break
                body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                fields = {} if words[2] == "-" else dict(pair.split("=", 1) for pair in words[2].split(","))
                request = StoreRequest(words[1], fields, body, begun_at)
                self.requests.append(request)
                task = asyncio.ensure_future(self._answer(request, writer))
                open_requests[request.id] = task
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            for task in open_requests.values():  # closing the connection gives up what is open on it
                task.cancel()
            writer.close()

    async def _answer(self, request: StoreRequest, writer: asyncio.StreamWriter) -> None:
        answer = await self.handler(self, request, writer)
        if answer is None or writer.is_closing():
            return
        word, fields, body = answer
        text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        writer.write(f"{request.id} {word} {text} {len(body)}\r\n".encode() + body + b"\r\n")

    def reset(self) -> None:
        """Resets all open connections, as when a process dies; new ones are accepted."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def stop(self) -> None:
        """Ends the store: closes its listening socket and its connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()


def member(store: Store, kind: str, zone: str, phase: str = "Ready", size: float = 8) -> dict[str, Any]:
    return {
        "id": store.name, "host_port": store.address, "locality": zone, "flavor": kind, "cell": 0,
        "phase": phase, "size": size, "up_since_ms": 0,
    }  # fmt: skip


# Notice board ---------------------------------------------------------------------------------------


class Board:
    """The notice board; `delay_s` is how late each answer to a poll is written."""

    def __init__(self, record: Record) -> None:
        self.record, self.delay_s = record, 0.0
        self.events: list[dict[str, Any]] = []
        self.published_at: dict[int, int] = {}
        self.polls = self.answers_begun = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> Board:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    @property
    def rev(self) -> int:
        return len(self.events)

    def publish(self, **body: Any) -> int:
        """Adds an event and returns the Unix millisecond from which it stands in the notice board."""
        self.events.append({"rev": len(self.events) + 1, **body})
        at = self.published_at[len(self.events)] = unix_ms()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        self.record(f"board: event {len(self.events)}: {json.dumps(body)[:300]}")
        return at

    def known(self) -> dict[str, Any]:
        return {"rev": self.rev, "notices": list(self.events)}

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii")
                query = dict(pair.split("=") for pair in head.split(" ")[1].partition("?")[2].split("&"))
                watch, linger_s = int(query["watch"]), min(int(query["linger"]), 5000) / 1000
                self.polls += 1
                if self.rev <= watch and linger_s:
                    try:
                        await asyncio.wait_for(self._changed.wait(), linger_s)
                    except TimeoutError:
                        pass
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                body = json.dumps({"rev": self.rev, "notices": self.events[watch:]}).encode()
                self.answers_begun += 1
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


# Gateway --------------------------------------------------------------------------------------------


class Process:
    """A process of the project, started by the deploy file's `run`, with further words behind it if given."""

    def __init__(self, case: Case, label: str, env: dict[str, str], words: str = "") -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.label, self._case = label, case
        self.log_path = case.folder / f"{label}.log"
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                ["/bin/sh", "-c", f"{run} {words}".strip()], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, env={**os.environ, **env}, start_new_session=True,
            )  # fmt: skip
        case.processes.append(self)
        case.record(f"{label}: started, process {self.popen.pid}")

    def signal(self, number: signal.Signals) -> None:
        self._case.record(f"{self.label}: {number.name}")
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        end = time.monotonic() + timeout_s
        while self.popen.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        self._case.record(f"{self.label}: exit code {self.popen.returncode}")
        return self.popen.returncode

    def log(self) -> list[dict[str, Any]]:
        lines = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"event": line})
        return lines

    async def until_listening(self, port: int, timeout_s: float = 30.0) -> None:
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.popen.poll() is not None:
                raise CannotRun(f"{self.label} ended with {self.popen.returncode} before it was ready")
            if any(line.get("event") == "ready" for line in self.log()):
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                    return
                except OSError:
                    pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.label} was not ready in time")


class Case:
    """One run of a case: its temporary folder, its record and the processes that it started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="olivecourse-case-"))
        self.processes: list[Process] = []

    def close(self) -> None:
        for process in self.processes:
            if process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
            for line in process.log_path.read_text(errors="replace").splitlines()[-60:]:
                self.record(f"log of {process.label}: {line[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: str, play: Callable[[Case], Awaitable[list[str]]], limit_s: float = 110.0) -> None:
    """Plays a case and exits with 1 if `play` returns breaks of the rule, 0 if it returns none, and 2 if the
    case could not run.
    """
    case = Case(Path(folder))
    case.record(f"TROUBLE={int(TROUBLE)}")
    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(play(case), limit_s))
        code = 1 if broken else 0
        for line in broken[:20]:
            case.record(f"BROKEN: {line}")
        print("\n".join(broken[:5]) or "the rule held")
    except CannotRun as reason:
        case.record(f"cannot run: {reason}")
        print(f"cannot run: {reason}")
    except Exception as error:
        case.record(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
    finally:
        case.close()
    sys.exit(code)


# Thrift client --------------------------------------------------------------------------------------


def _text(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


def call_frame(method: str, number: int, arguments: bytes, oneway: bool = False) -> bytes:
    message = b"\x80\x01\x00" + bytes([4 if oneway else 1]) + _text(method.encode())
    message += struct.pack(">i", number) + arguments + b"\0"
    return _text(message)


def serve_frame(number: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    arguments = struct.pack(">BhBBi", 13, 1, 11, 11, len(fields))
    arguments += b"".join(_text(text.encode()) for pair in fields.items() for text in pair)
    return call_frame("serve", number, arguments + struct.pack(">Bh", 11, 2) + _text(body))


class ThriftAnswer:
    """What came for a call: `kind` is "served", "refused", "failed" or "fault"; `good` is isWell's."""

    def __init__(self, message: bytes) -> None:
        self.body, self.fields, self.good = b"", dict[str, str](), False
        name_length = struct.unpack_from(">i", message, 4)[0]
        self.number: int = struct.unpack_from(">i", message, 8 + name_length)[0]
        self._data, self._at = message, 12 + name_length
        if message[3] == 3:
            self.kind = "fault"
            return
        kind, number = struct.unpack_from(">Bh", message, self._at)
        if kind != 12:
            raise ValueError("no result")
        self._at += 3
        self.kind = ("served", "refused", "failed")[number]
        self._read_struct()

    def _take(self) -> bytes:
        length = struct.unpack_from(">i", self._data, self._at)[0]
        self._at += 4 + length
        if length < 0 or self._at > len(self._data):
            raise ValueError("cut")
        return self._data[self._at - length : self._at]

    def _read_struct(self) -> None:
        while (kind := self._data[self._at]) != 0:
            self._at += 3
            if kind == 11:
                self.body = self._take()
            elif kind == 2:
                self.good = self._data[self._at] == 1
                self._at += 1
            elif kind == 13:
                count = struct.unpack_from(">BBi", self._data, self._at)[2]
                self._at += 6
                for _ in range(count):
                    name = self._take().decode()
                    self.fields[name] = self._take().decode()
            else:
                raise ValueError(f"type {kind}")


class ThriftClient:
    """A client's connection. `bytes_per_s` bounds how fast it reads, 0 for no bound."""

    def __init__(self, record: Record, label: str, bytes_per_s: int = 0) -> None:
        self.record, self.label, self._rate = record, label, bytes_per_s
        self.number = 0
        self.sent: dict[int, tuple[str, float]] = {}  # by sequence number: request id, time of its last byte
        self.answers: dict[int, list[ThriftAnswer]] = {}
        self.ended_at = 0.0
        self.ended_why = ""
        self._task: asyncio.Task[None] | None = None
        self._got = asyncio.Condition()
        self.sock: socket.socket | None = None

    async def open(self, port: int) -> ThriftClient:
        loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        self.sock.setblocking(False)
        if self._rate:  # a slow reader's machine does not take megabytes ahead of its reader
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        await loop.sock_connect(self.sock, ("127.0.0.1", port))
        self._task = asyncio.ensure_future(self._read())
        return self

    async def _read(self) -> None:
        assert self.sock is not None
        loop, data = asyncio.get_running_loop(), bytearray()
        started, total = time.monotonic(), 0
        try:
            while True:
                if self._rate:
                    ahead = total / self._rate - (time.monotonic() - started)
                    if ahead > 0:
                        await asyncio.sleep(ahead)
                    elif ahead < -0.05:  # the reader never catches up faster than its rate
                        started, total = time.monotonic(), 0
                part = await loop.sock_recv(self.sock, 16_384 if self._rate else 262_144)
                if not part:
                    self.ended_why = "closed"
                    break
                total += len(part)
                data += part
                while len(data) >= 4 and len(data) >= 4 + (size := int.from_bytes(data[:4], "big")):
                    answer = ThriftAnswer(bytes(data[4 : 4 + size]))
                    del data[: 4 + size]
                    self.answers.setdefault(answer.number, []).append(answer)
                    async with self._got:
                        self._got.notify_all()
        except OSError as error:
            self.ended_why = type(error).__name__
        self.ended_at = time.monotonic()
        self.record(f"{self.label}: connection ended: {self.ended_why}, {len(data)} bytes of a frame unread")
        async with self._got:
            self._got.notify_all()

    async def send(self, fields: dict[str, str], body: bytes = b"") -> int:
        """Sends one request and returns its sequence number."""
        assert self.sock is not None
        self.number += 1
        number = self.number
        await asyncio.get_running_loop().sock_sendall(self.sock, serve_frame(number, fields, body))
        self.sent[number] = (fields["i"], time.monotonic())
        return number

    async def answer(self, number: int, timeout_s: float) -> ThriftAnswer | None:
        """Waits for the answer to a sequence number; None if the connection ended or the time ran out."""
        end = time.monotonic() + timeout_s
        while number not in self.answers:
            left = end - time.monotonic()
            if left <= 0 or self.ended_at:
                return None
            async with self._got:
                if number in self.answers or self.ended_at:
                    continue
                try:
                    await asyncio.wait_for(self._got.wait(), left)
                except TimeoutError:
                    pass
        return self.answers[number][0]

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self.sock is not None:
            self.sock.close()


# HTTP -----------------------------------------------------------------------------------------------


async def http(
    port: int, method: str, target: str, body: bytes = b"", headers: str = "", timeout_s: float = 10.0
):
    """One HTTP call on a connection of its own; returns (status, headers, body), or (0, {}, b"") for none."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0, {}, b""
    try:
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\n{headers}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
            + body
        )
        return await asyncio.wait_for(read_http(reader), timeout_s)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, {}, b""
    finally:
        writer.close()


async def read_http(reader: asyncio.StreamReader):
    """Reads one response with a Content-Length: (status, headers, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    return (
        int(head[0].split(" ")[1]),
        headers,
        await reader.readexactly(int(headers.get("content-length", 0))),
    )
