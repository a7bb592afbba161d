"""What load reports tell of a store. State of a router, without I/O.

Reports come late, repeat until they are refreshed and are noisy. Where settings promise none, nothing is
told.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from olivecourse.interface import Member
from olivecourse.state import Node

GAIN = 0.05  # weight of one report: the same is heard some twenty times before the next
LEAST_ACTIVE, LEAST_BUSY = 2.0, 0.2  # below, a ratio of two small and noisy figures tells nothing
SURE = 0.5  # part of what a store seems to bear that it surely does: what waits for a fill counts as held


class Reports:
    """Reads reports by the names of their fields, as the settings tell them in order."""

    __slots__ = ("_active", "_busy")

    def __init__(self, fields: Sequence[str]) -> None:
        place = {name: i for i, name in enumerate(fields)}
        self._active, self._busy = place.get("active", -1), place.get("cpu", -1)

    def heard(self, node: Node, report: Sequence[float | None] | None) -> None:
        """With n transfers under way a store that is busy by a share u would be full at n / u."""
        if not report or min(self._active, self._busy) < 0 or max(self._active, self._busy) >= len(report):
            return
        active, busy = report[self._active], report[self._busy]
        if active is None or busy is None or active < LEAST_ACTIVE or busy < LEAST_BUSY:
            return
        bears = SURE * active / busy / node.seats
        node.bears += (GAIN if node.bears else 1.0) * (bears - node.bears)

    def least(self, member: Member, peers: Iterable[Node]) -> float:
        """Transfers that a store of untold weight surely bears once it is warm: what the least of its kind
        does, by their reports; one where none tells."""
        alike = [n.bears * n.seats for n in peers if n.bears and n.member.kind == member.kind]
        return max(min(alike, default=1.0), 1.0)
