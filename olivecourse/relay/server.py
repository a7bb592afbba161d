"""The listening side of a relay: long polls held and answered, in the platform's own protocol.

`GET /board/poll?watch=N&linger=MS` is answered once events above N exist, or with none after MS ms. All that
costs time in proportion to the number of watchers is done in slices, so that no turn of the loop is long.
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

MS = 1_000_000
READ_BUDGET_NS = 30 * MS  # of a turn, for reading polls and answering them at once; and for deferred ones
SLICE_NS = 20 * MS  # of a turn, for answering those that waited
ACCEPTED_A_TURN = 64  # some 5 ms of work
BACKLOG = 4_096  # connections that the system holds for us: gateways of a dead relay come together
SEND_BUFFER_BYTES = 262_144  # of the system, a connection: thousands must not take gigabytes of it
MOST_TURNED_AWAY = 256  # connections that are told that the table is full
ACCEPT_AGAIN_NS = 50 * MS  # out of descriptors

StatusReport = Callable[[bytes, int], bytes]


@dataclass
class ServerLimits:
    """What a reload may change."""

    most_watchers: int
    longest_wait_ms: int
    read_timeout_ns: int
    idle_timeout_ns: int
    most_unread_bytes: int
    pace_ns: int  # the least time between two answers to all who wait


@dataclass
class ServerCounters:
    """Since the start."""

    polls: int = 0
    answers: int = 0
    empty_answers: int = 0
    bytes: int = 0  # of answers, without their heads
    not_ready: int = 0  # polls answered 503 before the first whole list
    too_old: int = 0  # polls answered 503, as what they missed is no longer held
    bad_requests: int = 0
    cut_off: int = 0  # slow readers
    idle_closed: int = 0
    refused_full: int = 0
    accept_failed: int = 0
    connections: int = 0  # accepted


class RelayServer:
    """Holds the watchers of one relay and answers them from its history."""

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
        """`status` gives the body of a status call for its target at a moment. Raises OSError."""
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
        self._leaving: dict[int, WatcherConnection] = {}  # turned away, the oldest first
        self._deferred: dict[int, WatcherConnection] = {}
        self._waiting: dict[int, WatcherConnection] = {}
        self._to_answer: list[WatcherConnection] = []
        self._answer_again = False
        self._answer_scheduled = False
        self._answered_ns = 0  # when all who waited were last answered
        self._turn_began = 0
        self._stopping = False
        self.apply_limits(limits)
        self._sock: socket.socket | None = listen(address)
        self._sock.listen(BACKLOG)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.port: int = self._sock.getsockname()[1]
        self._accepting = True
        loop.watch(self._sock, READ, self._accept)
        loop.after(BUCKET_NS, self._meet_deadlines)

    @property
    def waiting(self) -> int:
        """Polls that are held."""
        return len(self._waiting)

    @property
    def unread_bytes(self) -> int:
        """Bytes of answers that slow readers have not taken, shared ones counted once."""
        return self._unread.size

    def apply_limits(self, limits: ServerLimits) -> None:
        """Goes by other limits from now on; connections over a lower one stay."""
        self._limits = limits
        self.read_timeout_ns = limits.read_timeout_ns
        self.idle_timeout_ns = limits.idle_timeout_ns
        self._unread.most_bytes = limits.most_unread_bytes

    # Turns of the loop

    def turn_ended(self) -> None:
        """To be called after each turn of the loop."""
        self._turn_began = 0

    def work_time(self) -> int:
        """The moment now, or 0 if this turn has read for long enough: then see `defer`."""
        now = self.loop.clock.now()
        if not self._turn_began:
            self._turn_began = now
        elif now - self._turn_began > READ_BUDGET_NS:
            return 0
        return now

    def defer(self, watcher: WatcherConnection) -> None:
        """This turn has no time left for what `watcher` sent: first come, first served in later ones.

        Left to the selector, which tells the same sockets first in each turn, busy ones could starve others.
        """
        if not self._deferred:
            self.loop.next_turn(self._read_deferred)
        self._deferred[watcher.key] = watcher

    def _read_deferred(self) -> None:
        self._turn_began = 0  # a budget of their own, beyond which they defer themselves again
        deferred, self._deferred = self._deferred, {}
        for watcher in deferred.values():
            try:
                watcher.read_deferred()
            except Exception as error:  # that connection is closed; the others go on
                self.loop.faulted("socket", error)

    def later(self, call: Callable[[], object]) -> None:
        """Calls in the next turn of the loop."""
        self.loop.next_turn(call)

    def _meet_deadlines(self) -> None:
        due = self.deadlines.take_due(self.loop.clock.now())
        if due:
            self._call_due(due)
        if self._sock is not None or self.watchers or self._leaving:
            self.loop.after(BUCKET_NS, self._meet_deadlines)

    def _call_due(self, due: list[Deadline]) -> None:
        """Thousands may be due at once: those that one slice leaves have the next turn."""
        began = now = self.loop.clock.now()
        called = 0
        while called < len(due) and now - began <= SLICE_NS:
            deadline = due[called]
            called += 1
            if deadline.due_ns and deadline.due_ns <= now:  # not moved since
                deadline.call(now)
            now = self.loop.clock.now()
        if called < len(due):
            self.loop.next_turn(partial(self._call_due, due[called:]))

    # Connections

    def _accept(self, mask: int) -> None:
        for _ in range(ACCEPTED_A_TURN):
            if self._sock is None:
                return
            try:
                sock, address = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:  # it was gone again
                continue
            except OSError as error:
                self._accept_failed(error)
                return
            self._adopt(sock, f"{address[0]}:{address[1]}")

    def _accept_failed(self, error: OSError) -> None:
        """Most likely out of descriptors: the listening socket stays readable, and is left alone a while."""
        self.counters.accept_failed += 1
        self._log("relay_accept_failed", why=str(error))
        if self._sock is not None and self._accepting:
            self._accepting = False
            self.loop.forget(self._sock)
            self.loop.after(ACCEPT_AGAIN_NS, self._accept_again)

    def _accept_again(self) -> None:
        if self._sock is not None:
            self._accepting = True
            self.loop.watch(self._sock, READ, self._accept)

    def _adopt(self, sock: socket.socket, name: str) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.counters.connections += 1
        key = next(self._keys)
        watcher = WatcherConnection(self, sock, name, key)
        if len(self.watchers) >= self._limits.most_watchers:
            self.counters.refused_full += 1
            self._turn_away(watcher)
            return
        self.watchers[key] = watcher
        self.deadlines.set(watcher.deadline, self.loop.clock.now() + self.idle_timeout_ns)

    def _turn_away(self, watcher: WatcherConnection) -> None:
        """Refuses a newcomer. It has a moment to read that, but a flood of them must not hold descriptors."""
        self._leaving[watcher.key] = watcher
        watcher.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "this relay is full")
        if len(self._leaving) > MOST_TURNED_AWAY:
            next(iter(self._leaving.values())).close("full")

    def left(self, watcher: WatcherConnection) -> None:
        """A connection has ended."""
        self.watchers.pop(watcher.key, None)
        self._leaving.pop(watcher.key, None)
        self._waiting.pop(watcher.key, None)
        self._unread.release(watcher.key)
        if watcher.polled:
            self.marks.disconnected(watcher.name, self.loop.clock.now())

    def refused(self, watcher: WatcherConnection, status: HTTPStatus, why: str) -> None:
        """A request has been answered with an error."""
        self._waiting.pop(watcher.key, None)
        if status is not HTTPStatus.SERVICE_UNAVAILABLE:
            self.counters.bad_requests += 1
            self._log("relay_bad_request", peer=watcher.name, status=int(status), why=why)

    def idle_ended(self, watcher: WatcherConnection) -> None:
        """A connection has asked nothing for too long."""
        self.counters.idle_closed += 1
        watcher.close("idle")

    # Requests

    def handle(self, watcher: WatcherConnection, method: bytes, target: bytes, now: int) -> None:
        """One whole request."""
        if method == b"GET" and target.startswith(POLL_PATH + b"?"):
            self._handle_poll(watcher, target, now)
            return
        path = path_of(target)
        if path not in (POLL_PATH, STATUS_PATH):
            watcher.refuse(HTTPStatus.NOT_FOUND, "no such path")
        elif method != b"GET":
            watcher.refuse(HTTPStatus.METHOD_NOT_ALLOWED, "only GET")
        elif path == POLL_PATH:
            watcher.refuse(HTTPStatus.BAD_REQUEST, "watch and linger are needed")
        else:
            self._handle_status(watcher, target, now)

    def _handle_status(self, watcher: WatcherConnection, target: bytes, now: int) -> None:
        try:
            body = self._status(target, now)
        except BadTarget as bad:
            watcher.refuse(HTTPStatus.BAD_REQUEST, str(bad))
            return
        watcher.send(body, now)

    def _handle_poll(self, watcher: WatcherConnection, target: bytes, now: int) -> None:
        try:
            poll = parse_poll(target)
        except BadTarget as bad:
            watcher.refuse(HTTPStatus.BAD_REQUEST, str(bad))
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
            self.wait_ended(watcher, now)
            return
        self._waiting[watcher.key] = watcher
        watcher.wait(now + wait_ms * MS)

    def _answer(self, watcher: WatcherConnection, now: int) -> bool:
        """Whether the poll has been answered, or refused."""
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
            watcher.last_answer(body, now)
        else:
            watcher.send(body, now)

    def wait_ended(self, watcher: WatcherConnection, now: int) -> None:
        """There is nothing for a poll, and it may wait no longer."""
        if not self.history.ready:
            self.counters.not_ready += 1
            watcher.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "no whole list is known yet")
            return
        self.counters.empty_answers += 1
        self._send(watcher, self.history.empty_answer(), now)

    # Answers to all who wait

    def events_appended(self) -> None:
        """The history has grown: who waits is answered, at once if that has not just been done."""
        if self._answer_scheduled:
            return
        if self._to_answer:
            self._answer_again = True
            return
        self._answer_scheduled = True
        delay_ns = self._answered_ns + self._limits.pace_ns - self.loop.clock.now()
        if delay_ns > 0:
            self.loop.after(delay_ns, self._answer_all)
        else:
            self.loop.soon(self._answer_all)

    def _answer_all(self) -> None:
        self._answer_scheduled = False
        self._answered_ns = self.loop.clock.now()
        self._to_answer = list(self._waiting.values())
        self._to_answer.reverse()  # taken from the end: the longest waiting first
        self._answer_slice()

    def _answer_slice(self) -> None:
        began = now = self.loop.clock.now()
        while self._to_answer and now - began <= SLICE_NS:
            watcher = self._to_answer.pop()
            if watcher.state == WAITING:
                self._answer(watcher, now)
            now = self.loop.clock.now()
        self.longest_slice_ns = max(self.longest_slice_ns, now - began)
        if self._to_answer:
            self.loop.next_turn(self._answer_slice)
        elif self._answer_again:
            self._answer_again = False
            self.events_appended()

    # Slow readers

    def hold_unread(self, watcher: WatcherConnection, answer: bytes) -> None:
        """The system has not taken all of `answer`; over the bound, who is stuck for longest is cut off."""
        self._unread.hold(watcher.key, answer)
        slowest = self._unread.slowest()
        while slowest is not None:
            self.cut_off(self.watchers[slowest], "unread answers over the limit")
            slowest = self._unread.slowest()

    def release_unread(self, watcher: WatcherConnection) -> None:
        """A slow reader has taken its answer."""
        self._unread.release(watcher.key)

    def cut_off(self, watcher: WatcherConnection, why: str) -> None:
        """Ends the connection of a watcher that reads too slowly."""
        self.counters.cut_off += 1
        self._log("relay_watcher_cut_off", peer=watcher.name, why=why)
        watcher.close(why)

    # The end

    def stop(self) -> None:
        """Accepts nobody more, and answers every poll that is held with what there is."""
        if self._stopping:
            return
        self._stopping = True
        if self._sock is not None:
            if self._accepting:
                self.loop.forget(self._sock)
            self._sock.close()
            self._sock = None
        self._end_waits(list(self._waiting.values()))

    def _end_waits(self, watchers: list[WatcherConnection]) -> None:
        began = now = self.loop.clock.now()
        while watchers and now - began <= SLICE_NS:
            watcher = watchers.pop()
            if watcher.state == WAITING and not self._answer(watcher, now):
                self.wait_ended(watcher, now)
            now = self.loop.clock.now()
        if watchers:
            self.loop.next_turn(partial(self._end_waits, watchers))

    @property
    def unanswered(self) -> int:
        """Polls that are held or of which the system has not taken the whole answer."""
        return len(self._waiting) + len(self._unread)

    def close(self) -> None:
        """Ends everything that is left."""
        self.stop()
        for watcher in [*self.watchers.values(), *self._leaving.values()]:
            watcher.close("the relay ends")
