"""Bounds the memory of answers that slow readers have not read completely; without I/O.

Readers share answers, so each answer counts once, no matter how many readers still need it.
"""

from __future__ import annotations


class UnreadAnswers:
    """The answers held only for slow readers, and these readers in the order in which they got stuck."""

    def __init__(self, most_bytes: int) -> None:
        self.most_bytes = most_bytes
        self._readers: dict[int, bytes] = {}  # the unread answer of each reader, the longest stuck first
        self._reader_counts: dict[int, int] = {}  # by id() of an answer that _readers keeps alive
        self._size = 0

    @property
    def size(self) -> int:
        """The size of all held answers in bytes, each counted once."""
        return self._size

    def __len__(self) -> int:
        return len(self._readers)

    def hold(self, reader: int, answer: bytes) -> None:
        """Records that `reader` has not read all of `answer`."""
        self._readers[reader] = answer
        reader_count = self._reader_counts.get(id(answer), 0)
        self._reader_counts[id(answer)] = reader_count + 1
        if not reader_count:
            self._size += len(answer)

    def release(self, reader: int) -> None:
        """Forgets `reader`, which has read its whole answer or has disconnected."""
        answer = self._readers.pop(reader, None)
        if answer is None:
            return
        reader_count = self._reader_counts[id(answer)] - 1
        if reader_count:
            self._reader_counts[id(answer)] = reader_count
            return
        del self._reader_counts[id(answer)]
        self._size -= len(answer)

    def slowest(self) -> int | None:
        """Returns the reader that has been stuck longest if the bound is exceeded, else None.

        A single answer may be held whatever its length; otherwise it could never be sent to anyone.
        """
        if self._size <= self.most_bytes or len(self._reader_counts) < 2:
            return None
        return next(iter(self._readers))
