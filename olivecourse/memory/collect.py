"""Reads the state of a Router in slices, so that a snapshot does not block the event loop for long."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from olivecourse.choice import Router
from olivecourse.memory.records import ClassRecord, Interval, PurgeRecord, Record, StoreRecord
from olivecourse.state import Node

SLICE = 32  # snapshot records read or serialised in one turn of the event loop: about 50 us of work
KEPT_INTERVALS = 3  # ended intervals (of 5 s) of the Router's load counts that a snapshot holds
# Frequently requested (hot) objects saved per counting interval; the Router's popularity threshold selects a
# hundred at most.
MAX_HOT = 512
# With more purges in force, a snapshot holds one for each group of objects instead, which forbids more copies
# and ends no earlier.
MAX_PURGES = 4096
GROUPS = 256  # number of groups of objects that can be purged together


@dataclass
class IntervalRecorder:
    """Records the last KEPT_INTERVALS counting intervals of one Router, which itself keeps only the newest.

    In a counting interval (5 s) the Router counts the load of each object. `update` must be called at least
    once per interval, independently of `collect`.
    """

    ended: deque[tuple[int, Interval]] = field(default_factory=lambda: deque(maxlen=KEPT_INTERVALS))
    _retune_at: int = -1
    _running: tuple[float, float, int] = (0.0, 0.0, 0)

    def update(self, router: Router, now: int) -> None:
        """Records the counting interval that has ended since the last call, if one has.

        Its totals are those seen at the last call, because the Router has reset its load counters since.
        """
        if self._retune_at >= 0 and router.retune_at != self._retune_at:
            total, distinct, arrivals = self._running
            hot = dict(islice(router.counts.items(), MAX_HOT))
            if total:
                self.ended.appendleft(
                    (now, Interval(0, hot, total, distinct, arrivals, router.hot_threshold))
                )
        self._retune_at = router.retune_at
        counter = router.counter
        self._running = (counter.total, max(router.distinct.count(), 1.0), counter.arrivals)


def collect(router: Router, interval_recorder: IntervalRecorder, now: int) -> Iterator[list[Record]]:
    """Yields the snapshot records of the Router's state in lists, one for each turn of the event loop.

    Between two lists the Router may go on working; the records of one list are read at the same moment. All
    ages are relative to `now`, the beginning of the collection by the Router's clock. `router.density` is not
    included and is read by the caller.
    """
    nodes, purges = list(router.nodes.values()), list(router.purges.items())
    yield from _sliced(_store(router, node, now) for node in nodes)
    yield [
        ClassRecord(c.name, router.mean_sending_ns[i], router.fill_shares[i])
        for i, c in enumerate(router.settings.classes)
    ]
    yield from _sliced(_purges(purges, now))
    for ended, interval in list(interval_recorder.ended):
        yield [
            Interval(
                max(now - ended, 0),
                interval.counts,
                interval.total,
                interval.distinct,
                interval.arrivals,
                interval.t,
            )
        ]


def _sliced(records: Iterable[Record]) -> Iterator[list[Record]]:
    rest = iter(records)
    while part := list(islice(rest, SLICE)):
        yield part


def _store(router: Router, node: Node, now: int) -> StoreRecord:
    member = node.member
    parent = member.kind == router.settings.parent_kind
    ramp = router.settings.parent_cold_ns if parent else router.settings.cold_ns
    cold = (
        bool(member.ready_at_ns)
        and member.kind != router.settings.origin_kind
        and now - (member.ready_at_ns or 0) < ramp
    )
    return StoreRecord(
        member.cache,
        member.life,
        min(max(node.error_score, 0.0), 1.0),
        node.fill_wait_ns,
        node.limit,
        node.failing,
        max(node.credit, 0.0) if cold else None,
        max(now - node.error_score_at, 0),
    )


def _purges(purges: list[tuple[str | int | None, tuple[int, int]]], now: int) -> Iterator[PurgeRecord]:
    found = [(key, at, until) for key, (at, until) in purges if key is not None and until > now]
    if len(found) > MAX_PURGES:
        # Replaces all purges by one for every group, with the time of the newest purge and the latest expiry:
        # no cached copy that any of the purges forbids to serve becomes allowed.
        newest, longest = max(at for _, at, _ in found), max(until for _, _, until in found)
        found = [(group, newest, longest) for group in range(GROUPS)]
    for key, at, until in found:
        yield PurgeRecord(key, max(now - at, 0), until - now)
