"""What a real gateway spends on control, and whether a hollow one spends as much, side by side in a run."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from benchmarks._deployment import IDLE, MAIN, REAL, Deployment, Hollow, Span, store_list
from benchmarks._processes import resident_mb
from benchmarks._program import Gateway

TARGET_PURGES_PER_S = 150.0
ALONE = "alone"
WHY_SHARED_DIFFERS = (
    "a gateway alone in its process sleeps between its few turns and finds caches as others left them; "
    "those that share one find its code warm and seldom sleep. Turns of shared ones begin with an eviction "
    "of the caches, which is left out of the cost and closes a part of the gap"
)
WARM_S = 1.0  # of purges, before anything is measured


def per_gateway(loaded: float, idle: float, count: int) -> float:
    """The cost of one of `count` gateways that hear events, less that of as many that hear none."""
    return (loaded - idle) / count


def run_cost(
    folder: Path, seed: int, count: int, processes: int, stores: int, seconds: float, repeats: int
) -> dict[str, Any]:
    """Real and hollow gateways at the target's purges, with as many of each that hear nothing.

    `count` hollow ones share a process. As many as there are real ones, `processes`, have one each, which
    finds caches and wakes up as a real one does: that comparison shows that the classes cost the same.
    """
    with Deployment(folder, store_list(stores), seed) as fleet:
        reals = [fleet.real(fleet.config(REAL)) for _ in range(processes)]
        reals_idle = [fleet.real(fleet.config(IDLE)) for _ in range(processes)]
        empty = fleet.real(fleet.config(IDLE, known={"rev": 0, "notices": []}))  # knows no store
        hollow, hollow_idle = fleet.hollow(count), fleet.hollow(count, IDLE)
        alone = [fleet.hollow(1, ALONE) for _ in range(processes)]
        alone_idle = [fleet.hollow(1, IDLE) for _ in range(processes)]
        for gateway in (*reals, *reals_idle, empty):
            gateway.port()
        fleet.connected()
        spans = list[Span]()
        length = WARM_S + repeats * (seconds + 0.5) + 5.0
        fleet.discovery.do("purges", rate=TARGET_PURGES_PER_S, seconds=length)
        fleet.measure(WARM_S)
        for _ in range(repeats):
            spans.append(fleet.measure(seconds))
        whole_mb = statistics.median(resident_mb(gateway.process.pid) for gateway in reals)
        own_mb = whole_mb - resident_mb(empty.process.pid)
        fleet.discovery.do("stop_purges")
        fleet.caught_up(hollow)
        real_pct = [100 * per_gateway(_share(s, reals), _share(s, reals_idle), processes) for s in spans]
        hollow_pct = [
            100 * per_gateway(s.share(hollow.process.pid), s.share(hollow_idle.process.pid), count)
            for s in spans
        ]
        alone_pct = [100 * per_gateway(_share(s, alone), _share(s, alone_idle), processes) for s in spans]
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
            "real_whole_pct": _spread([100 * _share(s, reals) / processes for s in spans]),
            "real_idle_pct": _spread([100 * _share(s, reals_idle) / processes for s in spans]),
            "hollow_pct": _spread(hollow_pct),
            "hollow_idle_pct": _spread([100 * s.share(hollow_idle.process.pid) / count for s in spans]),
            "real_gateways": processes,
            "alone_processes": processes,
            "alone_pct": _spread(alone_pct),
            "alone_idle_pct": _spread([100 * _share(s, alone_idle) / processes for s in spans]),
            "hollow_over_real": _ratio(alone_pct, real_pct),
            "hollow_shared_over_real": _ratio(hollow_pct, real_pct),
            "why_shared_differs": WHY_SHARED_DIFFERS,
            "real_kb_s": _spread([s.traffic[REAL].kb / processes for s in spans]),
            "hollow_kb_s": _spread([s.traffic[MAIN].kb / count for s in spans]),
            "real_polls_s": _spread([s.traffic[REAL].polls / processes for s in spans]),
            "hollow_polls_s": _spread([s.traffic[MAIN].polls / count for s in spans]),
            "real_mb": round(whole_mb, 2),
            "real_own_mb": round(own_mb, 2),
            "hollow_mb": round(hollow.gateway_mb(), 2),
            "in_force": fleet.times("purges").row(),
        }


def _share(span: Span, gateways: Sequence[Hollow | Gateway]) -> float:
    return span.share(*(gateway.process.pid for gateway in gateways))


def _ratio(costs: list[float], against: list[float]) -> float | None:
    return round(sum(costs) / sum(against), 3) if sum(against) else None


def _spread(values: list[float]) -> dict[str, float]:
    """Median, least and most."""
    return {
        "median": round(statistics.median(values), 4),
        "least": round(min(values), 4),
        "most": round(max(values), 4),
    }
