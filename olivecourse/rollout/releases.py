"""A release of the gateway program: its plan, its states, and the order in which gateways restart. No I/O.

    planned -> running <-> paused;  running, paused -> halted -> running (resume) | rolling_back -> done

The term numbers the states of the release: every command that takes effect raises it. Only a resume or a
rollback with a higher term ends a halt. A command other than pause and halt that was issued under an older
term than that of the register is refused, so that a resume that crosses a halt in flight does not undo the
halt.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b

import msgspec

KEY = "release"  # key of the register that holds the release
MAX_VERSION_LENGTH = 24  # characters of a version's name
MAX_WAVES = 6  # waves in a plan; a wave is the set of gateways that restart before the next soak time


class State(IntEnum):
    """State of a release; the head of this module lists the transitions."""

    NONE = 0
    PLANNED = 1
    RUNNING = 2
    PAUSED = 3
    HALTED = 4
    ROLLING_BACK = 5
    DONE = 6


class Plan(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The plan of a release to `version` from `before`. `waves` lists the shares of the fleet, in percent,
    that have the version after each wave; the first wave is the canary, the last share is 100. `soak_s` is
    the waiting time between two waves, in seconds. `gates` says whether the versions are compared during the
    release: `alpha` is the highest acceptable probability that this comparison halts a good version, and
    `worse` the increase of the rate of bad requests, in percentage points, above which a version counts as
    bad."""

    version: str
    before: str = ""
    waves: tuple[int, ...] = (10, 50, 100)
    soak_s: float = 10.0
    gates: bool = True
    alpha: float = 0.01
    worse: float = 1.0


class Release(msgspec.Struct, frozen=True, array_like=True):
    """The value of the release register. `term` grows with every command that takes effect; `wave` is the
    wave in progress and counts from 0. `at` is the Unix time of the last command in seconds, `by` the number
    of the gateway that issued it, and `why` the reason given with it."""

    term: int = 0
    state: State = State.NONE
    wave: int = 0
    by: int = -1
    at: int = 0
    why: str = ""
    plan: Plan = Plan("")

    @property
    def version(self) -> str:
        """The version that gateways should run: the previous version in a rollback, otherwise the new one,
        which applies to the gateways of the waves that have started."""
        return self.plan.before if self.state is State.ROLLING_BACK else self.plan.version

    @property
    def halted(self) -> bool:
        """Whether the release is paused or halted, so that no further gateway may go out of service for
        it."""
        return self.state in (State.PAUSED, State.HALTED)


class Command(IntEnum):
    """Commands that change the state of a release. Operators give all except NEXT and END, which the
    coordinating member submits; it also submits HALT."""

    PLAN = 0
    START = 1
    PAUSE = 2
    HALT = 3
    RESUME = 4
    ROLLBACK = 5
    NEXT = 6  # the current wave is complete: start the next one
    END = 7  # all gateways run the wanted version: the release or its rollback is done


class CommandRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """One command on the release, issued by gateway `by` at Unix time `at` in seconds. `term` is the release
    term known to the sender; commands other than pause and halt are refused unless it is the newest. `plan`
    is set with PLAN only."""

    command: Command
    term: int
    by: int
    at: int = 0
    why: str = ""
    plan: Plan | None = None


NO_RELEASE_STATES = (State.NONE, State.DONE)
ALLOWED_FROM: dict[Command, tuple[State, ...]] = {
    Command.PLAN: (*NO_RELEASE_STATES, State.PLANNED),
    Command.START: (State.PLANNED,),
    Command.PAUSE: (State.RUNNING,),
    Command.HALT: (State.PLANNED, State.RUNNING, State.PAUSED, State.ROLLING_BACK, State.HALTED),
    Command.RESUME: (State.PAUSED, State.HALTED),
    Command.ROLLBACK: (State.RUNNING, State.PAUSED, State.HALTED),
    Command.NEXT: (State.RUNNING,),
    Command.END: (State.RUNNING, State.ROLLING_BACK),
}
TARGET_STATES = {
    Command.PLAN: State.PLANNED,
    Command.START: State.RUNNING,
    Command.PAUSE: State.PAUSED,
    Command.HALT: State.HALTED,
    Command.RESUME: State.RUNNING,
    Command.ROLLBACK: State.ROLLING_BACK,
    Command.NEXT: State.RUNNING,
    Command.END: State.DONE,
}
# Accepted even if the sender knows an older term of the release: to stop a release is always safe.
STOPPING_COMMANDS = (Command.PAUSE, Command.HALT)


class CommandReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to a command: whether it was accepted, the term and state of the release after it, and the
    reason for a refusal."""

    accepted: bool
    term: int
    state: State
    reason: str = ""


def decode(value: bytes) -> Release:
    """Decodes the value of the release register; an empty value means that there was no release yet. Raises
    ValueError."""
    if not value:
        return Release()
    try:
        return msgspec.msgpack.decode(value, type=Release)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


def encode(release: Release) -> bytes:
    """Encodes a release as the value of the release register."""
    return msgspec.msgpack.encode(release)


def plan_error(plan: Plan) -> str:
    """Returns what is wrong with a release plan, or an empty string if the plan is valid."""
    if not plan.version or len(plan.version) > MAX_VERSION_LENGTH or len(plan.before) > MAX_VERSION_LENGTH:
        return f"version and before have 1 to {MAX_VERSION_LENGTH} characters"
    if plan.version == plan.before:
        return "version is what was there before"
    if not plan.waves or len(plan.waves) > MAX_WAVES:
        return f"1 to {MAX_WAVES} waves"
    if list(plan.waves) != sorted(set(plan.waves)) or plan.waves[0] < 1 or plan.waves[-1] != 100:
        return "waves are shares in percent that grow to 100"
    if not 0 <= plan.soak_s <= 86_400 or not 0 < plan.alpha < 0.5 or not 0 < plan.worse <= 100:
        return "soak_s is 0 to 86400, alpha above 0 and under 0.5, worse above 0 and at most 100"
    return ""


def apply_command(release: Release, request: CommandRequest) -> tuple[Release, CommandReply]:
    """Returns the release after one command, and the answer to it. A repeated command is reported as accepted
    and has no further effect."""
    if request.command in STOPPING_COMMANDS and release.state is TARGET_STATES[request.command]:
        return release, CommandReply(True, release.term, release.state)
    if request.command not in STOPPING_COMMANDS and request.term != release.term:
        repeated = (
            release.by == request.by
            and release.at == request.at
            and release.state is TARGET_STATES[request.command]
        )
        reason = (
            "" if repeated else f"the release stands at term {release.term} by now, you know {request.term}"
        )
        return release, CommandReply(repeated, release.term, release.state, reason)
    if release.state not in ALLOWED_FROM[request.command]:
        return release, CommandReply(
            False, release.term, release.state, f"it is {release.state.name.lower()}"
        )
    plan, wave = release.plan, release.wave
    if request.command is Command.PLAN:
        if request.plan is None or (why := plan_error(request.plan)):
            return release, CommandReply(
                False, release.term, release.state, why if request.plan else "no plan"
            )
        plan, wave = request.plan, 0
    elif request.command is Command.NEXT:
        if wave + 1 >= len(plan.waves):
            return release, CommandReply(False, release.term, release.state, "it was the last wave")
        wave += 1
    after = Release(
        release.term + 1, TARGET_STATES[request.command], wave, request.by, request.at, request.why[:40], plan
    )
    return after, CommandReply(True, after.term, after.state)


def apply_batch(value: bytes, requests: Sequence[CommandRequest]) -> tuple[bytes, list[CommandReply]]:
    """Applies all commands of one ballot to the value of the release register, in order of arrival. Returns
    the new value and one answer for each command."""
    release, answers = decode(value), list[CommandReply]()
    for request in requests:
        release, answer = apply_command(release, request)
        answers.append(answer)
    return encode(release), answers


# Order in which the gateways get a new version ---------------------------------------------------------


def order(version: str, gateways: Sequence[int]) -> list[int]:
    """The order in which gateways get a version: pseudo-random by the version's name. All gateways compute
    the same order, and different versions start at different gateways."""

    def sort_key(item: int) -> bytes:
        return blake2b(f"{version}/{item}".encode(), digest_size=8).digest()

    return sorted(gateways, key=sort_key)


@lru_cache(maxsize=2)  # one release is active at a time, and its waves are looked up many times a second
def waves(version: str, shares: tuple[int, ...], gateways: tuple[int, ...]) -> Mapping[int, int]:
    """Returns the wave of a release, from 0, in which each gateway gets the new version, by gateway number.
    `shares` has, for each wave, the share of the fleet in percent that has the version after it. The first
    wave has at least one gateway."""
    last_ranks = [max(len(gateways) * share // 100, 1) for share in shares]
    wave_numbers, number = dict[int, int](), 0
    for rank, item in enumerate(order(version, gateways)):
        while rank >= last_ranks[number] and number < len(last_ranks) - 1:
            number += 1
        wave_numbers[item] = number
    return wave_numbers


def wave_of(plan: Plan, gateways: Sequence[int], item: int) -> int:
    """Returns the wave, from 0, in which gateway `item` gets the new version under this plan. Raises KeyError
    for a gateway that is not among `gateways`, the numbers of all gateways of the fleet."""
    return waves(plan.version, tuple(plan.waves), tuple(gateways))[item]


def should_request_lease(release: Release, gateways: Sequence[int], item: int, version: str) -> bool:
    """Returns whether gateway `item`, which runs `version`, should request a lease for the release now. In a
    running release it must run the previous version, and its wave must have started. In a rollback every
    gateway with the new version may request a lease at once; only the budget limits how many go at a time."""
    if version == release.version or release.state not in (State.RUNNING, State.ROLLING_BACK):
        return False
    wave = waves(release.plan.version, tuple(release.plan.waves), tuple(gateways)).get(item)
    if wave is None:
        return False
    if release.state is State.ROLLING_BACK:
        return version == release.plan.version
    return version == release.plan.before and wave <= release.wave


@dataclass(frozen=True)
class GatewayStatus:
    """What the heartbeats of a gateway say: the version that it runs, and in `warm` whether they still arrive
    and report that it serves and is warm."""

    version: str
    warm: bool


def wave_complete(release: Release, gateways: Sequence[int], seen: Mapping[int, GatewayStatus]) -> bool:
    """Returns whether the waves started so far are complete: all their gateways run the wanted version, serve
    and are warm; in a rollback this holds for all gateways. A gateway without heartbeats delays its wave."""

    def ready(item: int) -> bool:
        return item in seen and seen[item].version == release.version and seen[item].warm

    if release.state is State.ROLLING_BACK:
        return all(map(ready, gateways))
    wave = waves(release.plan.version, tuple(release.plan.waves), tuple(gateways))
    return all(ready(g) for g in gateways if wave[g] <= release.wave)
