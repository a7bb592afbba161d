"""Detection of retry storms: two interchangeable detectors, and hysteresis over the level that one reports.

The level goes from 0 (no sign of a storm) to 1 (certain).

High load alone is no storm: a flash crowd of first tries is to be served. A storm is load that exists because
requests fail and clients repeat them (a metastable failure: Bronson et al., "Metastable Failures in
Distributed Systems", HotOS 2021).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

MS = 1_000_000
BIN_NS = 100 * MS  # length of a counting interval (bin): short compared with a client's wait before a retry
HALF_LIFE_NS = 1_000 * MS  # half-life of ShareDetector's counts; it detects a storm in about this time
# ShareDetector reports level 0 below a decayed total of MIN_ARRIVALS x (1 - decay per bin) = 1.3 arrivals, as
# its shares are not significant then.
MIN_ARRIVALS = 20.0


@dataclass(slots=True)
class Bin:
    """Requests in a bin of 100 ms: clients' first tries, their retries, and `useful` ones, served in time."""

    first: float = 0.0
    retries: float = 0.0
    useful: float = 0.0

    @property
    def offered(self) -> float:
        """All arrivals: first tries and retries."""
        return self.first + self.retries


class Detector(Protocol):
    """Takes request counts bin by bin; `level` goes from 0 (no sign of a retry storm) to 1 (certain)."""

    def add(self, bin_: Bin) -> None: ...

    def level(self) -> float: ...


class ShareDetector:
    """Detects a storm by two shares of recent arrivals: those that are retries, and those not served in time.

    The level is the root of their product, because neither share is sufficient alone. Clients that mark every
    second request as a retry and are served are no storm, and neither is an overload by first tries of which
    most are refused.
    """

    def __init__(self) -> None:
        self._sum = Bin()
        self._decay = 0.5 ** (BIN_NS / HALF_LIFE_NS)

    def add(self, bin_: Bin) -> None:
        """Adds a bin to the request totals, whose older counts halve every HALF_LIFE_NS."""
        total, decay = self._sum, self._decay
        total.first, total.retries = total.first * decay + bin_.first, total.retries * decay + bin_.retries
        total.useful = total.useful * decay + bin_.useful

    def level(self) -> float:
        """The root of (share of retries x share not served in time) of arrivals; 0 with too few arrivals."""
        total = self._sum
        if total.offered < MIN_ARRIVALS * (1 - self._decay):
            return 0.0
        wasted = max(1.0 - total.useful / total.offered, 0.0)
        return math.sqrt(total.retries / total.offered * wasted) if total.offered else 0.0


class BurstDetector:
    """Detects a storm by arrivals in bursts, as clients that failed together retry together.

    The measure is the index of dispersion of arrivals per bin: variance over mean, 1 for Poisson arrivals
    (Cox and Lewis 1966). It is compared with its own longer-term average, the baseline.
    """

    BASELINE_DECAY = 0.98  # weight of the old baseline at each bin of 100 ms: about 5 s of memory
    RECENT_DECAY = 0.8  # weight of old arrival counts at each bin of 100 ms: about half a second of memory
    CERTAIN_RATIO = 10.0  # the level is 1 when the dispersion exceeds the baseline by this multiple of it

    def __init__(self) -> None:
        self._mean = self._square = 0.0
        self._baseline = 1.0
        self._bins = 0

    def add(self, bin_: Bin) -> None:
        """Adds a bin to the mean and variance of arrivals, and to the baseline if the level is below 0.3."""
        arrivals, decay = bin_.offered, self.RECENT_DECAY
        self._bins += 1
        self._mean = decay * self._mean + (1 - decay) * arrivals
        self._square = decay * self._square + (1 - decay) * arrivals * arrivals
        if self.level() < 0.3:  # a lasting anomaly must not become the baseline
            self._baseline = self.BASELINE_DECAY * self._baseline + (1 - self.BASELINE_DECAY) * self._index()

    def _index(self) -> float:
        return max(self._square - self._mean**2, 0.0) / self._mean if self._mean > 0 else 0.0

    def level(self) -> float:
        """The excess of the recent index of dispersion over its baseline, scaled to 0 to 1.

        It is 1 if the excess is CERTAIN_RATIO times the baseline or more, and 0 with fewer than 10 bins so
        far or less than one arrival per bin.
        """
        if self._bins < 10 or self._mean < 1:
            return 0.0
        return min(max(self._index() / max(self._baseline, 1.0) - 1, 0.0) / self.CERTAIN_RATIO, 1.0)


@dataclass(frozen=True, slots=True)
class Change:
    """The beginning (`begins` is True) or end of a storm at `at` (in ns), and the detector's level then."""

    begins: bool
    at: int
    level: float


class StormMonitor:
    """Counts requests in bins of 100 ms, passes them to a detector and reports when a storm begins and ends.

    A storm begins after `hold` consecutive bins with the detector's level at or above `on`. It ends after
    four times as many at or below `off`, so that a storm in waves counts as one.
    """

    def __init__(
        self, detector: Detector, now: int, on: float = 0.3, off: float = 0.15, hold: int = 3
    ) -> None:
        if not 0 <= off < on <= 1 or hold < 1:
            raise ValueError("levels are 0 <= off < on <= 1, and hold 1 or more")
        self._detector, self._on, self._off, self._hold = detector, on, off, hold
        self._bin, self._bin_start = Bin(), now
        self._above = self._below = 0
        self.storm = False

    @property
    def level(self) -> float:
        """The detector's level, from 0 (no sign of a storm) to 1 (certain), as of the last ended bin."""
        return self._detector.level()

    def record_arrival(self, retry: bool, amount: float = 1.0) -> None:
        """Counts `amount` arriving client requests, as retries if `retry` is True, else as first tries."""
        if retry:
            self._bin.retries += amount
        else:
            self._bin.first += amount

    def record_served(self, amount: float = 1.0) -> None:
        """Counts `amount` client requests that were served in time."""
        self._bin.useful += amount

    def advance(self, now: int) -> list[Change]:
        """Passes the bins that have ended by `now` to the detector; returns the storms' beginnings and ends.

        At most 100 bins are passed: after a stall all but the first are empty.
        """
        changes = []
        passed = (now - self._bin_start) // BIN_NS
        for _ in range(min(passed, 100)):
            self._detector.add(self._bin)
            self._bin = Bin()
            changes += self._step(now)
        self._bin_start += passed * BIN_NS
        return changes

    def _step(self, now: int) -> list[Change]:
        level = self._detector.level()
        self._above = self._above + 1 if level >= self._on else 0
        self._below = self._below + 1 if level <= self._off else 0
        if not self.storm and self._above >= self._hold:
            self.storm = True
        elif self.storm and self._below >= 4 * self._hold:
            self.storm = False
        else:
            return []
        return [Change(self.storm, now, level)]
