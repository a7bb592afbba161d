"""The stores that operators have drained (taken out of service) by hand, as state that the processes of a hot
restart replicate; without I/O.

A store is drained if the newest record for its id says so. Each record carries an increasing timestamp, so
records may arrive in any order, more than once, or from the other process of a hot restart, and all processes
that hold the same records agree (a last-writer-wins map, Shapiro et al. 2011, section 3.2.1).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

GATEWAY_ID = ""  # the gateway itself in drain records; no store has this id. Its drain stops new work
MAX_RECORDS = 4096  # drain records; above it, the oldest of those that end a drain are dropped


@dataclass(frozen=True, order=True)
class DrainRecord:
    """An operator's decision on one store or the gateway: a drain (`out` is true) or the end of a drain.

    `stamp` is the Unix time of the decision in nanoseconds, raised if needed above all earlier records'.
    """

    stamp: int
    out: bool


class ManualDrains:
    """Maps the id of each store (or GATEWAY_ID) to its newest drain record; `drained` is the set of the ids
    that are drained now.
    """

    def __init__(self, unix_ns: Callable[[], int]) -> None:
        """`unix_ns` returns the Unix time in nanoseconds, the clock that all processes of a gateway share."""
        self._unix_ns = unix_ns
        self.records: dict[str, DrainRecord] = {}
        self.drained: set[str] = set()

    def set_drained(self, store: str, out: bool) -> bool:
        """Drains the store with the id `store` if `out`, else ends its drain; returns False if that was its
        state already.
        """
        if (store in self.drained) == out:
            return False
        newest = max((record.stamp for record in self.records.values()), default=0)
        return bool(self.merge([(store, DrainRecord(max(self._unix_ns(), newest + 1), out))]))

    def merge(self, records: Iterable[tuple[str, DrainRecord]]) -> set[str]:
        """Takes over each record, given with its store id, that is newer than the one known for that id.

        Returns the ids whose drain began or ended as a result.
        """
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
