"""How much a restored record counts by its age: a weight from 1 to 0 that halves with each half-life.

Each kind of record has a half-life, and an age from which it is dropped. The weight never rises with the age.
Where the time since the snapshot is uncertain, restrictions (purges, and the sending time left to stores
whose cache is cold) count as if no time had passed. If the snapshot appears to be from the future, the weight
of all other records is 0.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from olivecourse.memory.records import Stamp

S = 1_000_000_000
CLOCK_TOLERANCE_NS = 2 * S  # a snapshot dated up to 2 s in the future counts as new: clocks get adjusted


class Kind(Enum):
    """Kinds of saved values whose weight falls with their age, by their names in the operator's file."""

    PAIN = "pain"  # a store's error score, from 0 to 1
    WAIT = "wait"  # mean time that a fill waits for a parent or origin
    LIMIT = "limit"  # a store's concurrency limit: attempts of one Router that may be in flight
    TIMES = "times"  # mean sending time of a request class, and mean worth per sending time
    FILLS = "fills"  # part of a request class's requests that may fill (fetch from a parent or origin)
    HOT = "hot"  # load counts of frequently requested objects


@dataclass(frozen=True, slots=True)
class Decay:
    """Decay of one kind of saved value: the half-life of its weight, and the age from which it is dropped.

    The weight, from 1 to 0, is how much the saved value counts in a restore.
    """

    half_life_ns: int
    drop_after_ns: int

    def weight(self, age_ns: int) -> float:
        """The weight of a saved value at an age: 1 if new, halved each half-life, 0 from `drop_after_ns`."""
        if age_ns >= self.drop_after_ns:
            return 0.0
        return float(0.5 ** (max(age_ns, 0) / self.half_life_ns))


# Default half-life of each kind of saved value, and the age from which it is dropped. While the Router runs,
# a store's error score (`pain`) halves in 4 s, because the Router can try the store again. While the gateway
# is down no store is tried, so the saved score has a half-life of 30 s: observed faults last 6 to 28 s. Mean
# sending times hardly change within a day.
DEFAULTS: dict[Kind, Decay] = {
    Kind.PAIN: Decay(30 * S, 300 * S),
    Kind.WAIT: Decay(60 * S, 600 * S),
    Kind.LIMIT: Decay(60 * S, 600 * S),
    Kind.TIMES: Decay(3600 * S, 86_400 * S),
    Kind.FILLS: Decay(10 * S, 60 * S),
    Kind.HOT: Decay(20 * S, 120 * S),
}


@dataclass(frozen=True, slots=True)
class Policy:
    """The operator's settings: how each kind of record decays, and the least trust after a restore.

    Trust is the share (0 to 1) of its normal traffic that the Router sends to a store. A restored error score
    does not lower it below `trust_floor`, next to a healthy store.
    """

    decays: dict[Kind, Decay]
    trust_floor: float = 0.03

    def weight(self, kind: Kind, age_ns: int) -> float:
        """How much, from 0 to 1, a saved value of `kind` counts in a restore at the age `age_ns`."""
        return self.decays[kind].weight(age_ns)


@dataclass(frozen=True, slots=True)
class Elapsed:
    """The time that has passed since a snapshot, as `elapsed` measured it.

    `certain` is True if it was measured by the time since boot, which nobody can set. `known` is False if the
    snapshot appears to be from the future: its restrictions (purges, and the sending time left to stores
    whose cache is cold) then hold as if no time had passed, and all other records are dropped.
    """

    ns: int
    certain: bool
    known: bool = True

    @property
    def at_least_ns(self) -> int:
        """The time surely passed, by which restored purges are shortened: `ns` if `certain`, otherwise 0."""
        return self.ns if self.certain else 0


def elapsed(then: Stamp, now: Stamp) -> Elapsed:
    """The time from `then` to `now`: by the time since boot within one boot, else by the system clock."""
    if then.boot_id and then.boot_id == now.boot_id:
        passed = now.boot_ns - then.boot_ns
        return Elapsed(max(passed, 0), passed >= 0, passed >= 0)
    passed = now.unix_ns - then.unix_ns
    return Elapsed(max(passed, 0), False, passed >= -CLOCK_TOLERANCE_NS)
