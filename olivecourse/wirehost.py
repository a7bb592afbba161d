"""Wire adapter: passes events from standard input to Routers and writes their actions to standard output.

Input comes in batches of lines, each batch closed by FLUSH. The adapter makes no routing decisions.
"""

from __future__ import annotations

import sys
from base64 import b64decode, b64encode
from dataclasses import fields
from typing import Any, TextIO

from olivecourse import interface as w
from olivecourse.choice import Router
from olivecourse.config.settings import Convert, Malformed, read_settings
from olivecourse.config.settings import read_flag as _read_flag


def _read_flags(text: str) -> w.Flag:
    return w.Flag(int(text))


def _read_note(text: str) -> w.Note:
    number = int(text)
    return w.Note(number) if number in list(w.Note) else w.Note.NONE


def _read_object(text: str) -> str | None:
    return None if text == "0" else text


def _read_report(text: str) -> tuple[float | None, ...]:
    return tuple(None if value in ("-", "") else float(value) for value in text.split(","))


def _read_request_id(text: str) -> str:
    int(text, 16)
    return text


# Fields of each event after the instance, in the order of the wire, which is also that of the event type.
EVENTS: dict[str, tuple[type, tuple[tuple[str, Convert], ...]]] = {
    "INGRESS": (
        w.Request,
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
    "BEGUN": (w.StreamBegan, (("msg_id", _read_request_id), ("lag_ns", int), ("cache", int), ("leg", int))),
    "ATTEMPT_END": (
        w.AttemptEnded,
        (
            ("msg_id", _read_request_id),
            ("leg", int),
            ("cache", int),
            ("reason", w.Status),
            ("lag_ns", int),
            ("no_more", _read_flag),
            ("remark", _read_note),
            ("source_wait_ns", int),
            ("feedback", _read_report),
        ),
    ),
    "LEFT": (w.ClientLeft, (("msg_id", _read_request_id),)),
    "RING": (w.TimerFired, (("handle", int),)),
    "PONG": (w.Probed, (("cache", int), ("reason", w.Status), ("lag_ns", int), ("feedback", _read_report))),
    "MEMO": (w.PeerMessage, (("from", int), ("content", b64decode))),
    "OUTDATED": (w.Purged, (("content_id", _read_object), ("bucket", int), ("oldness_ns", int))),
}
CACHE: tuple[tuple[str, Convert], ...] = (
    ("cache", int),
    ("capacity_hint", float),
    ("ready_at_ns", int),
    ("area", int),
    ("stage_state", w.State),
    ("pack", int),
    ("type", int),
)
ENDPOINTS: tuple[tuple[str, Convert], ...] = (("rev", int), ("form", w.ListKind), ("page", int))
ACTIONS: dict[type, str] = {
    w.Look: "RELAY",
    w.ReadThrough: "READ_THROUGH",
    w.Cancel: "CALL_OFF",
    w.Refuse: "REJECT",
    w.Fail: "RESPOND_ERROR",
    w.SetTimer: "AFTER",
    w.Probe: "TEST",
    w.CloseIdle: "CLOSE",
    w.Subscribe: "OBSERVE",
    w.FetchList: "FETCH",
    w.TellPeer: "POST",
    w.Log: "NOTE_DOWN",
}
ACTION_FIELDS = {kind: tuple(f.name for f in fields(kind)) for kind in ACTIONS}


def _read_fields(texts: list[str], layout: tuple[tuple[str, Convert], ...]) -> list[Any]:
    """Converts the texts of a line by its layout; absent values become None, surplus texts are ignored."""
    values: list[Any] = []
    for index, (name, convert) in enumerate(layout):
        text = texts[index] if index < len(texts) else "-"
        try:
            values.append(None if text in ("-", "") else convert(text))
        except ValueError:
            raise Malformed(f"{name}: cannot read {text!r}") from None
    return values


def _build(event_type: type, values: list[Any]) -> Any:
    """Builds an event or member; a missing value takes the field's default, or is an error without one."""
    event_fields = fields(event_type)
    for field, value in zip(event_fields, values, strict=True):
        if value is None and field.type in ("str", "int", "Status", "ListKind"):
            raise Malformed(f"{field.name}: missing")
    return event_type(
        *(f.default if given is None else given for f, given in zip(event_fields, values, strict=True))
    )


class Host:
    """Holds one Router per running instance, and the member lists that events refer to by number."""

    def __init__(self) -> None:
        self.now = 0
        self.routers: dict[str, Router] = {}
        self.lists: dict[int, list[w.Member]] = {}
        self.current_list: list[w.Member] = []
        self.members_due = 0

    def handle_line(self, text: str) -> list[str]:
        """Processes one line of a batch and returns the reply lines."""
        command, *parts = text.split(" ")
        if self.members_due and command == "CACHE":
            # The wire carries no address, so `Member.life` stays empty.
            self.current_list.append(_build(w.Member, [*_read_fields(parts, CACHE), ""]))
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
            members = () if kind is w.ListKind.FAILED else tuple(self.lists.get(list_number, ()))
            return self._handle(parts[0], w.CacheList(version or 0, kind, members))
        elif command in EVENTS:
            kind, layout = EVENTS[command]
            if not parts:
                raise Malformed("i: missing")
            missing_values = [None] * (len(fields(kind)) - len(layout))
            return self._handle(parts[0], _build(kind, [*_read_fields(parts[1:], layout), *missing_values]))
        return []

    def _start(self, arguments: list[str]) -> list[str]:
        """Starts an instance: its name, its random seed and its settings as path=value pairs."""
        if len(arguments) < 2:
            raise Malformed("rng_seed: missing")
        seed = _read_fields(arguments[1:2], (("rng_seed", int),))[0] or 0
        settings = read_settings(seed, arguments[2:])
        try:
            self.routers[arguments[0]] = router = Router(settings, self.now)
            return [self._write(arguments[0], action) for action in router.start()]
        except Exception as error:  # a fault in one instance must not stop the others
            return self._drop_instance(arguments[0], error)

    def _handle(self, instance: str, event: w.Event) -> list[str]:
        """Passes an event to an instance's Router and returns the reply lines; ignores unknown instances."""
        router = self.routers.get(instance)
        if router is None:
            return []
        try:
            return [self._write(instance, action) for action in router.handle(event, self.now)]
        except Exception as error:  # a fault in one instance must not stop the others
            return self._drop_instance(instance, error)

    def _drop_instance(self, instance: str, error: Exception) -> list[str]:
        """Removes an instance after a fault and returns the reply line that reports the fault."""
        self.routers.pop(instance, None)
        return [f"DIE {instance} {type(error).__name__}: {' '.join(str(error).split())}"]

    @staticmethod
    def _write(instance: str, action: w.Action) -> str:
        """Returns the reply line of an action."""
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
    """Processes batches until the input ends, and returns the exit code."""
    host = Host()
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
