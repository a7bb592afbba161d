"""Where a process stands among those of its gateway, and which clients changed hands. State without I/O.

A process has at most one elder (it ran when this one started) and some heirs (they started later). What
follows: whether limits are shared, to whom clients go at the end, when the elder is told of the yes, and when
the files of the dead may be cleared. The links themselves are keys here, nothing more.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, Protocol, TypeVar


class Owing(Protocol):
    """A client, as far as answers that are still to come are concerned."""

    def load(self) -> int:
        """Requests that are owed an answer on its connection."""
        ...


L = TypeVar("L", bound=Hashable)
C = TypeVar("C", bound=Owing)


class Standing(Generic[L]):
    def __init__(self) -> None:
        self.elder: L | None = None
        self._heirs: dict[L, bool] = {}  # whether each has said that it serves, the oldest first
        self._told = False  # the elder knows that we serve
        self._unwritten = True  # our record is behind what we know; at a start there is none

    def inherits(self, elder: L) -> None:
        """The elder has answered this process at its start."""
        self.elder = elder

    def asked(self, heir: L) -> None:
        """A newcomer asked for what is held here."""
        self._heirs.setdefault(heir, False)

    def serves(self, heir: L) -> None:
        """A newcomer has said yes; it counts only once it has asked."""
        if heir in self._heirs:
            self._heirs[heir] = True

    def parted(self, link: L) -> None:
        """That process has ended, or spoke nonsense."""
        self._heirs.pop(link, None)
        if link == self.elder:
            self.elder = None

    @property
    def shared(self) -> bool:
        """Whether another process lives, with which all limits are divided."""
        return self.elder is not None or bool(self._heirs)

    def heir(self) -> L | None:
        """Who gets the clients: the youngest that serves."""
        return next((link for link in reversed(self._heirs) if self._heirs[link]), None)

    def yes_said(self) -> L | None:
        """This process has said yes: the elder, if it is now to be told. Once only."""
        tell, self._told = (None if self._told else self.elder), True
        return tell

    # The record --------------------------------------------------------------------------------------

    def learned(self) -> None:
        """A ban was said or heard: the record has to follow."""
        self._unwritten = True

    def wrote(self, whole: bool) -> None:
        """A try to write the record, and whether it is there."""
        self._unwritten = not whole

    @property
    def must_write(self) -> bool:
        return self._unwritten

    @property
    def may_clear(self) -> bool:
        """Whether what the dead said is safe with us; before, their files hold the only copy."""
        return not self._unwritten


class Passages(Generic[L, C]):
    """Clients that went to another process, and those that came, by their numbers on each link."""

    def __init__(self) -> None:
        self._last = 0
        self._went: dict[L, dict[int, C]] = {}
        self._came: dict[L, dict[int, C]] = {}

    def number(self) -> int:
        """A new one for a client that is about to go."""
        self._last += 1
        return self._last

    def went(self, link: L, conn: int, client: C) -> None:
        self._went.setdefault(link, {})[conn] = client

    def came(self, link: L, conn: int, client: C) -> None:
        """A number that comes twice replaces what it stood for: of one link, the later word counts."""
        self._came.setdefault(link, {})[conn] = client

    def gone(self, link: L, conn: int) -> C | None:
        """The client that went over a link under this number."""
        return self._went.get(link, {}).get(conn)

    def taken(self, link: L, conn: int) -> C | None:
        """The client that came over a link under this number."""
        return self._came.get(link, {}).get(conn)

    def count(self, link: L) -> int:
        """Clients that went over a link."""
        return len(self._went.get(link, ()))

    def owed(self) -> bool:
        """Whether a client that went away still waits for an answer of this process, its own or relayed."""
        return any(client.load() for clients in self._went.values() for client in clients.values())

    def parted(self, link: L) -> tuple[Iterator[C], Iterator[C]]:
        """A link has ended: clients that went over it, whose requests nobody waits for any more, and clients
        that came over it, whose open numbers nobody answers any more. Both are forgotten."""
        return iter(self._went.pop(link, {}).values()), iter(self._came.pop(link, {}).values())
