"""The Thrift server (framed transport, strict binary protocol), which translates for the request core."""

from __future__ import annotations

import re
import socket
from collections.abc import Callable

from thrift.Thrift import TApplicationException, TMessageType

from olivecourse import interface as w
from olivecourse.config.address import Address
from olivecourse.config.vocabulary import IDEMPOTENCY_KEY
from olivecourse.core.ledger import Crowded, Duplicate
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
from olivecourse.fronts.listener import Client, Handed, HandoverPeer, Listener, RequestCore
from olivecourse.net.loop import Loop
from olivecourse.net.ringbuf import BufferFull

MS = 1_000_000
MAX_WRITE_BYTES = 48_000
MOST_OPEN = 32
# Frames of one client that are processed in one turn: a flood on one connection must not delay the others.
MOST_FRAMES = 2 * MOST_OPEN
MAX_UNREAD_BYTES = 8 * 2**20  # bytes, for 32 unread responses of the largest size
# A client's timeout starts when it sends, and a request takes up to this long to arrive. The duration of the
# previous turn is subtracted as well, since the request may have waited unread for as long.
TRANSIT_ALLOWANCE_NS = 15 * MS
ID = re.compile(r"[0-9a-f]{16}")
TAG = re.compile(r"[0-9A-Za-z_.-]{1,64}")
FLAGS = {
    (False, False): w.Flag(0),
    (True, False): w.Flag.REPEAT,
    (False, True): w.Flag.WRITE,
    (True, True): w.Flag.REPEAT | w.Flag.WRITE,
}


class BadRequest(ValueError):
    """The fields do not form a valid request; the message gives a short reason."""


def read_request(
    fields: dict[str, str] | None, body: bytes | None, classes: dict[str, tuple[int, bool]], lag_ns: int
) -> tuple[w.Request, bytes, str | None, str | None]:
    """Translates the fields of a client's request; raises BadRequest with a short reason.

    Returns the request event, the body, the tag of the client's copy and the idempotency key.
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
        size = float(fields["m"]) if "m" in fields else None  # some deployments send it for some requests
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
    holds = fields.get("mine")
    if holds is not None and not TAG.fullmatch(holds):
        raise BadRequest("mine is no tag")
    key = fields.get(IDEMPOTENCY_KEY)
    if key is not None and not TAG.fullmatch(key):
        raise BadRequest(f"{IDEMPOTENCY_KEY} is no key")
    flags = FLAGS[fields.get("r") == "1", write]
    budget_ns = max(budget * MS - TRANSIT_ALLOWANCE_NS - lag_ns, 2 * MS)
    return w.Request(request, number, None, obj, budget_ns, size, group, part, flags), data, holds, key


class ThriftReply:
    """Sends the one response to a sequence number of a client's connection."""

    __slots__ = ("_client", "_number")

    def __init__(self, client: ThriftClient, number: int) -> None:
        self._client, self._number = client, number

    def served(self, body: bytes, tag: str | None, same: bool) -> None:
        """Sends the object, or only the field `still` if the client's copy is the same."""
        fields = {"still": "1"} if same else {}
        self._send(answer_frame(self._number, b"" if same else body, fields))

    def refused(self, wait_ns: int) -> None:
        """Sends the exception Backoff with the retry delay, if there is one."""
        self._send(refusal_frame(self._number, True, {"w": str(wait_ns // MS)} if wait_ns > 0 else {}))

    def failed(self, late: bool) -> None:
        """Sends the exception Lost."""
        self._send(refusal_frame(self._number, False, {}))

    def look(self) -> None:
        """Reads from the client, to notice whether it has disconnected."""
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

    def __init__(self, front: ThriftFront, sock: socket.socket) -> None:
        self.front = front
        self.open_requests: dict[int, str] = {}  # ids of the open requests by sequence number
        self.last = 0  # the highest sequence number so far
        self.successor: HandoverPeer | None = None  # the process that has taken over the connection
        self.predecessor: HandoverPeer | None = None  # the process that has handed the connection over
        # The sequence numbers whose responses come from the previous process.
        self.predecessor_numbers: set[int] = set()
        self.frames_pending = False  # complete frames are left for the next turn
        super().__init__(front, sock, MAX_FRAME_BYTES + 4, MAX_UNREAD_BYTES)

    def load(self) -> int:
        return len(self.open_requests) + len(self.predecessor_numbers)

    def hand_over(self, successor: HandoverPeer) -> Handed:
        """Hands the connection over to another process; the caller passes the descriptor on and closes it.

        Responses to the requests that are open here are sent through `successor`.
        """
        self.successor = successor
        self.detach()
        self.front.remove_client(self)
        return Handed(
            self.last,
            self.taken,
            [*self.open_requests, *self.predecessor_numbers],
            self.inbox.take(len(self.inbox)),
            self.outbox.take(len(self.outbox)),
        )

    def take_over(self, state: Handed, predecessor: HandoverPeer) -> None:
        """Continues a connection that another process has handed over."""
        self.last, self.taken, self.predecessor_numbers, self.predecessor = (
            state.last,
            state.taken,
            set(state.open),
            predecessor,
        )
        self.answered = True
        if state.unsent:
            self.write(state.unsent)
        if state.read and self.open:
            try:
                self.inbox.write(state.read)
            except BufferFull as overflow:  # the other process had a larger limit
                self.close(str(overflow))
                return
            self.read()  # the client may have disconnected during the handover
        if self.open:
            self.update_group()

    def from_elder(self, number: int, frame: bytes) -> None:
        """Passes on the response that the previous process sends for a sequence number."""
        if number not in self.predecessor_numbers:
            return
        self.predecessor_numbers.discard(number)
        if self.successor is not None:
            self.successor.answer(number, frame)
            return
        self.write(frame)
        if not self.load():
            self.update_group()

    def elder_lost(self) -> None:
        """Fails the requests of a previous process that has ended, since they may have run there."""
        for number in list(self.predecessor_numbers):
            self.from_elder(number, refusal_frame(number, False, {}))

    def from_heir(self, number: int | None) -> None:
        """Cancels a sequence number, or all if None, for a client whose connection the next process holds."""
        for open_number in (
            [number] if number is not None else [*self.open_requests, *self.predecessor_numbers]
        ):
            self._cancel(open_number)

    def _cancel(self, number: int) -> None:
        request = self.open_requests.pop(number, None)
        if request is not None:
            self.front.core.leave(request)
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
        if processed >= MOST_FRAMES and self.open and len(self.inbox):
            self.frames_pending = True
            self.loop.next_turn(self._continue)

    def process_inbox(self) -> None:
        if not self.frames_pending:
            super().process_inbox()

    def _continue(self) -> None:
        """Processes the frames left by the previous turn, after a read that notices a disconnected client."""
        self.frames_pending = False
        if self.open and not self.lingers:
            self.read()

    def _now(self) -> int:
        return self.loop.clock.now()

    def _process_frames(self) -> int:
        """Processes up to MAX_FRAMES_PER_TURN complete frames from the inbox and returns their number."""
        processed = 0
        while self.open and processed < MOST_FRAMES and len(self.inbox) >= 4:
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
            except Exception as error:  # malicious bytes can cause any exception in the codec
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
        if number <= self.last:
            # Guards against two responses with one sequence number, which the client could not tell apart.
            self._reject_frame("sequence number not above the last")
            return
        self.last = number
        if self.load() >= MOST_OPEN:
            class_name = args.fields.get("c", "") if isinstance(args.fields, dict) else ""
            if class_name in self.front.classes:
                self.front.core.turned_away(self.front.classes[class_name][0])
            ThriftReply(self, number).refused(self.front.wait_ns)
            return
        try:
            request_event, body, holds, key = read_request(
                args.fields, args.body, self.front.classes, self.loop.lag_ns
            )
        except BadRequest as invalid:
            self._send_fault("serve", number, TApplicationException.PROTOCOL_ERROR, str(invalid))
            return
        request_event.client = self.client_address()
        self.open_requests[number] = request_event.request
        self.taken += 1
        if self.load() == 1:
            self.update_group()
        try:
            self.front.core.take(request_event, body, holds, ThriftReply(self, number), key)
        except Duplicate:
            del self.open_requests[number]
            self._send_fault("serve", number, TApplicationException.INVALID_TRANSFORM, "request id in use")
        except Crowded:
            self.front.core.turned_away(request_event.cls)
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
            self.front.core.leave(request)


class ThriftFront(Listener):
    """The listener for Thrift clients."""

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

    def adopt(self, sock: socket.socket, state: Handed, predecessor: HandoverPeer) -> ThriftClient:
        """Takes over a client's connection from another process.

        The limit on clients does not apply, since the other process has accepted the client already.
        """
        client = ThriftClient(self, sock)
        self.clients.add(client)
        client.take_over(state, predecessor)
        return client
