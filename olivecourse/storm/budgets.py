"""Retry budgets: limit the gateway's own retry attempts to a share of its successful attempts.

There is one token bucket per request class, per store and per fill source, after "The Tail at Scale" (Dean
and Barroso 2013) and the retry budgets of Finagle. A successful attempt adds tokens; a retry attempt takes
one token in each bucket of its class, store and source, or is not made if any of them is empty. Because each
tier applies its own budget, three tiers with a share of 0.1 amplify load by at most 1.331, not by 27.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class BudgetPolicy:
    """Parameters of a token bucket, in which a token permits one retry attempt.

    `share` is the number of tokens that each successful attempt adds, and `burst` the most tokens that a
    bucket holds. `floor_per_s` tokens a second are added without any success: without them no retry attempt
    could find out that a store has recovered.
    """

    share: float = 0.1
    burst: float = 10.0
    floor_per_s: float = 0.5


class TokenBucket:
    """The tokens for retry attempts of one request class, store or fill source; a new bucket is full."""

    __slots__ = ("_policy", "tokens", "_refilled_at")

    def __init__(self, policy: BudgetPolicy, now: int) -> None:
        self._policy, self.tokens, self._refilled_at = policy, policy.burst, now

    def refill(self, now: int) -> None:
        """Adds `floor_per_s` tokens for each second since the last refill, up to `burst`."""
        elapsed_s = max(now - self._refilled_at, 0) / S
        self.tokens = min(self.tokens + elapsed_s * self._policy.floor_per_s, self._policy.burst)
        self._refilled_at = max(now, self._refilled_at)

    def earn(self) -> None:
        """Adds `share` tokens for one successful attempt, up to `burst`."""
        self.tokens = min(self.tokens + self._policy.share, self._policy.burst)


class RetryBudgets:
    """Token buckets of retry attempts by name, for example ("class", 0), ("store", 17) or ("source", 50).

    The number is that of the request class, store or fill source. At most `max_buckets` buckets are kept, and
    the least recently used one is evicted. If its name is used again, it starts with a full bucket, so that
    an eviction permits at most `burst` retry attempts too many.
    """

    def __init__(self, policy: BudgetPolicy, max_buckets: int) -> None:
        if not 0 <= policy.share <= 1 or policy.burst < 1 or policy.floor_per_s < 0 or max_buckets < 1:
            raise ValueError("a share is 0 to 1, a burst 1 or more")
        self._policy, self._max_buckets = policy, max_buckets
        self._buckets: dict[Hashable, TokenBucket] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def _bucket(self, name: Hashable, now: int) -> TokenBucket:
        bucket = self._buckets.pop(name, None)
        if bucket is None:
            if len(self._buckets) >= self._max_buckets:
                del self._buckets[next(iter(self._buckets))]
            bucket = TokenBucket(self._policy, now)
        self._buckets[name] = bucket
        bucket.refill(now)
        return bucket

    def succeeded(self, names: tuple[Hashable, ...], now: int) -> None:
        """Adds `share` tokens to every named bucket for one successful attempt; creates missing buckets."""
        for name in names:
            self._bucket(name, now).earn()

    def spend(self, names: tuple[Hashable, ...], now: int) -> bool:
        """Takes one token for a retry attempt from every named bucket.

        Returns False and takes none if any of the buckets holds less than one token.
        """
        buckets = [self._bucket(name, now) for name in names]
        if any(b.tokens < 1 for b in buckets):
            return False
        for bucket in buckets:
            bucket.tokens -= 1
        return True
