"""Datagrams between gateways: a keyed MAC, a guard against replay, keys that rotate. No I/O.

    key id (1) | MAC (16) | msgpack [sender, incarnation, count, target, kind, body]

The numbers in parentheses are bytes. The MAC is keyed BLAKE3 over all bytes that follow it. `incarnation` is
the Unix time in milliseconds at which the sender's process started; `count` grows by one with each datagram
that it sends. A receiver drops datagrams of earlier incarnations of a sender, and datagrams whose count it
has already received. A window tolerates datagrams that arrive out of order (as in RFC 4303, 3.4.3).
"""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from typing import Any

import msgspec
from blake3 import blake3

from olivecourse.rollout import quorum_register
from olivecourse.rollout.liveness import Heartbeat
from olivecourse.rollout.member import HaltNotice, OperationReply, OperationRequest

MAX_DATAGRAM_BYTES = 256
MAC_BYTES, HEADER_BYTES = 16, 17  # the header is the key id and the MAC
REPLAY_WINDOW = 256  # a datagram is dropped if its count is this far below the sender's highest one
# Characters after which the reason in a halt notice is cut off; the reason in an answer to a lease operation
# or command is cut off after twice as many.
MAX_REASON_CHARS = 40
KINDS: tuple[type[Any], ...] = (
    quorum_register.Prepare,
    quorum_register.Promise,
    quorum_register.Accept,
    quorum_register.Accepted,
    quorum_register.Reject,
    quorum_register.Learn,
    quorum_register.RecoveryRequest,
    quorum_register.RecoveryReply,
    Heartbeat,
    OperationRequest,
    OperationReply,
    HaltNotice,
)
KIND_NUMBERS = {kind: number for number, kind in enumerate(KINDS)}
# The signed part of a datagram: sender, incarnation, count, target, kind (index in KINDS), encoded message.
Body = tuple[int, int, int, int, int, msgspec.Raw]


class BadDatagram(ValueError):
    """A received datagram was rejected; the text gives the reason, without the contents of the datagram."""


class Keys:
    """MAC keys by key number. Outgoing datagrams are signed with key `current`; incoming ones may be signed
    with any of the keys. To rotate keys, operators first add the new key on all gateways, then make it
    current, and then remove the old key on all gateways."""

    def __init__(self, keys: Mapping[int, bytes], current: int) -> None:
        """Raises ValueError if `current` is not among the keys, if a key is not 32 bytes long, or if a number
        is not in 0 to 255."""
        if current not in keys or any(len(k) != 32 or not 0 <= n <= 255 for n, k in keys.items()):
            raise ValueError("keys have 32 bytes and a number of 0 to 255, and the current one is among them")
        self._keys, self._current = dict(keys), current

    def seal(self, data: bytes) -> bytes:
        """Returns `data` with the number of the current key and the MAC in front."""
        return bytes([self._current]) + self._mac(self._current, data) + data

    def open(self, data: bytes) -> bytes:
        """Verifies the MAC of a received datagram and returns the signed bytes behind it. Raises
        BadDatagram."""
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
    """Records which datagrams of each sender have been received, so that repeated ones are dropped."""

    def __init__(self) -> None:
        # By sender: incarnation, highest count received, and a bit mask of the received counts. Bit i stands
        # for the highest count minus i.
        self._seen: dict[int, tuple[int, int, int]] = {}

    def accept(self, sender: int, incarnation: int, count: int) -> bool:
        """Records a datagram by its sender, incarnation and count. Returns False if the same count was
        received before, if it is REPLAY_WINDOW or more below the highest, or if an earlier process sent
        it."""
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


class DatagramCodec:
    """Encodes and decodes the datagrams of gateway `me`. `incarnation` is the Unix time of its process start
    in milliseconds."""

    def __init__(self, me: int, incarnation: int, keys: Keys) -> None:
        self.me, self.incarnation, self.keys = me, incarnation, keys
        self._count = 0
        self._replay = ReplayWindow()

    def encode(self, target: int, message: Any) -> bytes:
        """Encodes and signs a message for gateway `target`. The reason of a halt or an answer is cut off (see
        MAX_REASON_CHARS); raises ValueError if the datagram is still larger than MAX_DATAGRAM_BYTES."""
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
        """Returns the sender's number and the message of a datagram. Raises BadDatagram if its signature,
        target or form is wrong, or if it was received before."""
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
        # The replay check comes last, so that a datagram that cannot be decoded does not move the window.
        if not self._replay.accept(sender, incarnation, count):
            raise BadDatagram("come before")
        return sender, message
