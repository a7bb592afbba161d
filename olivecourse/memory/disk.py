"""The file system calls that memory makes, behind one interface.

Tests replace the implementation by a disk that loses power.
"""

from __future__ import annotations

import errno
import fcntl
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from olivecourse.memory.lessons import Stamp


class Disk(Protocol):
    """Operations on the files of one folder, by name. Every call may raise OSError."""

    def names(self) -> list[str]:
        """The names of all files of the folder."""
        ...

    def read(self, name: str, max_bytes: int) -> bytes:
        """The contents of a file; raises OSError if it is longer than `max_bytes`."""
        ...

    def create(self, name: str) -> int:
        """Creates an empty file, replaces one of the same name, and returns a handle."""
        ...

    def write(self, handle: int, data: bytes) -> None:
        """Appends all of `data` to a file."""
        ...

    def sync(self, handle: int) -> None:
        """Makes the contents of a file durable."""
        ...

    def close(self, handle: int) -> None:
        """Closes a file."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames a file."""
        ...

    def unlink(self, name: str) -> None:
        """Removes a file."""
        ...

    def sync_folder(self) -> None:
        """Makes the creation, renaming and removal of files durable."""
        ...


class FolderLocked(OSError):
    """The folder is locked by another gateway."""


class FolderDisk:
    """A folder of the file system, created if its parent exists.

    The folder is opened once: if it is then moved or replaced, calls fail instead of writing elsewhere.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._folder = -1
        self._lock = -1

    def open(self, make: bool = True) -> None:
        """Opens the folder, and creates it if it is missing and `make` is True; raises OSError.

        A running gateway does not create the folder: if the folder is missing then, its disk may have been
        unmounted, and the path may lead to another disk.
        """
        self.release()
        if make and not self.path.exists():
            self.path.mkdir(mode=0o700)
        self._folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)

    @property
    def opened(self) -> bool:
        """Whether the folder is open."""
        return self._folder >= 0

    def path_unchanged(self) -> bool:
        """Whether the path still leads to the folder that was opened."""
        try:
            current, opened = os.stat(self.path), os.fstat(self._folder)
        except OSError:
            return False
        return (current.st_ino, current.st_dev) == (opened.st_ino, opened.st_dev)

    def lock(self, name: str) -> None:
        """Locks the folder for the life of this process; raises FolderLocked or OSError.

        If the folder cannot be written, the folder itself is locked instead of a lock file.
        """
        try:
            handle = os.open(name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600, dir_fd=self._folder)
        except OSError as error:
            if error.errno not in (errno.EROFS, errno.EACCES, errno.ENOSPC, errno.EDQUOT):
                raise
            handle = os.dup(self._folder)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(handle)
            raise FolderLocked(f"{self.path}: another gateway works on this folder") from None
        except OSError:
            os.close(handle)
            raise
        self._lock = handle

    def open_locked(self, name: str, make: bool = True) -> None:
        """Opens and locks the folder, or does neither: an unlocked folder may be another gateway's."""
        self.open(make)
        try:
            self.lock(name)
        except OSError:
            self.release()
            raise

    def release(self) -> None:
        """Closes the folder and releases its lock."""
        for handle in (self._lock, self._folder):
            if handle >= 0:
                os.close(handle)
        self._lock = self._folder = -1

    def names(self) -> list[str]:
        return os.listdir(self._folder)

    def read(self, name: str, max_bytes: int) -> bytes:
        handle = os.open(name, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW, dir_fd=self._folder)
        try:
            if os.fstat(handle).st_size > max_bytes:
                raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
            data = bytearray()
            while part := os.read(handle, 2**20):
                data += part
                if len(data) > max_bytes:
                    raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
            return bytes(data)
        finally:
            os.close(handle)

    def create(self, name: str) -> int:
        if not self.path_unchanged():
            raise OSError(errno.ENOENT, "the folder is gone")
        try:
            os.unlink(name, dir_fd=self._folder)  # the remainder of an interrupted write
        except FileNotFoundError:
            pass
        return os.open(name, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600, dir_fd=self._folder)

    def write(self, handle: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, handle: int) -> None:
        os.fsync(handle)

    def close(self, handle: int) -> None:
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new, src_dir_fd=self._folder, dst_dir_fd=self._folder)

    def unlink(self, name: str) -> None:
        os.unlink(name, dir_fd=self._folder)

    def sync_folder(self) -> None:
        os.fsync(self._folder)


def stamp_now() -> Stamp:
    """The present time by both clocks of a Stamp."""
    try:
        boot_id = Path("/proc/sys/kernel/random/boot_id").read_text("ascii").strip()
    except (OSError, ValueError):
        boot_id = ""  # the age of the snapshot will then be uncertain
    return Stamp(time.time_ns(), boot_id, time.clock_gettime_ns(time.CLOCK_BOOTTIME) if boot_id else 0)


Clock = Callable[[], Stamp]
