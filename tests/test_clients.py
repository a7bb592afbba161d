"""Clients that are a nuisance, at both fronts: who is closed, when, and who is not."""

import time

import pytest
from stage import OBJECT, Client, Stage
from test_signed import PATH, SignedStage

from olivecourse.fronts import codec, listener

HALF = {"thrift": b"\0\0\0\x30\x80\x01", "signed": b"GET /fichiers/x HTTP/1.1\r\nHost: x\r\n"}


@pytest.fixture(params=["thrift", "signed"])
def stage(request, tmp_path, monkeypatch):
    monkeypatch.setattr(listener, "FIRST_NS", 300_000_000)
    monkeypatch.setattr(listener, "PARTIAL_REQUEST_TIMEOUT_NS", 300_000_000)
    made = SignedStage(tmp_path) if request.param == "signed" else Stage()
    made.kind = request.param
    yield made
    made.close()


def ask(stage, number, client=None, timeout_ms=5000):
    """A client with one request, which the store has been asked for; and that request's id."""
    if stage.kind == "signed":
        path = PATH.replace(OBJECT, f"{number:016x}")
        client = stage.ask(stage.link(path), request_timeout_ms=timeout_ms)
    else:
        client = client or stage.client()
        client.call(number, i=f"{number:016x}", o=f"{number:016x}", d=str(timeout_ms))
    return client, stage.until(stage.cache.line).split(" ")[1]


def serve(stage, client, request):
    held = len(client.poll())
    stage.cache.say(f"{request} data version=v1,stamp=1,n=HIT 2\r\nhi\r\n".encode())
    stage.until(lambda: len(client.poll()) > held)


def gone(stage, client):
    stage.until(lambda: client.poll() is not None and client.closed)


def test_silence_and_half_a_request_end_in_time_and_an_open_request_is_left_alone(stage):
    waiting, request = ask(stage, 1)
    silent, half = stage.client(), stage.client()
    half.sock.sendall(HALF[stage.kind])
    gone(stage, silent)
    gone(stage, half)
    assert not waiting.closed
    serve(stage, waiting, request)


def test_a_trickle_that_never_makes_a_request_ends_in_time(stage):
    client, end = stage.client(), time.monotonic() + 20

    def trickle():
        try:
            client.sock.send(HALF[stage.kind][:1] if stage.kind == "signed" else b"\0")
        except OSError:
            pass
        client.poll()
        return client.closed

    stage.until(trickle)
    assert time.monotonic() < end


def test_half_a_request_after_an_answered_one_ends_in_time(stage):
    client, request = ask(stage, 1)
    serve(stage, client, request)
    client.sock.sendall(HALF[stage.kind])
    gone(stage, client)


def test_a_client_that_stays_without_asking_again_is_closed(stage, monkeypatch):
    client, request = ask(stage, 1)
    serve(stage, client, request)
    monkeypatch.setattr(listener, "IDLE_NS", 100_000_000)
    gone(stage, client)


def test_a_full_table_closes_who_never_asked_then_the_longest_idle_and_nobody_at_work(stage):
    front = stage.gateway.front
    front._most = 3
    working, request = ask(stage, 1)
    idle, other = ask(stage, 2)
    serve(stage, idle, other)
    silent = stage.client()
    stage.until(lambda: len(front.clients) == 3)
    silent_one = next(iter(front._new_clients))
    front._new_clients[silent_one] -= listener.MIN_EVICTION_AGE_NS  # it has been silent for a while
    newcomer, third = ask(stage, 3)
    gone(stage, silent)
    assert not idle.closed
    latest, fourth = ask(stage, 4)
    gone(stage, idle)
    last = stage.client()  # all others are at work: it is turned away at once
    gone(stage, last)
    assert "too_many_clients" in stage.names()
    for client, asked in ((working, request), (newcomer, third), (latest, fourth)):
        held = len(client.poll())
        for conn in range(len(stage.cache.conns)):
            stage.cache.say(f"{asked} data version=v1,stamp=1,n=HIT 2\r\nhi\r\n".encode(), conn)
        stage.until(lambda client=client, held=held: len(client.poll()) > held)


def test_who_asked_only_once_makes_room_before_who_comes_again_and_again(stage):
    front = stage.gateway.front
    front._most = 2
    usual, request = ask(stage, 1)
    serve(stage, usual, request)
    (known,) = front.clients
    known.taken = 2  # it has asked twice, and is idle for longer than the other
    known.update_group()
    once, request = ask(stage, 2)
    serve(stage, once, request)
    newcomer, request = ask(stage, 3)
    gone(stage, once)
    assert not usual.closed


def test_room_is_not_made_at_the_cost_of_a_request_that_has_come_already(stage):
    front = stage.gateway.front
    front._most = 1
    client = stage.client()
    stage.until(lambda: front.clients)
    (known,) = front._new_clients
    front._new_clients[known] -= listener.MIN_EVICTION_AGE_NS
    if stage.kind == "signed":
        client.sock.sendall(f"GET {stage.link()} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    else:
        client.call()
    newcomer = Client(front.port)
    stage.clients.append(newcomer)
    front._accept(1)  # the newcomer is seen before the request is
    gone(stage, newcomer)
    request = stage.until(stage.cache.line).split(" ")[1]
    serve(stage, client, request)


def test_answers_that_nobody_reads_do_not_pile_up(stage):
    front = stage.gateway.front
    front._max_unread_bytes = 500_000
    client, reader = stage.client(), stage.client()
    stage.until(lambda: len(front.clients) == 2)
    slow = next(c for c in front.clients if c.sock.getpeername() == client.sock.getsockname())
    while len(slow.outbox) < 600_000:  # more than the system holds for a socket
        slow.write(b"x" * 100_000)
    stage.until(lambda: "client_does_not_read" in stage.names())
    assert not slow.open and not reader.closed


def test_requests_withdrawn_as_soon_as_they_are_made_do_not_keep_a_connection(stage):
    if stage.kind == "signed":
        pytest.skip("HTTP withdraws by closing")
    client = stage.client()
    for number in range(1, 20):
        client.call(number, i=f"{number:016x}")
        client.call(number, "forget", 4, codec.ForgetArgs(seqid=number))
    gone(stage, client)
    assert stage.cache.line() is None
