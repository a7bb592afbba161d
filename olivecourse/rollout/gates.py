"""Canary analysis of a release: does the new version serve worse than the old one? No I/O.

This is a sequential test that may be evaluated after every batch. Its statistic is the marginal likelihood of
the new version's requests under a Beta prior, divided by the largest likelihood that the null hypothesis "not
worse by more than `worse`" allows. The statistic is an e-process (Wasserman, Ramdas and Balakrishnan,
"Universal inference", 2020, section 7). By Ville's inequality a good version is therefore halted with
probability alpha at most, however often the test is evaluated.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, log

from scipy.special import betaln, xlog1py, xlogy

PRIOR = (0.5, 0.5)  # Jeffreys prior
# Standard errors between the observed rate of the old version and its upper bound, which the true rate
# exceeds in one of 200 cases.
UPPER_BOUND_SIGMAS = 2.6


@dataclass(frozen=True, slots=True)
class Counts:
    """Number of ended requests, and of those that ended badly: refused, failed or late."""

    ended: int = 0
    bad: int = 0


@dataclass
class SequentialTest:
    """One comparison of the gateways with the new version against the gateways with the old version."""

    alpha: float
    worse: float  # tolerated increase of the rate of bad requests, in percentage points
    evidence: float = 0.0  # the largest logarithm of the e-process so far

    @property
    def should_halt(self) -> bool:
        """Whether the evidence against the new version has reached the threshold 1 / alpha."""
        return self.evidence >= -log(self.alpha)

    @property
    def p(self) -> float:
        """The p-value of the test so far; it is valid at any number of evaluations."""
        return exp(-max(self.evidence, 0.0))

    def update(self, new: Counts, old: Counts) -> bool:
        """Evaluates the total counts so far of both versions; returns whether the release must be halted."""
        if 0 <= new.bad <= new.ended and old.ended > 0:
            self.evidence = max(self.evidence, self._evidence(new, old))
        return self.should_halt

    def _evidence(self, new: Counts, old: Counts) -> float:
        """Returns the natural logarithm of the e-process for these counts."""
        good = new.ended - new.bad
        marginal = float(betaln(PRIOR[0] + new.bad, PRIOR[1] + good) - betaln(*PRIOR))
        # The rate of the old version is only an estimate from a limited number of requests: use its upper
        # bound.
        rate = (old.bad + 1.0) / (old.ended + 2.0)
        margin = UPPER_BOUND_SIGMAS * (rate * (1 - rate) / (old.ended + 2.0)) ** 0.5
        highest_null_rate = min(rate + margin + self.worse / 100.0, 1.0 - 1e-9)
        # The most likely of the rates that the null hypothesis allows.
        null_rate = max(min(new.bad / max(new.ended, 1), highest_null_rate), 1e-9)
        return marginal - float(xlogy(new.bad, null_rate) + xlog1py(good, -null_rate))


def sides(counts: Mapping[int, tuple[str, Counts]], version: str) -> tuple[Counts, Counts]:
    """Sums the counts of all gateways since the release began: those with the new version, and the others."""

    def total(new: bool) -> Counts:
        selected = [c for gateway_version, c in counts.values() if (gateway_version == version) == new]
        return Counts(sum(c.ended for c in selected), sum(c.bad for c in selected))

    return total(True), total(False)


def describe(test: SequentialTest, new: Counts, old: Counts) -> str:
    """Formats the rates of both versions and the p-value, as the reason of a halt."""
    rate = [100.0 * c.bad / c.ended if c.ended else 0.0 for c in (new, old)]
    return f"{rate[0]:.1f} % bad against {rate[1]:.1f} %, p {test.p:.1g}"
