"""Costs that grow with the fleet, simulated in virtual time and without I/O for up to 7,500 gateways.

Two subjects: the slow start of cold stores and cold parents behind routers, and the rollout agreement, for
ordinary nodes and for the members that vote. Slopes are least-squares fits over repeated points (`_slopes`).
All times are processor times of this process.
"""

from __future__ import annotations

import resource
import statistics
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from rich import box
from rich.console import Console
from rich.table import Table

from benchmarks import _virtual_agreement as agreement
from benchmarks import _virtual_ramp as ramp
from benchmarks._slopes import Slope, fit, rounded

S = 1_000_000_000
TARGET_GATEWAYS = 7500
TARGET_STORES = 1100
TARGET_REGISTERS = 469  # number of lease tables: one for the gateways of each site
ZONE_GATEWAYS = 163  # gateways of a zone: 7,500 in 46 zones
# Requests a second of one gateway to one store: the target's 6.3 million, divided by 7,500 gateways and by
# the 24 stores of a zone.
ZONE_RATE = 35.0
# Weight of a store of the target, the requests it can handle at once: 5,700 a second of 0.5 s each are a load
# of 0.6.
ZONE_WEIGHT = 4800.0
REPEATS = 3
MEMBERS = 5
MEMBER_NUMBERS = (3, 5, 7, 9)
MEMBERS_NODES = 400  # number of nodes of the fleets with different numbers of voting members
SMALL_WEIGHT = 20.0  # weight of a parent today; one gateway's share of it is far below one request
SHARED_WEIGHT = 0.2  # weight per gateway of a store whose weight grows with the fleet
WARM_S, POLLED_WARM_S, POLLED_S, REGISTERS_S, LEAST_WINDOW_S = 2.0, 2.2, 2.0, 5.0, 2.0

RAMP_SIZES = (64, ZONE_GATEWAYS, 256, 1024, 4096, 7500)
RAMP_MEMORY_SIZES = (64, 256, 1024, 4096)
NODES = (100, 400, 1600, 7500)
REGISTERED_NODES = (25, 50, 100, 200, 400)
CALL_NODES = (100, 400, 1600, 7500)
STEER_NODES = (100, 200, 400, 800, 1600)
CALL_REGISTERS = (8, 32, 128, 469)
CALL_STORES = (70, 280, 560, 1120)

SHORT_RAMP_SIZES = (16, 64, 128, 256)
SHORT_RAMP_MEMORY_SIZES = (4, 8, 16, 64)
SHORT_NODES = (10, 40, 80, 160)
SHORT_REGISTERED_NODES = (10, 32, 64, 160)
SHORT_CALL_NODES = (100, 400, 800, 1600)
SHORT_STEER_NODES = (16, 32, 64, 256)

TABLE_WIDTH = 220  # width of printed tables in characters, so that no cell is truncated
ROLES = ("coordinator", "member", "ordinary")
Points = list[tuple[float, float]]


class Results:
    """Collects the benchmark's results, single figures (`keys`) and slopes, and prints tables meanwhile."""

    def __init__(self) -> None:
        self.keys: dict[str, Any] = {}
        self.slopes: dict[str, Slope] = {}
        self.targets: dict[str, float] = {}
        self._console = Console(width=TABLE_WIDTH)

    def slope(self, name: str, points: Points, target: float) -> None:
        """Fits the slope `name` to points (size, cost); `slope_rows` extrapolates it to the size `target`."""
        self.slopes[name], self.targets[name] = fit(points), target

    def table(self, title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
        """Prints a Markdown table of results with a title."""
        table = Table(box=box.MARKDOWN)
        for number, column in enumerate(columns):
            table.add_column(column, justify="right" if number else "left", no_wrap=True)
        for row in rows:
            table.add_row(*(_text(cell) for cell in row))
        print(f"\n{title}\n")
        self._console.print(table)

    def slope_rows(self) -> dict[str, dict[str, Any]]:
        """Returns all slopes with their extrapolations, by the names that they have in the results."""
        rows = {}
        for name, slope in self.slopes.items():
            size = self.targets[name]
            estimate = slope.at(size)
            rows[name] = {
                **slope.row(),
                "target_size": size,
                "target": rounded(estimate.value),
                "target_low": rounded(estimate.low),
                "target_high": rounded(estimate.high),
                "beyond": round(estimate.beyond, 2),
            }
        return rows


def _text(cell: object) -> str:
    return f"{rounded(cell, 3):g}" if isinstance(cell, float) else str(cell)


# Slow start --------------------------------------------------------------------------------------------


def measure_ramp(results: Results, sizes: Sequence[int], seeds: Sequence[int], shared_seeds: int) -> None:
    """Simulates slow starts of stores and of parents, under steady load and after a rush.

    `sizes` are the numbers of gateways. With the first `shared_seeds` seeds it also simulates servers whose
    weight grows with the fleet.
    """
    outcomes: list[tuple[ramp.Case, ramp.Outcome]] = []
    for gateways in sizes:
        for parent in (False, True):
            for shape in ("steady", "rush"):
                cases = [ramp.Case(gateways, parent, shape, SMALL_WEIGHT, seed) for seed in seeds]
                cases += [
                    ramp.Case(gateways, parent, shape, SHARED_WEIGHT * gateways, seed)
                    for seed in seeds[:shared_seeds]
                ]
                outcomes += [(case, ramp.play(case)) for case in cases]
    _report_ramp(results, outcomes, sizes, f"Cold ramp, {len(seeds)} seeds")
    over = sum(outcome.over for _, outcome in outcomes)
    results.keys |= {
        "ramp_gateways_largest": max(sizes),
        "ramp_sweep_windows_over_limit": over,
        "ramp_windows_over_limit": over,
        "ramp_windows_over_limit_at_end": sum(outcome.over_at_end for _, outcome in outcomes),
        "ramp_windows": sum(outcome.windows for _, outcome in outcomes),
        "ramp_worst_share_of_limit": rounded(max(outcome.worst for _, outcome in outcomes)),
        "ramp_worst_share_of_limit_at_end": rounded(max(outcome.worst_at_end for _, outcome in outcomes)),
    }
    for parent, kind in ((False, "store"), (True, "parent")):
        points = [
            (float(case.gateways), outcome.cpu_s / outcome.decisions * 1e6)
            for case, outcome in outcomes
            if case.parent == parent
            and case.shape == "steady"
            and case.weight == SMALL_WEIGHT
            and case.gateways != ZONE_GATEWAYS
        ]
        results.slope(f"ramp_decision_us_{kind}", points, TARGET_GATEWAYS)


def _report_ramp(
    results: Results, outcomes: list[tuple[ramp.Case, ramp.Outcome]], sizes: Sequence[int], title: str
) -> None:
    rows: list[tuple[object, ...]] = []
    for gateways in sizes:
        for parent, kind in ((False, "store"), (True, "parent")):
            for shape in ("steady", "rush"):
                for weight in (SMALL_WEIGHT, SHARED_WEIGHT * gateways):
                    found = [
                        outcome
                        for case, outcome in outcomes
                        if (case.gateways, case.parent, case.shape, case.weight)
                        == (gateways, parent, shape, weight)
                    ]
                    if not found:
                        continue
                    used = statistics.mean(outcome.used for outcome in found)
                    rows.append(
                        (
                            gateways,
                            kind,
                            shape,
                            weight,
                            round(found[0].allowed, 1),
                            len(found),
                            sum(outcome.windows for outcome in found),
                            sum(outcome.over for outcome in found),
                            used,
                            max(outcome.worst for outcome in found),
                            statistics.median(outcome.cpu_s for outcome in found),
                        )
                    )
                    size = "small" if weight == SMALL_WEIGHT else "shared"
                    results.keys[f"ramp_budget_used_{kind}_{shape}_{size}_{gateways}"] = rounded(used)
    results.table(
        title,
        (
            "gateways",
            "cold",
            "load",
            "weight",
            "N at start",
            "runs",
            "windows",
            "over",
            "mean calls / N",
            "worst / limit",
            "cpu s a run",
        ),
        rows,
    )


def measure_zone(results: Results, seeds: Sequence[int]) -> None:
    """Simulates slow starts in one zone of the target, with its number of gateways, weights and rates."""
    rows = []
    for parent, kind in ((False, "store"), (True, "parent")):
        found = [
            ramp.play(
                ramp.Case(ZONE_GATEWAYS, parent, "steady", ZONE_WEIGHT, seed, ramp.COLD_SERVERS * ZONE_RATE)
            )
            for seed in seeds
        ]
        used, worst = (
            statistics.mean(outcome.used for outcome in found),
            max(outcome.worst for outcome in found),
        )
        worst_at_end = max(outcome.worst_at_end for outcome in found)
        over, over_at_end = (
            sum(outcome.over for outcome in found),
            sum(outcome.over_at_end for outcome in found),
        )
        windows = sum(outcome.windows for outcome in found)
        rows.append((kind, round(found[0].allowed), windows, over, over_at_end, used, worst, worst_at_end))
        results.keys |= {
            f"ramp_zone_windows_over_limit_{kind}": over,
            f"ramp_zone_windows_over_limit_at_end_{kind}": over_at_end,
            f"ramp_zone_budget_used_{kind}": rounded(used),
            f"ramp_zone_worst_share_of_limit_{kind}": rounded(worst),
            f"ramp_zone_worst_share_of_limit_at_end_{kind}": rounded(worst_at_end),
        }
        results.keys["ramp_windows"] += windows
        results.keys["ramp_windows_over_limit"] += over
        results.keys["ramp_windows_over_limit_at_end"] += over_at_end
    results.table(
        f"Cold ramp of a zone of the target: {ZONE_GATEWAYS} gateways, {ZONE_RATE:g} requests a second"
        " and gateway for each cold one",
        (
            "cold",
            "N at start",
            "windows",
            "over",
            "over, N at end",
            "mean calls / N",
            "worst / limit",
            "at end",
        ),
        rows,
    )


def measure_ramp_memory(results: Results, sizes: Sequence[int], seeds: Sequence[int]) -> None:
    """Measures the memory of all gateways' routers in a slow start, over the number of gateways."""
    points: Points = []
    for gateways in sizes:
        for seed in seeds:
            case = ramp.Case(gateways, True, "rush", SMALL_WEIGHT, seed)
            points.append((float(gateways), ramp.play(case, memory=True).mb))
    results.slope("ramp_routers_mb", points, TARGET_GATEWAYS)


# The agreement -----------------------------------------------------------------------------------------


def measure_agreement(results: Results, sizes: Sequence[int], seeds: Sequence[int]) -> None:
    """Measures the rollout agreement over the number of nodes.

    Measured are the load of each role, the propagation of a change, and memory.
    """
    rows, points = [], dict[str, Points]()
    for nodes in sizes:
        found = [_one_fleet(nodes, MEMBERS, seed) for seed in seeds]
        for fleet_costs in found:
            for name, value in fleet_costs.items():
                points.setdefault(name, []).append((float(nodes), value))
        medians = {name: statistics.median(fleet_costs[name] for fleet_costs in found) for name in found[0]}
        rows += [_role_row(nodes, role, medians) for role in ROLES]
        results.keys |= {f"agreement_{name}_{nodes}": rounded(value) for name, value in medians.items()}
    results.table(
        f"Agreement, {MEMBERS} members, a second and node, medians of {len(seeds)} runs",
        ("nodes", "role", "datagrams out", "in", "of these polls", "KB out", "KB in", "cpu ms", "state KB"),
        rows,
    )
    results.table(
        "One change: a store drained, until all nodes know",
        ("nodes", "granted s", "known by half s", "p99 s", "all s", "datagrams of all", "of a member"),
        [(nodes, *(results.keys[f"agreement_{name}_{nodes}"] for name in SPREAD_KEYS)) for nodes in sizes],
    )
    for name, found_points in points.items():
        results.slope(f"agreement_{name}", found_points, TARGET_GATEWAYS)
    results.keys["agreement_nodes_largest"] = max(sizes)


SPREAD_KEYS = (
    "granted_s",
    "change_known_s_median",
    "change_known_s_p99",
    "change_known_s_max",
    "change_datagrams_all",
    "change_datagrams_member",
)


def _role_row(nodes: int, role: str, found: dict[str, float]) -> tuple[object, ...]:
    names = ("datagrams_out", "datagrams_in", "polls_in", "kb_out", "kb_in", "cpu_ms", "state_kb")
    return (nodes, role, *(found[f"{role}_{name}"] for name in names))


def _load_keys(role: str, load: agreement.Load) -> dict[str, float]:
    return {
        f"{role}_datagrams_out": load.datagrams_out,
        f"{role}_datagrams_in": load.datagrams_in,
        f"{role}_polls_in": load.recalls_in,
        f"{role}_kb_out": load.kb_out,
        f"{role}_kb_in": load.kb_in,
        f"{role}_cpu_ms": load.cpu_ms,
    }


def _one_fleet(nodes: int, members: int, seed: int) -> dict[str, float]:
    """Measures the rollout agreement of one simulated fleet; returns the figures by name.

    The loads of ordinary nodes, and the datagrams that members send, are measured over a full heartbeat
    period. The datagrams that members receive, and their processor time, are measured while all nodes poll
    them.
    """
    fleet = agreement.Fleet(nodes, members, seed)
    period_s = fleet.period_ns / S
    fleet.run(period_s + WARM_S)  # by then every voting member has received a heartbeat of every node
    whole_period = fleet.loads(max(period_s, LEAST_WINDOW_S))
    found = _load_keys("ordinary", whole_period["ordinary"])
    spread = fleet.spread()
    if spread.max_s is None:
        raise RuntimeError(f"{nodes} nodes, seed {seed}: not all knew the change within four periods")
    values = (
        spread.granted_s,
        spread.median_s,
        spread.p99_s,
        spread.max_s,
        float(spread.datagrams),
        spread.member_datagrams,
    )
    found |= dict(zip(SPREAD_KEYS, values, strict=True))
    fleet.poll_all(True)
    fleet.run(POLLED_WARM_S)  # a node without a vote starts to poll the members after 1.8 s
    loads = fleet.loads(POLLED_S)
    for role in ("coordinator", "member"):
        found |= _load_keys(role, loads[role])
        found |= {
            f"{role}_datagrams_out": whole_period[role].datagrams_out,
            f"{role}_kb_out": whole_period[role].kb_out,
        }
    found |= {
        "coordinator_state_kb": fleet.state_kb(0),
        "member_state_kb": fleet.state_kb(1),
        "ordinary_state_kb": fleet.state_kb(fleet.sample[0]),
    }
    fleet.hear_all(fleet.sample[0])
    found["ordinary_full_state_kb"] = fleet.state_kb(fleet.sample[0])
    return found


def measure_members(results: Results, seeds: Sequence[int]) -> None:
    """Measures the loads of each role for 3 to 9 voting members, too small a range to fit a slope."""
    rows = []
    for members in MEMBER_NUMBERS:
        found = [_one_fleet(MEMBERS_NODES, members, seed) for seed in seeds]
        medians = {name: statistics.median(fleet_costs[name] for fleet_costs in found) for name in found[0]}
        rows += [(members, *_role_row(MEMBERS_NODES, role, medians)) for role in ROLES]
        for name in (
            "member_datagrams_in",
            "member_cpu_ms",
            "coordinator_cpu_ms",
            "ordinary_datagrams_out",
            "ordinary_cpu_ms",
            "granted_s",
        ):
            results.keys[f"agreement_{name}_with_{members}_members"] = rounded(medians[name])
    results.table(
        f"Agreement among {MEMBERS_NODES} nodes with 3 to 9 members, a second and node",
        (
            "members",
            "nodes",
            "role",
            "datagrams out",
            "in",
            "of these polls",
            "KB out",
            "KB in",
            "cpu ms",
            "state KB",
        ),
        rows,
    )


def measure_registers(
    results: Results, sizes: Sequence[int], spread_sizes: Sequence[int], seeds: Sequence[int]
) -> None:
    """Measures the loads of each role over the number of nodes, with a lease table for every 16 of them.

    Every site of 16 gateways has a table after a release. `spread_sizes` are the numbers of nodes for which
    the propagation of a change is measured.
    """
    rows, points = [], {role: Points() for role in ROLES}
    for nodes in sizes:
        registers = -(-nodes // agreement.SITE_GATEWAYS)
        for seed in seeds:
            fleet = agreement.Fleet(nodes, MEMBERS, seed, registers)
            fleet.run(WARM_S)
            loads = fleet.loads(REGISTERS_S)
            for role in ROLES:
                points[role].append((float(nodes), loads[role].cpu_ms))
        medians = [statistics.median(cost for _, cost in points[role][-len(seeds) :]) for role in ROLES]
        rows.append((nodes, registers, *medians))
        for role, median in zip(ROLES, medians, strict=True):
            results.keys[f"agreement_all_sites_{role}_cpu_ms_{nodes}"] = rounded(median)
    results.table(
        "With a table for each site, idle and without polls: cpu ms a second",
        ("nodes", "tables", *ROLES),
        rows,
    )
    for role in ROLES:
        results.slope(f"agreement_all_sites_{role}_cpu_ms", points[role], TARGET_GATEWAYS)
    _measure_registers_spread(results, spread_sizes, seeds)


def _measure_registers_spread(results: Results, sizes: Sequence[int], seeds: Sequence[int]) -> None:
    rows, all_points, member_points = [], Points(), Points()
    for nodes in sizes:
        registers = -(-nodes // agreement.SITE_GATEWAYS)
        for seed in seeds:
            fleet = agreement.Fleet(nodes, MEMBERS, seed, registers)
            fleet.run(fleet.period_ns / S + WARM_S)
            spread = fleet.spread()
            all_points.append((float(nodes), float(spread.datagrams)))
            member_points.append((float(nodes), spread.member_datagrams))
        datagrams_of_all, datagrams_of_member = (
            statistics.median(cost for _, cost in points[-len(seeds) :])
            for points in (all_points, member_points)
        )
        rows.append((nodes, registers, datagrams_of_all, datagrams_of_member))
    results.table(
        "One change with a table for each site: datagrams until all know",
        ("nodes", "tables", "of all", "of a member"),
        rows,
    )
    results.slope("agreement_all_sites_change_datagrams_all", all_points, TARGET_GATEWAYS)
    results.slope("agreement_all_sites_change_datagrams_member", member_points, TARGET_GATEWAYS)


# Single calls ------------------------------------------------------------------------------------------


def measure_calls(results: Results, nodes: Sequence[int], steer_nodes: Sequence[int], repeats: int) -> None:
    """Measures the processor time of frequent calls of the rollout agreement, over the size it depends on."""
    calls: tuple[tuple[str, Callable[[int], float], Sequence[int], float], ...] = (
        ("release_tick_cpu_ms", agreement.release_tick_cpu_ms, nodes, TARGET_GATEWAYS),
        ("release_steer_cpu_ms", agreement.release_steer_cpu_ms, steer_nodes, TARGET_GATEWAYS),
        ("checksum_cpu_ms", agreement.checksum_cpu_ms, CALL_REGISTERS, TARGET_REGISTERS),
        ("store_scan_cpu_ms", agreement.store_scan_cpu_ms, CALL_STORES, TARGET_STORES),
    )
    rows = []
    for name, call, sizes, target in calls:
        points = [(float(size), call(size)) for size in sizes for _ in range(repeats)]
        results.slope(f"agreement_{name}", points, target)
        medians = {size: statistics.median(ms for at, ms in points if at == size) for size in sizes}
        rows += [(name, size, median) for size, median in medians.items()]
        results.keys |= {f"agreement_{name}_{size}": rounded(median) for size, median in medians.items()}
    results.table("Processor time of one call", ("call", "size", "ms"), rows)


# Entry point -------------------------------------------------------------------------------------------


def run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    """Runs all measurements.

    The short form takes under 30 s, the long form 8 minutes and 2 GB. `trials` is the number of repeats of
    each measurement, at least three.
    """
    began, results = time.process_time(), Results()
    seeds = [seed + number for number in range(max(trials, REPEATS))]
    measure_ramp(results, SHORT_RAMP_SIZES if short else RAMP_SIZES, seeds, 0 if short else 1)
    if not short:
        measure_zone(results, seeds)
    measure_ramp_memory(results, SHORT_RAMP_MEMORY_SIZES if short else RAMP_MEMORY_SIZES, seeds)
    ramp_cpu_s = time.process_time() - began
    measure_agreement(results, SHORT_NODES if short else NODES, seeds)
    if not short:
        measure_members(results, seeds)
    measure_registers(
        results, SHORT_NODES if short else NODES, SHORT_REGISTERED_NODES if short else REGISTERED_NODES, seeds
    )
    measure_calls(
        results,
        SHORT_CALL_NODES if short else CALL_NODES,
        SHORT_STEER_NODES if short else STEER_NODES,
        len(seeds),
    )
    rows = results.slope_rows()
    results.table(
        "Slopes: cost = fixed + slope x size; no line: the exponent of a power law",
        (
            "cost",
            "fixed",
            "slope",
            "low",
            "high",
            "residual",
            "largest",
            "line",
            "exponent",
            "for",
            "worked out",
            "low",
            "high",
            "beyond",
        ),
        [(name, *(row[key] for key in SLOPE_COLUMNS)) for name, row in rows.items()],
    )
    return {
        "benchmark": "scale_virtual",
        "seed": seed,
        "short": short,
        "repeats": len(seeds),
        **results.keys,
        "ramp_cpu_s": rounded(ramp_cpu_s),
        "cpu_s": rounded(time.process_time() - began),
        "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
        "slopes": rows,
    }


SLOPE_COLUMNS = (
    "fixed",
    "slope",
    "low",
    "high",
    "residual",
    "largest",
    "is_line",
    "exponent",
    "target_size",
    "target",
    "target_low",
    "target_high",
    "beyond",
)
