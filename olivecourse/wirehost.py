"""Runs Routers for another process: reads events from standard input, writes actions to standard output.

Input comes in batches of lines; the line FLUSH ends a batch, and only then are the replies to it written.
Each Router has a name, which the lines for it carry. This module makes no routing decisions.
"""

from __future__ import annotations

import sys
from base64 import b64decode, b64encode
from dataclasses import fields
from typing import Any, TextIO

from olivecourse import interface
from olivecourse.choice import Router
from olivecourse.config.settings import Convert, Malformed, read_settings
from olivecourse.config.settings import read_flag as _read_flag


def _read_flags(text: str) -> interface.Flag:
    return interface.Flag(int(text))


def _read_note(text: str) -> interface.Note:
    number = int(text)
    return interface.Note(number) if number in list(interface.Note) else interface.Note.NONE


def _read_object(text: str) -> str | None:
    return None if text == "0" else text


def _read_report(text: str) -> tuple[float | None, ...]:
    return tuple(None if value in ("-", "") else float(value) for value in text.split(","))


def _read_request_id(text: str) -> str:
    int(text, 16)
    return text


# For each event line, by its first word: the event type, and the name and conversion of each value that
# follows the name of the Router. The values stand in the order of the event type's fields.
EVENTS: dict[str, tuple[type, tuple[tuple[str, Convert], ...]]] = {
    "INGRESS": (
        interface.Request,
        (
            ("msg_id", _read_request_id),
            ("tier_class", int),
            ("client_group", int),
            ("content_id", str),
            ("time_budget_ns", int),
            ("length_kb", float),
            ("tag", int),
            ("part", int),
            ("opts", _read_flags),
        ),
    ),
    "BEGUN": (
        interface.StreamBegan,
        (("msg_id", _read_request_id), ("lag_ns", int), ("cache", int), ("leg", int)),
    ),
    "ATTEMPT_END": (
        interface.AttemptEnded,
        (
            ("msg_id", _read_request_id),
            ("leg", int),
            ("cache", int),
            ("reason", interface.Status),
            ("lag_ns", int),
            ("no_more", _read_flag),
            ("remark", _read_note),
            ("source_wait_ns", int),
            ("feedback", _read_report),
        ),
    ),
    "LEFT": (interface.ClientLeft, (("msg_id", _read_request_id),)),
    "RING": (interface.TimerFired, (("handle", int),)),
    "PONG": (
        interface.Probed,
        (("cache", int), ("reason", interface.Status), ("lag_ns", int), ("feedback", _read_report)),
    ),
    "MEMO": (interface.PeerMessage, (("from", int), ("content", b64decode))),
    "OUTDATED": (interface.Purged, (("content_id", _read_object), ("bucket", int), ("oldness_ns", int))),
}
CACHE: tuple[tuple[str, Convert], ...] = (
    ("cache", int),
    ("capacity_hint", float),
    ("ready_at_ns", int),
    ("area", int),
    ("stage_state", interface.State),
    ("pack", int),
    ("type", int),
)
ENDPOINTS: tuple[tuple[str, Convert], ...] = (("rev", int), ("form", interface.ListKind), ("page", int))
ACTIONS: dict[type, str] = {
    interface.Look: "RELAY",
    interface.ReadThrough: "READ_THROUGH",
    interface.Cancel: "CALL_OFF",
    interface.Refuse: "REJECT",
    interface.Fail: "RESPOND_ERROR",
    interface.SetTimer: "AFTER",
    interface.Probe: "TEST",
    interface.CloseIdle: "CLOSE",
    interface.Subscribe: "OBSERVE",
    interface.FetchList: "FETCH",
    interface.TellPeer: "POST",
    interface.Log: "NOTE_DOWN",
}
ACTION_FIELDS = {kind: tuple(f.name for f in fields(kind)) for kind in ACTIONS}


def _read_fields(texts: list[str], layout: tuple[tuple[str, Convert], ...]) -> list[Any]:
    """Converts the words of a line to values, one for each (name, conversion) pair in `layout`.

    A word that is missing, empty or "-" gives None; words beyond the layout are ignored.
    """
    values: list[Any] = []
    for index, (name, convert) in enumerate(layout):
        text = texts[index] if index < len(texts) else "-"
        try:
            values.append(None if text in ("-", "") else convert(text))
        except ValueError:
            raise Malformed(f"{name}: cannot read {text!r}") from None
    return values


def _build(event_type: type, values: list[Any]) -> Any:
    """Builds an event or a `Member` from the values of its fields, in order; None stands for a missing value.

    A missing value takes the default of its field; Malformed is raised if the field must have a value.
    """
    event_fields = fields(event_type)
    for field, value in zip(event_fields, values, strict=True):
        if value is None and field.type in ("str", "int", "Status", "ListKind"):
            raise Malformed(f"{field.name}: missing")
    return event_type(
        *(f.default if given is None else given for f, given in zip(event_fields, values, strict=True))
    )


class WireHost:
    """Holds the running Routers by name, and the lists of caches to which ENDPOINTS lines refer by number."""

    def __init__(self) -> None:
        self.now = 0
        self.routers: dict[str, Router] = {}
        self.lists: dict[int, list[interface.Member]] = {}
        self.current_list: list[interface.Member] = []
        self.members_due = 0

    def handle_line(self, text: str) -> list[str]:
        """Processes one input line and returns the reply lines: actions of a Router, or the report of its
        fault.

        Raises Malformed if the line cannot be read.
        """
        command, *parts = text.split(" ")
        if self.members_due and command == "CACHE":
            # CACHE lines carry no address, so `Member.life` (address and start time) stays empty.
            self.current_list.append(_build(interface.Member, [*_read_fields(parts, CACHE), ""]))
            self.members_due -= 1
        elif self.members_due:
            raise Malformed(f"members: {self.members_due} more CACHE lines expected")
        elif command == "REGISTER":
            list_number, self.members_due = _read_fields(parts, (("page", int), ("members", int)))
            if list_number is None or self.members_due is None:
                raise Malformed("page or members: missing")
            self.lists[list_number] = self.current_list = []
        elif command == "CLOCK":
            self.now = _read_fields(parts, (("clock", int),))[0]
            if self.now is None:
                raise Malformed("clock: missing")
        elif command == "INIT":
            return self._start(parts)
        elif command == "CRASH_NOW":
            self.routers.pop(parts[0] if parts else "", None)
        elif command == "ENDPOINTS":
            version, kind, list_number = _read_fields(parts[1:], ENDPOINTS)
            if kind is None:
                raise Malformed("form: missing")
            members = () if kind is interface.ListKind.FAILED else tuple(self.lists.get(list_number, ()))
            return self._handle(parts[0], interface.CacheList(version or 0, kind, members))
        elif command in EVENTS:
            kind, layout = EVENTS[command]
            if not parts:
                raise Malformed("i: missing")
            missing_values = [None] * (len(fields(kind)) - len(layout))
            return self._handle(parts[0], _build(kind, [*_read_fields(parts[1:], layout), *missing_values]))
        return []

    def _start(self, arguments: list[str]) -> list[str]:
        """Creates and starts a Router and returns the reply lines (lines of output) for its first actions.

        `arguments` are the words of an INIT line: the name of the Router, its random seed, and its settings
        as NAME=VALUE words, where NAME is the dotted name of a setting.
        """
        if len(arguments) < 2:
            raise Malformed("rng_seed: missing")
        seed = _read_fields(arguments[1:2], (("rng_seed", int),))[0] or 0
        settings = read_settings(seed, arguments[2:])
        try:
            self.routers[arguments[0]] = router = Router(settings, self.now)
            return [self._write(arguments[0], action) for action in router.start()]
        except Exception as error:  # an exception in one Router must not stop the others
            return self._drop_instance(arguments[0], error)

    def _handle(self, instance: str, event: interface.Event) -> list[str]:
        """Passes an event to the Router with the name `instance` and returns the reply lines for its actions.

        If there is no such Router, the event is ignored.
        """
        router = self.routers.get(instance)
        if router is None:
            return []
        try:
            return [self._write(instance, action) for action in router.handle(event, self.now)]
        except Exception as error:  # an exception in one Router must not stop the others
            return self._drop_instance(instance, error)

    def _drop_instance(self, instance: str, error: Exception) -> list[str]:
        """Removes the Router with the name `instance` after an exception in it.

        Returns one reply line, DIE, with the name, the type of the exception and its message.
        """
        self.routers.pop(instance, None)
        return [f"DIE {instance} {type(error).__name__}: {' '.join(str(error).split())}"]

    @staticmethod
    def _write(instance: str, action: interface.Action) -> str:
        """Returns the reply line for an action of the Router with the name `instance`.

        It holds the action's word, the name and the action's field values; bytes are in base64.
        """
        words = [ACTIONS[type(action)], instance]
        for name in ACTION_FIELDS[type(action)]:
            value = getattr(action, name)
            if isinstance(value, int):
                value = int(value)
            elif isinstance(value, bytes):
                value = b64encode(value).decode() or "-"
            words.append(str(value))
        return " ".join(words)


def serve(input_lines: TextIO, output: TextIO) -> int:
    """Processes batches of input lines and writes the replies to each batch, closed by the line YIELD.

    Returns the exit code of the program: 0 at the end of the input, 2 after a line that cannot be read.
    """
    host = WireHost()
    reply: list[str] = []
    for number, line in enumerate(input_lines, 1):
        text = line.rstrip("\r\n")
        if text == "FLUSH":
            output.write("\n".join([*reply, "YIELD\n"]))
            output.flush()
            reply = []
        elif text:
            try:
                reply += host.handle_line(text)
            except Malformed as error:
                print(f"line {number}: {text.split(' ', 1)[0]}: {error}", file=sys.stderr)
                return 2
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
