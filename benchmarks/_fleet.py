"""A fleet of gateway processes in front of the stand-in stores of one site, with injected faults.

Benchmarks and tests use it where several gateway processes are needed.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import signal
import socket
import time
from collections import Counter
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

import yaml

from benchmarks._program import Gateway
from olivecourse.emulator.clients import LoadGenerator, TrafficClass, accepts_work
from olivecourse.emulator.discovery_server import DiscoveryServer
from olivecourse.emulator.faults import Fault, Network, Player
from olivecourse.emulator.observer import Observer
from olivecourse.emulator.settings import settings
from olivecourse.emulator.stores import EmulatorLoop, Store, unix_ms

CLASSES = [("fichiers", 2500, "idempotent", False), ("commande", 2500, "at_most_once", True)]
SORTS = (TrafficClass("fichiers", 0.95), TrafficClass("commande", 0.05, write=True))
COLD_S = 1.0  # how long an edge store counts as cold after it was restarted
WORK_S = 0.5  # how long an edge store stays down after an operator has stopped it
STORE_GROUP = "stores:praia"  # the group whose drain leases the edge stores need
SAMPLE_S = 0.05
FIRST_PORT, PORTS_PER_PROCESS, PORT_BLOCKS = 15_000, 256, 64
_ports = itertools.count()


def port() -> int:
    """Returns a free port below the usual ephemeral ports, from a block that belongs to this process.

    The kernel never assigns such a port to an outgoing connection, so the port of a gateway that is down
    stays free until the gateway starts again.
    """
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_PROCESS
    while True:
        found = first + next(_ports) % PORTS_PER_PROCESS
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", found)):
            return found


class Fleet:
    """`count` gateway processes with stand-in stores, clients, operators and faults.

    With `agree` the gateways coordinate drains and releases of program versions among themselves. Without it
    each `drain` call goes to the management port of every gateway separately, as operators' scripts do.
    This object also plays the operators who take stores down for maintenance.
    """

    def __init__(
        self,
        folder: Path,
        count: int = 5,
        members: int = 3,
        stores: int = 12,
        budget: int = 2,
        seed: int = 1,
        agree: bool = True,
        agreement: str = "majority",
        rate: float = 0.0,
        version: str = "v1",
    ) -> None:
        self.folder, self.agree, self.budget, self.seed = folder, agree, budget, seed
        self.names = [f"n{index}" for index in range(count)]
        self.members = self.names[:1] if agreement == "planner" else self.names[:members]
        self.observer = Observer(0.25, 0.3, frozenset({"commande"}))
        self.edge_stores = [Store(f"box-{n:02d}", delay_s=0.005) for n in range(stores)]
        self.hub, self.archive = Store("hub-1"), Store("archive-1")
        self.world = EmulatorLoop([*self.edge_stores, self.hub, self.archive], self.observer.on_answer)
        self.board = DiscoveryServer(self.world)
        self.network = Network(self.world, seed)
        self.ports = {n: port() for n in self.names}
        self.management_ports = {n: port() for n in self.names}
        self.versions = dict.fromkeys(self.names, version)
        self._datagrams = {n: ("127.0.0.1", port()) for n in self.names}
        self.running: dict[str, Gateway] = {}
        self.started: dict[str, int] = dict.fromkeys(self.names, 0)
        # What each edge store really is: "in" (service), "down" or "cold".
        self.state = dict.fromkeys((edge_store.name for edge_store in self.edge_stores), "in")
        self.over_budget_samples, self.samples, self.max_stores_out = 0, 0, 0
        self.player = Player(self.network, self.names, self.pid, self.start, self.killed)
        self.sampling = True
        # `faulty_version` is the program version that refuses all requests, "" for none.
        self.replacing, self.faulty_version = False, ""
        self.reached: set[str] = set()
        self._leaving: set[str] = set()
        self.client_groups: dict[str, LoadGenerator] = {}
        self._rate = rate
        self._members = {store.name: self._member(store) for store in self.world.stores}
        self.board.publish(pool={"revision": 1, "complete": True, "members": list(self._members.values())})
        self._write(agreement)
        for name in self.names:
            self.start(name)
        self.world.at(time.monotonic(), self._sample)

    # Files --------------------------------------------------------------------------------------------

    def _member(self, store: Store, **more: Any) -> dict[str, Any]:
        kind = {"box": "petit", "hub": "parent", "archive": "origin"}[store.name.split("-")[0]]
        return {
            "id": store.name,
            "host_port": store.address,
            "flavor": kind,
            "cell": 0,
            "phase": "Ready",
            "locality": "praia" if kind == "petit" else "hub-nord",
            "size": 8,
            "up_since_ms": 0,
            **more,
        }

    def _write(self, agreement: str) -> None:
        gateway_settings = settings(CLASSES)
        gateway_settings["contract"]["cold_ns"] = int(COLD_S * 1e9)
        (self.folder / "settings.json").write_text(json.dumps(gateway_settings))
        # The faulty version is configured as a gateway of the hub: it reports ready and refuses requests.
        (self.folder / "bad.json").write_text(json.dumps({**gateway_settings, "az": 0}))
        rows = [
            f"{member['id']},{member['host_port']},{member['locality']},{member['flavor']},8"
            for member in self._members.values()
        ]
        (self.folder / "stores.csv").write_text("\n".join(["name,address,zone,kind,size", *rows]) + "\n")
        (self.folder / "keys.json").write_text(json.dumps({"current": 1, "keys": {"1": "5a" * 32}}))
        for name in self.names:
            fleet = [
                {
                    "name": other,
                    "office": "praia",
                    "address": "{}:{}".format(*self._datagrams[other])
                    if other == name
                    else self.network.datagrams(name, other, self._datagrams[other]),
                }
                for other in self.names
            ]
            gateway_config = {
                "name": name,
                "listen": f"127.0.0.1:{self.ports[name]}",
                "settings": "settings.json",
                "inventory": "stores.csv",
                "sockets": 384,
                "board": self.board.address,
                "mgmt": f"127.0.0.1:{self.management_ports[name]}",
            }
            if self.agree:
                gateway_config["rollout"] = {
                    "folder": f"rollout-{name}",
                    "keys": "keys.json",
                    "gateways": fleet,
                    "members": self.members,
                    "warm_s": 0.5,
                    "agreement": agreement,
                    "budgets": {
                        "stores": {"number": self.budget, "share": 0.5},
                        "gateways": {"number": 1, "share": 0.5},
                    },
                }
            (self.folder / f"{name}.yaml").write_text(yaml.safe_dump(gateway_config))
            (self.folder / f"{name}-bad.yaml").write_text(
                yaml.safe_dump({**gateway_config, "settings": "bad.json"})
            )
            if self.agree and name in self.members:
                from olivecourse.rollout.disk import Disk
                from olivecourse.rollout.section import read_rollout

                rollout_config = read_rollout(str(self.folder / f"{name}.yaml"))
                disk = Disk(str(rollout_config.folder), name, rollout_config.read_keys()[1])
                disk.init(int(time.time()))
                disk.close()

    # Processes ----------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Starts the process of the gateway `name` with the program version in `versions`."""
        self.started[name] += 1
        tmp = self.folder / f"tmp-{name}"
        tmp.mkdir(exist_ok=True)
        file_suffix = "-bad" if self.versions[name] == self.faulty_version else ""
        self.running[name] = Gateway(
            self.folder / f"{name}{file_suffix}.yaml",
            native=True,
            TMPDIR=str(tmp),
            OLIVECOURSE_VERSION=self.versions[name],
        )

    def pid(self, name: str) -> int | None:
        """Returns the process id of the gateway `name`, or None if it is not running."""
        gateway = self.running.get(name)
        return gateway.process.pid if gateway is not None and gateway.process.poll() is None else None

    def killed(self, name: str) -> None:
        """Waits for the end of the process of the gateway `name`, which has just been killed."""
        self.running[name].process.wait(10)

    def end(self, name: str) -> None:
        """Kills the process of the gateway `name` if it runs, even if it is stopped by SIGSTOP."""
        gateway = self.running.get(name)
        if gateway is not None and gateway.process.poll() is None:
            gateway.process.send_signal(signal.SIGCONT)
            gateway.kill()

    def call(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Calls the management port of the gateway `name`; returns the HTTP status and the JSON answer.

        Returns (0, {}) if the gateway is not running or does not answer within 1 s.
        """
        if name in self.player.stopped or self.pid(name) is None:
            return 0, {}
        connection = HTTPConnection("127.0.0.1", self.management_ports[name], timeout=1)
        try:
            connection.request(method, path, None if body is None else json.dumps(body))
            reply = connection.getresponse()
            return reply.status, json.loads(reply.read())
        except (OSError, ValueError, HTTPException):
            return 0, {}
        finally:
            connection.close()

    def status(self, name: str) -> dict[str, Any]:
        """Returns the status of drains and releases that a gateway reports; {} if it does not answer."""
        return self.call(name, "GET", "/rollout/status")[1]

    def state_of(self, name: str) -> str:
        """Returns the release's state that a gateway reports, such as "running"; "" if unknown."""
        return str(self.status(name).get("release", {}).get("state", ""))

    def send_command(self, name: str, command: str, **more: Any) -> dict[str, Any]:
        """Sends an operator's rollout command to the gateway `name` and returns its immediate JSON answer."""
        return self.call(name, "POST", "/rollout/ask", {"do": command, **more})[1]

    def run_release_command(
        self, name: str, command: str, seconds: float = 4.0, **more: Any
    ) -> dict[str, Any]:
        """Sends a release command to a gateway and waits until a majority of voting members has decided.

        Returns the decision, or {} if there is no decision within `seconds`.
        """
        ticket = self.send_command(name, command, **more).get("ticket")
        end = time.monotonic() + seconds
        while ticket is not None and time.monotonic() < end:
            found = self.call(name, "GET", f"/rollout/ticket/{ticket}")[1]
            if not found.get("pending", True):
                return found
            self.world.run(0.02)
        return {}

    def run_until(self, condition: Any, seconds: float) -> bool:
        """Runs the World until `condition()` is true; returns False if it is not within `seconds`."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            self.world.run(0.05)
        return False

    def ready(self, seconds: float = 15.0) -> bool:
        """Waits until all gateways serve and, with `agree`, receive each other's heartbeats.

        Returns False if they do not within `seconds`.
        """

        def heard(name: str) -> bool:
            if not self.agree:
                return accepts_work(self.ports[name])
            found = self.status(name)
            return bool(found) and all(
                gateway["heard"] and gateway["service"] == "serves" for gateway in found["gateways"]
            )

        return self.run_until(lambda: all(map(heard, self.names)), seconds)

    def start_clients(self) -> None:
        """Starts a group of clients for each gateway; they use other gateways while theirs is down."""
        for index, name in enumerate(self.names):
            ports = [self.ports[n] for n in self.names[index:] + self.names[:index]]
            self.client_groups[name] = LoadGenerator(
                self.world,
                ports,
                SORTS,
                self._rate,
                self.seed + index,
                self.observer.record_violation,
                connection_count=2,
                objects=4000,
            )

    # Stores and their operators -----------------------------------------------------------------------

    def drain(self, name: str, store_name: str) -> None:
        """Asks the gateway `name` to drain a store; without `agree` it asks every gateway."""
        if self.agree:
            self.send_command(name, "drain", item=store_name)
        else:
            for other in self.names:
                self.call(other, "PUT", "/ops/stores/down", {"id": store_name})
            self.world.at(time.monotonic() + 0.3, lambda: self.restart_store(name, store_name))

    def restart_store(self, name: str, store_name: str) -> None:
        """Takes a drained store down for WORK_S, restarts it (cold for COLD_S), and ends its drain."""
        if self.state[store_name] != "in":
            return
        store = next(edge_store for edge_store in self.edge_stores if edge_store.name == store_name)
        self.state[store_name] = "down"
        store.mode = "silent"
        self.world.reset(store)

        def up() -> None:
            store.mode = "good"
            self.state[store_name] = "cold"
            self._members[store_name] = self._member(store, up_since_ms=unix_ms())
            self.board.publish(
                pool={
                    "revision": self.board.rev + 1,
                    "complete": False,
                    "members": [self._members[store_name]],
                }
            )
            self.world.at(time.monotonic() + COLD_S, lambda: self.state.update({store_name: "in"}))
            self._end_drain(name, store_name)

        self.world.at(time.monotonic() + WORK_S, up)

    def _end_drain(self, name: str, store_name: str) -> None:
        """Ends a store's drain through the first gateway that accepts it; repeats this if it gets lost.

        The gateway that accepted the call may be killed before it has told the others.
        """
        if not self.agree:
            for other in self.names:
                self.call(other, "PUT", "/ops/stores/up", {"id": store_name})
            return
        for other in (name, *self.names):
            if self.send_command(other, "undrain", item=store_name).get("ok"):
                break
        self.world.at(time.monotonic() + 0.8, lambda: self._check_drain_ended(name, store_name))

    def _check_drain_ended(self, name: str, store_name: str) -> None:
        # The status of a gateway that does not answer or has just started is empty and says nothing.
        found = [gateway_status for n in self.names if (gateway_status := self.status(n))]
        left = any(
            lease["item"] == store_name and lease["phase"] != "back"
            for gateway_status in found
            for lease in gateway_status["groups"].get(STORE_GROUP, {}).get("places", ())
        )
        if self.sampling and (left or not found):
            self._end_drain(name, store_name)

    def drain_and_restart(self, name: str, store_name: str, seconds: float) -> None:
        """Plays an operator who drains a store through the gateway `name` and restarts it once it is drained.

        The operator gives up and ends the drain if the gateway does not report it within `seconds`.
        """
        end = time.monotonic() + seconds
        self.drain(name, store_name)

        def look() -> None:
            drained = next(
                (
                    request_status
                    for request_status in self.status(name).get("works", ())
                    if request_status["item"] == store_name
                ),
                None,
            )
            if drained is not None and drained["stage"] == "out" and self.state[store_name] == "in":
                self.restart_store(name, store_name)
            elif time.monotonic() > end:
                self._end_drain(name, store_name)
            else:
                self.world.at(time.monotonic() + 0.15, look)

        if self.agree:
            self.world.at(time.monotonic() + 0.15, look)

    # Observation --------------------------------------------------------------------------------------

    def _sample(self) -> None:
        out = sum(state != "in" for state in self.state.values())
        self.samples += 1
        self.max_stores_out = max(self.max_stores_out, out)
        self.over_budget_samples += out > self.budget
        if self.replacing:
            self._replace()
        if self.sampling:
            self.world.at(time.monotonic() + SAMPLE_S, self._sample)

    def _replace(self) -> None:
        """Plays the supervisors of the gateways' processes; each call checks one gateway in turn.

        A supervisor starts the program version that its gateway reports as `replace_with`.
        """
        for name in self.names:
            if self.samples % len(self.names) != self.names.index(name):
                continue
            wanted = self.status(name).get("replace_with") if self.pid(name) else None
            if wanted and name not in self._leaving:
                self.replace(name, wanted)

    def replace(self, name: str, version: str) -> None:
        """Sends SIGTERM to a gateway and, once it has ended, starts it with program version `version`."""
        self._leaving.add(name)
        process = self.running[name].process
        process.send_signal(signal.SIGTERM)

        def ended() -> None:
            if process.poll() is None:
                self.world.at(time.monotonic() + 0.05, ended)
                return
            self._leaving.discard(name)
            self.versions[name] = version
            self.reached.add(f"{name} {version}")
            self.start(name)

        ended()

    def schedule_faults(self, faults: list[Fault]) -> None:
        """Schedules the faults of a script, counted from now, on the links and processes of the fleet."""
        self.player.script(faults)

    def outcome_counts(self) -> Counter[str]:
        """Counts all clients' ended requests by outcome: served, refused, failed, nobody."""
        total: Counter[str] = Counter()
        for clients in self.client_groups.values():
            total.update(clients.outcomes)
        return total

    def close(self) -> None:
        """Ends all clients, gateways, stand-in stores and the discovery server."""
        self.sampling = False
        for clients in self.client_groups.values():
            clients.close()
        for name in self.names:
            self.end(name)
        self.network.close()
        self.board.close()
        self.world.close()
