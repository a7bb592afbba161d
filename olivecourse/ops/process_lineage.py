"""The processes of a hot restart and the client connections transferred between them. State without I/O.

A process has at most one predecessor, which ran when it started, and any number of successors, which started
later. From these follow whether the gateway's limits on file descriptors are shared with another process,
which successor gets the client connections at the end, when the predecessor is notified that this process is
ready, and when the files of dead processes may be removed. Links, the connections to other processes, are
used only as keys.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, Protocol, TypeVar


class PendingClient(Protocol):
    """A client connection on which requests may still be unanswered."""

    def load(self) -> int:
        """Returns the number of unanswered requests on the connection."""
        ...


L = TypeVar("L", bound=Hashable)  # the link to another process
C = TypeVar("C", bound=PendingClient)  # a client connection


class ProcessLineage(Generic[L]):
    """The predecessor and successors of this process, each given as the link to it, and whether this
    process's file of manual drains is up to date.
    """

    def __init__(self) -> None:
        self.predecessor: L | None = None
        self._successors: dict[L, bool] = {}  # oldest first, with whether each has reported that it is ready
        self._notified = False  # whether `take_ready_notification` has been called
        self._needs_flush = True  # whether the file of manual drains lacks a change or does not exist

    def add_predecessor(self, predecessor: L) -> None:
        """Records the predecessor, which has answered this process's request for a hand-over."""
        self.predecessor = predecessor

    def add_successor(self, successor: L) -> None:
        """Records a successor, a process that has asked this one for a hand-over."""
        self._successors.setdefault(successor, False)

    def successor_ready(self, successor: L) -> None:
        """Records that a successor is ready to receive client connections.

        Has no effect for a process that has not asked for a hand-over.
        """
        if successor in self._successors:
            self._successors[successor] = True

    def link_closed(self, link: L) -> None:
        """Forgets the predecessor or successor at the other end of a link that has closed."""
        self._successors.pop(link, None)
        if link == self.predecessor:
            self.predecessor = None

    @property
    def limits_shared(self) -> bool:
        """Whether a predecessor or successor is alive, with which this process shares all limits on file
        descriptors.
        """
        return self.predecessor is not None or bool(self._successors)

    def successor(self) -> L | None:
        """Returns the successor that gets the client connections when this process ends: the youngest that is
        ready, or None.
        """
        return next((link for link in reversed(self._successors) if self._successors[link]), None)

    def take_ready_notification(self) -> L | None:
        """Returns the predecessor, for the caller to notify it that this process is ready.

        None if there is no predecessor, and on every call but the first.
        """
        to_notify, self._notified = (
            (None if self._notified else self.predecessor),
            True,
        )
        return to_notify

    # The file of manual drains ------------------------------------------------------------------------

    def drains_changed(self) -> None:
        """Records that a manual drain began or ended, so that this process's file has to be written again."""
        self._needs_flush = True

    def record_written(self, whole: bool) -> None:
        """Records an attempt to write this process's file of manual drains; `whole` if it succeeded."""
        self._needs_flush = not whole

    @property
    def needs_flush(self) -> bool:
        """Whether this process's file of manual drains lacks a change, or does not exist yet."""
        return self._needs_flush

    @property
    def may_remove_files(self) -> bool:
        """Whether the files of dead processes may be removed.

        Until this process has written its own file of manual drains, theirs may be the only copy of a drain.
        """
        return not self._needs_flush


class TransferredConnections(Generic[L, C]):
    """Client connections sent to and received from other processes, by the link to the process and the number
    that the sending process gave the connection.
    """

    def __init__(self) -> None:
        self._last = 0
        self._sent: dict[L, dict[int, C]] = {}
        self._received: dict[L, dict[int, C]] = {}

    def next_number(self) -> int:
        """Returns a new number for a client connection that this process is about to send."""
        self._last += 1
        return self._last

    def add_sent(self, link: L, conn: int, client: C) -> None:
        """Records a client whose connection was sent over `link` with the number `conn`."""
        self._sent.setdefault(link, {})[conn] = client

    def add_received(self, link: L, conn: int, client: C) -> None:
        """Records a client whose connection, numbered `conn` by the sender, was received over `link`.

        A number that the sender repeats replaces the earlier client.
        """
        self._received.setdefault(link, {})[conn] = client

    def sent(self, link: L, conn: int) -> C | None:
        """Returns the client whose connection was sent over `link` with the number `conn`, or None."""
        return self._sent.get(link, {}).get(conn)

    def received(self, link: L, conn: int) -> C | None:
        """Returns the client whose connection was received over `link` with the number `conn`, or None."""
        return self._received.get(link, {}).get(conn)

    def sent_count(self, link: L) -> int:
        """Returns how many client connections were sent over `link`, or 0 once it has closed."""
        return len(self._sent.get(link, ()))

    def has_unanswered(self) -> bool:
        """Whether a client whose connection was sent to another process still waits for an answer that this
        process has to give, or to relay from its own predecessor.
        """
        return any(client.load() for clients in self._sent.values() for client in clients.values())

    def link_closed(self, link: L) -> tuple[Iterator[C], Iterator[C]]:
        """Forgets the clients of a link that has closed, and returns those sent and those received over it.

        The process at its other end has gone: the sent clients no longer wait for answers, and the requests
        of the received ones that were open there will get none.
        """
        return iter(self._sent.pop(link, {}).values()), iter(self._received.pop(link, {}).values())
