"""The low-water mark: the highest event number that every watcher with a live lease has taken.

The `watch` parameter of a poll is the number that the watcher has taken. A relay that polls this one reports
the mark of its own watchers and their count. A watcher without a poll for the duration of a lease no longer
holds the mark back; it is listed as lapsed for a while. The mark does not limit what a lapsed watcher serves;
that is bounded by the watcher's own rules.

A watcher has taken an event once it has polled with that event's number or a higher one. Times are
nanoseconds of any one monotonic clock.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass

S = 1_000_000_000  # nanoseconds per second
LAPSED_RETENTION_NS = 600 * S  # long enough for an operator to notice
MAX_LAPSED = 4_096  # half of the largest fleet planned
MAX_WATCHERS = 16_384  # twice the largest fleet planned, all on one relay
SPARE_HEAP_ENTRIES = 64  # stale entries that a heap may have before it is rebuilt


@dataclass(frozen=True)
class LaggingWatcher:
    """A watcher that lacks an event: the number it has, since when, and whether its lease has lapsed."""

    name: str
    revision: int
    since_ns: int
    lapsed: bool


@dataclass(frozen=True)
class WatermarkCounters:
    """Counters since the start.

    `refused` counts reports refused because the table of watchers was full. `lapsed_dropped` counts watchers
    dropped from the full list of lapsed ones, `lapsed_forgotten` those dropped after their retention.
    """

    lapsed: int
    returned: int
    refused: int
    lapsed_dropped: int
    lapsed_forgotten: int


class _Watcher:
    """The state of one watcher: the number it has taken, and how many gateways it stands for."""

    __slots__ = ("count", "last_report_ns", "revision", "since_ns")

    def __init__(self, revision: int, count: int, now: int) -> None:
        self.revision = revision
        self.count = count
        self.since_ns = now  # when the watcher first reported this number
        self.last_report_ns = now


class LowWaterMark:
    """The lowest number that the live watchers have taken.

    Watchers are counted per number and a heap holds the numbers, because most watchers share the few newest
    numbers. A number without watchers stays in the heap until it reaches the top or until most entries are
    stale. A report and a query of the mark cost amortised constant time per new number.
    """

    def __init__(
        self,
        lease_ns: int,
        most_watchers: int = MAX_WATCHERS,
        most_lapsed: int = MAX_LAPSED,
        lapsed_retention_ns: int = LAPSED_RETENTION_NS,
        started_ns: int | None = None,
    ) -> None:
        """`lease_ns` must exceed the longest wait of a poll, because a waiting watcher sends no reports.

        With `started_ns` there is no mark for the first lease after that time, because watchers from before
        the start may not have reconnected yet.
        """
        self._mark_valid_from_ns = 0 if started_ns is None else started_ns + lease_ns
        self._lease_ns = lease_ns
        self._most_watchers = most_watchers
        self._most_lapsed = most_lapsed
        self._lapsed_retention_ns = lapsed_retention_ns
        self._watchers: OrderedDict[str, _Watcher] = OrderedDict()  # in the order of their last reports
        self._lapsed: OrderedDict[str, _Watcher] = OrderedDict()  # in the order in which they lapsed
        self._holders: dict[int, int] = {}  # count of watchers by number
        self._heap: list[int] = []
        self._counted = 0
        self._lapsed_total = 0
        self._returned = 0
        self._refused = 0
        self._lapsed_dropped = 0
        self._lapsed_forgotten = 0

    @property
    def counters(self) -> WatermarkCounters:
        """A copy of all counters."""
        return WatermarkCounters(
            self._lapsed_total, self._returned, self._refused, self._lapsed_dropped, self._lapsed_forgotten
        )

    def report(self, watcher: str, revision: int, now: int, low: int | None = None, count: int = 1) -> bool:
        """Records that `watcher` has taken `revision` and, for a relay, that its watchers have taken `low`.

        Returns False if the table is full: then the watcher must not be served, as the mark would not cover
        it.
        """
        taken = revision if low is None or low > revision else low
        state = self._watchers.get(watcher)
        if state is None:
            return self._admit(watcher, taken, count, now)
        state.last_report_ns = now
        self._watchers.move_to_end(watcher)
        if state.count != count:
            self._counted += count - state.count
            state.count = count
        if state.revision != taken:
            self._remove_holder(state.revision)
            self._add_holder(taken)
            state.revision = taken
            state.since_ns = now
        return True

    def _admit(self, watcher: str, taken: int, count: int, now: int) -> bool:
        if len(self._watchers) >= self._most_watchers:
            self._expire(now)
            if len(self._watchers) >= self._most_watchers:
                self._refused += 1
                return False
        if self._lapsed.pop(watcher, None) is not None:
            self._returned += 1
        self._watchers[watcher] = _Watcher(taken, count, now)
        self._counted += count
        self._add_holder(taken)
        return True

    def disconnected(self, watcher: str, now: int) -> None:
        """Renews the lease of a disconnected watcher once, because the watcher may still serve requests."""
        state = self._watchers.get(watcher)
        if state is not None:
            state.last_report_ns = now
            self._watchers.move_to_end(watcher)

    def mark(self, now: int) -> int | None:
        """Returns the number that every watcher with a live lease has taken.

        None if there are no such watchers, or in the first lease after the start.
        """
        self._expire(now)
        if now < self._mark_valid_from_ns:
            return None
        heap = self._heap
        while heap and heap[0] not in self._holders:
            heapq.heappop(heap)
        return heap[0] if heap else None

    def subtree_low(self, revision: int, now: int) -> int:
        """Returns the `low` that a relay at `revision` reports to its upstream for itself and its watchers.

        Without watchers it is the relay's own number. For the first lease after the start it is 0, because
        the state of earlier watchers is unknown.
        """
        low = self.mark(now)
        if now < self._mark_valid_from_ns:
            return 0
        return revision if low is None else min(low, revision)

    def counted(self, now: int) -> int:
        """Returns how many gateways the mark covers, including those behind relays that poll this one."""
        self._expire(now)
        return self._counted

    def behind(self, revision: int, now: int) -> list[LaggingWatcher]:
        """Returns the watchers that have not taken `revision`, the lowest first.

        Visits all watchers, so it is only for operators' queries.
        """
        self._expire(now)
        found = _lagging(self._watchers, revision, False)
        found += _lagging(self._lapsed, revision, True)
        found.sort(key=_lag_order)
        return found

    def _add_holder(self, number: int) -> None:
        holder_count = self._holders.get(number)
        if holder_count is not None:
            self._holders[number] = holder_count + 1
            return
        self._holders[number] = 1
        heapq.heappush(self._heap, number)
        if len(self._heap) > 2 * len(self._holders) + SPARE_HEAP_ENTRIES:
            self._heap = list(self._holders)
            heapq.heapify(self._heap)

    def _remove_holder(self, number: int) -> None:
        holder_count = self._holders[number] - 1
        if holder_count:
            self._holders[number] = holder_count
        else:
            del self._holders[number]

    def _expire(self, now: int) -> None:
        """Moves watchers with an expired lease to the lapsed ones, and drops the oldest of those."""
        expired_before_ns = now - self._lease_ns
        while self._watchers:
            name = next(iter(self._watchers))
            state = self._watchers[name]
            if state.last_report_ns > expired_before_ns:
                break
            del self._watchers[name]
            self._remove_holder(state.revision)
            self._counted -= state.count
            self._lapsed_total += 1
            self._lapsed[name] = state
        self._forget_lapsed(expired_before_ns - self._lapsed_retention_ns)

    def _forget_lapsed(self, expired_before_ns: int) -> None:
        while len(self._lapsed) > self._most_lapsed:
            self._lapsed.popitem(last=False)
            self._lapsed_dropped += 1
        while self._lapsed:
            name = next(iter(self._lapsed))
            if self._lapsed[name].last_report_ns > expired_before_ns:
                return
            del self._lapsed[name]
            self._lapsed_forgotten += 1


def _lagging(watchers: OrderedDict[str, _Watcher], revision: int, lapsed: bool) -> list[LaggingWatcher]:
    found: list[LaggingWatcher] = []
    for name, state in watchers.items():
        if state.revision < revision:
            found.append(LaggingWatcher(name, state.revision, state.since_ns, lapsed))
    return found


def _lag_order(watcher: LaggingWatcher) -> tuple[int, str]:
    return watcher.revision, watcher.name
