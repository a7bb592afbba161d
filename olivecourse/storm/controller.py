"""The storm controller: the limits that a Router applies while a retry storm lasts.

The controller observes the events and actions of one Router, which chooses stores for requests. It limits
nothing until a storm is detected, so that normal operation is the same as without a controller. The rates and
waiting times that it measures in normal operation are the starting point of the limits when a storm begins.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass

from olivecourse import interface
from olivecourse.storm.admission import (
    AdmissionController,
    AdmissionRequest,
    Aimd,
    Gradient,
    Limiter,
    Verdict,
)
from olivecourse.storm.budgets import BudgetPolicy, RetryBudgets
from olivecourse.storm.detector import BIN_NS, ShareDetector, StormMonitor
from olivecourse.storm.retry_after import ComplianceTracker
from olivecourse.storm.retry_schedule import RetrySchedule
from olivecourse.storm.retry_tracker import RetryTracker

MS = 1_000_000
RATE_DECAY = 0.9  # weight of the old average of a request rate at each bin of 100 ms: about 1 s of memory
BEST_RATE_DECAY = 0.998  # multiplies the best rate of served requests every 100 ms: half of it after 35 s
# Client retries may always use this part of the best rate of served requests, so that refused clients get
# served.
MIN_SPARE_PART = 0.05
MAX_BUCKETS = 4096  # token buckets of the retry budgets: one per request class, store and fill source
# Clients whose Retry-After compliance is tracked, and failed requests in each of the two tables of the retry
# tracker: at most about 4 MB in all.
MAX_CLIENTS, MAX_FAILURES = 16_384, 16_384
# A client's request counts as a retry if its request for the same object failed within this time.
RETRY_WINDOW_NS = 5_000 * MS


@dataclass(frozen=True, slots=True)
class Policy:
    """The operator's settings of storm detection and limits, as `section.StormSection` describes them.

    `on` and `off` are the detector's levels (0: no sign of a storm, 1: certain) at which a storm begins and
    ends.
    """

    on: float = 0.3
    off: float = 0.15
    limiter: str = "aimd"  # what limits open requests: "aimd" (`Aimd`) or "gradient" (`Gradient`)
    target_wait_ns: int = 150 * MS  # a wait beyond it, sending time excluded, lowers "aimd"'s limit
    budget: BudgetPolicy = BudgetPolicy()  # limits the gateway's own retry attempts


@dataclass(slots=True)
class OpenRequest:
    """A client request that has not ended; `in_flight` is the number of other open requests at its start."""

    began: int  # when the Router received it, in ns
    cost_ns: float  # expected time to send the answer
    in_flight: int
    cls: int  # index of its request class in the settings
    client: int | None
    key: str  # object and part, as OBJECT/PART
    source: int | None = None  # id of the parent or origin that the last attempt fills from


class Rates:
    """Moving averages of first tries and of served requests a second; the best recent rate of the latter."""

    def __init__(self, now: int) -> None:
        self._bin_start, self._first, self._useful = now, 0, 0
        self.first_per_s = self.useful_per_s = self.best_per_s = 0.0

    def first(self) -> None:
        """Counts a client request that is not a retry."""
        self._first += 1

    def useful(self) -> None:
        """Counts a request that was served."""
        self._useful += 1

    def advance(self, now: int) -> None:
        """Updates the rates for each ended bin of 100 ms, but for at most 100 bins after a stall."""
        for _ in range(min((now - self._bin_start) // BIN_NS, 100)):
            per_s = 1e9 / BIN_NS
            self.first_per_s += (1 - RATE_DECAY) * (self._first * per_s - self.first_per_s)
            self.useful_per_s += (1 - RATE_DECAY) * (self._useful * per_s - self.useful_per_s)
            self.best_per_s = max(self.best_per_s * BEST_RATE_DECAY, self.useful_per_s)
            self._first = self._useful = 0
        self._bin_start += (now - self._bin_start) // BIN_NS * BIN_NS

    def spare_per_s(self) -> float:
        """Client retries a second that can be served: the best rate of served requests less first tries."""
        return max(self.best_per_s - self.first_per_s, MIN_SPARE_PART * self.best_per_s)


class StormController:
    """Detects storms and limits one Router during them.

    `uniform` returns random numbers from 0 to 1, by which the times of client retries are spread.
    """

    def __init__(
        self, policy: Policy, settings: interface.Settings, now: int, uniform: Callable[[], float]
    ) -> None:
        self._classes, self._now = settings.classes, now
        self.monitor = StormMonitor(ShareDetector(), now, policy.on, policy.off)
        limiter: Limiter = Gradient() if policy.limiter == "gradient" else Aimd(policy.target_wait_ns)
        self.admission = AdmissionController(limiter)
        self.budgets = RetryBudgets(policy.budget, MAX_BUCKETS)
        self.schedule = RetrySchedule(max(settings.max_retry_after_ns, BIN_NS), uniform)
        self.rates = Rates(now)
        self.retries, self.compliance = (
            RetryTracker(RETRY_WINDOW_NS, MAX_FAILURES),
            ComplianceTracker(MAX_CLIENTS),
        )
        # Set by `on_event` for the request that arrived last, and used when the Router calls `admit` for it:
        # its id, whether it is a client retry, and the factor (0.25 to 1) of its worth, lower if its client
        # ignores Retry-After.
        self._request, self._is_retry, self._weight = "", False, 1.0
        self._open: dict[str, OpenRequest] = {}  # by request id
        # Rejections since the start: of requests by admission verdict, and of retry attempts by their
        # budgets.
        self.rejected = {"late": 0, "crowded": 0, "budget": 0}

    def apply_settings(self, settings: interface.Settings) -> None:
        """Applies the request classes of changed `settings`; the measured rates and present limits stay."""
        self._classes = settings.classes

    # Limits that the Router applies (interface.Limits) -------------------------------------------------

    def admit(self, request: interface.Request, cost_ns: float, left_ns: float, open_: int) -> bool:
        """Whether to accept a new request while `open_` others are open; always True outside a storm.

        `cost_ns` is the expected time to send the answer and `left_ns` the time until the request's deadline.
        """
        self._open[request.request] = OpenRequest(
            self._now, cost_ns, open_, request.cls, request.client, self._key(request)
        )
        if not self.monitor.storm:
            return True
        cls = self._classes[request.cls]
        retry, weight = (self._is_retry, self._weight) if request.request == self._request else (False, 1.0)
        candidate = AdmissionRequest(cls.worth, max(cost_ns, 1.0), left_ns, cls.write, retry, weight)
        verdict = self.admission.admit(candidate, open_)
        if verdict is not Verdict.ADMIT:
            self.rejected[verdict.value] += 1
        return verdict is Verdict.ADMIT

    def may_retry(self, request: interface.Request, cache: int, source: int | None) -> bool:
        """Whether the gateway may try again after an attempt through `cache` and fill source `source` failed.

        Always True outside a storm. During one, the retry budgets of the request class, the store and the
        fill source must each have a token, which is taken.
        """
        if not self.monitor.storm or self.budgets.spend(
            self._bucket_names(request.cls, cache, source), self._now
        ):
            return True
        self.rejected["budget"] += 1
        return False

    def retry_after_ns(self, request: interface.Request, longest_ns: int) -> int:
        """The Retry-After time for a refused request in ns, at most `longest_ns`.

        Outside a storm it is `longest_ns`; in a storm, a place in the retry schedule is reserved.
        """
        if not self.monitor.storm:
            return longest_ns
        self.schedule.set_capacity(self.rates.spare_per_s())
        return min(self.schedule.reserve(self._now), longest_ns)

    @staticmethod
    def _bucket_names(cls: int, cache: int, source: int | None) -> tuple[Hashable, ...]:
        names: tuple[Hashable, ...] = (("class", cls), ("store", cache))
        return names if source is None else (*names, ("source", source))

    # Observation of the Router's events and actions -----------------------------------------------------

    def on_event(self, event: interface.Event, now: int) -> None:
        """Observes an event before the Router handles it: `admit` must know whether a request is a retry."""
        self._now = now
        if isinstance(event, interface.Request):
            marked, client = bool(event.flags & interface.Flag.REPEAT), event.client
            self._request = event.request
            self._is_retry = (
                marked if client is None else self.retries.is_retry(client, self._key(event), marked, now)
            )
            self._weight = 1.0 if client is None else self.compliance.record_request(client, now)
            self.monitor.record_arrival(self._is_retry)
            if not self._is_retry:
                self.rates.first()
        elif isinstance(event, interface.AttemptEnded):
            if event.status is interface.Status.SERVED and event.closed:
                self._served(event, now)
        elif isinstance(event, interface.ClientLeft):
            opened = self._open.pop(event.request, None)
            if opened is not None and now - opened.began > opened.cost_ns:
                # The client left after more than the expected sending time: the request waited too long, and
                # counts as lost to overload.
                self.admission.ended(now - opened.began - opened.cost_ns, opened.in_flight, True, now)
                self._failed(opened, now)

    @staticmethod
    def _key(request: interface.Request) -> str:
        return f"{request.object}/{request.part or 0}"

    def _failed(self, opened: OpenRequest, now: int) -> None:
        if opened.client is not None:
            self.retries.failed(opened.client, opened.key, now)

    def _served(self, event: interface.AttemptEnded, now: int) -> None:
        opened = self._open.pop(event.request, None)
        if opened is None:
            return
        self.monitor.record_served()
        self.rates.useful()
        waited = max(now - opened.began - opened.cost_ns, 0.0)
        self.admission.ended(waited, opened.in_flight, False, now)
        self.budgets.succeeded(self._bucket_names(opened.cls, event.cache, opened.source), now)

    def on_actions(self, actions: list[interface.Action], now: int) -> list[interface.Action]:
        """Observes the Router's actions; returns them, followed by a log line if a storm began or ended."""
        for action in actions:
            if isinstance(action, interface.Refuse | interface.Fail):
                opened = self._open.pop(action.request, None)
                if opened is not None:
                    self._failed(opened, now)
                    if (
                        isinstance(action, interface.Refuse)
                        and opened.client is not None
                        and action.retry_after_ns
                    ):
                        self.compliance.record_refusal(opened.client, now + action.retry_after_ns)
            elif isinstance(action, interface.ReadThrough) and action.request in self._open:
                self._open[action.request].source = action.source
        self.rates.advance(now)
        logged: list[interface.Action] = []
        for change in self.monitor.advance(now):
            rejected = " ".join(f"{name}={count}" for name, count in self.rejected.items())
            logged.append(
                interface.Log(
                    f"storm {'begins' if change.begins else 'ends'} level={change.level:.2f} "
                    f"limit={self.admission.limiter.limit:.0f} room={self.rates.spare_per_s():.0f} {rejected}"
                )
            )
        return [*actions, *logged] if logged else actions
