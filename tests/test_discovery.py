"""Discovery in bulk: purges by the ten thousand, answers too long to hold, and how often it is asked."""

import time

import pytest
from stage import Stage

from olivecourse import interface as w
from olivecourse.purge_table import GROUPS, PurgeTable

MS = 1_000_000
S = 1_000 * MS


@pytest.fixture
def stage(request):
    made = Stage(**getattr(request, "param", {}))
    yield made
    made.close()


def with_board(test):
    return pytest.mark.parametrize("stage", [{"board": True}], indirect=True)(test)


def purges(first, count, ms):
    """Numbered events, each of which purges an object of its own."""
    return [{"rev": n, "flush": {"asset": f"{n:016x}", "ms": ms}} for n in range(first, first + count)]


def processor_time(call):
    began = time.process_time()
    call()
    return time.process_time() - began


# Bulk purges ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("stage", [{}, {"planner": "/nonexistent/planner"}], indirect=True)
def test_the_ten_thousandth_purge_costs_what_the_first_did(stage):
    gateway, made = stage.gateway, int(time.time() * 1000)

    def take(first):
        for event in purges(first, 2_000, made):
            gateway.on_events([event])

    early = processor_time(lambda: take(2))
    gateway.on_events(purges(2_002, 12_000, made))
    assert processor_time(lambda: take(14_002)) < 10 * early + 0.05


def test_the_bounds_of_a_purge_are_the_strictest_told_until_they_expire():
    table = PurgeTable()
    table.add("a", 100, 900, 100)
    table.add(7, 300, 1_100, 300)
    table.add("a", 50, 1_110, 310)
    assert table["a"] == (100, 1_110) and table.find("a", 7) == [100, 300] and table.find("b", 8) == []
    table.expire(1_099)
    assert 7 in table
    table.expire(1_100)
    assert "a" in table and 7 not in table
    table.expire(1_110)
    assert not len(table) and table.find("a", 7) == []


def test_beyond_its_bound_a_table_lets_go_first_of_what_had_settled_before_it_was_told():
    table = PurgeTable(keep=10, max_with_settled=4, max_unsettled=6)
    table.add("fresh", 1_000, 7_000, 1_000)
    for n in range(8):
        table.add(n, 10, 7_000, 1_000, settled=True)
    assert len(table) == 4 and "fresh" in table and 7 in table and 4 not in table
    assert (table.settled_dropped, table.folded, table.floor) == (5, 0, None)


def test_unsettled_purges_beyond_the_bound_bind_every_object_and_none_is_forgotten():
    table = PurgeTable(max_unsettled=3)
    for n in range(5):
        table.add(f"{n}", 1_000 + n, 7_000 + n, 1_000 + n)
    assert table.folded == 2 and table.floor == (1_001, 7_001)
    assert table.find("0", None) == [1_001] and table.find("4", None) == [1_004, 1_001]
    listed = dict(table.items())
    assert all(listed[group] == (1_001, 7_001) for group in range(GROUPS)) and listed["4"] == (1_004, 7_004)
    table.expire(7_001)
    assert table.floor is None and "2" in table


def test_expired_purges_leave_as_new_ones_come():
    table = PurgeTable(keep=2)
    for n in range(1_000):
        table.add(n, n, n + 5, n)
        assert len(table) <= 7
    assert table.settled_dropped == table.folded == 0


def test_an_hour_of_purges_told_at_once_is_kept_in_bounded_tables_and_the_unsettled_ones_bind(stage):
    now = int(time.time() * 1000)
    stage.gateway.on_events(purges(2, 20_000, now - 3_600_000))
    stage.gateway.on_events(purges(20_002, 500, now))
    stage.gateway.decide()
    router, ledger = stage.gateway.local.router, stage.gateway.ledger
    for table in (router.purges, ledger.purged):
        assert len(table) <= 16_384 and not table.folded and table.settled_dropped
        assert all(f"{n:016x}" in table for n in range(20_002, 20_502))


def test_a_planner_that_is_found_again_is_told_the_bound_of_every_object(stage):
    told = []
    control = stage.gateway.control
    control._emit = told.append
    control.purges.floor = (stage.gateway.loop.clock.now() - S, stage.gateway.loop.clock.now() + S)
    control.sync_planner()
    assert {event.group for event in told if isinstance(event, w.Purged)} == set(range(GROUPS))
