"""Registers that a majority of the configured members keeps, by Paxos without a log. No I/O.

After D. Rystsov, "CASPaxos: Replicated State Machines without logs" (2018): a change is a function of the
value, played in two phases under one ballot. Names are the paper's: ballot, prepare, promise, accept. What
`Step.durable` holds must be on disk before `Step.sends` leaves; a member that cannot promise that does not
vote. A member that has lost its disk waits until no round of its former life can be open any more, and then
takes the highest it hears from a majority that it is not part of, or from all others.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

MS = 1_000_000
AGAIN_NS = 60 * MS  # until what was not answered is sent again: over twice the slowest way of a datagram
BALLOT_TIMEOUT_NS = 600 * MS  # a ballot is given up after so long, whatever may still arrive for it
PROPOSAL_TIMEOUT_NS = 2_000 * MS  # after so long a change is answered as unknown
MAX_BACKOFF_NS = 80 * MS  # at most, after another member's higher ballot
QUARANTINE_NS = 3 * BALLOT_TIMEOUT_NS  # after a lost disk: no round may count a promise made before it


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    count: int = 0
    member: int = -1


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """What an acceptor holds of one register, all of it durable."""

    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    value: bytes = b""


class Prepare(msgspec.Struct, frozen=True, array_like=True):
    key: str
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True):
    """With what was accepted last, and whom this member takes to be out."""

    key: str
    ballot: Ballot
    accepted: Ballot
    value: bytes
    out: tuple[int, ...] = ()


class Accept(msgspec.Struct, frozen=True, array_like=True):
    key: str
    ballot: Ballot
    value: bytes


class Accepted(msgspec.Struct, frozen=True, array_like=True):
    key: str
    ballot: Ballot


class Reject(msgspec.Struct, frozen=True, array_like=True):
    """A higher ballot was promised; `fenced`: the value rests on a release that has ended since."""

    key: str
    ballot: Ballot
    seen: Ballot
    fenced: bool = False


class Learn(msgspec.Struct, frozen=True, array_like=True):
    """Chosen by a majority. `rumor`: to be passed on by whoever did not know it yet."""

    key: str
    ballot: Ballot
    value: bytes
    rumor: bool = False


class Recall(msgspec.Struct, frozen=True, array_like=True):
    """A member that has lost its disk asks what is held."""

    nonce: int


class RecoveryReply(msgspec.Struct, frozen=True, array_like=True):
    """One register of so many; `total` 0: none is held. `sure`: from a member that votes, and not from one
    whose folder may be a copy of an older one."""

    nonce: int
    total: int
    key: str
    slot: Slot
    authoritative: bool = True


@dataclass
class Step:
    """What came of a call, in the order in which it must be done: write, then send, then tell."""

    durable: dict[str, Slot] = field(default_factory=dict)
    sends: list[tuple[int, Any]] = field(default_factory=list)
    done: list[tuple[int, Any]] = field(default_factory=list)  # (handle, answer); None: not known


ApplyOperations = Callable[[str, bytes, Sequence[Any], frozenset[int]], tuple[bytes, list[Any]]]
FenceCheck = Callable[[str, bytes], bool]


@dataclass
class BallotRound:
    ballot: Ballot
    started_at: int
    sent_at: int
    proposals: list[tuple[int, Any, int]]  # handle, operation, since when
    promises: dict[int, Promise] = field(default_factory=dict)
    value: bytes | None = None  # proposed in the second phase
    answers: list[Any] = field(default_factory=list)
    accepted: set[int] = field(default_factory=set)


class QuorumRegisters:
    """One member's part in all registers. `judge` gives the next value and an answer for each operation;
    `fence` says of a value that is to be accepted whether it rests on a release that has ended."""

    def __init__(
        self,
        me: int,
        members: Sequence[int],
        slots: dict[str, Slot],
        apply_operations: ApplyOperations,
        random: Random,
        fence: FenceCheck = lambda key, value: False,
        out: Callable[[str], tuple[int, ...]] = lambda key: (),
        votes: bool = True,
    ) -> None:
        """`votes`: False for a member whose disk came back empty, until it has caught up."""
        self.me, self.members, self.slots = me, tuple(members), dict(slots)
        self._apply_operations, self._fence, self._out, self._random = apply_operations, fence, out, random
        self.votes = votes
        self.on_chosen: Callable[[Learn], None] = lambda message: None  # called with each value chosen here
        self.step = Step()
        self.learned: dict[str, tuple[Ballot, bytes]] = {}
        self.rounds: dict[str, BallotRound] = {}
        self._pending: dict[str, list[tuple[int, Any, int]]] = {}
        self._not_before: dict[str, int] = {}
        self._highest_counts: dict[str, int] = {}
        self._recovery: tuple[int, int, dict[int, dict[str, Slot]], dict[int, int]] | None = None
        self._recovery_sent_at = 0
        self._authoritative_members: set[int] = set()  # who votes, of those that answered

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    def taken(self) -> Step:
        """The step so far; the next one is empty."""
        step, self.step = self.step, Step()
        return step

    def propose(self, key: str, handle: int, operation: Any, now: int) -> None:
        """Plays the operation on a register; its answer comes under `handle`. Those that come while a ballot
        is open are played together in the next."""
        self._pending.setdefault(key, []).append((handle, operation, now))
        self._start(key, now)

    # A ballot of our own ------------------------------------------------------------------------------

    def _start(self, key: str, now: int) -> None:
        if key in self.rounds or not self.votes or now < self._not_before.get(key, 0):
            return
        proposals = self._pending.pop(key, [])
        if not proposals:
            return
        slot = self.slots.get(key, Slot())
        count = max(self._highest_counts.get(key, 0), slot.promised.count, slot.accepted.count) + 1
        ballot = Ballot(count, self.me)
        self._highest_counts[key] = count
        self.rounds[key] = BallotRound(ballot, now, now, proposals)
        # Our own promise first: it is on disk before anyone hears of the ballot, so none is ever used twice.
        own_reply = self._handle_prepare(Prepare(key, ballot))
        for member in self.members:
            if member != self.me:
                self._send(member, Prepare(key, ballot))
        self.heard(self.me, own_reply, now)

    def _on_promise(self, sender: int, message: Promise, now: int) -> None:
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
        self.heard(self.me, own_reply, now)

    def _on_accepted(self, sender: int, message: Accepted, now: int) -> None:
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
        self._highest_counts[message.key] = max(self._highest_counts.get(message.key, 0), message.seen.count)
        ballot_round = self.rounds.get(message.key)
        if ballot_round is not None and ballot_round.ballot == message.ballot:
            self._abandon(message.key, ballot_round, now)

    def _abandon(self, key: str, ballot_round: BallotRound, now: int) -> None:
        """Its changes may have been made or not; each is played again, and knows itself if it was."""
        del self.rounds[key]
        self._pending[key] = ballot_round.proposals + self._pending.get(key, [])
        self._not_before[key] = now + int(MAX_BACKOFF_NS * self._random.random())

    # Votes --------------------------------------------------------------------------------------------

    def _store_slot(self, key: str, slot: Slot) -> None:
        self.slots[key] = self.step.durable[key] = slot

    def _handle_prepare(self, message: Prepare) -> Promise | Reject:
        slot = self.slots.get(message.key, Slot())
        if message.ballot < slot.promised:
            return Reject(message.key, message.ballot, slot.promised)
        if message.ballot > slot.promised:
            self._store_slot(message.key, msgspec.structs.replace(slot, promised=message.ballot))
        return Promise(message.key, message.ballot, slot.accepted, slot.value, self._out(message.key))

    def _handle_accept(self, message: Accept) -> Accepted | Reject:
        slot = self.slots.get(message.key, Slot())
        if message.ballot < slot.promised:
            return Reject(message.key, message.ballot, slot.promised)
        if self._fence(message.key, message.value):
            return Reject(message.key, message.ballot, slot.promised, True)
        if (slot.promised, slot.accepted) != (message.ballot, message.ballot):
            self._store_slot(message.key, Slot(message.ballot, message.ballot, message.value))
        return Accepted(message.key, message.ballot)

    # In and out ---------------------------------------------------------------------------------------

    def _send(self, member: int, message: Any) -> None:
        self.step.sends.append((member, message))

    def heard(self, sender: int, message: Any, now: int) -> None:
        """A message of another member; who is none is not listened to."""
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
        elif isinstance(message, Recall) and (self.votes or self.slots):
            self._answer_recovery(sender, message)
        elif isinstance(message, RecoveryReply):
            self._on_recovery_reply(sender, message)

    def learn(self, message: Learn) -> bool:
        """Whether it is newer than what was known."""
        known = self.learned.get(message.key)
        if known is not None and message.ballot <= known[0]:
            return False
        self.learned[message.key] = (message.ballot, message.value)
        self._highest_counts[message.key] = max(
            self._highest_counts.get(message.key, 0), message.ballot.count
        )
        return True

    def tick(self, now: int) -> None:
        """To be called every few tens of milliseconds."""
        if not self.votes and self.me in self.members:  # who never votes has no vote to win back
            self._request_recovery(now)
        for key, ballot_round in list(self.rounds.items()):
            if now - ballot_round.started_at > BALLOT_TIMEOUT_NS:
                self._abandon(key, ballot_round, now)
            elif now - ballot_round.sent_at > AGAIN_NS:
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
            expired = [ask for ask in proposals if now - ask[2] > PROPOSAL_TIMEOUT_NS]
            self.step.done += [(handle, None) for handle, _, _ in expired]
            self._pending[key] = [ask for ask in proposals if ask not in expired]
            self._start(key, now)

    def load_slots(self, slots: dict[str, Slot], votes: bool) -> None:
        """A member that did not vote has got its disk: what it holds, and whether it may vote by it now."""
        self.slots, self.votes = dict(slots), votes
        for key, slot in slots.items():
            if slot.value:
                self.learn(Learn(key, slot.accepted, slot.value))

    # A lost disk --------------------------------------------------------------------------------------

    def _request_recovery(self, now: int) -> None:
        if self._recovery is None:
            self._recovery = (self._random.getrandbits(31), now, {}, {})
        nonce, started_at, _, _ = self._recovery
        if now - started_at >= QUARANTINE_NS and now - self._recovery_sent_at >= 4 * AGAIN_NS:
            self._recovery_sent_at = now
            for member in self.members:
                if member != self.me:
                    self._send(member, Recall(nonce))

    def _answer_recovery(self, sender: int, message: Recall) -> None:
        if not self.slots:
            self._send(sender, RecoveryReply(message.nonce, 0, "", Slot()))
        for key, slot in self.slots.items():
            self._send(sender, RecoveryReply(message.nonce, len(self.slots), key, slot, self.votes))

    def _on_recovery_reply(self, sender: int, message: RecoveryReply) -> None:
        if self.votes or self._recovery is None or message.nonce != self._recovery[0]:
            return
        _, _, found, totals = self._recovery
        totals[sender] = message.total
        (self._authoritative_members.add if message.authoritative else self._authoritative_members.discard)(
            sender
        )
        if message.total:
            found.setdefault(sender, {})[message.key] = message.slot
        complete = [m for m, total in totals.items() if len(found.get(m, {})) >= total]
        # A majority without us has one of each majority that we may have been part of. Where all folders are
        # old, as after a long power cut, all of the others together hold whatever was chosen.
        if (
            len(self._authoritative_members.intersection(complete)) < self.majority
            and len(complete) < len(self.members) - 1
        ):
            return
        for slots in found.values():
            for key, slot in slots.items():
                current = self.slots.get(key, Slot())
                newest = slot if slot.accepted > current.accepted else current
                self._store_slot(
                    key, Slot(max(slot.promised, current.promised), newest.accepted, newest.value)
                )
        self.votes, self._recovery = True, None
