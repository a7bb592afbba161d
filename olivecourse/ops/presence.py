"""Who of one gateway's processes lives, and the bans that outlast any of them: files in `$TMPDIR`.

Each process holds three names there: `TOKEN.lock`, locked as long as it lives; `TOKEN.json`, its record,
always replaced whole; `TOKEN.sock` for hand-overs. The lock alone tells life: a killed process holds none,
whatever number it had. Nothing here outlives the machine, so nothing is synced to a disk.
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

from olivecourse.ops.bans import Word

FOLDER = "olivecourse"
LOCK = re.compile(r"(\d{20}-\d{1,10})\.lock")
MOST_OTHERS = 16  # processes looked at in one go
MOST_RECORD = 2**20  # bytes
Words = list[tuple[str, Word]]


class NoFolder(OSError):
    """`$TMPDIR` can't be used; the gateway runs without bans that last and without hand-overs."""


def read_words(data: bytes) -> Words:
    """The bans of a record; raises ValueError. Fields that are not known are passed over."""
    try:
        said = json.loads(data)
    except RecursionError:
        raise ValueError("nested too deep") from None
    if not isinstance(said, dict) or not isinstance(said.get("bans"), list):
        raise ValueError("no list of bans")
    found: Words = []
    for row in said["bans"]:
        store, stamp, out = row if isinstance(row, list) and len(row) == 3 else (None, None, None)
        if not isinstance(store, str) or type(stamp) is not int or type(out) is not bool:
            raise ValueError("a ban that is not [id, stamp, out]")
        found.append((store, Word(stamp, out)))
    return found


class Presence:
    def __init__(self, parent: str, name: str, log: Callable[..., None]) -> None:
        """`parent` is `$TMPDIR`; `name` the gateway's. Raises NoFolder."""
        self._log = log
        self.folder = Path(parent) / f"{FOLDER}-{re.sub('[^A-Za-z0-9_.-]', '_', name)[:64]}"
        self.token = f"{time.time_ns():020d}-{os.getpid()}"
        self._seen: dict[str, tuple[int, int, int]] = {}
        try:
            self.folder.mkdir(mode=0o700, exist_ok=True)
            found = self.folder.lstat()
            if not stat.S_ISDIR(found.st_mode) or found.st_uid != os.geteuid() or found.st_mode & 0o077:
                raise NoFolder(f"{self.folder} is not this user's alone")
            # Locked under another name first: a newcomer must not look dead for a moment.
            early = self.folder / f"{self.token}.new"
            self._lock = os.open(early, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            early.rename(self.path("lock"))
        except NoFolder:
            raise
        except OSError as error:
            raise NoFolder(f"{self.folder}: {error.strerror}") from None

    def path(self, kind: str, token: str = "") -> Path:
        return self.folder / f"{token or self.token}.{kind}"

    def look(self) -> tuple[list[str], Words, list[str]]:
        """Tokens of the other living processes, the youngest last; bans that are new to us, of the living and
        the dead; and the dead, to be cleared away once their bans are in our own record."""
        living, dead = list[str](), list[str]()
        words: Words = []
        try:
            names = sorted(os.listdir(self.folder))
        except OSError as error:
            self._log("presence_unusable", why=error.strerror)
            return [], [], []
        for token in [m[1] for m in map(LOCK.fullmatch, names) if m and m[1] != self.token][-MOST_OTHERS:]:
            (living if self._lives(token) else dead).append(token)
            words += self._read(token)
        return living, words, dead

    def _lives(self, token: str) -> bool:
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

    def _read(self, token: str) -> Words:
        try:
            fd = os.open(self.path("json", token), os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC | os.O_NONBLOCK)
        except OSError:
            return []
        try:
            found = os.fstat(fd)
            seen = (found.st_ino, found.st_mtime_ns, found.st_size)
            if self._seen.get(token) == seen or not stat.S_ISREG(found.st_mode):
                return []
            self._seen[token] = seen
            if found.st_size > MOST_RECORD:
                raise ValueError(f"{found.st_size} bytes")
            return read_words(os.read(fd, MOST_RECORD))
        except (OSError, ValueError) as error:
            self._log("record_unusable", file=f"{token}.json", why=str(error))
            return []
        finally:
            os.close(fd)

    def write(self, words: Words) -> bool:
        """Replaces our record, whole or not at all; whether it is there."""
        data = json.dumps({"v": 1, "bans": [[s, w.stamp, w.out] for s, w in words]}).encode()
        early = self.path("json.new")
        try:
            fd = os.open(early, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
            try:
                if os.write(fd, data) != len(data):
                    raise OSError(0, "disk full")
            finally:
                os.close(fd)
            early.rename(self.path("json"))
            return True
        except OSError as error:
            self._log("record_not_written", why=error.strerror)
            return False

    def clear(self, tokens: Iterable[str]) -> None:
        """Removes what dead processes have left."""
        for token in tokens:
            self._seen.pop(token, None)
            for kind in ("lock", "json", "json.new", "sock"):
                try:
                    self.path(kind, token).unlink(missing_ok=True)
                except OSError as error:
                    self._log("presence_unusable", why=error.strerror)

    def leave(self) -> None:
        """At a lawful end. The record stays: it holds the bans for whoever starts next."""
        self.path("sock").unlink(missing_ok=True)
        os.close(self._lock)
