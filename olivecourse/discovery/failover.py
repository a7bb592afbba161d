"""Which upstream a long-poll client asks next, and when: failover with exponential backoff and jitter.

Backoff is "full jitter" over a span whose end doubles with each failure in a row (M. Brooker, "Exponential
Backoff and Jitter", AWS Architecture Blog, 2015), with a floor so that a refusal is never met by a busy loop.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

Address = tuple[str, int]

MS = 1_000_000  # nanoseconds
SHORTEST_NS = 20 * MS  # a board that restarts on the same machine is back within a few of these
LONGEST_NS = 320 * MS  # well below the shortest time within which purges have to be everywhere

# Of a grace, the part in which clients of a dead relay may come back; the rest is for connecting and for the
# events that they missed to be taken in.
SPREAD_SHARE = 0.5


@dataclass(frozen=True)
class RetryPlan:
    """The address to ask next, and after how many nanoseconds."""

    address: Address
    delay_ns: int


class UpstreamSelector:
    """The upstream in use. The first address is the operator's preference; after a failure one of the others
    is drawn, so that the clients of a dead relay spread over those left, and none is tried twice before each
    was tried once."""

    def __init__(
        self,
        addresses: Sequence[Address],
        random: Callable[[], float],
        shortest_ns: int = SHORTEST_NS,
        longest_ns: int = LONGEST_NS,
    ) -> None:
        """`random` gives floats in [0, 1). Raises ValueError without an address or for an empty span."""
        if not 0 < shortest_ns <= longest_ns:
            raise ValueError("0 < shortest_ns <= longest_ns does not hold")
        self._addresses = _distinct(addresses)
        self._random = random
        self._shortest_ns = shortest_ns
        self._longest_ns = longest_ns
        self._current = self._addresses[0]
        self._untried: list[Address] = []
        self._backoff_ns = shortest_ns  # the floor of the first span is half of its end

    @property
    def current(self) -> Address:
        """The address to ask."""
        return self._current

    def succeeded(self) -> None:
        """An answer of `current` could be read: the next failure is a first one."""
        self._backoff_ns = self._shortest_ns
        self._untried = []

    def failed(self) -> RetryPlan:
        """`current` refused, was silent or gave what can't be read: whom to ask next, and when."""
        self._current = self._next_address()
        self._backoff_ns = min(self._backoff_ns * 2, self._longest_ns)
        span_ns = self._backoff_ns - self._shortest_ns
        return RetryPlan(self._current, self._shortest_ns + int(span_ns * self._random()))

    def replace(self, addresses: Sequence[Address]) -> None:
        """Another configuration: `current` stays if still named. Raises ValueError without an address."""
        self._addresses = _distinct(addresses)
        if self._current not in self._addresses:
            self._current = self._addresses[0]
        self.succeeded()

    def _next_address(self) -> Address:
        if not self._untried:
            self._untried = [address for address in self._addresses if address != self._current]
        if not self._untried:
            return self._current
        return self._untried.pop(int(self._random() * len(self._untried)))


def spread_ns(random: Callable[[], float], grace_ns: int) -> int:
    """A delay before asking again after an upstream has ended, so that its clients don't come all at once.

    `grace_ns` is the shortest grace of the settings. A client that waits is told nothing, so the spread is
    only SPREAD_SHARE of it.
    """
    return int(max(grace_ns, 0) * SPREAD_SHARE * random())


def _distinct(addresses: Sequence[Address]) -> list[Address]:
    distinct = list(dict.fromkeys(addresses))
    if not distinct:
        raise ValueError("no address to ask")
    return distinct
