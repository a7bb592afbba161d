"""What a router remembers of its caches and of the requests it holds: records, no decisions."""

from __future__ import annotations

from dataclasses import dataclass, field

from olivecourse.interface import Member, Request, RequestClass


@dataclass(slots=True, eq=False)  # each is itself alone, however alike
class Node:
    """A cache, parent or origin as this router knows it."""

    member: Member
    seats: int = 1  # routers that can reach it
    pain: float = 0.0
    pain_at: int = 0
    wait: float | None = None
    heard: int = 0
    limit: float = 0.0
    bears: float = 0.0  # attempts that it surely bears from this router, by its reports; 0 where none tells
    failing: bool = False
    credit: float = 0.0  # sending time that a cold node may still be asked for
    credit_at: int = 0
    est: float | None = None
    taught: float = 0.0  # least weight of the next answer, where a memory and no answer speaks of the node
    out: dict[tuple[str, int], int] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Held:
    """A request that this router owes an answer."""

    ask: Request
    cls: RequestClass
    deadline: int
    size_ns: float
    write: bool
    key: str
    rich: float = 1.0
    sized: bool = False  # its size was told, or learned of the object
    crowded: bool = False  # no cache was left for it, and at least one only for want of room
    overdue: bool = False
    again: bool = False  # asked again early, as its answer seemed lost
    chance: float = 0.0  # against the share of requests that may fill
    near: bool = False  # its last attempt may be filled with what a parent holds, and no further
    sent: int = 0
    out: dict[int, tuple[Node, Node | None]] = field(default_factory=dict)
    ran: list[tuple[int, Node]] = field(default_factory=list)  # attempts that might have run, by send time
    tried: list[int] = field(default_factory=list)
    errors: list[list[tuple[Node, float]]] = field(default_factory=list)  # whom each hurts, if it counts
    bad: list[Node | None] = field(default_factory=list)

    @property
    def aim(self) -> float:
        """When the answer should be there, as far as the size is known."""
        return self.cls.aim_ns + self.cls.aim_stretch * self.size_ns
