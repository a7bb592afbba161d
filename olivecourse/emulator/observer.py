"""Judges a gateway or a fleet by what the stores see and the board has told, never by the fleet's own log."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping

from olivecourse.emulator.stores import Store

SOCKETS_S = 0.05  # by which every limit is longer on sockets
OWN_S = 0.05  # by which this process may itself see a thing late


class Observer:
    """`World(stores, observer.asked)`; then told of what the board tells. `broken` counts by rule."""

    def __init__(self, drain_s: float, purge_s: float, once: frozenset[str]) -> None:
        """The graces of the settings, and the classes that may not be repeated."""
        self.drain_s, self.purge_s, self._once = drain_s, purge_s, once
        self.broken: Counter[str] = Counter()
        self.told: list[str] = []  # the first cases, in words
        self._ended: dict[str, float] = {}
        self._purged: dict[str, tuple[float, int]] = {}
        self._ran: set[str] = set()
        self.asks: Counter[str] = Counter()

    def drained(self, store: str, at: float) -> None:
        """From `at` (time.monotonic) on the store counts as draining or gone."""
        self._ended.setdefault(store, at)

    def back(self, store: str) -> None:
        self._ended.pop(store, None)

    def purged(self, asset: str, at: float, unix_ms: int) -> None:
        """Told at `at` of a purge made at `unix_ms`."""
        self._purged[asset] = (at, unix_ms)

    def fault(self, rule: str, what: str) -> None:
        self.broken[rule] += 1
        if len(self.told) < 8:
            self.told.append(f"{rule}: {what}")

    def asked(self, store: Store, request: str, word: str, fields: Mapping[str, str]) -> None:
        """A request has come whole to a store, which answers it with `word`."""
        now = time.monotonic()
        self.asks[store.name] += 1
        for name in {store.name, fields.get("fetch", "")} & self._ended.keys():
            late = now - self._ended[name] - self.drain_s - SOCKETS_S - OWN_S
            if late > 0:
                self.fault("drain", f"{name} asked or named {late:.3f} s too late")
        if fields.get("sort") in self._once and word not in ("absent", "full"):
            if request in self._ran:
                self.fault("twice", f"{request} ran again at {store.name}")
            self._ran.add(request)
        purge, stamp = self._purged.get(fields.get("asset", "")), fields.get("stamp")
        if purge is not None and stamp is not None and word == "data" and int(stamp) < purge[1]:
            late = now - purge[0] - self.purge_s - SOCKETS_S - OWN_S
            if late > 0:
                self.fault("purge", f"{request} got an older copy {late:.3f} s after the grace")
