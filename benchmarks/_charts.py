"""Charts of benchmark results, written to docs/results/."""

from __future__ import annotations

from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent


def rollout(results: dict[str, Any], path: Path = ROOT / "docs" / "results" / "rollout.png") -> None:
    """Draws the chart of the rollout benchmark's `results` as a PNG file.

    It compares releases with and without coordination (served share, share of gateways that got the version)
    and shows the idle cost per gateway.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (service, reached, cost) = pyplot.subplots(1, 3, figsize=(12, 3.6), layout="constrained")
    for axis, key, title in (
        (service, "service_during", "service during a good release"),
        (reached, "bad_release_reached", "share that got a bad release"),
    ):
        axis.boxplot([results[key], results[f"{key}_off"]], tick_labels=["agreed", "a script of today"])
        axis.set_title(title)
    service.set_ylabel("served / asked")
    sizes = results["datagrams_a_second"]
    cost.plot([int(gateways) for gateways in sizes], list(sizes.values()), marker="o")
    cost.set_xscale("log")
    cost.set_ylim(bottom=0)
    cost.set_title("idle cost of each gateway")
    cost.set_xlabel("gateways")
    cost.set_ylabel("datagrams sent a second")
    figure.savefig(path, dpi=110)
