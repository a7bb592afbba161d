"""When a snapshot is begun, and how a slow or failing disk is handled; uses no clock and no file."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

S = 1_000_000_000
MAX_BACKOFF = 16  # longest time between attempts on a failing disk, in multiples of the interval
SLOW_NS = 1 * S  # a write that takes longer than this is logged once


class Phase(Enum):
    """Phase of the current snapshot."""

    IDLE = "idle"
    COLLECTING = "collecting"
    WRITING = "writing"


@dataclass(frozen=True, slots=True)
class LogEntry:
    """An event to log for the operator, and its reason."""

    event: str
    why: str = ""


class Schedule:
    """Runs one snapshot at a time.

    Snapshots do not queue behind a write: the next one begins after the write has ended, with the state of
    that moment.
    """

    def __init__(self, interval_ns: int, now: int) -> None:
        self._interval = interval_ns
        self._due = now + interval_ns
        self._phase_start = now
        self.phase = Phase.IDLE
        self.failures = 0
        self._slow_logged = False
        self.written = 0

    def begins(self, now: int) -> bool:
        """Begins a snapshot if one is due; returns whether it has begun."""
        if self.phase is not Phase.IDLE or now < self._due:
            return False
        self.phase, self._phase_start = Phase.COLLECTING, now
        return True

    def collected(self, now: int) -> None:
        """Records that the state is collected and that the write begins."""
        self.phase, self._phase_start = Phase.WRITING, now

    def check_slow(self, now: int) -> list[LogEntry]:
        """Reports, once, a write that is taking long; may be called at any time."""
        if self.phase is Phase.WRITING and now - self._phase_start > SLOW_NS and not self._slow_logged:
            self._slow_logged = True
            return [
                LogEntry("memory_disk_slow", f"a write takes {(now - self._phase_start) / S:.1f} s so far")
            ]
        return []

    def ended(self, now: int, error: str | None) -> list[LogEntry]:
        """Records the end of a write, with its error if it failed. Only a change of state is reported."""
        self.phase = Phase.IDLE
        if error is None:
            entries = [LogEntry("memory_writes_again")] if self.failures else []
            self._slow_logged = self._slow_logged and now - self._phase_start > SLOW_NS
            self.failures, self._due = 0, now + self._interval
            self.written += 1
            return entries
        self.failures += 1
        self._due = now + self._interval * min(2 ** (self.failures - 1), MAX_BACKOFF)
        return [LogEntry("memory_write_failed", error)] if self.failures == 1 else []
