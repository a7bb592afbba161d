"""A client for discovery over HTTP/1.1 long polls: it delivers numbered events, each once and in order."""

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
# Short enough that a connection lost without a reset is noticed well before the 7 s limit.
LONG_POLL_WAIT_MS = 1_500
RESPONSE_TIMEOUT_NS = 700 * MS  # added to the time for which the discovery server was asked to wait
MIN_PROGRESS_BYTES = 1_024  # a response that delivers less within RESPONSE_TIMEOUT_NS counts as silent
CONNECT_TIMEOUT_NS = 400 * MS
# A retry waits between half of the backoff and all of it, so that clients of one address do not reconnect
# simultaneously.
RECONNECT_BACKOFF_NS, MAX_RECONNECT_BACKOFF_NS = 40 * MS, 320 * MS
# Eight reads of 4 KB each hold some 450 purges, which take 5 to 15 ms to process; further data waits for the
# next turn.
READS_PER_TURN = 8
EventsCallback = Callable[[list[Any]], None]


class PollStream(Stream):
    """One keep-alive connection on which polls follow each other."""

    def __init__(self, client: DiscoveryClient) -> None:
        self.client, self.address = client, client.address
        self.parser = httptools.HttpResponseParser(self)
        self.reader = ResponseReader(client.rev)
        self.response_pending = False  # a response, or the rest of one, is outstanding
        self._poll_sent_at = 0
        self._previous_had_events = False  # the previous response had events
        self.failure = ""  # the reason why this connection is unusable, or an empty text
        self._received_bytes = 0  # bytes of the response since the timer was set
        super().__init__(
            client.loop, Stream.connect(client.loop, client.address), 262_144, 4096, connecting=True
        )
        self.reads = READS_PER_TURN
        self.response_timer = self.loop.after(CONNECT_TIMEOUT_NS, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._received_bytes < MIN_PROGRESS_BYTES:
            self.close("no answer in time")
        else:  # a long response is still arriving
            self._await_response(0)

    def _await_response(self, wait_ms: int) -> None:
        # Guards against a discovery server cut off without a reset, whose connection stays open forever.
        self._received_bytes = 0
        self.response_timer = self.loop.after(wait_ms * MS + RESPONSE_TIMEOUT_NS, self._on_timeout)

    def opened(self) -> None:
        self.poll()

    def poll(self) -> None:
        """Sends the next poll."""
        if not self.open:
            return
        self.response_timer.cancel()
        self._poll_sent_at = self.loop.clock.now()
        host, port = self.address
        # The first poll does not wait: it only shows that discovery is reachable.
        wait_ms = LONG_POLL_WAIT_MS if self.client.answered else 0
        self._await_response(wait_ms)
        self.reader, self.response_pending = ResponseReader(self.client.rev), True
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
        """Called by the HTTP parser after the headers of a response."""
        if not self.response_pending:
            self.failure = "response without a request"
        elif self.parser.get_status_code() != 200:
            self.failure = "not a 200"

    def on_body(self, data: bytes) -> None:
        """Called by the HTTP parser with each part of a body."""
        if self.failure or not self.open:
            return
        self._received_bytes += len(data)
        self.client.deliver(self.reader, self.reader.feed(data))
        self._check_reader()

    def on_message_complete(self) -> None:
        """Called by the HTTP parser at the end of a response."""
        if self.failure or not self.open:
            return
        self.response_pending = False
        self.response_timer.cancel()
        self.client.deliver(self.reader, self.reader.finish())
        self._check_reader()
        if self.failure:
            return
        self.client.on_response(self.reader)
        if not self.parser.should_keep_alive():
            self.failure = "closed after its answer"
        elif self.open:
            self._schedule_poll()

    def _schedule_poll(self) -> None:
        """Sends the next poll at once, or after the delay in which the pacer lets more events accumulate."""
        pacer, now = self.client.pacer, self.loop.clock.now()
        if pacer is not None and self._previous_had_events:
            pacer.on_round_trip(now - self._poll_sent_at)
        self._previous_had_events = not self.reader.empty
        delay = (
            pacer.delay_ns(now, self.loop.lag_ns) if pacer is not None and self._previous_had_events else 0
        )
        if delay:
            self.response_timer = self.loop.after(delay, self.poll)
        else:
            self.poll()

    def _check_reader(self) -> None:
        if self.reader.error is not None:  # an immediate new poll would most likely get the same response
            self.client.on_invalid_response(self.reader)
            self.failure = "broken answer"

    def closed(self, why: str) -> None:
        self.response_timer.cancel()
        self.client.on_disconnect(self, why)


class DiscoveryClient:
    """Polls one discovery address at a time, reconnects with backoff and delivers each new event."""

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
        """`on_events` gets events newer than `rev` in ascending order, a long response in several slices.

        `query` returns further parameters of a poll, such as `&low=17`. `random` returns numbers from 0 to 1
        by which clients of one address spread their retries. `pacer` gives the delay between polls while
        events arrive; without a pacer, the next poll is sent at once.

        When `address` fails, the client tries the `alternatives` in turn. Clients that lose an address which
        had answered move to the others within half of `grace_ns`, the shortest grace in the settings.
        """
        self.loop, self.address, self.rev, self._on_events, self._log = loop, address, rev, on_events, log
        self.query, self.pacer = query, pacer
        self._random = Random(0).random if random is None else random
        self._addresses = (address, *alternatives)
        self._upstreams = self._selector()
        self._grace_ns = grace_ns
        self._connection_answered = False  # whether a response was read on the present connection
        self.address_since_ns = loop.clock.now()  # when the client switched to `address`
        self._backoff_ns = RECONNECT_BACKOFF_NS
        self._stopped = False
        self.answered = False  # whether any response has been read since the start
        self.stream: PollStream | None = None
        self._timer: Timer | None = None  # the timer of the next connection attempt
        self._connect()

    def _selector(self) -> UpstreamSelector | None:
        """Returns the selector among several addresses, or None if there is only one address."""
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
        """Switches to the addresses of a new configuration and polls at once, from the last event received.

        An alternative in use stays in use if the configuration still lists it. The immediate switch guards
        against waiting for the old address, which may keep its connection open and send nothing more.
        """
        self._addresses = (address, *alternatives)
        if self._upstreams is None or not alternatives:
            self._upstreams = self._selector()
        else:
            self._upstreams.replace(self._addresses)
        selected = address if self._upstreams is None else self._upstreams.current
        if selected == self.address:
            return
        self._switch_to(selected)
        self._backoff_ns = RECONNECT_BACKOFF_NS
        old, self.stream = self.stream, None
        if old is not None:
            old.close("discovery address changed")
        if self._timer is not None:
            self._timer.cancel()
        self._connect()

    def deliver(self, reader: ResponseReader, events: list[Any]) -> None:
        """Delivers events of a response, each newer than `rev`."""
        if events:
            self.rev = reader.rev
            self._on_events(events)

    def on_response(self, reader: ResponseReader) -> None:
        """Called when a response has been read to its end."""
        self._backoff_ns = RECONNECT_BACKOFF_NS
        self.answered = self._connection_answered = True
        if self._upstreams is not None:
            self._upstreams.succeeded()
        # The revision of a response may be ahead of its events, so `rev` never passes the last event read.
        if reader.empty and reader.revision < self.rev:
            self._log("discovery_revision_decreased", rev=reader.revision, held=self.rev)

    def on_invalid_response(self, reader: ResponseReader) -> None:
        """Called when a response cannot be read."""
        self._log("discovery_response_invalid", why=str(reader.error), held=self.rev)

    def on_disconnect(self, stream: PollStream | None, why: str) -> None:
        """Called when a connection is closed or cannot be opened; schedules the next connection attempt."""
        if self._stopped or stream is not self.stream:
            return
        self.stream = None
        self._log("discovery_disconnected", why=why)
        self._timer = self.loop.after(self._retry_delay_ns(), self._connect)

    def _retry_delay_ns(self) -> int:
        """Returns the delay before the next connection attempt, which may go to another address."""
        if self._upstreams is None:
            wait_ns = self._backoff_ns // 2 + int(self._random() * (self._backoff_ns // 2))
            self._backoff_ns = min(self._backoff_ns * 2, MAX_RECONNECT_BACKOFF_NS)
            return wait_ns
        plan = self._upstreams.failed()
        self._switch_to(plan.address)
        if not self._connection_answered:
            return plan.delay_ns
        return plan.delay_ns + spread_ns(self._random, self._grace_ns)

    def _switch_to(self, address: Address) -> None:
        if address != self.address:
            self.address = address
            self.address_since_ns = self.loop.clock.now()

    def stop(self) -> None:
        """Stops polling for good."""
        self._stopped = True
        if self.stream is not None:
            self.stream.close()
