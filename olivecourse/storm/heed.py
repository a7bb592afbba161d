"""Retry-After compliance of clients.

A client that retries before the time it was given loses weight in admission control, and regains it as soon
as it honours Retry-After again. The number of tracked clients is bounded; an unknown client counts as
compliant.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
EARLY_TOLERANCE_NS = 20 * MS  # a retry that is early by less than this is attributed to clock inaccuracy
PENALTY_STEP, MAX_PENALTY = 0.5, 0.75  # part of the remaining weight that a violation takes; the upper bound
FORGIVENESS = 0.5  # factor applied to the penalty when a client honours its wait


@dataclass(slots=True)
class ClientState:
    """Retry-After time given to one client, and the client's noncompliance from 0 to MAX_PENALTY."""

    retry_not_before: int = 0
    noncompliance: float = 0.0


class ComplianceTracker:
    """Tracks at most `max_clients` clients; those not refused for the longest time are evicted first."""

    def __init__(self, max_clients: int) -> None:
        self._max_clients = max_clients
        self._clients: dict[int, ClientState] = {}

    def __len__(self) -> int:
        return len(self._clients)

    def record_refusal(self, client: int, until: int) -> None:
        """Records that `client` was refused and told not to retry before `until`."""
        state = self._clients.pop(client, None) or ClientState()
        state.retry_not_before = max(state.retry_not_before, until)
        self._clients[client] = state
        if len(self._clients) > self._max_clients:
            del self._clients[next(iter(self._clients))]

    def record_request(self, client: int, now: int) -> float:
        """Records a request of `client` and returns the client's weight, from 1 - MAX_PENALTY to 1."""
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
