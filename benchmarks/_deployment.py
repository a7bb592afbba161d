"""A fleet of hollow and real gateways with whatever answers their polls, as processes on loopback."""

from __future__ import annotations

import json
import signal
import time
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, Protocol

from benchmarks._processes import JsonProcess, Said, native, processor_s, resident_mb, wait_until
from benchmarks._program import Gateway
from olivecourse.emulator.settings import settings

CLASSES = [("fichiers", 2500, "idempotent", False), ("commande", 2500, "at_most_once", True)]
SOCKETS = 1_024
MAIN, CUT, REAL, IDLE, SERVED = "main", "cut", "real", "idle", "served"  # ports, by who polls there
SETTLE_S = 30.0


def store_list(count: int) -> list[dict[str, Any]]:
    """So many stores as discovery lists them; their addresses are never connected to without a request."""
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


class Answerers(Protocol):
    """Whoever answers the polls of gateways."""

    def address(self, group: str) -> str:
        """Where the gateways of a group poll."""
        ...

    def others(self, group: str) -> list[str]:
        """To whom they turn where that one fails."""
        ...

    def pids(self) -> list[int]:
        """The processes that answer polls."""
        ...

    def kill(self) -> None:
        """Ends one of them at once."""
        ...

    def restart(self) -> None:
        """Starts again what `kill` has ended."""
        ...

    def traffic(self) -> dict[str, Said]:
        """By group, polls and bytes since the start: `polls`, `bytes_in`, `bytes_out`."""
        ...

    def close(self) -> None: ...


class Discovery:
    """The stand-in discovery service as a process, restarted after a kill with its ports and events."""

    def __init__(self, folder: Path) -> None:
        self._state = folder / "discovery-events"
        self._ports: dict[str, tuple[int, bool]] = {}
        self.purged: list[Said] = []  # purges of objects that clients ask for
        self._process = self._start()

    def _start(self) -> JsonProcess:
        return JsonProcess("_standin_discovery", str(self._state), heard=self.purged.append)

    def do(self, do: str, **more: Any) -> Said:
        return self._process.do(do, **more)

    def open(self, name: str, muted: bool = False) -> str:
        """A port of its own; the address."""
        number = self.do("port", name=name, muted=muted)["port"]
        self._ports[name] = (number, muted)
        return f"127.0.0.1:{number}"

    def address(self, name: str) -> str:
        return f"127.0.0.1:{self._ports[name][0]}" if name in self._ports else self.open(name)

    def state(self) -> Said:
        return self.do("state")

    @property
    def pid(self) -> int:
        return self._process.pid

    def kill(self) -> None:
        self._process.kill()

    def restart(self) -> None:
        """With the events and the ports that it had; its counts of traffic begin anew."""
        self._process = self._start()
        for name, (number, muted) in self._ports.items():
            self.do("port", name=name, number=number, muted=muted)

    def close(self) -> None:
        self._process.kill()


class Direct:
    """Gateways poll the discovery service itself."""

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

    def traffic(self) -> dict[str, Said]:
        found: dict[str, Said] = self._discovery.state()["ports"]
        return found

    def close(self) -> None:
        """The discovery service belongs to the deployment."""


@dataclass(frozen=True)
class InForce:
    """Times from a publication until it was in force, over all gateways, in ms."""

    count: int
    median_ms: float
    p99_ms: float
    longest_ms: float

    def row(self) -> Said:
        return {
            "count": self.count,
            "median_ms": self.median_ms,
            "p99_ms": self.p99_ms,
            "max_ms": round(self.longest_ms, 1),
        }


def in_force(rows: list[Said]) -> InForce:
    """Adds up the times that processes counted; quantiles are those of the counted milliseconds."""
    counts: dict[int, int] = {}
    for row in rows:
        for ms, count in row["counts"]:
            counts[ms] = counts.get(ms, 0) + count
    total = sum(counts.values())
    longest = max((row["longest_us"] for row in rows), default=0) / 1_000
    return InForce(total, _quantile(counts, total, 0.5), _quantile(counts, total, 0.99), longest)


def _quantile(counts: dict[int, int], total: int, share: float) -> float:
    below = 0
    for ms in sorted(counts):
        below += counts[ms]
        if below >= share * total:
            return float(ms)
    return 0.0


@dataclass
class Hollow:
    """A process of hollow gateways."""

    process: JsonProcess
    group: str
    count: int

    def gateway_mb(self) -> float:
        """Resident memory of one gateway, by difference to the process without any."""
        empty: float = self.process.wait_started()["empty_mb"]
        return (resident_mb(self.process.pid) - empty) / self.count


class Deployment:
    """Everything that a run starts; all of it is ended, each by its id, when the block ends."""

    def __init__(self, folder: Path, stores: list[dict[str, Any]], seed: int = 1) -> None:
        self.folder, self.seed, self.stores = folder, seed, stores
        folder.mkdir(parents=True, exist_ok=True)
        self.hollows: list[Hollow] = []
        self.reals: list[Gateway] = []
        self._first = 0
        self._files = 0
        self.discovery = Discovery(folder)
        self.answerers: Answerers = Direct(self.discovery)
        self.discovery.open(IDLE, muted=True)
        self.discovery.do("pool", pool={"revision": 1, "complete": True, "members": stores})

    def __enter__(self) -> Deployment:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        for gateway in self.reals:
            if gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
            gateway.kill()
        for hollow in self.hollows:
            hollow.process.kill()
        self.answerers.close()
        self.discovery.close()

    # Gateways --------------------------------------------------------------------------------------

    def config(self, group: str, rev: int = 0, **more: Any) -> Path:
        """A configuration that knows the list and the events up to `rev`."""
        self._files += 1
        path = self.folder / f"config-{self._files}.json"
        pool = {"revision": 1, "complete": True, "members": self.stores}
        known = {"rev": max(rev, 1), "notices": [{"rev": 1, "pool": pool}]}
        said = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": f"{self.seed:x}",
            "limits": {"sockets": SOCKETS},
            "board": self.answerers.address(group),
            "settings": settings(CLASSES),
            "known": known,
            **more,
        }
        path.write_text(json.dumps(said))
        return path

    def hollow(self, count: int, group: str = MAIN, path: Path | None = None) -> Hollow:
        """A process of so many; `started` waits for it."""
        path = path or self.config(group)
        boards = self.answerers.others(group)
        said = {
            "config": str(path),
            "first": self._first,
            "count": count,
            "seed": self.seed,
            "boards": boards,
        }
        self._first += count
        made = Hollow(JsonProcess("_hollow_process", json.dumps(said)), group, count)
        self.hollows.append(made)
        return made

    def real(self, path: Path, root: Path | None = None, **env: str) -> Gateway:
        """A gateway as an operator starts it; `root`: where it is imported from, if not from here."""
        words = ("--config", str(path))
        if root is None:
            made = Gateway(None, *words, native=native(), **env)
        else:
            made = Gateway(None, *words, root=root, **env)
        self.reals.append(made)
        return made

    def end(self, hollow: Hollow) -> None:
        hollow.process.kill()
        self.hollows.remove(hollow)

    def connected(self) -> None:
        """Waits until every hollow gateway has taken the last event."""
        for hollow in self.hollows:
            hollow.process.wait_started()
        rev = self.discovery.state()["rev"]
        for hollow in self.hollows:
            if hollow.group != IDLE:
                self.caught_up(hollow, rev)

    def caught_up(self, hollow: Hollow, rev: int | None = None, seconds: float = SETTLE_S) -> None:
        """Waits until the gateways of a process have taken the events up to `rev`, or the last."""
        last = self.discovery.state()["rev"] if rev is None else rev
        wait_until(
            lambda: hollow.process.do("state")["lowest_rev"] >= last,
            seconds,
            f"a hollow gateway has not taken event {last}: {hollow.process.do('state')}",
        )

    def clear(self) -> None:
        """Counts times until in force from here on."""
        for hollow in self.hollows:
            hollow.process.do("clear")

    def times(self, what: str, group: str = MAIN) -> InForce:
        """Of `purges`, `changes` or `reloads`, over all hollow gateways of a group."""
        rows = [h.process.do("times")[what] for h in self.hollows if h.group == group]
        return in_force(rows)

    # Costs -----------------------------------------------------------------------------------------

    def measure(self, seconds: float) -> Span:
        """What each process spends, and what goes over each port, in so many seconds from now."""
        before = self.snapshot()
        time.sleep(seconds)
        return self.since(before)

    def since(self, before: Snapshot) -> Span:
        """The same, from a snapshot on; processes that came later are left out."""
        after = self.snapshot()
        took = after.at - before.at
        processor = {
            pid: (spent - before.processor[pid]) / took
            for pid, spent in after.processor.items()
            if pid in before.processor
        }
        traffic = {
            name: Rates(
                *((now[field] - before.traffic[name][field]) / took for field in RATE_FIELDS),
            )
            for name, now in after.traffic.items()
            if name in before.traffic
        }
        return Span(took, processor, traffic)

    def snapshot(self) -> Snapshot:
        """What every process has spent, and the traffic at every port, by now."""
        traffic = self.answerers.traffic()
        excluded = {h.process.pid: h.process.do("state")["excluded_s"] for h in self.hollows}
        pids = {*excluded, *(g.process.pid for g in self.reals), *self.answerers.pids(), self.discovery.pid}
        spent = {pid: processor_s(pid) - excluded.get(pid, 0.0) for pid in pids}
        return Snapshot(time.monotonic(), spent, traffic)


RATE_FIELDS = ("polls", "bytes_in", "bytes_out")


@dataclass(frozen=True)
class Rates:
    """Of one port, a second; bytes as whoever answers sees them."""

    polls: float
    bytes_in: float
    bytes_out: float

    @property
    def kb(self) -> float:
        """KB both ways."""
        return (self.bytes_in + self.bytes_out) / 1_000


@dataclass(frozen=True)
class Snapshot:
    at: float
    processor: dict[int, float]
    traffic: dict[str, Said]


@dataclass(frozen=True)
class Span:
    """Over `seconds`: shares of a core by process id, and rates by port."""

    seconds: float
    processor: dict[int, float]
    traffic: dict[str, Rates]

    def share(self, *pids: int) -> float:
        """Of a core, of these processes together."""
        return sum(self.processor[pid] for pid in pids)
