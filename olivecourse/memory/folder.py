"""Saves and loads the snapshot files of a memory folder.

A snapshot is written so that a power cut leaves either the previous or the new one intact. The newest intact
snapshot is loaded.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field

from olivecourse.memory import codec, container
from olivecourse.memory.container import UnusableFile
from olivecourse.memory.disk import Disk
from olivecourse.memory.generations import Reason, file_name, next_number, parse, surplus
from olivecourse.memory.records import Snapshot


@dataclass
class LoadResult:
    """The newest intact snapshot of a memory folder, if there is one, with its file name and format version.

    `skipped` lists each newer file that could not be restored: its name, the reason and a description.
    """

    snapshot: Snapshot | None = None
    name: str = ""
    version: int = 0
    skipped: list[tuple[str, Reason, str]] = field(default_factory=list)


class Folder:
    """Saves and loads the snapshot files of one memory folder whose names begin with `part`.

    `keep` is the number of snapshots kept, `max_bytes` the greatest size of one, and `key` the MAC key of the
    files, if any. `save` raises OSError on any disk fault, `load` only if the folder cannot be listed.
    """

    def __init__(self, disk: Disk, part: str, keep: int, max_bytes: int, key: bytes | None) -> None:
        self._disk, self._part, self._keep, self._max_bytes, self._key = disk, part, keep, max_bytes, key

    def save(self, header: bytes, body: list[bytes]) -> str:
        """Writes a snapshot and returns the file's name once the file is durable.

        `body` holds the parts of one serialised Snapshot. If the write fails, the existing snapshots are
        unchanged.
        """
        pieces = container.seal(header, body, self._key)
        if sum(map(len, pieces)) > self._max_bytes:
            raise OSError(
                f"a snapshot of {sum(map(len, pieces))} bytes exceeds the limit of {self._max_bytes}"
            )
        temporary = f"{self._part}.tmp"
        handle = self._disk.create(temporary)
        try:
            for piece in pieces:
                if piece:
                    self._disk.write(handle, piece)
            self._disk.sync(handle)
        finally:
            self._disk.close(handle)
        name = file_name(self._part, next_number(parse(self._part, self._disk.names())))
        self._disk.rename(temporary, name)
        self._disk.sync_folder()
        # Older files are removed only now: a power cut before the new name is durable leaves only them.
        for old in surplus(parse(self._part, self._disk.names()), self._keep):
            with contextlib.suppress(OSError):
                self._disk.unlink(old.name)
        return name

    def load(self, gateway: str | None) -> LoadResult:
        """Loads the newest intact snapshot that `gateway` wrote, or that any gateway wrote if None."""
        found = LoadResult()
        for generation in parse(self._part, self._disk.names()):
            if not generation.readable:
                continue
            try:
                contents = container.unseal(self._disk.read(generation.name, self._max_bytes), self._key)
                found.snapshot = codec.read(contents, gateway)
                found.name, found.version = generation.name, contents.version
                break
            except UnusableFile as bad:
                found.skipped.append((generation.name, bad.reason, str(bad)))
            except OSError as error:
                found.skipped.append((generation.name, Reason.DAMAGED, error.strerror or str(error)))
        return found

    def set_aside(self, found: LoadResult) -> list[str]:
        """Renames the files that `load` skipped, so that none of them is loaded or removed as a snapshot.

        Their contents are not changed. Returns the new names; a file that cannot be renamed stays as it is.
        """
        renamed = []
        generations = {g.name: g for g in parse(self._part, self._disk.names())}
        for name, reason, _ in found.skipped:
            if name in generations:
                aside = file_name(self._part, generations[name].number, reason)
                with contextlib.suppress(OSError):
                    self._disk.rename(name, aside)
                    renamed.append(aside)
        if renamed:
            with contextlib.suppress(OSError):
                self._disk.sync_folder()
        return renamed

    def clear(self) -> int:
        """Removes every snapshot file, except those set aside as unusable; returns how many were removed."""
        intact = [g for g in parse(self._part, self._disk.names()) if g.readable]
        for generation in intact:
            self._disk.unlink(generation.name)
        self._disk.sync_folder()
        return len(intact)
