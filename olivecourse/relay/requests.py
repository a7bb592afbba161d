"""Parsing of the HTTP request targets that a relay serves; without I/O."""

from __future__ import annotations

import re

POLL_PATH = b"/board/poll"
STATUS_PATH = b"/relay/status"
HIGHEST_NUMBER = 2**63 - 1  # highest value of a parameter; larger ones overflow others' 64-bit integers

# The exact form of the poll targets that gateways and relays send. A poll in another form, for example with
# its parameters in another order, takes the slower general parser below.
USUAL_POLL = re.compile(
    rb"/board/poll\?watch=(\d{1,18})&linger=(\d{1,9})(?:&low=(\d{1,18})&count=(\d{1,9}))?"
)
DIGITS = re.compile(rb"\d{1,19}")


class BadTarget(ValueError):
    """Raised for a request target with a missing or invalid parameter; the message says which."""


class PollRequest:
    """One poll of a watcher, that is a gateway or a relay: `revision` is the number of the newest event that
    it holds, `linger_ms` how many milliseconds it will wait for later ones.

    If a relay reports them, `low` is the event number that all its watchers have taken and `count` the number
    of gateways below it; for a gateway they are None and 1.
    """

    __slots__ = ("count", "linger_ms", "low", "revision")

    def __init__(self, revision: int, linger_ms: int, low: int | None = None, count: int = 1) -> None:
        self.revision = revision
        self.linger_ms = linger_ms
        self.low = low
        self.count = count


def path_of(target: bytes) -> bytes:
    """Returns a request target without its query, the part from the first `?` on."""
    return target.partition(b"?")[0]


def parse_poll(target: bytes) -> PollRequest:
    """Parses the query of a request target whose path is POLL_PATH.

    Unknown parameters are ignored; the last value of a repeated parameter counts. Raises BadTarget if `watch`
    or `linger` is missing or a number is invalid.
    """
    usual_match = USUAL_POLL.fullmatch(target)
    if usual_match is not None:
        low = usual_match[3]
        if low is None:
            return PollRequest(int(usual_match[1]), int(usual_match[2]))
        return PollRequest(int(usual_match[1]), int(usual_match[2]), int(low), int(usual_match[4]))
    parameters = _parameters(target)
    revision = _number(parameters, b"watch")
    linger_ms = _number(parameters, b"linger")
    if revision is None or linger_ms is None:
        raise BadTarget("the parameters watch and linger are required")
    count = _number(parameters, b"count")
    return PollRequest(revision, linger_ms, _number(parameters, b"low"), 1 if count is None else count)


def number_parameter(target: bytes, name: bytes) -> int | None:
    """Returns the parameter `name` of a request target's query as an integer, or None if it is absent.

    Raises BadTarget if its value is not a decimal number up to HIGHEST_NUMBER.
    """
    return _number(_parameters(target), name)


def _parameters(target: bytes) -> dict[bytes, bytes]:
    parameters: dict[bytes, bytes] = {}
    for pair in target.partition(b"?")[2].split(b"&"):
        name, _, value = pair.partition(b"=")
        parameters[name] = value
    return parameters


def _number(parameters: dict[bytes, bytes], name: bytes) -> int | None:
    value = parameters.get(name)
    if value is None:
        return None
    if DIGITS.fullmatch(value) is None or int(value) > HIGHEST_NUMBER:
        raise BadTarget(f"{name.decode()} is not a valid number")
    return int(value)
