"""Discovery replaces most stores of a large fleet, in the compiled copy. test_compiled.py runs this script.

The gateway gets the changes in one response to a poll, as after a poll that came back late: first as many
events with a few stores each, then as one complete list.
"""

import json
import time

from harness import GatewayHarness, member

from olivecourse import weighted_ring
from olivecourse.net.loop import STALL_NS

STORES, EVENTS, REPLACED_PER_EVENT = 3_200, 140, 14
ADDRESS = "127.0.0.1:9"  # no request is sent to the stores


def store(number, **overrides):
    # Weights that differ by store, so that each change moves the number of points of others as well.
    return member(f"s-{number:08x}", ADDRESS, **{"size": 1 + number % 97 / 10, **overrides})


def hub(number, kind):
    return member(f"s-{number:08x}", ADDRESS, kind, "hub-nord")


def publish(harness, events):
    """Answers the open poll with these events; returns the most CPU time of a turn until the ring is done."""
    body = json.dumps({"rev": events[-1]["rev"], "notices": events}).encode()
    unsent = memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    harness.board.data.clear()
    ring, longest_s, end = harness.gateway.local.router.ring, 0.0, time.monotonic() + 40
    while unsent or harness.gateway.discovery.rev < events[-1]["rev"] or not ring.is_complete:
        assert time.monotonic() < end, "the gateway has not taken the change in"
        if unsent:
            try:
                unsent = unsent[harness.board.conns[-1].send(unsent) :]
            except BlockingIOError:
                pass
        began = time.process_time()
        harness.turn()
        longest_s = max(longest_s, time.process_time() - began)
    harness.until(lambda: b"/board/poll" in harness.board.poll())
    return longest_s


def main():
    assert weighted_ring.__file__.endswith(".so"), "not the compiled copy"
    hubs = [hub(8, "parent"), hub(9, "origin")]
    stores = [store(number) for number in range(100, 100 + STORES)]
    known = {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": [*hubs, *stores]}}]}
    harness = GatewayHarness(board=True, known=known)
    router = harness.gateway.local.router
    assert len(router.caches) == STORES and router.ring.is_complete
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    changes, new_number = [], 100_000
    for event in range(EVENTS):
        members = []
        for old in stores[event * REPLACED_PER_EVENT : (event + 1) * REPLACED_PER_EVENT]:
            new_number += 1
            members += [{**old, "phase": "Gone"}, store(new_number)]
        changes.append({"rev": 2 + event, "pool": {"complete": False, "members": members}})
    changes_s = publish(harness, changes)
    assert len(router.caches) == STORES
    new_stores = [store(number) for number in range(200_000, 200_000 + STORES)]
    complete = {"rev": 2 + EVENTS, "pool": {"complete": True, "members": [*hubs, *new_stores]}}
    complete_s = publish(harness, [complete])
    assert {node.member.cache for node in router.caches} == set(range(200_000, 200_000 + STORES))
    harness.close()
    print(f"most CPU time of a turn: {changes_s:.3f} s with the changes, {complete_s:.3f} s with a list")
    assert max(changes_s, complete_s) * 1e9 <= STALL_NS


main()
