"""Checks at stand-in stores whether a gateway's reads after a purge still accept older copies."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from olivecourse.emulator.clients import LoadGenerator, TrafficClass
from olivecourse.emulator.stores import EmulatorLoop, Store, unix_ms

SOCKETS_S = 0.05  # added to the time allowed after a purge, for delays on sockets
ROUNDING_MS = 1  # tolerated, because ages and times of purges are sent in whole ms
POLL_INTERVAL_S = 0.02
ORIGIN = "origin-1"
HOT_OBJECTS = 20  # number of the most requested objects that `hot_names` returns
REQUESTS_PER_S = 40.0
MAX_WAIT_S = 3.0  # how long `stop` waits for answers to requests already sent


@dataclass(frozen=True)
class Purge:
    """A purge of the object `name`, published at `at_s` (time.monotonic, s) or `unix_ms` (Unix time, ms)."""

    name: str
    at_s: float
    unix_ms: int


@dataclass(frozen=True)
class Ask:
    """A read that a gateway sent to a store; it accepts copies up to `newer_ms` old, or any copy if None."""

    name: str
    at_s: float
    unix_ms: int
    newer_ms: int | None


@dataclass(frozen=True)
class Late:
    """A read after a purge of its object whose age limit still admitted a copy from before the purge."""

    ask: Ask
    purge: Purge

    @property
    def after_s(self) -> float:
        """Seconds from the publication of the purge until the read."""
        return self.ask.at_s - self.purge.at_s


def old_copies(asks: Sequence[Ask], purges: Sequence[Purge], settles_s: float) -> list[Late]:
    """Returns the reads that accepted a copy from before a purge, up to `settles_s` after the purge.

    After that time stores have dropped such copies, so that a read need not limit the age.
    """
    by_name: dict[str, list[Purge]] = {}
    for purge in purges:
        by_name.setdefault(purge.name, []).append(purge)
    return [
        Late(ask, purge)
        for ask in asks
        for purge in by_name.get(ask.name, ())
        if 0.0 <= ask.at_s - purge.at_s < settles_s and not _excludes_purged(ask, purge)
    ]


def _excludes_purged(ask: Ask, purge: Purge) -> bool:
    return ask.newer_ms is not None and ask.unix_ms - ask.newer_ms >= purge.unix_ms - ROUNDING_MS


def used_late(found: Sequence[Late], allowed_s: Callable[[Purge], float]) -> int:
    """Counts the reads among `found` that came too late after their purge.

    That is later than `allowed_s(purge)` plus SOCKETS_S.
    """
    return len({id(late.ask) for late in found if late.after_s > allowed_s(late.purge) + SOCKETS_S})


@dataclass(eq=False)
class StandinSite:
    """Stand-in stores and clients of one real gateway, on a thread; `asks` are the reads at the stores."""

    asks: list[Ask] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    edge_stores: list[Store] = field(
        default_factory=lambda: [Store(f"petit-{n}", delay_s=0.005) for n in range(4)]
    )

    def __post_init__(self) -> None:
        self.stores = [*self.edge_stores, Store("parent-1"), Store(ORIGIN)]
        self.world = EmulatorLoop(self.stores, self._record_ask)
        self.clients: LoadGenerator | None = None
        self._running = False
        self._thread: threading.Thread | None = None

    def members(self) -> list[dict[str, Any]]:
        """Returns the stand-in stores in the form in which the discovery service lists stores."""
        return [
            {
                "id": store.name,
                "host_port": store.address,
                "flavor": store.name.partition("-")[0],
                "cell": 0,
                "locality": "praia" if store in self.edge_stores else "hub-nord",
                "phase": "Ready",
                "size": 8,
                "up_since_ms": 0,
            }
            for store in self.stores
        ]

    def _record_ask(self, store: Store, request: str, word: str, fields: Mapping[str, str]) -> None:
        if store.name == ORIGIN:  # reads at the origin need no check: it holds no purged copies
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

    def _record_fault(self, rule: str, words: str) -> None:
        self.faults.append(f"{rule}: {words}")

    def serve(self, port: int, seed: int, rate: float = REQUESTS_PER_S) -> None:
        """Starts a thread that runs the stores, and clients of the gateway at `port`, until `stop`."""
        self.clients = LoadGenerator(
            self.world, port, [TrafficClass("fichiers")], rate, seed, self._record_fault
        )
        self._running = True
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while self._running:
            self.world.run(POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stops the clients' requests, waits up to MAX_WAIT_S for their answers, and ends the thread."""
        self._running = False
        if self._thread is not None:
            self._thread.join()
        if self.clients is not None:
            self.clients.finish_requests(MAX_WAIT_S)

    def ends(self) -> dict[str, int]:
        """Returns the counts of clients' requests by outcome: served, refused, failed, lost, unanswered."""
        if self.clients is None:
            return {}
        unanswered = sum(fault.startswith("unanswered") for fault in self.faults)
        return {**self.clients.outcomes, "lost": self.clients.lost_requests, "unanswered": unanswered}

    def close(self) -> None:
        """Ends the thread, and closes the connections of clients and stores."""
        if self._running:
            self.stop()
        if self.clients is not None:
            self.clients.close()
        self.world.close()


def hot_names() -> list[str]:
    """Returns the ids of the HOT_OBJECTS objects that the clients request most often."""
    return [f"{number:016x}" for number in range(1, HOT_OBJECTS + 1)]


def served_share(before: Mapping[str, int], after: Mapping[str, int]) -> float | None:
    """Returns the served share of the requests that ended between two results of `ends`; None without any."""
    ended = sum(after.values()) - sum(before.values())
    served = after.get("served", 0) - before.get("served", 0)
    return served / ended if ended else None
