"""A consistent-hash ring whose caches have points in proportion to their weights.

A change of some caches costs work in proportion to them, not to all caches on the ring: a cache of unchanged
weight is touched only when the mean weight has moved so far that its rounded number of points changes.
"""

from __future__ import annotations

import heapq
import math
import sys
from collections import deque
from collections.abc import Iterator
from fractions import Fraction

from olivecourse.ring import Ring

NO_LIMIT = sys.maxsize  # for `WeightedRing.update`
# A cache for which more points must change takes turns with the others, so that a ring that is built in steps
# has points of all its caches early.
POINTS_PER_VISIT = 8
# Relative margin by which the number of points is computed anew before the mean weight reaches the computed
# bound, against rounding errors in the bound.
BOUND_MARGIN = 1e-12


class WeightedRing:
    """A `Ring` that gives a cache of mean weight `points_per_cache` points, and every cache at least one.

    Set weights first and then call `update`, possibly several times, until the ring is complete. Its points
    then depend only on the weights of the caches, not on the changes that led to them.
    """

    def __init__(self, points_per_cache: int, bucket_bits: int) -> None:
        """`bucket_bits` is that of `Ring`."""
        self._points_per_cache = points_per_cache
        self._ring = Ring((), bucket_bits)
        self._weights: dict[int, float] = {}
        self._total_weight = Fraction(0)  # exact, since a rounded sum depends on the order of the changes
        self._targets: dict[int, int] = {}  # how many points each cache shall have
        # The range of mean weights, in which each cache keeps its target, and the bounds of these ranges as
        # heaps of (bound, cache), the upper ones ascending and the lower ones negated. A heap also holds
        # outdated bounds, which differ from those in `_ranges`.
        self._ranges: dict[int, tuple[float, float]] = {}
        self._upper_bounds: list[tuple[float, int]] = []
        self._lower_bounds: list[tuple[float, int]] = []
        self._changed: dict[int, None] = {}  # caches with a changed weight
        self._pending: deque[int] = deque()  # caches whose points differ from their target, each once
        self._is_pending: set[int] = set()

    def set_weight(self, cache: int, weight: float) -> None:
        """Adds a cache or changes its weight, a finite number."""
        known = self._weights.get(cache)
        if known == weight:
            return
        self._total_weight += Fraction(weight) - Fraction(0.0 if known is None else known)
        self._weights[cache] = weight
        self._changed[cache] = None

    def remove(self, cache: int) -> None:
        """Removes a cache; does nothing if it has no weight."""
        weight = self._weights.pop(cache, None)
        if weight is None:
            return
        self._total_weight -= Fraction(weight)
        self._ranges.pop(cache, None)
        self._changed.pop(cache, None)
        self._set_target(cache, 0)

    @property
    def is_complete(self) -> bool:
        """Whether the ring has its points for the weights set before the last `update`."""
        return not self._pending

    def update(self, max_points: int) -> int:
        """Adds and removes points, up to `max_points` of them; returns how many."""
        self._update_targets()
        changes_left = max_points
        while self._pending and changes_left > 0:
            cache = self._pending.popleft()
            target = self._targets[cache]
            changes_left -= self._ring.resize(cache, target, min(POINTS_PER_VISIT, changes_left))
            if self._ring.point_count(cache) != target:
                self._pending.append(cache)
                continue
            self._is_pending.discard(cache)
            if not target:
                del self._targets[cache]
        return max_points - changes_left

    def walk(self, name: str) -> Iterator[int]:
        """Yields every cache on the ring once, from the hash of `name` on.

        While the ring is not complete, that includes caches that have been removed.
        """
        return self._ring.walk(name)

    def _mean_weight(self) -> float:
        """Returns the mean weight of the caches; the largest float if it is too large for one."""
        try:
            return float(self._total_weight / max(len(self._weights), 1))
        except OverflowError:
            return math.nextafter(math.inf, 0.0)

    def _update_targets(self) -> None:
        """Computes the targets of the caches whose weight has changed, or whose range the mean has left."""
        mean_weight = self._mean_weight()
        due, self._changed = self._changed, {}
        while self._upper_bounds and self._upper_bounds[0][0] <= mean_weight:
            bound, cache = heapq.heappop(self._upper_bounds)
            if cache in self._ranges and self._ranges[cache][1] == bound:
                due[cache] = None
        while self._lower_bounds and -self._lower_bounds[0][0] >= mean_weight:
            negated_bound, cache = heapq.heappop(self._lower_bounds)
            if cache in self._ranges and self._ranges[cache][0] == -negated_bound:
                due[cache] = None
        for cache in due:
            self._update_target(cache, mean_weight)
        self._drop_outdated_bounds()

    def _update_target(self, cache: int, mean_weight: float) -> None:
        weight = self._weights[cache]
        if weight <= 0.0 or mean_weight <= 0.0:
            self._ranges.pop(cache, None)
            self._set_target(cache, 1)
            return
        most_points = self._points_per_cache * len(self._weights)  # reached if the others weigh nothing
        target = max(1, round(min(self._points_per_cache * (weight / mean_weight), most_points)))
        lower_bound = weight * (self._points_per_cache / (target + 0.5)) * (1 + BOUND_MARGIN)
        upper_bound = (
            weight * (self._points_per_cache / (target - 0.5)) * (1 - BOUND_MARGIN)
            if target > 1
            else math.inf
        )
        self._ranges[cache] = (lower_bound, upper_bound)
        heapq.heappush(self._lower_bounds, (-lower_bound, cache))
        if upper_bound < math.inf:
            heapq.heappush(self._upper_bounds, (upper_bound, cache))
        self._set_target(cache, target)

    def _set_target(self, cache: int, target: int) -> None:
        if self._targets.get(cache) == target:
            return
        self._targets[cache] = target
        if cache not in self._is_pending:
            self._is_pending.add(cache)
            self._pending.append(cache)

    def _drop_outdated_bounds(self) -> None:
        """Drops the outdated bounds once they are the greater part of a heap."""
        most_entries = 2 * len(self._ranges) + 64
        if len(self._upper_bounds) > most_entries:
            self._upper_bounds = [(r[1], cache) for cache, r in self._ranges.items() if r[1] < math.inf]
            heapq.heapify(self._upper_bounds)
        if len(self._lower_bounds) > most_entries:
            self._lower_bounds = [(-r[0], cache) for cache, r in self._ranges.items()]
            heapq.heapify(self._lower_bounds)
