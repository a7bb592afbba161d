"""Measures the decision module's Router, and the messages between forwarder and planner.

The forwarder is the process that holds a gateway's connections, the planner the one that runs the Router.

The Router is the program's own class, driven by events on a manual clock. A request is a complete one: it
arrives, one attempt is sent and served as a hit, and the timer of its deadline fires without effect.
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
from olivecourse import interface
from olivecourse.choice import Router
from olivecourse.core.planner import Planner
from olivecourse.net.planner_link import decode_message, encode_batch

MS, S = 1_000_000, 1_000_000_000
STORE, PARENT, ORIGIN = 0, 1, 2
OWN_ZONE = 0
HUB_ZONE = ZONES
OWN_STORES = 24  # stores in the gateway's own zone: 1,100 in 46 zones
GATEWAYS_A_ZONE = 163
OBJECTS = 20_000  # number of different objects that random requests name
STEP_NS = 1_190_000  # simulated time between two requests, for 840 requests a second
TICK_NS = 100 * MS
LATE_NS = 2 * S  # longer than every request's target time, after which it is late
WEIGHT = 1e5  # requests that a store may handle at once; enough for all requests of a run
Clock = Callable[[], float]


@dataclass(frozen=True)
class Shape:
    """A distribution of servers over zones.

    `own_zone` and `parents` return the number of stores in the gateway's zone, and of parents, for a total
    number of servers. One server is the origin; the rest are stores in other zones.
    """

    name: str
    own_zone: Callable[[int], int]
    parents: Callable[[int], int]


SPREAD = Shape(
    "spread",
    lambda stores: max(round(stores * (1 - PARENT_SHARE) / ZONES), 1),
    lambda stores: round(stores * PARENT_SHARE),
)
ALL_OWN = Shape("own_zone", lambda stores: stores - 3, lambda stores: 2)
ALL_PARENTS = Shape("parents", lambda stores: OWN_STORES, lambda stores: stores - OWN_STORES - 1)
SHAPES = (SPREAD, ALL_OWN, ALL_PARENTS)


def settings(seed: int) -> interface.Settings:
    """Returns Router settings with the zones of the target deployment, one hub, and one class of reads."""
    read = interface.RequestClass(
        "read",
        aim_ns=500 * MS,
        aim_stretch=1.0,
        deadline_ns=3 * S,
        effect=interface.Effect.IDEMPOTENT,
        key_scope=interface.Scope.ALL,
        key_memory_ns=2 * S,
    )
    return interface.Settings(
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


def members(shape: Shape, stores: int) -> tuple[interface.Member, ...]:
    """Returns a list of `stores` servers distributed as `shape` says, all of them ready and warm."""
    own_zone, parents = shape.own_zone(stores), shape.parents(stores)

    def member(number: int) -> interface.Member:
        if number == 0:
            kind, zone = ORIGIN, HUB_ZONE
        elif number <= parents:
            kind, zone = PARENT, HUB_ZONE
        else:
            kind, zone = STORE, OWN_ZONE if number <= parents + own_zone else 1 + number % (ZONES - 1)
        return interface.Member(
            1000 + number, WEIGHT, 0, zone, interface.State.READY, 0, kind, f"10.0.0.1:{number}@0"
        )

    return tuple(map(member, range(stores)))


class Driver:
    """A Router whose clock (`now`, in ns) only its caller advances, and a source of random requests."""

    def __init__(self, members_listed: tuple[interface.Member, ...], seed: int) -> None:
        self.now = 100 * S
        self.random = Random(seed)
        self.router = Router(settings(seed), self.now)
        self.router.start()
        self.router.handle(interface.CacheList(1, interface.ListKind.HELD, members_listed), self.now)
        self.asked = 0

    def ask(self) -> interface.Request:
        """Returns a new request for a random one of OBJECTS; the Router has not handled it yet."""
        self.asked += 1
        name = f"{self.random.randrange(OBJECTS):016x}"
        return interface.Request(f"{self.asked:016x}", 0, object=name, size_kb=500.0)

    def request(self) -> None:
        """Advances the clock by STEP_NS and runs one complete request, up to its deadline timer."""
        self.now += STEP_NS
        ask, token = self.ask(), 0
        for action in self.router.handle(ask, self.now):
            if isinstance(action, interface.SetTimer):
                token = action.token
            elif isinstance(action, interface.ReadThrough):
                self.router.handle(served(ask.request, action.cache), self.now)
        self.router.handle(interface.TimerFired(token), self.now)

    def leave_open(self, count: int) -> None:
        """Passes `count` new requests to the Router and ends none of them."""
        for _ in range(count):
            self.router.handle(self.ask(), self.now)

    def tick(self) -> None:
        """Advances the manual clock by 100 ms and runs the tick that a Router gets so often."""
        self.now += TICK_NS
        self.router.handle(interface.TimerFired(0), self.now)


def served(request: str, store: int) -> interface.AttemptEnded:
    """Returns the event that tells the Router that `store` served attempt 0 of a request as a hit."""
    return interface.AttemptEnded(
        request, 0, store, interface.Status.SERVED, 20 * MS, True, interface.Note.HIT
    )


def mean_us(call: Callable[[], object], count: int) -> float:
    """Calls `call` `count` times and returns the mean processor time of a call in microseconds."""
    began = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - began) / count * 1e6


def traced_kb(make: Callable[[], object]) -> float:
    """Returns the memory in KB that stays allocated for the result of `make()`, as tracemalloc counts it."""
    gc.collect()
    tracemalloc.start()
    try:
        created = make()
        gc.collect()
        traced_bytes = tracemalloc.get_traced_memory()[0]
        del created
    finally:
        tracemalloc.stop()
    return traced_bytes / 1e3


def request_us(shape: Shape, stores: int, seed: int, count: int) -> float:
    """Measures the Router's mean processor time for a complete request, in us, over `count` requests."""
    driver = Driver(members(shape, stores), seed)
    mean_us(driver.request, 20)
    return mean_us(driver.request, count)


def tick_us(shape: Shape, stores: int, seed: int, count: int) -> float:
    """Measures the mean processor time in us of the Router's tick every 100 ms, without open requests.

    Every fiftieth tick also starts a counting interval of the sketches.
    """
    return mean_us(Driver(members(shape, stores), seed).tick, count)


def open_tick_us(open_: int, seed: int, count: int) -> float:
    """Measures the mean processor time in us of the Router's tick with `open_` open requests, none late."""
    driver = Driver(members(SPREAD, 1100), seed)
    driver.leave_open(open_)
    return mean_us(lambda: driver.router.handle(interface.TimerFired(0), driver.now), count)


def silent_tick_us(open_: int, seed: int) -> float:
    """Measures the processor time in us of the one Router tick at which all open requests become late.

    There are `open_` of them, and no store has answered any.
    """
    driver = Driver(members(SPREAD, 1100), seed)
    driver.leave_open(open_)
    driver.now += LATE_NS
    return mean_us(driver.tick, 1)


def change_ms(shape: Shape, stores: int, seed: int, count: int) -> float:
    """Measures the Router's mean processor time in ms for a change: one store drains, or is ready again."""
    members_listed = members(shape, stores)
    driver, last_member = Driver(members_listed, seed), members_listed[-1]
    states = (interface.State.DRAINING, interface.State.READY)

    def change() -> None:
        driver.asked += 1
        changed_member = interface.Member(
            last_member.cache,
            last_member.weight,
            last_member.ready_at_ns,
            last_member.zone,
            states[driver.asked % 2],
            last_member.cell,
            last_member.kind,
            last_member.life,
        )
        driver.router.handle(
            interface.CacheList(driver.asked, interface.ListKind.CHANGES, (changed_member,)), driver.now
        )

    return mean_us(change, count) / 1e3


def whole_list_ms(stores: int, seed: int, count: int) -> float:
    """Measures the Router's mean processor time in ms for a complete list of `stores` servers."""
    members_listed = members(SPREAD, stores)
    driver = Driver(members_listed, seed)
    complete_list = interface.CacheList(2, interface.ListKind.FULL, members_listed)
    return mean_us(lambda: driver.router.handle(complete_list, driver.now), count) / 1e3


def router_kb(shape: Shape, stores: int, seed: int) -> float:
    """Measures a Router's memory in KB, without the listed servers, which the server directory holds too."""
    members_listed = members(shape, stores)
    return traced_kb(lambda: Driver(members_listed, seed).router)


def open_requests_kb(open_: int, seed: int) -> float:
    """Measures the Router's memory in KB for `open_` requests, their attempts and their timers' tokens."""
    driver = Driver(members(SPREAD, 1100), seed)

    def fill() -> Driver:
        driver.leave_open(open_)
        return driver

    return traced_kb(fill)


def purges_kb(purges: int, seed: int) -> float:
    """Measures the Router's memory in KB for `purges` purges in force."""
    driver = Driver(members(SPREAD, 70), seed)

    def fill() -> Driver:
        for number in range(purges):
            driver.router.handle(interface.Purged(f"{number:016x}", None, 0), driver.now)
        return driver

    return traced_kb(fill)


# Forwarder and planner -----------------------------------------------------------------------------------


@dataclass(frozen=True)
class Exchange:
    """Mean costs of one batch of requests: bytes in KB, and processor times in us.

    They include the batch from forwarder to planner, the reply, and both messages of the requests' outcomes.
    """

    kb_to_planner: float
    kb_to_forwarder: float
    forwarder_us: float
    planner_us: float
    decide_us: float  # the part of `planner_us` that is not encoding or decoding


def exchange(requests: int, seed: int, count: int) -> Exchange:
    """Measures `count` batches of `requests` requests each, with 1,100 servers and without sockets."""
    driver = Driver(members(SPREAD, 1100), seed)
    planner = Planner(driver.router.settings, driver.now, lambda *words, **fields: None)
    planner.router = driver.router
    costs = _ExchangeCosts()
    for _ in range(count):
        driver.now += STEP_NS * requests
        actions = costs.batch(planner, [driver.ask() for _ in range(requests)], driver.now)
        sent = [action for action in actions if isinstance(action, interface.ReadThrough)]
        timers = [action for action in actions if isinstance(action, interface.SetTimer)]
        ended: list[interface.Event] = [served(action.request, action.cache) for action in sent]
        costs.batch(planner, [*ended, *(interface.TimerFired(action.token) for action in timers)], driver.now)
    return Exchange(
        costs.out_bytes / count / 1e3,
        costs.back_bytes / count / 1e3,
        costs.forwarder_s / count * 1e6,
        (costs.codec_s + costs.decide_s) / count * 1e6,
        costs.decide_s / count * 1e6,
    )


class _ExchangeCosts:
    """Sums over all batches of the bytes sent and the processor time of forwarder and planner."""

    def __init__(self) -> None:
        self.out_bytes = self.back_bytes = 0
        self.forwarder_s = self.codec_s = self.decide_s = 0.0

    def batch(self, planner: Planner, events: list[interface.Event], now: int) -> list[interface.Action]:
        """Encodes events as the forwarder does, lets the planner decide, and returns its decoded actions."""
        began = time.process_time()
        line = encode_batch(now, events)
        written = time.process_time()
        read = [decode_message(row) for row in json.loads(line)[1]]
        taken = time.process_time()
        made = planner.decide(read, now)
        decided = time.process_time()
        reply = encode_batch(now, made)
        replied = time.process_time()
        actions: list[interface.Action] = [decode_message(row) for row in json.loads(reply)[1]]
        ended = time.process_time()
        self.out_bytes += len(line)
        self.back_bytes += len(reply)
        self.forwarder_s += written - began + ended - replied
        self.codec_s += taken - written + replied - decided
        self.decide_s += decided - taken
        return actions
