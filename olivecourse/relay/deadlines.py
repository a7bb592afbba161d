"""Deadlines of many connections, where each deadline is moved often; without I/O.

Deadlines are grouped in time buckets of 20 ms. A postponed deadline stays in its bucket and is moved to a
later one only when that bucket comes due, so that a poll needs no timer of its own in the event loop (the
lazy form of a hashed timing wheel: G. Varghese and A. Lauck, "Hashed and Hierarchical Timing Wheels", 1987).
"""

from __future__ import annotations

from collections.abc import Callable

BUCKET_NS = 20_000_000  # width of a time bucket; a deadline may be met this late, which is exact enough


class Deadline:
    """A callback to be run at the time `due_ns` in nanoseconds, or never if that is 0.

    `Deadlines.set` schedules it.
    """

    __slots__ = ("bucket", "call", "due_ns")

    def __init__(self, call: Callable[[int], object]) -> None:
        """`call` is the callback; its argument is the current time in nanoseconds."""
        self.call = call
        self.due_ns = 0  # 0: not scheduled, or cancelled
        self.bucket = 0  # index (time // BUCKET_NS) of the earliest bucket that lists this object; 0: none


class Deadlines:
    """All deadlines of a server; each is found due up to BUCKET_NS late and never early."""

    def __init__(self, now: int) -> None:
        self._buckets: dict[int, list[Deadline]] = {}
        self._next = now // BUCKET_NS  # index of the first bucket that `take_due` has not processed

    def set(self, deadline: Deadline, due_ns: int) -> None:
        """Schedules `deadline` for the time `due_ns`, in place of any earlier schedule."""
        deadline.due_ns = due_ns
        bucket = max(due_ns // BUCKET_NS + 1, self._next)
        if deadline.bucket and deadline.bucket <= bucket:
            return
        self._insert(deadline, bucket)

    def _insert(self, deadline: Deadline, bucket: int) -> None:
        deadline.bucket = bucket
        entries = self._buckets.get(bucket)
        if entries is None:
            self._buckets[bucket] = [deadline]
        else:
            entries.append(deadline)

    def take_due(self, now: int) -> list[Deadline]:
        """Removes and returns the deadlines that have passed by `now`, for the caller to run.

        They are ordered by bucket, not by time within a bucket.
        """
        due: list[Deadline] = []
        last = now // BUCKET_NS
        while self._next <= last:
            bucket = self._next
            self._next = bucket + 1
            for deadline in self._buckets.pop(bucket, ()):
                # Skips the stale entry of a deadline that was moved to another bucket, and a cancelled one.
                if deadline.bucket != bucket or not deadline.due_ns:
                    if deadline.bucket == bucket:
                        deadline.bucket = 0
                    continue
                deadline.bucket = 0
                if deadline.due_ns <= now:
                    due.append(deadline)
                else:
                    self._insert(deadline, deadline.due_ns // BUCKET_NS + 1)
        return due
