"""Faults while purges are published: restarts, a killed poll server, late answers, a cut with a backlog.

Meanwhile a real gateway serves requests, and stand-in stores check whether purged copies are used too late.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks._deployment import CUT, MAIN, SERVED, Deployment
from benchmarks._observer import Purge, StandinSite, hot_names, old_copies, used_late

GRACE_S, SETTLES_S = 0.3, 6.0  # the purge times of the settings
EVERYWHERE_S = 3.1  # a purge must reach every gateway in this time, even if answers are late or missing
DOWN_S = 0.5  # how long the poll server is dead
LATE_SHARE, LATE_S = 0.5, 1.0  # the share of answers that are late, and their delay
BACK_S = 1.0  # how long polls may take to resume after a fault
HOT_EVERY = 10  # one in this many purges names an object that clients request
CALM = "calm"  # the stage without a fault
RESTARTED = 0.1  # the share of hollow gateways that restart


@dataclass
class FaultScript:
    """Injects the faults of the run, and records them with their times."""

    fleet: Deployment
    report: Callable[[str], None]
    began: float = field(default_factory=time.monotonic)
    # Time spans in which events could not be announced in time.
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    occurrences: list[str] = field(default_factory=list)

    def record(self, occurrence: str) -> None:
        """Records and reports an occurrence with the seconds since the start."""
        self.occurrences.append(f"{time.monotonic() - self.began:.2f} {occurrence}")
        self.report(occurrence)

    def allowed_s(self, purge: Purge) -> float:
        """Returns how long after a purge a request may still accept an older copy.

        This is the grace period, or the time for the whole fleet if the script made the answer that announces
        the purge late or missing.
        """
        slow = any(start <= purge.at_s <= end for start, end in self.disturbances)
        return EVERYWHERE_S if slow else GRACE_S

    def restart_tenth(self) -> None:
        """Restarts a tenth of the hollow gateways of the main group at once."""
        self.record("a tenth of the hollow gateways restarts at once")
        hollows = [candidate for candidate in self.fleet.hollows if candidate.group == MAIN]
        for hollow in hollows:
            hollow.process.send("restart", share=RESTARTED)
        for hollow in hollows:
            hollow.process.receive_answer()

    def late_answers(self, seconds: float) -> None:
        """Delays half of the answers by 1 s for `seconds`."""
        self.record("half of the answers are late by 1 s")
        start = time.monotonic() - GRACE_S
        self.fleet.discovery.call("late", share=LATE_SHARE, seconds=LATE_S)
        time.sleep(seconds)
        self.fleet.discovery.call("late", share=0.0, seconds=0.0)
        self.record("answers are in time again")
        self.disturbances.append((start, time.monotonic() + LATE_S + BACK_S))

    def kill_poll_server(self, rate: float, seconds: float) -> None:
        """Kills the poll server, restarts it after DOWN_S, and resumes the purges."""
        self.record("the poll server is killed")
        start = time.monotonic() - GRACE_S
        self.fleet.poll_servers.kill()
        time.sleep(DOWN_S)
        self.fleet.poll_servers.restart()
        self.record("the poll server is back")
        # Events published just before the kill are announced late.
        self.disturbances.append((start, time.monotonic() + BACK_S))
        publish_purges(self.fleet, rate, seconds)


def publish_purges(fleet: Deployment, rate: float, seconds: float) -> None:
    """Starts purges at a rate, of which one in HOT_EVERY names an object that clients request."""
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
    """Runs all stages, each of which lasts `seconds`, and returns the results."""
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
        "all_up_to_date": True,  # wait_caught_up raises for a gateway that misses the last event
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
    """Returns the propagation times of the stage that ends, and resets the counts for the next stage."""
    found = fleet.times("purges").row()
    fleet.clear()
    return found
