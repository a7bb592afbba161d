"""Retry budgets: further attempts as a share of first ones, bounded at once per class, store and source.

After "The Tail at Scale" (Dean and Barroso 2013) and the retry budgets of Finagle: tokens are earned by first
attempts that succeed, and a further attempt spends one in every bucket that it concerns or none at all. As
each tier does so by itself, three tiers with a share of 0.1 amplify by 1.331 at most, not by 27.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Share:
    """`share` further attempts for each one that succeeded, at most `burst` saved up, and `floor_per_s`
    without any success: else nothing could ever find out that a store is back."""

    share: float = 0.1
    burst: float = 10.0
    floor_per_s: float = 0.5


class Bucket:
    __slots__ = ("_share", "tokens", "_at")

    def __init__(self, share: Share, now: int) -> None:
        self._share, self.tokens, self._at = share, share.burst, now

    def refill(self, now: int) -> None:
        gone = max(now - self._at, 0) / S
        self.tokens = min(self.tokens + gone * self._share.floor_per_s, self._share.burst)
        self._at = max(now, self._at)

    def earn(self) -> None:
        self.tokens = min(self.tokens + self._share.share, self._share.burst)


class Budgets:
    """Buckets by any name, for example ("class", 0), ("store", 17), ("source", 50). At most `most`; the one
    unused for longest leaves, which only ever gives a newcomer a full bucket: as many as there are names."""

    def __init__(self, share: Share, most: int) -> None:
        if not 0 <= share.share <= 1 or share.burst < 1 or share.floor_per_s < 0 or most < 1:
            raise ValueError("a share is 0 to 1, a burst 1 or more")
        self._share, self._most = share, most
        self._buckets: dict[Hashable, Bucket] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def _bucket(self, name: Hashable, now: int) -> Bucket:
        bucket = self._buckets.pop(name, None)
        if bucket is None:
            if len(self._buckets) >= self._most:
                del self._buckets[next(iter(self._buckets))]
            bucket = Bucket(self._share, now)
        self._buckets[name] = bucket
        bucket.refill(now)
        return bucket

    def succeeded(self, names: tuple[Hashable, ...], now: int) -> None:
        """An attempt that concerns these was answered well."""
        for name in names:
            self._bucket(name, now).earn()

    def spend(self, names: tuple[Hashable, ...], now: int) -> bool:
        """Whether one further attempt may go: a token from each bucket, or from none."""
        buckets = [self._bucket(name, now) for name in names]
        if any(b.tokens < 1 for b in buckets):
            return False
        for bucket in buckets:
            bucket.tokens -= 1
        return True
