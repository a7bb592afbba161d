"""A stand-in of the platform's discovery service: gateways get numbered events by HTTP/1.1 long polls.

Run as `python -m benchmarks._standin_discovery STATE`, it is driven by commands, JSON lines on standard
input, and answers each by one line on standard output. It is one process with one epoll; an answer is encoded
once for all polls that wait at the same revision. Every event is appended to the file STATE before it is
announced, and the file is read at the next start, so that revisions continue after a kill.
"""

from __future__ import annotations

import contextlib
import heapq
import json
import os
import random
import re
import select
import socket
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

POLL = re.compile(rb"GET /board/poll\?watch=(\d+)&linger=(\d+)[^ ]* HTTP/1\.1\r\n")
MAX_LINGER_MS = 5_000
MAX_HEAD_BYTES = 8_192
BACKLOG = 4_096
READ, WRITE = select.EPOLLIN, select.EPOLLOUT
TAG_BITS = 48  # bits of a purged object's name that hold its publication time: time.monotonic in us
SERIAL_BITS = 16
MAX_CACHED_BYTES = 1 << 16  # responses up to this length are cached, for other polls with the same revision


def tag(monotonic_ns: int, serial: int) -> str:
    """Returns a name for a purged object that encodes when its purge is published, and a serial number."""
    stamp = monotonic_ns // 1_000 % (1 << TAG_BITS)
    return f"{stamp:012x}{serial % (1 << SERIAL_BITS):04x}"


def tagged_us(name: str) -> int:
    """Returns the time of publication, in microseconds of time.monotonic, that `tag` encoded in a name."""
    return int(name[:12], 16)


def purge(name: str, age_ms: int = 0) -> bytes:
    """Encodes the body of an event that purges the object `name`, as if purged `age_ms` ago (Unix time)."""
    return b'"flush":{"asset":"%s","ms":%d}' % (name.encode(), time.time_ns() // 1_000_000 - age_ms)


def pool_change(member: dict[str, Any]) -> bytes:
    """Encodes the body of an event that changes one store of the list.

    The list's revision in it is the time of publication, in us of time.monotonic, to measure propagation.
    """
    pool = {"revision": time.monotonic_ns() // 1_000, "complete": False, "members": [member]}
    return b'"pool":' + json.dumps(pool, separators=(",", ":")).encode()


class History:
    """All numbered events since revision 1, each encoded once; with a path they are also kept in a file."""

    def __init__(self, path: str | None = None) -> None:
        self.events: list[bytes] = []
        self._file = -1
        self._cached: dict[int, bytes] = {}
        if path is not None:
            with contextlib.suppress(FileNotFoundError), open(path, "rb") as file:
                # An event without a line end was never announced: the process died while writing it.
                self.events = [line[:-1] for line in file if line.endswith(b"\n")]
            self._file = os.open(path, os.O_WRONLY | os.O_CREAT)
            os.ftruncate(self._file, sum(len(event) + 1 for event in self.events))
            os.lseek(self._file, 0, os.SEEK_END)

    @property
    def rev(self) -> int:
        """The revision of the last event, which is also the number of events."""
        return len(self.events)

    def append(self, parts: Sequence[bytes]) -> None:
        """Appends events, whose bodies are given encoded, with the next revisions."""
        first = self.rev + 1
        encoded_events = [b'{"rev":%d,%s}' % (first + offset, part) for offset, part in enumerate(parts)]
        if self._file >= 0:
            os.write(self._file, b"".join(event + b"\n" for event in encoded_events))
        self.events += encoded_events
        self._cached.clear()

    def answer(self, watch: int) -> bytes:
        """Returns the complete HTTP response to a poll of a gateway that has all events up to `watch`."""
        cached = self._cached.get(watch)
        if cached is not None:
            return cached
        body = b'{"rev":%d,"notices":[%s]}' % (self.rev, b",".join(self.events[watch:]))
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        response = head + body
        if len(response) <= MAX_CACHED_BYTES:
            self._cached[watch] = response
        return response

    def close(self) -> None:
        """Closes the file of events, if there is one."""
        if self._file >= 0:
            os.close(self._file)


@dataclass(slots=True)
class Traffic:
    """Counts since the start of polls, answers, bytes and connections at one port of the service."""

    polls: int = 0
    answers: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    connections: int = 0
    watch: int = -1  # highest revision in a poll so far, first received at `watch_at_ns`
    watch_at_ns: int = 0


@dataclass(eq=False, slots=True)
class Port:
    """A port of the service that gateways poll.

    A muted port answers polls without events; a cut port accepts no connections.
    """

    name: str
    muted: bool
    sock: socket.socket
    number: int
    traffic: Traffic = field(default_factory=Traffic)
    cut: bool = False


@dataclass(eq=False, slots=True)
class Connection:
    """A gateway's connection: bytes received of the next poll, and bytes of an answer still to be sent."""

    port: Port
    sock: socket.socket
    inbox: bytes = b""
    waits_at: int = -1  # the revision in the last poll, -1 before the first poll
    poll: int = 0  # number of polls received on the connection
    late: bool = False  # unused: meant for a connection whose answer is held back
    outbox: memoryview | None = None


class DiscoveryService:
    """The stand-in's HTTP server: answers polls on any number of ports from one history of events."""

    def __init__(self, history: History, seed: int = 1) -> None:
        self.history = history
        self.ports: dict[str, Port] = {}
        self.running = True
        self.late_share, self.late_s = 0.0, 0.0
        self._random = random.Random(seed)
        self._epoll = select.epoll()
        self._watched: dict[int, Callable[[int], None]] = {}
        self._connections: dict[int, Connection] = {}
        self._waiting: set[Connection] = set()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._timer_serial = 0

    # Ports -----------------------------------------------------------------------------------------

    def open_port(self, name: str, number: int = 0, muted: bool = False) -> int:
        """Listens on loopback port `number` (0: any free one) for the group `name`; returns its number."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", number))
        port = Port(name, muted, sock, sock.getsockname()[1])
        self.ports[name] = port
        self._listen(port)
        return port.number

    def _listen(self, port: Port) -> None:
        port.sock.listen(BACKLOG)
        port.sock.setblocking(False)
        self.watch(port.sock.fileno(), READ, lambda mask: self._accept(port))

    def cut(self, name: str) -> None:
        """Closes the port `name` and its connections, so that new ones are refused until `join`."""
        port = self.ports[name]
        if port.cut:
            return
        port.cut = True
        self.forget(port.sock.fileno())
        port.sock.close()
        for connection in [c for c in self._connections.values() if c.port is port]:
            self._close_connection(connection)

    def join(self, name: str) -> None:
        """Opens the port `name` again, on the same number, after `cut`."""
        port = self.ports[name]
        if not port.cut:
            return
        port.cut = False
        port.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        port.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        port.sock.bind(("127.0.0.1", port.number))
        self._listen(port)

    # Events ----------------------------------------------------------------------------------------

    def publish(self, parts: Sequence[bytes]) -> None:
        """Appends events (encoded bodies) to the history, and answers waiting polls on ports not muted."""
        self.history.append(parts)
        for connection in [c for c in self._waiting if not c.port.muted]:
            self._answer(connection)

    # The loop --------------------------------------------------------------------------------------

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedules one call of `call` at `when`, a time of time.monotonic in seconds."""
        self._timer_serial += 1
        heapq.heappush(self._timers, (when, self._timer_serial, call))

    def watch(self, descriptor: int, mask: int, call: Callable[[int], None]) -> None:
        """Calls `call` with the ready epoll events whenever the descriptor is ready for one in `mask`."""
        self._watched[descriptor] = call
        self._epoll.register(descriptor, mask)

    def forget(self, descriptor: int) -> None:
        """Stops watching a file descriptor."""
        self._watched.pop(descriptor, None)
        with contextlib.suppress(OSError):
            self._epoll.unregister(descriptor)

    def turn(self, max_wait_s: float) -> None:
        """Waits once for sockets or timers, at most `max_wait_s`, and handles those that are ready."""
        wait = (
            max_wait_s
            if not self._timers
            else min(max(self._timers[0][0] - time.monotonic(), 0.0), max_wait_s)
        )
        for descriptor, mask in self._epoll.poll(wait):
            call = self._watched.get(descriptor)
            if call is not None:
                call(mask)
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2]()

    def close(self) -> None:
        """Closes all connections and ports, and the file of the history."""
        for connection in list(self._connections.values()):
            self._close_connection(connection)
        for port in self.ports.values():
            port.sock.close()
        self._epoll.close()
        self.history.close()

    # Connections -----------------------------------------------------------------------------------

    def _accept(self, port: Port) -> None:
        while True:
            try:
                sock, _ = port.sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(port, sock)
            port.traffic.connections += 1
            self._connections[sock.fileno()] = connection
            self.watch(sock.fileno(), READ, lambda mask, c=connection: self._ready(c, mask))  # type: ignore[misc]

    def _close_connection(self, connection: Connection) -> None:
        if connection.sock.fileno() < 0:
            return
        self._waiting.discard(connection)
        self._connections.pop(connection.sock.fileno(), None)
        self.forget(connection.sock.fileno())
        connection.sock.close()

    def _ready(self, connection: Connection, mask: int) -> None:
        if mask & WRITE:
            self._flush(connection)
        if mask & ~WRITE and connection.sock.fileno() >= 0:
            self._read(connection)

    def _read(self, connection: Connection) -> None:
        try:
            data = connection.sock.recv(65_536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        connection.inbox += data
        connection.port.traffic.bytes_in += len(data)
        if not data or len(connection.inbox) > MAX_HEAD_BYTES:
            self._close_connection(connection)
            return
        if b"\r\n\r\n" not in connection.inbox:
            return
        poll_match = POLL.match(connection.inbox)
        connection.inbox = b""
        if poll_match is None:
            self._close_connection(connection)
            return
        self._on_poll(connection, int(poll_match[1]), min(int(poll_match[2]), MAX_LINGER_MS))

    def _on_poll(self, connection: Connection, watch: int, linger_ms: int) -> None:
        traffic = connection.port.traffic
        traffic.polls += 1
        if watch > traffic.watch:
            traffic.watch, traffic.watch_at_ns = watch, time.monotonic_ns()
        connection.poll += 1
        connection.waits_at = watch
        self._waiting.add(connection)
        has_events = watch < self.history.rev and not connection.port.muted
        if has_events or not linger_ms:
            self._answer(connection)
            return
        poll = connection.poll
        self.at(time.monotonic() + linger_ms / 1000, lambda: self._on_linger_end(connection, poll))

    def _on_linger_end(self, connection: Connection, poll: int) -> None:
        if connection in self._waiting and connection.poll == poll:
            self._answer(connection)

    def _answer(self, connection: Connection) -> None:
        self._waiting.discard(connection)
        if self.late_share and self._random.random() < self.late_share:
            self.at(time.monotonic() + self.late_s, lambda: self._send(connection))
        else:
            self._send(connection)

    def _send(self, connection: Connection) -> None:
        if connection.sock.fileno() < 0:
            return
        watch = connection.waits_at
        response = self.history.answer(self.history.rev if connection.port.muted else watch)
        connection.port.traffic.answers += 1
        connection.outbox = memoryview(response)
        self._flush(connection)

    def _flush(self, connection: Connection) -> None:
        if connection.outbox is None:
            return
        try:
            sent = connection.sock.send(connection.outbox)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close_connection(connection)
            return
        connection.port.traffic.bytes_out += sent
        remaining = connection.outbox[sent:]
        connection.outbox = remaining if len(remaining) else None
        mask = READ if connection.outbox is None else READ | WRITE
        with contextlib.suppress(OSError):
            self._epoll.modify(connection.sock.fileno(), mask)


class PurgeSource:
    """Publishes purges at a constant rate: most of unique names by `tag`, some of requested objects."""

    def __init__(self, service: DiscoveryService, on_named_purge: Callable[[str, int, int], None]) -> None:
        """`on_named_purge(name, monotonic_ns, unix_ms)` is called for each purge of one of `names`."""
        self._service, self._on_named_purge = service, on_named_purge
        self._rate, self._due, self._until = 0.0, 0.0, 0.0
        self._names: list[str] = []
        self._every = 0
        self._run = 0
        self.published = 0

    def start(self, rate: float, seconds: float, names: Sequence[str] = (), every: int = 0) -> None:
        """Publishes `rate` purges a second for `seconds`, instead of any earlier ones.

        Each `every`-th purge is of one of `names`, in turn, which are objects that clients request.
        """
        self._rate, self._names, self._every = rate, list(names), every
        self._due = time.monotonic()
        self._until = self._due + seconds
        self._run += 1
        run = self._run
        self._service.at(self._due, lambda: self._next(run))

    def stop(self) -> None:
        """Stops publishing purges."""
        self._run += 1

    def _next(self, run: int) -> None:
        if run != self._run:
            return
        now = time.monotonic()
        parts = list[bytes]()
        while self._due <= now and self._due < self._until:
            parts.append(self._purge())
            self._due += 1 / self._rate
        if parts:
            self._service.publish(parts)
        if self._due < self._until:
            self._service.at(self._due, lambda: self._next(run))

    def _purge(self) -> bytes:
        self.published += 1
        now = time.monotonic_ns()
        if self._every and self.published % self._every == 0:
            name = self._names[self.published // self._every % len(self._names)]
            self._on_named_purge(name, now, time.time_ns() // 1_000_000)
        else:
            name = tag(now, self.published)
        return purge(name)


class Commands:
    """Carries out the commands that the parent, a benchmark, writes to standard input as JSON lines."""

    def __init__(self, service: DiscoveryService) -> None:
        self._service = service
        self._buffer = b""
        self._source = PurgeSource(service, self._report_named_purge)
        os.set_blocking(0, False)
        service.watch(0, READ, self._ready)

    @staticmethod
    def _write_message(message: dict[str, Any]) -> None:
        sys.stdout.write(json.dumps(message) + "\n")
        sys.stdout.flush()

    def _report_named_purge(self, name: str, monotonic_ns: int, unix_ms: int) -> None:
        self._write_message({"purged": name, "at_ns": monotonic_ns, "ms": unix_ms})

    def _ready(self, mask: int) -> None:
        data = os.read(0, 1 << 20)
        if not data:  # standard input is closed: the benchmark has ended
            self._service.running = False
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in lines:
            self._write_message({"done": True, **self._execute(json.loads(line))})

    def _execute(self, command: dict[str, Any]) -> dict[str, Any]:
        service = self._service
        command_name = command.pop("do")
        if command_name == "port":
            return {"port": service.open_port(**command)}
        if command_name == "purges":
            self._source.start(**command)
        elif command_name == "stop_purges":
            self._source.stop()
        elif command_name == "backlog":
            self._backlog(int(command["count"]), float(command.get("per_s", 0.0)))
        elif command_name == "pool":
            service.publish([b'"pool":' + json.dumps(command["pool"], separators=(",", ":")).encode()])
        elif command_name == "change":
            service.publish([pool_change(command["member"])])
        elif command_name == "late":
            service.late_share, service.late_s = command["share"], command["seconds"]
        elif command_name == "cut":
            service.cut(command["name"])
        elif command_name == "join":
            service.join(command["name"])
        elif command_name != "state":
            raise ValueError(command_name)
        return self._state()

    def _backlog(self, count: int, per_s: float) -> None:
        """Publishes `count` purges at once, with times as if made at the rate `per_s` up to now.

        With a `per_s` of 0.0 all carry the current time.
        """
        now = time.monotonic_ns()
        gap_ms = 1_000 / per_s if per_s else 0.0
        self._service.publish(
            [
                purge(tag(now + serial * 1_000, serial), int((count - 1 - serial) * gap_ms))
                for serial in range(count)
            ]
        )

    def _state(self) -> dict[str, Any]:
        ports = {name: asdict(port.traffic) for name, port in self._service.ports.items()}
        return {
            "rev": self._service.history.rev,
            "published": self._source.published,
            "at_ns": time.monotonic_ns(),
            "ports": ports,
        }


def main(path: str | None) -> None:
    """Runs the service until standard input is closed; `path` is the file that keeps the events."""
    service = DiscoveryService(History(path))
    Commands(service)
    Commands._write_message({"started": True, "rev": service.history.rev})
    while service.running:
        service.turn(1.0)
    service.close()


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else None)
