"""Promises, places and halts on disk, in an LMDB environment of the operator's folder.

A record is `msgpack [key, slot]` behind a keyed BLAKE3 MAC that also covers the record's name. What was
promised is synced before the promise leaves. A folder without the mark of `olivecourse rollout init`, or of
another member, or with one record that does not hold, is an empty one: its member does not vote until it has
caught up, as it may have promised what it has forgotten.
"""

from __future__ import annotations

import fcntl
import hmac
import os
from pathlib import Path

import lmdb
import msgspec
from blake3 import blake3

from olivecourse.rollout.register import Slot

MAP_BYTES = 16 * 2**20
MARKER_KEY, LAST_ALIVE_KEY = b"member", b"seen"
FORMAT_VERSION = 1
ALIVE_INTERVAL_S = 30  # between two notes that this member lives
STALE_AFTER_S = 3600  # a folder that has seen nothing for so long may be a copy of an older one


class FolderUnusable(OSError):
    """The folder can't be used: the member asks, and does not vote."""


class FolderLocked(FolderUnusable):
    """Another process of this gateway votes by it, as in an upgrade: two that did would not know of each
    other's promises."""


class CorruptRecord(ValueError):
    """A record that does not hold."""


class FolderMarker(msgspec.Struct, frozen=True, array_like=True):
    format: int
    name: str


class Disk:
    def __init__(self, folder: str, name: str, secret: bytes) -> None:
        """Raises NoFolder; Held while another process has it."""
        self._name, self._secret = name, secret
        try:
            Path(folder).mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = os.open(Path(folder) / "voter.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(self._lock)
                raise FolderLocked(f"{folder}: another process has it") from None
            self._env = lmdb.open(folder, map_size=MAP_BYTES, max_dbs=0, mode=0o600, metasync=True, sync=True)
        except FolderUnusable:
            raise
        except (OSError, lmdb.Error) as error:
            raise FolderUnusable(f"{folder}: {error}") from None

    def _seal(self, name: bytes, data: bytes) -> bytes:
        return blake3(name + b"\0" + data, key=self._secret).digest() + data

    def _open(self, name: bytes, data: bytes) -> bytes:
        if not hmac.compare_digest(blake3(name + b"\0" + data[32:], key=self._secret).digest(), data[:32]):
            raise CorruptRecord(f"record {name!r}")
        return data[32:]

    def init(self, unix_s: int) -> None:
        """Marks the folder as this member's from the start of the fleet; its records, if any, are dropped."""
        with self._env.begin(write=True) as txn:
            with txn.cursor() as cursor:
                while cursor.first():
                    cursor.delete()
            txn.put(
                MARKER_KEY,
                self._seal(MARKER_KEY, msgspec.msgpack.encode(FolderMarker(FORMAT_VERSION, self._name))),
            )
            txn.put(LAST_ALIVE_KEY, self._seal(LAST_ALIVE_KEY, msgspec.msgpack.encode(unix_s)))
        self._env.sync(True)

    def load(self) -> dict[str, Slot] | None:
        """What this member holds; None where that is not known. Raises Torn where a record does not hold."""
        slots: dict[str, Slot] = {}
        try:
            with self._env.begin() as txn:
                marker = txn.get(MARKER_KEY)
                if marker is None:
                    return None
                if msgspec.msgpack.decode(self._open(MARKER_KEY, marker), type=FolderMarker) != FolderMarker(
                    FORMAT_VERSION, self._name
                ):
                    raise CorruptRecord("the folder is another member's, or of another form")
                for name, data in txn.cursor():
                    if name not in (MARKER_KEY, LAST_ALIVE_KEY):
                        slots[name[1:].decode()] = msgspec.msgpack.decode(self._open(name, data), type=Slot)
        except (msgspec.MsgspecError, UnicodeDecodeError, lmdb.Error) as error:
            raise CorruptRecord(str(error)) from None
        return slots

    def is_stale(self, unix_s: int) -> bool:
        """Whether the folder has seen nothing for long, or comes from the future: it may be a copy, which has
        forgotten what was promised since, and its member catches up before it votes."""
        try:
            with self._env.begin() as txn:
                data = txn.get(LAST_ALIVE_KEY)
                seen = (
                    0 if data is None else msgspec.msgpack.decode(self._open(LAST_ALIVE_KEY, data), type=int)
                )
        except (msgspec.MsgspecError, CorruptRecord, lmdb.Error):
            return True
        return not unix_s - STALE_AFTER_S <= seen <= unix_s + STALE_AFTER_S

    def write(self, slots: dict[str, Slot], unix_s: int) -> None:
        """Durable on return; raises OSError or lmdb.Error, after which nothing of it may be told."""
        with self._env.begin(write=True) as txn:
            txn.put(LAST_ALIVE_KEY, self._seal(LAST_ALIVE_KEY, msgspec.msgpack.encode(unix_s)))
            for key, slot in slots.items():
                name = b"k" + key.encode()
                txn.put(name, self._seal(name, msgspec.msgpack.encode(slot)))

    def write_recovered(self, slots: dict[str, Slot], unix_s: int) -> None:
        """After a lost disk: all of it at once, with the mark."""
        self.init(unix_s)
        self.write(slots, unix_s)

    def close(self) -> None:
        self._env.close()
        os.close(self._lock)
