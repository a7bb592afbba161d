"""The snapshot files of a folder.

A snapshot is written so that a power cut leaves either the old or the new one intact. The newest intact
snapshot is read.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field

from olivecourse.memory import codec, container
from olivecourse.memory.container import UnusableFile
from olivecourse.memory.disk import Disk
from olivecourse.memory.generations import Reason, file_name, next_number, parse, surplus
from olivecourse.memory.lessons import Snapshot


@dataclass
class LoadResult:
    """The result of loading a folder: the snapshot, if there is one, and each newer file that was skipped."""

    snapshot: Snapshot | None = None
    name: str = ""
    version: int = 0
    skipped: list[tuple[str, Reason, str]] = field(default_factory=list)


class Folder:
    """Saves and loads snapshots. Both raise OSError: `load` only if the folder cannot be listed."""

    def __init__(self, disk: Disk, part: str, keep: int, max_bytes: int, key: bytes | None) -> None:
        self._disk, self._part, self._keep, self._max_bytes, self._key = disk, part, keep, max_bytes, key

    def save(self, header: bytes, body: list[bytes]) -> str:
        """Writes a snapshot and returns the file's name once the file is durable.

        If the write fails, the existing files are unchanged.
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
        # Older files are removed only now: until the new name is durable, one of them may be needed.
        for old in surplus(parse(self._part, self._disk.names()), self._keep):
            with contextlib.suppress(OSError):
                self._disk.unlink(old.name)
        return name

    def load(self, gateway: str | None) -> LoadResult:
        """Loads the newest intact snapshot of `gateway`, or of any gateway if None."""
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
        """Renames the skipped files, without changing their contents, so that none is read or overwritten.

        Returns the new names. If the disk cannot be written, nothing changes.
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
        """Removes every snapshot that has not been set aside; returns their number."""
        intact = [g for g in parse(self._part, self._disk.names()) if g.readable]
        for generation in intact:
            self._disk.unlink(generation.name)
        self._disk.sync_folder()
        return len(intact)
