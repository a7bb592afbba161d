"""Bounds the answers that slow readers have not taken yet; without I/O.

Answers are shared, so what counts is each answer once, however many wait for the rest of it.
"""

from __future__ import annotations


class UnreadAnswers:
    """Which answers are kept only because somebody has not read them, and the slowest readers of them."""

    def __init__(self, most_bytes: int) -> None:
        self.most_bytes = most_bytes
        self._readers: dict[int, bytes] = {}  # by reader, the longest stuck first
        self._held: dict[int, int] = {}  # readers by identity of the answer, which _readers keeps alive
        self._size = 0

    @property
    def size(self) -> int:
        """Bytes of all answers that are held, each counted once."""
        return self._size

    def __len__(self) -> int:
        return len(self._readers)

    def hold(self, reader: int, answer: bytes) -> None:
        """`reader` has not taken all of `answer`."""
        self._readers[reader] = answer
        held = self._held.get(id(answer), 0)
        self._held[id(answer)] = held + 1
        if not held:
            self._size += len(answer)

    def release(self, reader: int) -> None:
        """`reader` has taken all, or has gone."""
        answer = self._readers.pop(reader, None)
        if answer is None:
            return
        held = self._held[id(answer)] - 1
        if held:
            self._held[id(answer)] = held
            return
        del self._held[id(answer)]
        self._size -= len(answer)

    def slowest(self) -> int | None:
        """The reader stuck for longest while all together hold too much; else None.

        One answer may be held whatever its length: else nobody could ever be sent it.
        """
        if self._size <= self.most_bytes or len(self._held) < 2:
            return None
        return next(iter(self._readers))
