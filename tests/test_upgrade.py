"""Tests of hot restarts of a gateway: transfers of client connections to the successor, manual drains shared
by both processes, and the death of either process.

Both gateways run in this process, each with its own event loop. The predecessor's loop runs in a thread while
the successor starts, because only then does one gateway block for the other.
"""

import json
import os
import socket
import threading

import pytest
from harness import OBJECT, REQUEST, GatewayHarness
from hypothesis import given, settings
from hypothesis import strategies as st
from test_ops import call, down, read_metrics

from olivecourse.components import AdminServerComponent, PeersComponent, UpgradeComponent
from olivecourse.core.descriptors import divide_descriptors
from olivecourse.gateway import Gateway
from olivecourse.net.loop import Loop
from olivecourse.ops.handover_codec import BadMessage, Decoder, Kind, Message
from olivecourse.ops.process_lineage import ProcessLineage, TransferredConnections
from olivecourse.ops.process_record import FolderUnusable, ProcessRecord
from olivecourse.ops.socket_handover import Link


class Upgrade:
    """A test stage with a chain of gateways, each the successor of the one before; their event loops take
    turns in one thread.
    """

    def __init__(self, folder, **more):
        self.folder = str(folder)
        self.stage = GatewayHarness(mgmt="127.0.0.1:0", env={"TMPDIR": self.folder}, **more)
        self.all = [self.stage.gateway]
        self.killed = set()

    def __getattr__(self, name):
        return getattr(self.stage, name)

    def follow(self, status=200):
        stop, old = threading.Event(), self.all[-1]

        def turn():
            while not stop.is_set():
                old.loop.turn(5_000_000)
                old.decide()

        thread = threading.Thread(target=turn)
        thread.start()
        try:
            made = Gateway(
                self.stage.config(self.stage.raw), lambda event, **v: self.stage.logged.append((event, v))
            )
        finally:
            stop.set()
            thread.join()
        self.all.append(made)
        self.stage.turn = self.turn
        self.stage.gateway = made
        assert call(self.stage, "GET /ops/readiness")[0] == status
        return made

    def turn(self):
        for gateway in self.all:
            if gateway.loop.running and gateway not in self.killed:
                gateway.loop.turn(2_000_000)
                gateway.decide()

    def kill(self, gateway):
        """Simulates SIGKILL: closes everything that the system would close for a killed process."""
        self.killed.add(gateway)
        restart = gateway.component(UpgradeComponent).hot_restart
        for link in restart._links():
            link.sock.shutdown(socket.SHUT_RDWR)
            link.sock.close()
        os.close(restart._process_record._lock)
        gateway.front.stop_accepting()
        gateway.component(AdminServerComponent).admin_servers[0].close()

    def close(self):
        for gateway in self.all:
            if gateway not in self.killed:
                gateway.component(UpgradeComponent).hot_restart.close()
                gateway.component(AdminServerComponent).admin_servers[0].close()
                gateway.front.close()
        for thing in (*self.peers, *(c.sock for c in self.clients)):
            thing.close()


@pytest.fixture
def upgrade(tmp_path):
    made = Upgrade(tmp_path)
    yield made
    made.close()


def served(request, body=b"ok"):
    return b"%s data version=a1,stamp=5,n=HIT %d\r\n%s\r\n" % (request.encode(), len(body), body)


def ids(*numbers):
    return [f"{n:016x}" for n in numbers]


def test_clients_are_transferred_with_requests_open_half_read_and_half_sent(upgrade):
    old = upgrade.stage.gateway
    client, other = upgrade.client(), upgrade.client()
    one, two, three, four = ids(1, 2, 3, 4)
    client.call(1, i=one)
    other.call(1, i=two)
    upgrade.until(lambda: upgrade.cache.poll().count(b"fetch ") == 2)
    client.call(2, i=three)
    whole = client.sock  # request `four` is written to it directly, one part before the transfer, one after
    new = upgrade.follow()
    upgrade.until(lambda: upgrade.cache.poll().count(b"fetch ") == 3)
    from olivecourse.fronts import codec

    fields = {"c": "fichiers", "i": four, "o": OBJECT, "d": "5000", "n": "0", "m": "41.5", "shard": "17"}
    frame = codec.encode("serve", 1, 3, codec.ServeArgs(fields=fields, body=b""))
    whole.sendall(frame[:50])
    upgrade.until(lambda: any(len(c.inbox) == 50 for g in upgrade.all for c in g.front.clients))
    old.stop()
    upgrade.until(lambda: len(new.front.clients) == 2 and not old.front.clients)
    whole.sendall(frame[50:])
    upgrade.until(lambda: upgrade.cache.poll().count(b"fetch ") == 4)
    for request in (one, two, three, four):  # each answer must arrive on the connection of its request
        for conn in upgrade.cache.conns:
            conn.sendall(served(request, request.encode()))
    upgrade.until(lambda: len(client.answers()) == 3 and len(other.answers()) == 1)
    assert sorted((n, b) for n, _, _, b in client.answers()) == [
        (1, one.encode()),
        (2, three.encode()),
        (3, four.encode()),
    ]
    upgrade.until(lambda: not old.loop.running)
    assert not client.closed and not other.closed and old.tracker.totals["served"] >= 2
    other.call(2, i="55" * 8)
    upgrade.until(lambda: b"55" * 8 in upgrade.cache.poll())


def test_a_cancelled_request_or_lost_client_reaches_the_process_that_owes_the_answer(upgrade):
    old = upgrade.stage.gateway
    client, leaver = upgrade.client(), upgrade.client()
    one, two = ids(1, 2)
    client.call(1, i=one)
    leaver.call(1, i=two)
    upgrade.until(lambda: upgrade.cache.poll().count(b"fetch ") == 2)
    new = upgrade.follow()
    old.stop()
    upgrade.until(lambda: len(new.front.clients) == 2)
    from olivecourse.fronts import codec

    client.call(9, method="forget", kind=4, args=codec.ForgetArgs(seqid=1))
    leaver.sock.close()
    upgrade.until(lambda: upgrade.cache.poll().count(b"abort") == 2)
    upgrade.until(lambda: not old.loop.running)
    assert old.tracker.disconnected == 2 and not client.answers() and not client.closed


def test_a_second_restart_right_after_relays_the_answers_that_the_first_process_owes(upgrade):
    first = upgrade.stage.gateway
    client = upgrade.client()
    client.call(1, i=REQUEST)
    upgrade.until(lambda: upgrade.cache.poll().count(b"fetch ") == 1)
    second = upgrade.follow()
    first.stop()
    upgrade.until(lambda: second.front.clients)
    third = upgrade.follow()
    second.stop()
    upgrade.until(lambda: third.front.clients)
    upgrade.cache.send(served(REQUEST))
    assert upgrade.until(client.answers) == [(1, "success", {}, b"ok")]
    upgrade.until(lambda: not first.loop.running and not second.loop.running)
    assert not client.closed


def test_a_predecessor_killed_during_the_transfer_costs_a_failure_and_no_connection(upgrade):
    old = upgrade.stage.gateway
    client = upgrade.client()
    client.call(1, c="commande")
    upgrade.until(lambda: upgrade.cache.poll().count(b"fetch ") == 1)
    new = upgrade.follow()
    old.stop()
    upgrade.until(lambda: new.front.clients)
    upgrade.kill(old)
    assert upgrade.until(client.answers) == [(1, "failed", {}, b"")], (
        "must not be refused, as the order may have been executed"
    )
    client.call(2, i="66" * 8)
    upgrade.until(lambda: b"66" * 8 in upgrade.cache.poll())
    assert new.pool.limits.total == divide_descriptors(new.config.sockets, True).stores, (
        "the successor must get all of the limits back"
    )


def test_a_successor_that_dies_before_it_is_ready_changes_nothing(upgrade):
    old = upgrade.stage.gateway
    before = old.pool.limits
    client = upgrade.client()
    client.call(1)
    upgrade.until(lambda: upgrade.cache.poll().count(b"fetch ") == 1)
    new = upgrade.follow()
    assert old.pool.limits.total < before.total
    upgrade.kill(new)
    upgrade.until(lambda: old.pool.limits == before)
    upgrade.cache.send(served(REQUEST))
    upgrade.until(client.answers)
    late = upgrade.client()
    late.sock.close()
    old.stop()  # without a successor it keeps its clients to the end, as in a plain restart
    client.call(2, i="77" * 8)
    upgrade.until(lambda: b"77" * 8 in upgrade.cache.poll())


def test_a_manual_drain_holds_in_both_processes_and_outlasts_both(upgrade, tmp_path):
    old = upgrade.stage.gateway
    assert down(upgrade, "s-00000008") == 200
    new = upgrade.follow()
    assert not new.directory.ready(8), "the drain must hold before the first request"
    assert read_metrics(upgrade)["app_cluster_unhealthy"] == 1
    # `down` now calls the successor; the predecessor must follow.
    assert down(upgrade, "s-00000008", "up") == down(upgrade, "s-00000001") == 200
    upgrade.until(lambda: old.directory.ready(8) and not old.directory.ready(1))
    upgrade.kill(old)
    upgrade.kill(new)
    (tmp_path / "olivecourse-n0" / f"{0:020d}-1.lock").touch()  # left by a crash: no process holds the lock
    (tmp_path / "olivecourse-n0" / f"{0:020d}-1.json").write_bytes(b'{"bans": [["s-00000009", ')
    again = GatewayHarness(mgmt="127.0.0.1:0", env={"TMPDIR": str(tmp_path)})
    assert not again.gateway.directory.ready(1) and again.gateway.directory.ready(8)
    assert "record_unusable" in again.event_names() and "handover_unanswered" not in again.event_names()
    left = sorted(p.suffix for p in (tmp_path / "olivecourse-n0").iterdir())
    assert left == [".json", ".lock", ".sock"], "the files of dead processes must be removed"
    again.gateway.component(UpgradeComponent).hot_restart.close()
    again.close()


def test_a_folder_that_other_users_can_write_is_not_used(tmp_path):
    (tmp_path / "olivecourse-n0").mkdir(mode=0o777)
    (tmp_path / "olivecourse-n0").chmod(0o777)
    with pytest.raises(FolderUnusable):
        ProcessRecord(str(tmp_path), "n0", lambda event, **v: None)
    stage = GatewayHarness(mgmt="127.0.0.1:0", env={"TMPDIR": str(tmp_path)})
    assert (
        stage.gateway.component(UpgradeComponent).hot_restart is None
        and "presence_unusable" in stage.event_names()
    )
    stage.close()


class RecordingHandler:
    def __init__(self):
        self.received_messages, self.ended = [], False

    def message_received(self, link, message, sock):
        self.received_messages.append((message.kind, sock))

    def link_closed(self, link):
        self.ended = True


@pytest.mark.parametrize(
    "sent, kinds, ends",
    [
        ([Message(Kind.LOOK)], [Kind.LOOK], False),
        # The first message has the unknown kind 0x7e, as a later version may send.
        ([b"\0\0\0\5\x7e\0\0\0\0", Message(Kind.LOOK)], [Kind.LOOK], False),
        ([b"\xff" * 32], [], True),
        ([b"\0\0\0\5\3\0\0\0\1"], [], True),
        ([Message(Kind.CLIENT, {"conn": 1, "last": 1, "taken": 1, "in": 9}, with_socket=True)], [], True),
        ([Message(Kind.ANSWER, {"conn": -1, "number": "x"})], [], True),
        # The message says that a file descriptor accompanies it, but none does.
        ([Message(Kind.LISTENER, with_socket=True)], [], True),
    ],
)
def test_a_link_ignores_unknown_kinds_and_closes_on_an_invalid_message(sent, kinds, ends):
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    loop, handler = Loop(), RecordingHandler()
    Link(loop, ours, handler, lambda event, **v: None)
    for data in sent:
        theirs.sendall(data if isinstance(data, bytes) else data.encode())
    for _ in range(3):
        loop.turn(1_000_000)
    assert ([k for k, _ in handler.received_messages], handler.ended) == (kinds, ends)
    theirs.close()
    loop.close()


def test_descriptors_arrive_with_their_messages_and_those_of_unknown_kinds_are_closed():
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    loop, handler = Loop(), RecordingHandler()
    Link(loop, ours, handler, lambda event, **v: None)
    sender, (left, right) = (
        Link(loop, theirs, RecordingHandler(), lambda event, **v: None),
        socket.socketpair(),
    )
    unknown = Message(Kind.UNKNOWN, with_socket=True)
    for message in (unknown, Message(Kind.LISTENER, with_socket=True)):
        sender.send(message, os.dup(left.fileno()))
    sender.send(Message(Kind.LOOK))
    while len(handler.received_messages) < 2:
        loop.turn(1_000_000)
    (kind, sock), _ = handler.received_messages
    left.close()
    sock.sendall(b"here")
    assert kind is Kind.LISTENER and right.recv(9) == b"here"
    sock.close()
    assert right.recv(9) == b"", "no other copy of the descriptor may be open"
    ours.close()
    right.close()
    loop.close()


messages = st.lists(
    st.one_of(
        st.builds(
            Message,
            st.just(Kind.ANSWER),
            st.fixed_dictionaries({"conn": st.integers(0, 9), "number": st.integers(0, 9)}),
            st.binary(max_size=40),
        ),
        st.builds(
            Message,
            st.sampled_from([Kind.LOOK, Kind.READY, Kind.LEARNED]),
            st.just({}),
            st.binary(max_size=40),
        ),
    ),
    max_size=6,
)


@settings(max_examples=200, deadline=None)
@given(messages, st.lists(st.integers(1, 30), min_size=1), st.binary(max_size=30))
def test_messages_split_at_any_byte_are_decoded_and_noise_raises_one_error(sent_messages, cuts, noise):
    data, decoder, found = b"".join(m.encode() for m in sent_messages), Decoder(), []
    while data:
        size = cuts[len(data) % len(cuts)]
        found += decoder.feed(data[:size])
        data = data[size:]
    assert found == sent_messages
    try:
        Decoder().feed(noise)
    except BadMessage:
        pass


def test_an_invalid_record_is_logged_and_ignored(tmp_path):
    logged = []
    process_record = ProcessRecord(str(tmp_path), "n0", lambda event, **v: logged.append(event))
    token = f"{5:020d}-7"
    for data in (
        b"",
        b"[" * 100_000,
        b'{"bans": [["a", 1]]}',
        json.dumps({"bans": [["a", 1, 2]]}).encode(),
        b"x" * (2**20 + 1),
    ):
        process_record.path("lock", token).touch()
        process_record.path("json", token).write_bytes(data)
        assert process_record.scan() == ([], [], [token])
        process_record.remove_files([token])
    process_record.path("json", token).symlink_to("/dev/zero")
    process_record.path("lock", token).touch()
    assert process_record.scan() == ([], [], [token]) and logged == ["record_unusable"] * 5


def test_datagrams_reach_the_successor_once_clients_have_been_transferred(tmp_path):
    peer, free = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    for sock in (peer, free):
        sock.bind(("127.0.0.1", 0))
    there, here = (f"127.0.0.1:{sock.getsockname()[1]}" for sock in (peer, free))
    free.close()
    up = Upgrade(tmp_path, peer_listen=here, peers=[there, here])
    try:
        old = up.stage.gateway
        client = up.client()
        client.call(1)  # an open request keeps the predecessor running
        up.until(lambda: up.cache.poll().count(b"fetch ") == 1)
        new, came = up.follow(), []
        old.stop()
        new.component(PeersComponent).peers._emit = came.append
        for n in range(20):
            peer.sendto(b"%d" % n, ("127.0.0.1", int(here.rpartition(":")[2])))
        up.until(lambda: len(came) == 20)
        assert old.loop.running
    finally:
        peer.close()
        up.close()


def test_a_descriptor_that_is_no_socket_or_a_client_with_too_many_bytes_is_closed(upgrade, tmp_path):
    ours, theirs = socket.socketpair(socket.AF_UNIX)
    loop, handler = Loop(), RecordingHandler()
    Link(loop, ours, handler, lambda event, **v: None)
    (tmp_path / "file").touch()
    with open(tmp_path / "file") as file:
        socket.send_fds(theirs, [Message(Kind.LISTENER, with_socket=True).encode()], [file.fileno()])
    loop.turn(1_000_000)
    assert handler.ended and not handler.received_messages
    theirs.close()
    loop.close()
    new, (left, right) = upgrade.follow(), socket.socketpair()
    head = {"conn": 1, "last": 1, "taken": 1, "open": [1], "in": 200_000}
    there = new.component(UpgradeComponent).hot_restart
    there.message_received(
        there._links()[0], Message(Kind.CLIENT, head, b"\0" * 200_000, with_socket=True), left
    )
    assert right.recv(9) == b"" and not new.front.clients
    right.close()


class ClientOwed:
    """A stand-in for a client connection on which `owed` requests are unanswered."""

    def __init__(self, owed):
        self.owed = owed

    def load(self):
        return self.owed


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["add_predecessor", "add_successor", "successor_ready", "link_closed"]),
            st.integers(0, 3),
        )
    ),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2))),
)
def test_limits_are_shared_while_another_process_lives_and_the_youngest_ready_one_succeeds(steps, clients):
    lineage, successors, serving, predecessor = ProcessLineage(), [], set(), None
    for operation, link in steps:
        if (
            operation == "add_predecessor"
            and (predecessor is not None or link in successors)
            or operation == "add_successor"
            and link == predecessor
        ):
            continue  # impossible: a process starts once and asks only its predecessor
        getattr(lineage, operation)(link)
        if operation == "add_predecessor":
            predecessor = link
        elif operation == "add_successor" and link not in successors:
            successors.append(link)
        elif operation == "successor_ready" and link in successors:
            serving.add(link)
        elif operation == "link_closed":
            predecessor, successors = (
                None if link == predecessor else predecessor,
                [x for x in successors if x != link],
            )
            serving.discard(link)
        assert lineage.limits_shared == (predecessor is not None or bool(successors))
        assert lineage.successor() == next((x for x in reversed(successors) if x in serving), None)
    transferred = TransferredConnections()
    for link, owed in clients:
        transferred.add_sent(link, transferred.next_number(), ClientOwed(owed))
    assert transferred.has_unanswered() == any(owed for _, owed in clients)
    for link in range(3):
        sent, received = transferred.link_closed(link)
        assert len(list(sent)) == sum(x == link for x, _ in clients) and not list(received)
    assert not transferred.has_unanswered()


def test_the_predecessor_is_notified_once_and_files_of_the_dead_stay_till_the_record_is_written():
    lineage = ProcessLineage()
    lineage.record_written(False)
    assert lineage.needs_flush and not lineage.may_remove_files
    lineage.record_written(True)
    assert lineage.may_remove_files
    lineage.drains_changed()
    assert not lineage.may_remove_files
    lineage.add_predecessor("old")
    assert lineage.take_ready_notification() == "old" and lineage.take_ready_notification() is None
    lineage.successor_ready("stranger")
    assert lineage.successor() is None, "a process that never asked must not get clients"


def test_a_gateway_drain_holds_in_both_processes_until_it_is_ended_in_either(upgrade):
    """Both processes count as one gateway; otherwise the successor would report that it takes work."""
    old = upgrade.all[0]
    old.component(AdminServerComponent).handlers.set_draining(True)
    new = upgrade.follow(status=503)
    assert new.why_not_ready() == "draining" and new.front.draining
    new.component(AdminServerComponent).handlers.set_draining(False)
    upgrade.until(lambda: old.accepts_requests() and new.accepts_requests())
    new.component(AdminServerComponent).handlers.set_draining(True)
    upgrade.until(lambda: not old.accepts_requests())
