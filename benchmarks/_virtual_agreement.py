"""The agreement over a fleet of any size, in virtual time and without I/O: what each role bears.

Every node runs the program's own `Member`, `Agent` and `Wire`, with messages coded and signed as on the wire.
Left out whole: sockets, the disk, and `RolloutPart`, which ties them to the gateway (`store_scan_cpu_ms`
measures its look at the list of stores by itself). All members and a sample of the other nodes are called
every 20 ms, as in the program. The rest are called when a datagram or a beat is due, and between
`poll_all(True)` and `poll_all(False)` every 240 ms as well, which is when a node that does not vote asks the
members for what they hold (`Register._rejoin`). So loads of members are whole only while all poll; those of
the sample always are, as nobody answers these polls.
"""

from __future__ import annotations

import gc
import heapq
import sys
import time
import types
from dataclasses import dataclass, field
from random import Random
from typing import Any

from olivecourse import interface
from olivecourse.rollout import places, releases
from olivecourse.rollout.agent import Agent, Stage
from olivecourse.rollout.budgets import Budget, Group
from olivecourse.rollout.hearing import Beat, Service
from olivecourse.rollout.member import Member, Setup
from olivecourse.rollout.places import Table, Why
from olivecourse.rollout.register import AGAIN_NS, Ballot, Learn, Recall, Slot
from olivecourse.rollout.wire import Keys, Wire

MS, S = 1_000_000, 1_000_000_000
TICK_NS = 20 * MS  # as in rollout/part.py
EPOCH_NS = 1_700_000_000 * S
SLOWEST_NS = 15 * MS  # of a datagram's way
POLL_NS = 4 * AGAIN_NS  # between two polls of a node that does not vote: `Register._rejoin`
SAMPLE = 12  # ordinary nodes that are called every tick and measured
SITE_GATEWAYS = 16  # 7,500 gateways at 470 sites
STORES, FIRST_STORE, ZONE_STORES = "stores:zone", 100_000, 24  # 1,100 stores in 46 zones
VERSION, LIFE = "v1", 1
LOOK_NS = 100 * MS  # between two looks at who knows a change
MOST_PERIODS = 4  # of beats that a change is waited for


@dataclass
class Meter:
    """Counted at one node since the last reset."""

    cpu_ns: int = 0
    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    recalls: int = 0  # of the received


@dataclass
class Node:
    """One gateway of the fleet."""

    number: int
    member: Member
    agent: Agent
    wire: Wire
    meter: Meter = field(default_factory=Meter)
    inbox: list[bytes] = field(default_factory=list)


@dataclass(frozen=True)
class Load:
    """What one node of a role bears, a second: datagrams and KB each way, milliseconds of processor time;
    `recalls_in` of the datagrams are polls by nodes that do not vote."""

    datagrams_out: float
    datagrams_in: float
    kb_out: float
    kb_in: float
    cpu_ms: float
    recalls_in: float


@dataclass(frozen=True)
class Spread:
    """How a change came to be known: seconds from the ask to the majority's yes, and from there until nodes
    knew it (None: not all of them within four periods); datagrams of all nodes and KB of all members."""

    granted_s: float
    median_s: float
    p99_s: float
    max_s: float | None
    datagrams: int
    member_datagrams: float


class Fleet:
    """`registers`: tables of groups that have been used before, known everywhere."""

    def __init__(self, nodes: int, members: int, seed: int, registers: int = 0) -> None:
        self.random = Random(seed)
        self.now = EPOCH_NS
        self.numbers, self.voters = tuple(range(nodes)), tuple(range(members))
        self.sample = self.random.sample(range(members, nodes), min(SAMPLE, nodes - members))
        self.always = (*self.voters, *self.sample)
        self._flying: list[tuple[int, int, int, bytes]] = []
        self._count = 0
        self._keys = Keys({1: bytes(32)}, 1)
        self._offices = {n: f"gateways:{n // SITE_GATEWAYS}" for n in self.numbers}
        self._capacities = dict.fromkeys(self.numbers, 1.0)
        self._learned = {f"gateways:{n}": places.encode(Table(2, 1)) for n in range(registers)}
        self.period_ns = 0
        self._due: list[tuple[int, int]] = []
        self._polls: list[tuple[int, int]] = []
        self.nodes = [self._node(number) for number in self.numbers]
        heapq.heapify(self._due)

    def _node(self, number: int) -> Node:
        setup = Setup(number, self.numbers, self.voters, self._offices, self._capacities, Budget(2, 0.5))
        ballot = Ballot(1, 0)
        votes = number in self.voters
        slots = {key: Slot(ballot, ballot, value) for key, value in self._learned.items()} if votes else {}
        random = Random(self.random.getrandbits(32))
        period_ns = Member(setup, LIFE, VERSION, {}, random, self.now).hearing.period_ns if not number else 0
        self.period_ns = self.period_ns or period_ns
        # Nodes have started at any time. Members are called from now on, as the first of them steers.
        began = self.now if votes else self.now + int(self.random.random() * self.period_ns)
        member = Member(setup, LIFE, VERSION, slots, random, began)
        for key, value in self._learned.items():
            member.register.learn(Learn(key, ballot, value))
        member.service = Service.SERVES
        stores = dict.fromkeys(range(FIRST_STORE, FIRST_STORE + ZONE_STORES), 1.0)
        member.world.groups[STORES] = Group(STORES, stores, Budget(2, 0.5))
        agent = Agent(
            number, self._offices[number], self.numbers, member, random, _nothing, _nothing, self.now
        )
        if number not in self.always:
            self._due.append((began, number))
        return Node(number, member, agent, Wire(number, LIFE, self._keys))

    # Time -------------------------------------------------------------------------------------------

    def turn(self) -> None:
        """20 ms."""
        self.now += TICK_NS
        awake = set(self.always)
        while self._flying and self._flying[0][0] <= self.now:
            _, _, target, data = heapq.heappop(self._flying)
            self.nodes[target].inbox.append(data)
            awake.add(target)
        while self._due and self._due[0][0] <= self.now:
            _, number = heapq.heapreplace(self._due, (self.now + self.period_ns, self._due[0][1]))
            awake.add(number)
        while self._polls and self._polls[0][0] <= self.now:
            _, number = heapq.heapreplace(self._polls, (self._polls[0][0] + POLL_NS, self._polls[0][1]))
            awake.add(number)
        for number in sorted(awake):
            self._call(self.nodes[number])

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * S)
        while self.now < end:
            self.turn()

    def poll_all(self, on: bool) -> None:
        """Whether all nodes are called as often as they might poll the members, each at its own time."""
        resting = set(self.numbers).difference(self.always) if on else set()
        self._polls = [(self.now + int(self.random.random() * POLL_NS), number) for number in resting]
        heapq.heapify(self._polls)

    def _call(self, node: Node) -> None:
        """What a tick of the program does, between two looks at the processor's clock."""
        meter, inbox = node.meter, node.inbox
        node.inbox = []
        meter.received += len(inbox)
        meter.received_bytes += sum(map(len, inbox))
        out: list[tuple[int, bytes]] = []
        began = time.process_time_ns()
        for data in inbox:
            sender, message = node.wire.decode(data)
            meter.recalls += isinstance(message, Recall)
            node.member.heard(sender, message, self.now)
        node.member.tick(self.now)
        self._flush(node, out)
        node.agent.tick(self.now)
        self._flush(node, out)
        meter.cpu_ns += time.process_time_ns() - began
        meter.sent += len(out)
        meter.sent_bytes += sum(len(data) for _, data in out)
        for target, data in out:
            self._count += 1
            at = self.now + int(self.random.random() * SLOWEST_NS)
            heapq.heappush(self._flying, (at, self._count, target, data))

    def _flush(self, node: Node, out: list[tuple[int, bytes]]) -> None:
        step = node.member.taken()
        out += [(target, node.wire.encode(target, message)) for target, message in step.sends]
        for handle, answer in step.done:
            node.agent.told(handle, answer, self.now)

    # Measurements -----------------------------------------------------------------------------------

    def loads(self, seconds: float) -> dict[str, Load]:
        """What each role bears while so much time goes by. The coordinator is the first member heard."""
        for node in self.nodes:
            node.meter = Meter()
        began = self.now
        gc.collect()
        gc.disable()  # a collection here goes over all nodes' objects, and would be put down to one of them
        try:
            self.run(seconds)
        finally:
            gc.enable()
        span = (self.now - began) / S
        roles = {"coordinator": self.voters[:1], "member": self.voters[1:], "ordinary": self.sample}
        return {role: self._load(numbers, span) for role, numbers in roles.items()}

    def _load(self, numbers: Any, span: float) -> Load:
        meters = [self.nodes[n].meter for n in numbers]
        each = span * len(meters)
        return Load(
            sum(m.sent for m in meters) / each,
            sum(m.received for m in meters) / each,
            sum(m.sent_bytes for m in meters) / each / 1e3,
            sum(m.received_bytes for m in meters) / each / 1e3,
            sum(m.cpu_ns for m in meters) / each / 1e6,
            sum(m.recalls for m in meters) / each,
        )

    def spread(self) -> Spread:
        """A store is drained at a node that does not vote; until every node knows it to be out."""
        for node in self.nodes:
            node.meter = Meter()
        asker = self.nodes[self.sample[0]]
        began = self.now
        work = asker.agent.want(STORES, FIRST_STORE, Why.DRAIN, self.now)
        while work.stage is not Stage.OUT and self.now - began < 5 * S:
            self.turn()
        if work.stage is not Stage.OUT:
            raise RuntimeError(f"not granted within 5 s: {work}")
        granted, known = self.now, list[int]()
        ballot = self._newest()
        left = set(self.numbers)
        while left and self.now - granted < MOST_PERIODS * self.period_ns:
            knows = {
                n
                for n in left
                if (self.nodes[n].member.register.learned.get(STORES) or (Ballot(),))[0] >= ballot
            }
            known += [self.now - granted] * len(knows)
            left -= knows
            end = self.now + LOOK_NS
            while left and self.now < end:
                self.turn()
        sent = [node.meter.sent for node in self.nodes]
        return Spread(
            (granted - began) / S,
            _share(known, 0.5),
            _share(known, 0.99),
            None if left else max(known) / S,
            sum(sent),
            sum(sent[n] for n in self.voters) / len(self.voters),
        )

    def _newest(self) -> Ballot:
        return max(
            self.nodes[n].member.register.learned[STORES][0]
            for n in self.voters
            if STORES in self.nodes[n].member.register.learned
        )

    def state_kb(self, number: int) -> float:
        """Of a node's member, agent and wire with all they refer to, by sys.getsizeof of each object once;
        what the simulation shares between nodes is counted for each, as processes do not share it."""
        node = self.nodes[number]
        return deep_bytes((node.member, node.agent, node.wire)) / 1e3

    def hear_all(self, number: int) -> None:
        """One beat of every node at this one: as after a long life, as beats go to any two others."""
        node = self.nodes[number]
        for other in self.nodes:
            if other is not node:
                beat = Beat(LIFE, Service.SERVES, VERSION, 10**9, 10**6, 0)
                sender, message = node.wire.decode(other.wire.encode(number, beat))
                node.member.heard(sender, message, self.now)
        node.member.taken()


def _nothing(item: int) -> None:
    """Places are only counted here."""


def _share(values: list[int], share: float) -> float:
    return sorted(values)[min(int(len(values) * share), len(values) - 1)] / S if values else 0.0


SKIPPED = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType, types.CodeType)


def deep_bytes(root: Any) -> int:
    """The sizes of all objects that can be reached, each once; classes, modules and functions aside."""
    seen, stack, total = set[int](), [root], 0
    while stack:
        found = stack.pop()
        if id(found) in seen or isinstance(found, SKIPPED):
            continue
        seen.add(id(found))
        total += sys.getsizeof(found)
        stack += gc.get_referents(found)
    return total


# Single calls whose cost grows with the fleet ---------------------------------------------------------


def _cpu_ms(call: Any, least_ns: int = 20 * MS) -> float:
    """Processor time of one call, over as many as take a while."""
    count, began = 0, time.process_time_ns()
    while (spent := time.process_time_ns() - began) < least_ns or not count:
        call()
        count += 1
    return spent / count / 1e6


def _release() -> releases.Release:
    plan = releases.Plan("v2", VERSION, (10, 50, 100))
    return releases.Release(2, releases.State.RUNNING, 0, 0, EPOCH_NS // S, "", plan)


def release_tick_cpu_ms(nodes: int) -> float:
    """At every gateway, every 20 ms while a release runs and it waits for its wave: `releases.may_go`."""
    release, fleet = _release(), tuple(range(nodes))
    return _cpu_ms(lambda: releases.may_go(release, fleet, nodes // 2, VERSION))


def release_steer_cpu_ms(nodes: int) -> float:
    """At the coordinator, every 250 ms while a wave soaks: `releases.through`, with all of the wave there."""
    release, fleet = _release(), tuple(range(nodes))
    seen = dict.fromkeys(fleet, releases.Seen("v2", True))
    return _cpu_ms(lambda: releases.through(release, fleet, seen))


def checksum_cpu_ms(registers: int) -> float:
    """At every beat that is heard: `Member._checksum` over all registers known."""
    setup = Setup(0, (0, 1), (0,), {0: "gateways:0", 1: "gateways:0"}, {0: 1.0, 1: 1.0}, Budget())
    member = Member(setup, LIFE, VERSION, {}, Random(1), EPOCH_NS)
    for number in range(registers):
        member.register.learn(Learn(f"gateways:{number}", Ballot(1, 0), places.encode(Table(2, 1))))
    return _cpu_ms(member._checksum)


def store_scan_cpu_ms(stores: int) -> float:
    """At every gateway, every 100 ms: `RolloutPart._see_stores`, with the list of all stores in 46 zones."""
    from olivecourse.rollout.part import RolloutPart

    ready, names = interface.State.READY, {n: f"10.0.{n // 256}.{n % 256}:8000" for n in range(stores)}
    members = {f"{n}": interface.Member(n, 8.0, 1, n % 46, ready, 0, 0) for n in range(stores)}
    budget = types.SimpleNamespace(budget=Budget)
    directory = types.SimpleNamespace(members=members, names=names, manually_drained=set())
    settings = interface.Settings(parent_kind=1, origin_kind=2, cold_ns=15 * S, parent_cold_ns=18 * S)
    host = types.SimpleNamespace(
        directory=directory,
        avoided=set,
        config=types.SimpleNamespace(settings=settings, zones=[f"zone-{n}" for n in range(46)]),
    )
    part: Any = types.SimpleNamespace(
        host=host,
        member=types.SimpleNamespace(world=types.SimpleNamespace()),
        _left=set(),
        config=types.SimpleNamespace(
            section=types.SimpleNamespace(budgets=types.SimpleNamespace(hubs=budget, stores=budget))
        ),
    )
    return _cpu_ms(lambda: RolloutPart._see_stores(part, EPOCH_NS))
