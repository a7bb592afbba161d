"""The low-water mark: the highest number that every watcher with a live lease has taken.

A poll's `watch` tells what a watcher has taken. A relay below tells the mark of all that poll it, and how
many they are. A watcher that has not been heard of for a lease no longer holds the mark back; it is listed
for a while as lapsed. What it may still serve is bounded by its own rules and not by this mark.

Moments are nanoseconds of any one clock that does not go back.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass

S = 1_000_000_000  # nanoseconds
LAPSED_KEPT_NS = 600 * S  # long enough for an operator to look
MOST_LAPSED = 4_096  # half of the largest fleet planned
MOST_WATCHERS = 16_384  # twice the largest fleet planned, all on one relay
SPARE_HEAP_ENTRIES = 64  # stale ones below which a heap is not made anew


@dataclass(frozen=True)
class LaggingWatcher:
    """A watcher below a number: what it has taken, since when, and whether its lease has lapsed."""

    name: str
    revision: int
    since_ns: int
    lapsed: bool


@dataclass(frozen=True)
class WatermarkCounters:
    """Since the start. `refused` reports came from more watchers than are held; `lapsed_dropped` were dropped
    from the list of lapsed watchers because it was full, `lapsed_forgotten` because their time was over."""

    lapsed: int
    returned: int
    refused: int
    lapsed_dropped: int
    lapsed_forgotten: int


class _Watcher:
    __slots__ = ("count", "heard_ns", "revision", "since_ns")

    def __init__(self, revision: int, count: int, now: int) -> None:
        self.revision = revision
        self.count = count
        self.since_ns = now  # when it first told this number
        self.heard_ns = now


class LowWaterMark:
    """What all watchers have taken. Reports and the mark cost amortised constant time per new number.

    Watchers are counted by number, and a heap holds the numbers: most watchers share the few newest. A number
    that nobody holds any more stays in the heap until it is on top or stale ones are the greater part.
    """

    def __init__(
        self,
        lease_ns: int,
        most_watchers: int = MOST_WATCHERS,
        most_lapsed: int = MOST_LAPSED,
        lapsed_kept_ns: int = LAPSED_KEPT_NS,
        started_ns: int | None = None,
    ) -> None:
        """`lease_ns` must exceed the longest wait of a poll, as a watcher tells nothing while it waits.

        With `started_ns` there is no mark for the first lease after it: until then a watcher that was here
        before the start may not have come back yet.
        """
        self._marked_from_ns = 0 if started_ns is None else started_ns + lease_ns
        self._lease_ns = lease_ns
        self._most_watchers = most_watchers
        self._most_lapsed = most_lapsed
        self._lapsed_kept_ns = lapsed_kept_ns
        self._watchers: OrderedDict[str, _Watcher] = OrderedDict()  # the longest unheard first
        self._lapsed: OrderedDict[str, _Watcher] = OrderedDict()  # the longest lapsed first
        self._holders: dict[int, int] = {}  # watchers by number
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
        """What `watcher` has taken: up to `revision`, and all below it up to `low` if it is a relay.

        False if no more watchers can be held: this one must not be served, as the mark would not tell of it.
        """
        taken = revision if low is None or low > revision else low
        state = self._watchers.get(watcher)
        if state is None:
            return self._admit(watcher, taken, count, now)
        state.heard_ns = now
        self._watchers.move_to_end(watcher)
        if state.count != count:
            self._counted += count - state.count
            state.count = count
        if state.revision != taken:
            self._release(state.revision)
            self._hold(taken)
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
        self._hold(taken)
        return True

    def disconnected(self, watcher: str, now: int) -> None:
        """The watcher's connection has ended: it is counted for one more lease, as it may still serve."""
        state = self._watchers.get(watcher)
        if state is not None:
            state.heard_ns = now
            self._watchers.move_to_end(watcher)

    def mark(self, now: int) -> int | None:
        """The number that every watcher with a live lease has taken; None if there is none, or none yet."""
        self._expire(now)
        if now < self._marked_from_ns:
            return None
        heap = self._heap
        while heap and heap[0] not in self._holders:
            heapq.heappop(heap)
        return heap[0] if heap else None

    def subtree_low(self, revision: int, now: int) -> int:
        """The `low` that a relay at `revision` reports to the one above, for itself and all below it.

        Without watchers it is the relay's own number. For the first lease after the start it is 0, as nothing
        is known of those that were here before.
        """
        low = self.mark(now)
        if now < self._marked_from_ns:
            return 0
        return revision if low is None else min(low, revision)

    def counted(self, now: int) -> int:
        """How many watchers the mark stands for, those of relays below included."""
        self._expire(now)
        return self._counted

    def behind(self, revision: int, now: int) -> list[LaggingWatcher]:
        """Those that have not taken `revision`, the lowest first; walks all watchers, for an operator."""
        self._expire(now)
        found = _lagging(self._watchers, revision, False)
        found += _lagging(self._lapsed, revision, True)
        found.sort(key=_lag_order)
        return found

    def _hold(self, number: int) -> None:
        held = self._holders.get(number)
        if held is not None:
            self._holders[number] = held + 1
            return
        self._holders[number] = 1
        heapq.heappush(self._heap, number)
        if len(self._heap) > 2 * len(self._holders) + SPARE_HEAP_ENTRIES:
            self._heap = list(self._holders)
            heapq.heapify(self._heap)

    def _release(self, number: int) -> None:
        held = self._holders[number] - 1
        if held:
            self._holders[number] = held
        else:
            del self._holders[number]

    def _expire(self, now: int) -> None:
        """Moves watchers whose lease is over to the lapsed ones, and forgets the oldest of these."""
        unheard_since = now - self._lease_ns
        while self._watchers:
            name = next(iter(self._watchers))
            state = self._watchers[name]
            if state.heard_ns > unheard_since:
                break
            del self._watchers[name]
            self._release(state.revision)
            self._counted -= state.count
            self._lapsed_total += 1
            self._lapsed[name] = state
        self._forget_lapsed(unheard_since - self._lapsed_kept_ns)

    def _forget_lapsed(self, unheard_since: int) -> None:
        while len(self._lapsed) > self._most_lapsed:
            self._lapsed.popitem(last=False)
            self._lapsed_dropped += 1
        while self._lapsed:
            name = next(iter(self._lapsed))
            if self._lapsed[name].heard_ns > unheard_since:
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
