"""Carries out the operators' calls (readiness, metrics, drains) with the components of one gateway."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Protocol

from olivecourse import interface
from olivecourse.config.discovery_events import ServerDirectory
from olivecourse.core.requests import RequestTracker
from olivecourse.net.server_pool import ServerPool
from olivecourse.ops.calls import Reply
from olivecourse.ops.manual_drains import GATEWAY_ID, DrainRecord, ManualDrains
from olivecourse.ops.metrics import GatewayMetrics


class Gateway(Protocol):
    """The members of the gateway that GatewayHandlers uses.

    `conf_loaded` counts the configurations loaded, with the first one; `conf_invalid` those refused as
    invalid.
    """

    conf_loaded: int
    conf_invalid: int

    def drain(self, draining: bool) -> None:
        """Starts (or ends, if false) to close client connections once idle, so that clients go elsewhere."""
        ...

    def why_not_ready(self) -> str:
        """Returns an empty text if the gateway serves requests, else the reason, for the readiness reply."""
        ...

    def avoided(self) -> set[int]:
        """Returns the numbers of the stores to which the decision module (the Router) sends no requests at
        present, by its own choice or because of the server list.
        """
        ...

    def longest_turn_s(self) -> float:
        """Returns the duration of the event loop's longest turn since the process started, in seconds."""
        ...

    def emit(self, event: interface.Event) -> None:
        """Passes an event, such as a changed server list entry, to the decision module (the Router)."""
        ...


class GatewayHandlers:
    """Carries out the operators' calls, holds the manual drains, and supplies the values of the metrics."""

    def __init__(
        self,
        gateway: Gateway,
        classes: list[str],
        tracker: RequestTracker,
        pool: ServerPool,
        directory: ServerDirectory,
        log: Callable[..., None],
    ) -> None:
        self.classes = classes
        self._gateway, self._tracker, self._pool, self._directory = gateway, tracker, pool, directory
        self._log = log
        self.manual_drains = ManualDrains(time.time_ns)
        self.on_drain_change: Callable[[], None] = lambda: (
            None
        )  # called after an operator began or ended a drain
        # Handlers of the gateway's optional parts for calls of their own, given method, path and body; each
        # returns None for a call that it does not handle.
        self.extension_handlers: list[Callable[[str, str, bytes], Reply | None]] = []
        directory.manually_drained = self.manual_drains.drained
        self._metrics = GatewayMetrics(self)

    # Operators' calls ---------------------------------------------------------------------------------

    def why_not_ready(self) -> str:
        """Returns an empty text if the gateway serves requests, else the reason, for the readiness reply."""
        return self._gateway.why_not_ready()

    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return self._metrics.text()

    def was_listed(self, store: str) -> bool:
        """Whether a server list has contained the store with this id, or a drain record exists for it."""
        has_record = store in self.manual_drains.records  # perhaps made by an earlier process of this gateway
        return (
            store in self._directory.recently_listed or has_record or store in self._directory.names.values()
        )

    def set_store_drained(self, store: str, out: bool) -> None:
        """Drains the store with this id if `out`, else ends its drain. After a change, calls
        `on_drain_change`, which notifies the other process of a hot restart.
        """
        if self.manual_drains.set_drained(store, out):
            self._apply_changes({store})
            self.on_drain_change()

    def set_draining(self, draining: bool) -> None:
        """Drains this whole gateway, or ends its drain."""
        self.set_store_drained(GATEWAY_ID, draining)

    def extension_reply(self, method: str, path: str, body: bytes) -> Reply | None:
        """Returns the reply of the first of `extension_handlers` that handles this call, else None."""
        return next(
            (reply for call in self.extension_handlers if (reply := call(method, path, body)) is not None),
            None,
        )

    @property
    def draining(self) -> bool:
        """Whether operators have drained this whole gateway, in this process or another one of it."""
        return GATEWAY_ID in self.manual_drains.drained

    def drain_records(self) -> list[tuple[str, DrainRecord]]:
        """Returns the newest manual drain record of each store, with its id, to be shared or written."""
        return list(self.manual_drains.records.items())

    def merge_drains(self, records: Iterable[tuple[str, DrainRecord]]) -> None:
        """Merges manual drain records, with their store ids, from another process of this gateway, running or
        ended, and applies the drains that began or ended as a result.
        """
        self._apply_changes(self.manual_drains.merge(records))

    def _apply_changes(self, stores: set[str]) -> None:
        for store in sorted(stores):
            out = store in self.manual_drains.drained
            if store == GATEWAY_ID:
                self._log("drain_begins" if out else "drain_ends", open=self._tracker.open)
                self._gateway.drain(out)
                continue
            self._log("store_out_by_hand" if out else "store_back_by_hand", store=store)
            event = self._directory.effective_change(store)
            if event is not None:
                self._gateway.emit(event)

    # Values of the metrics ----------------------------------------------------------------------------

    def outcomes(self) -> list[list[int]]:
        """Returns, for each request class, the counts of requests served, refused and failed."""
        return self._tracker.outcomes

    def attempts_sent(self) -> int:
        """Returns the number of attempts (requests to stores, parents or origins) written completely."""
        return self._pool.attempts_sent

    def open_requests(self) -> int:
        """Returns the number of clients' requests that have no final answer yet."""
        return self._tracker.open

    def store_counts(self) -> tuple[int, int]:
        """Returns the number of stores in the server list, and how many of them get no requests now, because
        they are not ready, drained by hand, or avoided by the decision module.
        """
        listed = self._directory.members
        avoided = {store for store in listed if not self._directory.ready(store)} | self._gateway.avoided()
        return len(listed), len(avoided & listed.keys())

    def longest_turn_s(self) -> float:
        """Returns the duration of the event loop's longest turn since the process started, in seconds."""
        return self._gateway.longest_turn_s()

    def reload_counts(self) -> tuple[int, int]:
        """Returns the count of configurations loaded, with the first one, and of those refused as invalid."""
        return self._gateway.conf_loaded, self._gateway.conf_invalid
