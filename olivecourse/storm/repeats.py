"""Recognises client retries: by the client's mark, or by client and object within a time window.

Memory is bounded by two generations of entries, each of at most `max_entries`. The older generation is
discarded when the younger is full or older than the window, so an entry is kept for one to two windows.
"""

from __future__ import annotations


class RetryTracker:
    """Remembers failed requests. A request of the same client for the same object within `window_ns` after
    a failure counts as a retry."""

    def __init__(self, window_ns: int, max_entries: int) -> None:
        self._window_ns, self._max_entries = window_ns, max_entries
        self._young: dict[tuple[int, str], int] = {}
        self._old: dict[tuple[int, str], int] = {}
        self._rotated_at = 0

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def failed(self, client: int, key: str, now: int) -> None:
        """Records that the request of `client` for `key` was refused or failed."""
        if len(self._young) >= self._max_entries or now - self._rotated_at > self._window_ns:
            self._old, self._young, self._rotated_at = self._young, {}, now
        self._young[client, key] = now

    def is_retry(self, client: int, key: str, marked: bool, now: int) -> bool:
        """Whether a request is a retry. A second request for an object that was served is not a retry."""
        if marked:
            return True
        for generation in (self._young, self._old):
            failed_at = generation.pop((client, key), None)
            if failed_at is not None:
                return now - failed_at <= self._window_ns
        return False
