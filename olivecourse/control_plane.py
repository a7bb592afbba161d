"""The control plane of a gateway: it polls discovery and keeps the directory of servers and the purges. It
handles no client requests.

Each gateway has one, also the benchmark gateway, which serves no requests.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from olivecourse import interface
from olivecourse.config.discovery_events import InvalidEvent, ServerDirectory
from olivecourse.config.gateway_config import Config
from olivecourse.core.requests import RequestTracker
from olivecourse.discovery.pacing import PollPacer
from olivecourse.net.discovery_client import DiscoveryClient
from olivecourse.net.loop import Loop
from olivecourse.purge_table import PurgeTable

# Nothing is sent to a store while an event of discovery may have waited unread for longer than this, in
# nanoseconds. A small part of the shortest time within which events must be obeyed.
MAX_EVENT_DELAY_NS = 20_000_000


def _graces_ns(settings: interface.Settings) -> tuple[int, ...]:
    """Returns two grace periods in nanoseconds: the times within which the settings require a gateway to obey
    a purge, and a drain. 0 means that the settings define none.
    """
    return settings.purge_grace_ns, settings.drain_grace_ns


class ControlPlane:
    """Polls for discovery events, records the servers and purges that they announce, and forwards these to
    the planner as events.
    """

    def __init__(
        self,
        loop: Loop,
        config: Config,
        tracker: RequestTracker,
        emit: Callable[[interface.PlannerEvent], None],
        server_terminated: Callable[[int, int], None],
        log: Callable[..., None],
    ) -> None:
        """`emit` receives events for the planner. `server_terminated` receives the number of a server whose
        process has ended and the latest time at which it can have ended, in nanoseconds on the event loop's
        clock.
        """
        self.loop, self.log = loop, log
        self._config, self._tracker, self._emit = config, tracker, emit
        self._server_terminated = server_terminated
        clock = loop.clock
        self.directory = ServerDirectory(
            config.zones, config.kinds, config.settings, clock.from_unix_ms, clock.now
        )
        self.discovery: DiscoveryClient | None = None
        # The gateway's name is part of the seed, so that gateways with the same seed do not reconnect to a
        # restarted discovery server at the same moment.
        self._random = Random(f"{config.settings.seed} {config.name}").random
        self._pacer = PollPacer(_graces_ns(config.settings))
        # The revision number of the last discovery event received, as of the start or of the last time
        # polling stopped. The next discovery client polls from there.
        self._revision = config.rev
        # When `refresh` last read from discovery, on the event loop's clock.
        self._refreshed_at = 0
        # Purges still in effect, sent to a planner process whenever one connects. Stays empty if the planner
        # runs in this process.
        self.purges = PurgeTable(min_retained=0)
        # The value of the tracker's `purged.merged` (purges merged into one bound for all objects) that was
        # logged last.
        self._logged_merged = 0

    def start(self) -> None:
        """Starts polling if the configuration names a discovery address."""
        if self._config.board is not None:
            self._poll(self._config.board)

    def _poll(self, address: tuple[str, int]) -> None:
        """Creates the discovery client, which polls `address` for events after the last one received."""
        self.discovery = DiscoveryClient(
            self.loop,
            address,
            self._revision,
            self.on_events,
            self.log,
            random=self._random,
            pacer=self._pacer,
            alternatives=self._config.boards,
            grace_ns=self._pacer.grace_ns,
        )

    def reload(self, old: Config, new_config: Config) -> None:
        """Applies a new configuration. A new discovery address is polled for events after the last one
        received; without an address, polling stops.
        """
        self._config = new_config
        self._pacer.apply_settings(_graces_ns(new_config.settings))
        if new_config.board is None:
            self.stop()
        elif self.discovery is None:
            self._poll(new_config.board)
        else:
            self.discovery.replace_addresses(new_config.board, new_config.boards)

    def refresh(self) -> None:
        """Reads the events that discovery has sent, unless that was done within MAX_EVENT_DELAY_NS.

        Called before each send to a store, since the process may have been held up, or busy, since this turn
        of the event loop began.
        """
        now = self.loop.clock.now()
        if now - max(self.loop.turn_started_at, self._refreshed_at) > MAX_EVENT_DELAY_NS:
            self._refreshed_at = now
            if self.discovery is not None:
                self.discovery.read_events()

    def stop(self) -> None:
        """Stops polling discovery. The revision of the last event received is kept, so that a later discovery
        client continues there.
        """
        if self.discovery is not None:
            self.discovery.stop()
            self._revision = self.discovery.rev
            self.discovery = None

    def on_events(self, events: list[Any], first: bool = False) -> None:
        """Records discovery events in order and forwards them to the planner. An invalid event is logged.
        `first` is true for the events that the configuration contains, which are processed at startup.
        """
        before = self._tracker.checkpoint()
        try:
            for raw in events:
                self._process(raw, first)
        finally:  # also after an exception, or nothing more would be sent for the objects purged before it
            if self._tracker.checkpoint() != before:
                self._emit(self._tracker.checkpoint())
        terminated, self.directory.terminated_at = self.directory.terminated_at, {}
        for server, time_ns in terminated.items():
            self._server_terminated(server, time_ns)
        self._log_merged_purges()

    def _process(self, raw: Any, first: bool) -> None:
        """Records one discovery event and forwards what follows from it to the planner."""
        try:
            for event in self.directory.events(raw, first):
                if isinstance(event, interface.Purged):
                    self._tracker.purge(event)
                    self._record_purge(event)
                self._emit(event)
        except InvalidEvent as error:
            self.log("discovery_event_invalid", why=str(error))

    def _log_merged_purges(self) -> None:
        """Logs when the tracker's full purge table has merged further purges into one bound for all objects,
        so that copies of objects that were not purged are filled again.
        """
        merged = self._tracker.purged.merged
        if merged > self._logged_merged:
            self._logged_merged = merged
            self.log("purges_folded", since_start=merged)

    def _record_purge(self, purge: interface.Purged) -> None:
        """Records a purge for a planner process that connects later; does nothing if the planner runs in this
        process.
        """
        object_or_group = purge.group if purge.object is None else purge.object
        now, settling_ns = self.loop.clock.now(), self._config.settings.purge_settles_ns
        if object_or_group is not None and self._config.planner is not None:
            age = purge.age_ns or 0
            self.purges.add(object_or_group, now - age, now + settling_ns, now, 0 < settling_ns <= age)

    def sync_planner(self) -> None:
        """Sends the list of servers and the purges still in effect to a planner process that has just
        connected and knows neither.
        """
        now = self.loop.clock.now()
        members = map(self.directory.effective_member, self.directory.members.values())
        self._emit(interface.CacheList(0, interface.ListKind.HELD, tuple(members)))
        self.purges.expire(now)
        for object_or_group, (valid_from, _) in self.purges.items():
            age = now - valid_from
            self._emit(
                interface.Purged(object_or_group, None, age)
                if isinstance(object_or_group, str)
                else interface.Purged(None, object_or_group, age)
            )
        self._emit(self._tracker.checkpoint())
