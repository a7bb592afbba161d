"""Summaries of a stream of requested objects in little memory: a Lossy Counter of the load of each object, a
HyperLogLog of the number of objects, and the balls-and-bins estimate of peak load that uses both results.

The caller chooses every parameter of them.
"""

from __future__ import annotations

import math
from hashlib import blake2b

HASH_BITS = 64  # of `hash64`


def hash64(text: str) -> int:
    """Returns a 64-bit hash of the text that, unlike Python's `hash`, is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def unit_hash(text: str) -> float:
    """Returns a hash of the text as a number above 0 and at most 1."""
    return (hash64(text) + 1) / 2.0**64


class LossyCounter:
    """Manku and Motwani's Lossy Counter: counts amounts by key and forgets rare keys.

    A count is at most `error` x `total` below the true one. An arrival (a call of `add`) may add any positive
    amount to its key; `total` is the sum of all amounts.
    """

    __slots__ = ("error", "total", "_bucket_width", "arrivals", "_entries")

    def __init__(self, error: float) -> None:
        self.error = error
        self.total = 0.0
        self._bucket_width = math.ceil(1 / error)
        self.arrivals = 0
        self._entries: dict[str, list[float]] = {}  # key -> [count, maximum undercount]

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: str, amount: float = 1.0) -> None:
        """Adds an amount to the count of a key. Once per 1 / `error` calls, keys whose true count cannot
        exceed `error` x `total` are removed.
        """
        entry = self._entries.setdefault(key, [0.0, self.error * self.total])
        entry[0] += amount
        self.total += amount
        self.arrivals += 1
        if self.arrivals % self._bucket_width == 0:
            floor = self.error * self.total
            self._entries = {
                other_key: other for other_key, other in self._entries.items() if other[0] + other[1] > floor
            }

    def count(self, key: str) -> float:
        """Returns the counted amount of a key, 0 for a key that was never added or was removed as rare."""
        entry = self._entries.get(key)
        return entry[0] if entry else 0.0

    def frequent(self, support: float) -> list[tuple[str, float]]:
        """Returns every key whose true count is at least `support` x `total`, with its count, largest first.

        Keys up to `error` x `total` below that may be among them.
        """
        floor = (support - self.error) * self.total
        found = [(item, entry[0]) for item, entry in self._entries.items() if entry[0] >= floor]
        return sorted(found, key=lambda pair: (-pair[1], pair[0]))


class HyperLogLog:
    """HyperLogLog estimate of the number of distinct keys, in 2 ** `bits` bytes of registers.

    The relative standard error is about 1.04 / sqrt(2 ** `bits`).
    """

    __slots__ = ("bits", "_registers")

    def __init__(self, bits: int) -> None:
        self.bits = bits
        self._registers = bytearray(1 << bits)

    def add(self, key: str) -> None:
        """Records an occurrence of a key; repeated occurrences do not change the estimate."""
        hashed = hash64(key)
        tail_bits = 64 - self.bits
        register, tail = hashed >> tail_bits, hashed & ((1 << tail_bits) - 1)
        self._registers[register] = max(self._registers[register], tail_bits - tail.bit_length() + 1)

    def count(self) -> float:
        """Returns the estimated number of distinct keys that were added.

        While some registers are empty and the estimate is at most 2.5 per register, linear counting is used.
        """
        m = len(self._registers)
        alpha = {16: 0.673, 32: 0.697, 64: 0.709}.get(m, 0.7213 / (1 + 1.079 / m))
        estimate = alpha * m * m / sum(2.0**-r for r in self._registers)
        zeros = self._registers.count(0)
        return m * math.log(m / zeros) if estimate <= 2.5 * m and zeros else estimate


def max_balls(balls: float, bins: int, alpha: float, few_bins: int) -> float:
    """Returns how many balls the fullest bin holds at most, with high probability, if `balls` balls fall into
    `bins` bins at random.

    There is one formula for few balls (fewer than bins / ln bins) and one for many. With up to `few_bins`
    bins the latter, whose square-root term has the factor `alpha`, is used for any number of balls. The
    result never exceeds the number of balls.
    """
    if balls <= 0 or bins <= 1:
        return max(balls, 0.0)
    log_n = math.log(bins)
    if bins > few_bins and balls < bins / log_n:
        return min(balls, log_n / math.log(bins * log_n / balls))
    return min(balls, balls / bins + alpha * math.sqrt(2 * (balls / bins) * log_n))
