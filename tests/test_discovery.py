"""Discovery at high volume: tens of thousands of purges, responses too long to hold, and the polling
interval.
"""

import json
import time
from types import SimpleNamespace

import pytest
from harness import OBJECT, GatewayHarness, member

from olivecourse import interface
from olivecourse.discovery.event_stream import (
    MAX_VALUE_CHARS,
    WHOLE_RESPONSE_BYTES,
    EventStreamError,
    EventStreamParser,
    ResponseReader,
)
from olivecourse.discovery.pacing import DEFAULT_GRACE_NS, PollPacer
from olivecourse.emulator.observer import Observer
from olivecourse.purge_table import GROUPS, MAX_UNSETTLED, PurgeTable

MS = 1_000_000
S = 1_000 * MS


@pytest.fixture
def harness(request):
    made = GatewayHarness(**getattr(request, "param", {}))
    yield made
    made.close()


def with_discovery(test):
    """Runs a test on a harness with an emulated discovery server."""
    return pytest.mark.parametrize("harness", [{"board": True}], indirect=True)(test)


def purges(first, count, made_at_ms):
    """Returns numbered events, each of which purges an object of its own."""
    return [
        {"rev": number, "flush": {"asset": f"{number:016x}", "ms": made_at_ms}}
        for number in range(first, first + count)
    ]


def cpu_time_s(function):
    """Returns the CPU time in seconds that a function takes."""
    started_at = time.process_time()
    function()
    return time.process_time() - started_at


# Bulk purges ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("harness", [{}, {"planner": "/nonexistent/planner"}], indirect=True)
def test_cost_of_a_purge_does_not_grow_with_the_number_of_purges(harness):
    gateway, made_at_ms = harness.gateway, int(time.time() * 1000)

    def send_purges(first):
        for event in purges(first, 2_000, made_at_ms):
            gateway.on_events([event])

    first_cost_s = cpu_time_s(lambda: send_purges(2))
    gateway.on_events(purges(2_002, 12_000, made_at_ms))
    assert cpu_time_s(lambda: send_purges(14_002)) < 10 * first_cost_s + 0.05


def test_strictest_bound_of_a_purged_key_applies_until_it_expires():
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


def test_full_table_first_evicts_purges_that_were_settled_when_received():
    table = PurgeTable(min_retained=10, max_with_settled=4, max_unsettled=6)
    table.add("fresh", 1_000, 7_000, 1_000)
    for n in range(8):
        table.add(n, 10, 7_000, 1_000, settled=True)
    assert len(table) == 4 and "fresh" in table and 7 in table and 4 not in table
    assert (table.settled_dropped, table.merged, table.global_bound) == (5, 0, None)


def test_unsettled_purges_beyond_the_limit_are_merged_into_a_bound_for_all_objects():
    table = PurgeTable(max_unsettled=3)
    for n in range(5):
        table.add(f"{n}", 1_000 + n, 7_000 + n, 1_000 + n)
    assert table.merged == 2 and table.global_bound == (1_001, 7_001)
    assert table.find("0", None) == [1_001] and table.find("4", None) == [1_004, 1_001]
    listed = dict(table.items())
    assert all(listed[group] == (1_001, 7_001) for group in range(GROUPS)) and listed["4"] == (1_004, 7_004)
    table.expire(7_001)
    assert table.global_bound is None and "2" in table


def test_expired_purges_are_removed_as_new_ones_are_added():
    table = PurgeTable(min_retained=2)
    for n in range(1_000):
        table.add(n, n, n + 5, n)
        assert len(table) <= 7
    assert table.settled_dropped == table.merged == 0


def test_an_hour_of_purges_at_once_fits_bounded_tables_that_keep_the_unsettled_ones(harness):
    now_ms = int(time.time() * 1000)
    harness.gateway.on_events(purges(2, 20_000, now_ms - 3_600_000))
    harness.gateway.on_events(purges(20_002, 500, now_ms))
    harness.gateway.decide()
    router, tracker = harness.gateway.local.router, harness.gateway.tracker
    for table in (router.purges, tracker.purged):
        assert len(table) <= 16_384 and not table.merged and table.settled_dropped
        assert all(f"{n:016x}" in table for n in range(20_002, 20_502))


def test_merged_purges_are_logged(harness):
    now_ms = time.time_ns() // MS
    harness.gateway.on_events(purges(2, MAX_UNSETTLED, now_ms))
    assert "purges_folded" not in harness.event_names()
    harness.gateway.on_events(purges(2 + MAX_UNSETTLED, 7, now_ms))
    assert ("purges_folded", {"since_start": 7}) in harness.logged


def test_reconnected_planner_receives_the_bound_for_all_objects(harness):
    emitted = []
    control = harness.gateway.control
    control._emit = emitted.append
    control.purges.global_bound = (harness.gateway.loop.clock.now() - S, harness.gateway.loop.clock.now() + S)
    control.sync_planner()
    assert {event.group for event in emitted if isinstance(event, interface.Purged)} == set(range(GROUPS))


# Responses as streams -----------------------------------------------------------------------------

RESPONSES = [
    '{"rev":12,"notices":[{"rev":11,"flush":{"asset":"é\\u00e9\\"]}","ms":5}},{"rev":12}]}',
    ' { "more" : [1, {"notices": [7]}], "notices"\n:[ {"rev": 3} ,\t7, "x", null, [] ] '
    ', "x":-1.5e+3,"rev" : 12 }\r\n',
    '\ufeff{"notices":[],"rev":12}',
]


def parse(*chunks):
    """Parses a response in chunks and returns its events and its revision."""
    parser = EventStreamParser()
    events = [event for chunk in chunks for event in parser.feed(chunk)]
    return events, parser.finish()


@pytest.mark.parametrize("response", RESPONSES)
def test_response_is_parsed_wherever_it_is_split(response):
    data = response.encode()
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
def test_complete_events_before_an_error_are_returned_and_nothing_after_it(rest):
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
def test_invalid_response_is_an_error(data):
    with pytest.raises(EventStreamError):
        parse(data)


def test_list_of_all_servers_is_one_event_and_an_oversized_list_is_an_error():
    servers = [member(f"s-{n:08x}", "10.0.0.1:1") for n in range(1_100)]
    event = {"rev": 1, "pool": {"revision": 1, "complete": True, "members": servers}}
    data = json.dumps({"rev": 1, "notices": [event]}).encode()
    assert len(data) > 160_000
    assert parse(*(data[n : n + 4096] for n in range(0, len(data), 4096))) == ([event], 1)
    event["pool"]["members"] = servers * 7
    with pytest.raises(EventStreamError):
        data = json.dumps({"rev": 1, "notices": [event]}).encode()
        parse(*(data[n : n + 4096] for n in range(0, len(data), 4096)))


def test_events_of_a_short_response_are_sorted_and_used_together_or_not_at_all():
    reader = ResponseReader(2)
    assert reader.feed(b'{"rev":5,"notices":[{"rev":5},{"rev":2},{"rev":4}') == []
    assert reader.feed(b"]}") == [] and reader.finish() == [{"rev": 4}, {"rev": 5}]
    assert (reader.rev, reader.revision, reader.empty) == (5, 5, False)
    for bad in (b'{"rev":5,"notices":[{"rev":5},{"rev":6}', b'{"rev":5,"notices":[{"rev":5},{}]}'):
        reader = ResponseReader(2)
        assert reader.feed(bad) == [] and reader.finish() == [] and reader.error


def test_each_new_event_of_a_long_response_is_used_once_as_it_arrives():
    reader, used = ResponseReader(10), []
    events_json = json.dumps(purges(1, 3_000, 5) + purges(2_900, 300, 5))[:-1].encode()
    assert len(events_json) > WHOLE_RESPONSE_BYTES
    for start in range(0, len(events_json), 4096):
        used += reader.feed(
            (b'{"rev":9,"notices":' if not start else b"") + events_json[start : start + 4096]
        )
    assert [event["rev"] for event in used] == list(range(11, 3_200))
    assert reader.feed(b',{"rev":3200},{},{"rev":3201}') == [{"rev": 3_200}]
    assert reader.error and reader.feed(b"]}") == [] and reader.finish() == [] and reader.rev == 3_200


def http_response(body):
    """Returns an HTTP response with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class ResponseSender:
    """Sends as much of a response as the gateway accepts at each call. Returns whether all of it has been
    sent.
    """

    def __init__(self, harness, data):
        self.harness, self.data = harness, memoryview(data)

    def __call__(self):
        try:
            while self.data:
                self.data = self.data[self.harness.board.conns[-1].send(self.data) :]
        except BlockingIOError:
            pass
        return not self.data


@with_discovery
def test_long_response_is_processed_in_slices_with_requests_answered_in_between(harness):
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    harness.publish(1)
    harness.until(lambda: b"linger=1500" in harness.board.poll())
    count, made_at_ms, slices = 70_000, int(time.time() * 1000), []
    body = json.dumps({"notices": purges(2, count, made_at_ms - 60_000), "rev": count + 1}).encode()
    assert len(body) > 4 * 2**20
    on_events = harness.gateway.discovery._on_events
    harness.gateway.discovery._on_events = lambda events: (slices.append(len(events)), on_events(events))
    send, client, largest_turn = ResponseSender(harness, http_response(body)), harness.client(), 0
    sent = served = 0

    def step():
        nonlocal sent, served, largest_turn
        send()
        if sent == served:
            sent += 1
            client.call(sent, i=f"{sent:016x}", o="00000000000fffff")
        while (line := harness.cache.line()) is not None:
            harness.cache.send(f"{line.split()[1]} data version=aa,stamp=1,n=HIT 2\r\nhi\r\n".encode())
        served = len(client.answers())
        largest_turn, slices[:] = max(largest_turn, sum(slices)), []
        return harness.gateway.discovery.rev == count + 1

    harness.until(step)
    assert largest_turn <= 1_500, "events processed in one turn of the loop"
    assert served >= 5 and "discovery_disconnected" not in harness.event_names()
    harness.until(lambda: b"watch=%d&" % (count + 1) in harness.board.poll())


@with_discovery
def test_interrupted_long_response_is_resumed_after_its_last_complete_event(harness):
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    body = json.dumps({"rev": 9_000, "notices": purges(2, 9_000, 5)}).encode()
    cut = body.index(b'{"rev": 7000,') + 20
    send = ResponseSender(harness, http_response(body)[: cut + len(http_response(body)) - len(body)])
    harness.until(send)
    harness.board.conns.pop().close()
    harness.until(lambda: b"watch=6999&" in harness.board.poll())
    send = ResponseSender(harness, http_response(body[: cut - 20] + b"}" + body[cut - 20 :]))
    harness.until(send)
    harness.until(lambda: "discovery_response_invalid" in harness.event_names())
    harness.board.data.clear()
    harness.until(lambda: b"watch=6999&" in harness.board.poll())
    assert harness.event_names().count("discovery_response_invalid") == 1


@with_discovery
def test_long_response_times_out_only_when_no_more_data_arrives(harness):
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    events_json = json.dumps(purges(2, 4_000, 5)).encode()
    harness.board.send(b'HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n{"rev":9,"notices":')
    started_at, sent_bytes = time.monotonic(), 0
    # two and a half times as long as the gateway waits for a response that sends nothing
    while time.monotonic() - started_at < 1.8:
        harness.turn()
        due_bytes = int((time.monotonic() - started_at) / 0.2) * 20_000
        if sent_bytes < due_bytes:
            harness.board.send(events_json[sent_bytes:due_bytes])
            sent_bytes = due_bytes
    assert "discovery_disconnected" not in harness.event_names() and harness.gateway.discovery.rev > 1_000
    harness.until(lambda: ("discovery_disconnected", {"why": "no answer in time"}) in harness.logged)


@pytest.mark.parametrize(("chance", "min_ms", "max_ms"), [(0.0, 20, 20), (0.5, 30, 30), (0.999, 39, 40)])
@with_discovery
def test_retries_are_jittered_and_the_first_comes_after_20_to_40_ms(harness, chance, min_ms, max_ms):
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    client, delays = harness.gateway.discovery, []
    after = harness.gateway.loop.after
    client._random = lambda: chance
    harness.gateway.loop.after = lambda delay_ns, call: (
        delays.append((delay_ns / MS, call)),
        after(delay_ns, call),
    )[1]
    client.on_disconnect(client.stream, "lost")
    assert [min_ms <= delay_ms <= max_ms for delay_ms, call in delays if call == client._connect] == [True]


@with_discovery
def test_poll_contains_the_owners_query_parameters(harness):
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    harness.gateway.discovery.query = lambda: "&low=1&count=3"
    harness.publish(2, flush={"asset": OBJECT, "ms": 1})
    harness.until(
        lambda: b"GET /board/poll?watch=2&linger=1500&low=1&count=3 HTTP/1.1" in harness.board.poll()
    )


# Pacing ---------------------------------------------------------------------------------------------


def simulate_polls(pacer, rate, seconds, lag_ns=0, round_trip_ns=MS):
    """Simulates events at a constant rate. Returns the times of the polls, and the longest time that an event
    waited for its poll.
    """
    now_ns, last_received_ns, poll_times, longest_wait_ns = 0, 0, [], 0
    interval_ns = S // rate
    while now_ns < seconds * S:
        poll_waits = last_received_ns + interval_ns > now_ns  # whether the poll waits for the next event
        now_ns = max(now_ns, last_received_ns + interval_ns)
        longest_wait_ns = max(longest_wait_ns, now_ns - (last_received_ns + interval_ns))
        last_received_ns = now_ns // interval_ns * interval_ns
        poll_times.append(now_ns)
        now_ns += round_trip_ns
        if len(poll_times) > 1:
            pacer.on_round_trip(round_trip_ns + (interval_ns if poll_waits else 0))
        now_ns += pacer.delay_ns(now_ns, lag_ns)
    return poll_times, longest_wait_ns


def test_rare_events_are_polled_at_once_and_frequent_ones_are_batched():
    pacer = PollPacer((300 * MS, 250 * MS))
    assert [pacer.delay_ns(number * 400 * MS, 0) for number in range(50)] == [0] * 50
    burst = [pacer.delay_ns(20 * S, 0) for _ in range(6)]
    assert burst[:4] == [0] * 4 and 0 < burst[5] <= 150 * MS
    poll_times, longest_wait_ns = simulate_polls(PollPacer((300 * MS, 250 * MS)), 150, 10)
    assert len(poll_times) <= 75 and longest_wait_ns <= 150 * MS


def test_batching_time_stays_within_the_shortest_known_grace():
    assert PollPacer((0, 0)).grace_ns == DEFAULT_GRACE_NS
    pacer = PollPacer((0, 90 * MS))
    assert pacer.max_batching_ns(0) == 54 * MS
    assert pacer.max_batching_ns(20 * MS) == 14 * MS and pacer.max_batching_ns(80 * MS) == 0
    pacer.apply_settings((400 * MS, 800 * MS))
    assert pacer.max_batching_ns(0) == 240 * MS
    pacer.apply_settings((60 * S, 60 * S))
    assert pacer.max_batching_ns(0) == 500 * MS


def test_slow_polls_disable_batching_and_fast_ones_enable_it_again():
    pacer = PollPacer((250 * MS,))
    for _ in range(10):
        pacer.on_round_trip(1_000 * MS)
    assert pacer.max_batching_ns(0) == 0 and not any(pacer.delay_ns(S + n, 0) for n in range(20))
    for _ in range(50):
        pacer.on_round_trip(MS)
    assert pacer.max_batching_ns(0) > 140 * MS


@pytest.mark.parametrize("rate", [10, 20, 150, 600])
@pytest.mark.parametrize("round_trip_ms", [1, 20, 60])
def test_no_event_waits_longer_than_its_grace(rate, round_trip_ms):
    for grace_ns in (100 * MS, 250 * MS, 1_000 * MS):
        _, longest_wait_ns = simulate_polls(PollPacer((grace_ns, 0)), rate, 20, 2 * MS, round_trip_ms * MS)
        assert longest_wait_ns + round_trip_ms * MS <= max(grace_ns * 0.7, 2 * round_trip_ms * MS)


@with_discovery
def test_reload_applies_new_graces_to_polling(harness):
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    assert harness.gateway.discovery.pacer.grace_ns == 250 * MS
    raw = json.loads(json.dumps(harness.raw))
    raw["settings"]["family_info"]["purge_grace_ns"] = 120 * MS
    harness.gateway.reload(harness.config(raw))
    assert harness.gateway.discovery.pacer.grace_ns == 120 * MS


@with_discovery
def test_drain_among_150_purges_a_second_takes_effect_within_its_grace(harness):
    """An observer at the store checks the time of each fetch. The discovery server answers a poll with all
    events up to then.
    """
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    harness.publish(1)
    observer = Observer(0.25, 0.3, frozenset())
    client, events, started_at, answers = harness.client(), [], time.monotonic(), 0
    changes = [
        (1.1 + 0.73 * number + delay_s, phase)
        for number in range(6)
        for delay_s, phase in ((0, "Terminating"), (0.45, "Ready"))
    ]
    sent = drains = fetches_after_drain = 0
    while time.monotonic() - started_at < 5.6:
        harness.turn()
        elapsed_s = time.monotonic() - started_at
        while len(events) < elapsed_s * 150:
            events.append({"rev": len(events) + 2, "flush": {"asset": f"{len(events):016x}", "ms": 1}})
        if changes and elapsed_s > changes[0][0]:
            drained = changes.pop(0)[1] == "Terminating"
            changed = member("s-00000001", harness.cache.address, phase="Terminating" if drained else "Ready")
            events.append({"rev": len(events) + 2, "pool": {"revision": 2, "members": [changed]}})
            drains += drained
            if drained:
                observer.record_drain("s-00000001", time.monotonic())
            else:
                observer.record_ready("s-00000001")
        polls = harness.board.poll().split(b"GET /board/poll?watch=")
        if polls[-1].endswith(b"\r\n\r\n") and events:
            revision = int(polls[-1].split(b"&")[0])
            if revision <= len(events):
                harness.board.data.clear()
                body = json.dumps({"rev": len(events) + 1, "notices": events[revision - 1 :]}).encode()
                harness.board.send(http_response(body))
                answers += 1
        if sent < elapsed_s * 100:
            sent += 1
            client.call(sent, i=f"{sent:016x}", o=f"{sent:016x}")
        while (line := harness.cache.line()) is not None:
            words = line.split()
            if words[0] == "fetch":
                fetches_after_drain += bool(drains)
                observer.on_answer(SimpleNamespace(name="s-00000001"), words[1], "data", {})
                harness.cache.send(f"{words[1]} data version=aa,stamp=9,n=HIT 2\r\nhi\r\n".encode())
    assert drains == 6 and fetches_after_drain > 50 and not observer.violations, observer.first_violations
    assert answers < 75, "one poll per purge would be about 600"
    assert len(harness.gateway.tracker.purged) > 500
