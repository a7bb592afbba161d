"""Compares in one run what discovery and purges cost a real gateway and hollow ones (`_hollow`)."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from benchmarks._deployment import IDLE, MAIN, REAL, Deployment, HollowProcess, Span, store_list
from benchmarks._processes import resident_mb
from benchmarks._program import Gateway

TARGET_PURGES_PER_S = 150.0
ALONE = "alone"
WHY_SHARED_DIFFERS = (
    "a gateway alone in its process sleeps between its few turns and finds caches as others left them; "
    "those that share one find its code warm and seldom sleep. Turns of shared ones begin with an eviction "
    "of the caches, which is left out of the cost and closes a part of the gap"
)
WARM_S = 1.0  # how long purges are published before the first measurement


def per_gateway(loaded: float, idle: float, count: int) -> float:
    """Returns the cost per gateway: that of `count` loaded gateways less that of `count` idle ones."""
    return (loaded - idle) / count


def run_cost(
    folder: Path, seed: int, count: int, processes: int, stores: int, seconds: float, repeats: int
) -> dict[str, Any]:
    """Measures the cost of real and of hollow gateways at the target's rate of purges.

    The cost of as many gateways that receive no events is subtracted.

    `count` hollow gateways share a process. For comparison there are `processes` real gateways and as many
    hollow ones with a process each. These hollow ones find cold processor caches and wake up as real ones do;
    comparing them with the real ones shows whether a hollow gateway's code costs the same.
    """
    with Deployment(folder, store_list(stores), seed) as fleet:
        reals = [fleet.real(fleet.config(REAL)) for _ in range(processes)]
        reals_idle = [fleet.real(fleet.config(IDLE)) for _ in range(processes)]
        empty = fleet.real(fleet.config(IDLE, known={"rev": 0, "notices": []}))  # has no list of stores
        hollow, hollow_idle = fleet.hollow(count), fleet.hollow(count, IDLE)
        alone = [fleet.hollow(1, ALONE) for _ in range(processes)]
        alone_idle = [fleet.hollow(1, IDLE) for _ in range(processes)]
        for gateway in (*reals, *reals_idle, empty):
            gateway.port()
        fleet.wait_connected()
        spans = list[Span]()
        length = WARM_S + repeats * (seconds + 0.5) + 5.0
        fleet.discovery.call("purges", rate=TARGET_PURGES_PER_S, seconds=length)
        fleet.measure(WARM_S)
        for _ in range(repeats):
            spans.append(fleet.measure(seconds))
        whole_mb = statistics.median(resident_mb(gateway.process.pid) for gateway in reals)
        own_mb = whole_mb - resident_mb(empty.process.pid)
        fleet.discovery.call("stop_purges")
        fleet.wait_caught_up(hollow)
        real_pct = [
            100 * per_gateway(_share(span, reals), _share(span, reals_idle), processes) for span in spans
        ]
        hollow_pct = [
            100 * per_gateway(span.share(hollow.process.pid), span.share(hollow_idle.process.pid), count)
            for span in spans
        ]
        alone_pct = [
            100 * per_gateway(_share(span, alone), _share(span, alone_idle), processes) for span in spans
        ]
        started = hollow.process.wait_started()
        return {
            "purges_s": TARGET_PURGES_PER_S,
            "stores": stores,
            "hollow_gateways": count,
            "seconds": seconds,
            "repeats": repeats,
            "compiled": started["compiled"],
            "left_out": started["left_out"],
            "real_pct": _spread(real_pct),
            "real_whole_pct": _spread([100 * _share(span, reals) / processes for span in spans]),
            "real_idle_pct": _spread([100 * _share(span, reals_idle) / processes for span in spans]),
            "hollow_pct": _spread(hollow_pct),
            "hollow_idle_pct": _spread([100 * span.share(hollow_idle.process.pid) / count for span in spans]),
            "real_gateways": processes,
            "alone_processes": processes,
            "alone_pct": _spread(alone_pct),
            "alone_idle_pct": _spread([100 * _share(span, alone_idle) / processes for span in spans]),
            "hollow_over_real": _ratio(alone_pct, real_pct),
            "hollow_shared_over_real": _ratio(hollow_pct, real_pct),
            "why_shared_differs": WHY_SHARED_DIFFERS,
            "real_kb_s": _spread([span.traffic[REAL].kb / processes for span in spans]),
            "hollow_kb_s": _spread([span.traffic[MAIN].kb / count for span in spans]),
            "real_polls_s": _spread([span.traffic[REAL].polls / processes for span in spans]),
            "hollow_polls_s": _spread([span.traffic[MAIN].polls / count for span in spans]),
            "real_mb": round(whole_mb, 2),
            "real_own_mb": round(own_mb, 2),
            "hollow_mb": round(hollow.gateway_mb(), 2),
            "in_force": fleet.times("purges").row(),
        }


def _share(span: Span, gateways: Sequence[HollowProcess | Gateway]) -> float:
    return span.share(*(gateway.process.pid for gateway in gateways))


def _ratio(costs: list[float], against: list[float]) -> float | None:
    return round(sum(costs) / sum(against), 3) if sum(against) else None


def _spread(values: list[float]) -> dict[str, float]:
    """Returns the median, the least and the greatest of repeated measurements, by name."""
    return {
        "median": round(statistics.median(values), 4),
        "least": round(min(values), 4),
        "most": round(max(values), 4),
    }
