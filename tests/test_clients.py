"""Clients that send nothing, stop in a request, stay idle or do not read: which connections are closed, when.

The tests run against the Thrift and the HTTP server; the one that cancels requests by `forget` needs Thrift.
"""

import time

import pytest
from harness import OBJECT, Client, GatewayHarness
from test_signed import PATH, SignedGatewayHarness

from olivecourse.fronts import codec, listener

INCOMPLETE_REQUEST = {"thrift": b"\0\0\0\x30\x80\x01", "signed": b"GET /fichiers/x HTTP/1.1\r\nHost: x\r\n"}


@pytest.fixture(params=["thrift", "signed"])
def harness(request, tmp_path, monkeypatch):
    monkeypatch.setattr(listener, "FIRST_REQUEST_TIMEOUT_NS", 300_000_000)
    monkeypatch.setattr(listener, "PARTIAL_REQUEST_TIMEOUT_NS", 300_000_000)
    created = SignedGatewayHarness(tmp_path) if request.param == "signed" else GatewayHarness()
    created.kind = request.param
    yield created
    created.close()


def ask(harness, number, client=None, timeout_ms=5000):
    """Sends request `number` and waits until it reaches the store; returns the client and the request's id.

    An HTTP request is sent on a new connection, a Thrift request on one if `client` is None.
    """
    if harness.kind == "signed":
        path = PATH.replace(OBJECT, f"{number:016x}")
        client = harness.ask(harness.link(path), request_timeout_ms=timeout_ms)
    else:
        client = client or harness.client()
        client.call(number, i=f"{number:016x}", o=f"{number:016x}", d=str(timeout_ms))
    return client, harness.until(harness.cache.line).split(" ")[1]


def serve(harness, client, request):
    """Answers a request at the store and waits until bytes of the response have reached the client."""
    length_before = len(client.poll())
    harness.cache.send(f"{request} data version=v1,stamp=1,n=HIT 2\r\nhi\r\n".encode())
    harness.until(lambda: len(client.poll()) > length_before)


def wait_closed(harness, client):
    """Waits until the gateway has closed the client's connection."""
    harness.until(lambda: client.poll() is not None and client.closed)


def test_connections_without_a_whole_request_are_closed_in_time_unless_one_is_open(harness):
    waiting, request = ask(harness, 1)
    silent, incomplete = harness.client(), harness.client()
    incomplete.sock.sendall(INCOMPLETE_REQUEST[harness.kind])
    wait_closed(harness, silent)
    wait_closed(harness, incomplete)
    assert not waiting.closed
    serve(harness, waiting, request)


def test_a_connection_that_sends_single_bytes_without_a_request_is_closed_in_time(harness):
    client, end = harness.client(), time.monotonic() + 20

    def send_one_byte():
        try:
            client.sock.send(INCOMPLETE_REQUEST[harness.kind][:1] if harness.kind == "signed" else b"\0")
        except OSError:
            pass
        client.poll()
        return client.closed

    harness.until(send_one_byte)
    assert time.monotonic() < end


def test_an_incomplete_request_after_an_answered_one_is_closed_in_time(harness):
    client, request = ask(harness, 1)
    serve(harness, client, request)
    client.sock.sendall(INCOMPLETE_REQUEST[harness.kind])
    wait_closed(harness, client)


def test_an_idle_client_is_closed(harness, monkeypatch):
    client, request = ask(harness, 1)
    serve(harness, client, request)
    monkeypatch.setattr(listener, "IDLE_TIMEOUT_NS", 100_000_000)
    wait_closed(harness, client)


def test_at_the_limit_silent_then_idle_clients_are_closed_but_none_with_an_open_request(harness):
    front = harness.gateway.front
    front._max_clients = 3
    working, request = ask(harness, 1)
    idle, idle_request = ask(harness, 2)
    serve(harness, idle, idle_request)
    silent = harness.client()
    harness.until(lambda: len(front.clients) == 3)
    silent_client = next(iter(front._new_clients))
    front._new_clients[silent_client] -= listener.MIN_EVICTION_AGE_NS  # as if it had connected earlier
    newcomer, third = ask(harness, 3)
    wait_closed(harness, silent)
    assert not idle.closed
    latest, fourth = ask(harness, 4)
    wait_closed(harness, idle)
    last = harness.client()  # all other clients have open requests, so it is closed at once
    wait_closed(harness, last)
    assert "too_many_clients" in harness.event_names()
    for client, request_id in ((working, request), (newcomer, third), (latest, fourth)):
        length_before = len(client.poll())
        for conn in range(len(harness.cache.conns)):
            harness.cache.send(f"{request_id} data version=v1,stamp=1,n=HIT 2\r\nhi\r\n".encode(), conn)
        harness.until(lambda client=client, length_before=length_before: len(client.poll()) > length_before)


def test_a_client_with_one_request_is_closed_before_a_regular_client(harness):
    front = harness.gateway.front
    front._max_clients = 2
    usual, request = ask(harness, 1)
    serve(harness, usual, request)
    (connection,) = front.clients
    connection.request_count = 2  # as if it had sent two requests, so as a regular client; it is idle longest
    connection.update_group()
    once, request = ask(harness, 2)
    serve(harness, once, request)
    newcomer, request = ask(harness, 3)
    wait_closed(harness, once)
    assert not usual.closed


def test_a_client_whose_request_has_just_arrived_is_not_closed_for_a_new_client(harness):
    front = harness.gateway.front
    front._max_clients = 1
    client = harness.client()
    harness.until(lambda: front.clients)
    (connection,) = front._new_clients
    front._new_clients[connection] -= listener.MIN_EVICTION_AGE_NS
    if harness.kind == "signed":
        client.sock.sendall(f"GET {harness.link()} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    else:
        client.call()
    newcomer = Client(front.port)
    harness.clients.append(newcomer)
    front._accept(1)  # the new client is accepted before the first client's request is read
    wait_closed(harness, newcomer)
    request = harness.until(harness.cache.line).split(" ")[1]
    serve(harness, client, request)


def test_a_client_that_does_not_read_its_responses_is_closed(harness):
    front = harness.gateway.front
    front._max_unread_bytes = 500_000
    client, reader = harness.client(), harness.client()
    harness.until(lambda: len(front.clients) == 2)
    slow = next(c for c in front.clients if c.sock.getpeername() == client.sock.getsockname())
    while len(slow.outbox) < 600_000:  # what the socket buffers hold does not count as unread
        slow.write(b"x" * 100_000)
    harness.until(lambda: "client_does_not_read" in harness.event_names())
    assert not slow.open and not reader.closed


def test_requests_that_are_cancelled_at_once_do_not_keep_a_connection_open(harness):
    if harness.kind == "signed":
        pytest.skip("HTTP withdraws by closing")
    client = harness.client()
    for number in range(1, 20):
        client.call(number, i=f"{number:016x}")
        client.call(number, "forget", 4, codec.ForgetArgs(seqid=number))
    wait_closed(harness, client)
    assert harness.cache.line() is None
