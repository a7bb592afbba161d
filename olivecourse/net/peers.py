"""Short UDP messages between this gateway and the other gateways of its tier (its peers)."""

from __future__ import annotations

import socket
from collections.abc import Callable

from olivecourse import interface
from olivecourse.config.address import Address
from olivecourse.net.loop import READ, Loop

MAX_DATAGRAM_BYTES = 256  # a longer datagram is neither sent nor accepted
READS_PER_TURN = 64  # datagrams read at most in one turn of the event loop


class Peers:
    """The UDP socket for messages to and from the peers; a received message becomes a `PeerMessage` event."""

    def __init__(
        self,
        loop: Loop,
        listen: Address,
        peers: list[Address],
        group_address: Address | None,
        emit: Callable[[interface.Event], None],
        log: Callable[..., None],
        shared: bool = False,
    ) -> None:
        """`peers` lists the addresses of the other gateways, indexed by peer number. A message to all of them
        is sent once, to `group_address`; if that is None, it is not sent. `emit` gets each received message.

        `shared` lets another process bind the same address (SO_REUSEPORT); the system then divides the
        datagrams among the processes.
        """
        self._loop, self._peers, self._group_address, self._emit, self._log = (
            loop,
            peers,
            group_address,
            emit,
            log,
        )
        self._peer_numbers = {address: number for number, address in enumerate(peers)}
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            if shared:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self._sock.bind(listen)
        except OSError:
            self._sock.close()
            raise
        self._sock.setblocking(False)
        loop.watch(self._sock, READ, self._on_readable)

    def replace_addresses(self, peers: list[Address], group_address: Address | None) -> None:
        """Replaces the addresses of the peers and of their group by those of a new configuration."""
        self._peers, self._group_address = peers, group_address
        self._peer_numbers = {address: number for number, address in enumerate(peers)}

    def _on_readable(self, mask: int) -> None:
        for _ in range(READS_PER_TURN):
            try:
                data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:  # for example an ICMP error, sent by the host of a peer that is down
                self._log("peer_error", why=str(error))
                return
            number = self._peer_numbers.get(sender)
            if number is None or len(data) > MAX_DATAGRAM_BYTES:
                self._log("peer_datagram_dropped", sender=f"{sender[0]}:{sender[1]}", size=len(data))
                continue
            self._emit(interface.PeerMessage(number, data))

    def send(self, action: interface.TellPeer) -> None:
        """Sends the message of a TellPeer action to one peer or to all.

        A message that is too long, has no known address or cannot be sent is logged and dropped.
        """
        if action.peer == "all":
            target = self._group_address
        else:
            number = int(action.peer)
            target = self._peers[number] if 0 <= number < len(self._peers) else None
        if target is None or len(action.payload) > MAX_DATAGRAM_BYTES:
            self._log("peer_message_not_sent", peer=str(action.peer), size=len(action.payload))
            return
        try:
            self._sock.sendto(action.payload, target)
        except OSError as error:
            self._log("peer_error", why=str(error))

    def close(self) -> None:
        """Stops receiving and closes the UDP socket."""
        self._loop.unwatch(self._sock)
        self._sock.close()
