"""Processes that a benchmark drives by JSON lines, and what any process has cost."""

from __future__ import annotations

import functools
import json
import os
import queue
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from benchmarks._program import ROOT
from build_native import digest

Said = dict[str, Any]
PATIENCE_S = 120.0
NATIVE = ROOT / ".native"


@functools.cache
def native() -> bool:
    """Whether the compiled copy is there and was built from the sources as they are."""
    stamp = NATIVE / "stamp"
    return stamp.exists() and stamp.read_text() == digest()


def native_path() -> str:
    """Where a process imports the program from: the compiled copy if it is there, and then the benchmarks."""
    return os.pathsep.join([str(NATIVE), str(ROOT)] if native() else [str(ROOT)])


class ProcessLost(Exception):
    """A process of a benchmark ended or said nothing in time."""


class JsonProcess:
    """A module of `benchmarks` as a process. Each command, one line, is answered by one line with `done`."""

    def __init__(self, module: str, *words: str, heard: Callable[[Said], None] | None = None) -> None:
        """`heard` is told of every other line, on a thread of its own."""
        self._heard = heard
        self._answers: queue.Queue[Said | None] = queue.Queue()
        self.process = subprocess.Popen(
            [sys.executable, "-P", "-m", f"benchmarks.{module}", *words],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": native_path()},
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()
        self.started: Said = {}

    @property
    def pid(self) -> int:
        return self.process.pid

    def wait_started(self) -> Said:
        """What it said when it was ready for commands."""
        self.started = self.started or self._next()
        return self.started

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            said = json.loads(line)
            if "done" in said or "started" in said:
                self._answers.put(said)
            elif self._heard is not None:
                self._heard(said)
        self._answers.put(None)

    def _next(self) -> Said:
        try:
            said = self._answers.get(timeout=PATIENCE_S)
        except queue.Empty:
            said = None
        if said is None:
            raise ProcessLost(f"{self.process.args}: no answer")
        return said

    def send(self, do: str, **more: Any) -> None:
        """Writes a command; `take` gives its answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps({"do": do, **more}).encode() + b"\n")
        self.process.stdin.flush()

    def take(self) -> Said:
        return self._next()

    def do(self, do: str, **more: Any) -> Said:
        """A command and its answer; raises ProcessLost."""
        self.wait_started()
        self.send(do, **more)
        return self._next()

    def kill(self) -> None:
        """Ends it, by its own id."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(30)
        self._reader.join(5)
        for pipe in (self.process.stdin, self.process.stdout):
            if pipe is not None:
                try:
                    pipe.close()
                except OSError:  # what was buffered for it can't be written any more
                    pass


def processor_s(pid: int) -> float:
    """Seconds that all threads of a process have run, to the nanosecond; 0.0 once it has ended."""
    total = 0
    try:
        for task in Path(f"/proc/{pid}/task").iterdir():
            total += int((task / "schedstat").read_text().split()[0])
    except OSError:
        return 0.0
    return total / 1e9


def resident_mb(pid: int) -> float:
    """Resident memory in MB; 0.0 once it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except OSError:
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def wait_until(true: Callable[[], bool], seconds: float, what: str, every_s: float = 0.05) -> None:
    """Raises TimeoutError with `what` if it does not come about."""
    end = time.monotonic() + seconds
    while not true():
        if time.monotonic() > end:
            raise TimeoutError(what)
        time.sleep(every_s)
