"""Settings, events and actions of `olivecourse.choice.Router`: types only.

Times are whole nanoseconds on the caller's clock, sizes are in KB. A field's default applies when its value
is absent from the input. `None` stands for a value that the caller does not have.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, IntFlag
from typing import Protocol


class Effect(Enum):
    """What happens if a request is executed more than once; it decides whether the router may repeat it."""

    IDEMPOTENT = "idempotent"  # repeats are harmless
    # Caches discard repeats with the same idempotency key, within `RequestClass.key_scope` and for
    # `RequestClass.key_memory_ns`.
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "at_most_once"  # the router must not send the request again once an attempt may have run


class Scope(Enum):
    """Which caches share their records of idempotency keys, and so discard a repeat of a request that another
    of them has executed: all caches, those of one zone, or those of one cell.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """State of a cache, parent or origin as discovery lists it; only READY ones get requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Kind of a `CacheList` event.

    CHANGES: only the members that changed. FULL: all members. HELD: all members, as last known before a
    restart. FAILED: the call to discovery failed.
    """

    CHANGES = "incr"
    FULL = "total"
    HELD = "warm_copy"
    FAILED = "lost"


class Status(Enum):
    """Outcome of an attempt (a request sent to one node) or of a probe."""

    SERVED = "served"
    ERROR = "server_error"
    FULL = "turned_away"
    TIMEOUT = "no_answer"
    CONNECT_FAILED = "no_connection"
    RESET = "connection_lost"
    CANCELLED = "called_off"
    NOT_SENT = "not_sent"
    MISS = "not_stored"

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that no server executed the attempt, so that a repeat is safe."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT, Status.MISS)


class Note(IntEnum):
    """Detail of an outcome: which copy was served, or why a fill failed."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_UNREACHED = 7
    SOURCE_LACKS = 8
    NO_FILL_PLACE = 9
    ORIGIN_FAILED = 10

    @property
    def filled(self) -> bool:
        """Whether the answer came from a fill, either the request's own or one that it joined in progress."""
        return self in (Note.FILLED, Note.FILLED_BY_ORIGIN, Note.JOINED)

    @property
    def of_source(self) -> bool:
        """Whether the fill failed because of its source (parent or origin) or a server behind the source."""
        return self in (Note.SOURCE_REFUSED, Note.SOURCE_UNREACHED, Note.SOURCE_LACKS, Note.ORIGIN_FAILED)


class Flag(IntFlag):
    """Flags of a request. REPEAT: the client repeats an earlier request. WRITE: the request is a write."""

    REPEAT = 2
    WRITE = 4


class How(IntFlag):
    """Options of a `ReadThrough`, for the cache that gets it.

    JOIN: join a fill of the object that is in progress. HELD_ONLY: fill only if the source itself holds the
    object. NO_PARENT_COPY: leave no copy at the parent that a fill passes through. RENEW: serve an ageing
    copy at once and renew it in the background.
    """

    JOIN = 1
    HELD_ONLY = 2
    NO_PARENT_COPY = 4
    RENEW = 8


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with its latency target, value and retry rules."""

    name: str = ""
    # The latency target is `aim_ns` plus `aim_stretch` times the time that the answer takes to be sent to the
    # client.
    aim_ns: int = 0
    aim_stretch: float = 0.0
    deadline_ns: int = 0
    worth: float = 1.0  # value of an answer within the latency target, compared with other classes
    late_worth: float = 0.0  # value of an answer that comes after the latency target
    effect: Effect = Effect.AT_MOST_ONCE
    key_scope: Scope = Scope.CELL
    key_memory_ns: int = 0  # time for which caches remember the idempotency key of a request
    streamed: bool = False
    fresh_ns: int = 0  # age up to which a cached copy is fresh; 0 for no bound
    stale_grace_ns: int = 0
    stale_worth: float = 1.0  # value of an answer from a stale cached copy
    write: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings that a router gets at its start. Tuples with a value for each zone follow `zones`."""

    seed: int = 0
    me: int = 0
    routers: int = 1  # number of routers in all zones
    zone: int = 0
    zones: tuple[str, ...] = ()
    # Position of each zone's hub on a circle of hubs; distances between zones are counted in steps on it.
    zone_hub: tuple[int, ...] = ()
    zone_routers: tuple[int, ...] = ()  # number of routers in each zone
    zone_link_kb_per_s: tuple[float, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    ask_discovery: bool = False  # whether the router must subscribe to discovery's cache list at its start
    ask_every_ns: int = 0
    tick_ns: int = 0
    parent_kind: int = -1  # `Member.kind` of parents; -1 if there are none
    origin_kind: int = -1  # `Member.kind` of origins; -1 if there are none
    direct: bool = False  # whether a request may go straight to a parent or origin, without a cache
    joins: bool = False  # whether a request may join a fill of the same object that is in progress
    siblings: str = "silent"
    notes: str = "silent"
    client_kb_per_s: float = 0.0  # rate at which an answer is sent to the client; 0 if unknown
    weights: str = "silent"  # "silent" if discovery gives no weights (capacities of the nodes)
    report_fields: tuple[str, ...] = ()  # names of the values in a node's load report, in the report's order
    report_how: str = "silent"
    cancel: bool = False  # whether the router may cancel an attempt that is unanswered
    probes: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    max_attempts: int = 1
    answer_slack_ns: int = 0
    drain_grace_ns: int = 0
    cold_from: float = 0.0  # share of its full capacity that a cache has when it becomes ready
    cold_ns: int = 0  # time from when a cache becomes ready until it has its full capacity
    # A cache fails if the load that it gets within a time of `fall_ns` is more than `fall_multiple` times
    # what it has capacity for.
    fall_multiple: float = 0.0
    fall_ns: int = 0
    parent_cold_from: float = 0.0
    parent_cold_ns: int = 0
    parent_fall_multiple: float = 0.0
    origin_fall_multiple: float = 0.0
    origin_fall_ns: int = 0
    purge_grace_ns: int = 0
    purge_settles_ns: int = 0  # time after a purge from which no cache holds a purged copy any more
    marks_retry: bool = False
    price_fill: float = 0.0
    price_origin: float = 0.0
    price_waste: float = 0.0
    price_probe: float = 0.0
    price_late_fail: float = 0.0


@dataclass(slots=True, frozen=True)
class Member:
    """A cache, parent or origin as discovery lists it."""

    cache: int
    weight: float | None = None
    ready_at_ns: int | None = None
    zone: int | None = None
    state: State = State.READY
    cell: int | None = None
    kind: int | None = None
    # Address and start time that discovery reports; they tell a restarted server from the one that had the
    # same id (`cache`) before it.
    life: str = ""


# The dataclasses of events and actions are not frozen: many objects of them are created, and creating an
# object of a frozen dataclass takes three times as long.

# Events ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class CacheList:
    """Discovery has sent a list of caches, parents and origins, or a call to it has failed (see `kind`)."""

    version: int
    kind: ListKind
    members: tuple[Member, ...] = ()


@dataclass(slots=True)
class Request:
    """A request has arrived from a client."""

    request: str
    cls: int
    tenant: int | None = None
    object: str | None = None
    budget_ns: int | None = None
    size_kb: float | None = None
    group: int | None = None
    part: int | None = None
    flags: Flag = Flag(0)
    # Id of the client, the same for all its requests, if the guard against retry storms needs it.
    client: int | None = None


@dataclass(slots=True)
class StreamBegan:
    """The first bytes of a streamed answer to a request have arrived from a node."""

    request: str
    latency_ns: int | None = None
    cache: int | None = None
    attempt: int | None = None


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended. `closed` says whether its request is thereby finished, so that the router neither
    answers nor retries it.
    """

    request: str
    attempt: int
    cache: int
    status: Status
    latency_ns: int | None = None
    closed: bool = False
    note: Note = Note.NONE
    source_wait_ns: int | None = None
    report: tuple[float | None, ...] | None = None
    same: bool = False  # whether the answer had no content, because the client's own copy is still valid


@dataclass(slots=True)
class ClientLeft:
    """The client of a request has disconnected, so the request needs no answer any more."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer that `SetTimer` set with this token has expired; token 0 is the router's periodic tick."""

    token: int


@dataclass(slots=True)
class Probed:
    """A health probe that the router requested with `Probe` has ended."""

    cache: int
    status: Status
    latency_ns: int | None = None
    report: tuple[float | None, ...] | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message from another router has arrived."""

    sender: int
    payload: bytes = b""


@dataclass(slots=True)
class Purged:
    """An object or a group of objects was purged `age_ns` ago, so older copies must not be served."""

    object: str | None = None
    group: int | None = None
    age_ns: int | None = None


Event = (
    CacheList | Request | StreamBegan | AttemptEnded | ClientLeft | TimerFired | Probed | PeerMessage | Purged
)


@dataclass(slots=True)
class Checkpoint:
    """Marks a place in the events of a gateway, which its planner returns at the same place of its actions.

    All purges up to the one numbered `last_purge` are before this place. So the actions that follow were
    decided on with these purges known. The router itself does not get checkpoints.
    """

    last_purge: int


# Actions -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Look:
    """Send a request to a node, which answers from a fresh copy that it holds and starts no fill."""

    request: str
    cache: int
    timeout_ns: int


@dataclass(slots=True)
class ReadThrough:
    """Send a request to a cache, which on a miss fills from `source` (the id of a parent or origin)."""

    request: str
    cache: int
    timeout_ns: int
    source: int
    rank: int
    max_age_ns: int
    how: How


@dataclass(slots=True)
class Cancel:
    """Cancel an unanswered attempt of a request."""

    request: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Answer a request with a refusal, which tells the client that it may retry after `retry_after_ns`."""

    request: str
    retry_after_ns: int


@dataclass(slots=True)
class Fail:
    """Answer a request with a failure; unlike after a refusal, a retry by the client may not be safe."""

    request: str


@dataclass(slots=True)
class SetTimer:
    """Pass the event `TimerFired` with this token to the router after `delay_ns`."""

    delay_ns: int
    token: int


@dataclass(slots=True)
class Probe:
    """Send a health probe to a cache; the result is the event `Probed`."""

    cache: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections from this gateway to a cache."""

    cache: int


@dataclass(slots=True)
class Subscribe:
    """Start (`on`) or stop the subscription to discovery's cache list; lists arrive as `CacheList` events."""

    on: bool


@dataclass(slots=True)
class FetchList:
    """Fetch discovery's cache list once, without a subscription."""

    pass


@dataclass(slots=True)
class TellPeer:
    """Send a message to the router with the number `peer`, or to all routers if it is "all"."""

    peer: int | str
    payload: bytes


@dataclass(slots=True)
class Log:
    """Write a line of text to the gateway's log."""

    text: str


Action = (
    Look
    | ReadThrough
    | Cancel
    | Refuse
    | Fail
    | SetTimer
    | Probe
    | CloseIdle
    | Subscribe
    | FetchList
    | TellPeer
    | Log
)

# What a gateway and its planner exchange: the router's events and actions, and the checkpoints among them.
PlannerEvent = Event | Checkpoint
PlannerAction = Action | Checkpoint


class Limits(Protocol):
    """What a Router asks a guard against retry storms before it accepts or repeats a request.

    Without a guard, every request is accepted and retries are limited only by the Router itself.
    """

    def admit(self, request: Request, cost_ns: float, remaining_ns: float, open_requests: int) -> bool:
        """Returns whether to accept a new request (else it is refused) while `open_requests` others are
        unanswered.

        `cost_ns` is the time that its answer takes to be sent to the client, `remaining_ns` the time until
        its deadline.
        """

    def may_retry(self, request: Request, cache: int, source: int | None) -> bool:
        """Returns whether to retry the request after an attempt at this cache, with this fill source, failed.

        `cache` and `source` are node ids; `source` is None if the attempt had no fill source.
        """

    def retry_after_ns(self, request: Request, longest_ns: int) -> int:
        """Returns how long the client of a refused request is told to wait before it retries, in ns.

        The result is at most `longest_ns`.
        """
