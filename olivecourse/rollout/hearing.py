"""Who of the fleet is heard, by beats. No I/O.

A beat tells who speaks, since when, whether it serves, with which version, and how requests ended. Silence is
measured on the hearer's own clock; no two clocks are compared.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

import msgspec

MS = 1_000_000
HEARTBEAT_NS = 200 * MS  # between two beats, in a fleet of up to CROWD gateways; longer in proportion beyond
BASE_FLEET_SIZE = 16
DEAD_BEATS = 8  # missed ones after which a gateway counts as out: one in ten lost makes that one in 10^8


class Service(IntEnum):
    SERVES = 0
    COLD = 1
    DRAINS = 2


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """`life` is the Unix ms of the process's start; `known` a checksum over the registers that it has
    learned; `held` the term of the release that it knows to be halted, 0 for none."""

    incarnation: int
    service: Service
    version: str
    ended: int
    bad: int
    learned_checksum: int
    halted_term: int = 0


@dataclass(slots=True)
class PeerRecord:
    heartbeat: Beat
    received_at: int
    ended: int  # when this life was first heard, or at the last mark
    bad: int


class Hearing:
    def __init__(self, me: int, fleet: Iterable[int], now: int) -> None:
        self.me, self.fleet = me, tuple(fleet)
        self.period_ns = HEARTBEAT_NS * max(len(self.fleet), BASE_FLEET_SIZE) // BASE_FLEET_SIZE
        self._since = now
        self._records: dict[int, PeerRecord] = {}

    def heard(self, sender: int, heartbeat: Beat, now: int) -> None:
        record = self._records.get(sender)
        if record is not None and heartbeat.incarnation < record.heartbeat.incarnation:
            return  # an old one that comes late
        if record is None or heartbeat.incarnation > record.heartbeat.incarnation:
            # A new process counts from its start, one that was there before from now on.
            restarted = record is not None
            self._records[sender] = PeerRecord(
                heartbeat, now, 0 if restarted else heartbeat.ended, 0 if restarted else heartbeat.bad
            )
            return
        record.heartbeat, record.received_at = heartbeat, now

    def reset_counts(self) -> None:
        """Counts are told from here on, as a release begins."""
        for record in self._records.values():
            record.ended, record.bad = record.heartbeat.ended, record.heartbeat.bad

    def counts(self, node: int) -> tuple[int, int]:
        """Requests that have ended since the mark, or since its process began, and how many badly."""
        record = self._records.get(node)
        return (
            (0, 0)
            if record is None
            else (record.heartbeat.ended - record.ended, record.heartbeat.bad - record.bad)
        )

    def heartbeat(self, node: int) -> Beat | None:
        record = self._records.get(node)
        return None if record is None else record.heartbeat

    def silent(self, node: int, now: int) -> bool:
        """Who was never heard counts from our own start."""
        record = self._records.get(node)
        since = self._since if record is None else record.received_at
        return node != self.me and now - since > DEAD_BEATS * self.period_ns

    def unavailable(self, node: int, now: int) -> bool:
        """Silent, draining or cold; of ourselves, what we last said."""
        heartbeat = self.heartbeat(node)
        if heartbeat is None:
            return True
        return self.silent(node, now) or heartbeat.service is not Service.SERVES
