"""The Unix socket link between a forwarder process, which holds the connections, and a planner process, which
decides: events go to the planner, actions come back.

Each batch is one line of JSON, [clock, messages]: the forwarder's clock in nanoseconds, and an array
[type, field, ...] for each event or action.
"""

from __future__ import annotations

import dataclasses
import json
import os
import socket
import stat
from base64 import b64decode, b64encode
from collections.abc import Callable, Sequence
from typing import Any

from olivecourse import interface
from olivecourse.core.planner import Planner
from olivecourse.net.loop import READ, Loop
from olivecourse.net.stream import Stream, listen_unix

MS = 1_000_000
MAX_BATCH_BYTES = 8 * 2**20  # limit of one line, and of the bytes queued for sending on one connection
RECONNECT_DELAY_NS = 200 * MS  # from a lost or failed connection to the planner to the next attempt
# A forwarder closes its connection to a planner from which it has received nothing for this long. The Router
# in the planner sets a timer every 100 ms, so a planner that is silent for longer hangs.
SILENCE_TIMEOUT_NS = 1_000 * MS

MESSAGE_TYPES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        interface.CacheList,
        interface.Request,
        interface.StreamBegan,
        interface.AttemptEnded,
        interface.ClientLeft,
        interface.TimerFired,
        interface.Probed,
        interface.PeerMessage,
        interface.Purged,
        interface.Checkpoint,
        interface.Look,
        interface.ReadThrough,
        interface.Cancel,
        interface.Refuse,
        interface.Fail,
        interface.SetTimer,
        interface.Probe,
        interface.CloseIdle,
        interface.Subscribe,
        interface.FetchList,
        interface.TellPeer,
        interface.Log,
        interface.Member,
    )
}
FIELD_DECODERS: dict[str, Callable[[Any], Any]] = {
    "Status": interface.Status,
    "Note": interface.Note,
    "Flag": interface.Flag,
    "How": interface.How,
    "State": interface.State,
    "ListKind": interface.ListKind,
    "bytes": b64decode,
    "tuple[Member, ...]": lambda v: tuple(map(decode_message, v)),
}


def _encode_field(value: Any) -> Any:
    if isinstance(value, interface.Status | interface.State | interface.ListKind):
        return value.value
    if isinstance(value, bytes):
        return b64encode(value).decode()
    if isinstance(value, tuple):
        return [encode_message(v) if isinstance(v, interface.Member) else v for v in value]
    return value


def encode_message(message: Any) -> list[Any]:
    """Converts an event, action or cache member to a JSON array: the type's name, then the field values."""
    return [
        type(message).__name__,
        *(_encode_field(getattr(message, f.name)) for f in dataclasses.fields(message)),
    ]


def decode_message(row: Any) -> Any:
    """Rebuilds the event, action or member from an array made by `encode_message`.

    An array of another form raises ValueError, KeyError, TypeError or IndexError.
    """
    kind = MESSAGE_TYPES[row[0]]
    dataclass_fields = dataclasses.fields(kind)
    if len(dataclass_fields) != len(row) - 1:
        raise ValueError(f"{row[0]} has {len(dataclass_fields)} fields")
    return kind(
        *(
            FIELD_DECODERS[str(f.type)](v) if str(f.type) in FIELD_DECODERS and v is not None else v
            for f, v in zip(dataclass_fields, row[1:], strict=True)
        )
    )


def encode_batch(now: int, messages: Sequence[Any]) -> bytes:
    """Encodes the forwarder's clock `now` (nanoseconds) and events or actions as one line of JSON."""
    return json.dumps([now, [encode_message(r) for r in messages]], separators=(",", ":")).encode() + b"\n"


class LineStream(Stream):
    """The common base of both ends of the link; decodes each received line into a batch of messages."""

    def __init__(self, loop: Loop, sock: socket.socket, log: Callable[..., None], connecting: bool) -> None:
        self.log = log
        self._partial_line = bytearray()
        super().__init__(loop, sock, 2**20, MAX_BATCH_BYTES, connecting)

    def received(self) -> None:
        self._partial_line += self.inbox.take(len(self.inbox))
        *lines, rest = self._partial_line.split(b"\n")
        self._partial_line = bytearray(rest)
        for line in lines:
            try:
                now, messages = json.loads(line)
                batch = [decode_message(row) for row in messages]
            except (ValueError, KeyError, TypeError, IndexError) as error:
                self.log("seam_broken", why=repr(error)[:120])
                self.close("broken batch")
                return
            self.batch_received(int(now), batch)
        if len(self._partial_line) > MAX_BATCH_BYTES:
            self.close("batch too long")

    def batch_received(self, now: int, batch: list[Any]) -> None:
        """Called with each received batch of events or actions.

        `now` is the clock that the batch carries: the forwarder's, in nanoseconds, which a planner sends
        back with its actions.
        """
        raise NotImplementedError


class _PlannerConnection(LineStream):
    """The forwarder's end of one connection to its planner; a `RemotePlanner` owns it."""

    def __init__(self, owner: RemotePlanner) -> None:
        self.owner = owner
        self.last_received_ns = owner.loop.clock.now()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            sock.connect(owner.path)
        except OSError:
            sock.close()
            raise
        super().__init__(owner.loop, sock, owner.log, False)

    def batch_received(self, now: int, batch: list[Any]) -> None:
        self.last_received_ns = self.loop.clock.now()
        self.owner.on_actions(batch)

    def closed(self, why: str) -> None:
        self.owner.connection_lost(why)


class RemotePlanner:
    """A planner in another process, as its forwarder sees it; reconnects whenever the connection is lost.

    `on_connected` is called for each new connection, `on_disconnected` once for each lost one, and
    `on_actions` with each batch of actions that the planner sends.
    """

    def __init__(
        self,
        loop: Loop,
        path: str,
        on_actions: Callable[[list[Any]], None],
        on_connected: Callable[[], None],
        on_disconnected: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        self.loop, self.path, self.on_actions, self.log = loop, path, on_actions, log
        self._on_connected, self._on_disconnected, self._stopped = on_connected, on_disconnected, False
        self.stream: _PlannerConnection | None = None
        self._connect()
        self._check_silence()

    def _connect(self) -> None:
        if self._stopped:
            return
        try:
            self.stream = _PlannerConnection(self)
        except OSError as error:
            self.log("planner_unreachable", why=str(error))
            self.loop.after(RECONNECT_DELAY_NS, self._connect)
            return
        self._on_connected()

    def _check_silence(self) -> None:
        if (
            self.stream is not None
            and self.loop.clock.now() - self.stream.last_received_ns > SILENCE_TIMEOUT_NS
        ):
            self.stream.close("silent")
        if not self._stopped:
            self.loop.after(SILENCE_TIMEOUT_NS // 4, self._check_silence)

    def connection_lost(self, why: str) -> None:
        """Called when the connection has closed: calls `on_disconnected` and schedules a reconnection."""
        self.stream = None
        if self._stopped:
            return
        self.log("planner_lost", why=why)
        self._on_disconnected()
        self.loop.after(RECONNECT_DELAY_NS, self._connect)

    def send(self, events: Sequence[interface.PlannerEvent], now: int) -> bool:
        """Sends events with the forwarder's clock `now`; returns whether a planner is still connected."""
        stream = self.stream
        if stream is None:
            return False
        stream.write(encode_batch(now, events))  # closes the stream, and so resets `self.stream`, if it fails
        return stream.open

    def close(self) -> None:
        """Closes the connection to the planner and never reconnects."""
        self._stopped = True
        if self.stream is not None:
            self.stream.close("end")


class _ForwarderConnection(LineStream):
    """The planner process's end of one forwarder's connection.

    The `Planner` that decides for this forwarder is created with the first batch and lives as long as the
    connection.
    """

    def __init__(self, server: PlannerServer, sock: socket.socket) -> None:
        self.server = server
        self.planner: Planner | None = None
        super().__init__(server.loop, sock, server.log, False)

    def batch_received(self, now: int, batch: list[Any]) -> None:
        actions: list[interface.PlannerAction] = []
        if self.planner is None:
            self.planner = Planner(self.server.settings, now, self.log)
            self.server.on_planner_created(self.planner)
            actions += self.planner.start()
        actions += self.planner.decide(batch, now)
        if actions:
            self.write(encode_batch(now, actions))

    def closed(self, why: str) -> None:
        self.server.streams.discard(self)
        if self.planner is not None:
            self.server.on_planner_removed(self.planner)
        self.log("forwarder_left", why=why)


class PlannerServer:
    """Accepts forwarders in a planner process; each connection gets a `Planner` of its own.

    `on_planner_created` is called when a forwarder's first batch has created its planner,
    `on_planner_removed` when that forwarder has disconnected.
    """

    def __init__(
        self,
        loop: Loop,
        path: str,
        settings: interface.Settings,
        log: Callable[..., None],
        on_planner_created: Callable[[Planner], None] = lambda unused: None,
        on_planner_removed: Callable[[Planner], None] = lambda unused: None,
    ) -> None:
        self.loop, self.path, self.settings, self.log = loop, path, settings, log
        self.on_planner_created, self.on_planner_removed = on_planner_created, on_planner_removed
        self.streams: set[_ForwarderConnection] = set()
        if os.path.exists(path) and stat.S_ISSOCK(os.stat(path).st_mode):
            os.unlink(path)  # left behind by a planner process that was killed
        self._sock = listen_unix(path, 16)
        loop.watch(self._sock, READ, self._accept)

    def _accept(self, mask: int) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        self.streams.add(_ForwarderConnection(self, sock))

    def close(self) -> None:
        """Stops listening, closes the connections of all forwarders and removes the socket file at `path`."""
        self.loop.unwatch(self._sock)
        self._sock.close()
        for stream in list(self.streams):
            stream.close("end")
        if os.path.exists(self.path):
            os.unlink(self.path)
