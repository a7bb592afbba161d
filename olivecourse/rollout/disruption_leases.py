"""Disruption leases: permissions to be out of service, as the value of one register. No I/O.

A lease names one item (a store or a gateway) and carries a fencing token: a number that grows with each
grant, so that operations of an earlier holder are recognized. Phase `GRANTED`: the item may go out of service
but still serves. `OUT`: the item is going out of service or is out. `BACK`: the item receives requests again
but may still be cold. A lease in phase `OUT` or `BACK` ends only when the voting members see its item in
service and warm, or when an operator forces it, and never because time has passed. A lease in phase `GRANTED`
is reclaimed when the heartbeats of its holder have stopped.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from olivecourse.rollout.budgets import Group

MAX_LEASES, MAX_QUEUED = 6, 4  # per group: an encoded lease table must fit into one datagram
# Longest encoded lease table. It must fit into one datagram, of at most 256 bytes (wire.MAX_DATAGRAM_BYTES);
# the other 96 bytes are left for the datagram's header and the other fields of the message.
MAX_VALUE_BYTES = 160


class Phase(IntEnum):
    """How far the work under a lease has come: granted, item out of service, or item receiving requests
    again. The head of this module says what each phase means."""

    GRANTED = 0
    OUT = 1
    BACK = 2


class LeasePurpose(IntEnum):
    """The purpose of a lease: an operator's drain, a release, or the rollback of a release."""

    DRAIN = 0
    RELEASE = 1
    ROLLBACK = 2


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """A granted lease. `item` is the number of the store or gateway that may go out of service, `holder` the
    number of the gateway that requested it, `token` the fencing token, and `since` the Unix time, in seconds,
    of the request that was granted."""

    item: int
    holder: int
    token: int
    phase: Phase
    why: LeasePurpose
    since: int


class QueuedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A lease request of gateway `holder` that waits in the queue of the group until the budget allows it;
    `since` is the Unix time of the request in seconds."""

    item: int
    holder: int
    why: LeasePurpose
    since: int


class LeaseTable(msgspec.Struct, frozen=True, array_like=True):
    """The leases of one group, and the requests that wait for one in order of arrival. `token` is the last
    fencing token issued. `release_term` is the newest term of the release known to any member that has
    changed the table; `member.is_fenced` compares it with the term known to each voting member that is to
    accept the table."""

    token: int = 0
    release_term: int = 0
    leases: tuple[Lease, ...] = ()
    queue: tuple[QueuedRequest, ...] = ()

    def lease_of(self, item: int) -> Lease | None:
        """The lease of `item`, or None if it has no lease."""
        return next((p for p in self.leases if p.item == item), None)


class LeaseAction(IntEnum):
    """Operations on the lease of one item."""

    ACQUIRE = 0  # requests a lease, or a position in the queue
    ACTIVATE = 1  # to phase OUT: the holder is about to take the item out of service
    FREE = 2  # ends the lease; unless forced, refused until the item is in service and warm
    CANCEL = 3  # withdraws a queued request, or a lease in phase GRANTED
    RECLAIM = 4  # by any gateway: withdraws requests and GRANTED leases of a holder without heartbeats
    RESTORE = 5  # to phase BACK: the work is done and the item receives requests again


class LeaseOperation(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """One operation on the lease of `item` by or for gateway `holder`. `token` is the fencing token of the
    lease as known to the sender. `forced` is set by an operator to bypass the budget and the queue, or to end
    a lease early; `release_term` is the term of the release on whose behalf the requester acts."""

    action: LeaseAction
    item: int
    holder: int = 0
    token: int = 0
    why: LeasePurpose = LeasePurpose.DRAIN
    forced: bool = False
    release_term: int = 0
    since: int = 0


class Outcome(IntEnum):
    """Result of a lease operation."""

    DONE = 0
    QUEUED = 1
    REFUSED = 2
    FENCED = 3  # the token of the operation is not the current token of the lease


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Answer to a lease operation: the `token` of the lease, the number of queued requests `ahead`, the
    `reason` of a refusal or of waiting, and on a refusal the `holder` and request time `since` of the lease
    in the way, if there is one."""

    outcome: Outcome
    token: int = 0
    ahead: int = 0
    reason: str = ""
    holder: int = -1
    since: int = 0


@dataclass(frozen=True)
class View:
    """What the member that runs the ballot knows at that moment: the group; the items out of service, as
    listed by the members that promised the ballot or as seen by this one; the term of the release and whether
    it is halted; and, by `silent(holder)`, whether the heartbeats of a holder have stopped for longer than
    the detection time (`LivenessTracker.silent`)."""

    group: Group
    out: Collection[int]
    release_term: int = 0
    halted: bool = False
    silent: Callable[[int], bool] = lambda holder: False


def encode(table: LeaseTable) -> bytes:
    """Encodes a lease table as a register value."""
    return msgspec.msgpack.encode(table)


def decode(value: bytes) -> LeaseTable:
    """Decodes a register value into a lease table; an empty value is an empty table. Raises ValueError."""
    if not value:
        return LeaseTable()
    try:
        return msgspec.msgpack.decode(value, type=LeaseTable)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


def apply_operation(table: LeaseTable, op: LeaseOperation, view: View) -> tuple[LeaseTable, Answer]:
    """Returns the table after one operation, and the answer to it. A change that makes the encoded table
    larger than MAX_VALUE_BYTES is refused. Operations are idempotent."""
    after, answer = HANDLERS[op.action](table, op, view)
    if after is not table and len(encode(after)) > MAX_VALUE_BYTES:
        return table, Answer(Outcome.REFUSED, reason="the table is full")
    return after, answer


def apply_batch(value: bytes, ops: Sequence[LeaseOperation], view: View) -> tuple[bytes, list[Answer]]:
    """Applies all operations of one ballot to a register value, in order of arrival. Returns the new register
    value and one answer for each operation."""
    before, answers = decode(value), list[Answer]()
    table = before
    for op in ops:
        table, answer = apply_operation(table, op, view)
        answers.append(answer)
    if table is not before and view.release_term > table.release_term:
        table = msgspec.structs.replace(table, release_term=view.release_term)
    return encode(table), answers


def starts_release_work(new: LeaseTable, old: LeaseTable) -> bool:
    """Returns whether `new` has a lease for a release that was granted, or moved from GRANTED to OUT, since
    the table `old`."""
    for lease in new.leases:
        current = old.lease_of(lease.item)
        new_lease = current is None or current.token != lease.token
        if lease.why is LeasePurpose.RELEASE and (
            new_lease or current is not None and (lease.phase is Phase.OUT and current.phase is Phase.GRANTED)
        ):
            return True
    return False


def items_out(table: LeaseTable, view: View) -> set[int]:
    """All items of the group that are out of service, or hold a lease and may go out of service at any
    moment. The budget counts these."""
    return {p.item for p in table.leases} | set(view.out)


def _refusal(table: LeaseTable, reason: str) -> Answer:
    """A refusal for this reason. It names the holder of the oldest lease of the group, if there is one, for
    the operator to see who is in the way."""
    oldest = min(table.leases, key=lambda p: p.since, default=None)
    if oldest is None:
        return Answer(Outcome.REFUSED, reason=reason)
    return Answer(Outcome.REFUSED, reason=reason, holder=oldest.holder, since=oldest.since)


def _acquire(table: LeaseTable, op: LeaseOperation, view: View) -> tuple[LeaseTable, Answer]:
    """Grants gateway `op.holder` a lease if the group's budget allows it and no earlier request is queued;
    otherwise queues or refuses the request. The code below lists the exceptions for forced requests and for
    items that are out of service anyway."""
    current = table.lease_of(op.item)
    if current is not None:
        if current.holder == op.holder and current.why == op.why:
            return table, Answer(Outcome.DONE, current.token)  # a repeated request: the first answer was lost
        return table, Answer(
            Outcome.REFUSED, reason="has a place already", holder=current.holder, since=current.since
        )
    if op.why is LeasePurpose.RELEASE and (view.halted or op.release_term < view.release_term):
        return table, Answer(Outcome.REFUSED, reason="the release is halted")
    if op.item not in view.group.capacity:
        return table, Answer(Outcome.REFUSED, reason="not listed")
    position = next((i for i, queued in enumerate(table.queue) if queued.item == op.item), None)
    ahead = len(table.queue) if position is None else position
    out = items_out(table, view)
    reason = view.group.denial_reason(out, op.item, op.forced)
    # Requests are served in order of arrival. Forced requests skip the queue. So do requests for an item that
    # is out of service anyway, since they do not delay the requests before them.
    if not reason and (op.forced or not ahead or op.item in view.out):
        reason = "" if len(table.leases) < MAX_LEASES else "the table is full"
        if not reason:
            token = table.token + 1
            lease = Lease(op.item, op.holder, token, Phase.GRANTED, op.why, op.since)
            remaining_queue = tuple(w for w in table.queue if w.item != op.item)
            return LeaseTable(token, table.release_term, (*table.leases, lease), remaining_queue), Answer(
                Outcome.DONE, token
            )
    if op.forced or "last one" in reason:
        return table, _refusal(table, reason)
    if position is not None:
        return table, Answer(Outcome.QUEUED, ahead=ahead, reason=reason)
    if len(table.queue) >= MAX_QUEUED:
        return table, _refusal(table, f"{reason or 'others wait'}, and the queue is full")
    queued = QueuedRequest(op.item, op.holder, op.why, op.since)
    return msgspec.structs.replace(table, queue=(*table.queue, queued)), Answer(
        Outcome.QUEUED, ahead=ahead, reason=reason or "others wait longer"
    )


def _activate(table: LeaseTable, op: LeaseOperation, view: View) -> tuple[LeaseTable, Answer]:
    """Moves a granted lease to phase OUT, after checking again that the token is current, that the release is
    not halted, and that the budget still allows it. The holder takes the item out of service only after
    this."""
    current = table.lease_of(op.item)
    if current is None or current.token != op.token or current.holder != op.holder:
        return table, Answer(Outcome.FENCED, reason="the place was given to another or taken back")
    if current.phase is not Phase.GRANTED:
        return table, Answer(Outcome.DONE, current.token)
    if current.why is LeasePurpose.RELEASE and (view.halted or op.release_term < view.release_term):
        return _without(table, current), Answer(Outcome.REFUSED, reason="the release is halted")
    others = {p.item for p in table.leases if p is not current} | set(view.out)
    # Other items may have failed since the grant and used up the budget. An item that still serves then loses
    # its lease, and its holder must request a new one.
    if op.item not in view.out and not op.forced and (reason := view.group.denial_reason(others, op.item)):
        return _without(table, current), Answer(Outcome.REFUSED, reason=reason)
    activated = msgspec.structs.replace(current, phase=Phase.OUT)
    leases = tuple(activated if p is current else p for p in table.leases)
    return msgspec.structs.replace(table, leases=leases), Answer(Outcome.DONE, current.token)


def _without(table: LeaseTable, lease: Lease) -> LeaseTable:
    """Returns a copy of the table without `lease`."""
    return msgspec.structs.replace(table, leases=tuple(p for p in table.leases if p is not lease))


def _free(table: LeaseTable, op: LeaseOperation, view: View) -> tuple[LeaseTable, Answer]:
    """Ends a lease. Refused while its item is still out of service or cold, unless the item has not gone out
    under this lease (phase GRANTED) or an operator forces it."""
    current = table.lease_of(op.item)
    if current is None:
        return table, Answer(Outcome.DONE)
    if current.token != op.token:
        return table, Answer(Outcome.FENCED, current.token, reason="another has the place now")
    if current.phase is not Phase.GRANTED and op.item in view.out and not op.forced:
        return table, Answer(Outcome.REFUSED, current.token, reason="not in service and warm yet")
    return _without(table, current), Answer(Outcome.DONE)


def _restore(table: LeaseTable, op: LeaseOperation, view: View) -> tuple[LeaseTable, Answer]:
    """Moves a lease to phase BACK, since the work on its item is done and the item receives requests
    again."""
    current = table.lease_of(op.item)
    if current is None or current.token != op.token:
        return table, Answer(Outcome.FENCED, reason="the place was given to another or given back")
    if current.phase is Phase.BACK:
        return table, Answer(Outcome.DONE, current.token)
    restored = msgspec.structs.replace(current, phase=Phase.BACK)
    leases = tuple(restored if p is current else p for p in table.leases)
    return msgspec.structs.replace(table, leases=leases), Answer(Outcome.DONE, current.token)


def _cancel(table: LeaseTable, op: LeaseOperation, view: View) -> tuple[LeaseTable, Answer]:
    """Withdraws the holder's queued request for the item, and its lease if that is in phase GRANTED. A lease
    in phase OUT or BACK stays."""
    current = table.lease_of(op.item)
    queue = tuple(w for w in table.queue if not (w.item == op.item and w.holder == op.holder))
    if len(queue) != len(table.queue):
        table = msgspec.structs.replace(table, queue=queue)
    if current is not None and current.holder == op.holder and current.phase is Phase.GRANTED:
        return _without(table, current), Answer(Outcome.DONE)
    return table, Answer(Outcome.DONE)


def _reclaim(table: LeaseTable, op: LeaseOperation, view: View) -> tuple[LeaseTable, Answer]:
    """Cleans up after a holder whose heartbeats have stopped (`view.silent`): removes all its queued
    requests, and its lease of the item if that is in phase GRANTED, in which the item still serves. A lease
    in phase OUT or BACK stays, since work on the item may be in progress."""
    queue = tuple(w for w in table.queue if not (w.holder == op.holder and view.silent(w.holder)))
    if len(queue) != len(table.queue):
        table = msgspec.structs.replace(table, queue=queue)
    current = table.lease_of(op.item)
    if current is None or current.token != op.token:
        return table, Answer(Outcome.DONE)
    if current.phase is not Phase.GRANTED:  # the item may be worked on although the holder is silent
        return table, Answer(Outcome.REFUSED, reason="it is out")
    if not view.silent(current.holder):
        return table, Answer(Outcome.REFUSED, reason="its holder is heard")
    return _without(table, current), Answer(Outcome.DONE)


HANDLERS = {
    LeaseAction.ACQUIRE: _acquire,
    LeaseAction.ACTIVATE: _activate,
    LeaseAction.FREE: _free,
    LeaseAction.CANCEL: _cancel,
    LeaseAction.RECLAIM: _reclaim,
    LeaseAction.RESTORE: _restore,
}


def cleanup_operations(
    table: LeaseTable, silent: Callable[[int], bool], out: Collection[int]
) -> list[LeaseOperation]:
    """Operations that any gateway may submit on behalf of failed holders. They reclaim queued requests and
    leases in phase GRANTED of holders whose heartbeats have stopped (`silent`). They free leases in phase
    BACK whose item is not in `out`, hence in service and warm, since the process that held such a lease may
    have been replaced."""
    operations = [
        LeaseOperation(LeaseAction.RECLAIM, p.item, p.holder, p.token)
        for p in table.leases
        if p.phase is Phase.GRANTED and silent(p.holder)
    ]
    operations += [
        LeaseOperation(LeaseAction.FREE, p.item, p.holder, p.token)
        for p in table.leases
        if p.phase is Phase.BACK and p.item not in out
    ]
    return operations + [
        LeaseOperation(LeaseAction.RECLAIM, w.item, w.holder) for w in table.queue if silent(w.holder)
    ]
