"""The HTTP connection of one watcher (a gateway, or a relay below) to a relay.

Requests are handled one at a time. The bytes of an answer are shared by all watchers that get the same one.
"""

from __future__ import annotations

import errno
import socket
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from olivecourse.net.loop import READ
from olivecourse.net.stream import Stream
from olivecourse.relay.deadlines import Deadline
from olivecourse.relay.requests import PollRequest
from olivecourse.relay.responses import answer_head, refusal

if TYPE_CHECKING:
    from olivecourse.relay.server import RelayServer

MAX_REQUEST_BYTES = 8_192  # longest accepted request, with its head and body; a poll has about 80 bytes
MAX_PIPELINED = 64  # requests that a peer may send before an earlier one is answered; gateways send none
CLOSE_TIMEOUT_NS = 500_000_000  # time for the peer to read the last answer or refusal and to close
UNUSED_BUFFER_BYTES = 1  # size of Stream's two buffers, which `read` and `send` of this class bypass

IDLE, WAITING, SENDING, CLOSING = range(4)  # the states of a WatcherConnection


class Request:
    """A complete HTTP request: its method, its target (path and query), and whether the connection stays open
    after the answer.
    """

    __slots__ = ("keep_alive", "method", "target")

    def __init__(self, method: bytes, target: bytes, keep_alive: bool) -> None:
        self.method = method
        self.target = target
        self.keep_alive = keep_alive


class WatcherConnection(Stream):
    """The connection of one watcher: a gateway, or a relay that polls this one.

    States: IDLE until a request is complete, WAITING while a poll is held until there are events for it,
    SENDING until the socket has taken the whole answer, CLOSING from a refusal or a last answer until the
    connection has ended. The bytes of an answer, which many connections share, are normally not copied: what
    the socket does not take at once is kept as a memoryview of them.
    """

    def __init__(self, server: RelayServer, sock: socket.socket, name: str, key: int) -> None:
        """`name` is the peer's HOST:PORT, shown to operators; `key` is a number that no other connection of
        this relay has.
        """
        self.server = server
        self.name = name
        self.key = key
        self.state = IDLE
        self.poll = PollRequest(0, 0)
        self.polled = False  # whether this connection has ever sent a poll
        self.deadline = Deadline(self._deadline_passed)
        self._keep_alive = True
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._request_bytes = 0
        self._pipelined: list[Request] = []
        self._unread: memoryview | None = None
        super().__init__(server.loop, sock, UNUSED_BUFFER_BYTES, UNUSED_BUFFER_BYTES)

    # Requests

    def read(self) -> None:
        """Called when the socket is readable: receives once, or defers that if the turn's time is used up.

        The level-triggered selector reports any remaining bytes in the next turn of the event loop.
        """
        now = self.server.time_within_budget()
        if not now:
            self.server.defer(self)
            return
        try:
            data = self.sock.recv(MAX_REQUEST_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.close(errno.errorcode.get(error.errno or 0, "error"))
            return
        if not data:
            self.close("closed by the other side")
        elif self.state != CLOSING:
            self._parse(data)
            if self.state == IDLE:
                self._next_request(now)

    def read_deferred_bytes(self) -> None:
        """Makes the read that `read` deferred in an earlier turn of the event loop, unless the connection has
        closed.
        """
        if self.open:
            self._ready(READ)

    def _parse(self, data: bytes) -> None:
        self._request_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(HTTPStatus.BAD_REQUEST, "HTTP upgrades are not supported")
        except httptools.HttpParserError as error:
            self.refuse(HTTPStatus.BAD_REQUEST, f"not HTTP/1.1: {type(error).__name__}")
        if self.state == CLOSING:
            return
        if self._request_bytes > MAX_REQUEST_BYTES:
            self.refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "request too long")
        elif len(self._pipelined) > MAX_PIPELINED:
            self.refuse(HTTPStatus.BAD_REQUEST, "too many pipelined requests")

    def on_url(self, url: bytes) -> None:
        """HTTP parser's callback: a part of the request target has arrived."""
        self._target += url

    def on_message_complete(self) -> None:
        """HTTP parser's callback: a whole request has arrived; queues it for `_next_request`."""
        target = self._target
        self._target = b""
        self._request_bytes = 0
        self._pipelined.append(Request(self._parser.get_method(), target, self._parser.should_keep_alive()))

    def _next_request(self, now: int) -> None:
        """Handles the oldest complete request that is still unhandled, if any.

        Each further pipelined request is handled in a turn of the event loop of its own, to keep turns short.
        """
        if not self._pipelined:
            return
        request = self._pipelined.pop(0)
        self._keep_alive = request.keep_alive
        self.server.handle(self, request.method, request.target, now)

    # Answers

    def hold(self, due_ns: int) -> None:
        """Leaves the poll unanswered until there are events for it, or until the time `due_ns`."""
        self.state = WAITING
        self.server.deadlines.set(self.deadline, due_ns)

    def send(self, body: bytes, now: int) -> None:
        """Sends a 200 response with `body`; other connections may be sending the same bytes object.

        What the socket does not take at once is kept and sent by `flush`.
        """
        head = answer_head(len(body), self._keep_alive)
        self.state = SENDING
        try:
            sent = self.sock.sendmsg((head, body))
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            self.close(errno.errorcode.get(error.errno or 0, "error"))
            return
        if sent == len(head) + len(body):
            self._answer_sent(now)
        else:
            self._hold_unread(head, body, sent, now)

    def _hold_unread(self, head: bytes, body: bytes, sent: int, now: int) -> None:
        if sent < len(head):  # copies the body; rare, as the head alone does not fill a socket buffer
            body = head[sent:] + body
            sent = 0
        else:
            sent -= len(head)
        self._unread = memoryview(body)[sent:]
        self._blocked = (
            True  # makes Stream._update_event_mask also wait for the socket to be writable, to call `flush`
        )
        self._update_event_mask()
        server = self.server
        server.deadlines.set(self.deadline, now + server.read_timeout_ns)
        server.hold_unread(self, body)

    def flush(self) -> None:
        """Called when the socket is writable: sends more of the answer that it has taken only in part."""
        unread = self._unread
        if unread is None:
            self._blocked = False
            self._update_event_mask()
            return
        try:
            sent = self.sock.send(unread)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.close(errno.errorcode.get(error.errno or 0, "error"))
            return
        if sent < len(unread):
            self._unread = unread[sent:]
            self.server.deadlines.set(self.deadline, self.loop.clock.now() + self.server.read_timeout_ns)
            return
        self._unread = None
        self._blocked = False
        self._update_event_mask()
        self.server.release_unread(self)
        self._answer_sent(self.loop.clock.now())

    def _answer_sent(self, now: int) -> None:
        if not self._keep_alive:
            self._begin_close(now)
            return
        self.state = IDLE
        self.server.deadlines.set(self.deadline, now + self.server.idle_timeout_ns)
        if self._pipelined:
            self.server.call_next_turn(self._resume)

    def _resume(self) -> None:
        if self.open and self.state == IDLE:
            self._next_request(self.loop.clock.now())

    def send_and_close(self, body: bytes, now: int) -> None:
        """Answers the held poll and then closes the connection; used while the relay stops."""
        self._keep_alive = False
        self.send(body, now)

    def refuse(self, status: HTTPStatus, why: str) -> None:
        """Answers the request with the error `status` and the text `why`, and closes the connection."""
        if self.state == CLOSING or not self.open:
            return
        self.server.request_refused(self, status, why)
        if self._unread is not None:  # an earlier answer is still being sent; an error can't interrupt it
            self.close(why)
            return
        try:
            self.sock.send(refusal(status, why))
        except OSError:  # the peer has gone, or its socket takes no bytes because it reads nothing
            self.close(why)
            return
        self._begin_close(self.loop.clock.now())

    def _begin_close(self, now: int) -> None:
        """Shuts down the sending side and waits up to CLOSE_TIMEOUT_NS for the peer to close.

        After an immediate close, bytes still in flight from the peer would reset the connection and lose the
        answer.
        """
        self.state = CLOSING
        self._pipelined.clear()
        self.server.deadlines.set(self.deadline, now + CLOSE_TIMEOUT_NS)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer has already closed the connection
            self.close("done")

    # End of the connection

    def _deadline_passed(self, now: int) -> None:
        if not self.open:
            return
        if self.state == WAITING:
            self.server.wait_timed_out(self, now)
        elif self.state == SENDING:
            self.server.cut_off(self, "took no whole answer in time")
        elif self.state == IDLE:
            self.server.idle_timed_out(self)
        else:
            self.close("done")

    def closed(self, why: str) -> None:
        """Called once by Stream when the connection has ended, for the reason `why`."""
        self.deadline.due_ns = 0
        self._unread = None
        self._pipelined.clear()
        self.server.connection_ended(self)
