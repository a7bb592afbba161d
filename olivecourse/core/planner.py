"""Runs the Router: takes a batch of events and returns the resulting actions. Uses no socket and no wire
format.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from olivecourse import interface
from olivecourse.choice import Router
from olivecourse.weighted_ring import NO_LIMIT

# How many points of the hash ring may change in one call of `Planner.decide`; some 10 ms of work.
MAX_RING_CHANGES = 4_096


class TrafficLimiter(interface.Limits, Protocol):
    """Limits on the traffic that the Router may cause, applied during a retry storm. The limiter also
    observes all of the Router's events and actions.
    """

    def apply_settings(self, settings: interface.Settings) -> None:
        """Applies new settings, in which each request class keeps its index."""
        ...

    def on_event(self, event: interface.Event, now: int) -> None:
        """Observes an event before the Router handles it."""
        ...

    def on_actions(self, actions: list[interface.Action], now: int) -> list[interface.Action]:
        """Observes the Router's actions and returns the actions to execute: these, and possibly actions that
        write a log line.
        """
        ...


class Planner:
    """A Router, the latest time passed to it, which never runs backwards, and the limiter if there is one."""

    def __init__(self, settings: interface.Settings, now: int, log: Callable[..., None]) -> None:
        self._now, self._log = now, log
        self.router = Router(settings, now)
        self._limiter: TrafficLimiter | None = None

    def set_limiter(self, limiter: TrafficLimiter) -> None:
        """Makes the Router consult this limiter."""
        self._limiter = self.router.limits = limiter

    def start(self) -> list[interface.Action]:
        """Returns the actions that the Router wants executed at the start, before its first event."""
        return self.router.start()

    def finish_start(self) -> None:
        """Completes the hash ring of the servers known at the start, before requests come."""
        self.router.ring.update(NO_LIMIT)

    def apply_settings(self, settings: interface.Settings) -> None:
        """Makes the Router use new settings. Existing request classes keep their index and what the Router
        has learned about them. New classes get the next indexes and start without any learned values, as all
        classes do at startup.
        """
        router, known_classes = self.router, len(self.router.settings.classes)
        fresh_router = Router(settings, self._now)
        router.settings, router.reports = settings, fresh_router.reports
        for current, initial in (
            (router.mean_sending_ns, fresh_router.mean_sending_ns),
            (router.cold_budget_cost_ns, fresh_router.cold_budget_cost_ns),
            (router.fill_shares, fresh_router.fill_shares),
            (router.parent_fill_shares, fresh_router.parent_fill_shares),
        ):
            current += initial[known_classes:]
        router.last_late_fill_at += fresh_router.last_late_fill_at[known_classes:]
        if self._limiter is not None:
            self._limiter.apply_settings(settings)

    def decide(self, events: Iterable[interface.PlannerEvent], now: int) -> list[interface.PlannerAction]:
        """Passes a batch of events to the Router and returns the resulting actions. `now` is in nanoseconds;
        an earlier time than in the last call is replaced by that one. Checkpoints are returned in their place
        among the actions.
        """
        self._now = max(self._now, now)
        self.router.ring_changes_left = MAX_RING_CHANGES
        actions: list[interface.PlannerAction] = []
        for event in events:
            if isinstance(event, interface.Checkpoint):
                actions.append(event)
                continue
            try:
                if self._limiter is not None:
                    self._limiter.on_event(event, self._now)
                produced = self.router.handle(event, self._now)
                actions += (
                    produced if self._limiter is None else self._limiter.on_actions(produced, self._now)
                )
            # An exception for one event must not stop the gateway; the deadline timers answer the affected
            # requests.
            except Exception as error:
                self._log("router_fault", event_type=type(event).__name__, error=repr(error))
        return actions
