"""An emulated discovery server: gateways get its numbered events by HTTP/1.1 long polls."""

from __future__ import annotations

import contextlib
import json
import re
import selectors
import socket
import time
from typing import Any

from olivecourse.emulator.stores import EmulatorLoop

POLL = re.compile(rb"GET /board/poll\?watch=(\d+)&linger=(\d+) HTTP/1\.1\r\n")
MAX_HEAD_BYTES = 8192


class DiscoveryServer:
    """The emulated discovery server; its clients are gateways.

    `rev` is the number (revision) of the last published event, 0 before the first one.
    """

    def __init__(self, world: EmulatorLoop) -> None:
        self._world = world
        self.rev = 0
        self._events: list[dict[str, Any]] = []
        self._open_polls: dict[socket.socket, int] = {}  # by connection, the last revision its gateway has
        self._connections: set[socket.socket] = set()
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self._port = self._sock.getsockname()[1]
        self._listen()

    @property
    def address(self) -> str:
        """The `HOST:PORT` on which the discovery server listens."""
        return f"127.0.0.1:{self._port}"

    def _listen(self) -> None:
        self._sock.setblocking(False)
        self._world.selector.register(self._sock, selectors.EVENT_READ, self._accept)

    def refuse(self) -> None:
        """Closes all connections and the listening socket, so that no gateway can connect until `resume`."""
        self._world.selector.unregister(self._sock)
        self._sock.close()
        for conn in list(self._connections):
            self._drop(conn)

    def resume(self) -> None:
        """Accepts connections of gateways again, on the same port, after `refuse`."""
        self._sock = socket.create_server(("127.0.0.1", self._port), backlog=64)
        self._listen()

    def publish(self, **event_body: Any) -> float:
        """Adds one event with the next revision and the fields `event_body`, and answers all open polls.

        Returns the time of publication on the time.monotonic clock, in seconds.
        """
        self.rev += 1
        self._events.append({"rev": self.rev, **event_body})
        for conn in list(self._open_polls):
            self._answer_poll(conn)
        return time.monotonic()

    def known(self) -> dict[str, Any]:
        """The last revision (`rev`) and all events (`notices`), as in a gateway's setting `known`."""
        return {"rev": self.rev, "notices": list(self._events)}

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            conn, _ = self._sock.accept()
            conn.setblocking(False)
            self._connections.add(conn)
            buffer = bytearray()
            self._world.selector.register(conn, selectors.EVENT_READ, lambda: self._read(conn, buffer))

    def _drop(self, conn: socket.socket) -> None:
        with contextlib.suppress(KeyError, ValueError):
            self._world.selector.unregister(conn)
        self._open_polls.pop(conn, None)
        self._connections.discard(conn)
        conn.close()

    def _read(self, conn: socket.socket, buffer: bytearray) -> None:
        try:
            data = conn.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data or len(buffer) > MAX_HEAD_BYTES:
            self._drop(conn)
            return
        buffer += data
        if b"\r\n\r\n" not in buffer:
            return
        poll = POLL.match(bytes(buffer))
        buffer.clear()
        if poll is None:
            self._drop(conn)
            return
        last_revision, wait_ms = int(poll[1]), int(poll[2])
        self._open_polls[conn] = last_revision
        if last_revision < self.rev or not wait_ms:
            self._answer_poll(conn)
        else:
            self._world.at(time.monotonic() + wait_ms / 1000, lambda: self._answer_poll(conn))

    def _answer_poll(self, conn: socket.socket) -> None:
        client_revision = self._open_polls.pop(conn, None)
        if client_revision is None:  # the poll is already answered, or its connection is closed
            return
        newer_events = [event for event in self._events if event["rev"] > client_revision]
        body = json.dumps({"rev": self.rev, "notices": newer_events}).encode()
        with contextlib.suppress(OSError):
            conn.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            )

    def close(self) -> None:
        """Closes the listening socket and all gateways' connections for good."""
        for conn in list(self._connections):
            self._drop(conn)
        with contextlib.suppress(KeyError, ValueError):
            self._world.selector.unregister(self._sock)
        self._sock.close()
