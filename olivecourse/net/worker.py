"""A thread for blocking jobs, such as disk writes, that must not hold up the event loop."""

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
    """Runs jobs one at a time, in order, on a daemon thread that starts with the first job.

    The result of each job is passed to a callback on the event loop's thread.
    """

    def __init__(self, loop: Loop, name: str, max_pending: int = 16) -> None:
        """`name` is the thread's name; at most `max_pending` jobs wait for it, besides the running one."""
        self._loop, self._name, self._max_pending = loop, name, max_pending
        self._jobs: deque[tuple[Job, Done]] = deque()
        self._results: deque[tuple[Done, Any, Exception | None]] = deque()
        self._condition = threading.Condition()
        self._stopping = False
        self._thread: threading.Thread | None = None
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_sender.setblocking(False)
        self._wake_receiver.setblocking(False)
        loop.watch(self._wake_receiver, READ, self._on_wake)

    def submit(self, job: Job, done: Done) -> bool:
        """Queues the job; returns False, without queueing it, if the queue is full or the worker is stopping.

        After the job, `done(result, error)` is called on the event loop's thread; `error` is the exception
        that the job raised, or None.
        """
        with self._condition:
            if self._stopping or len(self._jobs) >= self._max_pending:
                return False
            self._jobs.append((job, done))
            self._condition.notify()
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name=self._name, daemon=True)
            self._thread.start()
        return True

    def _run(self) -> None:
        while True:
            with self._condition:
                while not self._jobs and not self._stopping:
                    self._condition.wait()
                if not self._jobs:
                    return
                job, done = self._jobs.popleft()
            result: Any = None
            job_error: Exception | None = None
            try:
                result = job()
            except Exception as error:  # passed to `done`: a job's exception must not end the thread
                job_error = error
            self._results.append((done, result, job_error))
            try:
                self._wake_sender.send(b"\0")
            except OSError:  # full, so the event loop wakes up anyway; or closed after `stop`
                pass

    def _on_wake(self, mask: int) -> None:
        try:
            self._wake_receiver.recv(4096)
        except (BlockingIOError, InterruptedError):
            return
        self.run_callbacks()

    def run_callbacks(self) -> None:
        """Calls the `done` callbacks of all finished jobs; must be called on the event loop's thread."""
        while self._results:
            done, result, job_error = self._results.popleft()
            done(result, job_error)

    def stop(self, timeout_s: float) -> bool:
        """Refuses new jobs, waits up to `timeout_s` seconds for the others; returns whether all have ended.

        A job that still hangs then, for example on a disk, is abandoned: the daemon thread does not keep the
        process alive.
        """
        with self._condition:
            self._stopping = True
            self._condition.notify()
        if self._thread is not None:
            self._thread.join(timeout_s)
        self.run_callbacks()
        ended = self._thread is None or not self._thread.is_alive()
        self._loop.unwatch(self._wake_receiver)
        self._wake_receiver.close()
        if ended:
            self._wake_sender.close()
        return ended
