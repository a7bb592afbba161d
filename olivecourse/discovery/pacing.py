"""Decides how soon discovery is polled again: at once while events are rare, else as late as the graces
allow. No I/O.

One poll per event would cost the gateway and the discovery server more than the events themselves. Events in
quick succession are therefore batched, for a part of the shortest grace period, which is the time within
which the settings require an event to be obeyed.
"""

from __future__ import annotations

from typing import Final

MS: Final = 1_000_000
# Used if the settings define no grace period; shorter than any known grace period.
DEFAULT_GRACE_NS: Final = 200 * MS
# The fraction of the grace period used for batching; the rest is left for receiving an event and acting on
# it.
BATCHING_FRACTION: Final = 0.6
# The upper limit for long grace periods, because an outdated server directory is of no use.
MAX_BATCHING_NS: Final = 500 * MS
# Maximum number of immediate polls saved up; one more is earned in each batching interval.
MAX_SAVED_POLLS: Final = 4.0
ROUND_TRIP_GAIN: Final = 0.2  # Weight in the average of a poll that took longer than the average.
ROUND_TRIP_DECAY: Final = 0.1  # Weight in the average of a poll that took less than the average.


class PollPacer:
    """Returns, after each response with events, how long to wait for more events before the next poll."""

    def __init__(self, graces_ns: tuple[int, ...]) -> None:
        """`graces_ns` are the times within which each kind of event must be obeyed, in nanoseconds; 0 means
        unknown.
        """
        self.grace_ns = DEFAULT_GRACE_NS
        # The average duration of polls. It is high while polls wait for events, when no batching is needed.
        self.round_trip_ns = 0.0
        self.delayed_polls = 0  # The number of polls that were delayed to batch events.
        self._saved_polls, self._earned_at = MAX_SAVED_POLLS, 0
        self.apply_settings(graces_ns)

    def apply_settings(self, graces_ns: tuple[int, ...]) -> None:
        """Uses these grace periods from now on."""
        self.grace_ns = min((grace for grace in graces_ns if grace > 0), default=DEFAULT_GRACE_NS)

    def on_round_trip(self, elapsed_ns: int) -> None:
        """Records how long the poll after a response with events took. The average rises fast and falls
        slowly.
        """
        # Longer durations make no difference, as they leave no time for batching either.
        sample_ns = min(elapsed_ns, self.grace_ns)
        gain = ROUND_TRIP_GAIN if sample_ns > self.round_trip_ns else ROUND_TRIP_DECAY
        self.round_trip_ns += gain * (sample_ns - self.round_trip_ns)

    def max_batching_ns(self, lag_ns: int) -> int:
        """Returns how long events may be batched, if a turn of the event loop takes `lag_ns`."""
        # An event that occurs just after a response was sent waits for that response to arrive, for the
        # batching, for the next poll, and for one turn of the loop on each side.
        available_ns = BATCHING_FRACTION * self.grace_ns - 2 * self.round_trip_ns - 2 * lag_ns
        return max(int(min(available_ns, MAX_BATCHING_NS)), 0)

    def delay_ns(self, now_ns: int, lag_ns: int) -> int:
        """Returns how long to wait before the next poll, after a response with events; 0 while events are
        rare.
        """
        batching_ns = self.max_batching_ns(lag_ns)
        if not batching_ns:
            return 0
        self._saved_polls = min(
            self._saved_polls + max(now_ns - self._earned_at, 0) / batching_ns, MAX_SAVED_POLLS
        )
        self._earned_at = now_ns
        self._saved_polls -= 1.0
        if self._saved_polls >= 0.0:
            return 0
        self.delayed_polls += 1
        return int(min(-self._saved_polls, 1.0) * batching_ns)
