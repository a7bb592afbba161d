"""Decides which upstream (discovery server or relay) a long-poll client asks next, and when: failover with
exponential backoff and jitter.

The backoff is "full jitter" over a range whose upper end doubles with each consecutive failure (M. Brooker,
"Exponential Backoff and Jitter", AWS Architecture Blog, 2015). It has a minimum, so that an upstream that
refuses connections does not cause a busy loop.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

Address = tuple[str, int]

MS = 1_000_000  # nanoseconds
# Minimum delay before an upstream is asked after a failure. A discovery server that restarts on the same
# machine is back within a few of these delays.
MIN_DELAY_NS = 20 * MS
# Maximum delay before an upstream is asked after a failure; well below the shortest time within which purges
# must reach every gateway.
MAX_DELAY_NS = 320 * MS

# The fraction of the grace period (the time within which an event must be obeyed) over which the clients of a
# failed relay spread their reconnects. The rest is left for connecting and for processing the events that
# they missed.
SPREAD_SHARE = 0.5


@dataclass(frozen=True)
class RetryPlan:
    """The address of the upstream to ask next, and how long to wait before that, in nanoseconds."""

    address: Address
    delay_ns: int


class UpstreamSelector:
    """Selects which of several upstreams a client polls. It starts with the first address, the operator's
    preference.

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
        """`random` returns floats in [0, 1). `shortest_ns` and `longest_ns` bound the delay after a failure.
        Raises ValueError without an address, or unless 0 < shortest_ns <= longest_ns.
        """
        if not 0 < shortest_ns <= longest_ns:
            raise ValueError("0 < shortest_ns <= longest_ns does not hold")
        self._addresses = _without_duplicates(addresses)
        self._random = random
        self._shortest_ns = shortest_ns
        self._longest_ns = longest_ns
        self._current = self._addresses[0]
        self._untried: list[Address] = []
        # The upper end of the range from which the last delay was drawn. The first failure doubles it, so
        # that the first delay is between `shortest_ns` and twice as much.
        self._backoff_ns = shortest_ns

    @property
    def current(self) -> Address:
        """The address of the upstream in use."""
        return self._current

    def succeeded(self) -> None:
        """Records a valid response from the upstream in use. The delay after the next failure is short
        again.
        """
        self._backoff_ns = self._shortest_ns
        self._untried = []

    def failed(self) -> RetryPlan:
        """Records that the upstream in use refused the connection, did not answer or sent an invalid
        response. Returns which upstream to ask next, which becomes `current`, and how long to wait before
        that.
        """
        self._current = self._next_address()
        self._backoff_ns = min(self._backoff_ns * 2, self._longest_ns)
        span_ns = self._backoff_ns - self._shortest_ns
        return RetryPlan(self._current, self._shortest_ns + int(span_ns * self._random()))

    def replace(self, addresses: Sequence[Address]) -> None:
        """Applies a new list of upstream addresses and resets the backoff. The upstream in use stays if it is
        still listed, else the first of the list is used. Raises ValueError without an address.
        """
        self._addresses = _without_duplicates(addresses)
        if self._current not in self._addresses:
            self._current = self._addresses[0]
        self.succeeded()

    def _next_address(self) -> Address:
        """Draws a random address other than the one in use, or returns the latter if it is the only one. No
        address is drawn twice before all others have been tried.
        """
        if not self._untried:
            self._untried = [address for address in self._addresses if address != self._current]
        if not self._untried:
            return self._current
        return self._untried.pop(int(self._random() * len(self._untried)))


def spread_ns(random: Callable[[], float], grace_ns: int) -> int:
    """Returns a random delay in nanoseconds before reconnecting after the connection to an upstream that had
    answered was lost, so that all its clients do not reconnect at once.

    `grace_ns` is the shortest time within which the settings require an event to be obeyed. A client receives
    no events while it waits, so the delay is at most the fraction SPREAD_SHARE of the grace period.
    """
    return int(max(grace_ns, 0) * SPREAD_SHARE * random())


def _without_duplicates(addresses: Sequence[Address]) -> list[Address]:
    """Returns the addresses in their order without duplicates. Raises ValueError if there are none."""
    distinct = list(dict.fromkeys(addresses))
    if not distinct:
        raise ValueError("no address to ask")
    return distinct
