"""A consistent-hash ring, rendezvous hashing and distances between zones.

The caller chooses how many points a node has on the ring and what weight it has in rendezvous hashing.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator

from olivecourse.sketch import HASH_BITS, hash64, unit_hash
from olivecourse.state import Node


class Ring:
    """A consistent-hash ring of caches over 64-bit hashes: when a cache leaves, only names that it was the
    first cache for get another first cache.

    Caches are named by their numbers. The share of the names that a cache is first for is proportional to its
    number of points. Where these lie depends on nothing but the cache's number.
    """

    def __init__(self, points: Iterable[tuple[int, int]], bucket_bits: int) -> None:
        """`points` gives each cache with its number of points. The ring is stored in 2 ** `bucket_bits`
        sorted parts: the more there are, the less a change of a point moves.
        """
        # For each part of the ring, the hashes of its points in ascending order, and their caches.
        self._bucket_count = 1 << bucket_bits
        self._bucket_shift = HASH_BITS - bucket_bits
        self._positions = [array("Q") for _ in range(self._bucket_count)]
        self._caches = [array("Q") for _ in range(self._bucket_count)]
        self._point_counts: dict[int, int] = {}
        for cache, count in points:
            self.resize(cache, count, count)

    def point_count(self, cache: int) -> int:
        """Returns how many points a cache has; 0 for one that is not on the ring."""
        return self._point_counts.get(cache, 0)

    def resize(self, cache: int, count: int, max_changes: int) -> int:
        """Adds or removes up to `max_changes` points, so that a cache has `count` of them if that suffices.

        Returns how many points were added or removed.
        """
        current = self.point_count(cache)
        if count >= current:
            target = min(count, current + max_changes)
            for number in range(current, target):
                self._add_point(cache, hash64(f"{cache}/{number}"))
        else:
            target = max(count, current - max_changes)
            for number in range(target, current):
                self._remove_point(cache, hash64(f"{cache}/{number}"))
        if target:
            self._point_counts[cache] = target
        else:
            self._point_counts.pop(cache, None)
        return abs(target - current)

    def _add_point(self, cache: int, position: int) -> None:
        bucket = position >> self._bucket_shift
        index = self._point_index(cache, position)
        self._positions[bucket].insert(index, position)
        self._caches[bucket].insert(index, cache)

    def _remove_point(self, cache: int, position: int) -> None:
        bucket = position >> self._bucket_shift
        index = self._point_index(cache, position)
        self._positions[bucket].pop(index)
        self._caches[bucket].pop(index)

    def _point_index(self, cache: int, position: int) -> int:
        """Returns the index of a cache's point in its part of the ring; equal hashes are sorted by cache."""
        bucket = position >> self._bucket_shift
        positions, caches = self._positions[bucket], self._caches[bucket]
        index = bisect_left(positions, position)
        while index < len(positions) and positions[index] == position and caches[index] < cache:
            index += 1
        return index

    def walk(self, name: str) -> Iterator[int]:
        """Yields every cache once, in the order of their points on the ring from the hash of `name` on."""
        position = hash64(name)
        bucket = position >> self._bucket_shift
        index = bisect_left(self._positions[bucket], position)
        visited: set[int] = set()
        while len(visited) < len(self._point_counts):
            caches = self._caches[bucket]
            while index < len(caches):
                cache = caches[index]
                index += 1
                if cache not in visited:
                    visited.add(cache)
                    yield cache
            bucket, index = (bucket + 1) % self._bucket_count, 0


def rendezvous_order(name: str, weighted: Iterable[tuple[Node, float]]) -> list[Node]:
    """Returns the nodes in the order that weighted rendezvous hashing gives for `name`, the best node first.

    Each node is first for a share of all names that is proportional to its weight; nodes whose weight is not
    above 0 are left out.
    """
    scored = [
        (-math.log(unit_hash(f"{name}@{node.member.cache}")) / weight, node.member.cache, node)
        for node, weight in weighted
        if weight > 0
    ]
    return [node for _, _, node in sorted(scored, key=lambda entry: entry[:2])]


def ring_distance(hub_positions: tuple[int, ...], zone_a: int | None, zone_b: int) -> int:
    """Returns the number of steps between the hubs of two zones on a circle of hubs, the shorter way round.

    `hub_positions` gives the position of each zone's hub, by zone number. The result is 0 if the position of
    a zone is unknown.
    """
    if zone_a is None or max(zone_a, zone_b) >= len(hub_positions):
        return 0
    distance = abs(hub_positions[zone_a] - hub_positions[zone_b])
    return min(distance, max(hub_positions) + 1 - distance)
