"""Decides which upstream a long-poll client asks next, and when: failover with exponential backoff and
jitter.

The backoff is "full jitter" over a range whose upper end doubles with each consecutive failure (M. Brooker,
"Exponential Backoff and Jitter", AWS Architecture Blog, 2015). It has a minimum, so that an upstream that
refuses connections does not cause a busy loop.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

Address = tuple[str, int]

MS = 1_000_000  # nanoseconds
# A discovery server that restarts on the same machine is back within a few of these delays.
MIN_DELAY_NS = 20 * MS
MAX_DELAY_NS = 320 * MS  # Well below the shortest time within which purges must reach every gateway.

# The part of a grace period over which the clients of a failed relay reconnect. The rest is left for
# connecting and for processing the events that they missed.
SPREAD_SHARE = 0.5


@dataclass(frozen=True)
class RetryPlan:
    """The address to ask next, and the delay before it in nanoseconds."""

    address: Address
    delay_ns: int


class UpstreamSelector:
    """Selects the upstream in use. The first address is the operator's preference.

    After a failure, one of the other addresses is chosen at random, so that the clients of a failed relay
    spread over the remaining ones. No address is tried twice before each has been tried once.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        random: Callable[[], float],
        shortest_ns: int = MIN_DELAY_NS,
        longest_ns: int = MAX_DELAY_NS,
    ) -> None:
        """`random` returns floats in [0, 1). Raises ValueError without an address or for an empty range of
        delays.
        """
        if not 0 < shortest_ns <= longest_ns:
            raise ValueError("0 < shortest_ns <= longest_ns does not hold")
        self._addresses = _without_duplicates(addresses)
        self._random = random
        self._shortest_ns = shortest_ns
        self._longest_ns = longest_ns
        self._current = self._addresses[0]
        self._untried: list[Address] = []
        # The first failure doubles this value, so that the first delay is between `shortest_ns` and twice as
        # much.
        self._backoff_ns = shortest_ns

    @property
    def current(self) -> Address:
        """The address of the upstream in use."""
        return self._current

    def succeeded(self) -> None:
        """Records a valid response from `current`, which resets the backoff."""
        self._backoff_ns = self._shortest_ns
        self._untried = []

    def failed(self) -> RetryPlan:
        """Records that `current` refused, did not answer or sent an invalid response. Returns the next
        address and delay.
        """
        self._current = self._next_address()
        self._backoff_ns = min(self._backoff_ns * 2, self._longest_ns)
        span_ns = self._backoff_ns - self._shortest_ns
        return RetryPlan(self._current, self._shortest_ns + int(span_ns * self._random()))

    def replace(self, addresses: Sequence[Address]) -> None:
        """Applies a new list of addresses. `current` stays in use if it is still listed. Raises ValueError
        without an address.
        """
        self._addresses = _without_duplicates(addresses)
        if self._current not in self._addresses:
            self._current = self._addresses[0]
        self.succeeded()

    def _next_address(self) -> Address:
        """Draws a random address other than the current one. None is drawn twice before all others have been
        tried.
        """
        if not self._untried:
            self._untried = [address for address in self._addresses if address != self._current]
        if not self._untried:
            return self._current
        return self._untried.pop(int(self._random() * len(self._untried)))


def spread_ns(random: Callable[[], float], grace_ns: int) -> int:
    """Returns a random delay before reconnecting after an upstream has ended, so that its clients do not
    reconnect all at once.

    `grace_ns` is the shortest grace period in the settings. A client receives no events while it waits, so
    the delay is at most the fraction SPREAD_SHARE of the grace period.
    """
    return int(max(grace_ns, 0) * SPREAD_SHARE * random())


def _without_duplicates(addresses: Sequence[Address]) -> list[Address]:
    """Returns the addresses without duplicates. Raises ValueError if there are none."""
    distinct = list(dict.fromkeys(addresses))
    if not distinct:
        raise ValueError("no address to ask")
    return distinct
