"""Converts the records of a snapshot to protobuf (wire/memory.proto) and back.

The range of every value that is read is checked: the checksum of a file proves that it is as it was written,
not that its writer was correct.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from olivecourse.memory.container import Contents, UnusableFile
from olivecourse.memory.generations import Reason
from olivecourse.memory.records import (
    ClassRecord,
    Interval,
    PurgeRecord,
    Record,
    Snapshot,
    Stamp,
    StoreRecord,
)
from olivecourse.memory.wire import memory_pb2 as pb

MAX_NS = 10 * 365 * 86_400 * 10**9  # longest duration in ns that is accepted in a snapshot file: 10 years
# Most entries of each kind that are accepted in a snapshot file; MAX_HOT applies to the frequently requested
# (hot) objects of one counting interval.
MAX_STORES, MAX_CLASSES, MAX_INTERVALS, MAX_PURGES, MAX_HOT = 4096, 256, 16, 65_536, 4096


def write_header(gateway: str, stamp: Stamp, program: str) -> bytes:
    """Serialises a snapshot file's header: the gateway's name, the snapshot's time, the program's version."""
    return bytes(
        pb.Header(
            gateway=gateway,
            unix_ns=stamp.unix_ns,
            boot_id=stamp.boot_id,
            boot_ns=stamp.boot_ns,
            program=program,
        ).SerializeToString()
    )


def write_part(records: Iterable[Record], density: float = 0.0) -> bytes:
    """Serialises some records as a part of a Snapshot.

    Concatenated in any order, the parts are the serialised protobuf message Snapshot. `density`, the mean
    worth of a request per ns of sending time, is given to one part only.
    """
    part = pb.Snapshot(density=density)
    for record in records:
        if isinstance(record, StoreRecord):
            part.stores.add(
                cache=record.cache,
                life=record.life,
                pain=record.pain,
                wait_ns=record.wait_ns,
                limit=record.limit,
                failing=record.failing,
                credit_ns=record.credit_ns,
                pain_age_ns=record.pain_age_ns,
            )
        elif isinstance(record, ClassRecord):
            part.classes.add(name=record.name, size_ns=record.size_ns, fill_part=record.fill_part)
        elif isinstance(record, Interval):
            part.intervals.add(
                age_ns=record.age_ns,
                total=record.total,
                distinct=record.distinct,
                arrivals=record.arrivals,
                t=record.t,
                hot=[pb.Hot(object=k, amount=v) for k, v in record.counts.items()],
            )
        else:
            purge = part.purges.add(age_ns=record.age_ns, left_ns=record.left_ns)
            if isinstance(record.key, int):
                purge.group = record.key
            else:
                purge.object = record.key
    return bytes(part.SerializeToString())


def _within(value: float, minimum: float, maximum: float, what: str) -> float:
    if not minimum <= value <= maximum:  # written so that NaN is rejected too
        raise UnusableFile(Reason.DAMAGED, f"{what} is {value}")
    return value


def read_header(contents: Contents) -> tuple[str, Stamp]:
    """The name of the gateway that wrote a snapshot file, and the snapshot's time; raises UnusableFile."""
    try:
        message = pb.Header.FromString(contents.header)
    except DecodeError:
        raise UnusableFile(Reason.DAMAGED, "the header cannot be read") from None
    if contents.version < 2:
        return message.gateway, Stamp(message.unix_ns)
    return message.gateway, Stamp(message.unix_ns, message.boot_id, message.boot_ns)


def read(contents: Contents, gateway: str | None) -> Snapshot:
    """Reads the snapshot in the contents of a file that `gateway` wrote, or that any gateway wrote if None.

    Raises UnusableFile, and nothing else, if another gateway wrote it or a value is not valid.
    """
    owner, stamp = read_header(contents)
    if gateway is not None and owner != gateway:
        raise UnusableFile(Reason.OTHER, f"written by gateway {owner!r}")
    try:
        raw = pb.Snapshot.FromString(contents.body)
    except DecodeError:
        raise UnusableFile(Reason.DAMAGED, "the body cannot be read") from None
    for rows, maximum in (
        (raw.stores, MAX_STORES),
        (raw.classes, MAX_CLASSES),
        (raw.intervals, MAX_INTERVALS),
        (raw.purges, MAX_PURGES),
    ):
        _within(len(rows), 0, maximum, "the number of entries")
    return Snapshot(
        owner,
        stamp,
        _within(raw.density, 0, 1e9, "density"),
        [
            StoreRecord(
                s.cache,
                s.life,
                _within(s.pain, 0, 1, "pain"),
                _within(s.wait_ns, 0, MAX_NS, "wait") if s.HasField("wait_ns") else None,
                _within(s.limit, 0, 1e9, "limit"),
                s.failing,
                _within(s.credit_ns, 0, 1e30, "credit") if s.HasField("credit_ns") else None,
                s.pain_age_ns,
            )
            for s in raw.stores
        ],
        [
            ClassRecord(c.name, _within(c.size_ns, 0, MAX_NS, "size"), _within(c.fill_part, 0, 1e3, "fills"))
            for c in raw.classes
        ],
        [_interval(i) for i in raw.intervals],
        [
            PurgeRecord(
                p.group if p.WhichOneof("what") == "group" else p.object,
                p.age_ns,
                int(_within(p.left_ns, 0, MAX_NS, "a purge")),
            )
            for p in raw.purges
        ],
    )


def _interval(raw: pb.Interval) -> Interval:
    _within(len(raw.hot), 0, MAX_HOT, "the number of hot objects")
    counts = {h.object: _within(h.amount, 0, 1e30, "a count") for h in raw.hot}
    t = raw.t if raw.t == math.inf else _within(raw.t, 1e-9, 1e30, "T")
    return Interval(
        raw.age_ns,
        counts,
        _within(raw.total, 0, 1e30, "a total"),
        _within(raw.distinct, 0, 1e12, "distinct"),
        raw.arrivals,
        t,
    )
