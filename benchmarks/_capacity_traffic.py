"""The processor time of a real gateway for a request, as a function of the size of the answer.

Clients on loopback send one request after the other on a few connections. Stand-in stores hold every object
and answer at once. Both are threads of this process; only the processor time of the gateway's process is
measured.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import threading
import time
from pathlib import Path
from random import Random

from benchmarks._program import ROOT, Gateway
from olivecourse.emulator.settings import settings
from olivecourse.fronts import codec

CLASSES = [("fichiers", 2500, "idempotent", False)]
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 384}
CONNECTIONS = 8  # client connections to the gateway, each with at most one open request
STORES = 4
OBJECTS = 400
TIMEOUT_S = 20.0
SUCCESS = 2  # the Thrift message type of a reply
WARM_S = 0.15


class Stores:
    """A server that stands in for all stores; a thread per connection answers with `size` bytes."""

    def __init__(self) -> None:
        self.size = 0
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "{}:{}".format(*self._listening.getsockname())
        self._open: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listening.accept()
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._open.append(connection)
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), connection.makefile("rb") as lines:
            for line in lines:
                words = line.decode("ascii").split()
                if words and words[0] == "fetch":
                    lines.read(int(words[3]) + 2)
                    stamp = time.time_ns() // 1_000_000
                    head = f"{words[1]} data version=v1,stamp={stamp},n=HIT {self.size}\r\n"
                    connection.sendall(head.encode() + bytes(self.size) + b"\r\n")

    def close(self) -> None:
        """Closes the listening socket and all connections of gateways."""
        self._listening.close()
        for connection in self._open:
            connection.close()


class Client(threading.Thread):
    """A client that sends one request at a time on one connection until `stop`, and counts the answers."""

    def __init__(self, port: int, kb: float, seed: str) -> None:
        """`kb` is the expected size of each answer, stated in the request.

        `seed` must differ between clients: it determines request ids, which a gateway accepts only once.
        """
        super().__init__(daemon=True)
        self._random, self._kb = Random(seed), kb
        self._sock = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.served = self.failed = 0
        self.running = True

    def run(self) -> None:
        """Sends requests one after the other and reads their answers, on this thread, until `stop`."""
        number = 0
        with contextlib.suppress(OSError), self._sock.makefile("rb") as answers:
            while self.running:
                number += 1
                self._sock.sendall(self._frame(number))
                body = answers.read(int.from_bytes(answers.read(4), "big"))
                _, kind, _, result = codec.decode(body, {"serve": codec.Result})
                if kind == SUCCESS and getattr(result, "success", None) is not None:
                    self.served += 1
                else:
                    self.failed += 1

    def _frame(self, number: int) -> bytes:
        name = self._random.randrange(OBJECTS)
        fields = {
            "c": "fichiers",
            "i": f"{self._random.getrandbits(64):016x}",
            "o": f"{name:016x}",
            "d": "2500",
            "n": "0",
            "m": f"{self._kb:.0f}",
            "shard": str(name % 256),
        }
        return codec.encode("serve", 1, number, codec.ServeArgs(fields=fields, body=b""))

    def stop(self) -> None:
        """Lets the current request end, waits for the thread, and closes the connection."""
        self.running = False
        self.join(TIMEOUT_S)
        self._sock.close()


def compiled() -> bool:
    """Returns whether .native/ has compiled modules, which the measured gateway then runs."""
    return (ROOT / ".native" / "stamp").exists()


def processor_s(pid: int) -> float:
    """Returns the user plus system processor time of a process since its start, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Traffic:
    """A gateway process with stand-in stores; the same process is measured with all sizes of answers."""

    def __init__(self, folder: Path) -> None:
        self.stores = Stores()
        members = [
            {
                "id": f"{kind}-{number}",
                "host_port": self.stores.address,
                "flavor": kind,
                "cell": 0,
                "locality": "praia" if kind == "petit" else "hub-nord",
                "phase": "Ready",
                "size": 1000,
                "up_since_ms": 0,
            }
            for kind, count in (("petit", STORES), ("parent", 1), ("origin", 1))
            for number in range(count)
        ]
        known = {
            "rev": 1,
            "notices": [{"rev": 1, "pool": {"revision": 1, "complete": True, "members": members}}],
        }
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "seed": "0f",
                    "limits": LIMITS,
                    "settings": settings(CLASSES, client_kb_per_s=1e6),
                    "known": known,
                }
            )
        )
        self.gateway = Gateway(None, "--config", str(config), native=True, root=ROOT)
        self.port = self.gateway.port()

    def row(self, kb: float, seconds: float, seed: int) -> dict[str, float]:
        """Measures the gateway with answers of `kb` KB for `seconds`.

        Returns processor time in us per served request (`us`) and requests served per second (`per_s`).
        Raises RuntimeError if a request was not served.
        """
        self.stores.size = round(kb * 1e3)
        clients = [Client(self.port, kb, f"{seed}/{kb}/{number}") for number in range(CONNECTIONS)]
        for client in clients:
            client.start()
        time.sleep(WARM_S)
        before, began = self._processor_s_and_served(clients), time.monotonic()
        time.sleep(seconds)
        after, elapsed_s = self._processor_s_and_served(clients), time.monotonic() - began
        for client in clients:
            client.stop()
        served = after[1] - before[1]
        if not served or any(client.failed for client in clients):
            raise RuntimeError(f"{served} served, others {[client.failed for client in clients]}")
        return {"us": (after[0] - before[0]) / served * 1e6, "per_s": served / elapsed_s}

    def _processor_s_and_served(self, clients: list[Client]) -> tuple[float, int]:
        return processor_s(self.gateway.process.pid), sum(client.served for client in clients)

    def close(self) -> None:
        """Kills the gateway and closes the stores."""
        self.gateway.kill()
        self.stores.close()
