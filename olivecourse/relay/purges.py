"""The newest purge of each object and group of objects, from events that a relay has dropped from its log.

A purge is retained as long as a store may still hold an older copy of the object.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from olivecourse.relay.events import Purge, PurgeKey

MS = 1_000_000  # nanoseconds per millisecond


@dataclass
class PurgeRecord:
    """A retained purge: its event number, the Unix times at which it was issued (milliseconds) and is dropped
    as settled (nanoseconds), and the JSON encoding of its event.
    """

    number: int
    made_ms: int
    settled_ns: int
    encoded: bytes


class UnsettledPurges:
    """The newest purge of each object or group, by its key, in the ascending order of event numbers.

    A purge is settled once no store can hold an older copy of the object: `retention_ns` after it was issued
    or was folded here, whichever came first. A purge is issued before it is folded unless clocks differ; in
    that case the time of folding bounds the retention.

    Objects and groups have different keys. A relay does not know which objects belong to a group, so the
    purge of a group does not replace that of an object, nor the reverse.

    When more than `most_purges` are unsettled, the oldest is evicted. From then until it would have settled,
    `incomplete_before` returns the event number below which a watcher can't get all events that it missed.
    Refusing new purges instead would delay them for every watcher; eviction affects only watchers whose
    number is below that of the evicted purge, and they get an error.
    """

    def __init__(self, retention_ns: int, most_purges: int) -> None:
        self._retention_ns = retention_ns
        self._most_purges = most_purges
        self._records: OrderedDict[PurgeKey, PurgeRecord] = OrderedDict()
        self._evicted_number = 0
        self._evicted_settled_ns = 0
        self.superseded = 0  # counts purges dropped because another of their key is as new or newer
        self.settled = 0  # counts purges dropped because no store can hold an older copy any more
        self.evicted = 0  # counts purges dropped before they had settled, because of `most_purges`

    def __len__(self) -> int:
        return len(self._records)

    def fold(self, number: int, purge: Purge, encoded: bytes, now: int) -> None:
        """Adds the purge of event `number`, unless it has settled or a newer one of its key is known.

        `encoded` is the JSON of its event, `now` the Unix time in nanoseconds. Each call's `number` must be
        above those of earlier calls.
        """
        settled_ns = min(now, purge.made_ms * MS) + self._retention_ns
        if settled_ns <= now:
            self.settled += 1
            return
        known = self._records.get(purge.key)
        if known is not None:
            self.superseded += 1
            if known.made_ms > purge.made_ms:  # the known purge was issued later and so includes this one
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
        """Drops settled purges, from the lowest event number to the first unsettled one.

        A settled purge behind that one stays longer, but at most `retention_ns` from when it was folded.
        """
        while self._records:
            key = next(iter(self._records))
            if self._records[key].settled_ns > now:
                return
            del self._records[key]
            self.settled += 1

    def incomplete_before(self, now: int) -> int:
        """Returns the number of the newest evicted purge's event while an evicted purge is unsettled, else 0.

        A watcher that holds a lower event number may have missed an evicted purge.
        """
        return self._evicted_number if now < self._evicted_settled_ns else 0

    @property
    def lowest_number(self) -> int:
        """The lowest event number among the retained purges, or 0 if there are none."""
        if not self._records:
            return 0
        return next(iter(self._records.values())).number

    def after(self, number: int) -> list[PurgeRecord]:
        """Returns the retained purges whose event number is above `number`, in ascending order of numbers."""
        return [record for record in self._records.values() if record.number > number]
