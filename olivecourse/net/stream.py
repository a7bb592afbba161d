"""Listening sockets, and non-blocking stream connections with one ring buffer for each direction."""

from __future__ import annotations

import errno
import os
import socket

from olivecourse.config.address import Address
from olivecourse.net.loop import READ, WRITE, Loop
from olivecourse.net.ring_buffer import BufferFull, RingBuffer

# Socket reads from one connection in one turn of the event loop, so that a flood of data on one connection
# does not starve the others.
READS = 16


def listen(address: Address, shared: bool = False) -> socket.socket:
    """Returns a listening TCP socket; `shared` lets other processes listen at its address (SO_REUSEPORT)."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # After a restart, connections of the previous process may still be in TIME_WAIT on the address, and
        # without this option the bind would fail.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(512)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def listen_unix(path: str, backlog: int) -> socket.socket:
    """Returns a Unix socket that listens at `path`, to which only the process's user may connect.

    Raises OSError, for example if the path exists already.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    try:
        sock.bind(path)
        os.chmod(path, 0o600)
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


class Stream:
    """A non-blocking connection watched by the event loop, with buffers for received and for unsent bytes.

    Subclasses override `opened`, `received` and `closed`. `closed` is called exactly once, unless `detach`
    has given the socket to another owner.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        max_inbox_bytes: int,
        max_outbox_bytes: int,
        connecting: bool = False,
        deferrable: bool = False,
    ) -> None:
        """`connecting` means that the connection is still being established, and `deferrable` that `Loop` may
        put the handling of this connection off while many others are ready.
        """
        self.loop, self.sock = loop, sock
        self.inbox, self.outbox = RingBuffer(max_inbox_bytes), RingBuffer(max_outbox_bytes)
        self.connecting, self.open = connecting, True
        self.reads = READS
        self.unsent = False  # whether a failed send, of which no byte has left, closed the stream
        # True after `try_send` returned False, until the socket is writable: its data is not in the outbox.
        self._blocked = False
        self._mask = WRITE if connecting else READ
        loop.watch(sock, self._mask, self._ready, deferrable)

    @staticmethod
    def connect(loop: Loop, address: Address) -> socket.socket:
        """Returns a new non-blocking TCP socket whose connection to `address` is being established.

        Raises OSError if the connection is refused at once, or if no file descriptor is available and
        `Loop.free_descriptor` cannot free one.
        """
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            if error.errno not in (errno.EMFILE, errno.ENFILE) or not loop.free_descriptor():
                raise
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, "connect")
        return sock

    def opened(self) -> None:
        """Called once when an outgoing connection (`connecting=True`) is established."""
        ...

    def received(self) -> None:
        """Called after each read that has added bytes to `inbox`; takes out the bytes that it can process."""
        ...

    def closed(self, why: str) -> None:
        """Called once when the connection has been closed; `why` is the reason, a short text for the log."""
        ...

    def _ready(self, mask: int) -> None:
        try:
            self._handle(mask)
        except Exception as error:  # without the close, the same exception would be raised in every turn
            self.close(f"fault: {type(error).__name__}")
            raise

    def _handle(self, mask: int) -> None:
        if self.connecting:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.close(errno.errorcode.get(code, str(code)))
                return
            self.connecting = False
            self._update_event_mask()
            self.opened()
            return
        if mask & WRITE:
            self.flush()
        if mask & READ and self.open:
            self.read()

    def read_ahead(self) -> None:
        """Reads what has arrived before the event loop reports it; a fault closes the stream."""
        try:
            self.read()
        except Exception as error:
            self.close(f"fault: {type(error).__name__}")
            self.loop.on_fault("socket", error)

    def read(self) -> None:
        """Reads up to `reads` times, until the socket is empty; calls `received` after each read.

        Closes the connection at its end, on an error, or if the inbox is full.
        """
        for _ in range(self.reads):
            try:
                read_count = self.inbox.receive(self.sock)
            except (BlockingIOError, InterruptedError):
                return
            except BufferFull as overflow:
                self.close(str(overflow))
                return
            except OSError as error:
                self.close(errno.errorcode.get(error.errno or 0, "error"))
                return
            if not read_count:
                self.close("closed by the other side")
                return
            self.received()
            # A negative count means that the socket is empty now; another read would only cost a system call
            # and an exception.
            if read_count < 0 or not self.open:
                return

    def write(self, data: bytes) -> None:
        """Sends bytes; queues in `outbox` what the socket does not accept, and closes if that is full."""
        if not self.open:
            return
        if not self.connecting and not len(self.outbox):
            # The socket mostly accepts all bytes at once; only those left over are copied to the outbox.
            sent = self._send(data)
            if not self.open:
                return
            if sent == len(data):
                self.drained()
                return
            data = data[sent:] if sent else data
        self._queue(data)

    def try_send(self, data: bytes) -> bool:
        """Sends bytes like `write`, but returns False and queues nothing if the socket accepts no byte now.

        In that case, if the stream is open, `drained` is called once it can send again. Used for a request
        whose permission is checked immediately before its first byte is sent and must be checked again after
        a delay.
        """
        if not self.open or self.connecting or len(self.outbox):
            return False
        sent = self._send(data)
        if self.open and not sent:
            self._blocked = True
            self._update_event_mask()
            return False
        if self.open and sent < len(data):
            self._queue(data[sent:])
        elif self.open:
            self.drained()
        return True

    def _send(self, data: bytes) -> int:
        """Sends once and returns how many bytes the socket accepted; closes the stream if the send fails."""
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            self.unsent = True
            self.close(errno.errorcode.get(error.errno or 0, "error"))
            return 0

    def _queue(self, data: bytes) -> None:
        try:
            self.outbox.write(data)
        except BufferFull as overflow:
            self.close(str(overflow))
            return
        if not self.connecting:
            self._update_event_mask()

    def flush(self) -> None:
        """Sends as much of `outbox` as the socket accepts; called when the socket has become writable."""
        self._blocked = False
        try:
            while len(self.outbox):
                self.outbox.send(self.sock)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            self.close(errno.errorcode.get(error.errno or 0, "error"))
            return
        self._update_event_mask()
        if not len(self.outbox):
            self.drained()

    def drained(self) -> None:
        """Called when all written bytes are sent, or the socket is writable after a failed `try_send`."""

    def _update_event_mask(self) -> None:
        mask = READ | (WRITE if len(self.outbox) or self._blocked else 0)
        if self.open and mask != self._mask:
            self._mask = mask
            self.loop.change(self.sock, mask, self._ready)

    def detach(self) -> socket.socket:
        """Returns the socket, still open and no longer watched, for another owner; `closed` is not called."""
        self.open = False
        self.loop.unwatch(self.sock)
        return self.sock

    def close(self, why: str = "done") -> None:
        """Closes the connection and calls `closed`; has no effect if the connection is closed already."""
        if not self.open:
            return
        self.open = False
        self.loop.unwatch(self.sock)
        self.sock.close()
        self.closed(why)
