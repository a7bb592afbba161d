"""Measures relays, which poll the discovery service and answer the polls of gateways in its place.

Measured are their cost, a killed relay, two levels of relays, and a backlog of purges, with hollow gateways.
"""

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
from benchmarks._processes import JsonObject, native, processor_s, resident_mb, wait_until
from benchmarks._program import Gateway
from benchmarks._scale_axes import Axis, Effort, Progress, gateways_axis
from benchmarks._scale_capacity import CORES, GATEWAYS, LOAD, at_target
from olivecourse.relay.responses import answer_head

UPSTREAM_GROUP = "relay upstream"  # name of the discovery service's port that relays poll
READY_TIMEOUT_S = 20.0
BACKLOG_TIMEOUT_S = 120.0
KILL_AFTER_S = 1.0  # how long purges are published before a relay is killed
STARTUP_EVENTS = ("ready", "relay_list_known")  # log events of every relay's start, left out of the results
REGIONS = 23  # number of regions in the target deployment
RELAYS_A_REGION = 2  # two, so that gateways have another relay if one fails


class Relay:
    """A relay as a child process: `olivecourse serve --role relay`."""

    def __init__(self, folder: Path, name: str, upstreams: Sequence[str], reports: bool) -> None:
        """Starts the relay; it polls `upstreams`, the addresses of discovery or of relays.

        With `reports` these are relays, to which it reports its low-water mark: the
        highest event number that all gateways polling it have received.
        """
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
        """The process id of the relay."""
        return self.gateway.process.pid

    @property
    def alive(self) -> bool:
        """Whether the relay's process still runs."""
        return self.gateway.process.poll() is None

    def address(self) -> str:
        """Waits until the relay is ready and returns the `HOST:PORT` that gateways poll."""
        return f"127.0.0.1:{self.gateway.port()}"

    def status(self) -> JsonObject:
        """Returns the JSON status (counters, waiting polls and more) that the relay reports over HTTP."""
        with urllib.request.urlopen(f"http://{self.address()}/relay/status?behind=0", timeout=20) as answer:
            found: JsonObject = json.load(answer)
        return found


class Relays:
    """Relays that gateways poll: the first of `relays` and, if it fails, the others."""

    def __init__(
        self,
        folder: Path,
        discovery: Discovery,
        count: int,
        upstream_relays: Sequence[Relay] = (),
        name: str = "relay",
    ) -> None:
        """Starts `count` relays; they poll `upstream_relays` or, without any, the discovery service."""
        self._discovery, self.upstream_relays = discovery, list(upstream_relays)
        upstreams = [relay.address() for relay in upstream_relays] or [discovery.address(UPSTREAM_GROUP)]
        self.relays = [
            Relay(folder, f"{name}-{number}", upstreams, bool(upstream_relays)) for number in range(count)
        ]

    def address(self, group: str) -> str:
        return self.relays[0].address()

    def others(self, group: str) -> list[str]:
        return [relay.address() for relay in self.relays[1:]]

    def pids(self) -> list[int]:
        return [relay.pid for relay in (*self.upstream_relays, *self.relays) if relay.alive]

    def kill(self) -> None:
        """Kills the first of `relays`, which half of the gateways or all of them poll."""
        self.relays[0].gateway.kill()

    def restart(self) -> None:
        """Does nothing: a killed relay stays dead, because gateways have another one."""

    def traffic(self) -> dict[str, JsonObject]:
        """Returns polls and bytes at the relays (MAIN) and at the port that they poll (UPSTREAM_GROUP).

        Relays count polls, answers and the bytes of answers' bodies; the bytes of response heads and of polls
        are calculated. A gateway's poll is taken to be as long as the relays' own polls, which differ from it
        only in the revision.
        """
        upstream: JsonObject = self._discovery.state()["ports"][UPSTREAM_GROUP]
        counters = [relay.status()["counters"] for relay in self.relays if relay.alive]
        polls, answers, bodies = (
            sum(relay_counters[name] for relay_counters in counters) for name in ("polls", "answers", "bytes")
        )
        answers += sum(relay_counters["empty_answers"] for relay_counters in counters)
        head = len(answer_head(bodies // max(answers, 1), True))
        request = upstream["bytes_in"] / max(upstream["polls"], 1)
        found = {"polls": polls, "bytes_in": polls * request, "bytes_out": bodies + answers * head}
        return {MAIN: found, UPSTREAM_GROUP: upstream}

    def close(self) -> None:
        for relay in (*self.relays, *self.upstream_relays):
            relay.gateway.kill()


def add_relays(fleet: Deployment, count: int, levels: int = 1) -> Relays:
    """Puts relays in front of the gateways of a deployment, `count` on each of one or two levels.

    The deployment must not have gateways yet.
    """
    added = Relays(fleet.folder, fleet.discovery, count, name="upper" if levels == 2 else "relay")
    if levels == 2:
        fleet.poll_servers = added  # so that the deployment also ends these relays if an exception follows
        added = Relays(fleet.folder, fleet.discovery, count, added.relays, "lower")
    fleet.poll_servers = added
    for relay in added.relays:
        relay.gateway.event("relay_list_known", READY_TIMEOUT_S)
    return added


def relay_axis(
    folder: Path, seed: int, sizes: Sequence[int], rate: float, effort: Effort, report: Progress
) -> Axis:
    """Measures the costs of one relay and of the discovery service as functions of the number of gateways."""

    def prepare(fleet: Deployment) -> None:
        add_relays(fleet, 1)

    return gateways_axis(folder, seed, sizes, rate, effort, report, prepare)


def run_relay_killed(
    folder: Path, seed: int, gateways: int, rate: float, seconds: float, levels: int
) -> dict[str, Any]:
    """Measures purges through two relays on each of `levels`, without a fault and with a killed relay."""
    with Deployment(folder, store_list(70), seed) as fleet:
        relays = add_relays(fleet, 2, levels)
        first = fleet.hollow(gateways // 2)
        relays.relays.reverse()  # so that the other half of the gateways polls the other relay first
        fleet.hollow(gateways - first.count)
        fleet.wait_connected()
        calm = _stage(fleet, rate, seconds)
        logged_in_calm = _logged(fleet)
        turns_in_calm_ms = [relay.status()["longest_turn_ms"] for relay in relays.relays]
        killed = _stage(fleet, rate, seconds, relays)
        (remaining,) = [relay for relay in relays.relays if relay.alive]
        connection_count = wait_until_counted(remaining, gateways)
        return {
            "levels": levels,
            "relays": 2 * levels,
            "gateways": gateways,
            "purges_s": rate,
            "calm": calm,
            "relay killed": killed,
            "connections_left_relay": connection_count,
            "longest_turn_ms": remaining.status()["longest_turn_ms"],
            "longest_turns_in_calm_ms": turns_in_calm_ms,
            "logged_in_calm": logged_in_calm,
            "logged": _logged(fleet),
            "relays_logged": [
                line
                for relay in relays.relays
                for line in relay.gateway.lines
                if line["event"] not in STARTUP_EVENTS
            ][:8],
        }


def _logged(fleet: Deployment) -> list[str]:
    """Returns the first eight log lines of the deployment's hollow gateways."""
    return [line for hollow in fleet.hollows for line in hollow.process.call("state")["logged"]][:8]


def wait_until_counted(relay: Relay, gateways: int) -> int:
    """Waits until `gateways` polls wait at the relay for new events, and returns their number."""
    wait_until(
        lambda: relay.status()["watchers"]["waiting"] >= gateways,
        READY_TIMEOUT_S,
        "not all gateways wait at the relay that is left",
    )
    found: int = relay.status()["watchers"]["waiting"]
    return found


def _stage(
    fleet: Deployment, rate: float, seconds: float, killed_relays: Relays | None = None
) -> dict[str, Any]:
    """Publishes purges for `seconds` and returns their propagation times once all gateways have them.

    With `killed_relays` the first of these relays is killed meanwhile.
    """
    published = fleet.discovery.state()["published"]
    fleet.clear()
    fleet.discovery.call("purges", rate=rate, seconds=seconds)
    if killed_relays is not None:
        time.sleep(min(KILL_AFTER_S, seconds / 2))
        killed_relays.kill()
        time.sleep(seconds - min(KILL_AFTER_S, seconds / 2))
    else:
        time.sleep(seconds)
    time.sleep(0.2)  # after this time the last purge has been published
    published = fleet.discovery.state()["published"] - published
    for hollow in fleet.hollows:
        fleet.wait_caught_up(hollow)
    times = fleet.times("purges")
    count = sum(hollow.count for hollow in fleet.hollows)
    return {**times.row(), "purges": published, "missing": published * count - times.count}


def run_relay_backlog(folder: Path, seed: int, count: int, per_s: float, repeats: int) -> dict[str, Any]:
    """Measures a relay that receives `count` purges at once, and gateways that start afterwards.

    These gateways have only the first event, so that the relay's answer to each holds the whole backlog.
    """
    with Deployment(folder, store_list(70), seed) as fleet:
        (relay,) = add_relays(fleet, 1).relays
        fleet.hollow(1).process.wait_started()  # as in operation, a poll waits at the relay
        idle_mb, processor_before_s, began = resident_mb(relay.pid), processor_s(relay.pid), time.monotonic()
        rev = fleet.discovery.call("backlog", count=count, per_s=per_s)["rev"]
        wait_until(lambda: relay.status()["revision"] >= rev, BACKLOG_TIMEOUT_S, "the relay has not taken it")
        taken_s = time.monotonic() - began
        for hollow in fleet.hollows:
            fleet.wait_caught_up(hollow, rev, BACKLOG_TIMEOUT_S)
        late_gateways = [_measure_late_gateway(fleet, relay, rev) for _ in range(repeats)]
        upstream = fleet.discovery.state()["ports"][UPSTREAM_GROUP]
        status = relay.status()
        return {
            "purges": count,
            "made_per_s": per_s,
            "relay_taken_s": round(taken_s, 3),
            "relay_processor_s": round(processor_s(relay.pid) - processor_before_s, 3),
            "relay_mb_over_idle": round(resident_mb(relay.pid) - idle_mb, 2),
            "relay_longest_turn_ms": status["longest_turn_ms"],
            "relay_bytes_in": upstream["bytes_out"],
            "comers": late_gateways,
            "counters": status["counters"]["history"],
        }


def _measure_late_gateway(fleet: Deployment, relay: Relay, rev: int) -> dict[str, Any]:
    before, processor_before_s = relay.status()["counters"], processor_s(relay.pid)
    hollow = fleet.hollow(1)
    hollow.process.wait_started()
    began = time.monotonic()
    wait_until(
        lambda: hollow.process.call("state")["lowest_rev"] >= rev,
        BACKLOG_TIMEOUT_S,
        "no folded answer",
        0.005,
    )
    took_ms = 1_000 * (time.monotonic() - began)
    after = relay.status()["counters"]
    return {
        "bytes": after["bytes"] - before["bytes"],  # the answers to the new gateway
        "until_ms": round(took_ms, 1),
        "relay_processor_ms": round(1_000 * (processor_s(relay.pid) - processor_before_s), 2),
    }


@dataclass(frozen=True)
class Regions:
    """The relays of the target deployment if each of its REGIONS has RELAYS_A_REGION of its own."""

    gateways: int  # gateways of a region; all poll one relay while the other is down
    pct_high: float  # upper bound of that relay's processor use, in percent of a core
    processes: int
    cores_high: float

    def row(self) -> dict[str, Any]:
        """Returns the figures under the names that they have in the benchmark's JSON results."""
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
    """Returns an upper bound of what two relays per region cost for the target's gateways.

    It uses the upper end of the slope's interval; returns None if `axis` has no slope.
    """
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
    report: Progress,
) -> dict[str, Any]:
    """Runs all relay measurements.

    `sizes` are the numbers of gateways behind one relay; if empty, `relay_axis` is left out. A `backlog` of 0
    leaves out the backlog of purges and the two levels of relays.
    """
    axis = relay_axis(folder / "relay-axis", seed, sizes, rate, effort, report) if sizes else None
    killed = list[dict[str, Any]]()
    for repeat in range(effort.repeats):
        killed.append(run_relay_killed(folder / f"relay-{repeat}", seed, gateways, rate, seconds, 1))
        report(f"two relays, one killed: {killed[-1]['calm']}, {killed[-1]['relay killed']}")
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
        report(f"two levels: {found['tree']}")
        found["backlog"] = run_relay_backlog(folder / "relay-hour", seed, backlog, rate, effort.repeats)
        report(f"backlog at a relay: {found['backlog']}")
    return found
