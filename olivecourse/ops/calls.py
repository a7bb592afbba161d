"""Routing of the operators' HTTP calls (readiness, metrics, drains): maps path, method and body to one reply.

No I/O.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import unquote

from olivecourse.config.vocabulary import CALLS, Call

MAX_BODY_BYTES = 4096  # longest accepted request body, which holds one store id and is far shorter
MAX_ID_LENGTH = 256  # longest accepted store id, in characters
TEXT, JSON = "text/plain; version=0.0.4; charset=utf-8", "application/json"


class OperatorHandlers(Protocol):
    """The operations of the gateway that the operators' calls need; implemented by GatewayHandlers."""

    def why_not_ready(self) -> str:
        """Returns an empty text if this gateway serves requests, else the reason, for the readiness reply."""
        ...

    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        ...

    def was_listed(self, store: str) -> bool:
        """Whether a server list has contained the store with this id, so that it may be drained."""
        ...

    def set_store_drained(self, store: str, out: bool) -> None:
        """Drains the store with this id if `out`, else ends its drain.

        Once the call has returned, a drained store gets no new requests and is not named to other stores as a
        source to fill from.
        """
        ...

    def set_draining(self, draining: bool) -> None:
        """Drains this whole gateway, or ends its drain.

        A draining gateway reports that it is not ready, but still answers every request that arrives.
        """
        ...

    def extension_reply(self, method: str, path: str, body: bytes) -> Reply | None:
        """Returns the reply of an optional part of the gateway that handles calls of its own, or None if no
        part handles this one.
        """
        ...


@dataclass(frozen=True)
class Reply:
    """An HTTP reply: its status code, its body, the body's media type in `kind`, and in `allow` the value of
    the `Allow` header, which only a 405 (method not allowed) has.
    """

    status: int
    body: bytes
    kind: str = JSON
    allow: str = ""


class BadCall(Exception):
    """Raised for an operator's call that is refused; `reply` is the error reply, with the reason in JSON."""

    def __init__(self, status: int, why: str, allow: str = "") -> None:
        super().__init__(why)
        self.reply = Reply(status, _encode_body(ok=False, why=why), allow=allow)


def _encode_body(**values: object) -> bytes:
    return json.dumps(values).encode() + b"\n"


def _store_id(id_in_path: str, body: bytes) -> str:
    """Returns the store id from the end of the path, or, if that is empty, from a JSON body {"id": text}.

    Raises BadCall with 400 if the id or the body is invalid.
    """
    if id_in_path:
        if len(id_in_path) > MAX_ID_LENGTH:
            raise BadCall(400, f"an id has at most {MAX_ID_LENGTH} characters")
        return id_in_path
    try:
        decoded = json.loads(body)
    except (ValueError, RecursionError):
        raise BadCall(400, "the body is not JSON") from None
    if not isinstance(decoded, dict) or set(decoded) != {"id"}:
        raise BadCall(400, 'the body must be {"id": "ID"}')
    name = decoded["id"]
    if not isinstance(name, str) or not 0 < len(name) <= MAX_ID_LENGTH:
        raise BadCall(400, f"id must be a text of 1 to {MAX_ID_LENGTH} characters")
    return name


def _readiness(handlers: OperatorHandlers, id_in_path: str, body: bytes) -> Reply:
    why = handlers.why_not_ready()
    return Reply(503, _encode_body(ready=False, why=why)) if why else Reply(200, _encode_body(ready=True))


def _metrics(handlers: OperatorHandlers, id_in_path: str, body: bytes) -> Reply:
    return Reply(200, handlers.metrics(), TEXT)


def _set_drained(handlers: OperatorHandlers, id_in_path: str, body: bytes, out: bool) -> Reply:
    name = _store_id(id_in_path, body)
    if not handlers.was_listed(name):
        raise BadCall(404, "no list has named this store")
    handlers.set_store_drained(name, out)
    return Reply(200, _encode_body(ok=True, id=name, out=out))


def _down(handlers: OperatorHandlers, id_in_path: str, body: bytes) -> Reply:
    return _set_drained(handlers, id_in_path, body, True)


def _up(handlers: OperatorHandlers, id_in_path: str, body: bytes) -> Reply:
    return _set_drained(handlers, id_in_path, body, False)


def _drain(handlers: OperatorHandlers, id_in_path: str, body: bytes) -> Reply:
    handlers.set_draining(True)
    return Reply(200, _encode_body(ok=True, draining=True))


def _undrain(handlers: OperatorHandlers, id_in_path: str, body: bytes) -> Reply:
    handlers.set_draining(False)
    return Reply(200, _encode_body(ok=True, draining=False))


HANDLERS: dict[Call, Callable[[OperatorHandlers, str, bytes], Reply]] = {
    Call.READY: _readiness,
    Call.METRICS: _metrics,
    Call.DOWN: _down,
    Call.UP: _up,
    Call.DRAIN: _drain,
    Call.UNDRAIN: _undrain,
}


def answer(handlers: OperatorHandlers, method: str, path: str, body: bytes) -> Reply:
    """Returns the reply to one complete operator's call; a refusal states its reason in JSON.

    Refusals: 400 for a malformed body or store id, 404 for an unknown path or a store that no server list has
    named, 405 for a wrong method (with `Allow`), 413 for a body over MAX_BODY_BYTES. A readiness call gets
    503 while the gateway is not ready.
    """
    try:
        if (
            len(body) <= MAX_BODY_BYTES
            and (reply := handlers.extension_reply(method, path, body)) is not None
        ):
            return reply
        entry, id_in_path = CALLS.get(path), ""
        if entry is None:
            head, _, tail = path.rpartition("/")
            entry, id_in_path = CALLS.get(head + "/"), unquote(tail)
        if entry is None or path.endswith("/"):
            raise BadCall(404, "no such call")
        call, methods = entry
        if method not in methods:
            allowed = ", ".join(methods)
            raise BadCall(405, f"{path} accepts only {allowed}", allowed)
        if len(body) > MAX_BODY_BYTES:
            raise BadCall(413, f"a body has at most {MAX_BODY_BYTES} bytes")
        return HANDLERS[call](handlers, id_in_path, body)
    except BadCall as refusal:
        return refusal.reply
