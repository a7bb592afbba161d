"""Timers as coarse ticks on a wheel."""

from __future__ import annotations

from collections.abc import Callable

TICK_NS = 2_000_000
SLOTS = 512
LONGEST_NS = 128 * TICK_NS  # an idle loop looks up at least this often


class Timer:
    __slots__ = ("call", "tick")

    def __init__(self, tick: int, call: Callable[[], object]) -> None:
        self.tick = tick
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        self.call = None


class Wheel:
    """Timers fire at the first tick at or after they are due, never early, in order of their ticks."""

    def __init__(self, now: int, faulted: Callable[[Exception], object]) -> None:
        """`faulted` is told what a timer's call raised; the other timers go on."""
        self._tick, self._faulted = now // TICK_NS, faulted
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]

    def at(self, due: int, call: Callable[[], object]) -> Timer:
        timer = Timer(max(-(-due // TICK_NS), self._tick + 1), call)
        self._slots[timer.tick % SLOTS].append(timer)
        return timer

    def advance(self, now: int) -> None:
        """Fires what is due. After a stall every slot is visited once, however long it took."""
        target = now // TICK_NS
        for tick in range(max(self._tick + 1, target - SLOTS + 1), target + 1):
            slot = self._slots[tick % SLOTS]
            if not slot:
                continue
            self._tick = tick
            due = [t for t in slot if t.tick <= target]
            slot[:] = [t for t in slot if t.tick > target and t.call is not None]
            for timer in due:
                call, timer.call = timer.call, None
                if call is not None:
                    try:
                        call()
                    except Exception as error:
                        self._faulted(error)
        self._tick = max(self._tick, target)

    def wait_ns(self, now: int) -> int:
        """How long nothing can fire, at most LONGEST_NS."""
        for tick in range(self._tick + 1, self._tick + LONGEST_NS // TICK_NS):
            if self._slots[tick % SLOTS]:
                return max(tick * TICK_NS - now, 0)
        return LONGEST_NS
