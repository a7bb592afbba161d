"""The records of which a snapshot consists, as plain data classes.

All ages are in ns before the snapshot's stamp, so they do not depend on the clock of the process that reads
it. The command `memory export` and the handover to a succeeding process write the fields out under their
names.
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
    """What a Router knows of one run (from a start to the next) of one store, parent or origin.

    `cache` is the store's id, and `life` identifies the run by the store's address and start time. `pain` is
    the Router's error score, from 0 to 1, as of the store's last answer. The Router also lowers the score as
    time passes; that decay is no evidence about the store and is not included.
    """

    cache: int
    life: str
    pain: float = 0.0
    wait_ns: float | None = None  # mean time that a fill waits for this parent or origin; None before any
    limit: float = 0.0  # concurrency limit: attempts of one Router that may be in flight
    failing: bool = False  # the error score has passed the failure threshold and not recovered since
    # Sending time that the Router may still request from the store while it is cold (recently started); None
    # once it is warm.
    credit_ns: float | None = None
    pain_age_ns: int = 0  # age of the error score `pain` at the snapshot


@dataclass(frozen=True, slots=True)
class ClassRecord:
    """What a Router knows of a request class: mean sending time (ns) and the part of requests that may fill.

    A request fills when a store fetches the object for it from a parent or origin. `fill_part` may exceed 1.
    """

    name: str
    size_ns: float
    fill_part: float


@dataclass(frozen=True, slots=True)
class Interval:
    """One counting interval of a Router, which ended `age_ns` before the snapshot's stamp.

    `t` is the popularity threshold T that was chosen at its end: the load above which an object is assigned
    further stores.
    """

    age_ns: int
    counts: dict[str, float]  # load of each frequently requested object, by object name
    total: float  # load of all objects requested in the interval
    distinct: float  # estimated number of different objects requested in the interval
    arrivals: int  # number of requests counted in the interval
    t: float


@dataclass(frozen=True, slots=True)
class PurgeRecord:
    """A purge of an object (`key` is its name) or of a group of objects (`key` is its number).

    It was issued `age_ns` before the snapshot's stamp, and remains in force until `left_ns` after the stamp.
    """

    key: str | int
    age_ns: int
    left_ns: int


Record = StoreRecord | ClassRecord | Interval | PurgeRecord


@dataclass
class Snapshot:
    """Everything that a Router of `gateway`, or several merged Routers, had learned at the time `stamp`."""

    gateway: str
    stamp: Stamp
    density: float = 0.0  # mean worth of a request per ns of sending time
    stores: list[StoreRecord] = field(default_factory=list)
    classes: list[ClassRecord] = field(default_factory=list)
    intervals: list[Interval] = field(default_factory=list)
    purges: list[PurgeRecord] = field(default_factory=list)

    def add(self, records: list[Record]) -> None:
        """Adds each record to the list of its type: `stores`, `classes`, `intervals` or `purges`."""
        self.stores += [x for x in records if isinstance(x, StoreRecord)]
        self.classes += [x for x in records if isinstance(x, ClassRecord)]
        self.intervals += [x for x in records if isinstance(x, Interval)]
        self.purges += [x for x in records if isinstance(x, PurgeRecord)]
