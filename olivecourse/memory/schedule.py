"""When a snapshot is begun and what a slow or broken disk changes: decisions, no clock and no file."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

S = 1_000_000_000
MOST_BACKOFF = 16  # times the interval between tries on a disk that fails
SLOW_NS = 1 * S  # a write that takes longer is told of, once


class Phase(Enum):
    IDLE = "idle"
    COLLECTING = "collecting"
    WRITING = "writing"


@dataclass(frozen=True, slots=True)
class News:
    """What an operator is to hear: a name for the log and why."""

    event: str
    why: str = ""


class Schedule:
    """One snapshot at a time. A write under way is never followed by a queue of others: the next one is
    begun when it has ended, and holds what is known then."""

    def __init__(self, interval_ns: int, now: int) -> None:
        self._interval = interval_ns
        self._due = now + interval_ns
        self._since = now
        self.phase = Phase.IDLE
        self.failures = 0
        self._told_slow = False
        self.written = 0

    def begins(self, now: int) -> bool:
        """Whether a snapshot is to be begun now."""
        if self.phase is not Phase.IDLE or now < self._due:
            return False
        self.phase, self._since = Phase.COLLECTING, now
        return True

    def collected(self, now: int) -> None:
        self.phase, self._since = Phase.WRITING, now

    def looked(self, now: int) -> list[News]:
        """At any time: a write that hangs is told of while it hangs."""
        if self.phase is Phase.WRITING and now - self._since > SLOW_NS and not self._told_slow:
            self._told_slow = True
            return [News("memory_disk_slow", f"a write takes {(now - self._since) / S:.1f} s so far")]
        return []

    def ended(self, now: int, fault: str | None) -> list[News]:
        """A write came to its end, with a fault or without. Only changes are told."""
        self.phase = Phase.IDLE
        if fault is None:
            news = [News("memory_writes_again")] if self.failures else []
            self._told_slow = self._told_slow and now - self._since > SLOW_NS
            self.failures, self._due = 0, now + self._interval
            self.written += 1
            return news
        self.failures += 1
        self._due = now + self._interval * min(2 ** (self.failures - 1), MOST_BACKOFF)
        return [News("memory_write_failed", fault)] if self.failures == 1 else []
