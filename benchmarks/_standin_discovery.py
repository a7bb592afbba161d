"""A stand-in of the platform's discovery service, for fleets: numbered events over HTTP/1.1 long polls.

Run as `python -m benchmarks._standin_discovery STATE` it is driven by JSON lines on standard input, each
answered by one line on standard output. One process, one epoll; an answer is encoded once for all who wait at
the same number. Every event is appended to the file STATE before anyone is told of it, and read again at the
next start, so that numbers go on after a kill.
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
LONGEST_LINGER_MS = 5_000
MOST_HEAD = 8_192
BACKLOG = 4_096
READ, WRITE = select.EPOLLIN, select.EPOLLOUT
TAG_BITS = 48  # of a purged object's name: the microsecond of time.monotonic at which it was published
SERIAL_BITS = 16
MOST_COMPLETE_BYTES = 1 << 16  # answers up to this length are kept for others who wait at the same number


def tag(monotonic_ns: int, serial: int) -> str:
    """An object's name that tells when its purge was published."""
    stamp = monotonic_ns // 1_000 % (1 << TAG_BITS)
    return f"{stamp:012x}{serial % (1 << SERIAL_BITS):04x}"


def tagged_us(name: str) -> int:
    """The microsecond of time.monotonic at which the purge of that name was published."""
    return int(name[:12], 16)


def purge(name: str, age_ms: int = 0) -> bytes:
    """The part of an event that purges an object, now or so many ms ago."""
    return b'"flush":{"asset":"%s","ms":%d}' % (name.encode(), time.time_ns() // 1_000_000 - age_ms)


def pool_change(member: dict[str, Any]) -> bytes:
    """The part of an event that changes one store; its revision tells when it was published, in us."""
    pool = {"revision": time.monotonic_ns() // 1_000, "complete": False, "members": [member]}
    return b'"pool":' + json.dumps(pool, separators=(",", ":")).encode()


class History:
    """The numbered events, each encoded once; appended to a file if one is named."""

    def __init__(self, path: str | None = None) -> None:
        self.events: list[bytes] = []
        self._file = -1
        self._cached: dict[int, bytes] = {}
        if path is not None:
            with contextlib.suppress(FileNotFoundError), open(path, "rb") as file:
                # A line without its end was being written when the process died: nobody was told of it.
                self.events = [line[:-1] for line in file if line.endswith(b"\n")]
            self._file = os.open(path, os.O_WRONLY | os.O_CREAT)
            os.ftruncate(self._file, sum(len(event) + 1 for event in self.events))
            os.lseek(self._file, 0, os.SEEK_END)

    @property
    def rev(self) -> int:
        """The number of the last event."""
        return len(self.events)

    def append(self, parts: Sequence[bytes]) -> None:
        """Takes events without their numbers, which they get here."""
        first = self.rev + 1
        fresh = [b'{"rev":%d,%s}' % (first + place, part) for place, part in enumerate(parts)]
        if self._file >= 0:
            os.write(self._file, b"".join(event + b"\n" for event in fresh))
        self.events += fresh
        self._cached.clear()

    def answer(self, watch: int) -> bytes:
        """The whole HTTP response for a poll that has all events up to `watch`."""
        known = self._cached.get(watch)
        if known is not None:
            return known
        body = b'{"rev":%d,"notices":[%s]}' % (self.rev, b",".join(self.events[watch:]))
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        response = head + body
        if len(response) <= MOST_COMPLETE_BYTES:
            self._cached[watch] = response
        return response

    def close(self) -> None:
        if self._file >= 0:
            os.close(self._file)


@dataclass(slots=True)
class Traffic:
    """What went over the connections of one port."""

    polls: int = 0
    answers: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    connections: int = 0
    watch: int = -1  # the highest number that a poll has given, and when that came first
    watch_at_ns: int = 0


@dataclass(eq=False, slots=True)
class Port:
    """An address that gateways poll. A muted one tells nobody of any event; a cut one lets nobody in."""

    name: str
    muted: bool
    sock: socket.socket
    number: int
    traffic: Traffic = field(default_factory=Traffic)
    cut: bool = False


@dataclass(eq=False, slots=True)
class Connection:
    port: Port
    sock: socket.socket
    inbox: bytes = b""
    waits_at: int = -1  # the number of the last event that a waiting poll has, or -1
    poll: int = 0  # how many polls came on it
    late: bool = False  # its answer is being held back
    outbox: memoryview | None = None


class DiscoveryService:
    """Answers polls on any number of ports from one history."""

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
        """Listens on a loopback port, any that is free for 0; its number."""
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
        """The connections of a port end, and nobody is let in until `join`."""
        port = self.ports[name]
        if port.cut:
            return
        port.cut = True
        self.forget(port.sock.fileno())
        port.sock.close()
        for connection in [c for c in self._connections.values() if c.port is port]:
            self._drop(connection)

    def join(self, name: str) -> None:
        """Lets gateways in again at a port that was cut."""
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
        """Numbers the events and tells all who wait."""
        self.history.append(parts)
        for connection in [c for c in self._waiting if not c.port.muted]:
            self._answer(connection)

    # The loop --------------------------------------------------------------------------------------

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Calls at a moment of time.monotonic."""
        self._timer_serial += 1
        heapq.heappush(self._timers, (when, self._timer_serial, call))

    def watch(self, descriptor: int, mask: int, call: Callable[[int], None]) -> None:
        self._watched[descriptor] = call
        self._epoll.register(descriptor, mask)

    def forget(self, descriptor: int) -> None:
        self._watched.pop(descriptor, None)
        with contextlib.suppress(OSError):
            self._epoll.unregister(descriptor)

    def turn(self, most_s: float) -> None:
        """Waits for sockets or timers once, and handles them."""
        wait = most_s if not self._timers else min(max(self._timers[0][0] - time.monotonic(), 0.0), most_s)
        for descriptor, mask in self._epoll.poll(wait):
            call = self._watched.get(descriptor)
            if call is not None:
                call(mask)
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2]()

    def close(self) -> None:
        for connection in list(self._connections.values()):
            self._drop(connection)
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

    def _drop(self, connection: Connection) -> None:
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
        if not data or len(connection.inbox) > MOST_HEAD:
            self._drop(connection)
            return
        if b"\r\n\r\n" not in connection.inbox:
            return
        asked = POLL.match(connection.inbox)
        connection.inbox = b""
        if asked is None:
            self._drop(connection)
            return
        self._polled(connection, int(asked[1]), min(int(asked[2]), LONGEST_LINGER_MS))

    def _polled(self, connection: Connection, watch: int, linger_ms: int) -> None:
        traffic = connection.port.traffic
        traffic.polls += 1
        if watch > traffic.watch:
            traffic.watch, traffic.watch_at_ns = watch, time.monotonic_ns()
        connection.poll += 1
        connection.waits_at = watch
        self._waiting.add(connection)
        news = watch < self.history.rev and not connection.port.muted
        if news or not linger_ms:
            self._answer(connection)
            return
        poll = connection.poll
        self.at(time.monotonic() + linger_ms / 1000, lambda: self._lingered(connection, poll))

    def _lingered(self, connection: Connection, poll: int) -> None:
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
            self._drop(connection)
            return
        connection.port.traffic.bytes_out += sent
        rest = connection.outbox[sent:]
        connection.outbox = rest if len(rest) else None
        mask = READ if connection.outbox is None else READ | WRITE
        with contextlib.suppress(OSError):
            self._epoll.modify(connection.sock.fileno(), mask)


class PurgeSource:
    """Publishes purges at an even rate; some name objects that clients ask for, and are told as they go."""

    def __init__(self, service: DiscoveryService, told: Callable[[str, int, int], None]) -> None:
        """`told(name, monotonic ns, Unix ms)` hears of the purges of objects that clients ask for."""
        self._service, self._told = service, told
        self._rate, self._due, self._until = 0.0, 0.0, 0.0
        self._names: list[str] = []
        self._every = 0
        self._run = 0
        self.published = 0

    def start(self, rate: float, seconds: float, names: Sequence[str] = (), every: int = 0) -> None:
        """`rate` a second for so long; each `every`-th names one of `names`, in turn."""
        self._rate, self._names, self._every = rate, list(names), every
        self._due = time.monotonic()
        self._until = self._due + seconds
        self._run += 1
        run = self._run
        self._service.at(self._due, lambda: self._next(run))

    def stop(self) -> None:
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
            self._told(name, now, time.time_ns() // 1_000_000)
        else:
            name = tag(now, self.published)
        return purge(name)


class Commands:
    """Carries out what the harness writes, one JSON object a line."""

    def __init__(self, service: DiscoveryService) -> None:
        self._service = service
        self._buffer = b""
        self._source = PurgeSource(service, self._named)
        os.set_blocking(0, False)
        service.watch(0, READ, self._ready)

    @staticmethod
    def _say(said: dict[str, Any]) -> None:
        sys.stdout.write(json.dumps(said) + "\n")
        sys.stdout.flush()

    def _named(self, name: str, monotonic_ns: int, unix_ms: int) -> None:
        self._say({"purged": name, "at_ns": monotonic_ns, "ms": unix_ms})

    def _ready(self, mask: int) -> None:
        data = os.read(0, 1 << 20)
        if not data:  # the harness has ended
            self._service.running = False
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in lines:
            self._say({"done": True, **self._do(json.loads(line))})

    def _do(self, said: dict[str, Any]) -> dict[str, Any]:
        service = self._service
        do = said.pop("do")
        if do == "port":
            return {"port": service.open_port(**said)}
        if do == "purges":
            self._source.start(**said)
        elif do == "stop_purges":
            self._source.stop()
        elif do == "backlog":
            self._backlog(int(said["count"]), float(said.get("per_s", 0.0)))
        elif do == "pool":
            service.publish([b'"pool":' + json.dumps(said["pool"], separators=(",", ":")).encode()])
        elif do == "change":
            service.publish([pool_change(said["member"])])
        elif do == "late":
            service.late_share, service.late_s = said["share"], said["seconds"]
        elif do == "cut":
            service.cut(said["name"])
        elif do == "join":
            service.join(said["name"])
        elif do != "state":
            raise ValueError(do)
        return self._state()

    def _backlog(self, count: int, per_s: float) -> None:
        """Events that came while nobody was connected: purges made at that rate up to now, or all now."""
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
    service = DiscoveryService(History(path))
    Commands(service)
    Commands._say({"started": True, "rev": service.history.rev})
    while service.running:
        service.turn(1.0)
    service.close()


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else None)
