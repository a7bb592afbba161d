"""Checks the rules that a gateway or a fleet must keep, from what the stores and the discovery server see.

The gateways' own logs are not used.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping

from olivecourse.emulator.stores import Store

SOCKET_TOLERANCE_S = 0.05  # tolerance on every limit for delays on sockets
OBSERVER_DELAY_S = 0.05  # tolerance for delays in this process


class Observer:
    """Counts violations of the rules on drains, purges and repeated requests in `broken`, by rule.

    `asked` is the answer callback for a World.
    The caller reports the events that the discovery server publishes.
    """

    def __init__(self, drain_s: float, purge_s: float, at_most_once_classes: frozenset[str]) -> None:
        """Takes the grace periods of the settings and the classes whose requests must not run twice."""
        self.drain_s, self.purge_s, self._at_most_once = drain_s, purge_s, at_most_once_classes
        self.broken: Counter[str] = Counter()
        self.told: list[str] = []  # descriptions of the first eight violations
        self._removed_at: dict[str, float] = {}
        self._purges: dict[str, tuple[float, int]] = {}
        self._executed: set[str] = set()
        self.asks: Counter[str] = Counter()

    def drained(self, store: str, at: float) -> None:
        """Records that the store counts as draining or gone from `at` (time.monotonic) on."""
        self._removed_at.setdefault(store, at)

    def back(self, store: str) -> None:
        """Records that the store is ready again."""
        self._removed_at.pop(store, None)

    def purged(self, asset: str, at: float, unix_ms: int) -> None:
        """Records that a purge made at `unix_ms` was published at `at` (time.monotonic)."""
        self._purges[asset] = (at, unix_ms)

    def fault(self, rule: str, description: str) -> None:
        """Counts a violation of a rule and keeps its description if it is among the first eight."""
        self.broken[rule] += 1
        if len(self.told) < 8:
            self.told.append(f"{rule}: {description}")

    def asked(self, store: Store, request: str, word: str, fields: Mapping[str, str]) -> None:
        """Checks a complete request at a store that answers it with `word` against all rules."""
        now = time.monotonic()
        self.asks[store.name] += 1
        for name in {store.name, fields.get("fetch", "")} & self._removed_at.keys():
            late_s = now - self._removed_at[name] - self.drain_s - SOCKET_TOLERANCE_S - OBSERVER_DELAY_S
            if late_s > 0:
                self.fault("drain", f"{name} asked or named {late_s:.3f} s too late")
        if fields.get("sort") in self._at_most_once and word not in ("absent", "full"):
            if request in self._executed:
                self.fault("twice", f"{request} ran again at {store.name}")
            self._executed.add(request)
        latest_purge, stamp = self._purges.get(fields.get("asset", "")), fields.get("stamp")
        if latest_purge is not None and stamp is not None and word == "data" and int(stamp) < latest_purge[1]:
            late_s = now - latest_purge[0] - self.purge_s - SOCKET_TOLERANCE_S - OBSERVER_DELAY_S
            if late_s > 0:
                self.fault("purge", f"{request} got an older copy {late_s:.3f} s after the grace")
