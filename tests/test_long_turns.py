"""Turns of the event loop stay short, however much clients send. The clock moves only as the tests say.

docs/incidents/purged-copies-after-long-turns.md has the incident that these tests guard against.
"""

import socket

import pytest
from harness import OBJECT, GatewayHarness, drain
from test_standing import frames

from olivecourse.fronts import listener, thrift
from olivecourse.net import loop as loop_module
from olivecourse.net.loop import READ, WRITE, Loop

MS = 1_000_000
BUDGET_NS = loop_module.DEFERRABLE_BUDGET_NS


class FrozenClock:
    """A clock that stands still until a test moves it."""

    def __init__(self, now):
        self._now = now

    def now(self):
        return self._now

    def from_unix_ms(self, ms):
        return ms * MS

    def advance(self, ns):
        self._now += ns


@pytest.fixture
def loop():
    created = Loop()
    created.clock = FrozenClock(created.clock.now())
    yield created
    created.close()


@pytest.fixture
def sockets():
    """Makes pairs of connected sockets; the first of a pair is readable."""
    made = []

    def pair():
        made.extend(socket.socketpair())
        made[-1].send(b"x")
        return made[-2]

    yield pair
    for sock in made:
        sock.close()


def watch_slow(loop, sock, name, calls, cost_ns, deferrable=True):
    """Watches a readable socket with a handler that takes `cost_ns` and leaves the socket readable."""

    def on_ready(mask):
        calls.append(name)
        loop.clock.advance(cost_ns)

    loop.watch(sock, READ, on_ready, deferrable)


def test_deferrable_handlers_share_a_budget_and_run_in_the_order_in_which_they_became_due(loop, sockets):
    """Guards against turns as long as there are clients with something to read."""
    calls, count = [], 10
    for number in range(count):
        watch_slow(loop, sockets(), number, calls, BUDGET_NS // 2)
    turns = []
    for _ in range(8):
        before, started_at = len(calls), loop.clock.now()
        loop.turn(0)
        turns.append(len(calls) - before)
        assert loop.clock.now() - started_at <= 2 * BUDGET_NS
    assert set(turns) == {3}, "half a budget each: the third begins at the budget's end"
    assert sorted(calls[:count]) == list(range(count)), "everyone has had a turn before anyone has a second"
    at_once = max(turns)  # handlers of one turn may change places, as the selector reports their sockets
    assert min(calls[: 2 * count + at_once].count(number) for number in range(count)) == 2


def test_one_deferrable_handler_runs_in_each_turn_however_long_it_takes(loop, sockets):
    calls = []
    for name in "ab":
        watch_slow(loop, sockets(), name, calls, 10 * BUDGET_NS)
    for _ in range(4):
        loop.turn(0)
    assert sorted(calls[:2]) == ["a", "b"] and calls[2:] == calls[:2]


def test_other_handlers_and_timers_run_in_every_turn_and_before_deferrable_ones(loop, sockets):
    """Guards against discovery, stores and timers that wait for clients."""
    calls = []
    for number in range(10):
        watch_slow(loop, sockets(), number, calls, BUDGET_NS)
    watch_slow(loop, sockets(), "store", calls, 0, deferrable=False)
    loop.after(BUDGET_NS, lambda: calls.append("timer"))
    loop.turn(0)
    loop.turn(0)
    assert calls[0] == "store" and calls.count("store") == 2 and "timer" in calls[:4]


def test_a_deferred_handler_of_a_closed_socket_is_not_called_for_the_next_owner_of_its_number(loop, sockets):
    calls, first = [], sockets()
    watch_slow(loop, first, "first", calls, 10 * BUDGET_NS)
    watch_slow(loop, second := sockets(), "second", calls, 10 * BUDGET_NS)
    loop.turn(0)
    left_over, name = (second, "second") if calls == ["first"] else (first, "first")
    descriptor = left_over.fileno()
    loop.unwatch(left_over)
    left_over.close()
    reused = socket.socket()
    assert reused.fileno() == descriptor
    reused.setblocking(False)
    loop.watch(reused, READ | WRITE, lambda mask: calls.append("reused"))
    calls.clear()
    loop.turn(0)
    loop.turn(0)
    assert name not in calls and calls.count("reused") == 2, "once a turn, not for the closed socket's call"
    loop.unwatch(reused)
    reused.close()


def test_the_lag_of_a_deferred_handler_counts_the_turns_that_it_was_left_over_for(loop, sockets):
    """Guards against answers after a client's time: its request has waited unread for all these turns."""
    lags = []
    for _ in range(3):
        sock = sockets()

        def on_ready(mask, sock=sock):
            lags.append(loop.lag_ns)
            loop.unwatch(sock)
            loop.clock.advance(3 * BUDGET_NS)

        loop.watch(sock, READ, on_ready, deferrable=True)
    for _ in range(3):
        loop.turn(0)
    assert lags == [0, 3 * BUDGET_NS, 6 * BUDGET_NS] and loop.lag_ns == 0


def test_a_deferred_callback_runs_in_a_later_turn_which_does_not_wait(loop):
    calls = []
    loop.defer(lambda: (calls.append(1), loop.defer(lambda: calls.append(2))))
    assert loop.has_work_left
    loop.turn()
    assert calls == [1]
    loop.turn()
    assert calls == [1, 2] and not loop.has_work_left


# A gateway whose clients send much at once ----------------------------------------------------------


@pytest.fixture
def harness(monkeypatch):
    """A gateway with a frozen clock, for which each frame of a client takes 1 ms."""
    created = GatewayHarness(board=True)
    created.until(lambda: b"watch=1&" in created.board.poll())
    created.publish(2, flush={"asset": "11" * 8, "ms": 1})
    created.until(lambda: b"watch=2&" in created.board.poll())
    clock = created.gateway.loop.clock = FrozenClock(created.gateway.loop.clock.now())
    call = thrift.ThriftClient._call

    def slow_call(self, *arguments):
        clock.advance(MS)
        call(self, *arguments)

    monkeypatch.setattr(thrift.ThriftClient, "_call", slow_call)
    yield created
    created.close()


def flood(harness, clients, requests):
    """Lets clients connect and send requests of a class that does not exist, all at once."""
    flooding = [harness.client() for _ in range(clients)]
    harness.until(lambda: len(harness.gateway.front.clients) >= clients)
    for client in flooding:
        client.sock.sendall(frames(range(1, requests + 1), c="nosuch"))
    return flooding


def test_turns_stay_short_while_many_clients_send_hundreds_of_requests(harness):
    """Guards against a turn of 64 frames of each client, which was the cause of turns of over a second."""
    flooding, clock = flood(harness, 40, 150), harness.gateway.loop.clock
    longest_ns = turns_to_event = 0
    harness.publish(3, flush={"asset": OBJECT, "ms": 1})
    for _ in range(1_000):
        if all(len(client.answers()) == 150 for client in flooding):
            break
        started_at = clock.now()
        harness.turn()
        longest_ns = max(longest_ns, clock.now() - started_at)
        turns_to_event += harness.gateway.discovery.rev < 3
    assert longest_ns <= BUDGET_NS + thrift.MAX_FRAMES_PER_TURN * MS
    assert turns_to_event <= 1
    assert all(
        [answer[:2] for answer in client.answers()] == [(number, "fault") for number in range(1, 151)]
        for client in flooding
    )


def test_a_request_among_many_flooding_clients_is_sent_after_one_round(harness):
    flood(harness, 20, 300)
    client, clock = harness.client(), harness.gateway.loop.clock
    client.call()
    started_at = clock.now()
    harness.until(lambda: harness.gateway.tracker.open)
    assert clock.now() - started_at <= 3 * 20 * thrift.MAX_FRAMES_PER_TURN * MS


def test_a_request_whose_last_bytes_wait_unread_is_not_closed_as_incomplete(harness):
    """Guards against the sweep, which now runs while bytes of clients wait for their turn."""
    client, gateway = harness.client(), harness.gateway
    frame = frames([1])
    client.sock.sendall(frame[:20])
    harness.until(lambda: any(c.incomplete_since for c in gateway.front.clients))
    client.sock.sendall(frame[20:])
    gateway.loop.clock.advance(2 * listener.PARTIAL_REQUEST_TIMEOUT_NS)
    gateway.front._sweep()
    harness.until(lambda: gateway.tracker.open)
    assert not client.closed


def test_a_client_whose_complete_frames_wait_for_a_later_turn_is_not_closed_as_incomplete(harness):
    (client,) = flood(harness, 1, 100)
    gateway = harness.gateway
    harness.until(lambda: any(c.frames_pending for c in gateway.front.clients))
    gateway.loop.clock.advance(2 * listener.PARTIAL_REQUEST_TIMEOUT_NS)
    gateway.front._sweep()
    harness.until(lambda: len(client.answers()) == 100)
    assert not client.closed and not drain(client.sock)
