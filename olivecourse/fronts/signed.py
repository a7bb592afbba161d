"""The HTTP server, for signed links and Bearer tokens. It translates HTTP requests for the request core (the
request tracker) and its answers into HTTP responses. A write is called an order; its Bearer token permits one
write.

GET  /CLASS/OBJECT/PART?shard=G&kb=SIZE&URISigningPackage=TOKEN    a read
POST /CLASS/OBJECT/PART?shard=G                                    a write, with an Authorization header
"""

from __future__ import annotations

import secrets
import socket
from collections import deque
from collections.abc import Callable
from urllib.parse import parse_qsl, urlsplit

import httptools

from olivecourse import interface
from olivecourse.config.address import Address
from olivecourse.core.requests import DuplicateRequest, TooManyOpenRequests
from olivecourse.fronts.listener import Client, Listener, RequestCore
from olivecourse.fronts.thrift import MAX_WRITE_BYTES, BadRequest, read_request
from olivecourse.fronts.tokens import Rejected, Tokens
from olivecourse.net.loop import Loop

MS = 1_000_000
MAX_HEAD_BYTES = 16_384  # of a request's target, header names and header values together
MAX_HEADERS = 64  # of a request
# Of a request, the bytes that are not its body: the head, and what separates the chunks of a chunked body.
MAX_FRAMING_BYTES = 98_304
HEADER_MEMORY_BYTES = 256  # that a header occupies beyond its bytes
MAX_PIPELINED_REQUESTS = 8  # per connection, that wait until the requests before them are answered
REASONS = {
    200: "OK",
    304: "Not Modified",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class HttpRequest:
    """One HTTP request, filled in as the parser reads it; header names are in lower case."""

    def __init__(self) -> None:
        self.method, self.target, self.keep_alive = "", b"", True
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.head_bytes = 0
        self.received_bytes = 0  # including the reads in which the request began, as a whole
        self.body_bytes = 0  # including those that were dropped
        self.has_duplicate_header = False
        self.refused = False  # its contents were dropped for lack of memory

    def held_bytes(self) -> int:
        """Returns about how much memory the request occupies, in bytes."""
        return self.head_bytes + len(self.headers) * HEADER_MEMORY_BYTES + len(self.body)

    def refuse(self) -> None:
        """Drops the contents; the request is refused when its turn comes."""
        self.refused = True
        self.headers, self.body = {}, bytearray()
        self.head_bytes = 0


class SignedReply:
    """Sends the one response to a request over HTTP.

    `mark` identifies the order token that a write has used up (see `Tokens.check_order`), None for a read.
    """

    def __init__(self, client: SignedClient, keep_alive: bool, mark: str | None) -> None:
        self._client, self._keep_alive, self.mark = client, keep_alive, mark

    def served(self, body: bytes, tag: str | None, same: bool) -> None:
        """Sends a 200, or a 304 if the client's copy is current (`same`); `tag` becomes the ETag."""
        headers = [f'ETag: "{tag}"'] if tag else []
        if same:
            self._client.answer(304, b"", headers, self._keep_alive)
        else:
            self._client.answer(
                200, body, [*headers, "Content-Type: application/octet-stream"], self._keep_alive
            )

    def refused(self, wait_ns: int) -> None:
        """Sends a 503 with `wait_ns` as Retry-After in whole seconds (at least 1).

        Makes the order token of a write valid again: the core refuses a write, which it accepts as
        `single_use`, only if no store has run it.
        """
        if self.mark is not None:
            self._client.front.tokens.spent.release(self.mark)
        self._client.answer(
            503, b"", [f"Retry-After: {max(-(-wait_ns // (1000 * MS)), 1)}"], self._keep_alive
        )

    def failed(self, late: bool) -> None:
        """Sends a 504 if the request's deadline was reached (`late`), else a 502."""
        self._client.answer(504 if late else 502, b"", [], self._keep_alive)

    def check_client(self) -> None:
        """Reads from the client's connection; if the client has disconnected, its request is ended."""
        if self._client.open:
            self._client.read()


class SignedClient(Client):
    """One client's HTTP connection; pipelined requests are served one after another."""

    def __init__(self, front: SignedHttpServer, sock: socket.socket) -> None:
        self.front = front
        self.open_request: str | None = None
        self.busy = False
        self.queue: deque[HttpRequest] = deque()
        self.http_request = HttpRequest()
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        super().__init__(front, sock, 65_536, 2**20)

    def load(self) -> int:
        return int(self.busy) + len(self.queue)

    def held_bytes(self) -> int:
        arriving = self.http_request
        # The parser itself holds the part of a header that has arrived.
        parser_bytes = arriving.received_bytes - arriving.body_bytes if self.incomplete_since else 0
        waiting_bytes = sum(http_request.held_bytes() for http_request in self.queue)
        return self.inbox.capacity + parser_bytes + arriving.held_bytes() + waiting_bytes

    def refuse_waiting_requests(self) -> None:
        for http_request in self.queue:
            http_request.refuse()
        if self.incomplete_since:
            self.http_request.refuse()

    # Callbacks of the httptools parser ---------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Called by the parser at the start of a request; starts the timeout for its arrival."""
        self.http_request = HttpRequest()
        self.incomplete_since = self.loop.clock.now()

    def on_url(self, part: bytes) -> None:
        """Called by the parser with each part of the request target."""
        self.http_request.target += part
        self._count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with each header; notes a repeated header that must be unique."""
        self._count_head_bytes(len(name) + len(value))
        if self.http_request.refused:
            return
        if len(self.http_request.headers) >= MAX_HEADERS:
            raise ValueError("too many headers")
        key = name.decode("latin-1").lower()
        # Of two Authorization, Host or If-None-Match headers, it is ambiguous which applies; such a request
        # is refused by `parse_request`.
        self.http_request.has_duplicate_header |= key in self.http_request.headers and key in (
            "authorization",
            "host",
            "if-none-match",
        )
        self.http_request.headers[key] = value.decode("latin-1").strip()

    def on_body(self, part: bytes) -> None:
        """Called by the parser with each part of the body.

        When the body exceeds MAX_WRITE_BYTES, further parts are dropped; `parse_request` then refuses the
        request.
        """
        self.http_request.body_bytes += len(part)
        if len(self.http_request.body) <= MAX_WRITE_BYTES and not self.http_request.refused:
            self.http_request.body += part

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a request, which then waits in the queue for its turn."""
        if self.parser is None:
            return
        self.http_request.method = self.parser.get_method().decode("ascii")
        self.http_request.keep_alive = self.parser.should_keep_alive()
        if len(self.queue) >= MAX_PIPELINED_REQUESTS:
            raise ValueError("too many requests at once")
        self.queue.append(self.http_request)
        self.http_request = HttpRequest()
        self.incomplete_since = 0

    def _count_head_bytes(self, count: int) -> None:
        self.http_request.head_bytes += count
        if self.http_request.head_bytes > MAX_HEAD_BYTES:
            raise ValueError("head too long")

    # -------------------------------------------------------------------------------------------------

    def _count_framing_bytes(self, count: int) -> None:
        """Counts bytes given to the parser, of which it may hold a part of a header without an end."""
        arriving = self.http_request
        arriving.received_bytes += count
        if self.incomplete_since and arriving.received_bytes - arriving.body_bytes > MAX_FRAMING_BYTES:
            raise ValueError("head too long")

    def received(self) -> None:
        if self.parser is None:
            return
        data = self.inbox.take(len(self.inbox))
        try:
            self.parser.feed_data(data)
            self._count_framing_bytes(len(data))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            self.front.log("client_bad_http", why=type(error).__name__)
            if self.busy:
                self.close("bad HTTP")
            else:
                self.answer(400, b"malformed request\n", [], False)
            return
        self._start_next()
        if self.open:
            self.update_group()

    def _start_next(self) -> None:
        while self.queue and not self.busy and self.open:
            self.busy = True
            self._start_request(self.queue.popleft())

    def _start_request(self, http_request: HttpRequest) -> None:
        """Checks a request and passes it to the core; a write waits until its token is recorded."""
        if http_request.refused:
            self.answer(503, b"", ["Retry-After: 1"], http_request.keep_alive)
            return
        try:
            reply, request_event, body, held_tag = self.front.parse_request(self, http_request)
        except BadRequest as bad_request:
            self.answer(400, f"{bad_request}\n".encode(), [], http_request.keep_alive)
            return
        except Rejected as rejection:
            self.front.log("token_rejected", status=rejection.status, why=rejection.reason)
            challenge = ['WWW-Authenticate: Bearer error="invalid_token"'] if rejection.status == 401 else []
            retry_header = ["Retry-After: 1"] if rejection.status == 503 else []
            self.answer(
                rejection.status,
                f"{rejection.reason}\n".encode(),
                challenge + retry_header,
                http_request.keep_alive,
            )
            return
        request_event.client = self.client_address()
        self.request_count += 1
        received_at = self.loop.clock.now()

        def on_recorded(durable: bool) -> None:
            """Called when the order token is recorded (`durable`), or when recording it has failed.

            The write is sent only if the token is recorded.
            """
            self.front.recording -= 1
            if not self.open:  # the client has disconnected, and the write has not been sent
                self.front.tokens.spent.release(reply.mark or "")
                return
            if request_event.budget_ns is not None:
                request_event.budget_ns -= self.loop.clock.now() - received_at
            if durable and (request_event.budget_ns is None or request_event.budget_ns > 0):
                self._hand_over(request_event, body, held_tag, reply)
            else:
                reply.refused(self.front.wait_ns)

        if reply.mark is None or self.front.tokens.spent.when_durable(reply.mark, on_recorded):
            self._hand_over(request_event, body, held_tag, reply)
        else:
            self.front.recording += 1

    def _hand_over(
        self, request_event: interface.Request, body: bytes, held_tag: str | None, reply: SignedReply
    ) -> None:
        self.open_request = request_event.request
        try:
            self.front.core.accept(request_event, body, held_tag, reply, single_use=reply.mark is not None)
        except (TooManyOpenRequests, DuplicateRequest):
            self.front.core.record_rejection(request_event.cls)
            reply.refused(self.front.wait_ns)

    def answer(self, status: int, body: bytes, headers: list[str], keep_alive: bool) -> None:
        """Sends the response to the current request.

        With `keep_alive`, the next queued request starts in a later turn; otherwise the connection is closed
        once the response is sent.
        """
        self.open_request = None
        self.busy = False
        lines = [f"HTTP/1.1 {status} {REASONS[status]}", *headers]
        if status != 304:
            lines.append(f"Content-Length: {len(body)}")
        if not keep_alive:
            lines.append("Connection: close")
        self.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        if not keep_alive:
            self.queue.clear()
            self._close_when_sent()
        elif self.open and self.queue:
            self.loop.after(0, self._start_next)
        self.update_group()

    def _close_when_sent(self) -> None:
        if self.open and len(self.outbox):
            self.loop.after(20 * MS, self._close_when_sent)
        else:
            self.linger("answered")

    def release_memory(self) -> None:
        super().release_memory()
        self.parser = None  # the parser refers to this object
        self.queue.clear()
        self.http_request = HttpRequest()

    def closed(self, why: str) -> None:
        super().closed(why)
        request, self.open_request = self.open_request, None
        if request is not None:
            self.front.core.client_disconnected(request)


class SignedHttpServer(Listener):
    """The listener for HTTP clients, with the checks of their signed links and tokens."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        core: RequestCore,
        classes: dict[str, tuple[int, bool]],
        deadlines_ms: list[int],
        tokens: Tokens,
        public: str,
        wait_ns: int,
        max_clients: int,
        max_unread_bytes: int,
        log: Callable[..., None],
    ) -> None:
        """`deadlines_ms` lists by class number the deadline of a request without a Request-Timeout-Ms header.

        `public` is the scheme and host with which clients see this server; the URI that a token permits is
        `public` followed by the request target. The other parameters are those of `Listener`.
        """
        self.tokens, self._deadlines, self._public = tokens, deadlines_ms, public.rstrip("/")
        self.recording = 0  # writes that wait until their order tokens are recorded on disk
        super().__init__(loop, address, core, classes, wait_ns, max_clients, max_unread_bytes, log)

    def client(self, sock: socket.socket) -> Client:
        return SignedClient(self, sock)

    def flushed(self) -> bool:
        return not self.recording and super().flushed()

    def parse_request(
        self, client: SignedClient, http_request: HttpRequest
    ) -> tuple[SignedReply, interface.Request, bytes, str | None]:
        """Parses an HTTP request and checks its token; raises BadRequest or Rejected.

        Returns the reply object, the request event, the body and the version tag of the client's copy (None
        if it sent none). The token is not checked again while the request is served.
        """
        try:
            target = http_request.target.decode("ascii")
        except UnicodeDecodeError:
            raise BadRequest("target is not ASCII") from None
        if http_request.has_duplicate_header or not target.startswith("/") or target.startswith("//"):
            raise BadRequest("ambiguous request")
        if len(http_request.body) > MAX_WRITE_BYTES:
            raise BadRequest("body too long")
        try:
            url = urlsplit(target)
            query = dict(parse_qsl(url.query, max_num_fields=16, keep_blank_values=True))
        except ValueError:
            raise BadRequest("query cannot be read") from None
        path_parts = url.path.split("/")[1:]
        if len(path_parts) != 3:
            raise BadRequest("the path is /CLASS/OBJECT/PART")
        name, (number, write) = path_parts[0], self.classes.get(path_parts[0], (-1, False))
        if number < 0:
            raise BadRequest("unknown class")
        if http_request.method != ("POST" if write else "GET"):
            raise BadRequest("orders are POSTed, all else is read by GET")
        if "shard" not in query:  # the purge group; without it, a purge of the group would miss this request
            raise BadRequest("shard is missing")
        fields = {
            "c": name,
            "i": secrets.token_hex(8),
            "o": path_parts[1],
            "n": path_parts[2],
            "shard": query["shard"],
            "m": query.get("kb", "0"),
            "d": http_request.headers.get("request-timeout-ms", str(self._deadlines[number])),
        }
        etag = http_request.headers.get("if-none-match")
        if etag and not write:
            fields["mine"] = etag.removeprefix("W/").strip('"')
        request_event, body, held_tag, _ = read_request(
            fields, bytes(http_request.body), self.classes, self.loop.lag_ns
        )
        mark = self._check(http_request, self._public + target, write)
        return SignedReply(client, http_request.keep_alive, mark), request_event, body, held_tag

    def _check(self, http_request: HttpRequest, uri: str, write: bool) -> str | None:
        """Raises Rejected unless the request's token permits a read, or a write (`write`), of `uri`.

        Returns the mark of the order token that a write has used up (see `Tokens.check_order`), or None for
        a read.
        """
        scheme, _, bearer = http_request.headers.get("authorization", "").partition(" ")
        if write:
            if scheme.lower() != "bearer":
                raise Rejected(401, "an order needs a Bearer token")
            return self.tokens.check_order(bearer.strip(), uri)
        if scheme.lower() == "bearer":
            self.tokens.check_bearer(bearer.strip(), uri)
        else:
            self.tokens.check_link(uri)
        return None
