"""Requests that must not run twice, whose id comes again: after their client has left, or at the other
process of an upgrade.
"""

import pytest
from harness import GatewayHarness
from test_upgrade import Upgrade, ids, served

from olivecourse.core import requests
from olivecourse.core.request_ids import RequestIdMemory
from olivecourse.ops.handover_codec import Kind, Message

MS = 1_000_000
ORDER = "commande"  # a class whose effect is at most once


def fetches(stage):
    """How many attempts of orders and reads the cache has received."""
    return stage.cache.poll().count(b"fetch ")


def answer_on_open_connections(stage, request):
    """Answers a request on each connection to the cache; gateways ignore answers to what they did not ask."""
    for connection in stage.cache.conns:
        try:
            connection.sendall(served(request))
        except OSError:  # the gateway has closed it
            pass


def answer_kinds(stage, client, count=1):
    return [
        kind for _, kind, _, _ in stage.until(lambda: len(client.answers()) >= count and client.answers())
    ]


@pytest.fixture
def stage():
    made = GatewayHarness()
    yield made
    made.close()


@pytest.mark.parametrize("retention_ms", [2_000, 40], ids=["soon", "after its entry has gone"])
def test_the_id_of_an_order_whose_client_has_left_is_not_run_again(stage, monkeypatch, retention_ms):
    """Guards against a second effect once the tracker has dropped the entry of a closed request."""
    monkeypatch.setattr(requests, "CLOSED_RETENTION_NS", retention_ms * MS)
    (order,) = ids(7)
    client, tracker = stage.client(), stage.gateway.tracker
    client.call(1, i=order, c=ORDER, body=b"x")
    stage.until(lambda: fetches(stage) == 1)
    client.sock.close()
    stage.until(lambda: not tracker.open)
    if retention_ms < 1_000:
        stage.until(lambda: order not in tracker.entries)
    again = stage.client()
    again.call(1, i=order, c=ORDER, body=b"x")
    assert answer_kinds(stage, again) == ["fault"]
    assert fetches(stage) == 1


def test_the_id_of_an_order_that_was_refused_unsent_may_come_again(stage, monkeypatch):
    monkeypatch.setattr(requests, "CLOSED_RETENTION_NS", 40 * MS)
    (order,) = ids(7)
    stage.cache.sock.close()
    client = stage.client()
    client.call(1, i=order, c=ORDER, body=b"x")
    assert answer_kinds(stage, client) == ["refused"]
    stage.until(lambda: order not in stage.gateway.tracker.entries)
    client.call(2, i=order, c=ORDER, body=b"x")
    assert answer_kinds(stage, client, 2) == ["refused", "refused"]


def test_ids_are_remembered_for_a_limited_time_and_in_limited_number():
    memory = RequestIdMemory(retention_ns=100, max_ids=3)
    memory.add("abcd", 0)
    assert memory.ids() == ["b", "c", "d"]
    memory.add("b", 50)
    memory.add("e", 101)
    assert memory.ids() == ["b", "e"] and "c" not in memory and len(memory) == 2


@pytest.fixture
def upgrade(tmp_path):
    made = Upgrade(tmp_path)
    yield made
    made.close()


def client_of(upgrade, gateway):
    """Connects a client that this one of the two processes accepts, by running it alone meanwhile."""
    before, client = len(gateway.front.clients), upgrade.client()
    while len(gateway.front.clients) == before:
        gateway.loop.turn(2 * MS)
    return client


def test_an_order_of_before_an_upgrade_is_not_run_again_by_the_new_process(upgrade):
    """Guards against a second effect at the new process, which has not seen the first request."""
    old = upgrade.stage.gateway
    first, second = ids(1, 2)
    leaving, staying = upgrade.client(), upgrade.client()
    leaving.call(1, i=first, c=ORDER, body=b"x")
    staying.call(1, i=second, c=ORDER, body=b"x")
    upgrade.until(lambda: fetches(upgrade) == 2)
    leaving.sock.close()
    upgrade.until(lambda: old.tracker.open == 1)
    new = upgrade.follow()
    old.stop()
    upgrade.until(lambda: len(new.front.clients) == 1 and not old.front.clients)
    again = upgrade.client()
    again.call(1, i=first, c=ORDER, body=b"x")
    again.call(2, i=second, c=ORDER, body=b"x")
    assert answer_kinds(upgrade, again, 2) == ["fault", "fault"]
    assert fetches(upgrade) == 2
    answer_on_open_connections(upgrade, second)
    assert answer_kinds(upgrade, staying) == ["success"], "the first request has its one answer all the same"


@pytest.mark.parametrize("first, second", [(0, 1), (1, 0)], ids=["old, then new", "new, then old"])
def test_an_order_during_an_upgrade_is_not_run_again_by_the_other_process(upgrade, first, second):
    """Guards against a second effect while both processes accept clients."""
    upgrade.follow()
    (order,) = ids(3)
    client = client_of(upgrade, upgrade.all[first])
    client.call(1, i=order, c=ORDER, body=b"x")
    upgrade.until(lambda: fetches(upgrade) == 1)
    client.sock.close()
    upgrade.until(lambda: not any(g.tracker.open for g in upgrade.all))
    again = client_of(upgrade, upgrade.all[second])
    again.call(1, i=order, c=ORDER, body=b"x")
    assert answer_kinds(upgrade, again) == ["fault"]
    assert fetches(upgrade) == 1


def test_an_order_that_reaches_both_processes_at_once_runs_once_at_most(upgrade):
    """Guards against two processes that accept an id before either has heard of the other."""
    upgrade.follow()
    clients = [client_of(upgrade, gateway) for gateway in upgrade.all]
    for number in range(1, 21):
        (order,) = ids(100 + number)
        for client in clients:
            client.call(number, i=order, c=ORDER, body=b"x")
        before = fetches(upgrade)

        def both_answered(number=number, before=before, order=order):
            if fetches(upgrade) > before:
                answer_on_open_connections(upgrade, order)
            return all(len(client.answers()) == number for client in clients)

        upgrade.until(both_answered)
        assert fetches(upgrade) <= before + 1


def test_an_order_is_refused_while_the_other_process_cannot_be_told_of_it(upgrade):
    """Guards against an order that is accepted although the other process may accept it as well."""
    upgrade.follow()
    old = upgrade.all[0]
    client = client_of(upgrade, old)
    (link,) = old.component(type(old.components[1])).hot_restart._links()
    while link.flushed:  # the other process does not read
        link.send(Message(Kind.LOOK, raw=b"x" * 100_000))
    client.call(1, i=ids(5)[0], c=ORDER, body=b"x")
    while not client.answers():
        old.loop.turn(2 * MS)
        old.decide()
    assert [kind for _, kind, _, _ in client.answers()] == ["refused"]
    assert fetches(upgrade) == 0
