"""Failure detection among the gateways of the fleet, by heartbeats. No I/O.

A heartbeat carries the start time of the sender's process, whether the gateway serves, its version, and the
counts of its requests. The receiver measures on its own clock how long a gateway has sent no heartbeat;
clocks of two hosts are never compared.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

import msgspec

MS = 1_000_000
# Heartbeat interval in a fleet of up to BASE_FLEET_SIZE gateways. In larger fleets the interval grows in
# proportion to the number of gateways.
HEARTBEAT_NS = 200 * MS
BASE_FLEET_SIZE = 16
# A gateway counts as silent after this many heartbeat periods without a heartbeat. With 10 % datagram loss,
# all of 8 heartbeats of a running gateway are lost with a probability of 1 in 10^8.
MISSED_HEARTBEATS_LIMIT = 8


class Service(IntEnum):
    """Service state of a gateway: serving and warm; cold, that is not ready or ready for less than the
    configured `warm_s`; or draining."""

    SERVES = 0
    COLD = 1
    DRAINS = 2


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat. `incarnation` is the Unix time at which the sender's process started, in milliseconds.
    `ended` and `bad` count all client requests that have ended in this process, and those that ended badly.
    `learned_checksum` covers the register values that the sender has learned; `halted_term` is the term of
    the release that the sender knows to be halted, or 0."""

    incarnation: int
    service: Service
    version: str
    ended: int
    bad: int
    learned_checksum: int
    halted_term: int = 0


@dataclass(slots=True)
class PeerRecord:
    """The last heartbeat of one gateway, the local time of its arrival in nanoseconds, and the values of its
    request counters that later values are measured from."""

    heartbeat: Heartbeat
    received_at: int
    # Values of `Heartbeat.ended` and `Heartbeat.bad` that `LivenessTracker.counts` subtracts.
    ended: int
    bad: int


class LivenessTracker:
    """The heartbeats received from all gateways of the fleet, as kept by gateway `me`. `fleet` has the
    numbers of all gateways, and `now` is the time of the local clock in nanoseconds."""

    def __init__(self, me: int, fleet: Iterable[int], now: int) -> None:
        self.me, self.fleet = me, tuple(fleet)
        self.period_ns = HEARTBEAT_NS * max(len(self.fleet), BASE_FLEET_SIZE) // BASE_FLEET_SIZE
        self._since = now
        self._records: dict[int, PeerRecord] = {}

    def receive(self, sender: int, heartbeat: Heartbeat, now: int) -> None:
        """Records a received heartbeat; one of an earlier process of the sender is ignored."""
        record = self._records.get(sender)
        if record is not None and heartbeat.incarnation < record.heartbeat.incarnation:
            return  # a delayed heartbeat of an earlier process
        if record is None or heartbeat.incarnation > record.heartbeat.incarnation:
            # A restarted process began at zero, so all its requests count. After the first heartbeat that is
            # received from a gateway, only its requests from then on count.
            restarted = record is not None
            self._records[sender] = PeerRecord(
                heartbeat, now, 0 if restarted else heartbeat.ended, 0 if restarted else heartbeat.bad
            )
            return
        record.heartbeat, record.received_at = heartbeat, now

    def reset_counts(self) -> None:
        """Restarts the request counts of all gateways at zero; called when the canary check of a release
        starts to compare the old and the new version."""
        for record in self._records.values():
            record.ended, record.bad = record.heartbeat.ended, record.heartbeat.bad

    def counts(self, node: int) -> tuple[int, int]:
        """Client requests of `node` that have ended since `reset_counts` or since its process started,
        whichever is later, and the number of them that ended badly."""
        record = self._records.get(node)
        return (
            (0, 0)
            if record is None
            else (record.heartbeat.ended - record.ended, record.heartbeat.bad - record.bad)
        )

    def heartbeat(self, node: int) -> Heartbeat | None:
        """The last heartbeat of `node`, or None if none has been received."""
        record = self._records.get(node)
        return None if record is None else record.heartbeat

    def silent(self, node: int, now: int) -> bool:
        """Returns whether the last heartbeat of `node` arrived more than MISSED_HEARTBEATS_LIMIT heartbeat
        periods ago. For a gateway from which no heartbeat has been received, the time counts from the
        start of this process. The local gateway is never silent."""
        record = self._records.get(node)
        since = self._since if record is None else record.received_at
        return node != self.me and now - since > MISSED_HEARTBEATS_LIMIT * self.period_ns

    def unavailable(self, node: int, now: int) -> bool:
        """Returns whether `node` is silent (see `silent`), draining or cold, or has never sent a heartbeat;
        for this gateway itself, its own last heartbeat decides."""
        heartbeat = self.heartbeat(node)
        if heartbeat is None:
            return True
        return self.silent(node, now) or heartbeat.service is not Service.SERVES
