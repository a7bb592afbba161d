"""Measures the costs at the target deployment's size that a single process can measure.

These are the decisions and sketches of the decision module, lists of stores, messages between forwarder and
planner, connections, the request path of one gateway, and figures that follow by arithmetic.

Slopes are least-squares fits over repeated points (`_slopes`). Times are processor times of this process. The
results are rows of `docs/CAPACITY.md`, whose tables `python -m benchmarks._capacity_page` writes.
"""

from __future__ import annotations

import gc
import os
import statistics
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from benchmarks import _capacity_memory as memory
from benchmarks import _capacity_router as router
from benchmarks import _capacity_target as target
from benchmarks import _capacity_traffic as traffic
from benchmarks._slopes import fit, rounded
from olivecourse import choice
from olivecourse.sketch import hash64

REPEATS = 3
STORES = (70, 280, 560, 1120)
SHORT_STORES = (16, 64, 128, 256)
OBJECTS = (10_000, 40_000, 160_000, 1_000_000)
SHORT_OBJECTS = (1_000, 4_000, 8_000, 16_000)
OPEN = (256, 1_024, 2_048, 4_096)
SHORT_OPEN = (8, 32, 64, 128)
PURGES = (100, 400, 800, 1_600)
BATCHES = (1, 4, 16, 64)
CONNECTIONS = (16, 64, 128, 256)
ANSWER_KB = (15, 60, 120, 240)  # answer sizes; the last is the longest that a gateway accepts from a store
REFERENCE_CALLS = 100_000
TRAFFIC_S, SHORT_TRAFFIC_S = 2.0, 0.2
GC_THRESHOLDS = (50_000, 20, 100)  # garbage collector thresholds, as `Gateway.run` sets them
MAX_OPEN_REQUESTS = 4_096  # most requests that a gateway keeps open at once
STORE_CONNECTIONS = 462  # most that a gateway with 1,024 descriptors and a management port opens
ARRIVALS = (1_000, 4_000, 8_000, 16_000)  # requests that the sketches count in one counting interval
DRAWN, SHORT_DRAWN = 20_000, 4_000  # requests drawn for each number of objects, in the long and short form
Measure = Callable[[int, int], float]  # measures a cost; takes the size and a seed


class Results:
    """Collects the fitted slopes by cost name, with their points, and prints each once it is fitted."""

    def __init__(self, seeds: Sequence[int]) -> None:
        self.slopes: dict[str, dict[str, Any]] = {}
        self._seeds = seeds

    def measure(self, name: str, sizes: Sequence[int], goal: float, call: Measure) -> None:
        """Measures the cost `name` by `call` at every size with every seed, and adds its slope."""
        self.add(name, [(float(size), call(size, seed)) for size in sizes for seed in self._seeds], goal)

    def add(self, name: str, points: list[tuple[float, float]], goal: float) -> None:
        """Fits the slope of the cost `name` to points (size, cost) and extrapolates it to the size `goal`."""
        measured = fit(points)
        estimate = measured.at(goal)
        self.slopes[name] = {
            **measured.row(),
            "target_size": goal,
            "target": rounded(estimate.value),
            "target_low": rounded(estimate.low),
            "target_high": rounded(estimate.high),
            "beyond": rounded(estimate.beyond, 3),
            "measured": [[size, rounded(cost)] for size, cost in points],
        }
        row = self.slopes[name]
        interval = f"{row['target_low']:g} to {row['target_high']:g}"
        print(
            f"{name}: {row['fixed']:g} + {row['slope']:g} x size, line {row['is_line']}, exponent "
            f"{row['exponent']}, at {goal:g}: {row['target']:g} ({interval})"
        )


def measure_router(results: Results, sizes: Sequence[int], count: int) -> None:
    """Measures the Router over the number of stores, in three distributions of them over zones.

    Measured are a request, a tick, a change of the list of stores, and memory.
    """
    for shape in router.SHAPES:
        measures: tuple[tuple[str, Measure], ...] = (
            ("request_us", lambda size, seed, shape=shape: router.request_us(shape, size, seed, count)),
            ("tick_us", lambda size, seed, shape=shape: router.tick_us(shape, size, seed, count)),
            ("change_ms", lambda size, seed, shape=shape: router.change_ms(shape, size, seed, 8)),
            ("state_kb", lambda size, seed, shape=shape: router.router_kb(shape, size, seed)),
        )
        for cost, measure in measures:
            results.measure(f"router_{cost}_{shape.name}", sizes, target.STORES, measure)
    results.measure(
        "router_whole_list_ms", sizes, target.STORES, lambda size, seed: router.whole_list_ms(size, seed, 5)
    )


def measure_open(results: Results, sizes: Sequence[int], count: int) -> None:
    """Measures the Router's memory and ticks over open requests, and its memory over purges in force."""
    results.measure("router_open_request_kb", sizes, MAX_OPEN_REQUESTS, router.open_requests_kb)
    results.measure(
        "router_tick_open_us",
        sizes,
        MAX_OPEN_REQUESTS,
        lambda size, seed: router.open_tick_us(size, seed, count),
    )
    results.measure("router_tick_silent_us", sizes, MAX_OPEN_REQUESTS, router.silent_tick_us)
    bound = target.PURGES_PER_S * (target.SETTLES_S + target.RETUNE_S)
    results.measure("router_purge_kb", PURGES, bound, router.purges_kb)


def measure_directory(results: Results, sizes: Sequence[int]) -> None:
    """Measures discovery's list of stores and the server directory over the number of stores listed."""
    results.measure("list_kb", sizes, target.STORES, lambda size, seed: memory.list_kb(size))
    results.measure("directory_kb", sizes, target.STORES, memory.directory_kb)
    results.measure(
        "directory_whole_list_ms",
        sizes,
        target.STORES,
        lambda size, seed: memory.directory_ms(size, seed, 3),
    )


def measure_sketches(
    results: Results, sizes: Sequence[int], draws: int, seeds: Sequence[int]
) -> dict[str, Any]:
    """Measures the Router's sketches of the objects requested in one counting interval.

    The slopes are over the number of requests, each for a different object, the worst case for any number
    of objects. Returns the medians for `draws` requests drawn from each number of objects in `sizes`.
    """
    goal = target.REQUESTS_PER_S / target.GATEWAYS * target.RETUNE_S
    points = dict[str, list[tuple[float, float]]]()
    for size in ARRIVALS:
        for seed in seeds:
            for name, value in memory.sketch_row(memory.all_distinct(size, seed)).items():
                points.setdefault(name, []).append((float(size), value))
    for name, measured in points.items():
        results.add(f"sketch_{name}", measured, goal)
    by_objects = {}
    for size in sizes:
        rows = [memory.sketch_row(memory.zipf_names(size, draws, seed)) for seed in seeds]
        by_objects[str(size)] = {
            name: rounded(statistics.median(row[name] for row in rows)) for name in rows[0]
        }
        print(f"sketches, {draws} requests of {size} objects: {by_objects[str(size)]}")
    return by_objects


def measure_exchange(results: Results, count: int, seeds: Sequence[int]) -> None:
    """Measures what a batch of requests costs forwarder and planner, over the number of requests in it."""
    points = dict[str, list[tuple[float, float]]]()
    for size in BATCHES:
        for seed in seeds:
            measured = router.exchange(size, seed, max(count // size, 4))
            for name in measured.__dataclass_fields__:
                points.setdefault(name, []).append((float(size), getattr(measured, name)))
    for name, values in points.items():
        results.add(f"planner_batch_{name}", values, 1)


def measure_connections(results: Results, sizes: Sequence[int], seeds: Sequence[int]) -> None:
    """Measures the memory and the periodic check of idle store connections, over their number."""
    points = dict[str, list[tuple[float, float]]]()
    for size in sizes:
        for seed in seeds:
            for name, value in memory.connections_row(size, seed, 50).items():
                points.setdefault(name, []).append((float(size), value))
    for name, measured in points.items():
        results.add(f"store_connection_{name}", measured, STORE_CONNECTIONS)


def measure_traffic(results: Results, seconds: float, seeds: Sequence[int]) -> dict[str, float]:
    """Measures a real gateway's processor time per request, over the size of the answer.

    Returns further figures for the results, by name.
    """
    points, requests = list[tuple[float, float]](), dict[int, list[float]]()
    with tempfile.TemporaryDirectory() as folder:
        fleet = traffic.Traffic(Path(folder))
        try:
            for size in ANSWER_KB:
                for seed in seeds:
                    measured = fleet.row(size, seconds, seed)
                    points.append((float(size), measured["us"]))
                    requests.setdefault(size, []).append(measured["per_s"])
        finally:
            fleet.close()
    target_figures = target.arithmetic()
    results.add("traffic_request_us", points, target_figures["kb_request"])
    largest = ANSWER_KB[-1]
    max_us = max(us for size, us in points if size == largest)
    return {
        "mbit_s_core": rounded(largest * 8e3 / max_us),
        "pct_in_parts": rounded(
            target_figures["requests_s_gateway"] * target_figures["bodies_request"] * max_us / 1e4
        ),
        **{
            f"requests_s_{size}_kb": rounded(statistics.median(measured))
            for size, measured in requests.items()
        },
    }


def shares(results: Results) -> dict[str, float]:
    """Returns what the target's requests and list changes cost one gateway, by name.

    Figures with `_pct` in their names are percent of a core, `planner_kb_s` is the KB/s between forwarder and
    planner. All use the upper ends of the slopes' intervals.
    """
    requests_per_s = target.REQUESTS_PER_S / target.GATEWAYS
    changes_s = target.CHANGES_PER_DAY / target.DAY_S

    def high(name: str) -> float:
        return float(results.slopes[name]["target_high"])

    figures = {}
    for shape in router.SHAPES:
        figures[f"request_pct_{shape.name}"] = requests_per_s * high(f"router_request_us_{shape.name}") / 1e4
        figures[f"tick_pct_{shape.name}"] = 10 * high(f"router_tick_us_{shape.name}") / 1e4
        figures[f"change_pct_{shape.name}"] = changes_s * high(f"router_change_ms_{shape.name}") / 10
    figures["tick_open_pct"] = 10 * high("router_tick_open_us") / 1e4
    figures["sweep_pct"] = 4 * high("store_connection_sweep_us") / 1e4
    figures["forwarder_pct"] = requests_per_s * high("planner_batch_forwarder_us") / 1e4
    figures["planner_pct"] = requests_per_s * high("planner_batch_planner_us") / 1e4
    figures["planner_kb_s"] = requests_per_s * (
        high("planner_batch_kb_to_planner") + high("planner_batch_kb_to_forwarder")
    )
    return {name: rounded(value) for name, value in figures.items()}


def run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    """Runs all measurements and returns the results by name; the short form takes under 20 s.

    `trials` is the number of repeats of each measurement, at least three.
    """
    previous_thresholds = gc.get_threshold()
    gc.collect()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.freeze()
    try:
        return _run(short, seed, trials)
    finally:
        gc.unfreeze()
        gc.set_threshold(*previous_thresholds)


def reference_us() -> float:
    """Measures the processor time of one hash in us, a reference for the machine's current speed."""
    return rounded(router.mean_us(lambda: hash64("reference"), REFERENCE_CALLS))


def _run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    began, references = time.process_time(), [reference_us()]
    seeds = [seed + number for number in range(max(trials, REPEATS))]
    results, count = Results(seeds), 20 if short else 400
    stores = SHORT_STORES if short else STORES
    measure_router(results, stores, count)
    measure_open(results, SHORT_OPEN if short else OPEN, 5 if short else 20)
    measure_directory(results, stores)
    objects, draws = (SHORT_OBJECTS, SHORT_DRAWN) if short else (OBJECTS, DRAWN)
    by_objects = measure_sketches(results, objects, draws, seeds)
    measure_exchange(results, count, seeds)
    measure_connections(results, CONNECTIONS, seeds)
    references.append(reference_us())
    traffic_results = measure_traffic(results, SHORT_TRAFFIC_S if short else TRAFFIC_S, seeds)
    return {
        "benchmark": "capacity",
        "seed": seed,
        "short": short,
        "repeats": len(seeds),
        "compiled": not str(choice.__file__).endswith(".py"),
        "reference_us": [*references, reference_us()],
        "load_average": [round(load, 1) for load in os.getloadavg()],
        "cpu_s": rounded(time.process_time() - began),
        "counting_interval_s": memory.counting_interval_s(),
        "sketch_by_objects": by_objects,
        "sketch_kb_most": max(cost for _, cost in results.slopes["sketch_kb"]["measured"]),
        "traffic": traffic_results,
        "traffic_compiled": traffic.compiled(),
        "descriptors": target.divided(),
        "arithmetic": {name: rounded(value, 6) for name, value in target.arithmetic().items()},
        "shares": shares(results),
        "request_median_us": {
            shape.name: {
                str(size): rounded(
                    statistics.median(
                        cost
                        for at, cost in results.slopes[f"router_request_us_{shape.name}"]["measured"]
                        if at == size
                    )
                )
                for size in stores
            }
            for shape in router.SHAPES
        },
        "slopes": results.slopes,
    }
