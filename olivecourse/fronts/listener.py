"""Common base of the Thrift and HTTP servers: the listening socket, client connections and their timeouts."""

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
# The time until the first complete request. Together with the sweep interval, it stays below the 3 s which
# every client must be given.
FIRST_NS = 2_300 * MS
# The time for receiving an incomplete request: if no other request is open on the connection, and if one is.
PARTIAL_REQUEST_TIMEOUT_NS, MAX_PARTIAL_REQUEST_TIMEOUT_NS = 2_300 * MS, 6_000 * MS
IDLE_NS = 5_000 * MS  # the time between two requests; well-behaved clients close after 4 s
MIN_EVICTION_AGE_NS = 100 * MS  # a connection younger than this may still be about to send its first request
LINGER_NS = 500 * MS  # how long a lingering close waits for the client to close its side
ACCEPT_RETRY_NS = 50 * MS  # the delay before accepting again after no file descriptor was available


def has_peer_closed(sock: socket.socket) -> bool:
    """Returns whether the peer has closed its sending side, even if data from it is still unread."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))


class RequestCore(Protocol):
    """The request core, as the servers see it."""

    def take(
        self, ask: w.Request, body: bytes, holds: str | None, reply: Any, key: str | None = None
    ) -> None:
        """Accepts a request, which is answered through `reply`; `holds` is the tag of the client's copy."""
        ...

    def leave(self, request: str) -> None:
        """Ends the request with this id because its client no longer waits for it."""
        ...

    def turned_away(self, cls: int) -> None:
        """Counts a request of the class `cls` that the server refused without accepting it."""
        ...


class HandoverPeer(Protocol):
    """Another process of this gateway that has taken over a client's connection, or has handed it over."""

    def answer(self, number: int, frame: bytes) -> None:
        """Sends the response frame for a sequence number to the process that now holds the connection."""
        ...

    def forget(self, number: int) -> None:
        """Tells the previous process that the client has cancelled a request which is still open there."""
        ...

    def gone(self) -> None:
        """Tells the previous process that the client has disconnected."""
        ...


@dataclass(frozen=True)
class Handed:
    """The state of a client's connection when it is handed over to another process."""

    last: int  # the highest sequence number so far
    taken: int  # the number of valid requests
    open: list[int]  # sequence numbers whose responses are still to come from another process
    read: bytes  # received but not yet processed
    unsent: bytes  # responses, or the rest of one, that the socket has not accepted


class Client(Stream):
    """One client's connection; subclasses call `update_group` whenever its set of open requests changes."""

    def __init__(self, front: Listener, sock: socket.socket, most_in: int, most_out: int) -> None:
        self.listener = front
        self.connected_at = front.loop.clock.now()
        self.incomplete_since = 0  # when the still incomplete request began to arrive; 0 if there is none
        self.answered = False
        self.taken = 0  # the number of valid requests
        self._client_address: int | None = None
        self.lingers = False  # the sending side is closed; data that still arrives is read and discarded
        super().__init__(front.loop, sock, most_in, most_out)

    def load(self) -> int:
        """Returns the number of requests on this connection that have no response yet."""
        raise NotImplementedError

    def client_address(self) -> int | None:
        """Returns the client's IP address as a number, or None unless the listener identifies clients.

        The port is left out, since a returning client comes from a new port.
        """
        if self._client_address is None and self.listener.names:
            try:
                self._client_address = int(ipaddress.ip_address(self.sock.getpeername()[0]))
            except (OSError, ValueError):  # the client has disconnected already
                return None
        return self._client_address

    def write(self, data: bytes) -> None:
        """Sends response bytes to the client."""
        self.answered = True
        super().write(data)

    def read(self) -> None:
        """Reads all available data before any of it is processed.

        The requests of a client that sends them and closes at once are therefore never started.
        """
        if self.lingers:
            self._discard_input()
            return
        still_open = True
        for _ in range(READS):
            if len(self.inbox) >= self.inbox.limit:
                # The end of the stream may follow data that does not fit into the buffer now.
                still_open = not has_peer_closed(self.sock)
                break
            try:
                received_bytes = self.inbox.receive(self.sock)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                self.close(errno.errorcode.get(error.errno or 0, "error"))
                return
            if not received_bytes:
                still_open = False
                break
        if not still_open:
            self.close("closed by the other side")
        elif len(self.inbox):
            self.process_inbox()

    def process_inbox(self) -> None:
        """Calls `received` for the data read, and closes the connection if the buffer is still full then."""
        self.received()
        if self.open and len(self.inbox) >= self.inbox.limit:
            self.close(f"{len(self.inbox)} bytes that could not be parsed")

    def linger(self, why: str) -> None:
        """Closes the sending side and waits for the client to close its own: lingering close, RFC 9112, 9.6.

        Closing with unread data would reset the connection, and the reset may destroy the last response. Data
        read from now on crossed the close; the client sends it again, so it must not be processed here.
        """
        if not self.open or self.lingers:
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # the client has disconnected already
            self.close(why)
            return
        self.lingers = True
        self.listener.mark_lingering(self)
        self.loop.after(LINGER_NS, lambda: self.close(why))

    def _discard_input(self) -> None:
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
        """Reads once more and returns whether no request is open, unsent or partly received."""
        if self.open and not self.lingers:
            self.read()
        return (
            self.open
            and not self.lingers
            and not self.load()
            and not len(self.outbox)
            and not self.incomplete_since
        )

    def update_group(self) -> None:
        """Reclassifies this connection in its listener."""
        self.listener.classify(self)

    def closed(self, why: str) -> None:
        self.listener.remove_client(self)


class Listener:
    """Accepts up to `max_clients` connections; subclasses create the stream of each.

    At the limit, a new client replaces the connection that is least likely to be needed; if all connections
    have open requests, the new one is closed. This guards against hundreds of connections that send nothing,
    or send one request and stay open.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        core: RequestCore,
        classes: dict[str, tuple[int, bool]],
        wait_ns: int,
        max_clients: int,
        max_unread_bytes: int,
        log: Callable[..., None],
        shared: bool = False,
        sock: socket.socket | None = None,
    ) -> None:
        """`classes` maps the name of a request class to its number and whether it writes. `wait_ns` is the
        retry delay sent with a refusal, and `max_unread_bytes` limits unread responses over all clients.

        `sock` is a socket that listens already, possibly also in another process, and replaces `address`.
        """
        self.loop, self.core, self.classes = loop, core, classes
        self.wait_ns, self.log, self._most, self._max_unread_bytes = (
            wait_ns,
            log,
            max_clients,
            max_unread_bytes,
        )
        self.clients: set[Client] = set()
        self._new_clients: dict[Client, int] = {}  # clients without any response and without an open request
        # Idle clients that have had a response, with the start of their idle time, the longest idle first.
        # Clients with a single request are kept apart: a crowd of them would otherwise displace regular
        # clients, whose reconnections would add to the crowd.
        self._single_request_clients: dict[Client, int] = {}
        self._idle_clients: dict[Client, int] = {}
        self._sock = listen(address, shared) if sock is None else sock
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        self._closed = self._paused = False
        self._lingering: dict[Client, None] = {}  # connections in a lingering close, the oldest first
        # True while clients shall move to another gateway: each connection is closed once it is idle.
        self.draining = False
        self.names = False  # whether requests carry the identity of their client
        loop.watch(self._sock, READ, self._accept)
        loop.after(SWEEP_NS, self._sweep)

    def client(self, sock: socket.socket) -> Client:
        """Creates the stream of an accepted connection."""
        raise NotImplementedError

    def _accept(self, mask: int) -> None:
        for _ in range(64):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:  # the client disconnected before the accept
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
            self.classify(client)

    def _pause(self) -> None:
        """Stops accepting for ACCEPT_RETRY_NS, so that new connections wait in the backlog.

        Guards against a loop that only fails to accept while the work that would free a descriptor waits.
        """
        self.loop.forget(self._sock)
        self._paused = True
        self.loop.after(ACCEPT_RETRY_NS, self._resume)

    def _resume(self) -> None:
        if self._paused and self._sock.fileno() >= 0:
            self._paused = False
            self.loop.watch(self._sock, READ, self._accept)

    def fileno(self) -> int:
        """Returns the descriptor of the listening socket, for sharing with another process; -1 if closed."""
        return self._sock.fileno()

    def limit(self, max_clients: int, max_unread_bytes: int) -> None:
        """Sets new limits on clients and on unread response bytes; closes idle clients above the limit."""
        self._most, self._max_unread_bytes = max_clients, max_unread_bytes
        while len(self.clients) > max_clients and self.make_room():
            pass

    def no_more(self) -> None:
        """Stops accepting; another process that shares the socket continues to accept all clients."""
        if self._sock.fileno() >= 0:
            if not self._paused:
                self.loop.forget(self._sock)
            self._paused = False
            self._sock.close()

    def drain(self, draining: bool) -> None:
        """Starts or stops draining, in which each connection is closed as soon as no request is open on it.

        New connections are still served, since their clients have not learned of the drain yet.
        """
        self.draining = draining
        if draining:
            for client in [c for c in self.clients if not c.load()]:
                self._close_if_idle(client)

    def _close_if_idle(self, client: Client) -> None:
        if self.draining and client.resting():
            client.linger("draining")

    def classify(self, client: Client) -> None:
        """Puts a client into the group that matches its open requests and its history."""
        self._remove_from_groups(client)
        if client.open and not client.lingers and not client.load():
            if self.draining:
                self.loop.after(0, lambda: self._close_if_idle(client))
            if client.answered:
                (self._single_request_clients if client.taken < 2 else self._idle_clients)[client] = (
                    self.loop.clock.now()
                )
                client.inbox.shrink()
                client.outbox.shrink()
            else:
                self._new_clients[client] = client.connected_at

    def _remove_from_groups(self, client: Client) -> None:
        self._new_clients.pop(client, None)
        self._single_request_clients.pop(client, None)
        self._idle_clients.pop(client, None)

    def mark_lingering(self, client: Client) -> None:
        """Records that a client's connection is in a lingering close."""
        self._remove_from_groups(client)
        self._lingering[client] = None

    def remove_client(self, client: Client) -> None:
        """Removes a client whose connection is closed or belongs to another process now."""
        self._remove_from_groups(client)
        self._lingering.pop(client, None)
        self.clients.discard(client)

    def make_room(self) -> bool:
        """Closes one connection and returns whether there was one to close.

        Lingering connections are closed first, then those without any request, then the longest idle ones.
        Connections that are new, or idle, for less than MIN_EVICTION_AGE_NS come last.
        """
        for client in self._lingering:
            client.close("replaced by another client")
            return True
        eviction_cutoff = self.loop.clock.now() - MIN_EVICTION_AGE_NS
        for groups, cutoff in (
            ((self._new_clients, self._single_request_clients, self._idle_clients), eviction_cutoff),
            (
                (self._single_request_clients, self._idle_clients, self._new_clients),
                eviction_cutoff + MIN_EVICTION_AGE_NS,
            ),
        ):
            for group in groups:
                for client in list(islice((c for c, idle_since in group.items() if idle_since <= cutoff), 8)):
                    if client.resting():  # otherwise a request of the client has just arrived
                        client.close("replaced by another client")
                    if not client.open:
                        return True
        return False

    def _sweep(self) -> None:
        """Closes connections without a request, with an incomplete request, or idle for too long."""
        if self._closed:
            return
        self.loop.after(SWEEP_NS, self._sweep)  # first, so that a fault below does not end the sweeps
        now, unread = self.loop.clock.now(), 0
        for client in list(self.clients):
            partial_ns = now - client.incomplete_since if client.incomplete_since else 0
            unread += len(client.outbox)
            if client.lingers:
                continue
            if partial_ns > (MAX_PARTIAL_REQUEST_TIMEOUT_NS if client.load() else PARTIAL_REQUEST_TIMEOUT_NS):
                client.close("request not completed in time")
            elif client in self._new_clients and now - client.connected_at > FIRST_NS:
                if client.resting():
                    client.linger("no request in time")
            elif (
                now - self._idle_clients.get(client, self._single_request_clients.get(client, now)) > IDLE_NS
                and client.resting()
            ):
                client.linger("idle")
        # Clients that do not read must not use up the memory of the others.
        while unread > self._max_unread_bytes:
            slowest = max(self.clients, key=lambda c: len(c.outbox))
            unread -= len(slowest.outbox)
            self.log("client_does_not_read", unread=len(slowest.outbox))
            slowest.close("does not read")

    def flushed(self) -> bool:
        """Returns whether every response has been sent."""
        return not any(len(c.outbox) for c in self.clients)

    def retire(self) -> None:
        """Prepares for the end of the process.

        Connections in the backlog are accepted, further ones are not, and each connection is closed as soon
        as no request is open on it.
        """
        if not self._closed and not self._paused and self._sock.fileno() >= 0:
            self._accept(READ)
        self.no_more()
        self.drain(True)

    def close(self) -> None:
        """Stops accepting and closes all connections at once."""
        self._closed = True
        self.no_more()
        for client in list(self.clients):
            client.close("end")
