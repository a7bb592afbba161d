"""Parses a poll response event by event, in bounded memory, from bytes as they arrive. No I/O.

A response is `{"rev":LAST,"notices":[event, ...]}` in UTF-8. Its members may come in any order, with white
space anywhere, and unknown members are skipped.
"""

from __future__ import annotations

import codecs
import json
from json.decoder import WHITESPACE  # type: ignore[attr-defined]
from typing import Any, Final

# Maximum length of one event, enough for a list of about 7,000 servers. It is also the maximum number of
# characters without an event.
MAX_VALUE_CHARS: Final = 2**20
# An incomplete value up to this length is parsed again with every chunk.
RETRY_EACH_CHUNK_CHARS: Final = 65_536
DELIMITERS: Final = ",]} \t\r\n"  # Characters that may follow a number.
# A parse error this close to the end of the received text may only mean that the rest has not arrived yet.
INCOMPLETE_MARGIN_CHARS: Final = 16
# A response up to this size is handled as a whole: its events are sorted, and none is used unless all can be
# parsed.
WHOLE_RESPONSE_BYTES: Final = 65_536

# Parser states: what is expected next.
START: Final = 0
FIRST_KEY: Final = 1  # a first key or the end of the object
KEY: Final = 2
COLON: Final = 3
MEMBER: Final = 4  # the value of the last key
AFTER_MEMBER: Final = 5
FIRST_EVENT: Final = 6  # a first event or the end of the list
EVENT: Final = 7
AFTER_EVENT: Final = 8
END: Final = 9


class EventStreamError(ValueError):
    """A response that cannot be parsed any further."""


class EventStreamParser:
    """An incremental parser. `feed` takes bytes and returns events; `error` is set when the rest cannot be
    parsed.
    """

    def __init__(self) -> None:
        self.error: EventStreamError | None = None
        self._decoder = codecs.getincrementaldecoder("utf-8-sig")()
        self._raw_decode = json.JSONDecoder().raw_decode
        self._text = ""  # Text received but not parsed yet.
        self._state: int = START
        self._key = ""
        self._revision: Any = None
        self._has_event_list = False  # Whether the response contained a list of events.
        self._next_try = 0  # The text length at which an incomplete value is parsed again.
        self._chars_without_event = 0

    def feed(self, data: bytes) -> list[Any]:
        """Returns the events completed by this chunk, in their order."""
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
        """Parses the part of a chunk that precedes invalid UTF-8."""
        self.error = EventStreamError(f"UnicodeDecodeError: {decode_error}")
        try:
            self._text += decode_error.object[: decode_error.start].decode()
            self._read(events)
        except (ValueError, RecursionError) as error:
            self.error = EventStreamError(f"{type(error).__name__}: {error}")

    def finish(self) -> int:
        """Returns the response's own revision. Raises EventStreamError if the response is incomplete or
        invalid.
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
        """Parses as much of the text as possible and appends the completed events."""
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
        """Advances the state over one punctuation character. Raises EventStreamError if it is not allowed
        here.
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
        """Parses a key, or a member other than the list of events. Returns the position after it, or -1 if it
        is incomplete.
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
        """Parses the value at the position. Returns the value and its end, or -1 as the end if the value is
        incomplete.
        """
        length = len(text) - position
        # A response ends in a brace, so that a text ending in one is always parsed at once.
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

    The events of a short response are used together and sorted, or not at all. Each event of a longer
    response is used as it arrives; events whose number is not above the last one used are skipped.
    """

    def __init__(self, rev: int) -> None:
        """`rev` is the revision of the last event received."""
        self.rev = rev
        self.error: EventStreamError | None = None
        self.revision = 0  # The response's own revision, once the response is complete.
        self.empty = True  # Whether the response contains no event.
        self._parser = EventStreamParser()
        self._bytes = 0
        self._held_events: list[Any] = []

    def feed(self, data: bytes) -> list[Any]:
        """Returns the events to use now, in ascending order."""
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
        """Returns the remaining events after the end of the response. Sets `error` if the response could not
        be parsed.
        """
        if self.error is None:
            try:
                self.revision = self._parser.finish()
            except EventStreamError as error:
                self.error = error
        held_events, self._held_events = self._held_events, []
        if self.error is not None:
            return []
        new_events = self._newer(held_events)
        return [] if self.error is not None else new_events

    def _newer(self, events: list[Any]) -> list[Any]:
        """Returns the events above the last one used, up to the first event without a number, which sets
        `error`.
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
