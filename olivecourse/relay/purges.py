"""The newest purge of each key for as long as some store may still hold an older copy."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from olivecourse.relay.events import Purge, PurgeKey

MS = 1_000_000  # nanoseconds


@dataclass
class PurgeRecord:
    """One purge that is kept: its event's number, its moment, when it is settled, and its event encoded."""

    number: int
    made_ms: int
    settled_ns: int
    encoded: bytes


class UnsettledPurges:
    """Purges by key, in ascending numbers of their events.

    A purge is settled `retention_ns` after it was made or was folded here, whichever was first: it was made
    before it came, unless clocks differ, and then the moment of folding bounds how long it is kept.

    Objects and groups are different keys. A relay does not know which objects are in a group, so a group's
    purge replaces no object's and the reverse.

    When more than `most_purges` are unsettled the oldest is evicted, and `incomplete_before` tells from then
    on, until it is settled, below which number a watcher can't be told all that it missed. To refuse new ones
    instead would make them late for every watcher; this way only those far behind bear it, and are told so.
    """

    def __init__(self, retention_ns: int, most_purges: int) -> None:
        self._retention_ns = retention_ns
        self._most_purges = most_purges
        self._records: OrderedDict[PurgeKey, PurgeRecord] = OrderedDict()
        self._evicted_number = 0
        self._evicted_settled_ns = 0
        self.superseded = 0  # folded: another purge of the key is as new or newer
        self.settled = 0  # dropped, as nothing older can be left anywhere
        self.evicted = 0  # dropped before they were settled

    def __len__(self) -> int:
        return len(self._records)

    def fold(self, number: int, purge: Purge, encoded: bytes, now: int) -> None:
        """Takes one purge in, at the Unix time `now` in nanoseconds; numbers must ascend."""
        settled_ns = min(now, purge.made_ms * MS) + self._retention_ns
        if settled_ns <= now:
            self.settled += 1
            return
        known = self._records.get(purge.key)
        if known is not None:
            self.superseded += 1
            if known.made_ms > purge.made_ms:  # told later and made earlier: the known one covers it
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
        """Drops settled purges from the front: each `retention_ns` after its folding, at the latest."""
        while self._records:
            key = next(iter(self._records))
            if self._records[key].settled_ns > now:
                return
            del self._records[key]
            self.settled += 1

    def incomplete_before(self, now: int) -> int:
        """A watcher below this number may lack a purge that was evicted unsettled; 0 if there is none."""
        return self._evicted_number if now < self._evicted_settled_ns else 0

    @property
    def lowest_number(self) -> int:
        """The number of the oldest purge that is kept, or 0."""
        if not self._records:
            return 0
        return next(iter(self._records.values())).number

    def after(self, number: int) -> list[PurgeRecord]:
        """Those above `number`, in ascending numbers."""
        return [record for record in self._records.values() if record.number > number]
