"""A bounded table of the purges still in effect, with constant work for each purge. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict

Key = str | int | None  # An object id or a group number.
# A purge is settled once every store has dropped the older copies; one that was settled before it was
# received needs no check. Up to this many entries it is kept as a precaution.
MAX_WITH_SETTLED = 16_384
# Unsettled purges beyond this are merged into one bound for all objects. The limit covers 2,700 purges a
# second for 6 s and takes a few MB in each table.
MAX_UNSETTLED = 16_384
GROUPS = 256  # The number of object groups.


class PurgeTable:
    """For each purged object or group, the time from which copies are valid and the time until which the
    purge applies, both in nanoseconds.

    The oldest entries are evicted first: expired ones, then those that were settled when they were received,
    and then unsettled ones, each of which is merged into one bound for all objects. Merging causes additional
    fills, but never lets a purged copy be served.
    """

    def __init__(
        self,
        min_retained: int = MAX_UNSETTLED,
        max_with_settled: int = MAX_WITH_SETTLED,
        max_unsettled: int = MAX_UNSETTLED,
    ) -> None:
        """`add` evicts no entry, not even an expired one, while the table has at most
        `min_retained` entries.
        """
        self._min_retained, self._max_with_settled, self._max_unsettled = (
            min_retained,
            max_with_settled,
            max_unsettled,
        )
        self._unsettled: OrderedDict[Key, tuple[int, int]] = OrderedDict()
        self._settled: OrderedDict[Key, tuple[int, int]] = OrderedDict()
        # The bound for all objects, or None if there is none.
        self.global_bound: tuple[int, int] | None = None
        self.settled_dropped = 0  # The number of entries evicted early that were settled when received.
        self.merged = 0  # The number of unsettled entries evicted early and merged into `global_bound`.

    def __len__(self) -> int:
        return len(self._unsettled) + len(self._settled)

    def __contains__(self, key: Key) -> bool:
        return key in self._unsettled or key in self._settled

    def get(self, key: Key, default: tuple[int, int] = (0, 0)) -> tuple[int, int]:
        """Returns the bound of an object or group, or `default` if it has none."""
        return self._unsettled.get(key) or self._settled.get(key, default)

    def __getitem__(self, key: Key) -> tuple[int, int]:
        return self._unsettled[key] if key in self._unsettled else self._settled[key]

    def __setitem__(self, key: Key, bound: tuple[int, int]) -> None:
        """Stores an unsettled bound as given. `add` also merges bounds and enforces the limits."""
        self._settled.pop(key, None)
        self._unsettled[key] = bound
        self._unsettled.move_to_end(key)

    def items(self) -> list[tuple[Key, tuple[int, int]]]:
        """Returns every entry. A bound for all objects is returned as one entry for each group."""
        for_all_groups = (
            [] if self.global_bound is None else [(group, self.global_bound) for group in range(GROUPS)]
        )
        return [*self._settled.items(), *self._unsettled.items(), *for_all_groups]

    def find(self, object_id: str | None, group: int | None) -> list[int]:
        """Returns the times from which copies of an object in a group are valid, one for each entry that
        applies.
        """
        bounds = []
        for key in (object_id, group):
            bound = self._unsettled.get(key) or self._settled.get(key)
            if bound is not None:
                bounds.append(bound[0])
        if self.global_bound is not None:
            bounds.append(self.global_bound[0])
        return bounds

    def add(self, key: Key, valid_from: int, expires_at: int, now: int, settled: bool = False) -> None:
        """Invalidates copies made before `valid_from`, until the time `expires_at`. An existing later bound
        is kept.

        `settled` means that stores had dropped all older copies before this purge was received.
        """
        known_from, known_expires_at = self.get(key)
        bound = max(valid_from, known_from), max(expires_at, known_expires_at)
        if settled and key not in self._unsettled:
            self._settled[key] = bound
            self._settled.move_to_end(key)
        else:
            self[key] = bound
        if len(self) > self._min_retained:
            self.expire(now)
        if len(self) > self._max_with_settled and self._settled:
            self._settled.popitem(last=False)
            self.settled_dropped += 1
        if len(self._unsettled) > self._max_unsettled:
            self._merge_oldest(now)

    def expire(self, now: int) -> None:
        """Removes expired entries, starting with the oldest."""
        for entries in (self._settled, self._unsettled):
            while entries:
                key = next(iter(entries))
                if entries[key][1] > now:
                    break
                del entries[key]
        if self.global_bound is not None and self.global_bound[1] <= now:
            self.global_bound = None

    def _merge_oldest(self, now: int) -> None:
        """Merges the oldest unsettled entry into the bound for all objects."""
        _, (valid_from, expires_at) = self._unsettled.popitem(last=False)
        if expires_at <= now:
            return
        global_from, global_expires_at = self.global_bound or (0, 0)
        self.global_bound = max(valid_from, global_from), max(expires_at, global_expires_at)
        self.merged += 1
