"""The stores that operators have drained by hand, as replicated state without I/O.

A store is drained if the newest record for its id says so. Each record carries an increasing timestamp, so
records may arrive in any order, more than once, or from the other process of a hot restart, and all processes
that hold the same records agree (a last-writer-wins map, Shapiro et al. 2011, section 3.2.1).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

GATEWAY_ID = ""  # id of the gateway itself, which no store has: a drain of it stops new work
MAX_RECORDS = 4096  # ids with a record; above it, the oldest records that end a drain are dropped first


@dataclass(frozen=True, order=True)
class DrainRecord:
    """A drain (`out` is true) or its end, for one id.

    `stamp` is the Unix time in nanoseconds, made strictly increasing.
    """

    stamp: int
    out: bool


class ManualDrains:
    """A last-writer-wins map from store id to its newest drain record."""

    def __init__(self, unix_ns: Callable[[], int]) -> None:
        """`unix_ns` returns the Unix time in nanoseconds, a clock that both processes share."""
        self._unix_ns = unix_ns
        self.records: dict[str, DrainRecord] = {}
        self.drained: set[str] = set()

    def set_drained(self, store: str, out: bool) -> bool:
        """Applies an operator's call to `store`; returns whether the state has changed."""
        if (store in self.drained) == out:
            return False
        newest = max((record.stamp for record in self.records.values()), default=0)
        return bool(self.merge([(store, DrainRecord(max(self._unix_ns(), newest + 1), out))]))

    def merge(self, records: Iterable[tuple[str, DrainRecord]]) -> set[str]:
        """Merges records from another process; returns the ids whose drain began or ended as a result."""
        changed = set[str]()
        for store, record in records:
            existing = self.records.get(store)
            if existing is not None and record <= existing:
                continue
            self.records[store] = record
            if record.out != (store in self.drained):
                changed ^= {store}
                (self.drained.add if record.out else self.drained.discard)(store)
        if len(self.records) > MAX_RECORDS:
            excess = len(self.records) - MAX_RECORDS
            ended_drains = sorted(
                (name for name, entry in self.records.items() if not entry.out),
                key=lambda name: self.records[name],
            )
            for store in ended_drains[:excess]:
                del self.records[store]
        return changed
