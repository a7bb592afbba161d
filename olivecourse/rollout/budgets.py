"""Disruption budgets: how much of a group may be out of service at once. No I/O.

A group is the stores of an office, the hub caches of a hub, or the gateways of an office. An item counts as
out of service for any reason: it holds a lease, an operator has drained it, it is listed as draining or
removed, it has failed, or it is cold and warming up.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

SHARE_TOLERANCE = 1e-9  # absorbs rounding errors when a sum of capacities is compared with the budget's share


@dataclass(frozen=True, slots=True)
class Budget:
    """Limit on what may be out of service at once in a group: at most `number` items, which together have at
    most `share` (0 to 1) of the capacity of the group."""

    number: int = 1
    share: float = 0.34


@dataclass(frozen=True, slots=True)
class Group:
    """A group of stores or gateways: the capacity of each listed item by its number, in any one unit, and the
    disruption budget of the group. `key` names the register that holds the group's leases."""

    key: str
    capacity: Mapping[int, float]
    budget: Budget

    def denial_reason(self, out: Collection[int], item: int, forced: bool = False) -> str:
        """Returns why `item` may not go out of service in addition to the items in `out`, or an empty string
        if it may. Items in `out` that are no longer listed in the group count towards the budget's number,
        but not towards its share. An operator's `forced` request bypasses the budget, but never takes out the
        last item of a group that is in service."""
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
        if len(after) > 1 and share > self.budget.share + SHARE_TOLERANCE:  # one item alone is always allowed
            return f"{share:.0%} of the capacity would be out, {self.budget.share:.0%} may be"
        return ""

    def over_budget(self, out: Collection[int]) -> bool:
        """Returns whether more items are out of service than the budget allows by number, as after a failure
        during a drain. No further lease is granted then, unless an operator forces it."""
        return len(out) > self.budget.number
