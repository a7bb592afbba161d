"""Deployments that differ: words, fields, settings. Nothing is taken for granted that no page promises."""

import json

import pytest
from stage import OBJECT, REQUEST, Stage
from test_ops import call, figures, total

from olivecourse.fronts import codec

FIELDS = {"c": "fichiers", "i": REQUEST, "o": OBJECT, "d": "5000", "n": "0", "shard": "17"}
HIT = f"{REQUEST} data version=aa,stamp=1,n=HIT 5\r\nhello\r\n".encode()


@pytest.fixture
def stage():
    made = Stage(admin="127.0.0.1:0")
    yield made
    made.close()


def ask(client, number=1, **more):
    client.call(number, args=codec.ServeArgs(fields=FIELDS | more))


def well(stage):
    """What a front is told that asks on a new connection."""
    client = stage.client()
    client.call(1, "isWell", 1, codec.IsWellArgs(unused=True))
    frame = stage.until(lambda: client.poll() if client.answers() else b"")
    return codec.decode(frame[4:], {"isWell": codec.Result})[3].success.good


def test_a_request_whose_size_is_not_told_is_served_and_its_size_stays_unknown(stage):
    client = stage.client()
    ask(client)
    stage.until(stage.cache.line)
    assert stage.gateway.local.router.held[REQUEST].ask.size_kb is None
    stage.cache.say(HIT)
    assert stage.until(client.answers) == [(1, "success", {}, b"hello")]
    ask(client, 2, i="00" * 8, m="3.5")
    stage.until(stage.cache.line)
    assert stage.gateway.local.router.held["00" * 8].ask.size_kb == 3.5, "told for some requests only"


def test_the_door_opens_by_either_name_and_speaks_both_vocabularies_at_each():
    two = Stage(admin="127.0.0.1:0", env={"EDGE_MGMT": "localhost:0"})
    try:
        doors = two.gateway.doors
        assert len(doors) == 2
        for _ in range(2):
            doors.reverse()  # `call` goes to the first
            for path in ("/ready", "/ops/readiness", "/metrics", "/ops/stats"):
                assert call(two, f"GET {path}")[0] == 200
            for words in (("POST /servers/out/s-00000001",),
                          ("PUT /ops/stores/down", b'{"id":"s-00000001"}')):
                assert call(two, *words)[0] == 200 and not two.gateway.directory.ready(1)
                assert call(two, "POST /servers/in/s-00000001")[0] == 200 and two.gateway.directory.ready(1)
            for words, status in (("POST /servers/out/s-0000000f", 404), ("POST /servers/out/", 404),
                                  ("GET /servers/out/s-00000001", 405), ("POST /servers/out", 404),
                                  ("GET /drain", 405), (f"POST /servers/out/{'x' * 300}", 400)):
                assert call(two, words)[0] == status, words
        refused = [v for e, v in two.logged if e == "ops_call_refused"]
        assert refused[0] == {"call": "POST /servers/out/s-0000000f", "status": 404, "body": "b''"}
    finally:
        two.close()


def test_a_gateway_that_drains_takes_no_work_loses_its_clients_and_answers_all_the_same(stage):
    idle, busy = stage.client(), stage.client()
    assert well(stage)
    ask(busy)
    stage.until(stage.cache.line)
    assert call(stage, "POST /drain") == (200, b'{"ok": true, "draining": true}\n')
    assert json.loads(call(stage, "GET /ready")[1]) == {"ready": False, "why": "draining"}
    assert not well(stage)
    stage.until(lambda: idle.poll() is not None and idle.closed)
    assert not busy.closed
    late = stage.client()  # who has not been told yet still gets an answer, and is then let go
    ask(late, i="00" * 8)
    stage.until(stage.cache.line)
    stage.cache.say(HIT, 0)
    stage.cache.say(HIT.replace(REQUEST.encode(), b"00" * 8))
    for client in (busy, late):
        assert stage.until(client.answers) == [(1, "success", {}, b"hello")]
        stage.until(lambda client=client: client.poll() is not None and client.closed)
    assert call(stage, "POST /undrain")[0] == 200 and call(stage, "GET /ready")[0] == 200 and well(stage)
    ask(stage.client(), i="11" * 8)
    assert stage.until(stage.cache.line)
    assert figures(stage)[total("answered")] == 2
    assert [e for e in stage.names() if e.startswith("drain_")] == ["drain_begins", "drain_ends"]
