"""Gateways without a request path: the control side from the classes that the program runs.

What each has: its own `Loop` with its selector and timers, `ControlPlane` (discovery client, server
directory, purge checks), `Ledger` with no request, `Planner` with the module's `Router`, the settings and
their merge at a reload. What is left out, whole: fronts, connections to stores, requests and their attempts,
operators' doors, peers' datagrams, the optional parts, logs on standard error, signals. Configuration is read
again from its file at a reload, as by a signal.

One more thing differs, and is told in results: where several share a process, its thread steps each gateway's
own loop when its selector's descriptor is ready, rather than to wait in it. One alone waits in its loop.
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
from olivecourse import interface as w
from olivecourse.config.address import parse_address
from olivecourse.config.gateway_config import Config, load_config
from olivecourse.config.merging import merge
from olivecourse.control_plane import ControlPlane
from olivecourse.core.ledger import Ledger
from olivecourse.core.planner import Planner
from olivecourse.gateway import LoopTimers
from olivecourse.net.loop import Loop

LEFT_OUT = (
    "fronts, connections to stores, requests and attempts, operators' doors, peers' datagrams, optional "
    "parts, logs on standard error, signals; hundreds share a process whose thread steps each one's own loop"
)
MOST_OPEN = 4_096  # requests, as in a gateway
EVICTED_BYTES = 4 * 2**20  # more than the caches that a core has for itself
LONGEST_MS = 60_000  # beyond it a time until in force is counted with the longest


Took = Callable[["HollowGateway", w.Event, int], None]


class Times:
    """Times until in force, counted by the millisecond; the longest exactly."""

    def __init__(self) -> None:
        self._counts = array("Q", bytes(8 * (LONGEST_MS + 1)))
        self.total = 0
        self.longest_us = 0

    def add(self, published_us: int, now_us: int) -> None:
        took = max(now_us - published_us, 0)
        self._counts[min(took // 1_000, LONGEST_MS)] += 1
        self.total += 1
        self.longest_us = max(self.longest_us, took)

    def row(self) -> dict[str, Any]:
        """What a harness adds up over processes: milliseconds and how often each came."""
        counts = [(ms, count) for ms, count in enumerate(self._counts) if count]
        return {"counts": counts, "longest_us": self.longest_us}


class HollowGateway:
    """One gateway's control side. `took(gateway, event, now_us)` hears of each event of discovery that is in
    force, but for those of the start."""

    def __init__(self, path: str, name: str, took: Took, boards: Sequence[str] = ()) -> None:
        """`boards`: others that answer polls, to turn to, as an operator's file names them."""
        self._path, self._name, self._took = path, name, took
        self._boards = tuple(parse_address(text) for text in boards)
        self.config = self._read()
        self.loop = Loop()
        self.loop.faulted = self._faulted
        self.batch: list[w.Event] = []
        self.logged: list[str] = []
        self.events = 0  # of discovery that are in force, since the start
        self.started_us = 0
        self.telling_ns = 0  # of this thread's time, for the benchmark's own counts
        settings = self.config.settings
        self.tracker = Ledger(settings, LoopTimers(self.loop), self.batch.append, self.log, most=MOST_OPEN)
        self.control = ControlPlane(
            self.loop, self.config, self.tracker, self.batch.append, self._server_terminated, self.log
        )
        self.planner = Planner(settings, self.loop.clock.now(), self.log)
        self._carry_out(self.planner.start())
        self.control.on_events(self.config.notices, first=True)
        self.decide()
        self.started_us = time.monotonic_ns() // 1_000
        self.control.start()

    def _read(self) -> Config:
        config = load_config({"EDGE_NAME": self._name}, self._path)
        return replace(config, boards=self._boards)

    def log(self, event: str, **fields: Any) -> None:
        if len(self.logged) < 20:
            self.logged.append(f"{event} {fields}")

    def _faulted(self, where: str, error: Exception) -> None:
        self.log("loop_fault", where=where, error=repr(error))

    def _server_terminated(self, server: int, when: int) -> None:
        """A gateway's connections to it would end; there are none."""

    def _carry_out(self, actions: list[w.Action]) -> None:
        for action in actions:
            if isinstance(action, w.SetTimer):
                self._set_timer(action)

    def _set_timer(self, action: w.SetTimer) -> None:
        self.loop.after(action.delay_ns, lambda: self.batch.append(w.TimerFired(action.token)))

    def decide(self) -> None:
        """Hands what came to the planner, as a gateway does."""
        while self.batch:
            events = self.batch[:]
            self.batch.clear()
            self._carry_out(self.planner.decide(events, self.loop.clock.now()))
            if self.started_us:
                self._tell(events)

    def _tell(self, events: list[w.Event]) -> None:
        began = time.thread_time_ns()
        now_us = time.monotonic_ns() // 1_000
        for event in events:
            if not isinstance(event, w.TimerFired):
                self.events += 1
                self._took(self, event, now_us)
        self.telling_ns += time.thread_time_ns() - began

    def step(self) -> int:
        """One turn of the loop without a wait; how many ns nothing can come but from sockets."""
        loop = self.loop
        loop.turn(0)
        self.decide()
        loop.lag_ns = loop.clock.now() - loop._woke  # as `Loop.run` has it, by which polls are paced
        loop.longest_ns = max(loop.longest_ns, loop.lag_ns)
        if loop._next:  # work that is taken in parts goes on in the next turn
            return 0
        return loop.wheel.wait_ns(loop.clock.now())

    @property
    def rev(self) -> int:
        """The number of the last event taken."""
        discovery = self.control.discovery
        return -1 if discovery is None else discovery.rev

    def reload(self) -> None:
        """Reads the configuration's file again, and goes by it."""
        old, fresh = self.config, self._read()
        merged = merge(old.settings, fresh.settings)
        self.config = replace(old, board=fresh.board, boards=fresh.boards, settings=merged.settings)
        self.control.reload(old, self.config)
        self.tracker.settle(merged.settings)
        self.planner.settle(merged.settings)

    def stop(self) -> None:
        self.control.stop()
        self.loop.close()


class CacheEviction:
    """Makes a gateway find the processor's caches as after another process, not as its neighbour left them.

    A gateway alone in its process wakes up a few times a second, after others have used the core. Hundreds in
    one process would share warm code and cost less than half. The time of the eviction is told, so that it
    can be left out of the gateways' costs.
    """

    def __init__(self) -> None:
        self._source, self._target = bytearray(EVICTED_BYTES // 2), bytearray(EVICTED_BYTES // 2)
        self.spent_ns = 0

    def evict(self) -> None:
        began = time.thread_time_ns()
        self._target[:] = self._source
        self.spent_ns += time.thread_time_ns() - began


class HollowFleet:
    """Many hollow gateways on one thread, each stepped when its selector or its timers have something."""

    def __init__(self, path: str, first: int, boards: Sequence[str] = ()) -> None:
        """`first` is the number by which the first gateway's name is made."""
        self._path, self._first, self._boards = path, first, boards
        self.gateways: list[HollowGateway] = []
        self.purges, self.changes, self.reloads = Times(), Times(), Times()
        self.eviction = CacheEviction()
        self._ended_ns = 0  # the same time of gateways that were restarted
        self._epoll = select.epoll()
        self._watched: dict[int, Callable[[], None]] = {}
        self._dues: list[tuple[int, int]] = []
        self._due: list[int] = []

    def add(self, count: int) -> None:
        """So many more gateways, each from a reading of the configuration of its own."""
        for place in range(len(self.gateways), len(self.gateways) + count):
            self.gateways.append(self._start(place))
            self._due.append(0)
            self._adopt(place)

    def _start(self, place: int) -> HollowGateway:
        return HollowGateway(self._path, f"h{self._first + place}", self._took, self._boards)

    def _adopt(self, place: int) -> None:
        descriptor = self.gateways[place].loop._selector.fileno()
        self.watch(descriptor, lambda: self._step(place))
        self._step(place)

    def restart(self, places: list[int]) -> None:
        """Kills those gateways, all at once, and starts each from its configuration."""
        for place in places:
            self._ended_ns += self.gateways[place].telling_ns
            self._watched.pop(self.gateways[place].loop._selector.fileno())
            self.gateways[place].stop()
        for place in places:
            self.gateways[place] = self._start(place)
            self._adopt(place)

    def reload(self, written_us: int) -> None:
        """Each reads its configuration again, which was written at that moment."""
        for gateway in self.gateways:
            gateway.reload()
            self.reloads.add(written_us, time.monotonic_ns() // 1_000)

    def clear(self) -> None:
        """Counts times from here on."""
        self.purges, self.changes, self.reloads = Times(), Times(), Times()

    def _took(self, gateway: HollowGateway, event: w.Event, now_us: int) -> None:
        """Counts what was published since the gateway's start; before, it could not be in force there."""
        if isinstance(event, w.Purged):
            published_us = tagged_us(event.object or "0")
            times = self.purges
        elif isinstance(event, w.CacheList):
            published_us = event.version
            times = self.changes
        else:
            return
        if published_us > gateway.started_us:
            times.add(published_us, now_us)

    def watch(self, descriptor: int, call: Callable[[], None]) -> None:
        self._watched[descriptor] = call
        self._epoll.register(descriptor, select.EPOLLIN)

    def _step(self, place: int) -> None:
        self.eviction.evict()
        wait_ns = self.gateways[place].step()
        due = self._due[place] = time.monotonic_ns() + wait_ns
        heapq.heappush(self._dues, (due, place))

    def turn(self, most_ns: int) -> None:
        """Steps every gateway that has something to do, after a wait for the first."""
        wait_ns = most_ns
        if self._dues:
            wait_ns = min(max(self._dues[0][0] - time.monotonic_ns(), 0), most_ns)
        for descriptor, _ in self._epoll.poll(wait_ns / 1e9, 1_024):
            call = self._watched.get(descriptor)
            if call is not None:
                call()
        now = time.monotonic_ns()
        while self._dues and self._dues[0][0] <= now:
            due, place = heapq.heappop(self._dues)
            if due == self._due[place]:
                self._step(place)

    def run_alone(self) -> None:
        """The only gateway waits in its own loop, as a real one does, until that is told to end."""
        (gateway,) = self.gateways
        gateway.loop.run(gateway.decide)

    def excluded_ns(self) -> int:
        """What this thread spent on the benchmark's own, which is no cost of a gateway."""
        telling = sum(gateway.telling_ns for gateway in self.gateways)
        return self.eviction.spent_ns + telling + self._ended_ns

    def close(self) -> None:
        for gateway in self.gateways:
            gateway.stop()
        self._epoll.close()


def compiled() -> bool:
    """Whether the program's modules in use are the compiled ones."""
    import olivecourse.core.planner as planner

    return not str(planner.__file__).endswith(".py")


def resident_mb() -> float:
    """Of this process, in MB."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
