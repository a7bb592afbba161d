"""Every decision of the request router; olivecourse/interface.py defines its settings, events and actions.

The normal path follows the NetKV paper: popular objects get several hashed names on a consistent-hash ring of
caches. Checks before each attempt enforce the rules for requests that must not run twice, for draining nodes
and for nodes that were just started. Error scores, concurrency limits and fill shares (the share of a class's
requests that may cause a fill) adapt to failures and overload. Comments marked "Departure:" give the reasons
where the code differs from the paper.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import Any

from olivecourse import interface
from olivecourse.load_reports import LoadReports
from olivecourse.node_groups import NodeGroups
from olivecourse.purge_table import PurgeTable
from olivecourse.ring import rendezvous_order, ring_distance
from olivecourse.sending_times import SendingTimes
from olivecourse.sketch import HyperLogLog, LossyCounter, max_balls
from olivecourse.state import Node, PendingRequest
from olivecourse.weighted_ring import NO_LIMIT, WeightedRing

MS = 1_000_000

# Parameters of the NetKV mechanism, which hashes a popular object under several names so that several caches
# share its load.

# Interval over which the load of each object is counted and after which the popularity threshold T is chosen
# anew: long enough for some hundred requests, short compared with the duration of a rush of requests.
INTERVAL_NS = 5_000 * MS
# Share of the total load by which a count of the Lossy Counter may be too low: small enough that no object
# popular enough for a second name on the ring is pruned.
COUNT_ERROR = 0.002
# An object with at least this share of an interval's total load counts as frequent and may get several names
# on the ring; well above COUNT_ERROR.
SUPPORT = 0.01
HLL_BITS = 10  # 2 ** 10 HyperLogLog registers: about 3 % error on the number of distinct objects
# Factor of the square-root term in the formula of `max_balls` for many balls: the constant proven in the
# paper.
ALPHA = 1.0
# With up to this many caches, `max_balls` uses its formula for many balls throughout, because the formula for
# few balls holds for a large number of caches only.
FEW_CACHES = 16
# Highest accepted ratio of the estimated load of the busiest cache to the mean load of a cache: the latency
# targets tolerate about this much sharing of a link.
MAX_PEAK_TO_MEAN = 2.0
# Lowest value of the popularity threshold T, as a number of requests of mean load in an interval: each
# additional name of an object costs a fill, which pays only if the name serves this many requests.
MIN_REQUESTS_PER_NAME = 4.0
THRESHOLD_STEP = 0.85  # each trial value of the popularity threshold T is this multiple of the one before
# Points on the hash ring of a cache of mean weight (the capacity that discovery reports). With this number,
# the shares of the objects that fall to caches of equal weight differ by about 12 %.
POINTS_PER_CACHE = 64
# Delay before the next step of a change of the ring that takes several; other events are handled between.
RING_STEP_NS = 2 * MS
# The ring is stored in 2 ** RING_BUCKET_BITS sorted parts, so that a change of a point moves at most a few
# hundred others, also with thousands of caches.
RING_BUCKET_BITS = 10

# Health of caches and fill sources (parents and origins). A node's error score is a moving average of the
# outcomes of its attempts, from 0 (healthy) to 1 (failing). Its trust, from MIN_TRUST to 1, is the share of
# its normal traffic that it receives; `Router._trust` derives it from the error score.

# Weight of one outcome in the moving average that is a node's error score: of an answer, of a failed attempt
# and of a failed connection.
ANSWER_WEIGHT, FAILURE_WEIGHT, CONNECT_FAILURE_WEIGHT = 0.1, 0.3, 0.6
# Above this error score (0 healthy, 1 failing) a node counts as failing, until its score is down to
# SCORE_TOLERANCE. Where the settings let requests bypass the caches, a cache above it is skipped; if no cache
# is left, the request goes straight to a parent or origin.
FAILED_SCORE = 0.8
# The error score of a node halves in this time while no outcome updates it, so that a node that was avoided
# gradually gets trial traffic again.
SCORE_HALF_LIFE_NS = 4_000 * MS
# SCORE_TOLERANCE: excess of a node's error score (0 healthy, 1 failing) over its best peer's that is
# attributed to chance and costs no trust (share of its normal traffic that the node receives). The excess is
# measured as a part of the distance from the best peer's score to 1. TRUST_SLOPE: trust lost per unit of
# excess beyond SCORE_TOLERANCE.
SCORE_TOLERANCE, TRUST_SLOPE = 0.4, 3.0
# Lowest trust of a node, that is, the share of its normal traffic that even a failing node receives: enough
# trial traffic to notice its recovery.
MIN_TRUST = 0.02
# A parent whose trust (share of its normal traffic, from 0 to 1) is above this counts as up. The log reports
# fills as held back when the fill share of any class (share of its requests that may cause a fill) falls
# below it, until the fill share of every class is at least 1 again.
UP_THRESHOLD = 0.5
# Period of the timer that checks for overdue fills and silent caches; short compared with any latency target.
TICK_NS = 100 * MS

# Attempts, concurrency limits and fill shares. The sending time of a request is the time that its answer
# takes to be sent to the client, in ns.

# Weight of one request in the learned averages of a class's sending time (the time to send an answer to the
# client) and of the value of requests per ns of sending time.
LEARNING_RATE = 0.02
# Each new request adds RETRIES_PER_REQUEST to the number of retries that the router may still make, which is
# capped at MAX_SAVED_RETRIES. A retry takes one off, unless the attempt before it provably never ran.
RETRIES_PER_REQUEST, MAX_SAVED_RETRIES = 0.3, 20.0
# Of an object's two preferred parents, the more distant one is used if its mean fill wait (the time that a
# fill waits for the parent) is below this share of the nearer one's. A smaller difference may be noise, as a
# router sees few misses.
CLEARLY_FASTER = 0.5
# REFERENCE_ROUTERS: number of routers for which the steps of the fill shares for the shared origin were
# tuned. One fill from the origin counts for as many fills as one from a parent's own copy does, or for
# routers // REFERENCE_ROUTERS if that is more. MAX_ORIGIN_SAMPLE_WEIGHT: the most fills that one fill from
# the origin counts for; this cap wins, even if routers // REFERENCE_ROUTERS is above it.
REFERENCE_ROUTERS, MAX_ORIGIN_SAMPLE_WEIGHT = 4, 10
# One outcome that this router observes counts for as many outcomes as routers share the node, but for at most
# this many, because the routers of a zone meet the same troubles.
MAX_SAMPLE_WEIGHT = 6
# Share of a cold node's estimated safe load that is used while the node warms up; not more, because the
# weights (capacities) that discovery reports are rough estimates and traffic is bursty.
COLD_SAFETY = 0.5
# The concurrency limit of a cache (how many attempts this router may have in flight there) is multiplied by
# the first factor after an answer later than its latency target, by the second after a refusal.
LATE_LIMIT_FACTOR, REFUSED_LIMIT_FACTOR = 0.93, 0.9
# Caches after the first suitable one on the ring take a request only up to this share of their concurrency
# limits, because the misses of requests that spill over from full caches load the shared link.
SPILLOVER_SHARE = 0.5
# INITIAL_LIMIT: first concurrency limit of a node (attempts in flight) per unit of its weight (capacity from
# discovery), over all routers that share the node; the latency targets allow that transfers share a link.
# MIN_LIMIT: lowest first limit of a router for a node, and lowest sum to which the routers that share a node
# lower their limits for it; enough for the node to recover.
INITIAL_LIMIT, MIN_LIMIT = 2.5, 2.0
# Weights (capacities) from which the first concurrency limits are computed where discovery gives none: that
# of a small cache, and that of a parent or origin.
ASSUMED_WEIGHTS = 6.0, 20.0
# For each request, the concurrency limits of nodes are multiplied by (r / mean r) ** VALUE_EXPONENT, kept
# between the two bounds; r is the value of the request per ns that its answer takes to be sent to the client.
VALUE_EXPONENT, MIN_VALUE_FACTOR, MAX_VALUE_FACTOR = 0.5, 0.65, 1.25
# Delay between a failed call for the cache list and the next call; discovery is easily overloaded.
RESUBSCRIBE_NS = 1_000 * MS
# Share of a node's concurrency limit that a request may use if the client marks it as a repeat of an earlier
# one: its answer is probably late already.
REPEAT_SHARE = 0.5
# This many server errors without a stated cause, for one request, indicate a bad request rather than bad
# caches; the request is then given up.
MAX_ERRORS = 3
# A refusal within this time comes from the cache itself, which is in the router's own zone. A later one is
# attributed to the fill source, because any fill source is further away.
LOCAL_REFUSAL_NS = 5 * MS
# A fill share is the share of a class's requests that may cause a fill. A late fill multiplies it by the
# first number, a timely fill adds the second; the two balance when a sixth of the fills are late.
LATE_FILL_FACTOR, TIMELY_FILL_STEP = 0.95, 0.01
# When no fill of a class has been late for FILL_RECOVERY_DELAY_NS, the class's fill shares (shares of its
# requests that may cause a fill) are multiplied by FILL_RECOVERY_FACTOR at each tick (every TICK_NS).
FILL_RECOVERY_DELAY_NS, FILL_RECOVERY_FACTOR = 1_000 * MS, 1.04
# An early repeat cancels an attempt whose response seems lost and repeats the request while the answer can
# still be in time. A response counts as lost when the request's deadline passes although the cache has
# answered other requests since the attempt was sent. Each lost response grants CREDIT_PER_LOST_RESPONSE early
# repeats, and each early repeat that is answered in time grants one more; at most MAX_LOST_RESPONSE_CREDIT
# are saved. While no response is lost, there are no early repeats.
CREDIT_PER_LOST_RESPONSE, MAX_LOST_RESPONSE_CREDIT = 10.0, 40.0
# LOST_AFTER_FACTOR: a response is checked for loss only if the check comes later than this multiple of the
# expected response time (the time to send the answer to the client plus the mean wait for the fill source).
# REPEAT_TIME_FACTOR, REPEAT_OVERHEAD_NS: the repeat alone, without the original attempt, is expected to take
# this multiple of the time to send the answer to the client, plus this overhead.
LOST_AFTER_FACTOR, REPEAT_TIME_FACTOR, REPEAT_OVERHEAD_NS = 1.3, 1.25, 15 * MS
# Bounds of a fill share (the share of a class's requests that may cause a fill). The range above 1 is a
# reserve: a few late fills in normal operation refuse nothing.
MIN_FILL_SHARE, MAX_FILL_SHARE = 0.1, 1.5


def choose_threshold(
    counts: list[float],
    total: float,
    distinct: float,
    cache_count: int,
    max_ratio: float,
    min_threshold: float,
) -> float:
    """Returns the popularity threshold T: an object whose load exceeds T gets several names on the ring.

    It is the largest trial value with which the estimated load of the busiest cache is at most `max_ratio`
    times the mean load of a cache. If none down to `min_threshold` meets this bound, it is the one with the
    lowest estimated peak; without load or caches it is infinite, so that each object has one name. `counts`
    holds the load of each frequent object, `total` the load of all objects and `distinct` the number of
    objects.
    """
    if max(counts, default=0.0) <= 0.0 or cache_count < 1:
        return math.inf
    best, threshold = (math.inf, math.inf), max(counts)
    while threshold >= min_threshold:
        hot_counts = [count for count in counts if count > threshold]
        cold_count, cold_load = distinct - len(hot_counts), max(total - sum(hot_counts), 0.0)
        peak = max_balls(sum(hot_counts) / threshold, cache_count, ALPHA, FEW_CACHES) * threshold
        peak += (
            max_balls(cold_count, cache_count, ALPHA, FEW_CACHES) * cold_load / cold_count
            if cold_count >= 1
            else cold_load
        )
        # Departure: the estimate for cold objects (those with a load of at most T) uses only their mean load,
        # but the largest cold object goes to a single cache as a whole, so the peak is at least the load of
        # that cache.
        largest_cold = max((count for count in counts if count <= threshold), default=0.0)
        peak = max(peak, largest_cold + (total - largest_cold) / cache_count)
        if peak <= max_ratio * total / cache_count:
            return threshold
        best = min(best, (peak, threshold))
        threshold *= THRESHOLD_STEP
    return best[1]


class Router:
    """Makes all routing decisions for one gateway, without I/O: it turns events into actions.

    Call `start()` once, then `handle(event, now)` for each event; the caller executes the returned actions.
    """

    def __init__(self, settings: interface.Settings, now: int) -> None:
        self.settings, self.now = settings, now
        self.random = Random(settings.seed)
        zone_routers_here = settings.zone_routers[settings.zone : settings.zone + 1]
        self.routers_in_zone = max(
            zone_routers_here[0] if zone_routers_here and zone_routers_here[0] else settings.routers, 1
        )
        # The outcome of one fill at this router counts for this many when a fill share is adapted:
        # `sample_weight` for a fill from a parent's own copy, `origin_sample_weight` for one that the origin,
        # which all routers share, may have served.
        self.sample_weight = min(self.routers_in_zone, MAX_SAMPLE_WEIGHT)
        self.origin_sample_weight = min(
            max(self.sample_weight, settings.routers // REFERENCE_ROUTERS), MAX_ORIGIN_SAMPLE_WEIGHT
        )
        self.actions: list[interface.Action] = []
        self.nodes = dict[int, Node]()
        self.ring = WeightedRing(POINTS_PER_CACHE, RING_BUCKET_BITS)
        self.groups = NodeGroups(settings, self.ring)
        self.caches, self.parents, self.origins = (
            self.groups.caches,
            self.groups.parents,
            self.groups.origins,
        )
        # How many points of the ring may still change, which the caller may limit for each batch of events,
        # and the token of the timer that starts the next step of a larger change; 0 if there is none.
        self.ring_changes_left, self.ring_timer = NO_LIMIT, 0
        # `pending_requests`: unanswered requests by request id. `attempts`: unfinished attempts by request id
        # and attempt number, each with its send time, request, node and fill source. `timers`: request ids by
        # the token of their deadline timer.
        self.pending_requests: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], tuple[int, PendingRequest, Node, Node | None]] = {}
        self.timers, self.last_token = dict[int, str](), 0
        # `counter`, `distinct`: loads and number of objects in the current counting interval. `counts`,
        # `hot_threshold`: loads of the frequent objects in the previous interval and the popularity threshold
        # T chosen for them.
        self.counter, self.distinct = LossyCounter(COUNT_ERROR), HyperLogLog(HLL_BITS)
        self.counts, self.hot_threshold, self.next_subscribe_at = dict[str, float](), math.inf, math.inf
        # Departure: only a share of each class's requests, `fill_shares`, may cause a fill from any source.
        # The other requests are served only by a hit, or refused. A second share, `parent_fill_shares`,
        # decides which of those may still be filled with an object that a parent already holds, because such
        # fills put no load on the origin.
        self.fill_shares = [MAX_FILL_SHARE] * len(settings.classes)
        self.parent_fill_shares = list(self.fill_shares)
        self.last_late_fill_at = [now] * len(self.fill_shares)  # time of the last late fill, by class index
        # Number of timely fills since the last late one, by (class index, kind of fill). The kind is True for
        # fills from a parent's own copy, which adapt `parent_fill_shares`, and False for all other fills,
        # which adapt `fill_shares`.
        self.timely_fill_streak: dict[tuple[int, bool], int] = {}
        self.retune_at = now + INTERVAL_NS
        self.purges = PurgeTable()
        self.retry_budget, self.fills_restricted = MAX_SAVED_RETRIES, False
        # `lost_response_credit`: number of early repeats that the router may still make; lost responses grant
        # them. `lost_response_checks`: attempts (request id and attempt number) to check for a lost response,
        # by timer token.
        self.lost_response_credit, self.lost_response_checks = 0.0, dict[int, tuple[str, int]]()
        # Learned mean time that the answers of each class take to be sent to the client, in ns. It starts at
        # the latency target, which is high, because the load of an attempt on a cold node must not be
        # underestimated. `cold_budget_cost_ns`, what an attempt costs in the credit for a cold node, is a
        # second copy that is never restored from the state of an earlier process.
        self.mean_sending_ns = [float(c.aim_ns) for c in settings.classes]
        self.cold_budget_cost_ns = list(self.mean_sending_ns)
        # Hook for the memory component, which keeps learned state across restarts: called for each node that
        # is new to this router, to restore what was learned about it before.
        self.restore_node: Callable[[Node], None] = lambda unused: None
        self.limits: interface.Limits | None = None  # limits of the guard against retry storms, if one is set
        # `density`: mean of the requests' value (`RequestClass.worth`) per ns that the answer takes to be
        # sent to the client.
        self.sizes, self.reports = SendingTimes(), LoadReports(settings.report_fields)
        self.density = sum(c.worth / (c.aim_ns or 1) for c in settings.classes) / (len(settings.classes) or 1)
        self.handlers: dict[type, Callable[[Any], object]] = {
            interface.Request: self._on_request,
            interface.AttemptEnded: self._on_attempt_ended,
            interface.TimerFired: self._on_timer,
            interface.CacheList: self._on_cache_list,
            interface.Purged: self._on_purged,
            interface.ClientLeft: lambda gone: self.pending_requests.pop(gone.request, None),
        }

    def start(self) -> list[interface.Action]:
        """Returns the first actions: the periodic timer and, if the settings tell the router to ask discovery
        for the cache list, a subscription to it.
        """
        return [
            interface.SetTimer(TICK_NS, 0),
            *([interface.Subscribe(True)] if self.settings.ask_discovery else ()),
        ]

    def handle(self, event: interface.Event, now: int) -> list[interface.Action]:
        """Processes one event at time `now` (in ns) and returns the actions that the caller must execute."""
        self.now, self.actions = now, []
        self.handlers.get(type(event), lambda unused: None)(event)
        return self.actions

    def avoided(self) -> set[int]:
        """Returns the ids of nodes that get only trial traffic, because their error score says that they are
        failing, or none, because discovery does not list them as ready.
        """
        return {c for c, n in self.nodes.items() if n.failing or n.member.state is not interface.State.READY}

    # Choice of cache and source ---------------------------------------------------------------------

    def _on_request(self, request: interface.Request) -> None:
        """Registers a new request, sets its deadline timer, counts its object and sends the first attempt, or
        refuses the request if the guard against retry storms does not admit it.
        """
        request_class, flags = self.settings.classes[request.cls], request.flags
        write = request_class.write or bool(flags & interface.Flag.WRITE)
        self.density += LEARNING_RATE * (
            request_class.worth / self.mean_sending_ns[request.cls] - self.density
        )
        reported_time = (
            request.size_kb
            and self.settings.client_kb_per_s
            and request.size_kb / self.settings.client_kb_per_s * 1e9
        )
        if known_time := reported_time or self.sizes.estimate(request.object or ""):
            self._learn_sending_time(request.cls, known_time)
        sending_time = known_time or self.mean_sending_ns[request.cls]
        time_budget = request_class.deadline_ns if request.budget_ns is None else request.budget_ns
        # Departure: a cache stores each part of an object separately, so each part has a key of its own on
        # the hash ring, as if it were an object.
        key = request.object or request.request
        key = f"{key}/{request.part}" if request.part else key
        pending = self.pending_requests[request.request] = PendingRequest(
            request,
            request_class,
            self.now + time_budget,
            sending_time,
            write,
            key,
            size_known=bool(known_time),
        )
        limit_factor = min(
            max(
                (request_class.worth / sending_time / (self.density or 1.0)) ** VALUE_EXPONENT,
                MIN_VALUE_FACTOR,
            ),
            MAX_VALUE_FACTOR,
        )
        pending.limit_factor = limit_factor * REPEAT_SHARE if flags & interface.Flag.REPEAT else limit_factor
        # The random number that decides whether the request may cause a fill is drawn once per request, so
        # that a retry does not have to pass the fill share (the share of requests that may cause a fill)
        # again.
        pending.fill_draw = self.random.random()
        self.last_token += 1
        self.timers[self.last_token] = request.request
        # The timer fires just before the deadline of the request, so that the refusal or failure with which
        # the router then answers reaches the client in time.
        self.actions.append(interface.SetTimer(max(time_budget - self.settings.tick_ns, 0), self.last_token))
        if request.object is not None and not write and not flags & interface.Flag.REPEAT:
            # Departure: where sizes are reported, an object's load is the total time to send its answers to
            # clients, because the number of requests does not show that a large object fills a link.
            self.counter.add(key, sending_time if reported_time else 1.0)
            self.distinct.add(key)
        self.retry_budget = min(self.retry_budget + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)
        admitted = self.limits is None or self.limits.admit(
            request, sending_time, float(time_budget), len(self.pending_requests) - 1
        )
        (self._send if admitted else self._give_up)(pending)

    def _learn_sending_time(self, class_index: int, sending_time: float) -> None:
        """Updates a class's mean sending times (times to send an answer to the client) with one request's.

        `sending_time` is in ns; both copies of the mean, `mean_sending_ns` and `cold_budget_cost_ns`, are
        updated.
        """
        for mean_times in (self.mean_sending_ns, self.cold_budget_cost_ns):
            mean_times[class_index] += LEARNING_RATE * (sending_time - mean_times[class_index])

    def _retune(self) -> None:
        """Ends a counting interval: chooses the popularity threshold T for its frequent objects and restarts
        the counters of object loads and of distinct objects.
        """
        frequent_counts = self.counter.frequent(SUPPORT)
        self.counts = dict(frequent_counts)
        distinct_count, total_load = max(self.distinct.count(), len(frequent_counts)), self.counter.total
        self.hot_threshold = choose_threshold(
            list(self.counts.values()),
            total_load,
            distinct_count,
            len(self.caches),
            MAX_PEAK_TO_MEAN,
            MIN_REQUESTS_PER_NAME * total_load / max(self.counter.arrivals, 1),
        )
        self.counter, self.distinct = LossyCounter(COUNT_ERROR), HyperLogLog(HLL_BITS)
        self.retune_at = self.now + INTERVAL_NS

    def _name_count(self, key: str) -> int:
        """Returns under how many names an object is hashed to the ring: its load divided by the popularity
        threshold T, rounded up, and at least one.

        Departure: a load that exceeds T within the current counting interval takes effect at once, because
        popularity can rise suddenly.
        """
        load = max(self.counts.get(key, 0.0), self.counter.count(key))
        return math.ceil(load / self.hot_threshold) if load > self.hot_threshold else 1

    def _pick_cache(self, pending: PendingRequest) -> Node | None:
        """Returns the first suitable cache on the ring from the position of a random name of the object, or
        None if no cache may get the attempt.

        Departure: a cache at its limit of unanswered attempts is skipped, because a further attempt would be
        late. If all caches are at their limits, the request is refused early.
        """
        fallbacks, past_first = list[Node](), False
        for cache in self.ring.walk(f"{pending.key}#{self.random.randrange(self._name_count(pending.key))}"):
            node = self.groups.caches_by_number.get(cache)
            if (
                node is None
                or not self._may_send(node, pending)
                or self.settings.direct
                and self._error_score(node) > FAILED_SCORE
            ):
                continue
            limit = max(node.limit, node.reported_capacity) * (SPILLOVER_SHARE if past_first else 1.0)
            # An idle cache with a concurrency limit of at least one always accepts an attempt, even if the
            # request's factor reduces the limit below one.
            allowed, past_first = max(limit * pending.limit_factor, min(limit, 1.0)), True
            if not self._admits_attempt(node, allowed):
                continue
            if (
                not pending.write
                and node.member.cache not in pending.tried_caches
                and self.random.random() < self._trust(node, self.caches)
            ):
                return node
            fallbacks.append(node)
        pending.caches_full = past_first
        # Fallback order: caches that this request has tried least often, then lowest error score, then ring
        # order. A write is not cached and may have only one attempt, so it is never used to test whether a
        # failing cache has recovered; for a write the error scores are rounded, so that ring order decides
        # between caches with similar scores.
        return min(
            fallbacks,
            default=None,
            key=lambda candidate: (
                pending.tried_caches.count(candidate.member.cache),
                round(self._error_score(candidate), 1 if pending.write else 9),
            ),
        )

    def _admits_attempt(self, node: Node, allowed: float) -> bool:
        """Returns whether a node's concurrency limit `allowed` leaves room for one more attempt.

        A fractional limit is rounded up or down at random, so that limits below one add up correctly over
        many routers.
        """
        return len(node.in_flight) + self.random.random() <= allowed

    def _pick_source(self, pending: PendingRequest, as_target: bool = False) -> Node | None:
        """Returns the source for a fill: one of the first two parents in the object's hash order, else
        another parent or the origin; None if none is permitted. A write goes to the origin first.

        With `as_target`, the node receives the request itself, without a cache in between, so it must pass
        the checks of `_may_send`, not only those of `_may_use`.
        """
        permitted = self._may_send if as_target else self._may_use
        if pending.write:
            return next((n for n in [*self.origins, *self.parents] if permitted(n, pending)), None)
        # Departure: the hash order gives each parent a share of the objects in proportion to its weight (the
        # capacity that discovery reports), because with equal shares small parents were overloaded first.
        order = rendezvous_order(pending.key, [(n, n.member.weight or 1.0) for n in self.parents])

        def is_up(node: Node) -> bool:
            """Returns whether the rules for drains and cold starts permit the parent, it has not failed as
            the source of this request, and its trust (from 0 to 1, by its error score) exceeds
            UP_THRESHOLD.
            """
            return (
                node not in pending.failed_sources
                and permitted(node, pending)
                and self._trust(node, self.parents) > UP_THRESHOLD
            )

        preferred = [n for n in order[:2] if is_up(n)]
        if preferred:
            # Departure: all routers use the same one of the two preferred parents, the one nearer to their
            # zone, unless the mean fill wait of the more distant one is clearly shorter, because the mean
            # fill wait that each router measures rests on few misses.
            preferred.sort(
                key=lambda n: ring_distance(self.settings.zone_hub, n.member.zone, self.settings.zone)
            )
            second_is_faster = (preferred[-1].fill_wait_ns or math.inf) < CLEARLY_FASTER * (
                preferred[0].fill_wait_ns or 0.0
            )
            return preferred[-1 if second_is_faster else 0]
        return next(
            (n for n in [*filter(is_up, order[2:]), *self.origins, *order] if permitted(n, pending)), None
        )

    # Sending, and the checks that every attempt passes ----------------------------------------------

    def _send(self, pending: PendingRequest) -> None:
        """Sends one more attempt of a request, or refuses or fails the request if no attempt is possible."""
        node = source = None
        if (
            pending.attempts_sent < self.settings.max_attempts
            and pending.deadline - self.now > self.settings.tick_ns
        ):
            if not (pending.write and self.settings.direct):
                node = self._pick_cache(pending)
            draw, class_index = min(pending.fill_draw / pending.limit_factor, 1.0), pending.request.cls
            pending.parent_only = not pending.write and draw >= self.fill_shares[class_index]
            if node is not None and not (
                pending.parent_only and draw >= self.parent_fill_shares[class_index]
            ):
                source = self._pick_source(pending)
                if pending.parent_only and source not in self.parents:
                    # The class's fill share allows this request a fill only with a copy that a parent holds.
                    # The origin is no source for it, because the share was lowered to relieve the origin.
                    source = None
            # Departure: if no cache may get the attempt, the request goes straight to a parent or origin
            # where the settings allow it (`Settings.direct`).
            elif node is None and self.settings.direct:
                node = self._pick_source(pending, as_target=True)
                spillover = SPILLOVER_SHARE**2 if pending.caches_full else 1.0
                node = (
                    node if node is not None and self._admits_attempt(node, node.limit * spillover) else None
                )
                # A parent that gets the request itself fills from the origin; if it were named as its own
                # fill source, it could fill nothing.
                if node in self.parents:
                    source = next((used for used in self.origins if self._may_use(used, pending)), None)
        if node is None or (pending.write and source is None and node not in self.origins):
            self._give_up(pending)
            return
        remaining_ns, key = pending.deadline - self.now, (pending.request.request, pending.attempts_sent)
        pending.attempts_sent += 1
        pending.tried_caches.append(node.member.cache)
        pending.in_flight[key[1]] = (node, source)
        pending.maybe_executed.append((self.now, node))
        self.attempts[key] = (self.now, pending, node, source)
        self._schedule_lost_check(key, pending, source)
        node.in_flight[key] = self.now
        for used in (node, source) if source is not node else (node,):
            if used is not None:
                used.credit -= self.cold_budget_cost_ns[pending.request.cls]
        # The origin holds every object, so an attempt sent to it needs no fill source.
        if node in self.origins:
            self.actions.append(interface.Look(key[0], node.member.cache, remaining_ns))
            return
        max_age, purge_bound = self._max_age(pending)
        how = (
            interface.How(0)
            if pending.write or purge_bound or not self.settings.joins
            else interface.How.JOIN
        )
        how |= interface.How.RENEW if pending.request_class.fresh_ns and not pending.write else 0
        how |= interface.How.HELD_ONLY if pending.parent_only and source is not None else 0
        fill_source = (source or node).member.cache
        self.actions.append(
            interface.ReadThrough(
                key[0], node.member.cache, remaining_ns, fill_source, 0 if pending.write else 1, max_age, how
            )
        )

    def _may_send(self, node: Node, pending: PendingRequest) -> bool:
        """Returns whether an attempt may go to this node: repeating the request must be safe there, by the
        effect of its class, and the rules for drains and cold starts must allow the node.
        """
        if pending.maybe_executed and pending.request_class.effect is not interface.Effect.IDEMPOTENT:
            if pending.request_class.effect is interface.Effect.AT_MOST_ONCE:
                return False
            (sent_at, first), scope = pending.maybe_executed[0], pending.request_class.key_scope
            if (
                self.now >= sent_at + pending.request_class.key_memory_ns - self.settings.tick_ns
                or scope is interface.Scope.ZONE
                and first.member.zone != node.member.zone
                or scope is interface.Scope.CELL
                and first.member.cell != node.member.cell
            ):
                return False
        return self._may_use(node, pending)

    def _may_use(self, node: Node, pending: PendingRequest) -> bool:
        """Returns whether this node may be used as a cache or as a fill source: discovery lists it as ready,
        and if it was just started it has credit for one more attempt.
        """
        if node.member.state is not interface.State.READY or self.nodes.get(node.member.cache) is not node:
            return False
        entry, parent = node.member, node.member.kind == self.settings.parent_kind
        floor, ramp, multiple = (
            (self.settings.parent_cold_from, self.settings.parent_cold_ns, self.settings.parent_fall_multiple)
            if parent
            else (self.settings.cold_from, self.settings.cold_ns, self.settings.fall_multiple)
        )
        age = max(self.now - (entry.ready_at_ns or 0), 0)
        if not entry.ready_at_ns or entry.kind == self.settings.origin_kind or age >= ramp:
            return True
        # A cold node (one that became ready less than `ramp` ago) gets an attempt only for credit, counted in
        # ns of sending answers to clients. Credit starts from a random amount and grows by this router's
        # share of the load that the node can safely take. An attempt needs credit for the longest mean
        # sending time of a class. Credit that is unused for a window (`fall_ns`) lapses, so that a rush of
        # requests does not find every router with full credit.
        weight = (
            self.reports.min_capacity(entry, self.caches)
            if self.settings.weights == "silent"
            else entry.weight or 1.0
        )
        rate = COLD_SAFETY * multiple * (floor + (1 - floor) * age / ramp) * weight / node.sharing_routers
        cycle = (largest := max(self.cold_budget_cost_ns)) + rate * self.settings.fall_ns
        node.credit = max(node.credit + rate * (self.now - node.credit_at), 0.0) % cycle
        node.credit_at = self.now
        return node.credit >= largest

    def _max_age(self, pending: PendingRequest) -> tuple[int, bool]:
        """Returns a pair: the maximum age in ns of a cached copy that may be served, 0 for no bound; and
        whether a purge of the object or its group is in effect, so that the bound excludes older copies.
        """
        ages = [self.now - at for at in self.purges.find(pending.request.object, pending.request.group)]
        return (max(min(*ages, pending.request_class.fresh_ns or ages[0]), 1), True) if ages else (0, False)

    def _give_up(self, pending: PendingRequest) -> None:
        """Ends a request without an answer: refuses it if the client may safely retry, else fails it."""
        self.actions += [
            interface.Cancel(pending.request.request, attempt)
            for attempt in pending.in_flight
            if self.settings.cancel
        ]
        # After MAX_ERRORS server errors the request itself is taken to be at fault, and the errors do not
        # count in the error score of any node.
        if len(pending.uncharged_errors) < MAX_ERRORS:
            self._attribute_failures(pending.uncharged_errors)
        harmless = (
            pending.request_class.effect is interface.Effect.IDEMPOTENT
            or not pending.maybe_executed
            or pending.request_class.effect is interface.Effect.DEDUPLICATED
            and pending.request_class.key_scope is interface.Scope.ALL
        )
        # The client is told to wait for the longest delay that clients respect: the latency target is already
        # missed, and an early retry would only displace other requests.
        retry_delay_ns = self.settings.max_retry_after_ns if self.settings.retry_after else 0
        retry_delay_ns = (
            retry_delay_ns
            if self.limits is None
            else self.limits.retry_after_ns(pending.request, retry_delay_ns)
        )
        self.actions.append(
            interface.Refuse(pending.request.request, retry_delay_ns)
            if harmless
            else interface.Fail(pending.request.request)
        )
        del self.pending_requests[pending.request.request]

    # Outcomes ---------------------------------------------------------------------------------------

    def _on_attempt_ended(self, end: interface.AttemptEnded) -> None:
        """Records how an attempt ended, then closes, retries or gives up its request if that is still
        unanswered.
        """
        key = (end.request, end.attempt)
        if key not in self.attempts:
            return
        sent_at, pending, node, source = self.attempts.pop(key)
        node.in_flight.pop(key, None)
        self.reports.observe(node, end.report)
        pending.in_flight.pop(end.attempt, None)
        if end.status.never_ran:
            pending.maybe_executed.remove((sent_at, node))
        self._record_outcome(end, pending, node, source)
        if self.pending_requests.get(end.request) is not pending:
            return
        if end.closed:
            del self.pending_requests[end.request]
        elif (
            end.status is interface.Status.MISS and source is None or self._parent_lacks_object(end, pending)
        ):
            # The attempt could be served only by a hit or by a fill from a parent's own copy, and there was
            # neither; the fill share allows this request no other fill.
            self._give_up(pending)
        elif len(pending.uncharged_errors) >= MAX_ERRORS:
            self._give_up(pending)
        elif not pending.in_flight:
            source_failed = self._is_source_failure(end, pending, source)
            if source_failed:
                pending.failed_sources.append(source)
            # The retry need not avoid the same cache if only the fill source failed, or if the response was
            # lost on the way, because the cache then has the copy.
            if (
                source_failed
                or end.status is interface.Status.RESET
                or pending.repeated_early
                and end.status is interface.Status.CANCELLED
            ):
                pending.tried_caches.remove(node.member.cache)
            self.retry_budget -= not end.status.never_ran  # an attempt that never ran cost nothing
            may_retry = self.retry_budget >= 0 and (
                self.limits is None
                or self.limits.may_retry(
                    pending.request, node.member.cache, None if source is None else source.member.cache
                )
            )
            (self._send if may_retry else self._give_up)(pending)
            self.retry_budget = max(self.retry_budget, 0.0)

    def _record_outcome(
        self, end: interface.AttemptEnded, pending: PendingRequest, node: Node, source: Node | None
    ) -> None:
        """Updates error scores, concurrency limits, fill shares and learned times after an attempt ended."""
        note, latency, busy = end.note, end.latency_ns or 0, len(node.in_flight) + 1 >= node.limit / 2
        if self._parent_lacks_object(end, pending):
            return
        # An attempt that ended without an answer lowers the fill share (share of requests that may cause a
        # fill) only if the fill source failed. A lost response says nothing about fills, and a source that is
        # found unreachable within the latency target says nothing about overload.
        if self._is_source_failure(end, pending, source) and (
            note is not interface.Note.SOURCE_UNREACHED or latency > pending.aim
        ):
            self._adapt_fill_share(pending, False)
        if end.status in (interface.Status.CANCELLED, interface.Status.NOT_SENT, interface.Status.MISS):
            return
        if end.status is not interface.Status.CONNECT_FAILED and end.status is not interface.Status.TIMEOUT:
            node.last_answer_at = self.now
        if end.status is interface.Status.SERVED:
            aim, sample = pending.aim, min(1.0, latency / max(pending.aim, 1))
            # The fill share is adapted only by fills: a hit uses neither the shared link nor the fill source.
            # An overdue fill has already been counted as late while it was unanswered.
            if (note.filled or not note) and not pending.overdue:
                self._adapt_fill_share(
                    pending, latency <= aim, note is interface.Note.FILLED and self.settings.notes == "all"
                )
            # The latency of a fill does not depend on the load of the cache alone, so fills do not change the
            # cache's concurrency limit.
            if busy and not note.filled:
                self._adapt_limit(node, LATE_LIMIT_FACTOR if latency > aim else None, bool(note))
            if not (pending.request.size_kb or pending.write or end.same or note is interface.Note.JOINED):
                self.sizes.observe(pending.request.object or "", latency - (end.source_wait_ns or 0))
            # The request was served now, so it did not itself cause the server errors of its earlier
            # attempts: they count in the error scores of the nodes that those attempts used.
            self._attribute_failures(pending.uncharged_errors)
            if pending.repeated_early and latency < pending.aim:
                self.lost_response_credit = min(self.lost_response_credit + 1.0, MAX_LOST_RESPONSE_CREDIT)
            self._update_error_score(node, sample, ANSWER_WEIGHT)
            if source is not None and note not in (interface.Note.HIT, interface.Note.STALE):
                self._update_error_score(source, sample, ANSWER_WEIGHT)
                fill_wait = end.source_wait_ns or max(latency - pending.sending_ns, 0)
                source.fill_wait_ns = (
                    fill_wait
                    if source.fill_wait_ns is None
                    else source.fill_wait_ns + ANSWER_WEIGHT * (fill_wait - source.fill_wait_ns)
                )
            return
        if end.status is interface.Status.FULL and busy and latency <= LOCAL_REFUSAL_NS:
            self._adapt_limit(node, REFUSED_LIMIT_FACTOR)
        if self._is_source_failure(end, pending, source):
            charges = [(source or node, FAILURE_WEIGHT)]
        elif end.status is interface.Status.CONNECT_FAILED or source is None:
            charges = [(node, CONNECT_FAILURE_WEIGHT)]
        else:
            # Either the cache or its fill source may be at fault, or only one response was lost, so each node
            # is charged with half the weight. If a server is down, connection failures show it.
            charges = [(node, FAILURE_WEIGHT / 2), (source, FAILURE_WEIGHT / 2)]
        if (
            end.status is interface.Status.ERROR
            and not end.note
            and pending.request_class.effect is interface.Effect.IDEMPOTENT
        ):
            # The request itself may cause the error. Whether nodes are charged with it is decided by how
            # further attempts of the request end.
            pending.uncharged_errors.append(charges)
        else:
            self._attribute_failures([charges])

    def _attribute_failures(self, uncharged_errors: list[list[tuple[Node, float]]]) -> None:
        """Counts errors in the error scores of the nodes that may have caused them.

        `uncharged_errors` lists, for each error, the nodes to charge and the weight for each of them.
        """
        for node, weight in [charge for charges in uncharged_errors for charge in charges]:
            self._update_error_score(node, 1.0, weight)

    def _parent_lacks_object(self, end: interface.AttemptEnded, pending: PendingRequest) -> bool:
        """Returns whether an attempt that could be filled only from a parent's own copy ended without one."""
        return pending.parent_only and (
            end.status is interface.Status.MISS or end.note is interface.Note.SOURCE_LACKS
        )

    def _adapt_fill_share(self, pending: PendingRequest, timely: bool, from_parent: bool = False) -> None:
        """Raises the fill share of the request's class after a timely fill and lowers it after a late one.

        A fill share is the share of a class's requests that may cause a fill. With `from_parent`, or if the
        request could be filled only from a parent's own copy, the share for such fills is adapted instead.
        """
        class_index, from_parent = pending.request.cls, from_parent or pending.parent_only
        shares, sample_weight = (
            (self.parent_fill_shares, self.sample_weight)
            if from_parent
            else (self.fill_shares, self.origin_sample_weight)
        )
        # The steps by which timely fills raise the share grow while no fill is late; otherwise a router with
        # few fills would take a long time to return to a full share.
        timely_fill_streak = self.timely_fill_streak[class_index, from_parent] = (
            self.timely_fill_streak.get((class_index, from_parent), 0) + 1 if timely else 0
        )
        shares[class_index] = (
            min(shares[class_index] + TIMELY_FILL_STEP * sample_weight * timely_fill_streak, MAX_FILL_SHARE)
            if timely
            else max(shares[class_index] * LATE_FILL_FACTOR**sample_weight, MIN_FILL_SHARE)
        )
        if not timely:
            self.last_late_fill_at[class_index] = self.now

    def _adapt_limit(self, node: Node, factor: float | None, representative: bool = True) -> None:
        """Multiplies a cache's concurrency limit by `factor`; None raises the limit by a small step.

        A `representative` outcome is taken to occur at the other routers that share the node, too: the factor
        is applied once for each of them, up to MAX_SAMPLE_WEIGHT times.
        """
        sample_weight = min(node.sharing_routers, MAX_SAMPLE_WEIGHT) if representative else 1
        node.limit = (
            node.limit + 1 / (node.limit * node.sharing_routers)
            if factor is None
            else max(node.limit * factor**sample_weight, MIN_LIMIT / node.sharing_routers)
        )

    def _is_source_failure(
        self, end: interface.AttemptEnded, pending: PendingRequest, source: Node | None
    ) -> bool:
        """Returns whether an attempt failed because of its fill source, rather than its cache.

        That is so if the note of the outcome says so. Without a note it is also assumed for a refusal that
        came after LOCAL_REFUSAL_NS and for a server error that came after the latency target.
        """
        latency = end.latency_ns or 0
        min_latency = {interface.Status.FULL: LOCAL_REFUSAL_NS, interface.Status.ERROR: pending.aim}.get(
            end.status, math.inf
        )
        return source is not None and (end.note.of_source or not end.note and latency > min_latency)

    def _error_score(self, node: Node) -> float:
        """Returns a node's error score now, from 0 (healthy) to 1 (failing).

        It halves every SCORE_HALF_LIFE_NS while no outcome updates it.
        """
        return float(node.error_score * 0.5 ** (max(self.now - node.error_score_at, 0) / SCORE_HALF_LIFE_NS))

    def _update_error_score(self, node: Node, sample: float, weight: float) -> None:
        """Moves a node's error score towards `sample`, which runs from 0 (good outcome) to 1 (failure), by
        the share `weight` of the difference; logs when the node starts or stops counting as failing.
        """
        score = self._error_score(node)
        weight = (
            1 - (1 - weight) ** min(node.sharing_routers, MAX_SAMPLE_WEIGHT)
            if weight == ANSWER_WEIGHT
            else weight
        )
        # `node.restored_weight` is the minimum weight of an outcome after the score was restored from the
        # state of an earlier process. It lets outcomes soon overrule that score; each outcome halves it.
        weight, node.restored_weight = max(weight, node.restored_weight), node.restored_weight / 2
        # A restored score has `error_score_at` in the future and does not decay before that time, unless a
        # good outcome contradicts the score.
        node.error_score_at = max(node.error_score_at, self.now) if sample > SCORE_TOLERANCE else self.now
        node.error_score = score + weight * (sample - score)
        if (node.error_score > (SCORE_TOLERANCE if node.failing else FAILED_SCORE)) != node.failing:
            node.failing = not node.failing
            self.actions.append(
                interface.Log(f"cache {node.member.cache} {('serves again', 'fails')[node.failing]}")
            )

    def _trust(self, node: Node, peers: list[Node]) -> float:
        """Returns a node's trust: the share of its normal traffic that it receives, from MIN_TRUST to 1.

        Trust falls with the excess of the node's error score over the lowest score among `peers`, divided by
        the distance from that lowest score to 1. Without this division a failed parent would keep its traffic
        next to a parent with slow fills, whose score is raised, too.
        """
        best = min((self._error_score(n) for n in peers), default=0.0)
        excess = (self._error_score(node) - best) / max(1.0 - best, 0.1)
        return max(MIN_TRUST, 1.0 - TRUST_SLOPE * max(excess - SCORE_TOLERANCE, 0.0))

    # Time, discovery and purges ---------------------------------------------------------------------

    def _on_timer(self, fired: interface.TimerFired) -> None:
        """Handles a timer: a step of a change of the ring, a lost-response check, a request's deadline or the
        periodic tick (token 0).
        """
        if fired.token and fired.token == self.ring_timer:
            self.ring_timer = 0
            self._update_ring()
            return
        if fired.token in self.lost_response_checks:
            self._check_lost_response(self.lost_response_checks.pop(fired.token))
            return
        if fired.token:
            pending = self.pending_requests.get(self.timers.pop(fired.token, ""))
            if pending is not None:
                if any(
                    self._seems_lost(*self.attempts[pending.request.request, a]) for a in pending.in_flight
                ):
                    self.lost_response_credit = min(
                        self.lost_response_credit + CREDIT_PER_LOST_RESPONSE, MAX_LOST_RESPONSE_CREDIT
                    )
                self._give_up(pending)
            return
        self.actions.append(interface.SetTimer(TICK_NS, 0))
        for class_index, at in enumerate(self.last_late_fill_at):
            if self.now - at > FILL_RECOVERY_DELAY_NS:
                self.fill_shares[class_index] = min(
                    self.fill_shares[class_index] * FILL_RECOVERY_FACTOR, MAX_FILL_SHARE
                )
                self.parent_fill_shares[class_index] = min(
                    self.parent_fill_shares[class_index] * FILL_RECOVERY_FACTOR, MAX_FILL_SHARE
                )
        if (
            min(self.fill_shares, default=1.0) < (1.0 if self.fills_restricted else UP_THRESHOLD)
        ) != self.fills_restricted:
            self.fills_restricted = not self.fills_restricted
            self.actions.append(
                interface.Log(f"fills {'held back' if self.fills_restricted else 'free again'}")
            )
        if self.now >= self.retune_at:
            self._retune()
            self.purges.expire(self.now)
        if self.now >= self.next_subscribe_at:
            self.actions.append(interface.Subscribe(True))
            self.next_subscribe_at = float(self.now + RESUBSCRIBE_NS)
        for sent_at, pending, _, source in self.attempts.values():
            if (
                source is not None
                and pending.size_known
                and not pending.overdue
                and self.now - sent_at > pending.aim
            ):
                # A slow fill source is detected while attempts are still unanswered. Requests for an object
                # of unknown size are left out: their latency target depends on the size and is unreliable.
                pending.overdue = True
                self._update_error_score(source, 1.0, ANSWER_WEIGHT)
                self._adapt_fill_share(pending, False)
        # A cache is silent if it has answered nothing for longer than the longest latency target of any class
        # while at least two attempts wait that long. The router charges its error score and cancels those
        # attempts that can be retried.
        silence_ns = max(
            [
                0.0,
                *map(
                    lambda request_class, sending_time: (
                        request_class.aim_ns + request_class.aim_stretch * sending_time
                    ),
                    self.settings.classes,
                    self.mean_sending_ns,
                ),
            ]
        )
        for node in self.caches:
            unanswered = [
                key
                for key, sent_at in node.in_flight.items()
                if self.now - max(sent_at, node.last_answer_at) > silence_ns
            ]
            if len(unanswered) > 1:
                self._update_error_score(node, 1.0, FAILURE_WEIGHT)
                self.actions += [
                    interface.Cancel(*key)
                    for key in unanswered
                    if self.settings.cancel
                    and key[0] in self.pending_requests
                    and not self.pending_requests[key[0]].write
                    and key[1] + 1 < self.settings.max_attempts
                ]

    def _schedule_lost_check(
        self, key: tuple[str, int], pending: PendingRequest, source: Node | None
    ) -> None:
        """Sets a timer to check whether the response to the first attempt of a request was lost.

        Departure: while responses are being lost, a read of known size is checked at the last moment at which
        a repeat could still meet the latency target, but only if that is clearly later than the time at which
        the response is expected.
        """
        expected_ns = pending.sending_ns + (0.0 if source is None else source.fill_wait_ns or 0.0)
        check_delay_ns = pending.aim - REPEAT_TIME_FACTOR * pending.sending_ns - REPEAT_OVERHEAD_NS
        if (
            self.lost_response_credit >= 1.0
            and self.settings.cancel
            and not pending.write
            and pending.attempts_sent == 1
            and pending.size_known
            and pending.request_class.effect is interface.Effect.IDEMPOTENT
            and check_delay_ns > LOST_AFTER_FACTOR * expected_ns
        ):
            self.last_token += 1
            self.lost_response_checks[self.last_token] = key
            self.actions.append(interface.SetTimer(int(check_delay_ns), self.last_token))

    def _check_lost_response(self, key: tuple[str, int]) -> None:
        """Cancels an unanswered attempt, so that its request is repeated, if its response seems lost.

        Called when the timer of `_schedule_lost_check` expires; `key` is the request id and attempt number.
        """
        attempt = self.attempts.get(key)
        if (
            attempt is not None
            and key[0] in self.pending_requests
            and self.lost_response_credit >= 1.0
            and self._seems_lost(*attempt)
        ):
            self.lost_response_credit, attempt[1].repeated_early = self.lost_response_credit - 1.0, True
            self.actions.append(interface.Cancel(*key))

    def _seems_lost(self, sent_at: int, pending: PendingRequest, node: Node, source: Node | None) -> bool:
        """Returns whether only a lost response explains why an attempt is unanswered.

        That is so if its cache has answered other requests since the attempt was sent and is at most half
        full by its concurrency limit, and its fill source, if any, has a low error score.
        """
        return (
            node.last_answer_at > sent_at
            and len(node.in_flight) <= node.limit / 2
            and (source is None or self._error_score(source) <= SCORE_TOLERANCE)
        )

    def _on_cache_list(self, cache_list: interface.CacheList) -> None:
        """Applies a list of caches, parents and origins from discovery: updates the known nodes and the ring
        of this zone's caches and, after a failed call, schedules the next one.
        """
        self.next_subscribe_at = (
            self.now + RESUBSCRIBE_NS if cache_list.kind is interface.ListKind.FAILED else math.inf
        )
        if cache_list.kind in (interface.ListKind.FULL, interface.ListKind.HELD):
            listed = {entry.cache for entry in cache_list.members}
            for cache in [cache for cache in self.nodes if cache not in listed]:
                self._remove_node(cache)
        for entry in cache_list.members:
            if entry.state is interface.State.GONE:
                self._remove_node(entry.cache)
            else:
                self._apply_member(entry)
        self._update_ring()

    def _apply_member(self, entry: interface.Member) -> None:
        """Adds a node, or updates a known one; a node whose process has been started anew is a new one."""
        known = self.nodes.get(entry.cache)
        if known is not None:
            self.groups.take_out(known)
        if known is not None and known.member.ready_at_ns == entry.ready_at_ns:
            known.member = entry
            self.groups.add(known)
            return
        # No setting gives an origin's capacity, so each router learns its own concurrency limit for the
        # origin as if it alone used it.
        routers_by_kind = {
            self.settings.origin_kind: 1,
            self.settings.parent_kind: max(self.settings.routers, 1),
        }
        sharing_routers = (
            self.routers_in_zone
            if entry.kind is None
            else routers_by_kind.get(entry.kind, self.routers_in_zone)
        )
        start_weight = (
            (entry.weight or 1.0)
            if self.settings.weights != "silent"
            else ASSUMED_WEIGHTS[entry.kind in routers_by_kind]
        )
        node = self.nodes[entry.cache] = Node(
            entry,
            sharing_routers,
            last_answer_at=self.now,
            limit=max(INITIAL_LIMIT * start_weight / sharing_routers, MIN_LIMIT),
            credit_at=self.now,
            credit=self.random.random() * max(self.cold_budget_cost_ns, default=0.0),
        )
        self.restore_node(node)
        self.groups.add(node)

    def _remove_node(self, cache: int) -> None:
        node = self.nodes.pop(cache, None)
        if node is not None:
            self.groups.remove(node)

    def _update_ring(self) -> None:
        """Changes the ring towards the present caches, by up to `ring_changes_left` points. If more must
        change, a timer starts the next step. Until then the ring may lack points of new caches; those of
        removed caches are passed over.
        """
        self.ring_changes_left -= self.ring.update(self.ring_changes_left)
        if not self.ring.is_complete and not self.ring_timer:
            self.last_token += 1
            self.ring_timer = self.last_token
            self.actions.append(interface.SetTimer(RING_STEP_NS, self.ring_timer))

    def _on_purged(self, purge: interface.Purged) -> None:
        """Records a purge of an object or a group: until no cache holds the purged copies any more
        (`purge_settles_ns` after the purge was received), requests bound the age of the copies they accept.
        """
        key = purge.group if purge.object is None else purge.object  # a group is a number, an object a string
        at, settles = self.now - (purge.age_ns or 0), self.settings.purge_settles_ns
        self.purges.add(key, at, self.now + settles, self.now, 0 < settles <= self.now - at)
