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


def at_target(axis: Axis) -> dict[str, Any] | None:
    """The answering of polls for the target's gateways, at the interval's upper end; None without slopes."""
    work, out = axis.slope("answerer_pct"), axis.slope("answerer_kb_s_out")
    if work is None or out is None:
        return None
    cores, bandwidth = work.at(GATEWAYS), out.at(GATEWAYS)
    return {
        "gateways": GATEWAYS,
        "machine_cores": CORES,
        "load": LOAD,
        "cores": round(cores.value / 100, 2),
        "cores_high": round(cores.high / 100, 2),
        "beyond_measured": round(cores.beyond, 2),
        "is_line": work.is_line,
        "mbit_s_high": round(bandwidth.high * 8 / 1_000, 1),
        "machines": round(machines(cores.high), 2),
    }
