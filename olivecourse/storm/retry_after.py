"""Retry-After compliance of clients.

Each client has a weight from 0.25 to 1, by which admission control multiplies the worth of its requests (the
value of an answer). The weight falls when the client retries before its Retry-After time, and rises again
when it honours the time. The number of tracked clients is bounded; an unknown client counts as compliant.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
# A retry that is earlier than its Retry-After time by up to this is not penalised, as clocks are inaccurate.
EARLY_TOLERANCE_NS = 20 * MS
# Each early retry takes the part PENALTY_STEP of the client's weight, the factor of its requests' worth; the
# weight stays 1 - MAX_PENALTY or more.
PENALTY_STEP, MAX_PENALTY = 0.5, 0.75
FORGIVENESS = 0.5  # multiplies a client's penalty each time that it honours its Retry-After time


@dataclass(slots=True)
class ClientState:
    """When one client may retry, in ns (0 if no Retry-After is pending), and its penalty for early retries.

    The penalty goes from 0 to MAX_PENALTY; 1 less it is the factor of the worth of the client's requests.
    """

    retry_not_before: int = 0
    noncompliance: float = 0.0


class ComplianceTracker:
    """Tracks the Retry-After compliance of at most `max_clients` clients.

    When there are more, the client whose last refused request is the longest ago is forgotten.
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
        """Records a request of `client` and returns the factor of its worth, from 1 - MAX_PENALTY to 1.

        A request before the client's Retry-After time lowers the factor; one after that time raises it.
        """
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
