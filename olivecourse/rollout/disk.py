"""Durable acceptor state of a voting member, in an LMDB environment in the folder that the operator
configured.

A record is a msgpack value behind a keyed BLAKE3 MAC that also covers the name of the record. A promise is
synced to disk before it is sent. A folder counts as empty if it lacks the marker that `olivecourse rollout
init` writes, if it belongs to another member, or if any record is corrupt. The member of an empty folder does
not vote until it has recovered the state of the other members, since it may have made promises that the
folder no longer shows.
"""

from __future__ import annotations

import fcntl
import hmac
import os
from pathlib import Path

import lmdb
import msgspec
from blake3 import blake3

from olivecourse.rollout.quorum_register import AcceptorState

MAP_BYTES = 16 * 2**20  # upper bound of the size of the LMDB environment
MARKER_KEY, LAST_ALIVE_KEY = b"member", b"seen"  # names of the records of the marker and the time stamp
FORMAT_VERSION = 1
ALIVE_INTERVAL_S = 30  # interval at which a running, voting member updates the time stamp in its folder
# A folder whose time stamp differs from the current time by more than this may be an old copy that lacks
# promises made since.
STALE_AFTER_S = 3600


class FolderUnusable(OSError):
    """The folder with the acceptor state cannot be opened; the gateway then runs without it and without the
    right to vote."""


class FolderLocked(FolderUnusable):
    """Another process of this gateway has the folder open, as during an upgrade. Two processes that vote with
    one folder would not know each other's promises."""


class CorruptRecord(ValueError):
    """A record with a wrong MAC or an unreadable value, or a folder that belongs to another member or has
    another format version."""


class FolderMarker(msgspec.Struct, frozen=True, array_like=True):
    """The record that marks a folder as initialized: the format version of the folder and the name of the
    member that it belongs to."""

    format: int
    name: str


class Disk:
    """The open folder in which one voting member keeps its acceptor state, with its LMDB environment and the
    lock that keeps other processes out."""

    def __init__(self, folder: str, name: str, secret: bytes) -> None:
        """Opens the folder of member `name`, and creates it if missing; `secret` is the MAC key. Raises
        FolderUnusable, and its subclass FolderLocked while another process has the folder open."""
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
        """Returns the data of record `name` with its MAC in front."""
        return blake3(name + b"\0" + data, key=self._secret).digest() + data

    def _open(self, name: bytes, data: bytes) -> bytes:
        """Verifies the MAC of record `name` and returns the data behind it. Raises CorruptRecord."""
        if not hmac.compare_digest(blake3(name + b"\0" + data[32:], key=self._secret).digest(), data[:32]):
            raise CorruptRecord(f"record {name!r}")
        return data[32:]

    def init(self, unix_s: int) -> None:
        """Initializes the folder for a member of a new fleet: deletes existing records, then writes the
        marker and the time stamp."""
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

    def load(self) -> dict[str, AcceptorState] | None:
        """Returns the acceptor state of this member by register key, or None if the folder has no marker.
        Raises CorruptRecord."""
        acceptor_states: dict[str, AcceptorState] = {}
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
                        acceptor_states[name[1:].decode()] = msgspec.msgpack.decode(
                            self._open(name, data), type=AcceptorState
                        )
        except (msgspec.MsgspecError, UnicodeDecodeError, lmdb.Error) as error:
            raise CorruptRecord(str(error)) from None
        return acceptor_states

    def is_stale(self, unix_s: int) -> bool:
        """Returns whether the time stamp that a running member keeps in the folder is unreadable or missing,
        or differs from the time `unix_s` by more than STALE_AFTER_S. Such a folder may be an outdated copy
        that lacks later promises, so its member recovers from the others before it votes."""
        try:
            with self._env.begin() as txn:
                data = txn.get(LAST_ALIVE_KEY)
                seen = (
                    0 if data is None else msgspec.msgpack.decode(self._open(LAST_ALIVE_KEY, data), type=int)
                )
        except (msgspec.MsgspecError, CorruptRecord, lmdb.Error):
            return True
        return not unix_s - STALE_AFTER_S <= seen <= unix_s + STALE_AFTER_S

    def write(self, acceptor_states: dict[str, AcceptorState], unix_s: int) -> None:
        """Writes the acceptor state of these registers and the time stamp; both are durable on return. Raises
        OSError or lmdb.Error, after which no message that depends on them may be sent."""
        with self._env.begin(write=True) as txn:
            txn.put(LAST_ALIVE_KEY, self._seal(LAST_ALIVE_KEY, msgspec.msgpack.encode(unix_s)))
            for key, acceptor_state in acceptor_states.items():
                name = b"k" + key.encode()
                txn.put(name, self._seal(name, msgspec.msgpack.encode(acceptor_state)))

    def write_recovered(self, acceptor_states: dict[str, AcceptorState], unix_s: int) -> None:
        """Initializes the folder of a voting member that has recovered its acceptor state from the other
        members, and writes that state in full."""
        self.init(unix_s)
        self.write(acceptor_states, unix_s)

    def close(self) -> None:
        """Closes the LMDB environment and releases the lock."""
        self._env.close()
        os.close(self._lock)
