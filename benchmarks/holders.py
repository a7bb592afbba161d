"""What a summary of who holds what could be worth after the ring changed: the measurement that left it out.

The module never names a sibling box as a source, so the only use of such a summary would be to fill a moved
object from the box that held it. Simulated on the ring itself: Zipf requests, boxes that drop what was used
longest ago, then one box joins, one leaves for good, or all but one are replaced by empty ones. Counted in
the first 2,000 requests (some 12 s at 170 a second): the share that misses where it would not have, and of
these the share whose old holder is still there, is the same life, holds it, and is named by a summary of the
512 objects last answered from each box.
"""

from __future__ import annotations

import random
import statistics
from collections import OrderedDict
from typing import Any

from olivecourse.interface import Member
from olivecourse.ring import Ring
from olivecourse.state import Node

BOXES, OBJECTS, HOLDS, SUMMARY, AFTER = 4, 40_000, 2_500, 512, 2_000  # an office of 3 to 4 boxes


class Box:
    def __init__(self) -> None:
        self.held: OrderedDict[int, None] = OrderedDict()
        self.told: OrderedDict[int, None] = OrderedDict()

    def ask(self, key: int) -> bool:
        hit = key in self.held
        for kept, most in ((self.held, HOLDS), (self.told, SUMMARY)):
            kept[key] = None
            kept.move_to_end(key)
            if len(kept) > most:
                kept.popitem(last=False)
        return hit


def _ring(names: list[int]) -> Ring:
    return Ring((Node(Member(name, 8.0)), 64) for name in names)


def _home(ring: Ring, key: int) -> int:
    return next(ring.walk(f"{key:016x}#0")).member.cache


def once(seed: int, change: str) -> tuple[float, float]:
    """(share of requests that miss because of the change, share that a summary could fill from a sibling)."""
    source = random.Random(seed)
    weights = [1 / (rank + 1) ** 0.8 for rank in range(OBJECTS)]
    names = list(range(1, BOXES + 1))
    boxes = {name: Box() for name in names}
    ring = _ring(names)
    for key in source.choices(range(OBJECTS), weights, k=40_000):
        boxes[_home(ring, key)].ask(key)
    if change == "joins":
        names.append(BOXES + 1)
        boxes[BOXES + 1] = Box()
    elif change == "leaves":
        del boxes[names.pop(0)]
    else:
        for name in names[1:]:
            del boxes[name]
        names = [names[0], *range(100, 99 + BOXES)]
        boxes.update({name: Box() for name in names[1:]})
    before = {key: name for name, box in boxes.items() for key in box.held}
    told = {key: name for name, box in boxes.items() for key in box.told}
    fresh = _ring(names)
    lost = saved = 0
    for key in source.choices(range(OBJECTS), weights, k=AFTER):
        home = _home(fresh, key)
        if not boxes[home].ask(key):
            moved = _home(ring, key) != home
            lost += moved
            saved += moved and key in before and told.get(key, home) != home
    return lost / AFTER, saved / AFTER


def run(short: bool, seed: int, trials: int) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for change in ("joins", "leaves", "replaced"):
        rows = [once(seed * 100 + n, change) for n in range(trials or (2 if short else 5))]
        lost, saved = (statistics.fmean(column) for column in zip(*rows, strict=True))
        print(f"{change:9} {lost:.3f} of requests miss for it, {saved:.3f} a summary could fill")
        found[f"{change}_missed"], found[f"{change}_summary_fills"] = round(lost, 4), round(saved, 4)
    return {**found, "seed": seed}
