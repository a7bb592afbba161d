"""When an order token becomes valid again: only on proof that no store has run the order.

A table of the class's effect by the outcome of the order, with the compiled gateway as a process of its own
and a scripted store on real sockets. The order's client comes back with the same token after each outcome.
"""

import copy
import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from harness import SETTINGS, drain
from test_signed import ORDER, PUBLIC, jwk

from benchmarks._program import Gateway
from olivecourse.fronts import tokens

ROOT = Path(__file__).resolve().parent.parent
EFFECTS = ("idempotent", "deduplicated", "at_most_once")
PARENT, ORIGIN = "127.0.0.1:9", "127.0.0.1:10"  # nothing listens there
LEEWAY_S = 0.1
TIMEOUT_MS = 400  # of an order


def wait_for(condition, seconds=20.0):
    """Returns the first true value of `condition()`; raises AssertionError after `seconds`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if value := condition():
            return value
        time.sleep(0.002)
    raise AssertionError("the condition was not reached")


class OrderStore:
    """A store whose answers the test writes, each on the connection on which the order came."""

    def __init__(self):
        self.received_ids = set()
        self._connections, self._lines = {}, []
        self.port = 0
        self.start()

    def start(self):
        """Listens, at the same address as before if it has been stopped."""
        self._sock = socket.create_server(("127.0.0.1", self.port))
        self._sock.setblocking(False)
        self.port = self._sock.getsockname()[1]

    def stop(self):
        """Closes all sockets; nothing listens at the address until `start`."""
        for sock in (self._sock, *self._connections):
            sock.close()
        self._connections.clear()
        self._lines.clear()

    def received(self):
        """The next attempt of an order, as (request id, connection), or None."""
        try:
            connection = self._sock.accept()[0]
            connection.setblocking(False)
            self._connections[connection] = b""
        except BlockingIOError:
            pass
        for connection in list(self._connections):
            *lines, rest = (self._connections[connection] + drain(connection)).split(b"\r\n")
            self._connections[connection] = rest
            self._lines += [(line.decode().split(" "), connection) for line in lines]
        while self._lines:
            words, connection = self._lines.pop(0)
            if words[0] == "fetch":
                self.received_ids.add(words[1])
                return words[1], connection
        return None

    def answer(self, attempt, word, fields="-"):
        request, connection = attempt
        connection.sendall(f"{request} {word} {fields} 0\r\n\r\n".encode())

    def reset(self, attempt):
        """Closes the connection of an attempt."""
        del self._connections[attempt[1]]
        attempt[1].close()


class OrderClient:
    """One order on a connection of its own, and its answer."""

    def __init__(self, port, token):
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.sendall(
            f"POST {ORDER} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n"
            f"Request-Timeout-Ms: {TIMEOUT_MS}\r\nContent-Length: 5\r\n\r\ncards".encode()
        )
        self.sock.setblocking(False)
        self._data = b""

    def status(self):
        """The HTTP status of the answer, or None if there is none yet."""
        try:
            self._data += self.sock.recv(65_536)
        except OSError:
            pass
        return int(self._data.split(b" ")[1]) if b"\r\n\r\n" in self._data else None


class OrderWorld:
    """A gateway for orders whose class has one effect, and its only cache."""

    def __init__(self, folder, effect, memory=False):
        self.folder, self.store, self.clients, self.issued = folder, OrderStore(), [], 0
        settings = copy.deepcopy(SETTINGS)
        settings["profiles"][1]["effect"] = effect
        rows = [f"s-00000001,127.0.0.1:{self.store.port},edge-1,petit,8"]
        rows += [f"s-00000008,{PARENT},hub-nord,parent,8", f"s-00000009,{ORIGIN},hub-nord,origin,8"]
        (folder / "stores.csv").write_text("\n".join(["name,address,zone,kind,size", *rows]) + "\n")
        (folder / "keys.json").write_text(json.dumps({"union": {"keys": [jwk("k1")]}}))
        (folder / "settings.json").write_text(json.dumps(settings))
        (folder / "operator.yaml").write_text(
            "name: n0\nlisten: 127.0.0.1:0\ninventory: stores.csv\nsettings: settings.json\n"
            f"signed: {{public: '{PUBLIC}', keys: keys.json, leeway_s: {LEEWAY_S}}}\n"
            + ("memory: {folder: m, interval_s: 0.1}\n" if memory else "")
        )
        self.key = tokens.read_keys(str(folder / "keys.json"))["k1"]
        self.start()

    def start(self):
        self.gateway = Gateway(self.folder / "operator.yaml", native=True)
        self.port = self.gateway.port()

    def token(self):
        """A token issued late enough after the gateway's start; its times are whole seconds."""
        self.issued += 1
        time.sleep(1 + LEEWAY_S + 0.05 if self.issued == 1 else 0)
        return tokens.issue(
            self.key, PUBLIC + ORDER, 60, time.time(), aud="n0", jti=f"token-number-{self.issued}"
        )

    def order(self, token):
        self.clients.append(OrderClient(self.port, token))
        return self.clients[-1]

    def play(self, token, react=lambda attempt: None):
        """Sends an order, passes each attempt that the store receives to `react`; returns the status."""
        client = self.order(token)

        def status():
            if attempt := self.store.received():
                react(attempt)
            return client.status()

        return wait_for(status)

    def runs_again(self, token):
        """Whether the token opens another order, which is then answered by the store; else it must be 401."""
        earlier_ids = set(self.store.received_ids)

        def serve(attempt):
            if attempt[0] not in earlier_ids:  # all attempts of an order have its id
                self.store.answer(attempt, "data", "n=MISS_ORIGIN")

        status = self.play(token, serve)
        assert status in (200, 401)
        return status == 200

    def close(self):
        if self.gateway.process.poll() is None:
            self.gateway.process.kill()
        self.gateway.process.wait()
        self.store.stop()
        for client in self.clients:
            client.sock.close()


def refused_unsent(world, token):
    """The store does not accept connections; nothing is sent."""
    world.store.stop()
    status = wait_for(world.order(token).status)
    world.store.start()
    return status


def refused_by_the_store(world, token):
    """The store says of each attempt that it is full, so it never ran."""
    return world.play(token, lambda attempt: world.store.answer(attempt, "full"))


def lost(world, token):
    """The store closes the connection of each attempt once it has the order."""
    return world.play(token, world.store.reset)


def failed_by_the_store(world, token):
    """The store says of each attempt that it failed: it may have run."""
    return world.play(token, lambda attempt: world.store.answer(attempt, "failed"))


def late(world, token):
    """The store's answer comes after the deadline."""
    attempts = []
    status = world.play(token, attempts.append)
    world.store.answer(attempts[0], "data", "n=MISS_ORIGIN")
    return status


def past_its_deadline(world, token):
    """The store never answers."""
    attempts = []
    status = world.play(token, attempts.append)
    assert attempts, "the order was sent"
    return status


# What the client sees first, and whether its token is then valid again.
OUTCOMES = [
    (refused_unsent, {503}, True),
    (refused_by_the_store, {503}, True),
    (lost, {502, 504}, False),
    (failed_by_the_store, {502, 504}, False),
    (late, {502, 504}, False),
    (past_its_deadline, {502, 504}, False),
]


@pytest.fixture(scope="module", autouse=True)
def compiled():
    subprocess.run(
        [sys.executable, "build_native.py"], cwd=ROOT, check=True, capture_output=True, timeout=600
    )


@pytest.fixture(scope="module", params=EFFECTS)
def world(request, tmp_path_factory):
    created = OrderWorld(tmp_path_factory.mktemp("orders"), request.param)
    yield created
    created.close()


@pytest.mark.parametrize(
    "play, statuses, is_valid_again", OUTCOMES, ids=[row[0].__name__ for row in OUTCOMES]
)
def test_a_token_is_valid_again_only_on_proof_that_nothing_ran(world, play, statuses, is_valid_again):
    """Guards against an order that runs twice, as its client is told to repeat one that may have run."""
    token = world.token()
    assert play(world, token) in statuses
    assert world.runs_again(token) == is_valid_again
    assert not is_valid_again or not world.runs_again(token), "it has run now"


@pytest.mark.parametrize("memory", [False, True], ids=["tokens in memory", "tokens on disk"])
@pytest.mark.parametrize("effect", EFFECTS)
def test_a_token_is_not_valid_again_after_the_process_was_killed(tmp_path, effect, memory):
    """Guards against an order that runs again after a restart of the gateway that sent it."""
    world = OrderWorld(tmp_path, effect, memory)
    try:
        token = world.token()
        world.order(token)
        wait_for(world.store.received)
        world.gateway.process.send_signal(signal.SIGKILL)
        world.gateway.process.wait()
        world.start()
        assert not world.runs_again(token)
    finally:
        world.close()
