"""Checks that gateways keep the rules on drains, purges and requests that must not run twice.

It relies on what the emulated stores receive and the discovery server publishes, not on the gateways' logs.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping

from olivecourse.emulator.stores import Store

# Both are added to each grace period (the time that gateways have to act on a drain or purge): the first for
# delays on sockets, the second for delays in this process.
SOCKET_TOLERANCE_S = 0.05
OBSERVER_DELAY_S = 0.05


class Observer:
    """Counts violations by rule in `violations`.

    The rules are "drain" (a store was used too long after its drain), "purge" (a purged copy was used too
    long after the purge) and "twice" (a request that must not run twice did). `on_answer` must be given to
    the EmulatorLoop of the stores as its `on_answer`. The caller reports the events that the discovery server
    publishes by `record_drain`, `record_ready` and `record_purge`. `request_counts` counts the requests by
    store.
    """

    def __init__(self, drain_s: float, purge_s: float, at_most_once_classes: frozenset[str]) -> None:
        """Takes the gateways' grace periods in seconds after a drain and after a purge was published.

        Requests of `at_most_once_classes` must not run twice.
        """
        self.drain_s, self.purge_s, self._at_most_once = drain_s, purge_s, at_most_once_classes
        self.violations: Counter[str] = Counter()
        self.first_violations: list[str] = []  # descriptions of the first eight violations
        self._removed_at: dict[str, float] = {}
        self._purges: dict[str, tuple[float, int]] = {}
        self._executed: set[str] = set()
        self.request_counts: Counter[str] = Counter()

    def record_drain(self, store: str, at: float) -> None:
        """Records that discovery published at `at` (time.monotonic) that the store is draining or gone.

        Once the grace period for drains is over, a request to the store is a violation, and so is one to
        another store that names it as the source of a fill.
        """
        self._removed_at.setdefault(store, at)

    def record_ready(self, store: str) -> None:
        """Records that the store is ready again, so that requests to it are allowed."""
        self._removed_at.pop(store, None)

    def record_purge(self, asset: str, at: float, unix_ms: int) -> None:
        """Records that a purge of the object `asset` was published at `at` (time.monotonic).

        `unix_ms` is the Unix time of the purge; copies issued before it must not be used after the grace
        period.
        """
        self._purges[asset] = (at, unix_ms)

    def record_violation(self, rule: str, description: str) -> None:
        """Counts a violation of `rule`; `first_violations` keeps the descriptions of the first eight."""
        self.violations[rule] += 1
        if len(self.first_violations) < 8:
            self.first_violations.append(f"{rule}: {description}")

    def on_answer(self, store: Store, request: str, word: str, fields: Mapping[str, str]) -> None:
        """Checks one request, which a store has received completely, against all rules.

        `word` is the first word of the store's answer, such as "data" or "absent"; `fields` are those of the
        request and the answer.
        """
        now = time.monotonic()
        self.request_counts[store.name] += 1
        for name in {store.name, fields.get("fetch", "")} & self._removed_at.keys():
            late_s = now - self._removed_at[name] - self.drain_s - SOCKET_TOLERANCE_S - OBSERVER_DELAY_S
            if late_s > 0:
                self.record_violation("drain", f"{name} asked or named {late_s:.3f} s too late")
        if fields.get("sort") in self._at_most_once and word not in ("absent", "full"):
            if request in self._executed:
                self.record_violation("twice", f"{request} ran again at {store.name}")
            self._executed.add(request)
        latest_purge, stamp = self._purges.get(fields.get("asset", "")), fields.get("stamp")
        if latest_purge is not None and stamp is not None and word == "data" and int(stamp) < latest_purge[1]:
            late_s = now - latest_purge[0] - self.purge_s - SOCKET_TOLERANCE_S - OBSERVER_DELAY_S
            if late_s > 0:
                self.record_violation("purge", f"{request} got an older copy {late_s:.3f} s after the grace")
