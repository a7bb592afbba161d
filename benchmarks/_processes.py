"""Child processes that a benchmark drives by JSON lines, and processor time and memory of any process."""

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
from build_native import source_digest

JsonObject = dict[str, Any]
ANSWER_TIMEOUT_S = 120.0
NATIVE = ROOT / ".native"


@functools.cache
def native() -> bool:
    """Returns whether .native/, the compiled copy of the program, was built from the current sources."""
    stamp = NATIVE / "stamp"
    return stamp.exists() and stamp.read_text() == source_digest()


def native_path() -> str:
    """Returns the PYTHONPATH for child processes: .native/, if it is current, and then the checkout."""
    return os.pathsep.join([str(NATIVE), str(ROOT)] if native() else [str(ROOT)])


class ProcessLost(Exception):
    """A benchmark's child process ended, or did not answer within ANSWER_TIMEOUT_S."""


class JsonProcess:
    """A module of `benchmarks` run as a child process that reads commands from standard input.

    Commands are JSON lines; it answers each by a JSON line with the key `done`.
    """

    def __init__(
        self, module: str, *arguments: str, on_event: Callable[[JsonObject], None] | None = None
    ) -> None:
        """Starts the process; a reader thread calls `on_event` with each line that is not an answer."""
        self._on_event = on_event
        self._answers: queue.Queue[JsonObject | None] = queue.Queue()
        self.process = subprocess.Popen(
            [sys.executable, "-P", "-m", f"benchmarks.{module}", *arguments],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": native_path()},
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()
        self.started: JsonObject = {}

    @property
    def pid(self) -> int:
        """The id of the child process."""
        return self.process.pid

    def wait_started(self) -> JsonObject:
        """Waits until the child process is ready for commands; returns its JSON message that says so."""
        self.started = self.started or self._receive()
        return self.started

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            message = json.loads(line)
            if "done" in message or "started" in message:
                self._answers.put(message)
            elif self._on_event is not None:
                self._on_event(message)
        self._answers.put(None)

    def _receive(self) -> JsonObject:
        try:
            message = self._answers.get(timeout=ANSWER_TIMEOUT_S)
        except queue.Empty:
            message = None
        if message is None:
            raise ProcessLost(f"{self.process.args}: no answer")
        return message

    def send(self, command: str, **more: Any) -> None:
        """Writes a command to the process without waiting; `receive_answer` returns its answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps({"do": command, **more}).encode() + b"\n")
        self.process.stdin.flush()

    def receive_answer(self) -> JsonObject:
        """Returns the answer to the oldest command not yet answered; raises ProcessLost if none comes."""
        return self._receive()

    def call(self, command: str, **more: Any) -> JsonObject:
        """Writes a command, waits for its answer and returns that; raises ProcessLost if none comes."""
        self.wait_started()
        self.send(command, **more)
        return self._receive()

    def kill(self) -> None:
        """Kills the child process, waits for its end and closes its pipes."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(30)
        self._reader.join(5)
        for pipe in (self.process.stdin, self.process.stdout):
            if pipe is not None:
                try:
                    pipe.close()
                except OSError:  # closing flushes buffered data, which an ended process cannot take
                    pass


def processor_s(pid: int) -> float:
    """Returns the processor seconds of all threads of a process (resolution 1 ns); 0.0 once it has ended."""
    total = 0
    try:
        for task in Path(f"/proc/{pid}/task").iterdir():
            total += int((task / "schedstat").read_text().split()[0])
    except OSError:
        return 0.0
    return total / 1e9


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB; 0.0 once it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except OSError:
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def wait_until(
    condition: Callable[[], bool], seconds: float, description: str, interval_s: float = 0.05
) -> None:
    """Polls `condition()` every `interval_s` until it is true; raises TimeoutError after `seconds`.

    `description`, which says what did not happen, is the text of the error.
    """
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(description)
        time.sleep(interval_s)
