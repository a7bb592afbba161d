"""Tests of a gateway's admin server, its metrics and manual drains (stores that operators take out of
service), over loopback sockets.
"""

import json
import re
import socket
import time
from types import SimpleNamespace

import pytest
from conftest import make_class, make_settings
from harness import OBJECT, REQUEST, GatewayHarness, drain, member
from hypothesis import given, settings
from hypothesis import strategies as st

from olivecourse import interface
from olivecourse.components import AdminServerComponent
from olivecourse.core.descriptors import DESCRIPTORS_PER_ENDPOINT, divide_descriptors
from olivecourse.core.requests import DuplicateRequest, RequestTracker, TooManyOpenRequests
from olivecourse.fronts import codec
from olivecourse.gateway import Gateway
from olivecourse.ops.admin_server import MAX_CONNECTIONS
from olivecourse.ops.manual_drains import DrainRecord, ManualDrains

GAUGES = {
    "app_current",
    "app_cluster_size",
    "app_cluster_unhealthy",
    "app_turn_seconds_max",
    "app_conf_loaded_total",
    "app_conf_invalid_total",
}


@pytest.fixture
def harness():
    made = GatewayHarness(mgmt="127.0.0.1:0")
    yield made
    made.close()


class Call:
    """One HTTP call to the gateway's admin server, sent in pieces of `cut` bytes if given.

    Calling the object returns the reply's status, body and head, or None until the reply is complete.
    """

    def __init__(self, harness, head, body=b"", cut=0):
        self.harness = harness
        self.sock = socket.create_connection(
            ("127.0.0.1", harness.gateway.component(AdminServerComponent).admin_servers[0].port)
        )
        self.sock.setblocking(False)
        self.data = b""
        whole = f"{head} HTTP/1.1\r\nHost: ops\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        for at in range(0, len(whole), cut or len(whole)):
            self.sock.sendall(whole[at : at + (cut or len(whole))])
            if cut:
                harness.turn()

    def __call__(self):
        self.data += drain(self.sock)
        head, _, body = self.data.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        if length and len(body) == int(length[1]):
            return int(head.split()[1]), body, head
        return None


def call(harness, head, body=b"", **more):
    """Makes one HTTP call to the gateway's admin server and returns the reply's status and body."""
    made = Call(harness, head, body, **more)
    try:
        return harness.until(made)[:2]
    finally:
        made.sock.close()


def down(harness, name, action="down"):
    """Calls the admin server to drain the store `name`, or with "up" to end its drain; returns the reply's
    status.
    """
    return call(harness, f"PUT /ops/stores/{action}", json.dumps({"id": name}).encode())[0]


def read_metrics(harness):
    """Fetches the gateway's metrics; returns each value by the metric's name with its labels."""
    status, text = call(harness, "GET /ops/stats")
    assert status == 200
    return {name: float(value) for name, value in re.findall(r"^(app_\S+) (\S+)$", text.decode(), re.M)}


def total(state, group="fichiers"):
    """Returns the name and labels of the metric that counts the requests of the class `group` that ended as
    `state`.
    """
    return f'app_transactions_total{{group="{group}",state="{state}"}}'


def test_the_admin_server_refuses_every_invalid_call_with_a_reason(harness):
    assert call(harness, "GET /ops/readiness") == (200, b'{"ready": true}\n')
    assert call(harness, "GET /ops/readiness", cut=3)[0] == 200
    good = b'{"id": "s-00000001"}'
    for head, body, status in (
        ("GET /ops/other", b"", 404),
        ("GET /ops/stores/down", b"", 405),
        ("PUT /ops/stats", b"", 405),
        ("PUT /ops/stores/down", b"", 400),
        ("PUT /ops/stores/down", b"[" * 4000, 400),
        ("PUT /ops/stores/down", b'{"id": 7}', 400),
        ("PUT /ops/stores/down", b'{"id": ""}', 400),
        ("PUT /ops/stores/down", b"\xff\xfe", 400),
        ("PUT /ops/stores/down", good + b" " * 5000, 413),
        ("PUT /ops/stores/up", b'{"id": "s-0000000f"}', 404),
        ("GET /" + "x" * 2000, b"", 414),
        ("HELO " * 3, b"", 400),
    ):
        answer = call(harness, head, body)
        assert (answer[0], bool(json.loads(answer[1])["why"])) == (status, True), head
    made = Call(harness, "GET /ops/stores/up")
    assert b"\r\nAllow: PUT\r\n" in harness.until(made)[2]
    harness.gateway.stop()
    assert call(harness, "GET /ops/readiness")[0] == 503
    assert harness.gateway.directory.ready(1), "a refused call must not change anything"


def test_calls_are_answered_while_silent_clients_hold_connections(harness):
    admin_server = harness.gateway.component(AdminServerComponent).admin_servers[0]
    silent = [socket.create_connection(("127.0.0.1", admin_server.port)) for _ in range(50)]
    for sock in silent[::2]:
        sock.sendall(b"GET /ops/readiness HTTP/1.1\r\nHo")
    harness.until(
        lambda: (
            len(harness.gateway.component(AdminServerComponent).admin_servers[0].connections)
            == MAX_CONNECTIONS
        )
    )
    began = time.monotonic()
    assert call(harness, "GET /ops/readiness")[0] == 200
    assert time.monotonic() - began < 0.5
    assert len(admin_server.connections) <= MAX_CONNECTIONS
    harness.until(lambda: not admin_server.connections)  # all lack a complete call by CALL_TIMEOUT_NS
    for sock in silent:
        sock.close()


def test_metrics_count_each_outcome_and_each_attempt_once(harness):
    start = read_metrics(harness)
    assert {k: v for k, v in start.items() if k not in GAUGES} == {
        total(s, g): 0 for s in ("answered", "deferred", "errored") for g in ("fichiers", "commande")
    } | {"app_sends_total": 0}
    assert start["app_cluster_size"] == 3 and start["app_cluster_unhealthy"] == start["app_current"] == 0
    client = harness.client()
    client.call(1)
    harness.until(harness.cache.line)
    assert read_metrics(harness)["app_sends_total"] == read_metrics(harness)["app_current"] == 1
    harness.cache.send(b"%s data version=a1,stamp=5,n=HIT 2\r\nok\r\n" % REQUEST.encode())
    harness.until(lambda: client.answers())
    client.call(2, i="00" * 8)
    harness.until(harness.cache.line)
    client.sock.close()  # an abandoned request counts neither as open nor as ended
    harness.until(lambda: not harness.gateway.tracker.open)
    orders = harness.client()
    orders.call(1, c="commande", i="11" * 8, d="150")
    harness.until(lambda: orders.answers())
    now = read_metrics(harness)
    assert now[total("answered")] == 1 and now["app_current"] == 0
    assert now[total("errored", "commande")] + now[total("deferred", "commande")] == 1
    tracker = harness.gateway.tracker
    assert tracker.accepted == sum(map(sum, tracker.outcomes)) + tracker.disconnected + tracker.open


def test_an_attempt_counts_only_once_its_last_byte_has_been_written(harness):
    client = harness.client()
    client.call(1, c="commande", body=b"x" * 48_000)
    (conn,) = harness.until(lambda: harness.cache.poll() and harness.cache.conns)
    assert harness.gateway.pool.attempts_sent == 1
    stream = harness.gateway.pool._connections[1][0]
    stream.outbox.write(b"y")  # simulates an attempt that the socket has taken only in part
    stream._partly_sent = True
    assert harness.gateway.pool.attempts_sent == 1
    stream.flush()
    assert harness.gateway.pool.attempts_sent == 2


def test_a_manually_drained_store_gets_nothing_until_it_is_restored_whatever_the_list_says(harness):
    assert down(harness, "s-0000000f") == 404
    assert down(harness, "s-00000001") == down(harness, "s-00000001") == 200
    assert read_metrics(harness)["app_cluster_unhealthy"] == 1
    address = harness.cache.address
    for phase, more in (("Ready", {}), ("Gone", {}), ("Ready", {"up_since_ms": int(time.time() * 1000)})):
        harness.gateway.on_events(
            [
                {
                    "pool": {
                        "revision": 2,
                        "complete": False,
                        "members": [member("s-00000001", address, phase=phase, **more)],
                    }
                }
            ]
        )
        client = harness.client()
        client.call(1, i=f"{phase.encode().hex()[:8]}{len(more):08x}")
        assert harness.until(lambda c=client: c.answers())[0][1] == "refused"
    harness.gateway.on_events(
        [
            {
                "pool": {
                    "revision": 3,
                    "complete": True,
                    "members": [
                        member("s-00000001", address),
                        member("s-00000008", harness.parent.address, "parent", "hub-nord"),
                        member("s-00000009", harness.origin.address, "origin", "hub-nord"),
                    ],
                }
            }
        ]
    )
    assert down(harness, "s-00000009") == down(harness, "s-00000008") == 200
    client.call(2, i="66" * 8, c="commande")
    last = harness.until(lambda: len(client.answers()) == 2 and client.answers()[1])
    assert last[1:3] == ("refused", {"w": "1000"}), "with all stores drained, the refusal says when to retry"
    assert down(harness, "s-00000009", "up") == down(harness, "s-00000008", "up") == 200
    assert not harness.cache.poll() and down(harness, "s-00000001", "up") == 200
    client = harness.client()
    client.call(1, i="77" * 8)
    assert f"fetch {'77' * 8}" in harness.until(harness.cache.line)


def test_a_store_restarted_while_drained_comes_back_as_a_cold_store(harness):
    assert down(harness, "s-00000001") == 200
    restarted_ms = int(time.time() * 1000)
    harness.gateway.on_events(
        [
            {
                "pool": {
                    "revision": 4,
                    "complete": False,
                    "members": [member("s-00000001", harness.cache.address, up_since_ms=restarted_ms)],
                }
            }
        ]
    )
    assert down(harness, "s-00000001", "up") == 200
    harness.turn()
    node, began, number = harness.gateway.local.router.nodes[1], time.monotonic(), 0
    assert abs(node.member.ready_at_ns - restarted_ms * 1_000_000) < 50_000_000
    node.credit = 0.0
    while not harness.cache.poll() and time.monotonic() - began < 5.0:
        number += 1
        client = harness.client()
        client.call(1, i=f"{number:016x}")
        harness.until(lambda c=client: harness.cache.poll() or c.answers())
    assert harness.cache.data and number > 1, "the store must get requests within 5 s, but not at once"


def test_a_manually_drained_parent_is_no_fill_source_for_waiting_or_new_requests(harness):
    client = harness.client()
    client.call(1)
    assert "fetch=s-00000008" in harness.until(harness.cache.line)
    assert down(harness, "s-00000008") == 200
    client.call(2, i="22" * 8, o=OBJECT[::-1])
    line = harness.until(harness.cache.line)
    assert "s-00000008" not in line
    assert down(harness, "s-00000008", "up") == 200
    client.call(3, i="33" * 8)
    assert "fetch=s-00000008" in harness.until(harness.cache.line)


drain_records = st.lists(
    st.tuples(st.sampled_from("abc"), st.builds(DrainRecord, st.integers(1, 9), st.booleans()))
)


@settings(max_examples=200, deadline=None)
@given(drain_records, st.randoms(use_true_random=False))
def test_processes_that_merge_the_same_drain_records_in_any_order_agree(changes, chance):
    one, two = ManualDrains(lambda: 5), ManualDrains(lambda: 5)
    one.merge(changes)
    shuffled = changes + changes[:2]
    chance.shuffle(shuffled)
    for change in shuffled:
        two.merge([change])
    assert one.drained == two.drained and one.records == two.records
    one.set_drained("a", "a" not in one.drained)  # overrides even stamps later than its clock
    two.merge(one.records.items())
    assert one.drained == two.drained


def test_without_an_admin_server_no_store_can_be_drained():
    harness = GatewayHarness()
    try:
        assert harness.gateway.component(
            AdminServerComponent
        ) is None and harness.gateway.directory.effective_member(
            interface.Member(1, 1.0)
        ) == interface.Member(1, 1.0)
    finally:
        harness.close()


def test_a_partial_list_at_the_start_does_not_remove_stores_that_it_does_not_name():
    """A gateway started during a release once knew only the store in the last partial server list that it had
    been sent.
    """
    harness = GatewayHarness()
    try:
        more = member("s-00000002", harness.cache.address)
        raw = harness.raw | {
            "known": {
                "rev": 2,
                "notices": [
                    *harness.raw["known"]["notices"],
                    {"rev": 2, "pool": {"revision": 2, "complete": False, "members": [more]}},
                ],
            }
        }
        late = Gateway(harness.config(raw), lambda event, **v: None)
        late.decide()
        assert {n.member.cache for n in late.local.router.caches} == {1, 2}
        assert late.local.router.parents and late.local.router.origins
        late.front.close()
        late.loop.close()
    finally:
        harness.close()


def receive_available(sock, max_bytes=10_000):
    try:
        return sock.recv(max_bytes)
    except BlockingIOError:
        return b""


def test_a_request_sent_byte_by_byte_over_two_seconds_and_a_slow_reader_are_served(harness):
    """Clients and stores may split messages at any byte; a slow sender or reader is not an error."""
    client = harness.client()
    fields = {"c": "fichiers", "i": REQUEST, "o": OBJECT, "d": "5000", "n": "0", "m": "41.5", "shard": "17"}
    frame = codec.encode("serve", 1, 1, codec.ServeArgs(fields=fields, body=b""))
    began = time.monotonic()
    for at in range(len(frame)):
        client.sock.sendall(frame[at : at + 1])
        due = began + 2.1 * at / len(frame)
        harness.turn()
        while time.monotonic() < due:
            harness.turn()
    assert f"fetch {REQUEST}" in harness.until(harness.cache.line)
    answer = b"%s data version=a1,stamp=5,n=HIT 200000\r\n%s\r\n" % (REQUEST.encode(), b"x" * 200_000)
    for at in range(0, len(answer), 20_000):
        harness.cache.send(answer[at : at + 20_000])
        harness.turn()
    got = b""
    while len(got) < 200_000:  # the client reads at about 1 MB per second
        part = receive_available(client.sock)
        got += part
        end = time.monotonic() + 0.01
        while time.monotonic() < end:
            harness.turn()
    assert "client_does_not_read" not in harness.event_names()


def test_answers_of_stores_and_of_the_notice_board_may_be_split_at_every_byte():
    harness = GatewayHarness(board=True, mgmt="127.0.0.1:0")
    try:
        harness.until(lambda: b"watch=1&linger=0" in harness.board.poll())
        assert call(harness, "GET /ops/readiness")[0] == 503, "not ready before the notice board has answered"
        body = json.dumps({"rev": 2, "notices": [{"rev": 2, "flush": {"collection": 3, "ms": 5}}]}).encode()
        for byte in b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body):
            harness.board.send(bytes([byte]))
            harness.turn()
        harness.until(lambda: 3 in harness.gateway.local.router.purges)
        assert call(harness, "GET /ops/readiness")[0] == 200
        client = harness.client()
        client.call(1)
        harness.until(harness.cache.line)
        for byte in b"%s data version=a1,stamp=5,n=HIT 5\r\n\r\n\r\n\0\r\n" % REQUEST.encode():
            harness.cache.send(bytes([byte]))
            harness.turn()
        assert harness.until(client.answers) == [(1, "success", {}, b"\r\n\r\n\0")]
    finally:
        harness.close()


def test_many_clients_leave_the_admin_server_its_descriptors():
    harness = GatewayHarness(mgmt="127.0.0.1:0", limits={"sockets": 128, "memory_mb": 40})
    try:
        crowd = [harness.client() for _ in range(150)]
        harness.until(lambda: len(harness.gateway.front.clients) > 30)
        for _ in range(20):
            harness.turn()
        most = harness.gateway.front._max_clients
        assert len(harness.gateway.front.clients) <= most < len(crowd)
        assert call(harness, "GET /ops/readiness")[0] == 200
    finally:
        harness.close()


def test_the_descriptor_budget_covers_all_sockets_and_reserves_those_of_the_admin_server():
    for sockets in range(96, 4097):
        assert divide_descriptors(sockets, 1).total(1) <= sockets
    assert DESCRIPTORS_PER_ENDPOINT >= MAX_CONNECTIONS + 2
    for sockets, before in ((256, (96, 24, 112)), (384, (160, 24, 176)), (1024, (480, 24, 496))):
        room = divide_descriptors(sockets, 0)
        assert (room.stores, room.per_store, room.clients) == before, (
            "without an admin server the budget is unchanged"
        )


class StoppedTimers:
    """A clock that stands still and timers that never fire."""

    def now(self):
        return 5

    def after(self, delay, then):
        return self

    def cancel(self):
        pass


class Answers(list):
    """Stands in for a client that is to be answered: records the kind of each answer, 0 for served, 1 for
    refused, 2 for failed.
    """

    def served(self, *args):
        self.append(0)

    def refused(self, wait):
        self.append(1)

    def failed(self, late):
        self.append(2)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["take", "leave", "refuse", "fail", "send", "end", "away", "all"]),
            st.integers(0, 4),
            st.sampled_from(list(interface.Status)),
        )
    )
)
def test_each_accepted_request_has_ended_once_or_was_abandoned_or_is_open_after_any_sequence(steps):
    classes = tuple(
        make_class(effect, name=name)
        for name, effect in (("read", interface.Effect.IDEMPOTENT), ("order", interface.Effect.AT_MOST_ONCE))
    )
    answers, attempts = Answers(), []
    quiet = SimpleNamespace(emit=lambda event: None, log=lambda event, **v: None)
    tracker = RequestTracker(
        make_settings(classes=classes),
        StoppedTimers(),
        quiet.emit,
        quiet.log,
        max_open_requests=4,
        max_body_bytes=2**20,
    )
    tracker.transport = SimpleNamespace(send=attempts.append, abort=lambda attempt: None)
    for operation, n, status in steps:
        request = f"{n:016x}"
        try:
            if operation == "take":
                tracker.accept(interface.Request(request, n % 2, object="a"), b"", None, answers)
            elif operation == "send":
                tracker.attempt(interface.Look(request, 1, 50))
            elif operation == "end" and attempts:
                tracker.end(attempts.pop(), status)
            elif operation == "refuse":
                tracker.refuse(interface.Refuse(request, 1))
            elif operation == "fail":
                tracker.fail(interface.Fail(request))
            elif operation == "leave":
                tracker.client_disconnected(request)
            elif operation == "all":
                tracker.finish_all("a test")
            elif operation == "away":
                raise TooManyOpenRequests
        except (TooManyOpenRequests, DuplicateRequest):
            tracker.record_rejection(n % 2)
            answers.refused(0)
        ended = [sum(counts[i] for counts in tracker.outcomes) for i in range(3)]
        assert ended == [answers.count(i) for i in range(3)], (
            "each answer must count once, under its own kind"
        )
        assert tracker.accepted == sum(ended) + tracker.disconnected + tracker.open
