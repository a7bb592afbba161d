"""Records of what a router knows about cache nodes and about its pending requests; no decisions.

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
    pain: float = 0.0  # error score at `pain_at`, from 0 (healthy) to 1 (failing)
    pain_at: int = 0  # time from which the error score decays
    wait: float | None = None  # mean time that a fill waits for this source; None before the first fill
    heard: int = 0  # time of the last answer
    limit: float = 0.0  # concurrency limit: attempts of this router that may be in flight
    # Attempts of this router that the node can safely handle, by its load reports; 0 without reports.
    bears: float = 0.0
    failing: bool = False  # whether the error score has passed the failure threshold and not recovered since
    credit: float = 0.0  # sending time that this router may still request from a cold node
    credit_at: int = 0  # time of the last update of `credit`
    est: float | None = None
    # Minimum weight of the next answer in the error score, while the score was restored from memory.
    taught: float = 0.0
    in_flight: dict[tuple[str, int], int] = field(
        default_factory=dict
    )  # send times by request id and attempt


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that this router has not answered yet."""

    ask: Request
    request_class: RequestClass
    deadline: int
    size_ns: float  # sending time
    write: bool
    key: str  # key on the ring: the object and its part, or the request id
    limit_factor: float = 1.0  # factor of the nodes' concurrency limits for this request
    size_known: bool = False  # whether the size was reported, or learned from earlier answers for the object
    caches_full: bool = False  # whether no cache was available and at least one lacked only room
    overdue: bool = False  # whether a fill has already been counted as late
    repeated_early: bool = False  # whether an attempt was repeated early because its response seemed lost
    fill_draw: float = 0.0  # random number compared with the share of requests that may cause a fill
    near: bool = False  # whether the last attempt may be filled only with an object that a parent holds
    sent: int = 0  # number of attempts
    in_flight: dict[int, tuple[Node, Node | None]] = field(default_factory=dict)  # node and source by attempt
    # Send time and node of each attempt that may have been executed, in the order of sending.
    maybe_executed: list[tuple[int, Node]] = field(default_factory=list)
    tried_caches: list[int] = field(default_factory=list)
    # Plain server errors not yet attributed: the nodes to charge and their weights, for each error.
    uncharged_errors: list[list[tuple[Node, float]]] = field(default_factory=list)
    failed_sources: list[Node | None] = field(default_factory=list)

    @property
    def aim(self) -> float:
        """Latency target: the time within which the answer is due, given the sending time known so far."""
        return self.request_class.aim_ns + self.request_class.aim_stretch * self.size_ns
