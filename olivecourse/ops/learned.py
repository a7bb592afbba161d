"""What a Router has learned, for the process that follows at once: memory's lessons as JSON, not aged.

The lessons and how a fresh Router takes them up are those of `olivecourse.memory`, without its files.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from olivecourse.choice import Router
from olivecourse.memory.ageing import DEFAULTS, Elapsed, Policy
from olivecourse.memory.collect import Watcher, collect
from olivecourse.memory.lessons import Snapshot, Stamp
from olivecourse.memory.uptake import Uptake

MOST = 2**20  # bytes
POLICY = Policy(DEFAULTS)


def pack(router: Router, watcher: Watcher, name: str, now: int, unix_ns: int) -> bytes:
    """All of it in one go: some 60 stores and a few hundred hot objects, a few milliseconds."""
    snapshot = Snapshot(name, Stamp(unix_ns), router.density)
    for lessons in collect(router, watcher, now):
        snapshot.file(lessons)
    snapshot.intervals = [replace(i, t=min(i.t, 1e300)) for i in snapshot.intervals]  # JSON has no infinity
    return msgspec.json.encode(snapshot)


def adopt(router: Router, data: bytes, now: int, unix_ns: int) -> Uptake:
    """Before the Router's first event. Raises ValueError, and then nothing has been taken."""
    if len(data) > MOST:
        raise ValueError(f"{len(data)} bytes")
    snapshot = msgspec.json.decode(data, type=Snapshot)  # a ValidationError is a ValueError
    gone = max(unix_ns - snapshot.stamp.unix_ns, 0)
    uptake = Uptake(snapshot, Elapsed(gone, True), now, POLICY)
    uptake.begin(router, now)
    return uptake
