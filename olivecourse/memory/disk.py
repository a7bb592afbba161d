"""The file system calls by which snapshots are read and written, behind the interface `Disk`.

Tests replace the implementation by a simulated disk that loses power.
"""

from __future__ import annotations

import errno
import fcntl
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from olivecourse.memory.records import Stamp


class Disk(Protocol):
    """Operations on the files of one memory folder, by file name. Every call may raise OSError."""

    def names(self) -> list[str]:
        """The names of all files and subfolders in the memory folder."""
        ...

    def read(self, name: str, max_bytes: int) -> bytes:
        """The contents of a file; raises OSError if it is longer than `max_bytes`."""
        ...

    def create(self, name: str) -> int:
        """Creates an empty file in place of any of the same name, and returns a handle for writing."""
        ...

    def write(self, handle: int, data: bytes) -> None:
        """Appends all of `data` to the file of a handle that `create` returned; not durable before `sync`."""
        ...

    def sync(self, handle: int) -> None:
        """Returns once the contents of the file are on disk; its name is durable only after `sync_folder`."""
        ...

    def close(self, handle: int) -> None:
        """Closes the file of a handle that `create` returned, without making its contents durable."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames a file, and replaces one of the new name; not durable before `sync_folder`."""
        ...

    def unlink(self, name: str) -> None:
        """Removes a file; not durable before `sync_folder`."""
        ...

    def sync_folder(self) -> None:
        """Returns once all creations, renamings and removals of files in the memory folder are on disk."""
        ...


class FolderLocked(OSError):
    """The memory folder is locked by another process, usually a running gateway."""


class FolderDisk:
    """Implements `Disk` on a folder of the file system, which is held open as a file descriptor.

    `create` fails if the folder has been moved or replaced since it was opened, instead of writing elsewhere.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._folder = -1
        self._lock = -1

    def open(self, make: bool = True) -> None:
        """Opens the memory folder, and creates it in an existing parent if `make` is True; raises OSError.

        A gateway passes True only at its start. If the folder is missing later, its disk may have been
        unmounted, and a new folder would be created on the disk below.
        """
        self.release()
        if make and not self.path.exists():
            self.path.mkdir(mode=0o700)
        self._folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)

    @property
    def opened(self) -> bool:
        """Whether `open` has succeeded and `release` has not been called since."""
        return self._folder >= 0

    def path_unchanged(self) -> bool:
        """Whether the path still leads to the memory folder that was opened, by inode and device number."""
        try:
            current, opened = os.stat(self.path), os.fstat(self._folder)
        except OSError:
            return False
        return (current.st_ino, current.st_dev) == (opened.st_ino, opened.st_dev)

    def lock(self, name: str) -> None:
        """Locks the memory folder by the lock file `name`, until `release` or the end of this process.

        If no file can be created there (no permission, read-only or full disk), the folder itself is locked
        instead. Raises FolderLocked if another process holds the lock, or OSError.
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
        """Opens the memory folder and locks it by the lock file `name`; raises FolderLocked or OSError.

        If it cannot be locked it is closed again, because another gateway may be using it.
        """
        self.open(make)
        try:
            self.lock(name)
        except OSError:
            self.release()
            raise

    def release(self) -> None:
        """Closes the memory folder and releases its lock."""
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
            os.unlink(name, dir_fd=self._folder)  # a file that an interrupted write has left
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
    """The present moment by the system clock and, if the boot id can be read, by the time since boot."""
    try:
        boot_id = Path("/proc/sys/kernel/random/boot_id").read_text("ascii").strip()
    except (OSError, ValueError):
        boot_id = ""  # the age of a snapshot with this stamp will be uncertain
    return Stamp(time.time_ns(), boot_id, time.clock_gettime_ns(time.CLOCK_BOOTTIME) if boot_id else 0)


Clock = Callable[[], Stamp]
