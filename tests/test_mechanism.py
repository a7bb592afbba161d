"""The NetKV numbers: counter, distinct count, MaxBalls, T, ring."""

import math
import random

from conftest import MS, S, fleet, make_class, make_settings, sends

from olivecourse import interface as w
from olivecourse.choice import choose_t
from olivecourse.ring import Ring, rendezvous
from olivecourse.sizes import Sizes
from olivecourse.sketch import HyperLogLog, LossyCounter, max_balls
from olivecourse.state import Node


def test_lossy_counter_keeps_its_guarantees():
    rng, counter, true = random.Random(3), LossyCounter(0.01), {}
    for _ in range(20_000):
        key = f"k{min(int(rng.paretovariate(0.7)), 5000)}"
        counter.add(key)
        true[key] = true.get(key, 0) + 1
    found = dict(counter.frequent(0.03))
    assert all(k in found for k, f in true.items() if f >= 0.03 * counter.total)
    assert all(true[k] >= 0.02 * counter.total for k in found)
    assert all(0 <= true[k] - counter.count(k) <= 0.01 * counter.total for k in found)
    assert len(counter) < len(true) / 2  # it forgets the rare ones


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
    n, m = 100, 1000
    assert max_balls(m, n, 1.0, 16) == m / n + math.sqrt(2 * m / n * math.log(n))
    assert max_balls(10, n, 1.0, 16) == math.log(n) / math.log(n * math.log(n) / 10)  # m < n / log n
    assert max_balls(1, 4, 1.0, 16) == 1  # few caches: the second form, capped at m
    assert max_balls(2, 4, 1.0, 16) == 0.5 + math.sqrt(math.log(4))


def test_t_is_the_largest_that_meets_the_bound():
    counts, total = [50.0, 10.0, 5.0], 165.0
    t = choose_t(counts, total, 103, 4, 2.0, 1.0)
    assert t == 50.0  # the object at T keeps one name; the estimate already holds
    tight = choose_t([300.0, 10.0], 410.0, 102, 4, 1.8, 1.0)
    assert tight < 300.0


def test_t_takes_the_lowest_estimate_where_no_bound_can_be_met():
    t = choose_t([100.0], 200.0, 5, 10, 1.0001, 1.0)
    assert 0 < t < 100.0 and t < math.inf


def test_all_hot_leaves_the_cold_term_without_a_division():
    assert choose_t([10.0, 9.0], 19.0, 2, 3, 3.0, 0.5) > 0  # c < 1 for small T
    assert choose_t([], 5.0, 5, 3, 2.0, 1.0) == math.inf


def test_ring_moves_only_the_keys_of_a_cache_that_leaves():
    nodes = [Node(m) for m in fleet(5)[:5]]
    full, less = Ring((n, 64) for n in nodes), Ring((n, 64) for n in nodes[1:])
    for i in range(300):
        home = next(full.walk(f"k{i}"))
        if home is not nodes[0]:
            assert next(less.walk(f"k{i}")) is home
    shares = [sum(next(full.walk(f"k{i}")) is n for i in range(2000)) for n in nodes]
    assert min(shares) > 200
    assert [n.member.cache for n in full.walk("k1")].sort() is None and len(list(full.walk("k1"))) == 5


def play(d, key, times, every=10 * MS):
    homes = []
    for _ in range(times):
        homes.append(sends(d.ask(key, after=every))[0].cache)
        d.end(w.Status.SERVED, note=w.Note.HIT)
    return homes


def test_a_plain_object_has_one_home_and_a_hot_one_several(drive):
    d = drive()
    assert len(set(play(d, "plain", 20))) == 1
    for i in range(60):
        play(d, f"k{i}", 1)
    play(d, "hot", 400)
    d.event(w.TimerFired(0), after=5 * S)
    assert d.router.counts["hot"] > d.router.t
    picked = play(d, "hot", 40)
    assert len(set(picked)) >= 2
    assert len(set(play(d, "k3", 10))) == 1


def test_popularity_that_jumps_inside_an_interval_acts_at_once(drive):
    d = drive()
    for i in range(60):
        play(d, f"k{i}", 1)
    play(d, "old", 200)
    d.event(w.TimerFired(0), after=5 * S)
    assert len(set(play(d, "new", 300))) >= 2


def test_repeats_writes_and_our_retries_are_not_counted(drive):
    write = w.RequestClass("write", aim_ns=S, deadline_ns=3 * S, effect=w.Effect.IDEMPOTENT, write=True)
    d = drive(classes=(make_settings().classes[0], write))
    d.ask("a")
    d.end(w.Status.ERROR, closed=False)  # our retry
    d.ask("a", flags=w.Flag.REPEAT)  # the client's repeat
    d.ask("a", flags=w.Flag.WRITE)
    d.ask("a", cls=1)
    assert d.router.counter.count("a") == 1


def test_sizes_weigh_where_they_are_told(drive):
    d = drive()
    d.ask("big", size_kb=5000.0)
    d.ask("small", size_kb=50.0)
    assert d.router.counter.count("big") == 100 * d.router.counter.count("small")


def test_parts_have_homes_of_their_own(drive):
    d = drive(members=fleet(6))
    homes = set()
    for part in range(12):
        homes.add(sends(d.ask("video", part=part, after=S))[0].cache)
        d.end(w.Status.SERVED)
    assert len(homes) >= 3


def test_parents_are_first_for_a_share_of_objects_that_follows_their_weight():
    nodes = [Node(w.Member(i, weight)) for i, weight in ((1, 10.0), (2, 30.0))]
    firsts = [rendezvous(f"k{i}", [(n, n.member.weight) for n in nodes])[0].member.cache for i in range(2000)]
    assert 0.7 < firsts.count(2) / 2000 < 0.8


# Where nothing tells sizes and weights, they are learned from answers and reports ------------------------


def hit(drive, key, took, **more):
    drive.ask(key, 200 * MS)
    drive.end(w.Status.SERVED, after=took, note=w.Note.HIT, **more)


def test_sizes_that_nobody_tells_are_learned_of_each_object_and_large_ones_give_way_first(drive):
    office = drive(weights="silent", classes=(make_class(worth=1.0),))
    for _ in range(30):
        hit(office, "small", 10 * MS)
        hit(office, "large", 900 * MS)
        hit(office, "large", 2_000 * MS)  # a crowded link: the least of what was seen stands
    office.ask("large", part=7)
    large = office.router.held[office.id]
    assert 0.9 * S <= large.size_ns <= 1.1 * S and large.sized, "another part of it, never asked for"
    office.ask("small")
    small = office.router.held[office.id]
    assert 9 * MS <= small.size_ns <= 11 * MS and small.rich > 1.0 > large.rich
    office.ask("other")
    assert not office.router.held[office.id].sized
    hit(office, "small", 1 * MS, same=True)  # no bytes came: nothing is learned
    hit(office, "small", 0)
    office.ask("small")
    assert office.router.held[office.id].size_ns >= 9 * MS


def test_sizes_are_kept_for_so_many_objects_only():
    sizes = Sizes(most=8)
    for i in range(100):
        sizes.saw(f"o{i}", 5.0)
        sizes.saw("known", 7.0)
    assert len(sizes) == 8 and sizes.guess("known") == 7.0 and sizes.guess("o1") is None


def test_a_store_whose_reports_show_that_it_bears_more_is_given_more_and_broken_reports_tell_nothing(drive):
    """A limit that starts low, as weights tell nothing, would hold a large store back for long."""
    office = drive(weights="silent", report_fields=("active", "cpu", "x0", "x1"), classes=(make_class(),))
    first = max(n.limit for n in office.router.caches)
    for report in ((None, 0.5), (40.0,), (), (1.0, 0.01), (40.0, None)):
        hit(office, "a", 10 * MS, report=report)
    assert not any(n.bears for n in office.router.caches)
    hit(office, "a", 10 * MS, report=(40.0, 0.4, 0.0, 0.0))
    assert max(n.bears for n in office.router.caches) == 50.0 > 2 * first
    acts = [office.ask("a") for _ in range(40)]
    assert sum(bool(sends(a)) for a in acts) == 40
