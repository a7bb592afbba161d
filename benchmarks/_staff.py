"""One office with a gateway that has an operators' door, for benchmarks."""

from __future__ import annotations

import json
import socket
import time
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from benchmarks._program import Gateway
from olivecourse.emulator.settings import settings
from olivecourse.emulator.stores import Store, World

CLASSES = [("fichiers", 2500, "idempotent", False), ("commande", 2500, "at_most_once", True)]
LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 384}


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


class Office:
    """Four cache boxes, a hub cache and the archive; processes of one gateway start side by side."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.port = folder, free_port()
        self.boxes = [Store(f"petit-{n}", delay_s=0.05) for n in range(4)]
        self.parent, self.origin = Store("parent-1"), Store("origin-1")
        self.world = World([*self.boxes, self.parent, self.origin])
        members = [
            {
                "id": s.name,
                "host_port": s.address,
                "flavor": s.name.split("-")[0],
                "cell": 0,
                "locality": "praia" if s in self.boxes else "hub-nord",
                "phase": "Ready",
                "size": 8,
                "up_since_ms": 0,
            }
            for s in self.world.stores
        ]
        known = {
            "rev": 1,
            "notices": [{"rev": 1, "pool": {"revision": 1, "complete": True, "members": members}}],
        }
        self.config = folder / "config.json"
        self.config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": "0f",
                    "limits": LIMITS,
                    "settings": settings(CLASSES),
                    "known": known,
                }
            )
        )

    def start(self, tmpdir: str = "tmp") -> Gateway:
        """A further process; those with the same `tmpdir` are one gateway. Its door is in `door`."""
        (self.folder / tmpdir).mkdir(exist_ok=True)
        door = free_port()
        made = Gateway(
            None,
            "--config",
            str(self.config),
            native=True,
            EDGE_MGMT=f"127.0.0.1:{door}",
            TMPDIR=str(self.folder / tmpdir),
        )
        made.door = door
        return made

    def call(
        self, gateway: Gateway, method: str, path: str, said: str | None = None
    ) -> tuple[int, str, float]:
        """Status (0: nobody answered within 2 s), body, and seconds. The world stands still meanwhile."""
        began = time.monotonic()
        connection = HTTPConnection("127.0.0.1", gateway.door, timeout=2)
        try:
            connection.request(method, path, said)
            reply = connection.getresponse()
            return reply.status, reply.read().decode(), time.monotonic() - began
        except (OSError, HTTPException):
            return 0, "", time.monotonic() - began
        finally:
            connection.close()

    def wait_ready(self, gateway: Gateway, seconds: float = 10.0) -> float:
        """Turns the world till that process says yes; the seconds it took."""
        began = time.monotonic()
        while time.monotonic() - began < seconds:
            if self.call(gateway, "GET", "/ops/readiness")[0] == 200:
                return time.monotonic() - began
            self.world.run(0.02)
        raise TimeoutError(f"not ready: {gateway.lines[-3:]}")


@contextmanager
def ended(gateways: list[Gateway]):
    """Ends what was started, by its own id, whatever happens."""
    try:
        yield gateways
    finally:
        for gateway in gateways:
            gateway.kill()
