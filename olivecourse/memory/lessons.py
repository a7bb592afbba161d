"""What is remembered: records, no decisions. All ages count back from the snapshot's stamp, in nanoseconds,
so that a snapshot means the same whatever clock reads it."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Stamp:
    """A moment by two clocks: the system's, which can be set, and the time since the machine's start, which
    cannot but means nothing after the next start."""

    unix_ns: int
    boot_id: str = ""
    boot_ns: int = 0


@dataclass(frozen=True, slots=True)
class StoreLesson:
    """One life of one store, parent or origin. `life` is its address and start; `pain` is 0 to 1, as the last
    answer left it: the module then forgives it by time, which says nothing of the store."""

    cache: int
    life: str
    pain: float = 0.0
    wait_ns: float | None = None
    limit: float = 0.0
    failing: bool = False
    credit_ns: float | None = None  # of the cold budget, unspent; None once the store is warm
    pain_age_ns: int = 0


@dataclass(frozen=True, slots=True)
class ClassLesson:
    name: str
    size_ns: float
    fill_part: float


@dataclass(frozen=True, slots=True)
class Interval:
    """A counting interval that ended `age_ns` before the stamp, and what it led to."""

    age_ns: int
    counts: dict[str, float]
    total: float
    distinct: float
    arrivals: int
    t: float


@dataclass(frozen=True, slots=True)
class PurgeLesson:
    """A purge of an object (a text) or of a group (a number)."""

    key: str | int
    age_ns: int
    left_ns: int


Lesson = StoreLesson | ClassLesson | Interval | PurgeLesson


@dataclass
class Snapshot:
    """All that one Router had learned at `stamp`."""

    gateway: str
    stamp: Stamp
    density: float = 0.0
    stores: list[StoreLesson] = field(default_factory=list)
    classes: list[ClassLesson] = field(default_factory=list)
    intervals: list[Interval] = field(default_factory=list)
    purges: list[PurgeLesson] = field(default_factory=list)

    def file(self, lessons: list[Lesson]) -> None:
        """Puts each lesson where it belongs."""
        self.stores += [x for x in lessons if isinstance(x, StoreLesson)]
        self.classes += [x for x in lessons if isinstance(x, ClassLesson)]
        self.intervals += [x for x in lessons if isinstance(x, Interval)]
        self.purges += [x for x in lessons if isinstance(x, PurgeLesson)]
