"""Discovery sends an event without a number, to the compiled copy. test_compiled.py runs this script."""

from harness import GatewayHarness

from olivecourse.discovery import event_stream


def main():
    assert event_stream.__file__.endswith(".so"), "not the compiled copy"
    harness = GatewayHarness(board=True)
    harness.until(lambda: b"watch=1&" in harness.board.poll())
    body = b'{"rev": 2, "notices": [{"flush": {"collection": 17, "ms": 1}}]}'
    harness.board.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    harness.until(lambda: "discovery_disconnected" in harness.event_names())
    assert "discovery_response_invalid" in harness.event_names(), harness.logged
    harness.close()


main()
