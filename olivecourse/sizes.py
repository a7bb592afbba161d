"""Sizes that nobody tells, learned from how long answers took. State of a router, without I/O."""

from __future__ import annotations

RISE = 0.05  # weight of an answer that took longer than thought: mostly it shared its way with others
MOST = 4096  # objects; some 1 MB


class Sizes:
    """The sending time of one part of an object, as parts of one object are alike.

    An answer takes its own sending time, and longer the more it shares a link: the least of what was seen is
    the nearest to it, and rises slowly, for an object that was replaced by a larger one.
    """

    __slots__ = ("_most", "_known")

    def __init__(self, most: int = MOST) -> None:
        self._most = most
        self._known: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._known)

    def saw(self, key: str, took_ns: float) -> None:
        """An answer's time, less what its source was waited for."""
        if not key or took_ns <= 0:
            return
        known = self._known.pop(key, took_ns)
        self._known[key] = took_ns if took_ns < known else known + RISE * (took_ns - known)
        if len(self._known) > self._most:
            del self._known[next(iter(self._known))]  # the one not heard of for longest

    def guess(self, key: str) -> float | None:
        """Sending time in ns, or None where no answer has told of it."""
        return self._known.get(key)
