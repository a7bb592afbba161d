"""One watcher's connection to a relay: requests in, one at a time, and shared answers out."""

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

MOST_REQUEST_BYTES = 8_192  # of one request with its head; a poll has some 80
MOST_PIPELINED = 64  # requests that wait for the one before them; gateways send none
LEAVE_NS = 500_000_000  # for the other side to read a refusal and close
UNUSED_RING = 1  # bytes: a Stream's own buffers are not used here, see `read` and `send`

IDLE, WAITING, SENDING, LEAVING = range(4)


class Request:
    """A whole request, parsed as far as HTTP goes."""

    __slots__ = ("keep_alive", "method", "target")

    def __init__(self, method: bytes, target: bytes, keep_alive: bool) -> None:
        self.method = method
        self.target = target
        self.keep_alive = keep_alive


class WatcherConnection(Stream):
    """A gateway or a relay below.

    States: IDLE until a request is whole, WAITING while a poll is held, SENDING until the system has taken
    the answer, LEAVING after a refusal. Bytes of an answer are never copied: what the system does not take at
    once stays a view of the shared answer.
    """

    def __init__(self, server: RelayServer, sock: socket.socket, name: str, key: int) -> None:
        """`name` tells operators who it is; `key` is unique among connections."""
        self.server = server
        self.name = name
        self.key = key
        self.state = IDLE
        self.poll = PollRequest(0, 0)
        self.polled = False  # whether it ever asked as a watcher
        self.deadline = Deadline(self._overdue)
        self._keep_alive = True
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._request_bytes = 0
        self._pipelined: list[Request] = []
        self._unread: memoryview | None = None
        super().__init__(server.loop, sock, UNUSED_RING, UNUSED_RING)

    # Requests

    def read(self) -> None:
        """Reads once; what is left comes with the next turn, as the selector is level-triggered."""
        now = self.server.work_time()
        if not now:
            self.server.defer(self)
            return
        try:
            data = self.sock.recv(MOST_REQUEST_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.close(errno.errorcode.get(error.errno or 0, "error"))
            return
        if not data:
            self.close("closed by the other side")
        elif self.state != LEAVING:
            self._parse(data)
            if self.state == IDLE:
                self._next_request(now)

    def read_deferred(self) -> None:
        """Reads, if there is still something, what an earlier turn had no time for."""
        if self.open:
            self._ready(READ)

    def _parse(self, data: bytes) -> None:
        self._request_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(HTTPStatus.BAD_REQUEST, "no upgrades here")
        except httptools.HttpParserError as error:
            self.refuse(HTTPStatus.BAD_REQUEST, f"not HTTP/1.1: {type(error).__name__}")
        if self.state == LEAVING:
            return
        if self._request_bytes > MOST_REQUEST_BYTES:
            self.refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "request too long")
        elif len(self._pipelined) > MOST_PIPELINED:
            self.refuse(HTTPStatus.BAD_REQUEST, "too many requests at once")

    def on_url(self, url: bytes) -> None:
        """Of the parser: a part of the target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Of the parser: a request is whole."""
        target = self._target
        self._target = b""
        self._request_bytes = 0
        self._pipelined.append(Request(self._parser.get_method(), target, self._parser.should_keep_alive()))

    def _next_request(self, now: int) -> None:
        """Handles the oldest request; those after it have a turn each, so that no turn is long."""
        if not self._pipelined:
            return
        request = self._pipelined.pop(0)
        self._keep_alive = request.keep_alive
        self.server.handle(self, request.method, request.target, now)

    # Answers

    def wait(self, due_ns: int) -> None:
        """The poll is held until there are events for it, or until `due_ns`."""
        self.state = WAITING
        self.server.deadlines.set(self.deadline, due_ns)

    def send(self, body: bytes, now: int) -> None:
        """Answers the request with `body`, which many may share."""
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
            self._sent(now)
        else:
            self._keep_unread(head, body, sent, now)

    def _keep_unread(self, head: bytes, body: bytes, sent: int, now: int) -> None:
        if sent < len(head):  # hardly ever: the head alone fills no buffer of the system
            body = head[sent:] + body
            sent = 0
        else:
            sent -= len(head)
        self._unread = memoryview(body)[sent:]
        self._blocked = True  # the Stream waits for the system to take more
        self._want()
        server = self.server
        server.deadlines.set(self.deadline, now + server.read_timeout_ns)
        server.hold_unread(self, body)

    def flush(self) -> None:
        """The system takes bytes again."""
        unread = self._unread
        if unread is None:
            self._blocked = False
            self._want()
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
        self._want()
        self.server.release_unread(self)
        self._sent(self.loop.clock.now())

    def _sent(self, now: int) -> None:
        if not self._keep_alive:
            self._leave(now)
            return
        self.state = IDLE
        self.server.deadlines.set(self.deadline, now + self.server.idle_timeout_ns)
        if self._pipelined:
            self.server.later(self._resume)

    def _resume(self) -> None:
        if self.open and self.state == IDLE:
            self._next_request(self.loop.clock.now())

    def last_answer(self, body: bytes, now: int) -> None:
        """Answers what is held, and ends the connection."""
        self._keep_alive = False
        self.send(body, now)

    def refuse(self, status: HTTPStatus, why: str) -> None:
        """Answers with an error and ends the connection."""
        if self.state == LEAVING or not self.open:
            return
        self.server.refused(self, status, why)
        if self._unread is not None:  # in the midst of an answer there is no place for another
            self.close(why)
            return
        try:
            self.sock.send(refusal(status, why))
        except OSError:  # it has gone, or reads nothing
            self.close(why)
            return
        self._leave(self.loop.clock.now())

    def _leave(self, now: int) -> None:
        """Ends our side; closed at once, bytes of theirs still under way would take the answer back."""
        self.state = LEAVING
        self._pipelined.clear()
        self.server.deadlines.set(self.deadline, now + LEAVE_NS)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # it has closed already
            self.close("done")

    # Ends

    def _overdue(self, now: int) -> None:
        if not self.open:
            return
        if self.state == WAITING:
            self.server.wait_ended(self, now)
        elif self.state == SENDING:
            self.server.cut_off(self, "took no whole answer in time")
        elif self.state == IDLE:
            self.server.idle_ended(self)
        else:
            self.close("done")

    def closed(self, why: str) -> None:
        """Called once, when the connection has ended."""
        self.deadline.due_ns = 0
        self._unread = None
        self._pipelined.clear()
        self.server.left(self)
