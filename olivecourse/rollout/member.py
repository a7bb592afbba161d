"""One gateway's state machine of the agreement: it takes messages and time, and returns effects. No I/O.

Clock and randomness are passed in. A gateway that does not vote sends its operations to a voting member: to
the one with the lowest number whose heartbeats arrive, and to the next one if no answer arrives. Operations
are idempotent, so that it does no harm if two members run the same one.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

import msgspec

from olivecourse.rollout import disruption_leases, releases
from olivecourse.rollout.budgets import Budget, Group
from olivecourse.rollout.disruption_leases import Answer, LeaseOperation, Outcome, View
from olivecourse.rollout.liveness import Heartbeat, LivenessTracker, Service
from olivecourse.rollout.quorum_register import AcceptorState, Learn, QuorumRegisters, Step
from olivecourse.rollout.releases import Command, CommandReply, CommandRequest, Release, State

MS, S = 1_000_000, 1_000_000_000
# An unanswered request is sent again every RESEND_NS, and to the next voting member after each FAILOVER_NS.
RESEND_NS, FAILOVER_NS = 150 * MS, 450 * MS
REQUEST_TIMEOUT_NS = 3 * S  # age at which a request without an answer is reported as unknown
SUPERVISION_NS = 250 * MS  # interval at which the coordinating member runs `_supervise`
ANTI_ENTROPY_NS = 200 * MS  # shortest interval between two transfers of all register values to one peer
MAX_REPORTED_OUT = 8  # items that a promise lists as out of service at most: more than any budget allows
# Each gateway forwards a halt once, to this many random peers; in a fleet where it has at most
# 2 * HALT_FANOUT peers, to all of them.
HALT_FANOUT = 6
# Random peers to which a gateway forwards a newly learned register value once (all peers, if it has no more).
# On average n / e^12 of n gateways miss a value.
RUMOR_FANOUT = 12
MAX_PENDING_REQUESTS = 64  # operations of this gateway that wait for an answer; more are answered as unknown
# Time from a complete wave to the next, in a release with a canary gate: the plan's `soak_s` if gateways with
# the new version have ended MIN_GATE_REQUESTS requests since the gate started. Otherwise the wave soaks
# longer, until that number is reached or MAX_SOAK_PERIODS times `soak_s` have passed, and then ends in any
# case.
MIN_GATE_REQUESTS, MAX_SOAK_PERIODS = 50, 10


class OperationRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a voting member to run a ballot that applies an operation to register `key`. The reply repeats the
    `nonce`."""

    nonce: int
    key: str
    operation: LeaseOperation | CommandRequest


class OperationReply(msgspec.Struct, frozen=True, array_like=True):
    """A voting member's answer to the `OperationRequest` with the same nonce, sent after the ballot was
    won."""

    nonce: int
    answer: Answer | CommandReply


class HaltNotice(msgspec.Struct, frozen=True, array_like=True):
    """Halt of a release, forwarded at once by every gateway that receives it. The halt is binding for the
    receiver, whether or not a majority has accepted it yet. `term` is the term of the release when it ran;
    `by` is the gateway that halted it, `at` the Unix time in seconds (0 if unknown), and `why` the reason."""

    term: int
    by: int
    at: int
    why: str = ""


class ReleaseGate(Protocol):
    """Canary check of a release: compares the gateways with the new version and all others by their rates of
    badly ended requests."""

    def update(self, new: tuple[int, int], old: tuple[int, int]) -> str:
        """Takes the request counts (ended, badly ended) of the gateways with the new version and of all
        others, in total since the gate started; returns the reason to halt the release, or an empty
        string."""
        ...


@dataclass(frozen=True)
class Setup:
    """Static configuration of one gateway's member. `fleet` has the numbers of all gateways, and `members`
    the numbers of those that vote. `offices` maps each gateway to the key of its office's register,
    `capacities` to its relative capacity; `budget` is the disruption budget of the gateways of an office."""

    me: int
    fleet: tuple[int, ...]
    members: tuple[int, ...]
    offices: Mapping[int, str]
    capacities: Mapping[int, float]
    budget: Budget
    make_gate: Callable[[releases.Plan], ReleaseGate] | None = None
    fences: bool = True  # tests set False to show the fault that `is_fenced` prevents


@dataclass
class PendingRequest:
    """An operation of this gateway that has not been answered yet. `started_at` and `sent_at` are local times
    in nanoseconds; `attempts` counts the voting members passed over because they did not answer."""

    handle: int
    request: OperationRequest
    started_at: int
    sent_at: int = 0
    attempts: int = 0


@dataclass
class ObservedStores:
    """What this gateway observes of the stores, by group key: the group as listed, the items that are out of
    service for any reason other than a lease, and the longest time, in nanoseconds, for which an item can be
    cold after a start."""

    groups: dict[str, Group] = field(default_factory=dict)
    out: dict[str, set[int]] = field(default_factory=dict)
    cold_ns: dict[str, int] = field(default_factory=dict)


class Member:
    """Agreement state of one gateway: heartbeats, registers, its own operations that wait for an answer, and,
    on the coordinating member, the cleanup of leases and the progress of the release."""

    def __init__(
        self,
        setup: Setup,
        incarnation: int,
        version: str,
        acceptor_states: dict[str, AcceptorState],
        random: Random,
        now: int,
        votes: bool = True,
    ) -> None:
        """`incarnation` is the Unix time of the process start in milliseconds. `version` is the program
        version that this process runs. `votes` is False if the acceptor states from disk are missing or may
        lack the latest promises, so that this gateway must not vote with them; see `QuorumRegisters`."""
        self.setup, self.incarnation, self.version, self._random = setup, incarnation, version, random
        self.liveness = LivenessTracker(setup.me, setup.fleet, now)
        self._peers = [node for node in setup.fleet if node != setup.me]
        self._office_nodes: dict[str, list[int]] = {}
        for node, office in setup.offices.items():
            self._office_nodes.setdefault(office, []).append(node)
        self.observed_stores = ObservedStores()
        self.service, self.ended, self.bad = Service.COLD, 0, 0
        self.register = QuorumRegisters(
            setup.me,
            setup.members,
            acceptor_states,
            self._apply_operations,
            random,
            self._fenced,
            self._reported_out,
            votes and setup.me in setup.members,
        )
        # By group key, item and token of a lease: the local time at which this gateway learned that the item
        # receives requests again (phase BACK).
        self._restored_since: dict[tuple[str, int, int], int] = {}
        self.halted_term = 0  # the highest release term for which a halt is known, or 0
        self._now = now
        self._pending: dict[int, PendingRequest] = {}
        self._coordinated: dict[int, tuple[int, int]] = {}  # ballot's handle -> (requesting gateway, nonce)
        self._last_handle = 0
        self._next_heartbeat_at = self._next_supervision_at = now
        self._synced_at: dict[int, int] = {}
        self._gate: tuple[int, ReleaseGate] | None = None
        self._complete_since: tuple[tuple[int, int], int] | None = None
        self._learn_accepted_values()
        self.register.on_chosen = self._gossip

    # Register values and states of items, as known to this member -------------------------------------

    def _learn_accepted_values(self) -> None:
        """Called at the start: treats the register values that this member has accepted in ballots as if a
        majority had accepted them. That may be wrong, but can only make this gateway more cautious about
        going out of service."""
        for key, acceptor_state in self.register.acceptor_states.items():
            if acceptor_state.value:
                self.register.learn(Learn(key, acceptor_state.accepted, acceptor_state.value))

    def _learned_value(self, key: str) -> bytes:
        """The newest value of register `key` known to this gateway; empty if there is none."""
        known = self.register.learned.get(key)
        return b"" if known is None else known[1]

    @property
    def release(self) -> Release:
        """The newest state of the release known to this gateway."""
        return releases.decode(self._learned_value(releases.KEY))

    @property
    def halted(self) -> bool:
        """Whether no gateway may go out of service for the release: it is paused or halted in the newest
        known state, or a halt notice for it has been received."""
        release = self.release
        return release.halted or 0 < release.term <= self.halted_term

    def table(self, key: str) -> disruption_leases.LeaseTable:
        """The newest lease table known to this gateway for the group with this key."""
        return disruption_leases.decode(self._learned_value(key))

    def tables(self) -> dict[str, disruption_leases.LeaseTable]:
        """The newest lease tables known to this gateway, by group key."""
        return {key: self.table(key) for key in self.register.learned if key != releases.KEY}

    def group(self, key: str) -> Group:
        """The group with this key, with capacities and budget: stores as this gateway observes them, or the
        gateways of an office."""
        store_group = self.observed_stores.groups.get(key)
        if store_group is not None:
            return store_group
        office_nodes = {n: self.setup.capacities.get(n, 1.0) for n in self._office_nodes.get(key, ())}
        return Group(key, office_nodes, self.setup.budget)

    def out(self, key: str) -> set[int]:
        """The items of a group that this gateway considers out of service for any reason other than a lease,
        including items that may still be cold after a lease."""
        office_nodes = self._office_nodes.get(key, ())
        out = set(self.observed_stores.out.get(key, ())) | {
            n for n in office_nodes if self.liveness.unavailable(n, self._now)
        }
        return out | self._possibly_cold(key)

    def _possibly_cold(self, key: str) -> set[int]:
        """Items whose lease is in phase BACK for less than the cold period of their group
        (`ObservedStores.cold_ns`): they receive requests again and may still be cold. The store list may show
        the restart of an item later than its holder does, and a voting member that has just started does not
        know when the item came back. Each therefore counts the cold period from the time at which it learned
        of the return."""
        cold = self.observed_stores.cold_ns.get(key, 0)
        restored = {
            (key, p.item, p.token) for p in self.table(key).leases if p.phase is disruption_leases.Phase.BACK
        }
        for entry in [known for known in self._restored_since if known[0] == key and known not in restored]:
            del self._restored_since[entry]
        return {
            known[1]
            for known in restored
            if self._now - self._restored_since.setdefault(known, self._now) < cold
        }

    def _reported_out(self, key: str) -> tuple[int, ...]:
        """The items that this member's promises list as out of service, at most MAX_REPORTED_OUT. The budget
        counts items with a lease anyway, so they come last and are the first to be omitted from a full
        list."""
        if key == releases.KEY:
            return ()
        leased = {p.item for p in self.table(key).leases}
        return tuple(sorted(self.out(key), key=lambda item: (item in leased, item))[:MAX_REPORTED_OUT])

    # Callbacks of the registers -----------------------------------------------------------------------

    def _apply_operations(
        self, key: str, value: bytes, operations: Sequence[Any], voted: frozenset[int]
    ) -> tuple[bytes, list[Any]]:
        """Applies the operations of one ballot to the value of register `key`; returns the new value and one
        answer for each operation. `voted` has the items that the promises list as out of service."""
        if key == releases.KEY:
            after, answers = releases.apply_batch(value, operations)
            return after, list(answers)
        release = self.release
        view = View(
            self.group(key),
            voted | self.out(key),
            release.term,
            self.halted,
            lambda holder: self.liveness.silent(holder, self._now),
        )
        after, replies = disruption_leases.apply_batch(value, operations, view)
        return after, list(replies)

    def _fenced(self, key: str, value: bytes) -> bool:
        """Whether this member must refuse to accept `value` because of an outdated release term (see
        `is_fenced`); always False if fencing is switched off."""
        return self.setup.fences and is_fenced(self.register.acceptor_states, key, value)

    # Requests: operations on the registers, sent to a coordinating member -----------------------------

    def submit(self, key: str, operation: LeaseOperation | CommandRequest, now: int) -> int:
        """Submits an operation on register `key` and returns its handle. The answer appears under that handle
        in `Step.done` of a later step; an answer of None means that the outcome is unknown. A halt takes
        effect at this gateway at once."""
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
        """All voting members in the order in which requests are sent to them: by number, and those whose
        heartbeats have stopped come last."""
        return sorted(self.setup.members, key=lambda m: (self.liveness.silent(m, self._now), m))

    @property
    def coordinates(self) -> bool:
        """Whether this gateway votes and is the voting member with the lowest number among those that send
        heartbeats. That member reclaims leases and advances the release."""
        return self.register.votes and self._coordinators()[0] == self.setup.me

    def _dispatch(self, pending: PendingRequest, now: int) -> None:
        """Sends a pending request to the voting member whose turn it is by the number of attempts; if that is
        this gateway, runs the ballot here."""
        members = self._coordinators()
        target = members[pending.attempts % len(members)]
        pending.sent_at = now
        if target == self.setup.me and self.register.votes:
            self._coordinate(self.setup.me, pending.request, now)
        else:
            self._send(target, pending.request)

    def _coordinate(self, sender: int, request: OperationRequest, now: int) -> None:
        """Runs a ballot for the request of gateway `sender`. A repeated request is ignored while the first
        one is open, and so is any request while 4 * MAX_PENDING_REQUESTS are open."""
        if (sender, request.nonce) in self._coordinated.values() or len(
            self._coordinated
        ) >= 4 * MAX_PENDING_REQUESTS:
            return
        self._last_handle += 1
        self._coordinated[self._last_handle] = (sender, request.nonce)
        self.register.propose(request.key, self._last_handle, request.operation, now)

    def _on_reply(self, sender: int, reply: OperationReply) -> None:
        """Reports a voting member's answer to one of this gateway's own requests; a second answer is
        ignored."""
        pending = self._pending.pop(reply.nonce, None)
        if pending is not None:
            self.register.step.done.append((pending.handle, reply.answer))

    # Messages from and to other gateways --------------------------------------------------------------

    def _send(self, target: int, message: Any) -> None:
        self.register.step.sends.append((target, message))

    def receive(self, sender: int, message: Any, now: int) -> None:
        """Handles a message of another gateway; the caller has authenticated the sender."""
        self._now = now
        if isinstance(message, Heartbeat):
            self.liveness.receive(sender, message, now)
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
            self.register.receive(sender, message, now)

    def _gossip(self, message: Learn) -> None:
        """Forwards a newly learned register value, by rumor mongering (Demers et al., 1987, section 1.4): a
        gateway that learns a rumor forwards it once, to all peers or to RUMOR_FANOUT random ones.

        All gateways that the rumor reaches know the value within a few hops. The others learn the value by
        anti-entropy: a gateway that receives a heartbeat with another checksum sends all its learned values
        to the sender. Values transferred by anti-entropy are not rumors; otherwise each process start would
        flood the fleet with all known values.
        """
        small_fleet = len(self._peers) <= RUMOR_FANOUT
        for peer in self._peers if small_fleet else self._random.sample(self._peers, RUMOR_FANOUT):
            self._send(peer, message)

    def _on_halt(self, message: HaltNotice, now: int) -> None:
        """Stops this gateway from going out of service for the halted release, and forwards the halt at once.
        A voting member also proposes the halt, so that it becomes durable. A halt of an older term, or one
        already known, is ignored."""
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
        """Forgets the `halted_term` of a received halt notice once a release state with a higher term is
        known; if that state is itself halted, its term becomes the `halted_term`."""
        release = self.release
        if release.term > self.halted_term:
            self.halted_term = release.term if release.state is State.HALTED else 0

    def _checksum(self) -> int:
        """A checksum over the ballots of all learned register values. Heartbeats carry it, so that gateways
        notice when they know different values."""
        entries = sorted((key, b.count, b.member) for key, (b, _) in self.register.learned.items())
        return zlib.crc32(repr(entries).encode())

    # Periodic work ------------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Times out and resends requests, and runs the periodic work: heartbeats and, on the coordinating
        member, `_supervise`. Must be called every few tens of milliseconds."""
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
            self._next_heartbeat_at = now + self.liveness.period_ns
            self._send_heartbeat(now)
        if now >= self._next_supervision_at:
            self._next_supervision_at = now + SUPERVISION_NS
            if self.coordinates:
                self._supervise(now)

    def _send_heartbeat(self, now: int) -> None:
        """Sends a heartbeat to the other voting members and to two gateways, chosen at random, that do not
        vote."""
        heartbeat = Heartbeat(
            self.incarnation,
            self.service,
            self.version,
            self.ended,
            self.bad,
            self._checksum(),
            self.halted_term if self.halted else 0,
        )
        self.liveness.receive(self.setup.me, heartbeat, now)
        others = [n for n in self.setup.fleet if n != self.setup.me and n not in self.setup.members]
        sampled = self._random.sample(others, min(2, len(others)))
        for target in (*(m for m in self.setup.members if m != self.setup.me), *sampled):
            self._send(target, heartbeat)

    def _supervise(self, now: int) -> None:
        """Run by the coordinating member every SUPERVISION_NS: submits the cleanup of leases whose holders
        have failed, and evaluates the canary check of the release. Starts the next wave of gateways once all
        gateways of the current wave serve with the new version and its soak time has passed. After the last
        wave, or a rollback, it ends the release."""
        for key, table in self.tables().items():
            for op in disruption_leases.cleanup_operations(
                table, lambda holder: self.liveness.silent(holder, now), self.out(key)
            ):
                if not any(
                    o.request.key == key and o.request.operation == op for o in self._pending.values()
                ):
                    self.submit(key, op, now)
        release = self.release
        if release.state not in (State.RUNNING, State.ROLLING_BACK):
            self._gate = self._complete_since = None
            return
        wave_done = releases.wave_complete(release, self.setup.fleet, self._gateway_statuses(now))
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
        """Returns whether the release has a canary check, and gateways with the new version have ended fewer
        than MIN_GATE_REQUESTS client requests in total since that check started."""
        if self._gate is None:
            return False
        requests = sum(
            self.liveness.counts(n)[0]
            for n in self.setup.fleet
            if (heartbeat := self.liveness.heartbeat(n)) is not None and heartbeat.version == release.version
        )
        return requests < MIN_GATE_REQUESTS

    def _halted_by_gate(self, release: Release, now: int) -> bool:
        """Evaluates the canary check of the release; returns True, after submitting a halt, if it finds that
        the new version serves worse than the old one. The check counts requests over all waves, and starts
        again at zero when an operator's command has raised the term of the release."""
        if release.state is not State.RUNNING or self.setup.make_gate is None or not release.plan.gates:
            self._gate = None
            return False
        if self._gate is None or self._gate[0] != release.term - release.wave:
            self.liveness.reset_counts()
            self._gate = (release.term - release.wave, self.setup.make_gate(release.plan))
        sides = [[0, 0], [0, 0]]
        for node in self.setup.fleet:
            heartbeat = self.liveness.heartbeat(node)
            if heartbeat is not None:
                ended, bad = self.liveness.counts(node)
                side = sides[heartbeat.version != release.version]
                side[0] += ended
                side[1] += bad
        why = self._gate[1].update((sides[0][0], sides[0][1]), (sides[1][0], sides[1][1]))
        if why and not self.halted:
            self.submit(
                releases.KEY, CommandRequest(Command.HALT, release.term, self.setup.me, now // S, why), now
            )
        return bool(why)

    def _gateway_statuses(self, now: int) -> dict[int, releases.GatewayStatus]:
        """Version of each gateway that has sent a heartbeat, and whether it is in service and warm, by
        gateway number."""
        return {
            n: releases.GatewayStatus(heartbeat.version, not self.liveness.unavailable(n, now))
            for n in self.setup.fleet
            if (heartbeat := self.liveness.heartbeat(n)) is not None
        }

    # Effects that the caller must carry out -----------------------------------------------------------

    def take_step(self) -> Step:
        """Returns the effects collected since the last call: disk writes, messages, and answers to this
        gateway's own operations. Answers to operations of other gateways are among the messages."""
        step = self.register.take_step()
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


def is_fenced(acceptor_states: Mapping[str, AcceptorState], key: str, value: bytes) -> bool:
    """Returns whether a voting member must refuse to accept `value` for register `key`: it grants or
    activates a lease for a release, and its proposer knew an older release term than this member does. After
    a majority has accepted a halt, no majority therefore accepts such a change by a proposer that does not
    know the halt. `acceptor_states` is the acceptor state of this member by register key."""
    if key == releases.KEY:
        return False
    release_value, lease_value = (acceptor_states.get(k, AcceptorState()).value for k in (releases.KEY, key))
    new_table = disruption_leases.decode(value)
    return new_table.release_term < releases.decode(
        release_value
    ).term and disruption_leases.starts_release_work(new_table, disruption_leases.decode(lease_value))


def failure_reason(answer: Answer | CommandReply | None) -> str:
    """Returns why an operation failed, or an empty string if it was done, accepted or queued. An `answer` of
    None means that no majority answered in time."""
    if answer is None:
        return "no majority answered"
    if isinstance(answer, CommandReply):
        return "" if answer.accepted else answer.reason
    return "" if answer.outcome in (Outcome.DONE, Outcome.QUEUED) else answer.reason
