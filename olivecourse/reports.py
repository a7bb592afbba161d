"""Estimates the capacity of stores from their load reports. State of a router, without I/O.

Reports arrive late and noisy, and a store repeats a report until it takes the next measurement. Where the
settings name no report fields, there are no estimates.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from olivecourse.interface import Member
from olivecourse.state import Node

REPORT_WEIGHT = 0.05  # weight of one report: each measurement arrives some twenty times
# Reports with fewer active transfers or a lower busy share are ignored: the ratio of two small, noisy figures
# says nothing.
MIN_ACTIVE, MIN_BUSY = 2.0, 0.2
# Share of the estimated capacity that a store can safely handle; the reported active transfers include those
# that wait for a fill.
SAFE_SHARE = 0.5


class LoadReports:
    """Reads load reports, whose fields come in the order that the settings give."""

    __slots__ = ("_active_index", "_busy_index")

    def __init__(self, fields: Sequence[str]) -> None:
        positions = {name: i for i, name in enumerate(fields)}
        self._active_index, self._busy_index = positions.get("active", -1), positions.get("cpu", -1)

    def observe(self, node: Node, report: Sequence[float | None] | None) -> None:
        """Updates a node's capacity estimate: n active transfers at busy share u give a capacity of n / u."""
        if (
            not report
            or min(self._active_index, self._busy_index) < 0
            or max(self._active_index, self._busy_index) >= len(report)
        ):
            return
        active, busy = report[self._active_index], report[self._busy_index]
        if active is None or busy is None or active < MIN_ACTIVE or busy < MIN_BUSY:
            return
        capacity = SAFE_SHARE * active / busy / node.sharing_routers
        node.bears += (REPORT_WEIGHT if node.bears else 1.0) * (capacity - node.bears)

    def min_capacity(self, member: Member, peers: Iterable[Node]) -> float:
        """Returns the transfers that a store of unknown weight can safely handle once it is warm.

        The result is the smallest reported capacity among peers of the same kind, or one without reports.
        """
        capacities = [
            peer.bears * peer.sharing_routers
            for peer in peers
            if peer.bears and peer.member.kind == member.kind
        ]
        return max(min(capacities, default=1.0), 1.0)
