"""Tracks each request from arrival to its single final answer, with its attempts and its class's guarantees.

The Router decides which attempts are made. The tracker rejects every decision that would break a guarantee,
so that a fault in a decision, a store or a planner cannot cause a request to be answered twice, to be left
unanswered, or to run twice when it must run at most once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

from olivecourse import interface
from olivecourse.core.request_ids import RequestIdMemory
from olivecourse.purge_table import PurgeTable

MS = 1_000_000
# How long the tracker remembers a request after its final answer, so that planner actions that arrive late
# are recognized as concerning a closed request. The tracker also keeps each purge for this long.
CLOSED_RETENTION_NS = 2_000 * MS
# How long the tracker remembers the id of a request that may have run and must not run again, and how many
# ids at most; they take about 10 MB. Clients use a new id for every request.
EXECUTED_ID_RETENTION_NS = 900_000 * MS
MAX_EXECUTED_IDS = 32_768
EFFECTS_STRICTEST_FIRST = (
    interface.Effect.AT_MOST_ONCE,
    interface.Effect.DEDUPLICATED,
    interface.Effect.IDEMPOTENT,
)
# A request is not repeated in the last 2 ms of the time for which stores remember its idempotency key. This
# covers the send itself and one tick of the timer wheel.
KEY_MEMORY_MARGIN_NS = 2 * MS
# The tracker keeps up to this many purges even past their expiry, because an attempt that has waited for a
# connection for a long time is also checked against them before it is sent.
MIN_RETAINED_PURGES = 4096
# The tracker itself answers a request that is still open this long after its deadline: later than the
# Router's own last check, but before the client stops waiting.
DEADLINE_GRACE_NS = 4 * MS


class Cancellable(Protocol):
    """A scheduled callback that can be cancelled."""

    def cancel(self) -> None:
        """Prevents the callback from running."""
        ...


class Timers(Protocol):
    """The clock and the timers that the tracker uses."""

    def now(self) -> int:
        """Returns the current time in nanoseconds, on a clock that never runs backwards."""
        ...

    def after(self, delay_ns: int, call: Callable[[], object]) -> Cancellable:
        """Schedules `call` to run after `delay_ns` nanoseconds."""
        ...


class Reply(Protocol):
    """Receives the one final answer of a request. A client listener creates one for each request."""

    def served(self, body: bytes, tag: str | None, same: bool) -> None:
        """Sends the body to the client, with the version tag of the served copy (in HTTP its ETag) if there
        is one. `same` means that the copy held by the client is still current.
        """
        ...

    def refused(self, wait_ns: int) -> None:
        """Refuses the request and asks the client to retry after `wait_ns` nanoseconds."""
        ...

    def failed(self, late: bool) -> None:
        """Reports a failure to the client. `late` means that the request's deadline was reached."""
        ...

    def check_client(self) -> None:
        """Reads what the client has sent since its request, before an attempt that had to wait is sent. If
        the client has disconnected, this calls `RequestTracker.client_disconnected`.
        """
        ...


class Transport(Protocol):
    """Sends attempts to stores."""

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt to its store, or queues it until a connection to that store is available."""
        ...

    def abort(self, attempt: Attempt) -> None:
        """Stops an attempt that is queued or in flight."""
        ...


class DuplicateRequest(Exception):
    """Raised for a request id that the tracker already knows: from an open or a recently closed request, or
    from one that may have run and must not run again.
    """


class TooManyOpenRequests(Exception):
    """Raised for a new request when a limit of open requests is reached, or when the gateway is about to
    stop and has no time left to answer the request.
    """


@dataclass(eq=False)
class RequestEntry:
    """A request and its state, kept until CLOSED_RETENTION_NS after its final answer."""

    request_event: interface.Request
    request_class: interface.RequestClass
    body: bytes
    held_tag: str | None
    reply: Reply
    deadline: int
    target_time: int
    # The client's idempotency key, by which stores recognize a repeat; None if the client gave none.
    idempotency_key: str | None = None
    attempt_count: int = 0
    open_attempts: dict[int, Attempt] = field(default_factory=dict)
    # The store connections on which this request's id was sent; the transport sends it only once on each.
    used_connections: list[Any] = field(default_factory=list)
    may_have_run: bool = False
    # The time at which the planner decided on the first attempt that a store may have executed; 0 if there is
    # none.
    first_sent_at: int = 0
    # Whether the client may repeat the request only if a refusal proves that no store has run it.
    single_use: bool = False
    closed: bool = False
    deadline_timer: Cancellable | None = None


@dataclass(eq=False)
class Attempt:
    """One attempt to have a request answered by a store; a retry is a further attempt."""

    entry: RequestEntry
    number: int
    action: interface.Look | interface.ReadThrough
    sent_at: int
    deadline: int
    # The number of the latest purge that the planner knew when it decided on the attempt.
    known_purge: int = 0
    ended: bool = False
    sent: bool = False  # Whether any byte of the attempt may have been sent; set by the transport.
    timer: Cancellable | None = None
    connection: Any = None  # The transport's own reference to the connection that carries the attempt.

    @property
    def source(self) -> int | None:
        """The number of the parent or origin from which the store fills a missing copy, or None if the
        planner named none.
        """
        decision = self.action
        return (
            decision.source
            if isinstance(decision, interface.ReadThrough) and decision.source != decision.cache
            else None
        )


class RequestTracker:
    """The open requests of a gateway, and the recently closed ones."""

    def __init__(
        self,
        settings: interface.Settings,
        timers: Timers,
        emit: Callable[[interface.Event], None],
        log: Callable[..., None],
        max_open_requests: int,
        max_body_bytes: int,
    ) -> None:
        """Creates a tracker that passes its events for the planner to `emit` and accepts at most
        `max_open_requests` open requests at a time, whose bodies have at most `max_body_bytes` together.
        """
        self._max_body_bytes = max_body_bytes
        self.body_bytes = 0  # of all open requests
        self._settings, self._timers, self._emit, self._log, self._max_open_requests = (
            settings,
            timers,
            emit,
            log,
            max_open_requests,
        )
        self.entries: dict[str, RequestEntry] = {}
        # Ids of requests without an entry that may have run, here or in another process of this gateway, and
        # must not run again.
        self._executed = RequestIdMemory(EXECUTED_ID_RETENTION_NS, MAX_EXECUTED_IDS)
        # Called with the id of a request that must not run twice, before it is accepted. Tells the gateway's
        # other processes, and adds the ids that they have accepted by `add_executed`. May raise
        # TooManyOpenRequests.
        self.claim: Callable[[str], None] = lambda request: None
        self.open = 0
        self.transport: Transport | None = None
        self.closing = False  # Set shortly before the process stops; no request is accepted from then on.
        # Purged objects and groups. In place of a time from which copies are valid, this table has the number
        # of the purge, counted in the order in which purges are received. An attempt that the planner decided
        # on without knowing of a purge of its object is not sent.
        self.purged = PurgeTable(MIN_RETAINED_PURGES)
        self._last_purge = 0  # the number of the latest purge received
        # The number of the latest purge that the planner knew when it decided on the actions that are being
        # executed, as its checkpoints say.
        self._known_purge = 0
        # The number of requests accepted since the start, and of those whose client disconnected before the
        # answer.
        self.accepted = self.disconnected = 0
        self.late_responses = 0  # The number of requests served since the start, but after their target time.
        # For each class index, the numbers of requests served, refused and failed since the start.
        self.outcomes = [[0, 0, 0] for _ in settings.classes]

    def apply_settings(self, settings: interface.Settings) -> None:
        """Applies new settings, in which each request class keeps its index.

        Open requests keep their deadline and the class settings that they arrived with. For repeating them,
        the stricter of the old and the new effect of their class applies, and the shorter time for which
        stores remember their idempotency key.
        """
        self._settings = settings
        self.outcomes += [[0, 0, 0] for _ in settings.classes[len(self.outcomes) :]]

    def _effect(self, entry: RequestEntry) -> interface.Effect:
        """Returns the effect that decides whether the request may be repeated: the stricter of the one that
        its class had when the request arrived and the one that its class has now.
        """
        effects = (entry.request_class.effect, self._settings.classes[entry.request_event.cls].effect)
        return next(candidate for candidate in EFFECTS_STRICTEST_FIRST if candidate in effects)

    @property
    def totals(self) -> dict[str, int]:
        """The numbers of requests since the start, over all classes: "served", "refused", "failed", and
        "left" for requests whose client disconnected before the answer.
        """
        served, refused, failed = (sum(counts[i] for counts in self.outcomes) for i in range(3))
        return {"served": served, "refused": refused, "failed": failed, "left": self.disconnected}

    # Called by the client listeners -----------------------------------------------------------------

    def accept(
        self,
        request_event: interface.Request,
        body: bytes,
        held_tag: str | None,
        reply: Reply,
        key: str | None = None,
        single_use: bool = False,
    ) -> None:
        """Accepts a request, which from here on must get exactly one final answer.

        `held_tag` is the version tag of the copy that the client holds (in HTTP its ETag), and `key` is the
        client's idempotency key; both are None if the client sent none. A `single_use` request is refused
        only on proof that no store has run it, whatever the effect of its class: it was permitted by a token
        that a refusal makes valid again, and stores would not recognize the client's next request as a
        repeat of this one.
        Raises DuplicateRequest for a request id that is already known, and TooManyOpenRequests if no more
        requests can be accepted.
        """
        if request_event.request in self.entries:
            raise DuplicateRequest(request_event.request)
        if (
            self.open >= self._max_open_requests
            or self.body_bytes + len(body) > self._max_body_bytes
            or self.closing
        ):
            raise TooManyOpenRequests(str(self.open))
        request_class = self._settings.classes[request_event.cls]
        if request_class.effect is not interface.Effect.IDEMPOTENT:
            self.claim(request_event.request)
            if request_event.request in self._executed:
                raise DuplicateRequest(request_event.request)
        time_budget_ns = (
            request_class.deadline_ns if request_event.budget_ns is None else request_event.budget_ns
        )
        now, transfer_allowance_ns = self._timers.now(), 0.0
        if request_class.aim_stretch and request_event.size_kb and self._settings.client_kb_per_s:
            transfer_allowance_ns = (
                request_class.aim_stretch * request_event.size_kb / self._settings.client_kb_per_s * 1e9
            )
        entry = RequestEntry(
            request_event,
            request_class,
            body,
            held_tag,
            reply,
            now + time_budget_ns,
            now + request_class.aim_ns + int(transfer_allowance_ns),
            key,
            single_use=single_use,
        )
        # Guards against a Router or planner that loses track of a request: this timer answers it shortly
        # after its deadline.
        entry.deadline_timer = self._timers.after(
            time_budget_ns + DEADLINE_GRACE_NS, lambda: self._on_deadline_missed(entry)
        )
        self.entries[request_event.request] = entry
        self.open += 1
        self.body_bytes += len(body)
        self.accepted += 1
        self._emit(request_event)

    def add_executed(self, requests: Iterable[str]) -> None:
        """Records ids of requests that another process of this gateway has accepted."""
        self._executed.add(requests, self._timers.now())

    def unrepeatable_ids(self) -> list[str]:
        """Returns the ids of the requests that may run or have run here and must not run again."""
        return [
            *self._executed.ids(),
            *(request for request, entry in self.entries.items() if self._must_not_run_again(entry)),
        ]

    def _must_not_run_again(self, entry: RequestEntry) -> bool:
        may_run = not entry.closed or entry.may_have_run
        return may_run and self._effect(entry) is not interface.Effect.IDEMPOTENT

    def _forget(self, entry: RequestEntry) -> None:
        """Removes the entry of a closed request, and remembers its id if it must not run again."""
        request = entry.request_event.request
        self.entries.pop(request, None)
        if self._must_not_run_again(entry):
            self._executed.add((request,), self._timers.now())

    def record_rejection(self, cls: int) -> None:
        """Counts a request of the class with index `cls` that a client listener refused without calling
        `accept`. It counts as accepted and as refused.
        """
        self.accepted += 1
        self.outcomes[cls][1] += 1

    def client_disconnected(self, request: str) -> None:
        """Closes a request whose client disconnected: it needs no answer, and further work for it would be
        wasted.
        """
        entry = self.entries.get(request)
        if entry is None or entry.closed:
            return
        self.disconnected += 1
        self._close(entry)
        self._emit(interface.ClientLeft(request))

    # Called with the Router's actions ---------------------------------------------------------------

    def attempt(self, action: interface.Look | interface.ReadThrough) -> None:
        """Starts an attempt that the planner decided on. If the request is closed, or its guarantees or the
        settings' limits forbid the attempt, reports at once that it was not sent.
        """
        entry = self.entries.get(action.request)
        # The request was closed so long ago that its entry is gone. Without the entry the attempt has no
        # number, so no outcome can be reported.
        if entry is None:
            self._log("attempt_unknown", request=action.request)
            return
        now = self._timers.now()
        new_attempt = Attempt(
            entry,
            entry.attempt_count,
            action,
            now,
            min(now + action.timeout_ns, entry.deadline),
            self._known_purge,
        )
        entry.attempt_count += 1
        entry.open_attempts[new_attempt.number] = new_attempt
        # A request with effect "at most once" that may have run is never sent again, even if the Router asks
        # for it.
        at_most_once = self._effect(entry) is interface.Effect.AT_MOST_ONCE
        would_repeat = at_most_once and (entry.may_have_run or len(entry.open_attempts) > 1)
        if would_repeat and not entry.closed:
            self._log("second_send_blocked", request=action.request)
        if (
            entry.closed
            or would_repeat
            or new_attempt.number >= self._settings.max_attempts
            or new_attempt.deadline <= now
            or self.transport is None
        ):
            self.end(new_attempt, interface.Status.NOT_SENT)
            return
        new_attempt.timer = self._timers.after(
            new_attempt.deadline - now, lambda: self._on_timeout(new_attempt)
        )
        self.transport.send(new_attempt)

    def cancel(self, action: interface.Cancel) -> None:
        """Cancels one attempt of a request, if it has no outcome yet."""
        entry = self.entries.get(action.request)
        new_attempt = entry.open_attempts.get(action.attempt) if entry else None
        if new_attempt is not None:
            self._abort(new_attempt, interface.Status.CANCELLED)

    def refuse(self, action: interface.Refuse) -> None:
        """Answers a request with a refusal, which asks the client to retry later, or with a failure if a
        repeat by the client could do harm.
        """
        entry = self.entries.get(action.request)
        if entry is None or entry.closed:
            return
        self._answer_unserved(entry, action.retry_after_ns)

    def fail(self, action: interface.Fail) -> None:
        """Answers a request with a failure."""
        entry = self.entries.get(action.request)
        if entry is None or entry.closed:
            return
        self._answer_unserved(entry, None)

    def finish_all(self, why: str) -> None:
        """Answers every open request now, because there is no planner or no time left for them. Each gets a
        refusal if a repeat of it is safe, else a failure.
        """
        wait_ns = self._settings.max_retry_after_ns if self._settings.retry_after else 0
        open_entries = [e for e in self.entries.values() if not e.closed]
        if open_entries:
            self._log("gave_up_open", why=why, requests=len(open_entries))
        for entry in open_entries:
            self._answer_unserved(entry, wait_ns)
            self._emit(interface.ClientLeft(entry.request_event.request))

    # Called by the transport ------------------------------------------------------------------------

    def may_send(self, attempt: Attempt) -> bool:
        """Returns whether an attempt may be sent, immediately before its first byte.

        It may not if its request is closed, its deadline has passed, stores may have forgotten the request's
        idempotency key, or the planner did not know of a purge of the object or its group when it decided on
        the attempt. The purges received by now count, however long the plan or the connection took.
        """
        request_event = attempt.entry.request_event
        last_purge = max(self.purged.find(request_event.object, request_event.group), default=0)
        return (
            not attempt.ended
            and not attempt.entry.closed
            and attempt.deadline > self._timers.now()
            and last_purge <= attempt.known_purge
            and self._within_key_memory(attempt)
        )

    def mark_sent(self, attempt: Attempt) -> None:
        """Records that the transport is about to write the first byte of an attempt to its socket."""
        attempt.sent = True
        attempt.entry.first_sent_at = attempt.entry.first_sent_at or attempt.sent_at

    def mark_unsent(self, attempt: Attempt) -> None:
        """Undoes `mark_sent`: the socket accepted no byte of the attempt, so no store can have run it."""
        attempt.sent = False
        self._reset_first_sent(attempt.entry)

    def _reset_first_sent(self, entry: RequestEntry) -> None:
        """Resets `first_sent_at` to 0 if no attempt of the request may have run at a store."""
        if not entry.may_have_run and not any(a.sent for a in entry.open_attempts.values()):
            entry.first_sent_at = 0

    def _within_key_memory(self, attempt: Attempt) -> bool:
        """Returns whether stores still discard a repeat of the request, because they remember its idempotency
        key. Always true for a request that has not been sent, or whose effect is not DEDUPLICATED.

        Guards against a repeat that was decided on in time and then waited for a connection until the stores
        had forgotten the key.
        """
        entry, now = attempt.entry, self._timers.now()
        if not entry.first_sent_at or self._effect(entry) is not interface.Effect.DEDUPLICATED:
            return True
        key_memories_ns = [
            c.key_memory_ns
            for c in (entry.request_class, self._settings.classes[entry.request_event.cls])
            if c.effect is interface.Effect.DEDUPLICATED
        ]
        return now < entry.first_sent_at + min(key_memories_ns) - KEY_MEMORY_MARGIN_NS

    def purge(self, event: interface.Purged) -> None:
        """Records a purge, so that no attempt is sent that the planner decided on without knowing of it."""
        object_or_group = event.group if event.object is None else event.object
        if object_or_group is not None:
            now = self._timers.now()
            settling_ns = self._settings.purge_settles_ns
            # True if the purge is so old that every store has already dropped the copies made before it.
            settled = 0 < settling_ns <= (event.age_ns or 0)
            self._last_purge += 1
            self.purged.add(object_or_group, self._last_purge, now + CLOSED_RETENTION_NS, now, settled)

    def checkpoint(self) -> interface.Checkpoint:
        """Returns the checkpoint for the planner that follows the purges recorded so far."""
        return interface.Checkpoint(self._last_purge)

    def planner_reached(self, checkpoint: interface.Checkpoint) -> None:
        """Records that the planner knew all purges up to a checkpoint when it decided on the attempts that
        follow.
        """
        self._known_purge = checkpoint.last_purge

    def planner_lost(self) -> None:
        """Records that the next planner knows no purge until it reaches its first checkpoint."""
        self._known_purge = 0

    def end(
        self,
        attempt: Attempt,
        status: interface.Status,
        note: interface.Note = interface.Note.NONE,
        wait_ns: int | None = None,
        body: bytes = b"",
        tag: str | None = None,
        same: bool = False,
        report: tuple[float | None, ...] | None = None,
    ) -> None:
        """Records the outcome of an attempt, reports it to the planner and, if the attempt was served,
        answers the client. Further outcomes of the same attempt are ignored.
        """
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        entry = attempt.entry
        entry.open_attempts.pop(attempt.number, None)
        entry.may_have_run |= not status.never_ran
        if status.never_ran:
            self._reset_first_sent(entry)
        if status is interface.Status.SERVED and not entry.closed:
            self.outcomes[entry.request_event.cls][0] += 1
            self.late_responses += self._timers.now() > entry.target_time
            entry.reply.served(body, tag, same)
            self._close(entry)
        now = self._timers.now()
        self._emit(
            interface.AttemptEnded(
                entry.request_event.request,
                attempt.number,
                attempt.action.cache,
                status,
                now - attempt.sent_at,
                entry.closed,
                note,
                wait_ns,
                report,
                same,
            )
        )

    # Internal ---------------------------------------------------------------------------------------

    def _abort(self, attempt: Attempt, status: interface.Status) -> None:
        """Aborts an attempt and records `status` as its outcome.

        If no byte was sent, the outcome is CONNECT_FAILED instead of TIMEOUT, and NOT_SENT instead of any
        other status.
        """
        if attempt.ended:
            return
        if self.transport is not None:
            self.transport.abort(attempt)
        # An attempt that was never sent had no effect, so that even an "at most once" request may still be
        # refused.
        unsent_status = (
            interface.Status.CONNECT_FAILED
            if status is interface.Status.TIMEOUT
            else interface.Status.NOT_SENT
        )
        self.end(attempt, status if attempt.sent else unsent_status)

    def _on_timeout(self, attempt: Attempt) -> None:
        """Aborts an attempt that got no answer before its own timeout or the request's deadline."""
        self._abort(attempt, interface.Status.TIMEOUT)

    def _on_deadline_missed(self, entry: RequestEntry) -> None:
        """Refuses or fails a request that is still open DEADLINE_GRACE_NS after its deadline, and tells the
        planner that it is closed.
        """
        if entry.closed:
            return
        self._log("answered_by_guard", request=entry.request_event.request)
        self._answer_unserved(entry, 0)
        self._emit(interface.ClientLeft(entry.request_event.request))

    def _answer_unserved(self, entry: RequestEntry, wait_ns: int | None) -> None:
        """Answers a request with a refusal if `wait_ns`, the time after which the client may retry, is given
        and a repeat by the client can do no harm; else with a failure.
        """
        if wait_ns is not None and self._client_may_repeat(entry):
            self.outcomes[entry.request_event.cls][1] += 1
            entry.reply.refused(wait_ns)
        else:
            self.outcomes[entry.request_event.cls][2] += 1
            entry.reply.failed(self._timers.now() >= entry.deadline - DEADLINE_GRACE_NS)
        self._close(entry)

    def _client_may_repeat(self, entry: RequestEntry) -> bool:
        """Returns whether it does no harm if the client, after a refusal, sends the request again."""
        if not entry.may_have_run and not any(a.sent for a in entry.open_attempts.values()):
            return True
        if entry.single_use:
            return False
        effect = self._effect(entry)
        return effect is interface.Effect.IDEMPOTENT or (
            effect is interface.Effect.DEDUPLICATED and entry.request_class.key_scope is interface.Scope.ALL
        )

    def _close(self, entry: RequestEntry) -> None:
        """Marks a request as closed and cancels its attempts. Its entry is removed after
        CLOSED_RETENTION_NS.
        """
        entry.closed = True
        self.body_bytes -= len(entry.body)
        entry.body = b""
        self.open -= 1
        if entry.deadline_timer is not None:
            entry.deadline_timer.cancel()
        for attempt in list(entry.open_attempts.values()):
            self._abort(attempt, interface.Status.CANCELLED)
        self._timers.after(CLOSED_RETENTION_NS, lambda: self._forget(entry))
