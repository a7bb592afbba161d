"""Routers in a fleet of about forty gateways, each of which sends few requests to most stores."""

import heapq
import math
from random import Random

import pytest
from conftest import MS, RouterDriver, S, finals, fleet, make_class, member, sends

from olivecourse import interface

SLOW, QUICK = 3 * S, 100 * MS  # durations of fills


def router_in_large_fleet(drive, routers_in_zone=7, **overrides):
    """A driver of a router in a zone of seven, in a fleet of forty."""
    return drive(fleet(), routers=40, zone_routers=(0, routers_in_zone), **overrides)


def send_miss(d, key, after, origin_wait_ns=50 * MS):
    """Sends a read that no store holds; the origin fills it unless the router only asks a parent for a
    copy."""
    actions = sends(d.send_request(key, size_kb=300.0))
    if d.router.attempts[d.id, 0][1].parent_only:
        assert actions[0].source == actions[0].cache or actions[0].how & interface.How.HELD_ONLY
        d.end_attempt(interface.Status.MISS, note=interface.Note.SOURCE_LACKS)
    else:
        d.end_attempt(
            interface.Status.SERVED,
            after=after,
            note=interface.Note.FILLED_BY_ORIGIN,
            source_wait_ns=origin_wait_ns,
        )


def test_an_overdue_fill_counts_as_late_before_it_ends(drive):
    d = router_in_large_fleet(drive, classes=(make_class(deadline_ns=6 * S),))
    for i in range(4):
        d.send_request(f"slow{i}", size_kb=300.0)
    d.event(interface.TimerFired(0), after=1 * S)  # every fill is past its latency target, and none has ended
    share_before_end = d.router.fill_shares[0]
    assert share_before_end < 0.5
    for request, attempt in list(d.router.attempts):
        d.end_attempt(
            interface.Status.SERVED, attempt, request=request, after=MS, note=interface.Note.FILLED_BY_ORIGIN
        )
    assert d.router.fill_shares[0] == share_before_end  # no fill is counted twice


def test_fills_resume_after_a_few_timely_ones_when_the_source_has_recovered(drive):
    d = router_in_large_fleet(drive)
    for i in range(24):
        send_miss(d, f"slow{i}", SLOW)
    assert d.router.fill_shares[0] < 0.2
    for i in range(60):  # each gateway fills rarely at first: five requests per second, twelve seconds
        send_miss(d, f"quick{i}", QUICK)
        if d.router.fill_shares[0] >= 1.0:
            break
    assert i < 30, "a gateway that sees few fills must not refuse for long after the source has recovered"


def test_fills_are_limited_while_a_third_of_them_are_late(drive):
    d = router_in_large_fleet(drive)
    limited_count = 0
    for i in range(300):
        send_miss(d, f"mixed{i}", SLOW if i % 3 == 0 else QUICK)
        limited_count += d.router.fill_shares[0] < 1.0
    assert limited_count > 150
    assert sends(d.send_request("next", size_kb=300.0))


def test_copies_at_parents_are_used_while_fills_from_the_origin_are_limited(drive):
    d = router_in_large_fleet(drive, notes="all")
    for i in range(24):
        send_miss(d, f"slow{i}", SLOW)
    before, served, refused = d.router.fill_shares[0], 0, 0
    for i in range(40):
        (action,) = sends(d.send_request(f"n{i}", size_kb=300.0))
        if not action.how & interface.How.HELD_ONLY:
            d.end_attempt(interface.Status.SERVED, note=interface.Note.HIT)
        elif i % 2:
            d.end_attempt(interface.Status.SERVED, after=QUICK, note=interface.Note.FILLED)
            served += 1
        else:  # refused at once: no second attempt bypasses the parent
            refused += isinstance(
                d.end_attempt(interface.Status.MISS, note=interface.Note.SOURCE_LACKS)[-1], interface.Refuse
            )
    assert served > 10 and refused > 10
    assert d.router.fill_shares[0] == before, "hits at a parent say nothing about the origin"
    assert all(d.router._error_score(n) < 0.3 for n in d.router.parents), "a miss is not an error"


def test_a_failed_parent_does_not_limit_fills(drive):
    d = router_in_large_fleet(drive, notes="all", max_attempts=8)
    for i in range(20):
        d.send_request(f"k{i}", size_kb=300.0)
        d.end_attempt(interface.Status.ERROR, after=5 * MS, note=interface.Note.SOURCE_UNREACHED)
        d.end_attempt(interface.Status.SERVED, 1, after=QUICK, note=interface.Note.FILLED_BY_ORIGIN)
    assert min(d.router.fill_shares) >= 1.0


def test_fills_resume_after_a_time_without_any_fill(drive):
    d = router_in_large_fleet(drive)
    for i in range(24):
        send_miss(d, f"slow{i}", SLOW)
    assert d.router.fill_shares[0] < 0.2
    for _ in range(70):  # seven seconds without a fill
        d.event(interface.TimerFired(0), after=100 * MS)
    assert d.router.fill_shares[0] >= 1.0


def test_a_write_goes_to_a_store_with_the_lowest_error_score_and_never_probes(drive):
    write_class = make_class(interface.Effect.AT_MOST_ONCE, write=True, name="order")
    d = router_in_large_fleet(drive, classes=(make_class(), write_class))
    failing_cache = d.router.caches[0]
    for i in range(400):  # reads that succeed elsewhere show that the store is at fault and not the read
        d.send_request(f"k{i}", size_kb=300.0, after=10 * MS)
        for attempt in range(3):
            cache = d.router.attempts[d.id, attempt][2]
            if cache is not failing_cache:
                d.end_attempt(interface.Status.SERVED, attempt, note=interface.Note.HIT)
                break
            d.end_attempt(interface.Status.ERROR, attempt)
    assert d.router._error_score(failing_cache) > 0.5
    for i in range(200):
        (action,) = sends(d.send_request(f"o{i}", cls=1))
        assert action.cache != failing_cache.member.cache
        d.end_attempt(interface.Status.SERVED)


def test_a_late_fill_weighs_more_when_more_gateways_share_the_origin(drive):
    shares = []
    for routers in (4, 40):
        d = drive(fleet(), routers=routers, zone_routers=(0, 1))
        send_miss(d, "slow", SLOW)
        shares.append(d.router.fill_shares[0])
    assert shares[1] < 0.7 * shares[0]


@pytest.mark.parametrize("parent", [False, True])
def test_the_cold_budget_holds_for_the_sum_of_all_gateways_in_every_window(parent):
    """All gateways learn of the cold store at the same time, and all have requests for it."""
    router_count, start = (40 if parent else 7), 100 * S
    cold = member(50, 1, 0, start, weight=20.0) if parent else member(1, 0, 1, start)
    others = [m for m in fleet() if m.cache != cold.cache and (m.kind != 1 or not parent)]
    drives = [
        RouterDriver((*others, cold), seed=seed, routers=40, zone_routers=(0, 7))
        for seed in range(router_count)
    ]
    sent = []
    for step in range(300):  # six seconds of the slow start, with fifty requests per second and gateway
        for number, d in enumerate(drives):
            for action in sends(d.send_request(f"{number}/{step}", after=20 * MS, size_kb=500.0)):
                if cold.cache in (action.cache, action.source):
                    sent.append((d.now, 0.5))  # sending time in seconds
                d.end_attempt(
                    interface.Status.SERVED, request=action.request, after=0, note=interface.Note.FILLED
                )
    settings = drives[0].router.settings
    initial_share, slow_start_ns, budget_multiple = (
        (settings.parent_cold_from, settings.parent_cold_ns, settings.parent_fall_multiple)
        if parent
        else (settings.cold_from, settings.cold_ns, settings.fall_multiple)
    )
    assert len(sent) > 10
    for window_start in range(start, start + 4 * S, 100 * MS):
        work = sum(
            sending_s for at, sending_s in sent if window_start <= at < window_start + settings.fall_ns
        )
        # The store's capacity at the start of the window, as a share of its full capacity.
        capacity_share = initial_share + (1 - initial_share) * (window_start - start) / slow_start_ns
        assert work <= budget_multiple * capacity_share * cold.weight * settings.fall_ns / 1e9, (
            window_start - start,
            work,
        )


@pytest.mark.parametrize("shape", ["steady", "rush"])
@pytest.mark.parametrize("router_count", [20, 30])
@pytest.mark.parametrize("parent", [False, True])
def test_slow_start_holds_for_the_fleet_with_uneven_traffic_and_with_simultaneous_requests(
    parent, router_count, shape
):
    """Every window holds at most N requests by the budget and 2 sqrt(N) + 2 for statistical variation."""
    random, start, work_s = Random(router_count), 100 * S, 0.5
    cold = member(50, 1, 0, start, weight=5.0) if parent else member(1, 0, 1, start, weight=2.0)
    others = [m for m in fleet() if m.cache != cold.cache]
    drives = [
        RouterDriver(
            (*others, cold),
            seed=random.getrandbits(40),
            routers=router_count,
            zone_routers=(0, router_count),
            cold_ns=20 * S,
        )
        for _ in range(router_count)
    ]
    request_probabilities = [random.choice([0.3, 1, 3]) / 10 for _ in drives]
    sent = []
    for at in range(start, start + 12 * S, 20 * MS):
        quiet, rush = (shape == "rush" and at < start + 9 * S + duration for duration in (0, 200 * MS))
        for number, d in enumerate(drives):
            d.now = at
            for n in range(0 if quiet else 2 if rush else random.random() < request_probabilities[number]):
                for action in sends(d.send_request(f"{number}/{at}/{n}", size_kb=500.0)):
                    sent += [at] if cold.cache in (action.cache, action.source) else []
                    d.end_attempt(
                        interface.Status.SERVED, request=action.request, after=0, note=interface.Note.FILLED
                    )
    settings = drives[0].router.settings
    initial_share, slow_start_ns, budget_multiple = (
        (settings.parent_cold_from, settings.parent_cold_ns, settings.parent_fall_multiple)
        if parent
        else (settings.cold_from, settings.cold_ns, settings.fall_multiple)
    )
    assert sent
    for window_start in range(start, start + 10 * S, 50 * MS):
        request_count = sum(window_start <= at < window_start + settings.fall_ns for at in sent)
        capacity_share = initial_share + (1 - initial_share) * (window_start - start) / slow_start_ns
        n = budget_multiple * capacity_share * cold.weight * settings.fall_ns / S / work_s
        assert request_count <= n + 2 * math.sqrt(n) + 2, ((window_start - start) / S, request_count, n)


def test_state_stays_bounded_while_store_ids_are_replaced(drive):
    live_ids = list(range(100, 160))
    d = drive((*map(member, live_ids), *fleet(0)), routers=40, zone_routers=(0, 7))
    r = d.router
    for step in range(200):
        old_id, new_id = live_ids.pop(0), 1000 + step
        live_ids.append(new_id)
        d.update_members([member(old_id, state=interface.State.GONE), member(new_id, ready_at_ns=d.now)])
        d.send_request(f"k{step}", size_kb=300.0, after=50 * MS)
        token = max(r.timers)
        if (d.id, 0) in r.attempts:
            d.end_attempt(interface.Status.SERVED, note=interface.Note.HIT)
        d.event(interface.TimerFired(token))
        d.event(interface.TimerFired(0))
    assert len(r.nodes) == 63 and len(r.caches) == 60
    assert (
        not r.pending_requests
        and not r.timers
        and not r.attempts
        and len(r.timely_fill_streak) <= 2 * len(r.fill_shares)
    )


def lose_answer(d):
    """Lets the answer to a read get lost, while the same cache answers another read."""
    d.send_request("a", size_kb=50.0)
    lost_request, cache = d.id, d.router.attempts[(d.id, 0)][2]
    while True:
        d.send_request(f"k{d.count}", size_kb=50.0)
        node = d.router.attempts[(d.id, 0)][2]
        d.end_attempt(interface.Status.SERVED, note=interface.Note.HIT, after=10 * MS)
        if node is cache:
            break
    token = next(t for t, r in d.router.timers.items() if r == lost_request)
    return finals(d.event(interface.TimerFired(token), after=3 * S))


def early_repeat_timers(actions, d):
    """The timers at which the router checks whether an answer seems lost."""
    return [
        a for a in actions if isinstance(a, interface.SetTimer) and a.token in d.router.lost_response_checks
    ]


def test_a_read_is_repeated_early_once_and_only_after_an_answer_was_lost(drive):
    d = drive()
    assert not early_repeat_timers(d.send_request("x", size_kb=50.0), d), (
        "no read is repeated early before an answer was lost"
    )
    d.end_attempt(interface.Status.SERVED, note=interface.Note.HIT)
    assert len(lose_answer(d)) == 1 and d.router.lost_response_credit > 1.0
    (timer,) = early_repeat_timers(d.send_request("b", size_kb=50.0), d)
    request, (_, held, cache, _) = d.id, d.router.attempts[(d.id, 0)]
    assert held.sending_ns < timer.delay_ns < held.aim - held.sending_ns, (
        "a repeat can still be answered in time"
    )
    cache.last_answer_at = d.now + 1
    (cancel,) = d.event(interface.TimerFired(timer.token), after=timer.delay_ns)
    assert (cancel.request, cancel.attempt) == (request, 0)
    (repeat,) = sends(
        d.end_attempt(interface.Status.CANCELLED, request=request, cache=cache.member.cache, closed=False)
    )
    assert repeat.cache == cache.member.cache and repeat.how & interface.How.JOIN, (
        "the cache holds the copy, or its fill is under way"
    )
    assert not early_repeat_timers([repeat], d) and not d.router.lost_response_checks
    credit_before = d.router.lost_response_credit
    d.end_attempt(interface.Status.SERVED, attempt=1, request=request, note=interface.Note.HIT)
    assert d.router.lost_response_credit == credit_before + 1.0


def test_no_early_repeat_at_silent_caches_or_for_large_reads_or_writes(drive):
    d = drive(classes=(make_class(), make_class(interface.Effect.AT_MOST_ONCE, name="order", write=True)))
    lose_answer(d)
    assert not early_repeat_timers(d.send_request("o", cls=1, size_kb=50.0), d)
    assert not early_repeat_timers(d.send_request("big", size_kb=2_000.0), d), (
        "a repeat of this read could not be answered in time"
    )
    (timer,) = early_repeat_timers(d.send_request("c", size_kb=50.0), d)
    assert d.event(interface.TimerFired(timer.token), after=timer.delay_ns) == [], (
        "the cache has not answered any request since"
    )
    assert not d.router.lost_response_checks


class LoadSimulation:
    """A simulation of reads of uneven sizes at four caches with a limited number of slots each.

    A cache needs the time of the transfer for each read, or twice that time if it is slow, and answers FULL
    to a read for which it has no slot.
    """

    def __init__(self, seed, load, slow=(), broken=(), seconds=30, slots=6):
        self.random, self.heap, self.count = Random(seed), [], 0
        self.drive = RouterDriver(seed=seed, routers=3, zone_routers=(0, 1))
        self.slow, self.broken, self.slots = slow, broken, slots
        self.open = dict.fromkeys(range(1, 5), 0)
        self.asked, self.served = [], set()
        at, end = self.drive.now, self.drive.now + seconds * S
        self.begin = at
        while at < end:
            # In KB, sent at 1,000 KB/s: the mean transfer takes about 0.35 s.
            size = min(self.random.lognormvariate(5.2, 1.2), 3000.0)
            self._push(at, "ask", size)
            at += int(self.random.expovariate(load * 4 * slots / 0.35) * S)
        while self.heap:
            at, _, kind, payload = heapq.heappop(self.heap)
            self.drive.now = at
            actions = (
                self._ask(payload)
                if kind == "ask"
                else self._end(*payload)
                if kind == "end"
                else (self.drive.event(interface.TimerFired(payload)))
            )
            for action in actions:
                self._act(action, at, end)

    def _push(self, at, kind, payload):
        """Schedules an event at the simulated time `at`."""
        self.count += 1
        heapq.heappush(self.heap, (int(at), self.count, kind, payload))

    def _ask(self, size):
        """Passes a read of `size` KB to the router."""
        actions = self.drive.send_request(f"{self.random.paretovariate(0.8):.0f}", size_kb=size)
        self.asked.append((size, self.drive.id))
        return actions

    def _end(self, request, attempt, cache, status, sent):
        """Ends an attempt with `status`."""
        self.open[cache] -= status is not interface.Status.FULL
        if status is interface.Status.SERVED:
            self.served.add(request)
        return self.drive.event(
            interface.AttemptEnded(
                request,
                attempt,
                cache,
                status,
                self.drive.now - sent,
                status is interface.Status.SERVED,
                interface.Note.HIT,
            )
        )

    def _act(self, action, at, end):
        """Carries out an action of the router: sets a timer or simulates the cache's work on an attempt."""
        if isinstance(action, interface.SetTimer) and (action.token or at < end + 5 * S):
            self._push(at + max(action.delay_ns, 0), "timer", action.token)
        if not isinstance(action, interface.ReadThrough):
            return
        held = self.drive.router.pending_requests[action.request]
        in_trouble = at - self.begin > 8 * S
        transfer_ns = held.request.size_kb / 1000 * S * (2 if in_trouble and action.cache in self.slow else 1)
        is_full = self.open[action.cache] >= self.slots
        status = (
            interface.Status.FULL
            if is_full
            else interface.Status.ERROR
            if in_trouble and action.cache in self.broken and self.random.random() < 0.5
            else interface.Status.SERVED
        )
        self.open[action.cache] += not is_full
        duration_ns = 1 * MS if is_full else 20 * MS if status is interface.Status.ERROR else transfer_ns
        if duration_ns > action.timeout_ns:
            status, duration_ns = interface.Status.TIMEOUT, action.timeout_ns
        self._push(
            at + duration_ns, "end", (action.request, held.attempts_sent - 1, action.cache, status, at)
        )

    def share(self, part=None):
        """The share of reads that are answered, among all reads or among the largest `part` of them."""
        asked = sorted(self.asked, reverse=True)
        asked = asked[: int(len(asked) * part)] if part else asked
        return sum(request in self.served for _, request in asked) / len(asked)


SCENARIOS = [
    ("quiet", dict(load=0.45), 2 / 3),
    ("overload", dict(load=1.3), 1 / 2),
    ("troubled", dict(load=0.7, slow=(1,), broken=(2,)), 1 / 2),
]


@pytest.mark.parametrize(
    ("scenario", "min_ratio"),
    [(scenario, least) for _, scenario, least in SCENARIOS],
    ids=[d[0] for d in SCENARIOS],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_the_largest_requests_of_a_class_get_their_share_of_the_answers(scenario, min_ratio, seed):
    simulation = LoadSimulation(seed, **scenario)
    assert len(simulation.asked) > 500 and simulation.share() > 0.3
    for largest_share in (0.1, 0.3):  # the largest tenth and the largest three tenths
        assert simulation.share(largest_share) >= min_ratio * simulation.share(), (
            largest_share,
            simulation.share(largest_share),
            simulation.share(),
        )
