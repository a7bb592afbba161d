"""A folder's snapshots: written so that a power cut leaves the old whole or the new whole, and read from the
newest that is whole."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field

from olivecourse.memory import codec, container
from olivecourse.memory.container import Unusable
from olivecourse.memory.disk import Disk
from olivecourse.memory.generations import Reason, file_name, following, parse, surplus
from olivecourse.memory.lessons import Snapshot


@dataclass
class Found:
    """What a folder holds: the snapshot, if there is one, and each newer file that was passed by."""

    snapshot: Snapshot | None = None
    name: str = ""
    version: int = 0
    passed: list[tuple[str, Reason, str]] = field(default_factory=list)


class Folder:
    """`save` raises OSError; `load` only where there is no folder, and nothing for what files hold."""

    def __init__(self, disk: Disk, part: str, keep: int, most: int, key: bytes | None) -> None:
        self._disk, self._part, self._keep, self._most, self._key = disk, part, keep, most, key

    def save(self, header: bytes, body: list[bytes]) -> str:
        """Returns the file's name once it is durable. A failure before leaves what was there."""
        pieces = container.seal(header, body, self._key)
        if sum(map(len, pieces)) > self._most:
            raise OSError(f"a snapshot of {sum(map(len, pieces))} bytes is over the bound of {self._most}")
        temporary = f"{self._part}.tmp"
        handle = self._disk.create(temporary)
        try:
            for piece in pieces:
                if piece:
                    self._disk.write(handle, piece)
            self._disk.sync(handle)
        finally:
            self._disk.close(handle)
        name = file_name(self._part, following(parse(self._part, self._disk.names())))
        self._disk.rename(temporary, name)
        self._disk.sync_folder()
        # Only now: an older one may be needed until the new one is sure to be found.
        for old in surplus(parse(self._part, self._disk.names()), self._keep):
            with contextlib.suppress(OSError):
                self._disk.unlink(old.name)
        return name

    def load(self, gateway: str | None) -> Found:
        """The newest snapshot that is whole and this gateway's."""
        found = Found()
        for generation in parse(self._part, self._disk.names()):
            if not generation.readable:
                continue
            try:
                contents = container.unseal(self._disk.read(generation.name, self._most), self._key)
                found.snapshot = codec.read(contents, gateway)
                found.name, found.version = generation.name, contents.version
                break
            except Unusable as bad:
                found.passed.append((generation.name, bad.reason, str(bad)))
            except OSError as error:
                found.passed.append((generation.name, Reason.DAMAGED, error.strerror or str(error)))
        return found

    def set_aside(self, found: Found) -> list[str]:
        """Renames what was passed by, its bytes untouched, so that it is neither read nor overwritten.
        Returns the new names; on a disk that cannot be written nothing changes."""
        named = []
        generations = {g.name: g for g in parse(self._part, self._disk.names())}
        for name, reason, _ in found.passed:
            if name in generations:
                aside = file_name(self._part, generations[name].number, reason)
                with contextlib.suppress(OSError):
                    self._disk.rename(name, aside)
                    named.append(aside)
        if named:
            with contextlib.suppress(OSError):
                self._disk.sync_folder()
        return named

    def clear(self) -> int:
        """Removes every whole snapshot; how many there were."""
        whole = [g for g in parse(self._part, self._disk.names()) if g.readable]
        for generation in whole:
            self._disk.unlink(generation.name)
        self._disk.sync_folder()
        return len(whole)
