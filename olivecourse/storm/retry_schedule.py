"""Retry schedule: each refused request reserves a time slot in which its client is told to retry.

Time is divided into slots of SLOT_NS. Each slot has capacity for as many retries as can be served besides the
expected first tries. The retry time is drawn at random among the next slots with free capacity, so that
retries arrive evenly. If no slot within the longest wait is free, the retry is placed in the last part of the
longest wait and counted as overflow.
"""

from __future__ import annotations

import math
from collections.abc import Callable

MS = 1_000_000
SLOT_NS = 20 * MS  # length of a slot; retries that queue for up to 20 ms in a slot miss no latency target
OVERFLOW_PART = 0.5  # client retries without a free slot are spread over this last part of the longest wait
MIN_WAIT_NS = 20 * MS  # shortest wait told to a client, since zero would mean "retry at once"


class RetrySchedule:
    """Assigns to each refused request the time that its client is to wait before it retries.

    `max_wait_ns` is the longest wait that may be assigned. `uniform` returns random numbers from 0 to 1.
    """

    def __init__(self, max_wait_ns: int, uniform: Callable[[], float]) -> None:
        if max_wait_ns < MIN_WAIT_NS:
            raise ValueError("the longest wait is shorter than the least")
        self._max_wait_ns, self._uniform = max_wait_ns, uniform
        self._slots = max(max_wait_ns // SLOT_NS, 1)
        self._reserved = [0.0] * (self._slots + 1)
        self._first_slot = 0  # number of the slot (time // SLOT_NS) at index 0 of `_reserved`
        self._slot_capacity = 0.0
        self.overflowed = 0

    def set_capacity(self, per_s: float) -> None:
        """Sets the client retries a second that can be served besides first tries; negative counts as 0."""
        self._slot_capacity = max(per_s, 0.0) * SLOT_NS / 1e9

    def _advance(self, now: int) -> None:
        passed = now // SLOT_NS - self._first_slot
        if passed > 0:
            rest = self._reserved[min(passed, len(self._reserved)) :]
            self._reserved = rest + [0.0] * (len(self._reserved) - len(rest))
            self._first_slot += passed

    def reservations(self, now: int) -> list[float]:
        """Returns the client retries reserved in each slot of 20 ms, from the slot that contains `now` on."""
        self._advance(now)
        return list(self._reserved)

    @property
    def slot_capacity(self) -> float:
        """Number of client retries that one slot of 20 ms can take without overflow; may be below 1."""
        return self._slot_capacity

    def reserve(self, now: int) -> int:
        """Reserves a slot for a refused request's retry and returns the wait to tell the client, in ns.

        The wait is from MIN_WAIT_NS to `max_wait_ns`.
        """
        self._advance(now)
        free = [i for i in range(1, self._slots + 1) if self._reserved[i] + 1 <= self._slot_capacity]
        if not free and self._slot_capacity > 0:  # capacity below one per slot: one retry in every n-th slot
            spacing = math.ceil(1 / self._slot_capacity)
            free = [
                i
                for i in range(1, self._slots + 1)
                if not sum(self._reserved[max(i - spacing + 1, 0) : i + spacing])
            ]
        if free:
            # Draws among the earlier half of the free slots, so that clients do not wait unnecessarily.
            slot = free[int(self._uniform() * max(len(free) // 2, 1))]
        else:
            self.overflowed += 1
            span = max(int(self._slots * OVERFLOW_PART), 1)
            slot = self._slots - int(self._uniform() * span)
        self._reserved[slot] += 1
        retry_at = (self._first_slot + slot) * SLOT_NS + int(self._uniform() * SLOT_NS)
        return min(max(retry_at - now, MIN_WAIT_NS), self._max_wait_ns)
