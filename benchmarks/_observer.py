"""Whether purged copies are used too late, judged at stand-in stores by what each request asks for."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from olivecourse.emulator.clients import Crowd, Sort
from olivecourse.emulator.stores import Store, World, unix_ms

SOCKETS_S = 0.05  # by which every limit is longer on sockets
ROUNDING_MS = 1  # ages and times of purges are told in whole milliseconds
TURN_S = 0.02
ARCHIVE = "origin-1"
HOT_OBJECTS = 20  # the objects that clients ask for most
REQUESTS_PER_S = 40.0
MOST_WAIT_S = 3.0  # for the answers that are owed at the end


@dataclass(frozen=True)
class Purge:
    """Published at `at_s` of time.monotonic with the Unix millisecond `unix_ms`."""

    name: str
    at_s: float
    unix_ms: int


@dataclass(frozen=True)
class Ask:
    """A read that came whole to a store; `newer_ms` is the oldest age that will do, or None for any."""

    name: str
    at_s: float
    unix_ms: int
    newer_ms: int | None


@dataclass(frozen=True)
class Late:
    """A read that would have taken a copy older than the purge, so long after it was published."""

    ask: Ask
    purge: Purge

    @property
    def after_s(self) -> float:
        return self.ask.at_s - self.purge.at_s


def old_copies(asks: Sequence[Ask], purges: Sequence[Purge], settles_s: float) -> list[Late]:
    """Reads for which a copy from before a purge would have done, while stores may still hold one.

    `settles_s` after a purge the stores themselves have dropped their copies, and a read may say nothing.
    """
    by_name: dict[str, list[Purge]] = {}
    for purge in purges:
        by_name.setdefault(purge.name, []).append(purge)
    return [
        Late(ask, purge)
        for ask in asks
        for purge in by_name.get(ask.name, ())
        if 0.0 <= ask.at_s - purge.at_s < settles_s and not _young_enough(ask, purge)
    ]


def _young_enough(ask: Ask, purge: Purge) -> bool:
    return ask.newer_ms is not None and ask.unix_ms - ask.newer_ms >= purge.unix_ms - ROUNDING_MS


def used_late(found: Sequence[Late], allowed_s: Callable[[Purge], float]) -> int:
    """How many reads came later than `allowed_s` after a purge, with what sockets are allowed."""
    return len({id(late.ask) for late in found if late.after_s > allowed_s(late.purge) + SOCKETS_S})


@dataclass(eq=False)
class Office:
    """Stand-in stores and clients of one real gateway on a thread; what came to the stores is kept."""

    asks: list[Ask] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    boxes: list[Store] = field(default_factory=lambda: [Store(f"petit-{n}", delay_s=0.005) for n in range(4)])

    def __post_init__(self) -> None:
        self.stores = [*self.boxes, Store("parent-1"), Store(ARCHIVE)]
        self.world = World(self.stores, self._asked)
        self.crowd: Crowd | None = None
        self._running = False
        self._thread: threading.Thread | None = None

    def members(self) -> list[dict[str, Any]]:
        """The stores as discovery lists them."""
        return [
            {
                "id": store.name,
                "host_port": store.address,
                "flavor": store.name.partition("-")[0],
                "cell": 0,
                "locality": "praia" if store in self.boxes else "hub-nord",
                "phase": "Ready",
                "size": 8,
                "up_since_ms": 0,
            }
            for store in self.stores
        ]

    def _asked(self, store: Store, request: str, word: str, fields: Mapping[str, str]) -> None:
        if store.name == ARCHIVE:  # which never holds anything but what it gives out now
            return
        newer = fields.get("newer")
        self.asks.append(
            Ask(
                fields.get("asset", ""),
                time.monotonic(),
                unix_ms(),
                None if newer is None else int(newer),
            )
        )

    def _fault(self, rule: str, words: str) -> None:
        self.faults.append(f"{rule}: {words}")

    def serve(self, port: int, seed: int, rate: float = REQUESTS_PER_S) -> None:
        """Clients come to the gateway at that port, and the stores answer, until `stop`."""
        self.crowd = Crowd(self.world, port, [Sort("fichiers")], rate, seed, self._fault)
        self._running = True
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while self._running:
            self.world.run(TURN_S)

    def stop(self) -> None:
        """Clients ask for nothing more; waits for the answers that are owed."""
        self._running = False
        if self._thread is not None:
            self._thread.join()
        if self.crowd is not None:
            self.crowd.settle(MOST_WAIT_S)

    def ends(self) -> dict[str, int]:
        """Requests by how they ended: served, refused, failed, lost, unanswered."""
        if self.crowd is None:
            return {}
        unanswered = sum(fault.startswith("unanswered") for fault in self.faults)
        return {**self.crowd.ends, "lost": self.crowd.lost, "unanswered": unanswered}

    def close(self) -> None:
        if self._running:
            self.stop()
        if self.crowd is not None:
            self.crowd.close()
        self.world.close()


def hot_names() -> list[str]:
    """The names of the objects that clients ask for most."""
    return [f"{number:016x}" for number in range(1, HOT_OBJECTS + 1)]


def served_share(before: Mapping[str, int], after: Mapping[str, int]) -> float | None:
    """Of the requests that ended in between, the part that was served; None if none ended."""
    ended = sum(after.values()) - sum(before.values())
    served = after.get("served", 0) - before.get("served", 0)
    return served / ended if ended else None
