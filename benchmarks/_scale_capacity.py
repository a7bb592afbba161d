"""How many machines the answering of polls takes at the target, worked out from measured slopes."""

from __future__ import annotations

from typing import Any

from benchmarks._scale_axes import Axis

GATEWAYS = 7_500
CORES = 8  # of a machine
LOAD = 0.5  # of its cores that may be in use in calm; the rest is for failures of others
SPARE = 1 / 3  # of the machines set aside, to be left over
MACHINES = 15


def machines(processor_pct: float) -> float:
    """Machines for so many hundredths of a core, at half load."""
    return processor_pct / 100 / (CORES * LOAD)


def high_at(axis: Axis, cost: str) -> float | None:
    """An upper end of a cost for the target's gateways; None without a slope.

    That of the line's interval where the points are a line. Where a cost grows by less than its size, as the
    points bend down, the cost for each gateway at the largest size measured, at the highest repeat: a power
    law would promise that it goes on to fall. Else that of the power law's interval.
    """
    slope = axis.slope(cost)
    if slope is None:
        return None
    if slope.is_line or slope.exponent is None or slope.exponent > 1.0:
        return slope.at(GATEWAYS).high
    largest = [p.costs[cost] or 0.0 for p in axis.points if p.size == slope.largest]
    return max(largest) / slope.largest * GATEWAYS


def at_target(axis: Axis) -> dict[str, Any] | None:
    """The answering of polls for the target's gateways, at its upper end; None without slopes."""
    work = axis.slope("answerer_pct")
    high, out_high = high_at(axis, "answerer_pct"), high_at(axis, "answerer_kb_s_out")
    if work is None or high is None or out_high is None:
        return None
    return {
        "gateways": GATEWAYS,
        "machine_cores": CORES,
        "load": LOAD,
        "cores_high": round(high / 100, 2),
        "cores_by_line_high": round(work.line.at(GATEWAYS) / 100 + work.line.half_at(GATEWAYS) / 100, 2),
        "beyond_measured": round(GATEWAYS / work.largest, 2),
        "is_line": work.is_line,
        "exponent": None if work.exponent is None else round(work.exponent, 3),
        "mbit_s_high": round(out_high * 8 / 1_000, 1),
        "machines": round(machines(high), 2),
    }
