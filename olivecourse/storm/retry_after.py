"""Retry-After compliance of clients.

Each client has a weight from 0.25 to 1, by which admission control multiplies the worth of its requests. It
falls when the client retries before its Retry-After time, and rises again when it honours the time. The
number of tracked clients is bounded; an unknown client counts as compliant.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
EARLY_TOLERANCE_NS = 20 * MS  # a retry that is early by up to this is attributed to clock inaccuracy
# Each early retry takes the part PENALTY_STEP of the client's weight; the weight stays 1 - MAX_PENALTY or
# more.
PENALTY_STEP, MAX_PENALTY = 0.5, 0.75
FORGIVENESS = 0.5  # factor of the client's penalty each time that it honours its Retry-After time


@dataclass(slots=True)
class ClientState:
    """When one client may retry (0 if no Retry-After is pending), and its penalty, 0 to MAX_PENALTY."""

    retry_not_before: int = 0
    noncompliance: float = 0.0


class ComplianceTracker:
    """Tracks the Retry-After compliance of at most `max_clients` clients.

    The clients that have not been refused for the longest time are evicted first.
    """

    def __init__(self, max_clients: int) -> None:
        self._max_clients = max_clients
        self._clients: dict[int, ClientState] = {}

    def __len__(self) -> int:
        return len(self._clients)

    def record_refusal(self, client: int, until: int) -> None:
        """Records that a request of `client` was refused, with a Retry-After that ends at `until` (in ns)."""
        state = self._clients.pop(client, None) or ClientState()
        state.retry_not_before = max(state.retry_not_before, until)
        self._clients[client] = state
        if len(self._clients) > self._max_clients:
            del self._clients[next(iter(self._clients))]

    def record_request(self, client: int, now: int) -> float:
        """Records a request, early or not, and returns the client's weight, from 1 - MAX_PENALTY to 1."""
        state = self._clients.get(client)
        if state is None:
            return 1.0
        if state.retry_not_before:
            if now < state.retry_not_before - EARLY_TOLERANCE_NS:
                state.noncompliance = min(
                    state.noncompliance + PENALTY_STEP * (1 - state.noncompliance), MAX_PENALTY
                )
            else:
                state.noncompliance *= FORGIVENESS
                state.retry_not_before = 0
        return 1.0 - state.noncompliance
