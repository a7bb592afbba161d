"""Kills gateways with SIGKILL at random moments while they serve, write snapshots and record order tokens.

An order token is a signed token that may start one order only.

Each trial starts a gateway on the folder that the previous one left, sends orders with used tokens (all
that started an order, or may have) and with new tokens, and kills the gateway. The stand-in store counts
orders that ran twice. The plan of a trial depends only on the seed and the trial's number.
"""

from __future__ import annotations

import contextlib
import json
import random
import socket
import tempfile
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import jwt

from benchmarks._program import Gateway
from olivecourse.emulator.settings import settings
from olivecourse.emulator.stores import EmulatorLoop, Store
from olivecourse.fronts import tokens

PUBLIC = "https://calendriers.example"
TARGET = "/commande/7f3a9c21e0b4d655/0?shard=17"
SECRET = b"0123456789abcdef0123456789abcdef"
REPLAYS = 12  # a trial sends at most so many used tokens again
TRIALS_PER_FOLDER = 10  # consecutive trials whose gateways share a folder of stored state


class OrderClient:
    """Sends orders to a gateway over HTTP; `answers` maps an order's name to its HTTP status."""

    def __init__(self, world: EmulatorLoop, port: int) -> None:
        self.world, self.port = world, port
        self.answers: dict[str, int] = {}
        self.sockets: list[socket.socket] = []

    def post(self, name: str, token: str) -> None:
        """Sends one order with a token on a new connection; `name` is its body and its key in `answers`."""
        body = name.encode()
        with contextlib.suppress(OSError):
            connection = socket.create_connection(("127.0.0.1", self.port))
            connection.sendall(
                f"POST {TARGET} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            connection.setblocking(False)
            self.sockets.append(connection)
            self.world.selector.register(connection, 1, lambda: self._read(name, connection))

    def _read(self, name: str, connection: socket.socket) -> None:
        try:
            data = connection.recv(65536)
        except OSError:
            data = b""
        if data.startswith(b"HTTP/1.1 "):
            self.answers[name] = int(data[9:12])
        self.world.selector.unregister(connection)
        connection.close()
        self.sockets.remove(connection)

    def close(self) -> None:
        """Closes the connections whose orders have no answer yet."""
        for connection in self.sockets:
            with contextlib.suppress(KeyError):
                self.world.selector.unregister(connection)
            connection.close()


def run_trials(job: tuple[int, int, int]) -> dict[str, int]:
    """Runs consecutive trials in one folder and returns their counts by name.

    `job` is the seed, the first trial's number and the number of trials.
    """
    seed, first, count = job
    store = Store("petit-1", delay_s=0.004)
    world = EmulatorLoop([store, Store("parent-1"), Store("origin-1")])
    total: Counter[str] = Counter()
    issued: dict[str, str] = {}
    used_tokens: list[str] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        classes = [("fichiers", 2500, "idempotent", False), ("commande", 2500, "at_most_once", True)]
        (folder / "settings.json").write_text(json.dumps(settings(classes)))
        (folder / "stores.csv").write_text(
            "name,address,zone,kind,size\n"
            + "".join(
                f"{s.name},{s.address},{'praia' if s.name.startswith('petit') else 'hub-nord'},"
                f"{s.name.split('-')[0]},8\n"
                for s in world.stores
            )
        )
        key = {"kty": "oct", "kid": "k", "alg": "HS256", "k": jwt.utils.base64url_encode(SECRET).decode()}
        (folder / "keys.json").write_text(json.dumps({"union": {"keys": [key]}}))
        operator = folder / "operator.yaml"
        operator.write_text(
            "name: praia-1\nlisten: 127.0.0.1:0\nsettings: settings.json\ninventory: stores.csv\n"
            f"signed: {{public: '{PUBLIC}', keys: keys.json, leeway_s: 0}}\n"
            "memory: {folder: m, interval_s: 0.1}\n"
        )
        signer = tokens.read_keys(str(folder / "keys.json"))["k"]
        gateway = Gateway(operator)
        gateway.event("ready")
        time.sleep(1.1)  # a new token store refuses tokens issued in its first second
        gateway.kill()
        for trial in range(first, first + count):
            plan = random.Random(f"{seed}/{trial}")
            lifetime_s, orders = plan.uniform(0.0, 0.5), plan.randrange(4, 16)
            replayed = plan.sample(used_tokens, min(REPLAYS, len(used_tokens)))
            gateway = Gateway(operator)
            client = OrderClient(world, gateway.port())
            ran_before = dict(store.write_counts)
            for token in replayed:
                client.post(token, issued[token])
            for number in range(orders):
                token = f"order-{trial:05d}-{number:02d}"
                issued[token] = tokens.issue(
                    signer, PUBLIC + TARGET, 600, time.time(), aud="praia-1", jti=token
                )
                used_tokens.append(token)
                world.at(
                    time.monotonic() + plan.uniform(0, lifetime_s),
                    lambda token_id=token, order_client=client: order_client.post(token_id, issued[token_id]),
                )
            world.run(lifetime_s)
            gateway.kill()
            world.run(0.02)
            client.close()
            total["trials"] += 1
            total["orders shown"] += orders
            total["tokens shown again"] += len(replayed)
            total["turned away as used"] += sum(client.answers.get(token_id) == 401 for token_id in replayed)
            total["answered 200"] += sum(a == 200 for a in client.answers.values())
            total["shown again, good and run once"] += sum(
                token_id not in ran_before and store.write_counts.get(token_id) == 1 for token_id in replayed
            )
            total["opened by a token that had run"] += sum(
                token_id in ran_before and client.answers.get(token_id) == 200 for token_id in replayed
            )
            total["snapshots taken up"] += len(gateway.logged("memory_taken_up"))
            total["damaged files met"] += sum(
                record["reason"] == "damaged"
                for event_name in ("memory_set_aside", "tokens_set_aside")
                for record in gateway.logged(event_name)
            )
            total["faults logged"] += len(gateway.logged("router_fault")) + len(gateway.logged("text"))
    total["orders run"] = len(store.write_counts)
    total["orders run twice"] = sum(number > 1 for number in store.write_counts.values())
    world.close()
    return dict(total)


def run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    """Runs all trials, those of each folder in a process of their own, and adds up their counts."""
    trials = trials or (30 if short else 1000)
    jobs = [
        (seed, first, min(TRIALS_PER_FOLDER, trials - first)) for first in range(0, trials, TRIALS_PER_FOLDER)
    ]
    total: Counter[str] = Counter()
    with get_context("spawn").Pool(6) as processes, ThreadPoolExecutor(6) as pool:
        for found in pool.map(lambda job: processes.apply(run_trials, (job,)), jobs):
            total.update(found)
    print(f"seed {seed}, trials 0 to {trials - 1}; to repeat one: run_trials(({seed}, NUMBER, 1))")
    for name, count in total.items():
        print(f"{name:34} {count}")
    return {**{name.replace(" ", "_").replace(",", ""): count for name, count in total.items()}, "seed": seed}
