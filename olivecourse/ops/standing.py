"""The processes of a hot restart and the client connections transferred between them. State without I/O.

A process has at most one predecessor, which ran when it started, and any number of successors, which started
later. From these follow whether limits are shared, which successor gets the client connections at the end,
when the predecessor is notified that this process is ready, and when the files of dead processes may be
removed. Links are used only as keys.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, Protocol, TypeVar


class PendingClient(Protocol):
    """A client connection that may still be owed answers."""

    def load(self) -> int:
        """Returns the number of unanswered requests on the connection."""
        ...


L = TypeVar("L", bound=Hashable)
C = TypeVar("C", bound=PendingClient)


class ProcessLineage(Generic[L]):
    """The predecessor and successors of this process, and whether its record on disk is current."""

    def __init__(self) -> None:
        self.predecessor: L | None = None
        self._successors: dict[L, bool] = {}  # whether each has reported that it is ready, oldest first
        self._notified = False  # whether the predecessor knows that this process is ready
        self._needs_flush = True  # whether the record on disk lacks a change; at the start there is none

    def add_predecessor(self, predecessor: L) -> None:
        """Records the predecessor, which has answered this process at its start."""
        self.predecessor = predecessor

    def add_successor(self, successor: L) -> None:
        """Records a successor, which has asked for a hand-over."""
        self._successors.setdefault(successor, False)

    def successor_ready(self, successor: L) -> None:
        """Marks a successor as ready; has no effect for a process that has not asked for a hand-over."""
        if successor in self._successors:
            self._successors[successor] = True

    def link_closed(self, link: L) -> None:
        """Removes the process of a closed link."""
        self._successors.pop(link, None)
        if link == self.predecessor:
            self.predecessor = None

    @property
    def limits_shared(self) -> bool:
        """Whether another process of this gateway is alive, with which all limits are shared."""
        return self.predecessor is not None or bool(self._successors)

    def successor(self) -> L | None:
        """Returns the successor that gets the client connections: the youngest that is ready."""
        return next((link for link in reversed(self._successors) if self._successors[link]), None)

    def take_ready_notification(self) -> L | None:
        """Returns the predecessor to notify that this process is ready, on the first call only."""
        to_notify, self._notified = (
            (None if self._notified else self.predecessor),
            True,
        )
        return to_notify

    # The record ---------------------------------------------------------------------------------------

    def drains_changed(self) -> None:
        """Notes that a manual drain has changed, so that the record has to be written again."""
        self._needs_flush = True

    def record_written(self, whole: bool) -> None:
        """Notes an attempt to write the record, and whether it succeeded."""
        self._needs_flush = not whole

    @property
    def needs_flush(self) -> bool:
        """Whether the record on disk lacks a change."""
        return self._needs_flush

    @property
    def may_remove_files(self) -> bool:
        """Whether the files of dead processes may be removed.

        Until this process's record has been written, they hold the only copy of their drain records.
        """
        return not self._needs_flush


class TransferredConnections(Generic[L, C]):
    """Client connections sent to and received from other processes, by link and connection number."""

    def __init__(self) -> None:
        self._last = 0
        self._sent: dict[L, dict[int, C]] = {}
        self._received: dict[L, dict[int, C]] = {}

    def next_number(self) -> int:
        """Returns a new connection number for a client that is about to be sent."""
        self._last += 1
        return self._last

    def add_sent(self, link: L, conn: int, client: C) -> None:
        """Records a client that was sent over `link`."""
        self._sent.setdefault(link, {})[conn] = client

    def add_received(self, link: L, conn: int, client: C) -> None:
        """Records a client that was received over `link`; a repeated number replaces the earlier client."""
        self._received.setdefault(link, {})[conn] = client

    def sent(self, link: L, conn: int) -> C | None:
        """Returns the client that was sent over `link` under this number, or None."""
        return self._sent.get(link, {}).get(conn)

    def received(self, link: L, conn: int) -> C | None:
        """Returns the client that was received over `link` under this number, or None."""
        return self._received.get(link, {}).get(conn)

    def sent_count(self, link: L) -> int:
        """Returns how many clients were sent over `link`."""
        return len(self._sent.get(link, ()))

    def has_unanswered(self) -> bool:
        """Whether any sent client still waits for an answer that this process has to give or to relay."""
        return any(client.load() for clients in self._sent.values() for client in clients.values())

    def link_closed(self, link: L) -> tuple[Iterator[C], Iterator[C]]:
        """Forgets the clients of a closed link and returns them: those sent over it, those received over it.

        Nobody waits any longer for the requests of the former, and nobody answers the open requests of the
        latter.
        """
        return iter(self._sent.pop(link, {}).values()), iter(self._received.pop(link, {}).values())
