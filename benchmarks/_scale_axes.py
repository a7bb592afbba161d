"""Measures costs of gateways and of the servers they poll as functions of a size, and fits slopes to them.

The sizes are the numbers of gateways, stores, purges a second, missed events, and changes a minute.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks._deployment import MAIN, Deployment, HollowProcess, Span, store_list
from benchmarks._processes import processor_s, resident_mb, wait_until
from benchmarks._slopes import Slope, fit

GATEWAYS_A_PROCESS = 128
QUIET_S = 10.0  # how long after a measured span its last events may take to reach all gateways
Progress = Callable[[str], None]


@dataclass(frozen=True)
class Effort:
    """How long and how often each size is measured.

    `span_s` is the length of a measured span, `calm_s` that of the idle span before, `repeats` the number of
    measured spans per size.
    """

    span_s: float
    calm_s: float
    repeats: int


@dataclass
class Point:
    """One measurement at one size: the costs by name, None for one that was not measured."""

    size: float
    costs: dict[str, float | None]


@dataclass
class Axis:
    """Repeated measurements in which only the size `name` varies."""

    name: str
    fixed: dict[str, float]  # the other sizes by name, which are the same at all points
    points: list[Point] = field(default_factory=list)

    def slope(self, cost: str) -> Slope | None:
        """Fits the cost named `cost` as a function of the size.

        Returns None if there are too few measurements, or if all measured costs are equal, which gives no
        confidence interval.
        """
        found = [(point.size, point.costs.get(cost)) for point in self.points]
        known = [(size, value) for size, value in found if value is not None]
        if len({value for _, value in known}) < 2:
            return None
        try:
            return fit(known)
        except ValueError:
            return None

    def row(self) -> dict[str, Any]:
        """Returns the fixed sizes, points and slopes in the form of the benchmark's JSON results."""
        names = list(dict.fromkeys(name for point in self.points for name in point.costs))
        slopes = {name: slope.row() for name in names if (slope := self.slope(name)) is not None}
        return {
            "fixed": self.fixed,
            "points": [{"size": point.size, **_rounded(point.costs)} for point in self.points],
            "slopes": slopes,
        }


def _rounded(costs: dict[str, float | None]) -> dict[str, float | None]:
    return {name: None if value is None else float(f"{value:.5g}") for name, value in costs.items()}


def start_hollows(fleet: Deployment, count: int) -> list[HollowProcess]:
    """Starts `count` more hollow gateways and waits until they have the last event; returns their processes.

    Each process runs up to GATEWAYS_A_PROCESS of them.
    """
    path = fleet.config(MAIN)
    sizes = [GATEWAYS_A_PROCESS] * (count // GATEWAYS_A_PROCESS)
    if count % GATEWAYS_A_PROCESS:
        sizes.append(count % GATEWAYS_A_PROCESS)
    made = [fleet.hollow(size, path=path) for size in sizes]
    fleet.wait_connected()
    return made


def costs_of(fleet: Deployment, span: Span, calm: Span) -> dict[str, float | None]:
    """Returns costs by name, for one gateway, for the poll servers ("answerer") and for discovery.

    They are processor time in percent of a core, memory, bytes and polls. The processor time of a gateway
    is that of the measured `span` less that of the idle span `calm`.
    """
    hollows = fleet.hollows
    count = sum(hollow.count for hollow in hollows)
    pids = [hollow.process.pid for hollow in hollows]
    server_pids = fleet.poll_servers.pids()
    traffic = span.traffic[MAIN]
    memory = sum(hollow.gateway_mb() * hollow.count for hollow in hollows)
    return {
        "gateway_pct": 100 * (span.share(*pids) - calm.share(*pids)) / count,
        "gateway_calm_pct": 100 * calm.share(*pids) / count,
        "gateway_mb": memory / count,
        "gateway_kb_s_in": traffic.bytes_out / 1_000 / count,
        "gateway_kb_s_out": traffic.bytes_in / 1_000 / count,
        "gateway_polls_s": traffic.polls / count,
        "answerer_pct": 100 * span.share(*server_pids),
        "answerer_mb": sum(map(resident_mb, server_pids)),
        "answerer_kb_s_in": traffic.bytes_in / 1_000,
        "answerer_kb_s_out": traffic.bytes_out / 1_000,
        "answerer_polls_s": traffic.polls,
        "discovery_pct": 100 * span.share(fleet.discovery.pid),
    }


def purge_point(fleet: Deployment, size: float, rate: float, seconds: float, calm: Span) -> Point:
    """Measures costs at one size while `rate` purges a second are published, and their propagation times."""
    before = fleet.discovery.state()["published"]
    fleet.clear()
    fleet.discovery.call("purges", rate=rate, seconds=seconds + 1.0)
    time.sleep(0.5)
    span = fleet.measure(seconds)
    costs = costs_of(fleet, span, calm)
    time.sleep(0.6)
    published = fleet.discovery.state()["published"] - before
    for hollow in fleet.hollows:
        fleet.wait_caught_up(hollow, seconds=QUIET_S)
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
    report: Progress,
    prepare: Callable[[Deployment], None] = lambda fleet: None,
) -> Axis:
    """Measures costs as a function of the number of gateways; for each size it adds gateways to the fleet.

    `prepare` is called before the first gateway starts and may replace the poll servers of the deployment.
    """
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
            report(f"gateways {size} at {rate:g} purges/s: {_short(axis.points[-1])}")
    return axis


def stores_axis(
    folder: Path,
    seed: int,
    sizes: Sequence[int],
    gateways: int,
    rate: float,
    effort: Effort,
    report: Progress,
) -> Axis:
    """Measures costs as a function of the number of stores that discovery lists, for a fixed fleet."""
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
            report(f"stores {size}: {_short(axis.points[-1])}")
    return axis


def purges_axis(
    folder: Path,
    seed: int,
    sizes: Sequence[float],
    gateways: int,
    effort: Effort,
    report: Progress,
) -> Axis:
    """Measures costs as a function of the purges published per second, for a fixed fleet."""
    axis = Axis("purges", {"gateways": gateways, "stores": 70})
    with Deployment(folder, store_list(70), seed) as fleet:
        start_hollows(fleet, gateways)
        calm = fleet.measure(effort.calm_s)
        for rate in sizes:
            for _ in range(effort.repeats):
                axis.points.append(purge_point(fleet, rate, rate, effort.span_s, calm))
            report(f"purges {rate:g}/s: {_short(axis.points[-1])}")
    return axis


def backlog_axis(
    folder: Path, seed: int, sizes: Sequence[int], gateways: int, effort: Effort, report: Progress
) -> Axis:
    """Measures what receiving a backlog costs, as a function of the events in it.

    The gateways have missed them while they were cut off from discovery.
    """
    axis = Axis("backlog", {"gateways": gateways, "stores": 70})
    for size in sizes:
        with Deployment(folder / f"backlog-{size}", store_list(70), seed) as fleet:
            fleet.discovery.call("backlog", count=size)
            rev = fleet.discovery.state()["rev"]
            for _ in range(effort.repeats):
                axis.points.append(_backlog_point(fleet, size, gateways, rev))
            report(f"backlog {size}: {_short(axis.points[-1])}")
    return axis


def _backlog_point(fleet: Deployment, size: int, gateways: int, rev: int) -> Point:
    server_pids = fleet.poll_servers.pids()
    server_processor_s = sum(map(processor_s, server_pids))
    hollow = fleet.hollow(gateways)
    hollow.process.wait_started()
    began, spent = time.monotonic(), processor_s(hollow.process.pid)
    peak_mb = 0.0

    def has_caught_up() -> bool:
        nonlocal peak_mb
        peak_mb = max(peak_mb, hollow.gateway_mb())
        lowest_rev: int = hollow.process.call("state")["lowest_rev"]
        return lowest_rev >= rev

    wait_until(has_caught_up, 60.0, f"a backlog of {size} events was not received", 0.02)
    took = time.monotonic() - began
    costs: dict[str, float | None] = {
        "gateway_s": (processor_s(hollow.process.pid) - spent) / gateways,
        "gateway_mb": peak_mb,
        "answerer_s": (sum(map(processor_s, server_pids)) - server_processor_s) / gateways,
        "answerer_mb": sum(map(resident_mb, server_pids)),
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
    report: Progress,
) -> Axis:
    """Measures costs as a function of the configuration changes per minute.

    Half of the changes are changes of a store, published by discovery. The other half make every gateway
    reload its configuration file.
    """
    axis = Axis("changes", {"gateways": gateways, "stores": stores})
    with Deployment(folder, store_list(stores), seed) as fleet:
        start_hollows(fleet, gateways)
        calm = fleet.measure(effort.calm_s)
        for size in sizes:
            for _ in range(effort.repeats):
                axis.points.append(_changes_point(fleet, size, effort.span_s, calm))
            report(f"changes {size:g}/min: {_short(axis.points[-1])}")
    return axis


def _changes_point(fleet: Deployment, per_minute: float, seconds: float, calm: Span) -> Point:
    fleet.clear()
    count = max(round(per_minute * seconds / 60), 1)
    before = fleet.snapshot()
    for number in range(count):
        due_at = before.at + (number + 0.5) * seconds / count
        time.sleep(max(due_at - time.monotonic(), 0.0))
        if number % 2 == 0:
            change = {"phase": ("Ready", "Terminating")[number // 2 % 2]}
            fleet.discovery.call("change", member={**fleet.stores[0], **change})
        else:
            reload_all(fleet)
    time.sleep(max(before.at + seconds - time.monotonic(), 0.0))
    span = fleet.since(before)
    costs = costs_of(fleet, span, calm)
    for hollow in fleet.hollows:
        fleet.wait_caught_up(hollow, seconds=QUIET_S)
    for kind in ("changes", "reloads"):
        times = fleet.times(kind)
        costs |= {f"{kind}_ms_p99": times.p99_ms, f"{kind}_ms_max": times.longest_ms}
    return Point(per_minute, costs)


def reload_all(fleet: Deployment) -> None:
    """Makes every hollow gateway reload its configuration file, in all processes at once."""
    written_us = time.monotonic_ns() // 1_000
    for hollow in fleet.hollows:
        hollow.process.send("reload", written_us=written_us)
    for hollow in fleet.hollows:
        hollow.process.receive_answer()


def _short(point: Point) -> str:
    names = (
        "gateway_pct",
        "gateway_s",
        "gateway_mb",
        "answerer_pct",
        "in_force_ms_max",
        "until_ms",
        "missing",
    )
    return ", ".join(f"{name} {value:.4g}" for name in names if (value := point.costs.get(name)) is not None)
