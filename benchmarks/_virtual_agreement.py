"""Simulates the rollout agreement of a fleet of any size, in virtual time and without I/O.

It measures the load of a node of each role: coordinator, other voting member, node that does not vote.

Every node runs the program's own `Member`, `Agent` and `DatagramCodec`; messages are encoded and signed as on
the network. Left out entirely: sockets, the disk, and `RolloutComponent`, which connects them to the gateway
(`store_scan_cpu_ms` measures its scan of the list of stores separately).

All voting members and a sample of the other nodes run a tick every 20 ms, as in the program. The remaining
nodes run only when a datagram or a heartbeat is due, and between `poll_all(True)` and `poll_all(False)` also
every 240 ms, the interval at which a node that does not vote asks the members for their state
(`QuorumRegisters._request_recovery`). Therefore the loads of members are complete only while all nodes poll.
The loads of the sample are always complete, because these polls are not answered.
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
from olivecourse.rollout import disruption_leases, releases
from olivecourse.rollout.agent import Agent, Stage
from olivecourse.rollout.budgets import Budget, Group
from olivecourse.rollout.disruption_leases import LeasePurpose, LeaseTable
from olivecourse.rollout.liveness import Heartbeat, Service
from olivecourse.rollout.member import Member, Setup
from olivecourse.rollout.quorum_register import (
    RESEND_INTERVAL_NS,
    AcceptorState,
    Ballot,
    Learn,
    RecoveryRequest,
)
from olivecourse.rollout.wire import DatagramCodec, Keys

MS, S = 1_000_000, 1_000_000_000
TICK_NS = 20 * MS  # interval of the nodes' ticks, as in rollout/component.py
EPOCH_NS = 1_700_000_000 * S
MAX_DELIVERY_NS = 15 * MS  # longest simulated delivery time of a datagram
POLL_NS = (
    4 * RESEND_INTERVAL_NS
)  # interval at which a node without a vote polls members, see `QuorumRegisters._request_recovery`
SAMPLE = 12  # number of nodes without a vote that run every tick and are measured
SITE_GATEWAYS = 16  # gateways of a site: 7,500 at 470 sites
STORES, FIRST_STORE, ZONE_STORES = "stores:zone", 100_000, 24  # a zone's group: 1,100 stores in 46 zones
VERSION, LIFE = "v1", 1
CHECK_INTERVAL_NS = 100 * MS  # how often `spread` checks which nodes know the change
MAX_PERIODS = 4  # `spread` waits so many heartbeat periods until all nodes know the change


@dataclass
class Meter:
    """Processor time and datagrams of one node since its measurement began."""

    cpu_ns: int = 0
    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    recalls: int = 0  # received datagrams that are polls by nodes without a vote


@dataclass
class Node:
    """One simulated gateway; `inbox` holds the datagrams delivered to it since its last tick."""

    number: int
    member: Member
    agent: Agent
    wire: DatagramCodec
    meter: Meter = field(default_factory=Meter)
    inbox: list[bytes] = field(default_factory=list)


@dataclass(frozen=True)
class Load:
    """The load per second of one node, the mean of a role: datagrams, KB and ms of processor time.

    `recalls_in` counts the received datagrams that are polls by nodes that do not vote.
    """

    datagrams_out: float
    datagrams_in: float
    kb_out: float
    kb_in: float
    cpu_ms: float
    recalls_in: float


@dataclass(frozen=True)
class Spread:
    """The propagation of one change (the drain of a store) through the fleet.

    `granted_s` is the time from the request to the decision of the voting members' majority. The other times
    are from the decision until nodes know it; `max_s` is None if some node does not within four heartbeat
    periods.
    `datagrams` counts those that all nodes sent, `member_datagrams` those that a voting member sent on
    average.
    """

    granted_s: float
    median_s: float
    p99_s: float
    max_s: float | None
    datagrams: int
    member_datagrams: float


class Fleet:
    """A simulated fleet of `nodes` gateways, of which the first `members` vote.

    `registers` is the number of groups (sites) whose lease tables every node knows from the start.
    """

    def __init__(self, nodes: int, members: int, seed: int, registers: int = 0) -> None:
        self.random = Random(seed)
        self.now = EPOCH_NS
        self.numbers, self.voters = tuple(range(nodes)), tuple(range(members))
        self.sample = self.random.sample(range(members, nodes), min(SAMPLE, nodes - members))
        self.ticked_nodes = (*self.voters, *self.sample)
        self._in_flight: list[tuple[int, int, int, bytes]] = []
        self._datagram_count = 0
        self._keys = Keys({1: bytes(32)}, 1)
        self._offices = {
            node_number: f"gateways:{node_number // SITE_GATEWAYS}" for node_number in self.numbers
        }
        self._capacities = dict.fromkeys(self.numbers, 1.0)
        self._learned = {
            f"gateways:{site}": disruption_leases.encode(LeaseTable(2, 1)) for site in range(registers)
        }
        self.period_ns = 0
        self._heartbeats_due: list[tuple[int, int]] = []
        self._polls: list[tuple[int, int]] = []
        self.nodes = [self._node(number) for number in self.numbers]
        heapq.heapify(self._heartbeats_due)

    def _node(self, number: int) -> Node:
        setup = Setup(number, self.numbers, self.voters, self._offices, self._capacities, Budget(2, 0.5))
        ballot = Ballot(1, 0)
        votes = number in self.voters
        acceptor_states = (
            {key: AcceptorState(ballot, ballot, value) for key, value in self._learned.items()}
            if votes
            else {}
        )
        random = Random(self.random.getrandbits(32))
        period_ns = Member(setup, LIFE, VERSION, {}, random, self.now).liveness.period_ns if not number else 0
        self.period_ns = self.period_ns or period_ns
        # Nodes without a vote start at random times within a heartbeat period. Voting members start now,
        # because the first of them must be the coordinator.
        started_at = self.now if votes else self.now + int(self.random.random() * self.period_ns)
        member = Member(setup, LIFE, VERSION, acceptor_states, random, started_at)
        for key, value in self._learned.items():
            member.register.learn(Learn(key, ballot, value))
        member.service = Service.SERVES
        stores = dict.fromkeys(range(FIRST_STORE, FIRST_STORE + ZONE_STORES), 1.0)
        member.observed_stores.groups[STORES] = Group(STORES, stores, Budget(2, 0.5))
        agent = Agent(number, self._offices[number], self.numbers, member, random, _ignore, _ignore, self.now)
        if number not in self.ticked_nodes:
            self._heartbeats_due.append((started_at, number))
        return Node(number, member, agent, DatagramCodec(number, LIFE, self._keys))

    # Time -------------------------------------------------------------------------------------------

    def turn(self) -> None:
        """Advances the virtual time by one tick of 20 ms and runs the tick of each node that is due."""
        self.now += TICK_NS
        due_nodes = set(self.ticked_nodes)
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, target, data = heapq.heappop(self._in_flight)
            self.nodes[target].inbox.append(data)
            due_nodes.add(target)
        while self._heartbeats_due and self._heartbeats_due[0][0] <= self.now:
            _, number = heapq.heapreplace(
                self._heartbeats_due, (self.now + self.period_ns, self._heartbeats_due[0][1])
            )
            due_nodes.add(number)
        while self._polls and self._polls[0][0] <= self.now:
            _, number = heapq.heapreplace(self._polls, (self._polls[0][0] + POLL_NS, self._polls[0][1]))
            due_nodes.add(number)
        for number in sorted(due_nodes):
            self._run_tick(self.nodes[number])

    def run(self, seconds: float) -> None:
        """Advances the virtual time by `seconds`, tick by tick."""
        end = self.now + int(seconds * S)
        while self.now < end:
            self.turn()

    def poll_all(self, enabled: bool) -> None:
        """Sets whether the nodes that do not run every tick run every POLL_NS, with random phases.

        That is the interval at which a node without a vote may poll the members.
        """
        other_nodes = set(self.numbers).difference(self.ticked_nodes) if enabled else set()
        self._polls = [(self.now + int(self.random.random() * POLL_NS), number) for number in other_nodes]
        heapq.heapify(self._polls)

    def _run_tick(self, node: Node) -> None:
        """Runs one tick of a node as the program does; adds its processor time and datagrams to `meter`."""
        meter, inbox = node.meter, node.inbox
        node.inbox = []
        meter.received += len(inbox)
        meter.received_bytes += sum(map(len, inbox))
        outgoing: list[tuple[int, bytes]] = []
        started_at = time.process_time_ns()
        for data in inbox:
            sender, message = node.wire.decode(data)
            meter.recalls += isinstance(message, RecoveryRequest)
            node.member.receive(sender, message, self.now)
        node.member.tick(self.now)
        self._flush(node, outgoing)
        node.agent.tick(self.now)
        self._flush(node, outgoing)
        meter.cpu_ns += time.process_time_ns() - started_at
        meter.sent += len(outgoing)
        meter.sent_bytes += sum(len(data) for _, data in outgoing)
        for target, data in outgoing:
            self._datagram_count += 1
            deliver_at = self.now + int(self.random.random() * MAX_DELIVERY_NS)
            heapq.heappush(self._in_flight, (deliver_at, self._datagram_count, target, data))

    def _flush(self, node: Node, outgoing: list[tuple[int, bytes]]) -> None:
        step = node.member.take_step()
        outgoing += [(target, node.wire.encode(target, message)) for target, message in step.sends]
        for handle, answer in step.done:
            node.agent.handle_answer(handle, answer, self.now)

    # Measurements -----------------------------------------------------------------------------------

    def loads(self, seconds: float) -> dict[str, Load]:
        """Measures the load of each role over `seconds` of virtual time.

        Returns it by role: "coordinator" (the first voting member), "member" (the other voting members) and
        "ordinary" (the sample of nodes without a vote).
        """
        for node in self.nodes:
            node.meter = Meter()
        started_at = self.now
        gc.collect()
        gc.disable()  # one collection traverses all nodes' objects, but would be charged to one node
        try:
            self.run(seconds)
        finally:
            gc.enable()
        span = (self.now - started_at) / S
        roles = {"coordinator": self.voters[:1], "member": self.voters[1:], "ordinary": self.sample}
        return {role: self._load(numbers, span) for role, numbers in roles.items()}

    def _load(self, numbers: Any, span: float) -> Load:
        meters = [self.nodes[node_number].meter for node_number in numbers]
        each = span * len(meters)
        return Load(
            sum(node_meter.sent for node_meter in meters) / each,
            sum(node_meter.received for node_meter in meters) / each,
            sum(node_meter.sent_bytes for node_meter in meters) / each / 1e3,
            sum(node_meter.received_bytes for node_meter in meters) / each / 1e3,
            sum(node_meter.cpu_ns for node_meter in meters) / each / 1e6,
            sum(node_meter.recalls for node_meter in meters) / each,
        )

    def spread(self) -> Spread:
        """Drains a store through a node without a vote, and runs until every node knows that it is drained.

        Raises RuntimeError if the voting members do not grant the drain within 5 s of virtual time.
        """
        for node in self.nodes:
            node.meter = Meter()
        requester = self.nodes[self.sample[0]]
        started_at = self.now
        work = requester.agent.request_lease(STORES, FIRST_STORE, LeasePurpose.DRAIN, self.now)
        while work.stage is not Stage.OUT and self.now - started_at < 5 * S:
            self.turn()
        if work.stage is not Stage.OUT:
            raise RuntimeError(f"not granted within 5 s: {work}")
        granted, known_after_ns = self.now, list[int]()
        ballot = self._newest_ballot()
        unaware = set(self.numbers)
        while unaware and self.now - granted < MAX_PERIODS * self.period_ns:
            newly_aware = {
                node_number
                for node_number in unaware
                if (self.nodes[node_number].member.register.learned.get(STORES) or (Ballot(),))[0] >= ballot
            }
            known_after_ns += [self.now - granted] * len(newly_aware)
            unaware -= newly_aware
            end = self.now + CHECK_INTERVAL_NS
            while unaware and self.now < end:
                self.turn()
        sent = [node.meter.sent for node in self.nodes]
        return Spread(
            (granted - started_at) / S,
            _share(known_after_ns, 0.5),
            _share(known_after_ns, 0.99),
            None if unaware else max(known_after_ns) / S,
            sum(sent),
            sum(sent[voter] for voter in self.voters) / len(self.voters),
        )

    def _newest_ballot(self) -> Ballot:
        return max(
            self.nodes[voter].member.register.learned[STORES][0]
            for voter in self.voters
            if STORES in self.nodes[voter].member.register.learned
        )

    def state_kb(self, number: int) -> float:
        """Returns the memory in KB of a node's member, agent and wire with all objects that they refer to.

        Each object counts once, by sys.getsizeof. Objects that simulated nodes share count for every node,
        because real processes do not share them.
        """
        node = self.nodes[number]
        return deep_bytes((node.member, node.agent, node.wire)) / 1e3

    def hear_all(self, number: int) -> None:
        """Delivers one heartbeat of every other node to the node `number`.

        A node that has run for a long time has received them all, since each heartbeat goes to two random
        nodes.
        """
        node = self.nodes[number]
        for other in self.nodes:
            if other is not node:
                beat = Heartbeat(LIFE, Service.SERVES, VERSION, 10**9, 10**6, 0)
                sender, message = node.wire.decode(other.wire.encode(number, beat))
                node.member.receive(sender, message, self.now)
        node.member.take_step()


def _ignore(item: int) -> None:
    """Does nothing; the agent's callback for a store, since simulated stores need no action."""


def _share(values: list[int], share: float) -> float:
    return sorted(values)[min(int(len(values) * share), len(values) - 1)] / S if values else 0.0


SKIPPED = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType, types.CodeType)


def deep_bytes(root: Any) -> int:
    """Returns the size in bytes of all objects reachable from `root`, but no classes, modules, functions."""
    seen, stack, total = set[int](), [root], 0
    while stack:
        reached = stack.pop()
        if id(reached) in seen or isinstance(reached, SKIPPED):
            continue
        seen.add(id(reached))
        total += sys.getsizeof(reached)
        stack += gc.get_referents(reached)
    return total


# Single calls whose cost grows with the fleet ---------------------------------------------------------


def _cpu_ms(call: Any, min_ns: int = 20 * MS) -> float:
    """Returns the mean processor time of a call in ms, over as many calls as take `min_ns` together."""
    count, started_at = 0, time.process_time_ns()
    while (spent := time.process_time_ns() - started_at) < min_ns or not count:
        call()
        count += 1
    return spent / count / 1e6


def _release() -> releases.Release:
    plan = releases.Plan("v2", VERSION, (10, 50, 100))
    return releases.Release(2, releases.State.RUNNING, 0, 0, EPOCH_NS // S, "", plan)


def release_tick_cpu_ms(nodes: int) -> float:
    """Returns the mean processor time in ms of one `releases.should_request_lease`, for a fleet of `nodes`.

    A gateway that waits for its wave of a release calls it every 20 ms.
    """
    release, fleet = _release(), tuple(range(nodes))
    return _cpu_ms(lambda: releases.should_request_lease(release, fleet, nodes // 2, VERSION))


def release_steer_cpu_ms(nodes: int) -> float:
    """Returns the mean processor time of one call of `releases.wave_complete` for a fleet of `nodes`, in ms.

    The coordinator of a release calls it every 250 ms to see whether the current wave is complete. Here it is
    (every gateway runs the new version and is warm), so that the call looks at all gateways of the wave.
    """
    release, fleet = _release(), tuple(range(nodes))
    seen = dict.fromkeys(fleet, releases.GatewayStatus("v2", True))
    return _cpu_ms(lambda: releases.wave_complete(release, fleet, seen))


def checksum_cpu_ms(registers: int) -> float:
    """Returns the mean processor time in ms of one call of `Member._checksum` with `registers` lease tables.

    A node calls it for every heartbeat that it receives.
    """
    setup = Setup(0, (0, 1), (0,), {0: "gateways:0", 1: "gateways:0"}, {0: 1.0, 1: 1.0}, Budget())
    member = Member(setup, LIFE, VERSION, {}, Random(1), EPOCH_NS)
    for number in range(registers):
        member.register.learn(
            Learn(f"gateways:{number}", Ballot(1, 0), disruption_leases.encode(LeaseTable(2, 1)))
        )
    return _cpu_ms(member._checksum)


def store_scan_cpu_ms(stores: int) -> float:
    """Returns the mean processor time in ms of one call of `RolloutComponent._refresh_stores`.

    Every gateway calls it every 100 ms for its list of stores; here there are `stores` in 46 zones.
    """
    from olivecourse.rollout.component import RolloutComponent

    ready, names = (
        interface.State.READY,
        {number: f"10.0.{number // 256}.{number % 256}:8000" for number in range(stores)},
    )
    members = {
        f"{number}": interface.Member(number, 8.0, 1, number % 46, ready, 0, 0) for number in range(stores)
    }
    budget = types.SimpleNamespace(budget=Budget)
    directory = types.SimpleNamespace(members=members, names=names, manually_drained=set())
    settings = interface.Settings(parent_kind=1, origin_kind=2, cold_ns=15 * S, parent_cold_ns=18 * S)
    gateway = types.SimpleNamespace(
        directory=directory,
        avoided=set,
        config=types.SimpleNamespace(settings=settings, zones=[f"zone-{number}" for number in range(46)]),
    )
    component: Any = types.SimpleNamespace(
        gateway=gateway,
        member=types.SimpleNamespace(observed_stores=types.SimpleNamespace()),
        _leased_out_stores=set(),
        config=types.SimpleNamespace(
            section=types.SimpleNamespace(budgets=types.SimpleNamespace(hubs=budget, stores=budget))
        ),
    )
    return _cpu_ms(lambda: RolloutComponent._refresh_stores(component, EPOCH_NS))
