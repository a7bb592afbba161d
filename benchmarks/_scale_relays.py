"""Relays between the stand-in discovery service and hollow gateways: costs, a kill, two levels, a backlog."""

from __future__ import annotations

import json
import math
import time
import urllib.request
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks._deployment import MAIN, Deployment, Discovery, store_list
from benchmarks._processes import Said, native, processor_s, resident_mb, wait_until
from benchmarks._program import Gateway
from benchmarks._scale_axes import Axis, Effort, Progress, gateways_axis
from benchmarks._scale_capacity import CORES, GATEWAYS, LOAD, at_target
from olivecourse.relay.responses import answer_head

TOP = "relay upstream"  # the port at which relays poll the discovery service
READY_S = 20.0
BACKLOG_S = 120.0
KILL_AFTER_S = 1.0  # of purges
USUAL = ("ready", "relay_list_known")  # log lines of a relay's start
REGIONS = 23  # of the target
RELAYS_A_REGION = 2  # so that there is another to turn to


class Relay:
    """`olivecourse serve --role relay` as a process."""

    def __init__(self, folder: Path, name: str, upstreams: Sequence[str], reports: bool) -> None:
        """`reports`: its upstreams are relays, which are told the low-water mark."""
        path = folder / f"{name}.yaml"
        section = {
            "listen": "127.0.0.1:0",
            "upstreams": list(upstreams),
            "report_upstream": reports,
        }
        path.write_text(json.dumps({"name": name, "relay": section}))  # JSON is YAML
        self.gateway = Gateway(path, "--role", "relay", native=native())

    @property
    def pid(self) -> int:
        return self.gateway.process.pid

    @property
    def alive(self) -> bool:
        return self.gateway.process.poll() is None

    def address(self) -> str:
        return f"127.0.0.1:{self.gateway.port()}"

    def status(self) -> Said:
        with urllib.request.urlopen(f"http://{self.address()}/relay/status?behind=0", timeout=20) as answer:
            found: Said = json.load(answer)
        return found


class Relays:
    """Relays that gateways poll; the first one, and the others where it fails."""

    def __init__(
        self, folder: Path, discovery: Discovery, count: int, above: Sequence[Relay] = (), name: str = "relay"
    ) -> None:
        """`above`: relays in place of the discovery service."""
        self._discovery, self.above = discovery, list(above)
        upstreams = [relay.address() for relay in above] or [discovery.address(TOP)]
        self.relays = [Relay(folder, f"{name}-{n}", upstreams, bool(above)) for n in range(count)]

    def address(self, group: str) -> str:
        return self.relays[0].address()

    def others(self, group: str) -> list[str]:
        return [relay.address() for relay in self.relays[1:]]

    def pids(self) -> list[int]:
        return [relay.pid for relay in (*self.above, *self.relays) if relay.alive]

    def kill(self) -> None:
        """The first one, which a half of the gateways or all of them poll."""
        self.relays[0].gateway.kill()

    def restart(self) -> None:
        """It stays dead: there is another."""

    def traffic(self) -> dict[str, Said]:
        """Relays count polls, answers and bodies. Heads are added by their length; a request's bytes are
        those of the relays' own polls, which are a gateway's to the byte but for the number."""
        upstream: Said = self._discovery.state()["ports"][TOP]
        told = [relay.status()["counters"] for relay in self.relays if relay.alive]
        polls, answers, bodies = (sum(t[name] for t in told) for name in ("polls", "answers", "bytes"))
        answers += sum(t["empty_answers"] for t in told)
        head = len(answer_head(bodies // max(answers, 1), True))
        request = upstream["bytes_in"] / max(upstream["polls"], 1)
        found = {"polls": polls, "bytes_in": polls * request, "bytes_out": bodies + answers * head}
        return {MAIN: found, TOP: upstream}

    def close(self) -> None:
        for relay in (*self.relays, *self.above):
            relay.gateway.kill()


def put_relays(fleet: Deployment, count: int, levels: int = 1) -> Relays:
    """Relays before the gateways of a deployment that has none yet; of two levels, as many on each."""
    made = Relays(fleet.folder, fleet.discovery, count, name="upper" if levels == 2 else "relay")
    if levels == 2:
        fleet.answerers = made  # ended with the deployment, whatever comes
        made = Relays(fleet.folder, fleet.discovery, count, made.relays, "lower")
    fleet.answerers = made
    for relay in made.relays:
        relay.gateway.event("relay_list_known", READY_S)
    return made


def relay_axis(
    folder: Path, seed: int, sizes: Sequence[int], rate: float, effort: Effort, said: Progress
) -> Axis:
    """What one relay pays over the number of gateways, and the discovery service, which sees it alone."""

    def prepare(fleet: Deployment) -> None:
        put_relays(fleet, 1)

    return gateways_axis(folder, seed, sizes, rate, effort, said, prepare)


def run_relay_killed(
    folder: Path, seed: int, gateways: int, rate: float, seconds: float, levels: int
) -> dict[str, Any]:
    """Two relays on each level, all purges of a calm stage and of one in which a relay is killed."""
    with Deployment(folder, store_list(70), seed) as fleet:
        relays = put_relays(fleet, 2, levels)
        first = fleet.hollow(gateways // 2)
        relays.relays.reverse()  # the other half prefers the other relay
        fleet.hollow(gateways - first.count)
        fleet.connected()
        calm = _stage(fleet, rate, seconds)
        logged_in_calm = _logged(fleet)
        turns_in_calm_ms = [relay.status()["longest_turn_ms"] for relay in relays.relays]
        killed = _stage(fleet, rate, seconds, relays)
        (left,) = [relay for relay in relays.relays if relay.alive]
        turned = wait_until_counted(left, gateways)
        return {
            "levels": levels,
            "relays": 2 * levels,
            "gateways": gateways,
            "purges_s": rate,
            "calm": calm,
            "relay killed": killed,
            "connections_left_relay": turned,
            "longest_turn_ms": left.status()["longest_turn_ms"],
            "longest_turns_in_calm_ms": turns_in_calm_ms,
            "logged_in_calm": logged_in_calm,
            "logged": _logged(fleet),
            "relays_logged": [
                line for relay in relays.relays for line in relay.gateway.lines if line["event"] not in USUAL
            ][:8],
        }


def _logged(fleet: Deployment) -> list[str]:
    """The first lines that hollow gateways logged."""
    return [line for hollow in fleet.hollows for line in hollow.process.do("state")["logged"]][:8]


def wait_until_counted(relay: Relay, gateways: int) -> int:
    """Until all gateways poll that relay; its connections, without the one that asks."""
    wait_until(
        lambda: relay.status()["watchers"]["waiting"] >= gateways,
        READY_S,
        "not all gateways wait at the relay that is left",
    )
    found: int = relay.status()["watchers"]["waiting"]
    return found


def _stage(fleet: Deployment, rate: float, seconds: float, kill: Relays | None = None) -> dict[str, Any]:
    """Purges for so long, until all gateways have the last; one relay is killed in their midst."""
    published = fleet.discovery.state()["published"]
    fleet.clear()
    fleet.discovery.do("purges", rate=rate, seconds=seconds)
    if kill is not None:
        time.sleep(min(KILL_AFTER_S, seconds / 2))
        kill.kill()
        time.sleep(seconds - min(KILL_AFTER_S, seconds / 2))
    else:
        time.sleep(seconds)
    time.sleep(0.2)  # the last purge is out
    published = fleet.discovery.state()["published"] - published
    for hollow in fleet.hollows:
        fleet.caught_up(hollow)
    times = fleet.times("purges")
    count = sum(hollow.count for hollow in fleet.hollows)
    return {**times.row(), "purges": published, "missing": published * count - times.count}


def run_relay_backlog(folder: Path, seed: int, count: int, per_s: float, repeats: int) -> dict[str, Any]:
    """A backlog that a relay takes, and a gateway that comes after it with the first event alone."""
    with Deployment(folder, store_list(70), seed) as fleet:
        (relay,) = put_relays(fleet, 1).relays
        fleet.hollow(1).process.wait_started()  # somebody waits, as always
        idle_mb, spent, began = resident_mb(relay.pid), processor_s(relay.pid), time.monotonic()
        rev = fleet.discovery.do("backlog", count=count, per_s=per_s)["rev"]
        wait_until(lambda: relay.status()["revision"] >= rev, BACKLOG_S, "the relay has not taken it")
        taken_s = time.monotonic() - began
        for hollow in fleet.hollows:
            fleet.caught_up(hollow, rev, BACKLOG_S)
        comers = [_comer(fleet, relay, rev) for _ in range(repeats)]
        upstream = fleet.discovery.state()["ports"][TOP]
        status = relay.status()
        return {
            "purges": count,
            "made_per_s": per_s,
            "relay_taken_s": round(taken_s, 3),
            "relay_processor_s": round(processor_s(relay.pid) - spent, 3),
            "relay_mb_over_idle": round(resident_mb(relay.pid) - idle_mb, 2),
            "relay_longest_turn_ms": status["longest_turn_ms"],
            "relay_bytes_in": upstream["bytes_out"],
            "comers": comers,
            "counters": status["counters"]["history"],
        }


def _comer(fleet: Deployment, relay: Relay, rev: int) -> dict[str, Any]:
    before, spent = relay.status()["counters"], processor_s(relay.pid)
    hollow = fleet.hollow(1)
    hollow.process.wait_started()
    began = time.monotonic()
    wait_until(lambda: hollow.process.do("state")["lowest_rev"] >= rev, BACKLOG_S, "no folded answer", 0.005)
    took_ms = 1_000 * (time.monotonic() - began)
    after = relay.status()["counters"]
    return {
        "bytes": after["bytes"] - before["bytes"],  # the other gateway has had its own answer
        "until_ms": round(took_ms, 1),
        "relay_processor_ms": round(1_000 * (processor_s(relay.pid) - spent), 2),
    }


@dataclass(frozen=True)
class Regions:
    """The relays that an operator runs where each region has its own."""

    gateways: int  # of a region, all at one relay while the other is dead
    pct_high: float  # of a core, of that relay
    processes: int
    cores_high: float

    def row(self) -> dict[str, Any]:
        return {
            "regions": REGIONS,
            "gateways_a_region": self.gateways,
            "pct_of_a_core_alone_high": round(self.pct_high, 1),
            "processes": self.processes,
            "cores_high": round(self.cores_high, 2),
            "machines_by_load": round(self.cores_high / (CORES * LOAD), 2),
            "machines_of_their_own": self.processes,
        }


def by_regions(axis: Axis) -> Regions | None:
    """Two relays a region for the target's gateways, by the line's upper end; None without a slope."""
    slope = axis.slope("answerer_pct")
    if slope is None:
        return None
    gateways = math.ceil(GATEWAYS / REGIONS)
    shared = slope.at(gateways / RELAYS_A_REGION).high
    processes = REGIONS * RELAYS_A_REGION
    return Regions(gateways, slope.at(gateways).high, processes, processes * shared / 100)


def run_relays(
    folder: Path,
    seed: int,
    sizes: Sequence[int],
    gateways: int,
    rate: float,
    backlog: int,
    seconds: float,
    effort: Effort,
    said: Progress,
) -> dict[str, Any]:
    """All of it; without sizes there is no axis, without a backlog neither it nor two levels."""
    axis = relay_axis(folder / "relay-axis", seed, sizes, rate, effort, said) if sizes else None
    killed = list[dict[str, Any]]()
    for repeat in range(effort.repeats):
        killed.append(run_relay_killed(folder / f"relay-{repeat}", seed, gateways, rate, seconds, 1))
        said(f"two relays, one killed: {killed[-1]['calm']}, {killed[-1]['relay killed']}")
    regions = None if axis is None else by_regions(axis)
    found: dict[str, Any] = {
        "axis": None if axis is None else axis.row(),
        "target": None if axis is None else at_target(axis),
        "regions": None if regions is None else regions.row(),
        "killed": killed,
        "tree": None,
        "backlog": None,
    }
    if backlog:
        found["tree"] = run_relay_killed(folder / "relay-tree", seed, gateways, rate, seconds, 2)
        said(f"two levels: {found['tree']}")
        found["backlog"] = run_relay_backlog(folder / "relay-hour", seed, backlog, rate, effort.repeats)
        said(f"backlog at a relay: {found['backlog']}")
    return found
