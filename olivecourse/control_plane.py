"""The control side of a gateway: discovery, the directory of servers and purges, without the request path.

A gateway owns one, and so does a gateway that serves nobody and is there to be measured.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from olivecourse import interface as w
from olivecourse.config.discovery_events import InvalidEvent, ServerDirectory
from olivecourse.config.gateway_config import Config
from olivecourse.core.ledger import Ledger
from olivecourse.discovery.pacing import PollPacer
from olivecourse.net.discovery_client import DiscoveryClient
from olivecourse.net.loop import Loop
from olivecourse.purge_table import PurgeTable


def _graces_ns(settings: w.Settings) -> tuple[int, ...]:
    """The times within which the settings want news of each kind heeded; 0 where they do not tell."""
    return settings.purge_grace_ns, settings.drain_grace_ns


class ControlPlane:
    """Takes discovery events, keeps what they tell and passes it on to the planner."""

    def __init__(
        self,
        loop: Loop,
        config: Config,
        tracker: Ledger,
        emit: Callable[[w.Event], None],
        server_terminated: Callable[[int, int], None],
        log: Callable[..., None],
    ) -> None:
        """`emit` takes events for the planner; `server_terminated` the number of a server whose process has
        ended and when that was at the latest, in ns on the loop's clock."""
        self.loop, self.log = loop, log
        self._config, self._tracker, self._emit = config, tracker, emit
        self._server_terminated = server_terminated
        clock = loop.clock
        self.directory = ServerDirectory(
            config.zones, config.kinds, config.settings, clock.from_unix_ms, clock.now
        )
        self.discovery: DiscoveryClient | None = None
        # By name too: gateways that share a seed must not come back to a lost address as one.
        self._random = Random(f"{config.settings.seed} {config.name}").random
        self._pacer = PollPacer(_graces_ns(config.settings))
        self._rev = config.rev  # the last event taken while nothing is polled
        self.purges = PurgeTable(keep=0)  # kept for planners in processes of their own only

    def start(self) -> None:
        """Begins to poll, where the configuration names an address."""
        if self._config.board is not None:
            self._poll(self._config.board)

    def _poll(self, address: tuple[str, int]) -> None:
        self.discovery = DiscoveryClient(
            self.loop,
            address,
            self._rev,
            self.on_events,
            self.log,
            random=self._random,
            pacer=self._pacer,
            alternatives=self._config.boards,
            grace_ns=self._pacer.grace_ns,
        )

    def reload(self, old: Config, fresh: Config) -> None:
        """Goes by a new configuration: another address is polled from the last event that was taken."""
        self._config = fresh
        self._pacer.apply_settings(_graces_ns(fresh.settings))
        if fresh.board is None:
            self.stop()
        elif self.discovery is None:
            self._poll(fresh.board)
        else:
            self.discovery.move(fresh.board, fresh.boards)

    def stop(self) -> None:
        """Ends the polls; the number of the last event is kept for an address to come."""
        if self.discovery is not None:
            self.discovery.stop()
            self._rev = self.discovery.rev
            self.discovery = None

    def on_events(self, events: list[Any], first: bool = False) -> None:
        """Takes discovery events in their order; `first` marks those of the start."""
        for raw in events:
            try:
                for event in self.directory.events(raw, first):
                    if isinstance(event, w.Purged):
                        self._tracker.purge(event)
                        self._remember(event)
                    self._emit(event)
            except InvalidEvent as bad:
                self.log("discovery_event_invalid", why=str(bad))
        terminated, self.directory.terminated_at = self.directory.terminated_at, {}
        for server, when in terminated.items():
            self._server_terminated(server, when)

    def _remember(self, news: w.Purged) -> None:
        key = news.group if news.object is None else news.object
        now, settles = self.loop.clock.now(), self._config.settings.purge_settles_ns
        if key is not None and self._config.planner is not None:
            age = news.age_ns or 0
            self.purges.add(key, now - age, now + settles, now, 0 < settles <= age)

    def sync_planner(self) -> None:
        """Tells a planner that knows nothing of the servers and of the purges that bind."""
        now = self.loop.clock.now()
        members = map(self.directory.effective_member, self.directory.members.values())
        self._emit(w.CacheList(0, w.ListKind.HELD, tuple(members)))
        self.purges.expire(now)
        for key, (at, _) in self.purges.items():
            age = now - at
            self._emit(w.Purged(key, None, age) if isinstance(key, str) else w.Purged(None, key, age))
