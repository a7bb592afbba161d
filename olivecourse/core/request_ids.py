"""Remembers ids of requests that must not be sent again. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable


class RequestIdMemory:
    """The ids of requests that may have run, for a limited time and in limited number.

    Times are in nanoseconds on the caller's clock, which never runs backwards.
    """

    def __init__(self, retention_ns: int, max_ids: int) -> None:
        """An id is forgotten `retention_ns` after it was added last, or earlier, the oldest first, if there
        are more than `max_ids`.
        """
        self._retention_ns, self._max_ids = retention_ns, max_ids
        self._added_at: OrderedDict[str, int] = OrderedDict()  # the id added first at the front

    def __len__(self) -> int:
        return len(self._added_at)

    def __contains__(self, request: str) -> bool:
        return request in self._added_at

    def add(self, requests: Iterable[str], now: int) -> None:
        """Adds ids at the time `now`, and forgets those whose time is over."""
        for request in requests:
            self._added_at[request] = now
            self._added_at.move_to_end(request)
        while self._added_at:
            oldest = next(iter(self._added_at))
            if len(self._added_at) <= self._max_ids and self._added_at[oldest] > now - self._retention_ns:
                break
            del self._added_at[oldest]

    def ids(self) -> list[str]:
        """Returns all ids, the oldest first."""
        return list(self._added_at)
