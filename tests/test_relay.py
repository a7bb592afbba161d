"""Tests of relays, which pass discovery events on to gateways, over real sockets: as seen by gateways, by
relays that poll them, and by hostile clients.
"""

import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import harness as gateways
import pytest

from olivecourse.config.address import parse_address
from olivecourse.config.gateway_config import InvalidConfig, load_operator
from olivecourse.emulator.discovery_server import DiscoveryServer
from olivecourse.emulator.stores import EmulatorLoop
from olivecourse.net.discovery_client import DiscoveryClient
from olivecourse.net.loop import Loop
from olivecourse.relay.section import RelayConfig, RelaySection, read_relay
from olivecourse.relay.service import RelayService

MEMBER = {
    "id": "s-00000001",
    "host_port": "127.0.0.1:9",
    "locality": "edge-1",
    "flavor": "petit",
    "cell": 0,
    "phase": "Ready",
    "size": 4,
    "up_since_ms": 0,
}
WHOLE_LIST = {"revision": 1, "complete": True, "members": [MEMBER]}
DESCRIPTORS = 20_000
ROOT = Path(__file__).resolve().parent.parent


def poll_target(watch, linger, extra=""):
    return f"/board/poll?watch={watch}&linger={linger}{extra}"


class Watcher:
    """A client's connection to a relay, in place of the one over which a gateway polls it."""

    def __init__(self, port, receive_buffer=None):
        self.sock = socket.socket()
        if receive_buffer is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.connect(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.data, self.closed, self.answers = b"", False, []

    def send(self, data):
        self.sock.sendall(data)

    def get(self, target, method="GET", head=""):
        self.send(f"{method} {target} HTTP/1.1\r\nHost: relay\r\n{head}\r\n".encode())

    def poll(self, watch, linger, extra=""):
        self.get(poll_target(watch, linger, extra))

    def receive(self):
        """Reads the available bytes; appends each complete response to `answers` as (status, body)."""
        try:
            while part := self.sock.recv(1 << 20):
                self.data += part
            self.closed = True
        except BlockingIOError:
            pass
        except ConnectionError:
            self.closed = True
        while b"\r\n\r\n" in self.data:
            head, _, rest = self.data.partition(b"\r\n\r\n")
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
            length = int(fields[b"Content-Length"])
            if len(rest) < length:
                break
            self.answers.append((int(head.split()[1]), rest[:length]))
            self.data = rest[length:]
        return self.answers

    def take(self):
        """Removes and returns the oldest complete answer as (status, body), or None if there is none yet."""
        return self.receive().pop(0) if self.receive() else None


class RelayHarness:
    """A notice board (the platform's discovery service), and relays that poll it or each other, all in this
    process.
    """

    def __init__(self):
        self.world = EmulatorLoop([], lambda *asked: None)
        self.board = DiscoveryServer(self.world)
        self.board.publish(pool=WHOLE_LIST)
        self.relays, self.watchers, self.logged = [], [], []

    def relay(self, *upstreams, **extra):
        section = RelaySection(
            listen=extra.pop("listen", "127.0.0.1:0"),
            upstreams=list(upstreams) or [self.board.address],
            **extra,
        )
        config = RelayConfig(f"relay-{len(self.relays)}", section)
        self.relays.append(RelayService(config, self.log, DESCRIPTORS))
        return self.relays[-1]

    def log(self, event, **values):
        self.logged.append((event, values))

    def names(self):
        return [event for event, _ in self.logged]

    def watcher(self, relay, **extra):
        self.watchers.append(Watcher(relay.server.port, **extra))
        return self.watchers[-1]

    def turn(self):
        self.world.turn(time.monotonic() + 0.002)
        for relay in self.relays:
            relay.loop.turn(1_000_000)
            relay.server.turn_ended()

    def until(self, condition, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.turn()
            if found := condition():
                return found
        raise AssertionError(f"did not come about; logged: {self.logged[-20:]}")

    def wait_until_current(self, relay):
        self.until(lambda: relay.history.revision >= self.board.rev)

    def answer(self, watcher):
        """Waits for the watcher's next answer; returns its status and body, which is decoded from JSON for a
        200.
        """
        status, body = self.until(watcher.take)
        return status, json.loads(body) if status == 200 else body.decode()

    def kill(self, relay):
        for watcher in list(relay.server.watchers.values()):
            watcher.close("killed")
        relay.close()
        self.relays.remove(relay)

    def close(self):
        for watcher in self.watchers:
            watcher.sock.close()
        for relay in self.relays:
            relay.close()
        self.board.close()
        self.world.close()


@pytest.fixture
def harness():
    made = RelayHarness()
    yield made
    made.close()


def numbers(body):
    return [event["rev"] for event in body["notices"]]


def test_a_poll_is_answered_when_events_arrive_or_without_events_when_its_wait_ends(harness):
    relay = harness.relay()
    harness.wait_until_current(relay)
    watcher = harness.watcher(relay)
    watcher.poll(0, 1500)
    status, body = harness.answer(watcher)
    assert (status, body["rev"], numbers(body)) == (200, 1, [1])
    assert body["notices"][0]["pool"] == WHOLE_LIST
    began = time.monotonic()
    watcher.poll(1, 100)
    assert harness.answer(watcher) == (200, {"rev": 1, "notices": []})
    assert time.monotonic() - began >= 0.1
    watcher.poll(1, 5000)
    harness.until(lambda: relay.server.waiting)
    harness.board.publish(flush={"collection": 3, "ms": 5})
    assert harness.answer(watcher) == (
        200,
        {"rev": 2, "notices": [{"rev": 2, "flush": {"collection": 3, "ms": 5}}]},
    )


def test_higher_numbers_wait_long_lingers_are_limited_and_unknown_parameters_are_ignored(harness):
    relay = harness.relay(longest_wait_ms=100)
    harness.wait_until_current(relay)
    watcher = harness.watcher(relay)
    watcher.poll(9, 9_000_000, "&more=1&lows")
    assert harness.answer(watcher) == (200, {"rev": 1, "notices": []})
    watcher.get("/board/poll?linger=10&x=%20&watch=0")  # not the usual form, so the general parser reads it
    assert numbers(harness.answer(watcher)[1]) == [1]


def test_watchers_at_the_same_number_share_one_encoding_and_are_answered_in_slices(harness, monkeypatch):
    """A SLICE_NS of 0 makes the relay answer each watcher in a turn of the event loop of its own, so that a
    second event arrives between the answers.
    """
    monkeypatch.setattr("olivecourse.relay.server.SLICE_NS", 0)
    relay = harness.relay()
    harness.wait_until_current(relay)
    watchers = [harness.watcher(relay) for _ in range(40)]
    for watcher in watchers:
        watcher.poll(1, 5000)
    harness.until(lambda: relay.server.waiting == 40)
    harness.board.publish(flush={"collection": 3, "ms": 5})
    harness.until(lambda: 0 < relay.server.waiting < 40)
    harness.board.publish(flush={"collection": 4, "ms": 6})
    for watcher in watchers:
        status, body = harness.answer(watcher)
        assert status == 200 and numbers(body) in ([2], [2, 3])
        if body["rev"] == 2:
            watcher.poll(2, 5000)
            assert numbers(harness.answer(watcher)[1]) == [3]
    assert relay.history.counters.answers_encoded <= 3
    assert relay.history.counters.answers_shared >= 38


def test_a_turn_reads_for_a_bounded_time_and_no_watcher_starves(harness, monkeypatch):
    """A READ_BUDGET_NS of 0 makes each turn of the event loop read one connection; a client that sends all
    the time must not starve the others.
    """
    monkeypatch.setattr("olivecourse.relay.server.READ_BUDGET_NS", 0)
    relay = harness.relay()
    harness.wait_until_current(relay)
    flood = harness.watcher(relay)
    flood.poll(1, 5000)
    harness.until(lambda: relay.server.waiting)
    flood.send(b"GET /")  # `flooded` sends the rest of this request's endless target, byte by byte
    watchers = [harness.watcher(relay) for _ in range(20)]
    for watcher in watchers:
        watcher.poll(1, 5000)

    def flooded():
        try:
            flood.send(b"a")
        except OSError:  # the relay has refused the request as too long and closed the connection
            pass
        return relay.server.waiting >= 20

    harness.until(flooded)
    harness.board.publish(flush={"collection": 3, "ms": 5})
    assert all(numbers(harness.answer(watcher)[1]) == [2] for watcher in watchers)


def test_pipelined_polls_are_answered_one_at_a_time_and_in_order(harness):
    relay = harness.relay()
    harness.wait_until_current(relay)
    watcher = harness.watcher(relay)
    for watch, linger in ((0, 0), (1, 60), (0, 5000), (1, 0)):
        watcher.poll(watch, linger)
    answers = [harness.answer(watcher)[1] for _ in range(4)]
    assert [numbers(body) for body in answers] == [[1], [], [1], []]


HOSTILE = {
    "no HTTP": (b"\x00\xff\x00\r\n\r\n", 400),
    "no target": (b"GET\r\n\r\n", 400),
    "upgrade": (
        b"GET /board/poll?watch=0&linger=0 HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
        400,
    ),
    "long head": (b"GET / HTTP/1.1\r\nX: " + b"a" * 20_000, 431),
    "long target": (b"GET /" + b"a" * 20_000, 431),
    "long body": (b"GET /nope HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + b"a" * 20_000, 431),
    "many at once": (b"GET /board/poll?watch=1&linger=5000 HTTP/1.1\r\n\r\n" * 160, 400),
    "method": (b"POST /board/poll?watch=0&linger=0 HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
    "path": (b"GET /board/other?watch=0&linger=0 HTTP/1.1\r\n\r\n", 404),
    "no numbers": (b"GET /board/poll HTTP/1.1\r\n\r\n", 400),
    "no linger": (b"GET /board/poll?watch=0 HTTP/1.1\r\n\r\n", 400),
    "broken watch": (b"GET /board/poll?watch=-1&linger=0 HTTP/1.1\r\n\r\n", 400),
    "huge watch": (b"GET /board/poll?watch=9999999999999999999&linger=0 HTTP/1.1\r\n\r\n", 400),
    "longer watch": (b"GET /board/poll?watch=" + b"9" * 5_000 + b"&linger=0 HTTP/1.1\r\n\r\n", 400),
    "broken linger": (b"GET /board/poll?watch=0&linger=1.5 HTTP/1.1\r\n\r\n", 400),
    "broken low": (b"GET /board/poll?watch=0&linger=0&low=x&count=2 HTTP/1.1\r\n\r\n", 400),
    "broken status": (b"GET /relay/status?behind=x HTTP/1.1\r\n\r\n", 400),
}


@pytest.mark.parametrize("name", HOSTILE)
def test_hostile_input_gets_an_error_and_a_close_and_does_not_affect_other_watchers(harness, name):
    data, expected = HOSTILE[name]
    relay = harness.relay()
    harness.wait_until_current(relay)
    other = harness.watcher(relay)
    other.poll(1, 5000)
    hostile = harness.watcher(relay)
    for start in range(
        0, len(data), 5_000
    ):  # in parts, so that no bytes are left unsent when the answer comes
        hostile.send(data[start : start + 5_000])
        harness.turn()
    assert harness.answer(hostile)[0] == expected
    harness.until(lambda: hostile.receive() is not None and hostile.closed)
    assert relay.server.counters.bad_requests == 1 and "relay_bad_request" in harness.names()
    hostile.sock.close()
    harness.until(lambda: len(relay.server.watchers) == 1)
    harness.board.publish(flush={"collection": 3, "ms": 5})
    assert numbers(harness.answer(other)[1]) == [2]


def test_an_idle_connection_is_closed_and_a_full_relay_refuses_new_ones(harness):
    relay = harness.relay(most_watchers=1, idle_timeout_ms=200)
    harness.wait_until_current(relay)
    idle = harness.watcher(relay)
    idle.send(b"GET /board/poll?watch=0&lin")
    harness.until(lambda: relay.server.watchers)
    refused = harness.watcher(relay)
    assert harness.answer(refused) == (503, "this relay is full\n")
    harness.until(lambda: idle.receive() is not None and idle.closed)
    assert not idle.answers
    counters = relay.server.counters
    assert (counters.refused_full, counters.idle_closed) == (1, 1)
    watcher = harness.watcher(relay)
    watcher.poll(0, 0)
    assert harness.answer(watcher)[0] == 200


def test_without_descriptors_new_connections_wait_and_a_relay_can_stop_meanwhile(harness, monkeypatch):
    """While `accept` fails for lack of file descriptors, the relay stops watching the listening socket for a
    time, so that the socket does not keep the event loop busy.
    """
    relay, other = harness.relay(), harness.relay()
    harness.wait_until_current(relay)

    def exhausted(self):
        raise OSError(24, "Too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, "accept", exhausted)
        watcher = harness.watcher(relay)
        late = harness.watcher(other)
        harness.until(lambda: relay.server.counters.accept_failed and other.server.counters.accept_failed)
        harness.kill(other)
    watcher.poll(0, 0)
    assert harness.answer(watcher)[0] == 200 and "relay_accept_failed" in harness.names()
    harness.until(lambda: late.receive() is not None and late.closed)


def test_a_slow_reader_is_cut_off_with_a_logged_reason_while_others_are_served(harness):
    """Two unread answers together exceed `most_unread_kb`, so the reader stuck for longest is cut off."""
    relay = harness.relay(most_unread_kb=2_048, history_kb=65_536, history_events=100_000)
    harness.wait_until_current(relay)
    slow = harness.watcher(relay, receive_buffer=4_096)
    other = harness.watcher(relay)
    purges = [
        {"rev": n, "flush": {"asset": f"{n:016x}", "ms": 5}, "more": "x" * 100} for n in range(2, 12_000)
    ]
    relay.history.append(purges, relay.loop.clock.now())
    slow.poll(0, 0)
    harness.until(lambda: relay.server.unread_bytes)
    relay.history.append([{"rev": 12_000, "flush": {"collection": 3, "ms": 6}}], relay.loop.clock.now())
    other.poll(0, 0)
    assert len(harness.answer(other)[1]["notices"]) == 12_000
    assert relay.server.unread_bytes == 0 and relay.server.counters.cut_off == 1
    assert [v["why"] for e, v in harness.logged if e == "relay_watcher_cut_off"] == [
        "unread answers over the limit"
    ]
    harness.until(lambda: slow.receive() is not None and slow.closed)
    assert not slow.answers


def test_a_reader_that_reads_nothing_is_cut_off_after_the_read_timeout(harness):
    relay = harness.relay(read_timeout_ms=100, history_kb=65_536, history_events=100_000)
    harness.wait_until_current(relay)
    slow, slower = harness.watcher(relay, receive_buffer=4_096), harness.watcher(relay, receive_buffer=4_096)
    purges = [
        {"rev": n, "flush": {"asset": f"{n:016x}", "ms": 5}, "more": "x" * 100} for n in range(2, 12_000)
    ]
    relay.history.append(purges, relay.loop.clock.now())
    body = relay.history.since(0, relay.loop.clock.now())
    slow.poll(0, 0)
    slower.poll(0, 0)
    harness.until(
        lambda: relay.server.unread_bytes == len(body)
    )  # the same answer, which neither watcher has read completely, counts once
    harness.until(lambda: slow.take())  # `slow` reads its answer, `slower` does not
    harness.until(lambda: relay.server.counters.cut_off)
    assert relay.server.unread_bytes == 0 and relay.server.counters.cut_off == 1 and not slow.closed


def test_before_a_complete_list_is_known_polls_are_held_and_then_refused(harness):
    harness.board.refuse()
    relay = harness.relay()
    watcher = harness.watcher(relay)
    began = time.monotonic()
    watcher.poll(0, 150)
    assert harness.answer(watcher) == (503, "no whole list is known yet\n")
    assert time.monotonic() - began >= 0.15
    held = harness.watcher(relay)
    held.poll(0, 5000)
    harness.until(lambda: relay.server.waiting)
    harness.board.resume()
    assert numbers(harness.answer(held)[1]) == [1]
    harness.board.refuse()  # without its upstream the relay still serves the events that it knows
    harness.until(lambda: harness.names().count("discovery_disconnected") > 3)
    held.poll(0, 0)
    assert numbers(harness.answer(held)[1]) == [1]
    held.poll(1, 50)
    assert harness.answer(held) == (200, {"rev": 1, "notices": []})


@pytest.mark.parametrize("later", [0, 1, 2])
def test_an_upstream_that_restarts_with_lower_numbers_or_without_events_changes_nothing(harness, later):
    for number in range(2, 6):
        harness.board.publish(flush={"collection": number, "ms": 5})
    relay = harness.relay()
    harness.wait_until_current(relay)
    watcher = harness.watcher(relay)
    watcher.poll(5, 5000)
    harness.until(lambda: relay.server.waiting)
    harness.board.refuse()
    harness.board.rev = later
    del harness.board._events[later:]
    harness.board.resume()
    harness.until(lambda: "discovery_revision_decreased" in harness.names())
    assert relay.server.waiting == 1 and relay.history.revision == 5
    late = harness.watcher(relay)
    late.poll(3, 5000)
    assert numbers(harness.answer(late)[1]) == [4, 5]
    harness.board.rev = 8  # the next event number is not the successor of the last, which is allowed
    harness.board.publish(flush={"collection": 9, "ms": 6})
    assert numbers(harness.answer(watcher)[1]) == [9]


def test_after_an_hours_backlog_an_answer_holds_only_the_list_and_unsettled_purges(harness):
    """The backlog has 60,000 purges, of which the last 500 are unsettled (a store may still hold an older
    copy), and a store that left the server list and returned.
    """
    relay = harness.relay(history_events=100, purge_retention_s=10)
    harness.wait_until_current(relay)
    now_ms = relay.loop.clock.now() // 1_000_000
    went = {"revision": 2, "complete": False, "members": [MEMBER | {"phase": "Gone"}]}
    came = {"revision": 3, "complete": False, "members": [MEMBER | {"host_port": "127.0.0.1:10"}]}
    events = [{"rev": 2, "pool": went}, {"rev": 3, "pool": came}]
    for number in range(4, 60_004):
        made_ms = now_ms if number >= 59_504 else now_ms - 60_000
        events.append({"rev": number, "flush": {"asset": f"{number:016x}", "ms": made_ms}})
    for start in range(0, len(events), 5_000):
        relay.history.append(events[start : start + 5_000], relay.loop.clock.now())
    watcher = harness.watcher(relay)
    watcher.poll(1, 0)
    status, body = harness.answer(watcher)
    assert status == 200 and body["rev"] == 60_003 and len(body["notices"]) <= 501 + 1
    purged = [event["flush"]["asset"] for event in body["notices"] if "flush" in event]
    assert purged == [f"{number:016x}" for number in range(59_504, 60_004)]
    (listed,) = [event["pool"] for event in body["notices"] if "pool" in event]
    assert listed["complete"] and [m["host_port"] for m in listed["members"]] == ["127.0.0.1:10"]


def test_a_watcher_too_old_for_a_full_history_is_refused_at_once(harness):
    relay = harness.relay(history_events=1, most_purges=1)
    harness.wait_until_current(relay)
    now_ms = relay.loop.clock.now() // 1_000_000
    events = [{"rev": n, "flush": {"collection": n, "ms": now_ms}} for n in range(2, 9)]
    relay.history.append(events, relay.loop.clock.now())
    watcher = harness.watcher(relay)
    watcher.poll(1, 5000)
    assert harness.answer(watcher)[0] == 503 and relay.server.counters.too_old == 1
    other = harness.watcher(relay)
    other.poll(7, 5000)
    assert numbers(harness.answer(other)[1]) == [8]


def test_the_status_shows_the_mark_and_the_lagging_watchers(harness):
    relay = harness.relay(lease_s=3.0, longest_wait_ms=1_000)
    harness.wait_until_current(relay)
    harness.board.publish(flush={"collection": 3, "ms": 5})
    harness.wait_until_current(relay)
    ahead, behind, asking = (harness.watcher(relay) for _ in range(3))
    name = "{}:{}".format(*behind.sock.getsockname())
    behind.poll(1, 0)
    harness.answer(behind)

    def fetch_status():
        ahead.poll(2, 0)
        harness.answer(ahead)
        asking.get("/relay/status?behind=2")
        return harness.answer(asking)[1]

    first = fetch_status()
    assert (
        first["mark"] is None and not first["passed"]
    )  # watchers from before the start may not have reconnected yet
    assert first["behind_total"] == 1 and first["behind"][0]["watcher"] == name
    assert first["behind"][0]["number"] == 1 and first["watchers"]["counted"] == 2

    def passed():
        return (found := fetch_status())["passed"] and found

    last = harness.until(passed)  # ends once the lease of the watcher that lacks event 2 has expired
    assert last["mark"] == 2 and last["watchers"]["counted"] == 1
    assert last["behind"][0] == {"watcher": name, "number": 1, "lapsed": True} | {
        "seconds": last["behind"][0]["seconds"]
    }


class Processes:
    """Relays as separate processes, which poll a notice board (the discovery service) in this process; they
    are ended by their process ids.
    """

    def __init__(self, folder):
        self.folder, self.started = folder, []
        self.world = EmulatorLoop([], lambda *asked: None)
        self.board = DiscoveryServer(self.world)
        self.board.publish(pool=WHOLE_LIST)

    def write(self, number, *upstreams, **extra):
        section = {"listen": "127.0.0.1:0", "upstreams": list(upstreams), **extra}
        path = self.folder / f"{number}.yaml"
        path.write_text(json.dumps({"name": f"relay-{number}", "relay": section}))  # JSON is valid YAML
        return path

    def start(self, *upstreams, **extra):
        number = len(self.started)
        path = self.write(number, *(upstreams or [self.board.address]), **extra)
        words = ["serve", "--role", "relay", "--operator", str(path)]
        with self.log(number).open("w") as log:
            self.started.append(
                subprocess.Popen([sys.executable, "-m", "olivecourse", *words], cwd=ROOT, stderr=log)
            )
        return number

    def log(self, number):
        return self.folder / f"{number}.log"

    def until(self, condition, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.world.run(0.005)
            if found := condition():
                return found
        raise AssertionError([self.log(n).read_text() for n in range(len(self.started))])

    def logged(self, number, event):
        return self.until(lambda: re.search(rf'.*"event": "{event}".*', self.log(number).read_text()))[0]

    def port(self, number):
        self.logged(number, "relay_list_known")
        return int(json.loads(self.logged(number, "ready"))["listen"].rpartition(":")[2])

    def ask(self, *words):
        asking = subprocess.Popen(
            [sys.executable, "-m", "olivecourse", *words], cwd=ROOT, stdout=subprocess.PIPE, text=True
        )
        self.until(lambda: asking.poll() is not None)
        return asking.returncode, asking.communicate()[0]

    def close(self):
        for process in self.started:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.board.close()
        self.world.close()


@pytest.fixture
def processes(tmp_path):
    made = Processes(tmp_path)
    yield made
    made.close()


def test_a_relay_process_reloads_and_ends_soon_with_its_polls_answered(processes):
    relay = processes.start()
    watchers = [Watcher(processes.port(relay)) for _ in range(20)]
    for watcher in watchers:
        watcher.poll(1, 5000)
    processes.write(relay, "nobody", longest_wait_ms=100)
    processes.started[relay].send_signal(signal.SIGHUP)
    assert "nobody" in json.loads(processes.logged(relay, "reload_refused"))["why"]
    processes.write(relay, processes.board.address, longest_wait_ms=100, lease_s=20)
    processes.started[relay].send_signal(signal.SIGHUP)
    assert json.loads(processes.logged(relay, "reloaded"))["needs_restart"] == ["lease_s"]
    quick = Watcher(processes.port(relay))
    quick.poll(1, 5000)
    assert processes.until(quick.take) == (200, b'{"rev":1,"notices":[]}')
    began = time.monotonic()
    processes.started[relay].send_signal(signal.SIGTERM)
    assert [processes.until(watcher.take) for watcher in watchers] == [(200, b'{"rev":1,"notices":[]}')] * 20
    processes.until(lambda: processes.started[relay].poll() is not None)
    assert processes.started[relay].returncode == 0 and time.monotonic() - began < 5
    for watcher in [*watchers, quick]:
        watcher.sock.close()


def test_operators_can_list_the_lagging_watchers(processes):
    relay = processes.start(lease_s=3, longest_wait_ms=1000)
    port = processes.port(relay)
    watcher = Watcher(port)
    name = "{}:{}".format(*watcher.sock.getsockname())

    def polled():
        watcher.poll(1, 0)
        return processes.until(watcher.take)

    polled()
    code, text = processes.ask("relay", "status", f"127.0.0.1:{port}", "--number", "2")
    assert code == 1 and f"{name} at 1" in text and "not proven" in text
    code, text = processes.until(
        lambda: (
            polled() and (asked := processes.ask("relay", "status", f"127.0.0.1:{port}"))[0] == 0 and asked
        )
    )
    assert "low-water mark 1\n" in text and "event 1: in force everywhere below" in text
    code, text = processes.ask("relay", "status", f"127.0.0.1:{port}", "--json")
    assert json.loads(text)["mark"] == 1
    watcher.sock.close()


@pytest.mark.parametrize(
    "text",
    [
        "name: x\n",
        "relay: {listen: '127.0.0.1:0', upstreams: []}\n",
        "relay: {listen: here, upstreams: ['127.0.0.1:1']}\n",
        "relay: {listen: '127.0.0.1:0', upstreams: ['127.0.0.1:1'], lease_s: 2}\n",
        "relay: {listen: '127.0.0.1:0', upstreams: ['127.0.0.1:1'], leases: 2}\n",
        "relay: {listen: '127.0.0.1:TAKEN', upstreams: ['127.0.0.1:1']}\n",
        "relay: [\n",
    ],
)
def test_a_bad_configuration_gives_one_line_and_exit_code_2(tmp_path, text):
    path = tmp_path / "relay.yaml"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path.write_text(text.replace("TAKEN", str(taken.getsockname()[1])))
        words = [sys.executable, "-m", "olivecourse", "serve", "--role", "relay", "--operator", str(path)]
        done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=30, env=os.environ)
    assert done.returncode == 2 and done.stderr.startswith("olivecourse: ")
    assert done.stderr.count("\n") == 1


def test_the_example_configuration_can_be_read():
    config = read_relay(str(ROOT / "deploy" / "relay.yaml"))
    assert config.section.upstreams == ["127.0.0.1:7000", "127.0.0.1:7001"]


class RelayedGateway(gateways.GatewayHarness):
    """A harness whose gateway polls a relay in place of the notice board (the discovery service)."""

    def __init__(self, address):
        self.relay_address = address
        super().__init__()

    def config(self, raw):
        return super().config({**raw, "board": self.relay_address})


def address_of(relay):
    return f"127.0.0.1:{relay.server.port}"


def test_a_purge_reaches_a_real_gateway_through_two_levels_and_the_mark_confirms_it(harness):
    limits = {"lease_s": 3.0, "longest_wait_ms": 1_000}
    top = harness.relay(**limits)
    middle = harness.relay(address_of(top), report_upstream=True, **limits)
    harness.wait_until_current(middle)
    gateway = RelayedGateway(address_of(middle))
    try:
        client = gateway.client()

        def turned(condition):
            return lambda: gateway.turn() or condition()

        def fetched(number, key):
            """Returns the line that the gateway sends to the stand-in store to fetch `key`."""

            def line():
                found = gateway.cache.line()
                return found and found.startswith("fetch") and f"asset={key}" in found and found

            client.call(number, o=key, i=key)
            return harness.until(turned(line))

        harness.board.publish(flush={"asset": gateways.OBJECT, "ms": int(time.time() * 1000) - 40})
        harness.until(turned(lambda: gateway.gateway.discovery.rev == 2))
        assert "newer=" in fetched(1, gateways.OBJECT) and "newer=" not in fetched(2, "00000000000000aa")
        now = top.loop.clock.now
        harness.until(turned(lambda: top.marks.mark(now()) == 2))
        assert top.marks.counted(now()) == 1  # the gateway; the relay between it and `top` does not count
        assert middle.marks.counted(now()) == 1
        gateway.gateway.discovery.stop()  # the gateway is cut off; after its lease no gateway is counted
        harness.board.publish(flush={"collection": 3, "ms": 5})
        harness.until(lambda: top.marks.behind(3, now()))
        assert top.marks.mark(now()) == 2
        harness.until(lambda: top.marks.mark(now()) == 3)
        assert top.marks.counted(now()) == 0
        assert [watcher.lapsed for watcher in middle.marks.behind(3, now())] == [True]
    finally:
        gateway.close()


class ClosingUpstream:
    """An upstream that sends the same bytes on each connection, whatever the request, and then closes it."""

    def __init__(self, response):
        self.response, self.sock, self.served = response, socket.create_server(("127.0.0.1", 0)), 0
        self.sock.setblocking(False)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.connections = []

    def receive(self):
        """Accepts a waiting connection, and answers and closes those that have sent a request; returns how
        many have been served so far.
        """
        try:
            self.connections.append(self.sock.accept()[0])
            self.connections[-1].setblocking(False)
        except BlockingIOError:
            pass
        for conn in list(self.connections):
            try:
                conn.recv(65_536)
            except BlockingIOError:
                continue
            conn.setblocking(True)
            conn.sendall(self.response)
            conn.close()
            self.connections.remove(conn)
            self.served += 1
        return self.served

    def close(self):
        for sock in (self.sock, *self.connections):
            sock.close()


def response(body, length=None):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(body) if length is None else length)
    return head + body


class Gateways:
    """Many discovery clients, of the class that gateways use, on one event loop; all prefer the first of the
    same upstream addresses.
    """

    def __init__(self, harness, count, *addresses, rev=1, grace_ms=250):
        self.harness, self.loop, self.logged = harness, Loop(), []
        self.taken = [[] for _ in range(count)]
        self.clients = []
        for number in range(count):
            random = Random(number).random
            address, *alternatives = [parse_address(text) for text in addresses]
            self.clients.append(
                DiscoveryClient(
                    self.loop,
                    address,
                    rev,
                    self.taken[number].extend,
                    lambda event, **values: self.logged.append(event),
                    random=random,
                    alternatives=alternatives,
                    grace_ns=grace_ms * 1_000_000,
                )
            )

    def until(self, condition):
        return self.harness.until(lambda: self.loop.turn(1_000_000) or condition())

    def close(self):
        for client in self.clients:
            client.stop()
        self.loop.close()


def test_the_polls_of_a_failed_relay_move_to_another_spread_in_time_and_miss_nothing(harness, monkeypatch):
    first, second = harness.relay(), harness.relay()
    harness.wait_until_current(first)
    harness.wait_until_current(second)
    fleet = Gateways(harness, 300, address_of(first), address_of(second))
    fleet.until(lambda: first.server.waiting == 300)
    harness.kill(first)
    harness.board.publish(flush={"collection": 3, "ms": 5})
    delays_ms, after = [], fleet.loop.after

    def recorded(delay_ns, call):
        if getattr(call, "__name__", "") == "_connect":
            delays_ms.append(delay_ns // 1_000_000)
        return after(delay_ns, call)

    monkeypatch.setattr(fleet.loop, "after", recorded)
    fleet.until(lambda: all(client.rev == 2 for client in fleet.clients))
    first_tries = sorted(delays_ms[:300])
    assert first_tries[0] >= 20 and first_tries[-1] <= 125 + 40  # half the grace period plus the backoff
    assert first_tries[-1] - first_tries[0] >= 80
    assert max(first_tries.count(delay_ms) for delay_ms in first_tries) <= 10
    assert all(numbers({"notices": taken}) == [2] for taken in fleet.taken)
    fleet.until(lambda: second.server.waiting == 300)
    fleet.close()


def test_a_gateway_that_changes_relays_within_an_answer_misses_nothing_and_applies_nothing_twice(harness):
    """The first relay's answer is cut off, and the second relay does not have the last 40 events yet."""
    first, second = harness.relay(history_events=64), harness.relay(history_events=500)
    harness.wait_until_current(second)
    now = second.loop.clock.now()
    made_ms = now // 1_000_000
    moved = MEMBER | {"host_port": "127.0.0.1:10"}
    events = [{"rev": 2, "pool": {"revision": 2, "complete": False, "members": [moved]}}]
    events += [{"rev": n, "flush": {"asset": f"{n:016x}", "ms": made_ms}} for n in range(3, 2_001)]
    harness.wait_until_current(first)
    first.history.append(events, now)
    second.history.append(events[:-40], now)
    body = first.history.since(1, now)
    cut = ClosingUpstream(response(body[:80_000], len(body)))
    fleet = Gateways(harness, 1, cut.address, address_of(second))
    (client,), (taken,) = fleet.clients, fleet.taken
    fleet.until(lambda: cut.receive() and client.rev > 1)
    assert 500 < client.rev < 1_960
    fleet.until(lambda: client.rev == 1_960)
    second.history.append(events, now)
    second.server.events_appended()
    fleet.until(lambda: client.rev == 2_000)
    assert [e["flush"]["asset"] for e in taken if "flush" in e] == [f"{n:016x}" for n in range(3, 2_001)]
    assert [e["pool"]["members"] for e in taken if "pool" in e][-1] == [moved]
    assert numbers({"notices": taken}) == sorted(set(numbers({"notices": taken})))
    assert "discovery_disconnected" in fleet.logged
    fleet.close()
    cut.close()


@pytest.mark.parametrize(
    "body",
    [
        b'{"rev":3,"notices":[{"rev":2,"flush":{"collection":1,"ms":5}},{"rev":',
        b'{"rev":3,"notices":[{"rev":2},nonsense]}',
        b'{"rev":3,"notices":{}}',
        b"[" * 5_000,
        b"\xff\xfe",
    ],
)
def test_nothing_is_applied_from_an_unreadable_upstream_and_another_is_polled(harness, body):
    broken = ClosingUpstream(response(body))
    relay = harness.relay(broken.address, harness.board.address)
    harness.until(lambda: broken.receive() and relay.history.ready)
    assert relay.history.revision == 1 and relay.history.counters.taken == 1
    assert "discovery_response_invalid" in harness.names() and "relay_list_known" in harness.names()
    assert relay.upstream == parse_address(harness.board.address)
    broken.close()


def test_a_relay_fails_over_to_another_upstream_and_a_reload_changes_it_again(harness):
    other = harness.relay()
    harness.wait_until_current(other)
    relay = harness.relay(address_of(other), harness.board.address)
    harness.wait_until_current(relay)
    assert relay.upstream == parse_address(address_of(other))
    harness.kill(other)
    harness.board.publish(flush={"collection": 3, "ms": 5})
    harness.wait_until_current(relay)
    assert relay.upstream == parse_address(harness.board.address)
    third = harness.relay()
    section = RelaySection(listen="127.0.0.1:0", upstreams=[address_of(third)])
    relay.reload(RelayConfig("relay", section))
    harness.board.publish(flush={"collection": 4, "ms": 5})
    harness.wait_until_current(relay)
    assert relay.upstream == parse_address(address_of(third))


def test_an_operators_file_may_name_further_relay_addresses_for_a_gateway(tmp_path):
    (tmp_path / "settings.json").write_text(json.dumps(gateways.SETTINGS))
    (tmp_path / "stores.csv").write_text("name,address,zone,kind\ns-00000001,127.0.0.1:9,edge-1,petit\n")
    lines = "name: n0\nlisten: 127.0.0.1:0\nsettings: settings.json\ninventory: stores.csv\n"
    path = tmp_path / "operator.yaml"
    path.write_text(lines + "board: 127.0.0.1:1\nboards: ['127.0.0.1:2', '127.0.0.1:3']\n")
    assert load_operator(str(path), {}).boards == (("127.0.0.1", 2), ("127.0.0.1", 3))
    for wrong in (
        "board: 127.0.0.1:1\nboards: [here]\n",
        "boards: ['127.0.0.1:2']\n",
        "board: 127.0.0.1:1\nboards: 7\n",
    ):
        path.write_text(lines + wrong)
        with pytest.raises(InvalidConfig):
            load_operator(str(path), {})
