"""Explicit-state search for a violated invariant: breadth first over all interleavings of a bounded model,
and seeded random walks.

Breadth-first search makes the trace of the first violation a shortest one. Random walks reach states that are
too many transitions from the start for breadth-first search. A state is any object with `moves()`,
`violation()` and `key()`.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Generic, Protocol, TypeVar

StateT = TypeVar("StateT", bound="State")


class State(Protocol):
    """One state of a model that is searched."""

    def moves(self: StateT) -> Iterator[tuple[str, Callable[[], StateT]]]:
        """Yields every possible transition from this state: its description for the trace, and a function
        that creates the successor state."""
        ...

    def violation(self) -> str:
        """Returns the name of the invariant that this state violates, or an empty string."""
        ...

    def key(self) -> Hashable:
        """Returns a value that is equal for states that have the same successors, by which the search
        recognizes states that it has visited."""
        ...


@dataclass
class SearchResult(Generic[StateT]):
    """Result of a search: the number of distinct states, whether all reachable states were visited, and, if
    one was found, the violated invariant with the descriptions of the transitions that lead to it."""

    states: int
    complete: bool
    violation: str = ""
    trace: tuple[str, ...] = ()


def explore(start: StateT, max_states: int, seconds: float = 1e9) -> SearchResult[StateT]:
    """Searches breadth first from `start` for a violated invariant, until all reachable states are visited,
    `max_states` distinct states are found, or `seconds` have passed."""
    deadline = time.monotonic() + seconds
    predecessors: dict[Hashable, tuple[Hashable, str] | None] = {start.key(): None}
    queue: deque[StateT] = deque([start])
    while queue:
        state = queue.popleft()
        parent_key = state.key()
        for label, create_successor in state.moves():
            successor = create_successor()
            key = successor.key()
            if key in predecessors:
                continue
            predecessors[key] = (parent_key, label)
            if violation := successor.violation():
                return SearchResult(len(predecessors), False, violation, _trace(predecessors, key))
            queue.append(successor)
        if len(predecessors) >= max_states or time.monotonic() > deadline:
            return SearchResult(len(predecessors), False)
    return SearchResult(len(predecessors), True)


def _trace(predecessors: dict[Hashable, tuple[Hashable, str] | None], key: Hashable) -> tuple[str, ...]:
    """The descriptions of the transitions from the start state to the state with this key. `predecessors`
    maps the key of each visited state to the state and the transition that it was first reached from; None
    for the start state."""
    steps: list[str] = []
    while (previous := predecessors[key]) is not None:
        key = previous[0]
        steps.append(previous[1])
    return tuple(reversed(steps))


def random_walks(
    start: StateT, walks: int, depth: int, seed: int, seconds: float = 1e9
) -> SearchResult[StateT]:
    """Follows up to `walks` random walks of up to `depth` transitions from `start`, until one violates an
    invariant or `seconds` have passed; equal seeds give equal walks. These reach greater depths than an
    exhaustive search, and the result is never marked complete."""
    deadline, random = time.monotonic() + seconds, Random(seed)
    seen_hashes = set[Hashable]()
    for _ in range(walks):
        state, steps = start, list[str]()
        for _ in range(depth):
            moves = list(state.moves())
            if not moves:
                break
            label, create_successor = random.choice(moves)
            state = create_successor()
            steps.append(label)
            seen_hashes.add(hash(state.key()))
            if violation := state.violation():
                return SearchResult(len(seen_hashes), False, violation, tuple(steps))
        if time.monotonic() > deadline:
            break
    return SearchResult(len(seen_hashes), False)
