"""Used ("spent") order tokens in an LMDB database, the token store.

An order is a client's write request, which must not run twice; its Bearer token permits one order. All tokens
that arrive during one transaction share the next. The store has two LMDB databases:

    spent   20 bytes of BLAKE3 of the token's issuer and id -> its expiry time (float64), 8 bytes of checksum
    meta    "about" -> 32 bytes of checksum, then JSON: version, gateway, the time since which the store holds
            every spent token, the latest expiry time of removed entries, the number of entries and the XOR of
            their checksums

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

from olivecourse.fronts.tokens import MAX_SPENT_TOKENS, Rejected
from olivecourse.memory.disk import FolderDisk, FolderLocked
from olivecourse.memory.generations import Reason, file_name, next_number, parse
from olivecourse.memory.group_commit import Group, GroupCommit, Verdict
from olivecourse.memory.section import MemoryConfig, TokensSection
from olivecourse.net.loop import Loop
from olivecourse.net.worker import Worker

MS = 1_000_000
PART = "tokens"  # name of the token store's folder in the memory folder; its lock file is tokens.lock
VERSION = 1  # format version of the token store
DIGEST, CHECKSUM = 20, 8  # lengths in bytes of a token's digest and of the checksum of its entry
# Value of a token's entry in the store: its expiry time in Unix seconds, and the checksum of the entry.
VALUE = struct.Struct("<d8s")
PROBE_S = 20.0  # longest time in seconds that the process of `probe` may take to read the token store
# An order's token is checked this long after the longest wait for its write to disk (`most_wait_ms`), so that
# it is surely overdue if it is not on disk.
OVERDUE_CHECK_NS = 20 * MS
STOP_S = 1.0  # longest time in seconds that the last write of tokens may delay the end of the process


class StoreMetadata(msgspec.Struct, frozen=True):
    """The JSON under "about" in the token store.

    `covered_since` is the time since which the store holds every spent token, and `pruned_exp` the latest
    expiry time of entries that were removed as expired, both in Unix seconds. `count` is the number of
    entries, and `total` the XOR of their checksums in hexadecimal.
    """

    version: int
    gateway: str
    covered_since: float
    pruned_exp: float
    count: int
    total: str


class BadStore(Exception):
    """A token store that cannot be used.

    `reason` becomes the ending of the name of the store's folder when it is set aside.
    """

    def __init__(self, reason: Reason, text: str) -> None:
        super().__init__(text)
        self.reason = reason


def token_digest(name: str) -> bytes:
    """The key of a spent token in the store: a hash, which does not show its `name` (issuer and id)."""
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
    """The LMDB database of spent order tokens; must be used by only one thread at a time.

    `map_mb` is its greatest size in MiB, and `key` the operator's key of the checksums, if any.
    """

    def __init__(self, path: Path, map_mb: int, key: bytes | None) -> None:
        self._path, self._map_size, self._key = path, map_mb * 2**20, key
        self._env: Any = None
        self._file = -1  # file descriptor of data.mdb, to check whether the path still leads to it
        self._metadata = StoreMetadata(VERSION, "", 0.0, 0.0, 0, "0")

    def open(self, write: bool = True) -> None:
        """Opens the token store and creates it if missing.

        If `write` is False, it is opened read-only without lock. Raises lmdb.Error or OSError.
        """
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
        """Closes the token store; may be called more than once."""
        if self._env is not None:
            self._env.close()
            self._env = None
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def path_unchanged(self) -> bool:
        """Whether the path still leads to the database file that was opened, by inode and device number."""
        if self._env is None:
            return False
        try:
            current, opened = os.stat(self._path / "data.mdb"), os.fstat(self._file)
        except OSError:
            return False
        return (current.st_ino, current.st_dev) == (opened.st_ino, opened.st_dev)

    def read(self, gateway: str | None) -> tuple[StoreMetadata | None, dict[bytes, float]]:
        """Reads and checks the token store that `gateway` wrote, or that any gateway wrote if None.

        Returns the metadata, None if the store is new, and the expiry time of each spent token by its digest.
        Raises BadStore if a check fails, or lmdb.Error.
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
        """Initialises an empty store, to hold every token of `gateway` spent from `covered_since` on.

        `covered_since` is in Unix seconds.
        """
        self._metadata = StoreMetadata(VERSION, gateway, covered_since, 0.0, 0, "0")
        self.commit(Group({}, [], 0.0))

    def commit(self, group: Group) -> None:
        """Writes a group of spent and removed tokens in one LMDB transaction, which is durable on return.

        Raises lmdb.Error or OSError; the group has then been applied either entirely or not at all.
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
        if not self.path_unchanged():  # the tokens were written to a file that a restart would not find
            raise OSError("the folder is gone")
        self._metadata = metadata

    def reopen(self) -> None:
        """Opens the token store again by its path after a failed transaction.

        What is found there must be this gateway's store or empty. Raises BadStore, lmdb.Error or OSError.
        """
        self.close()
        if not self._path.parent.exists():
            raise OSError("the folder is gone")
        previous = self._metadata
        self.open()
        metadata, _ = self.read(previous.gateway)
        if metadata is None:  # new store: the next group writes all known tokens, so `covered_since` holds
            self._metadata = msgspec.structs.replace(previous, count=0, total="0")


def probe(path: Path, map_mb: int) -> str | None:
    """Reads the token store at `path` in a separate process, which a damaged store may crash.

    Returns a description of the fault, or None if there is no fault or no store.
    """
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
    """The table of spent order tokens that `fronts.tokens.Tokens` uses, kept on disk.

    An order is a client's write request; its token permits only one. The constructor raises FolderLocked if
    another process uses the folder. Disk faults are logged; after one, orders are refused until the disk can
    be written. `clock` returns Unix seconds.
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
        self.group_commit = GroupCommit(
            MAX_SPENT_TOKENS, section.most_wait_ms * MS, leeway_s, known, latest_pruned
        )
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
            # The spent tokens are no longer known. With `covered_since` at the present start, tokens issued
            # before it are rejected, as they are without a store.
            aside = file_name(PART, next_number(parse(PART, self._disk.names())), reason)
            self._disk.rename(PART, aside)
            self._log("tokens_set_aside", folder=aside, reason=reason.value, why=fault)
            self._store.open()
        self._store.begin(self._name, self.covered_since)
        return None, {}

    # Interface that fronts.tokens calls -----------------------------------------------------------------

    def spend(self, name: str, exp: float, now_s: float) -> None:
        """Spends the order token `name` (issuer and id), so that no other write request can use it.

        Raises Rejected, with the HTTP status of the response to the write request (order), if the token is
        used already (401) or cannot be recorded now (503). The request may be sent to a store only once
        `when_durable` has reported the token as durable. `exp` and `now_s` are in Unix seconds.
        """
        verdict = self.group_commit.spend(token_digest(name), exp, self._loop.clock.now(), now_s)
        if verdict is Verdict.USED:
            raise Rejected(401, "used already")
        if verdict is Verdict.FULL:
            raise Rejected(503, "too many orders")
        if verdict is Verdict.BUSY or not self._usable:
            self.group_commit.release(token_digest(name))
            raise Rejected(503, "orders cannot be recorded")
        # The commit begins in the event loop's next turn, so that the tokens of all orders that arrive in
        # this turn share one transaction.
        self._loop.after(0, self._begin_commit)

    def release(self, name: str) -> None:
        """Frees a spent token whose order (write request) has not run, so that it may be used again."""
        self._waiting.pop(token_digest(name), None)
        self.group_commit.release(token_digest(name))

    def when_durable(self, name: str, call: Callable[[bool], object]) -> bool:
        """Whether the spent token is durable (on disk) already, so that its order may be sent to a store.

        If it is not, `call` is called later: with True once the token is durable, or with False if its write
        failed or took longer than `most_wait_ms`; the order must then be refused.
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
        """Commits a group of spent and removed tokens to disk; runs on the writer thread.

        After a failed transaction, the group holds all entries, and the folder and store are opened again.
        """
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
        """Writes the queued tokens to disk and then closes the token store; gives up after STOP_S."""
        self._begin_commit()
        if not self._worker.stop(STOP_S):
            self._log("tokens_left_unwritten", folder=str(self._config.folder))
            return
        self._store.close()
        self._disk.release()


def main(arguments: list[str]) -> int:
    """Entry point of the process that `probe` starts: reads all of the token store; returns exit code 0.

    The arguments are the store's path and its greatest size in MiB. A fault raises an exception, or crashes
    the process.
    """
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
