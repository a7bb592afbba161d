"""Records of what a router knows about caches, parents and origins and about its pending requests.

They hold data only; the decisions are made in `olivecourse.choice`.

All times are in nanoseconds on the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from olivecourse.interface import Member, Request, RequestClass


@dataclass(slots=True, eq=False)  # compared by identity, as two nodes may have equal fields
class Node:
    """A cache, parent or origin as this router knows it."""

    member: Member
    sharing_routers: int = 1  # number of routers that send requests to the node
    error_score: float = 0.0  # error score at `error_score_at`, from 0 (healthy) to 1 (failing)
    error_score_at: int = 0  # time from which the `error_score` decays
    # Mean time that a fill waits for this node as its source; None before the first such fill.
    fill_wait_ns: float | None = None
    last_answer_at: int = 0  # time of the node's last answer, error, refusal or connection reset
    limit: float = 0.0  # concurrency limit: how many attempts of this router may be in flight to the node
    # How many attempts of this router the node can safely handle at the same time, by the load reports of the
    # node; 0 without reports.
    reported_capacity: float = 0.0
    # Whether the error score has exceeded `choice.FAILED_SCORE` and not fallen to `choice.SCORE_TOLERANCE`
    # since.
    failing: bool = False
    # While the node is cold (recently started): total time of sending answers to clients, in ns, that this
    # router may still cause there. Each attempt takes off the mean sending time of its request class.
    credit: float = 0.0
    credit_at: int = 0  # time of the last update of `credit`
    est: float | None = None
    # Minimum weight of the next outcome in the error score. It is above 0 after the score was restored from
    # the state of an earlier process, and each outcome halves it.
    restored_weight: float = 0.0
    in_flight: dict[tuple[str, int], int] = field(
        default_factory=dict
    )  # send times of unfinished attempts, by request id and attempt number


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that this router has not answered yet."""

    request: Request
    request_class: RequestClass
    deadline: int
    sending_ns: float  # time that the answer takes to be sent to the client, known or the mean of the class
    write: bool
    key: str  # key on the ring: the object and its part, or the request id
    limit_factor: float = 1.0  # factor by which nodes' concurrency limits are multiplied for this request
    # Whether `sending_ns` comes from the size reported with the request or from earlier answers for the
    # object, rather than from the mean of the request class.
    size_known: bool = False
    # Set by the choice of a cache and read only if it picked none: whether at least one cache passed every
    # check but that of its concurrency limit.
    caches_full: bool = False
    overdue: bool = False  # whether a fill for this request was counted as late while it was unanswered
    repeated_early: bool = False  # whether an attempt was repeated early because its response seemed lost
    # Random number from 0 to 1. A fill from any source is allowed if this, divided by `limit_factor` and at
    # most 1, is below the fill share of the class (the share of its requests that may cause a fill).
    fill_draw: float = 0.0
    parent_only: bool = (
        False  # whether the last attempt may be filled only with an object that a parent holds
    )
    attempts_sent: int = 0  # number of attempts sent so far
    # Node and fill source (None without one) of each unfinished attempt, by attempt number.
    in_flight: dict[int, tuple[Node, Node | None]] = field(default_factory=dict)
    # Send time and node of each attempt that may have been executed, in the order of sending.
    maybe_executed: list[tuple[int, Node]] = field(default_factory=list)
    tried_caches: list[int] = field(default_factory=list)
    # Server errors without a stated cause that do not count in any error score yet. For each error: the nodes
    # that may have caused it, with the weight of the error in the score of each.
    uncharged_errors: list[list[tuple[Node, float]]] = field(default_factory=list)
    failed_sources: list[Node | None] = field(default_factory=list)

    @property
    def aim(self) -> float:
        """Latency target in ns: the time within which the answer is due, including a multiple of the time
        that the answer takes to be sent to the client, as far as it is known.
        """
        return self.request_class.aim_ns + self.request_class.aim_stretch * self.sending_ns
