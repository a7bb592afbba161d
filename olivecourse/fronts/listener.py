"""What both fronts share: the listening socket and the clients on it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, Protocol

from olivecourse import interface as w
from olivecourse.net.loop import READ, Loop
from olivecourse.net.stream import Address, Stream, listen


class Taker(Protocol):
    """The core, as fronts see it."""

    def take(self, ask: w.Request, body: bytes, holds: str | None, reply: Any) -> None: ...

    def leave(self, request: str) -> None: ...


class Listener:
    """Accepts up to `most` clients; subclasses make the stream of each."""

    def __init__(self, loop: Loop, address: Address, core: Taker, classes: dict[str, tuple[int, bool]],
                 wait_ns: int, most: int, log: Callable[..., None]) -> None:
        self.loop, self.core, self.classes = loop, core, classes
        self.wait_ns, self.log, self._most = wait_ns, log, most
        self.clients: set[Stream] = set()
        self._sock = listen(address)
        self.port: int = self._sock.getsockname()[1]
        loop.watch(self._sock, READ, self._accept)

    def client(self, sock: socket.socket) -> Stream:
        raise NotImplementedError

    def _accept(self, mask: int) -> None:
        for _ in range(64):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:  # out of descriptors, or the client left before we came
                self.log("accept_failed", why=str(error))
                return
            if len(self.clients) >= self._most:
                self.log("too_many_clients", clients=len(self.clients))
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.clients.add(self.client(sock))

    def flushed(self) -> bool:
        """Whether every answer has left."""
        return not any(len(c.outbox) for c in self.clients)

    def close(self) -> None:
        self.loop.forget(self._sock)
        self._sock.close()
        for client in list(self.clients):
            client.close("end")
