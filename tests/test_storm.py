"""Tests of the limits on retry storms.

Storms must be detected, but not in a flash crowd of first tries; retry attempts must not multiply over
several tiers; the retries of refused clients must be spread evenly; and all gateways together must never send
a cold store more work than its budget.
"""

import heapq
import json
import random

import pytest
from conftest import finals, make_class, sends
from hypothesis import given, settings
from hypothesis import strategies as st
from test_memory import fixed
from test_program import run

from benchmarks.notice import SCENARIOS, run_detector
from olivecourse import interface
from olivecourse.storm.admission import AdmissionController, AdmissionRequest, Aimd, Gradient, Verdict
from olivecourse.storm.budgets import BudgetPolicy, RetryBudgets
from olivecourse.storm.controller import Policy, StormController
from olivecourse.storm.detector import Bin, ShareDetector, StormMonitor
from olivecourse.storm.explain import read
from olivecourse.storm.retry_after import MAX_PENALTY, ComplianceTracker
from olivecourse.storm.retry_schedule import MIN_WAIT_NS, SLOT_NS, RetrySchedule
from olivecourse.storm.retry_tracker import RetryTracker
from olivecourse.storm.slow_start import Escrow, TransferRow, cold_budget

MS, S = 1_000_000, 1_000_000_000


# Detection --------------------------------------------------------------------------------------------


@pytest.mark.parametrize("story", sorted(SCENARIOS))
def test_a_storm_is_detected_within_two_seconds_and_a_flash_crowd_of_first_tries_never(story):
    begins, ends, storm = run_detector(story, ShareDetector(), seed=3)
    if storm is None:
        assert begins == []
    else:
        assert len(begins) == 1 and 0 <= begins[0] - storm[0] <= 2.0, (begins, storm)
        assert len(ends) == 1 and 0 <= ends[0] - storm[1] <= 6.0, (ends, storm)


@fixed
@given(rows=st.lists(st.tuples(st.floats(0, 1e6), st.floats(0, 1e6), st.floats(0, 1e6)), max_size=50))
def test_levels_stay_between_0_and_1_and_begins_and_ends_alternate(rows):
    detector, monitor = ShareDetector(), StormMonitor(ShareDetector(), 0)
    changes = []
    for n, (first, retries, useful) in enumerate(rows):
        detector.add(Bin(first, retries, useful))
        assert 0 <= detector.level() <= 1
        monitor.record_arrival(False, first)
        monitor.record_arrival(True, retries)
        monitor.record_served(useful)
        changes += [c.begins for c in monitor.advance((n + 1) * 100 * MS)]
    assert changes == [n % 2 == 0 for n in range(len(changes))]


def test_unmarked_retries_are_recognised_by_client_and_object_in_bounded_memory():
    tracker = RetryTracker(S, 100)
    assert not tracker.is_retry(1, "a", False, 0) and tracker.is_retry(1, "a", True, 0)
    tracker.failed(1, "a", 0)
    assert not tracker.is_retry(2, "a", False, S // 2) and not tracker.is_retry(1, "b", False, S // 2)
    assert tracker.is_retry(1, "a", False, S // 2)
    assert not tracker.is_retry(1, "a", False, S // 2)  # a request without a failure before it is a first try
    tracker.failed(1, "a", 0)
    assert not tracker.is_retry(1, "a", False, 2 * S)
    for n in range(10_000):
        tracker.failed(n, "a", n)
    assert len(tracker) <= 200


# Budgets -------------------------------------------------------------------------------------------

NAMES = ["class", "store 1", "store 2", "source"]
names = st.lists(st.sampled_from(NAMES), min_size=1, max_size=3, unique=True)


@fixed
@given(steps=st.lists(st.tuples(st.booleans(), names, st.integers(0, 100)), max_size=200))
def test_retry_attempts_are_a_share_of_successes_in_every_bucket(steps):
    policy = BudgetPolicy(0.1, 5.0, 0.5)
    budgets, now = RetryBudgets(policy, 16), 0
    good, spent = dict.fromkeys(NAMES, 0), dict.fromkeys(NAMES, 0)
    for success, concerned, wait in steps:
        now += wait * MS
        if success:
            budgets.succeeded(tuple(concerned), now)
        elif not budgets.spend(tuple(concerned), now):
            concerned = []
        for name in concerned:
            (good if success else spent)[name] += 1
    for name in good:
        assert spent[name] <= policy.burst + policy.share * good[name] + policy.floor_per_s * now / S + 1e-6


def test_three_tiers_of_budgets_do_not_multiply():
    """Every attempt of 1,000 requests fails, and each of three tiers makes up to three attempts."""

    def tier(below, budgets):
        def call(now):
            tries = 0
            for attempt in range(3):
                if attempt and not budgets.spend(("all",), now):
                    break
                tries += below(now)
            return tries

        return call

    def bottom(now):
        return 1

    limited, unlimited = bottom, bottom
    for _ in range(3):
        limited = tier(limited, RetryBudgets(BudgetPolicy(0.1, 10, 0.5), 4))
        unlimited = tier(unlimited, RetryBudgets(BudgetPolicy(1.0, 1e9, 0), 4))
    amplified = [sum(call(n * 10 * MS) for n in range(1000)) / 1000 for call in (limited, unlimited)]
    assert amplified[0] < 1.2 and amplified[1] == 27


# Retry times ---------------------------------------------------------------------------------------


@settings(fixed, max_examples=60)
@given(per_s=st.floats(0, 400), count=st.integers(1, 400), seed=st.integers(0, 99))
def test_no_more_retries_are_reserved_than_can_be_served_and_no_wait_is_zero_or_too_long(per_s, count, seed):
    schedule = RetrySchedule(S, random.Random(seed).random)
    schedule.set_capacity(per_s)
    waits, now = [], 12_345
    for _ in range(count):
        before = schedule.overflowed
        waits.append(schedule.reserve(now))
        assert MIN_WAIT_NS <= waits[-1] <= S
        if schedule.overflowed == before:
            reserved = schedule.reservations(now)
            assert sum(reserved) <= max(per_s, 1) * (S + SLOT_NS) / 1e9 + 1
    if count < per_s * 0.9:
        assert not schedule.overflowed and max(schedule.reservations(now)) <= max(schedule.slot_capacity, 1)
    if per_s == 0:
        assert schedule.overflowed == count and min(waits) >= S // 2 - 2 * SLOT_NS


def test_retries_of_many_clients_refused_at_once_are_spread_evenly():
    schedule, now = RetrySchedule(S, random.Random(1).random), 0
    schedule.set_capacity(900)
    at = []
    for _ in range(800):
        at.append(now + schedule.reserve(now))
    bins = [sum(1 for t in at if n * 100 * MS <= t < (n + 1) * 100 * MS) for n in range(10)]
    assert max(bins) <= 1.3 * sum(bins) / 9, bins


def test_a_client_that_ignores_retry_after_loses_weight_and_regains_it_once_it_complies():
    compliance = ComplianceTracker(100)
    now = 0
    for _ in range(20):  # the client retries at once, each time
        compliance.record_refusal(1, now + S)
        now += MS
        weight = compliance.record_request(1, now)
    assert weight == pytest.approx(1 - MAX_PENALTY)
    for _ in range(4):
        compliance.record_refusal(1, now + S)
        now += S
        weight = compliance.record_request(1, now)
    assert weight > 0.9 and compliance.record_request(2, now) == 1.0
    for n in range(1000):
        compliance.record_refusal(n, now)
    assert len(compliance) <= 100


# Admission -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("make_limiter", [lambda: Aimd(100 * MS), Gradient])
def test_limits_find_the_capacity_of_a_server_and_recover_after_congestion(make_limiter):
    """The server runs 20 requests at a time, 50 ms each; further open requests wait."""
    limiter = make_limiter()

    def serve(capacity, steps, now):
        for n in range(steps):
            in_flight = int(limiter.limit)
            work = 50 * MS
            wait = max(in_flight - capacity, 0) / capacity * work
            limiter.sample(wait, in_flight, False, now + n * 5 * MS)
        return now + steps * 5 * MS

    now = serve(20, 6000, 0)
    assert 15 <= limiter.limit <= 120, limiter.limit
    now = serve(2, 3000, now)
    congested = limiter.limit
    serve(20, 6000, now)
    assert congested <= 40 and limiter.limit > congested and limiter.limit <= 120


def test_writes_come_first_retries_and_noncompliant_clients_last_and_late_requests_are_rejected():
    admission = AdmissionController(Aimd(100 * MS, start=100.0))
    request = AdmissionRequest(1.0, 50 * MS, 1000 * MS)
    for n in range(400):
        admission.admit(AdmissionRequest(1.0 + n % 2, 50 * MS, 1000 * MS, retry=n % 4 > 1), 0)
    assert admission.admit(AdmissionRequest(1.0, 50 * MS, 40 * MS), 0) is Verdict.LATE
    assert admission.admit(request, 20) is Verdict.ADMIT and admission.admit(request, 100) is Verdict.CROWDED
    assert admission.admit(AdmissionRequest(3.0, 50 * MS, S, write=True), 110) is Verdict.ADMIT
    assert admission.admit(AdmissionRequest(3.0, 50 * MS, S, write=True), 125) is Verdict.CROWDED

    def share(**more):
        return max(
            n
            for n in range(100)
            if admission.admit(AdmissionRequest(2.0, 50 * MS, S, **more), n) is Verdict.ADMIT
        )

    assert share() > share(retry=True) and share() > share(weight=0.25)
    admission.ended(900 * MS, 50, True, 0)
    for _ in range(100):
        admission.ended(900 * MS, 50, True, S)
    assert (
        admission.admit(request, 0) is Verdict.ADMIT
        or admission.admit(AdmissionRequest(1.0, 200 * MS, S), 0) is Verdict.LATE
    )


# The controller on a model of an office whose server recovers -----------------------------------------------


class Office:
    """300 clients that retry until they are served, and a server of 100 requests a second.

    The server works in order of arrival, also for clients that have left, and stops from 15 s to 20 s.
    """

    def __init__(self, with_controller, ignores_retry_after, seed=5, marked=True):
        self.random, self.ignores_retry_after, self.marked = random.Random(seed), ignores_retry_after, marked
        classes = (interface.RequestClass("read", 300 * MS, 0.0, S, effect=interface.Effect.IDEMPOTENT),)
        router_settings = interface.Settings(classes=classes, retry_after=True, max_retry_after_ns=S)
        self.controller = (
            StormController(Policy(), router_settings, 0, self.random.random) if with_controller else None
        )
        self.queue, self.open, self.good = [], {}, [0] * 400
        self.due = [(self.random.randrange(5 * S), c, 0) for c in range(300)]
        self.logged, self.count, self.longest_queue = [], 0, 0

    def play(self, seconds):
        heapq.heapify(self.due)
        for now in range(0, seconds * S, 10 * MS):
            while self.due and self.due[0][0] <= now:
                _, client, tries = heapq.heappop(self.due)
                self.send_request(client, tries, now)
            for name, (client, tries, since) in list(self.open.items()):
                if now - since >= S:
                    self.end(name, now, interface.ClientLeft(name))
                    heapq.heappush(self.due, (now, client, tries + 1))  # the client retries at once
            if self.queue and not 15 * S <= now < 20 * S:
                name = self.queue.pop(0)
                if name in self.open:
                    client, _, since = self.open[name]
                    self.good[now // S] += 1
                    self.end(
                        name,
                        now,
                        interface.AttemptEnded(name, 0, 1, interface.Status.SERVED, now - since, True),
                    )
                    heapq.heappush(self.due, (now + int(self.random.expovariate(1 / (5 * S))), client, 0))
            if self.controller is not None:
                self.logged += self.controller.on_actions([], now)
        return self.good

    def send_request(self, client, tries, now):
        self.count += 1
        request = interface.Request(
            f"r{self.count}",
            0,
            object=f"o{client}",
            client=client,
            flags=interface.Flag(2 if tries and self.marked else 0),
        )
        if self.controller is not None:
            self.controller.on_event(request, now)
            if not self.controller.admit(request, 10 * MS, S, len(self.open)):
                wait = self.controller.retry_after_ns(request, S)
                self.controller.on_actions([interface.Refuse(request.request, wait)], now)
                heapq.heappush(
                    self.due, (now + (10 * MS if self.ignores_retry_after else wait), client, tries + 1)
                )
                return
        self.open[request.request] = (client, tries, now)
        self.queue.append(request.request)
        self.longest_queue = max(self.longest_queue, len(self.queue))

    def end(self, name, now, event):
        del self.open[name]
        if self.controller is not None:
            self.controller.on_event(event, now)


def recovered(good, before):
    """Seconds from the end of the outage until the rate of served requests stays at `before`, or None.

    The rate is a mean over 5 s and may be 15 % lower than before: of 300 requests served in 5 s, one in ten
    more or fewer is random variation.
    """
    for s in range(20, 45):
        if all(sum(good[t : t + 5]) / 5 >= 0.85 * before for t in range(s, 46)):
            return s - 20
    return None


def test_service_recovers_after_an_outage_with_the_controller_and_stays_down_without_it():
    without = Office(False, False).play(50)
    before = sum(without[8:15]) / 7
    assert before > 50 and recovered(without, before) is None and sum(without[40:50]) < 0.2 * 10 * before
    for ignores, marked, max_s in ((False, True, 10), (True, True, 15), (True, False, 15)):
        office = Office(True, ignores, marked=marked)
        took = recovered(office.play(50), before)
        assert took is not None and took <= max_s, (ignores, took, office.good[:50])
        texts = [a.text for a in office.logged]
        assert texts[0].startswith("storm begins") and texts[-1].startswith("storm ends")


def test_clients_that_honour_retry_after_are_served_no_less_than_clients_that_ignore_it():
    """Half of the clients ignore Retry-After; they are served, but not more often than the other half."""
    office = Office(True, False)
    served = [0, 0]
    end = office.end

    def count_served(name, now, event):
        if isinstance(event, interface.AttemptEnded) and 20 * S <= now < 24 * S:
            served[office.open[name][0] % 2] += 1
        end(name, now, event)

    office.end = count_served
    send_request = office.send_request

    def half_noncompliant(client, tries, now):
        office.ignores_retry_after = client % 2 == 1
        send_request(client, tries, now)

    office.send_request = half_noncompliant
    office.play(26)
    assert min(served) > 0 and served[0] >= served[1], served


def test_the_controller_limits_nothing_without_a_storm():
    controller = Office(True, False).controller
    for n in range(3000):
        request = interface.Request(f"r{n}", 0, object="o")
        controller.on_event(request, n * 10 * MS)
        assert (
            controller.admit(request, 10 * MS, S, 5)
            and controller.may_retry(request, 1, 2)
            and controller.retry_after_ns(request, S) == S
        )
        controller.on_event(
            interface.AttemptEnded(request.request, 0, 1, interface.Status.SERVED, MS, True), n * 10 * MS + MS
        )
        assert controller.on_actions([], n * 10 * MS + MS) == [] and not controller._open


def test_the_router_asks_its_limits_and_a_write_is_refused_only_before_it_ran(drive):
    class StubLimits:
        def __init__(self):
            self.admits = True

        def admit(self, ask, cost_ns, left_ns, open_):
            return self.admits

        def may_retry(self, ask, cache, source):
            return False

        def retry_after_ns(self, ask, longest_ns):
            return 123 * MS

    d = drive(classes=(make_class(), make_class(interface.Effect.AT_MOST_ONCE, write=True)))
    d.router.limits = limits = StubLimits()
    d.send_request("a")
    (refused,) = finals(d.end_attempt(interface.Status.ERROR, closed=False))
    assert refused == interface.Refuse(d.id, 123 * MS)
    d.send_request("b", cls=1)
    (failed,) = finals(d.end_attempt(interface.Status.ERROR, closed=False))
    assert isinstance(failed, interface.Fail)  # the write may have run
    limits.admits = False
    acts = d.send_request("c", cls=1)
    assert finals(acts) == [interface.Refuse(d.id, 123 * MS)] and not sends(acts)


def test_storms_explain_reports_for_each_storm_what_was_limited_and_what_preceded_it(tmp_path):
    office = Office(True, False)
    office.play(50)
    lines = [
        {"event": "ready", "gateway": "n1", "timestamp": "t0", "stores": 3},
        {"event": "store_connection_lost", "gateway": "n1", "timestamp": "t1", "store": "s-1", "out": 9},
    ]
    lines += [
        {"event": "module", "gateway": "n1", "timestamp": f"t{n + 2}", "text": a.text}
        for n, a in enumerate(office.logged)
    ]
    lines.append({"event": "module", "gateway": "n2", "timestamp": "t9", "text": office.logged[0].text})
    log = tmp_path / "log"
    log.write_text("\n".join(map(json.dumps, lines)) + "\nTraceback: no line of ours\n")
    first, second = (found := read(log.open())).storms
    assert found.unread == 1 and (first.began, first.ended, second.ended) == ("t2", "t3", "")
    assert first.rejected["crowded"] == office.controller.rejected["crowded"] > 100 and first.level >= 0.3
    assert "store_connection_lost store=s-1 out=9" in first.preceding
    done = run("storms", "explain", str(log))
    assert done.returncode == 0 and "2 storms" in done.stdout and "still on" in done.stdout
    assert run("storms", "explain", str(tmp_path / "none")).returncode == 2


# Slow start ---------------------------------------------------------------------------------------------


@settings(fixed, max_examples=300)
@given(data=st.data(), gateways=st.integers(2, 4))
def test_all_gateways_together_never_overspend_on_an_unreliable_network(data, gateways):
    """Rows are lost, repeated, up to 1.5 s late and out of order, and gateways restart at any time."""
    total = cold_budget(0.16, 15 * S, 2.5, 8.0, 0.5, 0)
    now, spent = 0, 0.0
    nodes = [Escrow(i, gateways, total, 0) for i in range(gateways)]
    in_transit = []
    for _ in range(data.draw(st.integers(5, 40))):
        now += data.draw(st.integers(1, 800)) * MS
        gateway = data.draw(st.integers(0, gateways - 1))
        action = data.draw(st.sampled_from(["take", "take", "send", "send", "receive", "receive", "restart"]))
        in_transit = [(at, row) for at, row in in_transit if now - at < 1500 * MS]
        if action == "take":
            while nodes[gateway].take(1.0, now):
                spent += 1.0
        elif action == "send":
            in_transit.append((now, nodes[gateway].transfer(now, 0.0)))
        elif action == "receive" and in_transit:
            _, row = in_transit[data.draw(st.integers(0, len(in_transit) - 1))]
            nodes[gateway].merge(row, now)
            if row.sender != gateway:
                nodes[row.sender].restore(nodes[gateway].copy_of(row.sender))
        elif action == "restart":
            nodes[gateway] = Escrow(gateway, gateways, total, now, restarted=True)
        assert spent <= total(now) + 1e-6, (spent, total(now))


def test_budget_that_other_gateways_do_not_need_is_transferred_to_the_gateway_that_does():
    total = cold_budget(0.16, 15 * S, 2.5, 8.0, 0.5, 0)
    nodes, now, spent = [Escrow(i, 4, total, 0) for i in range(4)], 0, 0.0
    for _ in range(400):
        now += 20 * MS
        while nodes[0].take(0.05, now):
            spent += 0.05
        rows = [n.transfer(now, 0.0) for n in nodes]
        for node in nodes:
            for row in rows:
                node.merge(row, now)
    assert 0.8 * total(now) < spent <= total(now)
    nodes[0].merge(TransferRow(1, (float("nan"),) * 4, True), now)
    nodes[0].merge(TransferRow(9, (0.0,) * 4, True), now)
    nodes[0].merge(TransferRow(1, (0.0,) * 3, True), now)
    assert nodes[0].allowance(now) < 5
