"""What both fronts share: the listening socket, the clients on it, and how long they may say nothing."""

from __future__ import annotations

import ipaddress
import socket
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Any, Protocol

from olivecourse import interface as w
from olivecourse.net.loop import READ, Loop
from olivecourse.net.stream import Stream, listen
from olivecourse.told.address import Address

MS = 1_000_000
SWEEP_NS = 200 * MS
FIRST_NS = 2_300 * MS  # to a first whole request; with the sweep under the 3 s that any client is owed
PART_NS, PART_MOST_NS = 2_300 * MS, 6_000 * MS  # for the rest of one begun: with nothing open, and at all
IDLE_NS = 5_000 * MS  # between two requests; well-behaved clients leave after 4 s
YOUNG_NS = 100 * MS  # a connection so new may still be about to ask


class Taker(Protocol):
    """The core, as fronts see it."""

    def take(self, ask: w.Request, body: bytes, holds: str | None, reply: Any,
             key: str | None = None) -> None: ...

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

    def settle(self) -> None:
        self.owner.place(self)

    def closed(self, why: str) -> None:
        self.owner.left(self)


class Listener:
    """Accepts up to `most` clients; subclasses make the stream of each.

    A full table makes room by closing whoever is most likely of no use, and only if all are at work the
    newcomer. Guards against connections by the hundred that say nothing, or ask once and stay.
    """

    def __init__(self, loop: Loop, address: Address, core: Taker, classes: dict[str, tuple[int, bool]],
                 wait_ns: int, most: int, unread: int, log: Callable[..., None],
                 shared: bool = False, sock: socket.socket | None = None) -> None:
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
        self._closed = False
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
            except OSError as error:  # out of descriptors, or the client left before we came
                self.log("accept_failed", why=str(error))
                if not self._make_room():
                    return
                continue
            if len(self.clients) >= self._most and not self._make_room():
                self.log("too_many_clients", clients=len(self.clients))
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = self.client(sock)
            self.clients.add(client)
            self.place(client)

    def fileno(self) -> int:
        """Of the listening socket, for another process that is to accept here too; -1 once it is closed."""
        return self._sock.fileno()

    def limit(self, most: int, unread: int) -> None:
        """New limits on clients and on bytes of unread answers; who is idle and over them leaves now."""
        self._most, self._unread = most, unread
        while len(self.clients) > most and self._make_room():
            pass

    def no_more(self) -> None:
        """Stops accepting. Where another process accepts on the same socket, nobody is turned away."""
        if self._sock.fileno() >= 0:
            self.loop.forget(self._sock)
            self._sock.close()

    def drain(self, draining: bool) -> None:
        """While it drains, clients' connections are closed as soon as nothing is open on them. Newcomers are
        served as ever: who still comes has not been told yet."""
        self.draining = draining
        if draining:
            for client in [c for c in self.clients if not c.load()]:
                self._let_go(client)

    def _let_go(self, client: Client) -> None:
        if self.draining and client.open:
            client.read()  # its request may have come already
            if client.open and not client.load() and not len(client.outbox) and not client.begun:
                client.close("draining")

    def place(self, client: Client) -> None:
        """Files a client by what is open on it."""
        self._lift(client)
        if client.open and not client.load():
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

    def left(self, client: Client) -> None:
        self._lift(client)
        self.clients.discard(client)

    def _make_room(self) -> bool:
        """Closes one that never asked, else the longest idle one; whether there was one to close."""
        old = self.loop.clock.now() - YOUNG_NS
        for groups, before in (((self._fresh, self._once, self._idle), old),
                               ((self._once, self._idle, self._fresh), old + YOUNG_NS)):
            for group in groups:
                for client in list(islice((c for c, since in group.items() if since <= before), 8)):
                    client.read()  # its request may have come already: then it is not the one
                    if client.open and not client.load():
                        client.close("room for another")
                    if not client.open:
                        return True
        return False

    def _sweep(self) -> None:
        """Closes connections that never ask, never finish asking, or stay without asking again."""
        if self._closed:
            return
        now, unread = self.loop.clock.now(), 0
        for client in list(self.clients):
            part = now - client.begun if client.begun else 0
            unread += len(client.outbox)
            if client in self._fresh and now - client.since > FIRST_NS:
                client.close("never asked")
            elif part > (PART_MOST_NS if client.load() else PART_NS):
                client.close("never finished asking")
            elif now - self._idle.get(client, self._once.get(client, now)) > IDLE_NS:
                client.close("idle")
        while unread > self._unread:  # answers that nobody reads must not take the memory of the others
            worst = max(self.clients, key=lambda c: len(c.outbox))
            unread -= len(worst.outbox)
            self.log("client_does_not_read", unread=len(worst.outbox))
            worst.close("does not read")
        self.loop.after(SWEEP_NS, self._sweep)

    def flushed(self) -> bool:
        """Whether every answer has left."""
        return not any(len(c.outbox) for c in self.clients)

    def close(self) -> None:
        self._closed = True
        self.no_more()
        for client in list(self.clients):
            client.close("end")
