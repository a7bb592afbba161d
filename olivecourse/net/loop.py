"""The event loop: each turn runs the handlers of ready sockets and due timers, then the owner's callback."""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Callable

from olivecourse.net.wheel import Timer, TimerWheel

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
STALL_NS = 600_000_000  # no turn waits half this long for sockets or timers
ReadyCallback = Callable[[int], None]


class Clock:
    """A monotonic clock in nanoseconds that starts at the Unix time and ignores steps of the system clock."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Returns the current time in nanoseconds."""
        return time.monotonic_ns() + self._offset

    def from_unix_ms(self, ms: int) -> int:
        """Converts a Unix time in milliseconds, by the present reading of the system clock, to this clock."""
        return ms * 1_000_000 - time.time_ns() + self.now()


class Loop:
    """A single-threaded event loop over sockets and timers."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.wheel = TimerWheel(self.clock.now(), lambda error: self.faulted("timer", error))
        self.running = True
        self.lag_ns = 0  # for how long arriving data may have waited for the previous turn to end
        # Called after each turn longer than STALL_NS, with its wall time and its CPU time in nanoseconds.
        self.stalled: Callable[[int, int], object] = lambda wall, cpu: None
        self.longest_ns = 0  # the longest turn since the start, including the owner's callback
        # Called with each exception that a handler raises, and with the kind of the handler.
        self.faulted: Callable[[str, Exception], object] = lambda where, error: None
        # Called when the process is out of descriptors; returns whether it has freed one.
        self.short: Callable[[], bool] = lambda: False
        # True while the handlers of ready sockets run: later handlers may still read new data in this turn.
        self.dispatching = False
        self._deferred: list[Callable[[], object]] = []
        self._next: list[Callable[[], object]] = []
        self._woke = self.clock.now()
        self._selector = selectors.DefaultSelector()

    def watch(self, sock: socket.socket, mask: int, on_ready: ReadyCallback) -> None:
        """Calls `on_ready` with the ready events whenever the socket is ready for one of those in `mask`."""
        self._selector.register(sock, mask, on_ready)

    def change(self, sock: socket.socket, mask: int, on_ready: ReadyCallback) -> None:
        """Replaces the event mask and the callback of a watched socket."""
        self._selector.modify(sock, mask, on_ready)

    def forget(self, sock: socket.socket) -> None:
        """Stops watching the socket."""
        self._selector.unregister(sock)

    def after(self, delay_ns: int, callback: Callable[[], object]) -> Timer:
        """Calls the callback once after `delay_ns` nanoseconds, unless the returned timer is cancelled."""
        return self.wheel.schedule(self.clock.now() + max(delay_ns, 0), callback)

    def soon(self, callback: Callable[[], object]) -> None:
        """Calls the callback after all ready sockets of this turn are handled, or at once between turns."""
        if self.dispatching:
            self._deferred.append(callback)
        else:
            callback()

    def next_turn(self, callback: Callable[[], object]) -> None:
        """Calls the callback in the next turn, which does not wait; for work split into bounded parts."""
        self._next.append(callback)

    def turn(self, max_wait_ns: int | None = None) -> None:
        """Waits once, at most `max_wait_ns` nanoseconds, for sockets or timers and runs their handlers."""
        wait = self.wheel.wait_ns(self.clock.now())
        callbacks, self._next = self._next, []
        wait = 0 if callbacks else wait if max_wait_ns is None else min(wait, max_wait_ns)
        ready = self._selector.select(wait / 1e9)
        self._woke = self.clock.now()
        self.dispatching = True
        for key, mask in ready:
            # An earlier handler of this turn may have closed the socket; then its events are ignored.
            current = self._selector.get_map().get(key.fd)
            if current is not None and current.fileobj is key.fileobj:
                try:
                    current.data(mask)
                except Exception as error:  # a fault on one connection must not stop the gateway
                    self.faulted("socket", error)
        self._run_callbacks(callbacks)
        self.dispatching = False
        while self._deferred:
            callbacks, self._deferred = self._deferred, []
            self._run_callbacks(callbacks)
        self.wheel.advance(self.clock.now())

    def _run_callbacks(self, callbacks: list[Callable[[], object]]) -> None:
        for callback in callbacks:
            try:
                callback()
            except Exception as error:
                self.faulted("call", error)

    def run(self, after_turn: Callable[[], None]) -> None:
        """Runs turns, each followed by `after_turn`, until `running` is false."""
        while self.running:
            began, cpu = self.clock.now(), time.process_time_ns()
            self.turn()
            after_turn()
            now = self.clock.now()
            if now - began > STALL_NS:
                self.stalled(now - began, time.process_time_ns() - cpu)
            self.lag_ns = now - self._woke
            self.longest_ns = max(self.longest_ns, self.lag_ns)

    def close(self) -> None:
        """Closes the selector."""
        self._selector.close()
