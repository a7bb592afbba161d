"""Estimates unreported object sizes from the durations of answers. State of a router, without I/O."""

from __future__ import annotations

RISE_WEIGHT = 0.05  # weight of an answer slower than the estimate, which usually shared its link with others
MOST = 4096  # objects; they take about 1 MB


class Sizes:
    """Estimates the sending time of a part of an object; all parts of an object are taken to be of one size.

    An answer takes at least its own sending time, and longer if it shares a link with others. The shortest
    observed time is therefore the best estimate. The estimate rises slowly, so that it follows when a larger
    object replaces the first one.
    """

    __slots__ = ("_max_entries", "_known")

    def __init__(self, max_entries: int = MOST) -> None:
        self._max_entries = max_entries
        self._known: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._known)

    def saw(self, key: str, took_ns: float) -> None:
        """Records the time of an answer, without the time it waited for the source of a fill."""
        if not key or took_ns <= 0:
            return
        previous_ns = self._known.pop(key, took_ns)
        self._known[key] = (
            took_ns if took_ns < previous_ns else previous_ns + RISE_WEIGHT * (took_ns - previous_ns)
        )
        if len(self._known) > self._max_entries:
            del self._known[next(iter(self._known))]  # least recently observed

    def estimate(self, key: str) -> float | None:
        """Returns the estimated sending time in ns, or None if no answer was observed for the object."""
        return self._known.get(key)
