"""Failure detection among the gateways of the fleet, by heartbeats. No I/O.

A heartbeat carries the start time of the sender's process, whether the gateway serves, its version, and the
counts of its requests. The receiver measures silence on its own clock; clocks of two hosts are never
compared.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

import msgspec

MS = 1_000_000
# Heartbeat interval in a fleet of up to BASE_FLEET_SIZE gateways; it grows in proportion to larger fleets.
HEARTBEAT_NS = 200 * MS
BASE_FLEET_SIZE = 16
# Missed heartbeats after which a gateway counts as silent: with 10 % datagram loss, a false detection has a
# probability of 1 in 10^8.
DEAD_BEATS = 8


class Service(IntEnum):
    """Service state of a gateway: serving and warm, started but still cold, or draining."""

    SERVES = 0
    COLD = 1
    DRAINS = 2


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat. `incarnation` is the Unix time of the process start in milliseconds. `ended` and `bad`
    count all requests and the badly ended ones. `learned_checksum` covers the register values that the sender
    has learned; `halted_term` is the term of the release that the sender knows to be halted, or 0."""

    incarnation: int
    service: Service
    version: str
    ended: int
    bad: int
    learned_checksum: int
    halted_term: int = 0


@dataclass(slots=True)
class PeerRecord:
    """The last heartbeat of one gateway, and the request counts from which its counts are measured."""

    heartbeat: Beat
    received_at: int
    ended: int  # at the first heartbeat of this process, or at the last reset of the counts
    bad: int


class Hearing:
    """Heartbeat records of all gateways of the fleet, kept by one of them."""

    def __init__(self, me: int, fleet: Iterable[int], now: int) -> None:
        self.me, self.fleet = me, tuple(fleet)
        self.period_ns = HEARTBEAT_NS * max(len(self.fleet), BASE_FLEET_SIZE) // BASE_FLEET_SIZE
        self._since = now
        self._records: dict[int, PeerRecord] = {}

    def heard(self, sender: int, heartbeat: Beat, now: int) -> None:
        """Records a received heartbeat."""
        record = self._records.get(sender)
        if record is not None and heartbeat.incarnation < record.heartbeat.incarnation:
            return  # a delayed heartbeat of an earlier process
        if record is None or heartbeat.incarnation > record.heartbeat.incarnation:
            # The requests of a restarted process count from its start, those of a process heard for the first
            # time only from now on.
            restarted = record is not None
            self._records[sender] = PeerRecord(
                heartbeat, now, 0 if restarted else heartbeat.ended, 0 if restarted else heartbeat.bad
            )
            return
        record.heartbeat, record.received_at = heartbeat, now

    def reset_counts(self) -> None:
        """Restarts the request counts of all gateways, as a release begins."""
        for record in self._records.values():
            record.ended, record.bad = record.heartbeat.ended, record.heartbeat.bad

    def counts(self, node: int) -> tuple[int, int]:
        """Requests of `node` that have ended since `reset_counts` or since its process started, and the
        number of them that ended badly."""
        record = self._records.get(node)
        return (
            (0, 0)
            if record is None
            else (record.heartbeat.ended - record.ended, record.heartbeat.bad - record.bad)
        )

    def heartbeat(self, node: int) -> Beat | None:
        """The last heartbeat of `node`, or None if none has been received."""
        record = self._records.get(node)
        return None if record is None else record.heartbeat

    def silent(self, node: int, now: int) -> bool:
        """Returns whether the heartbeats of `node` have stopped. For a gateway that was never heard, the time
        counts from the start of this process."""
        record = self._records.get(node)
        since = self._since if record is None else record.received_at
        return node != self.me and now - since > DEAD_BEATS * self.period_ns

    def unavailable(self, node: int, now: int) -> bool:
        """Returns whether `node` is silent, draining or cold; for this gateway itself, its own last heartbeat
        decides."""
        heartbeat = self.heartbeat(node)
        if heartbeat is None:
            return True
        return self.silent(node, now) or heartbeat.service is not Service.SERVES
