"""Gateways as processes, with faults between them, checked at the stores and clients and not in the logs."""

import json
import math
import os
import re
import resource
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest
from harness import SETTINGS, member

from olivecourse.emulator.clients import LoadGenerator, TrafficClass, accepts_work
from olivecourse.emulator.discovery_server import DiscoveryServer
from olivecourse.emulator.observer import Observer
from olivecourse.emulator.stores import EmulatorLoop, Store

ROOT = Path(__file__).resolve().parent.parent
CLASSES = [TrafficClass("fichiers", 0.9, 5000), TrafficClass("commande", 0.1, 2900, write=True)]


class Process:
    """A gateway process; `startup_s` is the time in seconds from its start until it accepts work."""

    def __init__(self, path, log, **popen_arguments):
        self.log, self.started_at, self.startup_s, self.port = log, time.monotonic(), None, None
        with log.open("w") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "olivecourse"],
                cwd=ROOT,
                stderr=out,
                env={**os.environ, "EDGE_CONFIG": str(path)},
                **popen_arguments,
            )

    def check_ready(self):
        """Asks the process once whether it accepts work, and records its port and startup time."""
        if self.startup_s is None:
            found = re.search(r'"listen": "127.0.0.1:(\d+)"', self.log.read_text())
            if found and accepts_work(int(found[1])):
                self.port, self.startup_s = int(found[1]), time.monotonic() - self.started_at
        return self.startup_s is not None


class Fleet:
    """Gateway processes with four caches, a parent, an origin and a discovery server on one event loop."""

    def __init__(self, folder, **limits):
        self.folder, self.limits, self.processes, self.crowds = folder, limits, [], []
        self.stores = [
            Store(name)
            for name in ("s-00000001", "s-00000002", "s-00000003", "s-00000004", "s-00000008", "s-00000009")
        ]
        self.observer = Observer(0.25, 0.3, frozenset({"commande"}))
        self.requests = []
        self.world = EmulatorLoop(self.stores, self.on_answer)
        self.board = DiscoveryServer(self.world)

    def on_answer(self, store, request, word, fields):
        """Records the time and store of each request, and passes the request to the observer."""
        self.requests.append((time.time(), store.name))
        self.observer.on_answer(store, request, word, fields)

    def members(self, *names, **overrides):
        """The named stores as members of a discovery list."""
        kinds = {"s-00000008": ("parent", "hub-nord"), "s-00000009": ("origin", "hub-nord")}
        return [
            member(store.name, store.address, *kinds.get(store.name, ()), **overrides)
            for store in self.stores
            if store.name in names
        ]

    def start(self, number, instance_count, settings=None, **popen_arguments):
        """Starts the gateway with this index among so many instances."""
        gateway_settings = json.loads(json.dumps(settings or SETTINGS))
        gateway_settings.update(me=number, instances=instance_count)
        gateway_settings["family_info"]["seats_by_zone"] = [0, instance_count]
        path = self.folder / f"{number}.json"
        path.write_text(
            json.dumps(
                {
                    "name": f"n{number}",
                    "listen": "127.0.0.1:0",
                    "seed": os.urandom(4).hex(),
                    "settings": gateway_settings,
                    "board": self.board.address,
                    "known": self.board.known(),
                    "limits": self.limits,
                }
            )
        )
        self.processes.append(Process(path, self.folder / f"{len(self.processes)}.log", **popen_arguments))
        return self.processes[-1]

    def crowd(self, process, rate, seed, traffic_classes=CLASSES):
        """Starts a load generator that sends `rate` requests per second to a process."""
        self.crowds.append(
            LoadGenerator(
                self.world,
                process.port,
                traffic_classes,
                rate,
                seed,
                self.observer.record_violation,
                connection_count=2,
            )
        )
        return self.crowds[-1]

    def run(self, seconds, until=lambda: False):
        """Runs the event loop for `seconds` or until `until()` is true, and returns whether it was true."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.world.run(0.02)
            if until():
                return True
        return False

    def close(self):
        """Kills all processes that still run and closes all sockets."""
        for gateway_process in self.processes:
            if gateway_process.process.poll() is None:
                gateway_process.process.kill()
            gateway_process.process.wait()
        for crowd in self.crowds:
            crowd.close()
        for store in self.stores:
            store.sock.close()


@pytest.fixture
def fleet(tmp_path):
    """A fleet without processes, whose discovery server has published all stores but s-00000004."""
    made = Fleet(tmp_path)
    made.board.publish(
        pool={
            "revision": 1,
            "complete": True,
            "members": made.members(*(s.name for s in made.stores if s.name != "s-00000004")),
        }
    )
    yield made
    made.close()


def wait_until_ready(fleet, processes):
    """Runs the event loop until all processes accept work, for at most 60 seconds."""
    assert fleet.run(60, lambda: all([p.check_ready() for p in processes])), "a process did not become ready"


def assert_nine_in_ten_ready_within_10_s(fleet, processes):
    """Only for restarted processes: the time of a simultaneous first start depends on the number of cores."""
    wait_until_ready(fleet, processes)
    assert sorted(p.startup_s for p in processes)[len(processes) * 9 // 10 - 1] <= 10


def test_rolling_restart_of_twenty_processes_is_quick_and_loses_no_request(fleet):
    old_processes = [fleet.start(n, 20) for n in range(20)]
    wait_until_ready(fleet, old_processes)
    crowds = [fleet.crowd(p, 10, n) for n, p in enumerate(old_processes)]
    fleet.run(1)
    new_processes = []
    for first in range(0, 20, 2):
        pair = range(first, first + 2)
        for n in pair:
            old_processes[n].process.send_signal(signal.SIGTERM)
            new_processes.append(fleet.start(n, 20))
        fleet.run(0.5)  # the client-facing proxy notices the stop; until then clients send as before
        for n in pair:
            crowds[n].running = False
    assert_nine_in_ten_ready_within_10_s(fleet, new_processes)
    for crowd in crowds:
        crowd.finish_requests(3)
    assert fleet.run(10, lambda: all(p.process.poll() is not None for p in old_processes))
    assert [p.process.returncode for p in old_processes] == [0] * 20
    assert not fleet.observer.violations, fleet.observer.first_violations
    assert sum(c.lost_requests for c in crowds) == 0 and sum(c.outcomes["served"] for c in crowds) > 200


@pytest.mark.parametrize("instances", [20, 30])
def test_slow_start_of_a_cold_store_holds_for_many_processes_when_some_are_killed(fleet, instances):
    """In every window the store sees at most the allowed N requests and a statistical margin."""
    settings = json.loads(json.dumps(SETTINGS))
    settings["family_info"]["client_kb_per_s"] = 80.0
    processes = [fleet.start(n, instances, settings) for n in range(instances)]
    wait_until_ready(fleet, processes)
    for n, process in enumerate(processes):
        fleet.crowd(process, (2, 6, 18)[n % 3], n, [TrafficClass("fichiers", 1.0, 5000)])
    fleet.run(1.5)
    started_at = int(time.time() * 1000)
    fleet.board.publish(
        pool={
            "revision": 2,
            "complete": False,
            "members": [{**m, "size": 4} for m in fleet.members("s-00000004", up_since_ms=started_at)],
        }
    )
    fleet.run(2)
    for n in range(5):
        processes[n].process.kill()
        fleet.crowds[n].close()
    restarted = [fleet.start(n, instances, settings) for n in range(5)]
    assert fleet.run(10, lambda: all([p.check_ready() for p in restarted]))
    for n, process in enumerate(restarted):
        fleet.crowd(process, 18, 100 + n, [TrafficClass("fichiers", 1.0, 5000)])
    fleet.run(3)
    contract, work_s = settings["contract"], 60 / 80.0  # the load generator states a mean size of 60 KB
    window = contract["overload_for_ns"] / 1e9
    request_times = [at - started_at / 1000 for at, name in fleet.requests if name == "s-00000004"]
    assert len(request_times) > 3 and len(fleet.requests) > 500
    for window_start in [c - 0.001 for c in request_times]:
        capacity_share = contract["cold_from"] + (1 - contract["cold_from"]) * max(window_start, 0) / (
            contract["cold_ns"] / 1e9
        )
        n = contract["tip_multiple"] * capacity_share * 4 * window / work_s
        requests_in_window = sum(window_start <= c < window_start + window for c in request_times)
        assert requests_in_window <= n + 2 * math.sqrt(n) + 2, (window_start, requests_in_window, n)
    assert not fleet.observer.violations, fleet.observer.first_violations


@pytest.mark.parametrize("socket_limit", [128, 1024])  # 1024 is more than the system grants
def test_idle_clients_that_exhaust_descriptors_do_not_block_discovery_or_requests(fleet, socket_limit):
    fleet.limits = {"sockets": socket_limit}
    process = fleet.start(0, 1, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (128, 128)))
    assert fleet.run(20, process.check_ready)
    fleet.board.refuse()
    idle = [socket.create_connection(("127.0.0.1", process.port)) for _ in range(200)]
    crowd = fleet.crowd(process, 20, 1)
    fleet.run(1)
    later_idle = [socket.create_connection(("127.0.0.1", process.port)) for _ in range(200)]
    fleet.board.resume()
    (drained,) = fleet.members("s-00000001", phase="Terminating")
    fleet.observer.record_drain(
        "s-00000001", fleet.board.publish(pool={"revision": 2, "complete": False, "members": [drained]}) + 1.0
    )  # the drain counts from one second later: by then the gateway must reach the discovery server again
    fleet.run(3)
    crowd.finish_requests(5)
    assert fleet.observer.request_counts["s-00000001"] and not fleet.observer.violations, (
        fleet.observer.first_violations
    )
    assert crowd.outcomes["served"] > 40 and crowd.outcomes["served"] >= 0.95 * sum(crowd.outcomes.values())
    process_stat = Path(f"/proc/{process.process.pid}/stat").read_text().rpartition(")")[2].split()
    cpu_seconds = (int(process_stat[11]) + int(process_stat[12])) / os.sysconf("SC_CLK_TCK")
    assert cpu_seconds < 0.5 * (time.monotonic() - process.started_at)  # the process does not busy-loop
    for sock in (*idle, *later_idle):
        sock.close()


# Signals during startup ------------------------------------------------------------------------------


def start_waiting_for_config(fleet, command):
    """Starts a process whose configuration file is a named pipe, so that the start waits for `write_config`.

    Returns the process, the path of the pipe and the configuration text.
    """
    path = fleet.folder / "pipe.json"
    os.mkfifo(path)
    config_text = json.dumps(
        {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "01",
            "settings": SETTINGS,
            "board": fleet.board.address,
            "known": fleet.board.known(),
        }
    )
    log = fleet.folder / "held.log"
    with log.open("w") as out:
        process = subprocess.Popen(
            command, cwd=ROOT, stderr=out, env={**os.environ, "EDGE_CONFIG": str(path)}
        )
    starting = Process.__new__(Process)
    starting.process, starting.log, starting.started_at, starting.startup_s = (
        process,
        log,
        time.monotonic(),
        None,
    )
    fleet.processes.append(starting)
    return starting, path, config_text


def write_config(starting, path, text, before_write=lambda: None):
    """Writes `text` to the named pipe at `path` as soon as the program has opened the pipe for reading.

    `before_write` is called between that moment and the write. Each text has a pipe of its own: before the
    write, a new pipe replaces the opened one at `path`. The program can open the new pipe only for its next
    reading, so the next call waits until this reading has ended, and no reading can contain two texts.
    """
    end = time.monotonic() + 20
    while True:
        try:
            pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            break
        except OSError:  # the program has not opened the pipe yet
            assert starting.process.poll() is None and time.monotonic() < end, starting.log.read_text()
            time.sleep(0.002)
    new_pipe = path.with_suffix(".next")
    os.mkfifo(new_pipe)
    new_pipe.replace(path)
    before_write()
    os.write(pipe, text.encode())
    os.close(pipe)


def test_signals_during_the_start_cause_a_reload_and_then_a_stop(fleet):
    made, path, text = start_waiting_for_config(fleet, [sys.executable, "-m", "olivecourse"])
    # At the signal the process already uses the old file.
    write_config(made, path, text, lambda: made.process.send_signal(signal.SIGHUP))
    moved = DiscoveryServer(fleet.world)
    write_config(made, path, text.replace(fleet.board.address, moved.address))
    assert fleet.run(20, lambda: '"moved": ["board"]' in made.log.read_text()), made.log.read_text()
    assert fleet.run(20, lambda: moved._connections)
    made.process.send_signal(signal.SIGSTOP)
    made.process.send_signal(signal.SIGHUP)
    made.process.send_signal(signal.SIGTERM)
    made.process.send_signal(signal.SIGCONT)
    write_config(made, path, text)
    assert made.process.wait(20) == 0
    events = [json.loads(line)["event"] for line in made.log.read_text().splitlines()]
    assert events.count("reloaded") == 2 and events[-1] == "stopped"


def test_sighup_before_the_handler_is_installed_does_not_end_the_process(fleet):
    run_command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    run_command = run_command.replace("PYTHONPATH=.native .venv/bin/python -P", sys.executable)
    made, path, text = start_waiting_for_config(fleet, ["/bin/sh", "-c", run_command])
    command_line = Path(f"/proc/{made.process.pid}/cmdline")
    while (
        b"olivecourse\0" not in command_line.read_bytes().replace(b"-m\0", b"")
        or b"-c\0" in command_line.read_bytes()
    ):
        assert made.process.poll() is None
    made.process.send_signal(signal.SIGHUP)  # the interpreter has just started and no handler is installed
    write_config(made, path, text)
    assert fleet.run(20, made.check_ready), made.log.read_text()
