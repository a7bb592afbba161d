"""The purges that still bind: constant work for each, and a bounded number of them. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict

Key = str | int | None  # an object or a group
# A purge that had settled before it was told needs no guard: it is kept, out of caution, among so many.
MAX_WITH_SETTLED = 16_384
# Unsettled ones beyond this are folded into one bound: 2,700 purges a second for 6 s, a few MB in each table.
MAX_UNSETTLED = 16_384
GROUPS = 256  # groups of objects that there are


class PurgeTable:
    """By object or group: from when on copies are good, and until when that binds, both in ns.

    The oldest leave first: those that bind no more, then those that settled before they were told, and then
    unsettled ones, each folded into one bound for every object. A fold costs fills and never serves a
    purged copy.
    """

    def __init__(
        self,
        keep: int = MAX_UNSETTLED,
        max_with_settled: int = MAX_WITH_SETTLED,
        max_unsettled: int = MAX_UNSETTLED,
    ) -> None:
        """Among up to `keep` entries none leaves by `add`, however old it is."""
        self._keep, self._max_with_settled, self._max_unsettled = keep, max_with_settled, max_unsettled
        self._unsettled: OrderedDict[Key, tuple[int, int]] = OrderedDict()
        self._settled: OrderedDict[Key, tuple[int, int]] = OrderedDict()
        self.floor: tuple[int, int] | None = None  # the bound for every object, where there is one
        self.settled_dropped = 0  # left early, having settled before they were told
        self.folded = 0  # left early and unsettled: the floor has them

    def __len__(self) -> int:
        return len(self._unsettled) + len(self._settled)

    def __contains__(self, key: Key) -> bool:
        return key in self._unsettled or key in self._settled

    def get(self, key: Key, default: tuple[int, int] = (0, 0)) -> tuple[int, int]:
        return self._unsettled.get(key) or self._settled.get(key, default)

    def __getitem__(self, key: Key) -> tuple[int, int]:
        return self._unsettled[key] if key in self._unsettled else self._settled[key]

    def __setitem__(self, key: Key, bound: tuple[int, int]) -> None:
        """Takes an unsettled bound as it is; `add` also keeps the limits."""
        self._settled.pop(key, None)
        self._unsettled[key] = bound
        self._unsettled.move_to_end(key)

    def items(self) -> list[tuple[Key, tuple[int, int]]]:
        """Every entry; a bound for every object is given as one of each group."""
        every = [] if self.floor is None else [(group, self.floor) for group in range(GROUPS)]
        return [*self._settled.items(), *self._unsettled.items(), *every]

    def find(self, object_id: str | None, group: int | None) -> list[int]:
        """From when on copies of an object in a group are good, by each entry that binds it."""
        found = []
        for key in (object_id, group):
            bound = self._unsettled.get(key) or self._settled.get(key)
            if bound is not None:
                found.append(bound[0])
        if self.floor is not None:
            found.append(self.floor[0])
        return found

    def add(self, key: Key, at: int, until: int, now: int, settled: bool = False) -> None:
        """Copies from before `at` are void, and that binds until `until`; a later bound is not forgotten.

        `settled`: stores had dropped all older copies before this was told.
        """
        known_at, known_until = self.get(key)
        bound = max(at, known_at), max(until, known_until)
        if settled and key not in self._unsettled:
            self._settled[key] = bound
            self._settled.move_to_end(key)
        else:
            self[key] = bound
        if len(self) > self._keep:
            self.expire(now)
        if len(self) > self._max_with_settled and self._settled:
            self._settled.popitem(last=False)
            self.settled_dropped += 1
        if len(self._unsettled) > self._max_unsettled:
            self._fold(now)

    def expire(self, now: int) -> None:
        """Lets go of what binds no more, from the oldest on."""
        for held in (self._settled, self._unsettled):
            while held:
                key = next(iter(held))
                if held[key][1] > now:
                    break
                del held[key]
        if self.floor is not None and self.floor[1] <= now:
            self.floor = None

    def _fold(self, now: int) -> None:
        _, (at, until) = self._unsettled.popitem(last=False)
        if until <= now:
            return
        floor_at, floor_until = self.floor or (0, 0)
        self.floor = max(at, floor_at), max(until, floor_until)
        self.folded += 1
