"""Discovery over HTTP/1.1 long polls: numbered events, each handed on once and in order."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import httptools

from olivecourse.config.address import Address
from olivecourse.discovery.event_stream import ResponseReader
from olivecourse.discovery.failover import UpstreamSelector, spread_ns
from olivecourse.discovery.pacing import PollPacer
from olivecourse.net.loop import Loop
from olivecourse.net.stream import Stream
from olivecourse.net.wheel import Timer

MS = 1_000_000
# Short, so that a connection cut off in silence is noticed well before the 7 s are over.
LONG_POLL_WAIT_MS = 1_500
RESPONSE_TIMEOUT_NS = 700 * MS  # beyond the time for which the board was asked to wait
MIN_PROGRESS_BYTES = 1_024  # of an answer in RESPONSE_TIMEOUT_NS, or it counts as silent
CONNECT_TIMEOUT_NS = 400 * MS
# A retry waits between half of it and all, so that clients of one address do not come back as one.
RECONNECT_BACKOFF_NS, RECONNECT_BACKOFF_MOST_NS = 40 * MS, 320 * MS
READS_PER_TURN = 8  # of 4 KB each: some 450 purges, 5 to 15 ms of work; the rest waits for the next turn
EventsCallback = Callable[[list[Any]], None]


class PollStream(Stream):
    """One kept-alive connection on which polls follow each other."""

    def __init__(self, client: DiscoveryClient) -> None:
        self.client, self.address = client, client.address
        self.parser = httptools.HttpResponseParser(self)
        self.reader = ResponseReader(client.rev)
        self.waiting = False  # for an answer, or for the rest of one
        self._asked_at = 0
        self._had_news = False  # the answer before had
        self.failure = ""  # why this connection can't be used any longer
        self._received_bytes = 0  # of the answer, since the timer was set
        super().__init__(
            client.loop, Stream.connect(client.loop, client.address), 262_144, 4096, connecting=True
        )
        self.reads = READS_PER_TURN
        self.response_timer = self.loop.after(CONNECT_TIMEOUT_NS, self._silent)

    def _silent(self) -> None:
        if self._received_bytes < MIN_PROGRESS_BYTES:
            self.close("no answer in time")
        else:  # a long answer on its way
            self._await_response(0)

    def _await_response(self, wait_ms: int) -> None:
        # Guards against a board cut off without a word, whose connection stays open for ever.
        self._received_bytes = 0
        self.response_timer = self.loop.after(wait_ms * MS + RESPONSE_TIMEOUT_NS, self._silent)

    def opened(self) -> None:
        self.ask()

    def ask(self) -> None:
        if not self.open:
            return
        self.response_timer.cancel()
        self._asked_at = self.loop.clock.now()
        host, port = self.address
        # The first poll tells only that discovery is there.
        wait_ms = LONG_POLL_WAIT_MS if self.client.answered else 0
        self._await_response(wait_ms)
        self.reader, self.waiting = ResponseReader(self.client.rev), True
        self.write(
            f"GET /board/poll?watch={self.client.rev}&linger={wait_ms}{self.client.query()} HTTP/1.1\r\n"
            f"Host: {host}:{port}\r\n\r\n".encode()
        )

    def received(self) -> None:
        try:
            self.parser.feed_data(self.inbox.take(len(self.inbox)))
        except httptools.HttpParserError as error:
            self.failure = f"broken HTTP: {error}"
        if self.failure:
            self.close(self.failure)

    def on_headers_complete(self) -> None:
        if not self.waiting:
            self.failure = "an answer to no question"
        elif self.parser.get_status_code() != 200:
            self.failure = "not a 200"

    def on_body(self, data: bytes) -> None:
        if self.failure or not self.open:
            return
        self._received_bytes += len(data)
        self.client.take(self.reader, self.reader.feed(data))
        self._check()

    def on_message_complete(self) -> None:
        if self.failure or not self.open:
            return
        self.waiting = False
        self.response_timer.cancel()
        self.client.take(self.reader, self.reader.finish())
        self._check()
        if self.failure:
            return
        self.client.on_response(self.reader)
        if not self.parser.should_keep_alive():
            self.failure = "closed after its answer"
        elif self.open:
            self._ask_soon()

    def _ask_soon(self) -> None:
        """The next poll: at once, or after more news has been gathered."""
        pacer, now = self.client.pacer, self.loop.clock.now()
        if pacer is not None and self._had_news:
            pacer.on_round_trip(now - self._asked_at)
        self._had_news = not self.reader.empty
        delay = pacer.delay_ns(now, self.loop.lag_ns) if pacer is not None and self._had_news else 0
        if delay:
            self.response_timer = self.loop.after(delay, self.ask)
        else:
            self.ask()

    def _check(self) -> None:
        if self.reader.error is not None:  # asked again at once, it would most likely say the same
            self.client.on_invalid_response(self.reader)
            self.failure = "broken answer"

    def closed(self, why: str) -> None:
        self.response_timer.cancel()
        self.client.on_disconnect(self, why)


class DiscoveryClient:
    """Polls one discovery address, reconnects with backoff and hands each new event on."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        rev: int,
        on_events: EventsCallback,
        log: Callable[..., None],
        query: Callable[[], str] = lambda: "",
        random: Callable[[], float] | None = None,
        pacer: PollPacer | None = None,
        alternatives: Sequence[Address] = (),
        grace_ns: int = 0,
    ) -> None:
        """`on_events` takes events newer than `rev` in ascending order, a long answer in several slices.

        `query` gives further parameters of a poll, such as `&low=17`; `random` numbers from 0 to 1, by which
        clients of one address spread their retries; `pacer` says how long news is gathered, without one it
        is asked for at once.

        `alternatives` are turned to when `address` fails, and so on around. Clients that lose an address
        which had answered come to the others within half of `grace_ns`, the settings' shortest grace.
        """
        self.loop, self.address, self.rev, self._on_events, self._log = loop, address, rev, on_events, log
        self.query, self.pacer = query, pacer
        self._random = Random(0).random if random is None else random
        self._addresses = (address, *alternatives)
        self._upstreams = self._selector()
        self._grace_ns = grace_ns
        self._connection_answered = False  # whether an answer was read on the connection in use
        self.address_since_ns = loop.clock.now()  # when `address` became the one to ask
        self._backoff_ns = RECONNECT_BACKOFF_NS
        self._stopped = False
        self.answered = False  # whether any answer could be read since the start
        self.stream: PollStream | None = None
        self._timer: Timer | None = None  # the next try to connect
        self._connect()

    def _selector(self) -> UpstreamSelector | None:
        """What chooses among the addresses; None where there is no choice."""
        return UpstreamSelector(self._addresses, self._random) if len(self._addresses) > 1 else None

    def _connect(self) -> None:
        if self._stopped:
            return
        self._connection_answered = False
        try:
            self.stream = PollStream(self)
        except OSError as error:
            self.on_disconnect(None, str(error))

    def move(self, address: Address, alternatives: Sequence[Address] = ()) -> None:
        """The addresses of a new configuration: polled at once, from the last event that the old one sent.

        An alternative in use stays so if it is still named.

        Guards against a wait for the old one, which may keep its connection open and say nothing more.
        """
        self._addresses = (address, *alternatives)
        if self._upstreams is None or not alternatives:
            self._upstreams = self._selector()
        else:
            self._upstreams.replace(self._addresses)
        wanted = address if self._upstreams is None else self._upstreams.current
        if wanted == self.address:
            return
        self._turn_to(wanted)
        self._backoff_ns = RECONNECT_BACKOFF_NS
        old, self.stream = self.stream, None
        if old is not None:
            old.close("the board has moved")
        if self._timer is not None:
            self._timer.cancel()
        self._connect()

    def take(self, reader: ResponseReader, events: list[Any]) -> None:
        """Events of an answer, each newer than what is held."""
        if events:
            self.rev = reader.rev
            self._on_events(events)

    def on_response(self, reader: ResponseReader) -> None:
        """An answer was read to its end."""
        self._backoff_ns = RECONNECT_BACKOFF_NS
        self.answered = self._connection_answered = True
        if self._upstreams is not None:
            self._upstreams.succeeded()
        # The answer's own number may run ahead of its list: never past what was really read.
        if reader.empty and reader.revision < self.rev:
            self._log("discovery_revision_decreased", rev=reader.revision, held=self.rev)

    def on_invalid_response(self, reader: ResponseReader) -> None:
        self._log("discovery_response_invalid", why=str(reader.error), held=self.rev)

    def on_disconnect(self, stream: PollStream | None, why: str) -> None:
        if self._stopped or stream is not self.stream:
            return
        self.stream = None
        self._log("discovery_disconnected", why=why)
        self._timer = self.loop.after(self._retry_delay_ns(), self._connect)

    def _retry_delay_ns(self) -> int:
        """How long to wait before the next try, which may be at another address."""
        if self._upstreams is None:
            wait_ns = self._backoff_ns // 2 + int(self._random() * (self._backoff_ns // 2))
            self._backoff_ns = min(self._backoff_ns * 2, RECONNECT_BACKOFF_MOST_NS)
            return wait_ns
        plan = self._upstreams.failed()
        self._turn_to(plan.address)
        if not self._connection_answered:
            return plan.delay_ns
        return plan.delay_ns + spread_ns(self._random, self._grace_ns)

    def _turn_to(self, address: Address) -> None:
        if address != self.address:
            self.address = address
            self.address_since_ns = self.loop.clock.now()

    def stop(self) -> None:
        self._stopped = True
        if self.stream is not None:
            self.stream.close()
