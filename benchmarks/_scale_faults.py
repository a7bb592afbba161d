"""Injects faults into a fleet that receives purges: restarts, late answers, a killed poll server, a cut.

Meanwhile a real gateway serves requests, and stand-in stores record whether it accepts purged copies
too late. Gateways that are cut off from discovery receive the missed purges when they join again.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks._deployment import CUT, MAIN, SERVED, Deployment
from benchmarks._observer import Purge, StandinSite, hot_names, old_copies, used_late

GRACE_S, SETTLES_S = 0.3, 6.0  # purge_grace_ns and purge_settles_ns of the settings, in s
EVERYWHERE_S = 3.1  # time limit for a purge to reach all gateways, even if polls are answered late
DOWN_S = 0.5  # how long the killed poll server is down
LATE_SHARE, LATE_S = 0.5, 1.0  # share of poll answers that are sent late, and their delay
BACK_S = 1.0  # how long gateways may take to poll again after a fault
HOT_EVERY = 10  # every so many purges, one is of an object that clients request
CALM = "calm"  # name of the stage without a fault in the results
RESTARTED = 0.1  # share of hollow gateways that restart in the restart stage


@dataclass
class FaultScript:
    """Injects the faults of the run; `occurrences` lists them with seconds since `began`."""

    fleet: Deployment
    report: Callable[[str], None]
    began: float = field(default_factory=time.monotonic)
    # Spans of time.monotonic in which a published event may have been announced late because of a fault.
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    occurrences: list[str] = field(default_factory=list)

    def record(self, occurrence: str) -> None:
        """Adds a text to `occurrences`, with the seconds since the start, and reports it as progress."""
        self.occurrences.append(f"{time.monotonic() - self.began:.2f} {occurrence}")
        self.report(occurrence)

    def allowed_s(self, purge: Purge) -> float:
        """Returns how long after a purge a request may still accept an older copy.

        This is GRACE_S, or EVERYWHERE_S if a fault may have delayed the purge's announcement.
        """
        slow = any(start <= purge.at_s <= end for start, end in self.disturbances)
        return EVERYWHERE_S if slow else GRACE_S

    def restart_tenth(self) -> None:
        """Restarts a tenth of the hollow gateways of the group MAIN at once, and waits for it."""
        self.record("a tenth of the hollow gateways restarts at once")
        hollows = [candidate for candidate in self.fleet.hollows if candidate.group == MAIN]
        for hollow in hollows:
            hollow.process.send("restart", share=RESTARTED)
        for hollow in hollows:
            hollow.process.receive_answer()

    def late_answers(self, seconds: float) -> None:
        """Makes the discovery service delay half of its poll answers by 1 s, for `seconds`."""
        self.record("half of the answers are late by 1 s")
        start = time.monotonic() - GRACE_S
        self.fleet.discovery.call("late", share=LATE_SHARE, seconds=LATE_S)
        time.sleep(seconds)
        self.fleet.discovery.call("late", share=0.0, seconds=0.0)
        self.record("answers are in time again")
        self.disturbances.append((start, time.monotonic() + LATE_S + BACK_S))

    def kill_poll_server(self, rate: float, seconds: float) -> None:
        """Kills the poll server, restarts it after DOWN_S, and publishes purges again for `seconds`."""
        self.record("the poll server is killed")
        start = time.monotonic() - GRACE_S
        self.fleet.poll_servers.kill()
        time.sleep(DOWN_S)
        self.fleet.poll_servers.restart()
        self.record("the poll server is back")
        # The span begins before the kill, since events published just before it are announced late too.
        self.disturbances.append((start, time.monotonic() + BACK_S))
        publish_purges(self.fleet, rate, seconds)


def publish_purges(fleet: Deployment, rate: float, seconds: float) -> None:
    """Starts publishing `rate` purges a second; one in HOT_EVERY is of an object that clients request."""
    fleet.discovery.call("purges", rate=rate, seconds=seconds, names=hot_names(), every=HOT_EVERY)


def run_faults(
    folder: Path,
    seed: int,
    gateways: int,
    cut_gateways: int,
    rate: float,
    backlog: int,
    seconds: float,
    report: Callable[[str], None],
) -> dict[str, Any]:
    """Runs the stages (calm and one for each fault), `seconds` each, and returns the results.

    `backlog` purges are published while `cut_gateways` are cut off from discovery.
    """
    site = StandinSite()
    try:
        with Deployment(folder, site.members(), seed) as fleet:
            return _run_stages(fleet, site, gateways, cut_gateways, rate, backlog, seconds, report)
    finally:
        site.close()


def _run_stages(
    fleet: Deployment,
    site: StandinSite,
    gateways: int,
    cut_gateways: int,
    rate: float,
    backlog: int,
    seconds: float,
    report: Callable[[str], None],
) -> dict[str, Any]:
    cut = fleet.hollow(cut_gateways, CUT)
    fleet.wait_connected()
    fleet.discovery.call("cut", name=CUT)
    rev = fleet.discovery.call("backlog", count=backlog)["rev"]
    path = fleet.config(MAIN, rev)
    half = (gateways + 1) // 2
    main_processes = [fleet.hollow(size, path=path) for size in (half, gateways - half) if size]
    served = fleet.real(fleet.config(SERVED, rev))
    for hollow in main_processes:
        fleet.wait_caught_up(hollow)
    site.serve(served.port(), fleet.seed)
    script = FaultScript(fleet, report)
    began = time.monotonic()
    publish_purges(fleet, rate, 600.0)
    fleet.clear()
    time.sleep(seconds)
    calm = _take_stage_times(fleet)
    script.restart_tenth()
    time.sleep(seconds)
    restarted = _take_stage_times(fleet)
    script.late_answers(seconds)
    time.sleep(LATE_S + BACK_S)
    late = _take_stage_times(fleet)
    script.kill_poll_server(rate, 600.0)
    time.sleep(seconds)
    killed = _take_stage_times(fleet)
    script.record(f"the part that was cut off joins again, {backlog} purges behind")
    joined = time.monotonic()
    fleet.discovery.call("join", name=CUT)
    fleet.wait_caught_up(cut, rev, seconds=120.0)
    rejoined_s = time.monotonic() - joined
    script.record(f"and has taken them after {rejoined_s:.1f} s")
    time.sleep(seconds)
    fleet.discovery.call("stop_purges")
    for hollow in fleet.hollows:
        fleet.wait_caught_up(hollow)
    last = _take_stage_times(fleet)
    site.stop()
    purges = [Purge(event["purged"], event["at_ns"] / 1e9, event["ms"]) for event in fleet.discovery.purged]
    old = old_copies(site.asks, purges, SETTLES_S)
    asked_of_purged = sum(any(event.name == ask.name for event in purges) for ask in site.asks)
    logged = [line for each in fleet.hollows for line in each.process.call("state")["logged"]]
    return {
        "gateways": gateways,
        "cut_gateways": cut_gateways,
        "purges_s": rate,
        "backlog": backlog,
        "seconds": round(time.monotonic() - began, 1),
        "script": script.occurrences,
        "in_force": {
            CALM: calm,
            "a tenth restarted": restarted,
            "half of the answers late": late,
            "answerer killed": killed,
            "cut part joined": last,
        },
        "all_up_to_date": True,  # otherwise wait_caught_up above has raised an exception
        "rejoined_s": round(rejoined_s, 2),
        "used_late": used_late(old, script.allowed_s),
        "used_late_by_grace_alone": used_late(old, lambda purge: GRACE_S),
        "reads_of_purged_names": asked_of_purged,
        "hot_purges": len(purges),
        "ends": site.ends(),
        "broken": site.faults[:8],
        "logged": logged[:8],
    }


def _take_stage_times(fleet: Deployment) -> dict[str, Any]:
    """Returns the propagation times of purges in the stage that ends, and clears them for the next one."""
    found = fleet.times("purges").row()
    fleet.clear()
    return found
