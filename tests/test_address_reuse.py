"""A store comes up at the address of another one, which has gone or moved: it gets none of its work."""

import pytest
from harness import OBJECT, GatewayHarness, ScriptedServer, member

CACHE, NEW = "s-00000001", "s-00000002"


@pytest.fixture
def stage():
    made = GatewayHarness()
    yield made
    made.close()


@pytest.mark.parametrize("change", ["moved", "gone"])
@pytest.mark.parametrize("class_name", ["fichiers", "commande"])
def test_an_attempt_that_waits_for_a_connection_does_not_go_to_another_store(stage, change, class_name):
    """Guards against work that is sent to whoever listens at an address by now."""
    gateway, elsewhere = stage.gateway, ScriptedServer()
    stage.peers.append(elsewhere)
    client = stage.client()
    client.call(1, i=OBJECT, c=class_name, d="600")
    stage.until(lambda: any(s.waiting for streams in gateway.pool._connections.values() for s in streams))
    (stream,) = gateway.pool._connections[1]
    assert stream.connecting and stream.waiting
    old = (
        member(CACHE, elsewhere.address)
        if change == "moved"
        else member(CACHE, stage.cache.address, phase="Gone")
    )
    new = member(NEW, stage.cache.address, zone="mindelo")
    gateway.on_events([{"rev": 2, "pool": {"revision": 2, "complete": False, "members": [old, new]}}])
    if change == "moved":
        assert stage.until(elsewhere.line).startswith("fetch")
    else:
        stage.until(client.answers)
    assert b"fetch" not in stage.cache.poll()
