"""An open-loop client of the platform's front, for benchmarks."""

from __future__ import annotations

import contextlib
import random
import selectors
import socket
import time
from dataclasses import dataclass

from olivecourse.emulator.stores import World
from olivecourse.fronts import codec


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

