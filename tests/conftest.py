"""Helpers for tests of the decision module's Router: default settings, stores, and a driver."""

import hypothesis
import known_red
import pytest

from olivecourse import interface
from olivecourse.choice import Router

# Hypothesis tests use the same examples in every run, so that their results are reproducible.
hypothesis.settings.register_profile("fixed", derandomize=True, database=None, deadline=None)
hypothesis.settings.load_profile("fixed")

pytest_addoption, pytest_configure = known_red.add_option, known_red.enable

MS = 1_000_000
S = 1_000 * MS
PARENTS, ORIGIN = (50, 51), 60


def make_settings(**overrides):
    """Settings of a Router in a small installation; `overrides` replace single fields."""
    defaults = dict(
        seed=7,
        routers=3,
        zones=("hub", "edge"),
        zone=1,
        zone_hub=(0, 0),
        zone_routers=(0, 1),
        parent_kind=1,
        origin_kind=2,
        joins=True,
        cancel=True,
        retry_after=True,
        max_retry_after_ns=1 * S,
        max_attempts=4,
        tick_ns=2 * MS,
        weights="rough",
        notes="hit",
        client_kb_per_s=1000.0,
        drain_grace_ns=500 * MS,
        cold_from=0.2,
        cold_ns=10 * S,
        fall_multiple=2.0,
        fall_ns=2 * S,
        parent_cold_from=0.1,
        parent_cold_ns=20 * S,
        parent_fall_multiple=2.0,
        purge_grace_ns=500 * MS,
        purge_settles_ns=6 * S,
        classes=(make_class(),),
    )
    return interface.Settings(**(defaults | overrides))


def make_class(effect=interface.Effect.IDEMPOTENT, **overrides):
    """The settings of a request class of reads; `overrides` replace single fields."""
    defaults = dict(
        name="read",
        aim_ns=500 * MS,
        aim_stretch=1.0,
        deadline_ns=3 * S,
        effect=effect,
        key_scope=interface.Scope.ALL,
        key_memory_ns=2 * S,
    )
    return interface.RequestClass(**(defaults | overrides))


def member(cache, kind=0, zone=1, ready_at_ns=0, state=interface.State.READY, weight=8.0, cell=0):
    """A store, by default ready, as an entry of the list that discovery publishes; `cache` is its number."""
    return interface.Member(cache, weight, ready_at_ns, zone, state, cell, kind)


def fleet(caches=4):
    """A discovery list: `caches` cache servers in zone 1, two parents and an origin in zone 0."""
    return (
        *(member(i) for i in range(1, caches + 1)),
        *(member(parent, 1, 0, weight=20.0) for parent in PARENTS),
        member(ORIGIN, 2, 0),
    )


class RouterDriver:
    """A Router with a simulated clock (`now`, in ns), and methods that pass it the events of a test."""

    def __init__(self, members=None, **settings):
        self.now = 100 * S
        self.router = Router(make_settings(**settings), self.now)
        self.started = self.router.start()
        self.count = 0
        self.update_members(members if members is not None else fleet(), interface.ListKind.HELD)

    def event(self, event, after=0):
        """Advances the clock by `after` ns and passes an event to the router; returns its actions."""
        self.now += after
        return self.router.handle(event, self.now)

    def update_members(self, members, kind=interface.ListKind.CHANGES):
        """Passes a discovery list to the router, by default as changes of the list it has."""
        return self.event(interface.CacheList(1, kind, tuple(members)))

    def send_request(self, key="a", after=0, cls=0, **fields):
        """Passes a request for the object `key` to the router `after` ns later; returns its actions.

        The request gets a new id, which is kept in `self.id`.
        """
        self.count += 1
        self.id = f"{self.count:016x}"
        return self.event(interface.Request(self.id, cls, object=key, **fields), after)

    def end_attempt(self, status, attempt=0, cache=None, request=None, after=1 * MS, closed=None, **fields):
        """Tells the router that a store's attempt ended with `status`; returns the router's actions.

        By default it is attempt 0 of the latest request, at the cache that the router chose. `closed` tells
        whether this closes the request, by default if it was served.
        """
        request = request or self.id
        if cache is None:
            cache = self.router.attempts[(request, attempt)][2].member.cache
        closed = status is interface.Status.SERVED if closed is None else closed
        return self.event(
            interface.AttemptEnded(request, attempt, cache, status, after, closed, **fields), after
        )


def sends(actions):
    """Those of a Router's actions that send an attempt to a store."""
    return [action for action in actions if isinstance(action, interface.ReadThrough | interface.Look)]


def finals(actions):
    """Those of a Router's actions that refuse or fail a request, which is then answered without a store."""
    return [action for action in actions if isinstance(action, interface.Refuse | interface.Fail)]


@pytest.fixture
def drive():
    """The `RouterDriver` class itself, for tests that choose their own list of stores and settings."""
    return RouterDriver
