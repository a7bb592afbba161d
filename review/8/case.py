"""Six in ten stores of a fleet of 1,600 are replaced within 7 s."""

from __future__ import annotations

import asyncio
import json
import random
import resource
import secrets
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2 import (  # noqa: E402
    TROUBLE,
    Board,
    CannotRun,
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

STORES, REPLACED, WITHIN_S, EVENT_EVERY_S = 1600, 0.6, 7.0, 0.05
DEADLINE_MS, SLACK_MS = 2500, 50 + 500  # up to half a second after its time an answer only earns nothing
CLASSES = [("fichiers", 6000, "idempotent", False), ("pages", DEADLINE_MS, "idempotent", False)]


async def play(case: Case) -> list[str]:
    record, broken, rng = case.record, list[str](), random.Random(5)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = STORES + 1000
    if hard != resource.RLIM_INFINITY and hard < wanted:
        raise CannotRun(f"the stand-in stores need {wanted} descriptors")
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    stores = [await Store(f"s-{number:08x}", lambda text: None).start() for number in range(STORES)]
    hub, archive = await Store("hub-1", record).start(), await Store("archive-1", record).start()
    port = free_port()
    board = await Board(lambda text: record(text[:120])).start()
    members = [member(store, "petit", "praia", size=1) for store in stores]
    members += [member(hub, "parent", "hub-nord", size=400), member(archive, "origin", "hub-nord", size=400)]
    board.publish(pool={"revision": 1, "complete": True, "members": members})
    config = case.folder / "config.json"
    config.write_text(
        json.dumps(
            {
                "name": "n0", "listen": f"127.0.0.1:{port}", "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "board": board.address,
                "known": board.known(), "settings": settings(CLASSES),
            }
        )
    )  # fmt: skip
    gateway = Process(case, "gateway", {"EDGE_CONFIG": str(config), "EDGE_NAME": "n0"})
    started = time.monotonic()
    await gateway.until_listening(port)
    record(f"ready after {time.monotonic() - started:.1f} s")
    client = await ThriftClient(record, "client").open(port)
    kinds: dict[str, int] = {}
    stop, slowest_ms = asyncio.Event(), 0

    async def one(number: int, sent_at: float) -> None:
        nonlocal slowest_ms
        answer = await client.answer(number, (DEADLINE_MS + SLACK_MS) / 1000 + 0.2)
        took_ms = int((time.monotonic() - sent_at) * 1000)
        kind = "none" if answer is None else answer.kind
        kinds[kind] = kinds.get(kind, 0) + 1
        slowest_ms = max(slowest_ms, took_ms)
        if answer is None or took_ms > DEADLINE_MS + SLACK_MS:
            record(f"request {number}: {kind} after {took_ms} ms")
            broken.append(f"request {number}: {kind} after {took_ms} ms, its client waits {DEADLINE_MS} ms")

    async def traffic() -> None:
        """30 reads a second; at most 30 are open."""
        waiting: set[asyncio.Task[None]] = set()
        while not stop.is_set():
            if len(waiting) < 30:
                fields = {
                    "c": "pages", "i": secrets.token_hex(8), "d": str(DEADLINE_MS),
                    "o": f"{rng.randrange(2000):016x}", "n": "0", "shard": "17", "m": "20.0",
                }  # fmt: skip
                task = asyncio.ensure_future(one(await client.send(fields), time.monotonic()))
                waiting.add(task)
                task.add_done_callback(waiting.discard)
            await asyncio.sleep(1 / 30)
        if waiting:
            await asyncio.wait(waiting)

    running = asyncio.ensure_future(traffic())
    await asyncio.sleep(5)
    steps = int(WITHIN_S / EVENT_EVERY_S)
    leaving = rng.sample(stores, int(STORES * REPLACED))
    if TROUBLE:
        began = time.monotonic()
        for step in range(steps):
            await asyncio.sleep(max(began + step * EVENT_EVERY_S - time.monotonic(), 0))
            changes = []
            for store in leaving[step::steps]:
                # The old store's process has ended; a new store, cold and under a new id, takes its address.
                changes.append(member(store, "petit", "praia", "Gone", size=1))
                store.reset()
                store.name = f"s-{secrets.token_hex(4)}"
                changes.append({**member(store, "petit", "praia", size=1), "up_since_ms": unix_ms()})
            board.publish(pool={"revision": 2 + step, "complete": False, "members": changes})
        record(
            f"{len(leaving)} of {STORES} stores replaced in {time.monotonic() - began:.1f} s, {steps} events"
        )
    else:
        await asyncio.sleep(WITHIN_S)
    await asyncio.sleep(12)
    stop.set()
    await running
    client.close()
    record(f"answers by kind: {kinds}, the slowest after {slowest_ms} ms; polls of the board: {board.polls}")
    if not TROUBLE and kinds.get("served", 0) < 300:
        raise CannotRun(f"the stand-ins were too slow: {kinds}")
    return broken


run_case(str(HERE), play)
