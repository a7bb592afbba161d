"""A forwarder writes to a planner that has just ended, in the compiled copy. test_compiled.py runs this.

The order is forced: the planner closes its end after the forwarder's turn has begun, so that the write fails.
"""

import socket
import sys

from harness import GatewayHarness

from olivecourse.net import planner_link


def main(path):
    assert planner_link.__file__.endswith(".so"), "not the compiled copy"
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    listener.bind(path)
    listener.listen()
    harness = GatewayHarness(planner=path)
    planner, _ = listener.accept()
    listener.close()
    client = harness.client()
    client.call()
    for _ in range(2_000):  # until the request is read; it is not given to the planner yet
        harness.gateway.loop.turn(5_000_000)
        if harness.gateway.tracker.open:
            break
    planner.close()
    harness.gateway.decide()
    assert "planner_lost" in harness.event_names()
    assert [answer[:2] for answer in harness.until(client.answers)] == [(1, "refused")]
    harness.close()


main(sys.argv[1])
