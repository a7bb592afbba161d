"""A client that follows a discovery server by HTTP/1.1 long polls.

The server's events (for example drains and purges) are numbered. The client delivers each event once, in the
order of the numbers.
"""

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
from olivecourse.net.timers import Timer

MS = 1_000_000
# How long the discovery server is asked to hold a poll open while it has no new event. Short enough that a
# connection lost without a reset is noticed well before 7 s, after which purges and drains count as known to
# every gateway.
LONG_POLL_WAIT_MS = 1_500
RESPONSE_TIMEOUT_NS = 700 * MS  # limit for a response, added to the wait requested
# When the response timer expires, a response that has delivered at least this many bytes since the timer was
# set goes on with a new timer; one that has delivered less is given up and the connection is closed.
MIN_PROGRESS_BYTES = 1_024
CONNECT_TIMEOUT_NS = 400 * MS
# Backoff before reconnecting to a single discovery address: the initial value, doubled after each failure up
# to the maximum. Each retry waits a random time between half of the backoff and all of it, so that the
# clients of one address do not reconnect simultaneously.
RECONNECT_BACKOFF_NS, MAX_RECONNECT_BACKOFF_NS = 40 * MS, 320 * MS
# Socket reads from the discovery connection in one turn of the event loop. Eight reads of 4 KB each hold some
# 450 purges, which take 5 to 15 ms to process; further data waits for the next turn.
READS_PER_TURN = 8
EventsCallback = Callable[[list[Any]], None]


class PollStream(Stream):
    """One keep-alive HTTP connection to a discovery server, which carries one poll at a time."""

    def __init__(self, client: DiscoveryClient) -> None:
        self.client, self.address = client, client.address
        self.parser = httptools.HttpResponseParser(self)
        self.reader = ResponseReader(client.rev)
        self.response_pending = False  # a poll was sent and its response is not complete yet
        self._poll_sent_at = 0
        self._previous_had_events = False  # the latest complete response on this connection had events
        self.failure = ""  # why this connection must be closed, or an empty text
        self._received_bytes = 0  # bytes of response body since `response_timer` was set
        super().__init__(
            client.loop, Stream.connect(client.loop, client.address), 262_144, 4096, connecting=True
        )
        self.reads = READS_PER_TURN
        self.response_timer = self.loop.after(CONNECT_TIMEOUT_NS, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._received_bytes < MIN_PROGRESS_BYTES:
            self.close("no answer in time")
        else:  # a long response is still arriving: give it another RESPONSE_TIMEOUT_NS
            self._await_response(0)

    def _await_response(self, wait_ms: int) -> None:
        # Sets the timer that closes the connection if no response arrives. It guards against a discovery
        # server that is cut off without a reset, whose connection would stay open forever.
        self._received_bytes = 0
        self.response_timer = self.loop.after(wait_ms * MS + RESPONSE_TIMEOUT_NS, self._on_timeout)

    def opened(self) -> None:
        self.poll()

    def poll(self) -> None:
        """Sends the next poll, for events newer than the last one delivered, if the connection is open."""
        if not self.open:
            return
        self.response_timer.cancel()
        self._poll_sent_at = self.loop.clock.now()
        host, port = self.address
        # Until the client has read its first response, the server is asked to answer at once, since that
        # response shows that discovery is reachable.
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
        """Called by the HTTP parser after the headers of a response; any status but 200 is a failure."""
        if not self.response_pending:
            self.failure = "response without a request"
        elif self.parser.get_status_code() != 200:
            self.failure = "not a 200"

    def on_body(self, data: bytes) -> None:
        """Called by the HTTP parser with each part of a response body; delivers the events in it."""
        if self.failure or not self.open:
            return
        self._received_bytes += len(data)
        self.client.deliver(self.reader, self.reader.feed(data))
        self._check_reader()

    def on_message_complete(self) -> None:
        """Called by the HTTP parser at the end of a response; delivers its last events and plans a poll."""
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
        """Sends the next poll, at once or after the pacer's delay, which lets more events accumulate."""
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
        if self.reader.error is not None:  # polling again at once would most likely fail the same way
            self.client.on_invalid_response(self.reader)
            self.failure = "broken answer"

    def closed(self, why: str) -> None:
        self.response_timer.cancel()
        self.client.on_disconnect(self, why)


class DiscoveryClient:
    """Keeps one connection to one of several discovery addresses, polls it and delivers each new event.

    After a lost connection it reconnects with a backoff, possibly to another address.
    """

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
        """`on_events` is called with lists of events whose numbers are above `rev`, in ascending order; the
        events of a long response come in several lists.

        `query` returns further query parameters for each poll, such as `&low=17`. `random` returns numbers
        from 0 to 1, by which the clients of one address spread their retries. `pacer` decides how long to
        wait after a response with events before the next poll; without it, the next poll is sent at once.

        When `address` fails, the client tries the `alternatives` in turn. Clients that lose an address which
        had answered move to the others at random times within half of `grace_ns`, the shortest time within
        which the settings require an event to be obeyed.
        """
        self.loop, self.address, self.rev, self._on_events, self._log = loop, address, rev, on_events, log
        self.query, self.pacer = query, pacer
        self._random = Random(0).random if random is None else random
        self._addresses = (address, *alternatives)
        self._upstreams = self._selector()
        self._grace_ns = grace_ns
        self._connection_answered = False  # whether a whole response was read on this connection
        # When this client last changed `address`, on the event loop's clock.
        self.address_since_ns = loop.clock.now()
        self._backoff_ns = RECONNECT_BACKOFF_NS
        self._stopped = False
        self.answered = False  # whether this client has ever read a whole response
        self._delivering = False  # whether `deliver` is at work
        self.stream: PollStream | None = None
        self._timer: Timer | None = None  # the timer of the next connection attempt
        self._connect()

    def _selector(self) -> UpstreamSelector | None:
        """Returns an object that chooses among the discovery addresses, or None if there is only one."""
        return UpstreamSelector(self._addresses, self._random) if len(self._addresses) > 1 else None

    def _connect(self) -> None:
        if self._stopped:
            return
        self._connection_answered = False
        try:
            self.stream = PollStream(self)
        except OSError as error:
            self.on_disconnect(None, str(error))

    def replace_addresses(self, address: Address, alternatives: Sequence[Address] = ()) -> None:
        """Applies the discovery addresses of a new configuration, and reconnects if the one in use changes.

        An alternative in use stays in use if the configuration still lists it. The new connection is opened
        at once, since the old address may keep its connection open and send nothing more. Polls continue
        after the last event received.
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
        """Advances `rev` to the last of these events, which are all newer, and passes them to `on_events`."""
        if not events:
            return
        self.rev = reader.rev
        self._delivering = True
        try:
            self._on_events(events)
        finally:
            self._delivering = False

    def read_events(self) -> None:
        """Delivers the events that have arrived on the connection, outside its turn in the event loop.

        Does nothing while events are being delivered.
        """
        stream = self.stream
        if stream is not None and not stream.connecting and not self._delivering:
            stream.read_ahead()

    def on_response(self, reader: ResponseReader) -> None:
        """Called when a response has been read to its end without error; resets the backoff."""
        self._backoff_ns = RECONNECT_BACKOFF_NS
        self.answered = self._connection_answered = True
        if self._upstreams is not None:
            self._upstreams.succeeded()
        # The revision number of a whole response may be above that of its last event, so `rev` follows the
        # events only. A response without events and with a lower revision than `rev` is logged.
        if reader.empty and reader.revision < self.rev:
            self._log("discovery_revision_decreased", rev=reader.revision, held=self.rev)

    def on_invalid_response(self, reader: ResponseReader) -> None:
        """Called when a response cannot be parsed; logs it, and the caller then closes the connection."""
        self._log("discovery_response_invalid", why=str(reader.error), held=self.rev)

    def on_disconnect(self, stream: PollStream | None, why: str) -> None:
        """Called when a connection is closed or cannot be opened; schedules the next connection attempt."""
        if self._stopped or stream is not self.stream:
            return
        self.stream = None
        self._log("discovery_disconnected", why=why)
        self._timer = self.loop.after(self._retry_delay_ns(), self._connect)

    def _retry_delay_ns(self) -> int:
        """Selects the address of the next connection attempt; returns the delay before it in nanoseconds."""
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
        """Closes the connection and never reconnects."""
        self._stopped = True
        if self.stream is not None:
            self.stream.close()
