"""Tests of the NetKV mechanism: counters, MaxBalls, threshold T, ring, and learned sizes and capacities."""

import math
import random

from conftest import MS, S, fleet, make_class, make_settings, sends

from olivecourse import interface
from olivecourse.choice import choose_threshold
from olivecourse.ring import Ring, rendezvous_order
from olivecourse.sending_times import SendingTimes
from olivecourse.sketch import HyperLogLog, LossyCounter, max_balls
from olivecourse.state import Node


def test_lossy_counter_stays_within_its_error_bounds():
    rng, counter, true_counts = random.Random(3), LossyCounter(0.01), {}
    for _ in range(20_000):
        key = f"k{min(int(rng.paretovariate(0.7)), 5000)}"
        counter.add(key)
        true_counts[key] = true_counts.get(key, 0) + 1
    found = dict(counter.frequent(0.03))
    assert all(
        item in found for item, true_count in true_counts.items() if true_count >= 0.03 * counter.total
    )
    assert all(true_counts[item] >= 0.02 * counter.total for item in found)
    assert all(0 <= true_counts[item] - counter.count(item) <= 0.01 * counter.total for item in found)
    assert len(counter) < len(true_counts) / 2  # rare keys are pruned


def test_lossy_counter_weighs_amounts():
    counter = LossyCounter(0.01)
    for i in range(500):
        counter.add(f"small{i}", 1.0)
    counter.add("large", 100.0)
    assert counter.frequent(0.1) == [("large", 100.0)]


def test_hyperloglog_error_on_a_known_stream():
    for n in (50, 1_000, 50_000):
        hll = HyperLogLog(10)
        for i in range(n):
            hll.add(f"key{i}")
            hll.add(f"key{i}")
        assert abs(hll.count() - n) / n < 0.1


def test_max_balls_regimes_and_caps():
    assert max_balls(0, 4, 1.0, 16) == 0
    assert max_balls(5, 1, 1.0, 16) == 5
    bins, balls = 100, 1000
    assert max_balls(balls, bins, 1.0, 16) == balls / bins + math.sqrt(2 * balls / bins * math.log(bins))
    # The first form applies for fewer balls than bins / log(bins).
    assert max_balls(10, bins, 1.0, 16) == math.log(bins) / math.log(bins * math.log(bins) / 10)
    assert max_balls(1, 4, 1.0, 16) == 1  # few caches: the second form, capped at the number of balls
    assert max_balls(2, 4, 1.0, 16) == 0.5 + math.sqrt(math.log(4))


def test_choose_t_returns_the_largest_threshold_that_meets_the_bound():
    counts, total = [50.0, 10.0, 5.0], 165.0
    threshold = choose_threshold(counts, total, 103, 4, 2.0, 1.0)
    assert threshold == 50.0  # an object at T keeps one name, and the estimate already meets the bound
    tight_threshold = choose_threshold([300.0, 10.0], 410.0, 102, 4, 1.8, 1.0)
    assert tight_threshold < 300.0


def test_choose_t_returns_the_lowest_peak_estimate_if_no_threshold_meets_the_bound():
    threshold = choose_threshold([100.0], 200.0, 5, 10, 1.0001, 1.0)
    assert 0 < threshold < 100.0 and threshold < math.inf


def test_choose_t_does_not_divide_by_zero_without_cold_objects():
    assert choose_threshold([10.0, 9.0], 19.0, 2, 3, 3.0, 0.5) > 0  # fewer than one cold object for small T
    assert choose_threshold([], 5.0, 5, 3, 2.0, 1.0) == math.inf


def test_ring_moves_only_the_keys_of_a_cache_that_leaves():
    caches = [m.cache for m in fleet(5)[:5]]
    full_ring, smaller_ring = (Ring(((c, 64) for c in some), 10) for some in (caches, caches[1:]))
    for i in range(300):
        home = next(full_ring.walk(f"k{i}"))
        if home != caches[0]:
            assert next(smaller_ring.walk(f"k{i}")) == home
    shares = [sum(next(full_ring.walk(f"k{i}")) == c for i in range(2000)) for c in caches]
    assert min(shares) > 200
    assert sorted(full_ring.walk("k1")) == sorted(caches)


def request_repeatedly(driver, key, count, interval_ns=10 * MS):
    caches = []
    for _ in range(count):
        caches.append(sends(driver.send_request(key, after=interval_ns))[0].cache)
        driver.end_attempt(interface.Status.SERVED, note=interface.Note.HIT)
    return caches


def test_ordinary_object_uses_one_cache_and_hot_object_several(drive):
    driver = drive()
    assert len(set(request_repeatedly(driver, "plain", 20))) == 1
    for i in range(60):
        request_repeatedly(driver, f"k{i}", 1)
    request_repeatedly(driver, "hot", 400)
    driver.event(interface.TimerFired(0), after=5 * S)
    assert driver.router.counts["hot"] > driver.router.hot_threshold
    caches = request_repeatedly(driver, "hot", 40)
    assert len(set(caches)) >= 2
    assert len(set(request_repeatedly(driver, "k3", 10))) == 1


def test_sudden_popularity_takes_effect_within_the_interval(drive):
    driver = drive()
    for i in range(60):
        request_repeatedly(driver, f"k{i}", 1)
    request_repeatedly(driver, "old", 200)
    driver.event(interface.TimerFired(0), after=5 * S)
    assert len(set(request_repeatedly(driver, "new", 300))) >= 2


def test_client_repeats_writes_and_retries_are_not_counted(drive):
    write = interface.RequestClass(
        "write", aim_ns=S, deadline_ns=3 * S, effect=interface.Effect.IDEMPOTENT, write=True
    )
    driver = drive(classes=(make_settings().classes[0], write))
    driver.send_request("a")
    driver.end_attempt(interface.Status.ERROR, closed=False)  # the router's retry
    driver.send_request("a", flags=interface.Flag.REPEAT)  # the client's repeat
    driver.send_request("a", flags=interface.Flag.WRITE)
    driver.send_request("a", cls=1)
    assert driver.router.counter.count("a") == 1


def test_reported_sizes_weight_the_object_counts(drive):
    driver = drive()
    driver.send_request("big", size_kb=5000.0)
    driver.send_request("small", size_kb=50.0)
    assert driver.router.counter.count("big") == 100 * driver.router.counter.count("small")


def test_parts_of_an_object_are_placed_separately(drive):
    driver = drive(members=fleet(6))
    caches = set()
    for part in range(12):
        caches.add(sends(driver.send_request("video", part=part, after=S))[0].cache)
        driver.end_attempt(interface.Status.SERVED)
    assert len(caches) >= 3


def test_share_of_objects_per_parent_is_proportional_to_its_weight():
    nodes = [Node(interface.Member(i, weight)) for i, weight in ((1, 10.0), (2, 30.0))]
    firsts = [
        rendezvous_order(f"k{i}", [(n, n.member.weight) for n in nodes])[0].member.cache for i in range(2000)
    ]
    assert 0.7 < firsts.count(2) / 2000 < 0.8


# Unreported sizes and weights are learned from answers and load reports ---------------------------------


def hit(driver, key, latency_ns, **more):
    driver.send_request(key, 200 * MS)
    driver.end_attempt(interface.Status.SERVED, after=latency_ns, note=interface.Note.HIT, **more)


def test_unreported_sizes_are_learned_per_object_and_large_objects_get_less_room(drive):
    driver = drive(weights="silent", classes=(make_class(worth=1.0),))
    for _ in range(30):
        hit(driver, "small", 10 * MS)
        hit(driver, "large", 900 * MS)
        hit(driver, "large", 2_000 * MS)  # the link is busy, so only the shortest time counts
    driver.send_request("large", part=7)
    large = driver.router.pending_requests[driver.id]
    assert 0.9 * S <= large.sending_ns <= 1.1 * S and large.size_known, (
        "another part of the object, never requested before"
    )
    driver.send_request("small")
    small = driver.router.pending_requests[driver.id]
    assert 9 * MS <= small.sending_ns <= 11 * MS and small.limit_factor > 1.0 > large.limit_factor
    driver.send_request("other")
    assert not driver.router.pending_requests[driver.id].size_known
    hit(driver, "small", 1 * MS, same=True)  # answered without content, so nothing is learned
    hit(driver, "small", 0)
    driver.send_request("small")
    assert driver.router.pending_requests[driver.id].sending_ns >= 9 * MS


def test_number_of_learned_sizes_is_limited():
    sizes = SendingTimes(max_entries=8)
    for i in range(100):
        sizes.observe(f"o{i}", 5.0)
        sizes.observe("known", 7.0)
    assert len(sizes) == 8 and sizes.estimate("known") == 7.0 and sizes.estimate("o1") is None


def test_reported_capacity_raises_the_limit_of_a_store_and_broken_reports_are_ignored(drive):
    """Guards against long underuse of a large store whose limit starts low because its weight is unknown."""
    driver = drive(weights="silent", report_fields=("active", "cpu", "x0", "x1"), classes=(make_class(),))
    initial_limit = max(n.limit for n in driver.router.caches)
    for report in ((None, 0.5), (40.0,), (), (1.0, 0.01), (40.0, None)):
        hit(driver, "a", 10 * MS, report=report)
    assert not any(n.reported_capacity for n in driver.router.caches)
    hit(driver, "a", 10 * MS, report=(40.0, 0.4, 0.0, 0.0))
    assert max(n.reported_capacity for n in driver.router.caches) == 50.0 > 2 * initial_limit
    actions = [driver.send_request("a") for _ in range(40)]
    assert sum(bool(sends(a)) for a in actions) == 40
