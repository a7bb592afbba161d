"""How a process's descriptors are divided among clients, stores, operators and its own files. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

PER_STORE = 24  # connections to one store, as far as the descriptors allow
OWN = 24  # loop, log, listener, board, peers, planner, files that are read
DOOR = 18  # callers of one operators' door, its listener, and one just accepted
SPARED = 32  # of the half that stores may have
LEAST = 16  # connections to stores, however few descriptors there are
SCANT, SCANT_STORES = 192, 8  # below so many a process with a door keeps to so few, as it may be one of two


@dataclass(frozen=True)
class Split:
    """Descriptors: `stores` connections in all and `per_store` more at a pinch, and `clients`."""

    stores: int
    per_store: int
    clients: int

    def total(self, doors: int) -> int:
        """All that can be open at once."""
        return self.stores + self.per_store + self.clients + OWN + DOOR * doors


def split(sockets: int, doors: int) -> Split:
    """Of so many descriptors. Usual clients take a third at most; what stores and our own files leave besides
    is room for those who connect and say nothing, so that fewer have to be closed for a newcomer.

    With a door, clients and stores together cannot take what operators need, from 96 descriptors on (with
    each further door, 18 more).
    """
    own = OWN + DOOR * doors
    scant = doors > 0 and sockets < SCANT
    per_store = SCANT_STORES if scant else PER_STORE
    stores = max(sockets // 2 - SPARED - DOOR * doors, SCANT_STORES if scant else LEAST)
    return Split(stores, per_store, max(sockets // 3, sockets - stores - per_store - own))
