"""Tracks each request from arrival to its single final answer, with its attempts and its class's guarantees.

The Router decides which attempts are made. The tracker rejects every decision that would break a guarantee,
so that a fault in a decision, a store or a planner cannot cause a request to be answered twice, to be left
unanswered, or to run twice when it must run at most once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from olivecourse import interface as w
from olivecourse.purge_table import PurgeTable

MS = 1_000_000
# How long a closed request is remembered, so that late actions on it are recognized.
CLOSED_RETENTION_NS = 2_000 * MS
EFFECTS_STRICTEST_FIRST = (w.Effect.AT_MOST_ONCE, w.Effect.DEDUPLICATED, w.Effect.IDEMPOTENT)
KEY_MEMORY_MARGIN_NS = 2 * MS  # The margin covers the send itself and one tick of the timer wheel.
# Up to this many purges are kept past their expiry, because attempts that wait for a long time are also
# checked against them before they are sent.
MIN_RETAINED_PURGES = 4096
# Added to a request's deadline: later than the Router's own last check, but before the client stops waiting.
DEADLINE_GRACE_NS = 4 * MS


class Cancellable(Protocol):
    """A scheduled callback that can be cancelled."""

    def cancel(self) -> None:
        """Prevents the callback from running."""
        ...


class Timers(Protocol):
    """The clock and the timers that the tracker uses."""

    def now(self) -> int:
        """Returns the current time in nanoseconds."""
        ...

    def after(self, delay_ns: int, call: Callable[[], object]) -> Cancellable:
        """Schedules `call` to run after `delay_ns` nanoseconds."""
        ...


class Reply(Protocol):
    """Receives the one final answer of a request. A client listener creates one for each request."""

    def served(self, body: bytes, tag: str | None, same: bool) -> None:
        """Sends the body to the client. `same` means that the copy held by the client is still current."""
        ...

    def refused(self, wait_ns: int) -> None:
        """Refuses the request and asks the client to retry after `wait_ns` nanoseconds."""
        ...

    def failed(self, late: bool) -> None:
        """Reports a failure to the client. `late` means that the deadline was reached."""
        ...

    def look(self) -> None:
        """Reads data that the client has sent in the meantime. If the client has disconnected, this calls
        `Ledger.leave`.
        """
        ...


class Transport(Protocol):
    """Sends attempts to stores."""

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt to its store, or queues it until a connection is available."""
        ...

    def abort(self, attempt: Attempt) -> None:
        """Stops an attempt that is queued or in flight."""
        ...


class Duplicate(Exception):
    """Raised for a request id that is already known."""


class Crowded(Exception):
    """Raised when the limit of open requests is reached, or when the gateway is about to stop and has no time
    left to answer.
    """


@dataclass(eq=False)
class RequestEntry:
    """A request and its state, kept until a short time after its final answer."""

    ask: w.Request
    cls: w.RequestClass
    body: bytes
    holds: str | None
    reply: Reply
    deadline: int
    target_time: int
    # The client's idempotency key, by which stores recognize a repeat; None if the client gave none.
    key: str | None = None
    count: int = 0
    out: dict[int, Attempt] = field(default_factory=dict)
    # The transport's connections on which this request's id was sent.
    asked_on: list[Any] = field(default_factory=list)
    may_have_run: bool = False
    # The time at which the first attempt that may have run was decided on; 0 if there is none.
    first_sent_at: int = 0
    closed: bool = False
    deadline_timer: Cancellable | None = None


@dataclass(eq=False)
class Attempt:
    """One attempt to have a request answered by a store."""

    entry: RequestEntry
    number: int
    action: w.Look | w.ReadThrough
    sent_at: int
    deadline: int
    ended: bool = False
    went: bool = False  # Whether any byte of the attempt may have been sent; set by the transport.
    timer: Cancellable | None = None
    place: Any = None  # The transport's own reference to the connection that carries the attempt.

    @property
    def source(self) -> int | None:
        """The number of the server from which a miss is filled, or None."""
        decision = self.action
        return (
            decision.source
            if isinstance(decision, w.ReadThrough) and decision.source != decision.cache
            else None
        )


class Ledger:
    """The open requests of a gateway, and the recently closed ones."""

    def __init__(
        self,
        settings: w.Settings,
        timers: Timers,
        emit: Callable[[w.Event], None],
        log: Callable[..., None],
        most: int,
    ) -> None:
        """Creates a tracker that passes its events to `emit` and accepts at most `most` open requests at a
        time.
        """
        self._settings, self._timers, self._emit, self._log, self._max_open_requests = (
            settings,
            timers,
            emit,
            log,
            most,
        )
        self.entries: dict[str, RequestEntry] = {}
        self.open = 0
        self.carrier: Transport | None = None
        self.closing = False  # Set shortly before the process stops; no request is accepted from then on.
        # Purges with the time at which this gateway received them; checked before a queued attempt is sent.
        self.purged = PurgeTable(MIN_RETAINED_PURGES)
        # The numbers of requests accepted, and of requests whose client disconnected before the answer.
        self.taken = self.left = 0
        self.late = 0  # The number of requests served after the target time of their class.
        # For each class, the numbers of requests served, refused and failed.
        self.outcomes = [[0, 0, 0] for _ in settings.classes]

    def settle(self, settings: w.Settings) -> None:
        """Applies new settings, in which each class keeps its index.

        Open requests keep their deadline and their class. An operation that is forbidden by the old settings
        or by the new ones is not performed.
        """
        self._settings = settings
        self.outcomes += [[0, 0, 0] for _ in settings.classes[len(self.outcomes) :]]

    def _effect(self, entry: RequestEntry) -> w.Effect:
        """Returns the stricter of two effects: the one that the request's class had on arrival, and its
        current one.
        """
        effects = (entry.cls.effect, self._settings.classes[entry.ask.cls].effect)
        return next(candidate for candidate in EFFECTS_STRICTEST_FIRST if candidate in effects)

    @property
    def tally(self) -> dict[str, int]:
        """Totals over all classes since the start, with the number of requests whose client disconnected."""
        served, refused, failed = (sum(counts[i] for counts in self.outcomes) for i in range(3))
        return {"served": served, "refused": refused, "failed": failed, "left": self.left}

    # Called by the client listeners -----------------------------------------------------------------

    def take(
        self, ask: w.Request, body: bytes, holds: str | None, reply: Reply, key: str | None = None
    ) -> None:
        """Accepts a request, which from here on must get exactly one final answer.

        `holds` is the tag of the copy that the client holds, and `key` is the client's idempotency key.
        Raises Duplicate for a request id that is already known, and Crowded if no more requests can be
        accepted.
        """
        if ask.request in self.entries:
            raise Duplicate(ask.request)
        if self.open >= self._max_open_requests or self.closing:
            raise Crowded(str(self.open))
        request_class = self._settings.classes[ask.cls]
        time_budget_ns = request_class.deadline_ns if ask.budget_ns is None else ask.budget_ns
        now, transfer_allowance_ns = self._timers.now(), 0.0
        if request_class.aim_stretch and ask.size_kb and self._settings.client_kb_per_s:
            transfer_allowance_ns = (
                request_class.aim_stretch * ask.size_kb / self._settings.client_kb_per_s * 1e9
            )
        entry = RequestEntry(
            ask,
            request_class,
            body,
            holds,
            reply,
            now + time_budget_ns,
            now + request_class.aim_ns + int(transfer_allowance_ns),
            key,
        )
        # Guards against a Router or planner that loses track of a request: the request is still answered in
        # time.
        entry.deadline_timer = self._timers.after(
            time_budget_ns + DEADLINE_GRACE_NS, lambda: self._on_deadline_missed(entry)
        )
        self.entries[ask.request] = entry
        self.open += 1
        self.taken += 1
        self._emit(ask)

    def turned_away(self, cls: int) -> None:
        """Counts a request that a client listener refused by itself as accepted and refused."""
        self.taken += 1
        self.outcomes[cls][1] += 1

    def leave(self, request: str) -> None:
        """Closes a request whose client disconnected: it needs no answer, and further work for it would be
        wasted.
        """
        entry = self.entries.get(request)
        if entry is None or entry.closed:
            return
        self.left += 1
        self._close(entry)
        self._emit(w.ClientLeft(request))

    # Called with the Router's actions ---------------------------------------------------------------

    def attempt(self, action: w.Look | w.ReadThrough) -> None:
        """Starts an attempt. If the guarantees or limits forbid it, reports at once that it was not sent."""
        entry = self.entries.get(action.request)
        # The request is closed and forgotten. Its attempt number is unknown, so no outcome can be reported.
        if entry is None:
            self._log("attempt_unknown", request=action.request)
            return
        now = self._timers.now()
        new_attempt = Attempt(entry, entry.count, action, now, min(now + action.timeout_ns, entry.deadline))
        entry.count += 1
        entry.out[new_attempt.number] = new_attempt
        # A request with effect "at most once" that may have run is never sent again, even if the Router asks
        # for it.
        at_most_once = self._effect(entry) is w.Effect.AT_MOST_ONCE
        would_repeat = at_most_once and (entry.may_have_run or len(entry.out) > 1)
        if would_repeat and not entry.closed:
            self._log("second_send_blocked", request=action.request)
        if (
            entry.closed
            or would_repeat
            or new_attempt.number >= self._settings.max_attempts
            or new_attempt.deadline <= now
            or self.carrier is None
        ):
            self.end(new_attempt, w.Status.NOT_SENT)
            return
        new_attempt.timer = self._timers.after(
            new_attempt.deadline - now, lambda: self._on_timeout(new_attempt)
        )
        self.carrier.send(new_attempt)

    def cancel(self, action: w.Cancel) -> None:
        """Cancels one attempt, if it is still open."""
        entry = self.entries.get(action.request)
        new_attempt = entry.out.get(action.attempt) if entry else None
        if new_attempt is not None:
            self._abort(new_attempt, w.Status.CANCELLED)

    def refuse(self, action: w.Refuse) -> None:
        """Answers a request with a refusal, or with a failure where a repeat could do harm."""
        entry = self.entries.get(action.request)
        if entry is None or entry.closed:
            return
        self._answer_unserved(entry, action.retry_after_ns)

    def fail(self, action: w.Fail) -> None:
        """Answers a request with a failure."""
        entry = self.entries.get(action.request)
        if entry is None or entry.closed:
            return
        self._answer_unserved(entry, None)

    def give_up_all(self, why: str) -> None:
        """Answers every open request now, because there is no planner or no time left for them. Each gets a
        refusal if a repeat of it is safe, else a failure.
        """
        wait_ns = self._settings.max_retry_after_ns if self._settings.retry_after else 0
        open_entries = [e for e in self.entries.values() if not e.closed]
        if open_entries:
            self._log("gave_up_open", why=why, requests=len(open_entries))
        for entry in open_entries:
            self._answer_unserved(entry, wait_ns)
            self._emit(w.ClientLeft(entry.ask.request))

    # Called by the transport ------------------------------------------------------------------------

    def may_go(self, attempt: Attempt) -> bool:
        """Returns whether a queued attempt may still be sent.

        Guards against sending for a client that has disconnected, after the deadline, or to read copies that
        a purge received in the meantime has made invalid.
        """
        ask = attempt.entry.ask
        valid_from = max(self.purged.find(ask.object, ask.group), default=-1)
        return (
            not attempt.ended
            and not attempt.entry.closed
            and attempt.deadline > self._timers.now()
            and valid_from <= attempt.sent_at
            and self._within_key_memory(attempt)
        )

    def goes(self, attempt: Attempt) -> None:
        """Records that the transport is about to write the first byte of an attempt to its socket."""
        attempt.went = True
        attempt.entry.first_sent_at = attempt.entry.first_sent_at or attempt.sent_at

    def never_went(self, attempt: Attempt) -> None:
        """Records that the socket accepted no byte of the attempt after all."""
        attempt.went = False
        self._reset_first_sent(attempt.entry)

    def _reset_first_sent(self, entry: RequestEntry) -> None:
        """Clears the time of the first attempt if no attempt of the request may have run."""
        if not entry.may_have_run and not any(a.went for a in entry.out.values()):
            entry.first_sent_at = 0

    def _within_key_memory(self, attempt: Attempt) -> bool:
        """Returns whether stores still remember the request's idempotency key, so that they discard a repeat.

        Guards against a repeat that was decided on in time and then waited for a connection until the stores
        had forgotten the key.
        """
        entry, now = attempt.entry, self._timers.now()
        if not entry.first_sent_at or self._effect(entry) is not w.Effect.DEDUPLICATED:
            return True
        key_memories_ns = [
            c.key_memory_ns
            for c in (entry.cls, self._settings.classes[entry.ask.cls])
            if c.effect is w.Effect.DEDUPLICATED
        ]
        return now < entry.first_sent_at + min(key_memories_ns) - KEY_MEMORY_MARGIN_NS

    def purge(self, event: w.Purged) -> None:
        """Records a purge, so that queued attempts decided on before it are not sent."""
        object_or_group = event.group if event.object is None else event.object
        if object_or_group is not None:
            now = self._timers.now()
            settling_ns = self._settings.purge_settles_ns
            # True if every store has already dropped its older copies.
            settled = 0 < settling_ns <= (event.age_ns or 0)
            self.purged.add(object_or_group, now, now + CLOSED_RETENTION_NS, now, settled)

    def end(
        self,
        attempt: Attempt,
        status: w.Status,
        note: w.Note = w.Note.NONE,
        wait_ns: int | None = None,
        body: bytes = b"",
        tag: str | None = None,
        same: bool = False,
        report: tuple[float | None, ...] | None = None,
    ) -> None:
        """Records the outcome of an attempt. Further outcomes of the same attempt are ignored."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        entry = attempt.entry
        entry.out.pop(attempt.number, None)
        entry.may_have_run |= not status.never_ran
        if status.never_ran:
            self._reset_first_sent(entry)
        if status is w.Status.SERVED and not entry.closed:
            self.outcomes[entry.ask.cls][0] += 1
            self.late += self._timers.now() > entry.target_time
            entry.reply.served(body, tag, same)
            self._close(entry)
        now = self._timers.now()
        self._emit(
            w.AttemptEnded(
                entry.ask.request,
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

    def _abort(self, attempt: Attempt, status: w.Status) -> None:
        """Aborts an attempt and records its outcome.

        If no byte was sent, the outcome is CONNECT_FAILED after a timeout and NOT_SENT otherwise.
        """
        if attempt.ended:
            return
        if self.carrier is not None:
            self.carrier.abort(attempt)
        # An attempt that was never sent had no effect, so that even an "at most once" request may still be
        # refused.
        unsent_status = w.Status.CONNECT_FAILED if status is w.Status.TIMEOUT else w.Status.NOT_SENT
        self.end(attempt, status if attempt.went else unsent_status)

    def _on_timeout(self, attempt: Attempt) -> None:
        """Ends an attempt that got no answer in time."""
        self._abort(attempt, w.Status.TIMEOUT)

    def _on_deadline_missed(self, entry: RequestEntry) -> None:
        """Refuses or fails a request that was still open shortly after its deadline."""
        if entry.closed:
            return
        self._log("answered_by_guard", request=entry.ask.request)
        self._answer_unserved(entry, 0)
        self._emit(w.ClientLeft(entry.ask.request))

    def _answer_unserved(self, entry: RequestEntry, wait_ns: int | None) -> None:
        """Answers with a refusal if `wait_ns` is given and a repeat is safe, else with a failure."""
        # A request that may have run and must not run twice is never refused, because the client would send
        # it again.
        possibly_run = entry.may_have_run or any(a.went for a in entry.out.values())
        effect = self._effect(entry)
        repeat_is_safe = (
            effect is w.Effect.IDEMPOTENT
            or not possibly_run
            or effect is w.Effect.DEDUPLICATED
            and entry.cls.key_scope is w.Scope.ALL
        )
        if wait_ns is not None and repeat_is_safe:
            self.outcomes[entry.ask.cls][1] += 1
            entry.reply.refused(wait_ns)
        else:
            self.outcomes[entry.ask.cls][2] += 1
            entry.reply.failed(self._timers.now() >= entry.deadline - DEADLINE_GRACE_NS)
        self._close(entry)

    def _close(self, entry: RequestEntry) -> None:
        """Ends all work for a request; it is forgotten after CLOSED_RETENTION_NS."""
        entry.closed = True
        entry.body = b""
        self.open -= 1
        if entry.deadline_timer is not None:
            entry.deadline_timer.cancel()
        for attempt in list(entry.out.values()):
            self._abort(attempt, w.Status.CANCELLED)
        self._timers.after(CLOSED_RETENTION_NS, lambda: self.entries.pop(entry.ask.request, None))
