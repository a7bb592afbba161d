"""Measures what a backlog of purges costs a real gateway, while it serves requests and while it is idle.

A backlog is a number of purges that the gateway receives at once, as after a disconnection.
"""

from __future__ import annotations

import statistics
import time
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

from benchmarks._deployment import REAL, Deployment, store_list
from benchmarks._gateway_site import free_port
from benchmarks._observer import StandinSite, served_share
from benchmarks._processes import processor_s, resident_mb
from benchmarks._program import Gateway

TURN_METRIC = "app_turn_seconds_max"
SAMPLE_S = 0.05
TIMEOUT_S = 90.0
BULKS = (16_000, 32_000)
CALM_S = 1.0


def longest_turn_ms(management_port: int) -> float | None:
    """Returns the longest turn of a gateway's event loop since its start, from its metrics, in ms.

    Returns None if the management port does not answer.
    """
    connection = HTTPConnection("127.0.0.1", management_port, timeout=20)
    try:
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    except (OSError, HTTPException):
        return None
    finally:
        connection.close()
    values = [float(line.split()[1]) for line in text.splitlines() if line.startswith(TURN_METRIC + " ")]
    return 1_000 * values[0] if values else None


@dataclass
class BulkResult:
    """What it cost a gateway to receive many events at once.

    `seconds` is the time until it polled for later events, None if it did not in time. `processor_s` is its
    processor time meanwhile, `peak_mb` its largest resident memory.
    """

    seconds: float | None
    processor_s: float
    peak_mb: float


def measure_bulk(
    fleet: Deployment, gateway: Gateway, group: str, count: int, timeout_s: float, per_s: float = 0.0
) -> BulkResult:
    """Publishes `count` purges at once and waits until the gateway polls with the revision of the last one.

    The purges carry the current time or, if `per_s` is above 0, times at that rate up to now. The gateway
    must be the only one of its group.
    """
    processor_before_s = processor_s(gateway.process.pid)
    began = time.monotonic_ns()
    rev = fleet.discovery.call("backlog", count=count, per_s=per_s)["rev"]
    peak_mb, seconds = 0.0, None
    while time.monotonic_ns() - began < timeout_s * 1e9:
        peak_mb = max(peak_mb, resident_mb(gateway.process.pid))
        port = fleet.discovery.state()["ports"][group]
        if port["watch"] >= rev:
            seconds = (port["watch_at_ns"] - began) / 1e9
            break
        time.sleep(SAMPLE_S)
    return BulkResult(seconds, processor_s(gateway.process.pid) - processor_before_s, peak_mb)


def run_backlog(folder: Path, seed: int, count: int, per_s: float) -> dict[str, Any]:
    """Lets a real gateway receive `count` purges at once under a light load of requests; returns results.

    The purges carry times at the rate `per_s` up to now, as if made while the gateway was disconnected.
    With a `per_s` of 0.0 all carry the current time, so that all of them are in force.
    """
    site = StandinSite()
    try:
        with Deployment(folder, site.members(), seed) as fleet:
            management_port = free_port()
            gateway = fleet.real(
                fleet.config(REAL), EDGE_MGMT=f"127.0.0.1:{management_port}", TMPDIR=str(fleet.folder)
            )
            site.serve(gateway.port(), seed)
            time.sleep(CALM_S)
            idle_mb, before_ms = resident_mb(gateway.process.pid), longest_turn_ms(management_port)
            before = site.ends()
            result = measure_bulk(fleet, gateway, REAL, count, TIMEOUT_S, per_s)
            site.stop()  # afterwards every request has been answered or is past its deadline
            after_ms = longest_turn_ms(management_port)
            disconnected = len(gateway.logged("discovery_disconnected"))
            return {
                "purges": count,
                "made_per_s": per_s,
                "backlog_s": None if result.seconds is None else round(result.seconds, 3),
                "processor_s": round(result.processor_s, 3),
                "longest_turn_ms": None if after_ms is None else round(after_ms, 1),
                "longest_turn_before_ms": None if before_ms is None else round(before_ms, 1),
                "mb_over_idle": round(result.peak_mb - idle_mb, 2),
                "idle_mb": round(idle_mb, 2),
                "served_share": served_share(before, site.ends()),
                "ends": site.ends(),
                "disconnected": disconnected,
            }
    finally:
        site.close()


def run_bulks(folder: Path, seed: int, bulks: tuple[int, ...], repeats: int) -> dict[str, Any]:
    """Measures an idle gateway's processor time for `bulks` purges at once, less its processor time at rest.

    Each of these numbers of purges is received by a new gateway, `repeats` times.
    """
    processor_times: dict[int, list[float]] = {size: [] for size in bulks}
    for size in bulks:
        for repeat in range(repeats):
            with Deployment(folder / f"bulk-{size}-{repeat}", store_list(70), seed) as fleet:
                gateway = fleet.real(fleet.config(REAL))
                gateway.port()
                time.sleep(CALM_S)
                calm = fleet.measure(CALM_S).share(gateway.process.pid)
                result = measure_bulk(fleet, gateway, REAL, size, TIMEOUT_S)
                if result.seconds is not None:
                    processor_times[size].append(result.processor_s - calm * result.seconds)
    medians = {size: statistics.median(values) for size, values in processor_times.items() if values}
    small, large = bulks
    complete = len(medians) == len(bulks)
    return {
        "processor_s": {
            str(size): [round(value, 4) for value in values] for size, values in processor_times.items()
        },
        "ratio": round(medians[large] / medians[small], 3) if complete else None,
    }
