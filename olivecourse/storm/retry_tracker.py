"""Recognises client retries: by a mark in the request, or by client and object after a failure.

Memory is bounded by two tables (generations) of failed requests, each of at most `max_entries`. When the
younger one is full or older than the time window, it replaces the older one, which is discarded. A failure is
thus remembered for at least one window, unless the tables fill up earlier.
"""

from __future__ import annotations


class RetryTracker:
    """Remembers refused and failed requests by client and object.

    A request of the same client for the same object within `window_ns` after the failure counts as a retry.
    """

    def __init__(self, window_ns: int, max_entries: int) -> None:
        self._window_ns, self._max_entries = window_ns, max_entries
        self._young: dict[tuple[int, str], int] = {}
        self._old: dict[tuple[int, str], int] = {}
        self._rotated_at = 0

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def failed(self, client: int, key: str, now: int) -> None:
        """Records that a request of `client` for `key`, an object and its part, was refused or failed."""
        if len(self._young) >= self._max_entries or now - self._rotated_at > self._window_ns:
            self._old, self._young, self._rotated_at = self._young, {}, now
        self._young[client, key] = now

    def is_retry(self, client: int, key: str, marked: bool, now: int) -> bool:
        """Whether a request is `marked` as a retry, or `client` had a failure for `key` within the window.

        An unmarked request removes the recorded failure that it finds. A second request for an object that
        was served is not a retry.
        """
        if marked:
            return True
        for generation in (self._young, self._old):
            failed_at = generation.pop((client, key), None)
            if failed_at is not None:
                return now - failed_at <= self._window_ns
        return False
