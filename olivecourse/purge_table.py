"""A bounded table of the purges still in effect, with amortized constant work for each purge. No I/O, no
clock.
"""

from __future__ import annotations

from collections import OrderedDict

Key = str | int | None  # What was purged: an object, by its id, or a group of objects, by its number.
# A purge is settled once every store has dropped the copies made before it. A purge that was already settled
# when this gateway received it needs no check, and is kept only as a precaution, as long as the table has at
# most this many entries.
MAX_WITH_SETTLED = 16_384
# Maximum number of separate entries for purges that were not settled when received. Beyond it, the oldest are
# merged into one entry that applies to all objects. The limit covers 2,700 purges a second for 6 s and takes
# a few MB in each table.
MAX_UNSETTLED = 16_384
GROUPS = 256  # The number of groups that objects are divided into; a purge may name a whole group.


class PurgeTable:
    """Maps each purged object id or group number to its bound: the time from which copies are valid and the
    time until which the purge applies, both in nanoseconds. Copies made before the first time must not be
    used.

    When the table is full, entries are removed in this order, the oldest first: expired ones, those that were
    settled when they were received, and unsettled ones. Each removed unsettled entry is merged into one bound
    that applies to all objects, so that copies of objects that were not purged are filled again, but a purged
    copy is never served.
    """

    def __init__(
        self,
        min_retained: int = MAX_UNSETTLED,
        max_with_settled: int = MAX_WITH_SETTLED,
        max_unsettled: int = MAX_UNSETTLED,
    ) -> None:
        """`add` removes no expired entry while the table has at most `min_retained` entries. Above
        `max_with_settled` entries in all it removes one that was settled when received, and above
        `max_unsettled` unsettled entries it merges the oldest of these into the bound for all objects.
        """
        self._min_retained, self._max_with_settled, self._max_unsettled = (
            min_retained,
            max_with_settled,
            max_unsettled,
        )
        self._unsettled: OrderedDict[Key, tuple[int, int]] = OrderedDict()
        self._settled: OrderedDict[Key, tuple[int, int]] = OrderedDict()
        # The bound that applies to every object, made of the unsettled entries that the full table could not
        # keep; None if there is none or it has expired.
        self.global_bound: tuple[int, int] | None = None
        # The number of entries settled when received that were removed before they expired.
        self.settled_dropped = 0
        self.merged = 0  # The number of unsettled entries merged into `global_bound` before they expired.

    def __len__(self) -> int:
        return len(self._unsettled) + len(self._settled)

    def __contains__(self, key: Key) -> bool:
        return key in self._unsettled or key in self._settled

    def get(self, key: Key, default: tuple[int, int] = (0, 0)) -> tuple[int, int]:
        """Returns the bound (valid from, expires at) of an object or group, or `default` if the table has no
        entry for it. The bound for all objects is not considered.
        """
        return self._unsettled.get(key) or self._settled.get(key, default)

    def __getitem__(self, key: Key) -> tuple[int, int]:
        return self._unsettled[key] if key in self._unsettled else self._settled[key]

    def __setitem__(self, key: Key, bound: tuple[int, int]) -> None:
        """Stores the bound of an unsettled purge, replacing an older one. Unlike `add`, this keeps nothing of
        the older bound and enforces no limit.
        """
        self._settled.pop(key, None)
        self._unsettled[key] = bound
        self._unsettled.move_to_end(key)

    def items(self) -> list[tuple[Key, tuple[int, int]]]:
        """Returns every object id or group number with its bound. A bound for all objects is returned as one
        more entry for each group, as every object is in a group.
        """
        for_all_groups = (
            [] if self.global_bound is None else [(group, self.global_bound) for group in range(GROUPS)]
        )
        return [*self._settled.items(), *self._unsettled.items(), *for_all_groups]

    def find(self, object_id: str | None, group: int | None) -> list[int]:
        """Returns the times from which copies of the object are valid: those of its own purge, of its group's
        and of the bound for all objects, as far as there are any. A copy must be as recent as the latest.
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
        """Records that copies of the object or group made before `valid_from` must not be used, until the
        time `expires_at`. If it has an entry already, the later of both times is kept in each case.

        `settled` means that all stores had dropped the older copies before this gateway received the purge.
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
        """Removes expired entries, from the least recently added to the first that has not expired yet."""
        for entries in (self._settled, self._unsettled):
            while entries:
                key = next(iter(entries))
                if entries[key][1] > now:
                    break
                del entries[key]
        if self.global_bound is not None and self.global_bound[1] <= now:
            self.global_bound = None

    def _merge_oldest(self, now: int) -> None:
        """Removes the oldest unsettled entry, which belongs to one object or group, and extends the bound for
        all objects to cover it. The purge stays in effect, but now copies of every object made before it
        count as invalid. An entry that has expired is only removed.
        """
        _, (valid_from, expires_at) = self._unsettled.popitem(last=False)
        if expires_at <= now:
            return
        global_from, global_expires_at = self.global_bound or (0, 0)
        self.global_bound = max(valid_from, global_from), max(expires_at, global_expires_at)
        self.merged += 1
