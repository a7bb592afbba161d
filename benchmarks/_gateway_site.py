"""A site for benchmarks: stand-in stores and one gateway with a management port, on loopback."""

from __future__ import annotations

import json
import socket
import time
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from benchmarks._program import Gateway
from olivecourse.emulator.settings import settings
from olivecourse.emulator.stores import EmulatorLoop, Store

CLASSES = [("fichiers", 2500, "idempotent", False), ("commande", 2500, "at_most_once", True)]
LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 384}


def free_port() -> int:
    """Returns the number of a loopback TCP port that no process listens on at the moment."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


class GatewaySite:
    """Four edge stores, a parent and an origin, and the processes of one gateway (two during an upgrade)."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.port = folder, free_port()
        self.edge_stores = [Store(f"petit-{n}", delay_s=0.05) for n in range(4)]
        self.parent, self.origin = Store("parent-1"), Store("origin-1")
        self.world = EmulatorLoop([*self.edge_stores, self.parent, self.origin])
        members = [
            {
                "id": store.name,
                "host_port": store.address,
                "flavor": store.name.split("-")[0],
                "cell": 0,
                "locality": "praia" if store in self.edge_stores else "hub-nord",
                "phase": "Ready",
                "size": 8,
                "up_since_ms": 0,
            }
            for store in self.world.stores
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
        """Starts a gateway process and sets its attribute `management_port`.

        Processes with the same `tmpdir` (their `$TMPDIR`) are one gateway, and hand over to the next one.
        """
        (self.folder / tmpdir).mkdir(exist_ok=True)
        management_port = free_port()
        gateway = Gateway(
            None,
            "--config",
            str(self.config),
            native=True,
            EDGE_MGMT=f"127.0.0.1:{management_port}",
            TMPDIR=str(self.folder / tmpdir),
        )
        gateway.management_port = management_port
        return gateway

    def call(
        self, gateway: Gateway, method: str, path: str, body: str | None = None
    ) -> tuple[int, str, float]:
        """Calls the management port of `gateway`; returns HTTP status, body and the seconds taken.

        The status is 0 if there is no answer within 2 s. The stand-ins do not run during the call.
        """
        began = time.monotonic()
        connection = HTTPConnection("127.0.0.1", gateway.management_port, timeout=2)
        try:
            connection.request(method, path, body)
            reply = connection.getresponse()
            return reply.status, reply.read().decode(), time.monotonic() - began
        except (OSError, HTTPException):
            return 0, "", time.monotonic() - began
        finally:
            connection.close()

    def wait_ready(self, gateway: Gateway, seconds: float = 10.0) -> float:
        """Runs the stand-in stores until the gateway process reports ready; returns the seconds it took.

        Raises TimeoutError if it does not within `seconds`.
        """
        began = time.monotonic()
        while time.monotonic() - began < seconds:
            if self.call(gateway, "GET", "/ops/readiness")[0] == 200:
                return time.monotonic() - began
            self.world.run(0.02)
        raise TimeoutError(f"not ready: {gateway.lines[-3:]}")


@contextmanager
def killed_at_exit(gateways: list[Gateway]):
    """A context manager that kills the listed gateways at the end of its block, also after an exception."""
    try:
        yield gateways
    finally:
        for gateway in gateways:
            gateway.kill()
