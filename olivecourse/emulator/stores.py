"""Emulated caches, parent caches and an origin, all on one thread.

They speak the line protocol between gateways and stores:

    fetch ID FIELDS LENGTH CR LF body CR LF    is answered by    ID WORD FIELDS LENGTH CR LF body CR LF
    abort ID                                   is not answered

A cache or parent answers a hit after `delay_s`, and a miss after `delay_s + fill_s`, as it first fetches the
object from another store. It stores the copies that a request asks it to retain. It drops no copy at a purge,
since a real store takes seconds to do so: only the greatest acceptable age of a copy, which the gateway
states in its request, protects a client from a purged copy.
"""

from __future__ import annotations

import contextlib
import heapq
import selectors
import socket
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_LINE_BYTES = 4096
MODES = ("good", "failing", "silent")


@dataclass(eq=False)
class Store:
    """One emulated cache, parent cache or origin.

    `mode` is good, failing (answers an error at once) or silent (accepts requests and answers none).
    An answer takes `delay_s`, and `fill_s` longer for a miss or a write.
    With `holds_all`, every read is a hit with a copy that the origin issued at this moment; otherwise the
    store keeps at most `max_copies` copies. `request_count` counts the received requests, `open` those
    whose answer is decided but not yet sent.
    `write_counts` counts the executions of each write by its body, as soon as the body is complete, in every
    `mode`.
    `copies` maps the key of each copy ("OBJECT/PART") to the Unix time in ms at which the origin issued it.
    `fresh_ms` is the greatest age of a class's copies for requests that state none (0: any age).
    `reports` names the fields of the load report that each answer carries; without fields there is no report.
    """

    name: str
    mode: str = "good"
    delay_s: float = 0.02
    fill_s: float = 0.03
    holds_all: bool = True
    max_copies: int = 1000
    request_count: int = 0
    write_counts: dict[str, int] = field(default_factory=dict)
    open: int = 0
    reports: tuple[str, ...] = ()
    fresh_ms: dict[str, int] = field(default_factory=dict)
    copies: OrderedDict[str, int] = field(default_factory=OrderedDict)
    sock: socket.socket = field(default_factory=lambda: socket.create_server(("127.0.0.1", 0), backlog=128))

    @property
    def address(self) -> str:
        """The `HOST:PORT` on which the store listens."""
        return f"127.0.0.1:{self.sock.getsockname()[1]}"

    def lookup(self, key: str, oldest_ms: int) -> int | None:
        """The Unix time in ms at which the origin issued the held copy of `key` ("OBJECT/PART").

        None if there is no copy, or if it is older than `oldest_ms` milliseconds (0: any age is accepted).
        """
        if self.holds_all:
            return unix_ms()
        stamp = self.copies.get(key)
        if stamp is None or oldest_ms and unix_ms() - stamp > oldest_ms:
            return None
        self.copies.move_to_end(key)
        return stamp

    def add_copy(self, key: str, stamp: int) -> None:
        """Stores a copy of `key` that the origin issued at the Unix time `stamp` in ms.

        If the store then holds more than `max_copies`, it evicts the least recently used copy.
        """
        self.copies[key] = stamp
        if len(self.copies) > self.max_copies:
            self.copies.popitem(last=False)

    def load(self) -> str:
        """The load report in field `l` of answers: NAME:VALUE for each of `reports`, joined by ";"."""
        values = {"inflight": self.open, "util": min(self.open / 16, 1.0)}
        return ";".join(f"{name}:{values.get(name, 0.5):g}" for name in self.reports)


AnswerCallback = Callable[[Store, str, str, dict[str, str]], None]


def unix_ms() -> int:
    """The current Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


def content(asset: str, part: str) -> bytes:
    """The body that every store serves for one part of an object; clients compare answers with it."""
    return f"calendar {asset} part {part}\n".encode() * 4


class EmulatorLoop:
    """An event loop with timers that runs the stores and whatever else is registered on its selector.

    `on_answer(store, request, word, fields)` is called when a store has decided on its answer, before the
    delay after which it sends it. `word` is the answer's first word, and `fields` are those of request and
    answer.
    """

    def __init__(
        self,
        stores: list[Store],
        on_answer: AnswerCallback | None = None,
        writes: frozenset[str] = frozenset({"commande"}),
    ) -> None:
        """`writes` names the request classes that are writes. Stores count them in `Store.write_counts` and
        keep no copies of their answers.
        """
        self.stores, self._on_answer, self._writes = stores, on_answer, writes
        self._stores_by_name = {store.name: store for store in stores}
        self.selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._timer_count = 0
        self._connections: dict[socket.socket, Store] = {}
        for store in stores:
            store.sock.setblocking(False)
            self.selector.register(store.sock, selectors.EVENT_READ, lambda s=store: self._accept(s))

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedules one call of `call` at `when`, a time of time.monotonic in seconds."""
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, call))

    def _accept(self, store: Store) -> None:
        with contextlib.suppress(BlockingIOError):
            conn, _ = store.sock.accept()
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections[conn] = store
            buffer = bytearray()
            self.selector.register(conn, selectors.EVENT_READ, lambda: self._read(store, conn, buffer))

    def _drop(self, conn: socket.socket) -> None:
        with contextlib.suppress(KeyError, ValueError):
            self.selector.unregister(conn)
        conn.close()
        self._connections.pop(conn, None)

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
            words = bytes(buffer[:end]).decode("ascii", "replace").split(" ")
            fetch = words[0] == "fetch" and len(words) == 4 and words[3].isdecimal()
            # After a malformed line, the start of the next request is unknown, so the connection is closed.
            if not fetch and words[0] != "abort" or end > MAX_LINE_BYTES:
                self._drop(conn)
                return
            frame_end = end + 2 + (int(words[3]) + 2 if fetch else 0)
            if len(buffer) < frame_end:
                return
            body = bytes(buffer[end + 2 : frame_end - 2])
            del buffer[:frame_end]
            if fetch:
                self._handle_request(store, conn, words[1], words[2], body)

    def _handle_request(
        self, store: Store, conn: socket.socket, request: str, encoded_fields: str, body: bytes
    ) -> None:
        store.request_count += 1
        fields = dict(pair.partition("=")[::2] for pair in encoded_fields.split(","))
        is_write = fields.get("sort") in self._writes
        if is_write:
            body_text = body.decode("utf-8", "replace")
            store.write_counts[body_text] = store.write_counts.get(body_text, 0) + 1
        if store.mode == "silent":
            return
        word, answer_fields, data, delay = self._answer(store, fields, is_write)
        store.open += 1
        if store.reports:
            answer_fields = {**answer_fields, "l": store.load()}
        if self._on_answer is not None:
            self._on_answer(store, request, word, {**fields, **answer_fields})
        encoded_answer = ",".join(f"{k}={v}" for k, v in answer_fields.items()) or "-"
        line = f"{request} {word} {encoded_answer} {len(data)}\r\n".encode() + data + b"\r\n"

        def send_answer() -> None:
            store.open -= 1
            with contextlib.suppress(OSError):  # the gateway may have closed the connection before the answer
                conn.sendall(line)

        self.at(time.monotonic() + delay, send_answer)

    def _answer(
        self, store: Store, fields: dict[str, str], is_write: bool
    ) -> tuple[str, dict[str, str], bytes, float]:
        if store.mode == "failing":
            return "failed", {}, b"", 0.002
        asset, part = fields.get("asset", ""), fields.get("slice", "0")
        if is_write:
            return "data", {"n": "MISS"}, b"order taken\n", store.delay_s + store.fill_s
        key, request_class = f"{asset}/{part}", fields.get("sort", "")
        oldest_ms = int(fields.get("newer") or 0) or store.fresh_ms.get(request_class, 0)
        stamp, note, delay = store.lookup(key, oldest_ms), "HIT", store.delay_s
        if stamp is None and "fetch" not in fields:
            return "absent", {}, b"", delay
        if stamp is None:
            note, delay = "MISS", delay + store.fill_s
            source = self._stores_by_name.get(fields["fetch"])
            stamp = unix_ms()
            # If the store that the field `fetch` names is a parent with a copy, the fill gets that one;
            # otherwise the origin issues a new copy now.
            if source is not None and source is not store:
                stamp = source.lookup(key, oldest_ms) or stamp
                source.add_copy(key, stamp)
            if "retain" in fields:
                store.add_copy(key, stamp)
        return "data", {"version": "v1", "stamp": str(stamp), "n": note}, content(asset, part), delay

    def reset(self, store: Store) -> None:
        """Closes the store's connections, as if its process had died; it accepts new connections at once."""
        for conn in [c for c, owner in self._connections.items() if owner is store]:
            self._drop(conn)

    def turn(self, until: float) -> None:
        """Waits for socket events or a timer, at most until `until` (time.monotonic), and handles them."""
        now = time.monotonic()
        next_at = min(self._timers[0][0] if self._timers else until, until)
        for key, _ in self.selector.select(max(next_at - now, 0)):
            key.data()
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2]()

    def run(self, seconds: float) -> None:
        """Runs the event loop, that is socket events and timers, for `seconds` of real time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.turn(end)

    def close(self) -> None:
        """Closes all connections to stores, the stores' listening sockets and the selector."""
        for conn in list(self._connections):
            self._drop(conn)
        for store in self.stores:
            self.selector.unregister(store.sock)
            store.sock.close()
        self.selector.close()
