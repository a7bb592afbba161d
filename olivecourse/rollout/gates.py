"""Gates on a release: does the new version serve worse than the untouched one? No I/O.

A sequential test that may be looked at after every batch: the marginal likelihood of the new side's requests
under a Beta prior, over the largest that the null hypothesis "not worse by more than `worse`" allows. This is
an e-process (Wasserman, Ramdas and Balakrishnan, "Universal inference", 2020, section 7), so by Ville's
inequality a good version is halted with probability alpha at most, however often one looks.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, log

from scipy.special import betaln, xlog1py, xlogy

PRIOR = (0.5, 0.5)  # Jeffreys'
UPPER_BOUND_SIGMAS = (
    2.6  # standard errors that the untouched side's rate may lie above what was seen: one in 200
)


@dataclass(frozen=True, slots=True)
class Counts:
    """Requests that ended, and how many of them badly: refused, failed or late."""

    ended: int = 0
    bad: int = 0


@dataclass
class SequentialTest:
    """One comparison, of the new version's side against the untouched one's."""

    alpha: float
    worse: float  # percent points
    evidence: float = 0.0  # the largest logarithm of the e-process so far

    @property
    def should_halt(self) -> bool:
        return self.evidence >= -log(self.alpha)

    @property
    def p(self) -> float:
        """An anytime-valid p-value."""
        return exp(-max(self.evidence, 0.0))

    def update(self, new: Counts, old: Counts) -> bool:
        """Totals so far of each side; whether the release is to be halted."""
        if 0 <= new.bad <= new.ended and old.ended > 0:
            self.evidence = max(self.evidence, self._evidence(new, old))
        return self.should_halt

    def _evidence(self, new: Counts, old: Counts) -> float:
        good = new.ended - new.bad
        marginal = float(betaln(PRIOR[0] + new.bad, PRIOR[1] + good) - betaln(*PRIOR))
        # The untouched side's rate is itself known from so many requests only: its upper bound counts.
        rate = (old.bad + 1.0) / (old.ended + 2.0)
        margin = UPPER_BOUND_SIGMAS * (rate * (1 - rate) / (old.ended + 2.0)) ** 0.5
        highest_null_rate = min(rate + margin + self.worse / 100.0, 1.0 - 1e-9)
        null_rate = max(
            min(new.bad / max(new.ended, 1), highest_null_rate), 1e-9
        )  # of all rates that the null allows
        return marginal - float(xlogy(new.bad, null_rate) + xlog1py(good, -null_rate))


def sides(counts: Mapping[int, tuple[str, Counts]], version: str) -> tuple[Counts, Counts]:
    """Of all gateways' counts since the release began: the new version's side, and the others'."""

    def total(new: bool) -> Counts:
        selected = [c for gateway_version, c in counts.values() if (gateway_version == version) == new]
        return Counts(sum(c.ended for c in selected), sum(c.bad for c in selected))

    return total(True), total(False)


def describe(test: SequentialTest, new: Counts, old: Counts) -> str:
    rate = [100.0 * c.bad / c.ended if c.ended else 0.0 for c in (new, old)]
    return f"{rate[0]:.1f} % bad against {rate[1]:.1f} %, p {test.p:.1g}"
