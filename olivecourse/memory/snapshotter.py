"""Restores the state of the Routers of one process at the start, and writes snapshots while they run.

`schedule` decides when a snapshot begins. The event loop collects the state of the Routers in slices, and a
writer thread writes the snapshot to disk.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from olivecourse.choice import Router
from olivecourse.memory import codec
from olivecourse.memory.collect import SLICE, IntervalRecorder, collect
from olivecourse.memory.decay import elapsed
from olivecourse.memory.disk import Clock, FolderDisk, FolderLocked, stamp_now
from olivecourse.memory.folder import Folder, LoadResult
from olivecourse.memory.merging import merged
from olivecourse.memory.records import Record, Snapshot
from olivecourse.memory.restore import SnapshotRestore
from olivecourse.memory.schedule import LogEntry, Schedule
from olivecourse.memory.section import MemoryConfig
from olivecourse.net.loop import Loop
from olivecourse.net.worker import Worker

MS = 1_000_000
# Time between checks whether a Router's interval of load counting, which lasts 5 s, has ended.
INTERVAL_CHECK_NS = 1_000 * MS
TICK_NS = 100 * MS  # period of the timer for checks of restores, counting intervals, writes, due snapshots
# The restore of a Router's state ends when it knows its stores, or after this time even if it does not; it is
# then logged.
RESTORE_TIMEOUT_NS = 2_000 * MS
STOP_S = 1.0  # longest time in seconds that the last snapshot's write may delay the end of the process
PART = "router"  # first part of the names of the snapshot files and of the lock file
PROGRAM = "0.3.0"  # program version in the header of the snapshot files


@dataclass(eq=False)
class TrackedRouter:
    """One Router whose state is restored and saved.

    `since` is when `Snapshotter.attach` took it, by the event loop's clock. `restore` restores its state, and
    is None if there was no snapshot.
    """

    router: Router
    since: int
    restore: SnapshotRestore | None = None
    interval_recorder: IntervalRecorder = field(default_factory=IntervalRecorder)
    restore_done: bool = False


class Snapshotter:
    """Saves and restores the state of the Routers of one process.

    The constructor locks the folder and loads the newest snapshot. It raises FolderLocked if another process
    uses the folder; disk faults are only logged.
    """

    def __init__(
        self, loop: Loop, config: MemoryConfig, name: str, log: Callable[..., None], clock: Clock = stamp_now
    ) -> None:
        self._loop, self._config, self._name, self._log, self._clock = loop, config, name, log, clock
        self._policy = config.section.policy()
        self._disk = FolderDisk(config.folder)
        section = config.section
        self._folder = Folder(self._disk, PART, section.keep, section.max_kb * 1024, config.key())
        self._loaded = LoadResult()
        self._read_at = self._clock()
        self._routers: list[TrackedRouter] = []
        self._steps: Iterator[None] | None = None
        self._next_interval_check = 0
        self._stopped = False
        self._worker = Worker(loop, "memory")
        self.schedule = Schedule(int(config.section.interval_s * 1000) * MS, loop.clock.now())
        self._open()

    def _open(self) -> None:
        try:
            self._disk.open_locked(f"{PART}.lock")
            self._loaded = self._folder.load(self._name)
        except FolderLocked:
            raise
        except OSError as error:
            # Requests are served without saved state: a disk fault must not stop the gateway.
            self._log("memory_unusable", folder=str(self._config.folder), why=error.strerror or str(error))
            return
        renamed = self._folder.set_aside(self._loaded)
        for name, reason, why in self._loaded.skipped:
            self._log(
                "memory_set_aside",
                file=name,
                reason=reason.value,
                why=why,
                aside=any(a.endswith(reason.value) for a in renamed),
            )
        if self._loaded.snapshot is None:
            self._log("memory_empty", folder=str(self._config.folder))

    # Routers -----------------------------------------------------------------------------------------

    def attach(self, router: Router) -> None:
        """Restores saved state into a new Router and tracks it; must be called before its first event.

        The state is the present one of this process's other Routers, if any has been restored, and otherwise
        the loaded snapshot.
        """
        now = self._loop.clock.now()
        tracked = TrackedRouter(router, now)
        restored_routers = [s for s in self._routers if s.restore_done]
        snapshot, read_at = (
            (self._live_snapshot(restored_routers), self._clock())
            if restored_routers
            else (self._loaded.snapshot, self._clock())
        )
        if snapshot is not None:
            tracked.restore = SnapshotRestore(snapshot, elapsed(snapshot.stamp, read_at), now, self._policy)
            tracked.restore.begin(router, now)
        self._routers.append(tracked)

    def detach(self, router: Router) -> None:
        """Stops tracking a Router whose forwarder has gone.

        The state of the last tracked Router is kept in memory, for the next one that is attached.
        """
        leaving = [s for s in self._routers if s.router is router]
        if leaving and len(self._routers) == 1:
            self._loaded.snapshot = self._live_snapshot(leaving)
        self._routers = [s for s in self._routers if s.router is not router]

    def _live_snapshot(self, routers: list[TrackedRouter]) -> Snapshot:
        """The present state of `routers`, merged into one snapshot that is not written to disk."""
        now = self._loop.clock.now()
        snapshot = Snapshot(self._name, self._clock(), self._density(routers))
        records = [x for s in routers for part in collect(s.router, s.interval_recorder, now) for x in part]
        snapshot.add(merged(records))
        return snapshot

    @staticmethod
    def _density(routers: list[TrackedRouter]) -> float:
        return max((s.router.density for s in routers), default=0.0)

    # Timers ------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Starts the timer of TICK_NS on the event loop that begins snapshots and checks the Routers."""
        self._loop.after(TICK_NS, self._tick)

    def _tick(self) -> None:
        if self._stopped:
            return
        now = self._loop.clock.now()
        for tracked in self._routers:
            if not tracked.restore_done:
                self._finish_restore(tracked, now)
        if now >= self._next_interval_check:
            self._next_interval_check = now + INTERVAL_CHECK_NS
            for tracked in self._routers:
                tracked.interval_recorder.update(tracked.router, now)
        self._log_entries(self.schedule.check_slow(now))
        if self._routers and self.schedule.begins(now):
            self._steps = self._collecting()
            self._step()
        self._loop.after(TICK_NS, self._tick)

    def _finish_restore(self, tracked: TrackedRouter, now: int) -> None:
        restore = tracked.restore
        if restore is None:
            tracked.restore_done = True
        elif restore.update_threshold(tracked.router) or now - tracked.since > RESTORE_TIMEOUT_NS:
            tracked.restore_done = True
            self._log(
                "memory_taken_up",
                file=self._loaded.name,
                version=self._loaded.version,
                age_s=round(restore.age_ns / 1e9, 1),
                **restore.restored,
                dropped=restore.dropped.counts,
            )

    def _step(self) -> None:
        """Does one slice of a snapshot's collection; the next follows in the event loop's next turn."""
        if self._steps is None or self._stopped:
            return
        try:
            next(self._steps)
        except StopIteration:
            self._steps = None
            return
        self._loop.after(0, self._step)

    def _collecting(self) -> Iterator[None]:
        now, routers = self._loop.clock.now(), list(self._routers)
        header = codec.write_header(self._name, self._clock(), PROGRAM)
        records: list[Record] = []
        for tracked in routers:
            for part in collect(tracked.router, tracked.interval_recorder, now):
                records += part
                yield
        if len(routers) > 1:
            records = merged(records)
            yield
        pieces = [codec.write_part((), self._density(routers))]
        for i in range(0, len(records), SLICE):
            pieces.append(codec.write_part(records[i : i + SLICE]))
            yield
        self.schedule.collected(self._loop.clock.now())
        if not self._worker.submit(lambda: self._save(header, pieces), self._saved):
            self._saved(None, OSError("the writer's queue is full"))

    def _save(self, header: bytes, pieces: list[bytes]) -> str:
        """Writes the snapshot and returns the file's name; runs on the writer thread.

        A memory folder that was moved or replaced is opened again by its path, but never created.
        """
        if not self._disk.opened or not self._disk.path_unchanged():
            self._disk.open_locked(f"{PART}.lock", make=False)
        return self._folder.save(header, pieces)

    def _saved(self, name: str | None, error: Exception | None) -> None:
        why = None if error is None else getattr(error, "strerror", None) or str(error) or repr(error)
        self._log_entries(self.schedule.ended(self._loop.clock.now(), why))

    def _log_entries(self, entries: list[LogEntry]) -> None:
        for entry in entries:
            self._log(
                entry.event, folder=str(self._config.folder), **({"why": entry.why} if entry.why else {})
            )

    def stop(self) -> None:
        """Writes a last snapshot after the event loop has ended; gives up after STOP_S."""
        if self._stopped:
            return
        if self._routers:
            for _ in self._steps or self._collecting():
                pass
        self._stopped = True
        if not self._worker.stop(STOP_S):
            self._log("memory_left_unwritten", folder=str(self._config.folder))
            return  # the writer thread still uses the folder, which stays locked until the process ends
        self._disk.release()
