"""The learned state of a Router (the decision module) as JSON, passed to the successor process in a hot
restart.

The records, and how a new Router restores them, are those of `olivecourse.memory`, but without its files. The
records age only by the time of the transfer, because the successor takes over at once.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from olivecourse.choice import Router
from olivecourse.memory.collect import IntervalRecorder, collect
from olivecourse.memory.decay import DEFAULTS, Elapsed, Policy
from olivecourse.memory.records import Snapshot, Stamp
from olivecourse.memory.restore import SnapshotRestore

MAX_STATE_BYTES = 2**20  # longest encoded state that `restore_state` accepts
AGEING_POLICY = Policy(DEFAULTS)  # how much weight a record keeps by its age, as with snapshot files


def encode_state(
    router: Router, interval_recorder: IntervalRecorder, name: str, now: int, unix_ns: int
) -> bytes:
    """Returns the Router's whole learned state as JSON, encoded in one call.

    About 60 stores and a few hundred hot objects take a few milliseconds.

    `interval_recorder` holds the Router's ended counting intervals, `name` is the gateway's name, `now` the
    Router's clock and `unix_ns` the Unix time, both in nanoseconds.
    """
    snapshot = Snapshot(name, Stamp(unix_ns), router.density)
    for records in collect(router, interval_recorder, now):
        snapshot.add(records)
    # JSON can't represent infinity, which the popularity threshold T of an interval may be.
    snapshot.intervals = [replace(interval, t=min(interval.t, 1e300)) for interval in snapshot.intervals]
    return msgspec.json.encode(snapshot)


def restore_state(router: Router, data: bytes, now: int, unix_ns: int) -> SnapshotRestore:
    """Restores the state that `encode_state` returned into a Router that has had no event yet.

    Returns the SnapshotRestore, whose `update_threshold` the caller calls once the Router knows its stores.
    Raises ValueError for an invalid or too long state, and then leaves the Router unchanged.
    """
    if len(data) > MAX_STATE_BYTES:
        raise ValueError(f"{len(data)} bytes are too many")
    snapshot = msgspec.json.decode(data, type=Snapshot)  # raises ValidationError, a ValueError
    elapsed_ns = max(unix_ns - snapshot.stamp.unix_ns, 0)
    restore = SnapshotRestore(snapshot, Elapsed(elapsed_ns, True), now, AGEING_POLICY)
    restore.begin(router, now)
    return restore
