"""Admission control during a retry storm.

Two limiters compute from measured waiting times how many requests may be open at once. The admission
controller rejects at once each request that cannot meet its deadline or whose worth is too low for its cost.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

MS = 1_000_000
MIN_LIMIT, MAX_LIMIT = 4.0, 4096.0  # bounds of every limit, in open requests


class Limiter(Protocol):
    """Computes the number of requests that may be open at once (`limit`).

    `sample` reports a request that has ended: its waiting time beyond its own work, the number of requests
    that were open when it began, and whether it was lost to overload.
    """

    limit: float

    def sample(self, waited_ns: float, in_flight: int, lost: bool, now: int) -> None: ...


class Aimd:
    """Additive increase, multiplicative decrease (Chiu and Jain 1989) with a target for the waiting time."""

    DECREASE = 0.9
    DECREASE_INTERVAL_NS = 100 * MS  # one congestion causes one decrease: concurrent requests end together

    def __init__(self, target_ns: float, start: float = 32.0) -> None:
        self._target, self.limit, self._decreased_at = target_ns, start, -self.DECREASE_INTERVAL_NS

    def sample(self, waited_ns: float, in_flight: int, lost: bool, now: int) -> None:
        """Lowers the limit if a request was lost or waited beyond the target, and raises it otherwise."""
        if lost or waited_ns > self._target:
            if now - self._decreased_at >= self.DECREASE_INTERVAL_NS:
                self._decreased_at = now
                self.limit = max(self.limit * self.DECREASE, MIN_LIMIT)
        elif in_flight >= self.limit / 2:  # below half of the limit, the limit did not restrict the load
            self.limit = min(self.limit + 1 / self.limit, MAX_LIMIT)


class Gradient:
    """Limits by the ratio of the minimum waiting time to the recent one (TCP Vegas, Brakmo 1994).

    The limiter needs no target and settles where a small queue stands. Every PROBE_INTERVAL samples it halves
    the limit and measures the minimum waiting time again: a baseline that only followed the recent waiting
    times would take a lasting congestion for the normal state.
    """

    RECENT_WEIGHT = 0.1  # weight of one sample in the recent waiting time
    LIMIT_WEIGHT = 0.05  # weight of one sample in the limit
    PROBE_INTERVAL, PROBE_SAMPLES = 1000, 50  # samples between two probes, and samples that a probe takes
    TOLERANCE = 2.0  # a recent wait of up to this many times the baseline counts as random variation

    def __init__(self, start: float = 32.0) -> None:
        self.limit = start
        self._baseline = self._recent = 0.0
        self._count = 0

    def sample(self, waited_ns: float, in_flight: int, lost: bool, now: int) -> None:
        """Updates the waiting times, and moves the limit towards the value that their ratio gives."""
        waited = max(waited_ns, 1.0 * MS) * (4.0 if lost else 1.0)
        if not self._baseline:
            self._baseline = self._recent = waited
        self._recent += self.RECENT_WEIGHT * (waited - self._recent)
        self._baseline = min(self._baseline, waited)
        self._count += 1
        if self._count == self.PROBE_INTERVAL:
            self.limit = max(self.limit / 2, MIN_LIMIT)
        elif self._count == self.PROBE_INTERVAL + self.PROBE_SAMPLES // 2:
            # By now the requests that were open before the probe have ended.
            self._baseline = self._recent = waited
        elif self._count >= self.PROBE_INTERVAL + self.PROBE_SAMPLES:
            self._count = 0
        if self._count >= self.PROBE_INTERVAL:
            return
        if in_flight < self.limit / 2 and not lost:
            return
        gradient = min(max(self.TOLERANCE * self._baseline / self._recent, 0.5), 1.0)
        wanted = self.limit * gradient + math.sqrt(self.limit) * (gradient >= 1.0)
        self.limit = min(max(self.limit + self.LIMIT_WEIGHT * (wanted - self.limit), MIN_LIMIT), MAX_LIMIT)


class Verdict(Enum):
    """Result of an admission check."""

    ADMIT = "admit"
    LATE = "late"  # the request can no longer meet its deadline
    CROWDED = "crowded"  # the remaining capacity is reserved for requests of higher worth


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request that asks for admission.

    `weight` is 1 for a client that honours Retry-After, and less for one that does not.
    """

    worth: float
    cost_ns: float
    remaining_ns: float
    write: bool = False
    retry: bool = False
    weight: float = 1.0


class AdmissionController:
    """Decides which requests are admitted.

    Write requests have priority: they may use a reserve above the limit that no other request may use. As
    load rises towards the limit, a request is admitted only if its worth per cost exceeds that of a rising
    fraction of recent requests. A retry, or a client that ignores Retry-After, counts for less worth.
    """

    WRITE_RESERVE = 1.25  # write requests are admitted up to this multiple of the limit
    FREE_FRACTION = 0.5  # below this fraction of the limit every request is admitted
    RETRY_FACTOR = 0.5  # worth of a retry relative to a first try: a retry is likely to be late already
    BUCKETS = 64  # histogram buckets of worth per cost, in powers of the square root of two
    DECAY = 0.999  # factor by which each new request reduces the weight of all earlier ones

    def __init__(self, limiter: Limiter) -> None:
        self.limiter = limiter
        self._histogram = [0.0] * self.BUCKETS
        self.wait_ns = 0.0  # moving average of the waiting times of admitted requests
        self._increment = 1.0  # grows with each request, which avoids multiplying every bucket by DECAY

    def _bucket(self, request: AdmissionRequest) -> int:
        value = (
            request.worth
            * request.weight
            * (self.RETRY_FACTOR if request.retry else 1.0)
            / max(request.cost_ns / MS, 0.01)
        )
        return min(max(int(2 * math.log2(max(value, 1e-9))) + self.BUCKETS // 2, 0), self.BUCKETS - 1)

    def _record(self, bucket: int) -> None:
        self._increment /= self.DECAY
        self._histogram[bucket] += self._increment
        if self._increment > 1e9:
            self._histogram = [x / self._increment for x in self._histogram]
            self._increment = 1.0

    def admit(self, request: AdmissionRequest, in_flight: int) -> Verdict:
        """Decides on a request while `in_flight` other requests are open."""
        bucket = self._bucket(request)
        self._record(bucket)
        if request.cost_ns + self.wait_ns > request.remaining_ns:
            return Verdict.LATE
        if request.write:
            return Verdict.ADMIT if in_flight < self.limiter.limit * self.WRITE_RESERVE else Verdict.CROWDED
        utilization = in_flight / self.limiter.limit
        if utilization < self.FREE_FRACTION:
            return Verdict.ADMIT
        if utilization >= 1.0:
            return Verdict.CROWDED
        # Between FREE_FRACTION and the limit, the fraction of requests that is rejected rises from 0 to 1,
        # and the requests of least worth per cost are rejected first.
        total, cutoff = (
            sum(self._histogram),
            (utilization - self.FREE_FRACTION) / (1.0 - self.FREE_FRACTION),
        )
        below = sum(self._histogram[:bucket]) + self._histogram[bucket] / 2
        return Verdict.ADMIT if below >= cutoff * total else Verdict.CROWDED

    def ended(self, waited_ns: float, in_flight: int, lost: bool, now: int) -> None:
        """Records the end of an admitted request; the parameters are those of `Limiter.sample`."""
        self.wait_ns += 0.05 * (waited_ns - self.wait_ns)
        self.limiter.sample(waited_ns, in_flight, lost, now)
