"""Hot restart of a gateway: finds other processes, shares manual drains, transfers client connections.

Connects `standing`, `presence`, `handover` and a front.
`docs/design/daily.md`, section D, describes the whole procedure.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from typing import Protocol

from olivecourse.choice import Router
from olivecourse.fronts.listener import Handed, Listener
from olivecourse.fronts.thrift import ThriftClient, ThriftFront
from olivecourse.memory.collect import IntervalRecorder
from olivecourse.net.loop import Loop
from olivecourse.ops.handover import HandoverListener, Link, request_handover
from olivecourse.ops.handwire import BadMessage, Kind, Message
from olivecourse.ops.learned import encode_state, restore_state
from olivecourse.ops.presence import DrainRecords, FolderUnusable, ProcessRecord
from olivecourse.ops.standing import ProcessLineage, TransferredConnections

MS = 1_000_000  # nanoseconds per millisecond
SCAN_INTERVAL_NS = 100 * MS  # between scans of other processes' records; their drains apply here within 1 s
SCANS_PER_INTERVAL_CHECK = 10  # scans between two checks of the Router's counting intervals


class DrainHolder(Protocol):
    """The holder of the manual drains."""

    def merge_drains(self, records: DrainRecords) -> None:
        """Merges drain records of another process."""
        ...

    def drain_records(self) -> DrainRecords:
        """Returns the newest drain record of each id."""
        ...


class RemoteConnection:
    """The other process's side of one transferred client connection."""

    def __init__(self, link: Link, conn: int) -> None:
        self._link, self._conn = link, conn

    def answer(self, number: int, frame: bytes) -> None:
        """Sends the answer to request `number`, for the process that holds the connection to write."""
        self._link.send(Message(Kind.ANSWER, {"conn": self._conn, "number": number}, frame))

    def forget(self, number: int) -> None:
        """Reports that the client no longer waits for request `number`."""
        self._link.send(Message(Kind.FORGET, {"conn": self._conn, "number": number}))

    def gone(self) -> None:
        """Reports that the client has disconnected."""
        self._link.send(Message(Kind.GONE, {"conn": self._conn}))


class HotRestart:
    """One process's part in hot restarts; the constructor raises FolderUnusable if `$TMPDIR` is unusable."""

    def __init__(
        self,
        loop: Loop,
        folder: str,
        name: str,
        drains: DrainHolder,
        on_limits_shared: Callable[[bool], None],
        log: Callable[..., None],
    ) -> None:
        """`on_limits_shared` is called with whether another process is alive, which shares all limits."""
        self._loop, self._name, self._drains, self._on_limits_shared, self._log = (
            loop,
            name,
            drains,
            on_limits_shared,
            log,
        )
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
            sock, self.listener, self._warm_state = request_handover(self._process_record.path("sock", token))
        except (OSError, BadMessage) as error:
            self._log("handover_unanswered", why=str(error))
            return
        self._lineage.add_predecessor(Link(self._loop, sock, self, self._log))

    def configure_planner(self, router: Router) -> None:
        """Restores the predecessor's learned state into `router`, which has had no event yet."""
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
        """Starts to accept hand-over requests from successors; `front` must be listening."""
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

    def serves(self) -> None:
        """Notifies the predecessor that this process is ready to receive its client connections."""
        predecessor = self._lineage.take_ready_notification()
        if predecessor is not None:
            predecessor.send(Message(Kind.READY))

    # Manual drains ------------------------------------------------------------------------------------

    def say(self) -> None:
        """Records a changed manual drain and asks the other processes to read the records again."""
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

    def retire(self) -> bool:
        """Transfers the client connections to the ready successor on SIGTERM; False if there is none."""
        for link in () if self._handover_listener is None else self._handover_listener.links:
            link.read()  # its READY may have arrived in this turn
        successor, front = self._lineage.successor(), self._front
        if successor is None or not isinstance(front, ThriftFront):
            return False
        front.no_more()
        for client in list(front.clients):
            # Lingering and non-Thrift clients stay here, and so do all others once the link has closed.
            if not isinstance(client, ThriftClient) or client.lingers or not successor.open:
                continue
            conn = self._transferred.next_number()
            handed = client.hand_over(RemoteConnection(successor, conn))
            head = {
                "conn": conn,
                "last": handed.last,
                "taken": handed.taken,
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
        """Whether every answer for transferred clients, own or relayed, has been written to its link."""
        return not self._transferred.has_unanswered() and all(link.flushed for link in self._links())

    def message_received(self, link: Link, message: Message, sock: socket.socket | None) -> None:
        """Handles a message of another process; `Decoder` has checked its form."""
        if message.kind is Kind.HELLO:
            self._answer_hello(link)
        elif message.kind is Kind.READY:
            self._lineage.successor_ready(link)
        elif message.kind is Kind.CLIENT and sock is not None:
            self._adopt_client(link, message, sock)
        elif message.kind is Kind.ANSWER:
            client = self._transferred.received(link, message.number("conn"))
            if client is not None:
                client.from_elder(message.number("number"), message.raw)
        elif message.kind in (Kind.FORGET, Kind.GONE):
            client = self._transferred.sent(link, message.number("conn"))
            if client is not None:
                client.from_heir(message.number("number") if message.kind is Kind.FORGET else None)
        elif message.kind is Kind.LOOK:
            self._scan_processes()
        elif sock is not None:
            sock.close()

    def _answer_hello(self, link: Link) -> None:
        front = self._front
        if front is not None and isinstance(front, ThriftFront) and front.fileno() >= 0:
            try:
                link.send(Message(Kind.LISTENER, with_socket=True), os.dup(front.fileno()))
            except OSError as error:  # out of descriptors: the successor opens its own listening socket
                self._log("handover_unusable", why=str(error))
        warm_state = (
            b""
            if self._router is None
            else encode_state(
                self._router, self._interval_recorder, self._name, self._loop.clock.now(), time.time_ns()
            )
        )
        link.send(Message(Kind.LEARNED, raw=warm_state))
        self._log("upgrade_begins", learned_bytes=len(warm_state))
        self._lineage.add_successor(link)
        self._on_limits_shared(True)

    def _adopt_client(self, link: Link, message: Message, sock: socket.socket) -> None:
        front, read, raw = self._front, message.number("in"), message.raw
        if not isinstance(front, ThriftFront) or self._stopped:
            sock.close()
            return
        conn = message.number("conn")
        handed = Handed(
            message.number("last"), message.number("taken"), message.head["open"], raw[:read], raw[read:]
        )
        sock.setblocking(False)
        self._transferred.add_received(link, conn, front.adopt(sock, handed, RemoteConnection(link, conn)))

    def link_closed(self, link: Link) -> None:
        """Ends the transfers over a closed link and takes back the other process's share of the limits."""
        sent, received = self._transferred.link_closed(link)
        for client in sent:
            client.from_heir(None)
        for client in received:
            client.elder_lost()
        self._lineage.link_closed(link)
        if not self._stopped:
            self._on_limits_shared(self._lineage.limits_shared)

    def close(self) -> None:
        """Closes all links and releases the files of this process."""
        self._stopped = True
        for link in self._links():
            link.close("this process is stopping")
        if self._handover_listener is not None:
            self._handover_listener.close()
        self._process_record.release()


def open_succession(
    loop: Loop,
    folder: str | None,
    name: str,
    drains: DrainHolder,
    on_limits_shared: Callable[[bool], None],
    log: Callable[..., None],
) -> HotRestart | None:
    """Returns a HotRestart, or None, with a log line, if `$TMPDIR` is unset or can't be used."""
    try:
        if folder is None:
            raise FolderUnusable("TMPDIR is not set")
        return HotRestart(loop, os.path.abspath(folder), name, drains, on_limits_shared, log)
    except FolderUnusable as error:
        log("presence_unusable", why=str(error))
        return None
