"""Parsing of one numbered event of the notice board from decoded JSON.

An event is passed on to watchers unchanged. Only what folding needs is parsed here: the members of a server
list, and the key and time of a purge. An unusable part is counted and passed on for the gateways to refuse,
as they would if it came from the platform directly; a relay that dropped the event would hide its other
parts.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

GONE = "Gone"
PHASES = frozenset(("Ready", "Terminating", GONE))
OBJECT_KEY = re.compile(r"[0-9a-f]{16}")
HIGHEST_NUMBER = 2**63 - 1  # a larger number would overflow the 64-bit integers of other readers

PurgeKey = str | int
"""An object's key (16 hex digits) or a group's number; a key never equals a number."""

FOLDED_THROUGH = "folded_through"
"""Key in the event of a folded list: the number of the newest change in the list, if above the event's own.

Relays write and read it; other readers ignore it like any unknown part."""

UNUSABLE = (KeyError, TypeError, ValueError, OverflowError)


class InvalidRelayEvent(ValueError):
    """A value that is not a numbered event; the message says why."""


@dataclass
class MemberChange:
    """The complete entry of one store in an event; `name` is its id, `gone` says that it left the list."""

    name: str
    gone: bool
    raw: dict[str, Any]


@dataclass
class PoolChange:
    """A complete server list, or changes to one. `raw` is the original part, unknown fields included."""

    complete: bool
    members: list[MemberChange]
    raw: dict[str, Any]


@dataclass
class Purge:
    """A purge of an object or a group, issued at the Unix time `made_ms` in milliseconds."""

    key: PurgeKey
    made_ms: int


@dataclass
class RelayEvent:
    """One event: its number, its usable parts, and the original object that is passed on.

    `folded_through` is the number up to which a complete list includes all changes: the event's own number or
    a higher one. `unusable` counts parts and members that can't be folded; `has_unknown` is true if there are
    parts of unknown meaning.
    """

    number: int
    pool: PoolChange | None
    purge: Purge | None
    raw: dict[str, Any]
    has_unknown: bool
    unusable: int
    folded_through: int


def parse_event(raw: object) -> RelayEvent:
    """Parses an event; raises InvalidRelayEvent if `raw` is no object or has no number above 0."""
    if not isinstance(raw, dict):
        raise InvalidRelayEvent("an event must be an object")
    number = _event_number(raw.get("rev"))
    if not number:
        raise InvalidRelayEvent("'rev' is not a valid event number")
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
    """Returns `value` if it is a valid event number, else 0."""
    if not isinstance(value, int) or isinstance(value, bool):
        return 0
    return value if 0 < value <= HIGHEST_NUMBER else 0


def _parse_pool(raw: Any) -> tuple[PoolChange | None, int]:
    """Returns the list or change in `raw`, and the number of unusable members."""
    if not isinstance(raw, dict):
        return None, 1
    entries = raw.get("members", [])
    if not isinstance(entries, list):
        return None, 1
    members: list[MemberChange] = []
    for entry in entries:
        member = _parse_member(entry)
        if member is not None:
            members.append(member)
    return PoolChange(bool(raw.get("complete")), members, raw), len(entries) - len(members)


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
