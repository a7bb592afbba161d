"""Divides a process's file descriptors among clients, stores, operators and its own files. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

# Maximum number of connections to one store, in a process that is not short of file descriptors (see
# SCARCE_DESCRIPTORS).
MAX_CONNECTIONS_PER_STORE = 24
# Number of file descriptors reserved for the process itself: event loop, log, client listener, discovery
# connection, peer socket, planner connection, and files being read.
PROCESS_DESCRIPTORS = 24
# Number of file descriptors reserved for each operators' HTTP endpoint: its callers' connections, its
# listener, and one newly accepted connection.
DESCRIPTORS_PER_ENDPOINT = 18
# Store connections get half of the process's file descriptors minus this number, minus
# DESCRIPTORS_PER_ENDPOINT for each operators' endpoint.
STORE_CONNECTIONS_MARGIN = 32
# Lower bound of the limit for all store connections together, unless SCARCE_STORE_CONNECTIONS applies.
MIN_STORE_CONNECTIONS = 16
# A process with an operators' endpoint may be one of two processes of the same gateway that share its file
# descriptors during an upgrade. Below 192 descriptors it therefore opens at most 8 connections to one store,
# and 8 is also the lower bound of its limit for all store connections together.
SCARCE_DESCRIPTORS, SCARCE_STORE_CONNECTIONS = 192, 8


@dataclass(frozen=True)
class DescriptorLimits:
    """How many file descriptors one process may use for which connections.

    `stores` is the limit for all store connections together, and `clients` the limit for client connections.
    `per_store` is the limit for connections to one store. It is also the number of connections that may be
    opened beyond `stores`, to stores to which the process has no usable connection.
    """

    stores: int
    per_store: int
    clients: int

    def total(self, endpoints: int) -> int:
        """Returns the maximum number of file descriptors open at once in a process with `endpoints`
        operators' endpoints: connections within these limits and the reserved descriptors.
        """
        return (
            self.stores
            + self.per_store
            + self.clients
            + PROCESS_DESCRIPTORS
            + DESCRIPTORS_PER_ENDPOINT * endpoints
        )


def divide_descriptors(sockets: int, endpoints: int) -> DescriptorLimits:
    """Divides `sockets` file descriptors for a process with `endpoints` operators' HTTP endpoints.

    In normal operation, clients use at most a third of the descriptors. They get that third, or all that
    stores and the process itself leave over if these are more, so that fewer idle client connections must be
    closed to accept a new one.

    With one operators' endpoint and at least 96 descriptors, clients and stores together cannot use up the
    descriptors reserved for operators. Each further endpoint raises that minimum by 18.
    """
    process_descriptors = PROCESS_DESCRIPTORS + DESCRIPTORS_PER_ENDPOINT * endpoints
    scarce = endpoints > 0 and sockets < SCARCE_DESCRIPTORS
    per_store = SCARCE_STORE_CONNECTIONS if scarce else MAX_CONNECTIONS_PER_STORE
    stores = max(
        sockets // 2 - STORE_CONNECTIONS_MARGIN - DESCRIPTORS_PER_ENDPOINT * endpoints,
        SCARCE_STORE_CONNECTIONS if scarce else MIN_STORE_CONNECTIONS,
    )
    return DescriptorLimits(
        stores, per_store, max(sockets // 3, sockets - stores - per_store - process_descriptors)
    )
