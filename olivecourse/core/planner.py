"""Drives the Router: a batch of events in, the actions out. Holds no socket and knows no wire."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from olivecourse import interface as w
from olivecourse.choice import Router


class Planner:
    """One Router and its clock, which never runs backwards."""

    def __init__(self, settings: w.Settings, now: int, log: Callable[..., None]) -> None:
        self._now, self._log = now, log
        self.router = Router(settings, now)

    def start(self) -> list[w.Action]:
        return self.router.start()

    def decide(self, events: Iterable[w.Event], now: int) -> list[w.Action]:
        self._now = max(self._now, now)
        actions: list[w.Action] = []
        for event in events:
            try:
                actions += self.router.handle(event, self._now)
            except Exception as error:  # one event's fault must not take the gateway down; guards answer
                self._log("router_fault", event_type=type(event).__name__, error=repr(error))
        return actions
