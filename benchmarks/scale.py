"""Measures what a gateway's control side costs at several fleet sizes, and its time limits under faults.

The control side is all but the request path: polls for discovery events, purges, lists, reloads.

Hundreds of hollow gateways, which run only the control side of the program, and some real ones poll a
stand-in of the platform's discovery service. Each cost is fitted over four or more sizes. The short form
measures one or two sizes of everything, fits no slopes, and ends within a minute.
"""

from __future__ import annotations

import os
import tempfile
import time
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from benchmarks._processes import native
from benchmarks._scale_axes import (
    Effort,
    backlog_axis,
    changes_axis,
    gateways_axis,
    purges_axis,
    stores_axis,
)
from benchmarks._scale_backlog import BULKS, run_backlog, run_bulks
from benchmarks._scale_capacity import at_target
from benchmarks._scale_cost import TARGET_PURGES_PER_S, run_cost
from benchmarks._scale_faults import CALM, run_faults
from benchmarks._scale_previous import COMPILED_FOLDER, check_out, longest_turn, polls_axis
from benchmarks._scale_relays import run_relays

STORES_PURGES_PER_S = 50.0
BACKLOG_GATEWAYS = 2  # hollow gateways of the backlog axis, each of which receives the whole backlog


@dataclass(frozen=True)
class Sizes:
    """The sizes of one form (long or short) of the benchmark; tuples are the ascending sizes of an axis."""

    cost_gateways: int
    cost_processes: int
    cost_stores: int
    cost_s: float
    effort: Effort
    fleet: tuple[int, ...]  # numbers of gateways, at the low rate `fleet_purges_s`
    fleet_purges_s: float
    target_fleet: tuple[int, ...]  # numbers of gateways, at the target's rate of purges
    stores: tuple[int, ...]
    purges: tuple[float, ...]
    backlogs: tuple[int, ...]
    changes: tuple[float, ...]
    changes_span_s: float
    axis_gateways: int
    fault_gateways: int
    fault_cut: int
    fault_purges_s: float
    fault_backlog: int
    fault_stage_s: float
    real_backlog: int
    bulks: tuple[int, ...]
    previous: tuple[int, ...]
    previous_bulk: int
    compile_previous: bool  # whether to compile the previous build, which takes a minute
    relay_fleet: tuple[int, ...]  # numbers of gateways behind one relay; empty leaves out that axis
    relay_gateways: int  # number of gateways behind two relays, of which one is killed
    relay_purges_s: float
    relay_stage_s: float
    relay_backlog: int  # purges; 0 leaves out the relay's backlog and the two levels of relays


LONG = Sizes(
    cost_gateways=64,
    cost_processes=8,
    cost_stores=70,
    cost_s=5.0,
    effort=Effort(span_s=3.0, calm_s=2.0, repeats=3),
    fleet=(64, 128, 256, 512, 1_024),
    fleet_purges_s=10.0,
    target_fleet=(16, 64, 128, 256),
    stores=(70, 280, 560, 1_120),
    purges=(10.0, 40.0, 150.0, 600.0),
    backlogs=(1_000, 8_000, 64_000, 540_000),
    changes=(12.0, 48.0, 96.0, 192.0),
    changes_span_s=5.0,
    axis_gateways=64,
    fault_gateways=256,
    fault_cut=4,
    fault_purges_s=TARGET_PURGES_PER_S,
    fault_backlog=540_000,
    fault_stage_s=4.0,
    real_backlog=540_000,
    bulks=BULKS,
    previous=(1, 2, 4, 8, 16),
    previous_bulk=30_000,
    compile_previous=True,
    relay_fleet=(64, 256, 512, 1_024),
    relay_gateways=256,
    relay_purges_s=TARGET_PURGES_PER_S,
    relay_stage_s=4.0,
    relay_backlog=540_000,
)
SHORT = Sizes(
    cost_gateways=8,
    cost_processes=2,
    cost_stores=70,
    cost_s=2.0,
    effort=Effort(span_s=1.0, calm_s=0.5, repeats=1),
    fleet=(8, 32),
    fleet_purges_s=10.0,
    target_fleet=(),
    stores=(280,),
    purges=(40.0,),
    backlogs=(4_000,),
    changes=(60.0,),
    changes_span_s=2.0,
    axis_gateways=8,
    fault_gateways=16,
    fault_cut=2,
    fault_purges_s=50.0,
    fault_backlog=5_000,
    fault_stage_s=1.0,
    real_backlog=20_000,
    bulks=(2_000, 4_000),
    previous=(2,),
    previous_bulk=6_000,
    compile_previous=False,
    relay_fleet=(),
    relay_gateways=16,
    relay_purges_s=50.0,
    relay_stage_s=1.5,
    relay_backlog=0,
)


class Progress:
    """Prints progress messages, each with the seconds since the benchmark's start."""

    def __init__(self) -> None:
        self._began = time.monotonic()

    def __call__(self, message: str) -> None:
        print(f"{time.monotonic() - self._began:6.1f} s  {message}", flush=True)

    def elapsed_s(self) -> float:
        """Seconds since the benchmark's start."""
        return time.monotonic() - self._began


def run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    """Runs all measurements of the long or short form; `trials` is not used."""
    sizes, report = SHORT if short else LONG, Progress()
    with tempfile.TemporaryDirectory() as name:
        results = _run(Path(name), sizes, seed, report)
    results["parts"]["seconds"] = round(report.elapsed_s(), 1)
    results["parts"]["load_average"] = [round(load, 1) for load in os.getloadavg()]
    return results


def _run(folder: Path, sizes: Sizes, seed: int, report: Progress) -> dict[str, Any]:
    report(f"compiled: {native()}, {os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}")
    compiling = sizes.compile_previous and native()
    previous = check_out(COMPILED_FOLDER if compiling else folder / "previous")
    try:
        if previous is not None and compiling:
            previous.start_compiling()
            previous.wait_compiled()
            report(f"previous build compiled: {previous.compiled}")
        parts = _axes(folder, sizes, seed, report)
        parts["relays"] = run_relays(
            folder,
            seed,
            sizes.relay_fleet,
            sizes.relay_gateways,
            sizes.relay_purges_s,
            sizes.relay_backlog,
            sizes.relay_stage_s,
            sizes.effort,
            report,
        )
        parts |= _real(folder, sizes, seed, report)
        parts["previous"] = None
        if previous is not None:
            parts["previous"] = _previous(folder, sizes, seed, report, previous)
    finally:
        if previous is not None:
            previous.close()
    return summary(parts)


def _axes(folder: Path, sizes: Sizes, seed: int, report: Progress) -> dict[str, Any]:
    gateways, effort = sizes.axis_gateways, sizes.effort
    low_rate, target_rate = sizes.fleet_purges_s, TARGET_PURGES_PER_S
    changing = replace(effort, span_s=sizes.changes_span_s)
    axes = {
        "gateways": gateways_axis(folder / "gateways", seed, sizes.fleet, low_rate, effort, report),
        "gateways_at_target": gateways_axis(
            folder / "target", seed, sizes.target_fleet, target_rate, effort, report
        ),
        "stores": stores_axis(folder, seed, sizes.stores, gateways, STORES_PURGES_PER_S, effort, report),
        "purges": purges_axis(folder / "purges", seed, sizes.purges, gateways, effort, report),
        "backlog": backlog_axis(folder, seed, sizes.backlogs, BACKLOG_GATEWAYS, effort, report),
        "changes": changes_axis(
            folder / "changes", seed, sizes.changes, gateways, sizes.cost_stores, changing, report
        ),
    }
    target = at_target(axes["gateways_at_target"])
    return {"axes": {name: axis.row() for name, axis in axes.items()}, "target": target}


def _real(folder: Path, sizes: Sizes, seed: int, report: Progress) -> dict[str, Any]:
    cost = run_cost(
        folder / "cost",
        seed,
        sizes.cost_gateways,
        sizes.cost_processes,
        sizes.cost_stores,
        sizes.cost_s,
        sizes.effort.repeats,
    )
    report(f"real {cost['real_pct']} %, hollow over real {cost['hollow_over_real']}")
    faults = run_faults(
        folder / "faults",
        seed,
        sizes.fault_gateways,
        sizes.fault_cut,
        sizes.fault_purges_s,
        sizes.fault_backlog,
        sizes.fault_stage_s,
        report,
    )
    report(f"faults: used late {faults['used_late']}, in force {faults['in_force']}")
    backlog = run_backlog(folder / "backlog", seed, sizes.real_backlog, TARGET_PURGES_PER_S)
    report(f"backlog of a real gateway: {backlog}")
    rush = run_backlog(folder / "rush", seed, sizes.real_backlog, 0.0)
    report(f"the same, all purged just now: {rush}")
    bulks = run_bulks(folder, seed, (sizes.bulks[0], sizes.bulks[1]), sizes.effort.repeats)
    report(f"bulks: {bulks}")
    return {"cost": cost, "faults": faults, "backlog": backlog, "rush": rush, "bulks": bulks}


def _previous(folder: Path, sizes: Sizes, seed: int, report: Progress, build: Any) -> dict[str, Any]:
    axis = polls_axis(
        folder / "previous-polls",
        seed,
        build,
        sizes.previous,
        TARGET_PURGES_PER_S,
        sizes.effort,
        report,
    )
    previous_result = longest_turn(folder / "previous-turn", seed, build, sizes.previous_bulk)
    current_result = longest_turn(folder / "turn", seed, None, sizes.previous_bulk)
    report(f"{sizes.previous_bulk} purges in one answer: before {previous_result}, now {current_result}")
    return {
        "axis": axis.row(),
        "target": at_target(axis),
        "turn": previous_result,
        "turn_now": current_result,
    }


def summary(parts: dict[str, Any]) -> dict[str, Any]:
    """Returns the results: the figures that documents cite, then the results of each part, their sources."""
    cost, faults, backlog, axes = parts["cost"], parts["faults"], parts["backlog"], parts["axes"]
    target, previous = parts["target"], parts["previous"] or {}
    stages = [stage for name, stage in faults["in_force"].items() if name != CALM]
    calm_without_relays, relays = faults["in_force"][CALM], parts["relays"]
    calm_with_relays = [repeat["calm"] for repeat in relays["killed"]]
    killed = [repeat["relay killed"] for repeat in relays["killed"]]
    relay_target, regions = relays["target"] or {}, relays["regions"] or {}
    changes = axes["changes"]["points"]
    fleet = [point["size"] for name in ("gateways", "gateways_at_target") for point in axes[name]["points"]]
    previous_target = previous.get("target")
    return {
        "gateways": max(fleet, default=0),
        "cpu_pct_gateway": cost["real_pct"]["median"],
        "kb_s_gateway": cost["real_kb_s"]["median"],
        "mb_gateway": cost["real_own_mb"],
        "hollow_over_real": cost["hollow_over_real"],
        "hollow_shared_over_real": cost["hollow_shared_over_real"],
        # Through relays, without a fault: the worst of the calm stages.
        "purge_everywhere_ms_p99": max(stage["p99_ms"] for stage in calm_with_relays),
        "purge_everywhere_ms_max": max(stage["max_ms"] for stage in calm_with_relays),
        "purge_everywhere_ms_p99_relay_killed": max(stage["p99_ms"] for stage in killed),
        "purge_everywhere_ms_max_relay_killed": max(stage["max_ms"] for stage in killed),
        "purges_missing_relay_killed": sum(stage["missing"] for stage in killed),
        "purge_everywhere_ms_p99_direct": calm_without_relays["p99_ms"],  # without relays and faults
        "purge_everywhere_ms_max_direct": calm_without_relays["max_ms"],
        "purge_everywhere_ms_p99_faults": max(stage["p99_ms"] for stage in stages),  # without relays
        "purge_everywhere_ms_max_faults": max(stage["max_ms"] for stage in stages),
        "config_everywhere_ms_max": max(
            max(point["changes_ms_max"], point["reloads_ms_max"]) for point in changes
        ),
        "purged_used_late": faults["used_late"],
        "backlog_s": backlog["backlog_s"],
        "longest_turn_ms": backlog["longest_turn_ms"],
        "mb_over_idle_backlog": backlog["mb_over_idle"],
        "mb_over_idle_backlog_all_fresh": parts["rush"]["mb_over_idle"],
        "control_machines": relay_target.get("machines"),
        "control_machines_before": None if previous_target is None else previous_target["machines"],
        "baseline_turn_ms": previous.get("turn", {}).get("longest_logged_turn_ms"),
        "relays": relays["killed"][0]["relays"],
        "relay_machines": relay_target.get("machines"),
        "relay_machines_by_regions": regions.get("machines_by_load"),
        "relay_processes_by_regions": regions.get("processes"),
        "standin_machines": None if target is None else target["machines"],
        "parts": parts,
    }
