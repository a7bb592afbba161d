"""Measures what a gateway's stored memory gains in the first 5 s after a restart, and what it costs.

Stored memory is what a gateway has learned about its stores, kept in snapshots on disk.

Two of ten stores fail at once and two accept requests and never answer. A gateway learns this, is killed and
starts again: without stored memory, with it, and with it after the stores have been inverted (bad ones are
good and good ones fail), compared with a start without memory on the inverted stores. Each repeat runs in its
own process, some of them in parallel. Also measured: the event loop's turns with the snapshot writer off and
on, and the time until an order token is durable.
"""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from benchmarks._load import Load
from benchmarks._program import Gateway
from olivecourse.emulator.settings import settings
from olivecourse.emulator.stores import EmulatorLoop, Store

RATE = 100.0
MEASURE_S = 5.0
KINDS = ("without", "with", "turned_without", "turned_with")


def _files(folder: Path, stores: list[Store], memory: bool) -> Path:
    (folder / "settings.json").write_text(json.dumps(settings([("fichiers", 2500, "idempotent", False)])))
    zone = {"parent": "hub-nord", "origin": "hub-nord"}
    rows = []
    for store in stores:
        kind = store.name.split("-")[0]
        rows.append(f"{store.name},{store.address},{zone.get(kind, 'praia')},{kind},8")
    (folder / "stores.csv").write_text("\n".join(["name,address,zone,kind,size", *rows]) + "\n")
    path = folder / "operator.yaml"
    path.write_text(
        "name: praia-1\nlisten: 127.0.0.1:0\nsettings: settings.json\ninventory: stores.csv\n"
        + ("memory: {folder: m, interval_s: 0.5}\n" if memory else "")
    )
    return path


def run_repeat(job: tuple[str, int, float]) -> dict[str, float]:
    """Runs one repeat: a gateway learns, is killed, starts again, and is measured for MEASURE_S.

    `job` holds the kind of start (one of KINDS), the seed, and the seconds for learning. Returns the requests
    at bad stores (`bad`), the share of requests served in time (`service`), and the age of the loaded
    snapshot in seconds (`age`, -1 without one).
    """
    kind, seed, learn_s = job
    stores = [Store(f"petit-{store_index}") for store_index in range(10)] + [
        Store("parent-1"),
        Store("origin-1"),
    ]
    for store_index, mode in ((1, "failing"), (4, "failing"), (6, "silent"), (8, "silent")):
        stores[store_index].mode = mode
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        world = EmulatorLoop(stores)
        operator = _files(folder, stores, kind.endswith("with"))
        if kind.endswith("with"):  # the other kinds have no stored memory, so learning would be lost
            gateway = Gateway(operator)
            load = Load(world, gateway.port(), RATE, seed)
            world.run(learn_s)
            load.stop()
            gateway.kill()
            load.close()
        if kind.startswith("turned"):
            for store in stores[:10]:
                store.mode = "failing" if store.mode == "good" else "good"
        gateway = Gateway(operator)
        port = gateway.port()
        before = {stand_in.name: stand_in.request_count for stand_in in stores}
        load = Load(world, port, RATE, seed + 1000)
        world.run(MEASURE_S)
        bad = sum(
            stand_in.request_count - before[stand_in.name] for stand_in in stores if stand_in.mode != "good"
        )
        load.stop()
        world.run(1.0)  # lets the last requests be answered
        tally = load.tally
        taken = gateway.logged("memory_taken_up")
        gateway.kill()
        load.close()
        world.close()
        return {
            "bad": bad,
            "service": tally.in_time / max(tally.asked, 1),
            "age": taken[0]["age_s"] if taken else -1.0,
        }


def stalls(seconds: float, snapshots: bool) -> float:
    """Returns the 99th percentile in ms of an event loop's turns while a Router with 60 stores decides on it.

    It runs for `seconds`; with `snapshots` the snapshot writer runs too.
    """
    from olivecourse import interface as interface
    from olivecourse.config.settings import nested_pairs, read_settings
    from olivecourse.core.planner import Planner
    from olivecourse.memory.section import MemoryConfig, MemorySection
    from olivecourse.memory.snapshotter import Snapshotter
    from olivecourse.net.loop import Loop

    with tempfile.TemporaryDirectory() as name:
        loop = Loop()
        parsed_settings = read_settings(1, nested_pairs(settings([("fichiers", 2500, "idempotent", False)])))
        planner = Planner(parsed_settings, loop.clock.now(), lambda *args, **kwargs: None)
        snapshotter = None
        if snapshots:
            section = MemorySection(name, interval_s=0.2)  # snapshots ten times as often as by default
            snapshotter = Snapshotter(
                loop, MemoryConfig(Path(name), None, section), "n", lambda *args, **kwargs: None
            )
            snapshotter.attach(planner.router)
            snapshotter.start()
        members = tuple(
            interface.Member(number, 8.0, 0, 1, kind=0, life=f"127.0.0.1:{number}@0")
            for number in range(1, 61)
        )
        planner.decide([interface.CacheList(1, interface.ListKind.HELD, members)], loop.clock.now())
        planner.decide([interface.Purged(f"{number:016x}") for number in range(500)], loop.clock.now())
        turns_ms: list[float] = []
        count = 0

        def tick() -> None:
            nonlocal count
            count += 1
            request = f"{count:016x}"
            now = loop.clock.now()
            actions = planner.decide(
                [interface.Request(request, 0, object=f"{count % 900:016x}", size_kb=80.0)], now
            )
            for action in actions:
                if isinstance(action, interface.ReadThrough):
                    planner.decide(
                        [
                            interface.AttemptEnded(
                                request,
                                0,
                                action.cache,
                                interface.Status.SERVED,
                                1_000_000,
                                True,
                                interface.Note.HIT,
                            )
                        ],
                        now,
                    )
            loop.after(2_000_000, tick)

        tick()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            loop.turn()
            turns_ms.append((loop.clock.now() - loop.turn_started_at) / 1e6)
        if snapshotter is not None:
            assert snapshotter.schedule.written >= seconds
            snapshotter.stop()
        loop.close()
        return sorted(turns_ms)[int(len(turns_ms) * 0.99)]


def commits(count: int, per_s: float) -> list[float]:
    """Returns, sorted, the times in ms from recording an order token until it is durable on disk.

    `count` tokens are written at a rate of `per_s`, whether or not earlier ones are durable (open loop).
    """
    from olivecourse.memory.section import MemoryConfig, MemorySection
    from olivecourse.memory.tokenstore import DurableSpent
    from olivecourse.net.loop import Loop

    with tempfile.TemporaryDirectory(dir=Path.cwd()) as name:  # on a disk: /tmp may be memory
        loop, durations_ms = Loop(), []
        spent = DurableSpent(
            loop, MemoryConfig(Path(name), None, MemorySection(name)), "n", 3.0, lambda *args, **kwargs: None
        )

        def spend_token(number: int, due: int) -> None:
            token = f"issuer\n{number:032x}"
            spent.spend(token, time.time() + 600, time.time())
            if spent.when_durable(token, lambda durable: durations_ms.append((loop.clock.now() - due) / 1e6)):
                durations_ms.append((loop.clock.now() - due) / 1e6)

        start = loop.clock.now()
        for number in range(count):
            due = start + int(number / per_s * 1e9)
            loop.after(due - start, lambda n=number, d=due: spend_token(n, d))
        end = time.monotonic() + count / per_s + 5
        while len(durations_ms) < count and time.monotonic() < end:
            loop.turn(5_000_000)
        spent.stop()
        loop.close()
        return sorted(durations_ms)


def run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    """Measures all kinds of start, the event loop's turns, and the times until order tokens are durable."""
    repeats = trials or 5 if short else trials or 10
    learn_s = 4.0 if short else 10.0
    jobs = [
        (kind, seed * 100 + n, learn_s)
        for kind in ("with", "turned_with", "without", "turned_without")
        for n in range(repeats)
    ]
    found: dict[str, list[dict[str, float]]] = {kind: [] for kind in KINDS}
    with ThreadPoolExecutor(7) as pool:  # threads; each waits for a process that uses about a third of a core
        context = get_context("spawn")
        with context.Pool(7) as processes:
            for job, result in zip(
                jobs, pool.map(lambda one_job: processes.apply(run_repeat, (one_job,)), jobs), strict=True
            ):
                found[job[0]].append(result)
    for kind in KINDS:
        print(
            f"{kind:15}",
            " ".join(f"{r['bad']:.0f}/{r['service']:.3f}" for r in found[kind]),
            "(sends into trouble / service)",
        )

    def mean(kind: str, what: str) -> float:
        return statistics.fmean(r[what] for r in found[kind])

    stalls_off, stalls_on = [], []
    for _ in range(2 if short else 5):
        stalls_off.append(stalls(1.0 if short else 5.0, False))
        stalls_on.append(stalls(1.0 if short else 5.0, True))
    durations_ms = commits(200 if short else 1000, 100.0)
    turned = mean("turned_with", "service") / max(mean("turned_without", "service"), 1e-9)
    services = {start: [r["service"] for r in found[start]] for start in ("with", "without")}
    return {
        "bad_sends_without": round(mean("without", "bad"), 1),
        "bad_sends_with": round(mean("with", "bad"), 1),
        "service_without": round(mean("without", "service"), 4),
        "service_with": round(mean("with", "service"), 4),
        "service_without_range": [round(f(services["without"]), 4) for f in (min, max)],
        "service_with_range": [round(f(services["with"]), 4) for f in (min, max)],
        "late_fresh_box": round(turned, 4),
        "loop_stall_ms_p99_off": round(statistics.median(stalls_off), 3),
        "loop_stall_ms_p99_on": round(statistics.median(stalls_on), 3),
        "order_commit_ms_p50": round(durations_ms[len(durations_ms) // 2], 2) if durations_ms else None,
        "order_commit_ms_p99": round(durations_ms[int(len(durations_ms) * 0.99)], 2)
        if durations_ms
        else None,
        "repeats": repeats,
        "seed": seed,
    }
