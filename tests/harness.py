"""A gateway in the test process, with scripted stores, clients and a discovery server on loopback sockets.

Tests do not depend on the machine's speed: `until` runs the gateway's event loop until a condition holds.
"""

import json
import socket
import time
from dataclasses import replace

from olivecourse import interface
from olivecourse.config.gateway_config import read_config
from olivecourse.fronts import codec
from olivecourse.gateway import Gateway

OBJECT, REQUEST = "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41"
S = 1_000_000_000
PROFILES = [
    {
        "name": name,
        "on_time_ns": S // 2,
        "aim_stretch": 2.0,
        "deadline_ns": deadline,
        "worth": 1.0,
        "effect": effect,
        "key_scope": "all",
        "memory_span_ns": 5 * S,
        "streamed": False,
    }
    for name, deadline, effect in (("fichiers", 6 * S, "idempotent"), ("commande", 3 * S, "at_most_once"))
]
SETTINGS = {
    "me": 0,
    "instances": 1,
    "az": 1,
    "zones": ["hub-nord", "edge-1"],
    "kinds": ["petit", "parent", "origin"],
    "discovery": "push",
    "period_ns": 2_000_000,
    "weight_kind": "rough",
    "family_info": {
        "zone_hub": [0, 0],
        "seats_by_zone": [0, 1],
        "mid_kind": 1,
        "source_kind": 2,
        "joins": True,
        "may_pass_by": False,
        "siblings": "location",
        "notes_given": "all",
        "client_kb_per_s": 5000.0,
        "max_age_ns": [0, 0],
        "grace_for_ns": [0, 0],
        "stale_earns": [0.7, 0.7],
        "never_kept": [False, True],
        "purge_grace_ns": 300_000_000,
        "purge_settles_ns": 6 * S,
        "parent_floor": 0.06,
        "parent_ramp_ns": 18 * S,
        "parent_limit_factor": 2.0,
    },
    "limits": {
        "cancel": True,
        "second_copies": True,
        "retry_after": True,
        "max_retry_after_ns": S,
        "max_attempts": 8,
        "connect_timeout_ns": 300_000_000,
        "conn_idle_ns": 15 * S,
        "streams_per_conn": 100,
        "peers": True,
    },
    "contract": {
        "grace_to_answer_ns": 8_000_000,
        "stop_sending_within_ns": 250_000_000,
        "cold_from": 0.16,
        "cold_ns": 15 * S,
        "tip_multiple": 2.5,
        "overload_for_ns": 3 * S,
    },
    "profiles": PROFILES,
}


class ScriptedServer:
    """A scripted store or discovery server: the test writes its answers; `data` holds the received bytes."""

    def __init__(self, backlog=16):
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.sock.setblocking(False)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.conns, self.data = [], bytearray()

    def poll(self):
        """Accepts a waiting connection, reads all connections, and returns `data` with the new bytes."""
        try:
            conn, _ = self.sock.accept()
            conn.setblocking(False)
            self.conns.append(conn)
        except BlockingIOError:
            pass
        for conn in self.conns:
            self.data += drain(conn)
        return bytes(self.data)

    def line(self):
        """Removes the next complete non-empty line from `data` and returns it, or None without one."""
        self.poll()
        line, end, rest = bytes(self.data).partition(b"\r\n")
        if not end:
            return None
        self.data = bytearray(rest)
        return line.decode() or self.line()

    def send(self, data, conn=-1):
        """Sends bytes on the connection with index `conn`, by default on the one accepted last."""
        self.conns[conn].sendall(data)

    def close(self):
        """Closes the listening socket and all connections."""
        for sock in (self.sock, *self.conns):
            sock.close()


def drain(sock):
    """Reads and returns the bytes available on a non-blocking socket; ignores its errors."""
    data = b""
    try:
        while chunk := sock.recv(65536):
            data += chunk
    except (BlockingIOError, OSError):
        pass
    return data


class Client:
    """A scripted Thrift client of the gateway at `port`; `data` holds all received bytes."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.data, self.closed = b"", False

    def poll(self):
        """Reads the available bytes and returns all bytes since the start.

        Sets `closed` if the gateway has closed or reset the connection.
        """
        try:
            while True:
                chunk = self.sock.recv(65536)
                if not chunk:
                    self.closed = True
                    return self.data
                self.data += chunk
        except BlockingIOError:
            return self.data
        except ConnectionError:
            self.closed = True
            return self.data

    def call(self, number=1, method="serve", kind=1, args=None, body=b"", **fields):
        """Sends a Thrift call with sequence number `number`, by default a `serve` call for a read.

        `fields` override the fields of the request, for example `d`, the deadline in ms.
        """
        fields = {
            "c": "fichiers",
            "i": REQUEST,
            "o": OBJECT,
            "d": "5000",
            "n": "0",
            "m": "41.5",
            "shard": "17",
            **fields,
        }
        args = args or codec.ServeArgs(fields=fields, body=body)
        self.sock.sendall(codec.encode(method, kind, number, args))

    def answers(self):
        """Each answer received since the start, as (sequence number, kind of result, its fields, its body).

        The kind is "success", "refused", "failed", or "fault" for a Thrift exception.
        """
        data, answers = self.poll(), []
        while len(data) >= 4 and len(data) >= 4 + (size := int.from_bytes(data[:4], "big")):
            frame, data = data[4 : 4 + size], data[4 + size :]
            kinds = {"serve": codec.Result, "isWell": codec.Result}
            name, kind, number, result = codec.decode(frame, kinds)
            if kind == 3:
                answers.append((number, "fault", {}, b""))
                continue
            result_kind = next(n for n in ("success", "refused", "failed") if getattr(result, n) is not None)
            value = getattr(result, result_kind)
            answers.append((number, result_kind, value.fields, getattr(value, "body", b"")))
        return answers


def member(name, address, kind="petit", zone="edge-1", phase="Ready", **overrides):
    """A store as an entry of discovery's list of stores, in its JSON form."""
    return {
        "id": name,
        "host_port": address,
        "locality": zone,
        "flavor": kind,
        "cell": 0,
        "phase": phase,
        "size": 8,
        "up_since_ms": 0,
        **overrides,
    }


class GatewayHarness:
    """A gateway in the test process, with one cache, one parent and the origin as scripted servers.

    With `board` the discovery server is a scripted server too. `overrides` replace entries of the gateway's
    configuration.
    """

    def __init__(self, board=False, env=None, **overrides):
        self.cache, self.parent, self.origin = ScriptedServer(), ScriptedServer(), ScriptedServer()
        self.board = ScriptedServer() if board else None
        self.logged, self.peers = [], [self.cache, self.parent, self.origin]
        members = [
            member("s-00000001", self.cache.address),
            member("s-00000008", self.parent.address, "parent", "hub-nord"),
            member("s-00000009", self.origin.address, "origin", "hub-nord"),
        ]
        raw = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "05",
            "settings": SETTINGS,
            "known": {
                "rev": 1,
                "notices": [{"rev": 1, "pool": {"revision": 1, "complete": True, "members": members}}],
            },
            **overrides,
        }
        self.raw, self.env = raw, env or {}
        if self.board:
            raw["board"] = self.board.address
            self.peers.append(self.board)
        self.gateway = Gateway(self.config(raw), lambda event, **v: self.logged.append((event, v)))
        self.clients = []

    def config(self, raw):
        """Parses the gateway configuration `raw` with the environment variables of this test.

        `planner`, the path of a planner's socket, is read from an operator's file elsewhere.
        """
        return replace(read_config(raw, self.env), planner=raw.get("planner"))

    def turn(self):
        """Runs one turn of the gateway's event loop (waits up to 5 ms), and then its decisions."""
        self.gateway.loop.turn(5_000_000)
        self.gateway.decide()

    def until(self, condition, seconds=20):
        """Runs the gateway until `condition()` returns a true value, and returns that value.

        Raises AssertionError after `seconds`.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.turn()
            if result := condition():
                return result
        raise AssertionError(f"the condition was not reached; logged: {self.logged}")

    def client(self):
        """Connects a new scripted client to the gateway and returns it."""
        self.clients.append(Client(self.gateway.front.port))
        return self.clients[-1]

    def publish(self, rev, **event_body):
        """Answers the gateway's open poll as the discovery server, with one event of the revision `rev`."""
        body = json.dumps({"rev": rev, "notices": [{"rev": rev, **event_body}]}).encode()
        self.board.data.clear()
        self.board.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def event_names(self):
        """The names of the events that the gateway has logged since its start, in order."""
        return [event for event, _ in self.logged]

    def close(self):
        """Closes all sockets, stops the polls for discovery events, and closes the gateway's event loop."""
        self.gateway.front.close()
        for closable in (*self.peers, *(c.sock for c in self.clients)):
            closable.close()
        if self.gateway.discovery is not None:
            self.gateway.discovery.stop()
        self.gateway.loop.close()


def outcome(harness, status):
    """Whether the gateway's events that wait for its next decision include an attempt ended with `status`."""
    return any(
        isinstance(event, interface.AttemptEnded) and event.status is status
        for event in harness.gateway.batch
    )
