"""Simulates the slow start of cold stores and parents behind many gateways, in virtual time, without I/O.

In a slow start a router (the decision module of a gateway) gives a cold server only a part of its normal
requests, which grows with time.

Every gateway's router is the program's own class. Each request is answered at once, and the timer of its
deadline fires afterwards without effect. Left out entirely: the periodic tick (health, counting intervals),
requests that wait for answers, and failures.

A cold server counts as failed when it gets more than N + 2 sqrt(N) + 2 requests of mean work within the time
window `fall_ns` of the settings, where N is the number that the settings allow in that window. N grows with
time. Windows are judged by N at their beginning, the smallest value of the window; `over_at_end` uses N at
their end, as seen by a request that looks back over the window.
"""

from __future__ import annotations

import math
import time
import tracemalloc
from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from olivecourse import interface
from olivecourse.choice import Router

MS, S = 1_000_000, 1_000_000_000
START_NS = 100 * S  # virtual time at which the cold servers become ready
WORK_NS = 500 * MS  # time that sending a request's object to its client takes
WORK_KB, CLIENT_KB_PER_S = 500.0, 1000.0  # object size and client's speed, which give WORK_NS
WINDOW_STEP_NS = 50 * MS  # time between the beginnings of two successive judged windows
QUIET_NS, RUSH_NS = 6 * S, 200 * MS  # silence before a rush, and the time over which its requests arrive
LENGTH_NS = 12 * S  # simulated time; the slow start itself may take longer
# Requests a second that arrive at each gateway and could use a cold server. A higher rate does not increase
# the number of requests that a router gives that server, see `Router._may_use`.
OFFERED_PER_S = 1.0
COLD_SERVERS = 2  # number of servers that are cold at the same time
STORE_KIND, PARENT_KIND, ORIGIN_KIND = 0, 1, 2
EDGE, HUB = 1, 0  # numbers of the zones


@dataclass(frozen=True, slots=True)
class Case:
    """The parameters of one simulated slow start.

    `parent` selects cold parents instead of cold stores. `weight` is the number of requests that a warm
    server can handle at once. With the `shape` "steady" requests arrive at a constant rate, with "rush"
    this follows a silence and a burst at all gateways. `offered` is the requests a second of
    each gateway.
    """

    gateways: int
    parent: bool
    shape: str  # "steady" or "rush"
    weight: float
    seed: int
    offered: float = OFFERED_PER_S


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one simulated slow start.

    `over` of all `windows` were above the limit N + 2 sqrt(N) + 2. `used` is the mean of requests / N,
    `worst` the largest share of the limit that a window used, and `allowed` is N of the first window.
    `over_at_end` and `worst_at_end` use N at the end of each window. `mb` is the memory of all routers by
    tracemalloc, or 0 if it was not measured.
    """

    over: int
    windows: int
    calls: int
    used: float
    worst: float
    allowed: float
    decisions: int
    cpu_s: float
    mb: float
    over_at_end: int
    worst_at_end: float


def settings(gateways: int, seed: int) -> interface.Settings:
    """Returns router settings with the strictest cold start of the larger deployment.

    That is the lowest first share of normal requests, and the longest time until the full share.
    """
    read = interface.RequestClass(
        "read",
        aim_ns=WORK_NS,
        aim_stretch=1.0,
        deadline_ns=3 * S,
        effect=interface.Effect.IDEMPOTENT,
        key_scope=interface.Scope.ALL,
        key_memory_ns=2 * S,
    )
    return interface.Settings(
        seed=seed,
        routers=gateways,
        zone=EDGE,
        zones=("hub", "edge"),
        zone_hub=(0, 0),
        zone_routers=(0, gateways),
        parent_kind=PARENT_KIND,
        origin_kind=ORIGIN_KIND,
        joins=True,
        cancel=True,
        retry_after=True,
        max_retry_after_ns=1 * S,
        max_attempts=8,
        tick_ns=2 * MS,
        weights="rough",
        notes="hit",
        client_kb_per_s=CLIENT_KB_PER_S,
        drain_grace_ns=250 * MS,
        cold_from=0.16,
        cold_ns=15 * S,
        fall_multiple=2.5,
        fall_ns=3 * S,
        parent_cold_from=0.064,
        parent_cold_ns=18 * S,
        parent_fall_multiple=2.0,
        purge_grace_ns=300 * MS,
        purge_settles_ns=6 * S,
        classes=(read,),
    )


def _members(case: Case) -> tuple[interface.Member, ...]:
    """Returns the server list: two cold servers and an origin; for cold parents also a warm store.

    That store gets all requests, and fills its misses from the parents.
    """
    ready = interface.State.READY
    kind, zone = (PARENT_KIND, HUB) if case.parent else (STORE_KIND, EDGE)
    cold = [
        interface.Member(number, case.weight, START_NS, zone, ready, 0, kind)
        for number in range(COLD_SERVERS)
    ]
    origin = interface.Member(60, 1.0, 0, HUB, ready, 0, ORIGIN_KIND)
    warm = interface.Member(50, 100.0 * case.gateways, 0, EDGE, ready, 0, STORE_KIND)
    return (*cold, warm, origin) if case.parent else (*cold, origin)


def _routers(case: Case) -> list[Router]:
    random, members = Random(case.seed), _members(case)
    routers = []
    for _ in range(case.gateways):
        router = Router(settings(case.gateways, random.getrandbits(40)), START_NS)
        router.start()
        router.handle(interface.CacheList(1, interface.ListKind.HELD, members), START_NS)
        routers.append(router)
    return routers


def _arrivals(case: Case, random: Random) -> Iterator[tuple[int, int]]:
    """Yields the virtual time and the gateway's number of each request, by a Poisson process.

    A rush begins with a silence of QUIET_NS, followed by two requests at every gateway within RUSH_NS.
    """
    now_ns = START_NS
    if case.shape == "rush":
        now_ns += QUIET_NS
        gateway_numbers = [*range(case.gateways)] * 2
        rush = sorted((now_ns + int(RUSH_NS * random.random()), number) for number in gateway_numbers)
        yield from rush
        now_ns += RUSH_NS
    while now_ns < START_NS + LENGTH_NS:
        now_ns += int(random.expovariate(case.offered * case.gateways) * S)
        yield now_ns, random.randrange(case.gateways)


def play(case: Case, memory: bool = False) -> Outcome:
    """Simulates one slow start.

    With `memory` it also measures the routers' memory by tracemalloc, which makes its processor time invalid.
    """
    if memory:
        tracemalloc.start()
    random = Random(case.seed + 1)
    routers = _routers(case)
    calls: list[list[int]] = [[] for _ in range(COLD_SERVERS)]
    began, decisions = time.process_time(), 0
    for now_ns, number in _arrivals(case, random):
        decisions += 1
        for cache in _request(routers[number], decisions, now_ns):
            calls[cache].append(now_ns)
    cpu_s, traced_bytes = time.process_time() - began, 0
    if memory:
        traced_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
    return _evaluate(case, routers[0].settings, calls, decisions, cpu_s, traced_bytes)


def _request(router: Router, number: int, now_ns: int) -> Iterator[int]:
    """Runs one request through a router; yields each cold server that it uses, also as source of a fill."""
    name = f"{number:016x}"
    request_event = interface.Request(name, 0, object=name, size_kb=WORK_KB)
    token = 0
    for action in router.handle(request_event, now_ns):
        if isinstance(action, interface.SetTimer):
            token = action.token
        elif isinstance(action, interface.ReadThrough | interface.Look):
            source = action.source if isinstance(action, interface.ReadThrough) else action.cache
            yield from (cold for cold in range(COLD_SERVERS) if cold in (action.cache, source))
            router.handle(
                interface.AttemptEnded(
                    name, 0, action.cache, interface.Status.SERVED, 0, True, interface.Note.FILLED
                ),
                now_ns,
            )
    router.handle(interface.TimerFired(token), now_ns)


def _evaluate(
    case: Case,
    settings_used: interface.Settings,
    calls: list[list[int]],
    decisions: int,
    cpu_s: float,
    traced_bytes: int,
) -> Outcome:
    floor, ramp, multiple = (
        (settings_used.parent_cold_from, settings_used.parent_cold_ns, settings_used.parent_fall_multiple)
        if case.parent
        else (settings_used.cold_from, settings_used.cold_ns, settings_used.fall_multiple)
    )
    first = QUIET_NS - settings_used.fall_ns if case.shape == "rush" else 0

    def allowed(since: int) -> float:
        return multiple * (floor + (1 - floor) * since / ramp) * case.weight * settings_used.fall_ns / WORK_NS

    over = over_at_end = windows = 0
    used = worst = worst_at_end = 0.0
    for begin in range(first, LENGTH_NS - settings_used.fall_ns, WINDOW_STEP_NS):
        allowed_at_start, allowed_at_end = allowed(begin), allowed(begin + settings_used.fall_ns)
        limit, limit_at_end = _limit(allowed_at_start), _limit(allowed_at_end)
        for request_times in calls:
            request_count = bisect_left(
                request_times, START_NS + begin + settings_used.fall_ns
            ) - bisect_left(request_times, START_NS + begin)
            windows += 1
            over += request_count > limit
            over_at_end += request_count > limit_at_end
            used += request_count / allowed_at_start
            worst = max(worst, request_count / limit)
            worst_at_end = max(worst_at_end, request_count / limit_at_end)
    return Outcome(
        over=over,
        windows=windows,
        calls=sum(map(len, calls)),
        used=used / windows,
        worst=worst,
        allowed=allowed(0),
        decisions=decisions,
        cpu_s=cpu_s,
        mb=traced_bytes / 1e6,
        over_at_end=over_at_end,
        worst_at_end=worst_at_end,
    )


def _limit(allowed: float) -> float:
    """Returns the number of requests in a window beyond which a cold server counts as failed.

    `allowed` is the number N that the settings allow in the window.
    """
    return allowed + 2 * math.sqrt(allowed) + 2
