"""Tests of the parts of relays and discovery clients that do no I/O: parsing of events, the event history and
its folding into a compact state, low-water marks (the event number that all watchers have taken), and
failover to another upstream.
"""

import json
import random
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from olivecourse.discovery.failover import UpstreamSelector, spread_ns
from olivecourse.relay.events import InvalidRelayEvent, parse_event
from olivecourse.relay.history import EventHistory, HistoryLimits, WatcherTooOld
from olivecourse.relay.watermarks import LaggingWatcher, LowWaterMark

MS, S = 1_000_000, 1_000_000_000
NOW_MS = 1_764_576_000_000
NOW = NOW_MS * MS
KEY = "7f3a9c21e0b4d655"


def store(name, phase="Ready", **more):
    return {"id": name, "host_port": "10.0.0.1:80", "phase": phase, **more}


def pool(rev, *members, complete=False, **more):
    return {"rev": rev, "pool": {"revision": rev, "complete": complete, "members": list(members)}, **more}


def purge(rev, key=KEY, ms=NOW_MS):
    kind = "asset" if isinstance(key, str) else "collection"
    return {"rev": rev, "flush": {kind: key, "ms": ms}}


def history(*events, now=NOW, **limits):
    made = EventHistory(HistoryLimits(**limits))
    made.append(events, now)
    return made


class Client:
    """A stand-in for a gateway that polls a history: applies an answer event by event, at most the first
    `cut_after` ones.
    """

    def __init__(self):
        self.rev, self.stores, self.purges = 0, {}, {}

    def poll(self, upstream, now=NOW, cut_after=None):
        body = upstream.since(self.rev, now)
        if body is None:
            return False
        answer = json.loads(body)
        numbers = [event["rev"] for event in answer["notices"]]
        assert numbers == sorted(set(numbers)) and numbers[0] > self.rev
        assert numbers[-1] == answer["rev"] == upstream.revision
        for event in answer["notices"][:cut_after]:
            self.take(event)
        return True

    def take(self, event):
        self.rev = event["rev"]
        if "pool" in event:
            if event["pool"]["complete"]:
                self.stores.clear()
            for member in event["pool"]["members"]:
                self.stores.pop(member["id"], None)
                if member["phase"] != "Gone":
                    self.stores[member["id"]] = member
        if "flush" in event:
            flush = event["flush"]
            key = flush.get("asset", flush.get("collection"))
            self.purges[key] = max(flush["ms"], self.purges.get(key, 0))


def caught_up(upstream, client=None):
    """Lets `client`, or a new one, poll the history `upstream`; returns it, with no later events to get."""
    client = client or Client()
    client.poll(upstream)
    assert not client.poll(upstream)
    return client


# Events


@pytest.mark.parametrize("raw", [None, [], {}, {"rev": "1"}, {"rev": True}, {"rev": 0}, {"rev": 2**63}])
def test_a_value_without_a_valid_number_is_not_an_event(raw):
    with pytest.raises(InvalidRelayEvent):
        parse_event(raw)


@pytest.mark.parametrize(
    "part",
    [
        {"flush": {"asset": "XYZ", "ms": 1}},
        {"flush": {"collection": 1}},
        {"flush": 3},
        {"pool": []},
        {"pool": {"members": {}}},
        {"flush": {"collection": float("inf"), "ms": 1}},
    ],
)
def test_unusable_parts_are_passed_on_and_counted(part):
    made = history(pool(1, complete=True), {"rev": 2, **part})
    assert json.loads(made.since(1, NOW))["notices"] == [{"rev": 2, **part}]
    assert made.counters.unusable == 1


def test_an_invalid_member_does_not_hide_the_others():
    event = parse_event(pool(1, store("a"), {"id": "b"}, 7, store("c", "Paused"), store("d", "Gone")))
    assert [member.name for member in event.pool.members] == ["a", "d"]
    assert event.unusable == 3 and not event.has_unknown


def test_unknown_parts_are_passed_on_untouched_and_counted_when_folded():
    made = history(pool(1, complete=True), {"rev": 2, "later": {"x": [1, None]}}, purge(3), most_events=2)
    assert json.loads(made.since(1, NOW))["notices"][0] == {"rev": 2, "later": {"x": [1, None]}}
    made.append([purge(4)], NOW)
    assert made.counters.unknown_dropped == 1


# History


def test_answers_are_slices_shared_by_all_watchers_that_lack_the_same_events():
    made = history(pool(3, store("a"), complete=True), purge(7), purge(12, 17))
    assert json.loads(made.since(3, NOW)) == {"rev": 12, "notices": [purge(7), purge(12, 17)]}
    assert made.since(7, NOW) is made.since(11, NOW)  # both lack event 12; there are none from 8 to 11
    assert made.since(12, NOW) is None and made.since(40, NOW) is None
    assert json.loads(made.empty_answer()) == {"rev": 12, "notices": []}
    before = made.since(7, NOW)
    made.append([purge(13)], NOW)
    assert made.since(7, NOW) is not before
    assert made.counters.answers_shared == 2 and made.counters.answers_encoded == 3


def test_no_poll_is_answered_before_a_complete_list():
    made = history(purge(5), pool(6, store("a")))
    assert not made.ready and made.since(0, NOW) is None and made.revision == 6
    made.append([pool(9, store("b"), complete=True)], NOW)
    assert made.ready and caught_up(made).stores.keys() == {"b"}


def test_an_upstream_with_lower_numbers_or_no_events_changes_nothing():
    made = history(pool(10, store("a"), complete=True), purge(11))
    result = made.append([pool(2, store("a", "Gone")), purge(11), 5, {"rev": None}], NOW)
    assert (result.taken, result.known, result.invalid) == (0, 2, 2)
    assert made.append([], NOW).taken == 0
    assert made.revision == 11 and caught_up(made).stores.keys() == {"a"}


def test_events_of_one_answer_may_come_in_any_order():
    made = history(purge(9, 3), pool(4, store("a"), complete=True), purge(9, 3), purge(6))
    assert [event["rev"] for event in json.loads(made.since(0, NOW))["notices"]] == [4, 6, 9]
    assert made.counters.known == 1


def test_an_event_nested_too_deeply_is_refused():
    deep = []
    for _ in range(100_000):
        deep = [deep]
    made = history(pool(1, complete=True), {"rev": 2, "x": deep}, purge(3))
    assert made.counters.invalid == 1 and made.revision == 3


def test_a_store_that_left_and_returned_while_a_watcher_was_away_has_its_latest_entry():
    made = history(
        pool(1, store("a", size=1), store("b"), complete=True),
        purge(2),
        pool(3, store("a", "Gone")),
        pool(4, store("a", size=9)),
        pool(5, store("b", "Terminating")),
        purge(6),
        most_events=1,
    )
    client = caught_up(made)
    assert client.stores == {"a": store("a", size=9), "b": store("b", "Terminating")}
    client = Client()
    client.rev, client.stores = 2, {"a": store("a", size=1), "b": store("b"), "gone meanwhile": {}}
    assert caught_up(made, client).stores.keys() == {"a", "b"}


def test_a_watcher_that_has_the_newest_list_change_gets_no_list():
    made = history(pool(1, store("a"), complete=True), purge(2), purge(3, 1), purge(4, 2), most_events=1)
    assert json.loads(made.since(1, NOW))["notices"] == [purge(2), purge(3, 1), purge(4, 2)]


def test_only_the_changed_entries_of_a_folded_list_are_encoded_again(monkeypatch):
    made = history(pool(1, *(store(f"s{i}") for i in range(50)), complete=True), purge(2), most_events=1)
    caught_up(made)
    encoded = []
    monkeypatch.setattr(
        "olivecourse.relay.members.encode_json",
        lambda value: encoded.append(value) or json.dumps(value).encode(),
    )
    made.append([pool(3, store("s7", "Terminating")), purge(4)], NOW)
    assert caught_up(made).stores["s7"]["phase"] == "Terminating"
    made.append([purge(5)], NOW)
    caught_up(made)
    assert [value.get("id", "pool") for value in encoded] == ["s7", "pool"]


def test_a_groups_purge_does_not_replace_an_objects_purge_nor_the_reverse():
    made = history(
        pool(1, complete=True),
        purge(2, KEY),
        purge(3, 17),
        purge(4, KEY),
        purge(5, 17),
        purge(6, "0" * 16),
        most_events=1,
    )
    assert [event["rev"] for event in json.loads(made.since(1, NOW))["notices"]] == [4, 5, 6]
    assert made.counters.purges_superseded == 2


def test_a_later_event_with_an_older_purge_does_not_replace_a_newer_purge():
    made = history(
        pool(1, complete=True), purge(2, ms=NOW_MS), purge(3, ms=NOW_MS - 500), purge(4, 1), most_events=1
    )
    assert caught_up(made).purges[KEY] == NOW_MS


def test_purges_are_retained_for_their_retention_time_and_no_longer():
    made = history(
        pool(1, complete=True),
        purge(2),
        purge(3, 1, ms=NOW_MS + 10**9),
        purge(4, 2),
        most_events=1,
        purge_retention_ns=10 * S,
    )
    made.append([purge(5, 3, ms=NOW_MS - 9_000)], NOW + 9 * S)
    assert caught_up(made).purges.keys() == {KEY, 1, 2, 3}
    made.append(
        [purge(6, 4)], NOW + 10 * S
    )  # the clock of purge 1 is ahead, so the time of its folding counts
    assert caught_up(made).purges.keys() == {4}
    assert made.counters.purges_settled == 4


def test_above_the_limit_on_purges_only_watchers_that_lack_an_evicted_purge_are_refused():
    made = history(
        pool(1, complete=True), *(purge(2 + i, i) for i in range(10)), most_events=1, most_purges=4
    )
    assert made.counters.purges_evicted == 5
    with pytest.raises(WatcherTooOld):
        made.since(5, NOW)
    assert [event["rev"] for event in json.loads(made.since(6, NOW))["notices"]] == [7, 8, 9, 10, 11]
    later = NOW + 60 * S  # no store can hold a copy older than the evicted purges any more
    assert json.loads(made.since(0, later))["rev"] == 11
    assert made.counters.watchers_too_old == 1


def test_a_list_above_the_limit_on_members_is_never_served_as_complete():
    made = history(
        pool(1, *map(store, "abc"), complete=True), purge(2), purge(3), most_events=1, most_members=2
    )
    assert made.counters.members_refused == 1
    with pytest.raises(WatcherTooOld):
        made.since(0, NOW)
    assert made.since(1, NOW) is not None
    made.append([pool(4, store("a"), complete=True), purge(5)], NOW)
    assert caught_up(made).stores.keys() == {"a"}


def test_bytes_events_and_shared_answers_are_bounded():
    made = history(pool(1, complete=True), most_bytes=2_000, most_events=50, purge_retention_ns=0)
    for number in range(2, 5_000):
        made.append([purge(number, number)], NOW)
        assert len(made._run) <= 50 and made._run.size <= 2_000
        made.since(number - 3, NOW)
        made.since(number - 2, NOW)
        assert made._answers_size <= 8_000
    assert len(made._run._numbers) < 2_100 and len(made._purges) == 0
    assert len(made.since(1, NOW)) < 2_100
    made.append(
        [pool(5_000, store("a", note="x" * 9_000))], NOW
    )  # the newest event is kept whatever its length
    assert caught_up(made).stores.keys() == {"a"}


def backlog(count, issued_over_s, most_events=4_096):
    """Returns a history with `count` purges issued over the last `issued_over_s` seconds, and the CPU time in
    seconds that appending them took.
    """
    events = [pool(1, *(store(f"s-{i:08x}") for i in range(1_100)), complete=True)]
    step_ms = issued_over_s * 1_000 / count
    events += [purge(2 + i, f"{i:016x}", ms=NOW_MS - int((count - i) * step_ms)) for i in range(count)]
    made = EventHistory(HistoryLimits(most_events=most_events))
    begun = time.process_time()
    for start in range(0, len(events), 10_000):
        made.append(events[start : start + 10_000], NOW)
    return made, time.process_time() - begun


def test_an_hours_backlog_takes_linear_time_and_leaves_only_unsettled_purges():
    small, small_time = backlog(135_000, 900)
    large, large_time = backlog(540_000, 3_600)
    assert large.revision == 540_001
    assert large_time < 8 * small_time  # 4 if linear; 16 or more if each event rebuilt the history
    body = large.since(0, NOW)
    purge_times = [event["flush"]["ms"] for event in json.loads(body)["notices"] if "flush" in event]
    assert (
        len(purge_times) in (8_999, 9_000) and min(purge_times) > NOW_MS - 60_000
    )  # unsettled: those of the last minute
    assert large.since(10_000, NOW) is large.since(400_000, NOW) and large.since(0, NOW) is body
    assert len(large._purges) + len(large._run) == len(purge_times)


def test_two_hundred_thousand_unsettled_purges_stay_bounded():
    made, _ = backlog(200_000, 1)
    assert len(made._purges) == 65_536 and made.counters.purges_evicted == 200_001 - 4_096 - 65_536 - 1
    with pytest.raises(WatcherTooOld):
        made.since(1, NOW)
    assert made.since(made.revision - 5_000, NOW) is not None


# Watchers that change relays


def test_a_watcher_ahead_of_its_relay_waits():
    ahead = history(pool(1, store("a"), complete=True), purge(2), pool(3, store("a", "Gone")))
    behind = history(pool(1, store("a"), complete=True), purge(2))
    client = caught_up(ahead)
    assert behind.since(client.rev, NOW) is None
    behind.append([pool(3, store("a", "Gone")), purge(4, 1)], NOW)
    assert client.poll(behind) and client.rev == 4 and client.stores == {}


def test_an_answer_cut_off_before_its_list_can_be_continued_at_another_relay():
    events = [
        pool(10, store("a"), store("b"), complete=True),
        pool(20, store("b", "Gone")),
        purge(40),
        pool(50, store("a", "Terminating")),
        purge(60, 1),
        purge(70, 2),
    ]
    folded = history(*events, most_events=1)
    whole = history(*events)
    for cut in range(5):
        client = caught_up(whole, Client())
        client.rev, client.stores, client.purges = 10, {"a": store("a"), "b": store("b")}, {}
        client.poll(folded, cut_after=cut)
        caught_up(whole, client)
        assert client.stores == {"a": store("a", "Terminating")}
        assert client.purges.keys() == {KEY, 1, 2}


def test_a_relay_that_got_a_folded_list_sends_it_to_watchers_within_its_range():
    upper = history(
        pool(10, store("a"), complete=True),
        purge(12),
        pool(50, store("a", "Terminating")),
        purge(60, 1),
        purge(70, 2),
        most_events=1,
    )
    lower = EventHistory(HistoryLimits())
    lower.append(json.loads(upper.since(0, NOW))["notices"], NOW)
    client = Client()
    client.rev, client.stores = 30, {"a": store("a")}
    assert caught_up(lower, client).stores["a"]["phase"] == "Terminating"


def test_a_relay_with_a_short_run_sends_a_folded_list_to_watchers_within_its_range():
    upper = history(
        pool(1, store("a"), complete=True), purge(2), pool(4, store("a", size=9)), pool(7), most_events=1
    )
    lower = history(*json.loads(upper.since(0, NOW))["notices"], most_events=1)
    for number in (2, 3):
        client = Client()
        client.rev, client.stores = number, {"a": store("a")}
        assert caught_up(lower, client).stores["a"]["size"] == 9


def test_a_list_without_a_free_number_is_merged_into_the_last_purges_event():
    both = pool(3, store("a", "Gone"), flush={"collection": 3, "ms": NOW_MS})
    made = history(pool(1, store("a"), store("b"), complete=True), purge(2), both, purge(4, 4), most_events=1)
    client = Client()
    client.rev, client.stores = 1, {"a": store("a"), "b": store("b")}
    caught_up(made, client)
    assert client.stores.keys() == {"b"} and client.purges.keys() == {KEY, 3, 4}


NAMES = st.sampled_from("abcd")
PHASES = st.sampled_from(["Ready", "Terminating", "Gone"])
MEMBERS = st.lists(st.builds(store, NAMES, PHASES, size=st.integers(1, 9)), max_size=3)
PURGES = st.tuples(st.sampled_from([KEY, "0" * 16, 17, 18]), st.integers(NOW_MS - 900, NOW_MS))
BODIES = st.one_of(PURGES, PURGES, MEMBERS, st.tuples(MEMBERS))  # a tuple of members is a complete list


def numbered(bodies, jumps):
    """Returns a complete server list followed by the bodies as events; each event number is above the one
    before by the next of `jumps`.
    """
    rev, events = 1, [pool(1, store("a"), store("b"), complete=True)]
    for body, jump in zip(bodies, jumps, strict=True):
        rev += jump
        if isinstance(body, list):
            events.append(pool(rev, *body))
        elif len(body) == 1:
            events.append(pool(rev, *body[0], complete=True))
        else:
            events.append(purge(rev, *body))
    return events


def state_at(events, rev):
    """Returns a client that has applied every event up to `rev`."""
    client = Client()
    for event in events:
        if event["rev"] <= rev:
            client.take(event)
    return client


@settings(max_examples=300)
@given(st.data())
def test_an_answer_brings_a_watcher_from_any_number_to_the_newest_state(data):
    """Checks the answers of a relay that got every event, and of one that polls it and got answers that were
    compacted or truncated.
    """
    bodies = data.draw(st.lists(BODIES, min_size=1, max_size=30))
    events = numbered(bodies, [1 + i % 3 for i in range(len(bodies))])
    upper, lower = (EventHistory(HistoryLimits(most_events=data.draw(st.integers(1, 9)))) for _ in range(2))
    fed_count = 0
    while fed_count < len(events):
        more = fed_count + data.draw(st.integers(1, 12))
        upper.append(events[fed_count:more], NOW)
        fed_count = more
        feed_from(lower, upper, data.draw(st.integers(0, 12)))
    feed_from(lower, upper, None)
    last = state_at(events, events[-1]["rev"])
    for relay in (upper, lower):
        for rev in range(last.rev):
            client = state_at(events, rev)
            client.rev = rev
            assert client.poll(relay)
            assert (client.rev, client.stores, client.purges) == (last.rev, last.stores, last.purges)


@settings(max_examples=300)
@given(st.data())
def test_a_client_that_changes_relays_ends_in_the_state_of_one_that_got_every_event(data):
    """Two relays with different limits get the events at different paces, a third polls either of them, and
    answers are truncated.
    """
    bodies = data.draw(st.lists(BODIES, min_size=1, max_size=40))
    count = len(bodies)
    jumps = data.draw(st.lists(st.sampled_from([1, 1, 1, 2, 7]), min_size=count, max_size=count))
    events = numbered(bodies, jumps)
    relays = [EventHistory(HistoryLimits(most_events=data.draw(st.integers(1, 12)))) for _ in range(3)]
    fed, clients = [0, 0], [Client(), Client()]
    for _ in range(data.draw(st.integers(0, 30))):
        step = data.draw(st.integers(0, 4))
        if step < 2:
            more = fed[step] + data.draw(st.integers(1, 12))
            relays[step].append(events[fed[step] : more], NOW)
            fed[step] = min(more, len(events))
        elif step == 2:
            feed_from(relays[2], relays[data.draw(st.integers(0, 1))], data.draw(st.integers(0, 20)))
        else:
            upstream = relays[data.draw(st.integers(0, 2))]
            clients[step - 3].poll(upstream, cut_after=data.draw(st.integers(0, 20)))
    for i in (0, 1):
        relays[i].append(events[fed[i] :], NOW)
    feed_from(relays[2], relays[data.draw(st.integers(0, 1))], None)
    reference = Client()
    for event in events:
        reference.take(event)
    for client in clients:
        caught_up(relays[data.draw(st.integers(0, 2))], client)
        assert (client.rev, client.stores, client.purges) == (
            events[-1]["rev"],
            reference.stores,
            reference.purges,
        )


def feed_from(lower, upper, cut_after):
    """Lets the history `lower` poll `upper`; the answer is truncated after `cut_after` events (None: not)."""
    body = upper.since(lower.revision, NOW)
    if body is not None:
        lower.append(json.loads(body)["notices"][:cut_after], NOW)


# Low-water mark


def test_the_mark_is_the_lowest_number_of_the_live_watchers():
    marks = LowWaterMark(lease_ns=10 * S)
    assert marks.mark(0) is None
    for name, revision in (("a", 5), ("b", 7), ("c", 7)):
        assert marks.report(name, revision, 0)
    assert marks.mark(0) == 5 and marks.counted(0) == 3
    marks.report("a", 9, 1 * S)
    assert marks.mark(1 * S) == 7
    marks.report("a", 3, 2 * S)  # a watcher may report a lower number after its restart
    assert marks.mark(2 * S) == 3
    assert marks.behind(8, 2 * S) == [
        LaggingWatcher("a", 3, 2 * S, False),
        LaggingWatcher("b", 7, 0, False),
        LaggingWatcher("c", 7, 0, False),
    ]


def test_a_dead_watcher_holds_the_mark_back_for_a_lease_and_is_then_listed_as_lapsed():
    marks = LowWaterMark(lease_ns=10 * S, lapsed_retention_ns=100 * S)
    marks.report("dead", 5, 0)
    marks.report("live", 9, 0)
    marks.disconnected("dead", 4 * S)  # renews the lease, as the watcher may still serve requests
    marks.disconnected("never seen", 4 * S)
    marks.report("live", 9, 13 * S)
    assert marks.mark(13 * S) == 5
    assert marks.mark(14 * S) == 9 and marks.counted(14 * S) == 1
    assert marks.behind(9, 14 * S) == [LaggingWatcher("dead", 5, 0, True)]
    assert marks.behind(5, 14 * S) == []
    marks.report("dead", 6, 20 * S)  # a lapsed watcher that polls again is live again
    assert marks.mark(20 * S) == 6 and marks.counters.returned == 1
    assert marks.mark(200 * S) is None
    assert marks.behind(10, 200 * S) == [] and marks.counters.lapsed_forgotten == 2


def test_a_relay_that_polls_reports_its_own_mark_and_its_number_of_gateways():
    marks = LowWaterMark(lease_ns=10 * S)
    marks.report("relay", 50, 0, low=30, count=500)
    marks.report("gateway", 40, 0)
    assert marks.mark(0) == 30 and marks.counted(0) == 501
    marks.report("relay", 50, 1, low=60, count=480)  # the mark never exceeds the relay's own number
    assert marks.mark(1) == 40 and marks.counted(1) == 481
    assert marks.counted(10 * S) == 480


def test_there_is_no_mark_in_the_first_lease_after_a_start():
    marks = LowWaterMark(lease_ns=10 * S, started_ns=100 * S)
    marks.report("early", 9, 101 * S)
    assert marks.mark(109 * S) is None and marks.counted(109 * S) == 1
    assert marks.subtree_low(12, 109 * S) == 0
    assert marks.mark(110 * S) == 9
    assert marks.subtree_low(12, 110 * S) == 9 and marks.subtree_low(7, 110 * S) == 7
    assert marks.subtree_low(12, 200 * S) == 12  # all leases have expired: the relay's own number


def test_the_numbers_of_live_and_lapsed_watchers_are_bounded():
    marks = LowWaterMark(lease_ns=10 * S, most_watchers=5, most_lapsed=3)
    assert [marks.report(str(i), i, 0) for i in range(6)] == [True] * 5 + [False]
    assert marks.counters.refused == 1
    assert marks.report("6", 6, 10 * S)  # the other watchers' leases have expired
    assert [entry.name for entry in marks.behind(9, 10 * S)] == ["2", "3", "4", "6"]
    assert marks.counters.lapsed == 5 and marks.counters.lapsed_dropped == 2


def test_a_watcher_that_stays_behind_does_not_make_the_heap_grow():
    marks = LowWaterMark(lease_ns=10 * S)
    for number in range(1, 20_000):
        marks.report("slow", 1, number)
        marks.report("fast", number, number)
        assert marks.mark(number) == 1
    assert len(marks._heap) < 100


@given(st.lists(st.tuples(st.sampled_from("abcde"), st.integers(0, 9), st.integers(0, 4)), max_size=60))
def test_the_mark_agrees_with_the_minimum_over_all_watchers(reports):
    marks, now, heard = LowWaterMark(lease_ns=5), 0, {}
    for name, revision, after in reports:
        now += after
        marks.report(name, revision, now)
        heard[name] = (revision, now)
        live = [held for held, at in heard.values() if at + 5 > now]
        assert marks.mark(now) == min(live) and marks.counted(now) == len(live)


# Failover


def test_a_single_address_is_retried_within_twice_the_shortest_delay_and_backs_off_to_the_longest():
    generator = random.Random(1)
    selector = UpstreamSelector([("a", 1)], generator.random)
    for _ in range(100):
        delays = [selector.failed().delay_ns for _ in range(8)]
        for failures, delay in enumerate(delays):
            assert 20 * MS <= delay <= min(40 * MS * 2**failures, 320 * MS)
        selector.succeeded()
    late = [selector.failed().delay_ns for _ in range(300)]
    assert min(late[8:]) < 50 * MS and max(late) > 290 * MS  # after many failures: from shortest to longest
    assert selector.current == ("a", 1)


def test_every_other_address_is_tried_before_an_address_is_retried():
    addresses = [("a", 1), ("b", 1), ("c", 1), ("b", 1)]
    selector = UpstreamSelector(addresses, random.Random(2).random)
    assert selector.current == ("a", 1)
    assert {selector.failed().address for _ in range(2)} == {("b", 1), ("c", 1)}
    held = selector.current
    assert selector.failed().address != held
    first = [UpstreamSelector(addresses, random.Random(seed).random).failed().address for seed in range(100)]
    assert 25 < first.count(("b", 1)) < 75  # the watchers of a failed relay spread over the others


def test_a_new_configuration_keeps_the_current_upstream_if_it_names_it():
    selector = UpstreamSelector([("a", 1), ("b", 1)], random.Random(3).random)
    selector.failed()
    selector.replace([("c", 1), ("b", 1)])
    assert selector.current == ("b", 1)
    selector.replace([("d", 1)])
    assert selector.current == ("d", 1) and selector.failed().delay_ns <= 40 * MS
    for broken in ([], ()):
        with pytest.raises(ValueError):
            selector.replace(broken)
    with pytest.raises(ValueError):
        UpstreamSelector([("a", 1)], random.random, 30, 20)


def test_the_polls_of_a_failed_relay_spread_over_half_the_grace():
    generator = random.Random(4)
    delays = [spread_ns(generator.random, 300 * MS) for _ in range(7_500)]
    assert 0 <= min(delays) and max(delays) < 150 * MS
    by_10_ms = [sum(1 for delay in delays if delay // (10 * MS) == i) for i in range(15)]
    assert max(by_10_ms) < 1.25 * 7_500 / 15
    assert spread_ns(generator.random, 0) == 0
