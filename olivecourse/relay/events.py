"""Typed parsing of one numbered event of the notice board, as JSON gives it.

An event is passed on to watchers untouched. What is parsed here is only what folding needs: the members of a
server list and the key and moment of a purge. A part that can't be used is counted and left to the gateways
to refuse, as they would refuse it from the platform: a relay that dropped the event would hide its rest.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

GONE = "Gone"
PHASES = frozenset(("Ready", "Terminating", GONE))
OBJECT_KEY = re.compile(r"[0-9a-f]{16}")
HIGHEST_NUMBER = 2**63 - 1  # a larger one would not fit other readers' integers

PurgeKey = str | int
"""An object's key (16 hex digits) or a group's number: never equal to each other."""

FOLDED_THROUGH = "folded_through"
"""Of a folded list: the number of its newest change, where that is above the event's own. Relays write and
read it; others ignore it, as they do all parts that they do not know."""

UNUSABLE = (KeyError, TypeError, ValueError, OverflowError)


class InvalidRelayEvent(ValueError):
    """A value that is no numbered event; the text tells why."""


@dataclass
class MemberChange:
    """One store as an event tells it: always whole, under its id."""

    name: str
    gone: bool
    raw: dict[str, Any]


@dataclass
class PoolChange:
    """A server list, or changes to it. `raw` is the event's part with all that is not known here."""

    complete: bool
    members: list[MemberChange]
    raw: dict[str, Any]


@dataclass
class Purge:
    """A purge of an object or a group, made at the Unix millisecond `made_ms`."""

    key: PurgeKey
    made_ms: int


@dataclass
class RelayEvent:
    """One event: its number, its usable parts, and the object that is passed on.

    `folded_through` is the number up to which a whole list tells all changes: the event's own or a later one.
    `unusable` counts parts and members that can't be folded; `has_unknown` tells of parts not known here.
    """

    number: int
    pool: PoolChange | None
    purge: Purge | None
    raw: dict[str, Any]
    has_unknown: bool
    unusable: int
    folded_through: int


def parse_event(raw: object) -> RelayEvent:
    """The event in `raw`; raises InvalidRelayEvent if it is no object or has no number above 0."""
    if not isinstance(raw, dict):
        raise InvalidRelayEvent("an event is an object")
    number = _event_number(raw.get("rev"))
    if not number:
        raise InvalidRelayEvent("'rev' is no number of an event")
    pool: PoolChange | None = None
    purge: Purge | None = None
    unusable = 0
    known = 1
    if "pool" in raw:
        known += 1
        pool, unusable = _parse_pool(raw["pool"])
    if "flush" in raw:
        known += 1
        purge = _parse_purge(raw["flush"])
        if purge is None:
            unusable += 1
    folded_through = number
    if FOLDED_THROUGH in raw:
        known += 1
        if pool is not None and pool.complete:
            folded_through = max(number, _event_number(raw[FOLDED_THROUGH]))
    return RelayEvent(number, pool, purge, raw, len(raw) != known, unusable, folded_through)


def _event_number(value: Any) -> int:
    """The number of an event, or 0 if `value` is none."""
    if not isinstance(value, int) or isinstance(value, bool):
        return 0
    return value if 0 < value <= HIGHEST_NUMBER else 0


def _parse_pool(raw: Any) -> tuple[PoolChange | None, int]:
    """The list or change in `raw`, and how many of its members can't be used."""
    if not isinstance(raw, dict):
        return None, 1
    told = raw.get("members", [])
    if not isinstance(told, list):
        return None, 1
    members: list[MemberChange] = []
    for entry in told:
        member = _parse_member(entry)
        if member is not None:
            members.append(member)
    return PoolChange(bool(raw.get("complete")), members, raw), len(told) - len(members)


def _parse_member(raw: Any) -> MemberChange | None:
    if not isinstance(raw, dict):
        return None
    name, phase = raw.get("id"), raw.get("phase")
    if name is None or not isinstance(phase, str) or phase not in PHASES:
        return None
    return MemberChange(str(name), phase == GONE, raw)


def _parse_purge(raw: Any) -> Purge | None:
    if not isinstance(raw, dict):
        return None
    try:
        made_ms = int(raw["ms"])
        if "asset" not in raw:
            return Purge(int(raw["collection"]), made_ms)
    except UNUSABLE:
        return None
    asset = raw["asset"]
    if not isinstance(asset, str) or OBJECT_KEY.fullmatch(asset) is None:
        return None
    return Purge(asset, made_ms)
