"""Discovery that answers late, and connections to it that are cut off without a reset.

The two look alike to who waits for a response. What discovery has to tell counts as known after 7 s, so it
has to be heard by then in both cases, by gateways and by relays. The clocks run faster than real time.
"""

import json
import socket

import pytest
from harness import GatewayHarness, drain

from olivecourse.net.loop import Clock
from olivecourse.relay.section import RelayConfig, RelaySection
from olivecourse.relay.service import RelayService

MS, S = 1_000_000, 1_000_000_000
SPEED = 5  # how much faster than real time the clocks run
KNOWN_AFTER_S = 7.0
SLACK_S = 0.4  # for turns of 5 ms, at SPEED, and the machine
MAX_CONNECTIONS = 12


class FastClock(Clock):
    """A clock that runs SPEED times as fast as the real one, from now on."""

    def __init__(self):
        super().__init__()
        self._started = super().now()

    def now(self):
        return self._started + (super().now() - self._started) * SPEED


class LateDiscovery:
    """A discovery server whose responses are late, each by `late_s`, and can be cut off on its connections.

    With `composed_early`, a response has only the events that were published before its lateness began.
    """

    def __init__(self, clock):
        self.clock, self.late_s, self.composed_early = clock, 0.0, False
        self._sock = socket.create_server(("127.0.0.1", 0))
        self._sock.setblocking(False)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self.events = [{"rev": 1, "pool": {"revision": 1, "complete": True, "members": []}}]
        self.open = {}  # connection: its poll as [number, held until, time to write, body], or None
        self._cut = []
        self.most_open = 0

    def publish(self):
        self.events.append({"rev": len(self.events) + 1, "flush": {"collection": 17, "ms": 1}})
        return len(self.events)

    def cut_off(self):
        """Cuts all present connections: nothing comes on them any more, not even their end."""
        self._cut += self.open
        self.open.clear()

    def turn(self):
        now = self.clock.now()
        try:
            connection = self._sock.accept()[0]
            connection.setblocking(False)
            self.open[connection] = None
        except BlockingIOError:
            pass
        for connection, poll in list(self.open.items()):
            try:
                if connection.recv(1, socket.MSG_PEEK) == b"":
                    del self.open[connection]
                    connection.close()
                    continue
            except BlockingIOError:
                pass
            request = drain(connection)
            if request:
                query = dict(pair.split(b"=") for pair in request.split(b" ")[1].split(b"?")[1].split(b"&"))
                poll = self.open[connection] = [
                    int(query[b"watch"]),
                    now + int(query[b"linger"]) * MS,
                    0,
                    b"",
                ]
            if poll is not None:
                self._respond(connection, poll, now)
        self.most_open = max(self.most_open, len(self.open))

    def _respond(self, connection, poll, now):
        if not poll[2] and (len(self.events) > poll[0] or now >= poll[1]):
            poll[2] = now + int(self.late_s * S)
            poll[3] = self._body(poll[0])
        if poll[2] and now >= poll[2]:
            body = poll[3] if self.composed_early else self._body(poll[0])
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            self.open[connection] = None

    def _body(self, watch):
        return json.dumps({"rev": len(self.events), "notices": self.events[watch:]}).encode()

    def close(self):
        for sock in (self._sock, *self.open, *self._cut):
            sock.close()


class GatewayFollower:
    """A gateway that polls the server."""

    def __init__(self, server, clock):
        known = {"rev": 1, "notices": server.events[:1]}
        self._harness = GatewayHarness(known=known)
        loop = self._harness.gateway.loop
        loop.clock = clock
        self._harness.raw["board"] = server.address
        self._harness.gateway.reload(self._harness.config(self._harness.raw))

    @property
    def rev(self):
        return self._harness.gateway.discovery.rev

    @property
    def delivered(self):
        """How many events have been delivered since the start; all are purges."""
        return self._harness.gateway.tracker.checkpoint().last_purge

    def turn(self):
        self._harness.turn()

    def close(self):
        self._harness.close()


class RelayFollower:
    """A relay whose upstream is the server."""

    def __init__(self, server, clock):
        section = RelaySection(listen="127.0.0.1:0", upstreams=[server.address])
        self._service = RelayService(RelayConfig("relay", section), lambda event, **values: None, 256)
        self._service.loop.clock = clock

    @property
    def rev(self):
        return self._service.history.revision

    @property
    def delivered(self):
        """How many events have been delivered since the start, apart from the first, the list."""
        counters = self._service.history.counters
        return counters.taken + counters.known - 1

    def turn(self):
        self._service.loop.turn(5 * MS)
        self._service.server.turn_ended()

    def close(self):
        self._service.close()


@pytest.fixture(params=[GatewayFollower, RelayFollower])
def world(request):
    """Makes a function that starts the server, late from the start, and a follower of it."""
    made = []

    def start(late_s=0.0, composed_early=False):
        clock = FastClock()
        server = LateDiscovery(clock)
        server.late_s, server.composed_early = late_s, composed_early
        made.extend((request.param(server, clock), server))
        return World(*made)

    yield start
    for part in made:
        part.close()


class World:
    def __init__(self, follower, server):
        self.follower, self.server, self.clock = follower, server, server.clock

    def run(self, seconds, until=lambda: False):
        """Runs both for so many seconds of the clock, or until the condition holds; returns the seconds."""
        began = self.clock.now()
        while self.clock.now() - began < seconds * S and not until():
            self.server.turn()
            self.follower.turn()
        return (self.clock.now() - began) / S

    def hears(self):
        """Publishes an event and returns after how many seconds the follower has heard it."""
        number = self.server.publish()
        took = self.run(3 * KNOWN_AFTER_S, lambda: self.follower.rev >= number)
        assert self.follower.rev >= number, "never heard"
        return took


@pytest.mark.parametrize("late_s", [0.8, 1.0, 2.3, 4.5, 6.5])
def test_discovery_that_is_late_from_the_start_is_heard(world, late_s):
    """Guards against a client that gives up each response before it comes, and never learns an event."""
    played = world(late_s)
    played.run(0.5)
    for pause_s in (0.0, 0.9):
        assert played.hears() <= KNOWN_AFTER_S + SLACK_S
        played.run(pause_s)
    assert played.server.most_open <= MAX_CONNECTIONS


@pytest.mark.parametrize("late_s", [0.8, 2.3, 6.5])
def test_discovery_that_becomes_late_is_heard_and_recovers(world, late_s):
    """Guards against events that are lost while responses are late, and connections that are left over."""
    played = world()
    played.run(2)
    played.server.late_s = late_s
    for pause_s in (0.0, 2.1):
        assert played.hears() <= KNOWN_AFTER_S + SLACK_S
        played.run(pause_s)
    played.server.late_s = 0.0
    played.run(late_s + 3)
    assert played.hears() <= 2 * SLACK_S
    assert played.server.most_open <= MAX_CONNECTIONS
    assert played.run(5, lambda: len(played.server.open) == 1) < 5, "one connection is in use"


@pytest.mark.parametrize("late_s", [1.0, 5.5])
def test_an_event_that_a_late_response_lacks_is_heard_by_the_next_poll(world, late_s):
    """Guards against a wait for two late responses, where each holds what was known when it was asked for."""
    played = world(late_s, composed_early=True)
    played.run(late_s + 2)
    for pause_s in (0.0, 0.3, 0.8):
        assert played.hears() <= KNOWN_AFTER_S + SLACK_S
        played.run(pause_s)
    assert played.server.most_open <= MAX_CONNECTIONS


@pytest.mark.parametrize("late_s", [0.0, 2.0])
def test_a_connection_that_is_cut_off_without_a_reset_is_noticed_in_time(world, late_s):
    """Guards against a client that waits on a dead connection for as long as for a late response."""
    played = world(late_s)
    played.run(6)
    played.server.cut_off()
    assert played.hears() <= KNOWN_AFTER_S + SLACK_S
    played.server.cut_off()
    played.run(1)
    assert played.hears() <= KNOWN_AFTER_S + SLACK_S


def test_no_event_is_heard_twice_or_out_of_order(world):
    """Guards against events that several late responses hold being taken again."""
    played = world(1.5)
    heard, numbers = played.follower, []
    for _ in range(40):
        played.server.publish()
        played.run(0.4)
        numbers.append(heard.rev)
    played.run(KNOWN_AFTER_S, lambda: heard.rev == len(played.server.events))
    assert heard.rev == len(played.server.events) and numbers == sorted(numbers)
    played.run(3)  # for the late responses that hold the last events once more
    assert heard.delivered == 40
