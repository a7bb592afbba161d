"""The admin server, to which operators make calls (readiness, metrics, drains): HTTP/1.1 with one call per
connection, on the gateway's event loop.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from http import HTTPStatus

import httptools

from olivecourse.config.address import Address
from olivecourse.net.loop import READ, Loop
from olivecourse.net.stream import Stream, listen
from olivecourse.ops.calls import MAX_BODY_BYTES, BadCall, OperatorHandlers, Reply, answer

MS = 1_000_000  # nanoseconds per millisecond
MAX_CONNECTIONS = 16  # concurrent connections; above it, a new connection closes the oldest
CALL_TIMEOUT_NS = 2_000 * MS  # from the accept of a connection until its call must have arrived completely
CLOSE_TIMEOUT_NS = 500 * MS  # from the reply until the client must have read it and closed the connection
SWEEP_INTERVAL_NS = 100 * MS  # between searches for connections that have passed one of these time-outs
MAX_URL_BYTES = 1024  # longest accepted request target; a longer one is refused with 414
MAX_LOGGED = 80  # most characters of a refused call's path, and bytes of its body, that are logged
# Sizes of a connection's buffers for bytes received and not yet parsed, and for unsent bytes of the reply.
INPUT_LIMIT_BYTES, OUTPUT_LIMIT_BYTES = 16_384, 262_144


class OperatorConnection(Stream):
    """One operator's connection: reads one call and replies; later bytes on the connection are ignored."""

    def __init__(self, server: AdminServer, sock: socket.socket) -> None:
        self.server, self.deadline_ns = server, server.loop.clock.now() + CALL_TIMEOUT_NS
        self.parser = httptools.HttpRequestParser(self)
        self.url, self.body = b"", bytearray()
        self.answered = False
        super().__init__(server.loop, sock, INPUT_LIMIT_BYTES, OUTPUT_LIMIT_BYTES)

    def received(self) -> None:
        """Called when bytes have arrived: feeds them to the HTTP parser, or drops them after the reply."""
        data = self.inbox.take(len(self.inbox))
        if self.answered:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reply(BadCall(400, "HTTP upgrades are not supported").reply)
        except httptools.HttpParserError as error:
            if not self.answered:
                self.server.log("ops_bad_call", why=type(error).__name__)
                self._reply(BadCall(400, "not HTTP/1.1").reply)

    def on_url(self, url: bytes) -> None:
        """HTTP parser's callback: a part of the request target has arrived; refuses one that is too long."""
        self.url += url
        if len(self.url) > MAX_URL_BYTES:
            self._reply(BadCall(414, "path too long").reply)

    def on_body(self, data: bytes) -> None:
        """HTTP parser's callback: a part of the body has arrived; refuses a body that is too long."""
        if not self.answered:
            self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            self._reply(BadCall(413, f"a body has at most {MAX_BODY_BYTES} bytes").reply)

    def on_message_complete(self) -> None:
        """HTTP parser's callback: the whole request has arrived, so it is answered."""
        path = self.url.partition(b"?")[0].decode("ascii", "replace")
        if not self.answered:
            method = self.parser.get_method().decode()
            reply = self.server.answer(method, path, bytes(self.body))
            if 400 <= reply.status < 500:  # an error of the operator's client, which a 503 (not ready) is not
                self.server.log(
                    "ops_call_refused",
                    call=f"{method} {path[:MAX_LOGGED]}",
                    status=reply.status,
                    body=repr(bytes(self.body[:MAX_LOGGED])),
                )
            self._reply(reply)

    def _reply(self, reply: Reply) -> None:
        if self.answered:
            return
        self.answered = True
        self.deadline_ns = self.loop.clock.now() + CLOSE_TIMEOUT_NS
        allow = f"Allow: {reply.allow}\r\n" if reply.allow else ""
        self.write(
            f"HTTP/1.1 {reply.status} {HTTPStatus(reply.status).phrase}\r\n"
            f"Content-Type: {reply.kind}\r\nContent-Length: {len(reply.body)}\r\n{allow}"
            f"Cache-Control: no-store\r\nConnection: close\r\n\r\n".encode()
            + reply.body
        )

    def drained(self) -> None:
        """Shuts down the sending side once the reply has been written, and leaves the close to the client.

        A close here while bytes from the client are unread would reset the connection and lose the reply.
        """
        if self.answered and self.open:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:  # the client has already closed the connection
                pass

    def closed(self, why: str) -> None:
        """Called once by Stream when the connection has ended, for the reason `why`."""
        self.server.connection_ended(self)


class AdminServer:
    """The admin server: listens at `address` for operators' calls.

    A call is answered in the turn of the event loop in which its last byte is read.
    """

    def __init__(
        self, loop: Loop, address: Address, handlers: OperatorHandlers, log: Callable[..., None]
    ) -> None:
        self.loop, self.log, self._handlers = loop, log, handlers
        self.connections: dict[OperatorConnection, None] = {}  # open ones, an ordered set, oldest first
        self._sock = listen(address)
        self.port: int = self._sock.getsockname()[1]
        self._closed = False
        loop.watch(self._sock, READ, self._accept)
        loop.after(SWEEP_INTERVAL_NS, self._sweep)

    def answer(self, method: str, path: str, body: bytes) -> Reply:
        """Returns the reply to a complete call, or a 500 if the code that carries it out raises."""
        try:
            return answer(self._handlers, method, path, body)
        except Exception as error:  # an error in the code of one call must not stop the gateway
            self.log("ops_fault", path=path, error=repr(error))
            return BadCall(500, "internal error, see the log").reply

    def _accept(self, mask: int) -> None:
        for _ in range(MAX_CONNECTIONS):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.log("accept_failed", why=str(error))
                return
            sock.setblocking(False)
            if len(self.connections) >= MAX_CONNECTIONS:
                next(iter(self.connections)).close("closed to make room for a new connection")
            connection = OperatorConnection(self, sock)
            self.connections[connection] = None
            connection.read()  # usually the call has arrived already, so it need not wait a turn

    def connection_ended(self, connection: OperatorConnection) -> None:
        """Called by a connection that has ended: forgets it."""
        self.connections.pop(connection, None)

    def _sweep(self) -> None:
        if self._closed:
            return
        now = self.loop.clock.now()
        for connection in [caller for caller in self.connections if now > caller.deadline_ns]:
            connection.close("deadline exceeded")
        self.loop.after(SWEEP_INTERVAL_NS, self._sweep)

    def close(self) -> None:
        """Stops listening and closes every connection at once, also with an unsent reply."""
        self._closed = True
        self.loop.unwatch(self._sock)
        self._sock.close()
        for connection in list(self.connections):
            connection.close("end")
