"""Deadlines of many connections, each of which is moved often; without I/O.

Deadlines are grouped in time buckets. A postponed deadline stays in its bucket and moves only when that
bucket comes due, so that a poll needs no timer of its own (the lazy form of a hashed timing wheel: G.
Varghese and A. Lauck, "Hashed and Hierarchical Timing Wheels", 1987).
"""

from __future__ import annotations

from collections.abc import Callable

BUCKET_NS = 20_000_000  # how late a deadline may be met; no deadline here needs to be more precise


class Deadline:
    """A callback that is due at `due_ns`, or never if that is 0."""

    __slots__ = ("bucket", "call", "due_ns")

    def __init__(self, call: Callable[[int], object]) -> None:
        """`call` gets the time at which the deadline was found to have passed."""
        self.call = call
        self.due_ns = 0  # 0: never
        self.bucket = 0  # the earliest bucket that holds it; 0: none


class Deadlines:
    """All deadlines of a server; each is met up to BUCKET_NS late and never early."""

    def __init__(self, now: int) -> None:
        self._buckets: dict[int, list[Deadline]] = {}
        self._next = now // BUCKET_NS  # the first bucket that has not been processed

    def set(self, deadline: Deadline, due_ns: int) -> None:
        """Moves `deadline` to `due_ns`."""
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

        They come in the order of their buckets.
        """
        due: list[Deadline] = []
        last = now // BUCKET_NS
        while self._next <= last:
            bucket = self._next
            self._next = bucket + 1
            for deadline in self._buckets.pop(bucket, ()):
                # Skips a deadline that an earlier bucket holds, and one that has been cancelled.
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
