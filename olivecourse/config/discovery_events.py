"""Translates discovery events, and an inventory in the same form, into events of the routing module, and
keeps the directory of servers.
"""

from __future__ import annotations

import math
import re
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import replace
from hashlib import blake2b
from typing import Any

from olivecourse import interface
from olivecourse.config.address import Address, parse_address

STATES = {
    "Ready": interface.State.READY,
    "Terminating": interface.State.DRAINING,
    "Gone": interface.State.GONE,
}
HEX_NUMBERED_ID = re.compile(r"[A-Za-z]*-?([0-9a-f]{8})")
# Maximum number of server ids kept in `ServerDirectory.recently_listed`; they take at most about 2 MB.
MAX_RECENTLY_LISTED = 16_384
OBJECT_ID = re.compile(r"[0-9a-f]{16}")


class InvalidEvent(ValueError):
    """Raised for a discovery event that cannot be used at all, or only in part because some members are
    invalid.
    """


# Exceptions that invalid values in a discovery event cause while it is translated; they become InvalidEvent.
CONVERSION_ERRORS = (KeyError, TypeError, ValueError, AttributeError, ArithmeticError)


def node_number(name: str) -> int:
    """Returns the 32-bit number that identifies a server in the routing module: the hex digits of a server id
    like box-0000002a, else a hash of the id. It is therefore the same at every gateway.
    """
    if match := HEX_NUMBERED_ID.fullmatch(name):
        return int(match[1], 16)
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


class ServerDirectory:
    """The servers listed by discovery or the inventory, with their names, addresses and states. Tables are
    keyed by `node_number`.
    """

    def __init__(
        self,
        zones: list[str],
        kinds: list[str],
        settings: interface.Settings,
        from_unix_ms: Callable[[int], int],
        now: Callable[[], int],
    ) -> None:
        """`zones` and `kinds` list the names by index; `settings` define which kinds of servers are at hubs,
        and how many gateways each zone has. `from_unix_ms` converts a Unix time in milliseconds to the clock
        that `now` returns, in nanoseconds.
        """
        self._kinds, self._from_unix_ms, self._now = kinds, from_unix_ms, now
        self._hub_kinds = {settings.parent_kind, settings.origin_kind} - {-1}
        # A hub and an office (a zone with gateways) may have the same name. These two tables map a zone's
        # name to its index: of two zones with one name, the first table prefers the one with gateways, the
        # second the one without.
        gateway_counts = settings.zone_routers + (0,) * len(zones)
        order = range(len(zones) - 1, -1, -1)
        self._office_zones = {
            zones[zone]: zone for zone in sorted(order, key=lambda zone: gateway_counts[zone] > 0)
        }
        self._hub_zones = {
            zones[zone]: zone for zone in sorted(order, key=lambda zone: not gateway_counts[zone])
        }
        self.names: dict[int, str] = {}
        self.addresses: dict[int, Address] = {}
        self.states: dict[int, interface.State] = {}
        self.members: dict[int, interface.Member] = {}
        # Servers that were removed or restarted since the control plane last emptied this table, with the
        # latest time at which their old process can have ended.
        self.terminated_at: dict[int, int] = {}
        # For each server, the start time of its process: in Unix milliseconds as discovery reported it, and
        # in nanoseconds on the local clock.
        self.started: dict[int, tuple[int, int]] = {}
        # Ids of servers that operators took out of service by hand; they count as draining even if discovery
        # reports them as ready.
        self.manually_drained: set[str] = set()
        # Ids of servers that are out of service during a rollout, by a lease that the gateways agreed on;
        # they count as draining as well.
        self.leased_out: set[str] = set()
        # The ids of up to MAX_RECENTLY_LISTED servers that any event has listed, also of removed ones, with
        # the most recently listed last.
        self.recently_listed: OrderedDict[str, None] = OrderedDict()

    def ready(self, cache: int) -> bool:
        """Returns whether discovery reports a server as ready and it is in neither `manually_drained` nor
        `leased_out`.
        """
        return self.states.get(cache) is interface.State.READY and not self._withdrawn(cache)

    def _withdrawn(self, cache: int) -> bool:
        """Returns whether a server is in `manually_drained` or `leased_out`."""
        name = self.names.get(cache)
        return name in self.manually_drained or name in self.leased_out

    def effective_member(self, member: interface.Member) -> interface.Member:
        """Returns the member as it is reported to the routing module: a ready server that is in
        `manually_drained` or `leased_out` is reported as draining.
        """
        withdrawn = member.state is interface.State.READY and self._withdrawn(member.cache)
        return replace(member, state=interface.State.DRAINING) if withdrawn else member

    def effective_change(self, name: str) -> interface.CacheList | None:
        """Returns the event that reports the present state of a server to the routing module, after it was
        taken out of service or restored by hand or for a rollout. `name` is its id. Returns None for a server
        that is not listed.
        """
        member = self.members.get(node_number(name))
        if member is None or self.names.get(member.cache) != name:
            return None
        return interface.CacheList(0, interface.ListKind.CHANGES, (self.effective_member(member),))

    def events(self, event: Any, first: bool = False) -> Iterator[interface.Event]:
        """Applies one discovery event to the directory and yields it as events of the routing module: a list
        of servers, a purge, or both. `first` is true for the events known at startup. Raises InvalidEvent.
        """
        if not isinstance(event, dict):
            raise InvalidEvent("the event is not an object")
        try:
            if "pool" in event:
                members, errors = self._members(event["pool"].get("members", ()))
                yield self._pool(event["pool"], members, first)
                # The valid members of the event have been used nevertheless: a drain must not be lost because
                # of an error in the entry of another server.
                if errors:
                    raise InvalidEvent("; ".join(errors[:3]))
            if "flush" in event:
                yield self._flush(event["flush"])
        except InvalidEvent:
            raise
        except CONVERSION_ERRORS as error:
            raise InvalidEvent(f"{type(error).__name__}: {error}") from None

    def _members(self, entries: Any) -> tuple[list[interface.Member], list[str]]:
        """Returns the entries of a server list as members, and an error text for each invalid entry. In place
        of an invalid entry, the server's last valid member is returned if there is one.
        """
        members, errors = list[interface.Member](), list[str]()
        for entry in entries:
            try:
                members.append(self._member(entry))
            except CONVERSION_ERRORS as error:
                errors.append(f"{type(error).__name__}: {error}")
                known = (
                    self.members.get(node_number(str(entry.get("id")))) if isinstance(entry, dict) else None
                )
                members += [] if known is None else [known]
        return members, errors

    def _pool(self, pool: Any, members: list[interface.Member], first: bool) -> interface.CacheList:
        """Applies a list of servers, the complete one or only changes, to the directory and returns it as an
        event of the routing module.
        """
        complete = bool(pool.get("complete"))
        if complete:  # Servers missing from a complete list have been removed.
            for cache in set(self.states) - {member.cache for member in members}:
                self._forget(cache)
            self.members.clear()
        for member in members:
            known = self.members.get(member.cache)
            if member.state is interface.State.GONE:
                self._forget(member.cache)
                continue
            if known is not None and member.ready_at_ns and member.ready_at_ns != known.ready_at_ns:
                self.terminated_at[member.cache] = member.ready_at_ns
            self.states[member.cache] = member.state
            self.members[member.cache] = member
        # A list of changes is reported as CHANGES even at startup, because the routing module would remove
        # all servers missing from a complete list.
        kind = (
            interface.ListKind.CHANGES
            if not complete
            else interface.ListKind.HELD
            if first
            else interface.ListKind.FULL
        )
        return interface.CacheList(
            int(pool.get("revision", 0)), kind, tuple(map(self.effective_member, members))
        )

    def _forget(self, cache: int) -> None:
        """Removes a server that discovery no longer lists and notes its end in `terminated_at`. A server that
        replaces it has another id, but may have the same address.
        """
        self.terminated_at[cache] = self._now()
        for table in (self.names, self.addresses, self.states, self.members, self.started):
            table.pop(cache, None)

    def _member(self, entry: Any) -> interface.Member:
        """Translates the entry of one server and records its name, address and start time. Raises one of
        CONVERSION_ERRORS for an invalid entry.
        """
        name, state = str(entry["id"]), STATES[entry["phase"]]
        cache = node_number(name)
        address = parse_address(entry["host_port"]) if entry.get("host_port") else None
        up_since_ms, weight = int(entry.get("up_since_ms") or 0), float(entry.get("size") or 1)
        cell = None if entry.get("cell") is None else int(entry["cell"])
        if not math.isfinite(weight):
            raise InvalidEvent(f"{name}: size is not a finite number")
        # The values of the entry have been checked; only from here on does the method change the directory.
        if self.names.setdefault(cache, name) != name:
            raise InvalidEvent(f"{name} and {self.names[cache]} share a number")
        self.recently_listed.pop(name, None)
        self.recently_listed[name] = None
        if len(self.recently_listed) > MAX_RECENTLY_LISTED:
            self.recently_listed.popitem(last=False)
        if address is not None:
            self.addresses[cache] = address
        # A start time that is reported again unchanged keeps its time on the local clock. Converted anew
        # after a step of the system clock it would differ, which would look like a restart of the server.
        known_up_since_ms, started_at = self.started.get(cache, (0, 0))
        if up_since_ms != known_up_since_ms:
            started_at = max(self._from_unix_ms(up_since_ms), 1) if up_since_ms else 0
            self.started[cache] = (up_since_ms, started_at)
        kind = self._kinds.index(entry["flavor"]) if entry.get("flavor") in self._kinds else None
        zones = self._hub_zones if kind in self._hub_kinds else self._office_zones
        return interface.Member(
            cache,
            weight,
            started_at,
            zones.get(str(entry.get("locality"))),
            state,
            cell,
            kind,
            "{}:{}@{}".format(*self.addresses.get(cache, ("", 0)), up_since_ms),
        )

    def _flush(self, flush: Any) -> interface.Purged:
        """Translates the purge of one object (an asset) or of a group of objects (a collection)."""
        age_ns = max(self._now() - self._from_unix_ms(int(flush["ms"])), 0)
        if "asset" in flush:
            if not OBJECT_ID.fullmatch(str(flush["asset"])):
                raise InvalidEvent("asset is not 16 hex digits")
            return interface.Purged(str(flush["asset"]), None, age_ns)
        return interface.Purged(None, int(flush["collection"]), age_ns)
