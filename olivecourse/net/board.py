"""The notice board over HTTP/1.1 long polls: numbered events, each handed on once and in order."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import httptools

from olivecourse.net.loop import Loop
from olivecourse.net.stream import Stream
from olivecourse.net.wheel import Timer
from olivecourse.told.address import Address

MS = 1_000_000
LINGER_MS = 1_500  # short, so that a connection cut off in silence is noticed well before the 7 s are over
PATIENCE_NS = 700 * MS  # beyond the time for which the board was asked to wait
AGAIN_NS, AGAIN_MOST_NS = 20 * MS, 320 * MS
MOST_ANSWER = 4 * 2**20
Told = Callable[[list[Any]], None]


class PollStream(Stream):
    """One kept-alive connection on which polls follow each other."""

    def __init__(self, board: Board) -> None:
        self.board, self.address = board, board.address
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        super().__init__(board.loop, Stream.connect(board.loop, board.address), 262_144, 4096,
                         connecting=True)
        self.patience = self.loop.after(400 * MS, self._silent)

    def _silent(self) -> None:
        self.close("no answer in time")

    def opened(self) -> None:
        self.ask()

    def ask(self) -> None:
        # Guards against a board cut off without a word, whose connection stays open for ever.
        self.patience.cancel()
        host, port = self.address
        linger = LINGER_MS if self.board.answered else 0  # the first one tells only that the board is there
        self.patience = self.loop.after(linger * MS + PATIENCE_NS, self._silent)
        self.write(f"GET /board/poll?watch={self.board.rev}&linger={linger} HTTP/1.1\r\n"
                   f"Host: {host}:{port}\r\n\r\n".encode())

    def received(self) -> None:
        try:
            self.parser.feed_data(self.inbox.take(len(self.inbox)))
        except httptools.HttpParserError as error:
            self.close(f"broken HTTP: {error}")

    def on_body(self, data: bytes) -> None:
        if len(self.body) + len(data) > MOST_ANSWER:
            raise ValueError("answer too long")
        self.body += data

    def on_message_complete(self) -> None:
        body, self.body = bytes(self.body), bytearray()
        if self.parser.get_status_code() != 200:
            self.loop.after(0, lambda: self.close("not a 200"))
            return
        keep = self.parser.should_keep_alive()
        if not self.board.answer(body):  # asked again at once, it would most likely say the same
            self.loop.after(0, lambda: self.close("broken answer"))
        elif keep and self.open:
            self.ask()
        else:
            self.loop.after(0, lambda: self.close("closed after its answer"))

    def closed(self, why: str) -> None:
        self.patience.cancel()
        self.board.lost(self, why)


class Board:
    def __init__(self, loop: Loop, address: Address, rev: int, told: Told, log: Callable[..., None]) -> None:
        self.loop, self.address, self.rev, self._told, self._log = loop, address, rev, told, log
        self._again = AGAIN_NS
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
            self.lost(None, str(error))

    def move(self, address: Address) -> None:
        """The board of a new configuration: asked at once, from the last event that the old one told.

        Guards against a wait for the old one, which may keep its connection open and say nothing more.
        """
        if address == self.address:
            return
        self.address, self._again = address, AGAIN_NS
        old, self.stream = self.stream, None
        if old is not None:
            old.close("the board has moved")
        if self._timer is not None:
            self._timer.cancel()
        self._connect()

    def answer(self, body: bytes) -> bool:
        """Whether the answer could be read; of one that can't, nothing is taken."""
        try:
            news = json.loads(body)
            rev, notices = int(news["rev"]), list(news["notices"])
            fresh = sorted(((int(n["rev"]), n) for n in notices if int(n["rev"]) > self.rev),
                           key=lambda pair: pair[0])
        except (ValueError, KeyError, TypeError) as error:
            self._log("board_broken_answer", why=repr(error))
            return False
        self._again = AGAIN_NS
        self.answered = True
        if fresh:
            self.rev = fresh[-1][0]
            self._told([n for _, n in fresh])
        # The answer's own number may run ahead of its list: never past what was really read.
        if not notices and rev < self.rev:
            self._log("board_went_back", rev=rev, held=self.rev)
        return True

    def lost(self, stream: PollStream | None, why: str) -> None:
        if self._stopped or stream is not self.stream:
            return
        self.stream = None
        self._log("board_lost", why=why)
        self._timer = self.loop.after(self._again, self._connect)
        self._again = min(self._again * 2, AGAIN_MOST_NS)

    def stop(self) -> None:
        self._stopped = True
        if self.stream is not None:
            self.stream.close()
