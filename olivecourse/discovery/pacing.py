"""Decides how soon discovery is polled again after a response: at once while events are rare, else as late as
the grace periods allow. No I/O.

One poll per event would cost the gateway and the discovery server more than the events themselves. Events in
quick succession are therefore batched, for a part of the shortest grace period. A grace period is the time
within which the settings require an event of one kind to be obeyed.
"""

from __future__ import annotations

from typing import Final

MS: Final = 1_000_000
# The grace period used if the settings define none; shorter than any grace period known to be in use.
DEFAULT_GRACE_NS: Final = 200 * MS
# The part of the grace period that round trips, event loop delays and batching together may take; the rest is
# left for receiving an event and acting on it.
BATCHING_FRACTION: Final = 0.6
# Maximum time for which events are batched, however long the grace period is, because an outdated directory
# of servers is of no use.
MAX_BATCHING_NS: Final = 500 * MS
# Polls without delay are limited by a token bucket: this many may be saved up, and one more is earned in each
# batching interval.
MAX_SAVED_POLLS: Final = 4.0
# Weights of a new poll's duration in the moving average `round_trip_ns`: of one that is above the average,
# and of one that is not.
ROUND_TRIP_GAIN: Final = 0.2
ROUND_TRIP_DECAY: Final = 0.1


class PollPacer:
    """Decides, after each poll response that contained events, how long to wait for more events before the
    next poll.
    """

    def __init__(self, graces_ns: tuple[int, ...]) -> None:
        """`graces_ns` are the grace periods in nanoseconds, the times within which each kind of event must be
        obeyed; 0 means that the settings define none for that kind.
        """
        self.grace_ns = DEFAULT_GRACE_NS
        # Moving average of the time from sending a poll to the end of its response, in nanoseconds, over
        # polls that follow a response with events. It is high while polls wait for events; no batching is
        # needed then.
        self.round_trip_ns = 0.0
        self.delayed_polls = 0  # The number of polls since the start that were delayed to batch events.
        self._saved_polls, self._earned_at = MAX_SAVED_POLLS, 0
        self.apply_settings(graces_ns)

    def apply_settings(self, graces_ns: tuple[int, ...]) -> None:
        """Uses the shortest of these grace periods (nanoseconds, 0 for none) from now on."""
        self.grace_ns = min((grace for grace in graces_ns if grace > 0), default=DEFAULT_GRACE_NS)

    def on_round_trip(self, elapsed_ns: int) -> None:
        """Updates the average duration of polls with that of one that followed a response with events. The
        average rises faster than it falls.
        """
        # Durations above the grace period count as that long, because they leave no time for batching either.
        sample_ns = min(elapsed_ns, self.grace_ns)
        gain = ROUND_TRIP_GAIN if sample_ns > self.round_trip_ns else ROUND_TRIP_DECAY
        self.round_trip_ns += gain * (sample_ns - self.round_trip_ns)

    def max_batching_ns(self, lag_ns: int) -> int:
        """Returns for how many nanoseconds events may be batched without exceeding the grace period, if one
        turn of the event loop takes `lag_ns`.
        """
        # An event that occurs just after a response was sent waits for that response to arrive, for the
        # batching, for the next poll, and for one turn of the event loop before and after it.
        available_ns = BATCHING_FRACTION * self.grace_ns - 2 * self.round_trip_ns - 2 * lag_ns
        return max(int(min(available_ns, MAX_BATCHING_NS)), 0)

    def delay_ns(self, now_ns: int, lag_ns: int) -> int:
        """Returns how many nanoseconds to wait before the next poll, after a response with events; 0 while
        such responses are rare. `lag_ns` is the duration of the event loop's last turn.
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
