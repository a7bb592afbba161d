"""The `relay:` section of an operator's YAML file: a relay's listening address, its upstreams (the platform's
discovery service or other relays, which it polls), and its limits.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
import yaml

from olivecourse.config.address import Address, parse_address
from olivecourse.config.sections import InvalidSection, read_section
from olivecourse.relay.history import HistoryLimits

MS = 1_000_000  # nanoseconds per millisecond
S = 1_000 * MS
KB = 1024
MAX_UPSTREAMS = 16  # most upstream addresses in the section; more than the relays of a whole fleet
MIN_LEASE_MARGIN_S = 2  # by this a lease exceeds the longest wait, for an answer and the next poll to arrive


class RelaySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The fields of the section, each with the reason for its default. A watcher is a gateway or a relay that
    polls this relay.

    - `listen`, `upstreams` (HOST:PORT): no default; the first upstream is preferred.
    - `report_upstream`: whether polls to the upstream report the low-water mark and the count of this relay's
      gateways; off, because only a relay, not the platform, is sure to accept the extra poll parameters.
    - `lease_s` (seconds): how long a watcher counts as live without a poll; three times the longest wait, as
      one lost poll must not count as a dead gateway.
    - `longest_wait_ms`: the longest time that a poll is held; the most that the platform's protocol allows.
    - `shortest_grace_ms`: the shortest time that the gateways' settings allow for an event (drain, purge) to
      be obeyed; it sets the pace of answers.
    - `purge_retention_s` (seconds): how long purges are kept after they have left the log of newest events;
      ten times the usual `purge_settles_ns`, 6 s.
    - `history_kb`, `history_events`: the size of the log of newest events; half a minute at 150 purges a
      second.
    - `most_members`: the most stores in the server list; 15 times the largest deployment planned.
    - `most_purges`: the most purges kept after they have left the log; over 1,000 a second through the whole
      retention.
    - `most_watchers`: the most connections; the largest fleet planned, if a single relay is left for it.
    - `most_unread_kb`: bounds the answers held for all slow readers together; four of the longest answers.
    - `read_timeout_ms`: how long a watcher may read nothing of an answer; about four times the 0.7 s after
      which a gateway abandons an answer.
    - `idle_timeout_ms`: how long a connection may go without a request; gateways poll several times a second,
      so an idle peer has gone silently.
    """

    listen: str
    upstreams: Annotated[list[str], msgspec.Meta(min_length=1, max_length=MAX_UPSTREAMS)]
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
        if self.lease_s * 1000 < self.longest_wait_ms + MIN_LEASE_MARGIN_S * 1000:
            raise ValueError(f"lease_s is to be {MIN_LEASE_MARGIN_S} s more than longest_wait_ms")

    def history_limits(self) -> HistoryLimits:
        """Returns the limits of the event history, with sizes in bytes and times in nanoseconds."""
        return HistoryLimits(
            most_bytes=self.history_kb * KB,
            most_events=self.history_events,
            most_members=self.most_members,
            most_purges=self.most_purges,
            purge_retention_ns=int(self.purge_retention_s * S),
        )

    def addresses(self) -> list[Address]:
        """Returns the parsed addresses of the upstreams, the preferred one first."""
        return [parse_address(text) for text in self.upstreams]


# Fields of RelaySection that take effect only when the relay starts. A reload of the configuration does not
# apply them, and logs those that have changed.
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
    """A relay's name, the top-level `name` of the operator's file, and the file's `relay:` section."""

    name: str
    section: RelaySection


def read_relay(path: str) -> RelayConfig:
    """Reads a relay's configuration from the operator's YAML file at `path`.

    Raises InvalidSection with a one-line message if the `relay:` section is missing or invalid.
    """
    section = read_section(path, "relay", RelaySection)
    if section is None:
        raise InvalidSection(f"{path}: relay: missing")
    root = yaml.safe_load(Path(path).read_text("utf-8"))
    return RelayConfig(str(root.get("name", "relay")), section)
