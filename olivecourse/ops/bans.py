"""Which stores are out by hand: state without I/O that two processes can hold together.

A ban is the last word said of an id. Each word carries a stamp that grows, so that words may arrive in any
order, twice, or from the other process of an upgrade, and all who have heard the same words agree (a
last-writer-wins map, Shapiro et al. 2011, section 3.2.1).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

GATEWAY = ""  # said of this id, which no store has: the gateway itself takes no work
MOST_WORDS = 4096  # ids of which a word is kept; the oldest words that lift a ban go first


@dataclass(frozen=True, order=True)
class Word:
    """Said of one id: `stamp` in Unix nanoseconds, made to grow; `out` whether it bans."""

    stamp: int
    out: bool


class Bans:
    def __init__(self, unix_ns: Callable[[], int]) -> None:
        """`unix_ns` tells the time that two processes share."""
        self._unix_ns = unix_ns
        self.words: dict[str, Word] = {}
        self.out: set[str] = set()

    def say(self, store: str, out: bool) -> bool:
        """A call from the door; whether it changed anything."""
        if (store in self.out) == out:
            return False
        newest = max((w.stamp for w in self.words.values()), default=0)
        return bool(self.hear([(store, Word(max(self._unix_ns(), newest + 1), out))]))

    def hear(self, words: Iterable[tuple[str, Word]]) -> set[str]:
        """Takes words said elsewhere; returns the ids whose ban began or ended by them."""
        changed = set[str]()
        for store, word in words:
            known = self.words.get(store)
            if known is not None and word <= known:
                continue
            self.words[store] = word
            if word.out != (store in self.out):
                changed ^= {store}
                (self.out.add if word.out else self.out.discard)(store)
        if len(self.words) > MOST_WORDS:
            over = len(self.words) - MOST_WORDS
            lifts = sorted((s for s, w in self.words.items() if not w.out), key=lambda s: self.words[s])
            for store in lifts[:over]:
                del self.words[store]
        return changed
