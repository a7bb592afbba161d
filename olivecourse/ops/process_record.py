"""Files in a folder of `$TMPDIR` that show which processes of a gateway are alive and that preserve manual
drains (stores that operators took out of service by hand).

Each process owns three files there: `TOKEN.lock`, which it keeps locked while it lives; `TOKEN.json`, its
record of manual drains, always replaced as a whole; and `TOKEN.sock`, the Unix socket for hand-overs. TOKEN
consists of the process's start in Unix nanoseconds and its process id. Only the lock shows whether a process
is alive: a killed process holds no lock, while its process id may be reused. The files need not survive a
restart of the machine, so they are not synced to disk.
"""

from __future__ import annotations

import fcntl
import json
import os
import re
import stat
import time
from collections.abc import Callable, Iterable
from pathlib import Path

from olivecourse.ops.manual_drains import DrainRecord

FOLDER = "olivecourse"  # the folder's name in `$TMPDIR` before the hyphen and the gateway's name
LOCK_FILE_NAME = re.compile(r"(\d{20}-\d{1,10})\.lock")  # group 1 is the process's token
MAX_OTHER_PROCESSES = 16  # a scan reads the files of at most this many other processes, the youngest ones
MAX_RECORD_BYTES = 2**20  # longest file of manual drains that is read
DrainRecords = list[tuple[str, DrainRecord]]  # manual drain records, each with its store id


class FolderUnusable(OSError):
    """Raised if the folder in `$TMPDIR` can't be used; the gateway then runs without persistent manual drains
    and without hand-overs.
    """


def parse_record(data: bytes) -> DrainRecords:
    """Returns the manual drain records in the content of a process's `TOKEN.json` file.

    Unknown fields are ignored. Raises ValueError if the content is invalid.
    """
    try:
        decoded = json.loads(data)
    except RecursionError:
        raise ValueError("JSON nested too deeply") from None
    if not isinstance(decoded, dict) or not isinstance(decoded.get("bans"), list):
        raise ValueError("bans is not a list")
    found: DrainRecords = []
    for row in decoded["bans"]:
        store, stamp, out = row if isinstance(row, list) and len(row) == 3 else (None, None, None)
        if not isinstance(store, str) or type(stamp) is not int or type(out) is not bool:
            raise ValueError("an entry of bans is not [id, stamp, out]")
        found.append((store, DrainRecord(stamp, out)))
    return found


class ProcessRecord:
    """The three files of this process (lock, manual drains, socket for hand-overs), and a reader of the lock
    and drain files of the gateway's other processes.
    """

    def __init__(self, parent: str, name: str, log: Callable[..., None]) -> None:
        """Creates the folder if needed, and this process's lock file.

        `parent` is `$TMPDIR` and `name` the gateway's name, which all its processes share. Raises
        FolderUnusable, also if users other than this one can access the folder.
        """
        self._log = log
        self.folder = Path(parent) / f"{FOLDER}-{re.sub('[^A-Za-z0-9_.-]', '_', name)[:64]}"
        self.token = f"{time.time_ns():020d}-{os.getpid()}"
        self._last_read: dict[str, tuple[int, int, int]] = {}
        try:
            self.folder.mkdir(mode=0o700, exist_ok=True)
            found = self.folder.lstat()
            if not stat.S_ISDIR(found.st_mode) or found.st_uid != os.geteuid() or found.st_mode & 0o077:
                raise FolderUnusable(f"{self.folder} is not a folder that only this user can access")
            # The lock file gets its final name only once it is locked, so that no other process takes this
            # starting process for dead.
            temporary = self.folder / f"{self.token}.new"
            self._lock = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            temporary.rename(self.path("lock"))
        except FolderUnusable:
            raise
        except OSError as error:
            raise FolderUnusable(f"{self.folder}: {error.strerror}") from None

    def path(self, kind: str, token: str = "") -> Path:
        """Returns the path of the file with the suffix `kind` ("lock", "json", "sock") of the process with
        `token`, by default of this process.
        """
        return self.folder / f"{token or self.token}.{kind}"

    def scan(self) -> tuple[list[str], DrainRecords, list[str]]:
        """Reads the files of this gateway's other processes, living and dead.

        Returns the tokens of the living ones, the youngest last; all manual drain records in the files that
        have changed since the previous scan; and the tokens of the dead ones, whose files the caller removes
        once it has written their drain records to this process's own file.
        """
        living, dead = list[str](), list[str]()
        records: DrainRecords = []
        try:
            names = sorted(os.listdir(self.folder))
        except OSError as error:
            self._log("presence_unusable", why=error.strerror)
            return [], [], []
        for token in [m[1] for m in map(LOCK_FILE_NAME.fullmatch, names) if m and m[1] != self.token][
            -MAX_OTHER_PROCESSES:
        ]:
            (living if self._is_alive(token) else dead).append(token)
            records += self._read_drains(token)
        return living, records, dead

    def _is_alive(self, token: str) -> bool:
        try:
            fd = os.open(self.path("lock", token), os.O_RDWR | os.O_NOFOLLOW | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return False
        except OSError:
            return True
        finally:
            os.close(fd)

    def _read_drains(self, token: str) -> DrainRecords:
        try:
            fd = os.open(self.path("json", token), os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC | os.O_NONBLOCK)
        except OSError:
            return []
        try:
            found = os.fstat(fd)
            version = (found.st_ino, found.st_mtime_ns, found.st_size)
            if self._last_read.get(token) == version or not stat.S_ISREG(found.st_mode):
                return []
            self._last_read[token] = version
            if found.st_size > MAX_RECORD_BYTES:
                raise ValueError(f"{found.st_size} bytes are too many")
            return parse_record(os.read(fd, MAX_RECORD_BYTES))
        except (OSError, ValueError) as error:
            self._log("record_unusable", file=f"{token}.json", why=str(error))
            return []
        finally:
            os.close(fd)

    def write(self, records: DrainRecords) -> bool:
        """Replaces this process's file of manual drains atomically; returns whether that succeeded."""
        data = json.dumps(
            {"v": 1, "bans": [[store, record.stamp, record.out] for store, record in records]}
        ).encode()
        temporary = self.path("json.new")
        try:
            fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
            try:
                if os.write(fd, data) != len(data):
                    raise OSError(0, "disk full")
            finally:
                os.close(fd)
            temporary.rename(self.path("json"))
            return True
        except OSError as error:
            self._log("record_not_written", why=error.strerror)
            return False

    def remove_files(self, tokens: Iterable[str]) -> None:
        """Removes all files of the dead processes with these tokens."""
        for token in tokens:
            self._last_read.pop(token, None)
            for kind in ("lock", "json", "json.new", "sock"):
                try:
                    self.path(kind, token).unlink(missing_ok=True)
                except OSError as error:
                    self._log("presence_unusable", why=error.strerror)

    def release(self) -> None:
        """Called when this process ends in an orderly way: removes its socket file and releases its lock.

        Its file of manual drains stays, because the next process reads the drains from it.
        """
        self.path("sock").unlink(missing_ok=True)
        os.close(self._lock)
