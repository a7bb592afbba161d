"""Hundreds of clients that write slowly, stop within a request or send heads of very many short fields: what
they occupy together, and what becomes of other clients. docs/incidents/memory-of-unfinished-requests.md.
"""

import asyncio
import itertools
import json
import string
import subprocess
import sys
import time
from pathlib import Path

import pytest
from harness import OBJECT, SETTINGS, Client, GatewayHarness, member
from test_clients import ask, serve, wait_closed
from test_signed import PATH, PUBLIC, SignedGatewayHarness, jwk

from benchmarks._program import Gateway
from olivecourse.emulator.stores import EmulatorLoop, Store
from olivecourse.fronts import codec, listener, signed

ROOT = Path(__file__).resolve().parent.parent
MEMORY_MB, CLIENTS = 192, 330  # the limit of a scored day, and nearly a third of its 1,024 descriptors
BODY = b"z" * 48_000


def thrift_order(number, body=BODY):
    fields = {"c": "commande", "i": f"{number:016x}", "o": OBJECT, "d": "2500", "n": "0", "shard": "17"}
    return codec.encode("serve", 1, 1, codec.ServeArgs(fields=fields, body=body))


def signed_head(*lines):
    return "\r\n".join([f"POST /commande/{OBJECT}/0?shard=17 HTTP/1.1", *lines]).encode()


def short_fields(count):
    letters = itertools.product(string.ascii_lowercase, repeat=3)
    return [f"{''.join(name)}:" for name in itertools.islice(letters, count)]


HALF_REQUEST = {
    "thrift": thrift_order(1)[:24_000],
    "signed": signed_head("Content-Length: 48000", "", "") + BODY[:24_000],
}


@pytest.fixture(params=["thrift", "signed"])
def harness(request, tmp_path):
    created = SignedGatewayHarness(tmp_path) if request.param == "signed" else GatewayHarness()
    created.kind = request.param
    yield created
    created.close()


def half_written(harness):
    """Connects a client that sends half of a large request, and waits until that has been read."""
    held, client = harness.gateway.front._held_bytes, harness.client()
    client.sock.sendall(HALF_REQUEST[harness.kind])
    harness.until(lambda: client.poll() is not None and harness.gateway.front._held_bytes > held + 20_000)
    return client


def test_memory_of_unfinished_requests_is_bounded_over_all_clients(harness):
    """Guards against a process that passes its memory limit, as each client may hold a little."""
    front = harness.gateway.front
    working, request = ask(harness, 1)
    front._max_unread_bytes = 300_000
    clients = [harness.client() for _ in range(30)]
    for client in clients:
        client.sock.sendall(HALF_REQUEST[harness.kind])
    harness.until(lambda: sum(c.poll() is not None and c.closed for c in clients) >= 15)
    assert front._held_bytes <= 300_000 and "client_request_unfinished" in harness.event_names()
    assert front._held_bytes == sum(c.held_bytes() for c in front.clients)
    serve(harness, working, request)
    assert not working.closed


def test_a_small_unfinished_request_stays_while_others_occupy_the_memory(harness):
    """Guards against honest clients that are closed for memory that they do not hold."""
    front = harness.gateway.front
    unfinished = half_written(harness)
    front._max_unread_bytes = 20_000
    small = harness.client()
    small.sock.sendall(HALF_REQUEST[harness.kind][:3])
    wait_closed(harness, unfinished)
    front._max_unread_bytes = 2_000  # less than the empty buffers take
    other = harness.client()
    other.sock.sendall(HALF_REQUEST[harness.kind][:3])
    harness.until(lambda: len(front._unfinished_clients) == 2)
    assert small.poll() == other.poll() == b"" and not small.closed and not other.closed


def test_what_clients_occupied_is_not_counted_any_more_once_they_have_gone(harness):
    front = harness.gateway.front
    for client in [half_written(harness) for _ in range(3)]:
        client.sock.close()
    harness.until(lambda: not front.clients)
    assert front._held_bytes == 0


def test_an_unfinished_request_gives_way_to_a_new_client_before_an_idle_one(harness, monkeypatch):
    """Guards against honest clients that are driven out in favour of unfinished ones."""
    monkeypatch.setattr(listener, "MIN_EVICTION_AGE_NS", 0)
    front = harness.gateway.front
    idle, request = ask(harness, 1)
    serve(harness, idle, request)
    unfinished = [half_written(harness) for _ in range(3)]
    time.sleep(listener.MIN_FIRST_REQUEST_AGE_NS / 1e9)
    front._max_clients = 4
    newcomer, request = ask(harness, 2)
    wait_closed(harness, unfinished[0])
    idle.poll()
    assert not idle.closed and not newcomer.closed
    serve(harness, newcomer, request)


def test_clients_without_any_response_take_half_of_the_places_from_others_at_most(harness):
    """Guards against a rush of new clients that drives out all idle ones."""
    front = harness.gateway.front
    front._max_clients = 6
    idle = []
    for number in range(1, 4):
        client, request = ask(harness, number)
        serve(harness, client, request)
        idle.append(client)
    for connection in front.clients:  # as if they had been idle for long
        connection.request_count = 2
        connection.update_group()
        front._idle_clients[connection] -= 10 * listener.MIN_EVICTION_AGE_NS
    rush = [harness.client() for _ in range(12)]
    harness.until(lambda: sum(c.poll() is not None and c.closed for c in rush) >= 8)
    still_idle = [c for c in idle if c.poll() is not None and not c.closed]
    assert len(still_idle) >= 2 and len(front.clients) <= 6


def test_open_requests_hold_a_bounded_sum_of_bodies():
    """Guards against large orders that fill the memory while their stores are slow."""
    harness = GatewayHarness()
    harness.gateway.tracker._max_body_bytes = 100_000
    client = harness.client()
    for number in range(1, 4):
        client.call(number, i=f"{number:016x}", c="commande", body=BODY)
    answers = harness.until(client.answers)
    assert [(number, kind) for number, kind, _, _ in answers] == [(3, "refused")]
    request = harness.until(harness.cache.line).split(" ")[1]
    harness.cache.send(f"{request} data n=MISS_ORIGIN 2\r\nok\r\n".encode())
    harness.until(lambda: len(client.answers()) == 2)
    assert harness.gateway.tracker.body_bytes == len(BODY)
    harness.close()


def test_requests_that_wait_on_a_busy_connection_are_refused_above_the_limit(tmp_path):
    """Guards against clients with an open request, which are never closed, that fill the memory."""
    harness = SignedGatewayHarness(tmp_path)
    front = harness.gateway.front
    client = harness.ask(harness.link())
    request = harness.until(harness.cache.line).split(" ")[1]
    front._max_unread_bytes = 40_000
    order = signed_head("Content-Length: 48000", "", "") + BODY
    client.sock.sendall(order)
    harness.until(lambda: any(c.queue for c in front.clients))
    assert front._held_bytes <= 40_000
    harness.cache.send(f"{request} data version=v1,stamp=1,n=HIT 2\r\nhi\r\n".encode())
    data = harness.until(lambda: client.poll().count(b"HTTP/1.1 ") == 2 and client.data)
    assert data.startswith(b"HTTP/1.1 200") and b"HTTP/1.1 503" in data
    harness.close()


@pytest.mark.parametrize(
    "head",
    [
        signed_head(*short_fields(signed.MAX_HEADERS + 1), "", ""),
        signed_head("A: " + "v" * (signed.MAX_FRAMING_BYTES + 70_000)),
        signed_head("Transfer-Encoding: chunked", "", "0", "A: " + "v" * (signed.MAX_FRAMING_BYTES + 70_000)),
    ],
    ids=["many short fields", "a field without an end", "a trailer without an end"],
)
def test_a_head_that_takes_much_memory_is_rejected(tmp_path, head):
    """Guards against heads whose memory is many times their bytes, or that the parser holds without end."""
    harness = SignedGatewayHarness(tmp_path)
    client = harness.client()
    client.sock.setblocking(True)
    client.sock.settimeout(0.01)
    unsent = memoryview(head)

    def rejected():
        nonlocal unsent
        try:
            unsent = unsent[client.sock.send(unsent[:65_536]) :]
        except OSError:
            pass
        return "client_bad_http" in harness.event_names()

    harness.until(rejected)
    assert harness.gateway.front._held_bytes < 300_000
    harness.close()


# Crowds against the compiled program --------------------------------------------------------------------


CROWDS = {
    ("signed", "heads of short fields"): signed_head(*short_fields(5_400)),
    ("signed", "a field without an end"): signed_head("A: " + "v" * 4_000_000),
    ("signed", "half of a request"): HALF_REQUEST["signed"],
    ("thrift", "half of a request"): HALF_REQUEST["thrift"],
}


def started_gateway(folder, kind, world):
    """Starts the compiled gateway with the limits of a scored day."""
    by_kind = dict(zip(("petit", "parent", "origin"), world.stores, strict=True))
    members = [
        member(f"s-{number:08x}", store.address, flavor, "edge-1" if flavor == "petit" else "hub-nord")
        for number, (flavor, store) in enumerate(by_kind.items(), 1)
    ]
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    if kind == "thrift":
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"complete": True, "members": members}}]}
        config = {"name": "n0", "listen": "127.0.0.1:0", "seed": "05", "settings": SETTINGS}
        (folder / "config.json").write_text(json.dumps({**config, "known": known, "limits": limits}))
        return Gateway(None, native=True, EDGE_CONFIG=str(folder / "config.json"))
    rows = [f"{m['id']},{m['host_port']},{m['locality']},{m['flavor']},8" for m in members]
    (folder / "stores.csv").write_text("\n".join(["name,address,zone,kind,size", *rows]) + "\n")
    (folder / "keys.json").write_text(json.dumps({"union": {"keys": [jwk("k1")]}}))
    (folder / "settings.json").write_text(json.dumps(SETTINGS))
    (folder / "operator.yaml").write_text(
        "name: n0\nlisten: 127.0.0.1:0\nseed: '05'\ninventory: stores.csv\nsettings: settings.json\n"
        f"signed: {{public: '{PUBLIC}', keys: keys.json, leeway_s: 3}}\n"
    )
    return Gateway(folder / "operator.yaml", native=True)


async def crowd(port, data, seconds):
    """Clients that send this over and over, on a new connection whenever the gateway closes theirs."""

    async def one():
        while True:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(data)
                await writer.drain()
                while await reader.read(65_536):
                    pass
            except ConnectionError:
                await asyncio.sleep(0.01)
            finally:
                writer.close()

    tasks = [asyncio.ensure_future(one()) for _ in range(CLIENTS)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize("kind, data", [(key[0], data) for key, data in CROWDS.items()], ids=map(str, CROWDS))
def test_a_crowd_keeps_the_program_within_its_memory_limit(tmp_path, kind, data):
    """Guards against a process that is killed for its memory."""
    build = [sys.executable, "build_native.py"]
    subprocess.run(build, cwd=ROOT, check=True, capture_output=True, timeout=600)
    world = EmulatorLoop([Store("petit-1"), Store("parent-1"), Store("origin-1")])
    gateway = started_gateway(tmp_path, kind, world)
    try:
        asyncio.run(crowd(gateway.port(), data, 3))
        status = Path(f"/proc/{gateway.process.pid}/status").read_text()
        peak_mb = int(status.split("VmHWM:")[1].split()[0]) // 1024
        assert peak_mb < MEMORY_MB
        client = Client(gateway.port())
        client.sock.sendall(f"GET {PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode() if kind == "signed" else b"")
        if kind == "thrift":
            client.call(1, "isWell", args=codec.IsWellArgs(unused=True))
        end = time.monotonic() + 10
        while not client.poll() and time.monotonic() < end:
            time.sleep(0.01)
        assert client.data, "others are answered"
    finally:
        gateway.process.kill()
        gateway.process.wait()
