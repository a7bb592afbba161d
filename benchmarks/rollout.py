"""Measures drains and releases that a fleet of real gateway processes coordinates under injected faults.

A run is one seeded script of faults on a working fleet, while operators at several gateways drain stores at
the same time, or while a release is halted. Samples in which more stores are out than the budget allows are
counted. For comparison some runs do without coordination: each operator's call goes to every gateway. Also
measured are releases of a faulty version, the service during a release, the idle cost for 3 to 200
gateways, and the model checker.
"""

from __future__ import annotations

import random
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from benchmarks import _charts
from benchmarks._fleet import Fleet
from olivecourse.emulator.faults import draw_fault_script
from olivecourse.modelcheck import lease_model as model

SCRIPT_S = 2.5  # length of a run's fault script
SETTLE_S = 12.0  # a run counts as not ended if a store is still leased or out so long after its script
RUNS_A_FLEET = 10  # consecutive runs on one fleet before the next fleet is started


def drains(fleet: Fleet, seed: int) -> dict[str, Any]:
    """Runs three to five operators, who drain a store each at the same time, while faults are injected.

    Returns the run's results by name; `over` counts samples with more stores out than the budget allows.
    """
    rng = random.Random(seed)
    faults = draw_fault_script(seed, fleet.names, SCRIPT_S)
    over_at_start, began = fleet.over_budget_samples, time.monotonic()
    wanted = rng.sample(fleet.edge_stores, rng.randint(3, 5))
    grants: dict[str, float] = {}

    def granted() -> None:
        for store in wanted:
            if store.name not in grants and fleet.state[store.name] != "in":
                grants[store.name] = time.monotonic() - began
        if time.monotonic() < began + SETTLE_S:
            fleet.world.at(time.monotonic() + 0.05, granted)

    granted()
    for store in wanted:
        fleet.drain_and_restart(rng.choice(fleet.names), store.name, SCRIPT_S + 4)
    fleet.schedule_faults(faults)
    fleet.world.run(SCRIPT_S + 0.3)

    def quiet() -> bool:
        if any(state != "in" for state in fleet.state.values()):
            return False
        found = [fleet.status(name) for name in fleet.names]
        return all(
            answer and not any(group["places"] or group["waiting"] for group in answer["groups"].values())
            for answer in found
        )

    ended = (
        fleet.run_until(quiet, SETTLE_S)
        if fleet.agree
        else fleet.run_until(
            lambda: all(store_state == "in" for store_state in fleet.state.values()), SETTLE_S
        )
    )
    return {
        "seed": seed,
        "faults": len(faults),
        "over": fleet.over_budget_samples - over_at_start,
        "ended": ended,
        "grants": list(grants.values()),
        "halts_lost": 0,
        "halted_s": [],
    }


def halts(fleet: Fleet, seed: int) -> dict[str, Any]:
    """Starts a release and halts it at once through another gateway, while a tenth of all datagrams is lost.

    Then all processes are killed at the same time, and the halt must still hold when they are back.
    Returns the run's results by name, as `drains` does.
    """
    rng = random.Random(seed)
    found = {
        "seed": seed,
        "faults": 1 + len(fleet.names),
        "over": 0,
        "ended": True,
        "grants": [],
        "halts_lost": 0,
        "halted_s": [],
    }
    over_at_start = fleet.over_budget_samples
    planned_at, halted_at = rng.sample(fleet.names, 2)
    version = f"v{seed}"
    previous_version = fleet.versions[planned_at]
    plan = {
        "version": version,
        "before": previous_version,
        "waves": [50, 100],
        "soak_s": 30.0,
        "gates": False,
    }
    fleet.network.link_conditions.loss_share = 0.1
    steps = [
        fleet.run_release_command(planned_at, "plan", plan=plan),
        fleet.run_release_command(planned_at, "start"),
    ]
    if not all(step.get("ok") for step in steps):
        fleet.run_until(lambda: fleet.status(planned_at)["release"]["state"] in ("planned", "running"), 2)
    began = time.monotonic()
    halt_answer = fleet.run_release_command(halted_at, "halt", why="by hand")

    def held(name: str) -> bool:
        return bool(fleet.status(name).get("release", {}).get("held_here"))

    held_everywhere = fleet.run_until(lambda: all(map(held, fleet.names)), 4)
    if halt_answer.get("ok"):
        found["halted_s"].append(time.monotonic() - began if held_everywhere else 9.0)
        for name in fleet.names:
            fleet.end(name)
        for name in rng.sample(fleet.names, len(fleet.names)):
            fleet.start(name)
        fleet.network.link_conditions.loss_share = 0.0
        fleet.run_until(lambda: all(fleet.status(n) for n in fleet.names), 6)
        found["halts_lost"] = sum(not fleet.run_until(lambda n=n: held(n), 3) for n in fleet.names)
    fleet.network.link_conditions.loss_share = 0.0
    fleet.run_until(lambda: fleet.run_release_command(planned_at, "rollback").get("ok"), 8)
    found["ended"] = fleet.run_until(
        lambda: fleet.status(planned_at).get("release", {}).get("state") == "done", SETTLE_S
    )
    found["over"] = fleet.over_budget_samples - over_at_start
    return found


def play(job: tuple[int, int, int, bool, str]) -> list[dict[str, Any]]:
    """Performs consecutive runs of `drains` on one fleet; with coordination every fifth one is of `halts`.

    `job` holds the first seed, the number of runs, the number of gateways, whether they coordinate, and
    how they agree ("majority" or "planner"). The last row of the result counts the orders that ran twice.
    """
    first, count, gateways, agree, agreement = job
    found = []
    with tempfile.TemporaryDirectory() as name:
        fleet = Fleet(Path(name), gateways, 3, seed=first, agree=agree, agreement=agreement)
        try:
            if not fleet.ready():
                raise RuntimeError(f"not ready: {[process.lines[-2:] for process in fleet.running.values()]}")
            for seed in range(first, first + count):
                run = halts(fleet, seed) if agree and seed % 5 == 0 else drains(fleet, seed)
                found.append({**run, "form": agreement if agree else "off"})
                if run["over"] or not run["ended"] or run["halts_lost"]:
                    print(f"seed {seed}, {gateways} gateways: {run}")
                    print({n: fleet.status(n).get("groups") for n in fleet.names})
                    print(*map(str, draw_fault_script(seed, fleet.names, SCRIPT_S)), sep="\n  ")
                if not run["ended"] or not fleet.ready(10):
                    break
        finally:
            found.append({"unsafe": fleet.observer.violations["twice"]})
            fleet.close()
    return found


def release(seed: int, agree: bool, bad: bool, gateways: int = 10) -> dict[str, Any]:
    """Performs one release of a good or (`bad`) faulty version on a fleet under load.

    Returns the share of gateways that got the version, and the served share before and during the release.
    Without coordination a script replaces the gateways one by one, each as soon as the previous one is ready.
    """
    with tempfile.TemporaryDirectory() as name:
        fleet = Fleet(Path(name), gateways, 3, seed=seed, agree=agree, rate=12.0)
        try:
            fleet.ready(30)
            fleet.start_clients()
            fleet.world.run(2.0)
            calm = fleet.outcome_counts()
            fleet.faulty_version = "v2" if bad else ""
            if agree:
                plan = {
                    "version": "v2",
                    "before": "v1",
                    "waves": [10, 50, 100],
                    "soak_s": 3.0,
                    "gates": True,
                    "alpha": 0.01,
                    "worse": 2.0,
                }
                fleet.replacing = True
                fleet.run_release_command("n0", "plan", plan=plan)
                fleet.run_release_command("n0", "start")
                fleet.run_until(lambda: fleet.state_of("n0") in ("done", "halted"), 90)
            else:
                for gateway in fleet.names:
                    fleet.replace(gateway, "v2")
                    fleet.run_until(
                        lambda gateway=gateway: (
                            fleet.versions[gateway] == "v2"
                            and fleet.call(gateway, "GET", "/ops/readiness")[0] == 200
                        ),
                        15,
                    )
            fleet.world.run(0.5)
            ends = fleet.outcome_counts()
            ends.subtract(calm)
            lost = sum(clients.lost_requests for clients in fleet.client_groups.values())
            return {
                "reached": sum(v == "v2" for v in fleet.versions.values()) / gateways,
                "service": ends["served"] / max(sum(ends.values()) + lost, 1),
                "calm": calm["served"] / max(sum(calm.values()), 1),
            }
        finally:
            fleet.close()


def cost(members: int, seed: int) -> float:
    """Returns the datagrams per second that each of `members` idle gateways sends, in virtual time."""
    from random import Random

    from olivecourse.rollout.budgets import Budget
    from olivecourse.rollout.member import Member, Setup

    fleet = tuple(range(members))
    offices = {n: f"gateways:{n // 8}" for n in fleet}
    setups = [Setup(n, fleet, fleet[:5], offices, dict.fromkeys(fleet, 1.0), Budget()) for n in fleet]
    now, sent = 10**18, 0
    nodes = [Member(each, 1, "v1", {}, Random(seed + each.me), now) for each in setups]
    inbox: list[list[tuple[int, Any]]] = [[] for _ in fleet]
    for _ in range(250):  # 250 ticks of 20 ms are 5 s
        now += 20_000_000
        for member in nodes:
            arrived_messages, inbox[member.setup.me] = inbox[member.setup.me], []
            for sender, message in arrived_messages:
                member.receive(sender, message, now)
            member.tick(now)
            for target, message in member.take_step().sends:
                sent += 1
                inbox[target].append((member.setup.me, message))
    return sent / 5.0 / members


def percentile(values: list[float], share: float) -> float | None:
    """Returns the value below which the given share (0 to 1) of the values lie, or None without values."""
    return round(sorted(values)[min(int(len(values) * share), len(values) - 1)], 3) if values else None


def run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    """Performs 1,000 runs with faults; the short form performs 16 and takes at most 55 s."""
    runs = trials or (16 if short else 1000)
    runs_per_fleet = min(RUNS_A_FLEET, max(runs // 4, 1))
    sizes = (3, 5, 7)
    jobs = [
        (
            seed + offset,
            min(runs_per_fleet, runs - offset),
            sizes[offset // runs_per_fleet % 3],
            True,
            "majority",
        )
        for offset in range(0, runs, runs_per_fleet)
    ]
    uncoordinated_jobs = [(seed + 500_000, 2 if short else 20, 5, False, "majority")]
    planner_jobs = [] if short else [(seed + 600_000, 20, 5, True, "planner")]
    with ProcessPoolExecutor(4 if short else 6) as pool, ProcessPoolExecutor(3) as others:
        checking = others.submit(model.check_all, short)
        releases = [] if short else [others.submit(release, *job) for job in repeats(seed)]
        rows = [row for found in pool.map(play, jobs + planner_jobs + uncoordinated_jobs) for row in found]
        checked = checking.result()
        released = [future.result() for future in releases]
    uncoordinated = [row for row in rows if row.get("form") == "off"]
    planner_rows = [row for row in rows if row.get("form") == "planner"]
    played = [row for row in rows if row.get("form") == "majority"]
    grants = [grant_s for row in played for grant_s in row["grants"]]
    halted = [halt_s for row in played for halt_s in row["halted_s"]]
    found = {
        "runs": len(played),
        "faults": sum(row["faults"] for row in played),
        "over_budget": sum(row["over"] for row in played),
        "over_budget_off": sum(row["over"] for row in uncoordinated),
        "granted": [len(grants), 0 if short else sum(len(run_row["grants"]) for run_row in planner_rows)],
        "over_budget_planner": None if short else sum(run_row["over"] for run_row in planner_rows),
        "halts": len(halted),
        "halts_lost": sum(row["halts_lost"] for row in played),
        "unsafe_twice": sum(row["unsafe"] for row in rows if "unsafe" in row),
        "ended": sum(row["ended"] for row in played),
        "grant_ms_p99": None if not grants else round(1000 * (percentile(grants, 0.99) or 0.0)),
        "halt_everywhere_s_p99": percentile(halted, 0.99),
        **checked,
    }
    found |= {
        "service_during": None,
        "service_during_off": None,
        "bad_release_reached": None,
        "bad_release_reached_off": None,
    }
    if not short:
        found |= long_form_results(seed, released)
        _charts.rollout(found)
    return {**found, "seed": seed}


def repeats(seed: int) -> list[tuple[int, bool, bool]]:
    """Returns the arguments (seed, agree, bad) of `release` for five repeats of each kind of release.

    The kinds are a good and a faulty version, each with and without coordination.
    """
    return [(seed + n, agree, bad) for n in range(5) for agree in (True, False) for bad in (False, True)]


def long_form_results(seed: int, played: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the results that only the long form has: releases, and the idle cost per gateway.

    `played` are the results of `release` for the jobs of `repeats(seed)`.
    """
    jobs = repeats(seed)

    def rows(figure: str, agree: bool, bad: bool) -> list[float]:
        return [
            round(row[figure], 4) for job, row in zip(jobs, played, strict=True) if job[1:] == (agree, bad)
        ]

    return {
        "service_during": rows("service", True, False),
        "service_during_off": rows("service", False, False),
        "service_calm": rows("calm", True, False),
        "bad_release_reached": rows("reached", True, True),
        "bad_release_reached_off": rows("reached", False, True),
        "datagrams_a_second": {n: round(cost(n, seed), 1) for n in (3, 8, 16, 50, 100, 200)},
    }
