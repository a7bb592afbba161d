"""Bounds the memory of answers that slow readers have not read completely; without I/O.

A reader is a connection of a relay, given by its number. Readers share answers, so the bytes of each answer
count once, no matter how many readers still need it.
"""

from __future__ import annotations


class UnreadAnswers:
    """The answers that must be kept because some readers have not read them completely, and these readers in
    the order in which their sockets first did not take all of an answer.
    """

    def __init__(self, most_bytes: int) -> None:
        self.most_bytes = most_bytes
        self._readers: dict[int, bytes] = {}  # each reader's unread answer, in the order of the `hold` calls
        self._reader_counts: dict[int, int] = {}  # readers per answer, by the id() of the bytes in _readers
        self._size = 0

    @property
    def size(self) -> int:
        """The total size in bytes of all held answers; one that several readers need counts once."""
        return self._size

    def __len__(self) -> int:
        return len(self._readers)

    def hold(self, reader: int, answer: bytes) -> None:
        """Records that `reader` has not read all of `answer`; it must have no other unread answer."""
        self._readers[reader] = answer
        reader_count = self._reader_counts.get(id(answer), 0)
        self._reader_counts[id(answer)] = reader_count + 1
        if not reader_count:
            self._size += len(answer)

    def release(self, reader: int) -> None:
        """Forgets `reader`, which has read its whole answer or has disconnected; ignores unknown readers.

        The answer's bytes stop counting once no other reader needs them.
        """
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
        """Returns the reader whose answer has been unread for longest if the held answers together exceed
        `most_bytes`, for the caller to disconnect; else None.

        A single answer may be held whatever its length; otherwise it could never be sent to anyone.
        """
        if self._size <= self.most_bytes or len(self._reader_counts) < 2:
            return None
        return next(iter(self._readers))
