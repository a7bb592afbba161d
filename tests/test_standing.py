"""Race conditions that are rare in the endurance test, provoked here: docs/design/standing.md lists them."""

import json
import os
import socket
import threading
import time

import pytest
from harness import OBJECT, REQUEST, SETTINGS, GatewayHarness, S, ScriptedServer, member

from olivecourse import gateway as gateway_module
from olivecourse import interface, logs
from olivecourse.fronts import codec, listener, thrift
from olivecourse.net import server_pool
from olivecourse.net.stream import Stream

MS = 1_000_000
ANSWER = "%s data version=aa,stamp=1,n=HIT 5\r\nhello\r\n"


@pytest.fixture
def harness(request):
    """A gateway with scripted servers; the test's parametrization may change its settings."""
    made = GatewayHarness(**getattr(request, "param", {}))
    yield made
    made.close()


def settings(write_class=None, **limits):
    """The settings of `GatewayHarness`, with other limits and other values for the class of writes."""
    changed_settings = json.loads(json.dumps(SETTINGS))
    changed_settings["profiles"][1].update(write_class or {})
    changed_settings["limits"].update(limits)
    return changed_settings


def with_settings(*args, **limits):
    """Runs a test on a harness with changed settings; the arguments are those of `settings`."""
    return pytest.mark.parametrize("harness", [{"settings": settings(*args, **limits)}], indirect=True)


def fetches(peer):
    """Takes all lines that a scripted store has received and returns the `fetch` lines."""
    return [line for line in iter(peer.line, None) if line.startswith("fetch")]


def frames(numbers, **more):
    """One frame of a `serve` call for each number, with `more` as additional request fields."""
    return b"".join(
        codec.encode(
            "serve",
            1,
            number,
            codec.ServeArgs(
                fields={
                    "c": "fichiers",
                    "i": f"{number:016x}",
                    "o": OBJECT,
                    "d": "5000",
                    "n": "0",
                    "shard": "17",
                    **more,
                },
                body=b"",
            ),
        )
        for number in numbers
    )


def run_turns(harness, turns=20):
    """Runs the gateway for a fixed number of turns."""
    for _ in range(turns):
        harness.turn()


class SelectorHook:
    """Wraps the loop's selector to provoke an order of events.

    `then` is called once, after a `select` that reports a socket for which `when` is true and before the loop
    handles the reported sockets. The sockets in `first` are handled before the others.
    """

    def __init__(self, loop, then=None, when=lambda sock: True, first=()):
        self.inner, self.then, self.when, self.first = loop._selector, then, when, first
        loop._selector = self

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def select(self, timeout):
        ready = self.inner.select(timeout)
        if self.then is not None and any(self.when(key.fileobj) for key, _ in ready):
            then, self.then = self.then, None
            then()
        return sorted(ready, key=lambda pair: pair[0].fileobj not in self.first)


def peer_with_full_backlog(harness):
    """Returns a listener with a full backlog, so that connection attempts stay pending, and a function that
    frees the backlog."""
    peer = ScriptedServer(backlog=0)
    filling_socks = [socket.socket() for _ in range(2)]
    for sock in filling_socks:
        sock.setblocking(False)
        sock.connect_ex(peer.sock.getsockname())
    harness.peers.append(peer)

    def free_backlog():
        for sock in filling_socks:
            sock.close()
        for _ in filling_socks:
            peer.poll()

    return peer, free_backlog


# Disconnected clients -------------------------------------------------------------------------------


@pytest.mark.parametrize("requests", [1, 32, 600])
def test_requests_of_a_client_that_leaves_before_they_are_read_are_not_sent(harness, requests):
    client = harness.client()
    run_turns(harness, 3)  # the connection is accepted, and none of its data is read yet
    client.sock.setblocking(True)
    client.sock.sendall(frames(range(1, requests + 1)))
    client.sock.close()
    run_turns(harness)
    assert not harness.gateway.front.clients and not harness.gateway.tracker.open
    assert fetches(harness.cache) == [] and not harness.gateway.tracker.accepted


def test_no_attempt_is_sent_for_a_client_that_leaves_in_the_turn_of_the_send(harness):
    """The connection that the attempt waits for is established, and the selector reports it first."""
    client = harness.client()
    client.call()
    harness.until(lambda: harness.gateway.tracker.open)
    (streams,) = harness.gateway.pool._connections.values()
    assert streams[0].connecting and streams[0].waiting
    SelectorHook(harness.gateway.loop, first=[streams[0].sock])
    client.sock.close()
    run_turns(harness)
    assert fetches(harness.cache) == [] and not harness.gateway.tracker.open


@pytest.mark.parametrize("how", ["closes", "cancels"])
def test_no_attempt_is_sent_for_a_client_that_leaves_while_the_process_is_delayed(harness, how):
    client = harness.client()
    client.call()
    harness.until(lambda: harness.gateway.tracker.open)
    (streams,) = harness.gateway.pool._connections.values()
    leave = (
        client.sock.close
        if how == "closes"
        else lambda: client.call(2, "forget", 4, codec.ForgetArgs(seqid=1))
    )
    SelectorHook(harness.gateway.loop, leave, lambda sock: sock is streams[0].sock)
    run_turns(harness)
    assert fetches(harness.cache) == [] and not harness.gateway.tracker.open


def test_no_retry_is_sent_for_a_client_that_left_before_the_failure_was_read(harness):
    client = harness.client()
    client.call()
    harness.until(lambda: fetches(harness.cache))
    harness.cache.send(f"{REQUEST} full - 0\r\n\r\n".encode())
    client.sock.close()
    run_turns(harness)
    assert fetches(harness.cache) == [] and fetches(harness.parent) == []


def test_an_unwritten_attempt_is_checked_again_before_it_is_sent(harness, monkeypatch):
    client, original_send = harness.client(), Stream._send
    blocked = [True]
    monkeypatch.setattr(
        Stream,
        "_send",
        lambda self, data: (
            0 if blocked and isinstance(self, server_pool.StoreConnection) else original_send(self, data)
        ),
    )
    client.call()
    harness.until(lambda: harness.gateway.tracker.open)
    run_turns(harness, 5)
    (attempt,) = harness.gateway.tracker.entries[REQUEST].open_attempts.values()
    assert not attempt.sent  # a write could still be refused
    client.sock.close()
    harness.until(lambda: not harness.gateway.tracker.open)
    blocked.clear()
    run_turns(harness)
    assert fetches(harness.cache) == []


def test_a_flood_on_one_connection_does_not_delay_others_and_is_answered_completely(harness):
    flood, other = harness.client(), harness.client()
    run_turns(harness, 3)
    flood.sock.setblocking(True)
    flood.sock.sendall(frames(range(1, 301)))
    flood.sock.setblocking(False)
    other.call(i="9b1f03aa5c7e2d42", o="7f3a9c21e0b4d656")
    (worst,) = [c for c in harness.gateway.front.clients if c.sock.getpeername() == flood.sock.getsockname()]
    last_numbers = [worst.last_number]
    harness.until(lambda: last_numbers.append(worst.last_number) or worst.last_number == 300)
    assert (
        max(b - a for a, b in zip(last_numbers, last_numbers[1:], strict=False)) <= thrift.MAX_FRAMES_PER_TURN
    )
    assert any("9b1f03aa5c7e2d42" in line for line in fetches(harness.cache))
    harness.until(lambda: len(flood.answers()) >= 300 - thrift.MAX_OPEN_REQUESTS)
    assert {kind for _, kind, *_ in flood.answers()} == {"refused"}


# Closing of connections -----------------------------------------------------------------------------


def served(harness, client, number=1, **more):
    """Sends a read, answers it at the cache and waits for the client's answer."""
    client.call(number, **more)
    line = harness.until(lambda: next(iter(fetches(harness.cache)), None))
    harness.cache.send((ANSWER % line.split(" ")[1]).encode())
    harness.until(lambda: len(client.answers()) == number)


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_sent_and_causes_no_reset(
    harness, monkeypatch
):
    client = harness.client()
    served(harness, client)
    monkeypatch.setattr(listener, "IDLE_TIMEOUT_NS", 0)
    (held,) = harness.gateway.front.clients
    original_check, results = held.is_idle, []

    def is_idle():
        results.append(original_check())
        # The request arrives after the last idle check and before the gateway closes its side.
        client.call(2, i="9b1f03aa5c7e2d42")
        return results[-1]

    monkeypatch.setattr(type(held), "is_idle", lambda self: is_idle())
    client.data = b""
    harness.until(lambda: client.poll() or client.closed)
    assert results == [True] and client.data == b""
    run_turns(harness, 5)
    client.sock.setblocking(True)
    assert client.sock.recv(1) == b""  # an orderly close; a reset would raise an exception
    assert fetches(harness.cache) == []


def test_a_request_that_arrives_before_the_idle_check_is_served(harness, monkeypatch):
    client = harness.client()
    served(harness, client)
    monkeypatch.setattr(listener, "IDLE_TIMEOUT_NS", 0)
    sweep = harness.gateway.front._sweep
    client.call(2, i="9b1f03aa5c7e2d42", o="7f3a9c21e0b4d656")
    sweep()  # before the loop has read the request
    harness.until(lambda: fetches(harness.cache))
    assert not client.closed


def test_a_lingering_connection_is_closed_in_time_and_first_when_room_is_needed(harness, monkeypatch):
    client, other = harness.client(), harness.client()
    served(harness, client)
    monkeypatch.setattr(listener, "IDLE_TIMEOUT_NS", 0)
    front = harness.gateway.front
    harness.until(lambda: front._lingering)
    assert front.evict_client() and not front._lingering and other
    harness.until(lambda: client.poll() is not None and client.closed)


@pytest.fixture
def harness_without_linger(harness, monkeypatch):
    """A harness whose gateway does not wait for late clients when it stops."""
    monkeypatch.setattr(gateway_module, "LINGER_NS", 0)
    return harness


def has_stopped(harness):
    """Whether the gateway's loop has ended."""
    return not harness.gateway.loop.running


def test_a_client_that_connects_in_the_last_turn_of_a_stop_is_served(harness_without_linger):
    harness_without_linger.gateway.stop()
    late_client = harness_without_linger.client()
    late_client.call()
    line = harness_without_linger.until(lambda: next(iter(fetches(harness_without_linger.cache)), None))
    assert not has_stopped(harness_without_linger)
    harness_without_linger.cache.send((ANSWER % line.split(" ")[1]).encode())
    harness_without_linger.until(lambda: has_stopped(harness_without_linger))
    assert late_client.answers()[0][1] == "success"


def test_a_stop_closes_idle_clients_and_drops_requests_that_cross_the_close(harness_without_linger):
    idle_client = harness_without_linger.client()
    served(harness_without_linger, idle_client)
    harness_without_linger.gateway.stop()
    harness_without_linger.until(lambda: idle_client.poll() is not None and idle_client.closed)
    idle_client.call(2, i="9b1f03aa5c7e2d42")
    harness_without_linger.until(
        lambda: has_stopped(harness_without_linger) or fetches(harness_without_linger.cache)
    )
    assert has_stopped(harness_without_linger) and len(idle_client.answers()) == 1


def test_a_request_after_the_last_answers_of_a_stop_is_refused_at_once(harness):
    client = harness.client()
    run_turns(harness, 3)
    harness.gateway._last_answers()
    client.call(c="commande", body=b"x")
    assert harness.until(client.answers)[0][1] == "refused"
    assert fetches(harness.cache) == []


# Retries ---------------------------------------------------------------------------------------------


@with_settings({"effect": "deduplicated", "memory_span_ns": 400 * MS}, connect_timeout_ns=4 * S)
def test_a_retry_that_waits_for_a_connection_past_the_deduplication_window_is_not_sent(harness):
    client = harness.client()
    client.call(c="commande", body=b"x", k="763fa061", d="2900")
    harness.until(lambda: fetches(harness.cache))
    moved_peer, free_backlog = peer_with_full_backlog(harness)
    harness.gateway.directory.addresses[1] = ("127.0.0.1", moved_peer.sock.getsockname()[1])
    harness.cache.conns[0].close()
    harness.cache.conns.clear()
    run_turns(harness, 3)
    entry = harness.gateway.tracker.entries[REQUEST]
    assert entry.attempt_count == 2 and entry.open_attempts  # the retry is decided at once, within the window
    free_backlog()
    harness.until(lambda: moved_peer.poll() or client.answers())
    assert fetches(moved_peer) == [] and client.answers()[0][1] in ("refused", "failed")


@with_settings(connect_timeout_ns=4 * S)
def test_an_attempt_that_waits_for_a_connection_uses_one_that_becomes_free(harness):
    first, second = harness.client(), harness.client()
    first.call(i="9b1f03aa5c7e2d41")
    harness.until(lambda: fetches(harness.cache))
    harness.cache.sock.listen(0)
    filling_socks = [socket.socket() for _ in range(2)]
    for sock in filling_socks:
        sock.setblocking(False)
        sock.connect_ex(harness.cache.sock.getsockname())
    connection_count = len(harness.cache.conns)
    second.call(i="9b1f03aa5c7e2d42", o="7f3a9c21e0b4d656")
    harness.until(lambda: harness.gateway.tracker.open == 2)
    harness.cache.conns[0].sendall((ANSWER % "9b1f03aa5c7e2d41").encode())

    def sent_on_first_connection():
        data = harness.cache.conns[0].recv(4096, socket.MSG_DONTWAIT) if connection_count else b""
        return b"9b1f03aa5c7e2d42" in data

    def second_request_arrived():
        try:
            return sent_on_first_connection()
        except BlockingIOError:
            return False

    # The kernel retries a connection to a full backlog only after one second.
    harness.until(second_request_arrived, seconds=0.9)
    for sock in filling_socks:
        sock.close()


def test_a_write_is_not_sent_on_a_connection_that_the_store_has_just_closed(harness):
    client = harness.client()
    served(harness, client)
    (conn,) = harness.cache.conns
    harness.cache.conns.clear()
    (held,) = harness.gateway.front.clients
    SelectorHook(harness.gateway.loop, conn.close, lambda sock: sock is held.sock)
    client.call(2, c="commande", i="9b1f03aa5c7e2d42", o="7f3a9c21e0b4d656", body=b"x")
    line = harness.until(lambda: next(iter(fetches(harness.cache)), None))
    harness.cache.send(f"{line.split(' ')[1]} data - 2\r\nok\r\n".encode())
    assert harness.until(lambda: client.answers()[1:])[0][1] == "success"


# Discovery -------------------------------------------------------------------------------------------


with_board = pytest.mark.parametrize("harness", [{"board": True}], indirect=True)


@with_board
@pytest.mark.parametrize("other_bad_members", [(), (None, {"id": 5}, member("s-0000000b", "127.0.0.1:9"))])
def test_an_unusable_member_affects_neither_other_members_nor_later_events(harness, other_bad_members):
    harness.until(lambda: b"watch=1" in harness.board.poll())
    bad_member = member("s-0000000a", "127.0.0.1:9", up_since_ms=float("inf"))
    draining_member = member("s-00000001", harness.cache.address, phase="Terminating")
    known_member = member("s-00000008", "no address", "parent", "hub-nord")
    notices = [
        {"rev": 2, "pool": {"revision": 2, "complete": False, "members": [bad_member, *other_bad_members]}},
        {"rev": 3, "pool": {"revision": 3, "complete": True, "members": [draining_member, known_member]}},
    ]
    body = json.dumps({"rev": 3, "notices": notices}).encode()
    harness.board.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    harness.until(lambda: not harness.gateway.directory.ready(1))
    assert "discovery_event_invalid" in harness.event_names()
    assert harness.gateway.directory.ready(8) and 9 not in harness.gateway.directory.states


@with_board
def test_a_poll_that_stalls_in_its_first_second_is_abandoned_soon(harness):
    harness.until(lambda: b"watch=1" in harness.board.poll())
    harness.board.send(
        b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{"
    )  # the rest of the answer never follows
    harness.until(lambda: harness.board.poll() and len(harness.board.conns) > 1, seconds=1.5)


@with_board
def test_a_poll_that_stalls_after_many_events_is_abandoned_in_time(harness):
    for rev in range(2, 10):  # more events than polls are allowed in a burst, so that the polls are paced
        harness.until(lambda rev=rev: f"watch={rev - 1}&".encode() in harness.board.poll())
        harness.publish(rev, flush={"collection": rev, "ms": 5})
    harness.until(lambda: b"watch=9&" in harness.board.poll())
    poll_sent_at = time.monotonic()
    harness.until(lambda: harness.board.poll() and len(harness.board.conns) > 1, seconds=5)
    assert time.monotonic() - poll_sent_at >= 1.5, "a poll without new events may take this long"


def test_a_request_that_arrives_byte_by_byte_is_served_once(harness):
    client = harness.client()
    fields = {"c": "fichiers", "i": REQUEST, "o": OBJECT, "d": "5000", "n": "0", "m": "41.5", "shard": "17"}
    for byte in codec.encode("serve", 1, 1, codec.ServeArgs(fields=fields, body=b"")):
        client.sock.sendall(bytes([byte]))
        harness.turn()
    line = harness.until(harness.cache.line)
    assert line.startswith(f"fetch {REQUEST} ")
    harness.cache.send(f"{REQUEST} data version=aa,stamp=1,n=HIT 2\r\nab\r\n".encode())
    assert harness.until(client.answers) == [(1, "success", {}, b"ab")]
    assert harness.cache.line() is None


# Internal faults -------------------------------------------------------------------------------------


def test_a_fault_in_a_connection_a_timer_or_an_action_does_not_affect_the_rest(harness, monkeypatch):
    failing_client, working_client = harness.client(), harness.client()
    run_turns(harness, 3)

    def fault(*args):
        raise RuntimeError("planted")

    failing_connection = next(
        c for c in harness.gateway.front.clients if c.sock.getpeername() == failing_client.sock.getsockname()
    )
    monkeypatch.setattr(
        type(failing_connection),
        "_call",
        lambda self, *a: fault() if self is failing_connection else original_call(self, *a),
    )
    harness.gateway.loop.after(0, fault)
    with monkeypatch.context() as patch:
        patch.setattr(harness.gateway.pool, "close_idle", fault)
        harness.gateway.batch.append(None)
        patch.setattr(harness.gateway.local, "decide", lambda events, now: [interface.CloseIdle(1)])
        harness.gateway.decide()
    failing_client.call()
    harness.until(lambda: failing_client.poll() is not None and failing_client.closed)
    served(harness, working_client, i="9b1f03aa5c7e2d42")
    harness.until(
        lambda: (
            sorted(v["where"] for event, v in harness.logged if event == "loop_fault")
            == ["action", "socket", "timer"]
        )
    )


def test_a_fault_in_a_periodic_task_or_a_send_does_not_prevent_the_next_one(harness, monkeypatch):
    def fault(*args):
        raise RuntimeError("planted")

    with monkeypatch.context() as patch:
        patch.setattr(harness.gateway.pool, "may_send", fault)
        patch.setattr(harness.gateway.pool, "_connections", None)
        patch.setattr(harness.gateway.front, "clients", None)
        harness.until(lambda: sum(v.get("where") == "timer" for _, v in harness.logged) > 1)
    client = harness.client()
    with monkeypatch.context() as patch:
        patch.setattr(harness.gateway.pool, "may_send", fault)
        client.call()
        harness.until(
            lambda: any(v["where"] == "call" for event, v in harness.logged if event == "loop_fault")
        )
    (stream,) = harness.gateway.pool._connections[1]
    assert not stream._sending
    monkeypatch.setattr(listener, "FIRST_REQUEST_TIMEOUT_NS", 0)
    idle = harness.client()
    # The periodic check for idle clients still runs.
    harness.until(lambda: idle.poll() is not None and idle.closed)


original_call = thrift.ThriftClient._call


def test_a_blocked_log_does_not_stop_the_process_and_the_lost_lines_are_counted():
    read_end, write_end = os.pipe()
    sink = logs.Sink(write_end)
    writer = threading.Thread(
        target=lambda: [sink.msg(json.dumps({"event": "x" * 90, "n": n})) for n in range(2000)], daemon=True
    )
    writer.start()
    writer.join(20)
    assert not writer.is_alive()
    os.set_blocking(read_end, False)
    first_output = os.read(read_end, 2**20)
    sink.msg(json.dumps({"event": "after"}))
    last_line = json.loads(os.read(read_end, 65536).splitlines()[-1])
    lines = first_output.splitlines()
    assert last_line == {"event": "after", "lost": 2000 - len(lines)} and all(
        json.loads(line) for line in lines
    )
    sink.msg("y" * 10_000)
    assert json.loads(os.read(read_end, 65536))["event"] == "line_too_long"
    os.close(read_end)
    sink.msg("nobody")
    os.close(write_end)
