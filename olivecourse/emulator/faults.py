"""Fault injection between processes, by a script (a list of timed faults) drawn from a seed.

A proxy on loopback loses, duplicates, delays and reorders UDP datagrams, delays TCP streams, and cuts links
in one or both directions. Processes are killed, stopped and continued by their process id. A script can be
printed and played again.
"""

from __future__ import annotations

import contextlib
import os
import random
import selectors
import signal
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from olivecourse.emulator.stores import EmulatorLoop

MAX_READ_BYTES = 65536  # read from a socket at once; also the longest datagram
MAX_DELAYED_DATAGRAMS = 4096  # held by the proxy at once; further ones are lost, as with full network queues
Link = tuple[str, str]  # names of the sending and of the receiving process


@dataclass
class LinkConditions:
    """The quality of links: the shares (0 to 1) of lost and duplicated datagrams, and the greatest delay.

    Each datagram or piece of a TCP stream gets a random delay up to `max_delay_s`, so that datagrams are
    reordered. Loss and duplication do not apply to streams.
    """

    loss_share: float = 0.0
    duplicate_share: float = 0.0
    max_delay_s: float = 0.0


@dataclass
class Network:
    """A proxy for the links between named processes, run by the event loop of an EmulatorLoop.

    `link_conditions` holds the conditions that apply to every link, and `cuts` the links that pass no data at
    present. `passed` and `lost` count the datagrams that the proxy delivered and dropped.
    """

    world: EmulatorLoop
    seed: int
    link_conditions: LinkConditions = field(default_factory=LinkConditions)
    cuts: set[Link] = field(default_factory=set)
    passed: int = 0
    lost: int = 0

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._delayed = 0
        self._socks: list[socket.socket] = []

    # Proxy ports for UDP datagrams --------------------------------------------------------------------

    def datagrams(self, source: str, target: str, address: tuple[str, int]) -> str:
        """Opens a proxy port for UDP datagrams from `source` to `target`, which listens at `address`.

        Returns the proxy's `HOST:PORT`, to which `source` must send instead.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        self._socks.append(sock)
        self.world.selector.register(
            sock, selectors.EVENT_READ, lambda: self._on_datagrams(sock, (source, target), address)
        )
        return f"127.0.0.1:{sock.getsockname()[1]}"

    def _on_datagrams(self, sock: socket.socket, link: Link, address: tuple[str, int]) -> None:
        for _ in range(64):
            try:
                data = sock.recv(MAX_READ_BYTES)
            except OSError:
                return
            for _ in range(1 + (self._random.random() < self.link_conditions.duplicate_share)):
                if (
                    link in self.cuts
                    or self._random.random() < self.link_conditions.loss_share
                    or self._delayed >= MAX_DELAYED_DATAGRAMS
                ):
                    self.lost += 1
                    continue
                self._delayed += 1
                when = time.monotonic() + self._random.random() * self.link_conditions.max_delay_s
                self.world.at(when, partial(self._deliver, sock, link, data, address))

    def _deliver(self, sock: socket.socket, link: Link, data: bytes, address: tuple[str, int]) -> None:
        self._delayed -= 1
        if link in self.cuts:  # the link was cut while the datagram was delayed
            self.lost += 1
            return
        self.passed += 1
        with contextlib.suppress(OSError):
            sock.sendto(data, address)

    # Proxy ports for TCP streams ----------------------------------------------------------------------

    def stream(self, source: str, target: str, address: tuple[str, int]) -> str:
        """Opens a proxy port for TCP connections from `source` to `target`, which listens at `address`.

        Returns the proxy's `HOST:PORT`, to which `source` must connect instead. While a direction is cut, its
        bytes wait in the kernel's buffers, as in a real network, until `heal`.
        """
        sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        sock.setblocking(False)
        self._socks.append(sock)
        self.world.selector.register(
            sock, selectors.EVENT_READ, lambda: self._accept(sock, (source, target), address)
        )
        return f"127.0.0.1:{sock.getsockname()[1]}"

    def _accept(self, sock: socket.socket, link: Link, address: tuple[str, int]) -> None:
        with contextlib.suppress(OSError):
            client_sock, _ = sock.accept()
            try:
                server_sock = socket.create_connection(address, timeout=0.2)
            except OSError:
                client_sock.close()
                return
            for source_sock, target_sock, direction in (
                (client_sock, server_sock, link),
                (server_sock, client_sock, (link[1], link[0])),
            ):
                source_sock.setblocking(False)
                self._socks.append(source_sock)
                self.world.selector.register(
                    source_sock,
                    selectors.EVENT_READ,
                    partial(self._forward, source_sock, target_sock, direction),
                )

    def _forward(self, source_sock: socket.socket, target_sock: socket.socket, direction: Link) -> None:
        if direction in self.cuts:  # while the link is cut, its bytes stay unread in the kernel's buffers
            self.world.selector.unregister(source_sock)
            self._resume_after_heal(source_sock, target_sock, direction)
            return
        try:
            data = source_sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            for sock in (source_sock, target_sock):
                with contextlib.suppress(KeyError, ValueError):
                    self.world.selector.unregister(sock)
                sock.close()
            return
        delay = self._random.random() * self.link_conditions.max_delay_s
        self.world.at(time.monotonic() + delay, lambda: self._write(target_sock, data))

    def _resume_after_heal(
        self, source_sock: socket.socket, target_sock: socket.socket, direction: Link
    ) -> None:
        if source_sock.fileno() < 0:
            return
        if direction in self.cuts:
            self.world.at(
                time.monotonic() + 0.05, lambda: self._resume_after_heal(source_sock, target_sock, direction)
            )
        else:
            self.world.selector.register(
                source_sock, selectors.EVENT_READ, lambda: self._forward(source_sock, target_sock, direction)
            )

    @staticmethod
    def _write(sock: socket.socket, data: bytes) -> None:
        with contextlib.suppress(OSError):
            sock.setblocking(True)
            sock.settimeout(0.2)
            sock.sendall(data)
            sock.setblocking(False)

    # Cutting and reopening links ----------------------------------------------------------------------

    def partition(self, *groups: Sequence[str]) -> None:
        """Cuts all links between processes of different groups, in both directions."""
        for group in groups:
            for other in groups:
                if group is not other:
                    self.cuts |= {(a, b) for a in group for b in other}

    def block_outgoing(self, source: str, targets: Sequence[str]) -> None:
        """Cuts the links from `source` to each of `targets`; data from them to `source` still passes."""
        self.cuts |= {(source, target) for target in targets}

    def heal(self) -> None:
        """Reopens every link cut by `partition` or `block_outgoing`."""
        self.cuts.clear()

    def close(self) -> None:
        """Closes all sockets of the proxy."""
        for sock in self._socks:
            with contextlib.suppress(KeyError, ValueError):
                self.world.selector.unregister(sock)
            sock.close()


# Fault scripts -------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Fault:
    """One step of a fault script: the action `what` on the processes `who`, `at_s` seconds after its start.

    "kill" sends SIGKILL, "start" starts a process that is not running, "stop" sends SIGSTOP, and "go on"
    sends SIGCONT. "part" partitions the network: no data passes between `who` and all other processes. "mute"
    cuts the links from the first of `who` to all others, which can still send to it. "heal" reopens all links
    that were cut. "weather" replaces the conditions of all links by `figures`: the share of lost datagrams,
    the share of duplicated ones, and the greatest delay in seconds.
    """

    at_s: float
    what: str  # the action: kill, start, stop, go on, part, mute, heal or weather
    who: tuple[str, ...] = ()
    figures: tuple[float, ...] = ()

    def __str__(self) -> str:
        return f"{self.at_s:.2f} {self.what} {'+'.join(self.who)} {self.figures or ''}".rstrip()


def draw_fault_script(
    seed: int, names: Sequence[str], seconds: float, min_faults: int = 2, max_faults: int = 5
) -> list[Fault]:
    """Draws a fault script of `seconds` for the named processes, sorted by time.

    After its last faults, at `seconds`, every killed or stopped process runs again, and no link is cut or has
    loss, duplication or delay.
    """
    rng = random.Random(seed)
    faults = [
        Fault(
            0.0, "weather", figures=(rng.choice([0.0, 0.05, 0.1, 0.3]), 0.05, rng.choice([0.0, 0.01, 0.05]))
        )
    ]
    down: set[str] = set()
    for _ in range(rng.randint(min_faults, max_faults)):
        offset_s = round(rng.uniform(0.0, seconds * 0.8), 2)
        action = rng.choice(["kill", "kill", "stop", "part", "mute", "heal", "kill all"])
        target = rng.choice(names)
        if action == "part":
            shuffled = rng.sample(names, len(names))
            faults.append(Fault(offset_s, "part", tuple(shuffled[: rng.randint(1, len(names) - 1)])))
        elif action == "kill all" and rng.random() < 0.3:
            faults += [Fault(offset_s, "kill", (name,)) for name in names]
            down |= set(names)
        elif action in ("kill", "stop", "mute"):
            faults.append(Fault(offset_s, action, (target,)))
            if action != "mute":
                recovery = "start" if action == "kill" else "go on"
                faults.append(
                    Fault(min(offset_s + rng.uniform(0.2, seconds / 2), seconds), recovery, (target,))
                )
        elif action == "heal":
            faults.append(Fault(offset_s, "heal"))
    faults += [Fault(seconds, "heal"), Fault(seconds, "weather", figures=(0.0, 0.0, 0.0))]
    faults += [Fault(seconds, "go on", (name,)) for name in names]
    faults += [Fault(seconds, "start", (name,)) for name in names]
    return sorted(faults, key=lambda fault: fault.at_s)


def send_signal(pid: int, number: int) -> bool:
    """Sends the signal `number` to a process that the caller has started; returns False if it has ended."""
    try:
        os.kill(pid, number)
        return True
    except ProcessLookupError:
        return False


class Player:
    """Plays a fault script on the proxy `network` and on the processes `names`.

    `pid(name)` returns the id of a running process or None, `start(name)` starts one, and `on_killed(name)`
    is called after SIGKILL was sent. `stopped` holds the names of the processes now stopped by SIGSTOP.
    """

    def __init__(
        self,
        network: Network,
        names: Sequence[str],
        pid: Callable[[str], int | None],
        start: Callable[[str], None],
        on_killed: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._network, self._names, self._pid, self._start, self._on_killed = (
            network,
            names,
            pid,
            start,
            on_killed,
        )
        self.stopped: set[str] = set()

    def apply(self, fault: Fault) -> None:
        """Carries out one step of a fault script now, whatever its `at_s`."""
        if fault.what == "weather":
            self._network.link_conditions = LinkConditions(*fault.figures)
        elif fault.what == "heal":
            self._network.heal()
        elif fault.what == "part":
            self._network.partition(fault.who, [n for n in self._names if n not in fault.who])
        elif fault.what == "mute":
            self._network.block_outgoing(fault.who[0], self._names)
        for name in fault.who:
            pid = self._pid(name)
            if fault.what == "kill" and pid is not None:
                send_signal(pid, signal.SIGKILL)
                self.stopped.discard(name)
                self._on_killed(name)
            elif fault.what == "stop" and pid is not None:
                send_signal(pid, signal.SIGSTOP)
                self.stopped.add(name)
            elif fault.what == "go on" and pid is not None:
                send_signal(pid, signal.SIGCONT)
                self.stopped.discard(name)
            elif fault.what == "start" and pid is None:
                self._start(name)

    def script(self, faults: Sequence[Fault]) -> None:
        """Schedules each fault `at_s` seconds from now on the network's loop, which the caller must run."""
        started_at = time.monotonic()
        for fault in faults:
            self._network.world.at(started_at + fault.at_s, partial(self.apply, fault))
