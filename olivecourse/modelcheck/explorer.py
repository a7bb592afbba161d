"""All interleavings within bounds, breadth first, so that the first fault found has a shortest trace; and
seeded walks beyond those bounds. A state is whatever has `moves()`, `broken()` and `key()`."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Generic, Protocol, TypeVar

S = TypeVar("S", bound="State")


class State(Protocol):
    def moves(self: S) -> Iterator[tuple[str, Callable[[], S]]]:
        """Every step that may come next, in words, and what makes the state after it."""
        ...

    def broken(self) -> str:
        """The invariant that does not hold here, or nothing."""
        ...

    def key(self) -> Hashable:
        """Equal for states that behave alike."""
        ...


@dataclass
class Found(Generic[S]):
    """`states` told apart; `whole` if none was left out; `trace` to the first broken one."""

    states: int
    whole: bool
    broken: str = ""
    trace: tuple[str, ...] = ()


def explore(start: S, most: int, seconds: float = 1e9) -> Found[S]:
    """Breadth first, at most so many states and seconds."""
    end = time.monotonic() + seconds
    before: dict[Hashable, tuple[Hashable, str] | None] = {start.key(): None}
    queue: deque[S] = deque([start])
    while queue:
        state = queue.popleft()
        mine = state.key()
        for words, make in state.moves():
            after = make()
            key = after.key()
            if key in before:
                continue
            before[key] = (mine, words)
            if broken := after.broken():
                return Found(len(before), False, broken, _trace(before, key))
            queue.append(after)
        if len(before) >= most or time.monotonic() > end:
            return Found(len(before), False)
    return Found(len(before), True)


def _trace(before: dict[Hashable, tuple[Hashable, str] | None], key: Hashable) -> tuple[str, ...]:
    steps: list[str] = []
    while (came := before[key]) is not None:
        key = came[0]
        steps.append(came[1])
    return tuple(reversed(steps))


def walk(start: S, walks: int, depth: int, seed: int, seconds: float = 1e9) -> Found[S]:
    """Seeded random walks: deeper than all interleavings can go, and never whole."""
    end, random = time.monotonic() + seconds, Random(seed)
    seen = set[Hashable]()
    for _ in range(walks):
        state, steps = start, list[str]()
        for _ in range(depth):
            moves = list(state.moves())
            if not moves:
                break
            words, make = random.choice(moves)
            state = make()
            steps.append(words)
            seen.add(hash(state.key()))
            if broken := state.broken():
                return Found(len(seen), False, broken, tuple(steps))
        if time.monotonic() > end:
            break
    return Found(len(seen), False)
