"""Parses the JSON response to a discovery poll event by event, in bounded memory, from bytes as they arrive.
No I/O.

A response is `{"rev":LAST,"notices":[event, ...]}` in UTF-8, where LAST is the revision number of the
response as a whole. The members of the object may come in any order, with white space anywhere, and unknown
members are skipped.
"""

from __future__ import annotations

import codecs
import json
from json.decoder import WHITESPACE  # type: ignore[attr-defined]
from typing import Any, Final

# Maximum length of one event in characters, enough for a list of about 7,000 servers. It is also the maximum
# number of characters of a response in succession that contain no complete event; beyond it the response is
# rejected.
MAX_VALUE_CHARS: Final = 2**20
# While an incomplete JSON value is at most this long, it is parsed again with every chunk received; a longer
# one only when it has grown by a quarter.
RETRY_EACH_CHUNK_CHARS: Final = 65_536
# Characters that may follow a JSON number; a number at the end of the received text may still continue.
DELIMITERS: Final = ",]} \t\r\n"
# A JSON error less than this many characters before the end of the received text is not reported yet, because
# it may only mean that the rest of the value has not arrived.
INCOMPLETE_MARGIN_CHARS: Final = 16
# The events of a response up to this size are used only when it is complete: sorted by number, and none of
# them if the response cannot be parsed.
WHOLE_RESPONSE_BYTES: Final = 65_536

# Parser states, each named after what the parser expects next in the response.
START: Final = 0  # The brace that opens the response's JSON object.
FIRST_KEY: Final = 1  # The first key of the object, or the brace that closes the object if it is empty.
KEY: Final = 2  # A further key of the object, after a comma.
COLON: Final = 3  # The colon between a key and its value.
MEMBER: Final = 4  # The value that belongs to the key just read; the bracket that opens the list of events.
AFTER_MEMBER: Final = 5  # The comma before the next key, or the brace that closes the object.
FIRST_EVENT: Final = 6  # The first event, or the bracket that closes the list of events if it is empty.
EVENT: Final = 7  # A further event, after a comma.
AFTER_EVENT: Final = 8  # The comma before the next event, or the bracket that closes the list of events.
END: Final = 9  # Nothing but white space: the object has been closed.


class EventStreamError(ValueError):
    """A poll response that is not valid JSON of the expected form, is incomplete, or exceeds
    MAX_VALUE_CHARS.
    """


class EventStreamParser:
    """An incremental parser for one poll response. `feed` takes the bytes received and returns the events
    completed by them. Once the response turns out to be invalid, `error` is set and later bytes are ignored.
    """

    def __init__(self) -> None:
        self.error: EventStreamError | None = None
        self._decoder = codecs.getincrementaldecoder("utf-8-sig")()
        self._raw_decode = json.JSONDecoder().raw_decode
        self._text = ""  # Decoded text of the response that was received but not parsed yet.
        self._state: int = START
        self._key = ""
        self._revision: Any = None
        self._has_event_list = False  # Whether the response contained a list of events.
        # The length of the unparsed text, in characters, from which an incomplete long value is parsed again.
        self._next_try = 0
        self._chars_without_event = 0

    def feed(self, data: bytes) -> list[Any]:
        """Parses a chunk of the response and returns the events completed by it, in the order of the
        response.
        """
        events: list[Any] = []
        if self.error is None:
            try:
                self._text += self._decoder.decode(data)
                self._read(events)
            except UnicodeDecodeError as decode_error:
                self._read_before(decode_error, events)
            except EventStreamError as stream_error:
                self.error = stream_error
            except (ValueError, RecursionError) as error:
                self.error = EventStreamError(f"{type(error).__name__}: {error}")
            if self.error is not None:
                self._text = ""
        return events

    def _read_before(self, decode_error: UnicodeDecodeError, events: list[Any]) -> None:
        """Appends to `events` those in the part of a chunk that precedes invalid UTF-8, and sets `error`."""
        self.error = EventStreamError(f"UnicodeDecodeError: {decode_error}")
        try:
            self._text += decode_error.object[: decode_error.start].decode()
            self._read(events)
        except (ValueError, RecursionError) as error:
            self.error = EventStreamError(f"{type(error).__name__}: {error}")

    def finish(self) -> int:
        """Called at the end of the response. Returns the revision number that the response has as a whole
        (its member "rev"). Raises EventStreamError if the response is incomplete or invalid.
        """
        if self.error is not None:
            raise self.error
        if self._state != END or self._text:
            raise EventStreamError("the response is incomplete")
        if not self._has_event_list:
            raise EventStreamError("no list of events")
        try:
            return int(self._revision)
        except (TypeError, ValueError, OverflowError):
            raise EventStreamError(f"no revision: {str(self._revision)[:40]}") from None

    def _read(self, events: list[Any]) -> None:
        """Parses as much of the received text as possible and appends the completed events to `events`."""
        text, position, previous_count = self._text, 0, len(events)
        while position < len(text):
            character = text[position]
            if character in " \t\r\n":
                position = WHITESPACE.match(text, position).end()
            elif self._state in (EVENT, FIRST_EVENT) and not (
                character == "]" and self._state == FIRST_EVENT
            ):
                value, end = self._value(text, position)
                if end < 0:
                    break
                events.append(value)
                self._state, position = AFTER_EVENT, end
            elif self._state in (KEY, MEMBER) or (self._state == FIRST_KEY and character == '"'):
                end = self._key_or_member(text, position, character)
                if end < 0:
                    break
                position = end
            else:
                self._punctuation(character)
                position += 1
        self._text = text[position:]
        self._chars_without_event = (
            0 if len(events) > previous_count else self._chars_without_event + position
        )
        if self._chars_without_event + len(self._text) > MAX_VALUE_CHARS:
            raise EventStreamError(f"{MAX_VALUE_CHARS} characters without an event")

    def _punctuation(self, character: str) -> None:
        """Changes the parser's state according to one punctuation character. Raises EventStreamError if the
        character is not allowed in the current state.
        """
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

    def _key_or_member(self, text: str, position: int, character: str) -> int:
        """Parses a key of the response's object, the value of a key, or the bracket that opens the list of
        events. Returns the position after it, or -1 if it has not been received as a whole.
        """
        if self._state == MEMBER and self._key == "notices":
            if character != "[":
                raise EventStreamError("the events are not a list")
            self._state, self._has_event_list = FIRST_EVENT, True
            return position + 1
        value, end = self._value(text, position)
        if end < 0:
            return end
        if self._state == MEMBER:
            if self._key == "rev":
                self._revision = value
            self._state = AFTER_MEMBER
        elif isinstance(value, str):
            self._key, self._state = value, COLON
        else:
            raise EventStreamError("a key is not a string")
        return end

    def _value(self, text: str, position: int) -> tuple[Any, int]:
        """Parses the JSON value that starts at `position`. Returns the value and the position after it, or
        None and -1 if it has not been received as a whole.
        """
        length = len(text) - position
        # A text that ends in a closing brace is always parsed at once, because it may be the end of the
        # response.
        if RETRY_EACH_CHUNK_CHARS < length < self._next_try and not text.rstrip().endswith("}"):
            return None, -1
        try:
            value, end = self._raw_decode(text, position)
        except json.JSONDecodeError as error:
            if error.pos < len(text) - INCOMPLETE_MARGIN_CHARS and not error.msg.startswith(
                "Unterminated string"
            ):
                raise
            self._next_try = length + length // 4
            return None, -1
        if text[position] not in '{["' and (end == len(text) or text[end] not in DELIMITERS):
            if len(text) - end > len("e+"):
                raise EventStreamError(f"{text[end]!r} is out of place")
            return None, -1  # A number may continue in the next chunk.
        self._next_try = 0
        return value, end


class ResponseReader:
    """Decides which events of one poll response are used, and when.

    The events of a response of up to WHOLE_RESPONSE_BYTES are used together and sorted by number, or not at
    all if the response is invalid. The events of a longer response are used as they arrive. Events whose
    number is not above the last one used are skipped.
    """

    def __init__(self, rev: int) -> None:
        """`rev` is the revision number of the last event used from earlier responses."""
        self.rev = rev
        self.error: EventStreamError | None = None
        self.revision = 0  # The revision number that the response has as a whole; 0 until it is complete.
        self.empty = True  # Whether no event of the response has been received.
        self._parser = EventStreamParser()
        self._bytes = 0
        self._held_events: list[Any] = []

    def advance(self, rev: int) -> None:
        """Skips events up to the number `rev`, which have been used from another response meanwhile."""
        self.rev = max(self.rev, rev)

    def feed(self, data: bytes) -> list[Any]:
        """Parses a chunk of the response and returns the events to use now, in ascending order of their
        numbers.
        """
        if self.error is not None:
            return []
        self._bytes += len(data)
        events = self._parser.feed(data)
        self.error = self._parser.error
        if events:
            self.empty = False
        if self._bytes <= WHOLE_RESPONSE_BYTES:
            self._held_events += events
            return []
        if self._held_events:
            events, self._held_events = self._held_events + events, []
        return self._newer(events)

    def finish(self) -> list[Any]:
        """Called at the end of the response. Returns the events that `feed` has held back, or sets `error`
        and returns none if the response could not be parsed.
        """
        if self.error is None:
            try:
                self.revision = self._parser.finish()
            except EventStreamError as error:
                self.error = error
        held_events, self._held_events = self._held_events, []
        if self._failed():
            return []
        new_events = self._newer(held_events)
        return [] if self._failed() else new_events

    def _failed(self) -> bool:
        """Whether `error` is set. A method, because mypyc takes an attribute that was compared with None for
        None from then on, also after a call that has set it.
        """
        return self.error is not None

    def _newer(self, events: list[Any]) -> list[Any]:
        """Returns the events whose number is above that of the last one used, sorted by number, and advances
        `rev`. Stops at the first event without a number and sets `error`.
        """
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
