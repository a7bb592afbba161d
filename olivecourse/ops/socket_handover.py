"""The Unix socket over which a gateway's process transfers its client connections to its successor, the
process that replaces it in a hot restart.
"""

from __future__ import annotations

import array
import errno
import os
import select
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

from olivecourse.net.loop import READ, WRITE, Loop
from olivecourse.net.stream import listen_unix
from olivecourse.ops.handover_codec import MAX_MESSAGE_BYTES, VERSION, BadMessage, Decoder, Kind, Message

MAX_LINKS = 4  # most connections from other processes open at a time
MAX_QUEUED_BYTES = MAX_MESSAGE_BYTES + 8 * 2**20  # a link with more unsent bytes is closed
MAX_READS_PER_TURN = 16  # reads from a link in one turn of the event loop
READ_BYTES = 262_144  # most bytes received in one read from a link
MAX_FDS_PER_READ = 16  # most file descriptors received in one read from a link
# A starting process waits this long for its predecessor's reply. One turn of the predecessor's event loop
# takes a tenth of it under load.
ANSWER_TIMEOUT_S = 0.5
MAX_PENDING_FDS = 64  # file descriptors that may arrive ahead of their messages; with more a link is closed


class LinkHandler(Protocol):
    """Receives the messages of a link to another process, and is notified of its end."""

    def message_received(self, link: Link, message: Message, sock: socket.socket | None) -> None:
        """Handles one message, and takes ownership of the socket that came with it, if any."""
        ...

    def link_closed(self, link: Link) -> None:
        """Called once when the link has closed, because the other process has ended or has sent an invalid
        message, or because this process closed it.
        """
        ...


@dataclass
class Received:
    """What has been received on a link's socket and not been used yet."""

    decoder: Decoder = field(default_factory=Decoder)
    messages: deque[Message] = field(default_factory=deque)
    descriptors: deque[int] = field(default_factory=deque)


@dataclass
class HandoverReply:
    """The reply of the predecessor to a request for a hand-over."""

    sock: socket.socket  # the connected socket
    listener: socket.socket | None  # the predecessor's listening socket for clients, if it shares one
    warm_state: bytes  # its encoded learned state
    known_requests: bytes  # the raw bytes of its KNOWN message
    received: Received  # what has arrived behind the reply


class Link:
    """A Unix socket connection between two processes of a gateway; it carries messages in order, some of them
    with a file descriptor.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        handler: LinkHandler,
        log: Callable[..., None],
        received: Received | None = None,
    ) -> None:
        """`received` has what was received on the socket already."""
        self.loop, self.sock, self.log = loop, sock, log
        self._handler = handler
        self.open = True
        received = received or Received()
        self._decoder = received.decoder
        self._messages = received.messages  # not passed to the handler yet
        self._pending_fds = received.descriptors  # file descriptors that arrived ahead of their messages
        self._end_reason = ""  # why the link ends once the handler has had the messages received
        self._send_queue: deque[tuple[memoryview, int]] = deque()  # unsent bytes, and a descriptor or -1
        self._queued_bytes = 0
        self._mask = READ
        sock.setblocking(False)
        loop.watch(sock, READ, self._ready)
        if self._messages:
            loop.next_turn(self._finish_read)

    def send(self, message: Message, fd: int = -1) -> None:
        """Sends a message, or queues what the socket does not take at once.

        Takes ownership of the file descriptor `fd` (-1: none), which is closed here once it has been sent or
        the link has closed.
        """
        if not self.open:
            if fd >= 0:
                os.close(fd)
            return
        data = message.encode()
        self._queued_bytes += len(data)
        self._send_queue.append((memoryview(data), fd))
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.close("the peer does not read")
        else:
            self._flush()

    @property
    def flushed(self) -> bool:
        """Whether every message given to `send` has been written to the socket."""
        return not self._send_queue

    def _flush(self) -> None:
        try:
            while self._send_queue:
                data, fd = self._send_queue[0]
                ancillary = (
                    [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [fd]))] if fd >= 0 else []
                )
                sent = self.sock.sendmsg([data], ancillary)
                if fd >= 0:
                    os.close(fd)
                self._queued_bytes -= sent
                if sent == len(data):
                    self._send_queue.popleft()
                else:
                    self._send_queue[0] = (data[sent:], -1)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            # ETOOMANYREFS: too many file descriptors are sent and not yet received; the rest is sent later.
            if error.errno != errno.ETOOMANYREFS:
                self.close(errno.errorcode.get(error.errno or 0, "error"))
                return
        mask = READ | (WRITE if self._send_queue else 0)
        if mask != self._mask:
            self._mask = mask
            self.loop.change(self.sock, mask, self._ready)

    def _ready(self, mask: int) -> None:
        if mask & WRITE:
            self._flush()
        if mask & READ and self.open:
            self.read()

    def read(self) -> None:
        """Reads what has arrived, in up to MAX_READS_PER_TURN reads, and passes complete messages to the
        handler. Closes the link if the peer has, or if a message is invalid.
        """
        self._receive()
        self._finish_read()

    def receive_claims(self) -> bool:
        """Reads like `read`, but passes only CLAIM messages to the handler now, and the others in the next
        turn of the event loop. Returns whether all that has arrived has been read.
        """
        if not self.open:
            return True
        all_read = self._receive()
        if self._messages or self._end_reason:
            self.loop.next_turn(self._finish_read)
        return all_read

    def _receive(self) -> bool:
        """Reads up to MAX_READS_PER_TURN times; returns whether all that has arrived has been read."""
        for _ in range(MAX_READS_PER_TURN):
            if self._end_reason:
                return True
            try:
                data, fds, flags, _ = socket.recv_fds(self.sock, READ_BYTES, MAX_FDS_PER_READ)
            except (BlockingIOError, InterruptedError):
                return True
            except OSError as error:
                self._end_reason = errno.errorcode.get(error.errno or 0, "error")
                return True
            self._pending_fds.extend(fds)
            if not data or flags & socket.MSG_CTRUNC or len(self._pending_fds) > MAX_PENDING_FDS:
                self._end_reason = "descriptors were lost" if data else "the peer has closed the link"
                return True
            self._decode(data)
        return False

    def _decode(self, data: bytes) -> None:
        try:
            for message in self._decoder.feed(data):
                if message.kind is Kind.CLAIM:
                    self._handler.message_received(self, message, None)
                else:
                    self._messages.append(message)
        except BadMessage as bad:
            self._end_reason = str(bad)

    def _finish_read(self) -> None:
        """Passes the messages received to the handler, then closes the link if it has ended."""
        try:
            while self._messages and self.open:  # handling a message may close the link
                self._dispatch(self._messages.popleft())
        except BadMessage as bad:
            self.close(str(bad))
        if self._end_reason:
            self.close(self._end_reason)

    def _dispatch(self, message: Message) -> None:
        sock = None
        if message.with_socket:
            if not self._pending_fds:
                raise BadMessage(f"{message.kind.name} message without its descriptor")
            sock = _socket_from_fd(self._pending_fds.popleft())
        if message.kind is not Kind.UNKNOWN:
            self._handler.message_received(self, message, sock)
        elif sock is not None:
            sock.close()

    def close(self, why: str) -> None:
        """Closes the link and the file descriptors that it still owns, and tells the handler; logs `why`."""
        if not self.open:
            return
        self.open = False
        self.log("handover_link_ended", why=why)
        self.loop.unwatch(self.sock)
        self.sock.close()
        for fd in [*self._pending_fds, *(fd for _, fd in self._send_queue if fd >= 0)]:
            os.close(fd)
        self._pending_fds.clear()
        self._send_queue.clear()
        self._handler.link_closed(self)


def _socket_from_fd(fd: int) -> socket.socket:
    """Returns the socket of a file descriptor that another process sent.

    If it is no socket, closes the descriptor and raises BadMessage.
    """
    try:
        return socket.socket(fileno=fd)
    except OSError:
        os.close(fd)
        raise BadMessage("received a descriptor that is not a socket") from None


def _short_path(path: Path) -> tuple[int, str]:
    """Returns an open descriptor of `path`'s directory, and a short form of `path` that leads through it.

    The caller closes the descriptor after use. The short form is for a Unix socket address, which can hold
    only 107 bytes.
    """
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    return folder, f"/proc/self/fd/{folder}/{path.name}"


class HandoverListener:
    """The Unix socket at `path` to which a newly started process connects to ask this one for a hand-over."""

    def __init__(self, loop: Loop, path: Path, handler: LinkHandler, log: Callable[..., None]) -> None:
        self._loop, self._handler, self._log = loop, handler, log
        self._links: list[Link] = []
        folder, name = _short_path(path)
        try:
            self._sock = listen_unix(name, MAX_LINKS)
        finally:
            os.close(folder)
        loop.watch(self._sock, READ, self._accept)

    def _accept(self, mask: int) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if len(self.links) >= MAX_LINKS:
            sock.close()
            return
        link = Link(self._loop, sock, self._handler, self._log)
        self._links.append(link)
        link.read()

    @property
    def links(self) -> list[Link]:
        """The open links to processes that have connected to this socket, oldest first."""
        self._links = [link for link in self._links if link.open]
        return self._links

    def close(self) -> None:
        """Closes the listening socket; links that are open stay open."""
        self._loop.unwatch(self._sock)
        self._sock.close()


def request_handover(path: Path) -> HandoverReply:
    """Asks the predecessor, the running process whose Unix socket is at `path`, for a hand-over.

    Called at the start of this process; blocks for the reply. Raises OSError or BadMessage if there is no
    valid reply within ANSWER_TIMEOUT_S; the process then starts without a hand-over.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    listener, deadline_s = None, time.monotonic() + ANSWER_TIMEOUT_S
    received, known_requests = Received(), b""
    pending_fds = received.descriptors
    folder, name = _short_path(path)
    try:
        sock.settimeout(ANSWER_TIMEOUT_S)
        sock.connect(name)
        sock.sendall(Message(Kind.HELLO, {"v": VERSION}).encode())
        while True:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0 or not select.select([sock], [], [], remaining_s)[0]:
                raise TimeoutError("the predecessor did not answer in time")
            data, fds, flags, _ = socket.recv_fds(sock, READ_BYTES, MAX_FDS_PER_READ)
            pending_fds.extend(fds)
            if not data or flags & socket.MSG_CTRUNC:
                raise OSError(
                    0, "the predecessor has closed the connection" if data == b"" else "descriptors were lost"
                )
            received.messages.extend(received.decoder.feed(data))
            while received.messages:
                message = received.messages.popleft()
                if message.kind is Kind.LISTENER and pending_fds:
                    listener = _socket_from_fd(pending_fds.popleft())
                elif message.kind in (Kind.KNOWN, Kind.CLAIM):
                    known_requests += b" " + message.raw
                elif message.kind is Kind.LEARNED:
                    return HandoverReply(sock, listener, message.raw, known_requests, received)
    except BaseException:
        sock.close()
        for fd in pending_fds:
            os.close(fd)
        if listener is not None:
            listener.close()
        raise
    finally:
        os.close(folder)
