"""A fleet of gateways, and the servers that they poll for discovery events, as processes on loopback.

Hollow gateways run only the control side of the program (`_hollow`), real ones the whole program.
"""

from __future__ import annotations

import json
import signal
import time
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, Protocol

from benchmarks._processes import JsonObject, JsonProcess, native, processor_s, resident_mb, wait_until
from benchmarks._program import Gateway
from olivecourse.emulator.settings import settings

CLASSES = [("fichiers", 2500, "idempotent", False), ("commande", 2500, "at_most_once", True)]
SOCKETS = 1_024
# Groups of gateways; each group polls a port of its own.
MAIN, CUT, REAL, IDLE, SERVED = "main", "cut", "real", "idle", "served"
SETTLE_S = 30.0


def store_list(count: int) -> list[dict[str, Any]]:
    """Returns `count` stores as the discovery service lists them.

    Nothing listens at their addresses, and gateways connect to a store only for a request.
    """
    return [
        {
            "id": f"s-{number:08x}",
            "host_port": f"127.0.0.1:{10_000 + number}",
            "flavor": "petit",
            "cell": number % 46,
            "locality": "praia",
            "phase": "Ready",
            "size": 8,
            "up_since_ms": 0,
        }
        for number in range(count)
    ]


class PollServers(Protocol):
    """The servers that gateways poll for discovery events: the discovery service itself or relays."""

    def address(self, group: str) -> str:
        """Returns the `HOST:PORT` that the gateways of a group poll first."""
        ...

    def others(self, group: str) -> list[str]:
        """Returns the addresses that the gateways of a group poll if the one of `address` fails."""
        ...

    def pids(self) -> list[int]:
        """Returns the process ids of the servers that answer polls, to measure their processor time."""
        ...

    def kill(self) -> None:
        """Kills one of the servers that answer polls."""
        ...

    def restart(self) -> None:
        """Starts the server again that `kill` has killed, if this kind of poll server does so."""
        ...

    def traffic(self) -> dict[str, JsonObject]:
        """Returns `polls`, `bytes_in` and `bytes_out` since the servers' start, by group of gateways."""
        ...

    def close(self) -> None:
        """Ends the servers' processes."""
        ...


class Discovery:
    """The stand-in discovery service as a process; after a kill it can restart with its ports and events."""

    def __init__(self, folder: Path) -> None:
        self._state = folder / "discovery-events"
        self._ports: dict[str, tuple[int, bool]] = {}
        self.purged: list[JsonObject] = []  # published purges of objects that clients request
        self._process = self._start()

    def _start(self) -> JsonProcess:
        return JsonProcess("_standin_discovery", str(self._state), on_event=self.purged.append)

    def call(self, command: str, **more: Any) -> JsonObject:
        """Sends a command to the discovery service's process and returns its answer."""
        return self._process.call(command, **more)

    def open(self, name: str, muted: bool = False) -> str:
        """Opens a port for a group of pollers and returns its `HOST:PORT`.

        A muted port answers polls without events.
        """
        number = self.call("port", name=name, muted=muted)["port"]
        self._ports[name] = (number, muted)
        return f"127.0.0.1:{number}"

    def address(self, name: str) -> str:
        """Returns the `HOST:PORT` that the gateways of the group `name` poll; opens the port if needed."""
        return f"127.0.0.1:{self._ports[name][0]}" if name in self._ports else self.open(name)

    def state(self) -> JsonObject:
        """Returns the last revision `rev`, the count `published` of purges, and traffic by port, `ports`."""
        return self.call("state")

    @property
    def pid(self) -> int:
        """The process id of the discovery service, another one after each restart."""
        return self._process.pid

    def kill(self) -> None:
        """Kills the discovery service's process."""
        self._process.kill()

    def restart(self) -> None:
        """Starts the discovery service again with its events and ports; traffic counts restart at zero."""
        self._process = self._start()
        for name, (number, muted) in self._ports.items():
            self.call("port", name=name, number=number, muted=muted)

    def close(self) -> None:
        """Kills the discovery service's process for good."""
        self._process.kill()


class Direct:
    """The poll server of gateways that poll the discovery service itself, without relays."""

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery

    def address(self, group: str) -> str:
        return self._discovery.address(group)

    def others(self, group: str) -> list[str]:
        return []

    def pids(self) -> list[int]:
        return [self._discovery.pid]

    def kill(self) -> None:
        self._discovery.kill()

    def restart(self) -> None:
        self._discovery.restart()

    def traffic(self) -> dict[str, JsonObject]:
        found: dict[str, JsonObject] = self._discovery.state()["ports"]
        return found

    def close(self) -> None:
        """Does nothing: the deployment ends the discovery service."""


@dataclass(frozen=True)
class PropagationTimes:
    """Statistics of the times from the publication of an event until a gateway has applied it.

    `count` is the number of such times: one for each event and gateway.
    """

    count: int
    median_ms: float
    p99_ms: float
    longest_ms: float

    def row(self) -> JsonObject:
        """Returns the statistics under the names that they have in the benchmark's JSON results."""
        return {
            "count": self.count,
            "median_ms": self.median_ms,
            "p99_ms": self.p99_ms,
            "max_ms": round(self.longest_ms, 1),
        }


def merge_times(rows: list[JsonObject]) -> PropagationTimes:
    """Merges the propagation time histograms of hollow processes; quantiles have a resolution of 1 ms."""
    counts: dict[int, int] = {}
    for row in rows:
        for ms, count in row["counts"]:
            counts[ms] = counts.get(ms, 0) + count
    total = sum(counts.values())
    longest = max((row["longest_us"] for row in rows), default=0) / 1_000
    return PropagationTimes(total, _quantile(counts, total, 0.5), _quantile(counts, total, 0.99), longest)


def _quantile(counts: dict[int, int], total: int, share: float) -> float:
    below = 0
    for ms in sorted(counts):
        below += counts[ms]
        if below >= share * total:
            return float(ms)
    return 0.0


@dataclass
class HollowProcess:
    """A process that runs `count` hollow gateways of one group."""

    process: JsonProcess
    group: str
    count: int

    def gateway_mb(self) -> float:
        """Returns the process's resident memory per gateway in MB, less its memory without gateways."""
        empty: float = self.process.wait_started()["empty_mb"]
        return (resident_mb(self.process.pid) - empty) / self.count


class Deployment:
    """All processes of a benchmark run: discovery service, poll servers and gateways.

    Use it in a `with` statement: at the end of the block it kills each process, by its own id.
    """

    def __init__(self, folder: Path, stores: list[dict[str, Any]], seed: int = 1) -> None:
        self.folder, self.seed, self.stores = folder, seed, stores
        folder.mkdir(parents=True, exist_ok=True)
        self.hollows: list[HollowProcess] = []
        self.reals: list[Gateway] = []
        self._first = 0
        self._files = 0
        self.discovery = Discovery(folder)
        self.poll_servers: PollServers = Direct(self.discovery)
        self.discovery.open(IDLE, muted=True)
        self.discovery.call("pool", pool={"revision": 1, "complete": True, "members": stores})

    def __enter__(self) -> Deployment:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Kills all processes of the run, also real gateways that are stopped by SIGSTOP."""
        for gateway in self.reals:
            if gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
            gateway.kill()
        for hollow in self.hollows:
            hollow.process.kill()
        self.poll_servers.close()
        self.discovery.close()

    # Gateways --------------------------------------------------------------------------------------

    def config(self, group: str, rev: int = 0, **more: Any) -> Path:
        """Writes a configuration file for gateways of a group and returns its path.

        Gateways start with the list of stores and poll for events after the revision `rev`. `more` overrides
        entries of the file.
        """
        self._files += 1
        path = self.folder / f"config-{self._files}.json"
        pool = {"revision": 1, "complete": True, "members": self.stores}
        known = {"rev": max(rev, 1), "notices": [{"rev": 1, "pool": pool}]}
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": f"{self.seed:x}",
            "limits": {"sockets": SOCKETS},
            "board": self.poll_servers.address(group),
            "settings": settings(CLASSES),
            "known": known,
            **more,
        }
        path.write_text(json.dumps(config))
        return path

    def hollow(self, count: int, group: str = MAIN, path: Path | None = None) -> HollowProcess:
        """Starts a process of `count` hollow gateways; its `process.wait_started` waits until they run."""
        path = path or self.config(group)
        fallback_addresses = self.poll_servers.others(group)
        arguments = {
            "config": str(path),
            "first": self._first,
            "count": count,
            "seed": self.seed,
            "boards": fallback_addresses,
        }
        self._first += count
        made = HollowProcess(JsonProcess("_hollow_process", json.dumps(arguments)), group, count)
        self.hollows.append(made)
        return made

    def real(self, path: Path, root: Path | None = None, **env: str) -> Gateway:
        """Starts a real gateway with a configuration file and environment variables.

        `root` is the folder of another build of the program to run instead of this checkout.
        """
        options = ("--config", str(path))
        if root is None:
            made = Gateway(None, *options, native=native(), **env)
        else:
            made = Gateway(None, *options, root=root, **env)
        self.reals.append(made)
        return made

    def end(self, hollow: HollowProcess) -> None:
        """Kills a process of hollow gateways and removes it from `hollows`."""
        hollow.process.kill()
        self.hollows.remove(hollow)

    def wait_connected(self) -> None:
        """Waits until every hollow gateway, except those of the group IDLE, has the last published event."""
        for hollow in self.hollows:
            hollow.process.wait_started()
        rev = self.discovery.state()["rev"]
        for hollow in self.hollows:
            if hollow.group != IDLE:
                self.wait_caught_up(hollow, rev)

    def wait_caught_up(
        self, hollow: HollowProcess, rev: int | None = None, seconds: float = SETTLE_S
    ) -> None:
        """Waits until all gateways of a process have the events up to `rev`, by default the last published.

        Raises TimeoutError if they do not within `seconds`.
        """
        last = self.discovery.state()["rev"] if rev is None else rev
        wait_until(
            lambda: hollow.process.call("state")["lowest_rev"] >= last,
            seconds,
            f"a hollow gateway has not received event {last}: {hollow.process.call('state')}",
        )

    def clear(self) -> None:
        """Discards the propagation times that the hollow gateways have counted so far."""
        for hollow in self.hollows:
            hollow.process.call("clear")

    def times(self, event_kind: str, group: str = MAIN) -> PropagationTimes:
        """Returns the propagation times since `clear` of one kind of event at a group's hollow gateways.

        `event_kind` is `purges`, `changes` or `reloads`.
        """
        rows = [hollow.process.call("times")[event_kind] for hollow in self.hollows if hollow.group == group]
        return merge_times(rows)

    # Costs -----------------------------------------------------------------------------------------

    def measure(self, seconds: float) -> Span:
        """Sleeps for `seconds` and returns processor time by process and traffic by port meanwhile."""
        before = self.snapshot()
        time.sleep(seconds)
        return self.since(before)

    def since(self, before: Snapshot) -> Span:
        """Returns processor time and traffic since a snapshot; leaves out processes started after it."""
        after = self.snapshot()
        elapsed_s = after.at - before.at
        processor = {
            pid: (spent - before.processor[pid]) / elapsed_s
            for pid, spent in after.processor.items()
            if pid in before.processor
        }
        traffic = {
            name: Rates(
                *((now[field] - before.traffic[name][field]) / elapsed_s for field in RATE_FIELDS),
            )
            for name, now in after.traffic.items()
            if name in before.traffic
        }
        return Span(elapsed_s, processor, traffic)

    def snapshot(self) -> Snapshot:
        """Returns the processor time of each process and the traffic of each port since their start."""
        traffic = self.poll_servers.traffic()
        excluded = {hollow.process.pid: hollow.process.call("state")["excluded_s"] for hollow in self.hollows}
        pids = {
            *excluded,
            *(gateway.process.pid for gateway in self.reals),
            *self.poll_servers.pids(),
            self.discovery.pid,
        }
        spent = {pid: processor_s(pid) - excluded.get(pid, 0.0) for pid in pids}
        return Snapshot(time.monotonic(), spent, traffic)


RATE_FIELDS = ("polls", "bytes_in", "bytes_out")


@dataclass(frozen=True)
class Rates:
    """Polls and bytes per second at one port; `bytes_in` are those that the poll server receives."""

    polls: float
    bytes_in: float
    bytes_out: float

    @property
    def kb(self) -> float:
        """KB per second at the port, sum of both directions."""
        return (self.bytes_in + self.bytes_out) / 1_000


@dataclass(frozen=True)
class Snapshot:
    """Processor seconds by process id and traffic counts by port, at the time `at` of time.monotonic."""

    at: float
    processor: dict[int, float]
    traffic: dict[str, JsonObject]


@dataclass(frozen=True)
class Span:
    """A measurement over `seconds`: shares of one core by process id, and traffic per second by port."""

    seconds: float
    processor: dict[int, float]
    traffic: dict[str, Rates]

    def share(self, *pids: int) -> float:
        """Returns the share of one core (1.0: a whole core) that these processes used together."""
        return sum(self.processor[pid] for pid in pids)
