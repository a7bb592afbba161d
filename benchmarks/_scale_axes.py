"""Costs of gateways and of whoever answers their polls, over sizes, with their slopes."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks._deployment import MAIN, Deployment, Hollow, Span, store_list
from benchmarks._processes import processor_s, resident_mb, wait_until
from benchmarks._slopes import Slope, fit

GATEWAYS_A_PROCESS = 128
QUIET_S = 10.0  # for the last events of a span to be in force everywhere
Progress = Callable[[str], None]


@dataclass(frozen=True)
class Effort:
    """Seconds of a measured span, of the calm before, and how often each size is measured."""

    span_s: float
    calm_s: float
    repeats: int


@dataclass
class Point:
    """One measurement at one size; costs by name."""

    size: float
    costs: dict[str, float | None]


@dataclass
class Axis:
    """Measurements over sizes of one thing, all else equal."""

    name: str
    fixed: dict[str, float]  # what all points share
    points: list[Point] = field(default_factory=list)

    def slope(self, cost: str) -> Slope | None:
        """The line of a cost over the sizes; None where too few were measured, or the cost is not known or
        the same in every measurement, which has no interval."""
        found = [(point.size, point.costs.get(cost)) for point in self.points]
        known = [(size, value) for size, value in found if value is not None]
        if len({value for _, value in known}) < 2:
            return None
        try:
            return fit(known)
        except ValueError:
            return None

    def row(self) -> dict[str, Any]:
        names = list(dict.fromkeys(name for point in self.points for name in point.costs))
        slopes = {name: slope.row() for name in names if (slope := self.slope(name)) is not None}
        return {
            "fixed": self.fixed,
            "points": [{"size": point.size, **_rounded(point.costs)} for point in self.points],
            "slopes": slopes,
        }


def _rounded(costs: dict[str, float | None]) -> dict[str, float | None]:
    return {name: None if value is None else float(f"{value:.5g}") for name, value in costs.items()}


def start_hollows(fleet: Deployment, count: int) -> list[Hollow]:
    """So many more gateways in as few processes as their share allows, started at the same time."""
    path = fleet.config(MAIN)
    sizes = [GATEWAYS_A_PROCESS] * (count // GATEWAYS_A_PROCESS)
    if count % GATEWAYS_A_PROCESS:
        sizes.append(count % GATEWAYS_A_PROCESS)
    made = [fleet.hollow(size, path=path) for size in sizes]
    fleet.connected()
    return made


def costs_of(fleet: Deployment, span: Span, calm: Span) -> dict[str, float | None]:
    """For each role: processor time, memory, bytes and messages. A gateway's less what it spends in calm."""
    hollows = fleet.hollows
    count = sum(hollow.count for hollow in hollows)
    pids = [hollow.process.pid for hollow in hollows]
    answering = fleet.answerers.pids()
    traffic = span.traffic[MAIN]
    memory = sum(hollow.gateway_mb() * hollow.count for hollow in hollows)
    return {
        "gateway_pct": 100 * (span.share(*pids) - calm.share(*pids)) / count,
        "gateway_calm_pct": 100 * calm.share(*pids) / count,
        "gateway_mb": memory / count,
        "gateway_kb_s_in": traffic.bytes_out / 1_000 / count,
        "gateway_kb_s_out": traffic.bytes_in / 1_000 / count,
        "gateway_polls_s": traffic.polls / count,
        "answerer_pct": 100 * span.share(*answering),
        "answerer_mb": sum(map(resident_mb, answering)),
        "answerer_kb_s_in": traffic.bytes_in / 1_000,
        "answerer_kb_s_out": traffic.bytes_out / 1_000,
        "answerer_polls_s": traffic.polls,
        "discovery_pct": 100 * span.share(fleet.discovery.pid),
    }


def purge_point(fleet: Deployment, size: float, rate: float, seconds: float, calm: Span) -> Point:
    """Costs while purges come at a rate, and the times until each was in force at every gateway."""
    before = fleet.discovery.state()["published"]
    fleet.clear()
    fleet.discovery.do("purges", rate=rate, seconds=seconds + 1.0)
    time.sleep(0.5)
    span = fleet.measure(seconds)
    costs = costs_of(fleet, span, calm)
    time.sleep(0.6)
    published = fleet.discovery.state()["published"] - before
    for hollow in fleet.hollows:
        fleet.caught_up(hollow, seconds=QUIET_S)
    times = fleet.times("purges")
    count = sum(hollow.count for hollow in fleet.hollows)
    costs |= {
        "in_force_ms_median": times.median_ms,
        "in_force_ms_p99": times.p99_ms,
        "in_force_ms_max": times.longest_ms,
        "missing": float(published * count - times.count),
    }
    return Point(size, costs)


def gateways_axis(
    folder: Path,
    seed: int,
    sizes: Sequence[int],
    rate: float,
    effort: Effort,
    said: Progress,
    prepare: Callable[[Deployment], None] = lambda fleet: None,
) -> Axis:
    """Over the number of gateways; they stay, and more are added for each size. `prepare` may put other
    answerers before them."""
    axis = Axis("gateways", {"purges_s": rate, "stores": 70})
    with Deployment(folder, store_list(70), seed) as fleet:
        prepare(fleet)
        running = 0
        for size in sizes:
            start_hollows(fleet, size - running)
            running = size
            calm = fleet.measure(effort.calm_s)
            for _ in range(effort.repeats):
                axis.points.append(purge_point(fleet, size, rate, effort.span_s, calm))
            said(f"gateways {size} at {rate:g} purges/s: {_short(axis.points[-1])}")
    return axis


def stores_axis(
    folder: Path,
    seed: int,
    sizes: Sequence[int],
    gateways: int,
    rate: float,
    effort: Effort,
    said: Progress,
) -> Axis:
    """Over the number of stores in the list."""
    axis = Axis("stores", {"purges_s": rate, "gateways": gateways})
    for size in sizes:
        with Deployment(folder / f"stores-{size}", store_list(size), seed) as fleet:
            began = time.monotonic()
            start_hollows(fleet, gateways)
            ready_s = time.monotonic() - began
            calm = fleet.measure(effort.calm_s)
            for _ in range(effort.repeats):
                point = purge_point(fleet, size, rate, effort.span_s, calm)
                point.costs["ready_s"] = ready_s
                axis.points.append(point)
            said(f"stores {size}: {_short(axis.points[-1])}")
    return axis


def purges_axis(
    folder: Path,
    seed: int,
    sizes: Sequence[float],
    gateways: int,
    effort: Effort,
    said: Progress,
) -> Axis:
    """Over purges a second."""
    axis = Axis("purges", {"gateways": gateways, "stores": 70})
    with Deployment(folder, store_list(70), seed) as fleet:
        start_hollows(fleet, gateways)
        calm = fleet.measure(effort.calm_s)
        for rate in sizes:
            for _ in range(effort.repeats):
                axis.points.append(purge_point(fleet, rate, rate, effort.span_s, calm))
            said(f"purges {rate:g}/s: {_short(axis.points[-1])}")
    return axis


def backlog_axis(
    folder: Path, seed: int, sizes: Sequence[int], gateways: int, effort: Effort, said: Progress
) -> Axis:
    """Over events that came while a gateway was cut off; processor time is that of the whole catching up."""
    axis = Axis("backlog", {"gateways": gateways, "stores": 70})
    for size in sizes:
        with Deployment(folder / f"backlog-{size}", store_list(70), seed) as fleet:
            fleet.discovery.do("backlog", count=size)
            rev = fleet.discovery.state()["rev"]
            for _ in range(effort.repeats):
                axis.points.append(_backlog_point(fleet, size, gateways, rev))
            said(f"backlog {size}: {_short(axis.points[-1])}")
    return axis


def _backlog_point(fleet: Deployment, size: int, gateways: int, rev: int) -> Point:
    answering = fleet.answerers.pids()
    answered = sum(map(processor_s, answering))
    hollow = fleet.hollow(gateways)
    hollow.process.wait_started()
    began, spent = time.monotonic(), processor_s(hollow.process.pid)
    most_mb = 0.0

    def caught_up() -> bool:
        nonlocal most_mb
        most_mb = max(most_mb, hollow.gateway_mb())
        low: int = hollow.process.do("state")["lowest_rev"]
        return low >= rev

    wait_until(caught_up, 60.0, f"a backlog of {size} was not taken", 0.02)
    took = time.monotonic() - began
    costs: dict[str, float | None] = {
        "gateway_s": (processor_s(hollow.process.pid) - spent) / gateways,
        "gateway_mb": most_mb,
        "answerer_s": (sum(map(processor_s, answering)) - answered) / gateways,
        "answerer_mb": sum(map(resident_mb, answering)),
        "until_ms": 1_000 * took,
    }
    fleet.end(hollow)
    return Point(size, costs)


def changes_axis(
    folder: Path,
    seed: int,
    sizes: Sequence[float],
    gateways: int,
    stores: int,
    effort: Effort,
    said: Progress,
) -> Axis:
    """Over changes of configuration a minute: half are changes of a store through discovery, half are new
    settings in the configuration's file that every gateway is told to read again."""
    axis = Axis("changes", {"gateways": gateways, "stores": stores})
    with Deployment(folder, store_list(stores), seed) as fleet:
        start_hollows(fleet, gateways)
        calm = fleet.measure(effort.calm_s)
        for size in sizes:
            for _ in range(effort.repeats):
                axis.points.append(_changes_point(fleet, size, effort.span_s, calm))
            said(f"changes {size:g}/min: {_short(axis.points[-1])}")
    return axis


def _changes_point(fleet: Deployment, a_minute: float, seconds: float, calm: Span) -> Point:
    fleet.clear()
    count = max(round(a_minute * seconds / 60), 1)
    before = fleet.snapshot()
    for number in range(count):
        due = before.at + (number + 0.5) * seconds / count
        time.sleep(max(due - time.monotonic(), 0.0))
        if number % 2 == 0:
            state = {"phase": ("Ready", "Terminating")[number // 2 % 2]}
            fleet.discovery.do("change", member={**fleet.stores[0], **state})
        else:
            reload_all(fleet)
    time.sleep(max(before.at + seconds - time.monotonic(), 0.0))
    span = fleet.since(before)
    costs = costs_of(fleet, span, calm)
    for hollow in fleet.hollows:
        fleet.caught_up(hollow, seconds=QUIET_S)
    for what in ("changes", "reloads"):
        times = fleet.times(what)
        costs |= {f"{what}_ms_p99": times.p99_ms, f"{what}_ms_max": times.longest_ms}
    return Point(a_minute, costs)


def reload_all(fleet: Deployment) -> None:
    """Every hollow gateway reads its file again, as after a signal; the processes do so at the same time."""
    written_us = time.monotonic_ns() // 1_000
    for hollow in fleet.hollows:
        hollow.process.send("reload", written_us=written_us)
    for hollow in fleet.hollows:
        hollow.process.take()


def _short(point: Point) -> str:
    told = (
        "gateway_pct",
        "gateway_s",
        "gateway_mb",
        "answerer_pct",
        "in_force_ms_max",
        "until_ms",
        "missing",
    )
    return ", ".join(f"{name} {value:.4g}" for name in told if (value := point.costs.get(name)) is not None)
