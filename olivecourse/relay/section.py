"""The `relay:` section of an operator's file: where a relay listens, whom it polls, and its limits."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
import yaml

from olivecourse.config.address import Address, parse_address
from olivecourse.config.sections import BadSection, read_section
from olivecourse.relay.history import HistoryLimits

MS = 1_000_000  # nanoseconds
S = 1_000 * MS
KB = 1024
MOST_UPSTREAMS = 16  # more relays than a whole fleet has
LEASE_BEYOND_WAIT_S = 2  # for an answer to arrive and the next poll to come


class RelaySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What may stand in the section.

    | field | unit | why this default |
    | --- | --- | --- |
    | `listen`, `upstreams` | HOST:PORT | none; the first upstream is preferred |
    | `report_upstream` | | off: only relays of ours are sure to take the further parameters of a poll |
    | `lease_s` | seconds | three of the longest waits: one lost poll must not count as a dead gateway |
    | `longest_wait_ms` | ms | what the platform's protocol allows a poll to wait |
    | `shortest_grace_ms` | ms | shortest grace of the settings (drains, purges); sets the pace of polls |
    | `purge_retention_s` | seconds | ten times the usual `purge_settles` of 6 s |
    | `history_kb`, `history_events` | KB, events | half a minute at 150 purges a second |
    | `most_members` | stores | 15 times the largest deployment planned |
    | `most_purges` | purges | over 1,000 a second through the whole retention |
    | `most_watchers` | connections | the largest fleet planned, all on the last relay left |
    | `most_unread_kb` | KB | four of the longest answers: slow readers together hold no more |
    | `read_timeout_ms` | ms | a gateway gives up an answer after 0.7 s; four times that |
    | `idle_timeout_ms` | ms | gateways poll several times a second; the rest has gone silently |
    """

    listen: str
    upstreams: Annotated[list[str], msgspec.Meta(min_length=1, max_length=MOST_UPSTREAMS)]
    report_upstream: bool = False
    lease_s: Annotated[float, msgspec.Meta(ge=1, le=600)] = 15.0
    longest_wait_ms: Annotated[int, msgspec.Meta(ge=100, le=5_000)] = 5_000
    shortest_grace_ms: Annotated[int, msgspec.Meta(ge=20, le=10_000)] = 250
    purge_retention_s: Annotated[float, msgspec.Meta(ge=1, le=3_600)] = 60.0
    history_kb: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 1_024
    history_events: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 4_096
    most_members: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 16_384
    most_purges: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 65_536
    most_watchers: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 8_192
    most_unread_kb: Annotated[int, msgspec.Meta(ge=1, le=4_194_304)] = 32_768
    read_timeout_ms: Annotated[int, msgspec.Meta(ge=100, le=60_000)] = 3_000
    idle_timeout_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = 15_000

    def __post_init__(self) -> None:
        parse_address(self.listen)
        for upstream in self.upstreams:
            parse_address(upstream)
        if self.listen in self.upstreams:
            raise ValueError("upstreams: a relay can't poll itself")
        if self.lease_s * 1000 < self.longest_wait_ms + LEASE_BEYOND_WAIT_S * 1000:
            raise ValueError(f"lease_s is to be {LEASE_BEYOND_WAIT_S} s more than longest_wait_ms")

    def history_limits(self) -> HistoryLimits:
        """The history's part of the limits."""
        return HistoryLimits(
            most_bytes=self.history_kb * KB,
            most_events=self.history_events,
            most_members=self.most_members,
            most_purges=self.most_purges,
            purge_retention_ns=int(self.purge_retention_s * S),
        )

    def addresses(self) -> list[Address]:
        """The upstreams, parsed."""
        return [parse_address(text) for text in self.upstreams]


# Taken at the start only; a reload names those that differ.
FIXED_AT_START = (
    "listen",
    "lease_s",
    "purge_retention_s",
    "history_kb",
    "history_events",
    "most_members",
    "most_purges",
)


@dataclass(frozen=True)
class RelayConfig:
    """A relay's name and its section."""

    name: str
    section: RelaySection


def read_relay(path: str) -> RelayConfig:
    """The relay described by the operator's file at `path`; raises BadSection with one line of text."""
    section = read_section(path, "relay", RelaySection)
    if section is None:
        raise BadSection(f"{path}: relay: missing")
    root = yaml.safe_load(Path(path).read_text("utf-8"))
    return RelayConfig(str(root.get("name", "relay")), section)
