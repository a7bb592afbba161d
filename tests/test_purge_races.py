"""Purges that reach a gateway between the arrival of a read and its send, in orders that the tests force.

A read that is sent after its gateway has learned of a purge must bound the age of the copy (`newer`), or a
purged copy answers it. docs/incidents/purged-copies-after-long-turns.md has the incident.
"""

import time

import pytest
from harness import OBJECT, REQUEST, GatewayHarness, member

from olivecourse import interface
from olivecourse.net.loop import Loop
from olivecourse.net.planner_link import PlannerServer

GROUP = 17  # the group of the objects that the harness's clients ask for
TURN_NS, MAX_TURNS = 5_000_000, 2_000


@pytest.fixture
def harness(request):
    """A gateway with scripted servers, a connection to its cache, and what the test's parameters add."""
    created = GatewayHarness(**getattr(request, "param", {}))
    connect_to_cache(created)
    yield created
    created.close()


def connect_to_cache(harness):
    """Serves a first request, so that later ones are sent on a connection that is established."""
    client = harness.client()
    client.call(o="00" * 8, i="00" * 8)
    request = harness.until(harness.cache.line).split(" ")[1]
    harness.cache.send(f"{request} data version=aa,stamp=1,n=HIT 2\r\nhi\r\n".encode())
    assert harness.until(client.answers)


def purge_event(key, rev=2):
    """A discovery event that purges the harness's object or its group, as `key` says."""
    purged = {"asset": OBJECT} if key == "object" else {"collection": GROUP}
    return {"rev": rev, "flush": {**purged, "ms": int(time.time() * 1000)}}


def read_without_deciding(harness):
    """Sends a read to the gateway and runs turns of its loop until the read waits for the next decision."""
    harness.client().call()
    for _ in range(MAX_TURNS):
        harness.gateway.loop.turn(TURN_NS)
        if any(isinstance(event, interface.Request) for event in harness.gateway.batch):
            return
    raise AssertionError("the read has not arrived")


def has_age_bound(fetch):
    """Whether a line that a cache received accepts only copies that are younger than a bound."""
    return any(field.startswith("newer=") for field in fetch.split(" ")[2].split(","))


@pytest.mark.parametrize("key", ["object", "group"])
def test_a_read_that_stands_before_a_purge_in_its_batch_bounds_the_age_of_the_copy(harness, key):
    """Guards against plans that were made without a purge and are carried out after it was read."""
    read_without_deciding(harness)
    harness.gateway.on_events([purge_event(key)])
    harness.gateway.decide()
    assert has_age_bound(harness.until(harness.cache.line))


def test_reads_of_other_objects_are_not_planned_again_for_a_purge(harness):
    read_without_deciding(harness)
    harness.gateway.on_events([{"rev": 2, "flush": {"asset": "11" * 8, "ms": 1}}])
    harness.gateway.decide()
    assert not has_age_bound(harness.until(harness.cache.line))
    assert harness.gateway.tracker.entries[REQUEST].attempt_count == 1


class RemotePlanners:
    """A gateway and its planner with an event loop each; the test decides which of the two runs."""

    def __init__(self, path):
        self.path = path
        self.harness = GatewayHarness(planner=path)
        self.start()

    def start(self):
        self.loop = Loop()
        settings = self.harness.gateway.config.settings
        self.server = PlannerServer(self.loop, self.path, settings, lambda *unused, **fields: None)
        self.until(self.connected)

    def connected(self):
        return any(
            stream.planner is not None and stream.planner.router.caches for stream in self.server.streams
        )

    def stop(self):
        self.server.close()
        self.loop.close()

    def run_both(self):
        self.loop.turn(TURN_NS)
        self.harness.turn()

    def until(self, condition, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.run_both()
            if result := condition():
                return result
        raise AssertionError(f"the condition was not reached; logged: {self.harness.logged}")


@pytest.fixture
def remote(tmp_path):
    created = RemotePlanners(str(tmp_path / "planner.sock"))
    yield created
    created.harness.close()
    created.stop()


@pytest.mark.parametrize("key", ["object", "group"])
def test_a_plan_of_a_slow_planner_is_not_sent_after_a_purge_that_it_does_not_know(remote, key):
    """Guards against purged copies after a planner was held up: its plans are older than the purge."""
    harness = remote.harness
    harness.client().call()
    harness.until(lambda: harness.gateway.tracker.open)
    for _ in range(5):  # the plan is made, and waits in the socket of the forwarder
        remote.loop.turn(TURN_NS)
    harness.gateway.on_events([purge_event(key)])
    assert has_age_bound(remote.until(harness.cache.line))


def test_a_purge_between_two_planners_is_known_to_the_second(remote):
    """Guards against reads that wait for ever for a planner to know a purge from before its connection."""
    harness = remote.harness
    remote.stop()
    harness.until(lambda: harness.gateway.remote.stream is None)
    harness.gateway.on_events([purge_event("object"), {"rev": 3, "flush": {"asset": "22" * 8, "ms": 1}}])
    harness.turn()
    remote.start()
    harness.client().call()
    assert has_age_bound(remote.until(harness.cache.line))
    harness.client().call(i="22" * 8, o="22" * 8)
    assert remote.until(harness.cache.line)


# Events that wait unread in the connection to discovery ---------------------------------------------


class OffsetClock:
    """The clock of an event loop, set forward by `ahead_ns`."""

    def __init__(self, clock):
        self._clock, self.ahead_ns = clock, 0

    def now(self):
        return self._clock.now() + self.ahead_ns

    def from_unix_ms(self, ms):
        return self._clock.from_unix_ms(ms) + self.ahead_ns


def hold_up_between_read_and_send(harness, **event_body):
    """Publishes an event after a read has arrived, and lets 0.9 s pass before the gateway decides on it."""
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    harness.publish(2, flush={"asset": "11" * 8, "ms": 1})
    harness.until(lambda: b"watch=2&" in harness.board.poll())
    read_without_deciding(harness)
    harness.publish(3, **event_body)
    clock = harness.gateway.loop.clock = OffsetClock(harness.gateway.loop.clock)
    clock.ahead_ns = 900_000_000
    harness.gateway.decide()


with_board = pytest.mark.parametrize("harness", [{"board": True}], indirect=True)


@with_board
@pytest.mark.parametrize("key", ["object", "group"])
def test_a_purge_that_waits_unread_while_the_process_is_held_up_bounds_the_age_of_the_copy(harness, key):
    """Guards against purged copies after a long turn, or a stop, between a read's arrival and its send."""
    hold_up_between_read_and_send(harness, flush=purge_event(key)["flush"])
    assert has_age_bound(harness.until(harness.cache.line))


@with_board
def test_a_drain_that_waits_unread_while_the_process_is_held_up_keeps_requests_from_the_store(harness):
    """Guards against sends to a drained store after a long turn, or a stop, before the send."""
    drained = member("s-00000001", harness.cache.address, phase="Terminating")
    hold_up_between_read_and_send(harness, pool={"revision": 2, "complete": False, "members": [drained]})
    harness.until(lambda: harness.parent.line() or harness.origin.line() or harness.clients[-1].answers())
    assert REQUEST.encode() not in harness.cache.poll()
