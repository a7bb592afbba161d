"""Measures memory and processor time of three parts of a gateway, which `benchmarks.capacity` extrapolates.

The parts are the Router's sketches of requested objects, the server directory, and connections to stores.
"""

from __future__ import annotations

import json
import socket
import time
from itertools import accumulate
from random import Random
from typing import Any

from benchmarks._capacity_router import mean_us, settings, traced_kb
from olivecourse import interface
from olivecourse.choice import COUNT_ERROR, HLL_BITS, INTERVAL_NS, SUPPORT
from olivecourse.config.discovery_events import ServerDirectory
from olivecourse.core.requests import RequestTracker
from olivecourse.gateway import LoopTimers
from olivecourse.net.loop import Loop
from olivecourse.net.server_pool import ConnectionLimits, ServerPool, StoreConnection
from olivecourse.sending_times import SendingTimes
from olivecourse.sketch import HyperLogLog, LossyCounter

MS = 1_000_000
SKEW = 0.8  # Zipf exponent: the k-th most popular object is requested in proportion to k ** -SKEW
CONNECT_TIMEOUT_S = 20.0
KINDS = ["store", "parent", "origin"]
STORE = 1  # number of the store to which all measured connections are opened


def zipf_names(objects: int, count: int, seed: int) -> list[str]:
    """Draws the names of the objects of `count` requests, Zipf-distributed over `objects` different ones."""
    weights = list(accumulate(rank**-SKEW for rank in range(1, objects + 1)))
    return [f"{rank:016x}" for rank in Random(seed).choices(range(objects), cum_weights=weights, k=count)]


class Sketches:
    """The sketches of requested objects that a Router keeps for a counting interval.

    They are request counts by object, the number of distinct objects, and the durations of their answers.
    """

    def __init__(self) -> None:
        self.counter, self.distinct, self.sizes = (
            LossyCounter(COUNT_ERROR),
            HyperLogLog(HLL_BITS),
            SendingTimes(),
        )

    def add(self, name: str) -> None:
        """Counts one request for the object `name` in all three sketches."""
        self.counter.add(name)
        self.distinct.add(name)
        self.sizes.observe(name, 1e6)


def sketches_kb(names: list[str]) -> float:
    """Measures the memory of new sketches in KB after a request for each of `names`, including held names."""

    def fill() -> Sketches:
        sketches = Sketches()
        for name in names:
            sketches.add(name[:])
        return sketches

    return traced_kb(fill)


def all_distinct(count: int, seed: int) -> list[str]:
    """Returns the names of `count` objects, all of them different (the worst case for the sketches)."""
    return [f"{number:016x}" for number in Random(seed).sample(range(2**40), count)]


def sketch_row(names: list[str]) -> dict[str, float]:
    """Measures new sketches that count one request for each of `names`, as in one counting interval."""
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
    """Returns the seconds after which the Router starts new sketches (its counting interval)."""
    return INTERVAL_NS / 1e9


# Discovery's list ----------------------------------------------------------------------------------------


def store_list(stores: int) -> dict[str, Any]:
    """Returns a complete list of `stores` stores in the form in which the discovery service publishes it."""
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
    """Returns the size in KB of the JSON in which discovery publishes a complete list of `stores` stores."""
    return len(json.dumps(store_list(stores), separators=(",", ":"))) / 1e3


def directory(seed: int) -> ServerDirectory:
    """Creates a server directory (a gateway's table of the servers that discovery lists) without servers."""
    router_settings = settings(seed)
    return ServerDirectory(
        list(router_settings.zones), KINDS, router_settings, lambda ms: ms * MS, lambda: 100_000 * MS
    )


def directory_kb(stores: int, seed: int) -> float:
    """Measures the memory in KB of a server directory that has read a complete list of `stores` stores."""
    event = store_list(stores)

    def fill() -> ServerDirectory:
        created = directory(seed)
        list(created.events(event))
        return created

    return traced_kb(fill)


def directory_ms(stores: int, seed: int, count: int) -> float:
    """Measures the mean processor time in ms for a server directory to read a list of `stores` stores."""
    event, created = store_list(stores), directory(seed)
    return mean_us(lambda: list(created.events(event)), count) / 1e3


def _silent(*words: object, **fields: object) -> None:
    """A log function that discards its records."""


# Connections to stores -----------------------------------------------------------------------------------


class Connections:
    """A store connection pool with idle connections to a loopback socket that listens and never accepts."""

    def __init__(self, seed: int) -> None:
        self.loop = Loop()
        router_settings = settings(seed)
        tracker = RequestTracker(
            router_settings,
            LoopTimers(self.loop),
            lambda event: None,
            _silent,
            max_open_requests=16,
            max_body_bytes=2**20,
        )
        limits = ConnectionLimits(5_000 * MS, 60_000 * MS, 100, 24, 4096)
        self.directory = directory(seed)
        self.pool = ServerPool(
            self.loop, self.directory, tracker, limits, ["read"], (), lambda: None, _silent
        )
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=512)

    def add(self, count: int) -> list[StoreConnection]:
        """Opens `count` connections and returns them.

        Raises RuntimeError if they are not all established within CONNECT_TIMEOUT_S.
        """
        host, port = self._listening.getsockname()
        created = list[StoreConnection]()
        for _ in range(count):
            created.append(StoreConnection(self.pool, STORE, (host, port)))
        give_up_at = time.monotonic() + CONNECT_TIMEOUT_S
        while any(stream.connecting for stream in created):
            if time.monotonic() > give_up_at:
                raise RuntimeError("connections on loopback were not made")
            self.loop.turn(MS)
        self.pool._connections[STORE] = created
        self.directory.states[STORE] = interface.State.READY
        self.directory.addresses[STORE] = (host, port)
        return created

    def sweep(self) -> None:
        """Runs once the check of idle connections that the pool runs periodically in a gateway."""
        self.pool._sweep()

    def close(self) -> None:
        """Closes all connections of the pool and the listening socket."""
        for stream in self.pool._connections.get(STORE, []):
            self.loop.unwatch(stream.sock)
            stream.sock.close()
        self._listening.close()
        self.loop.close()


def connections_row(count: int, seed: int, sweeps: int) -> dict[str, float]:
    """Measures the memory of `count` idle connections to a store, and the time of `Connections.sweep`."""
    created = Connections(seed)
    try:
        kb = traced_kb(lambda: created.add(count))
        return {"kb": kb, "sweep_us": mean_us(created.sweep, sweeps)}
    finally:
        created.close()
