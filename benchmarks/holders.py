"""Simulates what a summary of each store's cached objects could gain after a change of the hash ring.

Because of this measurement the program has no such summary. The decision module never fills a store from
another store of the same zone, so a summary could only help to fill an object that has moved from the store
that held it. The simulation uses the program's ring, Zipf-distributed requests and stores with LRU eviction.
Then one store joins, one leaves for good, or all but one are replaced by empty ones. Over the next 2,000
requests (some 12 s at 170 a second) it counts the share that misses because of the change, and the share that
a summary could have filled: the previous holder is still there, was not restarted, holds the object, and is
named by a summary of the 512 objects that each store served last.
"""

from __future__ import annotations

import random
import statistics
from collections import OrderedDict
from typing import Any

from olivecourse.ring import Ring

# A real site has 3 or 4 stores. CACHED_OBJECTS and SUMMARY_OBJECTS are per store; REQUESTS_AFTER is the
# number of requests counted after the change of the ring.
STORES, OBJECTS, CACHED_OBJECTS, SUMMARY_OBJECTS, REQUESTS_AFTER = 4, 40_000, 2_500, 512, 2_000


class SimulatedStore:
    """A store with an LRU cache of CACHED_OBJECTS, and a summary of the SUMMARY_OBJECTS it served last."""

    def __init__(self) -> None:
        self.held: OrderedDict[int, None] = OrderedDict()
        self.summary: OrderedDict[int, None] = OrderedDict()

    def request(self, key: int) -> bool:
        """Handles a request for the object `key`, then caches it; returns whether it was a hit."""
        hit = key in self.held
        for recent, limit in ((self.held, CACHED_OBJECTS), (self.summary, SUMMARY_OBJECTS)):
            recent[key] = None
            recent.move_to_end(key)
            if len(recent) > limit:
                recent.popitem(last=False)
        return hit


def _ring(names: list[int]) -> Ring:
    return Ring(((name, 64) for name in names), bucket_bits=10)


def _home_store(ring: Ring, key: int) -> int:
    return next(ring.walk(f"{key:016x}#0"))


def once(seed: int, change: str) -> tuple[float, float]:
    """Simulates one change of the ring: `change` is "joins", "leaves" or else a replacement of stores.

    Returns the share of requests that miss because of the change, and the share of requests that a summary
    would allow to fill from another store.
    """
    rng = random.Random(seed)
    weights = [1 / (rank + 1) ** 0.8 for rank in range(OBJECTS)]
    names = list(range(1, STORES + 1))
    stores = {name: SimulatedStore() for name in names}
    ring = _ring(names)
    for key in rng.choices(range(OBJECTS), weights, k=40_000):
        stores[_home_store(ring, key)].request(key)
    if change == "joins":
        names.append(STORES + 1)
        stores[STORES + 1] = SimulatedStore()
    elif change == "leaves":
        del stores[names.pop(0)]
    else:
        for name in names[1:]:
            del stores[name]
        names = [names[0], *range(100, 99 + STORES)]
        stores.update({name: SimulatedStore() for name in names[1:]})
    before = {key: name for name, store in stores.items() for key in store.held}
    summary = {key: name for name, store in stores.items() for key in store.summary}
    changed_ring = _ring(names)
    missed = filled_by_summary = 0
    for key in rng.choices(range(OBJECTS), weights, k=REQUESTS_AFTER):
        home = _home_store(changed_ring, key)
        if not stores[home].request(key):
            moved = _home_store(ring, key) != home
            missed += moved
            filled_by_summary += moved and key in before and summary.get(key, home) != home
    return missed / REQUESTS_AFTER, filled_by_summary / REQUESTS_AFTER


def run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    """Simulates each kind of change `trials` times and returns the mean shares."""
    found: dict[str, Any] = {}
    for change in ("joins", "leaves", "replaced"):
        rows = [once(seed * 100 + n, change) for n in range(trials or (2 if short else 5))]
        missed, filled_by_summary = (statistics.fmean(column) for column in zip(*rows, strict=True))
        print(
            f"{change:9} {missed:.3f} of requests miss for it, {filled_by_summary:.3f} a summary could fill"
        )
        found[f"{change}_missed"], found[f"{change}_summary_fills"] = (
            round(missed, 4),
            round(filled_by_summary, 4),
        )
    return {**found, "seed": seed}
