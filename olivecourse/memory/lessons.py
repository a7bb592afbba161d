"""The records of a snapshot, without any logic.

All ages are relative to the snapshot's stamp, in nanoseconds, so they do not depend on the reader's clock.
`memory export` and the handover to a succeeding process write the fields out under their names.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Stamp:
    """A moment by two clocks: the system clock, which can be set, and the machine's time since boot.

    The time since boot cannot be set, but it is valid only until the next boot, which changes `boot_id`.
    """

    unix_ns: int
    boot_id: str = ""
    boot_ns: int = 0


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """What is known of one run of one store, parent or origin.

    `life` identifies the run by the store's address and start time. `pain` is the Router's error score,
    from 0 to 1, as of the store's last answer. The Router also lowers the score as time passes; that decay is
    no evidence about the store and is not included.
    """

    cache: int
    life: str
    pain: float = 0.0
    wait_ns: float | None = None
    limit: float = 0.0
    failing: bool = False
    credit_ns: float | None = None  # unspent part of the cold budget; None once the store is warm
    pain_age_ns: int = 0


@dataclass(frozen=True, slots=True)
class ClassRecord:
    """What is known of a request class: its mean sending time and the part of its requests that may fill."""

    name: str
    size_ns: float
    fill_part: float


@dataclass(frozen=True, slots=True)
class Interval:
    """A counting interval that ended `age_ns` before the stamp, with its counts and the threshold `t`."""

    age_ns: int
    counts: dict[str, float]
    total: float
    distinct: float
    arrivals: int
    t: float


@dataclass(frozen=True, slots=True)
class PurgeRecord:
    """A purge of an object (a string key) or of a group (an integer key)."""

    key: str | int
    age_ns: int
    left_ns: int


Record = StoreRecord | ClassRecord | Interval | PurgeRecord


@dataclass
class Snapshot:
    """Everything that one Router had learned at `stamp`."""

    gateway: str
    stamp: Stamp
    density: float = 0.0
    stores: list[StoreRecord] = field(default_factory=list)
    classes: list[ClassRecord] = field(default_factory=list)
    intervals: list[Interval] = field(default_factory=list)
    purges: list[PurgeRecord] = field(default_factory=list)

    def file(self, records: list[Record]) -> None:
        """Adds each record to the list of its type."""
        self.stores += [x for x in records if isinstance(x, StoreRecord)]
        self.classes += [x for x in records if isinstance(x, ClassRecord)]
        self.intervals += [x for x in records if isinstance(x, Interval)]
        self.purges += [x for x in records if isinstance(x, PurgeRecord)]
