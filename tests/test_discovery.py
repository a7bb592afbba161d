"""Discovery in bulk: purges by the ten thousand, answers too long to hold, and how often it is asked."""

import json
import time
from types import SimpleNamespace

import pytest
from stage import OBJECT, Stage, member

from olivecourse import interface as w
from olivecourse.discovery.event_stream import (
    MAX_VALUE_CHARS,
    WHOLE_RESPONSE_BYTES,
    EventStreamError,
    EventStreamParser,
    ResponseReader,
)
from olivecourse.discovery.pacing import DEFAULT_GRACE_NS, PollPacer
from olivecourse.emulator.observer import Observer
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


# Answers as streams --------------------------------------------------------------------------------

ANSWERS = [
    '{"rev":12,"notices":[{"rev":11,"flush":{"asset":"é\\u00e9\\"]}","ms":5}},{"rev":12}]}',
    ' { "more" : [1, {"notices": [7]}], "notices"\n:[ {"rev": 3} ,\t7, "x", null, [] ] '
    ', "x":-1.5e+3,"rev" : 12 }\r\n',
    '\ufeff{"notices":[],"rev":12}',
]


def parse(*chunks):
    parser = EventStreamParser()
    events = [event for chunk in chunks for event in parser.feed(chunk)]
    return events, parser.finish()


@pytest.mark.parametrize("answer", ANSWERS)
def test_an_answer_may_be_cut_at_every_byte(answer):
    data = answer.encode()
    whole = json.loads(data)
    expected = (whole["notices"], whole["rev"])
    for cut in range(len(data) + 1):
        assert parse(data[:cut], data[cut:]) == expected
    assert parse(*(bytes([byte]) for byte in data)) == expected


@pytest.mark.parametrize(
    "rest",
    [
        b"",
        b"]",
        b",]}",
        b',{"rev":3]',
        b"{}]}",
        b',"' + b"x" * 2**21,
        b"," + b"[" * 100_000,
        b"," + b" " * 2**21,
        b",\xff",
        b"," + b"9" * 5_000 + b"]}",
        b'],"x":' + b"[1" * 20 + b"}}",
        b'],"rev":"soon"}',
        b'],"rev":1e999}',
        b'],"rev":3}x',
        b'],"rev":3,}',
        b"],7:8}",
    ],
)
def test_of_an_answer_that_cannot_be_read_all_whole_events_come_and_nothing_beyond(rest):
    parser, events = EventStreamParser(), []
    data = b'{"notices":[{"rev":1},{"rev":2}' + rest
    for start in range(0, len(data), 4096):
        events += parser.feed(data[start : start + 4096])
    assert events == [{"rev": 1}, {"rev": 2}]
    with pytest.raises(EventStreamError):
        parser.finish()
    assert len(parser._text) <= MAX_VALUE_CHARS and parser.feed(b'{"rev":4}') == []


@pytest.mark.parametrize(
    "data", [b"[]", b"7", b'{"rev":1}', b'{"notices":{},"rev":1}', b'{"notices":[]}', b""]
)
def test_what_is_no_answer_is_an_error(data):
    with pytest.raises(EventStreamError):
        parse(data)


def test_a_list_of_all_servers_is_one_event_and_a_larger_one_than_any_is_an_error():
    servers = [member(f"s-{n:08x}", "10.0.0.1:1") for n in range(1_100)]
    event = {"rev": 1, "pool": {"revision": 1, "complete": True, "members": servers}}
    data = json.dumps({"rev": 1, "notices": [event]}).encode()
    assert len(data) > 160_000
    assert parse(*(data[n : n + 4096] for n in range(0, len(data), 4096))) == ([event], 1)
    event["pool"]["members"] = servers * 7
    with pytest.raises(EventStreamError):
        data = json.dumps({"rev": 1, "notices": [event]}).encode()
        parse(*(data[n : n + 4096] for n in range(0, len(data), 4096)))


def test_a_short_answer_is_taken_sorted_and_as_a_whole_or_not_at_all():
    reader = ResponseReader(2)
    assert reader.feed(b'{"rev":5,"notices":[{"rev":5},{"rev":2},{"rev":4}') == []
    assert reader.feed(b"]}") == [] and reader.finish() == [{"rev": 4}, {"rev": 5}]
    assert (reader.rev, reader.revision, reader.empty) == (5, 5, False)
    for bad in (b'{"rev":5,"notices":[{"rev":5},{"rev":6}', b'{"rev":5,"notices":[{"rev":5},{}]}'):
        reader = ResponseReader(2)
        assert reader.feed(bad) == [] and reader.finish() == [] and reader.error


def test_of_a_long_answer_each_event_above_the_last_is_taken_once_as_it_comes():
    reader, got = ResponseReader(10), []
    rows = json.dumps(purges(1, 3_000, 5) + purges(2_900, 300, 5))[:-1].encode()
    assert len(rows) > WHOLE_RESPONSE_BYTES
    for start in range(0, len(rows), 4096):
        got += reader.feed((b'{"rev":9,"notices":' if not start else b"") + rows[start : start + 4096])
    assert [event["rev"] for event in got] == list(range(11, 3_200))
    assert reader.feed(b',{"rev":3200},{},{"rev":3201}') == [{"rev": 3_200}]
    assert reader.error and reader.feed(b"]}") == [] and reader.finish() == [] and reader.rev == 3_200


def answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class Sender:
    """Sends as much of an answer as the gateway takes, turn by turn."""

    def __init__(self, stage, data):
        self.stage, self.data = stage, memoryview(data)

    def __call__(self):
        try:
            while self.data:
                self.data = self.data[self.stage.board.conns[-1].send(self.data) :]
        except BlockingIOError:
            pass
        return not self.data


@with_board
def test_an_answer_too_long_to_hold_is_taken_in_slices_and_requests_are_answered_in_between(stage):
    stage.until(lambda: b"watch=1&" in stage.board.poll())
    stage.tell(1)
    stage.until(lambda: b"linger=1500" in stage.board.poll())
    count, made, slices = 70_000, int(time.time() * 1000), []
    body = json.dumps({"notices": purges(2, count, made - 60_000), "rev": count + 1}).encode()
    assert len(body) > 4 * 2**20
    on_events = stage.gateway.discovery._on_events
    stage.gateway.discovery._on_events = lambda events: (slices.append(len(events)), on_events(events))
    send, client, most = Sender(stage, answer(body)), stage.client(), 0
    asked = served = 0

    def step():
        nonlocal asked, served, most
        send()
        if asked == served:
            asked += 1
            client.call(asked, i=f"{asked:016x}", o="00000000000fffff")
        while (line := stage.cache.line()) is not None:
            stage.cache.say(f"{line.split()[1]} data version=aa,stamp=1,n=HIT 2\r\nhi\r\n".encode())
        served = len(client.answers())
        most, slices[:] = max(most, sum(slices)), []
        return stage.gateway.discovery.rev == count + 1

    stage.until(step)
    assert most <= 1_500, "of one turn"
    assert served >= 5 and "discovery_disconnected" not in stage.names()
    stage.until(lambda: b"watch=%d&" % (count + 1) in stage.board.poll())


@with_board
def test_a_long_answer_that_is_cut_off_is_asked_for_again_from_its_last_whole_event(stage):
    stage.until(lambda: b"watch=1&" in stage.board.poll())
    body = json.dumps({"rev": 9_000, "notices": purges(2, 9_000, 5)}).encode()
    cut = body.index(b'{"rev": 7000,') + 20
    send = Sender(stage, answer(body)[: cut + len(answer(body)) - len(body)])
    stage.until(send)
    stage.board.conns.pop().close()
    stage.until(lambda: b"watch=6999&" in stage.board.poll())
    send = Sender(stage, answer(body[: cut - 20] + b"}" + body[cut - 20 :]))
    stage.until(send)
    stage.until(lambda: "discovery_response_invalid" in stage.names())
    stage.board.data.clear()
    stage.until(lambda: b"watch=6999&" in stage.board.poll())
    assert stage.names().count("discovery_response_invalid") == 1


@with_board
def test_a_long_answer_is_waited_for_while_it_comes_and_no_longer(stage):
    stage.until(lambda: b"watch=1&" in stage.board.poll())
    rows = json.dumps(purges(2, 4_000, 5)).encode()
    stage.board.say(b'HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n{"rev":9,"notices":')
    began, sent = time.monotonic(), 0
    while time.monotonic() - began < 1.8:  # two and a half times what a silent one is given
        stage.turn()
        due = int((time.monotonic() - began) / 0.2) * 20_000
        if sent < due:
            stage.board.say(rows[sent:due])
            sent = due
    assert "discovery_disconnected" not in stage.names() and stage.gateway.discovery.rev > 1_000
    stage.until(lambda: ("discovery_disconnected", {"why": "no answer in time"}) in stage.logged)


@pytest.mark.parametrize(("chance", "least", "most"), [(0.0, 20, 20), (0.5, 30, 30), (0.999, 39, 40)])
@with_board
def test_retries_are_spread_and_the_first_comes_within_20_to_40_ms(stage, chance, least, most):
    stage.until(lambda: b"watch=1&" in stage.board.poll())
    client, waits = stage.gateway.discovery, []
    after = stage.gateway.loop.after
    client._random = lambda: chance
    stage.gateway.loop.after = lambda ns, call: (waits.append((ns / MS, call)), after(ns, call))[1]
    client.on_disconnect(client.stream, "lost")
    assert [least <= wait <= most for wait, call in waits if call == client._connect] == [True]


@with_board
def test_a_poll_carries_what_its_owner_adds(stage):
    stage.until(lambda: b"watch=1&" in stage.board.poll())
    stage.gateway.discovery.query = lambda: "&low=1&count=3"
    stage.tell(2, flush={"asset": OBJECT, "ms": 1})
    stage.until(lambda: b"GET /board/poll?watch=2&linger=1500&low=1&count=3 HTTP/1.1" in stage.board.poll())


# Pacing ---------------------------------------------------------------------------------------------


def polls_of(pacer, rate, seconds, lag_ns=0, round_trip_ns=MS):
    """The times of the polls while news comes evenly, and the longest that any had to wait for its poll."""
    now, told, times, longest = 0, 0, [], 0
    gap = S // rate
    while now < seconds * S:
        waits = told + gap > now  # for the next news
        now = max(now, told + gap)
        longest = max(longest, now - (told + gap))
        told = now // gap * gap
        times.append(now)
        now += round_trip_ns
        if len(times) > 1:
            pacer.on_round_trip(round_trip_ns + (gap if waits else 0))
        now += pacer.delay_ns(now, lag_ns)
    return times, longest


def test_sparse_news_is_asked_for_at_once_and_a_stream_of_it_gathered():
    pacer = PollPacer((300 * MS, 250 * MS))
    assert [pacer.delay_ns(n * 400 * MS, 0) for n in range(50)] == [0] * 50
    burst = [pacer.delay_ns(20 * S, 0) for _ in range(6)]
    assert burst[:4] == [0] * 4 and 0 < burst[5] <= 150 * MS
    times, longest = polls_of(PollPacer((300 * MS, 250 * MS)), 150, 10)
    assert len(times) <= 75 and longest <= 150 * MS


def test_what_is_gathered_stays_within_the_shortest_grace_that_is_known():
    assert PollPacer((0, 0)).grace_ns == DEFAULT_GRACE_NS
    pacer = PollPacer((0, 90 * MS))
    assert pacer.gather_ns(0) == 54 * MS
    assert pacer.gather_ns(20 * MS) == 14 * MS and pacer.gather_ns(80 * MS) == 0
    pacer.apply_settings((400 * MS, 800 * MS))
    assert pacer.gather_ns(0) == 240 * MS
    pacer.apply_settings((60 * S, 60 * S))
    assert pacer.gather_ns(0) == 500 * MS


def test_slow_polls_leave_no_time_to_gather_and_quick_ones_give_it_back():
    pacer = PollPacer((250 * MS,))
    for _ in range(10):
        pacer.on_round_trip(1_000 * MS)
    assert pacer.gather_ns(0) == 0 and not any(pacer.delay_ns(S + n, 0) for n in range(20))
    for _ in range(50):
        pacer.on_round_trip(MS)
    assert pacer.gather_ns(0) > 140 * MS


@pytest.mark.parametrize("rate", [10, 20, 150, 600])
@pytest.mark.parametrize("round_trip_ms", [1, 20, 60])
def test_no_news_waits_longer_than_its_grace(rate, round_trip_ms):
    for grace in (100 * MS, 250 * MS, 1_000 * MS):
        _, longest = polls_of(PollPacer((grace, 0)), rate, 20, 2 * MS, round_trip_ms * MS)
        assert longest + round_trip_ms * MS <= max(grace * 0.7, 2 * round_trip_ms * MS)


@with_board
def test_a_reload_paces_by_the_new_graces(stage):
    stage.until(lambda: b"watch=1&" in stage.board.poll())
    assert stage.gateway.discovery.pacer.grace_ns == 250 * MS
    raw = json.loads(json.dumps(stage.raw))
    raw["settings"]["family_info"]["purge_grace_ns"] = 120 * MS
    stage.gateway.reload(stage.config(raw))
    assert stage.gateway.discovery.pacer.grace_ns == 120 * MS


@with_board
def test_a_drain_among_150_purges_a_second_stops_sends_within_its_grace(stage):
    """Judged by an observer at the store; the board answers a poll with all that has been told by then."""
    stage.until(lambda: b"watch=1&" in stage.board.poll())
    stage.tell(1)
    observer = Observer(0.25, 0.3, frozenset())
    client, events, began, answers = stage.client(), [], time.monotonic(), 0
    changes = [
        (1.1 + 0.73 * n + late, phase)
        for n in range(6)
        for late, phase in ((0, "Terminating"), (0.45, "Ready"))
    ]
    asked = drains = after = 0
    while time.monotonic() - began < 5.6:
        stage.turn()
        now = time.monotonic() - began
        while len(events) < now * 150:
            events.append({"rev": len(events) + 2, "flush": {"asset": f"{len(events):016x}", "ms": 1}})
        if changes and now > changes[0][0]:
            drained = changes.pop(0)[1] == "Terminating"
            changed = member("s-00000001", stage.cache.address, phase="Terminating" if drained else "Ready")
            events.append({"rev": len(events) + 2, "pool": {"revision": 2, "members": [changed]}})
            drains += drained
            if drained:
                observer.drained("s-00000001", time.monotonic())
            else:
                observer.back("s-00000001")
        polls = stage.board.poll().split(b"GET /board/poll?watch=")
        if polls[-1].endswith(b"\r\n\r\n") and events:
            held = int(polls[-1].split(b"&")[0])
            if held <= len(events):
                stage.board.data.clear()
                body = json.dumps({"rev": len(events) + 1, "notices": events[held - 1 :]}).encode()
                stage.board.say(answer(body))
                answers += 1
        if asked < now * 100:
            asked += 1
            client.call(asked, i=f"{asked:016x}", o=f"{asked:016x}")
        while (line := stage.cache.line()) is not None:
            words = line.split()
            if words[0] == "fetch":
                after += bool(drains)
                observer.asked(SimpleNamespace(name="s-00000001"), words[1], "data", {})
                stage.cache.say(f"{words[1]} data version=aa,stamp=9,n=HIT 2\r\nhi\r\n".encode())
    assert drains == 6 and after > 50 and not observer.broken, observer.told
    assert answers < 75, "a poll for each purge would be some 600"
    assert len(stage.gateway.ledger.purged) > 500
