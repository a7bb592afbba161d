"""Connections to stores (cache servers), parents and the origin, and the line protocol spoken on them.

A request is a line `fetch ID FIELDS LENGTH` and a body; a response is a line `ID STATUS FIELDS LENGTH` and a
body. All three kinds of servers speak this protocol and are called stores here.
"""

from __future__ import annotations

import math
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from olivecourse import interface
from olivecourse.config.address import Address
from olivecourse.config.discovery_events import ServerDirectory
from olivecourse.config.vocabulary import REPORT_FIELDS, STORE_IDEMPOTENCY_KEY
from olivecourse.core.requests import Attempt, RequestTracker
from olivecourse.net.loop import Loop
from olivecourse.net.stream import Stream

MS = 1_000_000
MAX_LINE_BYTES = 2048  # of a response's first line; a longer one closes the connection
# While a store has no established connection, up to this many attempts wait together on one connection that
# is still connecting, before a further connection is opened.
MAX_WAITING_WHILE_CONNECTING = 16
# A connection that received data within this time is kept when its store is reported to have ended.
SILENCE_NS = 500 * MS
# Limits for a response that has begun to arrive: the time without a further byte, and the time from the first
# byte to the last. When one is reached, the connection is closed. A whole response was measured to arrive
# within 0.4 ms of its first byte; one that stops in between never ends.
RESPONSE_PROGRESS_TIMEOUT_NS, RESPONSE_TIMEOUT_NS = 250 * MS, 2_000 * MS
# If an attempt is cancelled more than this time after it was sent, and the connection has received nothing
# since, the response counts as lost: no further request is sent on the connection.
LOST_RESPONSE_NS = 150 * MS
# An attempt that is cancelled within this time of its deadline, or later, has timed out, since the decision
# module cancels attempts a little before their deadline. One sent less than this time ago says nothing about
# the store.
DEADLINE_MARGIN_NS = 50 * MS
TAG = re.compile(r"[0-9A-Za-z_.-]{1,64}")
MAX_BODY_BYTES = 240_000  # largest response body that is accepted from a store, in bytes
STATUSES = {
    "data": interface.Status.SERVED,
    "unchanged": interface.Status.SERVED,
    "absent": interface.Status.MISS,
    "full": interface.Status.FULL,
    "failed": interface.Status.ERROR,
    "moot": interface.Status.NOT_SENT,
}
NOTES = {
    "HIT": interface.Note.HIT,
    "MISS": interface.Note.FILLED,
    "MISS_ORIGIN": interface.Note.FILLED_BY_ORIGIN,
    "COLLAPSED": interface.Note.JOINED,
    "STALE": interface.Note.STALE,
    "UP_BUSY": interface.Note.SOURCE_REFUSED,
    "UP_DOWN": interface.Note.SOURCE_UNREACHED,
    "UP_MISS": interface.Note.SOURCE_LACKS,
    "NO_FILL": interface.Note.NO_FILL_PLACE,
    "ORIGIN_ERR": interface.Note.ORIGIN_FAILED,
}
FILL_OPTION_WORDS = (
    (interface.How.JOIN, "coalesce"),
    (interface.How.HELD_ONLY, "shallow"),
    (interface.How.NO_PARENT_COPY, "transit"),
    (interface.How.RENEW, "freshen"),
)


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits on connections to stores, from the settings and from the process's limit of file descriptors."""

    connect_ns: int  # a connection not established within this time is closed
    idle_ns: int  # a connection that has carried no attempt for longer than this is closed
    streams: int  # attempts at a time on one connection, sent or waiting
    per_store: int  # connections to one store
    total: int  # connections to all stores; `ServerPool._pick` may exceed it by `per_store`


def _parse_fields(text: str) -> dict[str, str]:
    """Parses the fields of a response line, `name=value,name=value` or `-` for none; raises ValueError."""
    if text == "-":
        return {}
    if text.count("=") != text.count(",") + 1:
        raise ValueError(text)
    return dict(pair.split("=", 1) for pair in text.split(","))


def _has_required_fields(
    attempt: Attempt, status_word: str, response_fields: dict[str, str], size: int
) -> bool:
    """Returns whether a response has the fields, and a body size in bytes, that its status word requires.

    Guards against a damaged response that would be passed on as a good one.
    """
    if status_word not in ("data", "unchanged"):
        return not size
    entry = attempt.entry
    if status_word == "unchanged" and (size or not entry.held_tag or entry.request_class.write):
        return False
    # The origin's response to a write is not a cached copy, so it needs neither a version tag nor `stamp`,
    # the time in Unix milliseconds from which a copy's age counts.
    return entry.request_class.write or (
        TAG.fullmatch(response_fields.get("version", "")) is not None
        and response_fields.get("stamp", "").isdecimal()
    )


def _parse_int(text: str | None) -> int | None:
    return int(float(text)) if text else None


def read_report(text: str, fields: tuple[str, ...]) -> tuple[float | None, ...] | None:
    """Parses a store's load report `name:value;name:value`; returns the values of `fields`, in their order.

    A field that is absent from the report has the value None. The result is None if the report cannot be
    parsed or has a value that is not finite; the response that carried the report is valid all the same.
    """
    try:
        reported = {
            REPORT_FIELDS.get(name, name): float(value)
            for name, value in (pair.split(":") for pair in text.split(";"))
        }
    except ValueError:
        return None
    return (
        tuple(reported.get(name) for name in fields) if all(map(math.isfinite, reported.values())) else None
    )


class StoreConnection(Stream):
    """One connection to a store, which carries several attempts at a time; responses come in any order."""

    def __init__(self, pool: ServerPool, cache: int, address: Address) -> None:
        self.pool, self.cache, self.address = pool, cache, address
        self.waiting: deque[Attempt] = deque()
        self.in_flight: dict[str, Attempt] = {}
        # True once a response on this connection was lost: no new attempt is assigned to it, and it is closed
        # when it carries no attempt.
        self.retiring = False
        self._incomplete_since = 0  # when the response now arriving began to arrive; 0 if none is
        self._response_head: tuple[str, str, dict[str, str], int] | None = None
        self._sending = False
        # Set only while `_send_attempt` writes this attempt to the socket.
        self.writing: Attempt | None = None
        self._partly_sent = False  # whether the socket has still to accept the last byte of an attempt
        self.fault = ""
        super().__init__(
            pool.loop,
            Stream.connect(pool.loop, address),
            MAX_BODY_BYTES + 4 * MAX_LINE_BYTES,
            2**20,
            connecting=True,
        )
        self.connect_timer = self.loop.after(pool.limits.connect_ns, self._on_connect_timeout)
        self.idle_since = self.last_received_at = self.loop.clock.now()

    @property
    def load(self) -> int:
        """The number of attempts on this connection: sent and without a response, or waiting to be sent."""
        return len(self.in_flight) + len(self.waiting)

    def _on_connect_timeout(self) -> None:
        # Guards against a host that has vanished and so neither accepts nor refuses the connection.
        if self.connecting:
            self.close("connect timed out")

    def opened(self) -> None:
        self.connect_timer.cancel()
        self.send_waiting()
        if not self.load:
            self.pool.move_waiting_to(self)

    def drained(self) -> None:
        if self._partly_sent:
            self._partly_sent = False
            self.pool.attempts_sent += 1
        self.send_waiting()

    def send_waiting(self) -> None:
        """Sends the attempts that wait on this connection once the ready sockets of this turn are handled.

        Those handlers may still report disconnected clients, or changes from discovery, that make an attempt
        pointless. Each attempt is sent after the socket has accepted the previous one completely, and only if
        `ServerPool.may_send` still permits it.
        """
        if self.waiting and not self._sending and not self.connecting:
            self.loop.after_sockets(self._send_waiting)

    def _send_waiting(self) -> None:
        if self._sending or self.connecting:
            return
        self._sending = True
        try:
            while self.waiting and self.open and not len(self.outbox):
                self.pool.refresh_events()
                if not self.open or not self.waiting:  # an event has closed this connection
                    continue
                if self.waiting[0].entry.request_class.effect is interface.Effect.AT_MOST_ONCE:
                    # If the store has closed the connection, this read notices it before anything is sent,
                    # so the attempt has certainly not run. After a send, that would not be certain.
                    self.read()
                    if not self.open or not self.waiting:
                        continue
                attempt = self.waiting.popleft()
                if not attempt.ended:
                    attempt.entry.reply.check_client()  # ends the attempt if its client has disconnected
                if attempt.ended:
                    continue
                if not self.pool.may_send(attempt):
                    attempt.connection = None
                    self.pool.tracker.end(attempt, interface.Status.NOT_SENT)
                    continue
                if not self._send_attempt(attempt):
                    break
        finally:  # also after an exception, or this connection would never send again
            self._sending = False

    def _send_attempt(self, attempt: Attempt) -> bool:
        """Writes an attempt to the socket; returns True if any byte was sent or the connection closed.

        Returns False if the socket accepts no byte now: the attempt is then back at the head of the queue,
        and is checked again before the next try.
        """
        request = attempt.entry.request_event.request
        self.in_flight[request] = attempt
        attempt.entry.used_connections.append(self)
        self.pool.tracker.mark_sent(attempt)
        self.writing = attempt
        self._partly_sent = True
        any_sent = self.try_send(self.pool.encode_request(attempt))
        self.writing = None
        if not any_sent and self.open:
            del self.in_flight[request]
            attempt.entry.used_connections.remove(self)
            self.pool.tracker.mark_unsent(attempt)
            self._partly_sent = False
            self.waiting.appendleft(attempt)
        return any_sent or not self.open

    def received(self) -> None:
        self.last_received_at = self.loop.clock.now()
        completed = self._read_responses()
        if not self.open or self._response_head is None and not len(self.inbox):
            self._incomplete_since = 0
        elif completed or not self._incomplete_since:
            self._incomplete_since = self.last_received_at
            self.loop.after(RESPONSE_PROGRESS_TIMEOUT_NS, self._check_incomplete)

    def _check_incomplete(self) -> None:
        """Closes the connection if the arriving response has exceeded one of its two time limits.

        No later response could be read behind it. Otherwise the check is repeated.
        """
        if not self.open or not self._incomplete_since:
            return
        now = self.loop.clock.now()
        if (
            now - self.last_received_at >= RESPONSE_PROGRESS_TIMEOUT_NS
            or now - self._incomplete_since >= RESPONSE_TIMEOUT_NS
        ):
            self._close_broken("an answer stops short")
        else:
            self.loop.after(RESPONSE_PROGRESS_TIMEOUT_NS, self._check_incomplete)

    def _read_responses(self) -> int:
        """Handles every response that has arrived completely in `inbox`, and returns their number."""
        completed = 0
        while self.open:
            if self._response_head is None:
                line = self.inbox.peek(MAX_LINE_BYTES)
                end = line.find(b"\r\n")
                if end < 0:
                    if len(line) >= MAX_LINE_BYTES:
                        self._close_broken("line too long")
                    break
                self.inbox.skip(end + 2)
                try:
                    request, status_word, fields_text, length = line[:end].decode("ascii").split(" ")
                    self._response_head = (request, status_word, _parse_fields(fields_text), int(length))
                    if status_word not in STATUSES or not 0 <= self._response_head[3] <= MAX_BODY_BYTES:
                        raise ValueError(status_word)
                except ValueError:
                    self._close_broken(repr(line[: min(end, 60)]))
                    break
            request, status_word, fields, size = self._response_head
            if len(self.inbox) < size + 2:
                break
            body = self.inbox.take(size)
            if self.inbox.take(2) != b"\r\n":
                self._close_broken("no line end after the body")
                break
            self._response_head = None
            completed += 1
            self._handle_response(request, status_word, fields, body)
        return completed

    def _close_broken(self, reason: str) -> None:
        self.fault = reason
        self.close("broken answer")

    def _handle_response(self, request: str, status_word: str, fields: dict[str, str], body: bytes) -> None:
        attempt = self.in_flight.get(request)
        if attempt is None:  # cancelled, answered already, or never sent on this connection
            return
        if not _has_required_fields(attempt, status_word, fields, len(body)):
            self._close_broken(f"{status_word} lacks required fields")
            return
        del self.in_flight[request]
        self._check_idle()
        try:
            wait_ms, note = (
                _parse_int(fields.get("took")),
                NOTES.get(fields.get("n", ""), interface.Note.NONE),
            )
        except (ValueError, OverflowError):
            wait_ms, note = None, interface.Note.NONE
        report_text = fields.get("l")
        report = read_report(report_text, self.pool.reports) if report_text and self.pool.reports else None
        self.pool.tracker.end(
            attempt,
            STATUSES[status_word],
            note,
            None if wait_ms is None else wait_ms * MS,
            body,
            fields.get("version"),
            status_word == "unchanged",
            report,
        )

    def _check_idle(self) -> None:
        if not self.load:
            self.idle_since = self.loop.clock.now()
            self.pool.move_waiting_to(self)
            if self.retiring:  # closed by a timer, after the responses that are still in the inbox
                self.loop.after(0, lambda: None if self.load else self.close("a response never arrived"))

    def abort(self, attempt: Attempt) -> None:
        """Cancels an attempt: sends the line `abort ID` if it was sent, else removes it from the queue.

        Sets `retiring` on the connection if the attempt has timed out or its response counts as lost.
        """
        request = attempt.entry.request_event.request
        if self.in_flight.get(request) is attempt:
            del self.in_flight[request]
            now = self.loop.clock.now()
            # Guards against sending further requests on a connection whose responses no longer arrive.
            age = now - attempt.sent_at
            self.retiring |= (
                now >= attempt.deadline - DEADLINE_MARGIN_NS
                and age > DEADLINE_MARGIN_NS
                or self.last_received_at < attempt.sent_at
                and age > LOST_RESPONSE_NS
            )
            self.write(f"abort {request}\r\n".encode())
        elif attempt in self.waiting:
            self.waiting.remove(attempt)
        self._check_idle()

    def closed(self, why: str) -> None:
        self.connect_timer.cancel()
        self.pool.connection_closed(self, why)


class ServerPool:
    """The connections to all stores; chooses one for each attempt, within the limits on connections."""

    def __init__(
        self,
        loop: Loop,
        directory: ServerDirectory,
        tracker: RequestTracker,
        limits: ConnectionLimits,
        classes: list[str],
        reports: tuple[str, ...],
        refresh_events: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        """`classes` lists the names of the request classes by class number. `reports` names the fields that
        are taken from the load reports of stores; if it is empty, the reports are ignored. `refresh_events`
        is called before each send; it reads the events of discovery that may have arrived meanwhile.
        """
        self.refresh_events = refresh_events
        self.reports = reports
        self.loop, self.directory, self.tracker, self.limits = loop, directory, tracker, limits
        self.log = log
        self.classes = classes
        self._connections: dict[int, list[StoreConnection]] = {}
        self.count = 0
        self.attempts_sent = 0  # attempts sent to their last byte since the start, on all connections
        self._sweep()

    def may_send(self, attempt: Attempt) -> bool:
        """Returns whether an attempt may still be sent, checked immediately before its first byte.

        The store, and the parent or origin from which it is to fill, must be ready according to discovery,
        and the request tracker must still permit the attempt (request open, deadline not reached, object not
        purged since). The connection must lead to the store's present address: at an earlier one, another
        store may have come up while the connection was being established.
        """
        source, connection = attempt.source, attempt.connection
        return (
            isinstance(connection, StoreConnection)
            and connection.address == self.directory.addresses.get(attempt.action.cache)
            and self.directory.ready(attempt.action.cache)
            and (source is None or self.directory.ready(source))
            and self.tracker.may_send(attempt)
        )

    def encode_request(self, attempt: Attempt) -> bytes:
        """Encodes the `fetch` line and the body by which an attempt asks its store."""
        fetch_action, entry, names = attempt.action, attempt.entry, self.directory.names
        remaining_ms = max(attempt.deadline - self.loop.clock.now(), MS) // MS
        request_event = entry.request_event
        fields = [
            f"sort={self.classes[request_event.cls]}",
            f"asset={request_event.object}",
            f"slice={request_event.part or 0}",
            f"patience={remaining_ms}",
        ]
        if isinstance(fetch_action, interface.ReadThrough):
            if attempt.source is not None:
                # `may_send` has just found the source ready, so it has a name.
                fields.append(f"fetch={names[attempt.source]}")
            if fetch_action.rank:
                fields.append(f"retain={fetch_action.rank}")
            if fetch_action.max_age_ns:
                # The largest age of a copy that the store may serve, in ms. It is rounded down, and the store
                # counts it from the arrival of this line, so that no delay admits an older copy.
                fields.append(f"newer={max(fetch_action.max_age_ns // MS, 1)}")
            if fetch_action.how:
                fields.append(
                    "handle=" + "+".join(name for bit, name in FILL_OPTION_WORDS if fetch_action.how & bit)
                )
        if entry.idempotency_key:
            fields.append(f"{STORE_IDEMPOTENCY_KEY}={entry.idempotency_key}")
        if entry.held_tag and not entry.request_class.write:
            fields.append(f"holds={entry.held_tag}")
        return (
            f"fetch {request_event.request} {','.join(fields)} {len(entry.body)}\r\n".encode()
            + entry.body
            + b"\r\n"
        )

    def send(self, attempt: Attempt) -> None:
        """Queues an attempt on a connection to its store; without one, ends the attempt as CONNECT_FAILED."""
        stream = self._pick(attempt)
        if stream is None:
            self.tracker.end(attempt, interface.Status.CONNECT_FAILED)
            return
        attempt.connection = stream
        stream.waiting.append(attempt)
        stream.send_waiting()

    def abort(self, attempt: Attempt) -> None:
        """Cancels an attempt on the store connection that carries it, if there is one."""
        if isinstance(attempt.connection, StoreConnection):
            attempt.connection.abort(attempt)

    def _pick(self, attempt: Attempt) -> StoreConnection | None:
        """Returns the connection for an attempt: the least loaded one that may carry it, or a new one.

        Returns None if the store has no address, or no connection can be used or opened.
        """
        cache, used_connections = attempt.action.cache, attempt.entry.used_connections
        address = self.directory.addresses.get(cache)
        if address is None:
            return None
        streams = self._connections.setdefault(cache, [])
        # A request id is never sent twice on one connection: a late or duplicate response to the first
        # attempt would be taken for the response to the second one.
        candidates = [
            s
            for s in streams
            if not s.retiring
            and s.address == address
            and s not in used_connections
            and s.load < self.limits.streams
        ]
        best = min(candidates, key=lambda s: (s.load, s.connecting), default=None)
        # A store with no established connection may have vanished. Attempts that wait together on one
        # connection then fail together when it times out; a new connection for each attempt would begin a new
        # connect timeout each time.
        unconfirmed = best is not None and best.connecting and all(s.connecting for s in streams)
        if best is not None and (
            not best.load
            or unconfirmed
            and best.load < MAX_WAITING_WHILE_CONNECTING
            or len(streams) >= self.limits.per_store
            or self.count >= self.limits.total
        ):
            return best
        if self.count >= self.limits.total + self.limits.per_store:
            return best
        try:
            stream = StoreConnection(self, cache, address)
        except OSError as error:
            self.log("store_connect_failed", store=self.directory.names.get(cache), why=str(error))
            return best  # for example out of file descriptors: share an open connection
        streams.append(stream)
        self.count += 1
        return stream

    def move_waiting_to(self, idle_stream: StoreConnection) -> None:
        """Moves one attempt to `idle_stream` from a connection to the same store that is still opening."""
        if idle_stream.connecting or idle_stream.retiring or not idle_stream.open:
            return
        for connecting_stream in self._connections.get(idle_stream.cache, ()):
            if not connecting_stream.connecting or connecting_stream.address != idle_stream.address:
                continue
            moved = next(
                (
                    a
                    for a in connecting_stream.waiting
                    if not a.ended and idle_stream not in a.entry.used_connections
                ),
                None,
            )
            if moved is not None:
                connecting_stream.waiting.remove(moved)
                moved.connection = idle_stream
                idle_stream.waiting.append(moved)
                idle_stream.send_waiting()
                return

    def connection_closed(self, stream: StoreConnection, why: str) -> None:
        """Ends the attempts of a closed connection.

        Those that were sent end as RESET, since they may have run; those still waiting as CONNECT_FAILED.
        """
        self.count -= 1
        streams = self._connections.get(stream.cache, [])
        if stream in streams:
            streams.remove(stream)
        if stream.fault:
            self.log("store_broken_answer", store=self.directory.names.get(stream.cache), line=stream.fault)
        elif stream.load:
            self.log(
                "store_connection_lost",
                store=self.directory.names.get(stream.cache),
                why=why,
                out=len(stream.in_flight),
                waiting=len(stream.waiting),
            )
        waiting, stream.waiting = list(stream.waiting), deque()
        in_flight, stream.in_flight = list(stream.in_flight.values()), {}
        for attempt in waiting:
            attempt.connection = None
            self.tracker.end(attempt, interface.Status.CONNECT_FAILED)
        for attempt in in_flight:
            # If the connection closed while the socket had accepted no byte of this attempt, it has not run.
            not_sent = stream.unsent and attempt is stream.writing
            self.tracker.end(attempt, interface.Status.CONNECT_FAILED if not_sent else interface.Status.RESET)

    def _sweep(self) -> None:
        """Every 250 ms, closes idle connections that are old, lost a response, or whose store has moved.

        They are closed before the store closes them, since a request that crosses the store's close may have
        run.
        """
        self.loop.after(250 * MS, self._sweep)  # first, so that an exception below does not end the sweeps
        now = self.loop.clock.now()
        for cache, streams in list(self._connections.items()):
            unlisted = cache not in self.directory.states
            for stream in list(streams):
                obsolete = (
                    unlisted or stream.retiring or stream.address != self.directory.addresses.get(cache)
                )
                if not stream.load and (obsolete or now - stream.idle_since > self.limits.idle_ns):
                    stream.close("idle")
            if not streams:
                del self._connections[cache]

    def close_silent(self, cache: int, died_at: int) -> None:
        """Closes connections to a store whose process, as discovery reports, ended at `died_at` or earlier.

        Only connections that have received nothing since `died_at` and for SILENCE_NS are closed. Guards
        against attempts that wait until their deadlines for a host that vanished without a reset.
        """
        silent_since = self.loop.clock.now() - SILENCE_NS
        for stream in list(self._connections.get(cache, ())):
            if stream.last_received_at < min(died_at, silent_since):
                stream.close("store reported dead")

    def close_idle(self, cache: int) -> None:
        """Closes those connections to a store that carry no attempt, when the decision module asks for it."""
        for stream in list(self._connections.get(cache, ())):
            if not stream.load:
                stream.close("idle")
