"""Open-loop clients that send requests to a gateway by the platform's Thrift protocol, for benchmarks."""

from __future__ import annotations

import contextlib
import random
import selectors
import socket
import time
from dataclasses import dataclass

from olivecourse.emulator.stores import EmulatorLoop
from olivecourse.fronts import codec


@dataclass
class Tally:
    """Counts of a load's requests by outcome, and of connection failures.

    `asked` counts sent requests, `answered` those answered in any way, and `in_time` those served within the
    target time.
    """

    asked: int = 0
    in_time: int = 0
    answered: int = 0
    refused: int = 0
    closed_on: int = 0  # requests without an answer when the gateway closed their connection
    reset: int = 0  # connections on which a read failed, for example after a TCP reset
    faults: int = 0  # answers whose sequence number belongs to no open request


class Load:
    """An open-loop load on one gateway: requests are sent at scheduled times, whether or not earlier
    ones are answered.

    The latency of a request counts from its scheduled time.
    """

    def __init__(
        self,
        world: EmulatorLoop,
        port: int,
        rate: float,
        seed: int,
        aim_s: float = 0.6,
        deadline_ms: int = 2500,
        conns: int = 8,
        orders: float = 0.0,
        fresh: float = 0.0,
    ) -> None:
        """Connects to the gateway at `port` and schedules the first of `rate` requests a second.

        `orders` is the share of requests that are orders, each with its own body. `fresh` is the share of
        requests that use a new connection, which the client closes once the request is answered.
        """
        self.orders, self.fresh, self.port = orders, fresh, port
        self.world, self.rate, self.aim, self.deadline = world, rate, aim_s, deadline_ms
        self.random = random.Random(seed)
        self.tally = Tally()
        self.running = True
        self._open: dict[tuple[int, int], float] = {}
        self._sequence_numbers = [0] * conns
        self._socks: list[socket.socket] = []
        self._buffers = [bytearray() for _ in range(conns)]
        self._single_use: set[int] = set()  # indexes of connections that are closed after one request
        for index in range(conns):
            self._connect(index)
        self._due = time.monotonic()
        world.at(self._due, self._send_request)

    def _connect(self, index: int) -> None:
        sock = socket.create_connection(("127.0.0.1", self.port))
        sock.setblocking(False)
        self._socks[index : index + 1] = [sock]
        self._buffers[index], self._sequence_numbers[index] = bytearray(), 0
        self.world.selector.register(sock, selectors.EVENT_READ, lambda: self._read(index, sock))

    def _choose_connection(self) -> int:
        """Returns the index of the connection for the next request; opens a new one for the share `fresh`."""
        usual = len(self._socks) - len(self._single_use)
        if self.random.random() >= self.fresh:
            return self.random.randrange(usual)
        for index in sorted(self._single_use):  # reuses the index of one whose request is answered
            if not any(connection == index for connection, _ in self._open):
                self._close_connection(index)
                self._connect(index)
                return index
        self._sequence_numbers.append(0)
        self._buffers.append(bytearray())
        self._connect(len(self._sequence_numbers) - 1)
        self._single_use.add(len(self._sequence_numbers) - 1)
        return len(self._sequence_numbers) - 1

    def _close_connection(self, index: int) -> None:
        with contextlib.suppress(KeyError, ValueError):
            self.world.selector.unregister(self._socks[index])
        self._socks[index].close()

    def _on_closed(self, index: int, reset: bool) -> None:
        """Counts the open requests of a connection that the gateway closed or reset, and opens a new one."""
        unanswered = [key for key in self._open if key[0] == index]
        for key in unanswered:
            del self._open[key]
        self.tally.closed_on += len(unanswered)
        self.tally.reset += reset
        self._close_connection(index)
        if self.running:
            with contextlib.suppress(OSError):
                self._connect(index)

    @property
    def open(self) -> int:
        """The number of requests that wait for an answer now."""
        return len(self._open)

    def _send_request(self) -> None:
        if not self.running:
            return
        index = self._choose_connection()
        self._sequence_numbers[index] += 1
        rank = int(self.random.paretovariate(0.9)) % 4000  # an object number; low ones are requested often
        fields = {
            "c": "fichiers",
            "i": f"{self.random.getrandbits(64):016x}",
            "o": f"{rank:016x}",
            "d": str(self.deadline),
            "n": "0",
            "m": "100",
            "shard": str(rank % 256),
        }
        order = self.random.random() < self.orders
        fields["c"] = "commande" if order else "fichiers"
        body = f"order {self.random.getrandbits(64):016x}".encode() if order else b""
        frame = codec.encode(
            "serve", 1, self._sequence_numbers[index], codec.ServeArgs(fields=fields, body=body)
        )
        self._open[(index, self._sequence_numbers[index])] = self._due
        self.tally.asked += 1
        with contextlib.suppress(OSError):
            self._socks[index].sendall(frame)
        self._due += self.random.expovariate(self.rate)
        self.world.at(self._due, self._send_request)

    def _read(self, index: int, sock: socket.socket) -> None:
        if self._socks[index] is not sock:
            return
        reset = False
        try:
            data = sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data, reset = b"", True
        if not data:
            self._on_closed(index, reset)
            return
        buffer = self._buffers[index]
        buffer += data
        while len(buffer) >= 4 and len(buffer) >= 4 + (size := int.from_bytes(buffer[:4], "big")):
            frame = bytes(buffer[4 : 4 + size])
            del buffer[: 4 + size]
            _, kind, number, result = codec.decode(frame, {"serve": codec.Result})
            scheduled_at = self._open.pop((index, number), None)
            if scheduled_at is None:
                self.tally.faults += 1
                continue
            self.tally.answered += 1
            self.tally.refused += kind != 3 and getattr(result, "refused", None) is not None
            if kind != 3 and getattr(result, "success", None) is not None:
                self.tally.in_time += time.monotonic() - scheduled_at <= self.aim

    def stop(self) -> None:
        """Stops sending requests; answers to earlier ones are still read and counted."""
        self.running = False

    def close(self) -> None:
        """Closes all connections to the gateway."""
        for sock in self._socks:
            with contextlib.suppress(KeyError, ValueError):
                self.world.selector.unregister(sock)
            sock.close()
