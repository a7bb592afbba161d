"""Which requests are repeats: marked ones by their mark, unmarked ones by who asks for what again soon.

Bounded memory: two generations of fingerprints, each of at most `most` entries; the older one leaves when
the younger is full or `span_ns` has passed. A fingerprint is remembered for one to two spans.
"""

from __future__ import annotations


class Repeats:
    """`span_ns`: how soon an ask for the same object by the same client counts as its repeat."""

    def __init__(self, span_ns: int, most: int) -> None:
        self._span, self._most = span_ns, most
        self._young: dict[tuple[int, str], int] = {}
        self._old: dict[tuple[int, str], int] = {}
        self._turned_at = 0

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def failed(self, client: int, key: str, now: int) -> None:
        """`client` was refused or failed on `key`: whoever asks that again so soon repeats."""
        if len(self._young) >= self._most or now - self._turned_at > self._span:
            self._old, self._young, self._turned_at = self._young, {}, now
        self._young[client, key] = now

    def is_repeat(self, client: int, key: str, marked: bool, now: int) -> bool:
        """An ask for what was served before is none: only a failed one is ever repeated."""
        if marked:
            return True
        for rows in (self._young, self._old):
            at = rows.pop((client, key), None)
            if at is not None:
                return now - at <= self._span
        return False
