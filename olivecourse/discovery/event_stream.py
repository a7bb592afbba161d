"""Reads a poll's answer event by event, in bounded memory, from bytes as they arrive. No I/O.

An answer is `{"rev":LAST,"notices":[event, ...]}` in UTF-8: its members in any order, white space anywhere,
members that are not known skipped.
"""

from __future__ import annotations

import codecs
import json
from json.decoder import WHITESPACE  # type: ignore[attr-defined]
from typing import Any, Final

MAX_VALUE_CHARS: Final = 2**20  # of one event: a list of some 7,000 servers; also without any event in it
EAGER_CHARS: Final = 65_536  # a value cut off within this is tried again with every chunk
DELIMITERS: Final = ",]} \t\r\n"  # what may follow a number
CUT_CHARS: Final = 16  # how far before the end of what is there an error may only be due to that end
# Up to so many bytes an answer counts as a whole: sorted, and nothing is taken unless all can be read.
WHOLE_RESPONSE_BYTES: Final = 65_536

# What comes next at the place reached.
START: Final = 0
FIRST_KEY: Final = 1  # or the end of the object
KEY: Final = 2
COLON: Final = 3
MEMBER: Final = 4  # the value that belongs to the key
AFTER_MEMBER: Final = 5
FIRST_EVENT: Final = 6  # or the end of the list
EVENT: Final = 7
AFTER_EVENT: Final = 8
END: Final = 9


class EventStreamError(ValueError):
    """An answer that can't be read any further."""


class EventStreamParser:
    """`feed` bytes and get events; `error` is set where the rest can't be read."""

    def __init__(self) -> None:
        self.error: EventStreamError | None = None
        self._decoder = codecs.getincrementaldecoder("utf-8-sig")()
        self._raw_decode = json.JSONDecoder().raw_decode
        self._text = ""  # not read yet
        self._state: int = START
        self._key = ""
        self._revision: Any = None
        self._listed = False  # whether there was a list of events
        self._next_try = 0  # length at which a value that was cut off is tried again
        self._chars_without_event = 0

    def feed(self, data: bytes) -> list[Any]:
        """The events that end in this chunk, in their order."""
        events: list[Any] = []
        if self.error is None:
            try:
                self._text += self._decoder.decode(data)
                self._read(events)
            except UnicodeDecodeError as error:
                self._read_before(error, events)
            except EventStreamError as error:
                self.error = error
            except (ValueError, RecursionError) as error:
                self.error = EventStreamError(f"{type(error).__name__}: {error}")
            if self.error is not None:
                self._text = ""
        return events

    def _read_before(self, bad: UnicodeDecodeError, events: list[Any]) -> None:
        """Reads the part of a chunk that comes before bytes that are no UTF-8."""
        self.error = EventStreamError(f"UnicodeDecodeError: {bad}")
        try:
            self._text += bad.object[: bad.start].decode()
            self._read(events)
        except (ValueError, RecursionError) as error:
            self.error = EventStreamError(f"{type(error).__name__}: {error}")

    def finish(self) -> int:
        """The answer's own revision. Raises EventStreamError unless all of it came and could be read."""
        if self.error is not None:
            raise self.error
        if self._state != END or self._text:
            raise EventStreamError("the answer is cut off")
        if not self._listed:
            raise EventStreamError("no list of events")
        try:
            return int(self._revision)
        except (TypeError, ValueError, OverflowError):
            raise EventStreamError(f"no revision: {str(self._revision)[:40]}") from None

    def _read(self, events: list[Any]) -> None:
        text, place, had = self._text, 0, len(events)
        while place < len(text):
            character = text[place]
            if character in " \t\r\n":
                place = WHITESPACE.match(text, place).end()
            elif self._state in (EVENT, FIRST_EVENT) and not (
                character == "]" and self._state == FIRST_EVENT
            ):
                value, end = self._value(text, place)
                if end < 0:
                    break
                events.append(value)
                self._state, place = AFTER_EVENT, end
            elif self._state in (KEY, MEMBER) or (self._state == FIRST_KEY and character == '"'):
                end = self._key_or_member(text, place, character)
                if end < 0:
                    break
                place = end
            else:
                self._punctuation(character)
                place += 1
        self._text = text[place:]
        self._chars_without_event = 0 if len(events) > had else self._chars_without_event + place
        if self._chars_without_event + len(self._text) > MAX_VALUE_CHARS:
            raise EventStreamError(f"{MAX_VALUE_CHARS} characters without an event")

    def _punctuation(self, character: str) -> None:
        state = self._state
        if state == AFTER_EVENT and character == ",":
            self._state = EVENT
        elif state in (FIRST_EVENT, AFTER_EVENT) and character == "]":
            self._state = AFTER_MEMBER
        elif state == START and character == "{":
            self._state = FIRST_KEY
        elif state == COLON and character == ":":
            self._state = MEMBER
        elif state == AFTER_MEMBER and character == ",":
            self._state = KEY
        elif state in (FIRST_KEY, AFTER_MEMBER) and character == "}":
            self._state = END
        else:
            raise EventStreamError(f"{character!r} is out of place")

    def _key_or_member(self, text: str, place: int, character: str) -> int:
        """Reads a key, or a member other than the list of events; the place after it, -1 if cut off."""
        if self._state == MEMBER and self._key == "notices":
            if character != "[":
                raise EventStreamError("the events are no list")
            self._state, self._listed = FIRST_EVENT, True
            return place + 1
        value, end = self._value(text, place)
        if end < 0:
            return end
        if self._state == MEMBER:
            if self._key == "rev":
                self._revision = value
            self._state = AFTER_MEMBER
        elif isinstance(value, str):
            self._key, self._state = value, COLON
        else:
            raise EventStreamError("a key is no string")
        return end

    def _value(self, text: str, place: int) -> tuple[Any, int]:
        """The value that begins at the place and where it ends; -1 where its end has not come yet."""
        length = len(text) - place
        # An answer ends in a brace, so that no try is missed at its end.
        if EAGER_CHARS < length < self._next_try and not text.rstrip().endswith("}"):
            return None, -1
        try:
            value, end = self._raw_decode(text, place)
        except json.JSONDecodeError as error:
            if error.pos < len(text) - CUT_CHARS and not error.msg.startswith("Unterminated string"):
                raise
            self._next_try = length + length // 4
            return None, -1
        if text[place] not in '{["' and (end == len(text) or text[end] not in DELIMITERS):
            if len(text) - end > len("e+"):
                raise EventStreamError(f"{text[end]!r} is out of place")
            return None, -1  # a number may go on
        self._next_try = 0
        return value, end


class ResponseReader:
    """One answer: which of its events are to be taken, and when.

    A short answer is taken as a whole, sorted, or not at all. Of a longer one each whole event is taken as
    it comes; numbers that are not above the last taken are passed over.
    """

    def __init__(self, rev: int) -> None:
        """`rev` is the number of the last event held."""
        self.rev = rev
        self.error: EventStreamError | None = None
        self.revision = 0  # the answer's own, once it is complete
        self.empty = True  # whether it listed no event
        self._parser = EventStreamParser()
        self._bytes = 0
        self._held: list[Any] = []

    def feed(self, data: bytes) -> list[Any]:
        """The events to be taken now, in ascending order."""
        if self.error is not None:
            return []
        self._bytes += len(data)
        events = self._parser.feed(data)
        self.error = self._parser.error
        if events:
            self.empty = False
        if self._bytes <= WHOLE_RESPONSE_BYTES:
            self._held += events
            return []
        if self._held:
            events, self._held = self._held + events, []
        return self._newer(events)

    def finish(self) -> list[Any]:
        """The answer has ended: what is left to be taken. `error` is set if it could not be read."""
        if self.error is None:
            try:
                self.revision = self._parser.finish()
            except EventStreamError as error:
                self.error = error
        held, self._held = self._held, []
        if self.error is not None:
            return []
        fresh = self._newer(held)
        return [] if self.error is not None else fresh

    def _newer(self, events: list[Any]) -> list[Any]:
        """Those above the last taken, up to the first without a number, which is an error."""
        last, numbered, sorted_so_far = self.rev, [], True
        previous = last
        for event in events:
            try:
                number = int(event["rev"])
            except (TypeError, ValueError, KeyError, OverflowError) as error:
                self.error = EventStreamError(f"an event without a number: {error!r}")
                break
            if number > last:
                sorted_so_far = sorted_so_far and number > previous
                previous = number
                numbered.append((number, event))
        if not sorted_so_far:
            numbered.sort(key=_number)
        if numbered:
            self.rev = numbered[-1][0]
        return [event for _, event in numbered]


def _number(pair: tuple[int, Any]) -> int:
    return pair[0]
