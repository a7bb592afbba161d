"""Stand-in stores of the line protocol, and a client of the platform's front, for benchmarks.

They share no code with the gateway but the front's codec. Everything is on one thread and one selector.
"""

from __future__ import annotations

import contextlib
import heapq
import random
import selectors
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from olivecourse.fronts import codec


@dataclass
class Store:
    """One listening stand-in. `mode`: good, failing (answers an error at once), silent (never answers)."""

    name: str
    mode: str = "good"
    delay_s: float = 0.02
    asked: int = 0
    orders: dict[str, int] = field(default_factory=dict)
    sock: socket.socket = field(default_factory=lambda: socket.create_server(("127.0.0.1", 0), backlog=128))

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.sock.getsockname()[1]}"


class World:
    """Stores and clients on one selector, with timers."""

    def __init__(self, stores: list[Store]) -> None:
        self.stores = stores
        self.selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._conns: list[socket.socket] = []
        for store in stores:
            store.sock.setblocking(False)
            self.selector.register(store.sock, selectors.EVENT_READ, lambda s=store: self._accept(s))

    def at(self, when: float, call: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._timers, (when, self._count, call))

    def _accept(self, store: Store) -> None:
        with contextlib.suppress(BlockingIOError):
            conn, _ = store.sock.accept()
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._conns.append(conn)
            buffer = bytearray()
            self.selector.register(conn, selectors.EVENT_READ, lambda: self._read(store, conn, buffer))

    def _drop(self, conn: socket.socket) -> None:
        with contextlib.suppress(KeyError, ValueError):
            self.selector.unregister(conn)
        conn.close()
        if conn in self._conns:
            self._conns.remove(conn)

    def _read(self, store: Store, conn: socket.socket, buffer: bytearray) -> None:
        try:
            data = conn.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._drop(conn)
            return
        buffer += data
        while (end := buffer.find(b"\r\n")) >= 0:
            words = bytes(buffer[:end]).decode().split(" ")
            length = int(words[3]) if words[0] == "fetch" else 0
            whole = end + 2 + (length + 2 if words[0] == "fetch" else 0)
            if len(buffer) < whole:
                return
            body = bytes(buffer[end + 2:whole - 2])
            del buffer[:whole]
            if words[0] == "fetch":
                self._asked(store, conn, words[1], words[2], body)

    def _asked(self, store: Store, conn: socket.socket, request: str, fields: str, body: bytes) -> None:
        store.asked += 1
        if "sort=commande" in fields:  # an order runs as soon as it has come whole
            store.orders[body.decode()] = store.orders.get(body.decode(), 0) + 1
        if store.mode == "silent":
            return
        order = "sort=commande" in fields
        good = b"data %s 16\r\n0123456789abcdef\r\n" % (b"n=MISS" if order else b"version=v1,stamp=1,n=HIT")
        answer = b"failed - 0\r\n\r\n" if store.mode == "failing" else good
        delay = 0.002 if store.mode == "failing" else store.delay_s

        def say() -> None:
            with contextlib.suppress(OSError):
                conn.sendall(request.encode() + b" " + answer)

        self.at(time.monotonic() + delay, say)

    def turn(self, until: float) -> None:
        now = time.monotonic()
        next_at = min(self._timers[0][0] if self._timers else until, until)
        for key, _ in self.selector.select(max(next_at - now, 0)):
            key.data()
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2]()

    def run(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.turn(end)

    def close(self) -> None:
        for conn in list(self._conns):
            self._drop(conn)
        for store in self.stores:
            self.selector.unregister(store.sock)
            store.sock.close()
        self.selector.close()


@dataclass
class Tally:
    asked: int = 0
    in_time: int = 0
    answered: int = 0


class Load:
    """Open loop: requests at their intended times, whatever has been answered. Each is timed from then."""

    def __init__(self, world: World, port: int, rate: float, seed: int, aim_s: float = 0.6,
                 deadline_ms: int = 2500, conns: int = 8) -> None:
        self.world, self.rate, self.aim, self.deadline = world, rate, aim_s, deadline_ms
        self.random = random.Random(seed)
        self.tally = Tally()
        self.running = True
        self._open: dict[tuple[int, int], float] = {}
        self._numbers = [0] * conns
        self._socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(conns)]
        self._buffers = [bytearray() for _ in range(conns)]
        for i, sock in enumerate(self._socks):
            sock.setblocking(False)
            world.selector.register(sock, selectors.EVENT_READ, lambda i=i: self._read(i))
        self._due = time.monotonic()
        world.at(self._due, self._ask)

    def _ask(self) -> None:
        if not self.running:
            return
        i = self.random.randrange(len(self._socks))
        self._numbers[i] += 1
        rank = int(self.random.paretovariate(0.9)) % 4000  # few objects are asked for often
        fields = {"c": "fichiers", "i": f"{self.random.getrandbits(64):016x}", "o": f"{rank:016x}",
                  "d": str(self.deadline), "n": "0", "m": "100", "shard": str(rank % 256)}
        frame = codec.encode("serve", 1, self._numbers[i], codec.ServeArgs(fields=fields, body=b""))
        self._open[(i, self._numbers[i])] = self._due
        self.tally.asked += 1
        with contextlib.suppress(OSError):
            self._socks[i].sendall(frame)
        self._due += self.random.expovariate(self.rate)
        self.world.at(self._due, self._ask)

    def _read(self, i: int) -> None:
        try:
            data = self._socks[i].recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            with contextlib.suppress(KeyError):
                self.world.selector.unregister(self._socks[i])
            return
        buffer = self._buffers[i]
        buffer += data
        while len(buffer) >= 4 and len(buffer) >= 4 + (size := int.from_bytes(buffer[:4], "big")):
            frame = bytes(buffer[4:4 + size])
            del buffer[:4 + size]
            _, kind, number, result = codec.decode(frame, {"serve": codec.Result})
            since = self._open.pop((i, number), None)
            if since is None:
                continue
            self.tally.answered += 1
            if kind != 3 and getattr(result, "success", None) is not None:
                self.tally.in_time += time.monotonic() - since <= self.aim

    def stop(self) -> None:
        self.running = False

    def close(self) -> None:
        for sock in self._socks:
            with contextlib.suppress(KeyError, ValueError):
                self.world.selector.unregister(sock)
            sock.close()


def settings(classes: list[tuple[str, int, str, bool]], **limits: Any) -> dict[str, Any]:
    """Settings as a gateway reads them: (name, deadline_ms, effect, write) for each class."""
    s = 1_000_000_000
    return {
        "me": 0, "instances": 1, "az": 1, "zones": ["hub-nord", "praia"],
        "kinds": ["petit", "parent", "origin"], "discovery": "push", "period_ns": 2_000_000,
        "weight_kind": "rough",
        "family_info": {"zone_hub": [0, 0], "seats_by_zone": [0, 1], "mid_kind": 1, "source_kind": 2,
                        "joins": True, "may_pass_by": False, "siblings": "location", "notes_given": "all",
                        "client_kb_per_s": 5000.0, "max_age_ns": [0] * len(classes),
                        "grace_for_ns": [0] * len(classes), "stale_earns": [0.7] * len(classes),
                        "never_kept": [w for *_, w in classes], "purge_grace_ns": 300_000_000,
                        "purge_settles_ns": 6 * s, "parent_floor": 0.064, "parent_ramp_ns": 18 * s,
                        "parent_limit_factor": 2.0},
        "limits": {"cancel": True, "second_copies": True, "retry_after": True, "max_retry_after_ns": s,
                   "max_attempts": 8, "connect_timeout_ns": 400_000_000, "conn_idle_ns": 15 * s,
                   "streams_per_conn": 100, "peers": False, **limits},
        "contract": {"grace_to_answer_ns": 8_000_000, "stop_sending_within_ns": 250_000_000,
                     "cold_from": 0.16, "cold_ns": 15 * s, "tip_multiple": 2.5, "overload_for_ns": 3 * s},
        "profiles": [{"name": n, "on_time_ns": 600_000_000, "aim_stretch": 2.0, "deadline_ns": d * 1_000_000,
                      "worth": 1.0, "late_worth": 0.1, "effect": e, "key_scope": "all",
                      "memory_span_ns": 5 * s, "streamed": False} for n, d, e, _ in classes]}
