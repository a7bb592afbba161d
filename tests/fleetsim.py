"""Simulates a fleet of gateways that agree on leases and releases, on a virtual network with one clock and
one seed.

The simulation also counts how many stores are really out of service, independently of what the gateways'
agreement state says.
"""

from dataclasses import dataclass, field
from random import Random

from olivecourse.rollout import releases
from olivecourse.rollout.agent import Agent
from olivecourse.rollout.budgets import Budget, Group
from olivecourse.rollout.liveness import Service
from olivecourse.rollout.member import Member, Setup
from olivecourse.rollout.wire import DatagramCodec, Keys

MS, S = 1_000_000, 1_000_000_000
STORES, GATEWAYS = "stores:praia", "gateways:praia"
TICK = 20 * MS


class NoGate:
    """Release gate that never halts."""

    def update(self, new, old):
        return ""


@dataclass
class Node:
    """One gateway. Its `disk` survives a restart of its process; `up` is false after a kill, and `stopped` is
    true while the process is suspended. `skew` is the offset of its clock and `warm_at` the time until which
    it is cold, both in nanoseconds."""

    number: int
    disk: dict = field(default_factory=dict)
    version: str = "v1"
    up: bool = True
    stopped: bool = False
    incarnation: int = 1
    warm_at: int = 0
    inbox: list = field(default_factory=list)
    out: set = field(default_factory=set)  # stores that get no requests from it because of a lease
    drains: bool = False
    skew: int = 0
    member: Member = None
    agent: Agent = None
    wire: DatagramCodec = None
    answers: dict = field(default_factory=dict)


class Fleet:
    """All gateways, the network and the stores. `loss` and `twice` are the probabilities that a datagram is
    lost or duplicated, `slow` is the longest delay of a datagram in nanoseconds, and `cut(a, b)` says whether
    datagrams from gateway a to gateway b are dropped. Stores are numbered from 100. `over` counts the ticks
    at whose end more stores were out of service than the budget allows, and `most_out` is the largest number
    seen."""

    def __init__(
        self,
        seed,
        nodes=5,
        members=3,
        stores=4,
        budget=2,
        loss=0.0,
        twice=0.0,
        slow_ms=15,
        gates=None,
        skip_activation=False,
        disks=True,
        fences=True,
    ):
        self.random = Random(seed)
        self.now = 1_700_000_000 * S
        self.loss, self.twice, self.slow = loss, twice, slow_ms * MS
        self.cut = lambda a, b: False
        self.flying = []
        self.count = 0
        self.sent = self.bytes = 0
        self.store_state = {100 + n: "in" for n in range(stores)}
        self.store_warm_at = dict.fromkeys(self.store_state, 0)
        self.budget, self.skip_activation = budget, skip_activation
        self.keys = Keys({1: bytes(32)}, 1)
        self.fleet, self.members = tuple(range(nodes)), tuple(range(members))
        self.gates, self.disks, self.fences = gates, disks, fences
        self.over, self.most_out, self.reached = 0, 0, set()
        self.nodes = [Node(n) for n in self.fleet]
        for node in self.nodes:
            self.boot(node, fresh=True)

    def boot(self, node, fresh=False, lost_disk=False, version=None, old_disk=False):
        """Starts the process of a gateway from its disk. With `fresh` set it is warm at once; with
        `lost_disk` set its disk is emptied; after `lost_disk` or `old_disk` it does not vote until it has
        recovered."""
        node.incarnation += 1
        node.up, node.stopped, node.drains = True, False, False
        node.version = version or node.version
        node.inbox, node.answers = [], {}
        if lost_disk:
            node.disk = {}
        node.warm_at = self.now if fresh else self.now + 600 * MS
        budget = Budget(1, 0.5) if len(self.fleet) < 6 else Budget(2, 0.5)
        setup = Setup(
            node.number,
            self.fleet,
            self.members,
            dict.fromkeys(self.fleet, GATEWAYS),
            dict.fromkeys(self.fleet, 1.0),
            budget,
            self.gates,
            self.fences,
        )
        random = Random(self.random.getrandbits(32))
        node.member = Member(
            setup,
            node.incarnation,
            node.version,
            node.disk,
            random,
            self.clock(node),
            votes=fresh or not (lost_disk or old_disk),
        )
        node.agent = Agent(
            node.number,
            GATEWAYS,
            self.fleet,
            node.member,
            random,
            lambda item: self.take_out(node, item),
            lambda item: self.bring_back(node, item),
            self.clock(node),
            self.skip_activation,
        )
        node.wire = DatagramCodec(node.number, node.incarnation, self.keys)

    def clock(self, node):
        """The time on the gateway's own clock, in nanoseconds."""
        return self.now + node.skew

    def kill(self, node):
        """Ends the process of a gateway at once, without a message to the others."""
        node.up = False
        node.out.clear()

    def take_out(self, node, item):
        if item == node.number:
            node.drains = True

    def bring_back(self, node, item):
        if item == node.number:
            node.drains = False

    # Stores and time --------------------------------------------------------------------------------

    def stores_out(self, node):
        """The number of stores out of service for the clients of gateway `node`: stores that are down or
        cold, and stores that get no requests from this gateway because of a lease."""
        return sum(
            state != "in" or self.store_warm_at[store] > self.now or store in node.out
            for store, state in self.store_state.items()
        )

    def gateway_out(self, node):
        """Whether gateway `node` is down, draining or cold."""
        return not node.up or node.drains or node.warm_at > self.now

    def _update_member(self, node):
        """Passes the state of the stores and of the gateway to the gateway's member, and applies the leases
        of stores in phase OUT."""
        capacity = dict.fromkeys(self.store_state, 1.0)
        node.member.observed_stores.groups[STORES] = Group(STORES, capacity, Budget(self.budget, 0.75))
        node.member.observed_stores.out[STORES] = {
            s for s in capacity if self.store_state[s] != "in" or self.store_warm_at[s] > self.now
        }
        node.member.service = (
            Service.DRAINS if node.drains else Service.COLD if node.warm_at > self.now else Service.SERVES
        )
        leased = {p.item for p in node.member.table(STORES).leases if p.phase == 1}
        node.out = leased

    def turn(self):
        """Advances the clock by TICK: delivers the datagrams that are due, runs every gateway, and samples
        the stores out of service."""
        self.now += TICK
        due = [f for f in self.flying if f[0] <= self.now]
        self.flying = [f for f in self.flying if f[0] > self.now]
        for _, _, target, data in sorted(due, key=lambda f: (f[0], f[1])):
            node = self.nodes[target]
            if node.up:
                node.inbox.append(data)
                del node.inbox[:-500]
        for node in self.nodes:
            if not node.up or node.stopped:
                continue
            now = self.clock(node)
            self._update_member(node)
            inbox, node.inbox = node.inbox, []
            for data in inbox:
                try:
                    sender, message = node.wire.decode(data)
                except ValueError:
                    continue
                node.member.receive(sender, message, now)
            node.member.tick(now)
            self.flush(node)
            node.agent.tick(now)
            self.flush(node)
            if node.agent.replaceable and self.replace:
                self.replace(node)
        self.observe()

    replace = None

    def flush(self, node):
        """Carries out the effects of a gateway's member: disk writes, messages and answers. Repeats this,
        since answers cause further operations."""
        for _ in range(4):
            step = node.member.take_step()
            if self.disks:
                node.disk.update(step.durable)
            for target, message in step.sends:
                self.send(node, target, message)
            for handle, answer in step.done:
                if not node.agent.handle_answer(handle, answer, self.clock(node)):
                    node.answers[handle] = answer

    def send(self, node, target, message):
        """Sends a datagram through the simulated network, which may lose, delay or duplicate it."""
        data = node.wire.encode(target, message)
        self.sent += 1
        self.bytes += len(data)
        for _ in range(1 + (self.random.random() < self.twice)):
            if self.random.random() < self.loss or self.cut(node.number, target):
                continue
            self.count += 1
            at = self.now + int(self.random.random() * self.slow)
            self.flying.append((at, self.count, target, data))

    def observe(self):
        """Samples how many stores are out of service for the clients of the worst-off running gateway."""
        out = max((self.stores_out(n) for n in self.nodes if n.up and not n.stopped), default=0)
        self.most_out = max(self.most_out, out)
        self.over += out > self.budget

    def run(self, seconds, until=None):
        """Runs the simulation for some simulated seconds, or until the condition `until` holds; returns
        whether it held, or True without a condition."""
        end = self.now + int(seconds * S)
        while self.now < end:
            self.turn()
            if until is not None and until():
                return True
        return until is None

    def send_command(self, node, command, **more):
        """Submits a command on the release at gateway `node`, as its operator would; returns the handle of
        the answer."""
        known = node.member.release
        what = releases.CommandRequest(command, known.term, node.number, self.clock(node) // S, **more)
        return node.member.submit(releases.KEY, what, self.clock(node))

    def answered(self, node, handle, seconds=4):
        """Runs until the answer with this handle has arrived at gateway `node` and returns it; None if there
        is none within `seconds`."""
        self.run(seconds, lambda: handle in node.answers)
        return node.answers.get(handle)
