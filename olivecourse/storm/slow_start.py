"""Slow start of a store that has just restarted, bounded over all gateways without coordination per request.

A store whose cache is still cold can serve less than its full load. The store's cold budget is the total work
that all gateways together may have sent to it by a given time since its start. Each gateway owns an equal
part of it, and transfers what it does not need of its part to gateways that want more: a bounded counter in
escrow (Balegas et al., "Extending Eventually Consistent Cloud Databases for Enforcing Numeric Invariants",
SRDS 2015). A gateway's row holds the amount that it has transferred to each other gateway so far; these
amounts only grow. Only that gateway writes the row, and it subtracts a transfer from its own allowance before
it announces the row. Rows are merged by their maxima, so they may arrive in any order, repeatedly or late; a
lost row only leaves a part of the cold budget unused. The sum of what all gateways have spent never exceeds
the cold budget.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

TRANSFER_PART = 0.5  # part of a surplus of cold budget transferred at once; its owner may need the rest
# Transfer rows received within this time after a gateway's restart may have been sent before the restart.
# Datagrams take 20 ms; one that would be later than this is taken to be lost.
SETTLE_NS = 2_000_000_000
WANT_NS = 1_000_000_000  # how long a gateway that ran short of cold budget counts as wanting more


def cold_budget(
    floor: float, ramp_ns: int, multiple: float, capacity: float, safety: float, start_ns: int
) -> Callable[[int], float]:
    """Returns a function from the time in ns to the cold budget of a store that started at `start_ns`.

    The cold budget is the work that all gateways together may have sent to the store by that time, in units
    of `capacity` times seconds: the integral of safety x multiple x capacity x a factor that rises linearly
    from `floor` to 1 within `ramp_ns` and then stays 1.
    """

    def total(now: int) -> float:
        elapsed, ramp = max(now - start_ns, 0) / 1e9, max(ramp_ns, 1) / 1e9
        rising = min(elapsed, ramp)
        grown = floor * rising + (1 - floor) * rising * rising / (2 * ramp) + max(elapsed - ramp, 0.0)
        return safety * multiple * capacity * grown

    return total


@dataclass(frozen=True, slots=True)
class TransferRow:
    """One gateway's message about its part of a store's cold budget (the work it may get while still cold).

    `transferred` holds, by gateway index, how much of its part `sender` has transferred to each gateway so
    far, in the unit of `cold_budget` (units of capacity times seconds). `wants` is True if the sender has run
    short of budget within the last WANT_NS.
    """

    sender: int
    transferred: tuple[float, ...]
    wants: bool


class Escrow:
    """One gateway's account of its part of one store's cold budget, from one start of the store to the next.

    The cold budget is the work that may be sent to the store while its cache is cold.

    `owner` is this gateway's index among `gateways`. `total` gives the cold budget of all gateways together
    at a time, as `cold_budget` returns it; each gateway owns an equal part and may transfer some of it to
    others. `restarted` tells that this gateway has restarted and no longer knows what it spent and
    transferred.
    """

    def __init__(
        self, owner: int, gateways: int, total: Callable[[int], float], now: int, restarted: bool = False
    ) -> None:
        if not 0 <= owner < gateways:
            raise ValueError(f"gateway {owner} is none of {gateways}")
        self.owner, self._gateways, self._total = owner, gateways, total
        self._rows = [[0.0] * gateways for _ in range(gateways)]
        self._wanted_at = [-WANT_NS] * gateways
        # After a restart the whole part counts as spent, since the gateway may have spent it before.
        self.spent = total(now) / gateways if restarted else 0.0
        # By sender: the budget received from it that may have been spent before this gateway's restart, and
        # is not counted in the allowance.
        self._base = [0.0] * gateways
        self._settled_at = now + SETTLE_NS if restarted else now
        self._may_transfer = not restarted  # after a restart, only once `restore` has set the own row
        self._short_at = -WANT_NS

    def allowance(self, now: int) -> float:
        """Cold budget that this gateway may still spend on requests to the store.

        It is the gateway's part and what it received, less its transfers and spending; negative only by what
        a caller spent beyond it.
        """
        received = sum(
            row[self.owner] - base
            for j, (row, base) in enumerate(zip(self._rows, self._base, strict=True))
            if j != self.owner
        )
        given = sum(x for j, x in enumerate(self._rows[self.owner]) if j != self.owner)
        return self._total(now) / self._gateways + received - given - self.spent

    def take(self, cost: float, now: int) -> bool:
        """Spends `cost` (work, in the unit of `cold_budget`), if the allowance covers it, and returns True.

        Otherwise returns False, and this gateway asks its peers for more budget for WANT_NS.
        """
        if self.allowance(now) < cost:
            self._short_at = now
            return False
        self.spent += cost
        return True

    def transfer(self, now: int, keep: float) -> TransferRow:
        """Transfers half of the cold budget left above `keep`, evenly to the gateways that want more.

        Transfers nothing while this gateway itself wants more. Returns its row, to be sent to its peers.
        """
        surplus = self.allowance(now) - keep
        wanting = [j for j, at in enumerate(self._wanted_at) if j != self.owner and now - at < WANT_NS]
        wants = now - self._short_at < WANT_NS
        if surplus > 0 and wanting and self._may_transfer and not wants:
            for j in wanting:
                self._rows[self.owner][j] += surplus * TRANSFER_PART / len(wanting)
        return TransferRow(self.owner, tuple(self._rows[self.owner]), wants)

    def merge(self, row: TransferRow, now: int) -> None:
        """Merges a peer gateway's transfer row, received at `now`, by maxima: it may be late or repeated.

        An invalid row is ignored.
        """
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
        if now < self._settled_at:  # may have been received and spent before the restart
            self._base[row.sender] = known[self.owner]
        if row.wants:
            self._wanted_at[row.sender] = max(self._wanted_at[row.sender], now)

    def restore(self, transferred: Sequence[float]) -> None:
        """After a restart, restores from a peer's copy what this gateway has transferred to the others.

        After the restart the gateway's whole part counts as spent, and that includes what it had transferred.
        As the restored row is subtracted from the allowance as well, it is taken off `spent`.
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
        """Amounts that `gateway` has transferred to each gateway, for its `restore` after a restart."""
        return tuple(self._rows[gateway])
