"""All interleavings within bounds, breadth first, so that the first fault found has a shortest trace; and
seeded walks beyond those bounds. A state is whatever has `moves()`, `broken()` and `key()`."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Generic, Protocol, TypeVar

StateT = TypeVar("StateT", bound="State")


class State(Protocol):
    def moves(self: StateT) -> Iterator[tuple[str, Callable[[], StateT]]]:
        """Every step that may come next, in words, and what makes the state after it."""
        ...

    def violation(self) -> str:
        """The invariant that does not hold here, or nothing."""
        ...

    def key(self) -> Hashable:
        """Equal for states that behave alike."""
        ...


@dataclass
class SearchResult(Generic[StateT]):
    """`states` told apart; `whole` if none was left out; `trace` to the first broken one."""

    states: int
    complete: bool
    violation: str = ""
    trace: tuple[str, ...] = ()


def explore(start: StateT, max_states: int, seconds: float = 1e9) -> SearchResult[StateT]:
    """Breadth first, at most so many states and seconds."""
    deadline = time.monotonic() + seconds
    predecessors: dict[Hashable, tuple[Hashable, str] | None] = {start.key(): None}
    queue: deque[StateT] = deque([start])
    while queue:
        state = queue.popleft()
        parent_key = state.key()
        for label, successor in state.moves():
            after = successor()
            key = after.key()
            if key in predecessors:
                continue
            predecessors[key] = (parent_key, label)
            if violation := after.violation():
                return SearchResult(len(predecessors), False, violation, _trace(predecessors, key))
            queue.append(after)
        if len(predecessors) >= max_states or time.monotonic() > deadline:
            return SearchResult(len(predecessors), False)
    return SearchResult(len(predecessors), True)


def _trace(predecessors: dict[Hashable, tuple[Hashable, str] | None], key: Hashable) -> tuple[str, ...]:
    steps: list[str] = []
    while (previous := predecessors[key]) is not None:
        key = previous[0]
        steps.append(previous[1])
    return tuple(reversed(steps))


def random_walks(
    start: StateT, walks: int, depth: int, seed: int, seconds: float = 1e9
) -> SearchResult[StateT]:
    """Seeded random walks: deeper than all interleavings can go, and never whole."""
    deadline, random = time.monotonic() + seconds, Random(seed)
    seen_hashes = set[Hashable]()
    for _ in range(walks):
        state, steps = start, list[str]()
        for _ in range(depth):
            moves = list(state.moves())
            if not moves:
                break
            label, successor = random.choice(moves)
            state = successor()
            steps.append(label)
            seen_hashes.add(hash(state.key()))
            if violation := state.violation():
                return SearchResult(len(seen_hashes), False, violation, tuple(steps))
        if time.monotonic() > deadline:
            break
    return SearchResult(len(seen_hashes), False)
