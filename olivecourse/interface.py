"""Settings, events and actions of `olivecourse.choice.Router`: types only.

Times are whole nanoseconds on the caller's clock, sizes are in KB. A field's default applies when the value
is absent. `None` stands for a value that the caller does not have.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, IntFlag
from typing import Protocol


class Effect(Enum):
    """Effect of executing a request more than once."""

    IDEMPOTENT = "idempotent"  # repeats are harmless
    DEDUPLICATED = "deduplicated"  # caches discard repeats with the same key, within a scope and for a time
    AT_MOST_ONCE = "at_most_once"  # the request must not be sent again once it may have run


class Scope(Enum):
    """Set of caches that together discard repeats of a request with the same key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """State of a cache, parent or origin in discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Kind of a cache list: changes only, the full list, the list from before a restart, or a failed call."""

    CHANGES = "incr"
    FULL = "total"
    HELD = "warm_copy"
    FAILED = "lost"


class Status(Enum):
    """Outcome of an attempt or a probe."""

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
        """Whether the outcome proves that the attempt was not executed."""
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
        """Whether a fill served the request: its own, or one in progress that it joined."""
        return self in (Note.FILLED, Note.FILLED_BY_ORIGIN, Note.JOINED)

    @property
    def of_source(self) -> bool:
        """Whether the source of the fill failed, or a server behind the source."""
        return self in (Note.SOURCE_REFUSED, Note.SOURCE_UNREACHED, Note.SOURCE_LACKS, Note.ORIGIN_FAILED)


class Flag(IntFlag):
    """Flags of a request: repeated by the client; a write."""

    REPEAT = 2
    WRITE = 4


class How(IntFlag):
    """Options of a read-through.

    JOIN: join a fill in progress. HELD_ONLY: fill only if the source itself holds the object.
    NO_PARENT_COPY: leave no copy at the parent. RENEW: serve an ageing copy and renew it in the background.
    """

    JOIN = 1
    HELD_ONLY = 2
    NO_PARENT_COPY = 4
    RENEW = 8


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with its latency target, value and retry rules."""

    name: str = ""
    aim_ns: int = 0  # latency target of an answer, without its sending time
    aim_stretch: float = 0.0  # multiple of the sending time that is added to the latency target
    deadline_ns: int = 0
    worth: float = 1.0  # value of an answer within the latency target
    late_worth: float = 0.0  # value of a later answer
    effect: Effect = Effect.AT_MOST_ONCE
    key_scope: Scope = Scope.CELL
    key_memory_ns: int = 0  # time for which caches remember the key of a request
    streamed: bool = False
    fresh_ns: int = 0  # age up to which a copy is fresh; 0 for no bound
    stale_grace_ns: int = 0
    stale_worth: float = 1.0  # value of an answer with a stale copy
    write: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of a router at its start. Per-zone tuples follow the order of `zones`."""

    seed: int = 0
    me: int = 0
    routers: int = 1  # number of routers in all zones
    zone: int = 0
    zones: tuple[str, ...] = ()
    zone_hub: tuple[int, ...] = ()  # position of each zone's hub in a circle of hubs
    zone_routers: tuple[int, ...] = ()  # number of routers in each zone
    zone_link_kb_per_s: tuple[float, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    ask_discovery: bool = False  # whether the router must subscribe to the cache list
    ask_every_ns: int = 0
    tick_ns: int = 0
    parent_kind: int = -1  # `Member.kind` of parents; -1 if there are none
    origin_kind: int = -1  # `Member.kind` of origins; -1 if there are none
    direct: bool = False  # whether requests may bypass the caches
    joins: bool = False  # whether a request may join a fill in progress
    siblings: str = "silent"
    notes: str = "silent"
    client_kb_per_s: float = 0.0  # rate at which an answer of known size is sent
    weights: str = "silent"  # "silent" if discovery gives no weights
    report_fields: tuple[str, ...] = ()  # names of the values in a load report, in order
    report_how: str = "silent"
    cancel: bool = False  # whether attempts can be cancelled
    probes: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    max_attempts: int = 1
    answer_slack_ns: int = 0
    drain_grace_ns: int = 0
    cold_from: float = 0.0  # share of its capacity that a cache has when it becomes ready
    cold_ns: int = 0  # time until a cold cache has its full capacity
    # A cache fails if it gets more than `fall_multiple` times its capacity within `fall_ns`.
    fall_multiple: float = 0.0
    fall_ns: int = 0
    parent_cold_from: float = 0.0
    parent_cold_ns: int = 0
    parent_fall_multiple: float = 0.0
    origin_fall_multiple: float = 0.0
    origin_fall_ns: int = 0
    purge_grace_ns: int = 0
    purge_settles_ns: int = 0  # time after which no cache holds a purged copy any more
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
    life: str = ""  # reported address and start time; a new instance with the same id has another value


# Events and actions are not frozen: they are created in large numbers, and creating a frozen instance takes
# three times as long.

# Events ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class CacheList:
    """A list of caches, parents and origins from discovery."""

    version: int
    kind: ListKind
    members: tuple[Member, ...] = ()


@dataclass(slots=True)
class Request:
    """A client's request."""

    request: str
    cls: int
    tenant: int | None = None
    object: str | None = None
    budget_ns: int | None = None
    size_kb: float | None = None
    group: int | None = None
    part: int | None = None
    flags: Flag = Flag(0)
    client: int | None = None  # id of the client, the same for all its requests, if a guard needs it


@dataclass(slots=True)
class StreamBegan:
    """The first bytes of a streamed answer have arrived."""

    request: str
    latency_ns: int | None = None
    cache: int | None = None
    attempt: int | None = None


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; `closed` says whether this also answered the request."""

    request: str
    attempt: int
    cache: int
    status: Status
    latency_ns: int | None = None
    closed: bool = False
    note: Note = Note.NONE
    source_wait_ns: int | None = None
    report: tuple[float | None, ...] | None = None
    same: bool = False  # answered without content, because the client's own copy is current


@dataclass(slots=True)
class ClientLeft:
    """The client of a request has disconnected."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer has expired; token 0 is the periodic tick."""

    token: int


@dataclass(slots=True)
class Probed:
    """A probe has ended."""

    cache: int
    status: Status
    latency_ns: int | None = None
    report: tuple[float | None, ...] | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message from another router."""

    sender: int
    payload: bytes = b""


@dataclass(slots=True)
class Purged:
    """An object or a group of objects was purged, `age_ns` ago."""

    object: str | None = None
    group: int | None = None
    age_ns: int | None = None


Event = (
    CacheList | Request | StreamBegan | AttemptEnded | ClientLeft | TimerFired | Probed | PeerMessage | Purged
)

# Actions -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Look:
    """Request a fresh copy that the cache already holds, without a fill."""

    request: str
    cache: int
    timeout_ns: int


@dataclass(slots=True)
class ReadThrough:
    """Request an object through a cache, with the source and the options of a fill in case of a miss."""

    request: str
    cache: int
    timeout_ns: int
    source: int
    rank: int
    max_age_ns: int
    how: How


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Answer a request with a refusal; the client may retry after the delay."""

    request: str
    retry_after_ns: int


@dataclass(slots=True)
class Fail:
    """Answer a request with a failure."""

    request: str


@dataclass(slots=True)
class SetTimer:
    """Report `TimerFired` with this token after the delay."""

    delay_ns: int
    token: int


@dataclass(slots=True)
class Probe:
    """Probe a cache."""

    cache: int


@dataclass(slots=True)
class CloseIdle:
    """Close idle connections to a cache."""

    cache: int


@dataclass(slots=True)
class Subscribe:
    """Start or stop the subscription to the cache list."""

    on: bool


@dataclass(slots=True)
class FetchList:
    """Fetch the cache list once."""

    pass


@dataclass(slots=True)
class TellPeer:
    """Send a message to another router."""

    peer: int | str
    payload: bytes


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

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


class Limits(Protocol):
    """Limits that a storm guard sets for a Router; without a guard, nothing is limited."""

    def admit(self, request: Request, cost_ns: float, remaining_ns: float, open_requests: int) -> bool:
        """Returns whether to accept a new request while `open_requests` others wait, or else refuse it."""

    def again(self, request: Request, cache: int, source: int | None) -> bool:
        """Returns whether to retry the request after an attempt through this cache and source failed."""

    def wait(self, request: Request, longest_ns: int) -> int:
        """Returns the retry delay in ns for the client of a refused request, at most `longest_ns`."""
