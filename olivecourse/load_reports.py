"""Estimates the capacity of stores (caches, parents and origins) from their load reports, without I/O.

Reports arrive late and noisy, and a store repeats a report until it takes the next measurement. Where the
settings do not name the report fields "active" and "cpu", there are no estimates.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from olivecourse.interface import Member
from olivecourse.state import Node

# Weight of one load report in the moving average of a store's capacity: low, because each measurement arrives
# in some twenty reports.
REPORT_WEIGHT = 0.05
# Load reports with fewer than MIN_ACTIVE active transfers or a busy share (from 0 to 1) below MIN_BUSY are
# ignored: the ratio of two small, noisy figures says nothing.
MIN_ACTIVE, MIN_BUSY = 2.0, 0.2
# Share of its estimated capacity that a store can safely handle. It is below 1 because the reported active
# transfers, from which the capacity is estimated, include those that only wait for a fill.
SAFE_SHARE = 0.5


class LoadReports:
    """Reads the load reports of stores; `fields` names the values of a report in their order."""

    __slots__ = ("_active_index", "_busy_index")

    def __init__(self, fields: Sequence[str]) -> None:
        positions = {name: i for i, name in enumerate(fields)}
        self._active_index, self._busy_index = positions.get("active", -1), positions.get("cpu", -1)

    def observe(self, node: Node, report: Sequence[float | None] | None) -> None:
        """Updates `node.reported_capacity`, how many transfers for this router the node can safely handle.

        n active transfers at a busy share u give a capacity of n / u; the safe share of it is divided among
        the routers that use the node.
        """
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
        node.reported_capacity += (REPORT_WEIGHT if node.reported_capacity else 1.0) * (
            capacity - node.reported_capacity
        )

    def min_capacity(self, member: Member, peers: Iterable[Node]) -> float:
        """Returns how many concurrent transfers, for all routers together, a store of unknown capacity can
        safely handle once it is warm.

        The result is the smallest estimate among the `peers` of the same kind that have sent load reports,
        but at least one; it is one if no such peer has.
        """
        capacities = [
            peer.reported_capacity * peer.sharing_routers
            for peer in peers
            if peer.reported_capacity and peer.member.kind == member.kind
        ]
        return max(min(capacities, default=1.0), 1.0)
