"""Group commit of spent order tokens as a state machine, without a disk or a clock.

A token is written first, and only then is its order sent. All tokens that arrive during one sync share the
next sync. If the disk is slow or fails, an order is refused before it is sent, so its client may repeat it. A
token whose write may or may not have succeeded is not spent twice by this process; after a restart, the
state on disk applies.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum

S = 1_000_000_000
MAX_BACKOFF_NS = 5 * S
FIRST_BACKOFF_NS = S // 10
PRUNE_PART, PRUNE_FULL = 64, 4096  # expired entries removed per group, and when the table is full


class State(Enum):
    """State of a token's entry."""

    QUEUED = "queued"  # not yet passed to the disk
    WRITING = "writing"  # in the transaction that is in progress
    SPENT = "spent"  # on disk
    ABANDONED = "abandoned"  # the order was refused during the write; the token is freed when the write ends


class Verdict(Enum):
    """Result of spending a token."""

    TAKEN = "taken"
    USED = "used"
    FULL = "full"  # the table is full, and removing an entry would let its token be used again
    BUSY = "busy"  # the disk cannot make the token durable in time


@dataclass(slots=True)
class Entry:
    """A spent token: its expiry time (`exp`), its state, and when it was queued."""

    exp: float
    state: State
    queued_at: int


@dataclass(frozen=True, slots=True)
class Group:
    """One transaction: token digests to write, with their expiry times, and token digests to remove.

    `pruned_exp` is the latest expiry time among the entries that were removed because they had expired.
    """

    puts: dict[bytes, float]
    deletes: list[bytes]
    pruned_exp: float
    everything: bool = False  # the store may have been lost, so `puts` holds all entries


class GroupCommit:
    """The set of spent tokens and the transactions that make them durable.

    Times are in nanoseconds on the caller's clock; `exp` and `pruned_exp` are in Unix seconds.
    """

    def __init__(
        self,
        max_entries: int,
        max_wait_ns: int,
        leeway_s: float,
        known: dict[bytes, float],
        pruned_exp: float,
    ) -> None:
        self._max_entries, self._max_wait_ns, self._leeway = max_entries, max_wait_ns, leeway_s
        self.entries = {digest: Entry(exp, State.SPENT, 0) for digest, exp in known.items()}
        self.pruned_exp = pruned_exp
        self._queued: dict[bytes, None] = {}
        self._deletes: dict[bytes, None] = {}
        self._group: Group | None = None
        self._group_start = 0
        self._failures = 0
        self._retry_at = 0
        self._by_exp = [(exp, digest) for digest, exp in known.items()]
        heapq.heapify(self._by_exp)

    @property
    def broken(self) -> bool:
        """Whether the last transaction failed."""
        return self._failures > 0

    def spend(self, digest: bytes, exp: float, now: int, unix_s: float) -> Verdict:
        """Spends a token; if TAKEN, its order may be sent once the token is durable."""
        entry = self.entries.get(digest)
        if entry is not None:
            return Verdict.BUSY if entry.state is State.ABANDONED else Verdict.USED
        if exp <= self.pruned_exp:  # its entry may have been pruned, and the clock set back since
            return Verdict.USED
        if self._group is not None and now - self._group_start > self._max_wait_ns or now < self._retry_at:
            return Verdict.BUSY
        if len(self.entries) >= self._max_entries:
            self._prune(unix_s, PRUNE_FULL)
            if len(self.entries) >= self._max_entries:
                return Verdict.FULL
        self.entries[digest] = Entry(exp, State.QUEUED, now)
        heapq.heappush(self._by_exp, (exp, digest))
        self._queued[digest] = None
        return Verdict.TAKEN

    def durable(self, digest: bytes) -> bool:
        """Whether the token is spent and on disk."""
        entry = self.entries.get(digest)
        return entry is not None and entry.state is State.SPENT

    def release(self, digest: bytes) -> None:
        """Frees a token whose order has not run, so that it may be used again."""
        entry = self.entries.get(digest)
        if entry is None:
            return
        if entry.state is State.QUEUED:
            del self.entries[digest], self._queued[digest]
        elif entry.state is State.WRITING:
            entry.state = State.ABANDONED
        elif entry.state is State.SPENT:
            del self.entries[digest]
            self._deletes[digest] = None

    def overdue(self, now: int) -> list[bytes]:
        """Frees and returns the tokens that have waited too long; the caller refuses their orders."""
        overdue = (
            [
                m
                for m, e in self.entries.items()
                if e.state in (State.QUEUED, State.WRITING) and now - e.queued_at > self._max_wait_ns
            ]
            if self._queued or self._group
            else []
        )
        for digest in overdue:
            self.release(digest)
        return overdue

    def next_group(self, now: int, unix_s: float) -> Group | None:
        """Returns the transaction to begin now; None if there is no work or one is in progress."""
        if self._group is not None or now < self._retry_at:
            return None
        self._prune(unix_s, PRUNE_PART)
        if not self._queued and not self._deletes:
            return None
        deletes = [m for m in self._deletes if m not in self.entries]
        for digest in self._queued:
            self.entries[digest].state = State.WRITING
        puts = (
            {m: e.exp for m, e in self.entries.items()}
            if self.broken
            else {m: self.entries[m].exp for m in self._queued}
        )
        self._group = Group(puts, deletes, self.pruned_exp, self.broken)
        self._queued, self._deletes, self._group_start = {}, {}, now
        return self._group

    def ended(self, failed: bool, now: int) -> tuple[list[bytes], list[bytes]]:
        """Records the end of the transaction.

        Returns the tokens whose orders may be sent, and those whose orders must be refused.
        """
        group, self._group = self._group, None
        if group is None:
            return [], []
        writing = [
            m
            for m in group.puts
            if (e := self.entries.get(m)) and e.state in (State.WRITING, State.ABANDONED)
        ]
        committed, rejected = [], []
        for digest in writing:
            entry = self.entries[digest]
            abandoned = entry.state is State.ABANDONED
            if failed or abandoned:
                del self.entries[digest]
                self._deletes[digest] = None  # the write may have succeeded nevertheless
                if not abandoned:
                    rejected.append(digest)
            else:
                entry.state = State.SPENT
                committed.append(digest)
        if failed:
            for digest in group.deletes:
                self._deletes[digest] = None
            self._failures += 1
            self._retry_at = now + min(FIRST_BACKOFF_NS * 2 ** min(self._failures - 1, 10), MAX_BACKOFF_NS)
        else:
            self._failures, self._retry_at = 0, 0
        return committed, rejected

    def _prune(self, unix_s: float, limit: int) -> None:
        """Removes at most `limit` entries of tokens that have expired.

        The latest expiry time among them is kept, so that setting the clock back does not make them valid.
        """
        unfinished = []
        while limit and self._by_exp and self._by_exp[0][0] + self._leeway + 1 < unix_s:
            exp, digest = heapq.heappop(self._by_exp)
            entry = self.entries.get(digest)
            if entry is None or entry.exp != exp:  # the token was released in the meantime
                continue
            if entry.state is not State.SPENT:
                unfinished.append((exp, digest))
                continue
            limit -= 1
            del self.entries[digest]
            self.pruned_exp = max(self.pruned_exp, exp)
            self._deletes[digest] = None
        for row in unfinished:
            heapq.heappush(self._by_exp, row)
