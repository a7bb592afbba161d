"""The Unix socket over which one process of a gateway hands its clients to the next."""

from __future__ import annotations

import array
import errno
import os
import select
import socket
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from olivecourse.net.loop import READ, WRITE, Loop
from olivecourse.net.stream import listen_unix
from olivecourse.ops.handwire import MOST, VERSION, BadMessage, Decoder, Kind, Message

MOST_LINKS = 4
MOST_QUEUED = MOST + 8 * 2**20  # bytes that the other side has not taken; it is cut off beyond
READS = 16
CHUNK = 262_144
FDS = 16  # descriptors in one read, at the most
ASK_S = 0.5  # a newcomer waits so long for the answer; a turn of a loaded loop takes a tenth of it
MOST_WAITING = 64  # descriptors that came and whose messages have not


class Side(Protocol):
    """The gateway, as a link sees it."""

    def heard(self, link: Link, message: Message, sock: socket.socket | None) -> None: ...

    def parted(self, link: Link) -> None:
        """The other process has ended or spoken nonsense."""
        ...


class Link:
    """One connection between two processes; messages in order, some with a descriptor."""

    def __init__(self, loop: Loop, sock: socket.socket, side: Side, log: Callable[..., None]) -> None:
        self.loop, self.sock, self.log = loop, sock, log
        self._side = side
        self.open = True
        self._decoder = Decoder()
        self._came: deque[int] = deque()  # descriptors whose messages are still to come
        self._queue: deque[tuple[memoryview, int]] = deque()  # bytes, and a descriptor of ours or -1
        self._queued = 0
        self._mask = READ
        sock.setblocking(False)
        loop.watch(sock, READ, self._ready)

    def send(self, message: Message, fd: int = -1) -> None:
        """Queues a message, and a descriptor that is the link's from here on: closed once it has left."""
        if not self.open:
            if fd >= 0:
                os.close(fd)
            return
        data = message.encode()
        self._queued += len(data)
        self._queue.append((memoryview(data), fd))
        if self._queued > MOST_QUEUED:
            self.close("the other side does not read")
        else:
            self._flush()

    @property
    def flushed(self) -> bool:
        return not self._queue

    def _flush(self) -> None:
        try:
            while self._queue:
                data, fd = self._queue[0]
                rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [fd]))] if fd >= 0 else []
                sent = self.sock.sendmsg([data], rights)
                if fd >= 0:
                    os.close(fd)
                self._queued -= sent
                if sent == len(data):
                    self._queue.popleft()
                else:
                    self._queue[0] = (data[sent:], -1)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            if error.errno != errno.ETOOMANYREFS:  # too many descriptors on their way: they wait
                self.close(errno.errorcode.get(error.errno or 0, "error"))
                return
        mask = READ | (WRITE if self._queue else 0)
        if mask != self._mask:
            self._mask = mask
            self.loop.change(self.sock, mask, self._ready)

    def _ready(self, mask: int) -> None:
        if mask & WRITE:
            self._flush()
        if mask & READ and self.open:
            self.read()

    def read(self) -> None:
        for _ in range(READS):
            try:
                data, fds, flags, _ = socket.recv_fds(self.sock, CHUNK, FDS)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.close(errno.errorcode.get(error.errno or 0, "error"))
                return
            self._came.extend(fds)
            if not data or flags & socket.MSG_CTRUNC or len(self._came) > MOST_WAITING:
                self.close("descriptors were lost" if data else "the other side has ended")
                return
            try:
                for message in self._decoder.feed(data):
                    if self.open:  # what was heard may have ended it
                        self._hear(message)
            except BadMessage as bad:
                self.close(str(bad))
            if not self.open:
                return

    def _hear(self, message: Message) -> None:
        sock = None
        if message.with_socket:
            if not self._came:
                raise BadMessage(f"{message.kind.name} without its descriptor")
            sock = _socket(self._came.popleft())
        if message.kind is not Kind.UNKNOWN:
            self._side.heard(self, message, sock)
        elif sock is not None:
            sock.close()

    def close(self, why: str) -> None:
        if not self.open:
            return
        self.open = False
        self.log("handover_link_ended", why=why)
        self.loop.forget(self.sock)
        self.sock.close()
        for fd in [*self._came, *(fd for _, fd in self._queue if fd >= 0)]:
            os.close(fd)
        self._came.clear()
        self._queue.clear()
        self._side.parted(self)


def _socket(fd: int) -> socket.socket:
    """The socket behind a descriptor that came; raises BadMessage for any other file, which is closed."""
    try:
        return socket.socket(fileno=fd)
    except OSError:
        os.close(fd)
        raise BadMessage("a descriptor that is no socket") from None


def _within(path: Path) -> tuple[int, str]:
    """A name for a Unix socket, whose path may be longer than the 107 bytes that an address has."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    return folder, f"/proc/self/fd/{folder}/{path.name}"


class Landing:
    """Where a newcomer asks this process for what it holds."""

    def __init__(self, loop: Loop, path: Path, side: Side, log: Callable[..., None]) -> None:
        self._loop, self._side, self._log = loop, side, log
        self._links: list[Link] = []
        folder, name = _within(path)
        try:
            self._sock = listen_unix(name, MOST_LINKS)
        finally:
            os.close(folder)
        loop.watch(self._sock, READ, self._accept)

    def _accept(self, mask: int) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if len(self.links) >= MOST_LINKS:
            sock.close()
            return
        link = Link(self._loop, sock, self._side, self._log)
        self._links.append(link)
        link.read()

    @property
    def links(self) -> list[Link]:
        """To those who asked and live, the oldest first."""
        self._links = [link for link in self._links if link.open]
        return self._links

    def close(self) -> None:
        self._loop.forget(self._sock)
        self._sock.close()


def ask(path: Path) -> tuple[socket.socket, socket.socket | None, bytes]:
    """At a start: connects to the process before; its listening socket if it shares one, and what it learned.

    Raises OSError or BadMessage where it does not answer within ASK_S: the start goes on alone.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    listener, decoder, until = None, Decoder(), time.monotonic() + ASK_S
    came: deque[int] = deque()
    folder, name = _within(path)
    try:
        sock.settimeout(ASK_S)
        sock.connect(name)
        sock.sendall(Message(Kind.HELLO, {"v": VERSION}).encode())
        while True:
            left = until - time.monotonic()
            if left <= 0 or not select.select([sock], [], [], left)[0]:
                raise TimeoutError("no answer in time")
            data, fds, flags, _ = socket.recv_fds(sock, CHUNK, FDS)
            came.extend(fds)
            if not data or flags & socket.MSG_CTRUNC:
                raise OSError(0, "it ended" if data == b"" else "descriptors were lost")
            for message in decoder.feed(data):
                if message.kind is Kind.LISTENER and came:
                    listener = _socket(came.popleft())
                elif message.kind is Kind.LEARNED:
                    return sock, listener, message.raw
    except BaseException:
        sock.close()
        for fd in came:
            os.close(fd)
        if listener is not None:
            listener.close()
        raise
    finally:
        os.close(folder)
