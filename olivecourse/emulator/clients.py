"""Emulated clients of a gateway, which check each answer.

They are open-loop: they send requests at scheduled times, whether or not earlier ones have been answered.
"""

from __future__ import annotations

import contextlib
import random
import selectors
import socket
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from olivecourse.emulator.stores import EmulatorLoop, content
from olivecourse.fronts import codec

ANSWER_TOLERANCE_S = 0.1  # a request is reported as unanswered only this long after its deadline


@dataclass(frozen=True)
class TrafficClass:
    """A request class as emulated clients send it.

    Clients choose the class of each request at random, in proportion to `share`. `deadline_ms` is the time
    from sending a request to its deadline. With `write` its requests carry a body. `sized_per_ten` of ten
    requests, chosen at random, state the expected size of the object.
    """

    name: str
    share: float = 1.0
    deadline_ms: int = 2500
    write: bool = False
    sized_per_ten: int = 10


class LoadGenerator:
    """Clients with `connection_count` connections, which together send `rate` requests a second on average.

    With several ports each connection goes to the first gateway that accepts it. `outcomes` counts requests
    by outcome: served, refused, failed, and nobody (no gateway could be reached). A request that does not get
    exactly one answer in time, or gets wrong bytes, is reported to `report_violation(rule, description)`,
    where the rule is "unanswered" or "answers".
    """

    def __init__(
        self,
        world: EmulatorLoop,
        port: int | Sequence[int],
        traffic_classes: Sequence[TrafficClass],
        rate: float,
        seed: int,
        report_violation: Callable[[str, str], None],
        connection_count: int = 4,
        objects: int = 400,
    ) -> None:
        self._ports = [port] if isinstance(port, int) else list(port)
        self._world, self._classes, self._rate, self._report_violation = (
            world,
            traffic_classes,
            rate,
            report_violation,
        )
        self.random = random.Random(seed)
        self._objects = objects
        self.outcomes: Counter[str] = Counter()
        self.outcomes_by_class: dict[str, Counter[str]] = {s.name: Counter() for s in traffic_classes}
        self.lost_requests = (
            0  # requests without an answer when their connection ended, as when the gateway is killed
        )
        self.latencies_s: list[float] = []  # of served requests, from sending to the answer
        self.running = True
        self._open_requests: dict[tuple[int, int], tuple[float, TrafficClass, bytes]] = {}
        self._last_numbers = [0] * connection_count
        self._socks: list[socket.socket | None] = [None] * connection_count
        self._buffers = [bytearray() for _ in range(connection_count)]
        self._port_indexes = [0] * connection_count  # for each connection, the index of its port in `_ports`
        for i in range(connection_count):
            self._connect(i)
        self._next_send_at = time.monotonic()
        world.at(self._next_send_at, self._send_next)

    @property
    def open(self) -> int:
        """The number of requests that were sent and are not answered, lost or reported as overdue."""
        return len(self._open_requests)

    def asset(self) -> str:
        """Draws an object id (16 hex digits), Pareto-distributed: low numbers are the most frequent."""
        return f"{min(int(self.random.paretovariate(0.9)), self._objects):016x}"

    def _connect(self, i: int) -> None:
        self._last_numbers[i], self._buffers[i] = 0, bytearray()
        candidates = ((n, _try_connect(port)) for n, port in enumerate(self._ports))
        self._port_indexes[i], sock = next(
            ((n, candidate) for n, candidate in candidates if candidate is not None),
            (0, None),
        )
        self._socks[i] = sock
        if sock is None:
            return
        self._world.selector.register(sock, selectors.EVENT_READ, lambda: self._read(i, sock))

    def _drop(self, i: int) -> None:
        sock, self._socks[i] = self._socks[i], None
        if sock is not None:
            with contextlib.suppress(KeyError, ValueError):
                self._world.selector.unregister(sock)
            sock.close()
        for key in [key for key in self._open_requests if key[0] == i]:
            del self._open_requests[key]
            self.lost_requests += 1

    def _send_next(self) -> None:
        if not self.running:
            return
        now = time.monotonic()
        self._report_overdue(now)
        i = self.random.randrange(len(self._socks))
        # A connection that was opened to a later port of `_ports`, because the first did not accept it,
        # returns to the first port with a probability of 0.1 while it has no open requests.
        return_to_first = (
            self._port_indexes[i]
            and not any(key[0] == i for key in self._open_requests)
            and self.random.random() < 0.1
        )
        if return_to_first:
            self._drop(i)
        if self._socks[i] is None:
            self._connect(i)
        sock = self._socks[i]
        if sock is not None:
            self._last_numbers[i] += 1
            request_class = self.random.choices(self._classes, [s.share for s in self._classes])[0]
            asset, part = self.asset(), str(self.random.randrange(2))
            fields = {
                "c": request_class.name,
                "i": f"{self.random.getrandbits(64):016x}",
                "o": asset,
                "n": part,
                "d": str(request_class.deadline_ms),
                "shard": str(int(asset, 16) % 256),
            }
            if self.random.randrange(10) < request_class.sized_per_ten:
                fields["m"] = f"{self.random.paretovariate(1.5) * 20:.1f}"
            body = b"order" if request_class.write else b""
            frame = codec.encode("serve", 1, self._last_numbers[i], codec.ServeArgs(fields=fields, body=body))
            self._open_requests[(i, self._last_numbers[i])] = (
                now,
                request_class,
                b"" if request_class.write else content(asset, part),
            )
            with contextlib.suppress(OSError):
                sock.sendall(frame)
        else:
            self.outcomes["nobody"] += 1
        self._next_send_at += self.random.expovariate(self._rate)
        self._world.at(self._next_send_at, self._send_next)

    def _report_overdue(self, now: float) -> None:
        """Reports and removes the requests unanswered for ANSWER_TOLERANCE_S beyond their deadline."""
        for key, (sent_at, request_class, _) in list(self._open_requests.items()):
            if now - sent_at > request_class.deadline_ms / 1000 + ANSWER_TOLERANCE_S:
                del self._open_requests[key]
                self._report_violation(
                    "unanswered", f"{request_class.name} after {request_class.deadline_ms} ms"
                )

    def _read(self, i: int, sock: socket.socket) -> None:
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._drop(i)
            return
        buffer = self._buffers[i]
        buffer += data
        while len(buffer) >= 4 and len(buffer) >= 4 + (size := int.from_bytes(buffer[:4], "big")):
            frame = bytes(buffer[4 : 4 + size])
            del buffer[: 4 + size]
            self._check_answer(i, frame)

    def _check_answer(self, i: int, frame: bytes) -> None:
        _, kind, number, result = codec.decode(frame, {"serve": codec.Result})
        pending = self._open_requests.pop((i, number), None)
        if pending is None:
            self._report_violation("answers", f"number {number} is not open")
            return
        sent_at, request_class, expected_body = pending
        served = getattr(result, "success", None) if kind != 3 else None
        outcome = "failed" if served is None else "served"
        if kind != 3 and getattr(result, "refused", None) is not None:
            outcome = "refused"
        if served is not None:
            self.latencies_s.append(time.monotonic() - sent_at)
            if expected_body and served.body != expected_body:
                self._report_violation("answers", f"{request_class.name}: not the bytes of that part")
        self.outcomes[outcome] += 1
        self.outcomes_by_class[request_class.name][outcome] += 1

    def finish_requests(self, seconds: float) -> None:
        """Stops sending requests and runs the EmulatorLoop until all sent requests are answered, lost or
        reported as overdue, for at most `seconds`.
        """
        self.running = False
        end = time.monotonic() + seconds
        while self._open_requests and time.monotonic() < end:
            self._world.run(0.02)
            self._report_overdue(time.monotonic())

    def close(self) -> None:
        """Stops sending requests and closes all connections; requests still open count as lost."""
        self.running = False
        for i in range(len(self._socks)):
            self._drop(i)


def _try_connect(port: int) -> socket.socket | None:
    try:
        sock = socket.create_connection(("127.0.0.1", port), timeout=0.2)
    except OSError:
        return None
    sock.setblocking(False)
    return sock


def accepts_work(port: int) -> bool:
    """Whether the gateway at loopback port `port` answers the Thrift health call `isWell` with true.

    It waits at most one second to connect, and one for the answer.
    """
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1) as sock:
            sock.sendall(codec.encode("isWell", 1, 1, codec.IsWellArgs(unused=True)))
            data = sock.recv(4096)
            answer = codec.decode(data[4:], {"isWell": codec.Result})[3]
            return bool(answer.success.good) if isinstance(answer, codec.Result) else False  # type: ignore[attr-defined]
    except (OSError, ValueError, AttributeError):
        return False
