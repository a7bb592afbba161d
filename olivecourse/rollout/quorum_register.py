"""Replicated registers, each agreed on by a majority of the configured members, without a log. No I/O.

The protocol is CASPaxos (D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018): a change is a
function of the current value, run in two phases under one ballot. The names are those of the paper: ballot,
prepare, promise, accept. The caller must write `Step.durable` to disk before it sends `Step.sends`; a member
that cannot guarantee this does not vote, that is, it neither starts ballots nor answers `Prepare` and
`Accept`. A member that has lost its disk waits until no ballot that counted one of its earlier promises can
still be open. It then adopts the newest state reported by a majority of members other than itself, or by all
other members, and votes from then on.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

MS = 1_000_000
# Interval at which an unanswered message is sent again; over twice the longest transit time of a datagram.
RESEND_INTERVAL_NS = 60 * MS
BALLOT_TIMEOUT_NS = 600 * MS  # age at which a member abandons its ballot, even if replies may still arrive
PROPOSAL_TIMEOUT_NS = 2_000 * MS  # age at which the outcome of a queued proposal is reported as unknown
MAX_BACKOFF_NS = 80 * MS  # upper bound of the random delay between an abandoned ballot and the next
# Time that a member with a lost disk waits before it recovers. By then every ballot that counted a promise
# which this member made before the loss has ended.
QUARANTINE_NS = 3 * BALLOT_TIMEOUT_NS


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A ballot number: a counter, made unique by the number of the member that started the ballot. Ballots
    are compared by counter first, then by member number."""

    count: int = 0
    member: int = -1


class AcceptorState(msgspec.Struct, frozen=True, array_like=True):
    """The acceptor state of one register, as written to disk: the highest ballot that this member has
    promised, and the ballot and value that it accepted last."""

    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    value: bytes = b""


class Prepare(msgspec.Struct, frozen=True, array_like=True):
    """Phase 1 request of a ballot: asks an acceptor to reject all lower ballots for register `key` from now
    on."""

    key: str
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True):
    """Phase 1 reply: the ballot and value that the acceptor accepted last, and in `out` the numbers of the
    stores or gateways that the acceptor considers out of service."""

    key: str
    ballot: Ballot
    accepted: Ballot
    value: bytes
    out: tuple[int, ...] = ()


class Accept(msgspec.Struct, frozen=True, array_like=True):
    """Phase 2 request: asks an acceptor to accept `value` under `ballot`."""

    key: str
    ballot: Ballot
    value: bytes


class Accepted(msgspec.Struct, frozen=True, array_like=True):
    """Phase 2 reply: the acceptor has accepted the value of `ballot`."""

    key: str
    ballot: Ballot


class Reject(msgspec.Struct, frozen=True, array_like=True):
    """Refusal of a `Prepare` or `Accept` with this `ballot`: the acceptor has promised the higher ballot
    `seen`. With `fenced` set, the reason is instead that the proposer knew an older term of the software
    release (`Release.term`) than the acceptor does; see `member.is_fenced`."""

    key: str
    ballot: Ballot
    seen: Ballot
    fenced: bool = False


class Learn(msgspec.Struct, frozen=True, array_like=True):
    """A register value that a majority has accepted. With `rumor` set, a receiver that did not know the value
    forwards it to other gateways."""

    key: str
    ballot: Ballot
    value: bytes
    rumor: bool = False


class RecoveryRequest(msgspec.Struct, frozen=True, array_like=True):
    """Sent by a member that has lost its disk: asks another member for the acceptor state of all registers.
    The reply repeats the `nonce`."""

    nonce: int


class RecoveryReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to `RecoveryRequest` with the state of one register, out of `total` registers that the sender
    holds and sends one by one; a `total` of 0 means that it holds none. `authoritative` is true if the sender
    votes, and false if it does not, for instance because its state on disk may be an outdated copy that lacks
    its latest promises."""

    nonce: int
    total: int
    key: str
    acceptor_state: AcceptorState
    authoritative: bool = True


@dataclass
class Step:
    """Effects that the caller must carry out in this order: write `durable` to disk, send `sends`, and report
    the answers in `done`."""

    durable: dict[str, AcceptorState] = field(default_factory=dict)
    sends: list[tuple[int, Any]] = field(default_factory=list)  # (target member, message)
    # (handle of the proposal, answer); an answer of None means that the outcome is unknown.
    done: list[tuple[int, Any]] = field(default_factory=list)


ApplyOperations = Callable[[str, bytes, Sequence[Any], frozenset[int]], tuple[bytes, list[Any]]]
FenceCheck = Callable[[str, bytes], bool]


@dataclass
class BallotRound:
    """State of one ballot that this member has started and that is neither chosen nor abandoned yet."""

    ballot: Ballot
    started_at: int
    sent_at: int
    proposals: list[tuple[int, Any, int]]  # (handle, operation, time of the proposal)
    promises: dict[int, Promise] = field(default_factory=dict)
    value: bytes | None = None  # proposed in phase 2; None during phase 1
    answers: list[Any] = field(default_factory=list)
    accepted: set[int] = field(default_factory=set)


class QuorumRegisters:
    """Proposer and acceptor of one member, for all registers.

    `apply_operations(key, value, operations, out)` computes the next value of a register and one answer for
    each operation; `out` has the stores or gateways that the promises list as out of service. `fence` returns
    whether this member must refuse to accept a value, because its proposer knew an older term of the software
    release. The constructor argument `out` returns the stores or gateways of a register's group that this
    member itself considers out of service; its promises carry them.
    """

    def __init__(
        self,
        me: int,
        members: Sequence[int],
        acceptor_states: dict[str, AcceptorState],
        apply_operations: ApplyOperations,
        random: Random,
        fence: FenceCheck = lambda key, value: False,
        out: Callable[[str], tuple[int, ...]] = lambda key: (),
        votes: bool = True,
    ) -> None:
        """`votes` says whether this member takes part in ballots. It is False for a gateway that is not one
        of `members`. It is False also for a member whose folder with the acceptor state on disk is not
        open, is empty, or may be an outdated copy (`Disk.is_stale`), until that member has recovered the
        state of the other members."""
        self.me, self.members, self.acceptor_states = me, tuple(members), dict(acceptor_states)
        self._apply_operations, self._fence, self._out, self._random = apply_operations, fence, out, random
        self.votes = votes
        # Called for each value that a majority accepted in a ballot of this member.
        self.on_chosen: Callable[[Learn], None] = lambda message: None
        self.step = Step()
        self.learned: dict[str, tuple[Ballot, bytes]] = {}
        self.rounds: dict[str, BallotRound] = {}
        self._pending: dict[str, list[tuple[int, Any, int]]] = {}
        self._not_before: dict[str, int] = {}
        self._highest_counts: dict[str, int] = {}
        self._recovery: tuple[int, int, dict[int, dict[str, AcceptorState]], dict[int, int]] | None = None
        self._recovery_sent_at = 0
        self._authoritative_members: set[int] = set()  # voting members that answered a `RecoveryRequest`

    @property
    def majority(self) -> int:
        """The number of members whose promises or acceptances a ballot needs: more than half of all
        members."""
        return len(self.members) // 2 + 1

    def take_step(self) -> Step:
        """Returns the disk writes, messages and answers collected since the last call, for the caller to
        carry out, and starts a new, empty step."""
        step, self.step = self.step, Step()
        return step

    def propose(self, key: str, handle: int, operation: Any, now: int) -> None:
        """Proposes an operation on register `key`; its answer appears in `Step.done` under `handle`.
        Operations proposed while a ballot for the register is open are batched into the next ballot."""
        self._pending.setdefault(key, []).append((handle, operation, now))
        self._start(key, now)

    # Proposer: ballots to change a register's value ---------------------------------------------------

    def _start(self, key: str, now: int) -> None:
        """Starts a ballot for the pending proposals of register `key`, unless a ballot for it is open, this
        member does not vote, or the random delay after an abandoned ballot has not passed."""
        if key in self.rounds or not self.votes or now < self._not_before.get(key, 0):
            return
        proposals = self._pending.pop(key, [])
        if not proposals:
            return
        acceptor_state = self.acceptor_states.get(key, AcceptorState())
        count = (
            max(
                self._highest_counts.get(key, 0), acceptor_state.promised.count, acceptor_state.accepted.count
            )
            + 1
        )
        ballot = Ballot(count, self.me)
        self._highest_counts[key] = count
        self.rounds[key] = BallotRound(ballot, now, now, proposals)
        # This member promises first. The promise is on disk before any other member receives the ballot, so
        # that no ballot number is ever used twice.
        own_reply = self._handle_prepare(Prepare(key, ballot))
        for member in self.members:
            if member != self.me:
                self._send(member, Prepare(key, ballot))
        self.receive(self.me, own_reply, now)

    def _on_promise(self, sender: int, message: Promise, now: int) -> None:
        """Counts a promise. Once a majority has promised, applies the operations to the value with the
        highest accepted ballot, and starts phase 2."""
        ballot_round = self.rounds.get(message.key)
        if ballot_round is None or ballot_round.ballot != message.ballot or ballot_round.value is not None:
            return
        ballot_round.promises[sender] = message
        if len(ballot_round.promises) < self.majority:
            return
        newest = max(ballot_round.promises.values(), key=lambda p: p.accepted)
        out = frozenset(name for p in ballot_round.promises.values() for name in p.out)
        ballot_round.value, ballot_round.answers = self._apply_operations(
            message.key, newest.value, [op for _, op, _ in ballot_round.proposals], out
        )
        ballot_round.sent_at = now
        accept = Accept(message.key, ballot_round.ballot, ballot_round.value)
        own_reply = self._handle_accept(accept)
        for member in self.members:
            if member != self.me:
                self._send(member, accept)
        self.receive(self.me, own_reply, now)

    def _on_accepted(self, sender: int, message: Accepted, now: int) -> None:
        """Counts an acceptance. Once a majority has accepted, the value is chosen: this member announces it
        to the others, and reports the answers to the operations of the ballot."""
        ballot_round = self.rounds.get(message.key)
        if ballot_round is None or ballot_round.ballot != message.ballot or ballot_round.value is None:
            return
        ballot_round.accepted.add(sender)
        if len(ballot_round.accepted) < self.majority:
            return
        del self.rounds[message.key]
        chosen = Learn(message.key, ballot_round.ballot, ballot_round.value, rumor=True)
        self.learn(chosen)
        for member in self.members:
            if member != self.me:
                self._send(member, chosen)
        self.on_chosen(chosen)
        for (handle, _, _), answer in zip(ballot_round.proposals, ballot_round.answers, strict=True):
            self.step.done.append((handle, answer))
        self._start(message.key, now)

    def _on_reject(self, message: Reject, now: int) -> None:
        """Abandons this member's open ballot if it was rejected, and remembers the higher ballot's counter,
        which the next ballot exceeds."""
        self._highest_counts[message.key] = max(self._highest_counts.get(message.key, 0), message.seen.count)
        ballot_round = self.rounds.get(message.key)
        if ballot_round is not None and ballot_round.ballot == message.ballot:
            self._abandon(message.key, ballot_round, now)

    def _abandon(self, key: str, ballot_round: BallotRound, now: int) -> None:
        """Gives up a ballot and queues its operations for the next ballot, which starts after a random delay
        of up to MAX_BACKOFF_NS. Their changes may or may not have been chosen; operations are idempotent, so
        that they can be applied again."""
        del self.rounds[key]
        self._pending[key] = ballot_round.proposals + self._pending.get(key, [])
        self._not_before[key] = now + int(MAX_BACKOFF_NS * self._random.random())

    # Acceptor: promises to proposers and accepted values ----------------------------------------------

    def _store_acceptor_state(self, key: str, acceptor_state: AcceptorState) -> None:
        """Changes the acceptor state of register `key`, and adds it to the state that the caller must write
        to disk."""
        self.acceptor_states[key] = self.step.durable[key] = acceptor_state

    def _handle_prepare(self, message: Prepare) -> Promise | Reject:
        """Promises the ballot of a phase 1 request, unless this acceptor has already promised a higher one
        for the same register."""
        acceptor_state = self.acceptor_states.get(message.key, AcceptorState())
        if message.ballot < acceptor_state.promised:
            return Reject(message.key, message.ballot, acceptor_state.promised)
        if message.ballot > acceptor_state.promised:
            self._store_acceptor_state(
                message.key, msgspec.structs.replace(acceptor_state, promised=message.ballot)
            )
        return Promise(
            message.key, message.ballot, acceptor_state.accepted, acceptor_state.value, self._out(message.key)
        )

    def _handle_accept(self, message: Accept) -> Accepted | Reject:
        """Accepts the value of a phase 2 request, unless this acceptor has promised a higher ballot or
        `fence` reports that the proposer knew an older term of the software release than this member."""
        acceptor_state = self.acceptor_states.get(message.key, AcceptorState())
        if message.ballot < acceptor_state.promised:
            return Reject(message.key, message.ballot, acceptor_state.promised)
        if self._fence(message.key, message.value):
            return Reject(message.key, message.ballot, acceptor_state.promised, True)
        if (acceptor_state.promised, acceptor_state.accepted) != (message.ballot, message.ballot):
            self._store_acceptor_state(
                message.key, AcceptorState(message.ballot, message.ballot, message.value)
            )
        return Accepted(message.key, message.ballot)

    # Dispatch of messages, learned values and periodic work -------------------------------------------

    def _send(self, member: int, message: Any) -> None:
        self.step.sends.append((member, message))

    def receive(self, sender: int, message: Any, now: int) -> None:
        """Handles a protocol message from one of the voting members; messages from other senders are
        ignored."""
        if sender not in self.members:
            return
        if isinstance(message, Prepare) and self.votes:
            self._send(sender, self._handle_prepare(message))
        elif isinstance(message, Accept) and self.votes:
            self._send(sender, self._handle_accept(message))
        elif isinstance(message, Promise):
            self._on_promise(sender, message, now)
        elif isinstance(message, Accepted):
            self._on_accepted(sender, message, now)
        elif isinstance(message, Reject):
            self._on_reject(message, now)
        elif isinstance(message, Learn):
            self.learn(message)
        elif isinstance(message, RecoveryRequest) and (self.votes or self.acceptor_states):
            self._answer_recovery(sender, message)
        elif isinstance(message, RecoveryReply):
            self._on_recovery_reply(sender, message)

    def learn(self, message: Learn) -> bool:
        """Records a register value that a majority has accepted; returns whether its ballot is newer than
        that of the value known before."""
        known = self.learned.get(message.key)
        if known is not None and message.ballot <= known[0]:
            return False
        self.learned[message.key] = (message.ballot, message.value)
        self._highest_counts[message.key] = max(
            self._highest_counts.get(message.key, 0), message.ballot.count
        )
        return True

    def tick(self, now: int) -> None:
        """Sends unanswered messages again, abandons ballots and proposals that have timed out, and requests
        recovery if this member has no right to vote; must be called every few tens of milliseconds."""
        # A gateway that is not one of `members` never gets the right to vote, so it requests no recovery.
        if not self.votes and self.me in self.members:
            self._request_recovery(now)
        for key, ballot_round in list(self.rounds.items()):
            if now - ballot_round.started_at > BALLOT_TIMEOUT_NS:
                self._abandon(key, ballot_round, now)
            elif now - ballot_round.sent_at > RESEND_INTERVAL_NS:
                ballot_round.sent_at = now
                preparing = ballot_round.value is None
                resend = (
                    Prepare(key, ballot_round.ballot)
                    if ballot_round.value is None
                    else Accept(key, ballot_round.ballot, ballot_round.value)
                )
                for member in self.members:
                    if member != self.me and member not in (
                        ballot_round.promises if preparing else ballot_round.accepted
                    ):
                        self._send(member, resend)
        for key, proposals in list(self._pending.items()):
            expired = [proposal for proposal in proposals if now - proposal[2] > PROPOSAL_TIMEOUT_NS]
            self.step.done += [(handle, None) for handle, _, _ in expired]
            self._pending[key] = [proposal for proposal in proposals if proposal not in expired]
            self._start(key, now)

    def load_acceptor_states(self, acceptor_states: dict[str, AcceptorState], votes: bool) -> None:
        """Replaces the register states by those read from this member's folder on disk, which could be opened
        only after the start of the process. `votes` says whether this member may vote with them."""
        self.acceptor_states, self.votes = dict(acceptor_states), votes
        for key, acceptor_state in acceptor_states.items():
            if acceptor_state.value:
                self.learn(Learn(key, acceptor_state.accepted, acceptor_state.value))

    # Recovery after a lost disk -----------------------------------------------------------------------

    def _request_recovery(self, now: int) -> None:
        """Asks the other members for their register states, every 4 * RESEND_INTERVAL_NS from the end of the
        waiting time QUARANTINE_NS, until `_on_recovery_reply` gives this member the right to vote."""
        if self._recovery is None:
            self._recovery = (self._random.getrandbits(31), now, {}, {})
        nonce, started_at, _, _ = self._recovery
        if now - started_at >= QUARANTINE_NS and now - self._recovery_sent_at >= 4 * RESEND_INTERVAL_NS:
            self._recovery_sent_at = now
            for member in self.members:
                if member != self.me:
                    self._send(member, RecoveryRequest(nonce))

    def _answer_recovery(self, sender: int, message: RecoveryRequest) -> None:
        """Sends the state of every register, one message each, to a member that has lost its disk."""
        if not self.acceptor_states:
            self._send(sender, RecoveryReply(message.nonce, 0, "", AcceptorState()))
        for key, acceptor_state in self.acceptor_states.items():
            self._send(
                sender,
                RecoveryReply(message.nonce, len(self.acceptor_states), key, acceptor_state, self.votes),
            )

    def _on_recovery_reply(self, sender: int, message: RecoveryReply) -> None:
        """Collects the register states that other members send to this one, which may not vote yet. Adopts
        the newest state of each register, and the right to vote, once the complete states have arrived either
        from members that vote now and are a majority of all members, or from all members except this one."""
        if self.votes or self._recovery is None or message.nonce != self._recovery[0]:
            return
        _, _, found, totals = self._recovery
        totals[sender] = message.total
        (self._authoritative_members.add if message.authoritative else self._authoritative_members.discard)(
            sender
        )
        if message.total:
            found.setdefault(sender, {})[message.key] = message.acceptor_state
        complete = [m for m, total in totals.items() if len(found.get(m, {})) >= total]
        # Any majority made up of other members shares a member with every majority that this member may have
        # been part of, and so knows its outcome. This counts only members that vote. After a power cut longer
        # than `disk.STALE_AFTER_S`, the time stamps in all folders are too old and no member votes, so that
        # such a majority never forms. This member then waits for the states of all other members: together
        # they hold every value that was chosen.
        if (
            len(self._authoritative_members.intersection(complete)) < self.majority
            and len(complete) < len(self.members) - 1
        ):
            return
        for acceptor_states in found.values():
            for key, acceptor_state in acceptor_states.items():
                current = self.acceptor_states.get(key, AcceptorState())
                newest = acceptor_state if acceptor_state.accepted > current.accepted else current
                self._store_acceptor_state(
                    key,
                    AcceptorState(
                        max(acceptor_state.promised, current.promised), newest.accepted, newest.value
                    ),
                )
        self.votes, self._recovery = True, None
