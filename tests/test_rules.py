"""Tests of the router's rules at their boundaries, through its events and actions."""

import pytest
from conftest import MS, ORIGIN, PARENTS, S, finals, fleet, make_class, member, sends

from olivecourse import interface


def timers(actions):
    return [a for a in actions if isinstance(a, interface.SetTimer)]


def test_deadline_timer_answers_once_and_late_outcomes_change_nothing(drive):
    driver = drive()
    actions = driver.send_request("a", budget_ns=400 * MS)
    (timer,) = timers(actions)
    assert timer.delay_ns <= 400 * MS
    assert len(finals(driver.event(interface.TimerFired(timer.token), after=timer.delay_ns))) == 1
    assert driver.end_attempt(interface.Status.TIMEOUT, closed=False) == []
    assert driver.event(interface.TimerFired(timer.token)) == []


def test_a_request_without_time_is_answered_at_once(drive):
    driver = drive()
    assert len(finals(driver.send_request("a", budget_ns=0))) == 1


def test_client_may_leave_just_after_its_request_was_answered(drive):
    driver = drive()
    driver.send_request("a")
    driver.end_attempt(interface.Status.SERVED)
    assert driver.event(interface.ClientLeft(driver.id)) == []
    driver.send_request("a")
    driver.event(interface.ClientLeft(driver.id))
    assert driver.end_attempt(interface.Status.ERROR, closed=True) == []


def test_number_of_attempts_is_limited(drive):
    driver = drive(max_attempts=3)
    actions, attempts = driver.send_request("a"), 0
    while sends(actions):
        attempts += 1
        actions = driver.end_attempt(interface.Status.ERROR, attempt=attempts - 1, closed=False)
    assert attempts == 3 and len(finals(actions)) == 1


def test_at_most_once_request_is_retried_only_if_no_attempt_ran(drive):
    driver = drive(classes=(make_class(interface.Effect.AT_MOST_ONCE),))
    driver.send_request("a")
    assert sends(driver.end_attempt(interface.Status.CONNECT_FAILED, closed=False))
    actions = driver.end_attempt(interface.Status.ERROR, attempt=1, closed=False)
    assert not sends(actions) and isinstance(finals(actions)[0], interface.Fail)


def test_deduplicated_request_is_retried_only_within_its_key_window(drive):
    driver = drive(classes=(make_class(interface.Effect.DEDUPLICATED),))
    driver.send_request("a")
    assert sends(driver.end_attempt(interface.Status.ERROR, after=1900 * MS, closed=False))
    driver.send_request("a")
    actions = driver.end_attempt(interface.Status.ERROR, after=2 * S, closed=False)
    assert not sends(actions) and isinstance(finals(actions)[0], interface.Refuse)


@pytest.mark.parametrize("scope", [interface.Scope.CELL, interface.Scope.ZONE])
def test_deduplicated_request_stays_in_its_key_scope_and_fails_instead_of_being_refused(drive, scope):
    members = [member(1, cell=1), member(2, cell=2), *fleet()[4:]]
    driver = drive(members=members, classes=(make_class(interface.Effect.DEDUPLICATED, key_scope=scope),))
    first = sends(driver.send_request("a"))[0].cache
    actions = driver.end_attempt(interface.Status.ERROR, closed=False)
    if scope is interface.Scope.CELL:
        assert {a.cache for a in sends(actions)} <= {first}
    actions = driver.event(interface.TimerFired(max(driver.router.timers)), after=S)
    assert isinstance(finals(actions)[0], interface.Fail)


def test_request_never_has_two_attempts_in_flight(drive):
    driver = drive()
    for _ in range(20):
        driver.send_request("a", after=10 * MS)
    for _ in range(20):
        driver.event(interface.TimerFired(0), after=100 * MS)
    assert all(len(h.in_flight) <= 1 for h in driver.router.pending_requests.values())


@pytest.mark.parametrize("state", [interface.State.DRAINING, interface.State.GONE])
def test_draining_or_gone_nodes_get_no_attempts_and_no_fills(drive, state):
    driver = drive()
    driver.update_members([member(1, state=state), member(PARENTS[0], 1, 0, state=state)])
    for i in range(40):
        for sent in sends(driver.send_request(f"k{i}", after=100 * MS)):
            assert sent.cache != 1 and sent.source != PARENTS[0]
        driver.end_attempt(interface.Status.SERVED)


def test_full_list_removes_missing_caches(drive):
    driver = drive()
    driver.update_members(fleet(3)[1:], interface.ListKind.FULL)
    assert all(sends(driver.send_request(f"k{i}", after=S))[0].cache != 1 for i in range(20))


def cold_work(driver, is_counted, duration_s, sending_s):
    total_s = 0.0
    for i in range(int(duration_s * 100)):
        for sent in sends(driver.send_request(f"k{i}", after=10 * MS)):
            total_s += sending_s if is_counted(sent) else 0.0
            driver.end_attempt(interface.Status.SERVED, note=interface.Note.FILLED)
    return total_s


def test_cold_cache_gets_less_work_than_its_budget(drive):
    driver = drive()
    driver.update_members([member(1, ready_at_ns=driver.now)])
    sending_s = driver.router.mean_sending_ns[0] / S
    work_s = cold_work(driver, lambda a: a.cache == 1, 2, sending_s)
    assert 0 < work_s <= 2.0 * 8.0 * (0.2 + 0.8 * 0.2) * 2


def test_cold_parent_gets_less_work_than_this_routers_share_of_its_budget(drive):
    driver = drive()
    driver.update_members([member(p, 1, 0, ready_at_ns=driver.now, weight=20.0) for p in PARENTS])
    sending_s = driver.router.mean_sending_ns[0] / S
    work_s = cold_work(driver, lambda a: a.source == PARENTS[0], 2, sending_s)
    assert 0 < work_s <= 2.0 * 20.0 * (0.1 + 0.9 * 0.1) * 2 / 3


def test_purge_bounds_the_age_of_copies_until_it_settles(drive):
    driver = drive()
    driver.event(interface.Purged("a", None, 80 * MS))
    driver.event(interface.Purged(None, 5, 10 * MS))
    (sent,) = sends(driver.send_request("a", after=300 * MS))
    assert sent.max_age_ns == 380 * MS and not sent.how & 1  # a fill in progress may carry an older copy
    (sent,) = sends(driver.send_request("b", group=5))
    assert sent.max_age_ns == 310 * MS
    (sent,) = sends(driver.send_request("c", group=6))
    assert sent.max_age_ns == 0 and sent.how & 1
    driver.event(interface.TimerFired(0), after=6 * S)
    assert sends(driver.send_request("a"))[0].max_age_ns == 0


def test_purge_and_freshness_bounds_are_combined(drive):
    driver = drive(classes=(make_class(fresh_ns=200 * MS),))
    driver.event(interface.Purged("a", None, 80 * MS))
    assert sends(driver.send_request("a"))[0].max_age_ns == 80 * MS
    assert sends(driver.send_request("a", after=1 * S))[0].max_age_ns == 200 * MS


def test_repeated_notice_of_an_older_purge_keeps_the_later_bound(drive):
    driver = drive()
    driver.event(interface.Purged("a", None, 0))
    driver.event(interface.Purged("a", None, 900 * MS), after=100 * MS)
    assert sends(driver.send_request("a"))[0].max_age_ns == 100 * MS


def test_request_is_refused_without_caches_in_the_zone(drive):
    driver = drive(members=())
    assert isinstance(finals(driver.send_request("a"))[0], interface.Refuse)
    driver = drive(members=fleet()[4:])
    assert isinstance(finals(driver.send_request("a"))[0], interface.Refuse)


def test_zone_without_caches_uses_a_parent_that_fills_from_the_origin(drive):
    driver = drive(members=fleet()[4:], direct=True)
    (sent,) = sends(driver.send_request("a"))
    assert sent.cache in PARENTS and sent.source == ORIGIN


def test_without_parents_fills_come_from_the_origin(drive):
    driver = drive(members=[*fleet()[:4], fleet()[-1]])
    assert sends(driver.send_request("a"))[0].source == ORIGIN


def test_writes_reach_the_origin_through_a_cache_or_directly(drive):
    write = make_class(interface.Effect.DEDUPLICATED, write=True)
    (sent,) = sends(drive(classes=(write,)).send_request("a"))
    assert sent.cache in (1, 2, 3, 4) and sent.source == ORIGIN and sent.rank == 0
    (sent,) = sends(drive(classes=(write,), direct=True).send_request("a"))
    assert sent.cache == ORIGIN


# Overload and failures ---------------------------------------------------------------------------


def run_requests(driver, status, note, latency, count=60):
    for i in range(count):
        if sends(driver.send_request(f"k{i}", after=50 * MS)):
            driver.end_attempt(status, after=latency, note=note, closed=status is interface.Status.SERVED)


def test_after_late_fills_some_requests_get_only_a_hit_or_a_refusal(drive):
    driver = drive()
    run_requests(driver, interface.Status.SERVED, interface.Note.FILLED, 2 * S)
    assert driver.router.fill_shares[0] < 0.5
    hit_only = [
        a for i in range(40) for a in sends(driver.send_request(f"n{i}", after=S)) if a.source == a.cache
    ]
    assert hit_only
    last_id = driver.id
    for i in range(40):
        (sent,) = sends(driver.send_request(f"m{i}", after=S)) or [None]
        if sent and sent.source == sent.cache:
            break
        driver.end_attempt(interface.Status.SERVED, note=interface.Note.HIT)
    assert driver.id != last_id and isinstance(
        finals(driver.end_attempt(interface.Status.MISS, closed=False))[0], interface.Refuse
    )


def test_late_fills_do_not_lower_cache_limits_and_timely_fills_restore_the_share(drive):
    driver = drive()
    limits_before = [n.limit for n in driver.router.caches]
    run_requests(driver, interface.Status.SERVED, interface.Note.FILLED, 2 * S)
    assert all(n.limit >= before for n, before in zip(driver.router.caches, limits_before, strict=True))
    run_requests(driver, interface.Status.SERVED, interface.Note.FILLED, 20 * MS, 400)
    assert driver.router.fill_shares[0] >= 1.0


def test_slow_refusal_counts_against_the_source_and_fast_one_against_the_cache(drive):
    driver = drive()
    sent = sends(driver.send_request("a"))[0]
    actions = driver.end_attempt(interface.Status.FULL, after=60 * MS, closed=False)
    assert sends(actions)[0].source != sent.source and driver.router.nodes[sent.cache].error_score == 0
    driver.send_request("b")
    node = driver.router.attempts[(driver.id, 0)][2]
    driver.end_attempt(interface.Status.FULL, after=1 * MS, closed=False)
    assert node.error_score > 0


def test_failing_cache_loses_traffic_and_regains_it_gradually(drive):
    driver = drive()
    failing_cache = sends(driver.send_request("a"))[0].cache
    driver.end_attempt(interface.Status.SERVED)
    for i in range(150):
        for sent in sends(driver.send_request(f"k{i}", after=20 * MS)):
            served = sent.cache != failing_cache
            driver.end_attempt(
                interface.Status.SERVED if served else interface.Status.ERROR,
                closed=served,
                note=interface.Note(int(served)),
            )
            if not served:
                driver.end_attempt(interface.Status.SERVED, attempt=1, note=interface.Note.HIT)
    node = driver.router.nodes[failing_cache]
    low_trust = driver.router._trust(node, driver.router.caches)
    assert low_trust < 0.5
    driver.now += 4 * S
    driver.event(interface.TimerFired(0))
    assert low_trust < driver.router._trust(node, driver.router.caches) <= 1.0


def test_attempts_at_a_silent_cache_are_cancelled_after_the_latency_target(drive):
    driver = drive()
    for i in range(12):
        driver.send_request(f"k{i}", after=10 * MS)
    assert not [
        a for a in driver.event(interface.TimerFired(0), after=500 * MS) if isinstance(a, interface.Cancel)
    ]
    assert [
        a for a in driver.event(interface.TimerFired(0), after=1500 * MS) if isinstance(a, interface.Cancel)
    ]


def test_request_beyond_all_limits_is_refused_at_once_with_a_retry_delay(drive):
    driver = drive()
    actions = []
    for i in range(400):
        actions = driver.send_request(f"k{i}", after=1 * MS)
        if finals(actions):
            break
    (refusal,) = finals(actions)
    assert refusal.retry_after_ns > 0 and not sends(actions)


def test_zone_of_failed_caches_is_bypassed_if_allowed(drive):
    driver = drive(direct=True)
    for i in range(60):
        actions, attempt_index = driver.send_request(f"k{i}", after=5 * MS), 0
        while sends(actions) and sends(actions)[0].cache < 50:
            actions, attempt_index = (
                driver.end_attempt(interface.Status.CONNECT_FAILED, attempt=attempt_index, closed=False),
                attempt_index + 1,
            )
        last_actions = actions
        driver.end_attempt(interface.Status.SERVED, attempt=attempt_index) if sends(actions) else None
    actions = last_actions
    assert sends(actions)[0].cache in PARENTS and sends(actions)[0].source == ORIGIN


def test_failed_subscription_is_repeated_after_a_delay(drive):
    driver = drive(ask_discovery=True)
    assert interface.Subscribe(True) in driver.started
    assert driver.event(interface.CacheList(0, interface.ListKind.FAILED)) == []
    assert interface.Subscribe(True) not in driver.event(interface.TimerFired(0), after=100 * MS)
    assert interface.Subscribe(True) in driver.event(interface.TimerFired(0), after=S)
    assert len(driver.router.nodes) == 7  # the earlier list stays in use


def test_each_health_change_is_logged_once(drive):
    driver = drive()
    logs = []
    for i in range(300):
        for sent in sends(driver.send_request(f"k{i}", after=20 * MS)):
            fails, attempt_index, actions = sent.cache == 1 and i < 100, 0, []
            actions = driver.end_attempt(
                interface.Status.CONNECT_FAILED if fails else interface.Status.SERVED,
                closed=not fails,
                note=interface.Note.HIT,
            )
            while sends(actions):
                logs += [a.text for a in actions if isinstance(a, interface.Log)]
                attempt_index += 1
                actions = driver.end_attempt(
                    interface.Status.SERVED, attempt=attempt_index, note=interface.Note.HIT
                )
            logs += [a.text for a in actions if isinstance(a, interface.Log)]
    assert logs[0] == "cache 1 fails" and logs[-1] == "cache 1 serves again" and len(logs) < 12


def test_client_repeats_get_a_smaller_share_of_the_limits(drive):
    driver, accepted = drive(), {}
    for flag in (interface.Flag(0), interface.Flag.REPEAT):
        driver = drive(members=[member(1), *fleet()[4:]])
        accepted[flag] = 0
        while sends(driver.send_request(f"k{accepted[flag]}", flags=flag)):
            accepted[flag] += 1
    assert 0 < accepted[interface.Flag.REPEAT] <= accepted[interface.Flag(0)] * 0.6


def test_slow_source_is_detected_while_attempts_are_unanswered_if_sizes_are_reported(drive):
    for size, detected in ((100.0, True), (None, False)):
        driver = drive()
        source = driver.router.nodes[sends(driver.send_request("a", size_kb=size))[0].source]
        driver.event(interface.TimerFired(0), after=500 * MS)
        assert source.error_score == 0
        driver.event(interface.TimerFired(0), after=700 * MS)
        assert (source.error_score > 0) == detected


def test_without_notes_late_answers_lower_the_fill_share(drive):
    driver = drive(notes="silent")
    run_requests(driver, interface.Status.SERVED, interface.Note.NONE, 2 * S)
    assert driver.router.fill_shares[0] < 0.5
    run_requests(driver, interface.Status.SERVED, interface.Note.NONE, 20 * MS, 400)
    assert driver.router.fill_shares[0] >= 1.0


def test_large_objects_of_unreported_size_do_not_restrict_fills(drive):
    driver = drive()
    for i in range(400):
        driver.send_request(f"k{i}", after=20 * MS)
        driver.end_attempt(
            interface.Status.SERVED, after=(4000 if i % 12 == 0 else 200) * MS, note=interface.Note.HIT
        )
    for i in range(60):
        driver.send_request(f"m{i}", after=20 * MS)
        driver.end_attempt(
            interface.Status.SERVED, after=(3500 if i % 12 == 0 else 200) * MS, note=interface.Note.FILLED
        )
    assert driver.router.fill_shares[0] >= 1.0


@pytest.mark.parametrize("status", [interface.Status.RESET, interface.Status.ERROR])
def test_retry_after_a_lost_response_uses_the_same_cache(drive, status):
    driver = drive()
    first = sends(driver.send_request("a"))[0].cache
    again = sends(driver.end_attempt(status, after=20 * MS, closed=False))[0].cache
    assert (again == first) == (status is interface.Status.RESET)


def test_cache_that_loses_some_responses_keeps_its_traffic_and_a_failed_one_does_not(drive):
    driver = drive()
    for i in range(200):
        sent, n = sends(driver.send_request(f"k{i}", after=50 * MS)), 0
        while sent and n < 2:
            lost = n == 0 and i % 5 == 0
            sent = sends(
                driver.end_attempt(
                    interface.Status.RESET if lost else interface.Status.SERVED,
                    attempt=n,
                    after=50 * MS,
                    note=interface.Note.NONE if lost else interface.Note.HIT,
                )
            )
            n += 1
    assert all(driver.router._trust(n, driver.router.caches) > 0.9 for n in driver.router.caches)
    dead_node = driver.router.caches[0]
    for i in range(100):
        actions, n = driver.send_request(f"d{i}", after=50 * MS), 0
        while sends(actions):
            to_dead = sends(actions)[0].cache == dead_node.member.cache
            status = interface.Status.CONNECT_FAILED if to_dead else interface.Status.SERVED
            actions = driver.end_attempt(status, attempt=n, note=interface.Note(int(not to_dead)))
            n += 1
    assert driver.router._trust(dead_node, driver.router.caches) < 0.5


def cold_work_of_many_routers(drive, parent, seconds, routers=120):
    """Returns the work and attempts that many routers send to one cold node, and the node's budget."""
    drivers = [drive(routers=routers, zone_routers=(0, routers), seed=i) for i in range(routers)]
    total_s, sends_count = 0.0, 0
    for i, driver in enumerate(drivers):
        weight = 20.0 if parent else 8.0
        cold_ids = PARENTS[:1] if parent else (1,)
        driver.update_members(
            [
                member(cache_id, int(parent), int(not parent), ready_at_ns=driver.now, weight=weight)
                for cache_id in cold_ids
            ]
        )
        for number in range(seconds * 4):
            for sent in sends(driver.send_request(f"k{i}.{number}", after=250 * MS)):
                if cold_ids[0] in (sent.cache, sent.source):
                    total_s, sends_count = total_s + driver.router.mean_sending_ns[0] / S, sends_count + 1
                driver.end_attempt(interface.Status.SERVED, note=interface.Note.FILLED)
    floor, ramp = (0.1, 20) if parent else (0.2, 10)
    return total_s, sends_count, 2.0 * weight * (floor + (1 - floor) * seconds / ramp) * seconds


@pytest.mark.parametrize("parent", [False, True])
def test_many_routers_together_stay_within_a_cold_nodes_budget_but_use_it(drive, parent):
    total_s, count, budget = cold_work_of_many_routers(drive, parent, 2)
    assert count >= 4 and total_s <= budget


def test_limits_far_below_one_admit_some_requests(drive):
    driver = drive(zone_routers=(0, 20), routers=20)
    for node in driver.router.caches:
        node.limit = 0.1
    served = 0
    for i in range(200):
        if sends(driver.send_request(f"k{i}", after=S)):
            served += 1
            driver.router.attempts.clear()
            for node in driver.router.caches:
                node.in_flight.clear()
    assert 20 < served < 140


def test_failed_parent_is_avoided_even_if_the_other_parent_has_slow_fills(drive):
    driver = drive()
    first, second = PARENTS
    for cache, score in ((first, 0.95), (second, 0.45)):
        driver.router.nodes[cache].error_score, driver.router.nodes[cache].error_score_at = score, driver.now
    used = set()
    for i in range(40):
        used.add(sends(driver.send_request(f"{i:016x}"))[0].source)
        driver.event(interface.ClientLeft(driver.id))
        driver.end_attempt(interface.Status.CANCELLED)
    assert used == {second}


@pytest.mark.parametrize("status", [interface.Status.CANCELLED, interface.Status.TIMEOUT])
def test_missing_answers_do_not_restrict_fills(drive, status):
    driver = drive()
    for i in range(40):
        driver.send_request(f"{i:016x}")
        driver.event(interface.ClientLeft(driver.id))
        driver.end_attempt(status, after=2 * S)
    assert min(driver.router.fill_shares) > 1.0


def test_request_that_every_store_rejects_is_refused_without_charging_the_stores(drive):
    driver = drive()
    for i in range(8):
        actions, attempts = driver.send_request(f"{i:016x}"), 0
        while sends(actions):
            actions, attempts = (
                driver.end_attempt(interface.Status.ERROR, attempt=attempts, closed=False),
                attempts + 1,
            )
        assert attempts == 3 and isinstance(finals(actions)[0], interface.Refuse)
    assert not any(n.error_score for n in driver.router.nodes.values())


def test_error_is_charged_once_another_cache_has_served_the_request(drive):
    driver = drive()
    driver.send_request()
    (first,) = [n for n in driver.router.nodes.values() if n.in_flight]
    driver.end_attempt(interface.Status.ERROR, closed=False)
    assert not first.error_score
    driver.end_attempt(interface.Status.SERVED, attempt=1)
    assert first.error_score


def test_cold_store_without_weight_is_budgeted_by_the_smallest_reported_capacity_of_its_kind(drive):
    """Guards against assuming a capacity of one transfer for every store of unknown weight.

    With that assumption a zone with two cold stores refused a third of its requests.
    """
    cold, others = member(9, ready_at_ns=100 * S - MS), fleet()
    without_reports, with_reports = (
        drive(members=(*others, cold), weights="silent", report_fields=("active", "cpu")) for _ in range(2)
    )
    for driver in (without_reports, with_reports):
        for i in range(60):
            driver.send_request(f"k{i}", 20 * MS)
            cache = driver.router.attempts[(driver.id, 0)][2].member.cache
            report = (16.0 + cache, 0.5) if driver is with_reports and cache != 9 else None
            driver.end_attempt(interface.Status.SERVED, after=5 * MS, note=interface.Note.HIT, report=report)
        for n in driver.router.nodes.values():
            n.credit, n.credit_at = 0.0, driver.now
    weights = [
        driver.router.reports.min_capacity(cold, driver.router.caches)
        for driver in (without_reports, with_reports)
    ]
    assert weights[0] == 1.0 and 16.0 <= weights[1] <= 20.0, "half of the smallest estimated capacity"
    assert with_reports.router.reports.min_capacity(member(8, kind=7), with_reports.router.caches) == 1.0, (
        "no reports for this kind"
    )


def test_requests_bypass_full_caches_less_often_than_failed_ones(drive):
    """Guards against overload of the zone's link by requests that bypass full caches on a busy day."""

    def bypass_count(full):
        driver = drive(direct=True, weights="silent")
        for n in driver.router.caches:
            n.limit = 0.0 if full else n.limit
            n.error_score, n.error_score_at = (0.0, 0) if full else (1.0, driver.now)
        return sum(
            isinstance(a, interface.ReadThrough) and a.cache in PARENTS
            for i in range(60)
            for a in driver.send_request(f"k{i}")
        )

    assert 0 < bypass_count(full=True) < bypass_count(full=False) / 2
