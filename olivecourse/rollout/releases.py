"""A release of the gateways' program: its plan, its states, and who may go when. No I/O.

    planned -> running <-> paused;  running, paused -> halted -> running (resume) | rolling_back -> done

Every word raises the term. A halt is ended only by a resume or a rollback of a higher term; a word that knows
an older term than the register's is refused, so that a resume that crosses a halt does not undo it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b

import msgspec

KEY = "release"  # the register that holds it
MAX_VERSION_LENGTH = 24  # characters
MAX_WAVES = 6


class State(IntEnum):
    NONE = 0
    PLANNED = 1
    RUNNING = 2
    PAUSED = 3
    HALTED = 4
    ROLLING_BACK = 5
    DONE = 6


class Plan(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """`waves`: shares of the fleet in percent that have the version once each wave is through; the first is
    the canary, the last 100. `soak_s` between the end of a wave and the next. `alpha`: how often, at most, a
    good version may be halted by its gates; `worse`: from how much more of each hundred requests ending badly
    on the canary's side a version counts as bad, in percent points."""

    version: str
    before: str = ""
    waves: tuple[int, ...] = (10, 50, 100)
    soak_s: float = 10.0
    gates: bool = True
    alpha: float = 0.01
    worse: float = 1.0


class Release(msgspec.Struct, frozen=True, array_like=True):
    """The register's value. `wave` counts from 0; `at` is the Unix second of the last word, `by` the member
    that took it, `why` why it was halted."""

    term: int = 0
    state: State = State.NONE
    wave: int = 0
    by: int = -1
    at: int = 0
    why: str = ""
    plan: Plan = Plan("")

    @property
    def version(self) -> str:
        """Which version is wanted now."""
        return self.plan.before if self.state is State.ROLLING_BACK else self.plan.version

    @property
    def halted(self) -> bool:
        """Whether nobody may start to go out for it."""
        return self.state in (State.PAUSED, State.HALTED)


class Command(IntEnum):
    PLAN = 0
    START = 1
    PAUSE = 2
    HALT = 3
    RESUME = 4
    ROLLBACK = 5
    NEXT = 6  # the wave is through
    END = 7  # all have the version that is wanted


class CommandRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """`term`: of the release that the speaker knows; words that let something go on need the newest."""

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
STOPPING_COMMANDS = (Command.PAUSE, Command.HALT)  # taken whatever term the speaker knows: never too careful


class CommandReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Whether a word was taken, under which term the release stands now, and why not."""

    accepted: bool
    term: int
    state: State
    reason: str = ""


def decode(value: bytes) -> Release:
    """Raises ValueError."""
    if not value:
        return Release()
    try:
        return msgspec.msgpack.decode(value, type=Release)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None


def encode(release: Release) -> bytes:
    return msgspec.msgpack.encode(release)


def plan_error(plan: Plan) -> str:
    """What is wrong with a plan; empty if nothing is."""
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
    """The release after one word. A word said twice does what once does."""
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
    release, answers = decode(value), list[CommandReply]()
    for request in requests:
        release, answer = apply_command(release, request)
        answers.append(answer)
    return encode(release), answers


# Who goes when -----------------------------------------------------------------------------------------


def order(version: str, gateways: Sequence[int]) -> list[int]:
    """The same everywhere, another for each version, so that it is not always the same who go first."""

    def sort_key(item: int) -> bytes:
        return blake2b(f"{version}/{item}".encode(), digest_size=8).digest()

    return sorted(gateways, key=sort_key)


@lru_cache(maxsize=2)  # one release is on at a time, and it is looked at many times a second
def waves(version: str, shares: tuple[int, ...], gateways: tuple[int, ...]) -> Mapping[int, int]:
    """In which wave each gateway goes, by growing shares in percent; the first wave holds one at least."""
    last_ranks = [max(len(gateways) * share // 100, 1) for share in shares]
    wave_numbers, number = dict[int, int](), 0
    for rank, item in enumerate(order(version, gateways)):
        while rank >= last_ranks[number] and number < len(last_ranks) - 1:
            number += 1
        wave_numbers[item] = number
    return wave_numbers


def wave_of(plan: Plan, gateways: Sequence[int], item: int) -> int:
    """In which wave a gateway goes. Raises KeyError for one that is not of the fleet."""
    return waves(plan.version, tuple(plan.waves), tuple(gateways))[item]


def may_go(release: Release, gateways: Sequence[int], item: int, version: str) -> bool:
    """Whether this gateway is to ask for a place now: it has another version than is wanted, and its wave is
    on. On the way back those that went last go first, each as soon as the budget lets it."""
    if version == release.version or release.state not in (State.RUNNING, State.ROLLING_BACK):
        return False
    wave = waves(release.plan.version, tuple(release.plan.waves), tuple(gateways)).get(item)
    if wave is None:
        return False
    if release.state is State.ROLLING_BACK:
        return version == release.plan.version
    return version == release.plan.before and wave <= release.wave


@dataclass(frozen=True)
class Seen:
    """Of each gateway that is heard: its version, and whether it serves warm."""

    version: str
    warm: bool


def through(release: Release, gateways: Sequence[int], seen: Mapping[int, Seen]) -> bool:
    """Whether all of the waves so far have the version and serve; who is silent holds its wave up."""

    def ready(item: int) -> bool:
        return item in seen and seen[item].version == release.version and seen[item].warm

    if release.state is State.ROLLING_BACK:
        return all(map(ready, gateways))
    wave = waves(release.plan.version, tuple(release.plan.waves), tuple(gateways))
    return all(ready(g) for g in gateways if wave[g] <= release.wave)
