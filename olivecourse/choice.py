"""Every decision of the request router; olivecourse/interface.py defines its settings, events and actions.

The normal path follows NetKV: popular objects get several hashed names on a consistent-hash ring. Guards
enforce the rules for effects, drains and cold starts. Error scores, concurrency limits and fill shares adapt
to failures and overload. Comments marked "Departure:" give the reasons where the code differs from the paper.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import Any

from olivecourse import interface as w
from olivecourse.purge_table import PurgeTable
from olivecourse.reports import LoadReports
from olivecourse.ring import Ring, rendezvous_order, ring_distance
from olivecourse.sizes import Sizes
from olivecourse.sketch import HyperLogLog, LossyCounter, max_balls
from olivecourse.state import Node, PendingRequest

MS = 1_000_000

# Parameters of the NetKV mechanism.

# Counting interval: long enough for some hundred requests, short compared with a rush of requests.
INTERVAL_NS = 5_000 * MS
# Relative error of the Lossy Counter, small enough that no object that deserves a second name is pruned.
COUNT_ERROR = 0.002
# Share of an interval's load that makes an object a candidate for several names, well above COUNT_ERROR.
SUPPORT = 0.01
HLL_BITS = 10  # gives about 3 % error on the number of distinct objects
ALPHA = 1.0  # spread factor in the second form of MaxBalls: the constant proven in the paper
# MaxBalls uses its second form for up to this many caches, because the first form holds for large n only.
FEW_CACHES = 16
# Highest accepted ratio of peak to mean load: the latency targets tolerate about this much link sharing.
BOUND = 2.0
# Mean number of requests in an interval that an additional name must serve to be worth its fill.
NAME_WORTH = 4.0
THRESHOLD_STEP = 0.85  # ratio between successive trial values of the threshold T
POINTS_PER_CACHE = 64  # ring points of a cache of mean weight; key shares then differ by about 12 %

# Health of caches and sources. An error score runs from 0 (healthy) to 1 (failing).

# Weight in the error score of an answer, of a failed attempt and of a failed connection.
ANSWER_WEIGHT, FAILURE_WEIGHT, CONNECT_FAILURE_WEIGHT = 0.1, 0.3, 0.6
# Above this error score a node counts as failing. Where a request may bypass the caches, a cache above it is
# skipped and the request goes straight to a parent or origin.
FAILED_SCORE = 0.8
# The error score of a node that sends no answers halves in this time, so that the node gradually gets trial
# traffic.
SCORE_HALF_LIFE_NS = 4_000 * MS
# SLACK: excess of a node's error score over its best peer's that is attributed to chance.
# STEEP: trust lost per unit of excess beyond SLACK.
SLACK, STEEP = 0.4, 3.0
MIN_TRUST = 0.02  # trust of the worst node: enough trial traffic to notice its recovery
# A source whose trust is above this counts as up; fills count as held back when a fill share is below it.
UP_THRESHOLD = 0.5
TICK_NS = 100 * MS  # period of the health check; short compared with any latency target

# Attempts, limits and fill shares.

LEARNING_RATE = 0.02  # weight of one request in the learned mean sending times and mean worth density
# Retries that each request adds to the retry budget, and the most retries the budget can hold.
RETRIES_PER_REQUEST, MAX_SAVED_RETRIES = 0.3, 20.0
# A parent counts as faster when its mean fill wait is below this share of the other parent's; a smaller
# difference may be noise, as a router sees few misses.
CLEARLY_FASTER = 0.5
# REFERENCE_ROUTERS: number of routers for which the step sizes for the shared origin were tuned.
# MAX_ORIGIN_SAMPLE_WEIGHT: one event at the origin counts for at most this many events.
REFERENCE_ROUTERS, MAX_ORIGIN_SAMPLE_WEIGHT = 4, 10
# One event at this router counts for at most this many events, because the routers of a zone meet the same
# troubles.
MAX_SAMPLE_WEIGHT = 6
# Share of the cold-start budget that is spent; weights are rough estimates and traffic is bursty.
COLD_SAFETY = 0.5
# A late answer and a refusal multiply the concurrency limit of the cache by these factors.
LATE_LIMIT_FACTOR, REFUSED_LIMIT_FACTOR = 0.93, 0.9
# A cache takes requests that spill over from full caches only up to this share of its limit, because the
# resulting misses load the shared link.
SPILLOVER_SHARE = 0.5
# INITIAL_LIMIT: first concurrency limit per unit of weight, as the latency targets allow a shared link.
# MIN_LIMIT: lowest limit, enough for the cache to recover.
INITIAL_LIMIT, MIN_LIMIT = 2.5, 2.0
# Where discovery gives no weights, limits start from these: the capacity of a small cache, and that of a
# parent or origin.
ASSUMED_WEIGHTS = 6.0, 20.0
# Limits are scaled by a request's worth per sending time, relative to the mean, raised to VALUE_EXPONENT and
# kept between the two bounds.
VALUE_EXPONENT, MIN_VALUE_FACTOR, MAX_VALUE_FACTOR = 0.5, 0.65, 1.25
# Delay between a failed call for the cache list and the next call; discovery is easily overloaded.
RESUBSCRIBE_NS = 1_000 * MS
# Share of a limit that a request repeated by the client may use: its answer is probably late already.
REPEAT_SHARE = 0.5
# This many plain server errors in succession indicate a bad request rather than bad caches.
MAX_ERRORS = 3
# A cache in the router's own zone sends its own refusals within this time; any fill source is further away.
LOCAL_REFUSAL_NS = 5 * MS
# Multiplier of the fill share after a late fill and increment after a timely one; the two balance when a
# sixth of the fills are late.
LATE_FILL_FACTOR, TIMELY_FILL_STEP = 0.95, 0.01
# When no fill has been late for this delay, the fill share grows by this factor at each tick.
FILL_RECOVERY_DELAY_NS, FILL_RECOVERY_FACTOR = 1_000 * MS, 1.04
# A response counts as lost when the deadline passes for an attempt whose cache has answered other requests
# since. Each lost response grants this many early repeats, and each early repeat that is answered in time
# grants one more. While no response is lost, there are no early repeats.
CREDIT_PER_LOST_RESPONSE, MAX_LOST_RESPONSE_CREDIT = 10.0, 40.0
# LOST_AFTER_FACTOR: multiple of the expected time after which a response seems lost.
# REPEAT_TIME_FACTOR, REPEAT_OVERHEAD_NS: a repeat takes this multiple of the sending time plus this overhead.
LOST_AFTER_FACTOR, REPEAT_TIME_FACTOR, REPEAT_OVERHEAD_NS = 1.3, 1.25, 15 * MS
# Bounds of a fill share. The range above 1 is a reserve: a few late fills in normal operation refuse nothing.
MIN_FILL_SHARE, MOST_FILLS = 0.1, 1.5


def choose_t(
    counts: list[float],
    total: float,
    distinct: float,
    cache_count: int,
    max_ratio: float,
    min_threshold: float,
) -> float:
    """Returns the largest threshold T whose estimated peak load is at most `max_ratio` times the mean.

    If no trial value down to `min_threshold` meets the bound, the one with the lowest estimated peak is
    returned. `counts` holds the load of each frequent object, `total` the load of all objects and `distinct`
    the number of objects.
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
        # Departure: the estimate for cold objects uses only their mean load, but the largest cold object goes
        # to a single cache as a whole, so the peak is at least that cache's load.
        largest_cold = max((count for count in counts if count <= threshold), default=0.0)
        peak = max(peak, largest_cold + (total - largest_cold) / cache_count)
        if peak <= max_ratio * total / cache_count:
            return threshold
        best = min(best, (peak, threshold))
        threshold *= THRESHOLD_STEP
    return best[1]


class Router:
    """Makes all routing decisions for one gateway.

    Call `start()` once, then `handle(event, now)` for each event.
    """

    def __init__(self, settings: w.Settings, now: int) -> None:
        self.s, self.now = settings, now
        self.random = Random(settings.seed)
        zone_routers_here = settings.zone_routers[settings.zone : settings.zone + 1]
        self.routers_in_zone = max(
            zone_routers_here[0] if zone_routers_here and zone_routers_here[0] else settings.routers, 1
        )
        # Number of events that one event here counts for: at a cache of the zone, and at the origin
        # that all routers share.
        self.sample_weight = min(self.routers_in_zone, MAX_SAMPLE_WEIGHT)
        self.origin_sample_weight = min(
            max(self.sample_weight, settings.routers // REFERENCE_ROUTERS), MAX_ORIGIN_SAMPLE_WEIGHT
        )
        self.actions: list[w.Action] = []
        self.nodes, self.ring = dict[int, Node](), Ring()
        self.caches, self.parents, self.origins = list[Node](), list[Node](), list[Node]()
        # Unanswered requests by request id; attempts by request id and attempt number, with their send time,
        # request, cache and fill source; request ids by the token of their deadline timer.
        self.held: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], tuple[int, PendingRequest, Node, Node | None]] = {}
        self.timers, self.last_token = dict[int, str](), 0
        # Load counts of the current interval; frequent objects of the previous interval and the threshold T.
        self.counter, self.distinct = LossyCounter(COUNT_ERROR), HyperLogLog(HLL_BITS)
        self.counts, self.t, self.next_subscribe_at = dict[str, float](), math.inf, math.inf
        # Departure: only a share of each class's requests may cause a fill. The other requests are served
        # only by a hit, or refused. A second share applies to fills with objects that a parent already holds,
        # because such fills put no load on the origin.
        self.fills = [MOST_FILLS] * len(settings.classes)
        self.near = list(self.fills)
        self.late_at = [now] * len(self.fills)  # time of the last late fill, by class
        self.streak: dict[tuple[int, bool], int] = {}  # timely fills since the last late fill
        self.retune_at = now + INTERVAL_NS
        self.purges = PurgeTable()
        self.retry_budget, self.fills_restricted = MAX_SAVED_RETRIES, False
        # Number of early repeats that lost responses have granted, and attempts to check for a lost response,
        # by timer token.
        self.lost, self.looks = 0.0, dict[int, tuple[str, int]]()
        # Learned mean sending time of each class, in ns. It starts at the latency target, which is high,
        # because the cold-start budget must not be underestimated. Cold-start budgets use a second copy that
        # is never restored from memory.
        self.size_ns = [float(c.aim_ns) for c in settings.classes]
        self.price_ns = list(self.size_ns)
        # Hook for the memory component: restores the remembered state of a node that is new to this router.
        self.recall: Callable[[Node], None] = lambda unused: None
        self.limits: w.Limits | None = None  # limits of the storm guard, if one is set
        # `density` is the mean worth of a request per ns of sending time.
        self.sizes, self.reports = Sizes(), LoadReports(settings.report_fields)
        self.density = sum(c.worth / (c.aim_ns or 1) for c in settings.classes) / (len(settings.classes) or 1)
        self.handlers: dict[type, Callable[[Any], object]] = {
            w.Request: self._on_request,
            w.AttemptEnded: self._on_attempt_ended,
            w.TimerFired: self._on_timer,
            w.CacheList: self._on_cache_list,
            w.Purged: self._on_purged,
            w.ClientLeft: lambda gone: self.held.pop(gone.request, None),
        }

    def start(self) -> list[w.Action]:
        """Returns the first actions: the periodic timer and, if discovery must be asked, a subscription."""
        return [w.SetTimer(TICK_NS, 0), *([w.Subscribe(True)] if self.s.ask_discovery else ())]

    def handle(self, event: w.Event, now: int) -> list[w.Action]:
        """Processes one event at time `now` (in ns) and returns the resulting actions."""
        self.now, self.actions = now, []
        self.handlers.get(type(event), lambda unused: None)(event)
        return self.actions

    def avoided(self) -> set[int]:
        """Returns the ids of nodes that get only trial traffic or none, as they are failing or not ready."""
        return {c for c, n in self.nodes.items() if n.failing or n.member.state is not w.State.READY}

    # Choice of cache and source ---------------------------------------------------------------------

    def _on_request(self, ask: w.Request) -> None:
        """Registers a new request, sets its deadline timer, counts its object and sends the first attempt."""
        request_class, flags = self.s.classes[ask.cls], ask.flags
        write = request_class.write or bool(flags & w.Flag.WRITE)
        self.density += LEARNING_RATE * (request_class.worth / self.size_ns[ask.cls] - self.density)
        reported_time = ask.size_kb and self.s.client_kb_per_s and ask.size_kb / self.s.client_kb_per_s * 1e9
        if known_time := reported_time or self.sizes.estimate(ask.object or ""):
            self._learn_sending_time(ask.cls, known_time)
        sending_time = known_time or self.size_ns[ask.cls]
        time_budget = request_class.deadline_ns if ask.budget_ns is None else ask.budget_ns
        # Departure: a cache stores each part of an object separately, so each part is an object of its own on
        # the ring.
        key = ask.object or ask.request
        key = f"{key}/{ask.part}" if ask.part else key
        pending = self.held[ask.request] = PendingRequest(
            ask, request_class, self.now + time_budget, sending_time, write, key, size_known=bool(known_time)
        )
        limit_factor = min(
            max(
                (request_class.worth / sending_time / (self.density or 1.0)) ** VALUE_EXPONENT,
                MIN_VALUE_FACTOR,
            ),
            MAX_VALUE_FACTOR,
        )
        pending.limit_factor = limit_factor * REPEAT_SHARE if flags & w.Flag.REPEAT else limit_factor
        # The draw is made once per request, so that a retry does not have to pass the fill share again.
        pending.fill_draw = self.random.random()
        self.last_token += 1
        self.timers[self.last_token] = ask.request
        # The timer fires just before the deadline, so that the router's own answer arrives before the request
        # is overdue.
        self.actions.append(w.SetTimer(max(time_budget - self.s.tick_ns, 0), self.last_token))
        if ask.object is not None and not write and not flags & w.Flag.REPEAT:
            # Departure: where sizes are reported, load is measured in sending time, because the number of
            # requests does not show that a large object fills a link.
            self.counter.add(key, sending_time if reported_time else 1.0)
            self.distinct.add(key)
        self.retry_budget = min(self.retry_budget + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)
        admitted = self.limits is None or self.limits.admit(
            ask, sending_time, float(time_budget), len(self.held) - 1
        )
        (self._send if admitted else self._give_up)(pending)

    def _learn_sending_time(self, class_index: int, sending_time: float) -> None:
        """Updates the mean sending times of a class with one request's sending time in ns."""
        for mean_times in (self.size_ns, self.price_ns):
            mean_times[class_index] += LEARNING_RATE * (sending_time - mean_times[class_index])

    def _retune(self) -> None:
        """Ends a counting interval: chooses T for its frequent objects and restarts the counters."""
        frequent_counts = self.counter.frequent(SUPPORT)
        self.counts = dict(frequent_counts)
        distinct_count, total_load = max(self.distinct.count(), len(frequent_counts)), self.counter.total
        self.t = choose_t(
            list(self.counts.values()),
            total_load,
            distinct_count,
            len(self.caches),
            BOUND,
            NAME_WORTH * total_load / max(self.counter.arrivals, 1),
        )
        self.counter, self.distinct = LossyCounter(COUNT_ERROR), HyperLogLog(HLL_BITS)
        self.retune_at = self.now + INTERVAL_NS

    def _names(self, key: str) -> int:
        """Returns how many names an object has on the ring: its load divided by T, at least one.

        Departure: a count that exceeds T within the current interval takes effect at once, because popularity
        can rise suddenly.
        """
        load = max(self.counts.get(key, 0.0), self.counter.count(key))
        return math.ceil(load / self.t) if load > self.t else 1

    def _pick_cache(self, pending: PendingRequest) -> Node | None:
        """Returns the first suitable cache on the ring from the position of a random name of the object.

        Departure: a cache at its limit of unanswered attempts is skipped, because a further attempt would be
        late. If all caches are at their limits, the request is refused early.
        """
        fallbacks, past_first = list[Node](), False
        for node in self.ring.walk(f"{pending.key}#{self.random.randrange(self._names(pending.key))}"):
            if not self._may_send(node, pending) or self.s.direct and self._pain(node) > FAILED_SCORE:
                continue
            limit = max(node.limit, node.bears) * (SPILLOVER_SHARE if past_first else 1.0)
            # An idle cache with a limit of at least one always accepts an attempt.
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
        # Fallback order: caches tried least often, then lowest error score, then ring order. A write is not
        # cached and may have only one attempt, so it is never trial traffic; its error scores are rounded so
        # that ring order decides between similar caches.
        return min(
            fallbacks,
            default=None,
            key=lambda candidate: (
                pending.tried_caches.count(candidate.member.cache),
                round(self._pain(candidate), 1 if pending.write else 9),
            ),
        )

    def _admits_attempt(self, node: Node, allowed: float) -> bool:
        """Returns whether the node has room for one more attempt, at random for a fractional limit.

        With a random decision, limits below one add up correctly over many routers.
        """
        return len(node.in_flight) + self.random.random() <= allowed

    def _pick_source(self, pending: PendingRequest, as_target: bool = False) -> Node | None:
        """Returns the source for a fill: one of the object's first two parents, another parent or the origin.

        With `as_target`, the result receives the request itself, without a cache in between, so it must pass
        the checks of an attempt.
        """
        permitted = self._may_send if as_target else self._may_use
        if pending.write:
            return next((n for n in [*self.origins, *self.parents] if permitted(n, pending)), None)
        # Departure: the hash order respects the parents' weights, because with equal shares small parents
        # overloaded first.
        order = rendezvous_order(pending.key, [(n, n.member.weight or 1.0) for n in self.parents])

        def is_up(node: Node) -> bool:
            """Returns whether a parent is usable, has not failed for this request and is trusted enough."""
            return (
                node not in pending.failed_sources
                and permitted(node, pending)
                and self._trust(node, self.parents) > UP_THRESHOLD
            )

        preferred = [n for n in order[:2] if is_up(n)]
        if preferred:
            # Departure: all routers use the same parent, the nearer one, unless the other is clearly faster,
            # because each router's mean fill wait rests on few misses.
            preferred.sort(key=lambda n: ring_distance(self.s.zone_hub, n.member.zone, self.s.zone))
            second_is_faster = (preferred[-1].wait or math.inf) < CLEARLY_FASTER * (preferred[0].wait or 0.0)
            return preferred[-1 if second_is_faster else 0]
        return next(
            (n for n in [*filter(is_up, order[2:]), *self.origins, *order] if permitted(n, pending)), None
        )

    # Sending, and the checks that every attempt passes ----------------------------------------------

    def _send(self, pending: PendingRequest) -> None:
        """Sends one more attempt, or gives the final answer if no attempt is possible."""
        node = source = None
        if pending.sent < self.s.max_attempts and pending.deadline - self.now > self.s.tick_ns:
            if not (pending.write and self.s.direct):
                node = self._pick_cache(pending)
            draw, class_index = min(pending.fill_draw / pending.limit_factor, 1.0), pending.ask.cls
            pending.near = not pending.write and draw >= self.fills[class_index]
            if node is not None and not (pending.near and draw >= self.near[class_index]):
                source = self._pick_source(pending)
                if pending.near and source not in self.parents:
                    # This request may be filled only with a copy that a parent holds. The origin is no source
                    # for it, because the origin must be relieved.
                    source = None
            # Departure: a request without a usable cache bypasses the caches where the settings allow it.
            elif node is None and self.s.direct:
                node = self._pick_source(pending, as_target=True)
                spillover = SPILLOVER_SHARE**2 if pending.caches_full else 1.0
                node = (
                    node if node is not None and self._admits_attempt(node, node.limit * spillover) else None
                )
                # The parent fills from the origin; naming the parent as its own source would fill nothing.
                if node in self.parents:
                    source = next((used for used in self.origins if self._may_use(used, pending)), None)
        if node is None or (pending.write and source is None and node not in self.origins):
            self._give_up(pending)
            return
        remaining_ns, key = pending.deadline - self.now, (pending.ask.request, pending.sent)
        pending.sent += 1
        pending.tried_caches.append(node.member.cache)
        pending.in_flight[key[1]] = (node, source)
        pending.maybe_executed.append((self.now, node))
        self.attempts[key] = (self.now, pending, node, source)
        self._schedule_lost_check(key, pending, source)
        node.in_flight[key] = self.now
        for used in (node, source) if source is not node else (node,):
            if used is not None:
                used.credit -= self.price_ns[pending.ask.cls]
        # The origin holds every object, so the request needs no fill source.
        if node in self.origins:
            self.actions.append(w.Look(key[0], node.member.cache, remaining_ns))
            return
        max_age, purge_bound = self._max_age(pending)
        how = w.How(0) if pending.write or purge_bound or not self.s.joins else w.How.JOIN
        how |= w.How.RENEW if pending.request_class.fresh_ns and not pending.write else 0
        how |= w.How.HELD_ONLY if pending.near and source is not None else 0
        fill_source = (source or node).member.cache
        self.actions.append(
            w.ReadThrough(
                key[0], node.member.cache, remaining_ns, fill_source, 0 if pending.write else 1, max_age, how
            )
        )

    def _may_send(self, node: Node, pending: PendingRequest) -> bool:
        """Returns whether effect rules, drains and cold starts allow an attempt through this node."""
        if pending.maybe_executed and pending.request_class.effect is not w.Effect.IDEMPOTENT:
            if pending.request_class.effect is w.Effect.AT_MOST_ONCE:
                return False
            (sent_at, first), scope = pending.maybe_executed[0], pending.request_class.key_scope
            if (
                self.now >= sent_at + pending.request_class.key_memory_ns - self.s.tick_ns
                or scope is w.Scope.ZONE
                and first.member.zone != node.member.zone
                or scope is w.Scope.CELL
                and first.member.cell != node.member.cell
            ):
                return False
        return self._may_use(node, pending)

    def _may_use(self, node: Node, pending: PendingRequest) -> bool:
        """Returns whether drains and cold starts allow this node as a cache or as a fill source."""
        if node.member.state is not w.State.READY or self.nodes.get(node.member.cache) is not node:
            return False
        entry, parent = node.member, node.member.kind == self.s.parent_kind
        floor, ramp, multiple = (
            (self.s.parent_cold_from, self.s.parent_cold_ns, self.s.parent_fall_multiple)
            if parent
            else (self.s.cold_from, self.s.cold_ns, self.s.fall_multiple)
        )
        age = max(self.now - (entry.ready_at_ns or 0), 0)
        if not entry.ready_at_ns or entry.kind == self.s.origin_kind or age >= ramp:
            return True
        # Credit pays for attempts at a cold node. It grows by this router's share of the node's safe
        # capacity, starting from a random amount, and one attempt needs credit for the longest sending time.
        # Credit that is unused for a window lapses, so that a rush of requests does not find every router
        # with full credit.
        weight = (
            self.reports.min_capacity(entry, self.caches)
            if self.s.weights == "silent"
            else entry.weight or 1.0
        )
        rate = COLD_SAFETY * multiple * (floor + (1 - floor) * age / ramp) * weight / node.sharing_routers
        cycle = (largest := max(self.price_ns)) + rate * self.s.fall_ns
        node.credit = max(node.credit + rate * (self.now - node.credit_at), 0.0) % cycle
        node.credit_at = self.now
        return node.credit >= largest

    def _max_age(self, pending: PendingRequest) -> tuple[int, bool]:
        """Returns the maximum age of a usable copy in ns, 0 for no bound, and whether a purge sets it."""
        ages = [self.now - at for at in self.purges.find(pending.ask.object, pending.ask.group)]
        return (max(min(*ages, pending.request_class.fresh_ns or ages[0]), 1), True) if ages else (0, False)

    def _give_up(self, pending: PendingRequest) -> None:
        """Ends the request at once: refuses it if the client may safely retry, else fails it."""
        self.actions += [
            w.Cancel(pending.ask.request, attempt) for attempt in pending.in_flight if self.s.cancel
        ]
        # After MAX_ERRORS errors no store can use the request, and no node is charged with the errors.
        if len(pending.uncharged_errors) < MAX_ERRORS:
            self._attribute_failures(pending.uncharged_errors)
        harmless = (
            pending.request_class.effect is w.Effect.IDEMPOTENT
            or not pending.maybe_executed
            or pending.request_class.effect is w.Effect.DEDUPLICATED
            and pending.request_class.key_scope is w.Scope.ALL
        )
        # The delay is the longest that clients respect: the latency target is already missed, and an early
        # retry would only displace other requests.
        retry_delay_ns = self.s.max_retry_after_ns if self.s.retry_after else 0
        retry_delay_ns = (
            retry_delay_ns if self.limits is None else self.limits.wait(pending.ask, retry_delay_ns)
        )
        self.actions.append(
            w.Refuse(pending.ask.request, retry_delay_ns) if harmless else w.Fail(pending.ask.request)
        )
        del self.held[pending.ask.request]

    # Outcomes ---------------------------------------------------------------------------------------

    def _on_attempt_ended(self, end: w.AttemptEnded) -> None:
        """Records how an attempt ended, then closes, retries or gives up its request."""
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
        if self.held.get(end.request) is not pending:
            return
        if end.closed:
            del self.held[end.request]
        elif end.status is w.Status.MISS and source is None or self._parent_lacks_object(end, pending):
            # The attempt could only be served by a hit, or by a fill with an object that a parent holds.
            self._give_up(pending)
        elif len(pending.uncharged_errors) >= MAX_ERRORS:
            self._give_up(pending)
        elif not pending.in_flight:
            source_failed = self._is_source_failure(end, pending, source)
            if source_failed:
                pending.failed_sources.append(source)
            # The retry may use the same cache if only its source failed, or if its response was lost, because
            # the cache then has the copy.
            if (
                source_failed
                or end.status is w.Status.RESET
                or pending.repeated_early
                and end.status is w.Status.CANCELLED
            ):
                pending.tried_caches.remove(node.member.cache)
            self.retry_budget -= not end.status.never_ran  # an attempt that never ran cost nothing
            may_retry = self.retry_budget >= 0 and (
                self.limits is None
                or self.limits.again(
                    pending.ask, node.member.cache, None if source is None else source.member.cache
                )
            )
            (self._send if may_retry else self._give_up)(pending)
            self.retry_budget = max(self.retry_budget, 0.0)

    def _record_outcome(
        self, end: w.AttemptEnded, pending: PendingRequest, node: Node, source: Node | None
    ) -> None:
        """Updates error scores, limits, fill shares and learned times from the outcome of an attempt."""
        note, latency, busy = end.note, end.latency_ns or 0, len(node.in_flight) + 1 >= node.limit / 2
        if self._parent_lacks_object(end, pending):
            return
        # The fill share is lowered only if the source failed. A lost response says nothing about fills, and a
        # source that is found unreachable quickly says nothing about overload.
        if self._is_source_failure(end, pending, source) and (
            note is not w.Note.SOURCE_UNREACHED or latency > pending.aim
        ):
            self._adapt_fill_share(pending, False)
        if end.status in (w.Status.CANCELLED, w.Status.NOT_SENT, w.Status.MISS):
            return
        if end.status is not w.Status.CONNECT_FAILED and end.status is not w.Status.TIMEOUT:
            node.heard = self.now
        if end.status is w.Status.SERVED:
            aim, sample = pending.aim, min(1.0, latency / max(pending.aim, 1))
            # A hit uses neither the link nor the source, and an overdue fill has already been counted as
            # late.
            if (note.filled or not note) and not pending.overdue:
                self._adapt_fill_share(
                    pending, latency <= aim, note is w.Note.FILLED and self.s.notes == "all"
                )
            # The latency of a fill does not depend on the load of the cache alone, so fills do not change its
            # limit.
            if busy and not note.filled:
                self._adapt_limit(node, LATE_LIMIT_FACTOR if latency > aim else None, bool(note))
            if not (pending.ask.size_kb or pending.write or end.same or note is w.Note.JOINED):
                self.sizes.saw(pending.ask.object or "", latency - (end.source_wait_ns or 0))
            # The request itself did not cause its earlier errors, as it was served now, so nodes are charged.
            self._attribute_failures(pending.uncharged_errors)
            if pending.repeated_early and latency < pending.aim:
                self.lost = min(self.lost + 1.0, MAX_LOST_RESPONSE_CREDIT)
            self._update_error_score(node, sample, ANSWER_WEIGHT)
            if source is not None and note not in (w.Note.HIT, w.Note.STALE):
                self._update_error_score(source, sample, ANSWER_WEIGHT)
                fill_wait = end.source_wait_ns or max(latency - pending.size_ns, 0)
                source.wait = (
                    fill_wait
                    if source.wait is None
                    else source.wait + ANSWER_WEIGHT * (fill_wait - source.wait)
                )
            return
        if end.status is w.Status.FULL and busy and latency <= LOCAL_REFUSAL_NS:
            self._adapt_limit(node, REFUSED_LIMIT_FACTOR)
        if self._is_source_failure(end, pending, source):
            charges = [(source or node, FAILURE_WEIGHT)]
        elif end.status is w.Status.CONNECT_FAILED or source is None:
            charges = [(node, CONNECT_FAILURE_WEIGHT)]
        else:
            # Either the cache or its source may be at fault, or a single response was lost. If a server is
            # down, connection failures show it.
            charges = [(node, FAILURE_WEIGHT / 2), (source, FAILURE_WEIGHT / 2)]
        if (
            end.status is w.Status.ERROR
            and not end.note
            and pending.request_class.effect is w.Effect.IDEMPOTENT
        ):
            # The request itself may cause the error; its outcome at other caches decides.
            pending.uncharged_errors.append(charges)
        else:
            self._attribute_failures([charges])

    def _attribute_failures(self, uncharged_errors: list[list[tuple[Node, float]]]) -> None:
        """Charges recorded errors to the error scores of the nodes that may have caused them."""
        for node, weight in [charge for charges in uncharged_errors for charge in charges]:
            self._update_error_score(node, 1.0, weight)

    def _parent_lacks_object(self, end: w.AttemptEnded, pending: PendingRequest) -> bool:
        """Returns whether a fill that may use only a parent's own copy found that the parent has none."""
        return pending.near and (end.status is w.Status.MISS or end.note is w.Note.SOURCE_LACKS)

    def _adapt_fill_share(self, pending: PendingRequest, timely: bool, from_parent: bool = False) -> None:
        """Raises the fill share of the request's class after a timely fill and lowers it after a late one."""
        class_index, from_parent = pending.ask.cls, from_parent or pending.near
        shares, sample_weight = (
            (self.near, self.sample_weight) if from_parent else (self.fills, self.origin_sample_weight)
        )
        # The steps grow while no fill is late; otherwise a router with few fills would need a long time to
        # recover.
        streak = self.streak[class_index, from_parent] = (
            self.streak.get((class_index, from_parent), 0) + 1 if timely else 0
        )
        shares[class_index] = (
            min(shares[class_index] + TIMELY_FILL_STEP * sample_weight * streak, MOST_FILLS)
            if timely
            else max(shares[class_index] * LATE_FILL_FACTOR**sample_weight, MIN_FILL_SHARE)
        )
        if not timely:
            self.late_at[class_index] = self.now

    def _adapt_limit(self, node: Node, factor: float | None, representative: bool = True) -> None:
        """Multiplies a cache's concurrency limit by `factor`, or raises the limit if `factor` is None.

        A `representative` outcome also stands for the other routers that share the node.
        """
        sample_weight = min(node.sharing_routers, MAX_SAMPLE_WEIGHT) if representative else 1
        node.limit = (
            node.limit + 1 / (node.limit * node.sharing_routers)
            if factor is None
            else max(node.limit * factor**sample_weight, MIN_LIMIT / node.sharing_routers)
        )

    def _is_source_failure(self, end: w.AttemptEnded, pending: PendingRequest, source: Node | None) -> bool:
        """Returns whether the source of the fill failed, rather than the cache.

        That is so if the outcome says so; without a note also if a refusal comes from further away than the
        cache, or an error comes after the latency target.
        """
        latency = end.latency_ns or 0
        min_latency = {w.Status.FULL: LOCAL_REFUSAL_NS, w.Status.ERROR: pending.aim}.get(end.status, math.inf)
        return source is not None and (end.note.of_source or not end.note and latency > min_latency)

    def _pain(self, node: Node) -> float:
        """Returns the node's current error score, which decays exponentially while no answer arrives."""
        return float(node.pain * 0.5 ** (max(self.now - node.pain_at, 0) / SCORE_HALF_LIFE_NS))

    def _update_error_score(self, node: Node, sample: float, weight: float) -> None:
        """Moves a node's error score towards `sample`, from 0 (good) to 1 (failed); logs health changes."""
        score = self._pain(node)
        weight = (
            1 - (1 - weight) ** min(node.sharing_routers, MAX_SAMPLE_WEIGHT)
            if weight == ANSWER_WEIGHT
            else weight
        )
        # Each answer halves the minimum weight, so that answers soon overrule a score restored from memory.
        weight, node.taught = max(weight, node.taught), node.taught / 2
        # A score restored from memory does not decay before its hold time ends, unless a good answer
        # contradicts it.
        node.pain_at = max(node.pain_at, self.now) if sample > SLACK else self.now
        node.pain = score + weight * (sample - score)
        if (node.pain > (SLACK if node.failing else FAILED_SCORE)) != node.failing:
            node.failing = not node.failing
            self.actions.append(w.Log(f"cache {node.member.cache} {('serves again', 'fails')[node.failing]}"))

    def _trust(self, node: Node, peers: list[Node]) -> float:
        """Returns the share of its normal traffic that a node receives, from MIN_TRUST to 1.

        Trust falls with the excess of the node's error score over its best peer's, relative to the remaining
        range above that peer. Without this scaling a failed parent would keep its traffic next to a parent
        with slow fills.
        """
        best = min((self._pain(n) for n in peers), default=0.0)
        excess = (self._pain(node) - best) / max(1.0 - best, 0.1)
        return max(MIN_TRUST, 1.0 - STEEP * max(excess - SLACK, 0.0))

    # Time, discovery and purges ---------------------------------------------------------------------

    def _on_timer(self, fired: w.TimerFired) -> None:
        """Handles a timer: a lost-response check, a request's deadline or the periodic tick (token 0)."""
        if fired.token in self.looks:
            self._check_lost_response(self.looks.pop(fired.token))
            return
        if fired.token:
            pending = self.held.get(self.timers.pop(fired.token, ""))
            if pending is not None:
                if any(self._seems_lost(*self.attempts[pending.ask.request, a]) for a in pending.in_flight):
                    self.lost = min(self.lost + CREDIT_PER_LOST_RESPONSE, MAX_LOST_RESPONSE_CREDIT)
                self._give_up(pending)
            return
        self.actions.append(w.SetTimer(TICK_NS, 0))
        for class_index, at in enumerate(self.late_at):
            if self.now - at > FILL_RECOVERY_DELAY_NS:
                self.fills[class_index] = min(self.fills[class_index] * FILL_RECOVERY_FACTOR, MOST_FILLS)
                self.near[class_index] = min(self.near[class_index] * FILL_RECOVERY_FACTOR, MOST_FILLS)
        if (
            min(self.fills, default=1.0) < (1.0 if self.fills_restricted else UP_THRESHOLD)
        ) != self.fills_restricted:
            self.fills_restricted = not self.fills_restricted
            self.actions.append(w.Log(f"fills {'held back' if self.fills_restricted else 'free again'}"))
        if self.now >= self.retune_at:
            self._retune()
            self.purges.expire(self.now)
        if self.now >= self.next_subscribe_at:
            self.actions.append(w.Subscribe(True))
            self.next_subscribe_at = float(self.now + RESUBSCRIBE_NS)
        for sent_at, pending, _, source in self.attempts.values():
            if (
                source is not None
                and pending.size_known
                and not pending.overdue
                and self.now - sent_at > pending.aim
            ):
                # A slow source is detected while attempts are still unanswered. Requests of unknown size are
                # left out, because their latency target is unreliable.
                pending.overdue = True
                self._update_error_score(source, 1.0, ANSWER_WEIGHT)
                self._adapt_fill_share(pending, False)
        # A cache that answers nothing while several attempts wait beyond the longest latency target is
        # silent: the router cancels those attempts.
        silence_ns = max(
            [
                0.0,
                *map(
                    lambda request_class, sending_time: (
                        request_class.aim_ns + request_class.aim_stretch * sending_time
                    ),
                    self.s.classes,
                    self.size_ns,
                ),
            ]
        )
        for node in self.caches:
            unanswered = [
                key
                for key, sent_at in node.in_flight.items()
                if self.now - max(sent_at, node.heard) > silence_ns
            ]
            if len(unanswered) > 1:
                self._update_error_score(node, 1.0, FAILURE_WEIGHT)
                self.actions += [
                    w.Cancel(*key)
                    for key in unanswered
                    if self.s.cancel
                    and key[0] in self.held
                    and not self.held[key[0]].write
                    and key[1] + 1 < self.s.max_attempts
                ]

    def _schedule_lost_check(
        self, key: tuple[str, int], pending: PendingRequest, source: Node | None
    ) -> None:
        """Sets a timer to check whether the response to a first attempt was lost.

        Departure: while responses are being lost, a read is checked at the last moment at which a repeat
        would still be in time, but only if that is clearly later than the expected response.
        """
        expected_ns = pending.size_ns + (0.0 if source is None else source.wait or 0.0)
        check_delay_ns = pending.aim - REPEAT_TIME_FACTOR * pending.size_ns - REPEAT_OVERHEAD_NS
        if (
            self.lost >= 1.0
            and self.s.cancel
            and not pending.write
            and pending.sent == 1
            and pending.size_known
            and pending.request_class.effect is w.Effect.IDEMPOTENT
            and check_delay_ns > LOST_AFTER_FACTOR * expected_ns
        ):
            self.last_token += 1
            self.looks[self.last_token] = key
            self.actions.append(w.SetTimer(int(check_delay_ns), self.last_token))

    def _check_lost_response(self, key: tuple[str, int]) -> None:
        """Cancels the attempt, so that it is repeated once, if only a lost response explains the delay."""
        attempt = self.attempts.get(key)
        if attempt is not None and key[0] in self.held and self.lost >= 1.0 and self._seems_lost(*attempt):
            self.lost, attempt[1].repeated_early = self.lost - 1.0, True
            self.actions.append(w.Cancel(*key))

    def _seems_lost(self, sent_at: int, pending: PendingRequest, node: Node, source: Node | None) -> bool:
        """Returns whether only a lost response explains why an attempt is unanswered.

        That is so if its cache has answered other requests since and has room, and its source is healthy.
        """
        return (
            node.heard > sent_at
            and len(node.in_flight) <= node.limit / 2
            and (source is None or self._pain(source) <= SLACK)
        )

    def _on_cache_list(self, cache_list: w.CacheList) -> None:
        """Applies a list from discovery: updates the nodes and rebuilds the ring."""
        self.next_subscribe_at = (
            self.now + RESUBSCRIBE_NS if cache_list.kind is w.ListKind.FAILED else math.inf
        )
        old = self.nodes
        self.nodes = {} if cache_list.kind in (w.ListKind.FULL, w.ListKind.HELD) else dict(old)
        for entry in cache_list.members:
            known = old.get(entry.cache)
            if entry.state is w.State.GONE:
                self.nodes.pop(entry.cache, None)
            elif known is None or known.member.ready_at_ns != entry.ready_at_ns:
                # No setting gives an origin's capacity, so each router learns its own limit for the origin.
                routers_by_kind = {self.s.origin_kind: 1, self.s.parent_kind: max(self.s.routers, 1)}
                sharing_routers = (
                    self.routers_in_zone
                    if entry.kind is None
                    else routers_by_kind.get(entry.kind, self.routers_in_zone)
                )
                start_weight = (
                    (entry.weight or 1.0)
                    if self.s.weights != "silent"
                    else ASSUMED_WEIGHTS[entry.kind in routers_by_kind]
                )
                initial_limit = max(INITIAL_LIMIT * start_weight / sharing_routers, MIN_LIMIT)
                self.nodes[entry.cache] = Node(
                    entry,
                    sharing_routers,
                    heard=self.now,
                    limit=initial_limit,
                    credit_at=self.now,
                    credit=self.random.random() * max(self.price_ns, default=0.0),
                )
                self.recall(self.nodes[entry.cache])
            else:
                known.member = entry
                self.nodes[entry.cache] = known
        ready = [self.nodes[c] for c in sorted(self.nodes) if self.nodes[c].member.state is w.State.READY]
        kind_of_parents, kind_of_origins = self.s.parent_kind, self.s.origin_kind
        self.parents = [n for n in ready if n.member.kind == kind_of_parents and kind_of_parents >= 0]
        self.origins = [n for n in ready if n.member.kind == kind_of_origins]
        self.caches = [
            n
            for n in ready
            if n.member.kind not in (kind_of_parents, kind_of_origins) and n.member.zone == self.s.zone
        ]
        mean_weight = sum(n.member.weight or 1.0 for n in self.caches) / max(len(self.caches), 1)
        self.ring = Ring(
            (n, max(1, round(POINTS_PER_CACHE * (n.member.weight or 1.0) / mean_weight))) for n in self.caches
        )

    def _on_purged(self, purge: w.Purged) -> None:
        """Records a purge, which bounds the age of usable copies until the purge settles."""
        key = purge.group if purge.object is None else purge.object  # a group is a number, an object a string
        at, settles = self.now - (purge.age_ns or 0), self.s.purge_settles_ns
        self.purges.add(key, at, self.now + settles, self.now, 0 < settles <= self.now - at)
