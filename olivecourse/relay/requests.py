"""The targets of HTTP requests that a relay knows, parsed; without I/O."""

from __future__ import annotations

import re

POLL_PATH = b"/board/poll"
STATUS_PATH = b"/relay/status"
HIGHEST_NUMBER = 2**63 - 1  # of events: a larger one would not fit other readers' integers

# What gateways and relays send, word for word; all else takes the longer way below.
USUAL_POLL = re.compile(
    rb"/board/poll\?watch=(\d{1,18})&linger=(\d{1,9})(?:&low=(\d{1,18})&count=(\d{1,9}))?"
)
DIGITS = re.compile(rb"\d{1,19}")


class BadTarget(ValueError):
    """A target whose parameters can't be used; the text tells why."""


class PollRequest:
    """One poll: the number that the watcher holds and how many ms it will wait.

    `low` is what all below a relay have taken, and `count` how many gateways that are; for a gateway None
    and 1.
    """

    __slots__ = ("count", "linger_ms", "low", "revision")

    def __init__(self, revision: int, linger_ms: int, low: int | None = None, count: int = 1) -> None:
        self.revision = revision
        self.linger_ms = linger_ms
        self.low = low
        self.count = count


def path_of(target: bytes) -> bytes:
    """The target without its query."""
    return target.partition(b"?")[0]


def parse_poll(target: bytes) -> PollRequest:
    """The poll that `target`, whose path is POLL_PATH, asks for; raises BadTarget.

    Unknown parameters are ignored; of one that is given twice the last counts.
    """
    usual = USUAL_POLL.fullmatch(target)
    if usual is not None:
        low = usual[3]
        if low is None:
            return PollRequest(int(usual[1]), int(usual[2]))
        return PollRequest(int(usual[1]), int(usual[2]), int(low), int(usual[4]))
    given = _parameters(target)
    revision = _number(given, b"watch")
    linger_ms = _number(given, b"linger")
    if revision is None or linger_ms is None:
        raise BadTarget("watch and linger are needed")
    count = _number(given, b"count")
    return PollRequest(revision, linger_ms, _number(given, b"low"), 1 if count is None else count)


def number_parameter(target: bytes, name: bytes) -> int | None:
    """One number of a target's query; None if absent. Raises BadTarget."""
    return _number(_parameters(target), name)


def _parameters(target: bytes) -> dict[bytes, bytes]:
    given: dict[bytes, bytes] = {}
    for pair in target.partition(b"?")[2].split(b"&"):
        name, _, value = pair.partition(b"=")
        given[name] = value
    return given


def _number(given: dict[bytes, bytes], name: bytes) -> int | None:
    value = given.get(name)
    if value is None:
        return None
    if DIGITS.fullmatch(value) is None or int(value) > HIGHEST_NUMBER:
        raise BadTarget(f"{name.decode()} is no number")
    return int(value)
