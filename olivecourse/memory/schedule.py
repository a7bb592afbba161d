"""Decides when a snapshot of the Routers' state begins, and what is logged of a slow or failing disk.

Uses no clock or file.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

S = 1_000_000_000
MAX_BACKOFF = 16  # longest time between snapshots on a failing disk, in multiples of `interval_ns`
SLOW_NS = 1 * S  # a write of a snapshot that takes longer than this is logged


class Phase(Enum):
    """What is being done for a snapshot at present."""

    IDLE = "idle"  # no snapshot is being taken
    COLLECTING = "collecting"  # the event loop reads the state of the Routers
    WRITING = "writing"  # the writer thread writes the snapshot file


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A line for the operator's log: the event's name, and the reason for it, empty if there is none."""

    event: str
    why: str = ""


class Schedule:
    """Decides when snapshots begin, one at a time, each `interval_ns` after the end of the one before.

    Snapshots do not queue behind a slow write: the next one begins after the write has ended, with the state
    of that moment. From the second failure in succession on, each doubles the interval, up to MAX_BACKOFF
    times.
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
        """Whether a snapshot is due; if so, the phase becomes COLLECTING."""
        if self.phase is not Phase.IDLE or now < self._due:
            return False
        self.phase, self._phase_start = Phase.COLLECTING, now
        return True

    def collected(self, now: int) -> None:
        """Records that the Routers' state has been collected and that the write of the snapshot begins."""
        self.phase, self._phase_start = Phase.WRITING, now

    def check_slow(self, now: int) -> list[LogEntry]:
        """Returns a log line if the snapshot write in progress has taken longer than SLOW_NS so far.

        It is not repeated until a write has succeeded within SLOW_NS. May be called at any time.
        """
        if self.phase is Phase.WRITING and now - self._phase_start > SLOW_NS and not self._slow_logged:
            self._slow_logged = True
            return [
                LogEntry("memory_disk_slow", f"a write takes {(now - self._phase_start) / S:.1f} s so far")
            ]
        return []

    def ended(self, now: int, error: str | None) -> list[LogEntry]:
        """Records the end of a snapshot's write, with its error, or None if it succeeded.

        Returns a log line only for the first failure in succession and for the first success after failures.
        """
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
