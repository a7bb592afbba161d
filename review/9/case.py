"""A store drains and goes while the notice board answers a second late; its address is taken anew."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2 import (  # noqa: E402
    TROUBLE,
    Board,
    Case,
    Process,
    Store,
    ThriftClient,
    free_port,
    member,
    run_case,
    settings,
    unix_ms,
)

SLOW_S = 1.0  # how late the notice board writes each of its answers
TOLD_MS, GRACE_MS, SLACK_MS = 7_000, 250, 50
CLASSES = [("fichiers", 6000, "idempotent", False), ("pages", 2500, "idempotent", False)]


async def play(case: Case) -> list[str]:
    record, port, broken = case.record, free_port(), list[str]()
    stores = {
        name: await Store(name, record).start() for name in ("box-1", "box-2", "box-3", "hub-1", "archive-1")
    }
    board = await Board(record).start()
    members = [member(stores[name], "petit", "praia") for name in ("box-1", "box-2", "box-3")]
    members += [
        member(stores["hub-1"], "parent", "hub-nord"),
        member(stores["archive-1"], "origin", "hub-nord"),
    ]
    board.publish(pool={"revision": 1, "complete": True, "members": members})
    office = settings(CLASSES)
    office["zones"] = ["hub-nord", "praia", "mindelo"]
    office["family_info"]["zone_hub"], office["family_info"]["seats_by_zone"] = [0, 0, 0], [0, 1, 1]
    config = case.folder / "config.json"
    config.write_text(
        json.dumps(
            {
                "name": "n0", "listen": f"127.0.0.1:{port}", "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "board": board.address,
                "known": board.known(), "settings": office,
            }
        )
    )  # fmt: skip
    if TROUBLE:
        board.delay_s = SLOW_S
        record(f"board: writes each answer {SLOW_S} s late")
    gateway = Process(case, "gateway", {"EDGE_CONFIG": str(config), "EDGE_NAME": "n0"})
    await gateway.until_listening(port)
    client, rng, counts = await ThriftClient(record, "client").open(port), random.Random(7), dict[str, int]()
    stop = asyncio.Event()

    async def traffic() -> None:
        """30 reads a second of 400 objects."""
        objects = [f"{number:016x}" for number in range(400)]
        while not stop.is_set():
            fields = {
                "c": rng.choice(["pages", "fichiers"]), "i": secrets.token_hex(8), "d": "2000",
                "o": rng.choice(objects), "n": "0", "shard": "17", "m": "20.0",
            }  # fmt: skip
            number = await client.send(fields)
            asyncio.ensure_future(count(number))
            await asyncio.sleep(1 / 30)

    async def count(number: int) -> None:
        answer = await client.answer(number, 3.0)
        kind = "none" if answer is None else answer.kind
        counts[kind] = counts.get(kind, 0) + 1

    running = asyncio.ensure_future(traffic())
    await asyncio.sleep(4)
    drained = member(stores["box-2"], "petit", "praia", "Terminating")
    drained_at = board.publish(pool={"revision": 2, "complete": False, "members": [drained]})
    await asyncio.sleep(8)
    gone = member(stores["box-2"], "petit", "praia", "Gone")
    gone_at = board.publish(pool={"revision": 3, "complete": False, "members": [gone]})
    await asyncio.sleep(8)
    # The process of box-2 ends; a new store of another office takes its address.
    old = stores["box-2"]
    await old.stop()
    new = await Store("sul-1", record).start(old.port)
    new_at = board.publish(
        pool={"revision": 4, "complete": False, "members": [member(new, "petit", "mindelo")]}
    )
    record("box-2 has ended; sul-1, a store of the office mindelo, listens at its address")
    await asyncio.sleep(10)
    stop.set()
    await running
    await asyncio.sleep(1)
    client.close()
    record(f"answers by kind: {counts}; polls {board.polls}, poll answers begun {board.answers_begun}")
    for name, store in (*stores.items(), ("sul-1", new)):
        record(f"{name}: {len(store.requests)} requests")
    late = [r for r in old.requests if r.begun_at > drained_at + TOLD_MS + GRACE_MS + SLACK_MS]
    if late:
        first, last = late[0].begun_at - drained_at, late[-1].begun_at - drained_at
        broken.append(
            f"{len(late)} requests sent to box-2, {first} to {last} ms after the board told of its drain"
        )
    foreign = [r for r in new.requests if r.begun_at > gone_at + TOLD_MS + GRACE_MS + SLACK_MS]
    if foreign:
        broken.append(
            f"{len(foreign)} requests sent to sul-1, a store of another office, at the address of box-2, from"
            f" {foreign[0].begun_at - gone_at} ms after the board told that box-2 is gone"
        )
    record(f"clock: {drained_at=} {gone_at=} {new_at=} now={unix_ms()}")
    return broken


run_case(str(HERE), play)
