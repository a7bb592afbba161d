"""A log of the newest events, each encoded as JSON once into one growing buffer.

The events of an answer to a poll are a slice of that buffer.
"""

from __future__ import annotations

import json
from bisect import bisect_right

from olivecourse.relay.events import RelayEvent

# Least number of removed events before their memory is freed; for fewer, moving the retained events to the
# front costs more than the memory is worth.
MIN_TRIMMED = 1_024

# Events come from a JSON parser and so contain no reference cycles, for which the encoder need not check.
JSON_ENCODER = json.JSONEncoder(separators=(",", ":"), check_circular=False)


def encode_json(value: object) -> bytes:
    """Encodes `value` as compact ASCII JSON; raises RecursionError if it is nested too deeply."""
    return JSON_ENCODER.encode(value).encode("ascii")


class EventLog:
    """A queue of events in the ascending order of their numbers, appended at the end, removed from the front.

    The buffer holds each encoded event followed by a comma. Removed events stay in the buffer and the lists
    until there are MIN_TRIMMED of them and they make up at least half of the entries, so that a removal costs
    amortised constant time.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._numbers: list[int] = []
        self._events: list[RelayEvent] = []
        self._starts: list[int] = []  # byte offset in the buffer at which each encoded event starts
        self._head = 0  # index in the three lists of the oldest event that has not been removed

    def __len__(self) -> int:
        return len(self._numbers) - self._head

    @property
    def size(self) -> int:
        """The size in bytes of the JSON encodings of all events that have not been removed."""
        if self._head == len(self._starts):
            return 0
        return len(self._buffer) - self._starts[self._head]

    @property
    def oldest_number(self) -> int:
        """The event number of the oldest event that has not been removed; the log must not be empty."""
        return self._numbers[self._head]

    def append(self, event: RelayEvent, encoded: bytes) -> None:
        """Appends an event and its JSON encoding; its number must be above those of all earlier events."""
        self._numbers.append(event.number)
        self._events.append(event)
        self._starts.append(len(self._buffer))
        self._buffer += encoded
        self._buffer += b","

    def remove_oldest(self) -> tuple[RelayEvent, bytes]:
        """Removes the oldest event and returns it with its JSON encoding; the log must not be empty."""
        head = self._head
        event = self._events[head]
        last = head + 1 == len(self._starts)
        end = len(self._buffer) if last else self._starts[head + 1]
        encoded = bytes(self._buffer[self._starts[head] : end - 1])
        self._head = head + 1
        if self._head >= MIN_TRIMMED and self._head * 2 >= len(self._numbers):
            self._trim()
        return event, encoded

    def _trim(self) -> None:
        head = self._head
        removed = len(self._buffer) if head == len(self._starts) else self._starts[head]
        del self._buffer[:removed]
        del self._numbers[:head]
        del self._events[:head]
        self._starts = [start - removed for start in self._starts[head:]]
        self._head = 0

    def first_after(self, number: int) -> int:
        """Returns the lowest event number above `number` in the log, or 0 if there is none."""
        index = bisect_right(self._numbers, number, self._head)
        return self._numbers[index] if index < len(self._numbers) else 0

    def encoded_after(self, number: int) -> bytes:
        """Returns the JSON encodings of all events in the log whose number is above `number`, in ascending
        order and joined by commas; empty if there are none.
        """
        index = bisect_right(self._numbers, number, self._head)
        if index == len(self._numbers):
            return b""
        return bytes(self._buffer[self._starts[index] : len(self._buffer) - 1])
