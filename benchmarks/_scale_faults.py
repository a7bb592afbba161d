"""Faults while purges come: restarts, a killed answerer, a cut with its backlog, late answers.

A real gateway serves requests meanwhile, and stand-in stores judge whether what was purged is used too late.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks._deployment import CUT, MAIN, SERVED, Deployment
from benchmarks._observer import Office, Purge, hot_names, old_copies, used_late

GRACE_S, SETTLES_S = 0.3, 6.0  # of the settings
EVERYWHERE_S = 3.1  # a purge is done everywhere, also while answers are late or nobody answers
DOWN_S = 0.5  # that whoever answers polls is dead
LATE_SHARE, LATE_S = 0.5, 1.0
BACK_S = 1.0  # after a fault, for polls to be back
HOT_EVERY = 10  # of the purges one in so many names an object that clients ask for
CALM = "calm"  # the stage without a fault
RESTARTED = 0.1  # of the fleet


@dataclass
class Script:
    """What happened when, and what came of it."""

    fleet: Deployment
    said: Callable[[str], None]
    began: float = field(default_factory=time.monotonic)
    disturbed: list[tuple[float, float]] = field(default_factory=list)  # nobody could be told in time
    happened: list[str] = field(default_factory=list)

    def note(self, what: str) -> None:
        self.happened.append(f"{time.monotonic() - self.began:.2f} {what}")
        self.said(what)

    def allowed_s(self, purge: Purge) -> float:
        """How long after a purge an older copy may be asked for: the grace where the answer that tells of it
        was not itself late or missing by the script, the time for the whole fleet where it was."""
        slow = any(start <= purge.at_s <= end for start, end in self.disturbed)
        return EVERYWHERE_S if slow else GRACE_S

    def restart_tenth(self) -> None:
        self.note("a tenth of the hollow gateways restarts at once")
        hollows = [h for h in self.fleet.hollows if h.group == MAIN]
        for hollow in hollows:
            hollow.process.send("restart", share=RESTARTED)
        for hollow in hollows:
            hollow.process.take()

    def late_answers(self, seconds: float) -> None:
        self.note("half of the answers are late by 1 s")
        start = time.monotonic() - GRACE_S
        self.fleet.discovery.do("late", share=LATE_SHARE, seconds=LATE_S)
        time.sleep(seconds)
        self.fleet.discovery.do("late", share=0.0, seconds=0.0)
        self.note("answers are in time again")
        self.disturbed.append((start, time.monotonic() + LATE_S + BACK_S))

    def kill_answerer(self, rate: float, seconds: float) -> None:
        self.note("whoever answers polls is killed")
        start = time.monotonic() - GRACE_S
        self.fleet.answerers.kill()
        time.sleep(DOWN_S)
        self.fleet.answerers.restart()
        self.note("and is there again")
        # What was published before the kill and not yet told is told late.
        self.disturbed.append((start, time.monotonic() + BACK_S))
        publish(self.fleet, rate, seconds)


def publish(fleet: Deployment, rate: float, seconds: float) -> None:
    fleet.discovery.do("purges", rate=rate, seconds=seconds, names=hot_names(), every=HOT_EVERY)


def run_faults(
    folder: Path,
    seed: int,
    gateways: int,
    cut_gateways: int,
    rate: float,
    backlog: int,
    seconds: float,
    said: Callable[[str], None],
) -> dict[str, Any]:
    """`seconds` is how long each stage lasts."""
    office = Office()
    try:
        with Deployment(folder, office.members(), seed) as fleet:
            return _play(fleet, office, gateways, cut_gateways, rate, backlog, seconds, said)
    finally:
        office.close()


def _play(
    fleet: Deployment,
    office: Office,
    gateways: int,
    cut_gateways: int,
    rate: float,
    backlog: int,
    seconds: float,
    said: Callable[[str], None],
) -> dict[str, Any]:
    cut = fleet.hollow(cut_gateways, CUT)
    fleet.connected()
    fleet.discovery.do("cut", name=CUT)
    rev = fleet.discovery.do("backlog", count=backlog)["rev"]
    path = fleet.config(MAIN, rev)
    half = (gateways + 1) // 2
    whole = [fleet.hollow(size, path=path) for size in (half, gateways - half) if size]
    served = fleet.real(fleet.config(SERVED, rev))
    for hollow in whole:
        fleet.caught_up(hollow)
    office.serve(served.port(), fleet.seed)
    script = Script(fleet, said)
    began = time.monotonic()
    publish(fleet, rate, 600.0)
    fleet.clear()
    time.sleep(seconds)
    calm = _numbers(fleet)
    script.restart_tenth()
    time.sleep(seconds)
    restarted = _numbers(fleet)
    script.late_answers(seconds)
    time.sleep(LATE_S + BACK_S)
    late = _numbers(fleet)
    script.kill_answerer(rate, 600.0)
    time.sleep(seconds)
    killed = _numbers(fleet)
    script.note(f"the part that was cut off joins again, {backlog} purges behind")
    joined = time.monotonic()
    fleet.discovery.do("join", name=CUT)
    fleet.caught_up(cut, rev, seconds=120.0)
    rejoined_s = time.monotonic() - joined
    script.note(f"and has taken them after {rejoined_s:.1f} s")
    time.sleep(seconds)
    fleet.discovery.do("stop_purges")
    for hollow in fleet.hollows:
        fleet.caught_up(hollow)
    last = _numbers(fleet)
    office.stop()
    purges = [Purge(p["purged"], p["at_ns"] / 1e9, p["ms"]) for p in fleet.discovery.purged]
    old = old_copies(office.asks, purges, SETTLES_S)
    asked_of_purged = sum(any(p.name == a.name for p in purges) for a in office.asks)
    logged = [line for h in fleet.hollows for line in h.process.do("state")["logged"]]
    return {
        "gateways": gateways,
        "cut_gateways": cut_gateways,
        "purges_s": rate,
        "backlog": backlog,
        "seconds": round(time.monotonic() - began, 1),
        "script": script.happened,
        "in_force": {
            CALM: calm,
            "a tenth restarted": restarted,
            "half of the answers late": late,
            "answerer killed": killed,
            "cut part joined": last,
        },
        "all_up_to_date": True,  # caught_up raises for a gateway that misses the last event
        "rejoined_s": round(rejoined_s, 2),
        "used_late": used_late(old, script.allowed_s),
        "used_late_by_grace_alone": used_late(old, lambda purge: GRACE_S),
        "reads_of_purged_names": asked_of_purged,
        "hot_purges": len(purges),
        "ends": office.ends(),
        "broken": office.faults[:8],
        "logged": logged[:8],
    }


def _numbers(fleet: Deployment) -> dict[str, Any]:
    """Times of the stage that ends; those of the next are counted anew."""
    found = fleet.times("purges").row()
    fleet.clear()
    return found
