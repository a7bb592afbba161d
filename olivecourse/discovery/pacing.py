"""How soon discovery is asked again: at once while news is sparse, else as late as the graces allow. No I/O.

A poll for each event costs the gateway and whoever answers more than the events themselves. What comes in
quick succession is gathered, for a part of the shortest time in which the settings want news heeded.
"""

from __future__ import annotations

from typing import Final

MS: Final = 1_000_000
DEFAULT_GRACE_NS: Final = 200 * MS  # where the settings tell none: below every grace known of
GATHER_PART: Final = 0.6  # of the grace; the rest is for the news' way here, and to act on it
MAX_GATHER_NS: Final = 500 * MS  # however long the grace: a directory that is older helps nobody
BURST: Final = 4.0  # polls at once that sparse news may use up; one more is earned in every gathering time
ROUND_TRIP_GAIN: Final = 0.2  # weight of a poll that took longer than those before
ROUND_TRIP_DECAY: Final = 0.1  # and of one that took less


class PollPacer:
    """Tells after each answer with news how long to wait for more before the next poll."""

    def __init__(self, graces_ns: tuple[int, ...]) -> None:
        """`graces_ns`: the times within which news of each kind has to be heeded; 0 is not known."""
        self.grace_ns = DEFAULT_GRACE_NS
        self.round_trip_ns = 0.0  # of polls; high while they wait for news, when nothing needs gathering
        self.gathered = 0  # polls that waited for more news
        self._polls, self._earned_at = BURST, 0
        self.apply_settings(graces_ns)

    def apply_settings(self, graces_ns: tuple[int, ...]) -> None:
        """From here on these graces hold."""
        self.grace_ns = min((grace for grace in graces_ns if grace > 0), default=DEFAULT_GRACE_NS)

    def on_round_trip(self, elapsed_ns: int) -> None:
        """The poll after an answer with news took so long to be answered: quick to rise, slow to fall."""
        taken = min(elapsed_ns, self.grace_ns)  # longer ones leave no time to gather either
        gain = ROUND_TRIP_GAIN if taken > self.round_trip_ns else ROUND_TRIP_DECAY
        self.round_trip_ns += gain * (taken - self.round_trip_ns)

    def gather_ns(self, lag_ns: int) -> int:
        """How long news may be gathered, when turns of the loop take `lag_ns`."""
        # What is told just after an answer left waits for that answer's way, the gathering, the next poll,
        # and each time for a turn of the loop.
        left = GATHER_PART * self.grace_ns - 2 * self.round_trip_ns - 2 * lag_ns
        return max(int(min(left, MAX_GATHER_NS)), 0)

    def delay_ns(self, now_ns: int, lag_ns: int) -> int:
        """How long to wait before the next poll, after an answer with news; 0 while news is sparse."""
        gather = self.gather_ns(lag_ns)
        if not gather:
            return 0
        self._polls = min(self._polls + max(now_ns - self._earned_at, 0) / gather, BURST)
        self._earned_at = now_ns
        self._polls -= 1.0
        if self._polls >= 0.0:
            return 0
        self.gathered += 1
        return int(min(-self._polls, 1.0) * gather)
