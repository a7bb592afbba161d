"""A real gateway that takes a backlog of purges in the middle of requests, and the time that bulks take."""

from __future__ import annotations

import statistics
import time
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

from benchmarks._deployment import REAL, Deployment, store_list
from benchmarks._observer import Office, served_share
from benchmarks._processes import processor_s, resident_mb
from benchmarks._program import Gateway
from benchmarks._staff import free_port

TURN_FIGURE = "app_turn_seconds_max"
SAMPLE_S = 0.05
PATIENCE_S = 90.0
BULKS = (16_000, 32_000)
CALM_S = 1.0


def longest_turn_ms(door: int) -> float | None:
    """The longest turn of a gateway's loop since its start, by its operators' door; None if it is silent."""
    connection = HTTPConnection("127.0.0.1", door, timeout=20)
    try:
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    except (OSError, HTTPException):
        return None
    finally:
        connection.close()
    values = [float(line.split()[1]) for line in text.splitlines() if line.startswith(TURN_FIGURE + " ")]
    return 1_000 * values[0] if values else None


@dataclass
class Taken:
    """How a gateway took a bulk of events; `seconds` is None where it did not in the time."""

    seconds: float | None
    processor_s: float
    most_mb: float


def take_bulk(
    fleet: Deployment, gateway: Gateway, group: str, count: int, patience_s: float, per_s: float = 0.0
) -> Taken:
    """So many purges are published at once, made now or at that rate up to now; until the gateway polls with
    the number of the last one."""
    spent = processor_s(gateway.process.pid)
    began = time.monotonic_ns()
    rev = fleet.discovery.do("backlog", count=count, per_s=per_s)["rev"]
    most_mb, seconds = 0.0, None
    while time.monotonic_ns() - began < patience_s * 1e9:
        most_mb = max(most_mb, resident_mb(gateway.process.pid))
        port = fleet.discovery.state()["ports"][group]
        if port["watch"] >= rev:
            seconds = (port["watch_at_ns"] - began) / 1e9
            break
        time.sleep(SAMPLE_S)
    return Taken(seconds, processor_s(gateway.process.pid) - spent, most_mb)


def run_backlog(folder: Path, seed: int, count: int, per_s: float) -> dict[str, Any]:
    """A backlog taken under a light load of requests: what was purged at a rate while nobody was connected,
    or, for 0.0, all in the last moment, so that all of it still binds."""
    office = Office()
    try:
        with Deployment(folder, office.members(), seed) as fleet:
            door = free_port()
            gateway = fleet.real(fleet.config(REAL), EDGE_MGMT=f"127.0.0.1:{door}", TMPDIR=str(fleet.folder))
            office.serve(gateway.port(), seed)
            time.sleep(CALM_S)
            idle_mb, before_ms = resident_mb(gateway.process.pid), longest_turn_ms(door)
            before = office.ends()
            taken = take_bulk(fleet, gateway, REAL, count, PATIENCE_S, per_s)
            office.stop()  # what was asked meanwhile is answered, or its time is over
            after_ms = longest_turn_ms(door)
            disconnected = len(gateway.heard("discovery_disconnected"))
            return {
                "purges": count,
                "made_per_s": per_s,
                "backlog_s": None if taken.seconds is None else round(taken.seconds, 3),
                "processor_s": round(taken.processor_s, 3),
                "longest_turn_ms": None if after_ms is None else round(after_ms, 1),
                "longest_turn_before_ms": None if before_ms is None else round(before_ms, 1),
                "mb_over_idle": round(taken.most_mb - idle_mb, 2),
                "idle_mb": round(idle_mb, 2),
                "served_share": served_share(before, office.ends()),
                "ends": office.ends(),
                "disconnected": disconnected,
            }
    finally:
        office.close()


def run_bulks(folder: Path, seed: int, bulks: tuple[int, ...], repeats: int) -> dict[str, Any]:
    """Processor time of bulks of two sizes, less what the gateway spends in calm; a fresh one each time."""
    found: dict[int, list[float]] = {size: [] for size in bulks}
    for size in bulks:
        for repeat in range(repeats):
            with Deployment(folder / f"bulk-{size}-{repeat}", store_list(70), seed) as fleet:
                gateway = fleet.real(fleet.config(REAL))
                gateway.port()
                time.sleep(CALM_S)
                calm = fleet.measure(CALM_S).share(gateway.process.pid)
                taken = take_bulk(fleet, gateway, REAL, size, PATIENCE_S)
                if taken.seconds is not None:
                    found[size].append(taken.processor_s - calm * taken.seconds)
    medians = {size: statistics.median(values) for size, values in found.items() if values}
    small, large = bulks
    whole = len(medians) == len(bulks)
    return {
        "processor_s": {str(size): [round(v, 4) for v in values] for size, values in found.items()},
        "ratio": round(medians[large] / medians[small], 3) if whole else None,
    }
