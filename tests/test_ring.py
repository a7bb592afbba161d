"""The hash ring: which points its caches have, and what a change of some of them costs."""

import random

import pytest
from conftest import MS, ORIGIN, member, sends
from hypothesis import given
from hypothesis import strategies as st

from olivecourse import interface
from olivecourse.choice import POINTS_PER_CACHE, RING_BUCKET_BITS
from olivecourse.ring import Ring
from olivecourse.weighted_ring import NO_LIMIT, WeightedRing

NAMES = [f"object-{number}" for number in range(40)]


def built_at_once(weights):
    """The ring that a list of these weights, by cache, gives."""
    mean = sum(weights.values()) / max(len(weights), 1)
    points = {cache: max(1, round(POINTS_PER_CACHE * weight / mean)) for cache, weight in weights.items()}
    return Ring(points.items(), RING_BUCKET_BITS)


def walks(ring):
    return [list(ring.walk(name)) for name in NAMES]


CHANGES = st.lists(
    st.tuples(
        st.integers(1, 12),  # the cache
        st.one_of(
            st.none(), st.integers(1, 400).map(float), st.floats(0.125, 8, width=16)
        ),  # None: it leaves
        st.sampled_from([0, 1, 50, NO_LIMIT]),  # how many points may change
    ),
    max_size=40,
)


@given(CHANGES)
def test_the_points_depend_on_the_present_weights_alone(changes):
    """Guards against gateways that send requests for an object to different caches after the same events."""
    ring, weights = WeightedRing(POINTS_PER_CACHE, RING_BUCKET_BITS), {}
    for cache, weight, max_points in changes:
        if weight is None:
            ring.remove(cache)
            weights.pop(cache, None)
        else:
            ring.set_weight(cache, weight)
            weights[cache] = weight
        assert ring.update(max_points) <= max_points
    ring.update(NO_LIMIT)
    assert ring.is_complete
    assert walks(ring) == walks(built_at_once(weights))


@pytest.mark.parametrize("weight", [0.0, -1.0, 5e-324, 1.7e308])
def test_any_finite_weight_gives_a_cache_a_bounded_number_of_points(weight):
    """Guards against an exception, or a ring without end, for a weight that discovery should not report."""
    ring = WeightedRing(POINTS_PER_CACHE, RING_BUCKET_BITS)
    for cache in range(5):
        ring.set_weight(cache, weight if cache else 1.0)
    assert ring.update(NO_LIMIT) <= 5 * POINTS_PER_CACHE + 5
    assert all(sorted(order) == list(range(5)) for order in walks(ring))


def changed_points(store_count, replaced):
    """How many points change when a few caches of a fleet are replaced by others, of other weights."""
    rng = random.Random(5)
    ring = WeightedRing(POINTS_PER_CACHE, RING_BUCKET_BITS)
    for cache in range(store_count):
        ring.set_weight(cache, rng.uniform(1, 8))
    ring.update(NO_LIMIT)
    for cache in range(replaced):
        ring.remove(cache)
        ring.set_weight(store_count + cache, rng.uniform(1, 8))
    return ring.update(NO_LIMIT)


@pytest.mark.parametrize("store_count", [200, 3_200])
def test_a_change_costs_points_for_what_has_changed_whatever_the_size_of_the_fleet(store_count):
    """Guards against a gateway that stands still, since each event builds the whole ring anew."""
    replaced = 7
    # The old and the new caches' points, and as many again that the shift of the mean weight moves.
    assert changed_points(store_count, replaced) <= 2 * 2 * replaced * 2 * POINTS_PER_CACHE


def test_a_large_change_of_the_ring_is_made_in_steps_by_timers(drive):
    """Guards against long turns, and against a request for a cache of another list while steps are due."""
    driver = drive()
    new = [member(cache) for cache in range(100, 140)]
    driver.router.ring_changes_left = 200
    actions = driver.event(interface.CacheList(2, interface.ListKind.FULL, (*new, member(ORIGIN, kind=2))))
    steps = 0
    while timers := [a for a in actions if isinstance(a, interface.SetTimer)]:
        assert not driver.router.ring.is_complete
        for sent in sends(driver.send_request(f"object-{steps}")):
            assert sent.cache in range(100, 140)
        driver.router.ring_changes_left = 200
        actions = driver.event(interface.TimerFired(timers[0].token), after=2 * MS)
        steps += 1
    assert driver.router.ring.is_complete and steps >= 40 * POINTS_PER_CACHE // 200
    assert walks(driver.router.ring) == walks(built_at_once({m.cache: m.weight for m in new}))


def test_a_known_cache_that_moves_to_another_zone_gets_nothing_more(drive):
    """Guards against requests for a cache of another zone, whose points are still on the ring."""
    driver = drive()
    moved = driver.router.caches[0].member.cache
    driver.router.ring_changes_left = 0
    driver.event(interface.CacheList(2, interface.ListKind.CHANGES, (member(moved, zone=0),)))
    used = {sent.cache for n in range(60) for sent in sends(driver.send_request(f"object-{n}"))}
    assert used and moved not in used
