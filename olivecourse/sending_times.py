"""Estimates, for objects of unreported size, how long an answer takes to be sent. No I/O."""

from __future__ import annotations

# Share of the difference by which an answer slower than the estimate raises it; such an answer usually shared
# its link with others.
RISE_WEIGHT = 0.05
MAX_OBJECTS = 4096  # the most objects for which an estimate is kept; they take about 1 MB


class SendingTimes:
    """Estimates, by object id, how long an answer takes to be sent over an otherwise idle link.

    An answer may carry one part of an object; all parts of an object are taken to be of one size. An answer
    takes longer than its own sending time if it shares a link with others, so the shortest observed time is
    the best estimate. The estimate rises slowly, so that it follows when a larger object replaces the first
    one.
    """

    __slots__ = ("_max_entries", "_known")

    def __init__(self, max_entries: int = MAX_OBJECTS) -> None:
        self._max_entries = max_entries
        self._known: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._known)

    def observe(self, key: str, took_ns: float) -> None:
        """Updates the estimate for object `key` with the duration of an answer, without its wait for a fill.

        An empty `key` or a duration that is not above 0 is ignored.
        """
        if not key or took_ns <= 0:
            return
        previous_ns = self._known.pop(key, took_ns)
        self._known[key] = (
            took_ns if took_ns < previous_ns else previous_ns + RISE_WEIGHT * (took_ns - previous_ns)
        )
        if len(self._known) > self._max_entries:
            del self._known[next(iter(self._known))]  # the object whose last answer is the oldest

    def estimate(self, key: str) -> float | None:
        """Returns how long an answer for object `key` takes to be sent, in ns; None without an estimate."""
        return self._known.get(key)
