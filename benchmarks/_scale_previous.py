"""The build before the scale work, side by side: what its polls cost, and its longest turn on many purges."""

from __future__ import annotations

import contextlib
import io
import os
import subprocess
import sys
import tarfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks._deployment import MAIN, REAL, Deployment, store_list
from benchmarks._processes import native, processor_s
from benchmarks._program import ROOT, Gateway
from benchmarks._scale_axes import Axis, Effort, Point
from benchmarks._scale_backlog import take_bulk

COMMIT = "789e946"
KEPT = ROOT / ".native.previous"  # its compiled copy, for the next run
BUILD_S = 400.0
BULK_PATIENCE_S = 60.0
LOGGED_WITHIN_S = 1.0  # of the end of a turn


@dataclass
class PreviousBuild:
    """The earlier commit's files in a folder of their own; compiled once `wait_compiled` has said so."""

    folder: Path
    compiled: bool = False
    _builder: subprocess.Popen[bytes] | None = None

    @property
    def root(self) -> Path:
        return self.folder / ".native" if self.compiled else self.folder

    def start_compiling(self) -> None:
        """In the background; as compilation takes a minute of a core."""
        if self.compiled:
            return
        self._builder = subprocess.Popen(
            [sys.executable, "build_native.py"],
            cwd=self.folder,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            start_new_session=True,  # its own children end with it, by the id of the group
        )

    def wait_compiled(self) -> None:
        if self._builder is None:
            return
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.compiled = self._builder.wait(BUILD_S) == 0 and (self.folder / ".native" / "stamp").exists()

    def close(self) -> None:
        if self._builder is not None and self._builder.poll() is None:
            os.killpg(self._builder.pid, 9)
            self._builder.wait()


def check_out(folder: Path) -> PreviousBuild | None:
    """The earlier build's sources, or None where the repository does not hold that commit. What was compiled
    in that folder before is used again."""
    if (folder / ".native" / "stamp").exists():
        return PreviousBuild(folder, compiled=True)
    done = subprocess.run(
        ["git", "archive", COMMIT, "olivecourse", "build_native.py"], cwd=ROOT, capture_output=True
    )
    if done.returncode:
        return None
    folder.mkdir(parents=True, exist_ok=True)
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return PreviousBuild(folder)


def polls_axis(
    folder: Path,
    seed: int,
    build: PreviousBuild,
    sizes: Sequence[int],
    rate: float,
    effort: Effort,
    said: Callable[[str], None],
) -> Axis:
    """What whoever answers polls spends on real gateways of that build, over their number."""
    axis = Axis("gateways", {"purges_s": rate, "stores": 70})
    with Deployment(folder, store_list(70), seed) as fleet:
        running = list[Gateway]()
        for size in sizes:
            # New ones know what has been published: to take it would count as calm.
            path = fleet.config(MAIN, fleet.discovery.state()["rev"])
            fresh = [fleet.real(path, build.root) for _ in range(size - len(running))]
            for gateway in fresh:
                gateway.port()
            running += fresh
            calm = fleet.measure(effort.calm_s)
            fleet.discovery.do("purges", rate=rate, seconds=effort.repeats * (effort.span_s + 0.5) + 1.0)
            time.sleep(0.5)
            for _ in range(effort.repeats):
                axis.points.append(_point(fleet, running, effort.span_s, calm))
            fleet.discovery.do("stop_purges")
            time.sleep(0.5)
            said(f"previous build, gateways {size}: {axis.points[-1].costs}")
    return axis


def _point(fleet: Deployment, running: list[Gateway], seconds: float, calm: Any) -> Point:
    span = fleet.measure(seconds)
    pids = [gateway.process.pid for gateway in running]
    traffic, count = span.traffic[MAIN], len(running)
    return Point(
        count,
        {
            "gateway_pct": 100 * (span.share(*pids) - calm.share(*pids)) / count,
            "gateway_kb_s": traffic.kb / count,
            "gateway_polls_s": traffic.polls / count,
            "answerer_pct": 100 * span.share(*fleet.answerers.pids()),
            "answerer_kb_s_out": traffic.bytes_out / 1_000,
        },
    )


def longest_turn(folder: Path, seed: int, build: PreviousBuild | None, purges: int) -> dict[str, Any]:
    """How long a gateway was busy with so many purges in one answer, and with its turn, as it logged it.

    `build`: the earlier one; None for this one.
    """
    with Deployment(folder, store_list(70), seed) as fleet:
        gateway = fleet.real(fleet.config(REAL), None if build is None else build.root)
        gateway.port()
        spent = processor_s(gateway.process.pid)
        taken = take_bulk(fleet, gateway, REAL, purges, BULK_PATIENCE_S)
        with contextlib.suppress(TimeoutError):  # logged after the poll by which the purges were taken
            gateway.event("loop_stalled", LOGGED_WITHIN_S)
        stalls = [line["ms"] for line in gateway.heard("loop_stalled")]
        return {
            "purges": purges,
            "compiled": native() if build is None else build.compiled,
            "seconds": None if taken.seconds is None else round(taken.seconds, 3),
            "processor_s": round(processor_s(gateway.process.pid) - spent, 3),
            # Turns under 600 ms are not logged.
            "longest_logged_turn_ms": max(stalls, default=None),
        }
