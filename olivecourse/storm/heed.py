"""Which clients follow advice: those that come back before they were told to fall behind, and are let in
again as soon as they follow it. Bounded; whom it has forgotten counts as one that follows."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
EARLY_NS = 20 * MS  # so much too early is a clock, not a client
STEP, MOST = 0.5, 0.75  # of what is left, how much a disregard takes; the most that is ever taken
FORGIVE = 0.5  # a wait that was kept takes back this part


@dataclass(slots=True)
class Told:
    until: int = 0
    deaf: float = 0.0


class Heed:
    """`most` clients are remembered, the longest unheard of leave first."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._clients: dict[int, Told] = {}

    def __len__(self) -> int:
        return len(self._clients)

    def told(self, client: int, until: int) -> None:
        """It was refused, and told to stay away until then."""
        told = self._clients.pop(client, None) or Told()
        told.until = max(told.until, until)
        self._clients[client] = told
        if len(self._clients) > self._most:
            del self._clients[next(iter(self._clients))]

    def came(self, client: int, now: int) -> float:
        """Its weight beside one that follows: 1, and never under 1 - MOST."""
        told = self._clients.get(client)
        if told is None:
            return 1.0
        if told.until:
            if now < told.until - EARLY_NS:
                told.deaf = min(told.deaf + STEP * (1 - told.deaf), MOST)
            else:
                told.deaf *= FORGIVE
                told.until = 0
        return 1.0 - told.deaf
