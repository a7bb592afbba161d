"""What the module's Router and the messages between forwarder and planner cost, over stores and requests.

The Router is the program's own, fed with events of a clock that runs by hand. A request is a whole one: it
comes, one attempt is sent and served as a hit, and the timer of its deadline fires unheeded.
"""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from benchmarks._capacity_target import PARENT_SHARE, ZONES
from olivecourse import interface as w
from olivecourse.choice import Router
from olivecourse.core.planner import Planner
from olivecourse.net.seam import unpack, write_batch

MS, S = 1_000_000, 1_000_000_000
STORE, PARENT, ORIGIN = 0, 1, 2
OWN_ZONE = 0
HUB_ZONE = ZONES
OWN_STORES = 24  # 1,100 stores in 46 zones
GATEWAYS_A_ZONE = 163
NAMES = 20_000  # objects that requests ask for
STEP_NS = 1_190_000  # between two requests: 840 a second
TICK_NS = 100 * MS
LATE_NS = 2 * S  # beyond the aim of every request
WEIGHT = 1e5  # of a store: room for all of a run's requests
Clock = Callable[[], float]


@dataclass(frozen=True)
class Shape:
    """How stores are spread: `own` in the gateway's zone, `parents`, the rest in other zones, one origin."""

    name: str
    own: Callable[[int], int]
    parents: Callable[[int], int]


SPREAD = Shape(
    "spread",
    lambda stores: max(round(stores * (1 - PARENT_SHARE) / ZONES), 1),
    lambda stores: round(stores * PARENT_SHARE),
)
ALL_OWN = Shape("own_zone", lambda stores: stores - 3, lambda stores: 2)
ALL_PARENTS = Shape("parents", lambda stores: OWN_STORES, lambda stores: stores - OWN_STORES - 1)
SHAPES = (SPREAD, ALL_OWN, ALL_PARENTS)


def settings(seed: int) -> w.Settings:
    """Zones as in the target, one hub, one class of reads that stores fill."""
    read = w.RequestClass(
        "read",
        aim_ns=500 * MS,
        aim_stretch=1.0,
        deadline_ns=3 * S,
        effect=w.Effect.IDEMPOTENT,
        key_scope=w.Scope.ALL,
        key_memory_ns=2 * S,
    )
    return w.Settings(
        seed=seed,
        routers=GATEWAYS_A_ZONE * ZONES,
        zone=OWN_ZONE,
        zones=(*(f"zone-{number}" for number in range(ZONES)), "hub"),
        zone_hub=(0,) * (ZONES + 1),
        zone_routers=(*(GATEWAYS_A_ZONE,) * ZONES, 0),
        parent_kind=PARENT,
        origin_kind=ORIGIN,
        joins=True,
        cancel=True,
        retry_after=True,
        max_retry_after_ns=1 * S,
        max_attempts=4,
        tick_ns=2 * MS,
        weights="rough",
        notes="all",
        client_kb_per_s=1000.0,
        drain_grace_ns=250 * MS,
        purge_grace_ns=300 * MS,
        purge_settles_ns=6 * S,
        classes=(read,),
    )


def members(shape: Shape, stores: int) -> tuple[w.Member, ...]:
    """So many ready ones, all warm."""
    own, parents = shape.own(stores), shape.parents(stores)

    def member(number: int) -> w.Member:
        if number == 0:
            kind, zone = ORIGIN, HUB_ZONE
        elif number <= parents:
            kind, zone = PARENT, HUB_ZONE
        else:
            kind, zone = STORE, OWN_ZONE if number <= parents + own else 1 + number % (ZONES - 1)
        return w.Member(1000 + number, WEIGHT, 0, zone, w.State.READY, 0, kind, f"10.0.0.1:{number}@0")

    return tuple(map(member, range(stores)))


class Driver:
    """A Router and its clock."""

    def __init__(self, listed: tuple[w.Member, ...], seed: int) -> None:
        self.now = 100 * S
        self.random = Random(seed)
        self.router = Router(settings(seed), self.now)
        self.router.start()
        self.router.handle(w.CacheList(1, w.ListKind.HELD, listed), self.now)
        self.asked = 0

    def ask(self) -> w.Request:
        self.asked += 1
        name = f"{self.random.randrange(NAMES):016x}"
        return w.Request(f"{self.asked:016x}", 0, object=name, size_kb=500.0)

    def request(self) -> None:
        """One request from its arrival to its end."""
        self.now += STEP_NS
        ask, token = self.ask(), 0
        for act in self.router.handle(ask, self.now):
            if isinstance(act, w.SetTimer):
                token = act.token
            elif isinstance(act, w.ReadThrough):
                self.router.handle(served(ask.request, act.cache), self.now)
        self.router.handle(w.TimerFired(token), self.now)

    def leave_open(self, count: int) -> None:
        """So many more requests that wait for their answers."""
        for _ in range(count):
            self.router.handle(self.ask(), self.now)

    def tick(self) -> None:
        self.now += TICK_NS
        self.router.handle(w.TimerFired(0), self.now)


def served(request: str, store: int) -> w.AttemptEnded:
    return w.AttemptEnded(request, 0, store, w.Status.SERVED, 20 * MS, True, w.Note.HIT)


def mean_us(call: Callable[[], object], count: int) -> float:
    """Processor time of one call, of so many."""
    began = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - began) / count * 1e6


def traced_kb(make: Callable[[], object]) -> float:
    """What an object keeps allocated, in KB, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        del kept
    finally:
        tracemalloc.stop()
    return held / 1e3


def request_us(shape: Shape, stores: int, seed: int, count: int) -> float:
    driver = Driver(members(shape, stores), seed)
    mean_us(driver.request, 20)
    return mean_us(driver.request, count)


def tick_us(shape: Shape, stores: int, seed: int, count: int) -> float:
    """The watch of every 100 ms, with nothing open; every fiftieth begins a new counting interval."""
    return mean_us(Driver(members(shape, stores), seed).tick, count)


def open_tick_us(open_: int, seed: int, count: int) -> float:
    """The same with so many requests open, none of them late."""
    driver = Driver(members(SPREAD, 1100), seed)
    driver.leave_open(open_)
    return mean_us(lambda: driver.router.handle(w.TimerFired(0), driver.now), count)


def silent_tick_us(open_: int, seed: int) -> float:
    """The one watch at which all of them are late at once and their stores have said nothing."""
    driver = Driver(members(SPREAD, 1100), seed)
    driver.leave_open(open_)
    driver.now += LATE_NS
    return mean_us(driver.tick, 1)


def change_ms(shape: Shape, stores: int, seed: int, count: int) -> float:
    """A store that drains or is back: one change of the list."""
    listed = members(shape, stores)
    driver, last = Driver(listed, seed), listed[-1]
    states = (w.State.DRAINING, w.State.READY)

    def change() -> None:
        driver.asked += 1
        told = w.Member(
            last.cache,
            last.weight,
            last.ready_at_ns,
            last.zone,
            states[driver.asked % 2],
            last.cell,
            last.kind,
            last.life,
        )
        driver.router.handle(w.CacheList(driver.asked, w.ListKind.CHANGES, (told,)), driver.now)

    return mean_us(change, count) / 1e3


def whole_list_ms(stores: int, seed: int, count: int) -> float:
    listed = members(SPREAD, stores)
    driver = Driver(listed, seed)
    whole = w.CacheList(2, w.ListKind.FULL, listed)
    return mean_us(lambda: driver.router.handle(whole, driver.now), count) / 1e3


def router_kb(shape: Shape, stores: int, seed: int) -> float:
    """A Router's state without the list's own members, which the server directory holds too."""
    listed = members(shape, stores)
    return traced_kb(lambda: Driver(listed, seed).router)


def open_requests_kb(open_: int, seed: int) -> float:
    """What requests that wait hold in the Router: the request, its attempt and its timer's name."""
    driver = Driver(members(SPREAD, 1100), seed)

    def fill() -> Driver:
        driver.leave_open(open_)
        return driver

    return traced_kb(fill)


def purges_kb(purges: int, seed: int) -> float:
    """What purges that bind hold in the Router."""
    driver = Driver(members(SPREAD, 70), seed)

    def fill() -> Driver:
        for number in range(purges):
            driver.router.handle(w.Purged(f"{number:016x}", None, 0), driver.now)
        return driver

    return traced_kb(fill)


# Forwarder and planner -----------------------------------------------------------------------------------


@dataclass(frozen=True)
class Exchange:
    """One batch between a forwarder and its planner and back, and one with the outcomes."""

    kb_to_planner: float
    kb_to_forwarder: float
    forwarder_us: float
    planner_us: float
    decide_us: float  # of `planner_us`


def exchange(requests: int, seed: int, count: int) -> Exchange:
    """Whole requests, so many in each batch, before 1,100 stores. Sockets are left out."""
    driver = Driver(members(SPREAD, 1100), seed)
    planner = Planner(driver.router.s, driver.now, lambda *words, **fields: None)
    planner.router = driver.router
    spent = _Spent()
    for _ in range(count):
        driver.now += STEP_NS * requests
        actions = spent.batch(planner, [driver.ask() for _ in range(requests)], driver.now)
        sent = [act for act in actions if isinstance(act, w.ReadThrough)]
        timers = [act for act in actions if isinstance(act, w.SetTimer)]
        ended: list[w.Event] = [served(act.request, act.cache) for act in sent]
        spent.batch(planner, [*ended, *(w.TimerFired(act.token) for act in timers)], driver.now)
    return Exchange(
        spent.out_bytes / count / 1e3,
        spent.back_bytes / count / 1e3,
        spent.forwarder_s / count * 1e6,
        (spent.codec_s + spent.decide_s) / count * 1e6,
        spent.decide_s / count * 1e6,
    )


class _Spent:
    """Bytes and processor time of both ends."""

    def __init__(self) -> None:
        self.out_bytes = self.back_bytes = 0
        self.forwarder_s = self.codec_s = self.decide_s = 0.0

    def batch(self, planner: Planner, events: list[w.Event], now: int) -> list[w.Action]:
        began = time.process_time()
        line = write_batch(now, events)
        written = time.process_time()
        read = [unpack(row) for row in json.loads(line)[1]]
        taken = time.process_time()
        made = planner.decide(read, now)
        decided = time.process_time()
        reply = write_batch(now, made)
        replied = time.process_time()
        actions: list[w.Action] = [unpack(row) for row in json.loads(reply)[1]]
        ended = time.process_time()
        self.out_bytes += len(line)
        self.back_bytes += len(reply)
        self.forwarder_s += written - began + ended - replied
        self.codec_s += taken - written + replied - decided
        self.decide_s += decided - taken
        return actions
