"""One gateway's state machine of the agreement: it takes messages and time, and returns effects. No I/O.

Clock and randomness are passed in. A gateway that does not vote sends its operations to a voting member: to
the first one that sends heartbeats, and to the next one if no answer arrives. Operations are idempotent.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

import msgspec

from olivecourse.rollout import places, releases
from olivecourse.rollout.budgets import Budget, Group
from olivecourse.rollout.hearing import Beat, Hearing, Service
from olivecourse.rollout.places import Answer, LeaseOperation, Outcome, View
from olivecourse.rollout.register import Learn, QuorumRegisters, Slot, Step
from olivecourse.rollout.releases import Command, CommandReply, CommandRequest, Release, State

MS, S = 1_000_000, 1_000_000_000
RESEND_NS, FAILOVER_NS = 150 * MS, 450 * MS  # until a request is sent again, and then to another member
REQUEST_TIMEOUT_NS = 3 * S
SUPERVISION_NS = 250 * MS  # interval at which the coordinator reclaims leases and advances the release
ANTI_ENTROPY_NS = 200 * MS  # shortest interval between two transfers of all learned values to one peer
MAX_REPORTED_OUT = 8  # items of a group that a promise lists as out of service: more than any budget allows
HALT_FANOUT = 6  # peers to which each gateway forwards a halt, in a fleet of more than twice as many
RUMOR_FANOUT = 12  # peers to which a learned value is forwarded: on average n / e^12 of n nodes miss it
MAX_PENDING_REQUESTS = 64
# A gate needs at least MIN_GATE_REQUESTS requests to the new version. A wave with fewer requests soaks
# MAX_SOAK_PERIODS times as long.
MIN_GATE_REQUESTS, MAX_SOAK_PERIODS = 50, 10


class OperationRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a voting member to run a ballot for an operation on register `key`."""

    nonce: int
    key: str
    operation: LeaseOperation | CommandRequest


class OperationReply(msgspec.Struct, frozen=True, array_like=True):
    """The answer of a voting member to the request with the same nonce."""

    nonce: int
    answer: Answer | CommandReply


class HaltNotice(msgspec.Struct, frozen=True, array_like=True):
    """Halt of a release, forwarded at once by every gateway that receives it. The halt is binding for the
    receiver, whether or not a majority has accepted it yet. `term` is the term of the release when it ran."""

    term: int
    by: int
    at: int
    why: str = ""


class ReleaseGate(Protocol):
    """Compares the new version of a release with the old one."""

    def update(self, new: tuple[int, int], old: tuple[int, int]) -> str:
        """Takes the total counts (ended, bad) of the gateways with the new version and of the others; returns
        the reason to halt, or an empty string."""
        ...


@dataclass(frozen=True)
class Setup:
    """Static configuration of a member. `fleet` has the numbers of all gateways, and `members` of those that
    vote. `offices` maps each gateway to the register of its group."""

    me: int
    fleet: tuple[int, ...]
    members: tuple[int, ...]
    offices: Mapping[int, str]
    capacities: Mapping[int, float]
    budget: Budget
    make_gate: Callable[[releases.Plan], ReleaseGate] | None = None
    fences: bool = True  # tests set False to show the fault that fencing prevents


@dataclass
class PendingRequest:
    """An operation request that has not been answered yet."""

    handle: int
    request: OperationRequest
    started_at: int
    sent_at: int = 0
    attempts: int = 0


@dataclass
class ObservedStores:
    """What this gateway observes of the stores, by group: the group as listed, the items that are out of
    service for any reason other than a lease, and the longest time for which an item can be cold."""

    groups: dict[str, Group] = field(default_factory=dict)
    out: dict[str, set[int]] = field(default_factory=dict)
    cold_ns: dict[str, int] = field(default_factory=dict)


class Member:
    """Agreement state of one gateway: heartbeats, registers, open requests, and the supervision of
    releases."""

    def __init__(
        self,
        setup: Setup,
        incarnation: int,
        version: str,
        slots: dict[str, Slot],
        random: Random,
        now: int,
        votes: bool = True,
    ) -> None:
        """`incarnation` is the Unix time of the process start in milliseconds; `votes` is explained at
        `QuorumRegisters`."""
        self.setup, self.incarnation, self.version, self._random = setup, incarnation, version, random
        self.hearing = Hearing(setup.me, setup.fleet, now)
        self._peers = [node for node in setup.fleet if node != setup.me]
        self._office_nodes: dict[str, list[int]] = {}
        for node, office in setup.offices.items():
            self._office_nodes.setdefault(office, []).append(node)
        self.world = ObservedStores()
        self.service, self.ended, self.bad = Service.COLD, 0, 0
        self.register = QuorumRegisters(
            setup.me,
            setup.members,
            slots,
            self._apply_operations,
            random,
            self._fenced,
            self._reported_out,
            votes and setup.me in setup.members,
        )
        # By key, item and token of a lease: the time since when the item is known to receive requests again.
        self._restored_since: dict[tuple[str, int, int], int] = {}
        self.halted_term = 0  # the highest release term for which a halt is known
        self._now = now
        self._pending: dict[int, PendingRequest] = {}
        self._coordinated: dict[int, tuple[int, int]] = {}  # handle -> (requesting gateway, nonce)
        self._last_handle = 0
        self._next_heartbeat_at = self._next_supervision_at = now
        self._synced_at: dict[int, int] = {}
        self._gate: tuple[int, ReleaseGate] | None = None
        self._complete_since: tuple[tuple[int, int], int] | None = None
        self._learn_accepted_values()
        self.register.on_chosen = self._gossip

    # Known values -------------------------------------------------------------------------------------

    def _learn_accepted_values(self) -> None:
        """Treats values that this member has accepted as learned at the start. They may not have been chosen,
        but taking them into account can only make this gateway more cautious."""
        for key, slot in self.register.slots.items():
            if slot.value:
                self.register.learn(Learn(key, slot.accepted, slot.value))

    def _learned_value(self, key: str) -> bytes:
        """The newest known value of a register; empty if there is none."""
        known = self.register.learned.get(key)
        return b"" if known is None else known[1]

    @property
    def release(self) -> Release:
        """The newest release known to this gateway."""
        return releases.decode(self._learned_value(releases.KEY))

    @property
    def halted(self) -> bool:
        """Whether the release is paused or halted, or a halt of it has been received."""
        release = self.release
        return release.halted or 0 < release.term <= self.halted_term

    def table(self, key: str) -> places.Table:
        """The newest lease table of a group known to this gateway."""
        return places.decode(self._learned_value(key))

    def tables(self) -> dict[str, places.Table]:
        """The newest known lease tables of all groups."""
        return {key: self.table(key) for key in self.register.learned if key != releases.KEY}

    def group(self, key: str) -> Group:
        """The group of that key: stores as observed, or the gateways of an office."""
        store_group = self.world.groups.get(key)
        if store_group is not None:
            return store_group
        office_nodes = {n: self.setup.capacities.get(n, 1.0) for n in self._office_nodes.get(key, ())}
        return Group(key, office_nodes, self.setup.budget)

    def out(self, key: str) -> set[int]:
        """The items of a group that this gateway considers out of service for any reason other than a
        lease."""
        office_nodes = self._office_nodes.get(key, ())
        out = set(self.world.out.get(key, ())) | {
            n for n in office_nodes if self.hearing.unavailable(n, self._now)
        }
        return out | self._possibly_cold(key)

    def _possibly_cold(self, key: str) -> set[int]:
        """Items that receive requests again and may still be cold. The list may show the restart of an item
        later than its holder does, and a voter that has just started does not know when the item came back.
        Each voter therefore counts the cold period from the time at which it learned of the return."""
        cold = self.world.cold_ns.get(key, 0)
        restored = {(key, p.item, p.token) for p in self.table(key).leases if p.phase is places.Phase.BACK}
        for entry in [known for known in self._restored_since if known[0] == key and known not in restored]:
            del self._restored_since[entry]
        return {
            known[1]
            for known in restored
            if self._now - self._restored_since.setdefault(known, self._now) < cold
        }

    def _reported_out(self, key: str) -> tuple[int, ...]:
        """The items to list in a promise. Items with a lease are counted anyway, so they come last and are
        the first to be omitted from a full list."""
        if key == releases.KEY:
            return ()
        leased = {p.item for p in self.table(key).leases}
        return tuple(sorted(self.out(key), key=lambda item: (item in leased, item))[:MAX_REPORTED_OUT])

    # Callbacks of the registers -----------------------------------------------------------------------

    def _apply_operations(
        self, key: str, value: bytes, operations: Sequence[Any], voted: frozenset[int]
    ) -> tuple[bytes, list[Any]]:
        """Applies operations to the value of a register. `voted` has the items that the promises list as out
        of service."""
        if key == releases.KEY:
            after, answers = releases.apply_batch(value, operations)
            return after, list(answers)
        release = self.release
        view = View(
            self.group(key),
            voted | self.out(key),
            release.term,
            self.halted,
            lambda holder: self.hearing.silent(holder, self._now),
        )
        after, replies = places.apply_batch(value, operations, view)
        return after, list(replies)

    def _fenced(self, key: str, value: bytes) -> bool:
        """Whether this member must refuse to accept `value`, unless fencing is switched off."""
        return self.setup.fences and is_fenced(self.register.slots, key, value)

    # Requests -----------------------------------------------------------------------------------------

    def submit(self, key: str, operation: LeaseOperation | CommandRequest, now: int) -> int:
        """Submits an operation and returns its handle. The answer appears under that handle in a later step;
        an answer of None means that the outcome is unknown."""
        self._now = now
        self._last_handle += 1
        handle = self._last_handle
        if isinstance(operation, CommandRequest) and operation.command is Command.HALT:
            self._on_halt(
                HaltNotice(max(operation.term, self.release.term), operation.by, operation.at, operation.why),
                now,
            )
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            self.register.step.done.append((handle, None))
            return handle
        pending = PendingRequest(handle, OperationRequest(self._random.getrandbits(31), key, operation), now)
        self._pending[pending.request.nonce] = pending
        self._dispatch(pending, now)
        return handle

    def _coordinators(self) -> list[int]:
        """Voting members in the order in which requests go to them; silent members come last."""
        return sorted(self.setup.members, key=lambda m: (self.hearing.silent(m, self._now), m))

    @property
    def coordinates(self) -> bool:
        """Whether this gateway votes and is the first voting member that is not silent."""
        return self.register.votes and self._coordinators()[0] == self.setup.me

    def _dispatch(self, pending: PendingRequest, now: int) -> None:
        """Sends a request to the voting member whose turn it is, or runs its ballot here."""
        members = self._coordinators()
        target = members[pending.attempts % len(members)]
        pending.sent_at = now
        if target == self.setup.me and self.register.votes:
            self._coordinate(self.setup.me, pending.request, now)
        else:
            self._send(target, pending.request)

    def _coordinate(self, sender: int, request: OperationRequest, now: int) -> None:
        """Runs a ballot for a request. A repeated request is ignored while the first one is open."""
        if (sender, request.nonce) in self._coordinated.values() or len(
            self._coordinated
        ) >= 4 * MAX_PENDING_REQUESTS:
            return
        self._last_handle += 1
        self._coordinated[self._last_handle] = (sender, request.nonce)
        self.register.propose(request.key, self._last_handle, request.operation, now)

    def _on_reply(self, sender: int, reply: OperationReply) -> None:
        """Reports the answer to one of this gateway's requests."""
        pending = self._pending.pop(reply.nonce, None)
        if pending is not None:
            self.register.step.done.append((pending.handle, reply.answer))

    # Messages -----------------------------------------------------------------------------------------

    def _send(self, target: int, message: Any) -> None:
        self.register.step.sends.append((target, message))

    def heard(self, sender: int, message: Any, now: int) -> None:
        """Handles a message of another gateway; the caller has authenticated the sender."""
        self._now = now
        if isinstance(message, Beat):
            self.hearing.heard(sender, message, now)
            if message.halted_term > self.halted_term and message.halted_term >= self.release.term:
                self._on_halt(HaltNotice(message.halted_term, sender, 0), now)
            if (
                message.learned_checksum != self._checksum()
                and now - self._synced_at.get(sender, -S) >= ANTI_ENTROPY_NS
            ):
                self._synced_at[sender] = now
                for key, (ballot, value) in self.register.learned.items():
                    self._send(sender, Learn(key, ballot, value))
        elif isinstance(message, OperationRequest):
            if self.register.votes:
                self._coordinate(sender, message, now)
        elif isinstance(message, OperationReply):
            self._on_reply(sender, message)
        elif isinstance(message, HaltNotice):
            self._on_halt(message, now)
        elif isinstance(message, Learn):
            if self.register.learn(message):
                if message.rumor:
                    self._gossip(message)
                self._refresh_halt()
        else:
            self.register.heard(sender, message, now)

    def _gossip(self, message: Learn) -> None:
        """Rumor mongering (Demers et al., 1987, section 1.4): a gateway that learns a rumor forwards it once.

        All gateways know the value within a few hops. Gateways that the rumor misses learn the value by
        anti-entropy, which compares the checksums of heartbeats. Values transferred by anti-entropy are not
        rumors; otherwise each process start would flood the fleet with all known values.
        """
        small_fleet = len(self._peers) <= RUMOR_FANOUT
        for peer in self._peers if small_fleet else self._random.sample(self._peers, RUMOR_FANOUT):
            self._send(peer, message)

    def _on_halt(self, message: HaltNotice, now: int) -> None:
        """Stops this gateway from going out of service for the halted release, forwards the halt at once, and
        proposes it so that it becomes durable."""
        release = self.release
        if message.term <= self.halted_term or message.term < release.term:
            return
        self.halted_term = message.term
        peers = [n for n in self.setup.fleet if n != self.setup.me]
        for peer in peers if len(peers) <= 2 * HALT_FANOUT else self._random.sample(peers, HALT_FANOUT):
            self._send(peer, message)
        if self.register.votes and release.state is not State.HALTED:
            self._last_handle += 1
            command = CommandRequest(Command.HALT, message.term, message.by, message.at, message.why)
            self.register.propose(releases.KEY, self._last_handle, command, now)

    def _refresh_halt(self) -> None:
        """Clears a received halt when a release of a newer term is known that is not halted."""
        release = self.release
        if release.term > self.halted_term:
            self.halted_term = release.term if release.state is State.HALTED else 0

    def _checksum(self) -> int:
        """A checksum over the ballots of all learned values; heartbeats carry it."""
        entries = sorted((key, b.count, b.member) for key, (b, _) in self.register.learned.items())
        return zlib.crc32(repr(entries).encode())

    # Timer --------------------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Handles time-outs and periodic work; must be called every few tens of milliseconds."""
        self._now = now
        self.register.tick(now)
        for pending in list(self._pending.values()):
            if now - pending.started_at > REQUEST_TIMEOUT_NS:
                del self._pending[pending.request.nonce]
                self.register.step.done.append((pending.handle, None))
            elif now - pending.sent_at > RESEND_NS:
                pending.attempts = (now - pending.started_at) // FAILOVER_NS
                self._dispatch(pending, now)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self.hearing.period_ns
            self._send_heartbeat(now)
        if now >= self._next_supervision_at:
            self._next_supervision_at = now + SUPERVISION_NS
            if self.coordinates:
                self._supervise(now)

    def _send_heartbeat(self, now: int) -> None:
        """Sends a heartbeat to the voting members and to two other gateways chosen at random."""
        heartbeat = Beat(
            self.incarnation,
            self.service,
            self.version,
            self.ended,
            self.bad,
            self._checksum(),
            self.halted_term if self.halted else 0,
        )
        self.hearing.heard(self.setup.me, heartbeat, now)
        others = [n for n in self.setup.fleet if n != self.setup.me and n not in self.setup.members]
        sampled = self._random.sample(others, min(2, len(others)))
        for target in (*(m for m in self.setup.members if m != self.setup.me), *sampled):
            self._send(target, heartbeat)

    def _supervise(self, now: int) -> None:
        """Run by the coordinating member: reclaims leases of silent holders and advances the release."""
        for key, table in self.tables().items():
            for op in places.cleanup_operations(
                table, lambda holder: self.hearing.silent(holder, now), self.out(key)
            ):
                if not any(
                    o.request.key == key and o.request.operation == op for o in self._pending.values()
                ):
                    self.submit(key, op, now)
        release = self.release
        if release.state not in (State.RUNNING, State.ROLLING_BACK):
            self._gate = self._complete_since = None
            return
        wave_done = releases.through(release, self.setup.fleet, self._gateway_statuses(now))
        if self._halted_by_gate(release, now):
            return
        wave_key = (release.term, release.wave)
        if not wave_done:
            self._complete_since = None
        elif self._complete_since is None or self._complete_since[0] != wave_key:
            self._complete_since = (wave_key, now)
        soak = release.plan.soak_s * (MAX_SOAK_PERIODS if self._has_too_few_requests(release) else 1)
        last = release.wave + 1 >= len(release.plan.waves) or release.state is State.ROLLING_BACK
        if (
            self._complete_since is not None
            and not self.halted
            and now - self._complete_since[1] >= (0 if last else soak) * S
        ):
            self._complete_since = None
            command = Command.END if last else Command.NEXT
            self.submit(releases.KEY, CommandRequest(command, release.term, self.setup.me, now // S), now)

    def _has_too_few_requests(self, release: Release) -> bool:
        """Returns whether gates are on and the new version has had too few requests to be judged."""
        if self._gate is None:
            return False
        requests = sum(
            self.hearing.counts(n)[0]
            for n in self.setup.fleet
            if (heartbeat := self.hearing.heartbeat(n)) is not None and heartbeat.version == release.version
        )
        return requests < MIN_GATE_REQUESTS

    def _halted_by_gate(self, release: Release, now: int) -> bool:
        """Evaluates the gate of the release; returns True, after submitting a halt, if the new version serves
        worse."""
        if release.state is not State.RUNNING or self.setup.make_gate is None or not release.plan.gates:
            self._gate = None
            return False
        if self._gate is None or self._gate[0] != release.term - release.wave:
            self.hearing.reset_counts()
            self._gate = (release.term - release.wave, self.setup.make_gate(release.plan))
        sides = [[0, 0], [0, 0]]
        for node in self.setup.fleet:
            heartbeat = self.hearing.heartbeat(node)
            if heartbeat is not None:
                ended, bad = self.hearing.counts(node)
                side = sides[heartbeat.version != release.version]
                side[0] += ended
                side[1] += bad
        why = self._gate[1].update((sides[0][0], sides[0][1]), (sides[1][0], sides[1][1]))
        if why and not self.halted:
            self.submit(
                releases.KEY, CommandRequest(Command.HALT, release.term, self.setup.me, now // S, why), now
            )
        return bool(why)

    def _gateway_statuses(self, now: int) -> dict[int, releases.Seen]:
        """Version and service state of each gateway that has sent a heartbeat."""
        return {
            n: releases.Seen(heartbeat.version, not self.hearing.unavailable(n, now))
            for n in self.setup.fleet
            if (heartbeat := self.hearing.heartbeat(n)) is not None
        }

    # Effects ------------------------------------------------------------------------------------------

    def taken(self) -> Step:
        """Returns the effects collected so far. Answers to other gateways are among the messages to send."""
        step = self.register.taken()
        done: list[tuple[int, Any]] = []
        for handle, answer in step.done:
            coordinated = self._coordinated.pop(handle, None)
            if coordinated is None:
                done.append((handle, answer))
            elif coordinated[0] == self.setup.me:
                if answer is not None:
                    pending = self._pending.pop(coordinated[1], None)
                    if pending is not None:
                        done.append((pending.handle, answer))
            elif answer is not None:
                step.sends.append((coordinated[0], OperationReply(coordinated[1], answer)))
        step.done = done
        self._refresh_halt()
        return step


def is_fenced(slots: Mapping[str, Slot], key: str, value: bytes) -> bool:
    """Returns whether a voter must refuse `value`: it grants or activates a release lease, and its proposer
    knew an older release term than this voter does. After a majority has accepted a halt, no majority accepts
    such a change by a proposer that does not know the halt."""
    if key == releases.KEY:
        return False
    release_value, lease_value = (slots.get(k, Slot()).value for k in (releases.KEY, key))
    new_table = places.decode(value)
    return new_table.release_term < releases.decode(release_value).term and places.starts_release_work(
        new_table, places.decode(lease_value)
    )


def failure_reason(answer: Answer | CommandReply | None) -> str:
    """Returns why an operation failed, or an empty string if it was done or is queued."""
    if answer is None:
        return "no majority answered"
    if isinstance(answer, CommandReply):
        return "" if answer.accepted else answer.reason
    return "" if answer.outcome in (Outcome.DONE, Outcome.QUEUED) else answer.reason
