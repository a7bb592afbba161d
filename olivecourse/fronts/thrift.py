"""The Thrift server (framed transport, strict binary protocol).

It translates calls of `serve` into requests for the request core (the request tracker), and its answers into
frames.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Callable

from thrift.Thrift import TApplicationException, TMessageType

from olivecourse import interface
from olivecourse.config.address import Address
from olivecourse.config.vocabulary import IDEMPOTENCY_KEY
from olivecourse.core.requests import DuplicateRequest, TooManyOpenRequests
from olivecourse.fronts.codec import (
    MAX_FRAME_BYTES,
    METHODS,
    Answer,
    Fault,
    ForgetArgs,
    IsWellArgs,
    Result,
    ServeArgs,
    Struct,
    answer_frame,
    decode,
    encode,
    refusal_frame,
)
from olivecourse.fronts.listener import Client, ConnectionState, HandoverPeer, Listener, RequestCore
from olivecourse.net.loop import Loop
from olivecourse.net.ring_buffer import BufferFull

MS = 1_000_000
MAX_WRITE_BYTES = 48_000  # largest body of a write
MAX_OPEN_REQUESTS = 32  # requests open at a time on one connection; further ones are refused
# Frames of one client that are processed in one turn of the event loop: a flood on one connection must not
# delay the others.
MAX_FRAMES_PER_TURN = 2 * MAX_OPEN_REQUESTS
# Response bytes that may wait for one client to read them, enough for 32 responses of the largest size; a
# client that lets more of them wait is closed.
MAX_UNREAD_BYTES = 8 * 2**20
# Subtracted from the timeout that a client gives with its request: the client's timer starts when it sends,
# and the request takes up to this long to arrive. The duration of the event loop's previous turn is
# subtracted as well, since the request may have waited unread for as long.
TRANSIT_ALLOWANCE_NS = 15 * MS
ID = re.compile(r"[0-9a-f]{16}")  # the ids of requests and of objects
TAG = re.compile(r"[0-9A-Za-z_.-]{1,64}")  # version tags and idempotency keys
# The request's flags by (whether the client marks it as a repeat, whether its class writes).
FLAGS = {
    (False, False): interface.Flag(0),
    (True, False): interface.Flag.REPEAT,
    (False, True): interface.Flag.WRITE,
    (True, True): interface.Flag.REPEAT | interface.Flag.WRITE,
}


class BadRequest(ValueError):
    """A client's fields do not form a valid request; the message is a short reason, sent to the client."""


def read_request(
    fields: dict[str, str] | None, body: bytes | None, classes: dict[str, tuple[int, bool]], lag_ns: int
) -> tuple[interface.Request, bytes, str | None, str | None]:
    """Translates the fields of a client's request; raises BadRequest with a short reason.

    `classes` maps the name of a request class to its number and whether it writes; `lag_ns` is `Loop.lag_ns`.
    Returns the request event, the body, the version tag of the client's copy and the idempotency key; the
    last two are None if the client sent none.
    """
    if not isinstance(fields, dict):
        raise BadRequest("no fields")
    cls, request, obj = fields.get("c", ""), fields.get("i", ""), fields.get("o", "")
    if cls not in classes:
        raise BadRequest("unknown class")
    if not ID.fullmatch(request) or not ID.fullmatch(obj):
        raise BadRequest("i and o are 16 hex digits")
    number, write = classes[cls]
    try:
        budget = int(fields["d"])
        part, group = int(fields["n"]), int(fields["shard"])
        # The object's size in KB is optional: in some deployments, clients send it for some requests only.
        size = float(fields["m"]) if "m" in fields else None
    except (KeyError, ValueError):
        raise BadRequest("d, n and shard are needed, and m where it is given, as numbers") from None
    if fields.get("r", "1") != "1":
        raise BadRequest("r is 1 or absent")
    if not (
        0 < budget < 3_600_000
        and 0 <= part < 2**31
        and 0 <= group < 256
        and (size is None or 0 <= size < 1e9)
    ):
        raise BadRequest("d, n, shard or m out of range")
    data = body or b""
    if not isinstance(data, bytes) or len(data) > MAX_WRITE_BYTES:
        raise BadRequest("body too long")
    held_tag = fields.get("mine")
    if held_tag is not None and not TAG.fullmatch(held_tag):
        raise BadRequest("mine is no tag")
    key = fields.get(IDEMPOTENCY_KEY)
    if key is not None and not TAG.fullmatch(key):
        raise BadRequest(f"{IDEMPOTENCY_KEY} is no key")
    flags = FLAGS[fields.get("r") == "1", write]
    budget_ns = max(budget * MS - TRANSIT_ALLOWANCE_NS - lag_ns, 2 * MS)
    return (
        interface.Request(request, number, None, obj, budget_ns, size, group, part, flags),
        data,
        held_tag,
        key,
    )


class ThriftReply:
    """Sends the one response to the `serve` call with the sequence number `number` of a client's connection.

    If the connection has been handed over, the response goes to the process that now holds it.
    """

    __slots__ = ("_client", "_number")

    def __init__(self, client: ThriftClient, number: int) -> None:
        self._client, self._number = client, number

    def served(self, body: bytes, tag: str | None, same: bool) -> None:
        """Sends the body, or only the field `still` if the client's copy is current (`same`)."""
        fields = {"still": "1"} if same else {}
        self._send(answer_frame(self._number, b"" if same else body, fields))

    def refused(self, wait_ns: int) -> None:
        """Sends the exception Backoff, with the retry delay in its field `w` (ms) unless `wait_ns` is 0."""
        self._send(refusal_frame(self._number, True, {"w": str(wait_ns // MS)} if wait_ns > 0 else {}))

    def failed(self, late: bool) -> None:
        """Sends the exception Lost, whether the request's deadline was reached (`late`) or not."""
        self._send(refusal_frame(self._number, False, {}))

    def check_client(self) -> None:
        """Reads from the client's connection, unless it was handed over, to notice whether it is closed."""
        if self._client.open and self._client.successor is None:
            self._client.read()

    def _send(self, frame: bytes) -> None:
        client = self._client
        client.open_requests.pop(self._number, None)
        if client.successor is not None:
            client.successor.answer(self._number, frame)
            return
        client.write(frame)
        if not client.load():
            client.update_group()


class ThriftClient(Client):
    """One client's Thrift connection, which may be handed over between two processes of the gateway."""

    def __init__(self, front: ThriftServer, sock: socket.socket) -> None:
        self.front = front
        # Request ids by Thrift sequence number, for the requests open in this process.
        self.open_requests: dict[int, str] = {}
        self.last_number = 0  # the highest sequence number of a `serve` call so far
        self.successor: HandoverPeer | None = None  # the process that has taken over this connection, if any
        # The process that has handed this connection over to this process, if any.
        self.predecessor: HandoverPeer | None = None
        # The sequence numbers whose requests the previous process still serves and whose responses it sends.
        self.predecessor_numbers: set[int] = set()
        super().__init__(front, sock, MAX_FRAME_BYTES + 4, MAX_UNREAD_BYTES)

    def load(self) -> int:
        return len(self.open_requests) + len(self.predecessor_numbers)

    def hand_over(self, successor: HandoverPeer) -> ConnectionState:
        """Stops reading and returns the state with which another process continues the connection.

        The caller passes the socket's file descriptor to that process and closes it here. Responses to
        requests that are open here are sent through `successor`.
        """
        self.successor = successor
        self.detach()
        self.front.remove_client(self)
        return ConnectionState(
            self.last_number,
            self.request_count,
            [*self.open_requests, *self.predecessor_numbers],
            self.inbox.take(len(self.inbox)),
            self.outbox.take(len(self.outbox)),
        )

    def take_over(self, state: ConnectionState, predecessor: HandoverPeer) -> None:
        """Continues a connection that the process `predecessor` has handed over in the given state."""
        self.last_number, self.request_count, self.predecessor_numbers, self.predecessor = (
            state.last_number,
            state.request_count,
            set(state.open),
            predecessor,
        )
        self.answered = True
        if state.unsent:
            self.write(state.unsent)
        if state.read and self.open:
            try:
                self.inbox.write(state.read)
            except BufferFull as overflow:  # if the previous process allowed a larger inbox
                self.close(str(overflow))
                return
            self.read()  # processes the bytes handed over; notices a client that disconnected meanwhile
        if self.open:
            self.update_group()

    def response_from_predecessor(self, number: int, frame: bytes) -> None:
        """Passes on a response that the previous process sends: to the client, or to the next process if the
        connection has been handed over again.
        """
        if number not in self.predecessor_numbers:
            return
        self.predecessor_numbers.discard(number)
        if self.successor is not None:
            self.successor.answer(number, frame)
            return
        self.write(frame)
        if not self.load():
            self.update_group()

    def predecessor_lost(self) -> None:
        """Answers Lost to the open requests of a previous process that has ended, as they may have run."""
        for number in list(self.predecessor_numbers):
            self.response_from_predecessor(number, refusal_frame(number, False, {}))

    def cancelled_by_successor(self, number: int | None) -> None:
        """Cancels a sequence number, or all if it is None, because the next process reports that the client
        has cancelled it, or has disconnected.
        """
        for open_number in (
            [number] if number is not None else [*self.open_requests, *self.predecessor_numbers]
        ):
            self._cancel(open_number)

    def _cancel(self, number: int) -> None:
        request = self.open_requests.pop(number, None)
        if request is not None:
            self.front.core.client_disconnected(request)
        elif number in self.predecessor_numbers and self.predecessor is not None:
            self.predecessor_numbers.discard(number)
            self.predecessor.forget(number)

    def received(self) -> None:
        processed = self._process_frames()
        self.incomplete_since = (
            0
            if not len(self.inbox)
            else self.incomplete_since
            if self.incomplete_since and not processed
            else self._now()
        )
        if processed >= MAX_FRAMES_PER_TURN and self.open and len(self.inbox):
            self.frames_pending = True
            self.loop.defer(self._continue)

    def process_inbox(self) -> None:
        if not self.frames_pending:
            super().process_inbox()

    def _continue(self) -> None:
        """Processes the frames left by an earlier turn, after a read that notices if the client is gone."""
        self.frames_pending = False
        if self.open and not self.lingers:
            self.read()

    def _now(self) -> int:
        return self.loop.clock.now()

    def _process_frames(self) -> int:
        """Processes up to MAX_FRAMES_PER_TURN complete frames from the inbox and returns their number."""
        processed = 0
        while self.open and processed < MAX_FRAMES_PER_TURN and len(self.inbox) >= 4:
            size = int.from_bytes(self.inbox.peek(4), "big")
            if size > MAX_FRAME_BYTES:
                self._reject_frame(f"frame of {size} bytes")
                break
            if len(self.inbox) < 4 + size:
                break
            processed += 1
            self.inbox.skip(4)
            frame = self.inbox.take(size)
            try:
                name, kind, number, args = decode(frame, METHODS)
            except Exception as error:  # malicious bytes can cause any exception in the Thrift library
                self._reject_frame(f"unreadable frame: {type(error).__name__}")
                break
            self._call(name, kind, number, args)
        return processed

    def _reject_frame(self, why: str) -> None:
        self.front.log("client_bad_frame", why=why)
        self.close("bad frame")

    def _call(self, name: str, kind: int, number: int, args: Struct | None) -> None:
        if kind not in (TMessageType.CALL, TMessageType.ONEWAY):
            self._reject_frame(f"message type {kind}")
        elif isinstance(args, ForgetArgs):
            self._cancel(args.seqid if isinstance(args.seqid, int) else -1)
            if self.open:
                self.update_group()
        elif isinstance(args, IsWellArgs):
            result = Result(success=Answer(body=b"", fields={}, good=self.front.is_healthy()))
            self.write(encode(name, TMessageType.REPLY, number, result))
            self.update_group()
        elif isinstance(args, ServeArgs):
            self._serve(number, args)
        else:
            self._send_fault(name, number, TApplicationException.UNKNOWN_METHOD, "unknown method")

    def _serve(self, number: int, args: ServeArgs) -> None:
        if number <= self.last_number:
            # Sequence numbers must rise on a connection: a client could not tell apart two responses with one
            # number.
            self._reject_frame("sequence number not above the last")
            return
        self.last_number = number
        if self.load() >= MAX_OPEN_REQUESTS:
            class_name = args.fields.get("c", "") if isinstance(args.fields, dict) else ""
            if class_name in self.front.classes:
                self.front.core.record_rejection(self.front.classes[class_name][0])
            ThriftReply(self, number).refused(self.front.wait_ns)
            return
        try:
            request_event, body, held_tag, key = read_request(
                args.fields, args.body, self.front.classes, self.loop.lag_ns
            )
        except BadRequest as invalid:
            self._send_fault("serve", number, TApplicationException.PROTOCOL_ERROR, str(invalid))
            return
        request_event.client = self.client_address()
        self.open_requests[number] = request_event.request
        self.request_count += 1
        if self.load() == 1:
            self.update_group()
        try:
            self.front.core.accept(request_event, body, held_tag, ThriftReply(self, number), key)
        except DuplicateRequest:
            del self.open_requests[number]
            self._send_fault("serve", number, TApplicationException.INVALID_TRANSFORM, "request id in use")
        except TooManyOpenRequests:
            self.front.core.record_rejection(request_event.cls)
            ThriftReply(self, number).refused(self.front.wait_ns)

    def _send_fault(self, name: str, number: int, kind: int, why: str) -> None:
        self.front.log("client_bad_request", why=why)
        self.write(encode(name, TMessageType.EXCEPTION, number, Fault(message=why, type=kind)))
        self.update_group()

    def closed(self, why: str) -> None:
        super().closed(why)
        if self.predecessor_numbers and self.predecessor is not None:
            self.predecessor_numbers.clear()
            self.predecessor.gone()
        open_requests, self.open_requests = self.open_requests, {}
        for request in open_requests.values():
            self.front.core.client_disconnected(request)


class ThriftServer(Listener):
    """The listener for Thrift clients; `is_healthy` gives the result of the health check `isWell`."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        core: RequestCore,
        classes: dict[str, tuple[int, bool]],
        is_healthy: Callable[[], bool],
        wait_ns: int,
        max_clients: int,
        max_unread_bytes: int,
        log: Callable[..., None],
        shared: bool = False,
        sock: socket.socket | None = None,
    ) -> None:
        self.is_healthy = is_healthy
        super().__init__(
            loop, address, core, classes, wait_ns, max_clients, max_unread_bytes, log, shared, sock
        )

    def client(self, sock: socket.socket) -> Client:
        return ThriftClient(self, sock)

    def adopt(self, sock: socket.socket, state: ConnectionState, predecessor: HandoverPeer) -> ThriftClient:
        """Takes over a client's connection, in the given state, from the process `predecessor`.

        `max_clients` does not apply, since the previous process has accepted the client already.
        """
        client = ThriftClient(self, sock)
        self.clients.add(client)
        client.take_over(state, predecessor)
        return client
