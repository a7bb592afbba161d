"""Merges the snapshot records of several Routers of one process: a planner has one Router for each forwarder.

Of values that restrict a Router (error scores, concurrency limits, the sending time left to cold stores, the
parts of requests that may fill, purges), the strictest is kept; of waiting and sending times, the mean.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

from olivecourse.memory.records import ClassRecord, Interval, PurgeRecord, Record, StoreRecord

L = TypeVar("L")
K = TypeVar("K")


def _grouped(records: Iterable[L], key: Callable[[L], K]) -> dict[K, list[L]]:
    found: dict[K, list[L]] = {}
    for record in records:
        found.setdefault(key(record), []).append(record)
    return found


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def merged(records: list[Record]) -> list[Record]:
    """Merges several Routers' snapshot records into one for each run of a store, request class and purge key.

    The counting intervals are not merged: the newest 16 are kept.
    """
    result: list[Record] = []
    stores = _grouped((x for x in records if isinstance(x, StoreRecord)), lambda s: (s.cache, s.life))
    for (cache, life), reports in stores.items():
        waits = [s.wait_ns for s in reports if s.wait_ns is not None]
        credits = [s.credit_ns for s in reports if s.credit_ns is not None]
        worst = max(reports, key=lambda s: s.pain)
        result.append(
            StoreRecord(
                cache,
                life,
                worst.pain,
                _mean(waits) if waits else None,
                min(s.limit for s in reports),
                any(s.failing for s in reports),
                min(credits) if credits else None,
                worst.pain_age_ns,
            )
        )
    classes_by = _grouped((x for x in records if isinstance(x, ClassRecord)), lambda c: c.name)
    for name, classes in classes_by.items():
        result.append(
            ClassRecord(name, _mean([c.size_ns for c in classes]), min(c.fill_part for c in classes))
        )
    for key, purges in _grouped((x for x in records if isinstance(x, PurgeRecord)), lambda p: p.key).items():
        result.append(PurgeRecord(key, min(p.age_ns for p in purges), max(p.left_ns for p in purges)))
    # Each interval counts the load of one forwarder's traffic; a restore averages them, weighted by age.
    intervals = sorted((x for x in records if isinstance(x, Interval)), key=lambda i: i.age_ns)
    return [*result, *intervals[:16]]
