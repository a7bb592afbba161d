"""What both fronts share: the listening socket, the clients on it, and how long they may say nothing."""

from __future__ import annotations

import errno
import ipaddress
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Any, Protocol

from olivecourse import interface as w
from olivecourse.config.address import Address
from olivecourse.net.loop import READ, Loop
from olivecourse.net.ringbuf import MAX_IDLE_CAPACITY
from olivecourse.net.stream import READS, Stream, listen

MS = 1_000_000
SWEEP_NS = 200 * MS
FIRST_NS = 2_300 * MS  # to a first whole request; with the sweep under the 3 s that any client is owed
PART_NS, PART_MOST_NS = 2_300 * MS, 6_000 * MS  # for the rest of one begun: with nothing open, and at all
IDLE_NS = 5_000 * MS  # between two requests; well-behaved clients leave after 4 s
YOUNG_NS = 100 * MS  # a connection so new may still be about to ask
LINGER_NS = 500 * MS  # lingering close: for a client to see our end and close its own
AGAIN_NS = 50 * MS  # until the next try to accept, where no descriptor could be had for a newcomer


def hung_up(sock: socket.socket) -> bool:
    """Whether the other side has ended, however much that it wrote before is still unread."""
    look = select.poll()
    look.register(sock, select.POLLRDHUP)
    return bool(look.poll(0))


class Taker(Protocol):
    """The core, as fronts see it."""

    def take(
        self, ask: w.Request, body: bytes, holds: str | None, reply: Any, key: str | None = None
    ) -> None: ...

    def leave(self, request: str) -> None: ...

    def turned_away(self, cls: int) -> None: ...


class Heir(Protocol):
    """Where one client's connection went, or came from: another process of this gateway."""

    def answer(self, number: int, frame: bytes) -> None:
        """The frame that ends a number which is still open here."""
        ...

    def forget(self, number: int) -> None:
        """The client stopped waiting for a number that is open there."""
        ...

    def gone(self) -> None:
        """The client has left."""
        ...


@dataclass(frozen=True)
class Handed:
    """A client's connection in the state in which it changes hands."""

    last: int  # the highest number so far
    taken: int  # requests that could be read
    open: list[int]  # numbers whose answers are still to come from elsewhere
    read: bytes  # come and not yet used
    unsent: bytes  # answers, or the rest of one, that the client has not taken


class Client(Stream):
    """One client's connection; subclasses call `settle` whenever what is open on it has changed."""

    def __init__(self, front: Listener, sock: socket.socket, most_in: int, most_out: int) -> None:
        self.owner = front
        self.since = front.loop.clock.now()
        self.begun = 0  # when the request that is still incomplete began to arrive; 0 if there is none
        self.answered = False
        self.taken = 0  # requests that could be read
        self._who: int | None = None
        self.lingers = False  # our side has ended; whatever still comes is read and dropped
        super().__init__(front.loop, sock, most_in, most_out)

    def load(self) -> int:
        """Requests that are owed an answer here."""
        raise NotImplementedError

    def who(self) -> int | None:
        """Who asks, by the address alone, as those who come back do so on a new port; None unless wanted."""
        if self._who is None and self.owner.names:
            try:
                self._who = int(ipaddress.ip_address(self.sock.getpeername()[0]))
            except (OSError, ValueError):  # it has left already
                return None
        return self._who

    def write(self, data: bytes) -> None:
        self.answered = True
        super().write(data)

    def read(self) -> None:
        """Takes in all that has come before any of it is used: of a client that asks and goes, nothing is."""
        if self.lingers:
            self._drop()
            return
        more = True
        for _ in range(READS):
            if len(self.inbox) >= self.inbox.limit:
                more = not hung_up(self.sock)  # the end may lie behind what there is no room for now
                break
            try:
                got = self.inbox.receive(self.sock)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                self.close(errno.errorcode.get(error.errno or 0, "error"))
                return
            if not got:
                more = False
                break
        if not more:
            self.close("closed by the other side")
        elif len(self.inbox):
            self.use()

    def use(self) -> None:
        """Hands what has come to `received`, and closes where that leaves a full buffer as it was."""
        self.received()
        if self.open and len(self.inbox) >= self.inbox.limit:
            self.close(f"{len(self.inbox)} bytes that nobody could use")

    def linger(self, why: str) -> None:
        """Ends our side and waits a little for the client to end its own: lingering close, RFC 9112, 9.6.

        Guards against a reset, which a close over unread bytes is, and which may take the last answer along.
        What is read from here on was written across our end: the client sends it again, so it must not go on.
        """
        if not self.open or self.lingers:
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # it has gone already
            self.close(why)
            return
        self.lingers = True
        self.owner.lingering(self)
        self.loop.after(LINGER_NS, lambda: self.close(why))

    def _drop(self) -> None:
        for _ in range(READS):
            try:
                if not self.sock.recv(MAX_IDLE_CAPACITY):
                    self.close("closed by the other side")
                    return
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.close(errno.errorcode.get(error.errno or 0, "error"))
                return

    def resting(self) -> bool:
        """Whether nothing is owed here and nothing has begun to arrive, after a last look."""
        if self.open and not self.lingers:
            self.read()
        return self.open and not self.lingers and not self.load() and not len(self.outbox) and not self.begun

    def settle(self) -> None:
        self.owner.place(self)

    def closed(self, why: str) -> None:
        self.owner.left(self)


class Listener:
    """Accepts up to `most` clients; subclasses make the stream of each.

    A full table makes room by closing whoever is most likely of no use, and only if all are at work the
    newcomer. Guards against connections by the hundred that say nothing, or ask once and stay.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        core: Taker,
        classes: dict[str, tuple[int, bool]],
        wait_ns: int,
        most: int,
        unread: int,
        log: Callable[..., None],
        shared: bool = False,
        sock: socket.socket | None = None,
    ) -> None:
        """`sock` listens already, in another process too, and is used in place of `address`."""
        self.loop, self.core, self.classes = loop, core, classes
        self.wait_ns, self.log, self._most, self._unread = wait_ns, log, most, unread
        self.clients: set[Client] = set()
        self._fresh: dict[Client, int] = {}  # nothing was ever answered and nothing is open
        # Answered, and since when nothing is open, the longest first. Those that asked only once are apart:
        # else a crowd of them drives out the connections of usual clients, who then add to it by coming back.
        self._once: dict[Client, int] = {}
        self._idle: dict[Client, int] = {}
        self._sock = listen(address, shared) if sock is None else sock
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        self._closed = self._paused = False
        self._lingering: dict[Client, None] = {}  # the longest first
        self.draining = False  # clients are to go elsewhere: each is closed once nothing is open on it
        self.names = False  # whether requests are to tell who asks
        loop.watch(self._sock, READ, self._accept)
        loop.after(SWEEP_NS, self._sweep)

    def client(self, sock: socket.socket) -> Client:
        raise NotImplementedError

    def _accept(self, mask: int) -> None:
        for _ in range(64):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:  # the client left before we came
                continue
            except OSError as error:  # out of descriptors
                self.log("accept_failed", why=str(error))
                if not self.make_room():
                    self._pause()
                    return
                continue
            if len(self.clients) >= self._most and not self.make_room():
                self.log("too_many_clients", clients=len(self.clients))
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = self.client(sock)
            self.clients.add(client)
            self.place(client)

    def _pause(self) -> None:
        """Leaves newcomers with the system for a moment. Guards against a loop that does nothing but fail to
        accept them, while what would free a descriptor waits."""
        self.loop.forget(self._sock)
        self._paused = True
        self.loop.after(AGAIN_NS, self._resume)

    def _resume(self) -> None:
        if self._paused and self._sock.fileno() >= 0:
            self._paused = False
            self.loop.watch(self._sock, READ, self._accept)

    def fileno(self) -> int:
        """Of the listening socket, for another process that is to accept here too; -1 once it is closed."""
        return self._sock.fileno()

    def limit(self, most: int, unread: int) -> None:
        """New limits on clients and on bytes of unread answers; who is idle and over them leaves now."""
        self._most, self._unread = most, unread
        while len(self.clients) > most and self.make_room():
            pass

    def no_more(self) -> None:
        """Stops accepting. Where another process accepts on the same socket, nobody is turned away."""
        if self._sock.fileno() >= 0:
            if not self._paused:
                self.loop.forget(self._sock)
            self._paused = False
            self._sock.close()

    def drain(self, draining: bool) -> None:
        """While it drains, clients' connections are closed as soon as nothing is open on them. Newcomers are
        served as ever: who still comes has not been told yet."""
        self.draining = draining
        if draining:
            for client in [c for c in self.clients if not c.load()]:
                self._let_go(client)

    def _let_go(self, client: Client) -> None:
        if self.draining and client.resting():
            client.linger("draining")

    def place(self, client: Client) -> None:
        """Files a client by what is open on it."""
        self._lift(client)
        if client.open and not client.lingers and not client.load():
            if self.draining:
                self.loop.after(0, lambda: self._let_go(client))
            if client.answered:
                (self._once if client.taken < 2 else self._idle)[client] = self.loop.clock.now()
                client.inbox.shrink()
                client.outbox.shrink()
            else:
                self._fresh[client] = client.since

    def _lift(self, client: Client) -> None:
        self._fresh.pop(client, None)
        self._once.pop(client, None)
        self._idle.pop(client, None)

    def lingering(self, client: Client) -> None:
        self._lift(client)
        self._lingering[client] = None

    def left(self, client: Client) -> None:
        self._lift(client)
        self._lingering.pop(client, None)
        self.clients.discard(client)

    def make_room(self) -> bool:
        """Closes one that has been told of its end, or never asked, else the longest idle one; whether there
        was one to close."""
        for client in self._lingering:
            client.close("room for another")
            return True
        old = self.loop.clock.now() - YOUNG_NS
        for groups, before in (
            ((self._fresh, self._once, self._idle), old),
            ((self._once, self._idle, self._fresh), old + YOUNG_NS),
        ):
            for group in groups:
                for client in list(islice((c for c, since in group.items() if since <= before), 8)):
                    if client.resting():  # else its request has come already, and it is not the one
                        client.close("room for another")
                    if not client.open:
                        return True
        return False

    def _sweep(self) -> None:
        """Closes connections that never ask, never finish asking, or stay without asking again."""
        if self._closed:
            return
        self.loop.after(SWEEP_NS, self._sweep)  # first, so that a fault below does not end it for good
        now, unread = self.loop.clock.now(), 0
        for client in list(self.clients):
            part = now - client.begun if client.begun else 0
            unread += len(client.outbox)
            if client.lingers:
                continue
            if part > (PART_MOST_NS if client.load() else PART_NS):
                client.close("never finished asking")
            elif client in self._fresh and now - client.since > FIRST_NS:
                if client.resting():
                    client.linger("never asked")
            elif now - self._idle.get(client, self._once.get(client, now)) > IDLE_NS and client.resting():
                client.linger("idle")
        while unread > self._unread:  # answers that nobody reads must not take the memory of the others
            worst = max(self.clients, key=lambda c: len(c.outbox))
            unread -= len(worst.outbox)
            self.log("client_does_not_read", unread=len(worst.outbox))
            worst.close("does not read")

    def flushed(self) -> bool:
        """Whether every answer has left."""
        return not any(len(c.outbox) for c in self.clients)

    def retire(self) -> None:
        """The process is about to end: newcomers that the system holds are let in, no more come, and every
        client is told of our end as soon as nothing is open on it."""
        if not self._closed and not self._paused and self._sock.fileno() >= 0:
            self._accept(READ)
        self.no_more()
        self.drain(True)

    def close(self) -> None:
        self._closed = True
        self.no_more()
        for client in list(self.clients):
            client.close("end")
