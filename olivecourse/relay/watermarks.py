"""The low-water mark: the highest event number up to which every watcher with a live lease has taken all
events. A watcher is a gateway or a relay that polls this relay.

The `watch` parameter of a poll is the number that the watcher has taken. A relay that polls this one reports
the mark of its own watchers and the count of gateways below it. A watcher without a poll for the duration of
a lease no longer holds the mark back; it is listed as lapsed for LAPSED_RETENTION_NS. The mark does not limit
what a lapsed watcher serves; that is bounded by the watcher's own rules.

A watcher has taken an event once it has polled with that event's number or a higher one. Times are
nanoseconds of any one monotonic clock.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass

S = 1_000_000_000  # nanoseconds per second
LAPSED_RETENTION_NS = 600 * S  # how long lapsed watchers stay listed, for an operator to notice them
MAX_LAPSED = 4_096  # most lapsed watchers listed; half of the largest fleet planned
MAX_WATCHERS = 16_384  # most watchers with a live lease; twice the largest fleet planned, all on one relay
# The heap is rebuilt once it has this many entries more than twice the numbers that watchers hold.
SPARE_HEAP_ENTRIES = 64


@dataclass(frozen=True)
class LaggingWatcher:
    """A watcher that has not taken a certain event, for the operators' status.

    `revision` is the event number that it has taken, `since_ns` when it first reported that number, and
    `lapsed` is true if it has not polled for the duration of a lease.
    """

    name: str
    revision: int
    since_ns: int
    lapsed: bool


@dataclass(frozen=True)
class WatermarkCounters:
    """Counters of watchers since the relay's start, written to its status under these names.

    `lapsed` counts expired leases, `returned` lapsed watchers that polled again, `refused` polls refused
    because the table of watchers was full. `lapsed_dropped` counts lapsed watchers dropped from their list
    because it exceeded its capacity (MAX_LAPSED unless set otherwise), those that lapsed first before others.
    `lapsed_forgotten` counts those dropped because their time in the list (LAPSED_RETENTION_NS unless set
    otherwise) was over.
    """

    lapsed: int
    returned: int
    refused: int
    lapsed_dropped: int
    lapsed_forgotten: int


class _Watcher:
    """The state of one watcher: `revision`, the event number that it has taken; `count`, how many gateways it
    stands for (1, or those below a relay); and the times of its reports.
    """

    __slots__ = ("count", "last_report_ns", "revision", "since_ns")

    def __init__(self, revision: int, count: int, now: int) -> None:
        self.revision = revision
        self.count = count
        self.since_ns = now  # when the watcher first reported `revision`
        self.last_report_ns = now


class LowWaterMark:
    """The watchers with a live lease, and the lowest of the event numbers that they have taken.

    Watchers are counted per event number and a heap holds the numbers, because most watchers share the few
    newest numbers. A number without watchers stays in the heap until it reaches the top or until most entries
    are of that kind. A report and a query of the mark cost amortised constant time per new number.
    """

    def __init__(
        self,
        lease_ns: int,
        most_watchers: int = MAX_WATCHERS,
        most_lapsed: int = MAX_LAPSED,
        lapsed_retention_ns: int = LAPSED_RETENTION_NS,
        started_ns: int | None = None,
    ) -> None:
        """A watcher counts as live for `lease_ns` after its last poll; that must exceed the longest wait of a
        poll, because a watcher whose poll is held reports nothing.

        With `started_ns`, the time of the relay's start, there is no mark for the duration of one lease from
        then on, because watchers from before the start may not have reconnected yet.
        """
        self._mark_valid_from_ns = 0 if started_ns is None else started_ns + lease_ns
        self._lease_ns = lease_ns
        self._most_watchers = most_watchers
        self._most_lapsed = most_lapsed
        self._lapsed_retention_ns = lapsed_retention_ns
        self._watchers: OrderedDict[str, _Watcher] = OrderedDict()  # live ones, by their last polls
        self._lapsed: OrderedDict[str, _Watcher] = OrderedDict()  # in the order in which they lapsed
        self._holders: dict[int, int] = {}  # count of live watchers by the event number that they have taken
        self._heap: list[int] = []
        self._counted = 0
        self._lapsed_total = 0
        self._returned = 0
        self._refused = 0
        self._lapsed_dropped = 0
        self._lapsed_forgotten = 0

    @property
    def counters(self) -> WatermarkCounters:
        """A copy of the counters since the relay's start."""
        return WatermarkCounters(
            self._lapsed_total, self._returned, self._refused, self._lapsed_dropped, self._lapsed_forgotten
        )

    def report(self, watcher: str, revision: int, now: int, low: int | None = None, count: int = 1) -> bool:
        """Records a poll of the watcher with the name `watcher`: it has taken event number `revision` and, if
        it is a relay, its own watchers have taken `low` and `count` gateways are below it.

        Renews its lease. Returns False if the table of watchers is full: then the watcher must not be served,
        as the mark would not cover it.
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
        """Called when a watcher's connection has ended: renews its lease once more, because the watcher may
        still serve requests.
        """
        state = self._watchers.get(watcher)
        if state is not None:
            state.last_report_ns = now
            self._watchers.move_to_end(watcher)

    def mark(self, now: int) -> int | None:
        """Returns the low-water mark, the event number that every watcher with a live lease has taken.

        None if there are no such watchers, or if the relay started less than a lease ago.
        """
        self._expire(now)
        if now < self._mark_valid_from_ns:
            return None
        heap = self._heap
        while heap and heap[0] not in self._holders:
            heapq.heappop(heap)
        return heap[0] if heap else None

    def subtree_low(self, revision: int, now: int) -> int:
        """Returns the event number that this relay and all its watchers have taken, which it reports to its
        upstream as `low`; `revision` is the relay's own newest event.

        Without watchers it is `revision`. For one lease after the relay's start it is 0, because the state of
        watchers from before is unknown.
        """
        low = self.mark(now)
        if now < self._mark_valid_from_ns:
            return 0
        return revision if low is None else min(low, revision)

    def counted(self, now: int) -> int:
        """Returns how many gateways the low-water mark covers, including those behind relays that poll this
        one.
        """
        self._expire(now)
        return self._counted

    def behind(self, revision: int, now: int) -> list[LaggingWatcher]:
        """Returns the live and lapsed watchers that have not taken event number `revision`, in ascending
        order of the numbers that they have taken.

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
        """Moves watchers with an expired lease to the list of lapsed ones, and drops from that list those
        above `most_lapsed` or past their retention, the oldest first.
        """
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
