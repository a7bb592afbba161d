"""A relay's bounded event history: a compacted base (snapshot) and a run of the newest events after it (log).

Event numbers are those of the platform's discovery service, so a watcher (a gateway or relay that polls this
relay) may continue at another relay with the number of its newest event. The oldest events of the run are
folded, that is merged, into the base, which keeps the newest server list entry of each store and the newest
purge of each object or group. A watcher whose number is in the run gets a slice of the run; an older one gets
the events of the base above its number, and then the whole run.

In such a compacted answer each purge keeps its number. The server list gets the lowest number above the
watcher's that no purge has, and `folded_through` holds the number of its newest change. A watcher whose
answer was cut off can therefore continue anywhere from the last event that it read, because it has every
change up to that number. A relay that folds the list knows that watchers between the two numbers still need
the list.

All times are Unix time in nanoseconds; purges carry theirs in Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from olivecourse.relay.event_log import EventLog, encode_json
from olivecourse.relay.events import FOLDED_THROUGH, InvalidRelayEvent, RelayEvent, parse_event
from olivecourse.relay.members import FoldedMembers
from olivecourse.relay.purges import PurgeRecord, UnsettledPurges

S = 1_000_000_000  # nanoseconds per second
MAX_CACHED_RUNS = 4  # the cached answers have together at most this many times HistoryLimits.most_bytes
MAX_CACHED_ANSWERS = 64  # answers cached at a time; most watchers poll with one of the newest few numbers


@dataclass(frozen=True)
class HistoryLimits:
    """Limits of an event history.

    `most_bytes` and `most_events` bound the run, the newest events in full. The run need only cover the time
    of a watcher's poll and of a change to another relay: 4,096 events are half a minute at 150 events per
    second, and older events take less memory when folded into the base. The newest event is always kept,
    whatever its length.

    `most_members` bounds the stores in the folded server list: about 15 times those of the largest deployment
    planned.

    `most_purges` bounds the folded purges: over 1,000 per second through the whole retention.

    `purge_retention_ns` is how long a folded purge is kept. It must be at least `purge_settles_ns` of the
    gateways' settings, the time after which no store holds a copy older than the purge; the default is ten
    times the usual 6 s, to allow for clock differences and for stores that were unreachable.
    """

    most_bytes: int = 2**20
    most_events: int = 4_096
    most_members: int = 16_384
    most_purges: int = 65_536
    purge_retention_ns: int = 60 * S

    def __post_init__(self) -> None:
        if min(self.most_bytes, self.most_events, self.most_members, self.most_purges) < 1:
            raise ValueError("limits of a history must be above 0")
        if self.purge_retention_ns < 0:
            raise ValueError("the retention of purges must not be below 0")


@dataclass(frozen=True)
class AppendResult:
    """How many of the values given to `EventHistory.append` were new events (`taken`), events with a number
    not above the newest (`known`), and no valid events (`invalid`).
    """

    taken: int
    known: int
    invalid: int


@dataclass(frozen=True)
class HistoryCounters:
    """Counters of an event history since the relay's start, written to the relay's status under these names.

    `taken`, `known` and `invalid` are the sums of AppendResult. `unusable` counts invalid parts of events and
    list members, which are passed on but not folded; `folded` the events moved from the run to the base;
    `unknown_dropped` those of them with parts of unknown meaning, which are lost. `purges_superseded` counts
    folded purges for whose object or group another was as new or newer, `purges_settled` those dropped at the
    end of their retention, `purges_evicted` and `members_refused` those over a limit. `answers_encoded`
    counts answers encoded, `answers_compacted` those of them that were made with the base, `answers_shared`
    answers taken from the cache, `watchers_too_old` polls refused with WatcherTooOld.
    """

    taken: int
    known: int
    invalid: int
    unusable: int
    folded: int
    unknown_dropped: int
    purges_superseded: int
    purges_settled: int
    purges_evicted: int
    members_refused: int
    answers_encoded: int
    answers_shared: int
    answers_compacted: int
    watchers_too_old: int


class WatcherTooOld(LookupError):
    """The history no longer holds everything that a watcher missed, so its poll must be refused.

    Raised only while the limit on folded purges or on list members is exceeded, and only for a watcher whose
    event number is below the run.
    """


class EventHistory:
    """The run of newest events that a relay passes on, the base made from older ones, and a cache of encoded
    answers.
    """

    def __init__(self, limits: HistoryLimits) -> None:
        self._limits = limits
        self._run = EventLog()
        self._members = FoldedMembers(limits.most_members)
        self._purges = UnsettledPurges(limits.purge_retention_ns, limits.most_purges)
        self._folded_through = 0  # a watcher whose event number is below this needs events of the base
        self._list_known = False  # whether an event with a complete server list has been appended
        # `folded_through` of the newest complete list if an upstream relay made it from several events, until
        # the run has been folded up to that number; otherwise 0.
        self._list_through = 0
        self._revision = 0
        self._answers: dict[int, bytes] = {}
        self._answers_size = 0
        self._taken = 0
        self._known = 0
        self._invalid = 0
        self._unusable = 0
        self._folded = 0
        self._unknown_dropped = 0
        self._answers_encoded = 0
        self._answers_shared = 0
        self._answers_compacted = 0
        self._watchers_too_old = 0

    @property
    def revision(self) -> int:
        """The event number of the newest event appended; 0 before the first."""
        return self._revision

    @property
    def ready(self) -> bool:
        """Whether a complete server list has been appended; until then `since` returns no events."""
        return self._list_known

    @property
    def counters(self) -> HistoryCounters:
        """A copy of all counters since the relay's start."""
        return HistoryCounters(
            taken=self._taken,
            known=self._known,
            invalid=self._invalid,
            unusable=self._unusable,
            folded=self._folded,
            unknown_dropped=self._unknown_dropped,
            purges_superseded=self._purges.superseded,
            purges_settled=self._purges.settled,
            purges_evicted=self._purges.evicted,
            members_refused=self._members.refused,
            answers_encoded=self._answers_encoded,
            answers_shared=self._answers_shared,
            answers_compacted=self._answers_compacted,
            watchers_too_old=self._watchers_too_old,
        )

    def append(self, events: Sequence[Any], now: int) -> AppendResult:
        """Appends the events of an upstream answer, given as decoded JSON values in any order.

        Events whose number is at or below `revision` are ignored as known, so an upstream that has restarted
        with lower numbers or without events changes nothing. `now` is the Unix time in nanoseconds.
        """
        parsed, invalid = _parse_all(events)
        parsed.sort(key=_number)
        taken = 0
        for event in parsed:
            if event.number <= self._revision:
                continue
            try:
                encoded = encode_json(event.raw)
            except RecursionError:  # the event's JSON is nested too deeply to be encoded
                invalid += 1
                continue
            self._append_event(event, encoded, now)
            taken += 1
        self._purges.expire(now)
        if taken:
            self._answers.clear()
            self._answers_size = 0
        known = len(events) - taken - invalid
        self._taken += taken
        self._known += known
        self._invalid += invalid
        return AppendResult(taken, known, invalid)

    def _append_event(self, event: RelayEvent, encoded: bytes, now: int) -> None:
        self._run.append(event, encoded)
        self._revision = event.number
        self._unusable += event.unusable
        pool = event.pool
        if pool is not None and pool.complete:
            self._list_known = True
            if event.folded_through > event.number:
                self._list_through = event.folded_through
        run, limits = self._run, self._limits
        while len(run) > limits.most_events or (run.size > limits.most_bytes and len(run) > 1):
            self._fold_oldest(now)
        if self._list_through and self._list_through <= self._revision:
            self._fold_through_list(now)

    def _fold_through_list(self, now: int) -> None:
        """Folds the events of the run up to `_list_through`, whose changes the newest complete list includes.

        Otherwise a watcher that holds a number from the list's own up to that one would get a slice of the
        run without the list.
        """
        run = self._run
        while len(run) > 1 and run.oldest_number <= self._list_through:
            self._fold_oldest(now)
        self._folded_through = max(self._folded_through, self._list_through)
        if run.oldest_number > self._list_through:
            self._list_through = 0

    def _fold_oldest(self, now: int) -> None:
        event, encoded = self._run.remove_oldest()
        self._folded_through = max(self._folded_through, event.number)
        self._folded += 1
        if event.has_unknown:
            self._unknown_dropped += 1
        if event.pool is not None:
            self._members.fold(event.folded_through, event.pool)
        if event.purge is not None:
            if event.pool is not None or event.has_unknown:  # the base needs an encoding of the purge alone
                encoded = encode_json({"rev": event.number, "flush": event.raw["flush"]})
            self._purges.fold(event.number, event.purge, encoded, now)

    def since(self, revision: int, now: int) -> bytes | None:
        """Returns the JSON body with all events after `revision`, the newest that a watcher holds.

        None if there are no later events or no complete server list yet. Until the next append, all watchers
        that lack the same events get the same bytes object. Raises WatcherTooOld if a limit was exceeded and
        the watcher may have missed what was dropped.
        """
        if revision >= self._revision or not self._list_known:
            return None
        revision = max(revision, 0)
        if revision >= self._folded_through:
            key = self._run.first_after(revision)
        else:
            self._check_not_too_old(revision, now)
            key = -1 - self._equivalent_revision(revision)
        answer = self._answers.get(key)
        if answer is not None:
            self._answers_shared += 1
            return answer
        answer = self._encode_answer(revision)
        self._cache_answer(key, answer)
        return answer

    def empty_answer(self) -> bytes:
        """Returns the JSON body, with the newest event number and no events, for a poll that timed out."""
        return b'{"rev":%d,"notices":[]}' % self._revision

    def _check_not_too_old(self, revision: int, now: int) -> None:
        if self._members.number > revision and not self._members.complete and self._members.refused:
            self._watchers_too_old += 1
            raise WatcherTooOld("more stores are listed than this relay may hold")
        if revision < self._purges.incomplete_before(now):
            self._watchers_too_old += 1
            raise WatcherTooOld("more purges are unsettled than this relay may hold")

    def _equivalent_revision(self, revision: int) -> int:
        """Returns the number that stands for `revision` in the key of a cached compacted answer.

        Watchers with different event numbers share the cached answer if it would be the same for them.
        """
        members_number = self._members.number
        if members_number > revision:  # the answer includes the list, whose number depends on `revision`
            return revision
        lowest_purge = self._purges.lowest_number or self._folded_through
        return members_number if revision < lowest_purge else revision

    def _encode_answer(self, revision: int) -> bytes:
        self._answers_encoded += 1
        parts: list[bytes] = []
        if revision < self._folded_through:
            self._answers_compacted += 1
            parts = self._base_after(revision)
        run = self._run.encoded_after(revision)
        if run:
            parts.append(run)
        return b'{"rev":%d,"notices":[%b]}' % (self._revision, b",".join(parts))

    def _base_after(self, revision: int) -> list[bytes]:
        """Returns the compacted base (the folded purges and server list) for a watcher that holds `revision`,
        as JSON encodings of events in ascending order of their numbers.

        Only purges with numbers above `revision` are included. The server list is included with all its
        stores, or left out if the watcher already holds its newest change or if the list is incomplete.
        """
        records = self._purges.after(revision)
        parts = [record.encoded for record in records]
        if not self._members.complete or self._members.number <= revision:
            return parts
        highest = min(self._members.number, self._folded_through)
        index, number = _first_free_number(records, revision, highest)
        pool = b'"pool":%b,"%b":%d}' % (
            self._members.encoded_pool(),
            FOLDED_THROUGH.encode(),
            self._members.number,
        )
        # If the list must share its number with a purge, one event holds both.
        if index < len(records) and records[index].number == number:
            parts[index] = b"%b,%b" % (parts[index][:-1], pool)
        else:
            parts.insert(index, b'{"rev":%d,%b' % (number, pool))
        return parts

    def _cache_answer(self, key: int, answer: bytes) -> None:
        """Caches an encoded answer for other watchers; clears the cache first if a bound would be exceeded.

        An answer that alone exceeds the bound on bytes is therefore still cached, as the only one.
        """
        size = self._answers_size + len(answer)
        if size > MAX_CACHED_RUNS * self._limits.most_bytes or len(self._answers) >= MAX_CACHED_ANSWERS:
            self._answers.clear()
            self._answers_size = 0
        self._answers[key] = answer
        self._answers_size += len(answer)


def _first_free_number(records: list[PurgeRecord], above: int, highest: int) -> tuple[int, int]:
    """Finds the lowest event number above `above` that none of the purges in `records` has.

    Returns the index in `records` at which an event of that number belongs, and the number. If no number
    below `highest` is free, the number is `highest`, which a purge may have.
    """
    number = above + 1
    index = 0
    while number < highest and index < len(records) and records[index].number == number:
        number += 1
        index += 1
    return index, number


def _number(event: RelayEvent) -> int:
    return event.number


def _parse_all(events: Sequence[Any]) -> tuple[list[RelayEvent], int]:
    """Returns the parsed events, and how many of the values are not valid events."""
    parsed: list[RelayEvent] = []
    invalid = 0
    for raw in events:
        try:
            parsed.append(parse_event(raw))
        except InvalidRelayEvent:
            invalid += 1
    return parsed, invalid
