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
BEAT_NS = 200 * MS  # between two beats, in a fleet of up to CROWD gateways; longer in proportion beyond
CROWD = 16
DEAD_BEATS = 8  # missed ones after which a gateway counts as out: one in ten lost makes that one in 10^8


class Service(IntEnum):
    SERVES = 0
    COLD = 1
    DRAINS = 2


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """`life` is the Unix ms of the process's start; `known` a checksum over the registers that it has
    learned; `held` the term of the release that it knows to be halted, 0 for none."""

    life: int
    service: Service
    version: str
    ended: int
    bad: int
    known: int
    held: int = 0


@dataclass(slots=True)
class Last:
    beat: Beat
    at: int
    ended: int  # when this life was first heard, or at the last mark
    bad: int


class Hearing:
    def __init__(self, me: int, fleet: Iterable[int], now: int) -> None:
        self.me, self.fleet = me, tuple(fleet)
        self.period_ns = BEAT_NS * max(len(self.fleet), CROWD) // CROWD
        self._since = now
        self._last: dict[int, Last] = {}

    def heard(self, sender: int, beat: Beat, now: int) -> None:
        last = self._last.get(sender)
        if last is not None and beat.life < last.beat.life:
            return  # an old one that comes late
        if last is None or beat.life > last.beat.life:
            # A new process counts from its start, one that was there before from now on.
            new = last is not None
            self._last[sender] = Last(beat, now, 0 if new else beat.ended, 0 if new else beat.bad)
            return
        last.beat, last.at = beat, now

    def mark(self) -> None:
        """Counts are told from here on, as a release begins."""
        for last in self._last.values():
            last.ended, last.bad = last.beat.ended, last.beat.bad

    def counts(self, node: int) -> tuple[int, int]:
        """Requests that have ended since the mark, or since its process began, and how many badly."""
        last = self._last.get(node)
        return (0, 0) if last is None else (last.beat.ended - last.ended, last.beat.bad - last.bad)

    def beat(self, node: int) -> Beat | None:
        last = self._last.get(node)
        return None if last is None else last.beat

    def silent(self, node: int, now: int) -> bool:
        """Who was never heard counts from our own start."""
        last = self._last.get(node)
        since = self._since if last is None else last.at
        return node != self.me and now - since > DEAD_BEATS * self.period_ns

    def away(self, node: int, now: int) -> bool:
        """Silent, draining or cold; of ourselves, what we last said."""
        beat = self.beat(node)
        if beat is None:
            return True
        return self.silent(node, now) or beat.service is not Service.SERVES
