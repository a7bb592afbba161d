"""Common base of the Thrift and HTTP servers: listening, client connections, their limits and timeouts."""

from __future__ import annotations

import errno
import ipaddress
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Any, Protocol

from olivecourse import interface
from olivecourse.config.address import Address
from olivecourse.net.loop import READ, Loop
from olivecourse.net.ring_buffer import INITIAL_CAPACITY, MAX_IDLE_CAPACITY
from olivecourse.net.stream import READS, Stream, listen

MS = 1_000_000
SWEEP_NS = 200 * MS  # the interval of `Listener._sweep`, which applies the timeouts below
# A new connection that has had no response and has no open request after this time is closed, at most one
# sweep interval later. The sum, 2.5 s, stays below the 3 s that every client is owed.
FIRST_REQUEST_TIMEOUT_NS = 2_300 * MS
# A connection is closed if a request takes longer than this to arrive completely. The first limit applies if
# no other request is open on the connection, the second if one is.
PARTIAL_REQUEST_TIMEOUT_NS, MAX_PARTIAL_REQUEST_TIMEOUT_NS = 2_300 * MS, 6_000 * MS
# A connection without an open request is closed this long after its last response. Well-behaved clients close
# their idle connections after 4 s.
IDLE_TIMEOUT_NS = 5_000 * MS
# A connection that is new, or idle, for less than this time is closed for a new client only if no other can
# be, since its client may be about to send a request.
MIN_EVICTION_AGE_NS = 100 * MS
# A connection that has never carried a whole request may be closed for a new client once a request has been
# arriving on it for this time.
MIN_FIRST_REQUEST_AGE_NS = 20 * MS
# A connection whose unfinished request occupies less memory is not closed for it; little more than the buffer
# of an idle connection.
MIN_RECLAIMED_BYTES = 2 * INITIAL_CAPACITY
MAX_EVICTION_CANDIDATES = 8  # connections of a group that are looked at for one that may be closed
MAX_UNFINISHED_CANDIDATES = 64  # the same of those on which a request arrives
LINGER_NS = 500 * MS  # how long `Client.linger` waits for the client to close its side
ACCEPT_RETRY_NS = 50 * MS  # pause in accepting after no file descriptor was free


def has_peer_closed(sock: socket.socket) -> bool:
    """Returns whether the peer has closed its sending side, also while data from it is still unread."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))


class RequestCore(Protocol):
    """The part of the gateway that serves requests (the `RequestTracker`), as both client servers use it."""

    def accept(
        self,
        request_event: interface.Request,
        body: bytes,
        held_tag: str | None,
        reply: Any,
        key: str | None = None,
        single_use: bool = False,
    ) -> None:
        """Accepts a request, which then gets exactly one answer through `reply`.

        `held_tag` is the version tag of the copy that the client holds, `key` the client's idempotency key;
        both are None if the client sent none. A `single_use` request is refused only on proof that no store
        has run it. Raises `DuplicateRequest` or `TooManyOpenRequests` if it does
        not accept the request.
        """
        ...

    def client_disconnected(self, request: str) -> None:
        """Ends the request with this id without an answer: its client has disconnected or cancelled it."""
        ...

    def record_rejection(self, cls: int) -> None:
        """Counts a request of class number `cls` that the Thrift or HTTP server itself has refused."""
        ...


class HandoverPeer(Protocol):
    """The other process in the handover of a client's connection between two processes of one gateway.

    It is the next process, which has taken the connection over (`answer`), or the previous one, which has
    handed it over and still serves requests that were open then (`forget`, `gone`).
    """

    def answer(self, number: int, frame: bytes) -> None:
        """Sends a response frame for a sequence number to the next process, which passes it to the client."""
        ...

    def forget(self, number: int) -> None:
        """Tells the previous process that the client has cancelled this sequence number, still open there."""
        ...

    def gone(self) -> None:
        """Tells the previous process that the client has disconnected, so that it ends all its requests."""
        ...


@dataclass(frozen=True)
class ConnectionState:
    """The state of a client's Thrift connection when it is handed over to another process."""

    last_number: int  # the highest sequence number of a `serve` call so far
    request_count: int  # how many valid requests the connection has carried so far
    open: list[int]  # sequence numbers whose responses the previous process still sends to the next one
    read: bytes  # received from the client but not yet processed
    unsent: bytes  # response bytes that the socket has not accepted yet


class Client(Stream):
    """One client's connection. Its open requests are those that have been received and not answered yet.

    Subclasses call `update_group` when the connection becomes idle (no open request) or busy.
    """

    def __init__(self, front: Listener, sock: socket.socket, most_in: int, most_out: int) -> None:
        self.listener = front
        self.connected_at = front.loop.clock.now()
        self.incomplete_since = 0  # when the request now arriving began to arrive; 0 if none is
        self.answered = False  # whether any response has been written
        self.request_count = 0  # how many valid requests the connection has carried so far
        self.frames_pending = False  # complete frames are left in the inbox for a later turn
        self._client_address: int | None = None
        self.lingers = False  # in a lingering close: data that still arrives is discarded
        self.counted_bytes = 0  # the `held_bytes` that the listener has counted last
        super().__init__(front.loop, sock, most_in, most_out, deferrable=True)

    def load(self) -> int:
        """Returns the number of open requests: received on this connection and not answered yet."""
        raise NotImplementedError

    def client_address(self) -> int | None:
        """Returns the client's IP address as a number, by which the retry storm guard identifies the client.

        The port is left out, since a returning client comes from a new port. Returns None if the guard is not
        in use (`Listener.identifies_clients` is False) or the client has disconnected already.
        """
        if self._client_address is None and self.listener.identifies_clients:
            try:
                self._client_address = int(ipaddress.ip_address(self.sock.getpeername()[0]))
            except (OSError, ValueError):  # no peer address: the client has disconnected already
                return None
        return self._client_address

    def write(self, data: bytes) -> None:
        """Sends response bytes to the client and notes that the connection has had a response."""
        self.answered = True
        super().write(data)

    def read(self) -> None:
        """Reads the available data (at most READS times) before any of it is processed.

        If the client has closed already, the connection is closed and the requests just read are not started.
        """
        if self.lingers:
            self._discard_input()
            return
        still_open = True
        for _ in range(READS):
            if len(self.inbox) >= self.inbox.limit:
                # The inbox is full, so a close by the client cannot be noticed by reading up to it.
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
            self.inbox.shrink()
            self.listener.count_held_bytes(self)

    def held_bytes(self) -> int:
        """Returns the memory in bytes that the connection's unfinished or waiting requests occupy."""
        return self.inbox.capacity

    def refuse_waiting_requests(self) -> None:
        """Frees the memory of requests that have not been handed to the core; each is refused in its turn."""

    def process_inbox(self) -> None:
        """Calls `received` for the data read; closes the connection if the inbox is still full afterwards."""
        self.received()
        if self.open and len(self.inbox) >= self.inbox.limit:
            self.close(f"{len(self.inbox)} bytes that could not be parsed")

    def linger(self, why: str) -> None:
        """Closes the sending side and waits, at most LINGER_NS, for the client to close its own.

        This is the lingering close of RFC 9112, section 9.6.

        Closing a socket with unread data would reset the connection, and the reset may destroy the last
        response before the client has read it. Data that arrives from now on was sent before the client knew
        of the close; the client sends it again on another connection, so it must not be processed here.
        """
        if not self.open or self.lingers:
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # the client has disconnected already, so there is nothing to wait for
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

    def is_idle(self) -> bool:
        """Returns whether the connection may be closed without loss.

        That is: it is open and not lingering, no request is open, no response byte is unsent, no request has
        arrived in part, and nothing waits unread, which is left for the connection's turn in the event loop.
        """
        return (
            self.open
            and not self.lingers
            and not self.load()
            and not len(self.outbox)
            and not self.incomplete_since
            and not self.has_unread_input()
            and self.open  # the client may have closed it just now
        )

    def has_unread_input(self) -> bool:
        """Returns whether bytes of the client wait unread; closes the connection if its client has left."""
        try:
            if self.sock.recv(1, socket.MSG_PEEK):
                return True
            self.close("closed by the other side")
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            self.close(errno.errorcode.get(error.errno or 0, "error"))
        return False

    def partial_request_overdue(self, now: int) -> bool:
        """Returns whether a request has been arriving for longer than its time limit."""
        limit_ns = MAX_PARTIAL_REQUEST_TIMEOUT_NS if self.load() else PARTIAL_REQUEST_TIMEOUT_NS
        if not self.open or not self.incomplete_since or self.frames_pending:
            return False
        return now - self.incomplete_since > limit_ns

    def update_group(self) -> None:
        """Makes the listener classify this connection again, because it became idle or busy."""
        self.listener.classify(self)

    def closed(self, why: str) -> None:
        self.listener.remove_client(self)
        self.loop.after(0, self.release_memory)  # not at once: the close may come from within a read

    def release_memory(self) -> None:
        """Frees the memory of a closed connection. The garbage collector, which would free it as well if the
        object is part of a reference cycle, runs seldom.
        """
        self.inbox.release()
        self.outbox.release()


class Listener:
    """Accepts up to `max_clients` connections; subclasses create a `Client` for each.

    At that limit, one connection without an open request is closed for a new client, in the order given at
    `evict_client`; if all connections have open requests, the new one is closed. This guards against hundreds
    of connections that send nothing, or send one request and stay open.

    The memory that all clients together occupy is limited as well, in each direction: by responses that they
    do not read, and by requests that are unfinished or wait for their turn.
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
        retry delay sent when the server itself refuses a request. `max_unread_bytes` limits the response
        bytes that all clients together have not accepted yet, and also the memory that their requests occupy
        before they are handed to the core.

        `shared` lets other processes listen at `address` (SO_REUSEPORT). `sock` is a socket that listens
        already, possibly also in another process, and is used in place of `address`.
        """
        self.loop, self.core, self.classes = loop, core, classes
        self.wait_ns, self.log, self._max_clients, self._max_unread_bytes = (
            wait_ns,
            log,
            max_clients,
            max_unread_bytes,
        )
        self.clients: set[Client] = set()
        # Clients that have had no response and have no open request, with the time at which they connected.
        self._new_clients: dict[Client, int] = {}
        # Idle clients (with a response and without an open request) and the time since which they are idle,
        # the longest idle first. Clients that have sent only one valid request are kept apart and closed
        # first: otherwise many of them at once would displace regular clients, whose reconnections would add
        # to the load.
        self._single_request_clients: dict[Client, int] = {}
        self._idle_clients: dict[Client, int] = {}
        # Clients without an open request whose next request has arrived in part, the longest first.
        self._unfinished_clients: dict[Client, None] = {}
        self._held_bytes = 0  # sum of the `counted_bytes` of all clients
        self._sock = listen(address, shared) if sock is None else sock
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        self._closed = self._paused = False
        self._lingering: dict[Client, None] = {}  # connections in a lingering close, the oldest first
        # True while clients shall move to another gateway: each connection is closed when it has no open
        # request.
        self.draining = False
        # Whether each request event carries its client's IP address, which the retry storm guard needs.
        self.identifies_clients = False
        self._watch()
        loop.after(SWEEP_NS, self._sweep)

    def client(self, sock: socket.socket) -> Client:
        """Creates the `Client` for an accepted connection, as the protocol (Thrift or HTTP) needs it."""
        raise NotImplementedError

    def _watch(self) -> None:
        self.loop.watch(self._sock, READ, self._accept, deferrable=True)

    def _accept(self, mask: int) -> None:
        for _ in range(64):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:  # this client disconnected while it waited to be accepted
                continue
            except OSError as error:  # mostly out of file descriptors
                self.log("accept_failed", why=str(error))
                if not self.evict_client():
                    self._pause()
                    return
                continue
            if len(self.clients) >= self._max_clients and not self.evict_client():
                self.log("too_many_clients", clients=len(self.clients))
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = self.client(sock)
            self.clients.add(client)
            self.classify(client)

    def _pause(self) -> None:
        """Stops accepting for ACCEPT_RETRY_NS; new connections wait in the listening socket's backlog.

        Called when no file descriptor is free. Guards against an event loop that fails to accept in every
        turn, while the work that would free a file descriptor is delayed.
        """
        self.loop.unwatch(self._sock)
        self._paused = True
        self.loop.after(ACCEPT_RETRY_NS, self._resume)

    def _resume(self) -> None:
        if self._paused and self._sock.fileno() >= 0:
            self._paused = False
            self._watch()

    def fileno(self) -> int:
        """Returns the listening socket's descriptor, which another process may share; -1 if it is closed."""
        return self._sock.fileno()

    def limit(self, max_clients: int, max_unread_bytes: int) -> None:
        """Applies new limits on clients and on unsent response bytes over all clients.

        Connections above the limit on clients are closed if they have no open request.
        """
        self._max_clients, self._max_unread_bytes = max_clients, max_unread_bytes
        while len(self.clients) > max_clients and self.evict_client():
            pass

    def stop_accepting(self) -> None:
        """Closes the listening socket; a process that shares it continues to accept clients from it."""
        if self._sock.fileno() >= 0:
            if not self._paused:
                self.loop.unwatch(self._sock)
            self._paused = False
            self._sock.close()

    def drain(self, draining: bool) -> None:
        """Starts or stops draining: while it lasts, each connection is closed once it has no open request.

        New connections are still accepted and served, since their clients do not know of the drain yet.
        """
        self.draining = draining
        if draining:
            for client in [c for c in self.clients if not c.load()]:
                self._close_if_idle(client)

    def _close_if_idle(self, client: Client) -> None:
        if self.draining and client.is_idle():
            client.linger("draining")

    def classify(self, client: Client) -> None:
        """Puts a client without an open request into one of three groups, from which `evict_client` chooses.

        The groups are: no response yet, one valid request, several. A client with an open request is in none.
        """
        self._remove_from_groups(client)
        self._update_unfinished(client)
        self._update_held_bytes(client)
        if client.open and not client.lingers and not client.load():
            if self.draining:
                self.loop.after(0, lambda: self._close_if_idle(client))
            if client.answered:
                (self._single_request_clients if client.request_count < 2 else self._idle_clients)[client] = (
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

    def _update_unfinished(self, client: Client) -> None:
        """Notes whether a request of the client arrives and no other one is open."""
        arriving = client.open and not client.lingers and client.incomplete_since and not client.load()
        if not arriving or client.frames_pending:
            self._unfinished_clients.pop(client, None)
        elif client not in self._unfinished_clients:
            self._unfinished_clients[client] = None

    def count_held_bytes(self, client: Client) -> None:
        """Counts the memory that a client's requests occupy, after bytes of it have been processed.

        Above the limit, the client's waiting requests are refused if another one is open; if that is not
        enough, connections with an unfinished request are closed, those that occupy the most first. This
        guards against hundreds of clients that write slowly, or stop within a request.
        """
        self._update_unfinished(client)
        self._update_held_bytes(client)
        if self._held_bytes > self._max_unread_bytes and client.open and client.load():
            client.refuse_waiting_requests()
            self._update_held_bytes(client)
        while self._held_bytes > self._max_unread_bytes and self._unfinished_clients:
            largest = max(self._unfinished_clients, key=lambda c: c.counted_bytes)
            if largest.counted_bytes < MIN_RECLAIMED_BYTES:
                break
            self.log("client_request_unfinished", held=largest.counted_bytes)
            largest.close("request not complete")

    def _update_held_bytes(self, client: Client) -> None:
        held_bytes = client.held_bytes() if client in self.clients else 0
        self._held_bytes += held_bytes - client.counted_bytes
        client.counted_bytes = held_bytes

    def mark_lingering(self, client: Client) -> None:
        """Called when a client's lingering close begins; `evict_client` closes such connections first."""
        self._remove_from_groups(client)
        self._unfinished_clients.pop(client, None)
        self._lingering[client] = None

    def remove_client(self, client: Client) -> None:
        """Stops counting a client, whose connection is closed or has been handed over to another process."""
        self._remove_from_groups(client)
        self._lingering.pop(client, None)
        self._unfinished_clients.pop(client, None)
        self.clients.discard(client)
        self._update_held_bytes(client)

    def evict_client(self) -> bool:
        """Closes one connection to free its place; returns False if there was none to close.

        The order is: connections in a lingering close; those on which a request has been arriving for some
        time and is not complete; those without any response; those idle after one valid request; other idle
        ones, each time the oldest first. Connections that are new, or idle, for less than MIN_EVICTION_AGE_NS
        come last; among these, new ones come after idle ones. Those with open requests are never closed.

        Clients without any response hold at most half of the places if others want them: above that, only
        one of them is closed, however new it is.
        """
        for client in self._lingering:
            client.close("replaced by another client")
            return True
        if self._evict_unfinished():
            return True
        if len(self._new_clients) > self._max_clients // 2:
            return self._evict_new_client()
        eviction_cutoff = self.loop.clock.now() - MIN_EVICTION_AGE_NS
        for groups, cutoff in (
            ((self._new_clients, self._single_request_clients, self._idle_clients), eviction_cutoff),
            (
                (self._single_request_clients, self._idle_clients, self._new_clients),
                eviction_cutoff + MIN_EVICTION_AGE_NS,
            ),
        ):
            for group in groups:
                old_enough = (c for c, idle_since in group.items() if idle_since <= cutoff)
                for client in list(islice(old_enough, MAX_EVICTION_CANDIDATES)):
                    if client.is_idle():  # False if a request of the client has just arrived
                        client.close("replaced by another client")
                    if not client.open:
                        return True
        return False

    def _evict_unfinished(self) -> bool:
        """Closes a connection whose request has been arriving for MIN_EVICTION_AGE_NS, or for
        MIN_FIRST_REQUEST_AGE_NS if it is the first one; returns False if there is none.
        """
        now = self.loop.clock.now()
        for client in list(islice(self._unfinished_clients, MAX_UNFINISHED_CANDIDATES)):
            min_age_ns = MIN_EVICTION_AGE_NS if client.request_count else MIN_FIRST_REQUEST_AGE_NS
            # What waits unread may be the rest of the request.
            if now - client.incomplete_since < min_age_ns or client.has_unread_input():
                continue
            client.close("replaced by another client")
            return True
        return False

    def _evict_new_client(self) -> bool:
        """Closes the oldest connection without any response of which nothing waits unread; returns False if
        there is none.
        """
        for client in list(islice(self._new_clients, MAX_UNFINISHED_CANDIDATES)):
            if not client.has_unread_input():
                client.close("replaced by another client")
                return True
        return False

    def _sweep(self) -> None:
        """Every SWEEP_NS, closes connections that have exceeded a timeout.

        The timeouts are FIRST_REQUEST_TIMEOUT_NS without a request, the two for an incomplete request, and
        IDLE_TIMEOUT_NS. If unsent response bytes exceed their limit, the clients with the most of them are
        closed as well.
        """
        if self._closed:
            return
        self.loop.after(SWEEP_NS, self._sweep)  # first, so that an exception below does not end the sweeps
        now, unread = self.loop.clock.now(), 0
        for client in list(self.clients):
            unread += len(client.outbox)
            if client.lingers:
                continue
            if client.partial_request_overdue(now):
                if not client.has_unread_input():  # its last bytes may have arrived and wait for their turn
                    client.close("request not completed in time")
            elif client in self._new_clients and now - client.connected_at > FIRST_REQUEST_TIMEOUT_NS:
                if client.is_idle():
                    client.linger("no request in time")
            elif (
                now - self._idle_clients.get(client, self._single_request_clients.get(client, now))
                > IDLE_TIMEOUT_NS
                and client.is_idle()
            ):
                client.linger("idle")
        # Guards against clients that do not read their responses, which wait in memory until then.
        while unread > self._max_unread_bytes:
            slowest = max(self.clients, key=lambda c: len(c.outbox))
            unread -= len(slowest.outbox)
            self.log("client_does_not_read", unread=len(slowest.outbox))
            slowest.close("does not read")

    def flushed(self) -> bool:
        """Returns whether the sockets have accepted all response bytes written so far."""
        return not any(len(c.outbox) for c in self.clients)

    def retire(self) -> None:
        """Prepares the listener for the end of the process.

        Accepts the connections that wait in the listening socket's backlog, then closes that socket. Each
        connection is closed as soon as it has no open request.
        """
        if not self._closed and not self._paused and self._sock.fileno() >= 0:
            self._accept(READ)
        self.stop_accepting()
        self.drain(True)

    def close(self) -> None:
        """Closes the listening socket and all client connections at once, also those with open requests."""
        self._closed = True
        self.stop_accepting()
        for client in list(self.clients):
            client.close("end")
