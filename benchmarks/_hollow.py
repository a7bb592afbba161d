"""Hollow gateways: gateways without a request path, whose control side is the program's own classes.

Each has its own `Loop` with a selector and timers, a `ControlPlane` (discovery client, server directory,
purge checks), a `RequestTracker` without requests, a `Planner` with the decision module's `Router`, and the
settings with their merge at a reload. Left out entirely: fronts, connections to stores, requests and their
attempts, management ports, peers' datagrams, optional parts, logs on standard error, and signals. A reload
reads the configuration file again, as a signal makes a real gateway do.

Results name one further difference. Where several hollow gateways share a process, its thread steps a
gateway's loop when the descriptor of its selector is ready, instead of waiting in that loop. A single
hollow gateway waits in its own loop, as a real one does.
"""

from __future__ import annotations

import heapq
import os
import select
import time
from array import array
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from benchmarks._standin_discovery import tagged_us
from olivecourse import interface
from olivecourse.config.address import parse_address
from olivecourse.config.gateway_config import Config, load_config
from olivecourse.config.merging import merge
from olivecourse.control_plane import ControlPlane
from olivecourse.core.planner import Planner
from olivecourse.core.requests import RequestTracker
from olivecourse.gateway import LoopTimers
from olivecourse.net.loop import Loop

LEFT_OUT = (
    "fronts, connections to stores, requests and attempts, operators' doors, peers' datagrams, optional "
    "parts, logs on standard error, signals; hundreds share a process whose thread steps each one's own loop"
)
MOST_OPEN = 4_096  # most open requests of a gateway, as in a real one
EVICTED_BYTES = 4 * 2**20  # bytes touched to evict a core's private caches, which hold less
LONGEST_MS = 60_000  # the last bucket of a histogram, which also counts longer times


OnApplied = Callable[["HollowGateway", interface.Event, int], None]


class Times:
    """A histogram of propagation times with buckets of 1 ms; the longest time is kept exactly.

    A propagation time is the time from the publication of an event until a gateway has applied it.
    """

    def __init__(self) -> None:
        self._counts = array("Q", bytes(8 * (LONGEST_MS + 1)))
        self.total = 0
        self.longest_us = 0

    def add(self, published_us: int, now_us: int) -> None:
        """Counts the time from `published_us` to `now_us`, both in microseconds of time.monotonic."""
        elapsed_us = max(now_us - published_us, 0)
        self._counts[min(elapsed_us // 1_000, LONGEST_MS)] += 1
        self.total += 1
        self.longest_us = max(self.longest_us, elapsed_us)

    def row(self) -> dict[str, Any]:
        """Returns the non-empty buckets and the longest time as JSON, for `_deployment.merge_times`."""
        counts = [(ms, count) for ms, count in enumerate(self._counts) if count]
        return {"counts": counts, "longest_us": self.longest_us}


class HollowGateway:
    """A gateway without a request path (see the module's text).

    `on_applied(gateway, event, now_us)` is called for each discovery event that the gateway has applied,
    except for those that it applied at its start.
    """

    def __init__(
        self, path: str, name: str, on_applied: OnApplied, fallback_addresses: Sequence[str] = ()
    ) -> None:
        """`path` is the configuration file, `name` the gateway's name.

        `fallback_addresses` are polled if the discovery address of the configuration fails.
        """
        self._path, self._name, self._on_applied = path, name, on_applied
        self._fallback_addresses = tuple(parse_address(text) for text in fallback_addresses)
        self.config = self._read()
        self.loop = Loop()
        self.loop.on_fault = self._faulted
        self.batch: list[interface.Event] = []
        self.logged: list[str] = []
        self.events = 0  # number of discovery events applied since the gateway's start
        self.started_us = 0
        self.bookkeeping_ns = 0  # thread time of the benchmark's own work, to be subtracted from costs
        settings = self.config.settings
        self.tracker = RequestTracker(
            settings,
            LoopTimers(self.loop),
            self.batch.append,
            self.log,
            max_open_requests=MOST_OPEN,
            max_body_bytes=2**20,
        )
        self.control = ControlPlane(
            self.loop, self.config, self.tracker, self.batch.append, self._server_terminated, self.log
        )
        self.planner = Planner(settings, self.loop.clock.now(), self.log)
        self._execute(self.planner.start())
        self.control.on_events(self.config.notices, first=True)
        self.decide()
        self.started_us = time.monotonic_ns() // 1_000
        self.control.start()

    def _read(self) -> Config:
        config = load_config({"EDGE_NAME": self._name}, self._path)
        return replace(config, boards=self._fallback_addresses)

    def log(self, event: str, **fields: Any) -> None:
        """The gateway's log function: keeps its first 20 records in `logged` for the benchmark's report."""
        if len(self.logged) < 20:
            self.logged.append(f"{event} {fields}")

    def _faulted(self, where: str, error: Exception) -> None:
        self.log("loop_fault", where=where, error=repr(error))

    def _server_terminated(self, server: int, when: int) -> None:
        """Does nothing: a real gateway closes its connections to a removed server, a hollow one has none."""

    def _execute(self, actions: list[interface.Action]) -> None:
        for action in actions:
            if isinstance(action, interface.SetTimer):
                self._set_timer(action)

    def _set_timer(self, action: interface.SetTimer) -> None:
        self.loop.after(action.delay_ns, lambda: self.batch.append(interface.TimerFired(action.token)))

    def decide(self) -> None:
        """Passes the events collected in `batch` to the planner and sets the timers that it asks for."""
        while self.batch:
            events = self.batch[:]
            self.batch.clear()
            self._execute(self.planner.decide(events, self.loop.clock.now()))
            if self.started_us:
                self._report_applied(events)

    def _report_applied(self, events: list[interface.Event]) -> None:
        began = time.thread_time_ns()
        now_us = time.monotonic_ns() // 1_000
        for event in events:
            if not isinstance(event, interface.TimerFired):
                self.events += 1
                self._on_applied(self, event, now_us)
        self.bookkeeping_ns += time.thread_time_ns() - began

    def step(self) -> int:
        """Runs one turn of the event loop without waiting; returns the ns until its next timer is due."""
        loop = self.loop
        loop.turn(0)
        self.decide()
        loop.lag_ns = (
            loop.clock.now() - loop.turn_started_at
        )  # set as in `Loop.run`, because polls are paced by it
        loop.longest_turn_ns = max(loop.longest_turn_ns, loop.lag_ns)
        if loop.has_work_left:  # work that was cut into slices continues in the next turn
            return 0
        return loop.timers.wait_ns(loop.clock.now())

    @property
    def rev(self) -> int:
        """The revision of the last discovery event received; -1 without a discovery client."""
        discovery = self.control.discovery
        return -1 if discovery is None else discovery.rev

    def reload(self) -> None:
        """Reads the configuration file again and applies it, as a signal makes a real gateway do."""
        old, fresh = self.config, self._read()
        merged = merge(old.settings, fresh.settings)
        self.config = replace(old, board=fresh.board, boards=fresh.boards, settings=merged.settings)
        self.control.reload(old, self.config)
        self.tracker.apply_settings(merged.settings)
        self.planner.apply_settings(merged.settings)

    def stop(self) -> None:
        """Stops polling for discovery events and closes the event loop."""
        self.control.stop()
        self.loop.close()


class CacheEviction:
    """Overwrites the processor's caches before a gateway runs, as if another process had used the core.

    A gateway alone in its process wakes up a few times a second, after other processes have used the core.
    Hundreds in one process would share warm code and cost less than half of that. The time that the eviction
    takes is recorded, so that it can be subtracted from the gateways' costs.
    """

    def __init__(self) -> None:
        self._source, self._target = bytearray(EVICTED_BYTES // 2), bytearray(EVICTED_BYTES // 2)
        self.spent_ns = 0

    def evict(self) -> None:
        """Overwrites the caches by a copy that touches EVICTED_BYTES; adds the time to `spent_ns`."""
        began = time.thread_time_ns()
        self._target[:] = self._source
        self.spent_ns += time.thread_time_ns() - began


class HollowFleet:
    """Hollow gateways on one thread; each runs a turn when its selector is ready or a timer is due."""

    def __init__(self, path: str, first: int, fallback_addresses: Sequence[str] = ()) -> None:
        """`first` is the number in the first gateway's name; the names of the others count up from it."""
        self._path, self._first, self._fallback_addresses = path, first, fallback_addresses
        self.gateways: list[HollowGateway] = []
        self.purges, self.changes, self.reloads = Times(), Times(), Times()
        self.eviction = CacheEviction()
        self._ended_bookkeeping_ns = 0  # `bookkeeping_ns` of gateways that `restart` has replaced
        self._epoll = select.epoll()
        self._watched: dict[int, Callable[[], None]] = {}
        self._due_heap: list[tuple[int, int]] = []
        self._due: list[int] = []

    def add(self, count: int) -> None:
        """Starts `count` more gateways, each of which reads the configuration file itself."""
        for index in range(len(self.gateways), len(self.gateways) + count):
            self.gateways.append(self._start(index))
            self._due.append(0)
            self._watch_gateway(index)

    def _start(self, index: int) -> HollowGateway:
        return HollowGateway(
            self._path, f"h{self._first + index}", self._on_applied, self._fallback_addresses
        )

    def _watch_gateway(self, index: int) -> None:
        descriptor = self.gateways[index].loop._selector.fileno()
        self.watch(descriptor, lambda: self._step(index))
        self._step(index)

    def restart(self, indexes: list[int]) -> None:
        """Stops the gateways with these indexes all at once, and starts each from its configuration file."""
        for index in indexes:
            self._ended_bookkeeping_ns += self.gateways[index].bookkeeping_ns
            self._watched.pop(self.gateways[index].loop._selector.fileno())
            self.gateways[index].stop()
        for index in indexes:
            self.gateways[index] = self._start(index)
            self._watch_gateway(index)

    def reload(self, written_us: int) -> None:
        """Makes every gateway reload its configuration file and counts the time from its writing to that.

        `written_us` is the microsecond of time.monotonic at which the file was written.
        """
        for gateway in self.gateways:
            gateway.reload()
            self.reloads.add(written_us, time.monotonic_ns() // 1_000)

    def clear(self) -> None:
        """Discards all propagation times of the fleet's gateways counted so far."""
        self.purges, self.changes, self.reloads = Times(), Times(), Times()

    def _on_applied(self, gateway: HollowGateway, event: interface.Event, now_us: int) -> None:
        """Counts an event's propagation time, unless it was published before the gateway's start."""
        if isinstance(event, interface.Purged):
            published_us = tagged_us(event.object or "0")
            times = self.purges
        elif isinstance(event, interface.CacheList):
            published_us = event.version
            times = self.changes
        else:
            return
        if published_us > gateway.started_us:
            times.add(published_us, now_us)

    def watch(self, descriptor: int, call: Callable[[], None]) -> None:
        """Calls `call` in `turn` whenever the file descriptor is readable."""
        self._watched[descriptor] = call
        self._epoll.register(descriptor, select.EPOLLIN)

    def _step(self, index: int) -> None:
        self.eviction.evict()
        wait_ns = self.gateways[index].step()
        due = self._due[index] = time.monotonic_ns() + wait_ns
        heapq.heappush(self._due_heap, (due, index))

    def turn(self, max_wait_ns: int) -> None:
        """Waits up to `max_wait_ns` for gateways with ready sockets or a due timer, and steps those."""
        wait_ns = max_wait_ns
        if self._due_heap:
            wait_ns = min(max(self._due_heap[0][0] - time.monotonic_ns(), 0), max_wait_ns)
        for descriptor, _ in self._epoll.poll(wait_ns / 1e9, 1_024):
            call = self._watched.get(descriptor)
            if call is not None:
                call()
        now = time.monotonic_ns()
        while self._due_heap and self._due_heap[0][0] <= now:
            due, index = heapq.heappop(self._due_heap)
            if due == self._due[index]:
                self._step(index)

    def run_alone(self) -> None:
        """Runs a fleet's only gateway in its own event loop, as a real one runs, until that loop stops."""
        (gateway,) = self.gateways
        gateway.loop.run(gateway.decide)

    def excluded_ns(self) -> int:
        """Returns the thread time in ns of eviction and bookkeeping, to be subtracted from costs."""
        bookkeeping = sum(gateway.bookkeeping_ns for gateway in self.gateways)
        return self.eviction.spent_ns + bookkeeping + self._ended_bookkeeping_ns

    def close(self) -> None:
        """Stops all gateways of the fleet."""
        for gateway in self.gateways:
            gateway.stop()
        self._epoll.close()


def compiled() -> bool:
    """Whether this process has imported the modules of .native/, which mypyc compiled, not the sources."""
    import olivecourse.core.planner as planner

    return not str(planner.__file__).endswith(".py")


def resident_mb() -> float:
    """Returns the resident memory of this process in MB."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
