"""Translates discovery events and inventory members into the events of the routing module."""

from __future__ import annotations

import math
import re
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import replace
from hashlib import blake2b
from typing import Any

from olivecourse import interface as w
from olivecourse.config.address import Address, parse_address

STATES = {"Ready": w.State.READY, "Terminating": w.State.DRAINING, "Gone": w.State.GONE}
HEX_ID = re.compile(r"[A-Za-z]*-?([0-9a-f]{8})")
MAX_RECENTLY_LISTED = 16_384  # ids; some 2 MB at the most
OBJECT = re.compile(r"[0-9a-f]{16}")


class InvalidEvent(ValueError):
    """An event that can't be used, or not all of it."""


UNFIT = (KeyError, TypeError, ValueError, AttributeError, ArithmeticError)  # what unusable values bring about


def node_number(name: str) -> int:
    """The number by which the module knows a store: the same at every gateway, as they hash it alike."""
    if match := HEX_ID.fullmatch(name):
        return int(match[1], 16)
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


class ServerDirectory:
    """The servers that discovery has listed: names, addresses and states."""

    def __init__(
        self,
        zones: list[str],
        kinds: list[str],
        settings: w.Settings,
        from_unix_ms: Callable[[int], int],
        now: Callable[[], int],
    ) -> None:
        """`settings` tell which kinds stand at hubs, and which zones have gateways."""
        self._kinds, self._from_unix_ms, self._now = kinds, from_unix_ms, now
        self._at_hubs = {settings.parent_kind, settings.origin_kind} - {-1}
        # A hub may be named like an office: of two zones of one name, the one without gateways is the hub.
        staffed = settings.zone_routers + (0,) * len(zones)
        order = range(len(zones) - 1, -1, -1)
        self._offices = {zones[i]: i for i in sorted(order, key=lambda i: staffed[i] > 0)}
        self._hubs = {zones[i]: i for i in sorted(order, key=lambda i: not staffed[i])}
        self.names: dict[int, str] = {}
        self.addresses: dict[int, Address] = {}
        self.states: dict[int, w.State] = {}
        self.members: dict[int, w.Member] = {}
        self.terminated_at: dict[int, int] = {}  # stores that died, and when at the latest
        self.started: dict[int, tuple[int, int]] = {}  # by store: its start as told, and on our clock
        self.manually_drained: set[str] = set()  # ids that operators drain by hand, whatever discovery says
        self.leased_out: set[str] = set()  # ids that hold a lease to be out, as the fleet has agreed
        self.recently_listed: OrderedDict[str, None] = OrderedDict()  # ids that a list has named, latest last

    def ready(self, cache: int) -> bool:
        return self.states.get(cache) is w.State.READY and not self._withdrawn(cache)

    def _withdrawn(self, cache: int) -> bool:
        name = self.names.get(cache)
        return name in self.manually_drained or name in self.leased_out

    def effective_member(self, member: w.Member) -> w.Member:
        """The member as the module is to see it: a withdrawn server drains, whatever discovery says."""
        hidden = member.state is w.State.READY and self._withdrawn(member.cache)
        return replace(member, state=w.State.DRAINING) if hidden else member

    def effective_change(self, name: str) -> w.CacheList | None:
        """The event that tells the module of a server drained or restored by hand; None if not listed."""
        member = self.members.get(node_number(name))
        if member is None or self.names.get(member.cache) != name:
            return None
        return w.CacheList(0, w.ListKind.CHANGES, (self.effective_member(member),))

    def events(self, event: Any, first: bool = False) -> Iterator[w.Event]:
        """The module's events for one numbered event; raises InvalidEvent."""
        if not isinstance(event, dict):
            raise InvalidEvent("an event is an object")
        try:
            if "pool" in event:
                members, bad = self._members(event["pool"].get("members", ()))
                yield self._pool(event["pool"], members, first)
                if bad:  # what the event says of the others holds: a drain must not wait for a typing error
                    raise InvalidEvent("; ".join(bad[:3]))
            if "flush" in event:
                yield self._flush(event["flush"])
        except InvalidEvent:
            raise
        except UNFIT as error:
            raise InvalidEvent(f"{type(error).__name__}: {error}") from None

    def _members(self, told: Any) -> tuple[list[w.Member], list[str]]:
        """Those that can be used, one that can't as it is known, and what was wrong with which."""
        members, bad = list[w.Member](), list[str]()
        for m in told:
            try:
                members.append(self._member(m))
            except UNFIT as error:
                bad.append(f"{type(error).__name__}: {error}")
                known = self.members.get(node_number(str(m.get("id")))) if isinstance(m, dict) else None
                members += [] if known is None else [known]
        return members, bad

    def _pool(self, pool: Any, members: list[w.Member], first: bool) -> w.CacheList:
        whole = bool(pool.get("complete"))
        if whole:  # what a whole list does not name has been removed
            for cache in set(self.states) - {m.cache for m in members}:
                self._forget(cache)
            self.members.clear()
        for m in members:
            known = self.members.get(m.cache)
            if m.state is w.State.GONE:
                self._forget(m.cache)
                continue
            if known is not None and m.ready_at_ns and m.ready_at_ns != known.ready_at_ns:
                self.terminated_at[m.cache] = m.ready_at_ns
            self.states[m.cache] = m.state
            self.members[m.cache] = m
        # Changes are changes, also among the events of the start: taken as a list they would end all others.
        kind = w.ListKind.CHANGES if not whole else w.ListKind.HELD if first else w.ListKind.FULL
        return w.CacheList(int(pool.get("revision", 0)), kind, tuple(map(self.effective_member, members)))

    def _forget(self, cache: int) -> None:
        """A store that is gone leaves nothing behind: its successor has another id, perhaps its address."""
        self.terminated_at[cache] = self._now()
        for known in (self.names, self.addresses, self.states, self.members, self.started):
            known.pop(cache, None)

    def _member(self, m: Any) -> w.Member:
        name, state = str(m["id"]), STATES[m["phase"]]
        cache = node_number(name)
        address = parse_address(m["host_port"]) if m.get("host_port") else None
        up, weight = int(m.get("up_since_ms") or 0), float(m.get("size") or 1)
        cell = None if m.get("cell") is None else int(m["cell"])
        if not math.isfinite(weight):
            raise InvalidEvent(f"{name}: no size")
        if self.names.setdefault(cache, name) != name:  # from here on all of it can be used
            raise InvalidEvent(f"{name} and {self.names[cache]} share a number")
        self.recently_listed.pop(name, None)
        self.recently_listed[name] = None
        if len(self.recently_listed) > MAX_RECENTLY_LISTED:
            self.recently_listed.popitem(last=False)
        if address is not None:
            self.addresses[cache] = address
        # Told again, a start keeps its place on our clock: else a step of the system's clock looks like one.
        told, start = self.started.get(cache, (0, 0))
        if up != told:
            start = max(self._from_unix_ms(up), 1) if up else 0
            self.started[cache] = (up, start)
        kind = self._kinds.index(m["flavor"]) if m.get("flavor") in self._kinds else None
        zones = self._hubs if kind in self._at_hubs else self._offices
        return w.Member(
            cache,
            weight,
            start,
            zones.get(str(m.get("locality"))),
            state,
            cell,
            kind,
            "{}:{}@{}".format(*self.addresses.get(cache, ("", 0)), up),
        )

    def _flush(self, flush: Any) -> w.Purged:
        age = max(self._now() - self._from_unix_ms(int(flush["ms"])), 0)
        if "asset" in flush:
            if not OBJECT.fullmatch(str(flush["asset"])):
                raise InvalidEvent("asset is not 16 hex digits")
            return w.Purged(str(flush["asset"]), None, age)
        return w.Purged(None, int(flush["collection"]), age)
