"""A hashed timing wheel: timers with a resolution of one tick."""

from __future__ import annotations

from collections.abc import Callable

TICK_NS = 2_000_000
SLOT_COUNT = 512
MAX_WAIT_NS = 128 * TICK_NS  # an idle loop wakes up at least this often


class Timer:
    """A callback scheduled on a `TimerWheel`."""

    __slots__ = ("callback", "tick")

    def __init__(self, tick: int, callback: Callable[[], object]) -> None:
        self.tick = tick
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Prevents the callback from being called; has no effect once the timer has fired."""
        self.callback = None


class TimerWheel:
    """Fires each timer at the first tick at or after its due time, never early, in the order of the ticks."""

    def __init__(self, now: int, on_fault: Callable[[Exception], object]) -> None:
        """`on_fault` is called with each exception that a callback raises; the other timers still fire."""
        self._tick, self._on_fault = now // TICK_NS, on_fault
        self._slots: list[list[Timer]] = [[] for _ in range(SLOT_COUNT)]

    def schedule(self, due: int, callback: Callable[[], object]) -> Timer:
        """Schedules the callback for the time `due`, in nanoseconds on the loop's clock."""
        timer = Timer(max(-(-due // TICK_NS), self._tick + 1), callback)
        self._slots[timer.tick % SLOT_COUNT].append(timer)
        return timer

    def advance(self, now: int) -> None:
        """Fires every timer due by `now`. After a stall of any length, each slot is visited only once."""
        target = now // TICK_NS
        for tick in range(max(self._tick + 1, target - SLOT_COUNT + 1), target + 1):
            slot = self._slots[tick % SLOT_COUNT]
            if not slot:
                continue
            self._tick = tick
            due = [t for t in slot if t.tick <= target]
            slot[:] = [t for t in slot if t.tick > target and t.callback is not None]
            for timer in due:
                callback, timer.callback = timer.callback, None
                if callback is not None:
                    try:
                        callback()
                    except Exception as error:
                        self._on_fault(error)
        self._tick = max(self._tick, target)

    def wait_ns(self, now: int) -> int:
        """Returns for how long no timer can fire, in nanoseconds and at most MAX_WAIT_NS."""
        for tick in range(self._tick + 1, self._tick + MAX_WAIT_NS // TICK_NS):
            if self._slots[tick % SLOT_COUNT]:
                return max(tick * TICK_NS - now, 0)
        return MAX_WAIT_NS
