"""Parsing of one numbered event from decoded JSON. The events come from the platform's discovery
service, which publishes changes of the server list and purges under ascending numbers.

An event is passed on to watchers (gateways and relays below) unchanged. Parsed is only what a relay needs to
merge old events into a compact state: the members of a server list, and the key and time of a purge. A part
that can't be parsed is counted and passed on for the gateways to refuse, as they would if it came from the
platform directly; a relay that dropped the event would hide its other parts.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

GONE = "Gone"
PHASES = frozenset(("Ready", "Terminating", GONE))
OBJECT_KEY = re.compile(r"[0-9a-f]{16}")
HIGHEST_NUMBER = 2**63 - 1  # highest event number; a larger one would overflow other readers' 64-bit integers

PurgeKey = str | int
"""What a purge covers: the key of one object (text of 16 hex digits) or the number of a group of objects.

As one is a text and the other a number, they never compare equal."""

FOLDED_THROUGH = "folded_through"
"""JSON key in an event with a complete server list that a relay has made from several events. Its value is
the number of the newest event whose change the list includes; it may be above the event's own number.

Relays write and read it; other readers ignore it like any unknown part."""

UNUSABLE = (KeyError, TypeError, ValueError, OverflowError)  # raised when a purge with invalid fields is read


class InvalidRelayEvent(ValueError):
    """Raised for a value that is not a JSON object with a valid event number; the message says which."""


@dataclass
class MemberChange:
    """One store's complete entry in an event.

    `name` is the store's id, `gone` is true if the store has left the server list, `raw` is the JSON object.
    """

    name: str
    gone: bool
    raw: dict[str, Any]


@dataclass
class PoolChange:
    """The `pool` part of an event: a complete server list if `complete`, else changes to single members.

    `raw` is the part as received, unknown fields included.
    """

    complete: bool
    members: list[MemberChange]
    raw: dict[str, Any]


@dataclass
class Purge:
    """The purge of one object or of a group of objects, issued at the Unix time `made_ms` in milliseconds."""

    key: PurgeKey
    made_ms: int


@dataclass
class RelayEvent:
    """One event: its number, its server list part and its purge (None if absent or invalid), and `raw`, the
    JSON object as received, which is passed on.

    `folded_through` is the event number up to which a complete server list includes all changes: the event's
    own number or a higher one. `unusable` counts the invalid parts and list members; `has_unknown` is true if
    the event has parts of unknown meaning.
    """

    number: int
    pool: PoolChange | None
    purge: Purge | None
    raw: dict[str, Any]
    has_unknown: bool
    unusable: int
    folded_through: int


def parse_event(raw: object) -> RelayEvent:
    """Parses an event from a decoded JSON value.

    Raises InvalidRelayEvent if `raw` is not a JSON object or its `rev` is not a number from 1 to
    HIGHEST_NUMBER; other invalid parts are only counted.
    """
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
    """Returns `value` if it is an integer from 1 to HIGHEST_NUMBER, else 0."""
    if not isinstance(value, int) or isinstance(value, bool):
        return 0
    return value if 0 < value <= HIGHEST_NUMBER else 0


def _parse_pool(raw: Any) -> tuple[PoolChange | None, int]:
    """Parses the `pool` part of an event.

    Returns the server list or the changes to it, and the number of invalid members, which are left out; None
    and 1 if the whole part is invalid.
    """
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
