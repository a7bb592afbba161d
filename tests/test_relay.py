"""Relays over real sockets: what gateways and relays below see, and what hostile ones do not change."""

import json
import socket
import time

import pytest

from olivecourse.emulator.board import Board
from olivecourse.emulator.stores import World
from olivecourse.relay.section import RelayConfig, RelaySection
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


def poll_target(watch, linger, more=""):
    return f"/board/poll?watch={watch}&linger={linger}{more}"


class Watcher:
    """A stand-in of a gateway's poll."""

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

    def poll(self, watch, linger, more=""):
        self.get(poll_target(watch, linger, more))

    def look(self):
        """Reads what is there; whole responses go to `answers` as (status, body)."""
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
        """The next answer, or None."""
        return self.look().pop(0) if self.look() else None


class Stage:
    """A board, and relays that poll it or each other, all in this process."""

    def __init__(self):
        self.world = World([], lambda *asked: None)
        self.board = Board(self.world)
        self.board.publish(pool=WHOLE_LIST)
        self.relays, self.watchers, self.logged = [], [], []

    def relay(self, *upstreams, **more):
        section = RelaySection(
            listen=more.pop("listen", "127.0.0.1:0"),
            upstreams=list(upstreams) or [self.board.address],
            **more,
        )
        config = RelayConfig(f"relay-{len(self.relays)}", section)
        self.relays.append(RelayService(config, self.log, DESCRIPTORS))
        return self.relays[-1]

    def log(self, event, **values):
        self.logged.append((event, values))

    def names(self):
        return [event for event, _ in self.logged]

    def watcher(self, relay, **more):
        self.watchers.append(Watcher(relay.server.port, **more))
        return self.watchers[-1]

    def turn(self):
        self.world.turn(time.monotonic() + 0.002)
        for relay in self.relays:
            relay.loop.turn(1_000_000)
            relay.server.turn_ended()

    def until(self, what, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.turn()
            if found := what():
                return found
        raise AssertionError(f"did not come about; logged: {self.logged[-20:]}")

    def known(self, relay):
        self.until(lambda: relay.history.revision >= self.board.rev)

    def answer(self, watcher):
        """The next answer's status and its body, parsed if it is one of events."""
        status, body = self.until(watcher.take)
        return status, json.loads(body) if status == 200 else body.decode()

    def end(self, relay):
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
def stage():
    made = Stage()
    yield made
    made.close()


def numbers(body):
    return [event["rev"] for event in body["notices"]]


def test_a_poll_is_answered_when_events_come_and_else_with_none_at_its_end(stage):
    relay = stage.relay()
    stage.known(relay)
    watcher = stage.watcher(relay)
    watcher.poll(0, 1500)
    status, body = stage.answer(watcher)
    assert (status, body["rev"], numbers(body)) == (200, 1, [1])
    assert body["notices"][0]["pool"] == WHOLE_LIST
    began = time.monotonic()
    watcher.poll(1, 100)
    assert stage.answer(watcher) == (200, {"rev": 1, "notices": []})
    assert time.monotonic() - began >= 0.1
    watcher.poll(1, 5000)
    stage.until(lambda: relay.server.waiting)
    stage.board.publish(flush={"collection": 3, "ms": 5})
    assert stage.answer(watcher) == (
        200,
        {"rev": 2, "notices": [{"rev": 2, "flush": {"collection": 3, "ms": 5}}]},
    )
