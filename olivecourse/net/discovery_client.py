"""A client that follows a discovery server by HTTP/1.1 long polls.

The server's events (for example drains and purges) are numbered. The client delivers each event once, in the
order of the numbers.

A response that does not come may be late, or its connection may have been cut off without a reset; nothing
distinguishes the two. The client therefore waits for a late response on its connection and polls on another
one meanwhile. Whichever responds first delivers the events.
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
# A response counts as late after this time, added to the wait requested; the client then polls on another
# connection as well.
RESPONSE_TIMEOUT_NS = 700 * MS
# A late response is given up after this time, added to the wait requested, and its connection is closed. From
# then on, what the server has to tell counts as known in any case.
LATE_RESPONSE_TIMEOUT_NS = 7_000 * MS
# When the response timer expires, a response that has delivered at least this many bytes since the timer was
# set goes on with a new timer.
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
        self.late = False  # the response is late, and the client polls on another connection
        self.rev_at_poll = client.rev  # the number of the last event delivered when the poll was sent
        self._poll_sent_at = 0
        self._give_up_at = 0  # when a late response is given up
        self._previous_had_events = False  # the latest complete response on this connection had events
        self.failure = ""  # why this connection must be closed, or an empty text
        self._received_bytes = 0  # bytes of response body since `response_timer` was set
        super().__init__(
            client.loop, Stream.connect(client.loop, client.address), 262_144, 4096, connecting=True
        )
        self.reads = READS_PER_TURN
        self.response_timer = self.loop.after(CONNECT_TIMEOUT_NS, self._on_timeout)

    def _on_timeout(self) -> None:
        if self._received_bytes >= MIN_PROGRESS_BYTES:
            self._await_response(RESPONSE_TIMEOUT_NS)  # a long response is still arriving
        elif self.connecting or self.late:
            self.close("no answer in time")
        else:
            self.late = True
            self._await_response(self._give_up_at - self.loop.clock.now())
            self.client.on_late_response(self)

    def _await_response(self, timeout_ns: int) -> None:
        self._received_bytes = 0
        self.response_timer = self.loop.after(timeout_ns, self._on_timeout)

    def opened(self) -> None:
        self.poll()

    def poll(self) -> None:
        """Sends the next poll, for events newer than the last one delivered, if the connection is open."""
        if not self.open:
            return
        self.response_timer.cancel()
        host, port = self.address
        wait_ms = self.client.wait_ms(first=not self._poll_sent_at)
        self._poll_sent_at = self.loop.clock.now()
        self._give_up_at = self._poll_sent_at + wait_ms * MS + LATE_RESPONSE_TIMEOUT_NS
        self._await_response(wait_ms * MS + RESPONSE_TIMEOUT_NS)
        self.rev_at_poll = self.client.rev
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
        self.reader.advance(self.client.rev)
        self.client.deliver(self.reader, self.reader.feed(data))
        self._check_reader()

    def on_message_complete(self) -> None:
        """Called by the HTTP parser at the end of a response; delivers its last events and plans a poll."""
        if self.failure or not self.open:
            return
        self.response_pending = False
        self.response_timer.cancel()
        self.reader.advance(self.client.rev)
        self.client.deliver(self.reader, self.reader.finish())
        self._check_reader()
        if self.failure:
            return
        self.client.on_response(self)
        if not self.parser.should_keep_alive():
            self.failure = "closed after its answer"
        elif self.late and not self.client.resume(self):
            self.failure = "answered late"
        elif self.open:
            self.late = False
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
    """Keeps a connection to one of several discovery addresses, polls it and delivers each new event.

    After a lost connection it reconnects with a backoff, possibly to another address. While a response is
    late it does so as well, and keeps the late connection until LATE_RESPONSE_TIMEOUT_NS.
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
        self._late_streams: list[PollStream] = []  # connections whose responses are late
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
        old, self.stream = self._streams(), None
        for stream in old:
            stream.close("discovery address changed")
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
        if self._delivering:
            return
        for stream in self._streams():
            if stream.open and not stream.connecting:
                stream.read_ahead()

    def _streams(self) -> list[PollStream]:
        """All connections: those with late responses, the oldest first, and the one in use."""
        return [*self._late_streams, *([] if self.stream is None else [self.stream])]

    def wait_ms(self, first: bool) -> int:
        """Returns for how many milliseconds the server is asked to hold a poll, which may be the first one on
        its connection.

        Until the client has read its first response, the server is asked to answer at once, since that
        response shows that discovery is reachable. While a response is late, an answer at once tells whether
        the server or only the connection is at fault.
        """
        return 0 if not self.answered or (first and self._late_streams) else LONG_POLL_WAIT_MS

    def on_late_response(self, stream: PollStream) -> None:
        """Called when a response is late; its connection stays open, and another one is opened."""
        self._late_streams.append(stream)
        self.stream = None
        self._log("discovery_response_late", late=len(self._late_streams))
        self._timer = self.loop.after(self._retry_delay_ns(), self._connect)

    def resume(self, stream: PollStream) -> bool:
        """Called when a late response has been read. Returns whether its connection is polled further, which
        makes it the one in use: unless another one is established, or another address has been chosen.
        """
        self._late_streams.remove(stream)
        if stream.address != self.address or (self.stream is not None and not self.stream.connecting):
            return False
        replaced, self.stream = self.stream, stream
        if replaced is not None:
            replaced.close("not needed")
        if self._timer is not None:
            self._timer.cancel()
        return True

    def on_response(self, stream: PollStream) -> None:
        """Called when a response has been read to its end without error; resets the backoff."""
        self._backoff_ns = RECONNECT_BACKOFF_NS
        self.answered = True
        if stream is self.stream:
            self._connection_answered = True
            if self._upstreams is not None:
                self._upstreams.succeeded()
        # The revision number of a whole response may be above that of its last event, so `rev` follows the
        # events only. A response without events and with a lower revision than asked for is logged.
        if stream.reader.empty and stream.reader.revision < stream.rev_at_poll:
            self._log("discovery_revision_decreased", rev=stream.reader.revision, held=stream.rev_at_poll)

    def on_invalid_response(self, reader: ResponseReader) -> None:
        """Called when a response cannot be parsed; logs it, and the caller then closes the connection."""
        self._log("discovery_response_invalid", why=str(reader.error), held=self.rev)

    def on_disconnect(self, stream: PollStream | None, why: str) -> None:
        """Called when a connection is closed or cannot be opened; schedules the next connection attempt."""
        if stream is not None and stream in self._late_streams:
            self._late_streams.remove(stream)
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
        """Closes all connections and never reconnects."""
        self._stopped = True
        for stream in self._streams():
            stream.close()
