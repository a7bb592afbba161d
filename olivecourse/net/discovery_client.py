"""Discovery over HTTP/1.1 long polls: numbered events, each handed on once and in order."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import httptools

from olivecourse.config.address import Address
from olivecourse.net.loop import Loop
from olivecourse.net.stream import Stream
from olivecourse.net.wheel import Timer

MS = 1_000_000
# Short, so that a connection cut off in silence is noticed well before the 7 s are over.
LONG_POLL_WAIT_MS = 1_500
RESPONSE_TIMEOUT_NS = 700 * MS  # beyond the time for which the board was asked to wait
RECONNECT_BACKOFF_NS, RECONNECT_BACKOFF_MOST_NS = 20 * MS, 320 * MS
MAX_RESPONSE_BYTES = 4 * 2**20
EventsCallback = Callable[[list[Any]], None]


class PollStream(Stream):
    """One kept-alive connection on which polls follow each other."""

    def __init__(self, client: DiscoveryClient) -> None:
        self.client, self.address = client, client.address
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        super().__init__(
            client.loop, Stream.connect(client.loop, client.address), 262_144, 4096, connecting=True
        )
        self.response_timer = self.loop.after(400 * MS, self._silent)

    def _silent(self) -> None:
        self.close("no answer in time")

    def opened(self) -> None:
        self.ask()

    def ask(self) -> None:
        # Guards against a board cut off without a word, whose connection stays open for ever.
        self.response_timer.cancel()
        host, port = self.address
        # The first poll tells only that discovery is there.
        wait_ms = LONG_POLL_WAIT_MS if self.client.answered else 0
        self.response_timer = self.loop.after(wait_ms * MS + RESPONSE_TIMEOUT_NS, self._silent)
        self.write(
            f"GET /board/poll?watch={self.client.rev}&linger={wait_ms} HTTP/1.1\r\n"
            f"Host: {host}:{port}\r\n\r\n".encode()
        )

    def received(self) -> None:
        try:
            self.parser.feed_data(self.inbox.take(len(self.inbox)))
        except httptools.HttpParserError as error:
            self.close(f"broken HTTP: {error}")

    def on_body(self, data: bytes) -> None:
        if len(self.body) + len(data) > MAX_RESPONSE_BYTES:
            raise ValueError("answer too long")
        self.body += data

    def on_message_complete(self) -> None:
        body, self.body = bytes(self.body), bytearray()
        if self.parser.get_status_code() != 200:
            self.loop.after(0, lambda: self.close("not a 200"))
            return
        keep = self.parser.should_keep_alive()
        if not self.client.handle_response(body):  # asked again at once, it would most likely say the same
            self.loop.after(0, lambda: self.close("broken answer"))
        elif keep and self.open:
            self.ask()
        else:
            self.loop.after(0, lambda: self.close("closed after its answer"))

    def closed(self, why: str) -> None:
        self.response_timer.cancel()
        self.client.on_disconnect(self, why)


class DiscoveryClient:
    """Polls one discovery address, reconnects with backoff and hands each new event on."""

    def __init__(
        self, loop: Loop, address: Address, rev: int, on_events: EventsCallback, log: Callable[..., None]
    ) -> None:
        self.loop, self.address, self.rev, self._on_events, self._log = loop, address, rev, on_events, log
        self._backoff_ns = RECONNECT_BACKOFF_NS
        self._stopped = False
        self.answered = False  # whether any answer could be read since the start
        self.stream: PollStream | None = None
        self._timer: Timer | None = None  # the next try to connect
        self._connect()

    def _connect(self) -> None:
        if self._stopped:
            return
        try:
            self.stream = PollStream(self)
        except OSError as error:
            self.on_disconnect(None, str(error))

    def move(self, address: Address) -> None:
        """The address of a new configuration: polled at once, from the last event that the old one sent.

        Guards against a wait for the old one, which may keep its connection open and say nothing more.
        """
        if address == self.address:
            return
        self.address, self._backoff_ns = address, RECONNECT_BACKOFF_NS
        old, self.stream = self.stream, None
        if old is not None:
            old.close("the board has moved")
        if self._timer is not None:
            self._timer.cancel()
        self._connect()

    def handle_response(self, body: bytes) -> bool:
        """Whether the answer could be read; of one that can't, nothing is taken."""
        try:
            news = json.loads(body)
            rev, notices = int(news["rev"]), list(news["notices"])
            fresh = sorted(
                ((int(n["rev"]), n) for n in notices if int(n["rev"]) > self.rev), key=lambda pair: pair[0]
            )
        except (ValueError, KeyError, TypeError) as error:
            self._log("discovery_response_invalid", why=repr(error))
            return False
        self._backoff_ns = RECONNECT_BACKOFF_NS
        self.answered = True
        if fresh:
            self.rev = fresh[-1][0]
            self._on_events([n for _, n in fresh])
        # The answer's own number may run ahead of its list: never past what was really read.
        if not notices and rev < self.rev:
            self._log("discovery_revision_decreased", rev=rev, held=self.rev)
        return True

    def on_disconnect(self, stream: PollStream | None, why: str) -> None:
        if self._stopped or stream is not self.stream:
            return
        self.stream = None
        self._log("discovery_disconnected", why=why)
        self._timer = self.loop.after(self._backoff_ns, self._connect)
        self._backoff_ns = min(self._backoff_ns * 2, RECONNECT_BACKOFF_MOST_NS)

    def stop(self) -> None:
        self._stopped = True
        if self.stream is not None:
            self.stream.close()
