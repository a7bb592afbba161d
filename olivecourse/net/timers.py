"""A hashed timing wheel, which holds the timers of the event loop with a resolution of one tick (2 ms)."""

from __future__ import annotations

from collections.abc import Callable

TICK_NS = 2_000_000
SLOT_COUNT = 512  # a timer is in the slot (tick number modulo SLOT_COUNT), so one round takes 1.024 s
MAX_WAIT_NS = 128 * TICK_NS  # the event loop waits at most this long in one turn, even without timers


class Timer:
    """A callback that a `TimerWheel` calls once, at `tick` (the tick number), unless it is cancelled."""

    __slots__ = ("callback", "tick")

    def __init__(self, tick: int, callback: Callable[[], object]) -> None:
        self.tick = tick
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Prevents the timer's callback from being called; has no effect if it has been called already."""
        self.callback = None


class TimerWheel:
    """Fires each timer at the first tick at or after its due time, never early.

    Timers of earlier ticks fire first, unless the event loop stalled for more than one round of the wheel.
    """

    def __init__(self, now: int, on_fault: Callable[[Exception], object]) -> None:
        """`now` is the present time in nanoseconds on the event loop's clock.

        `on_fault` is called with each exception that a timer's callback raises; the other timers still fire.
        """
        self._tick, self._on_fault = now // TICK_NS, on_fault
        self._slots: list[list[Timer]] = [[] for _ in range(SLOT_COUNT)]

    def schedule(self, due: int, callback: Callable[[], object]) -> Timer:
        """Schedules the callback for the time `due`, in nanoseconds on the event loop's clock."""
        timer = Timer(max(-(-due // TICK_NS), self._tick + 1), callback)
        self._slots[timer.tick % SLOT_COUNT].append(timer)
        return timer

    def advance(self, now: int) -> None:
        """Fires every timer due by `now`, in nanoseconds on the event loop's clock.

        Each slot is visited at most once, however long ago the previous call was.
        """
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
        """Returns for how long from `now` no timer can be due, in nanoseconds and at most MAX_WAIT_NS."""
        for tick in range(self._tick + 1, self._tick + MAX_WAIT_NS // TICK_NS):
            if self._slots[tick % SLOT_COUNT]:
                return max(tick * TICK_NS - now, 0)
        return MAX_WAIT_NS
