"""Encodes and decodes frames of the Thrift service, with the compiled codec of the Thrift library."""

from __future__ import annotations

import struct
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

# Largest frame accepted from a client, without its length prefix: the body of a write has at most 48,000
# bytes, and the request fields are short.
MAX_FRAME_BYTES = 64 * 1024
# The Thrift library's description of map<string, string>; False: the map is not immutable.
_MAP_SPEC = (TType.STRING, "UTF8", TType.STRING, "UTF8", False)


class Struct:
    """Base class of the Thrift structs; the constructor takes the fields of `thrift_spec` by keyword.

    `thrift_spec` is the Thrift library's description of the fields, indexed by field id.
    """

    thrift_spec: Any = ()

    def __init__(self, **values: Any) -> None:
        for spec in self.thrift_spec:
            if spec:
                setattr(self, spec[2], values.get(spec[2]))


class ServeArgs(Struct):
    """Arguments of the method `serve`: the request fields by name, and the body of a write."""

    fields: dict[str, str] | None = None
    body: bytes | None = None

    def __init__(self, fields: dict[str, str] | None = None, body: bytes | None = None) -> None:
        self.fields, self.body = fields, body

    thrift_spec = (None, (1, TType.MAP, "fields", _MAP_SPEC, None), (2, TType.STRING, "body", "BINARY", None))


class ForgetArgs(Struct):
    """Argument of the method `forget`: the Thrift sequence number of the `serve` call to cancel."""

    seqid: int | None
    thrift_spec = (None, (1, TType.I32, "seqid", None, None))


class IsWellArgs(Struct):
    """Argument of the health check method `isWell`; its value is ignored."""

    thrift_spec = (None, (1, TType.BOOL, "unused", None, None))


class Answer(Struct):
    """The successful response of `serve` and `isWell`; `good` is the health, and always true for `serve`."""

    thrift_spec = (
        None,
        (1, TType.STRING, "body", "BINARY", None),
        (2, TType.MAP, "fields", _MAP_SPEC, None),
        (3, TType.BOOL, "good", None, None),
    )


class Refusal(Struct):
    """The common form of both Thrift exceptions of `serve`.

    Backoff means that the request was refused and may be retried, Lost that it failed.
    """

    thrift_spec = (None, (1, TType.MAP, "fields", _MAP_SPEC, None))


class Result(Struct):
    """The result of a call of `serve` or `isWell`: either `success` or one of the two exceptions."""

    thrift_spec = (
        (0, TType.STRUCT, "success", [Answer, Answer.thrift_spec], None),
        (1, TType.STRUCT, "refused", [Refusal, Refusal.thrift_spec], None),
        (2, TType.STRUCT, "failed", [Refusal, Refusal.thrift_spec], None),
    )


class Fault(Struct):
    """A TApplicationException, the Thrift error for a call that the server cannot process as a request."""

    thrift_spec = (None, (1, TType.STRING, "message", "UTF8", None), (2, TType.I32, "type", None, None))


def encode(name: str, kind: int, number: int, value: Struct) -> bytes:
    """Encodes a Thrift message as one frame with its length prefix.

    `name` is the method, `kind` the `TMessageType`, `number` the sequence number and `value` the content.
    """
    buffer = TMemoryBuffer()
    protocol = TBinaryProtocolAccelerated(buffer)
    protocol.writeMessageBegin(name, kind, number)
    buffer.write(protocol._fast_encode(value, [type(value), value.thrift_spec]))
    data: bytes = buffer.getvalue()
    return len(data).to_bytes(4, "big") + data


# Constant parts of the frequent frames, the results of `serve`, which have a fixed layout and are assembled
# by `answer_frame` and `refusal_frame`. Encoding a response by the library took 20 us of the 300 us that a
# whole request takes.
_HEAD = b"\x80\x01\x00\x02\x00\x00\x00\x05serve"
_SUCCESS, _REFUSED, _FAILED = b"\x0c\x00\x00", b"\x0c\x00\x01", b"\x0c\x00\x02"
_BODY, _GOOD_END = b"\x0b\x00\x01", b"\x02\x00\x03\x01\x00\x00"
_INT32 = struct.Struct(">i")


def _encode_map(field_id: int, fields: dict[str, str]) -> bytes:
    """Encodes a map<string, string> as the field with the id `field_id` of a Thrift struct."""
    chunks = [struct.pack(">BhBBi", TType.MAP, field_id, TType.STRING, TType.STRING, len(fields))]
    for text in (text for pair in fields.items() for text in pair):
        data = text.encode()
        chunks += (_INT32.pack(len(data)), data)
    return b"".join(chunks)


def answer_frame(number: int, body: bytes, fields: dict[str, str]) -> bytes:
    """Encodes the successful response to the `serve` call with sequence number `number`.

    Returns a frame with its length prefix, with the same bytes that `encode` returns for such a Result.
    """
    encoded_fields = _encode_map(2, fields)
    size = len(_HEAD) + 4 + 3 + 3 + 4 + len(body) + len(encoded_fields) + len(_GOOD_END)
    return b"".join(
        (
            _INT32.pack(size),
            _HEAD,
            _INT32.pack(number),
            _SUCCESS,
            _BODY,
            _INT32.pack(len(body)),
            body,
            encoded_fields,
            _GOOD_END,
        )
    )


def refusal_frame(number: int, refused: bool, fields: dict[str, str]) -> bytes:
    """Encodes the exception Backoff (if `refused`) or Lost for the `serve` call numbered `number`.

    Returns a frame with its length prefix, with the same bytes that `encode` returns for such a Result.
    """
    data = b"".join(
        (_HEAD, _INT32.pack(number), _REFUSED if refused else _FAILED, _encode_map(1, fields), b"\0\0")
    )
    return _INT32.pack(len(data)) + data


# The protocol object by which `decode` decodes every frame, since creating one costs more than decoding a
# frame. It accepts maps of at most 64 entries.
_PROTOCOL = TBinaryProtocolAccelerated(TMemoryBuffer(), container_length_limit=64)


def decode(frame: bytes, argument_types: dict[str, type[Struct]]) -> tuple[str, int, int, Struct | None]:
    """Decodes a frame without its length prefix.

    Returns the method name, the message type (`TMessageType`), the sequence number and the arguments, which
    are None if the method is not in `argument_types`. Invalid bytes raise ValueError or any library
    exception.
    """
    if len(frame) < 12 or frame[:3] != b"\x80\x01\x00":
        raise ValueError("not strict binary")
    end = 8 + int.from_bytes(frame[4:8], "big")
    if end > min(len(frame) - 4, 72):
        raise ValueError("name too long")
    name, kind = frame[8:end].decode(), frame[3]
    number = _INT32.unpack_from(frame, end)[0]
    if name not in argument_types:
        return name, kind, number, None
    value = argument_types[name]()
    # No text in the frame can be longer than the frame: guards against a short malicious frame that announces
    # gigabytes of data.
    _PROTOCOL.string_length_limit = len(frame)
    _PROTOCOL.trans = TMemoryBuffer(frame[end + 4 :])
    _PROTOCOL._fast_decode(value, _PROTOCOL, [argument_types[name], value.thrift_spec])
    return name, kind, number, value


METHODS: dict[str, type[Struct]] = {"serve": ServeArgs, "forget": ForgetArgs, "isWell": IsWellArgs}
