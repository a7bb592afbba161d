"""The server of a relay: holds and answers long polls in the platform's protocol.

`GET /board/poll?watch=N&linger=MS` is answered once events with numbers above N exist, or without events
after MS milliseconds. Work proportional to the number of watchers (the gateways and relays that poll) is done
in slices of limited time, so that no turn of the event loop is long.
"""

from __future__ import annotations

import itertools
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

from olivecourse.config.address import Address
from olivecourse.net.loop import READ, Loop
from olivecourse.net.stream import listen
from olivecourse.relay.connection import WAITING, WatcherConnection
from olivecourse.relay.deadlines import BUCKET_NS, Deadline, Deadlines
from olivecourse.relay.history import EventHistory, WatcherTooOld
from olivecourse.relay.requests import POLL_PATH, STATUS_PATH, BadTarget, parse_poll, path_of
from olivecourse.relay.unread import UnreadAnswers
from olivecourse.relay.watermarks import LowWaterMark

MS = 1_000_000  # nanoseconds per millisecond
# Time per turn of the event loop for reading and answering new polls, and the same again for the reads that
# an earlier turn deferred.
READ_BUDGET_NS = 30 * MS
SLICE_NS = 20 * MS  # time per turn of the event loop for answering held polls, and the same for deadlines
MAX_ACCEPTED_PER_TURN = 64  # connections accepted in one turn of the event loop; about 5 ms of work
BACKLOG = 4_096  # connections not yet accepted; all gateways of a failed relay connect at the same time
SEND_BUFFER_BYTES = 262_144  # kernel's send buffer per connection; thousands must not take gigabytes
MAX_REFUSED_CONNECTIONS = 256  # connections above `most_watchers` kept open to read their refusal
ACCEPT_RETRY_NS = 50 * MS  # delay before accepting again after `accept` failed, e.g. without free descriptors

StatusReport = Callable[[bytes, int], bytes]  # from a status request's target and the time to the JSON body


@dataclass
class ServerLimits:
    """The limits of a relay server, which a reload of the configuration may change.

    Taken from the RelaySection fields of similar names, which have the reasons for the defaults.
    """

    most_watchers: int
    longest_wait_ms: int
    read_timeout_ns: int
    idle_timeout_ns: int
    most_unread_bytes: int
    pace_ns: int  # the least time between the starts of two rounds of answers to held polls


@dataclass
class ServerCounters:
    """Counters since the relay's start, written to its status under their names."""

    polls: int = 0  # valid polls received
    answers: int = 0  # polls answered with events
    empty_answers: int = 0  # polls answered without events after their wait
    bytes: int = 0  # sum of the lengths of the bodies of both kinds of answers
    not_ready: int = 0  # polls answered 503 because no complete server list was known
    too_old: int = 0  # polls answered 503 because the history no longer holds all missed events
    bad_requests: int = 0  # requests answered with another error than 503
    cut_off: int = 0  # connections closed for reading too slowly
    idle_closed: int = 0  # connections closed for sending no request within the idle time-out
    refused_full: int = 0  # connections and polls refused because of the limits on watchers
    accept_failed: int = 0  # failures to accept a connection, e.g. for lack of descriptors
    connections: int = 0  # accepted connections, including those refused afterwards


class RelayServer:
    """Holds the watchers' connections of one relay and answers their polls from its history."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        history: EventHistory,
        marks: LowWaterMark,
        limits: ServerLimits,
        status: StatusReport,
        log: Callable[..., None],
    ) -> None:
        """`status` returns the JSON body of the answer to a status request, from the request's target and the
        current time in nanoseconds.

        Raises OSError if the server can't listen at `address`.
        """
        self.loop = loop
        self.history = history
        self.marks = marks
        self.counters = ServerCounters()
        self.deadlines = Deadlines(loop.clock.now())
        self.watchers: dict[int, WatcherConnection] = {}
        self.longest_slice_ns = 0
        self._status = status
        self._log = log
        self._unread = UnreadAnswers(limits.most_unread_bytes)
        self._keys = itertools.count(1)
        self._refused_connections: dict[int, WatcherConnection] = {}  # above the limit, oldest first
        self._deferred: dict[int, WatcherConnection] = {}
        self._waiting: dict[int, WatcherConnection] = {}
        self._to_answer: list[WatcherConnection] = []
        self._answer_again = False
        self._answer_scheduled = False
        self._answered_ns = 0  # time at which the latest round of answers to held polls started
        self._turn_started_ns = 0
        self._stopping = False
        self.apply_limits(limits)
        self._sock: socket.socket | None = listen(address)
        self._sock.listen(BACKLOG)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.port: int = self._sock.getsockname()[1]
        self._accepting = True
        loop.watch(self._sock, READ, self._accept)
        loop.after(BUCKET_NS, self._run_deadlines)

    @property
    def waiting(self) -> int:
        """The number of polls held until there are events for them."""
        return len(self._waiting)

    @property
    def unread_bytes(self) -> int:
        """The bytes of the answers held because watchers have not read them; a shared answer counts once."""
        return self._unread.size

    def apply_limits(self, limits: ServerLimits) -> None:
        """Replaces the limits; connections above a lowered limit on watchers stay open."""
        self._limits = limits
        self.read_timeout_ns = limits.read_timeout_ns
        self.idle_timeout_ns = limits.idle_timeout_ns
        self._unread.most_bytes = limits.most_unread_bytes

    # Turns of the event loop

    def turn_ended(self) -> None:
        """Resets the time that reads have taken (READ_BUDGET_NS); must be called after each turn of the event
        loop.
        """
        self._turn_started_ns = 0

    def time_within_budget(self) -> int:
        """Returns the current time in nanoseconds, for a connection that is about to read.

        Returns 0 if reads have used up this turn's READ_BUDGET_NS; the connection must then call `defer`.
        """
        now = self.loop.clock.now()
        if not self._turn_started_ns:
            self._turn_started_ns = now
        elif now - self._turn_started_ns > READ_BUDGET_NS:
            return 0
        return now

    def defer(self, watcher: WatcherConnection) -> None:
        """Defers a watcher's read to the next turn of the event loop, where deferred reads run in the order
        in which they were deferred.

        The selector reports the same sockets first in each turn, so busy sockets could starve the others.
        """
        if not self._deferred:
            self.loop.next_turn(self._read_deferred)
        self._deferred[watcher.key] = watcher

    def _read_deferred(self) -> None:
        self._turn_started_ns = 0  # gives these reads a READ_BUDGET_NS of their own
        deferred, self._deferred = self._deferred, {}
        for watcher in deferred.values():
            try:
                watcher.read_deferred_bytes()
            except Exception as error:  # an error of one connection must not stop the others
                self.loop.on_fault("socket", error)

    def call_next_turn(self, call: Callable[[], object]) -> None:
        """Runs `call` in the next turn of the event loop."""
        self.loop.next_turn(call)

    def _run_deadlines(self) -> None:
        due = self.deadlines.take_due(self.loop.clock.now())
        if due:
            self._run_due(due)
        if self._sock is not None or self.watchers or self._refused_connections:
            self.loop.after(BUCKET_NS, self._run_deadlines)

    def _run_due(self, due: list[Deadline]) -> None:
        """Runs the callbacks of due deadlines for SLICE_NS and leaves the rest to the next turn of the event
        loop, because thousands may be due at once.
        """
        started_ns = now = self.loop.clock.now()
        run_count = 0
        while run_count < len(due) and now - started_ns <= SLICE_NS:
            deadline = due[run_count]
            run_count += 1
            if deadline.due_ns and deadline.due_ns <= now:  # not cancelled or postponed since it was taken
                deadline.call(now)
            now = self.loop.clock.now()
        if run_count < len(due):
            self.loop.next_turn(partial(self._run_due, due[run_count:]))

    # Connections

    def _accept(self, mask: int) -> None:
        for _ in range(MAX_ACCEPTED_PER_TURN):
            if self._sock is None:
                return
            try:
                sock, address = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:  # the peer has already gone
                continue
            except OSError as error:
                self._accept_failed(error)
                return
            self._add_connection(sock, f"{address[0]}:{address[1]}")

    def _accept_failed(self, error: OSError) -> None:
        """Stops accepting for ACCEPT_RETRY_NS after an error, most likely for lack of file descriptors.

        The listening socket stays readable, so that watching it on would keep the event loop busy.
        """
        self.counters.accept_failed += 1
        self._log("relay_accept_failed", why=str(error))
        if self._sock is not None and self._accepting:
            self._accepting = False
            self.loop.unwatch(self._sock)
            self.loop.after(ACCEPT_RETRY_NS, self._accept_again)

    def _accept_again(self) -> None:
        if self._sock is not None:
            self._accepting = True
            self.loop.watch(self._sock, READ, self._accept)

    def _add_connection(self, sock: socket.socket, name: str) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.counters.connections += 1
        key = next(self._keys)
        watcher = WatcherConnection(self, sock, name, key)
        if len(self.watchers) >= self._limits.most_watchers:
            self.counters.refused_full += 1
            self._refuse_connection(watcher)
            return
        self.watchers[key] = watcher
        self.deadlines.set(watcher.deadline, self.loop.clock.now() + self.idle_timeout_ns)

    def _refuse_connection(self, watcher: WatcherConnection) -> None:
        """Answers a new connection above the limit on watchers with 503.

        The peer has some time to read the refusal, but many refused connections must not use up the file
        descriptors, so above MAX_REFUSED_CONNECTIONS the oldest one is closed at once.
        """
        self._refused_connections[watcher.key] = watcher
        watcher.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "this relay is full")
        if len(self._refused_connections) > MAX_REFUSED_CONNECTIONS:
            next(iter(self._refused_connections.values())).close("full")

    def connection_ended(self, watcher: WatcherConnection) -> None:
        """Called once by a connection that has ended: forgets it and its held poll or unread answer."""
        self.watchers.pop(watcher.key, None)
        self._refused_connections.pop(watcher.key, None)
        self._waiting.pop(watcher.key, None)
        self._unread.release(watcher.key)
        if watcher.polled:
            self.marks.disconnected(watcher.name, self.loop.clock.now())

    def request_refused(self, watcher: WatcherConnection, status: HTTPStatus, why: str) -> None:
        """Called by a connection before it answers a request with the error `status`.

        Counts and logs the error unless it is a 503, whose callers count it themselves.
        """
        self._waiting.pop(watcher.key, None)
        if status is not HTTPStatus.SERVICE_UNAVAILABLE:
            self.counters.bad_requests += 1
            self._log("relay_bad_request", peer=watcher.name, status=int(status), why=why)

    def idle_timed_out(self, watcher: WatcherConnection) -> None:
        """Closes a connection that has sent no request within the idle time-out."""
        self.counters.idle_closed += 1
        watcher.close("idle")

    # Requests

    def handle(self, watcher: WatcherConnection, method: bytes, target: bytes, now: int) -> None:
        """Handles one complete HTTP request of a connection: a poll, a status request, or an invalid one."""
        if method == b"GET" and target.startswith(POLL_PATH + b"?"):
            self._handle_poll(watcher, target, now)
            return
        path = path_of(target)
        if path not in (POLL_PATH, STATUS_PATH):
            watcher.refuse(HTTPStatus.NOT_FOUND, "no such path")
        elif method != b"GET":
            watcher.refuse(HTTPStatus.METHOD_NOT_ALLOWED, "only GET")
        elif path == POLL_PATH:
            watcher.refuse(HTTPStatus.BAD_REQUEST, "the parameters watch and linger are required")
        else:
            self._handle_status(watcher, target, now)

    def _handle_status(self, watcher: WatcherConnection, target: bytes, now: int) -> None:
        try:
            body = self._status(target, now)
        except BadTarget as error:
            watcher.refuse(HTTPStatus.BAD_REQUEST, str(error))
            return
        watcher.send(body, now)

    def _handle_poll(self, watcher: WatcherConnection, target: bytes, now: int) -> None:
        try:
            poll = parse_poll(target)
        except BadTarget as error:
            watcher.refuse(HTTPStatus.BAD_REQUEST, str(error))
            return
        self.counters.polls += 1
        watcher.poll = poll
        watcher.polled = True
        if not self.marks.report(watcher.name, poll.revision, now, poll.low, poll.count):
            self.counters.refused_full += 1
            watcher.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "this relay is full")
            return
        if poll.revision < self.history.revision and self._answer(watcher, now):
            return
        if not watcher.open:
            return
        wait_ms = min(poll.linger_ms, self._limits.longest_wait_ms)
        if not wait_ms or self._stopping:
            self.wait_timed_out(watcher, now)
            return
        self._waiting[watcher.key] = watcher
        watcher.hold(now + wait_ms * MS)

    def _answer(self, watcher: WatcherConnection, now: int) -> bool:
        """Answers the watcher's poll with the events after its number, or with 503 if the history no longer
        holds them all.

        Returns False, without an answer, if there are no such events.
        """
        try:
            body = self.history.since(watcher.poll.revision, now)
        except WatcherTooOld as why:
            self.counters.too_old += 1
            self._log("relay_watcher_too_old", peer=watcher.name, number=watcher.poll.revision, why=str(why))
            watcher.refuse(HTTPStatus.SERVICE_UNAVAILABLE, str(why))
            return True
        if body is None:
            return False
        self.counters.answers += 1
        self._send(watcher, body, now)
        return True

    def _send(self, watcher: WatcherConnection, body: bytes, now: int) -> None:
        self._waiting.pop(watcher.key, None)
        self.counters.bytes += len(body)
        if self._stopping:
            watcher.send_and_close(body, now)
        else:
            watcher.send(body, now)

    def wait_timed_out(self, watcher: WatcherConnection, now: int) -> None:
        """Answers a poll whose wait has ended: without events, or with 503 if no complete server list is
        known yet.
        """
        if not self.history.ready:
            self.counters.not_ready += 1
            watcher.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "no whole list is known yet")
            return
        self.counters.empty_answers += 1
        self._send(watcher, self.history.empty_answer(), now)

    # Rounds of answers to all held polls

    def events_appended(self) -> None:
        """Called when the history has new events: schedules a round of answers to the held polls.

        It starts at least `pace_ns` after the start of the previous round, and after that round's end.
        """
        if self._answer_scheduled:
            return
        if self._to_answer:
            self._answer_again = True
            return
        self._answer_scheduled = True
        delay_ns = self._answered_ns + self._limits.pace_ns - self.loop.clock.now()
        if delay_ns > 0:
            self.loop.after(delay_ns, self._start_round)
        else:
            self.loop.after_sockets(self._start_round)

    def _start_round(self) -> None:
        self._answer_scheduled = False
        self._answered_ns = self.loop.clock.now()
        self._to_answer = list(self._waiting.values())
        self._to_answer.reverse()  # `_answer_slice` pops from the end: this puts the longest held poll there
        self._answer_slice()

    def _answer_slice(self) -> None:
        started_ns = now = self.loop.clock.now()
        while self._to_answer and now - started_ns <= SLICE_NS:
            watcher = self._to_answer.pop()
            if watcher.state == WAITING:
                self._answer(watcher, now)
            now = self.loop.clock.now()
        self.longest_slice_ns = max(self.longest_slice_ns, now - started_ns)
        if self._to_answer:
            self.loop.next_turn(self._answer_slice)
        elif self._answer_again:
            self._answer_again = False
            self.events_appended()

    # Slow readers

    def hold_unread(self, watcher: WatcherConnection, answer: bytes) -> None:
        """Records that the socket of `watcher` has not taken all bytes of `answer`.

        While such answers exceed `most_unread_bytes` together, the watcher stuck for longest is cut off.
        """
        self._unread.hold(watcher.key, answer)
        slowest = self._unread.slowest()
        while slowest is not None:
            self.cut_off(self.watchers[slowest], "unread answers over the limit")
            slowest = self._unread.slowest()

    def release_unread(self, watcher: WatcherConnection) -> None:
        """Records that the socket of `watcher` has now taken its whole answer."""
        self._unread.release(watcher.key)

    def cut_off(self, watcher: WatcherConnection, why: str) -> None:
        """Closes the connection of a watcher that reads its answer too slowly; `why` goes to the log."""
        self.counters.cut_off += 1
        self._log("relay_watcher_cut_off", peer=watcher.name, why=why)
        watcher.close(why)

    # The end

    def stop(self) -> None:
        """Stops accepting, and answers every held poll at once, with the events after its number if any."""
        if self._stopping:
            return
        self._stopping = True
        if self._sock is not None:
            if self._accepting:
                self.loop.unwatch(self._sock)
            self._sock.close()
            self._sock = None
        self._answer_held_polls(list(self._waiting.values()))

    def _answer_held_polls(self, watchers: list[WatcherConnection]) -> None:
        started_ns = now = self.loop.clock.now()
        while watchers and now - started_ns <= SLICE_NS:
            watcher = watchers.pop()
            if watcher.state == WAITING and not self._answer(watcher, now):
                self.wait_timed_out(watcher, now)
            now = self.loop.clock.now()
        if watchers:
            self.loop.next_turn(partial(self._answer_held_polls, watchers))

    @property
    def unanswered(self) -> int:
        """The number of polls that are held or whose answer the socket has not taken completely."""
        return len(self._waiting) + len(self._unread)

    def close(self) -> None:
        """Stops the server and closes every connection at once, also with unread answers."""
        self.stop()
        for watcher in [*self.watchers.values(), *self._refused_connections.values()]:
            watcher.close("the relay is stopping")
