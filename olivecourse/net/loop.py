"""The single-threaded event loop of a process.

Each turn waits for sockets or timers, runs the handlers of the ready sockets and the due timers, and then a
callback of the loop's owner (the gateway or relay that runs it).
"""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Callable

from olivecourse.net.timers import Timer, TimerWheel

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
# A turn longer than this, in nanoseconds, is reported as a stall. Waiting for sockets and timers cannot cause
# one, since no turn waits even half as long.
STALL_NS = 600_000_000
ReadyCallback = Callable[[int], None]


class Clock:
    """A monotonic clock that is set to the Unix time once, when created, and ignores later clock steps."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Returns the current time in nanoseconds; it never runs backwards."""
        return time.monotonic_ns() + self._offset

    def from_unix_ms(self, ms: int) -> int:
        """Converts a Unix time in milliseconds to nanoseconds on this clock.

        The difference between the two clocks is taken now, so that earlier steps of the system clock count.
        """
        return ms * 1_000_000 - time.time_ns() + self.now()


class Loop:
    """A single-threaded event loop over sockets and timers; an exception in a handler does not end it."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.timers = TimerWheel(self.clock.now(), lambda error: self.on_fault("timer", error))
        self.running = True
        # The time from the wake-up of the previous turn to its end, in nanoseconds: data that is read in this
        # turn may have arrived, and waited unread, for as long.
        self.lag_ns = 0
        # Called after each turn longer than STALL_NS, with the turn's wall time and CPU time in nanoseconds.
        self.on_stall: Callable[[int, int], object] = lambda wall, cpu: None
        self.longest_turn_ns = 0  # the largest `lag_ns` since the start
        # Called with each exception that a handler raises, after the kind of the handler: "socket", "timer"
        # or "call" (a callback given to `after_sockets` or `next_turn`).
        self.on_fault: Callable[[str, Exception], object] = lambda where, error: None
        # Called when the process is out of file descriptors; returns whether the callback has freed one.
        self.free_descriptor: Callable[[], bool] = lambda: False
        # True while the handlers of ready sockets run: handlers that follow in this turn may still read data
        # that matters to work in progress, so such work is postponed by `after_sockets`.
        self.dispatching = False
        self._deferred: list[Callable[[], object]] = []
        self._next: list[Callable[[], object]] = []
        self._turn_started_at = self.clock.now()
        self._selector = selectors.DefaultSelector()

    def watch(self, sock: socket.socket, mask: int, on_ready: ReadyCallback) -> None:
        """Calls `on_ready(events)` whenever the socket is ready for one in `mask` (READ, WRITE or both)."""
        self._selector.register(sock, mask, on_ready)

    def change(self, sock: socket.socket, mask: int, on_ready: ReadyCallback) -> None:
        """Replaces the mask (READ, WRITE or both) and the callback of a watched socket."""
        self._selector.modify(sock, mask, on_ready)

    def unwatch(self, sock: socket.socket) -> None:
        """Stops watching a socket that was given to `watch`, without closing it."""
        self._selector.unregister(sock)

    def after(self, delay_ns: int, callback: Callable[[], object]) -> Timer:
        """Calls the callback once after `delay_ns` nanoseconds, unless the returned timer is cancelled."""
        return self.timers.schedule(self.clock.now() + max(delay_ns, 0), callback)

    def after_sockets(self, callback: Callable[[], object]) -> None:
        """Calls the callback when the ready sockets of this turn are handled; at once outside that phase."""
        if self.dispatching:
            self._deferred.append(callback)
        else:
            callback()

    def next_turn(self, callback: Callable[[], object]) -> None:
        """Calls the callback in the next turn, which then does not wait for sockets or timers.

        For long work that is split into parts, so that other connections are served between them.
        """
        self._next.append(callback)

    def turn(self, max_wait_ns: int | None = None) -> None:
        """Waits for sockets or timers, at most `max_wait_ns` nanoseconds, then runs all handlers due."""
        wait = self.timers.wait_ns(self.clock.now())
        callbacks, self._next = self._next, []
        wait = 0 if callbacks else wait if max_wait_ns is None else min(wait, max_wait_ns)
        ready = self._selector.select(wait / 1e9)
        self._turn_started_at = self.clock.now()
        self.dispatching = True
        for key, mask in ready:
            # An earlier handler of this turn may have closed the socket; then its events are ignored.
            current = self._selector.get_map().get(key.fd)
            if current is not None and current.fileobj is key.fileobj:
                try:
                    current.data(mask)
                except Exception as error:  # a fault on one connection must not stop the gateway
                    self.on_fault("socket", error)
        self._run_callbacks(callbacks)
        self.dispatching = False
        while self._deferred:
            callbacks, self._deferred = self._deferred, []
            self._run_callbacks(callbacks)
        self.timers.advance(self.clock.now())

    def _run_callbacks(self, callbacks: list[Callable[[], object]]) -> None:
        for callback in callbacks:
            try:
                callback()
            except Exception as error:
                self.on_fault("call", error)

    def run(self, after_turn: Callable[[], None]) -> None:
        """Runs turns until `running` is False, and calls `after_turn`, the owner's callback, after each."""
        while self.running:
            began, cpu = self.clock.now(), time.process_time_ns()
            self.turn()
            after_turn()
            now = self.clock.now()
            if now - began > STALL_NS:
                self.on_stall(now - began, time.process_time_ns() - cpu)
            self.lag_ns = now - self._turn_started_at
            self.longest_turn_ns = max(self.longest_turn_ns, self.lag_ns)

    def close(self) -> None:
        """Closes the selector; the sockets that it watched stay open."""
        self._selector.close()
