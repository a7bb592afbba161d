"""Runs a gateway as a child process and reads its log, for benchmarks and tests."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent


class Gateway:
    """`python -m olivecourse serve` as a child process; a thread reads its log into `lines`.

    `operator` is the path of an operator's configuration file; if it is None, the command line has only
    `arguments`.
    """

    def __init__(
        self, operator: Path | None, *arguments: str, native: bool = False, root: Path = ROOT, **env: str
    ) -> None:
        """Starts the gateway's process.

        `native` selects the compiled modules in .native/, as on the platform, if they were built. `root` is
        the checkout to run. `env` is added to the environment.
        """
        native = native and (ROOT / ".native" / "stamp").exists()
        command = [sys.executable, *(("-P",) if native else ()), "-m", "olivecourse", "serve"]
        if operator is not None:
            arguments = ("--operator", str(operator), *arguments)
        self.lines: list[dict[str, Any]] = []
        self._line_arrived = threading.Condition()
        self.process = subprocess.Popen(
            [*command, *arguments],
            cwd=root,
            text=True,
            stderr=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT / ".native" if native else root), **env},
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            with self._line_arrived:
                record = json.loads(line) if line.startswith("{") else {"event": "text", "line": line}
                self.lines.append(record)
                self._line_arrived.notify_all()

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Returns all log records of the event named `event` that the gateway has written so far."""
        with self._line_arrived:
            return [line for line in self.lines if line["event"] == event]

    def event(self, name: str, seconds: float = 20.0) -> dict[str, Any]:
        """Waits until the gateway has logged an event and returns the first log record of it.

        Raises TimeoutError with the last records if the event is not logged within `seconds`.
        """
        end = time.monotonic() + seconds
        with self._line_arrived:
            while True:
                for line in self.lines:
                    if line["event"] == name:
                        return line
                if not self._line_arrived.wait(max(end - time.monotonic(), 0.01)) and time.monotonic() >= end:
                    raise TimeoutError(f"{name} was not logged: {self.lines[-5:]}")

    def port(self) -> int:
        """Waits until the gateway is ready and returns the port on which it accepts clients."""
        return int(self.event("ready")["listen"].rpartition(":")[2])

    def resources(self) -> tuple[float, int]:
        """Returns resident memory in MB and the number of open file descriptors; zeros after the end."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            kb = next((int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")), 0)
            return kb / 1024, len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0.0, 0

    def kill(self) -> None:
        """Kills the gateway's process by SIGKILL."""
        self.end(signal.SIGKILL)

    def end(self, number: int = signal.SIGTERM) -> int:
        """Sends a signal to the gateway if it still runs, waits for its end and returns the exit code."""
        if self.process.poll() is None:
            self.process.send_signal(number)
        code = self.process.wait(30)
        self._reader.join(5)
        if self.process.stderr is not None:
            self.process.stderr.close()
        return code
