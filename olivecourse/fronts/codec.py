"""Frames of the platform's Thrift service, by the library's compiled codec."""

from __future__ import annotations

from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

MOST_FRAME = 64 * 1024  # a write carries at most 48,000 bytes, and the fields are short
_MAP = (TType.STRING, "UTF8", TType.STRING, "UTF8", False)


class Struct:
    thrift_spec: Any = ()

    def __init__(self, **values: Any) -> None:
        for spec in self.thrift_spec:
            if spec:
                setattr(self, spec[2], values.get(spec[2]))


class ServeArgs(Struct):
    fields: dict[str, str] | None
    body: bytes | None
    thrift_spec = (None, (1, TType.MAP, "fields", _MAP, None), (2, TType.STRING, "body", "BINARY", None))


class ForgetArgs(Struct):
    seqid: int | None
    thrift_spec = (None, (1, TType.I32, "seqid", None, None))


class IsWellArgs(Struct):
    thrift_spec = (None, (1, TType.BOOL, "unused", None, None))


class Answer(Struct):
    thrift_spec = (None, (1, TType.STRING, "body", "BINARY", None), (2, TType.MAP, "fields", _MAP, None),
                   (3, TType.BOOL, "good", None, None))


class Refusal(Struct):
    """Both exceptions, Backoff and Lost, have this form."""

    thrift_spec = (None, (1, TType.MAP, "fields", _MAP, None))


class Result(Struct):
    thrift_spec = ((0, TType.STRUCT, "success", [Answer, Answer.thrift_spec], None),
                   (1, TType.STRUCT, "refused", [Refusal, Refusal.thrift_spec], None),
                   (2, TType.STRUCT, "failed", [Refusal, Refusal.thrift_spec], None))


class Fault(Struct):
    """An application exception."""

    thrift_spec = (None, (1, TType.STRING, "message", "UTF8", None), (2, TType.I32, "type", None, None))


def encode(name: str, kind: int, number: int, value: Struct) -> bytes:
    """A whole frame."""
    buffer = TMemoryBuffer()
    protocol = TBinaryProtocolAccelerated(buffer)
    protocol.writeMessageBegin(name, kind, number)
    buffer.write(protocol._fast_encode(value, [type(value), value.thrift_spec]))
    data: bytes = buffer.getvalue()
    return len(data).to_bytes(4, "big") + data


def decode(frame: bytes, kinds: dict[str, type[Struct]]) -> tuple[str, int, int, Struct | None]:
    """The method, message type, number and arguments; None for a method that is not known."""
    # The limits guard against a few hostile bytes that announce gigabytes.
    protocol = TBinaryProtocolAccelerated(TMemoryBuffer(frame), string_length_limit=max(len(frame), 1),
                                          container_length_limit=64)
    name, kind, number = protocol.readMessageBegin()
    if name not in kinds:
        return str(name), kind, number, None
    value = kinds[name]()
    protocol._fast_decode(value, protocol, [kinds[name], value.thrift_spec])
    return name, kind, number, value


METHODS: dict[str, type[Struct]] = {"serve": ServeArgs, "forget": ForgetArgs, "isWell": IsWellArgs}
