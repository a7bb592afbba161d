"""Measures an earlier build of the program for comparison: the cost of its polls, its longest loop turn."""

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
from benchmarks._scale_backlog import measure_bulk

COMMIT = "789e946"
COMPILED_FOLDER = ROOT / ".native.previous"  # its compiled copy, which remains for the next run
BUILD_S = 400.0
BULK_TIMEOUT_S = 60.0
LOGGED_WITHIN_S = 1.0  # how long to wait for the log record of a long event loop turn


@dataclass
class PreviousBuild:
    """The sources of the earlier commit in a folder of their own, optionally compiled there."""

    folder: Path
    compiled: bool = False
    _builder: subprocess.Popen[bytes] | None = None

    @property
    def root(self) -> Path:
        """The folder from which processes import the earlier build."""
        return self.folder / ".native" if self.compiled else self.folder

    def start_compiling(self) -> None:
        """Starts compiling the build in a background process, since it takes a minute of a core."""
        if self.compiled:
            return
        self._builder = subprocess.Popen(
            [sys.executable, "build_native.py"],
            cwd=self.folder,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            start_new_session=True,  # a process group, so that `close` also kills the compiler processes
        )

    def wait_compiled(self) -> None:
        """Waits for the background compilation and sets `compiled` if it succeeded."""
        if self._builder is None:
            return
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.compiled = self._builder.wait(BUILD_S) == 0 and (self.folder / ".native" / "stamp").exists()

    def close(self) -> None:
        """Kills the background compilation if it still runs."""
        if self._builder is not None and self._builder.poll() is None:
            os.killpg(self._builder.pid, 9)
            self._builder.wait()


def check_out(folder: Path) -> PreviousBuild | None:
    """Extracts the earlier build's sources into `folder`; returns None if the repository lacks its commit.

    A compiled copy that an earlier run has left is used again.
    """
    if (folder / ".native" / "stamp").exists():
        return PreviousBuild(folder, compiled=True)
    archive_run = subprocess.run(
        ["git", "archive", COMMIT, "olivecourse", "build_native.py"], cwd=ROOT, capture_output=True
    )
    if archive_run.returncode:
        return None
    folder.mkdir(parents=True, exist_ok=True)
    with tarfile.open(fileobj=io.BytesIO(archive_run.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return PreviousBuild(folder)


def polls_axis(
    folder: Path,
    seed: int,
    build: PreviousBuild,
    sizes: Sequence[int],
    rate: float,
    effort: Effort,
    report: Callable[[str], None],
) -> Axis:
    """Measures the cost of answering polls of real gateways of `build` as a function of their number."""
    axis = Axis("gateways", {"purges_s": rate, "stores": 70})
    with Deployment(folder, store_list(70), seed) as fleet:
        running = list[Gateway]()
        for size in sizes:
            # New gateways start with all events so far; otherwise receiving them would add to the idle cost.
            path = fleet.config(MAIN, fleet.discovery.state()["rev"])
            added = [fleet.real(path, build.root) for _ in range(size - len(running))]
            for gateway in added:
                gateway.port()
            running += added
            calm = fleet.measure(effort.calm_s)
            fleet.discovery.call("purges", rate=rate, seconds=effort.repeats * (effort.span_s + 0.5) + 1.0)
            time.sleep(0.5)
            for _ in range(effort.repeats):
                axis.points.append(_point(fleet, running, effort.span_s, calm))
            fleet.discovery.call("stop_purges")
            time.sleep(0.5)
            report(f"previous build, gateways {size}: {axis.points[-1].costs}")
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
            "answerer_pct": 100 * span.share(*fleet.poll_servers.pids()),
            "answerer_kb_s_out": traffic.bytes_out / 1_000,
        },
    )


def longest_turn(folder: Path, seed: int, build: PreviousBuild | None, purges: int) -> dict[str, Any]:
    """Measures how long a gateway takes to receive `purges` in one answer, and its longest logged loop turn.

    `build` is the earlier build, or None for the present one.
    """
    with Deployment(folder, store_list(70), seed) as fleet:
        gateway = fleet.real(fleet.config(REAL), None if build is None else build.root)
        gateway.port()
        processor_before_s = processor_s(gateway.process.pid)
        result = measure_bulk(fleet, gateway, REAL, purges, BULK_TIMEOUT_S)
        # `measure_bulk` ends with a poll, and the gateway logs the long loop turn only after that.
        with contextlib.suppress(TimeoutError):
            gateway.event("loop_stalled", LOGGED_WITHIN_S)
        stalls = [line["ms"] for line in gateway.logged("loop_stalled")]
        return {
            "purges": purges,
            "compiled": native() if build is None else build.compiled,
            "seconds": None if result.seconds is None else round(result.seconds, 3),
            "processor_s": round(processor_s(gateway.process.pid) - processor_before_s, 3),
            # None if no turn of the event loop took 600 ms, as shorter ones are not logged.
            "longest_logged_turn_ms": max(stalls, default=None),
        }
