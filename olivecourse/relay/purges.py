"""The newest purge of each key, retained as long as a store may still hold an older copy of the object."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from olivecourse.relay.events import Purge, PurgeKey

MS = 1_000_000  # nanoseconds per millisecond


@dataclass
class PurgeRecord:
    """A retained purge: its event's number, when it was issued, when it settles, and its encoded event."""

    number: int
    made_ms: int
    settled_ns: int
    encoded: bytes


class UnsettledPurges:
    """Purges by key, in the ascending order of their events' numbers.

    A purge settles `retention_ns` after it was issued or was folded here, whichever came first. A purge is
    issued before it is folded unless clocks differ; in that case the time of folding bounds the retention.

    Objects and groups have different keys. A relay does not know which objects belong to a group, so the
    purge of a group does not replace that of an object, nor the reverse.

    When more than `most_purges` are unsettled, the oldest is evicted. From then until it would have settled,
    `incomplete_before` returns the number below which a watcher can't get all events that it missed. Refusing
    new purges instead would delay them for every watcher; eviction affects only watchers far behind, and they
    get an error.
    """

    def __init__(self, retention_ns: int, most_purges: int) -> None:
        self._retention_ns = retention_ns
        self._most_purges = most_purges
        self._records: OrderedDict[PurgeKey, PurgeRecord] = OrderedDict()
        self._evicted_number = 0
        self._evicted_settled_ns = 0
        self.superseded = 0  # folded purges for whose key another purge is as new or newer
        self.settled = 0  # purges dropped because no store can hold an older copy any more
        self.evicted = 0  # purges dropped before they had settled

    def __len__(self) -> int:
        return len(self._records)

    def fold(self, number: int, purge: Purge, encoded: bytes, now: int) -> None:
        """Folds one purge at the Unix time `now` in nanoseconds; numbers must ascend."""
        settled_ns = min(now, purge.made_ms * MS) + self._retention_ns
        if settled_ns <= now:
            self.settled += 1
            return
        known = self._records.get(purge.key)
        if known is not None:
            self.superseded += 1
            if known.made_ms > purge.made_ms:  # issued earlier than the known one, which covers it
                return
            del self._records[purge.key]
        self._records[purge.key] = PurgeRecord(number, purge.made_ms, settled_ns, encoded)
        if len(self._records) > self._most_purges:
            self._evict_oldest(now)

    def _evict_oldest(self, now: int) -> None:
        self.expire(now)
        if len(self._records) <= self._most_purges:
            return
        _, record = self._records.popitem(last=False)
        self.evicted += 1
        self._evicted_number = record.number
        self._evicted_settled_ns = max(self._evicted_settled_ns, record.settled_ns)

    def expire(self, now: int) -> None:
        """Drops settled purges from the front, each at the latest `retention_ns` after it was folded."""
        while self._records:
            key = next(iter(self._records))
            if self._records[key].settled_ns > now:
                return
            del self._records[key]
            self.settled += 1

    def incomplete_before(self, now: int) -> int:
        """Returns the number below which a watcher may lack an evicted, unsettled purge; 0 if none."""
        return self._evicted_number if now < self._evicted_settled_ns else 0

    @property
    def lowest_number(self) -> int:
        """The number of the oldest retained purge, or 0."""
        if not self._records:
            return 0
        return next(iter(self._records.values())).number

    def after(self, number: int) -> list[PurgeRecord]:
        """Returns the retained purges above `number`, in ascending order of numbers."""
        return [record for record in self._records.values() if record.number > number]
