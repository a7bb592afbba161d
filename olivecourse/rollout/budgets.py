"""How much of a group may be out at once. No I/O.

A group is the stores of an office, the hub caches of a hub, or the gateways of an office. What is out counts
whatever the reason: with a place, drained by hand, told as draining or gone, found dead, cold and warming.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

SHARE_TOLERANCE = 1e-9  # shares are products of floats


@dataclass(frozen=True, slots=True)
class Budget:
    """At most `number` members, of at most `share` of the group's capacity together."""

    number: int = 1
    share: float = 0.34


@dataclass(frozen=True, slots=True)
class Group:
    """Names and capacities of who belongs to it; `budget` for all of them together."""

    key: str
    capacity: Mapping[int, float]
    budget: Budget

    def denial_reason(self, out: Collection[int], item: int, forced: bool = False) -> str:
        """Why `item` may not go out beside those in `out`; empty if it may. What is out and no longer listed
        counts by number. `forced`, by an operator in need, passes the budget but never takes the last one."""
        if item not in self.capacity:
            return "not listed"
        after = set(out) | {item}
        if after >= self.capacity.keys():
            return "the last one of its group"
        if forced:
            return ""
        if len(after) > self.budget.number:
            return f"{len(after) - 1} of {self.budget.number} out already"
        total = sum(self.capacity.values())
        share = sum(self.capacity.get(name, 0.0) for name in after) / total if total else 1.0
        if (
            len(after) > 1 and share > self.budget.share + SHARE_TOLERANCE
        ):  # a single one must always be possible
            return f"{share:.0%} of the capacity would be out, {self.budget.share:.0%} may be"
        return ""

    def over_budget(self, out: Collection[int]) -> bool:
        """Whether more is out than may be, as after a death beside a drain: nothing more is granted then."""
        return len(out) > self.budget.number
