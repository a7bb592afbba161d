"""The nodes that a router may use, sorted into caches, parents and origins."""

from __future__ import annotations

from bisect import bisect_left

from olivecourse.interface import Member, Settings, State
from olivecourse.state import Node
from olivecourse.weighted_ring import WeightedRing


class NodeGroups:
    """The ready nodes of each kind, sorted by number, of the caches those in the router's zone.

    Adding or removing a node costs the same in a large fleet as in a small one.
    """

    def __init__(self, settings: Settings, ring: WeightedRing) -> None:
        """`ring` gets the caches and their weights; the caller updates it."""
        self._zone = settings.zone
        self._parent_kind, self._origin_kind = settings.parent_kind, settings.origin_kind
        self.ring = ring
        self.caches: list[Node] = []
        self.parents: list[Node] = []
        self.origins: list[Node] = []
        self.caches_by_number: dict[int, Node] = {}

    def add(self, node: Node) -> None:
        """Enters a node in its groups, and in the ring if it is one of the caches."""
        number = node.member.cache
        for group in self._groups(node.member):
            group.insert(bisect_left(group, number, key=_number), node)
        if self._is_cache(node.member):
            self.caches_by_number[number] = node
            self.ring.set_weight(number, node.member.weight or 1.0)
        else:
            self.ring.remove(number)

    def take_out(self, node: Node) -> None:
        """Removes a node from its groups, before its entry changes. It keeps its points on the ring."""
        for group in self._groups(node.member):
            del group[bisect_left(group, node.member.cache, key=_number)]
        self.caches_by_number.pop(node.member.cache, None)

    def remove(self, node: Node) -> None:
        """Removes a node from its groups and from the ring."""
        self.take_out(node)
        self.ring.remove(node.member.cache)

    def _groups(self, member: Member) -> list[list[Node]]:
        """Returns the groups of a node with this entry: none if it drains or is a cache of another zone."""
        if self._is_cache(member):
            return [self.caches]
        groups: list[list[Node]] = []
        if member.state is not State.READY:
            return groups
        if member.kind == self._parent_kind and self._parent_kind >= 0:
            groups.append(self.parents)
        if member.kind == self._origin_kind:
            groups.append(self.origins)
        return groups

    def _is_cache(self, member: Member) -> bool:
        is_hub = member.kind in (self._parent_kind, self._origin_kind)
        return member.state is State.READY and member.zone == self._zone and not is_hub


def _number(node: Node) -> int:
    return node.member.cache
