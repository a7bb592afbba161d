"""Divides a process's file descriptors among clients, stores, operators and its own files. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

PER_STORE = 24  # Maximum number of connections to one store, if the descriptor limit allows them.
# Descriptors of the process itself: event loop, log, listener, discovery, peers, planner, and files being
# read.
PROCESS_DESCRIPTORS = 24
# Descriptors of one operators' endpoint: its callers, its listener, and one newly accepted connection.
DOOR = 18
# Subtracted from the half of the descriptors that is given to store connections.
STORE_CONNECTIONS_MARGIN = 32
MIN_STORE_CONNECTIONS = 16  # Minimum number of store connections, even with very few descriptors.
# A process with an operators' endpoint may be one of two processes of the same gateway. Below 192 descriptors
# it therefore limits itself to 8 store connections.
SCARCE_DESCRIPTORS, SCARCE_STORE_CONNECTIONS = 192, 8


@dataclass(frozen=True)
class Split:
    """Descriptor limits of one process.

    `stores` is the limit for all store connections together, `per_store` the number of further store
    connections that may be opened in an emergency, and `clients` the limit for client connections.
    """

    stores: int
    per_store: int
    clients: int

    def total(self, endpoints: int) -> int:
        """Returns the maximum number of descriptors open at once, with `endpoints` operators' endpoints."""
        return self.stores + self.per_store + self.clients + PROCESS_DESCRIPTORS + DOOR * endpoints


def split(sockets: int, endpoints: int) -> Split:
    """Divides `sockets` descriptors for a process with `endpoints` operators' endpoints.

    Normal clients use at most a third of the descriptors. Descriptors left over by stores and by the
    process's own files are also given to clients, so that fewer idle connections must be closed to accept a
    new one.

    With one operators' endpoint and at least 96 descriptors, clients and stores together cannot use up the
    descriptors reserved for operators. Each further endpoint raises that minimum by 18.
    """
    process_descriptors = PROCESS_DESCRIPTORS + DOOR * endpoints
    scarce = endpoints > 0 and sockets < SCARCE_DESCRIPTORS
    per_store = SCARCE_STORE_CONNECTIONS if scarce else PER_STORE
    stores = max(
        sockets // 2 - STORE_CONNECTIONS_MARGIN - DOOR * endpoints,
        SCARCE_STORE_CONNECTIONS if scarce else MIN_STORE_CONNECTIONS,
    )
    return Split(stores, per_store, max(sockets // 3, sockets - stores - per_store - process_descriptors))
