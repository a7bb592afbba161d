"""Group commit of used ("spent") order tokens as a state machine, without a disk or a clock.

An order is a client's write request, which must not run twice; its Bearer token, the order token, permits one
order. The spent token is written to disk first, and only then is its order sent to a store. All tokens that
arrive during one transaction share the next. If the disk is slow or fails, the order is refused before it is
sent, so its client may repeat it. Until the write of a refused order's token has ended, the token cannot be
spent again by this process; after a restart, what is on disk applies.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum

S = 1_000_000_000
# Pause after a failed write of spent tokens: FIRST_BACKOFF_NS, doubled by each further failure up to
# MAX_BACKOFF_NS.
MAX_BACKOFF_NS = 5 * S
FIRST_BACKOFF_NS = S // 10
# Most expired entries removed at once from the table of spent tokens: at each transaction, and if it is full.
PRUNE_PART, PRUNE_FULL = 64, 4096


class State(Enum):
    """How far the entry of a spent order token is on its way to the disk."""

    QUEUED = "queued"  # the token waits for the next transaction that writes tokens to disk
    WRITING = "writing"  # the token is part of the transaction in progress
    SPENT = "spent"  # the token is on disk, so that its order may be sent to a store
    # The order was refused while the token was WRITING; the token is freed when the transaction ends.
    ABANDONED = "abandoned"


class Verdict(Enum):
    """Result of `GroupCommit.spend`."""

    TAKEN = "taken"  # the token is now spent, and queued to be written to disk
    USED = "used"  # the token has been spent before, or may have been
    FULL = "full"  # the table is full of unexpired tokens; without its entry, a token could be used again
    # Not spent: the transaction in progress takes too long, the last one failed, or the token is ABANDONED.
    BUSY = "busy"


@dataclass(slots=True)
class Entry:
    """A spent order token: its expiry `exp` in Unix seconds, its state, and when it was queued, in ns."""

    exp: float
    state: State
    queued_at: int


@dataclass(frozen=True, slots=True)
class Group:
    """One transaction on the disk's table of spent tokens.

    `puts` holds the digests of tokens to write with their expiry times, and `deletes` the digests to remove.
    `pruned_exp` is the latest expiry time, in Unix seconds, of all tokens that were ever removed as expired.
    """

    puts: dict[bytes, float]
    deletes: list[bytes]
    pruned_exp: float
    everything: bool = False  # after a failure `puts` holds all entries, as the store may be lost


class GroupCommit:
    """The table of spent order tokens, by digest, and the transactions that make them durable.

    `known` holds the tokens found on disk with their expiry times. At most `max_entries` tokens are kept, and
    an order waits at most `max_wait_ns` for its token. An entry is removed once the token's expiry and
    `leeway_s` have passed. Times are in ns on the caller's clock; `exp`, `pruned_exp` and `unix_s` are in
    Unix seconds.
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
        """Whether the last transaction failed; the next then writes all spent tokens, not only new ones."""
        return self._failures > 0

    def spend(self, digest: bytes, exp: float, now: int, unix_s: float) -> Verdict:
        """Spends an order token if it is unspent; if TAKEN, its order may be sent once `durable` is True."""
        entry = self.entries.get(digest)
        if entry is not None:
            return Verdict.BUSY if entry.state is State.ABANDONED else Verdict.USED
        if exp <= self.pruned_exp:  # its entry may have been removed as expired, and the clock set back since
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
        """Whether the order token is spent and on disk, so that its order may be sent to a store."""
        entry = self.entries.get(digest)
        return entry is not None and entry.state is State.SPENT

    def release(self, digest: bytes) -> None:
        """Frees a spent token whose order (write request) has not run, so that it may be used again.

        While the token is being written, it is freed only at the end of the transaction.
        """
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
        """Frees the tokens not on disk within `max_wait_ns` of being queued, and returns their digests.

        The caller must refuse their orders.
        """
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
        """Returns the transaction that the caller is to begin now, and to report to `ended`.

        None if there is nothing to write, one is in progress, or the pause after a failure has not ended.
        """
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
        """Records the end of the transaction in progress; `failed` tells whether it failed.

        Returns two lists of token digests: those whose orders may be sent, and those whose orders must be
        refused.
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
                self._deletes[digest] = None  # to be removed: it may be on disk nevertheless
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
        """Removes at most `limit` entries of tokens that expired more than the leeway and 1 s ago.

        The latest expiry time of removed entries is kept in `pruned_exp`. Tokens up to it count as used, so
        that a removed token does not become valid again when the system clock is set back.
        """
        unfinished = []
        while limit and self._by_exp and self._by_exp[0][0] + self._leeway + 1 < unix_s:
            exp, digest = heapq.heappop(self._by_exp)
            entry = self.entries.get(digest)
            if entry is None or entry.exp != exp:  # the token has been freed since
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
