"""Extrapolates the number of machines that must answer the polls of the target's gateways."""

from __future__ import annotations

from typing import Any

from benchmarks._scale_axes import Axis

GATEWAYS = 7_500
CORES = 8  # processor cores of a machine that answers polls
LOAD = 0.5  # share of its cores that is used normally; the rest is reserved for failures of others
SPARE = 1 / 3  # share of the MACHINES provided that must remain unused
MACHINES = 15


def machines(processor_pct: float) -> float:
    """Returns the machines needed for a processor use given in percent of one core, at the load LOAD."""
    return processor_pct / 100 / (CORES * LOAD)


def high_at(axis: Axis, cost: str) -> float | None:
    """Returns an upper bound of the cost named `cost` at the target's number of gateways.

    Returns None if the axis has no slope for it.

    If the points are a line or bend upwards, it is the upper end of the slope's interval at the target. If
    the points bend downwards, it scales the highest cost at the largest measured size in proportion to the
    gateways, because a power law would promise that the cost per gateway keeps falling.
    """
    slope = axis.slope(cost)
    if slope is None:
        return None
    if slope.is_line or slope.exponent is None or slope.exponent > 1.0:
        return slope.at(GATEWAYS).high
    largest = [point.costs[cost] or 0.0 for point in axis.points if point.size == slope.largest]
    return max(largest) / slope.largest * GATEWAYS


def at_target(axis: Axis) -> dict[str, Any] | None:
    """Returns upper bounds of the cores, bandwidth and machines for the polls of the target's gateways.

    Returns None without slopes.
    """
    processor = axis.slope("answerer_pct")
    high, out_high = high_at(axis, "answerer_pct"), high_at(axis, "answerer_kb_s_out")
    if processor is None or high is None or out_high is None:
        return None
    return {
        "gateways": GATEWAYS,
        "machine_cores": CORES,
        "load": LOAD,
        "cores_high": round(high / 100, 2),
        "cores_by_line_high": round(
            processor.line.at(GATEWAYS) / 100 + processor.line.half_at(GATEWAYS) / 100, 2
        ),
        "beyond_measured": round(GATEWAYS / processor.largest, 2),
        "is_line": processor.is_line,
        "exponent": None if processor.exponent is None else round(processor.exponent, 3),
        "mbit_s_high": round(out_high * 8 / 1_000, 1),
        "machines": round(machines(high), 2),
    }
