"""Memory and time of what counts objects, of the server directory, and of connections to stores."""

from __future__ import annotations

import json
import socket
import time
from itertools import accumulate
from random import Random
from typing import Any

from benchmarks._capacity_router import mean_us, settings, traced_kb
from olivecourse import interface as w
from olivecourse.choice import COUNT_ERROR, HLL_BITS, INTERVAL_NS, SUPPORT
from olivecourse.config.discovery_events import ServerDirectory
from olivecourse.core.ledger import Ledger
from olivecourse.gateway import LoopTimers
from olivecourse.net.loop import Loop
from olivecourse.net.stores import Limits, Pool, StoreStream
from olivecourse.sizes import Sizes
from olivecourse.sketch import HyperLogLog, LossyCounter

MS = 1_000_000
SKEW = 0.8  # the k-th object is asked for in proportion to k ** -SKEW
PATIENCE_S = 20.0
KINDS = ["store", "parent", "origin"]
STORE = 1  # the one that connections lead to


def drawn(objects: int, count: int, seed: int) -> list[str]:
    """Objects as requests ask for them: few often, most seldom."""
    weights = list(accumulate(rank**-SKEW for rank in range(1, objects + 1)))
    return [f"{rank:016x}" for rank in Random(seed).choices(range(objects), cum_weights=weights, k=count)]


class Sketches:
    """What a Router keeps of objects in a counting interval."""

    def __init__(self) -> None:
        self.counter, self.distinct, self.sizes = LossyCounter(COUNT_ERROR), HyperLogLog(HLL_BITS), Sizes()

    def add(self, name: str) -> None:
        self.counter.add(name)
        self.distinct.add(name)
        self.sizes.saw(name, 1e6)


def sketches_kb(names: list[str]) -> float:
    """All of them, with the names that they keep."""

    def fill() -> Sketches:
        sketches = Sketches()
        for name in names:
            sketches.add(name[:])
        return sketches

    return traced_kb(fill)


def all_distinct(count: int, seed: int) -> list[str]:
    """Each request of another object."""
    return [f"{number:016x}" for number in Random(seed).sample(range(2**40), count)]


def sketch_row(names: list[str]) -> dict[str, float]:
    """Costs of one counting interval in which requests ask for these."""
    sketches, most, distinct = Sketches(), 0, len(set(names))
    began = time.process_time()
    for name in names:
        sketches.add(name)
    add_us = (time.process_time() - began) / len(names) * 1e6
    counter = LossyCounter(COUNT_ERROR)
    for name in names:
        counter.add(name)
        most = max(most, len(counter))
    return {
        "kb": sketches_kb(names),
        "add_us": add_us,
        "counted_most": float(most),
        "known_sizes": float(len(sketches.sizes)),
        "distinct_error": abs(sketches.distinct.count() - distinct) / distinct,
        "frequent_us": mean_us(lambda: sketches.counter.frequent(SUPPORT), 20),
    }


def counting_interval_s() -> float:
    return INTERVAL_NS / 1e9


# Discovery's list ----------------------------------------------------------------------------------------


def listed(stores: int) -> dict[str, Any]:
    """A whole list as discovery tells it."""
    rows = [
        {
            "id": f"s-{number:08x}",
            "phase": "Ready",
            "host_port": f"10.{number // 256}.{number % 256}.1:7000",
            "size": 8.0,
            "up_since_ms": 1_700_000_000_000,
            "locality": f"zone-{number % 46}",
            "flavor": "store",
            "cell": 0,
        }
        for number in range(stores)
    ]
    return {"pool": {"revision": 1, "complete": True, "members": rows}}


def list_kb(stores: int) -> float:
    """Bytes of it in discovery's JSON, in KB."""
    return len(json.dumps(listed(stores), separators=(",", ":"))) / 1e3


def directory(seed: int) -> ServerDirectory:
    told = settings(seed)
    return ServerDirectory(list(told.zones), KINDS, told, lambda ms: ms * MS, lambda: 100_000 * MS)


def directory_kb(stores: int, seed: int) -> float:
    event = listed(stores)

    def fill() -> ServerDirectory:
        made = directory(seed)
        list(made.events(event))
        return made

    return traced_kb(fill)


def directory_ms(stores: int, seed: int, count: int) -> float:
    event, made = listed(stores), directory(seed)
    return mean_us(lambda: list(made.events(event)), count) / 1e3


def _silent(*words: object, **fields: object) -> None:
    """A log that nobody reads."""


# Connections to stores -----------------------------------------------------------------------------------


class Connections:
    """Idle connections of one pool to one listening socket on loopback, whose backlog takes them."""

    def __init__(self, seed: int) -> None:
        self.loop = Loop()
        told = settings(seed)
        tracker = Ledger(told, LoopTimers(self.loop), lambda event: None, _silent, most=16)
        limits = Limits(5_000 * MS, 60_000 * MS, 100, 24, 4096)
        self.directory = directory(seed)
        self.pool = Pool(self.loop, self.directory, tracker, limits, ["read"], (), _silent)
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=512)

    def add(self, count: int) -> list[StoreStream]:
        host, port = self._listening.getsockname()
        made = list[StoreStream]()
        for _ in range(count):
            made.append(StoreStream(self.pool, STORE, (host, port)))
        limit = time.monotonic() + PATIENCE_S
        while any(stream.connecting for stream in made):
            if time.monotonic() > limit:
                raise RuntimeError("connections on loopback were not made")
            self.loop.turn(MS)
        self.pool._stores[STORE] = made
        self.directory.states[STORE] = w.State.READY
        self.directory.addresses[STORE] = (host, port)
        return made

    def sweep(self) -> None:
        self.pool._sweep()

    def close(self) -> None:
        for stream in self.pool._stores.get(STORE, []):
            self.loop.forget(stream.sock)
            stream.sock.close()
        self._listening.close()
        self.loop.close()


def connections_row(count: int, seed: int, sweeps: int) -> dict[str, float]:
    made = Connections(seed)
    try:
        kb = traced_kb(lambda: made.add(count))
        return {"kb": kb, "sweep_us": mean_us(made.sweep, sweeps)}
    finally:
        made.close()
