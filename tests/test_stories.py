"""End-to-end tests of a gateway in the test process, against scripted servers and clients on loopback."""

import pytest
from harness import OBJECT, REQUEST, GatewayHarness, ScriptedServer, member

from olivecourse.fronts import codec


@pytest.fixture
def harness(request):
    """A gateway with scripted servers; `with_board` adds a discovery server."""
    made = GatewayHarness(**getattr(request, "param", {}))
    yield made
    made.close()


def with_board(test):
    """Runs a test on a stage with a scripted discovery server."""
    return pytest.mark.parametrize("harness", [{"board": True}], indirect=True)(test)


def fields_of(line):
    """The fields of a `fetch` line as a dictionary."""
    word, request, encoded_fields, size = line.split(" ")
    return dict(pair.split("=", 1) for pair in encoded_fields.split(","))


def test_a_read_is_forwarded_and_its_complete_body_is_returned(harness):
    client, body = harness.client(), bytes(range(256)) * 900
    client.call(7, mine="4be0c1927d55a6f3")
    line = harness.until(harness.cache.line)
    assert line.startswith(f"fetch {REQUEST} ") and line.endswith(" 0")
    fetch_fields = fields_of(line)
    assert (fetch_fields["sort"], fetch_fields["asset"], fetch_fields["slice"], fetch_fields["holds"]) == (
        "fichiers",
        OBJECT,
        "0",
        "4be0c1927d55a6f3",
    )
    assert fetch_fields["fetch"] == "s-00000008" and 4000 < int(fetch_fields["patience"]) <= 5000
    harness.cache.send(b"%s data version=aa,stamp=1,n=HIT %d\r\n%s\r\n" % (REQUEST.encode(), len(body), body))
    assert harness.until(client.answers) == [(7, "success", {}, body)]


def test_an_unchanged_answer_tells_the_client_that_its_copy_is_valid(harness):
    client = harness.client()
    client.call(mine="aa")
    harness.until(harness.cache.line)
    harness.cache.send(f"{REQUEST} unchanged version=aa,stamp=1,n=HIT 0\r\n\r\n".encode())
    assert harness.until(client.answers) == [(1, "success", {"still": "1"}, b"")]


def test_the_idempotency_key_reaches_the_store_unchanged_and_a_malformed_one_is_a_fault(harness):
    client = harness.client()
    client.call(c="commande", body=b"a dozen", k="763fa061b1d166bbecc24c75a477a81a")
    assert fields_of(harness.until(harness.cache.line))["op"] == "763fa061b1d166bbecc24c75a477a81a"
    client.call(2, i="9b1f03aa5c7e2d42", k="a,b=c")
    assert harness.until(client.answers) == [(2, "fault", {}, b"")]
    client.call(3, i="9b1f03aa5c7e2d43", o="7f3a9c21e0b4d656")
    assert "op" not in fields_of(
        harness.until(
            lambda: next((line for line in iter(harness.cache.line, None) if line.startswith("fetch")), None)
        )
    )


def test_a_write_that_may_have_run_fails_and_is_not_sent_again(harness):
    client = harness.client()
    client.call(c="commande", body=b"a dozen")
    assert "retain" not in fields_of(harness.until(harness.cache.line))
    assert harness.until(harness.cache.line) == "a dozen"
    harness.cache.conns[0].close()
    harness.cache.conns.clear()
    assert harness.until(client.answers)[0][1] == "failed"
    assert harness.cache.line() is None and harness.parent.line() is None and harness.origin.line() is None


def test_a_write_rejected_as_full_is_refused_with_a_retry_time(harness):
    client = harness.client()
    client.call(c="commande", body=b"a dozen")

    def reject_and_poll():
        if (line := harness.cache.line()) and line.startswith("fetch"):
            harness.cache.send(f"{REQUEST} full - 0\r\n\r\n".encode())
        return client.answers()

    (answer,) = harness.until(reject_and_poll)
    assert answer[1] == "refused" and answer[2] == {"w": "1000"}


def test_a_second_send_of_a_write_is_blocked_even_if_the_decision_module_orders_it(harness):
    from olivecourse import interface as interface

    client = harness.client()
    client.call(c="commande", body=b"once")
    harness.until(lambda: harness.cache.line() == "once")
    harness.gateway.execute([interface.ReadThrough(REQUEST, 1, 10**9, 9, 0, 0, interface.How(0))])
    assert "second_send_blocked" in harness.event_names()
    harness.gateway.execute([interface.Refuse(REQUEST, 0)])
    assert harness.until(client.answers)[0][1] == "failed"


def test_a_write_whose_connection_is_refused_has_not_run_and_is_refused(harness):
    harness.cache.sock.close()
    client = harness.client()
    client.call(c="commande")
    assert harness.until(client.answers)[0][1] == "refused"


def test_forget_cancels_the_attempt_and_a_late_answer_is_dropped(harness):
    client = harness.client()
    client.call(3)
    harness.until(harness.cache.line)
    client.call(4, "forget", 4, codec.ForgetArgs(seqid=3))
    assert harness.until(harness.cache.line) == f"abort {REQUEST}"
    harness.cache.send(f"{REQUEST} data version=aa,stamp=1,n=HIT 2\r\nhi\r\n".encode())
    client.call(5, "isWell", 1, codec.IsWellArgs(unused=True))
    assert [a[:2] for a in harness.until(client.answers)] == [(5, "success")]


def test_a_disconnected_client_leaves_nothing_open(harness):
    client = harness.client()
    client.call()
    harness.until(harness.cache.line)
    client.sock.close()
    assert harness.until(harness.cache.line) == f"abort {REQUEST}"
    assert harness.gateway.tracker.open == 0


def test_the_final_answer_is_sent_before_the_client_deadline(harness):
    client = harness.client()
    client.call(d="120")
    harness.until(harness.cache.line)
    assert harness.until(client.answers)[0][1] == "refused"
    assert not harness.gateway.tracker.totals["served"] and "answered_by_guard" not in harness.event_names()


def test_a_request_lost_by_the_decision_module_is_still_answered(harness):
    client = harness.client()
    client.call(d="120")
    harness.until(harness.cache.line)
    harness.gateway.local.router.pending_requests.clear()
    assert harness.until(client.answers)[0][1] == "refused"
    assert "answered_by_guard" in harness.event_names()


@with_board
def test_an_attempt_not_yet_written_is_not_sent_to_a_store_that_starts_to_drain(harness):
    harness.until(lambda: b"watch=1" in harness.board.poll())
    client = harness.client()
    # The drain is published while the second attempt waits behind unsent bytes of its connection.
    pool = harness.gateway.pool
    client.call()
    harness.until(lambda: pool._connections.get(1))
    stream = pool._connections[1][0]
    harness.until(lambda: not stream.connecting and harness.cache.line())
    stream.outbox.write(b"x")  # unsent bytes: the next attempt has to wait behind them
    flush, stream.flush = stream.flush, lambda: None
    client.call(2, i="00000000000000aa")
    pool.limits = type(pool.limits)(10**9, 10**10, 100, 1, 1)
    harness.until(lambda: len(stream.waiting) == 1)
    harness.publish(
        2,
        pool={
            "revision": 2,
            "complete": False,
            "members": [member("s-00000001", harness.cache.address, phase="Terminating")],
        },
    )
    harness.until(lambda: not harness.gateway.directory.ready(1))
    stream.flush = flush
    stream.flush()
    assert harness.until(client.answers)[0][:2] == (2, "refused")
    assert b"00000000000000aa" not in harness.cache.poll()


@with_board
def test_a_purge_bounds_the_age_of_copies_and_the_next_poll_starts_after_it(harness):
    import time

    harness.until(lambda: b"watch=1&" in harness.board.poll())
    harness.publish(2, flush={"asset": OBJECT, "ms": int(time.time() * 1000) - 40})
    harness.until(lambda: b"watch=2&" in harness.board.poll())
    client = harness.client()
    client.call()
    fetch_fields = fields_of(harness.until(harness.cache.line))
    assert 40 <= int(fetch_fields["newer"]) < 20_000 and "coalesce" not in fetch_fields.get("handle", "")


@with_board
def test_a_lost_discovery_connection_is_reopened_from_the_last_revision(harness):
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    harness.board.conns.pop().close()
    harness.board.data.clear()
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    harness.publish(5, flush={"collection": 17, "ms": 1})
    harness.until(lambda: b"watch=5&" in harness.board.poll())
    assert "discovery_disconnected" in harness.event_names()


@with_board
def test_unusable_events_are_logged_and_skipped(harness):
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    harness.publish(2, flush={"asset": "x y", "ms": 1}, pool={"members": [{"id": "s-1"}]})
    harness.until(lambda: b"watch=2&" in harness.board.poll())
    assert "discovery_event_invalid" in harness.event_names()


@pytest.mark.parametrize(
    "fields",
    [
        {"c": "nosuch"},
        {"o": "../etc"},
        {"d": "soon"},
        {"d": "-1"},
        {"n": "9e9"},
        {"mine": "a b"},
        {"i": "1"},
        {"shard": "256"},
    ],
)
def test_invalid_request_fields_get_a_fault_and_the_connection_stays_open(harness, fields):
    client = harness.client()
    client.call(1, **fields)
    client.call(2, "isWell", 1, codec.IsWellArgs(unused=True))
    harness.until(lambda: len(client.answers()) == 2)
    assert [a[:2] for a in client.answers()] == [(1, "fault"), (2, "success")]


@pytest.mark.parametrize(
    "data",
    [
        b"\x7f\xff\xff\xff",
        b"\x00\x00\x00\x04abcd",
        b"GET / HTTP/1.1\r\n\r\n",
        # A map that announces two thousand million entries, and a string of that many bytes.
        b"\x00\x00\x00\x1a\x80\x01\x00\x01\x00\x00\x00\x05serve\x00\x00\x00\x01\x0d\x00\x01\x0b\x0b\x7f\xff\xff\xff\x00",
        b"\x00\x00\x00\x18\x80\x01\x00\x01\x00\x00\x00\x05serve\x00\x00\x00\x01\x0b\x00\x02\x7f\xff\xff\xff",
    ],
)
def test_malformed_frames_close_the_connection(harness, data):
    client = harness.client()
    client.sock.sendall(data)
    harness.until(lambda: client.poll() == b"" and client.closed)
    assert "client_bad_frame" in harness.event_names()


def test_an_id_in_use_and_an_unknown_method_are_faults(harness):
    client = harness.client()
    client.call(1)
    client.call(2)
    client.call(3, "steal", 1, codec.IsWellArgs(unused=True))
    harness.until(lambda: len(client.answers()) == 2)
    assert [a[:2] for a in client.answers()] == [(2, "fault"), (3, "fault")]


@pytest.mark.parametrize(
    "answer",
    [
        b"what is this\r\n",
        b"a b c d\r\n",
        b"x" * 3000,
        b"%s data - 999999999\r\n" % REQUEST.encode(),
        b"%s data - 2\r\nabcd" % REQUEST.encode(),
    ],
)
def test_a_malformed_store_answer_closes_the_connection(harness, answer):
    client = harness.client()
    client.call()
    harness.until(harness.cache.line)
    harness.cache.send(answer)
    harness.until(lambda: "store_broken_answer" in harness.event_names())
    assert all(s.open for streams in harness.gateway.pool._connections.values() for s in streams)


def test_a_stopping_gateway_answers_open_requests_and_still_accepts_new_ones(harness):
    client = harness.client()
    client.call(1)
    harness.until(harness.cache.line)
    harness.gateway.stop()
    client.call(2, i="00000000000000aa")
    assert "00000000000000aa" in harness.until(harness.cache.line)
    for request in (REQUEST, "00000000000000aa"):
        answer = f"{request} data version=aa,stamp=1,n=HIT 2\r\nhi\r\n".encode()
        harness.cache.send(answer, conn=0 if request == REQUEST else -1)
    harness.until(lambda: len(client.answers()) == 2)
    harness.until(lambda: not harness.gateway.loop.running)
    assert {a[1] for a in client.answers()} == {"success"}


def test_a_stopping_gateway_refuses_in_time_a_request_that_no_store_answers(harness):
    client = harness.client()
    client.call(1, d="6000")
    harness.until(harness.cache.line)
    harness.gateway.stop()
    harness.until(lambda: not harness.gateway.loop.running)
    assert client.answers()[0][1] == "refused"


@pytest.mark.parametrize("fields", [{}, {"still": "1"}, {"w": "1000", "é": "à"}])
def test_hand_built_frames_equal_those_of_the_thrift_library(fields):
    def encode_result(**result):
        return codec.encode("serve", 2, 2**31 - 7, codec.Result(**result))

    assert codec.answer_frame(2**31 - 7, b"\0body", fields) == encode_result(
        success=codec.Answer(body=b"\0body", fields=fields, good=True)
    )
    assert codec.refusal_frame(2**31 - 7, True, fields) == encode_result(refused=codec.Refusal(fields=fields))
    assert codec.refusal_frame(2**31 - 7, False, fields) == encode_result(failed=codec.Refusal(fields=fields))


def test_corrupted_frames_do_not_exhaust_memory_or_time():
    import random

    rng = random.Random(1)
    valid_frame = codec.encode(
        "serve", 1, 7, codec.ServeArgs(fields={"c": "pages", "i": REQUEST}, body=b"a")
    )[4:]
    for _ in range(20_000):
        frame = bytearray(valid_frame)
        for _ in range(rng.randrange(1, 4)):
            frame[rng.randrange(len(frame))] = rng.randrange(256)
        try:
            codec.decode(bytes(frame[: rng.randrange(len(frame) + 1)]), codec.METHODS)
        except Exception as error:
            assert not isinstance(error, MemoryError)


@with_board
@pytest.mark.parametrize("member_changes", [{"phase": "Gone"}, {"up_since_ms": 1}])
def test_attempts_at_a_vanished_store_end_when_discovery_reports_it(harness, member_changes):
    import time

    harness.until(lambda: b"watch=1&" in harness.board.poll())
    client = harness.client()
    client.call(1, c="commande")
    harness.until(harness.cache.line)
    (stream,) = harness.gateway.pool._connections[1]
    stream.last_received_at -= 10**9  # the store has been silent for longer than an answer takes to arrive
    member_changes = (
        {"up_since_ms": int(time.time() * 1000)} if "up_since_ms" in member_changes else member_changes
    )
    harness.publish(
        2,
        pool={
            "revision": 2,
            "complete": False,
            "members": [member("s-00000001", harness.cache.address, **member_changes)],
        },
    )
    assert harness.until(client.answers)[0][1] == "failed"
    assert not stream.open


def test_concurrent_attempts_at_a_store_wait_for_a_single_connection(harness):
    client = harness.client()
    for number in range(1, 5):
        client.call(number, i=f"{number:016x}")
    harness.until(lambda: harness.gateway.tracker.open == 4)
    harness.until(lambda: b"0000000000000004" in harness.cache.poll())
    assert len(harness.cache.conns) == 1


@with_board
def test_a_reload_continues_the_poll_at_the_new_discovery_server_from_the_last_event(harness):
    old_board, harness.board = harness.board, ScriptedServer()
    harness.until(lambda: b"watch=1&" in old_board.poll())
    client = harness.client()
    client.call()
    harness.until(harness.cache.line)
    # The rest of this answer never follows.
    old_board.send(b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"rev":2,"notices":[{"rev":2,')
    harness.gateway.reload(harness.config({**harness.raw, "board": harness.board.address}))
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    harness.publish(2, flush={"asset": OBJECT, "ms": 1})
    harness.until(lambda: b"watch=2&" in harness.board.poll())
    harness.cache.send(f"{REQUEST} data version=aa,stamp=1,n=HIT 2\r\nhi\r\n".encode())
    assert harness.until(client.answers) == [(1, "success", {}, b"hi")]
    assert ("reloaded", {"moved": ["board"], "needs_restart": []}) in harness.logged
    assert "discovery_disconnected" not in harness.event_names()
    old_board.close()


@with_board
def test_the_poll_is_not_repeated_at_once_after_a_malformed_discovery_answer(harness):
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    harness.board.send(b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{"r')
    harness.until(lambda: "discovery_disconnected" in harness.event_names())
    assert harness.board.poll().count(b"GET ") == 1
    harness.until(lambda: harness.board.poll().count(b"GET ") == 2)


@pytest.mark.parametrize(
    "answer",
    [
        "data - 2\r\nhi\r\n",
        "data version=aa,n=HIT 2\r\nhi\r\n",
        "data version=a a,stamp=1 2\r\nhi\r\n",
        "data version=aa,stamp=x 2\r\nhi\r\n",
        "data version=aa,stamp 2\r\nhi\r\n",
        "unchanged version=aa,stamp=1 0\r\n\r\n",
        "full - 2\r\nhi\r\n",
    ],
)
def test_an_answer_without_its_required_fields_is_rejected_and_the_read_repeated(harness, answer):
    client = harness.client()
    client.call()
    harness.until(harness.cache.line)
    harness.cache.send(f"{REQUEST} {answer}".encode())
    harness.until(lambda: "store_broken_answer" in harness.event_names())
    assert REQUEST in harness.until(harness.cache.line)  # on a new connection
    harness.cache.send(f"{REQUEST} data version=aa,stamp=1,n=HIT 2\r\nok\r\n".encode())
    assert harness.until(client.answers) == [(1, "success", {}, b"ok")]


def test_a_truncated_answer_is_abandoned_and_the_read_repeated(harness):
    client = harness.client()
    client.call(d="60000")
    harness.until(harness.cache.line)
    harness.cache.send(f"{REQUEST} data version=aa,stamp=1,n=HIT 20\r\nhalf of".encode())
    assert REQUEST in harness.until(harness.cache.line)
    assert ("store_broken_answer", {"store": "s-00000001", "line": "an answer stops short"}) in harness.logged


def test_a_good_answer_before_an_unreadable_line_still_counts(harness):
    client = harness.client()
    client.call()
    harness.until(harness.cache.line)
    harness.cache.send(f"{REQUEST} data version=aa,stamp=1,n=HIT 2\r\nhi\r\n\x01\x02\r\n".encode())
    assert harness.until(client.answers) == [(1, "success", {}, b"hi")]
    assert "store_broken_answer" in harness.event_names()


def test_a_second_answer_or_one_with_an_unknown_id_is_ignored(harness):
    client, valid_answer = harness.client(), "data version=aa,stamp=1,n=HIT 2\r\nhi\r\n"
    client.call()
    harness.until(harness.cache.line)
    harness.cache.send(
        f"00000000000000ff {valid_answer}{REQUEST} {valid_answer}{REQUEST} {valid_answer}".encode()
    )
    harness.until(client.answers)
    client.call(2, i="00000000000000aa")
    line = harness.until(harness.cache.line)
    harness.cache.send(f"{line.split(' ')[1]} {valid_answer.replace('hi', 'ho')}".encode())
    harness.until(lambda: len(client.answers()) == 2)
    assert [a[3] for a in client.answers()] == [b"hi", b"ho"]
    assert "store_broken_answer" not in harness.event_names()


def test_a_request_id_is_never_sent_twice_on_one_connection(harness):
    client = harness.client()
    client.call()
    harness.until(harness.cache.line)
    harness.cache.send(f"{REQUEST} full - 0\r\n\r\n".encode())
    assert REQUEST in harness.until(harness.cache.line)
    assert len(harness.cache.conns) == 2


def test_a_connection_with_an_unanswered_request_gets_no_further_requests(harness):
    client = harness.client()
    client.call(d="200")
    harness.until(harness.cache.line)
    assert harness.until(client.answers)[0][1] == "refused"
    client.call(2, i="00000000000000aa")
    harness.until(lambda: b"00000000000000aa" in harness.cache.poll())
    assert len(harness.cache.conns) == 2
    # The connection is closed once it has no open request.
    harness.until(lambda: not any(s.retiring for s in harness.gateway.pool._connections[1]))


def test_an_attempt_whose_write_failed_has_not_run(harness):
    client = harness.client()
    client.call(1)
    harness.until(harness.cache.line)
    harness.cache.send(f"{REQUEST} full - 0\r\n\r\n".encode())
    harness.until(lambda: harness.gateway.pool._connections[1][0].load == 0)
    for streams in harness.gateway.pool._connections.values():
        for stream in streams:
            stream.sock.shutdown(2)  # the next write fails at once, before the loop is notified
    harness.cache.sock.close()
    harness.gateway.front._accept(1)
    client.call(2, i="00000000000000aa", c="commande")
    for _ in range(3):  # the stores' sockets are not polled, so that the write comes first
        for accepted_client in list(harness.gateway.front.clients):
            accepted_client.read()
        harness.gateway.decide()
    assert harness.until(lambda: [a for a in client.answers() if a[0] == 2])[0][1] == "refused"


def test_requests_without_a_field_and_with_a_repeated_number_are_not_served(harness):
    client = harness.client()
    fields = {"c": "fichiers", "i": REQUEST, "o": OBJECT, "d": "5000", "n": "0", "shard": "17"}
    for number, name in enumerate(fields, 1):
        client.call(number, args=codec.ServeArgs(fields={k: v for k, v in fields.items() if k != name}))
    client.call(7, m="large")
    harness.until(lambda: len(client.answers()) == 7)
    assert [a[1] for a in client.answers()] == ["fault"] * 7
    client.call(7)
    harness.until(lambda: client.poll() is not None and client.closed)
    assert harness.cache.line() is None


@with_board
def test_continuous_replacement_of_stores_leaves_no_state(harness):
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    directory, rev = harness.gateway.directory, 1
    tables = (directory.names, directory.addresses, directory.states, directory.members, directory.started)
    sizes_before = [len(table) for table in tables[:4]]
    for number in range(20):
        for phase in ("Ready", "Terminating", "Gone"):
            rev += 1
            changed_member = member(
                f"s-000001{number:02x}", harness.cache.address, phase=phase, up_since_ms=10**12 + number
            )
            harness.publish(rev, pool={"revision": rev, "complete": False, "members": [changed_member]})
            harness.until(lambda rev=rev: f"watch={rev}&".encode() in harness.board.poll())
    assert [len(table) for table in tables[:4]] == sizes_before and not directory.started
    assert len(harness.gateway.local.router.nodes) == 3


@with_board
def test_a_store_with_a_new_address_gets_requests_only_there(harness):
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    client, moved = harness.client(), ScriptedServer()
    harness.peers.append(moved)
    client.call()
    harness.until(harness.cache.line)
    harness.cache.send(f"{REQUEST} data version=aa,stamp=1,n=HIT 2\r\nhi\r\n".encode())
    harness.until(client.answers)
    harness.publish(
        2, pool={"revision": 2, "complete": False, "members": [member("s-00000001", moved.address)]}
    )
    harness.until(lambda: b"watch=2&" in harness.board.poll())
    client.call(2, i="00000000000000aa")
    assert "00000000000000aa" in harness.until(moved.line)
    assert b"00000000000000aa" not in harness.cache.poll()
