"""The one loop: it gathers what is ready, lets the owner decide once, and keeps the clock."""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Callable

from olivecourse.net.wheel import Timer, Wheel

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
STALL_NS = 600_000_000  # no turn waits half as long by itself
Ready = Callable[[int], None]


class Clock:
    """A clock that starts at Unix time and never runs backwards, whatever is done to the system's."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() + self._offset

    def from_unix_ms(self, ms: int) -> int:
        """Where a Unix millisecond of the protocol lies on this clock, by the system's clock of right now."""
        return ms * 1_000_000 - time.time_ns() + self.now()


class Loop:
    def __init__(self) -> None:
        self.clock = Clock()
        self.wheel = Wheel(self.clock.now(), lambda error: self.faulted("timer", error))
        self.running = True
        self.lag_ns = 0  # how long what arrives may have waited for the turn before to end
        self.stalled: Callable[[int, int], object] = lambda wall, cpu: None  # told of turns over STALL_NS
        self.longest_ns = 0  # the longest turn since the start, with what was decided in it
        self.faulted: Callable[[str, Exception], object] = lambda where, error: None  # told of faults
        self.short: Callable[[], bool] = lambda: False  # out of descriptors: whether one was freed
        self.handling = False  # sockets' handlers run: what later ones of the turn will tell is not known
        self._soon: list[Callable[[], object]] = []
        self._next: list[Callable[[], object]] = []
        self._woke = self.clock.now()
        self._selector = selectors.DefaultSelector()

    def watch(self, sock: socket.socket, mask: int, ready: Ready) -> None:
        self._selector.register(sock, mask, ready)

    def change(self, sock: socket.socket, mask: int, ready: Ready) -> None:
        self._selector.modify(sock, mask, ready)

    def forget(self, sock: socket.socket) -> None:
        self._selector.unregister(sock)

    def after(self, delay_ns: int, call: Callable[[], object]) -> Timer:
        return self.wheel.at(self.clock.now() + max(delay_ns, 0), call)

    def soon(self, call: Callable[[], object]) -> None:
        """Calls once every socket that is ready in this turn has been handled; at once between turns."""
        if self.handling:
            self._soon.append(call)
        else:
            call()

    def next_turn(self, call: Callable[[], object]) -> None:
        """Calls in the next turn, which does not wait: for work that is taken in bounded parts."""
        self._next.append(call)

    def turn(self, most_ns: int | None = None) -> None:
        """Waits for sockets or timers once and runs their handlers."""
        wait = self.wheel.wait_ns(self.clock.now())
        calls, self._next = self._next, []
        wait = 0 if calls else wait if most_ns is None else min(wait, most_ns)
        ready = self._selector.select(wait / 1e9)
        self._woke = self.clock.now()
        self.handling = True
        for key, mask in ready:
            # An earlier handler of this turn may have closed the socket: its events are void.
            now = self._selector.get_map().get(key.fd)
            if now is not None and now.fileobj is key.fileobj:
                try:
                    now.data(mask)
                except Exception as error:  # one connection's fault must not take the gateway down
                    self.faulted("socket", error)
        self._call(calls)
        self.handling = False
        while self._soon:
            calls, self._soon = self._soon, []
            self._call(calls)
        self.wheel.advance(self.clock.now())

    def _call(self, calls: list[Callable[[], object]]) -> None:
        for call in calls:
            try:
                call()
            except Exception as error:
                self.faulted("call", error)

    def run(self, decide: Callable[[], None]) -> None:
        while self.running:
            began, cpu = self.clock.now(), time.process_time_ns()
            self.turn()
            decide()
            now = self.clock.now()
            if now - began > STALL_NS:
                self.stalled(now - began, time.process_time_ns() - cpu)
            self.lag_ns = now - self._woke
            self.longest_ns = max(self.longest_ns, self.lag_ns)

    def close(self) -> None:
        self._selector.close()
