"""Slow start of a store that has just restarted, bounded over all gateways without coordination per request.

Each gateway owns an equal part of the store's cold budget, which grows with time. A gateway transfers budget
that it does not need to gateways that want more: a bounded counter in escrow (Balegas et al., "Extending
Eventually Consistent Cloud Databases for Enforcing Numeric Invariants", SRDS 2015). The amounts that a
gateway has transferred form a row of numbers that only grow. Only that gateway writes the row, and it
subtracts a transfer from its own allowance before it announces the row. Rows are merged by their maxima, so
they may arrive in any order, repeatedly or late; a lost row only leaves a part of the budget unused. The sum
of what all gateways have spent never exceeds the budget.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

TRANSFER_PART = 0.5  # fraction of the surplus given away at a time: the owner may soon need some of it
SETTLE_NS = 2_000_000_000  # datagrams take 20 ms; one that is later than this is taken to be lost
WANT_NS = 1_000_000_000  # how long a peer that asked for more is assumed to want more


def cold_budget(
    floor: float, ramp_ns: int, multiple: float, capacity: float, safety: float, start_ns: int
) -> Callable[[int], float]:
    """Returns the function of time that gives the budget of a store started at `start_ns`.

    The budget is the work that may have been sent to the store by a moment, in units of `capacity` times
    seconds: the integral of safety x multiple x (a rate that rises from floor to 1 within the ramp).
    """

    def total(now: int) -> float:
        elapsed, ramp = max(now - start_ns, 0) / 1e9, max(ramp_ns, 1) / 1e9
        rising = min(elapsed, ramp)
        grown = floor * rising + (1 - floor) * rising * rising / (2 * ramp) + max(elapsed - ramp, 0.0)
        return safety * multiple * capacity * grown

    return total


@dataclass(frozen=True, slots=True)
class TransferRow:
    """One gateway's message about one store: its transfers so far, by gateway, and whether it wants more."""

    sender: int
    transferred: tuple[float, ...]
    wants: bool


class Escrow:
    """One gateway's share of the budget for one store, from one start of the store to the next.

    `owner` is the gateway's index among `gateways`. `total` is the budget of all gateways
    together, which rises with time.
    """

    def __init__(
        self, owner: int, gateways: int, total: Callable[[int], float], now: int, restarted: bool = False
    ) -> None:
        if not 0 <= owner < gateways:
            raise ValueError(f"gateway {owner} is none of {gateways}")
        self.owner, self._gateways, self._total = owner, gateways, total
        self._rows = [[0.0] * gateways for _ in range(gateways)]
        self._wanted_at = [-WANT_NS] * gateways
        # A restarted gateway may have spent its whole part and all that was transferred to it.
        self.spent = total(now) / gateways if restarted else 0.0
        self._base = [0.0] * gateways  # per sender: transfers received and possibly spent before the restart
        self._settled_at = now + SETTLE_NS if restarted else now
        self._may_transfer = not restarted  # not until the transfers made before the restart are known
        self._short_at = -WANT_NS

    def allowance(self, now: int) -> float:
        """The budget left at `now`; negative only by the amount that a caller overdrew."""
        received = sum(
            row[self.owner] - base
            for j, (row, base) in enumerate(zip(self._rows, self._base, strict=True))
            if j != self.owner
        )
        given = sum(x for j, x in enumerate(self._rows[self.owner]) if j != self.owner)
        return self._total(now) / self._gateways + received - given - self.spent

    def take(self, cost: float, now: int) -> bool:
        """Spends `cost` if the allowance covers it; otherwise notes that this gateway wants more."""
        if self.allowance(now) < cost:
            self._short_at = now
            return False
        self.spent += cost
        return True

    def transfer(self, now: int, keep: float) -> TransferRow:
        """Transfers half of the allowance above `keep`, evenly to the gateways that want more.

        Returns this gateway's row, to be sent to its peers.
        """
        surplus = self.allowance(now) - keep
        wanting = [j for j, at in enumerate(self._wanted_at) if j != self.owner and now - at < WANT_NS]
        wants = now - self._short_at < WANT_NS
        if surplus > 0 and wanting and self._may_transfer and not wants:
            for j in wanting:
                self._rows[self.owner][j] += surplus * TRANSFER_PART / len(wanting)
        return TransferRow(self.owner, tuple(self._rows[self.owner]), wants)

    def merge(self, row: TransferRow, now: int) -> None:
        """Merges a peer's row, which may be late or repeated. An invalid row is ignored."""
        if (
            not 0 <= row.sender < self._gateways
            or row.sender == self.owner
            or len(row.transferred) != self._gateways
        ):
            return
        if any(not 0 <= x < 1e18 for x in row.transferred):
            return
        known = self._rows[row.sender]
        for j, x in enumerate(row.transferred):
            known[j] = max(known[j], x)
        if now < self._settled_at:  # the row may date from before this gateway's restart, and be spent since
            self._base[row.sender] = known[self.owner]
        if row.wants:
            self._wanted_at[row.sender] = max(self._wanted_at[row.sender], now)

    def restore(self, transferred: Sequence[float]) -> None:
        """Restores this gateway's own row from a peer's copy, after a restart.

        The transfers in the copy were made out of the part that already counts as spent, so the same amount
        is subtracted from `spent`.
        """
        if len(transferred) != self._gateways or any(not 0 <= x < 1e18 for x in transferred):
            return
        for j, x in enumerate(transferred):
            more = x - self._rows[self.owner][j]
            if more > 0:
                self._rows[self.owner][j] = x
                self.spent -= more
        self._may_transfer = True

    def copy_of(self, gateway: int) -> tuple[float, ...]:
        """This gateway's copy of another gateway's row, which the other restores after a restart."""
        return tuple(self._rows[gateway])
