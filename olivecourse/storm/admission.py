"""Admission control during a retry storm.

Two interchangeable limiters, `Aimd` and `Gradient`, compute from measured waiting times how many requests may
be open at once. Under load, the admission controller immediately rejects each request that cannot meet its
deadline, or whose worth (set by the operator for each request class) per unit of sending time is low compared
with that of recent requests.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

MS = 1_000_000
MIN_LIMIT, MAX_LIMIT = 4.0, 4096.0  # lowest and highest limit of either limiter, in open requests


class Limiter(Protocol):
    """Computes the number of requests that may be open at once (`limit`).

    `sample` reports a request that has ended: `waited_ns` is its duration less its expected sending time,
    `in_flight` the number of other requests that were open when it began, and `lost` is True if it was
    lost to overload: its client left before the answer.
    """

    limit: float

    def sample(self, waited_ns: float, in_flight: int, lost: bool, now: int) -> None: ...


class Aimd:
    """Limits the open requests by additive increase and multiplicative decrease (AIMD, Chiu and Jain 1989).

    The limit falls when a request takes more than `target_ns` beyond its expected sending time, or its client
    leaves before the answer. `start` is the first limit, in open requests.
    """

    DECREASE = 0.9  # factor by which the limit of open requests is multiplied at each decrease
    # Shortest time between two decreases of the limit. Concurrent requests that meet the same congestion end
    # at about the same time, and together they must cause only one decrease.
    DECREASE_INTERVAL_NS = 100 * MS

    def __init__(self, target_ns: float, start: float = 32.0) -> None:
        self._target, self.limit, self._decreased_at = target_ns, start, -self.DECREASE_INTERVAL_NS

    def sample(self, waited_ns: float, in_flight: int, lost: bool, now: int) -> None:
        """Updates the limit by one ended request; the parameters are those of `Limiter.sample`.

        If the request was lost or waited beyond the target, the limit is lowered. Otherwise it is raised by
        1 / limit, if open requests used at least half of it when the request began.
        """
        if lost or waited_ns > self._target:
            if now - self._decreased_at >= self.DECREASE_INTERVAL_NS:
                self._decreased_at = now
                self.limit = max(self.limit * self.DECREASE, MIN_LIMIT)
        elif in_flight >= self.limit / 2:  # with fewer, the limit was not what restricted the load
            self.limit = min(self.limit + 1 / self.limit, MAX_LIMIT)


class Gradient:
    """Limits the open requests by the ratio of minimum to recent waiting time (TCP Vegas, Brakmo 1994).

    It needs no target waiting time: the limit stops rising where a small queue remains. Every PROBE_INTERVAL
    ended requests it halves the limit and measures the minimum waiting time again, because a minimum (the
    baseline) that only followed the recent waiting times would take a lasting congestion for the normal
    state.
    """

    RECENT_WEIGHT = 0.1  # weight of one ended request in the moving average of the waiting time
    LIMIT_WEIGHT = 0.05  # each ended request moves the limit this part of the way to the wanted one
    PROBE_INTERVAL, PROBE_SAMPLES = 1000, 50  # ended requests between two probes, and during a probe
    TOLERANCE = 2.0  # up to this multiple of the minimum, the recent waiting time counts as normal

    def __init__(self, start: float = 32.0) -> None:
        self.limit = start
        self._baseline = self._recent = 0.0
        self._count = 0

    def sample(self, waited_ns: float, in_flight: int, lost: bool, now: int) -> None:
        """Updates the minimum and recent waiting times by one ended request; moves the limit by their ratio.

        The parameters are those of `Limiter.sample`; a lost request counts as 4 times its waiting time.
        """
        waited = max(waited_ns, 1.0 * MS) * (4.0 if lost else 1.0)
        if not self._baseline:
            self._baseline = self._recent = waited
        self._recent += self.RECENT_WEIGHT * (waited - self._recent)
        self._baseline = min(self._baseline, waited)
        self._count += 1
        if self._count == self.PROBE_INTERVAL:
            self.limit = max(self.limit / 2, MIN_LIMIT)
        elif self._count == self.PROBE_INTERVAL + self.PROBE_SAMPLES // 2:
            # Halfway through the probe, the requests that began under the full limit have ended: from here on
            # the minimum waiting time is measured anew.
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
    """Result of `AdmissionController.admit`; the values LATE and CROWDED name rejections in the log."""

    ADMIT = "admit"
    LATE = "late"  # the request can no longer meet its deadline
    CROWDED = "crowded"  # the remaining capacity is reserved for requests of higher worth


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """What the admission controller needs to know of a request.

    `weight` multiplies `worth`: 1 for a client that honours Retry-After, less for one that does not.
    """

    worth: float  # value of an answer to this request class relative to other classes, from the settings
    cost_ns: float  # expected time to send the answer
    remaining_ns: float  # time until the deadline of the request
    write: bool = False
    retry: bool = False  # whether the client repeats an earlier request
    weight: float = 1.0


class AdmissionController:
    """Decides which requests are admitted, given the limiter's number of requests that may be open at once.

    Write requests have priority: only they may exceed the limit, by the factor WRITE_RESERVE. As the number
    of open requests rises from half of the limit to the limit, any other request is admitted only if its
    worth per unit of sending time exceeds that of a rising fraction of recent requests. The worth of retries,
    and of requests from clients that ignore Retry-After, is reduced.
    """

    WRITE_RESERVE = 1.25  # write requests are admitted up to this multiple of the limit of open requests
    FREE_FRACTION = 0.5  # with fewer open requests than this part of the limit, only LATE ones are rejected
    RETRY_FACTOR = 0.5  # multiplies the worth of a client retry, whose client has probably stopped waiting
    # Number of buckets in the histogram of recent requests by worth per ms of sending time; the bounds of
    # each bucket are sqrt(2) times those of the one before.
    BUCKETS = 64
    DECAY = 0.999  # factor by which each new request reduces all earlier ones in the histogram

    def __init__(self, limiter: Limiter) -> None:
        self.limiter = limiter
        self._histogram = [0.0] * self.BUCKETS
        self.wait_ns = 0.0  # moving average of ended requests' durations beyond their expected sending times
        # What the next request adds to its histogram bucket. It grows by 1 / DECAY with each request, which
        # has the same effect as multiplying all buckets by DECAY.
        self._increment = 1.0

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
        """Decides on a new request while `in_flight` others are open, and counts it in the histogram."""
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
        # `cutoff` is the fraction of requests to reject: it rises from 0 at FREE_FRACTION to 1 at the limit.
        # The requests with the lowest worth per sending time are rejected first.
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
