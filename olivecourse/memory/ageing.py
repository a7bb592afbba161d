"""How the weight of remembered records decays: a half-life per kind, and an age at which records are dropped.

The weight of a record never rises with its age. Where the age is uncertain, the stricter reading applies:
restrictions (purges, cold budgets) count as if no time had passed, and records that only inform are dropped.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from olivecourse.memory.lessons import Stamp

S = 1_000_000_000
CLOCK_TOLERANCE_NS = 2 * S  # a snapshot this far in the future still counts as new: clocks are adjusted


class Kind(Enum):
    """Kinds of records, by their names in the operator's file."""

    PAIN = "pain"
    WAIT = "wait"
    LIMIT = "limit"
    TIMES = "times"
    FILLS = "fills"
    HOT = "hot"


@dataclass(frozen=True, slots=True)
class Decay:
    """Decay of one kind: the half-life of its weight, and the age at which a record is dropped."""

    half_life_ns: int
    drop_after_ns: int

    def weight(self, age_ns: int) -> float:
        """1 for a new record, halved with each half-life, and 0 from `drop_after_ns` on."""
        if age_ns >= self.drop_after_ns:
            return 0.0
        return float(0.5 ** (max(age_ns, 0) / self.half_life_ns))


# Initial values. While the Router runs, pain halves in 4 s because the Router can try the store again. While
# the gateway is down no store is tried, so the record holds for as long as observed faults last (6 to 28 s).
# Sending times hardly change within a day.
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
    """The operator's settings: the decay of each kind, and the least trust that records may leave a store."""

    decays: dict[Kind, Decay]
    trust_floor: float = 0.03

    def weight(self, kind: Kind, age_ns: int) -> float:
        """The weight of a record of `kind` at the age `age_ns`."""
        return self.decays[kind].weight(age_ns)


@dataclass(frozen=True, slots=True)
class Elapsed:
    """The time from a snapshot to now.

    `certain` is True if it was measured by a clock that nobody can set. `known` is False if the snapshot
    appears to be from the future: its informative records are then dropped, and its restrictions hold in
    full.
    """

    ns: int
    certain: bool
    known: bool = True

    @property
    def at_least_ns(self) -> int:
        """The time that has certainly passed; restrictions are eased by no more than this."""
        return self.ns if self.certain else 0


def elapsed(then: Stamp, now: Stamp) -> Elapsed:
    """The time between two stamps: by the time since boot within one boot, otherwise by the system clock."""
    if then.boot_id and then.boot_id == now.boot_id:
        passed = now.boot_ns - then.boot_ns
        return Elapsed(max(passed, 0), passed >= 0, passed >= 0)
    passed = now.unix_ns - then.unix_ns
    return Elapsed(max(passed, 0), False, passed >= -CLOCK_TOLERANCE_NS)
