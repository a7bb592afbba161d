"""A consistent-hash ring, rendezvous hashing and distances between zones.

The caller chooses how many points a node has on the ring and what weight it has in rendezvous hashing.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable, Iterator

from olivecourse.sketch import hash64, unit_hash
from olivecourse.state import Node


class Ring:
    """A consistent-hash ring of nodes over 64-bit hashes: when a node leaves, only names that it was the
    first node for get another first node.

    `points` gives each node with its number of points on the ring, to which its share of names is
    proportional.
    """

    __slots__ = ("_positions", "_nodes", "_node_count")

    def __init__(self, points: Iterable[tuple[Node, int]] = ()) -> None:
        points_on_ring = sorted(
            (
                (hash64(f"{node.member.cache}/{number}"), node.member.cache, node)
                for node, count in points
                for number in range(count)
            ),
            key=lambda entry: entry[:2],
        )
        self._positions = [position for position, _, _ in points_on_ring]
        self._nodes = [node for _, _, node in points_on_ring]
        self._node_count = len({cache for _, cache, _ in points_on_ring})

    def walk(self, name: str) -> Iterator[Node]:
        """Yields every node once, in the order of their points on the ring from the hash of `name` on."""
        index = bisect_left(self._positions, hash64(name))
        visited: list[int] = []
        while len(visited) < self._node_count:
            node = self._nodes[index % len(self._nodes)]
            index += 1
            if node.member.cache not in visited:
                visited.append(node.member.cache)
                yield node


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
