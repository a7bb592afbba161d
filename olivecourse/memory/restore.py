"""Restores a snapshot as the starting state of a Router, which is at most as permissive as a fresh start.

A record can only lower what a fresh start allows: the trust in a store that failed (the share of its normal
traffic that it gets) and its concurrency limit, the part of a class's requests that may fill, where fills
were late, and the sending time that may be requested from a cold store. Purges are added. The exceptions are
the load counts of frequently requested (hot) objects, the popularity threshold T (the load above which an
object gets further stores) and the sending times of classes: these may rise as well, since they imply no
trust. The sending times by which the budgets of cold stores are charged stay those of a fresh start.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from olivecourse.choice import (
    MAX_FILL_SHARE,
    MAX_PEAK_TO_MEAN,
    MIN_REQUESTS_PER_NAME,
    SCORE_TOLERANCE,
    TRUST_SLOPE,
    Router,
    choose_threshold,
)
from olivecourse.memory.decay import Elapsed, Kind, Policy
from olivecourse.memory.records import Interval, Snapshot, StoreRecord
from olivecourse.state import Node

# Minimum weight of the next answer of a store in the moving average that is its error score, if the score was
# restored from a snapshot; each answer halves this minimum.
DOUBT = 0.6
# Delay before the restored error score of a store starts to decay, for a new record (weight 1); a lower
# weight by age shortens it in proportion. Without the delay a store that gets no requests would be trusted
# again after less than 3 s, and half of the attempts sent to stores with a lasting fault were due to that.
# Any good answer ends the delay.
HOLD_NS = 5_000_000_000
MIN_WEIGHT = 0.01  # saved records of a lower weight by age, and lower error scores, are ignored


def max_error_score(trust_floor: float) -> float:
    """The error score at which a store beside a healthy one keeps the share `trust_floor` of its traffic."""
    return SCORE_TOLERANCE + (1.0 - trust_floor) / TRUST_SLOPE


@dataclass
class DropCounts:
    """Number of snapshot records that were not restored, by reason, for the log line about the restore."""

    counts: dict[str, int] = field(default_factory=dict)

    def add(self, reason: str, count: int = 1) -> None:
        """Counts `count` snapshot records that were not restored for `reason`; ignores 0."""
        if count:
            self.counts[reason] = self.counts.get(reason, 0) + count


class SnapshotRestore:
    """Restores one snapshot into one Router.

    `elapsed` is the age of the snapshot at `began`, when this object was created; `began` and all `now` are
    in ns on the caller's clock. `begin` restores what does not depend on stores. The Router then asks for the
    record of each store when it first learns of that store. Once the stores are known, `update_threshold`
    chooses the popularity threshold T, the load above which an object is assigned further stores.
    """

    def __init__(self, snapshot: Snapshot, elapsed: Elapsed, began: int, policy: Policy) -> None:
        self._snapshot, self._elapsed, self._began, self._policy = snapshot, elapsed, began, policy
        self._stores = {s.cache: s for s in snapshot.stores}
        self.dropped = DropCounts()
        self.restored: dict[str, int] = {"stores": 0, "classes": 0, "hot": 0, "purges": 0}

    @property
    def age_ns(self) -> int:
        """The age of the snapshot when this object was created, in ns."""
        return self._elapsed.ns

    def _weight(self, kind: Kind, extra_ns: int = 0, now: int | None = None) -> float:
        if not self._elapsed.known:
            return 0.0
        since_began = 0 if now is None else max(now - self._began, 0)
        return self._policy.weight(kind, self._elapsed.ns + since_began + extra_ns)

    def begin(self, router: Router, now: int) -> None:
        """Restores request classes, counts of hot objects and purges, and prepares the restore of stores.

        Must be called before the Router's first event.
        """
        self._classes(router)
        self._hot(router, now)
        self._purges(router, now)
        router.restore_node = lambda node: self._store(router, node)

    def _classes(self, router: Router) -> None:
        times_weight, fills_weight = self._weight(Kind.TIMES), self._weight(Kind.FILLS)
        known = {c.name: c for c in self._snapshot.classes}
        self.dropped.add("class_unknown", len(set(known) - {c.name for c in router.settings.classes}))
        if times_weight < MIN_WEIGHT:
            self.dropped.add("sending_times_old", len(known))
            return
        for i, cls in enumerate(router.settings.classes):
            record = known.get(cls.name)
            if record is None:
                continue
            router.mean_sending_ns[i] += times_weight * (record.size_ns - router.mean_sending_ns[i])
            router.fill_shares[i] = min(
                router.fill_shares[i], MAX_FILL_SHARE + fills_weight * (record.fill_part - MAX_FILL_SHARE)
            )
            self.restored["classes"] += 1
        router.density = times_weight * self._snapshot.density

    def _hot(self, router: Router, now: int) -> None:
        """Restores the load counts of hot objects: the mean of the saved intervals, weighted by their age."""
        weighted = [(self._weight(Kind.HOT, i.age_ns), i) for i in self._snapshot.intervals]
        weighted = [(w, i) for w, i in weighted if w >= MIN_WEIGHT]
        self.dropped.add("intervals_old", len(self._snapshot.intervals) - len(weighted))
        if not weighted:
            return
        newest, total = max(w for w, _ in weighted), sum(w for w, _ in weighted)
        counts: dict[str, float] = {}
        for weight, interval in weighted:
            for key, amount in interval.counts.items():
                counts[key] = counts.get(key, 0.0) + weight * amount / total
        # The counts are scaled by the weight of the newest interval: an object that was hot long ago must be
        # requested again before it is assigned a further store.
        router.counts = {key: amount * newest for key, amount in counts.items()}
        last = min((i for _, i in weighted), key=lambda i: i.age_ns)
        router.hot_threshold = last.t
        self.restored["hot"] = len(counts)

    def _purges(self, router: Router, now: int) -> None:
        """Restores the purges that may still be in force.

        If the time since the snapshot is certain, it is subtracted from the time that each purge had left. If
        it is uncertain, each purge stays in force for all the time that it had left at the snapshot, but its
        full period does not begin anew.
        """
        passed = self._elapsed.at_least_ns
        for purge in self._snapshot.purges:
            left = purge.left_ns - passed
            if left <= 0:
                self.dropped.add("purges_settled")
                continue
            # `at` is when the purge was issued; only copies made after it may be served. If the time since
            # the snapshot is uncertain, the purge counts as issued now, so that no older copy is served.
            at = now - (purge.age_ns + passed if self._elapsed.certain else 0)
            known_at, known_until = router.purges.get(purge.key, (at, 0))
            router.purges[purge.key] = (max(at, known_at), max(now + left, known_until))
            self.restored["purges"] += 1

    def _store(self, router: Router, node: Node) -> None:
        """Restores the record of a store of which the Router has just learned.

        A record of another run, from before a restart of the store, is not restored.
        """
        record = self._stores.get(node.member.cache)
        if record is None:
            return
        if record.life != node.member.life or not record.life:
            self.dropped.add("store_another_life")
            return
        self._restrain(node, record)
        weight = self._weight(Kind.PAIN, record.pain_age_ns, router.now)
        error_score = min(record.pain * weight, max_error_score(self._policy.trust_floor))
        if error_score >= MIN_WEIGHT:
            node.error_score, node.error_score_at, node.restored_weight = (
                error_score,
                router.now + int(weight * HOLD_NS),
                DOUBT,
            )
            node.failing = record.failing and error_score > SCORE_TOLERANCE
        wait_weight = self._weight(Kind.WAIT, now=router.now)
        if record.wait_ns is not None and wait_weight >= MIN_WEIGHT:
            node.fill_wait_ns = record.wait_ns
        self.restored["stores"] += 1

    def _restrain(self, node: Node, record: StoreRecord) -> None:
        """Lowers the concurrency limit and, for a cold store, the sending time that may be requested from it.

        A saved value above that of a fresh start changes nothing.
        """
        weight = self._weight(Kind.LIMIT)
        if record.limit < node.limit:
            node.limit += weight * (record.limit - node.limit)
        if record.credit_ns is not None:
            node.credit = min(node.credit, record.credit_ns)

    def update_threshold(self, router: Router) -> bool:
        """Sets the Router's popularity threshold T (the load above which an object gets further stores).

        It is chosen anew, because the number of stores may differ from that at the snapshot.

        Returns False if the Router knows no store yet, and must then be called again.
        """
        if not router.caches:
            return False
        last = min(self._snapshot.intervals, key=lambda i: i.age_ns, default=None)
        if router.counts and last is not None:
            router.hot_threshold = self.threshold(router, last)
        return True

    @staticmethod
    def threshold(router: Router, last: Interval) -> float:
        """The popularity threshold T (see `update_threshold`) for the restored load counts of the Router.

        `last` is the newest saved counting interval. Its total load is reduced in proportion to the counts,
        which were reduced by age.
        """
        decayed = sum(router.counts.values()) / max(sum(last.counts.values()), 1e-9)
        total = max(last.total * min(decayed, 1.0), sum(router.counts.values()))
        return choose_threshold(
            list(router.counts.values()),
            total,
            max(last.distinct, len(router.counts)),
            len(router.caches),
            MAX_PEAK_TO_MEAN,
            MIN_REQUESTS_PER_NAME * last.total / max(last.arrivals, 1),
        )
