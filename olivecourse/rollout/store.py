"""Promises, places and halts on disk, in an LMDB environment of the operator's folder.

A record is `msgpack [key, slot]` behind a keyed BLAKE3 MAC that also covers the record's name. What was
promised is synced before the promise leaves. A folder without the mark of `olivecourse rollout init`, or of
another member, or with one record that does not hold, is an empty one: its member does not vote until it has
caught up, as it may have promised what it has forgotten.
"""

from __future__ import annotations

import hmac
from pathlib import Path

import lmdb
import msgspec
from blake3 import blake3

from olivecourse.rollout.register import Slot

MAP_BYTES = 16 * 2**20
MARK = b"member"
FORM = 1


class NoFolder(OSError):
    """The folder can't be used: the member asks, and does not vote."""


class Torn(ValueError):
    """A record that does not hold."""


class Mark(msgspec.Struct, frozen=True, array_like=True):
    form: int
    name: str


class Disk:
    def __init__(self, folder: str, name: str, secret: bytes) -> None:
        """Raises NoFolder."""
        self._name, self._secret = name, secret
        try:
            Path(folder).mkdir(mode=0o700, parents=True, exist_ok=True)
            self._env = lmdb.open(folder, map_size=MAP_BYTES, max_dbs=0, mode=0o600, metasync=True, sync=True)
        except (OSError, lmdb.Error) as error:
            raise NoFolder(f"{folder}: {error}") from None

    def _seal(self, name: bytes, data: bytes) -> bytes:
        return blake3(name + b"\0" + data, key=self._secret).digest() + data

    def _open(self, name: bytes, data: bytes) -> bytes:
        if not hmac.compare_digest(blake3(name + b"\0" + data[32:], key=self._secret).digest(), data[:32]):
            raise Torn(f"record {name!r}")
        return data[32:]

    def init(self) -> None:
        """Marks the folder as this member's from the start of the fleet; its records, if any, are dropped."""
        with self._env.begin(write=True) as txn:
            with txn.cursor() as cursor:
                while cursor.first():
                    cursor.delete()
            txn.put(MARK, self._seal(MARK, msgspec.msgpack.encode(Mark(FORM, self._name))))
        self._env.sync(True)

    def load(self) -> dict[str, Slot] | None:
        """What this member holds; None where that is not known. Raises Torn where a record does not hold."""
        found: dict[str, Slot] = {}
        try:
            with self._env.begin() as txn:
                mark = txn.get(MARK)
                if mark is None:
                    return None
                if msgspec.msgpack.decode(self._open(MARK, mark), type=Mark) != Mark(FORM, self._name):
                    raise Torn("the folder is another member's, or of another form")
                for name, data in txn.cursor():
                    if name != MARK:
                        found[name[1:].decode()] = msgspec.msgpack.decode(self._open(name, data), type=Slot)
        except (msgspec.MsgspecError, UnicodeDecodeError, lmdb.Error) as error:
            raise Torn(str(error)) from None
        return found

    def write(self, slots: dict[str, Slot]) -> None:
        """Durable on return; raises OSError or lmdb.Error, after which nothing of it may be told."""
        with self._env.begin(write=True) as txn:
            for key, slot in slots.items():
                name = b"k" + key.encode()
                txn.put(name, self._seal(name, msgspec.msgpack.encode(slot)))

    def caught_up(self, slots: dict[str, Slot]) -> None:
        """After a lost disk: all of it at once, with the mark."""
        self.init()
        self.write(slots)

    def close(self) -> None:
        self._env.close()
