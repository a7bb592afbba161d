"""Hot restart of a gateway: finds the gateway's other processes, shares manual drains (stores taken out of
service by hand) with them, and transfers client connections to the successor.

Connects `process_lineage`, `process_record`, `socket_handover` and a front, which serves the clients.
`docs/design/daily.md`, section D, describes the whole procedure.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from olivecourse.choice import Router
from olivecourse.core.requests import TooManyOpenRequests
from olivecourse.fronts.listener import ConnectionState, Listener
from olivecourse.fronts.thrift import ThriftClient, ThriftServer
from olivecourse.memory.collect import IntervalRecorder
from olivecourse.net.loop import Loop
from olivecourse.ops.handover_codec import BadMessage, Kind, Message
from olivecourse.ops.process_lineage import ProcessLineage, TransferredConnections
from olivecourse.ops.process_record import DrainRecords, FolderUnusable, ProcessRecord
from olivecourse.ops.socket_handover import HandoverListener, Link, request_handover
from olivecourse.ops.warm_state import encode_state, restore_state

MS = 1_000_000  # nanoseconds per millisecond
# Between scans of the other processes' files, so that manual drains set there apply here within 1 s.
SCAN_INTERVAL_NS = 100 * MS
SCANS_PER_INTERVAL_CHECK = 10  # scans between checks whether a counting interval of the Router has ended


class DrainHolder(Protocol):
    """Holds the records of manual drains (stores, or the gateway itself, taken out of service by hand).

    HotRestart uses it to write this process's records for the gateway's other processes, and to apply theirs
    here. GatewayHandlers implements it.
    """

    def merge_drains(self, records: DrainRecords) -> None:
        """Merges manual drain records of another process, and applies those that are newer."""
        ...

    def drain_records(self) -> DrainRecords:
        """Returns the newest manual drain record of each store, with the store's id."""
        ...


class UnrepeatableRequests(Protocol):
    """Knows the requests of this process that must not run twice. `RequestTracker` implements it."""

    claim: Callable[[str], None]

    def add_executed(self, requests: Iterable[str]) -> None:
        """Records ids of requests that another process of this gateway has accepted."""
        ...

    def unrepeatable_ids(self) -> list[str]:
        """Returns the ids of the requests that may run or have run here and must not run again."""
        ...


class RemoteConnection:
    """Sends messages about one transferred client connection to the process that sent or received it.

    `conn` is the number that the sending process gave the connection.
    """

    def __init__(self, link: Link, conn: int) -> None:
        self._link, self._conn = link, conn

    def answer(self, number: int, frame: bytes) -> None:
        """Sends the answer frame for the request with the sequence number `number` to the process that now
        holds the connection, which writes it to the client.
        """
        self._link.send(Message(Kind.ANSWER, {"conn": self._conn, "number": number}, frame))

    def forget(self, number: int) -> None:
        """Tells the process that works on the request with the sequence number `number` that the client has
        cancelled it.
        """
        self._link.send(Message(Kind.FORGET, {"conn": self._conn, "number": number}))

    def gone(self) -> None:
        """Tells the process that handed the connection over that the client has disconnected."""
        self._link.send(Message(Kind.GONE, {"conn": self._conn}))


class HotRestart:
    """One process's part in hot restarts, as the successor of one process and the predecessor of others.

    The constructor asks a running process of the gateway for a hand-over; it raises FolderUnusable if
    `$TMPDIR` can't be used.
    """

    def __init__(
        self,
        loop: Loop,
        folder: str,
        name: str,
        drains: DrainHolder,
        requests: UnrepeatableRequests,
        on_limits_shared: Callable[[bool], None],
        log: Callable[..., None],
    ) -> None:
        """`folder` is `$TMPDIR`, `name` the gateway's name, `drains` holds the manual drains, and `requests`
        the requests that must not run twice.

        `on_limits_shared` is called with True when another process begins to share the gateway's limits on
        file descriptors, and, when a link to a process has closed, with whether one still shares them.
        """
        self._loop, self._name, self._drains, self._on_limits_shared, self._log = (
            loop,
            name,
            drains,
            on_limits_shared,
            log,
        )
        self._requests = requests
        requests.claim = self._claim
        self._process_record = ProcessRecord(folder, name, log)
        self._front: Listener | None = None
        self._router: Router | None = None
        self._interval_recorder = IntervalRecorder()
        self._warm_state = b""
        self._handover_listener: HandoverListener | None = None
        self._lineage = ProcessLineage[Link]()
        self._transferred = TransferredConnections[Link, ThriftClient]()
        self._scan_count = 0
        self._stopped = False
        living = self._scan_processes()
        self.listener: socket.socket | None = None
        if living:
            self._contact_predecessor(living[-1])

    # The start ----------------------------------------------------------------------------------------

    def _contact_predecessor(self, token: str) -> None:
        try:
            reply = request_handover(self._process_record.path("sock", token))
        except (OSError, BadMessage) as error:
            self._log("handover_unanswered", why=str(error))
            return
        self.listener, self._warm_state = reply.listener, reply.warm_state
        self._requests.add_executed(_request_ids(reply.known_requests))
        self._lineage.add_predecessor(Link(self._loop, reply.sock, self, self._log, reply.received))

    def configure_planner(self, router: Router) -> None:
        """Restores the learned state that the predecessor sent, if any, into the Router `router`, which has
        had no event yet.
        """
        self._router = router
        if not self._warm_state:
            return
        try:
            restore = restore_state(router, self._warm_state, self._loop.clock.now(), time.time_ns())
        except ValueError as error:
            self._log("handover_unusable", why=str(error))
        else:
            self._loop.after(0, lambda: restore.update_threshold(router))
        self._warm_state = b""

    def start(self, front: Listener) -> None:
        """Starts to accept hand-over requests from successors, and to scan the other processes' files.

        `front`, whose clients would be transferred, must be listening.
        """
        self._front = front
        try:
            self._handover_listener = HandoverListener(
                self._loop, self._process_record.path("sock"), self, self._log
            )
        except OSError as error:
            self._log("presence_unusable", why=str(error))
        if self._lineage.limits_shared:
            self._on_limits_shared(True)
        self._loop.after(SCAN_INTERVAL_NS, self._tick)

    def announce_ready(self) -> None:
        """Called when this process is ready to serve: tells the predecessor, if any, that it can now receive
        client connections.
        """
        predecessor = self._lineage.take_ready_notification()
        if predecessor is not None:
            predecessor.send(Message(Kind.READY))

    # Requests that must not run twice -----------------------------------------------------------------

    def _claim(self, request: str) -> None:
        """Tells the gateway's other processes that this one is about to accept the request with this id, and
        then learns what they have claimed.

        Each process tells before it learns, so of two that accept the same id at least one knows of the
        other. Raises TooManyOpenRequests if a process can't be told.
        """
        for link in self._links():
            link.send(Message(Kind.CLAIM, raw=request.encode()))
            if not link.flushed or not link.receive_claims():
                raise TooManyOpenRequests("the gateway's other process cannot be told")

    def _claimed_elsewhere(self, link: Link, message: Message) -> None:
        """Records a claim of another process and passes it on to the others."""
        self._requests.add_executed(_request_ids(message.raw))
        for other in self._links():
            if other is not link:
                other.send(message)

    # Manual drains ------------------------------------------------------------------------------------

    def drains_changed(self) -> None:
        """Called when an operator began or ended a drain in this process: writes its file of manual drains
        and asks the other processes to read it.
        """
        self._lineage.drains_changed()
        self._write_record()
        for link in self._links():
            link.send(Message(Kind.LOOK))

    def _links(self) -> list[Link]:
        predecessor = self._lineage.predecessor
        return [
            *(() if predecessor is None else (predecessor,)),
            *(() if self._handover_listener is None else self._handover_listener.links),
        ]

    def _write_record(self) -> None:
        if self._lineage.needs_flush:
            self._lineage.record_written(self._process_record.write(self._drains.drain_records()))

    def _scan_processes(self) -> list[str]:
        living, records, dead = self._process_record.scan()
        if records:
            self._drains.merge_drains(records)
            self._lineage.drains_changed()
        self._write_record()
        if self._lineage.may_remove_files:
            self._process_record.remove_files(dead)
        return living

    def _tick(self) -> None:
        if self._stopped:
            return
        self._scan_processes()
        self._scan_count += 1
        if self._router is not None and self._scan_count % SCANS_PER_INTERVAL_CHECK == 0:
            self._interval_recorder.update(self._router, self._loop.clock.now())
        self._loop.after(SCAN_INTERVAL_NS, self._tick)

    # Transfer of client connections -------------------------------------------------------------------

    def transfer_clients(self) -> bool:
        """Called on SIGTERM: transfers the client connections to the ready successor.

        Returns False, without a transfer, if there is none or the front is not one for Thrift.
        """
        for link in () if self._handover_listener is None else self._handover_listener.links:
            link.read()  # a successor's READY message may have arrived since the last read of its link
        successor, front = self._lineage.successor(), self._front
        if successor is None or not isinstance(front, ThriftServer):
            return False
        front.stop_accepting()
        for client in list(front.clients):
            # Not transferred: clients that do not use Thrift, connections that this process has begun to
            # close (`lingers`), and all others once the link to the successor has closed.
            if not isinstance(client, ThriftClient) or client.lingers or not successor.open:
                continue
            conn = self._transferred.next_number()
            handed = client.hand_over(RemoteConnection(successor, conn))
            head = {
                "conn": conn,
                "last": handed.last_number,
                "taken": handed.request_count,
                "open": handed.open,
                "in": len(handed.read),
            }
            self._transferred.add_sent(successor, conn, client)
            successor.send(
                Message(Kind.CLIENT, head, handed.read + handed.unsent, with_socket=True),
                client.sock.detach(),
            )
        self._log("handed_over", clients=self._transferred.sent_count(successor))
        return True

    def flushed(self) -> bool:
        """Whether every answer that a transferred client waits for, made here or by this process's
        predecessor, has been sent to the process that holds the connection; a stop waits for this.
        """
        return not self._transferred.has_unanswered() and all(link.flushed for link in self._links())

    def message_received(self, link: Link, message: Message, sock: socket.socket | None) -> None:
        """Called by a link for each message of another process, whose fields `Decoder` (in
        `handover_codec`) has checked.

        `sock` is the socket that accompanied it, if any.
        """
        if message.kind is Kind.HELLO:
            self._answer_hello(link)
        elif message.kind is Kind.READY:
            self._lineage.successor_ready(link)
        elif message.kind is Kind.CLIENT and sock is not None:
            self._adopt_client(link, message, sock)
        elif message.kind is Kind.ANSWER:
            client = self._transferred.received(link, message.number("conn"))
            if client is not None:
                client.response_from_predecessor(message.number("number"), message.raw)
        elif message.kind in (Kind.FORGET, Kind.GONE):
            client = self._transferred.sent(link, message.number("conn"))
            if client is not None:
                client.cancelled_by_successor(
                    message.number("number") if message.kind is Kind.FORGET else None
                )
        elif message.kind is Kind.LOOK:
            self._scan_processes()
        elif message.kind is Kind.CLAIM:
            self._claimed_elsewhere(link, message)
        elif sock is not None:
            sock.close()

    def _answer_hello(self, link: Link) -> None:
        front = self._front
        if front is not None and isinstance(front, ThriftServer) and front.fileno() >= 0:
            try:
                link.send(Message(Kind.LISTENER, with_socket=True), os.dup(front.fileno()))
            except OSError as error:  # no file descriptor is free: the successor opens its own socket
                self._log("handover_unusable", why=str(error))
        warm_state = (
            b""
            if self._router is None
            else encode_state(
                self._router, self._interval_recorder, self._name, self._loop.clock.now(), time.time_ns()
            )
        )
        link.send(Message(Kind.KNOWN, raw=" ".join(self._requests.unrepeatable_ids()).encode()))
        link.send(Message(Kind.LEARNED, raw=warm_state))
        self._log("upgrade_begins", learned_bytes=len(warm_state))
        self._lineage.add_successor(link)
        self._on_limits_shared(True)

    def _adopt_client(self, link: Link, message: Message, sock: socket.socket) -> None:
        front, read, raw = self._front, message.number("in"), message.raw
        if not isinstance(front, ThriftServer) or self._stopped:
            sock.close()
            return
        conn = message.number("conn")
        handed = ConnectionState(
            message.number("last"), message.number("taken"), message.head["open"], raw[:read], raw[read:]
        )
        sock.setblocking(False)
        self._transferred.add_received(link, conn, front.adopt(sock, handed, RemoteConnection(link, conn)))

    def link_closed(self, link: Link) -> None:
        """Called by a link that has closed: cancels the open requests of clients sent over it, fails those of
        clients received over it that were open in the other process, and reports whether the limits on file
        descriptors are still shared with a process.
        """
        sent, received = self._transferred.link_closed(link)
        for client in sent:
            client.cancelled_by_successor(None)
        for client in received:
            client.predecessor_lost()
        self._lineage.link_closed(link)
        if not self._stopped:
            self._on_limits_shared(self._lineage.limits_shared)

    def close(self) -> None:
        """Closes all links to other processes, removes the hand-over socket and releases the lock file."""
        self._stopped = True
        for link in self._links():
            link.close("this process is stopping")
        if self._handover_listener is not None:
            self._handover_listener.close()
        self._process_record.release()


def _request_ids(raw: bytes) -> list[str]:
    return raw.decode("ascii", "replace").split()


def open_hot_restart(
    loop: Loop,
    folder: str | None,
    name: str,
    drains: DrainHolder,
    requests: UnrepeatableRequests,
    on_limits_shared: Callable[[bool], None],
    log: Callable[..., None],
) -> HotRestart | None:
    """Returns a HotRestart for the gateway `name` with its files in `folder`, the value of `$TMPDIR`.

    Logs the reason and returns None if `$TMPDIR` is unset or can't be used.
    """
    try:
        if folder is None:
            raise FolderUnusable("TMPDIR is not set")
        return HotRestart(loop, os.path.abspath(folder), name, drains, requests, on_limits_shared, log)
    except FolderUnusable as error:
        log("presence_unusable", why=str(error))
        return None
