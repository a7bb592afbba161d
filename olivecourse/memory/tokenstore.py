"""Spent order tokens in an LMDB store. All tokens that arrive during one sync share the next transaction.

    spent   20 bytes of BLAKE3 of the token's issuer and id -> its expiry time (float64), 8 bytes of checksum
    meta    "about" -> 32 bytes of checksum, then JSON: version, gateway, the time since which the store is
            complete, the latest pruned expiry time, the number of entries and the XOR of their checksums

The checksums are BLAKE3, keyed if the operator set a key. LMDB has no checksums and trusts the file that it
maps, so that a damaged file may crash the reader. A separate process therefore reads the store first.
"""

from __future__ import annotations

import contextlib
import os
import struct
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb
import msgspec
from blake3 import blake3

from olivecourse.fronts.tokens import MOST_SPENT, Rejected
from olivecourse.memory.disk import FolderDisk, FolderLocked
from olivecourse.memory.generations import Reason, file_name, next_number, parse
from olivecourse.memory.grouping import Group, GroupCommit, Verdict
from olivecourse.memory.section import MemoryConfig, TokensSection
from olivecourse.net.loop import Loop
from olivecourse.net.worker import Worker

MS = 1_000_000
PART = "tokens"
VERSION = 1
DIGEST, CHECKSUM = 20, 8  # bytes
VALUE = struct.Struct("<d8s")
PROBE_S = 20.0  # longest time that reading the store may take
OVERDUE_CHECK_NS = 20 * MS  # delay of the check for overdue tokens after the longest wait
STOP_S = 1.0  # longest time that the last transaction may delay the end of the process


class StoreMetadata(msgspec.Struct, frozen=True):
    """The JSON under "about"; `total` is the XOR of the entries' checksums in hexadecimal."""

    version: int
    gateway: str
    covered_since: float
    pruned_exp: float
    count: int
    total: str


class BadStore(Exception):
    """A store that cannot be used; `reason` decides how it is set aside."""

    def __init__(self, reason: Reason, text: str) -> None:
        super().__init__(text)
        self.reason = reason


def token_digest(name: str) -> bytes:
    """The key of a token in the store, from which neither its issuer nor its id can be read."""
    return bytes(blake3(name.encode()).digest(length=DIGEST))


def _checksum(key: bytes | None, *parts: bytes, length: int = CHECKSUM) -> bytes:
    return bytes(
        blake3(b"".join(parts), key=key).digest(length=length)
        if key is not None
        else blake3(b"".join(parts)).digest(length=length)
    )


def _value(key: bytes | None, digest: bytes, exp: float) -> bytes:
    return VALUE.pack(exp, _checksum(key, digest, struct.pack("<d", exp)))


def _xor(total: int, value: bytes) -> int:
    return total ^ int.from_bytes(value[-CHECKSUM:], "big")


class TokenStore:
    """The LMDB file; must be used from one thread at a time."""

    def __init__(self, path: Path, map_mb: int, key: bytes | None) -> None:
        self._path, self._map_size, self._key = path, map_mb * 2**20, key
        self._env: Any = None
        self._file = -1  # descriptor of the store's file, to check whether the path still leads to it
        self._metadata = StoreMetadata(VERSION, "", 0.0, 0.0, 0, "0")

    def open(self, write: bool = True) -> None:
        """Opens the store, and creates it if `write` is True; raises lmdb.Error or OSError."""
        if write:
            self._path.mkdir(mode=0o700, exist_ok=True)
        self._env = lmdb.open(
            str(self._path),
            map_size=self._map_size,
            max_dbs=2,
            subdir=True,
            readonly=not write,
            create=write,
            lock=write,
            mode=0o600,
            max_readers=4,
        )
        self._spent = self._env.open_db(b"spent", create=write)
        self._meta = self._env.open_db(b"meta", create=write)
        self._file = os.open(self._path / "data.mdb", os.O_RDONLY | os.O_CLOEXEC)

    def close(self) -> None:
        """Closes the store; may be called more than once."""
        if self._env is not None:
            self._env.close()
            self._env = None
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def path_unchanged(self) -> bool:
        """Whether the path still leads to the file that was opened."""
        if self._env is None:
            return False
        try:
            current, opened = os.stat(self._path / "data.mdb"), os.fstat(self._file)
        except OSError:
            return False
        return (current.st_ino, current.st_dev) == (opened.st_ino, opened.st_dev)

    def read(self, gateway: str | None) -> tuple[StoreMetadata | None, dict[bytes, float]]:
        """Reads and checks the metadata and all tokens; the metadata are None if the store is new.

        Raises BadStore or lmdb.Error.
        """
        with self._env.begin() as txn:
            raw = txn.get(b"about", db=self._meta)
            if raw is None:
                if txn.stat(self._spent)["entries"]:
                    raise BadStore(Reason.DAMAGED, "entries without metadata")
                return None, {}
            raw = bytes(raw)
            try:
                metadata = msgspec.json.decode(raw[32:], type=StoreMetadata)
            except msgspec.DecodeError:
                raise BadStore(Reason.DAMAGED, "the metadata cannot be read") from None
            if metadata.version > VERSION:
                raise BadStore(Reason.NEWER, f"version {metadata.version}")
            if _checksum(self._key, raw[32:], length=32) != raw[:32]:
                raise BadStore(Reason.KEY if self._key else Reason.DAMAGED, "the checksum does not fit")
            if gateway is not None and metadata.gateway != gateway:
                raise BadStore(Reason.OTHER, f"written by gateway {metadata.gateway!r}")
            found: dict[bytes, float] = {}
            total = 0
            for digest, value in txn.cursor(db=self._spent):
                digest, value = bytes(digest), bytes(value)
                if len(digest) != DIGEST or len(value) != VALUE.size:
                    raise BadStore(Reason.DAMAGED, "an entry of the wrong length")
                exp, checksum = VALUE.unpack(value)
                if checksum != _checksum(self._key, digest, struct.pack("<d", exp)):
                    raise BadStore(Reason.DAMAGED, "an entry whose checksum does not fit")
                found[digest] = exp
                total = _xor(total, value)
            if (len(found), f"{total:x}") != (metadata.count, metadata.total):
                raise BadStore(Reason.DAMAGED, f"{len(found)} entries, but {metadata.count} are recorded")
            self._metadata = metadata
            return metadata, found

    def begin(self, gateway: str, covered_since: float) -> None:
        """Initialises a new store, which holds every token of `gateway` spent since `covered_since`."""
        self._metadata = StoreMetadata(VERSION, gateway, covered_since, 0.0, 0, "0")
        self.commit(Group({}, [], 0.0))

    def commit(self, group: Group) -> None:
        """Commits a transaction, which is durable on return.

        Raises lmdb.Error or OSError; the transaction has then been applied either entirely or not at all.
        """
        count, total = self._metadata.count, int(self._metadata.total, 16)
        with self._env.begin(write=True) as txn:
            for digest in group.deletes:
                old = txn.pop(digest, db=self._spent)
                if old is not None:
                    count, total = count - 1, _xor(total, bytes(old))
            for digest, exp in group.puts.items():
                value = _value(self._key, digest, exp)
                old = txn.replace(digest, value, db=self._spent)
                if old is not None:
                    count, total = count - 1, _xor(total, bytes(old))
                count, total = count + 1, _xor(total, value)
            metadata = msgspec.structs.replace(
                self._metadata,
                count=count,
                total=f"{total:x}",
                pruned_exp=max(group.pruned_exp, self._metadata.pruned_exp),
            )
            raw = msgspec.json.encode(metadata)
            txn.put(b"about", _checksum(self._key, raw, length=32) + raw, db=self._meta)
        if not self.path_unchanged():  # the data are synced, but to a file that a restart would not find
            raise OSError("the folder is gone")
        self._metadata = metadata

    def reopen(self) -> None:
        """Opens the store again after a fault; it must be this gateway's store or empty."""
        self.close()
        if not self._path.parent.exists():
            raise OSError("the folder is gone")
        previous = self._metadata
        self.open()
        metadata, _ = self.read(previous.gateway)
        if metadata is None:  # a new folder: all entries are written again, with the time they cover
            self._metadata = msgspec.structs.replace(previous, count=0, total="0")


def probe(path: Path, map_mb: int) -> str | None:
    """Reads every page of a store in a separate process; returns a description of the fault, or None."""
    if not (path / "data.mdb").exists():
        return None
    try:
        done = subprocess.run(
            [sys.executable, "-m", "olivecourse.memory.tokenstore", str(path), str(map_mb)],
            capture_output=True,
            timeout=PROBE_S,
            env={**os.environ},
            check=False,
        )
    except subprocess.TimeoutExpired:
        return "reading the store timed out"
    return None if done.returncode == 0 else f"reading the store ended with exit code {done.returncode}"


class DurableSpent:
    """The spent tokens as `fronts.tokens.Tokens` uses them, on disk.

    The constructor raises FolderLocked if another process uses the folder. Disk faults are logged, and orders
    are refused until the disk can be written.
    """

    def __init__(
        self,
        loop: Loop,
        config: MemoryConfig,
        name: str,
        leeway_s: float,
        log: Callable[..., None],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._loop, self._name, self._log, self._clock = loop, name, log, clock
        self._config, section = config, config.section.tokens or TokensSection()
        self._section = section
        self._disk = FolderDisk(config.folder)
        self._store = TokenStore(config.folder / PART, section.map_mb, config.key())
        self._waiting: dict[bytes, Callable[[bool], object]] = {}
        self._failure_logged = False
        self.covered_since = clock()
        known: dict[bytes, float] = {}
        latest_pruned = 0.0
        self._usable = False
        try:
            self._disk.open_locked(f"{PART}.lock")
            metadata, known = self._read()
            self._usable = True
            if metadata is not None:
                self.covered_since, latest_pruned = metadata.covered_since, metadata.pruned_exp
            log("tokens_read", spent=len(known), covered_since=round(self.covered_since))
        except FolderLocked:
            raise
        except (lmdb.Error, OSError) as error:
            log("tokens_unusable", folder=str(config.folder), why=str(error))
        self.group_commit = GroupCommit(MOST_SPENT, section.most_wait_ms * MS, leeway_s, known, latest_pruned)
        self._worker = Worker(loop, "tokens")

    def _read(self) -> tuple[StoreMetadata | None, dict[bytes, float]]:
        path = self._config.folder / PART
        fault, reason = probe(path, self._section.map_mb), Reason.DAMAGED
        if fault is None:
            self._store.open()
            try:
                metadata, known = self._store.read(self._name)
                if metadata is not None:
                    return metadata, known
            except BadStore as bad:
                fault, reason = str(bad), bad.reason
                self._store.close()
        if fault is not None:
            # The spent tokens are no longer known, so tokens issued before now are void, as without a store.
            aside = file_name(PART, next_number(parse(PART, self._disk.names())), reason)
            self._disk.rename(PART, aside)
            self._log("tokens_set_aside", folder=aside, reason=reason.value, why=fault)
            self._store.open()
        self._store.begin(self._name, self.covered_since)
        return None, {}

    # Interface for fronts.tokens ------------------------------------------------------------------------

    def spend(self, name: str, exp: float, now_s: float) -> None:
        """Spends a token, or raises Rejected. `when_durable` tells when the order may be sent."""
        verdict = self.group_commit.spend(token_digest(name), exp, self._loop.clock.now(), now_s)
        if verdict is Verdict.USED:
            raise Rejected(401, "used already")
        if verdict is Verdict.FULL:
            raise Rejected(503, "too many orders")
        if verdict is Verdict.BUSY or not self._usable:
            self.group_commit.release(token_digest(name))
            raise Rejected(503, "orders cannot be recorded")
        # The commit begins after this turn of the loop, so that all its orders share the transaction.
        self._loop.after(0, self._begin_commit)

    def release(self, name: str) -> None:
        """Frees a token whose order has not run."""
        self._waiting.pop(token_digest(name), None)
        self.group_commit.release(token_digest(name))

    def when_durable(self, name: str, call: Callable[[bool], object]) -> bool:
        """Whether the token is durable already.

        If it is not, `call` is called within the longest wait, with True if the token has become durable.
        """
        digest = token_digest(name)
        if self.group_commit.durable(digest):
            return True
        self._waiting[digest] = call
        self._loop.after(self._section.most_wait_ms * MS + OVERDUE_CHECK_NS, self._expire)
        return False

    # Transactions ------------------------------------------------------------------------------------

    def _begin_commit(self) -> None:
        group = self.group_commit.next_group(self._loop.clock.now(), self._clock())
        if group is not None and not self._worker.submit(lambda: self._commit(group), self._ended):
            self._ended(None, OSError("the writer's queue is full"))

    def _commit(self, group: Group) -> None:
        """Commits a group; runs on the writer thread."""
        if group.everything:
            if not self._disk.opened or not self._disk.path_unchanged():
                self._disk.open_locked(f"{PART}.lock", make=False)
            self._store.reopen()
        self._store.commit(group)

    def _ended(self, _: None, error: Exception | None) -> None:
        committed, rejected = self.group_commit.ended(error is not None, self._loop.clock.now())
        if error is not None and not self._failure_logged:
            self._log("tokens_write_failed", folder=str(self._config.folder), why=str(error))
        elif error is None and self._failure_logged:
            self._log("tokens_writes_again", folder=str(self._config.folder))
        self._failure_logged = error is not None
        self._notify(committed, True)
        self._notify(rejected, False)
        self._begin_commit()

    def _expire(self) -> None:
        self._notify(self.group_commit.overdue(self._loop.clock.now()), False)

    def _notify(self, digests: list[bytes], durable: bool) -> None:
        for digest in digests:
            call = self._waiting.pop(digest, None)
            if call is not None:
                call(durable)

    def stop(self) -> None:
        """Waits for the last transaction and closes the store."""
        self._begin_commit()
        if not self._worker.stop(STOP_S):
            self._log("tokens_left_unwritten", folder=str(self._config.folder))
            return
        self._store.close()
        self._disk.release()


def main(arguments: list[str]) -> int:
    """Reads every entry of a store, in the separate process that `probe` starts."""
    store = TokenStore(Path(arguments[0]), int(arguments[1]), None)
    store.open(write=False)
    with store._env.begin() as txn:
        for db in (store._spent, store._meta):
            for _ in txn.cursor(db=db):
                pass
    store.close()
    return 0


if __name__ == "__main__":
    with contextlib.suppress(lmdb.Error, OSError):
        sys.exit(main(sys.argv[1:]))
    sys.exit(1)
