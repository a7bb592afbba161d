"""Assembles one gateway: event loop, request tracker, planner, connections to stores, discovery, optional
components and client listener.

Each turn of the event loop collects the pending events into one batch, passes the batch to the planner, and
executes the actions that the planner returns.
"""

from __future__ import annotations

import gc
import resource
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any, TypeVar

from olivecourse import interface
from olivecourse.components import Component, enabled_components
from olivecourse.config.gateway_config import Config
from olivecourse.config.merging import MergeResult, merge
from olivecourse.control_plane import ControlPlane
from olivecourse.core.descriptors import divide_descriptors
from olivecourse.core.planner import Planner
from olivecourse.core.requests import RequestTracker
from olivecourse.fronts.listener import Listener
from olivecourse.fronts.thrift import ThriftServer
from olivecourse.net.discovery_client import DiscoveryClient
from olivecourse.net.loop import Loop
from olivecourse.net.planner_link import RemotePlanner
from olivecourse.net.server_pool import ConnectionLimits, ServerPool
from olivecourse.net.timers import Timer

if TYPE_CHECKING:
    from olivecourse.fronts.tokens import Tokens
    from olivecourse.memory.tokenstore import DurableSpent

ComponentT = TypeVar("ComponentT", bound=Component)
MS = 1_000_000
# A gateway that discovery has not answered yet reports that it is not ready, but no longer than this after
# its start.
MAX_DISCOVERY_WAIT_NS = 3_000 * MS
# After SIGTERM, the gateway accepts new connections for at least this long, unless another process has taken
# over its clients: clients keep connecting for 0.6 s, and the platform requires at least 0.7 s of service.
LINGER_NS = 900 * MS
# After SIGTERM, SIGKILL may come once the longest deadline of any request class plus 0.7 s have passed. At
# most this much of the deadline counts.
MAX_DEADLINE_NS = 3_000 * MS
# Requests of a class that a reload removed are still accepted for this long after it, because clients may
# have sent them already.
REMOVED_CLASS_GRACE_NS = 1_000 * MS
# During the shutdown, after the last answer, clients get this long to see that the gateway stops and to close
# their connections.
CLIENT_CLOSE_GRACE_NS = 250 * MS
STOP_MARGIN_NS = 500 * MS  # All requests still open are answered this long before SIGKILL may come.


class LoopTimers:
    """Gives the request tracker access to the event loop's clock and timers, without the rest of the loop."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop

    def now(self) -> int:
        """Returns the current time on the event loop's clock in nanoseconds."""
        return self._loop.clock.now()

    def after(self, delay_ns: int, call: Callable[[], object]) -> Timer:
        """Schedules `call` to run after `delay_ns` nanoseconds. The timer returned can cancel it."""
        return self._loop.after(delay_ns, call)


class Gateway:
    """One gateway process: it owns the event loop and all components, and runs until the shutdown after
    SIGTERM is complete.
    """

    def __init__(self, config: Config, log: Callable[..., None]) -> None:
        self.config, self.log = config, log
        self.loop = loop = Loop()
        loop.on_stall = self._on_stall
        loop.on_fault = self._on_fault
        self.batch: list[interface.PlannerEvent] = []
        self.stopping = False
        # The result of merging the settings at the last reload that applied settings, or None before the
        # first.
        self._last_reload: MergeResult | None = None
        # The client listeners, as a list so that it can be empty while the optional components are created,
        # which happens before there is a listener.
        self.fronts: list[Listener] = []
        settings = config.settings
        self.started = loop.clock.now()
        self.conf_loaded, self.conf_invalid = 1, 0
        self.tracker = RequestTracker(
            settings,
            LoopTimers(loop),
            self.batch.append,
            log,
            max_open_requests=4096,
            max_body_bytes=config.memory_mb * 2**20 // 8,
        )
        self.control = ControlPlane(
            loop, config, self.tracker, self.batch.append, self._on_server_terminated, log
        )
        self.directory = self.control.directory
        # The number of file descriptors that this process may use: the configured number, or the operating
        # system's limit if that is lower.
        self.sockets = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        descriptors = divide_descriptors(self.sockets, len(config.doors))
        limits = ConnectionLimits(
            per_store=descriptors.per_store, total=descriptors.stores, **self._connection_limits()
        )
        self.pool = ServerPool(
            loop,
            self.directory,
            self.tracker,
            limits,
            [c.name for c in settings.classes],
            settings.report_fields,
            self.control.refresh,
            log,
        )
        self.tracker.transport = self.pool
        self.components: list[Component] = []
        # The optional components are added to the list one by one, because the constructor of each may look
        # up those created before it.
        for component_class in enabled_components(config):
            self.components.append(component_class(self))
        self.remote: RemotePlanner | None = None
        self.local: Planner | None = None
        if config.planner is None:
            self.local = Planner(settings, loop.clock.now(), log)
            for component in self.components:
                component.configure_planner(self.local)
            self.execute(self.local.start())
        self.on_events(config.notices, first=True)
        if config.planner is not None:
            # Every planner process that connects is sent the servers and purges known by then, those known at
            # startup included, so the events need not be sent as well.
            self.batch.clear()
            self.remote = RemotePlanner(
                loop, config.planner, self.execute, self._sync_planner, self._on_planner_lost, log
            )
        self.decide()
        if self.local is not None:
            self.local.finish_start()
        self.control.start()
        self.tokens: Tokens | None = None
        self.spent: DurableSpent | None = None
        self.front: Listener = self._create_front()
        self.fronts.append(self.front)
        loop.free_descriptor = self.front.evict_client
        # Whether this process drains is reported to the previous process of this gateway during an upgrade.
        self.front.draining = not self.accepts_requests()
        for component in self.components:
            component.start(self.front)

    def component(self, kind: type[ComponentT]) -> ComponentT | None:
        """Returns the optional component of the class `kind`, or None if the configuration does not enable it
        or it has not been created yet.
        """
        return next((component for component in self.components if isinstance(component, kind)), None)

    def _on_stall(self, wall_ns: int, cpu_ns: int) -> None:
        """Logs a turn of the event loop that took longer than STALL_NS (0.6 s). Both arguments are the turn's
        duration: in real time and in CPU time of this process. High CPU time means that the gateway itself
        was busy, low CPU time that the operating system did not run the process.
        """
        self.log("loop_stalled", ms=wall_ns // MS, cpu_ms=cpu_ns // MS)

    def _on_fault(self, where: str, error: Exception) -> None:
        """Logs an unexpected exception in a callback of the event loop or in an action. `where` says in
        which. The operation that raised it is lost, and deadline timers answer the requests concerned;
        everything else continues.
        """
        self.log("loop_fault", where=where, error=repr(error))

    def _client_limits(self, sockets: int) -> tuple[int, int]:
        """Returns the maximum number of client connections, and the maximum number of bytes that clients
        occupy in each direction (answers that they have not read yet, requests that are unfinished or wait),
        for a process that may use `sockets` file descriptors. The second is an eighth of the configured
        memory, reduced in proportion if `sockets` is less than this process may use by itself.
        """
        config = self.config
        max_unread_bytes = config.memory_mb * 2**20 // 8 * sockets // max(self.sockets, 1)
        return divide_descriptors(sockets, len(config.doors)).clients, max_unread_bytes

    def share_descriptors(self, shared: bool) -> None:
        """Halves this process's limits for file descriptors if `shared` is true, and restores them otherwise.
        They are halved while another process of the same gateway runs during an upgrade, so that both
        together stay within the limit of one.
        """
        sockets = self.sockets // 2 if shared else self.sockets
        descriptors = divide_descriptors(sockets, len(self.config.doors))
        self.pool.limits = replace(
            self.pool.limits, per_store=descriptors.per_store, total=descriptors.stores
        )
        self.front.limit(*self._client_limits(sockets))

    def _create_front(self) -> Listener:
        """Creates the client listener: the one for signed links and order tokens over HTTP if it is
        configured, else the Thrift one.
        """
        config, settings = self.config, self.config.settings
        classes = {c.name: (index, c.write) for index, c in enumerate(settings.classes)}
        refusal_wait_ns = settings.max_retry_after_ns if settings.retry_after else 0
        max_clients, max_unread_bytes = self._client_limits(self.sockets)
        if config.signed is None:
            return ThriftServer(
                self.loop,
                config.listen,
                self.tracker,
                classes,
                self.accepts_requests,
                refusal_wait_ns,
                max_clients,
                max_unread_bytes,
                self.log,
                bool(config.doors),
                next(
                    (sock for component in self.components if (sock := component.listener()) is not None),
                    None,
                ),
            )
        # Imported here because a gateway without the signed listener needs neither module.
        from olivecourse.fronts.signed import SignedHttpServer
        from olivecourse.fronts.tokens import Tokens, read_keys

        leeway_s = config.signed.leeway_s
        keys = read_keys(config.signed.keys)
        memory = config.sections.get("memory")
        if memory is not None and memory.section.tokens is not None:
            from olivecourse.memory.tokenstore import DurableSpent

            self.spent = DurableSpent(self.loop, memory, config.name, leeway_s, self.log)
        self.tokens = Tokens(config.name, keys, leeway_s, spent=self.spent)
        return SignedHttpServer(
            self.loop,
            config.listen,
            self.tracker,
            classes,
            [c.deadline_ns // MS for c in settings.classes],
            self.tokens,
            config.signed.public,
            refusal_wait_ns,
            max_clients,
            max_unread_bytes,
            self.log,
        )

    def reload_keys(self) -> bool:
        """Reads the file with the keys of the signed HTTP listener again. Returns false, without reading
        anything, if this gateway has no such listener.

        Raises ValueError if the file is invalid; the keys in use then stay unchanged.
        """
        signed = self.config.signed
        if signed is None or self.tokens is None:
            return False
        from olivecourse.fronts.tokens import read_keys

        self.tokens.keys = read_keys(signed.keys)
        self.log("keys_read", keys=len(self.tokens.keys))
        return True

    def reload(self, new_config: Config) -> None:
        """Applies a new configuration after SIGHUP, as far as it can change while requests run. Logs the
        names of all other changed settings, which take effect at a restart.

        Raises ValueError before anything has been applied. The stores listed in the file are ignored:
        discovery continues from the last event received.
        """
        old = self.config
        # Settings cannot change while a planner in a separate process, or the order tokens of a signed
        # listener, also depend on them.
        settings_reloadable = self.remote is None and old.signed is None
        merged = merge(old.settings, new_config.settings if settings_reloadable else old.settings)
        keys: Any = None
        if new_config.signed is not None and self.tokens is not None:
            from olivecourse.fronts.tokens import read_keys

            keys = read_keys(new_config.signed.keys)
        changed = [
            name
            for name in ("board", "boards", "peers", "peers_all", "inventory")
            if getattr(new_config, name) != getattr(old, name)
        ]
        needs_restart = [
            name
            for name in ("name", "doors", "zones", "kinds", "sockets", "memory_mb", "peer_listen", "planner")
            if getattr(new_config, name) != getattr(old, name)
        ]
        needs_restart += sorted(
            name
            for name in old.sections.keys() | new_config.sections.keys()
            if old.sections.get(name) != new_config.sections.get(name)
        )
        needs_restart += (
            merged.needs_restart
            if settings_reloadable
            else ["settings"]
            if new_config.settings != old.settings
            else []
        )
        if new_config.listen != old.listen:
            needs_restart.append("listen")
        # Of the signed listener's configuration, only the path of the key file may change. Not even the
        # accepted clock difference `leeway_s` may: with another one, an order token could be used a second
        # time.
        signed = (
            new_config.signed
            if new_config.signed is None or old.signed is None
            else replace(new_config.signed, keys=old.signed.keys)
        )
        if signed != old.signed:
            needs_restart.append("signed")
        self.config = replace(
            old,
            board=new_config.board,
            boards=new_config.boards,
            peers=new_config.peers,
            peers_all=new_config.peers_all,
            inventory=new_config.inventory,
            connect_ns=new_config.connect_ns,
            idle_ns=new_config.idle_ns,
            streams=new_config.streams,
            settings=merged.settings,
            signed=old.signed if "signed" in needs_restart else new_config.signed,
        )
        self.control.reload(old, self.config)
        if keys is not None and self.tokens is not None:
            self.tokens.keys = keys
        self.pool.limits = replace(self.pool.limits, **self._connection_limits())
        if settings_reloadable:
            self._apply_settings(merged)
        for component in self.components:
            component.on_reload(old)
        self.conf_loaded += 1
        self.log("reloaded", moved=changed + merged.applied, needs_restart=list(dict.fromkeys(needs_restart)))

    def _connection_limits(self) -> dict[str, int]:
        """Returns those fields of `ConnectionLimits` (for connections to stores) that come from the
        configuration and not from the number of file descriptors: `connect_ns`, the connect timeout in ns;
        `idle_ns`, the time after which an idle connection is closed, 0.8 of the configured one; and
        `streams`, the maximum number of requests at once on one connection.
        """
        config = self.config
        return {
            "connect_ns": config.connect_ns,
            "idle_ns": int(config.idle_ns * 0.8),
            "streams": config.streams,
        }

    def _apply_settings(self, merged: MergeResult) -> None:
        """Applies the settings that a reload has merged to every component, so far as they change while
        requests run. Request classes keep their indexes.
        """
        settings = merged.settings
        self.tracker.apply_settings(settings)
        if self.local is not None:
            self.local.apply_settings(settings)
        class_names = [c.name for c in settings.classes]
        self.pool.classes[:] = class_names
        self.pool.reports = settings.report_fields
        for component in self.components:
            component.apply_settings(class_names)
        self.front.wait_ns = settings.max_retry_after_ns if settings.retry_after else 0
        live_classes = {
            name: (index, settings.classes[index].write) for name, index in merged.current_indexes.items()
        }
        self.front.classes = self.front.classes | live_classes
        self.loop.after(REMOVED_CLASS_GRACE_NS, lambda: self._remove_old_classes(merged))
        self._last_reload = merged

    def _remove_old_classes(self, merged: MergeResult) -> None:
        """Called REMOVED_CLASS_GRACE_NS after a reload. Removes the request classes that the new
        configuration does not list, unless another reload has applied settings since. New requests of a
        removed class get an error.
        """
        if merged is self._last_reload:
            self.front.classes = {
                name: entry for name, entry in self.front.classes.items() if name in merged.current_indexes
            }

    def _sync_planner(self) -> None:
        """Sends the list of stores and the purges still in effect to a planner process that has just
        connected and knows neither.
        """
        self.control.sync_planner()

    def _on_planner_lost(self) -> None:
        """Called when the connection to the planner process is lost, and with it the actions that the planner
        had planned. Answers every open request with a refusal or a failure.
        """
        self.batch.clear()
        self.tracker.finish_all("planner lost")
        self.tracker.planner_lost()
        self.batch.clear()

    def drain(self, draining: bool) -> None:
        """Starts or ends the drain of all client listeners. A draining listener closes each connection once
        no request is open on it, so that clients go elsewhere.
        """
        for front in self.fronts:
            front.drain(draining)

    def accepts_requests(self) -> bool:
        """Returns whether clients should send requests to this gateway. They should not while it stops or an
        operator drains it.
        """
        return not self.stopping and all(component.accepts_requests() for component in self.components)

    def why_not_ready(self) -> str:
        """Returns the reason why this gateway is not ready to serve requests, or an empty string if it is
        ready.

        A gateway is ready if it is neither stopping nor draining, has a store that is ready and not taken out
        of service, and has received an answer from discovery or waited MAX_DISCOVERY_WAIT_NS for one. With a
        planner in a separate process it must also be connected to it.
        """
        if not self.accepts_requests():
            return "stopping" if self.stopping else "draining"
        if not any(map(self.directory.ready, self.directory.states)):
            return "no store is usable"
        discovery_silent = self.discovery is not None and not self.discovery.answered
        if discovery_silent and self.loop.clock.now() - self.started < MAX_DISCOVERY_WAIT_NS:
            return "the notice board has not answered yet"
        if self.remote is not None and self.remote.stream is None:
            return "no planner"
        for component in self.components:
            component.before_ready()
        return ""

    def avoided(self) -> set[int]:
        """Returns the numbers of the stores to which the planner in this process sends no requests at
        present. With a planner in a separate process, which is not asked, the set is empty.
        """
        return set() if self.local is None else self.local.router.avoided()

    def longest_turn_s(self) -> float:
        """Returns the duration of the longest turn of the event loop since the process started, in seconds,
        without the time spent waiting for sockets and timers. It is exported as a metric.
        """
        return self.loop.longest_turn_ns / 1e9

    def emit(self, event: interface.Event) -> None:
        """Adds an event to the batch that the planner gets in this turn of the event loop."""
        self.batch.append(event)

    @property
    def discovery(self) -> DiscoveryClient | None:
        """The discovery client, or None if no discovery address is configured."""
        return self.control.discovery

    def on_events(self, events: list[Any], first: bool = False) -> None:
        """Records discovery events in order and forwards them to the planner. `first` is true for the events
        that the configuration contains, which are processed at startup.
        """
        self.control.on_events(events, first)

    def _on_server_terminated(self, server: int, terminated_at: int) -> None:
        """Drops the connections to the process of a server that ended at the time `terminated_at` or
        earlier.
        """
        self.pool.close_silent(server, terminated_at)

    def decide(self) -> None:
        """Called at the start and at the end of each turn of the event loop. Passes the batch of events to
        the planner. With the planner in this process, also executes its actions, and repeats both until no
        new events result, so that the planner receives the outcomes of its own actions at once.
        """
        while self.batch:
            events = self.batch[:]
            self.batch.clear()
            if self.local is not None:
                for action in self.local.decide(events, self.loop.clock.now()):
                    try:
                        self.execute([action])
                    except Exception as error:  # The planner's remaining actions are still executed.
                        self._on_fault("action", error)
            elif self.remote is None or not self.remote.send(events, self.loop.clock.now()):
                self._on_planner_lost()

    def execute(self, actions: Sequence[interface.PlannerAction]) -> None:
        """Executes the planner's actions, by passing each to the request tracker, the timers or another
        component.
        """
        for action in actions:
            if isinstance(action, interface.ReadThrough | interface.Look):
                self.tracker.attempt(action)
            elif isinstance(action, interface.SetTimer):
                self._set_timer(action)
            elif isinstance(action, interface.Refuse):
                self.tracker.refuse(action)
            elif isinstance(action, interface.Fail):
                self.tracker.fail(action)
            elif isinstance(action, interface.Cancel):
                self.tracker.cancel(action)
            elif isinstance(action, interface.Checkpoint):
                self.tracker.planner_reached(action)
            elif isinstance(action, interface.Log):
                self.log("module", text=action.text)
            elif isinstance(action, interface.TellPeer):
                for component in self.components:
                    component.execute_action(action)
            elif isinstance(action, interface.CloseIdle):
                self.pool.close_idle(action.cache)

    def _set_timer(self, action: interface.SetTimer) -> None:
        """Adds a TimerFired event to the planner's batch after the delay that the planner asked for."""
        self.loop.after(action.delay_ns, lambda: self.batch.append(interface.TimerFired(action.token)))

    def stop(self) -> None:
        """Starts the shutdown after SIGTERM. The gateway keeps listening for LINGER_NS unless another process
        has taken over its clients, finishes the open requests, and ends before SIGKILL may come.
        """
        if self.stopping:
            return
        self.stopping = True
        longest_deadline_ns = max(c.deadline_ns for c in self.config.settings.classes)
        last_answers_ns = min(longest_deadline_ns, MAX_DEADLINE_NS) + 700 * MS - STOP_MARGIN_NS
        self.log("stopping", open=self.tracker.open, **self.tracker.totals)
        handed_over = any([component.hand_over_clients() for component in self.components])
        for component in self.components if handed_over else ():
            component.on_clients_handed_over()
        self.loop.after(0 if handed_over else LINGER_NS, self._close_when_flushed)
        self.loop.after(last_answers_ns, self._last_answers)
        self.loop.after(last_answers_ns + STOP_MARGIN_NS // 2, self._end)

    def _last_answers(self) -> None:
        """Answers all open requests and accepts no more, because a new request could no longer be answered in
        time. A refusal is harmless, as the client can retry elsewhere.
        """
        self.tracker.closing = True
        self.tracker.finish_all("stopping")

    def _close_when_flushed(self) -> None:
        """Stops listening and closes the client connections if no request is open and all answers are
        sent; else checks again after 20 ms.
        """
        if self._flushed():
            self.front.retire()
            self._end_when_closed(self.loop.clock.now() + CLIENT_CLOSE_GRACE_NS)
        else:
            self.loop.after(20 * MS, self._close_when_flushed)

    def _flushed(self) -> bool:
        """Returns whether no request is open and all answers, also those that optional components still had
        to send, have been sent.
        """
        flushed = self.front.flushed() and all(component.flushed() for component in self.components)
        return flushed and not self.tracker.open

    def _end_when_closed(self, close_at: int) -> None:
        """Ends the event loop once every answer has been sent and all clients, which have been told that the
        gateway stops, have disconnected or the time `close_at` is reached. Checks again after 10 ms
        otherwise.
        """
        if self._flushed() and (not self.front.clients or self.loop.clock.now() >= close_at):
            self._end()
        else:
            self.loop.after(10 * MS, lambda: self._end_when_closed(close_at))

    def _end(self) -> None:
        """Makes `run` leave the event loop after the current turn."""
        self.loop.running = False

    def run(self) -> None:
        """Runs the event loop until the shutdown is complete, then releases all resources."""
        self.log(
            "ready",
            listen=f"{self.config.listen[0]}:{self.front.port}",
            stores=sum(1 for cache in self.directory.states if self.directory.ready(cache)),
        )
        if self.config.unused_paths:
            self.log("settings_unread", names=list(self.config.unused_paths))
        gc.collect()
        # Requests create many short-lived objects but few reference cycles. A garbage collection after every
        # 700 allocations, as is Python's default, took an eighth of the CPU time.
        gc.set_threshold(50_000, 20, 100)
        # Excludes the objects that exist now, most of which live as long as the process, from later
        # collections.
        gc.freeze()
        self.loop.run(self.decide)
        self.log("stopped", open=self.tracker.open, **self.tracker.totals)
        self.front.close()
        if self.spent is not None:
            self.spent.stop()
        self.control.stop()
        for component in self.components:
            component.stop()
        if self.remote is not None:
            self.remote.close()
        self.loop.close()
