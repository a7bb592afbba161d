"""Datagrams between gateways: a keyed MAC, a guard against replay, keys that rotate. No I/O.

    key id (1) | MAC (16) | msgpack [sender, incarnation, count, target, kind, body]

The MAC is keyed BLAKE3 over all bytes that follow it. `incarnation` is the Unix time in milliseconds at which
the sender's process started; `count` grows with each datagram. A receiver drops datagrams of earlier
incarnations of a sender and counts that it has already received. A window tolerates datagrams that arrive out
of order (as in RFC 4303, 3.4.3).
"""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from typing import Any

import msgspec
from blake3 import blake3

from olivecourse.rollout import register
from olivecourse.rollout.hearing import Beat
from olivecourse.rollout.member import HaltNotice, OperationReply, OperationRequest

MAX_DATAGRAM_BYTES = 256
MAC_BYTES, HEADER_BYTES = 16, 17
REPLAY_WINDOW = 256  # a datagram is dropped if its count is this far below the highest one received
MAX_REASON_CHARS = 40  # longer reasons are cut off before sending
KINDS: tuple[type[Any], ...] = (
    register.Prepare,
    register.Promise,
    register.Accept,
    register.Accepted,
    register.Reject,
    register.Learn,
    register.Recall,
    register.RecoveryReply,
    Beat,
    OperationRequest,
    OperationReply,
    HaltNotice,
)
KIND_NUMBERS = {kind: number for number, kind in enumerate(KINDS)}
Body = tuple[int, int, int, int, int, msgspec.Raw]


class BadDatagram(ValueError):
    """A rejected datagram; the text gives the reason, without the contents of the datagram."""


class Keys:
    """MAC keys by number. Outgoing datagrams are signed with `current`; incoming ones may be signed with any
    key. To rotate keys, operators first add the new key on all gateways, then make it current, and then
    remove the old key on all gateways."""

    def __init__(self, keys: Mapping[int, bytes], current: int) -> None:
        """Raises ValueError if `current` is not among the keys, if a key is not 32 bytes long, or if a number
        is not in 0 to 255."""
        if current not in keys or any(len(k) != 32 or not 0 <= n <= 255 for n, k in keys.items()):
            raise ValueError("keys have 32 bytes and a number of 0 to 255, and the current one is among them")
        self._keys, self._current = dict(keys), current

    def seal(self, data: bytes) -> bytes:
        """Prepends the number of the current key and the MAC."""
        return bytes([self._current]) + self._mac(self._current, data) + data

    def open(self, data: bytes) -> bytes:
        """Verifies the MAC and returns the signed bytes. Raises BadDatagram."""
        if len(data) <= HEADER_BYTES or len(data) > MAX_DATAGRAM_BYTES:
            raise BadDatagram(f"{len(data)} bytes")
        if data[0] not in self._keys:
            raise BadDatagram(f"key {data[0]} is not known")
        if not hmac.compare_digest(self._mac(data[0], data[HEADER_BYTES:]), data[1:HEADER_BYTES]):
            raise BadDatagram("not signed by the fleet")
        return data[HEADER_BYTES:]

    def _mac(self, number: int, data: bytes) -> bytes:
        return blake3(data, key=self._keys[number]).digest(length=MAC_BYTES)


class ReplayWindow:
    """Records which datagrams of each sender have been received."""

    def __init__(self) -> None:
        # By sender: incarnation, highest count received, and a bit mask of the counts received up to it.
        self._seen: dict[int, tuple[int, int, int]] = {}

    def accept(self, sender: int, incarnation: int, count: int) -> bool:
        """Records a datagram; returns False if it is a repetition or too old."""
        known = self._seen.get(sender)
        if known is None or incarnation > known[0]:
            self._seen[sender] = (incarnation, count, 1)
            return True
        if incarnation < known[0] or count <= known[1] - REPLAY_WINDOW:
            return False
        _, highest, bits = known
        if count > highest:
            bits = (bits << min(count - highest, REPLAY_WINDOW) | 1) & (1 << REPLAY_WINDOW) - 1
            self._seen[sender] = (incarnation, count, bits)
            return True
        bit = 1 << highest - count
        self._seen[sender] = (incarnation, highest, bits | bit)
        return not bits & bit


class Wire:
    """Encodes and decodes the datagrams of one gateway."""

    def __init__(self, me: int, incarnation: int, keys: Keys) -> None:
        self.me, self.incarnation, self.keys = me, incarnation, keys
        self._count = 0
        self._replay = ReplayWindow()

    def encode(self, target: int, message: Any) -> bytes:
        """Encodes and signs a message for `target`. Reasons are shortened; raises ValueError if the message
        is still too large for a datagram."""
        if isinstance(message, HaltNotice):
            message = msgspec.structs.replace(message, why=message.why[:MAX_REASON_CHARS])
        if isinstance(message, OperationReply):
            message = OperationReply(
                message.nonce,
                msgspec.structs.replace(message.answer, reason=message.answer.reason[: 2 * MAX_REASON_CHARS]),
            )
        self._count += 1
        data = msgspec.msgpack.encode(
            (self.me, self.incarnation, self._count, target, KIND_NUMBERS[type(message)], message)
        )
        sealed = self.keys.seal(data)
        if len(sealed) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"{type(message).__name__} has {len(sealed)} bytes")
        return sealed

    def decode(self, data: bytes) -> tuple[int, Any]:
        """Returns sender and message of a datagram. Raises BadDatagram."""
        body = self.keys.open(data)
        try:
            sender, incarnation, count, target, kind, raw = msgspec.msgpack.decode(body, type=Body)
            if target != self.me:
                raise BadDatagram("for another gateway")
            if not 0 <= kind < len(KINDS):
                raise BadDatagram("of a kind that is not known")
            message = msgspec.msgpack.decode(raw, type=KINDS[kind])
        except msgspec.MsgspecError:
            raise BadDatagram("of another form") from None
        # The replay check comes last, so that an unreadable datagram does not move the window.
        if not self._replay.accept(sender, incarnation, count):
            raise BadDatagram("come before")
        return sender, message
