"""Model check of the agreement on leases and halts.

The model has three members and two items, of which one may be out of service. Messages are lost, duplicated
and reordered; members crash and restart with their disk; ballots are abandoned. The checked code is the
register implementation and the operations that gateways run. Time is not modelled: a ballot may end, and the
heartbeats of a holder may be considered stopped, at any moment.

Invariants: the budget is never exceeded; no fencing token is granted for two items; a lease request made for
a release after its halt was acknowledged never takes an item out of service; an acknowledged halt is durable
at a majority. Five planted faults verify that the check detects violations.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator, Sequence
from copy import copy
from functools import partial
from random import Random
from typing import Any

import msgspec

from olivecourse.modelcheck.explorer import SearchResult, explore, random_walks
from olivecourse.rollout import disruption_leases, releases
from olivecourse.rollout.budgets import Budget, Group
from olivecourse.rollout.disruption_leases import (
    Answer,
    LeaseAction,
    LeaseOperation,
    LeasePurpose,
    Outcome,
    View,
)
from olivecourse.rollout.member import is_fenced
from olivecourse.rollout.quorum_register import (
    AcceptorState,
    Ballot,
    BallotRound,
    Learn,
    QuorumRegisters,
    Step,
)
from olivecourse.rollout.releases import Command, CommandReply, CommandRequest, Plan, Release, State

KEY = "gateways"
ITEMS = (0, 1)  # each item is the gateway (and member) of that number, which requests leases for itself
GROUP = Group(KEY, {0: 1.0, 1: 1.0, 2: 1.0}, Budget(1, 0.5))
FAULTS = (
    "no fencing",
    "forgotten promise",
    "lease by the holder's clock alone",
    "halt not durable",
    "rollback over budget",
)
RUNNING = Release(2, State.RUNNING, 1, 0, 0, "", Plan("v2", "v1", (100,)))


class NoDelays(Random):
    """Random source that makes the delay after an abandoned ballot always zero, because time is not
    modelled."""

    def random(self) -> float:
        return 0.0


class Model:
    """One state of the model. `remaining` says how many crashes, duplicated messages, abandoned ballots,
    reclaim operations and repeated lease requests may still occur on the way from this state, so that the
    search is finite."""

    def __init__(
        self,
        why: LeasePurpose = LeasePurpose.DRAIN,
        halts: bool = False,
        fault: str = "",
        crashes: int = 1,
        twice: int = 0,
        ends: int = 1,
        reclaims: int = 1,
        asks: int = 1,
        granted: bool = False,
        crashable: tuple[int, ...] = (0, 1, 2),
    ) -> None:
        """Creates a start state. `why` is the purpose of all leases; with `halts` set, member 2 may halt the
        release; `fault` is one of FAULTS, or empty for the correct code. `crashes`, `twice` (duplicated
        messages), `ends` (abandoned ballots), `reclaims` and `asks` (repeated lease requests) are the initial
        values of `remaining`. `crashable` lists the members that may crash. With `granted` set, item 0
        already has a lease in phase GRANTED."""
        self.why, self.halts, self.fault = why, halts, fault
        self.remaining = {"crash": crashes, "twice": twice, "end": ends, "reclaim": reclaims, "ask": asks}
        release = {releases.KEY: AcceptorState(value=releases.encode(RUNNING))}
        self.crashable = crashable
        if granted:
            table = disruption_leases.LeaseTable(
                1, 2, (disruption_leases.Lease(0, 0, 1, disruption_leases.Phase.GRANTED, why, 0),)
            )
            release[KEY] = AcceptorState(Ballot(1, 0), Ballot(1, 0), disruption_leases.encode(table))
        self.disks: list[dict[str, AcceptorState]] = [dict(release) for _ in range(3)]
        self.nodes = [self._boot(n) for n in range(3)]
        self.net: tuple[tuple[int, int, Any], ...] = ()
        # Stages of an item: "in" (in service, its gateway knows of no lease), "requesting" (a lease),
        # "granted", "activating" (activation requested), "confirmed" (activation accepted by a majority),
        # "out" (of service), "back" (in service again, end of the lease proposed).
        self.stage = dict.fromkeys(ITEMS, "in")
        self.token = dict.fromkeys(ITEMS, 0)
        if granted:
            self.stage[0], self.token[0] = "granted", 1
        self.granted_items: dict[int, int] = {}  # fencing token -> item it was granted for
        self.token_reused = False
        # Progress of the halt of the release: "" (not proposed yet), "asked", "acknowledged"; or "never".
        self.halt = "" if halts else "never"
        # Whether an item went out that requested its lease or activation after the halt was acknowledged.
        self.started_after_halt = False
        # Items whose lease or activation was requested after the halt was acknowledged.
        self.asked_after_halt: frozenset[int] = frozenset()
        self.handles: dict[tuple[int, int], str] = {}
        self.count = 0

    # Members ------------------------------------------------------------------------------------------

    def _boot(self, number: int) -> QuorumRegisters:
        """Starts the process of member `number` from the acceptor state on its disk."""
        register = QuorumRegisters(
            number,
            (0, 1, 2),
            self.disks[number],
            self._apply_operations,
            NoDelays(),
            lambda key, value: False,
        )
        for key, acceptor_state in register.acceptor_states.items():
            if acceptor_state.value:
                register.learn(Learn(key, acceptor_state.accepted, acceptor_state.value))
        return register

    def _bind(self, node: QuorumRegisters) -> None:
        """Binds the callbacks of a copied member to the copy, so that it decides by the copy's register
        states."""
        node._apply_operations = lambda key, value, ops, out: self._apply_at(node, key, value, ops)
        node._fence = lambda key, value: is_fenced(node.acceptor_states, key, value)

    def _apply_operations(
        self, key: str, value: bytes, ops: Sequence[Any], out: frozenset[int]
    ) -> tuple[bytes, list[Any]]:
        raise AssertionError("must be replaced by _bind before every step")

    def _apply_at(
        self, node: QuorumRegisters, key: str, value: bytes, ops: Sequence[Any]
    ) -> tuple[bytes, list[Any]]:
        """Applies operations to the value of register `key` with what member `node` knows of the release, and
        with the planted fault if there is one. Returns the new value and the answers."""
        if key == releases.KEY:
            after, replies = releases.apply_batch(value or releases.encode(RUNNING), ops)
            return after, list(replies)
        known = node.learned.get(releases.KEY)
        release = releases.decode(known[1]) if known else RUNNING
        view = View(GROUP, frozenset(), release.term, release.halted, lambda holder: True)
        if self.fault == "rollback over budget":
            ops = [msgspec.structs.replace(op, forced=op.why is LeasePurpose.ROLLBACK) for op in ops]
        after, answers = disruption_leases.apply_batch(value, ops, view)
        if self.fault == "no fencing":
            answers = [
                Answer(Outcome.DONE, a.token) if op.action is LeaseAction.ACTIVATE else a
                for op, a in zip(ops, answers, strict=True)
            ]
        return after, list(answers)

    def _copy(self) -> Model:
        """Copies the state, so that a transition does not change the state that it starts from."""
        copied = copy(self)
        copied.remaining, copied.stage, copied.token = (
            dict(self.remaining),
            dict(self.stage),
            dict(self.token),
        )
        copied.disks, copied.handles = [dict(d) for d in self.disks], dict(self.handles)
        copied.granted_items = dict(self.granted_items)
        copied.nodes = [self._copy_register(n) for n in self.nodes]
        for node in copied.nodes:
            copied._bind(node)
        return copied

    @staticmethod
    def _copy_register(node: QuorumRegisters) -> QuorumRegisters:
        """Copies the agreement state of one member, without sharing any mutable part."""
        copied = copy(node)
        copied.step = Step()
        copied.acceptor_states, copied.learned, copied._highest_counts = (
            dict(node.acceptor_states),
            dict(node.learned),
            dict(node._highest_counts),
        )
        copied._pending = {k: list(v) for k, v in node._pending.items()}
        copied._not_before, copied.rounds = dict(node._not_before), {}
        for key, ballot_round in node.rounds.items():
            copied.rounds[key] = BallotRound(
                ballot_round.ballot,
                0,
                0,
                list(ballot_round.proposals),
                dict(ballot_round.promises),
                ballot_round.value,
                list(ballot_round.answers),
                set(ballot_round.accepted),
            )
        return copied

    def _execute(self, number: int) -> None:
        """Carries out the effects of member `number`: first the disk writes, then the messages, then the
        answers."""
        step = self.nodes[number].take_step()
        self.disks[number].update(step.durable)
        sends = [
            (number, target, message)
            for target, message in step.sends
            if not isinstance(message, Learn) or self.halts
        ]
        self.net = tuple(sorted({*self.net, *sends}, key=repr))
        for handle, answer in step.done:
            self._on_answer(number, self.handles.pop((number, handle), ""), answer)

    def _on_answer(self, number: int, purpose: str, answer: Any) -> None:
        """Updates `stage` of item `number`, or `halt`, after the answer to an operation that member `number`
        proposed; `purpose` is the one passed to `_propose` with that operation."""
        if purpose == "halt":
            if isinstance(answer, CommandReply) and answer.accepted:
                self.halt = "acknowledged"
        elif isinstance(answer, Answer) and purpose in ("acquire", "activate") and number in self.stage:
            if self.stage[number] == "requesting" and purpose == "acquire":
                self.stage[number] = "granted" if answer.outcome is Outcome.DONE else "in"
                self.token[number] = answer.token
                if answer.outcome is Outcome.DONE:
                    self.token_reused = (
                        self.token_reused or self.granted_items.setdefault(answer.token, number) != number
                    )
            elif self.stage[number] == "activating" and purpose == "activate":
                self.stage[number] = "confirmed" if answer.outcome is Outcome.DONE else "in"

    def _propose(self, number: int, key: str, purpose: str, op: Any) -> None:
        """Member `number` proposes an operation on register `key`; `purpose` says what the answer is for:
        acquire, activate, free, reclaim or halt."""
        self.count += 1
        self.handles[(number, self.count)] = purpose
        self.nodes[number].propose(key, self.count, op, 0)
        self._execute(number)

    # Transitions --------------------------------------------------------------------------------------

    def moves(self) -> Iterator[tuple[str, Callable[[], Model]]]:
        """Yields all transitions that are possible in this state: a description, and a function that creates
        the successor. A message that is never delivered counts as lost."""
        for i, (source, target, message) in enumerate(self.net):
            label = f"{type(message).__name__} {getattr(message, 'key', '')} {source}>{target}"
            yield label, partial(self._after_delivery, i)
            if self.remaining["twice"]:
                yield label + " duplicated", partial(self._after_delivery, i, True)
        for item in ITEMS:
            stage = self.stage[item]
            if stage == "in" and (self.remaining["ask"] or not self.token[item]):
                yield f"{item} requests a lease", partial(self._after_request, item)
            elif stage == "granted":
                yield f"{item} requests the activation", partial(self._after_activation_request, item)
            elif stage == "confirmed":
                yield f"{item} goes out", partial(self._after_going_out, item)
            elif stage == "out" and self.remaining["ask"]:
                yield f"{item} comes back", partial(self._after_return, item)
            if stage in ("granted", "activating") and self.remaining["reclaim"]:
                yield f"2 reclaims {item}", partial(self._after_reclaim, item)
        for number in range(3):
            if self.remaining["crash"] and number in self.crashable:
                yield f"crash {number}", partial(self._after_crash, number)
            if self.remaining["end"] and self.nodes[number].rounds:
                yield f"ballots of {number} are abandoned", partial(self._after_abandoned_ballot, number)
        if not self.halt:
            yield "2 proposes a halt", self._after_halt_request

    def _after_request(self, item: int) -> Model:
        """The state after an item's gateway has requested a lease for it."""
        successor = self._copy()
        successor.remaining["ask"] -= bool(self.token[item])
        successor.stage[item], successor.token[item] = "requesting", -1
        if self.halt == "acknowledged":
            successor.asked_after_halt |= {item}
        successor._propose(
            item,
            KEY,
            "acquire",
            LeaseOperation(LeaseAction.ACQUIRE, item, item, why=self.why, release_term=2),
        )
        return successor

    def _after_activation_request(self, item: int) -> Model:
        """The state after an item's gateway has requested the activation of its lease. With the planted
        fault "lease by the holder's clock alone", the item goes out of service at once, without the
        activation."""
        successor = self._copy()
        if self.fault == FAULTS[2]:
            successor.stage[item] = "out"
            return successor
        successor.stage[item] = "activating"
        if self.halt == "acknowledged":
            successor.asked_after_halt |= {item}
        successor._propose(
            item,
            KEY,
            "activate",
            LeaseOperation(LeaseAction.ACTIVATE, item, item, self.token[item], self.why, release_term=2),
        )
        return successor

    def _after_going_out(self, item: int) -> Model:
        """The state after an item whose activation a majority accepted has gone out of service. Records
        whether the item requested this after the halt of the release was acknowledged."""
        successor = self._copy()
        successor.stage[item] = "out"
        successor.started_after_halt = successor.started_after_halt or (
            item in self.asked_after_halt and self.why is LeasePurpose.RELEASE
        )
        return successor

    def _after_return(self, item: int) -> Model:
        """The state after an item has come back into service and its gateway has proposed to free its
        lease."""
        successor = self._copy()
        successor.remaining["ask"] -= 1
        successor.stage[item] = "back"
        successor._propose(
            item, KEY, "free", LeaseOperation(LeaseAction.FREE, item, item, self.token[item], self.why)
        )
        return successor

    def _after_reclaim(self, item: int) -> Model:
        """The state after member 2 has proposed to reclaim the lease of an item, as if the holder's
        heartbeats had stopped."""
        successor = self._copy()
        successor.remaining["reclaim"] -= 1
        successor._propose(
            2, KEY, "reclaim", LeaseOperation(LeaseAction.RECLAIM, item, item, max(self.token[item], 1))
        )
        return successor

    def _after_halt_request(self) -> Model:
        """The state after member 2 has proposed to halt the release."""
        successor = self._copy()
        successor.halt = "asked"
        successor._propose(2, releases.KEY, "halt", CommandRequest(Command.HALT, 2, 2))
        return successor

    def _after_delivery(self, i: int, duplicate: bool = False) -> Model:
        """The state after message `i` of the network was delivered; with `duplicate` set, it stays in the
        network and may be delivered again."""
        successor = self._copy()
        source, target, message = successor.net[i]
        if duplicate:
            successor.remaining["twice"] -= 1
        else:
            successor.net = successor.net[:i] + successor.net[i + 1 :]
        successor.nodes[target].receive(source, message, 0)
        successor._execute(target)
        return successor

    def _after_crash(self, number: int) -> Model:
        """The state after the process of member `number` has ended and a new one has started from its disk.
        The open requests of its item are lost with the process."""
        successor = self._copy()
        successor.remaining["crash"] -= 1
        if self.fault == FAULTS[1]:
            successor.disks[number] = {
                k: AcceptorState(s.accepted, s.accepted, s.value) for k, s in successor.disks[number].items()
            }
        if self.fault == FAULTS[3]:
            successor.disks[number][releases.KEY] = AcceptorState(value=releases.encode(RUNNING))
        successor.nodes[number] = successor._boot(number)
        successor._bind(successor.nodes[number])
        successor.handles = {k: v for k, v in successor.handles.items() if k[0] != number}
        if number in successor.stage and successor.stage[number] != "out":
            successor.stage[number], successor.token[number] = "in", max(successor.token[number], 1)
        if self.halt == "asked" and number == 2:
            successor.halt = "never"
        return successor

    def _after_abandoned_ballot(self, number: int) -> Model:
        """The state after member `number` has abandoned its open ballots and started new ones for the same
        operations."""
        successor = self._copy()
        successor.remaining["end"] -= 1
        node = successor.nodes[number]
        for key, ballot_round in list(node.rounds.items()):
            node._abandon(key, ballot_round, 0)
            node._start(key, 0)
        successor._execute(number)
        return successor

    # Invariants ---------------------------------------------------------------------------------------

    def violation(self) -> str:
        """Returns the invariant that this state violates, in words, or an empty string."""
        if sum(stage == "out" for stage in self.stage.values()) > GROUP.budget.number:
            return "over budget"
        if self.token_reused:
            return "one token given twice"
        if self.started_after_halt:
            return "went out for a release after its halt was acknowledged"
        if self.halt == "acknowledged":
            halted_disks = sum(
                releases.decode(d[releases.KEY].value).state is State.HALTED for d in self.disks
            )
            if halted_disks < 2:
                return "an acknowledged halt is not with a majority"
        return ""

    def key(self) -> Hashable:
        """Returns a hash of everything in this state that influences its further transitions."""
        nodes = tuple(
            (
                tuple(sorted(n.acceptor_states.items())),
                tuple(sorted(n._highest_counts.items())),
                tuple(sorted((k, b, v) for k, (b, v) in n.learned.items())),
                tuple(
                    (
                        k,
                        g.ballot,
                        tuple(sorted(g.promises.items(), key=repr)),
                        g.value,
                        sorted(g.accepted),
                        tuple(repr(a[1]) for a in g.proposals),
                    )
                    for k, g in sorted(n.rounds.items())
                ),
                tuple((k, tuple(repr(a[1]) for a in w)) for k, w in sorted(n._pending.items()) if w),
            )
            for n in self.nodes
        )
        return hash(
            repr(
                (
                    nodes,
                    self.net,
                    sorted(self.remaining.items()),
                    sorted(self.stage.items()),
                    sorted(self.token.items()),
                    self.halt,
                    self.started_after_halt,
                    self.token_reused,
                    sorted(self.asked_after_halt),
                    sorted(self.granted_items.items()),
                )
            )
        )


NARROW_BOUNDS: dict[str, dict[str, Any]] = {
    FAULTS[0]: {"granted": True, "crashes": 0, "ends": 0, "asks": 0},
    FAULTS[1]: {"crashable": (2,), "ends": 0, "reclaims": 0, "asks": 0},
    FAULTS[2]: {"granted": True, "crashes": 0, "ends": 0, "asks": 0},
    FAULTS[3]: {"halts": True, "why": LeasePurpose.RELEASE, "ends": 0, "reclaims": 0, "asks": 0},
    FAULTS[4]: {"why": LeasePurpose.ROLLBACK, "crashes": 0, "ends": 0, "reclaims": 0, "asks": 0},
}
WIDE_BOUNDS: dict[str, Any] = {"crashes": 2, "twice": 2, "ends": 3, "reclaims": 2, "asks": 3}


def find_planted_fault(fault: str, seed: int = 1, seconds: float = 20.0) -> SearchResult[Model]:
    """Searches by random walks for a violation caused by a planted fault. The NARROW_BOUNDS of the fault
    allow few events (crashes, abandoned ballots, requests) that it does not need, so that it is found
    soon."""
    return random_walks(Model(fault=fault, **NARROW_BOUNDS[fault]), 1_000_000, 40, seed, seconds)


def check_all(short: bool = True, seed: int = 1) -> dict[str, int]:
    """Checks the correct code, and searches for each planted fault within bounds in which the correct code is
    checked too. `short` limits each search to a few states, for the tests. Returns the number of distinct
    states of the correct code as `model_states`, and the numbers of planted and found faults as `planted` and
    `planted_found`. Raises AssertionError with the trace if the correct code violates an invariant."""
    max_states, seconds = (600, 0.5) if short else (60_000, 25.0)
    scenarios: tuple[dict[str, Any], ...] = (
        {},
        {"why": LeasePurpose.RELEASE, "halts": True},
        {"why": LeasePurpose.ROLLBACK},
    )
    states = 0
    for bounds in NARROW_BOUNDS.values():
        states += _require_no_violation(explore(Model(**bounds), max_states, seconds))
        states += _require_no_violation(random_walks(Model(**bounds), max_states, 60, seed, seconds))
    for overrides in scenarios:
        states += _require_no_violation(
            random_walks(Model(**{**WIDE_BOUNDS, **overrides}), max_states, 80, seed, seconds)
        )
    searches = [find_planted_fault(fault, seed, 20.0 if short else 60.0) for fault in FAULTS]
    return {
        "model_states": states,
        "planted": len(FAULTS),
        "planted_found": sum(bool(found.violation) for found in searches),
    }


def _require_no_violation(found: SearchResult[Model]) -> int:
    """Returns the number of states that a search visited; raises AssertionError with the trace if it found a
    violation."""
    assert not found.violation, (found.violation, found.trace)
    return found.states
