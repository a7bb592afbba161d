"""Many gateways as processes, with faults between them; judged by stores and clients, not by their log."""

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
from stage import SETTINGS, member

from olivecourse.emulator.board import Board
from olivecourse.emulator.clients import Crowd, Sort, well
from olivecourse.emulator.observer import Observer
from olivecourse.emulator.stores import Store, World

ROOT = Path(__file__).resolve().parent.parent
SORTS = [Sort("fichiers", 0.9, 5000), Sort("commande", 0.1, 2900, write=True)]


class Process:
    """A gateway as the platform starts it; `took` is how long it was until it said that it takes work."""

    def __init__(self, path, log, **more):
        self.log, self.began, self.took, self.port = log, time.monotonic(), None, None
        with log.open("w") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "olivecourse"],
                cwd=ROOT,
                stderr=out,
                env={**os.environ, "EDGE_CONFIG": str(path)},
                **more,
            )

    def look(self):
        if self.took is None:
            found = re.search(r'"listen": "127.0.0.1:(\d+)"', self.log.read_text())
            if found and well(int(found[1])):
                self.port, self.took = int(found[1]), time.monotonic() - self.began
        return self.took is not None


class Fleet:
    def __init__(self, folder, **limits):
        self.folder, self.limits, self.made, self.crowds = folder, limits, [], []
        self.stores = [
            Store(name)
            for name in ("s-00000001", "s-00000002", "s-00000003", "s-00000004", "s-00000008", "s-00000009")
        ]
        self.observer = Observer(0.25, 0.3, frozenset({"commande"}))
        self.asks = []
        self.world = World(self.stores, self.asked)
        self.board = Board(self.world)

    def asked(self, store, request, word, fields):
        self.asks.append((time.time(), store.name))
        self.observer.asked(store, request, word, fields)

    def members(self, *names, **more):
        kinds = {"s-00000008": ("parent", "hub-nord"), "s-00000009": ("origin", "hub-nord")}
        return [
            member(s.name, s.address, *kinds.get(s.name, ()), **more) for s in self.stores if s.name in names
        ]

    def start(self, number, seats, settings=None, **more):
        made = json.loads(json.dumps(settings or SETTINGS))
        made.update(me=number, instances=seats)
        made["family_info"]["seats_by_zone"] = [0, seats]
        path = self.folder / f"{number}.json"
        path.write_text(
            json.dumps(
                {
                    "name": f"n{number}",
                    "listen": "127.0.0.1:0",
                    "seed": os.urandom(4).hex(),
                    "settings": made,
                    "board": self.board.address,
                    "known": self.board.known(),
                    "limits": self.limits,
                }
            )
        )
        self.made.append(Process(path, self.folder / f"{len(self.made)}.log", **more))
        return self.made[-1]

    def crowd(self, process, rate, seed, sorts=SORTS):
        self.crowds.append(Crowd(self.world, process.port, sorts, rate, seed, self.observer.fault, conns=2))
        return self.crowds[-1]

    def run(self, seconds, until=lambda: False):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.world.run(0.02)
            if until():
                return True
        return False

    def close(self):
        for each in self.made:
            if each.process.poll() is None:
                each.process.kill()
            each.process.wait()
        for crowd in self.crowds:
            crowd.close()
        for store in self.stores:
            store.sock.close()


@pytest.fixture
def fleet(tmp_path):
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


def ready(fleet, processes):
    assert fleet.run(60, lambda: all([p.look() for p in processes])), "one never took work"


def nine_in_ten(fleet, processes):
    """Of restarted ones; the first start of all at once is no restart, and the machine's cores decide."""
    ready(fleet, processes)
    assert sorted(p.took for p in processes)[len(processes) * 9 // 10 - 1] <= 10


def test_twenty_processes_restarted_a_tenth_at_a_time_are_ready_soon_and_lose_nothing(fleet):
    old = [fleet.start(n, 20) for n in range(20)]
    ready(fleet, old)
    crowds = [fleet.crowd(p, 10, n) for n, p in enumerate(old)]
    fleet.run(1)
    new = []
    for first in range(0, 20, 2):
        pair = range(first, first + 2)
        for n in pair:
            old[n].process.send_signal(signal.SIGTERM)
            new.append(fleet.start(n, 20))
        fleet.run(0.5)  # the front hears of it; until then clients come as before
        for n in pair:
            crowds[n].running = False
    nine_in_ten(fleet, new)
    for crowd in crowds:
        crowd.settle(3)
    assert fleet.run(10, lambda: all(p.process.poll() is not None for p in old))
    assert [p.process.returncode for p in old] == [0] * 20
    assert not fleet.observer.broken, fleet.observer.told
    assert sum(c.lost for c in crowds) == 0 and sum(c.ends["served"] for c in crowds) > 200


@pytest.mark.parametrize("seats", [20, 30])
def test_the_ramp_of_a_cold_store_holds_for_many_processes_of_which_some_are_killed(fleet, seats):
    """Counted by the store: in every window N calls and what chance may add, from the first moment on."""
    settings = json.loads(json.dumps(SETTINGS))
    settings["family_info"]["client_kb_per_s"] = 80.0
    made = [fleet.start(n, seats, settings) for n in range(seats)]
    ready(fleet, made)
    for n, process in enumerate(made):
        fleet.crowd(process, (2, 6, 18)[n % 3], n, [Sort("fichiers", 1.0, 5000)])
    fleet.run(1.5)
    began = int(time.time() * 1000)
    fleet.board.publish(
        pool={
            "revision": 2,
            "complete": False,
            "members": [{**m, "size": 4} for m in fleet.members("s-00000004", up_since_ms=began)],
        }
    )
    fleet.run(2)
    for n in range(5):
        made[n].process.kill()
        fleet.crowds[n].close()
    again = [fleet.start(n, seats, settings) for n in range(5)]
    assert fleet.run(10, lambda: all([p.look() for p in again]))
    for n, process in enumerate(again):
        fleet.crowd(process, 18, 100 + n, [Sort("fichiers", 1.0, 5000)])
    fleet.run(3)
    terms, work_s = settings["contract"], 60 / 80.0  # the mean of what the crowd says of sizes: 60 KB
    window = terms["overload_for_ns"] / 1e9
    calls = [at - began / 1000 for at, name in fleet.asks if name == "s-00000004"]
    assert len(calls) > 3 and len(fleet.asks) > 500
    for begin in [c - 0.001 for c in calls]:
        now = terms["cold_from"] + (1 - terms["cold_from"]) * max(begin, 0) / (terms["cold_ns"] / 1e9)
        n = terms["tip_multiple"] * now * 4 * window / work_s
        got = sum(begin <= c < begin + window for c in calls)
        assert got <= n + 2 * math.sqrt(n) + 2, (begin, got, n)
    assert not fleet.observer.broken, fleet.observer.told


@pytest.mark.parametrize("told", [128, 1024])  # and a limit that the system does not grant
def test_idle_clients_may_fill_the_descriptors_while_discovery_is_down(fleet, told):
    fleet.limits = {"sockets": told}
    process = fleet.start(0, 1, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (128, 128)))
    assert fleet.run(20, process.look)
    fleet.board.refuse()
    idle = [socket.create_connection(("127.0.0.1", process.port)) for _ in range(200)]
    crowd = fleet.crowd(process, 20, 1)
    fleet.run(1)
    more = [socket.create_connection(("127.0.0.1", process.port)) for _ in range(200)]
    fleet.board.resume()
    (drained,) = fleet.members("s-00000001", phase="Terminating")
    fleet.observer.drained(
        "s-00000001", fleet.board.publish(pool={"revision": 2, "complete": False, "members": [drained]}) + 1.0
    )  # to be found again by then
    fleet.run(3)
    crowd.settle(5)
    assert fleet.observer.asks["s-00000001"] and not fleet.observer.broken, fleet.observer.told
    assert crowd.ends["served"] > 40 and crowd.ends["served"] >= 0.95 * sum(crowd.ends.values())
    stat = Path(f"/proc/{process.process.pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
    assert cpu < 0.5 * (time.monotonic() - process.began)  # it does not spin
    for sock in (*idle, *more):
        sock.close()


# Signals at the start ---------------------------------------------------------------------------------


def held_start(fleet, words):
    """A start that waits for its configuration, on a pipe; what opens the other end finds it reading."""
    path = fleet.folder / "pipe.json"
    os.mkfifo(path)
    text = json.dumps(
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
        process = subprocess.Popen(words, cwd=ROOT, stderr=out, env={**os.environ, "EDGE_CONFIG": str(path)})
    made = Process.__new__(Process)
    made.process, made.log, made.began, made.took = process, log, time.monotonic(), None
    fleet.made.append(made)
    return made, path, text


def say(made, path, text, first=lambda: None):
    """Write `text` to the named pipe at `path` as soon as the program has opened the pipe for reading.

    `first` is called between that moment and the write. Each text has a pipe of its own: before the write, a
    new pipe replaces the opened one at `path`. The program can open the new pipe only for its next reading,
    so the next call waits until this reading has ended, and no reading can contain two texts.
    """
    end = time.monotonic() + 20
    while True:
        try:
            pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            break
        except OSError:  # nobody reads yet
            assert made.process.poll() is None and time.monotonic() < end, made.log.read_text()
            time.sleep(0.002)
    fresh = path.with_suffix(".next")
    os.mkfifo(fresh)
    fresh.replace(path)
    first()
    os.write(pipe, text.encode())
    os.close(pipe)


def test_a_new_configuration_told_during_the_start_is_read_and_a_stop_with_it_is_kept(fleet):
    made, path, text = held_start(fleet, [sys.executable, "-m", "olivecourse"])
    say(made, path, text, lambda: made.process.send_signal(signal.SIGHUP))  # it has begun to use the old file
    moved = Board(fleet.world)
    say(made, path, text.replace(fleet.board.address, moved.address))
    assert fleet.run(20, lambda: '"moved": ["board"]' in made.log.read_text()), made.log.read_text()
    assert fleet.run(20, lambda: moved._connections)
    made.process.send_signal(signal.SIGSTOP)
    made.process.send_signal(signal.SIGHUP)
    made.process.send_signal(signal.SIGTERM)
    made.process.send_signal(signal.SIGCONT)
    say(made, path, text)
    assert made.process.wait(20) == 0
    said = [json.loads(line)["event"] for line in made.log.read_text().splitlines()]
    assert said.count("reloaded") == 2 and said[-1] == "stopped"


def test_a_hang_up_before_the_program_can_heed_it_does_not_end_it(fleet):
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    run = run.replace("PYTHONPATH=.native .venv/bin/python -P", sys.executable)
    made, path, text = held_start(fleet, ["/bin/sh", "-c", run])
    shown = Path(f"/proc/{made.process.pid}/cmdline")
    while b"olivecourse\0" not in shown.read_bytes().replace(b"-m\0", b"") or b"-c\0" in shown.read_bytes():
        assert made.process.poll() is None
    made.process.send_signal(signal.SIGHUP)  # the interpreter has just begun
    say(made, path, text)
    assert fleet.run(20, made.look), made.log.read_text()
