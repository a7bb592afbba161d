"""The single-threaded event loop of a process.

Each turn waits for sockets or timers, runs the handlers of the ready sockets and the due timers, and then a
callback of the loop's owner (the gateway or relay that runs it).
"""

from __future__ import annotations

import selectors
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from olivecourse.net.timers import Timer, TimerWheel

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
# A turn longer than this, in nanoseconds, is reported as a stall. Waiting for sockets and timers cannot cause
# one, since no turn waits even half as long.
STALL_NS = 600_000_000
# In one turn, no deferrable handler starts later than this after the first one, in nanoseconds. A small part
# of the shortest time within which discovery's events must be obeyed.
DEFERRABLE_BUDGET_NS = 20_000_000
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


class DeferrableCall:
    """A call of a deferrable handler that is due: that of a ready socket, or a callback given to `defer`."""

    __slots__ = ("callback", "descriptor", "due_since", "lag_ns", "mask", "sock")

    def __init__(
        self,
        due_since: int,
        lag_ns: int,
        callback: Callable[[], object] | None = None,
        sock: Any = None,
        descriptor: int = -1,
        mask: int = 0,
    ) -> None:
        """`due_since` is the start of the turn in which the call became due, on the loop's clock, and
        `lag_ns` the loop's lag in that turn. Either `callback` is given or the other three: the socket, its
        descriptor and the events for which it is ready.
        """
        self.due_since, self.lag_ns, self.callback = due_since, lag_ns, callback
        self.sock, self.descriptor, self.mask = sock, descriptor, mask


class Loop:
    """A single-threaded event loop over sockets and timers; an exception in a handler does not end it.

    The handlers of sockets that are watched as deferrable, and the callbacks given to `defer`, share
    DEFERRABLE_BUDGET_NS in each turn, in the order in which they became due. Those left over run in the next
    turns. All other handlers run in the turn in which their socket is ready, and before the deferrable ones.
    So work that outside parties can cause at will delays neither timers nor answers nor events of discovery.
    """

    def __init__(self) -> None:
        self.clock = Clock()
        self.timers = TimerWheel(self.clock.now(), lambda error: self.on_fault("timer", error))
        self.running = True
        # How long the data that is read now may have waited unread, in nanoseconds: the time from the wake-up
        # of the previous turn to its end, and for a deferrable handler the turns that it was left over for.
        self.lag_ns = 0
        # Called after each turn longer than STALL_NS, with the turn's wall time and CPU time in nanoseconds.
        self.on_stall: Callable[[int, int], object] = lambda wall, cpu: None
        self.longest_turn_ns = 0  # the longest time from a turn's wake-up to its end since the start
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
        self._deferrable_descriptors: set[int] = set()
        self._deferrable_calls: deque[DeferrableCall] = deque()
        self._calls_by_descriptor: dict[int, DeferrableCall] = {}
        self.turn_started_at = self.clock.now()  # the time of the present turn's wake-up
        self._selector = selectors.DefaultSelector()

    def watch(
        self, sock: socket.socket, mask: int, on_ready: ReadyCallback, deferrable: bool = False
    ) -> None:
        """Calls `on_ready(events)` whenever the socket is ready for one in `mask` (READ, WRITE or both).

        With `deferrable`, the call may come in a later turn if many such handlers are due.
        """
        self._selector.register(sock, mask, on_ready)
        if deferrable:
            self._deferrable_descriptors.add(sock.fileno())

    def change(self, sock: socket.socket, mask: int, on_ready: ReadyCallback) -> None:
        """Replaces the mask (READ, WRITE or both) and the callback of a watched socket."""
        self._selector.modify(sock, mask, on_ready)

    def unwatch(self, sock: socket.socket) -> None:
        """Stops watching a socket that was given to `watch`, without closing it."""
        self._selector.unregister(sock)
        self._deferrable_descriptors.discard(sock.fileno())

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

    def defer(self, callback: Callable[[], object]) -> None:
        """Calls the callback in a later turn, in its place among the deferrable handlers that are due."""
        self._deferrable_calls.append(DeferrableCall(self.turn_started_at, self.lag_ns, callback))

    @property
    def has_work_left(self) -> bool:
        """Whether a handler or callback is due, so that the next turn does not wait."""
        return bool(self._next or self._deferrable_calls)

    def turn(self, max_wait_ns: int | None = None) -> None:
        """Waits for sockets or timers, at most `max_wait_ns` nanoseconds, then runs the handlers due."""
        wait = self.timers.wait_ns(self.clock.now())
        wait = 0 if self.has_work_left else wait if max_wait_ns is None else min(wait, max_wait_ns)
        callbacks, self._next = self._next, []
        ready = self._selector.select(wait / 1e9)
        self.turn_started_at = self.clock.now()
        self.dispatching = True
        for key, mask in ready:
            if key.fd in self._deferrable_descriptors:
                self._add_deferrable(key, mask)
            else:
                self._call_handler(key.fd, key.fileobj, mask)
        self._run_callbacks(callbacks)
        self._run_deferrable()
        self.dispatching = False
        while self._deferred:
            callbacks, self._deferred = self._deferred, []
            self._run_callbacks(callbacks)
        self.timers.advance(self.clock.now())

    def _call_handler(self, descriptor: int, sock: Any, mask: int) -> None:
        """Calls the handler of a ready socket, unless an earlier handler has closed the socket since."""
        current = self._selector.get_map().get(descriptor)
        if current is not None and current.fileobj is sock:
            try:
                current.data(mask)
            except Exception as error:  # a fault on one connection must not stop the gateway
                self.on_fault("socket", error)

    def _add_deferrable(self, key: selectors.SelectorKey, mask: int) -> None:
        """Adds a call of a ready socket's handler, or updates the one that is due already."""
        call = self._calls_by_descriptor.get(key.fd)
        if call is not None and call.sock is key.fileobj:
            call.mask = mask
            return
        call = DeferrableCall(
            self.turn_started_at, self.lag_ns, sock=key.fileobj, descriptor=key.fd, mask=mask
        )
        self._calls_by_descriptor[key.fd] = call
        self._deferrable_calls.append(call)

    def _run_deferrable(self) -> None:
        """Runs deferrable calls that are due, the oldest first, for DEFERRABLE_BUDGET_NS; at least one."""
        base_lag_ns, started_at = self.lag_ns, self.clock.now()
        for _ in range(len(self._deferrable_calls)):
            call = self._deferrable_calls.popleft()
            self.lag_ns = call.lag_ns + self.turn_started_at - call.due_since
            self._run_deferrable_call(call)
            if self.clock.now() - started_at > DEFERRABLE_BUDGET_NS:
                break
        self.lag_ns = base_lag_ns

    def _run_deferrable_call(self, call: DeferrableCall) -> None:
        if call.callback is not None:
            self._run_callbacks([call.callback])
            return
        if self._calls_by_descriptor.get(call.descriptor) is call:
            del self._calls_by_descriptor[call.descriptor]
        self._call_handler(call.descriptor, call.sock, call.mask)

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
            self.lag_ns = now - self.turn_started_at
            self.longest_turn_ns = max(self.longest_turn_ns, self.lag_ns)

    def close(self) -> None:
        """Closes the selector; the sockets that it watched stay open."""
        self._selector.close()
