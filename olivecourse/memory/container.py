"""The container format of a memory file, which holds one snapshot; numbers are little-endian.

    offset  length in bytes
    0       8       magic, "OLVCMEM" and 0x1a
    8       2       version: 1 or 2
    10      2       flags: bit 0 set if the digest is a MAC with the operator's key; other bits are 0
    12      4       length H of the header
    16      8       length B of the body
    24      H       Header of wire/memory.proto
    24+H    B       Snapshot of wire/memory.proto
    24+H+B  32      digest: BLAKE3 of all preceding bytes, keyed if bit 0 of the flags is set

A header of version 1 has no time since boot, so the age of its snapshot is always uncertain. Nothing follows
the digest. The format changes only with a new version number, and all older versions remain readable.
"""

from __future__ import annotations

import hmac
import struct
from dataclasses import dataclass

from blake3 import blake3

from olivecourse.memory.generations import Reason

MAGIC = b"OLVCMEM\x1a"
VERSION = 2  # the file format version that is written, and the highest that can be read
# Fields at the start of the file: magic, version, flags, length of the header, length of the body.
FIXED = struct.Struct("<8sHHIQ")
KEYED = 1  # bit of the flags field: the digest is a MAC with the operator's key
DIGEST = 32  # length in bytes of the BLAKE3 digest at the end of a memory file
MIN_KEY = 16  # least length in bytes of the secret in the operator's key file
MAX_HEADER = 4096  # greatest length in bytes of the protobuf header of a memory file
CONTEXT = "olivecourse 2026-12 memory file MAC"  # BLAKE3 context string for deriving the MAC key


class UnusableFile(Exception):
    """A snapshot file that cannot be restored.

    `reason` becomes the ending of the file's name when it is set aside (renamed); the text describes the
    fault.
    """

    def __init__(self, reason: Reason, text: str) -> None:
        super().__init__(text)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Contents:
    """The format version of a memory file, and its protobuf-encoded header and body (the snapshot)."""

    version: int
    header: bytes
    body: bytes


def derive_key(secret: bytes) -> bytes:
    """Derives the 32-byte MAC key from the contents of the operator's key file.

    Raises ValueError if they have fewer than MIN_KEY bytes, not counting surrounding white space.
    """
    if len(secret.strip()) < MIN_KEY:
        raise ValueError(f"a key has at least {MIN_KEY} bytes")
    return blake3(secret.strip(), derive_key_context=CONTEXT).digest()


def _digest(parts: list[bytes], key: bytes | None) -> bytes:
    hasher = blake3(key=key) if key is not None else blake3()
    for part in parts:
        hasher.update(part)
    return hasher.digest()


def seal(header: bytes, body: list[bytes], key: bytes | None, version: int = VERSION) -> list[bytes]:
    """Returns the pieces of bytes that, written in order, are the memory file.

    `body` holds the parts of one serialised Snapshot. With a `key`, the digest at the end is a MAC with it.
    """
    fixed = FIXED.pack(MAGIC, version, KEYED if key is not None else 0, len(header), sum(map(len, body)))
    pieces = [fixed, header, *body]
    return [*pieces, _digest(pieces, key)]


def unseal(data: bytes, key: bytes | None) -> Contents:
    """Checks the bytes of a memory file and returns its contents.

    Raises UnusableFile, and nothing else, if the digest, the lengths, the version or the use of a key is
    wrong.
    """
    if len(data) < FIXED.size + DIGEST:
        raise UnusableFile(Reason.DAMAGED, f"truncated: {len(data)} bytes")
    magic, version, flags, header_size, body_size = FIXED.unpack_from(data)
    if magic != MAGIC:
        raise UnusableFile(Reason.DAMAGED, "not a memory file")
    if version > VERSION:  # the layout is unknown, so the file cannot even be checked for damage
        raise UnusableFile(Reason.NEWER, f"version {version}; this program reads up to version {VERSION}")
    if (
        not version
        or flags & ~KEYED
        or header_size > MAX_HEADER
        or FIXED.size + header_size + body_size + DIGEST != len(data)
    ):
        raise UnusableFile(Reason.DAMAGED, "lengths do not fit")
    if bool(flags & KEYED) != (key is not None):
        raise UnusableFile(Reason.KEY, "keyed, and no key is set" if flags else "not keyed, and a key is set")
    if not hmac.compare_digest(_digest([data[:-DIGEST]], key), data[-DIGEST:]):
        if key is not None:  # a damaged file cannot be told from a forged one or one with another key
            raise UnusableFile(Reason.KEY, "the keyed checksum does not fit")
        raise UnusableFile(Reason.DAMAGED, "the checksum does not fit")
    return Contents(
        version, data[FIXED.size : FIXED.size + header_size], data[FIXED.size + header_size : -DIGEST]
    )
