"""Canary analysis of a release: does the new version serve worse than the old one? No I/O.

This is a sequential test that may be evaluated after every batch of requests. Its statistic is the marginal
likelihood of the new version's requests under a Beta prior, divided by the largest likelihood that the null
hypothesis allows: the new version's rate of bad requests exceeds that of the old version by `worse`
percentage points at most. The statistic is an e-process (Wasserman, Ramdas and Balakrishnan, "Universal
inference", 2020, section 7). By Ville's inequality a good version is therefore halted with probability alpha
at most, however often the test is evaluated.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, log

from scipy.special import betaln, xlog1py, xlogy

PRIOR = (0.5, 0.5)  # Beta parameters of the Jeffreys prior for the new version's rate of bad requests
# The test uses an upper bound of the old version's rate of bad requests, this many standard errors above the
# observed rate. The true rate exceeds the bound in one of 200 cases.
UPPER_BOUND_SIGMAS = 2.6


@dataclass(frozen=True, slots=True)
class Counts:
    """Number of requests of one version that have ended, and of those that ended badly: refused, failed or
    late."""

    ended: int = 0
    bad: int = 0


@dataclass
class SequentialTest:
    """One comparison of the gateways that run the new version with the gateways that run another version.
    `alpha` is the highest acceptable probability that the test halts a version that is not worse."""

    alpha: float
    worse: float  # tolerated increase of the rate of bad requests, in percentage points
    evidence: float = 0.0  # natural logarithm of the e-process, its largest value so far

    @property
    def should_halt(self) -> bool:
        """Whether the largest value so far of the e-process (the evidence that the new version is worse) has
        reached 1 / alpha, where alpha is the acceptable probability of halting a good version. Both are
        compared as natural logarithms."""
        return self.evidence >= -log(self.alpha)

    @property
    def p(self) -> float:
        """The p-value of the test so far: the reciprocal of the largest value of the e-process, at most 1. It
        is valid however often the test was evaluated."""
        return exp(-max(self.evidence, 0.0))

    def update(self, new: Counts, old: Counts) -> bool:
        """Evaluates the request counts of both versions, each in total since the release began; returns
        whether the release must be halted."""
        if 0 <= new.bad <= new.ended and old.ended > 0:
            self.evidence = max(self.evidence, self._evidence(new, old))
        return self.should_halt

    def _evidence(self, new: Counts, old: Counts) -> float:
        """Returns the natural logarithm of the e-process for these request counts; above 0, they speak for
        the new version being worse."""
        good = new.ended - new.bad
        marginal = float(betaln(PRIOR[0] + new.bad, PRIOR[1] + good) - betaln(*PRIOR))
        # The old version's rate of bad requests is only an estimate from a limited number of requests: use an
        # upper bound of it.
        rate = (old.bad + 1.0) / (old.ended + 2.0)
        margin = UPPER_BOUND_SIGMAS * (rate * (1 - rate) / (old.ended + 2.0)) ** 0.5
        highest_null_rate = min(rate + margin + self.worse / 100.0, 1.0 - 1e-9)
        # The rate, among those that the null hypothesis allows, under which the new version's counts are most
        # likely.
        null_rate = max(min(new.bad / max(new.ended, 1), highest_null_rate), 1e-9)
        return marginal - float(xlogy(new.bad, null_rate) + xlog1py(good, -null_rate))


def sides(counts: Mapping[int, tuple[str, Counts]], version: str) -> tuple[Counts, Counts]:
    """Sums the request counts of all gateways since the release began, from a map of gateway number to the
    version that the gateway runs and its counts. Returns the sum for gateways that run `version` and the sum
    for all others."""

    def total(new: bool) -> Counts:
        selected = [c for gateway_version, c in counts.values() if (gateway_version == version) == new]
        return Counts(sum(c.ended for c in selected), sum(c.bad for c in selected))

    return total(True), total(False)


def describe(test: SequentialTest, new: Counts, old: Counts) -> str:
    """Formats the rates of bad requests of both versions and the p-value of the test, as the reason that a
    halt shows to operators."""
    rate = [100.0 * c.bad / c.ended if c.ended else 0.0 for c in (new, old)]
    return f"{rate[0]:.1f} % bad against {rate[1]:.1f} %, p {test.p:.1g}"
