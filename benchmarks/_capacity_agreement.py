"""The agreement's loads by role, in virtual time, on the program as it stands.

Run as `python -m benchmarks._capacity_agreement`; prints the tables and, last, one line of JSON. It is the
part of `scale_virtual` that a change of the agreement's messages moves, for a result beside the one before.
"""

from __future__ import annotations

import json
import os
import time
from typing import Any

from benchmarks.scale_virtual import NODES, REPEATS, Results, measure_agreement

FIRST_SEED = 1


def run() -> dict[str, Any]:
    """All roles at up to 7,500 nodes; some minutes of one core."""
    began, results = time.process_time(), Results()
    measure_agreement(results, NODES, range(FIRST_SEED, FIRST_SEED + REPEATS))
    return {
        "benchmark": "agreement",
        "seed": FIRST_SEED,
        "short": False,
        "repeats": REPEATS,
        "load_average": [round(load, 1) for load in os.getloadavg()],
        "cpu_s": round(time.process_time() - began, 1),
        **results.keys,
        "slopes": results.slope_rows(),
    }


if __name__ == "__main__":
    print(json.dumps(run()))
