"""A thread for what must block, beside the loop: jobs go in one at a time, results come back on the loop."""

from __future__ import annotations

import socket
import threading
from collections import deque
from collections.abc import Callable
from typing import Any

from olivecourse.net.loop import READ, Loop

Job = Callable[[], Any]
Done = Callable[[Any, Exception | None], None]


class Worker:
    """Runs jobs in order. `most` waiting ones are taken, more are turned away."""

    def __init__(self, loop: Loop, name: str, most: int = 16) -> None:
        self._loop, self._name, self._most = loop, name, most
        self._jobs: deque[tuple[Job, Done]] = deque()
        self._results: deque[tuple[Done, Any, Exception | None]] = deque()
        self._ready = threading.Condition()
        self._stopping = False
        self._thread: threading.Thread | None = None
        self._wakes, self._woken = socket.socketpair()
        self._wakes.setblocking(False)
        self._woken.setblocking(False)
        loop.watch(self._woken, READ, self._back)

    def submit(self, job: Job, done: Done) -> bool:
        """Whether the job was taken. `done(result, error)` is called on the loop."""
        with self._ready:
            if self._stopping or len(self._jobs) >= self._most:
                return False
            self._jobs.append((job, done))
            self._ready.notify()
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name=self._name, daemon=True)
            self._thread.start()
        return True

    def _run(self) -> None:
        while True:
            with self._ready:
                while not self._jobs and not self._stopping:
                    self._ready.wait()
                if not self._jobs:
                    return
                job, done = self._jobs.popleft()
            result: Any = None
            fault: Exception | None = None
            try:
                result = job()
            except Exception as error:  # told on the loop: a job's fault must not end the thread
                fault = error
            self._results.append((done, result, fault))
            try:
                self._wakes.send(b"\0")
            except OSError:  # full: the loop is woken already; closed: nobody waits any more
                pass

    def _back(self, mask: int) -> None:
        try:
            self._woken.recv(4096)
        except (BlockingIOError, InterruptedError):
            return
        self.settle()

    def settle(self) -> None:
        """Hands over the results that are there."""
        while self._results:
            done, result, fault = self._results.popleft()
            done(result, fault)

    def stop(self, timeout_s: float) -> bool:
        """Lets what was taken end, for `timeout_s` seconds at most; whether it did. A job that hangs on a
        disk is left behind: the thread does not keep the process alive."""
        with self._ready:
            self._stopping = True
            self._ready.notify()
        if self._thread is not None:
            self._thread.join(timeout_s)
        self.settle()
        ended = self._thread is None or not self._thread.is_alive()
        self._loop.forget(self._woken)
        self._woken.close()
        if ended:
            self._wakes.close()
        return ended
