"""Holder of disruption leases: for stores that operators take out of service at this gateway, and for this
gateway itself in a drain or a release. No I/O.

    wanted -> granted -> activated -> out ... -> back -> (lease freed)

An item is taken out at most ACTIVATION_VALID_NS after this gateway requested the activation, on its own
clock. A process that was suspended in between requests the activation again, and learns from the answer if
the lease has gone to another holder.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Protocol

from olivecourse.rollout import releases
from olivecourse.rollout.disruption_leases import (
    Answer,
    Lease,
    LeaseAction,
    LeaseOperation,
    LeasePurpose,
    LeaseTable,
    Outcome,
    Phase,
)
from olivecourse.rollout.releases import CommandReply, CommandRequest, Release, State

MS, S = 1_000_000, 1_000_000_000
ACTIVATION_VALID_NS = 1 * S  # an item goes out at most this long after its activation was requested
# Interval at which a lease operation that was queued, refused or not answered is submitted again. An item
# that has come back is refused the end of its lease until it is warm, for instance.
RETRY_NS = 500 * MS
# Upper bound of the random delay after which a gateway requests the lease to restart itself for a release.
RELEASE_JITTER_NS = 300 * MS


class AgreementClient(Protocol):
    """The part of the interface of `member.Member` that `Agent` uses; `Member` explains the methods."""

    version: str

    @property
    def release(self) -> Release: ...

    @property
    def halted(self) -> bool: ...

    def table(self, key: str) -> LeaseTable: ...

    def tables(self) -> dict[str, LeaseTable]: ...

    def submit(self, key: str, operation: LeaseOperation | CommandRequest, now: int) -> int: ...


class Stage(Enum):
    """Progress of this gateway's work on one item: lease wanted, lease granted, item out of service, or item
    receiving requests again with the lease not freed yet."""

    WANTED = "wanted"
    GRANTED = "granted"
    OUT = "out"
    BACK = "back"


@dataclass
class Work:
    """One item for which this gateway holds or wants a lease. `token` is the fencing token of the lease.
    `next_attempt_at` is the local time of the next request, in nanoseconds; `action`, `handle` and
    `requested_at` belong to the last request, and `handle` is 0 if none is open. `release_term` is the term
    of the release when the work began. `status_text` is the last answer in words, for operators."""

    key: str
    item: int
    why: LeasePurpose
    forced: bool = False
    stage: Stage = Stage.WANTED
    token: int = 0
    next_attempt_at: int = 0
    handle: int = 0
    requested_at: int = 0
    action: LeaseAction = LeaseAction.ACQUIRE
    status_text: str = ""
    # A majority of the voting members accepted the activation of the lease, and this process learned that
    # within ACTIVATION_VALID_NS of its request.
    activation_confirmed: bool = False
    release_term: int = 0


class Agent:
    """Requests, uses and frees the leases of one gateway. `me` is the gateway's own number as an item of
    group `key`, and `fleet` has the numbers of all gateways. The callbacks `take_out(item)` and
    `bring_back(item)` take an item out of service and back; the item is this gateway itself or a store."""

    def __init__(
        self,
        me: int,
        key: str,
        fleet: tuple[int, ...],
        member: AgreementClient,
        random: Random,
        take_out: Callable[[int], None],
        bring_back: Callable[[int], None],
        now: int,
        skip_activation: bool = False,
    ) -> None:
        """`skip_activation` takes an item out of service as soon as its lease is granted, without moving the
        lease to phase OUT first. Tests use this to show the fault that this activation prevents."""
        self.me, self.key, self._fleet, self._member, self._random = me, key, fleet, member, random
        self._take_out, self._bring_back, self._skip_activation = take_out, bring_back, skip_activation
        self.works: dict[int, Work] = {}
        self._next_own_request_at = self._next_orphan_check_at = now

    # Start and end of work under a lease --------------------------------------------------------------

    def request_lease(self, key: str, item: int, why: LeasePurpose, now: int, forced: bool = False) -> Work:
        """Starts to request a lease for an item of group `key`, and returns its `Work`. A repeated call for
        the same item returns the same `Work`, until the item receives requests again (`Stage.BACK`)."""
        work = self.works.get(item)
        if work is None or work.stage is Stage.BACK:
            work = self.works[item] = Work(
                key, item, why, forced, next_attempt_at=now, release_term=self._member.release.term
            )
        work.forced = work.forced or forced
        return work

    def release_item(self, key: str, item: int, now: int) -> bool:
        """Ends this gateway's work on an item: brings the item back into service if it is out, or withdraws
        the request or the unused lease. A lease left by an earlier process is taken over first. Returns False
        if the item has no lease and no request."""
        work = self.works.get(item)
        if work is None:
            lease = self._member.table(key).lease_of(item)
            if lease is None:
                return False
            work = self.works[item] = self._adopt(key, lease)
        if work.stage is Stage.OUT:
            work.stage, work.next_attempt_at, work.handle = Stage.BACK, now, 0
            self._bring_back(item)
        elif work.stage is not Stage.BACK:
            self._forget(work, now)
        return True

    def _adopt(self, key: str, lease: Lease) -> Work:
        """Creates the `Work` for an existing lease that this process has not requested, as after a restart;
        its stage follows from the phase of the lease."""
        stage = {Phase.GRANTED: Stage.GRANTED, Phase.OUT: Stage.OUT, Phase.BACK: Stage.BACK}[lease.phase]
        return Work(key, lease.item, lease.why, stage=stage, token=lease.token)

    def _forget(self, work: Work, now: int) -> None:
        """Drops the work on an item that has not gone out of service, and cancels its request or lease."""
        self.works.pop(work.item, None)
        self._member.submit(work.key, LeaseOperation(LeaseAction.CANCEL, work.item, self.me, work.token), now)

    # Periodic work, and answers to lease operations ---------------------------------------------------

    def tick(self, now: int) -> None:
        """Sends the lease requests that are due; must be called every few tens of milliseconds."""
        self._tick_own_item(now)
        if now >= self._next_orphan_check_at:
            self._next_orphan_check_at = now + RETRY_NS
            self._cancel_orphans(now)
        for work in list(self.works.values()):
            if not work.handle and now >= work.next_attempt_at:
                self._advance(work, now)

    def _cancel_orphans(self, now: int) -> None:
        """Cancels queued requests and leases in phase GRANTED that name this gateway as holder but for which
        it has no `Work`: this process gave up the item before the answer came, or an earlier process of this
        gateway requested them."""
        for key, table in self._member.tables().items():
            unwanted = [p.item for p in table.leases if p.phase is Phase.GRANTED and p.holder == self.me]
            unwanted += [queued.item for queued in table.queue if queued.holder == self.me]
            for item in unwanted:
                if item not in self.works:
                    self._member.submit(key, LeaseOperation(LeaseAction.CANCEL, item, self.me), now)

    def _tick_own_item(self, now: int) -> None:
        """Handles the lease of this gateway itself: takes over one left by an earlier process, requests one
        when the wave of the software release with this gateway has started, and gives it up when the release
        is halted."""
        work, release = self.works.get(self.me), self._member.release
        if work is None:
            leftover = self._member.table(self.key).lease_of(self.me)
            if leftover is not None and leftover.holder == self.me and leftover.why is not LeasePurpose.DRAIN:
                work = self.works[self.me] = self._adopt(self.key, leftover)
                if work.stage is Stage.GRANTED:  # the earlier process ended before the gateway was drained
                    self._forget(work, now)
                else:
                    work.stage = Stage.BACK
                return
        allowed = (
            releases.should_request_lease(release, self._fleet, self.me, self._member.version)
            and not self._member.halted
        )
        if work is None and allowed:
            if now >= self._next_own_request_at:
                why = LeasePurpose.ROLLBACK if release.state is State.ROLLING_BACK else LeasePurpose.RELEASE
                work = self.request_lease(self.key, self.me, why, now)
                work.next_attempt_at = now + int(RELEASE_JITTER_NS * self._random.random())
        elif (
            work is not None
            and work.why is not LeasePurpose.DRAIN
            and work.stage is not Stage.BACK
            and not allowed
        ):
            # The release was halted or no longer concerns this gateway, and its process has not been replaced
            # yet: the gateway stays in service, or returns to service with its current version.
            self._next_own_request_at = now + RETRY_NS
            self.release_item(self.key, self.me, now)

    def _advance(self, work: Work, now: int) -> None:
        """Submits the next lease operation for an item according to its stage: acquire, activate, or restore
        and then free. An item that is out waits for `release_item`."""
        if work.stage is Stage.WANTED:
            self._submit(work, LeaseAction.ACQUIRE, now)
        elif work.stage is Stage.GRANTED:
            if self._skip_activation:
                work.stage, work.activation_confirmed = Stage.OUT, True
                self._take_out(work.item)
            else:
                self._submit(work, LeaseAction.ACTIVATE, now)
        elif work.stage is Stage.BACK:
            self._submit(
                work,
                LeaseAction.FREE
                if work.action in (LeaseAction.RESTORE, LeaseAction.FREE)
                else LeaseAction.RESTORE,
                now,
            )

    def _submit(self, work: Work, action: LeaseAction, now: int) -> None:
        """Submits a lease operation and records it as the open request of this `Work`."""
        work.action, work.requested_at = action, now
        operation = LeaseOperation(
            action, work.item, self.me, work.token, work.why, work.forced, work.release_term, now // S
        )
        work.handle = self._member.submit(work.key, operation, now)

    def handle_answer(self, handle: int, answer: Answer | CommandReply | None, now: int) -> bool:
        """Handles the answer to a submitted operation (None: outcome unknown); returns whether `handle`
        belongs to the open request of one of this agent's items."""
        work = next((w for w in self.works.values() if w.handle == handle), None)
        if work is None:
            return False
        work.handle, work.next_attempt_at = 0, now + RETRY_NS
        if not isinstance(answer, Answer):
            work.status_text = "no majority answered"
            return True
        work.status_text = (
            answer.reason
            if answer.outcome is not Outcome.QUEUED
            else (f"waits, {answer.ahead} before it: {answer.reason}")
        )
        if work.action is LeaseAction.ACQUIRE and answer.outcome is Outcome.DONE:
            work.stage, work.token, work.next_attempt_at = Stage.GRANTED, answer.token, now
        elif work.action is LeaseAction.ACTIVATE and work.stage is Stage.GRANTED:
            self._on_activation_reply(work, answer, now)
        elif work.action is LeaseAction.RESTORE:
            if answer.outcome is Outcome.FENCED:
                del self.works[work.item]
        elif work.action is LeaseAction.FREE and answer.outcome in (Outcome.DONE, Outcome.FENCED):
            del self.works[work.item]
        return True

    def _on_activation_reply(self, work: Work, answer: Answer, now: int) -> None:
        """Takes the item out of service if the voting members accepted the activation of its lease (phase
        OUT) and the answer came within ACTIVATION_VALID_NS of the request. A later answer leads to a new
        request for the activation, a refusal to a request for a new lease."""
        if answer.outcome is not Outcome.DONE:  # lease lost, release halted or budget used up: start over
            work.stage, work.token = Stage.WANTED, 0
        elif now - work.requested_at > ACTIVATION_VALID_NS:
            work.next_attempt_at = now  # requested too long ago: the process may have been suspended since
        else:
            work.stage, work.activation_confirmed = Stage.OUT, True
            self._take_out(work.item)

    @property
    def replaceable(self) -> str:
        """The program version that may replace this process now, or an empty string if none may: this gateway
        must be out of service with an activated lease for the release or its rollback, and the release not be
        halted."""
        work = self.works.get(self.me)
        if (
            work is None
            or work.stage is not Stage.OUT
            or not work.activation_confirmed
            or work.why is LeasePurpose.DRAIN
        ):
            return ""
        return "" if self._member.halted else self._member.release.version
