"""Assembles one gateway: event loop, request tracker, planner, stores, discovery, peers and client listener.

Each turn of the loop collects the pending events into one batch, passes the batch to the planner, and
executes the actions that the planner returns.
"""

from __future__ import annotations

import gc
import resource
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any, TypeVar

from olivecourse import interface as w
from olivecourse.config.gateway_config import Config
from olivecourse.config.merging import MergeResult, merge
from olivecourse.control_plane import ControlPlane
from olivecourse.core.descriptors import split
from olivecourse.core.ledger import Ledger
from olivecourse.core.planner import Planner
from olivecourse.fronts.listener import Listener
from olivecourse.fronts.thrift import ThriftFront
from olivecourse.net.discovery_client import DiscoveryClient
from olivecourse.net.loop import Loop
from olivecourse.net.seam import RemotePlanner
from olivecourse.net.stores import Limits, Pool
from olivecourse.net.wheel import Timer
from olivecourse.parts import Part, parts_of

if TYPE_CHECKING:
    from olivecourse.fronts.tokens import Tokens
    from olivecourse.memory.tokenstore import DurableSpent

ComponentT = TypeVar("ComponentT", bound=Part)
MS = 1_000_000
# After a start, the gateway reports not ready for at most this long while discovery has not answered.
MAX_DISCOVERY_WAIT_NS = 3_000 * MS
# Clients keep connecting for 0.6 s after SIGTERM, and the platform requires at least 0.7 s of service.
LINGER_NS = 900 * MS
# SIGKILL may come 0.7 s after the longest deadline of a class, of which at most this much counts
MAX_DEADLINE_NS = 3_000 * MS
# A class removed by a reload is still accepted for this long, because requests of the class are on their way.
REMOVED_CLASS_GRACE_NS = 1_000 * MS
# The time that clients get at the end to see that the gateway stops and to close their connections.
CLIENT_CLOSE_GRACE_NS = 250 * MS
STOP_MARGIN_NS = 500 * MS  # The last answers are sent this long before SIGKILL may come.


class LoopTimers:
    """Gives the request tracker access to the loop's clock and timers."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop

    def now(self) -> int:
        """Returns the current time in nanoseconds."""
        return self._loop.clock.now()

    def after(self, delay_ns: int, call: Callable[[], object]) -> Timer:
        """Schedules `call` to run after `delay_ns` nanoseconds."""
        return self._loop.after(delay_ns, call)


class Gateway:
    """One gateway process: it owns the event loop and all components, and runs until SIGTERM."""

    def __init__(self, config: Config, log: Callable[..., None]) -> None:
        self.config, self.log = config, log
        self.loop = loop = Loop()
        loop.stalled = self._on_stall
        loop.faulted = self._on_fault
        self.batch: list[w.Event] = []
        self.stopping = False
        self._last_reload: MergeResult | None = None  # The merged settings of the last reload, or None.
        # Empty while the components are created, which happens before the client listener exists.
        self.fronts: list[Listener] = []
        settings = config.settings
        self.started = loop.clock.now()
        self.conf_loaded, self.conf_invalid = 1, 0
        self.ledger = Ledger(settings, LoopTimers(loop), self.batch.append, log, most=4096)
        self.control = ControlPlane(
            loop, config, self.ledger, self.batch.append, self._on_server_terminated, log
        )
        self.directory = self.control.directory
        # The operating system's limit applies as well, whatever the configuration says.
        self.sockets = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        descriptors = split(self.sockets, len(config.doors))
        limits = Limits(
            per_store=descriptors.per_store, total=descriptors.stores, **self._connection_limits()
        )
        self.pool = Pool(
            loop,
            self.directory,
            self.ledger,
            limits,
            [c.name for c in settings.classes],
            settings.report_fields,
            log,
        )
        self.ledger.carrier = self.pool
        self.parts: list[Part] = []
        # Components are created one by one, because each may use those created before it.
        for component_class in parts_of(config):
            self.parts.append(component_class(self))
        self.remote: RemotePlanner | None = None
        self.local: Planner | None = None
        if config.planner is None:
            self.local = Planner(settings, loop.clock.now(), log)
            for part in self.parts:
                part.teach(self.local)
            self.carry_out(self.local.start())
        self.on_events(config.notices, first=True)
        if config.planner is not None:
            self.batch.clear()  # The events known at startup are sent again to every planner that connects.
            self.remote = RemotePlanner(
                loop, config.planner, self.carry_out, self._sync_planner, self._on_planner_lost, log
            )
        self.decide()
        self.control.start()
        self.tokens: Tokens | None = None
        self.spent: DurableSpent | None = None
        self.front: Listener = self._create_front()
        self.fronts.append(self.front)
        loop.short = self.front.make_room
        # This state is reported to the previous process during an upgrade.
        self.front.draining = not self.takes_work()
        for part in self.parts:
            part.start(self.front)

    def part(self, kind: type[ComponentT]) -> ComponentT | None:
        """Returns the component of that class if it is enabled and already created, else None."""
        return next((part for part in self.parts if isinstance(part, kind)), None)

    def _on_stall(self, wall_ns: int, cpu_ns: int) -> None:
        """Logs a turn of the loop that took too long. High CPU time means that the gateway itself was busy;
        low CPU time means that the operating system did not run the process.
        """
        self.log("loop_stalled", ms=wall_ns // MS, cpu_ms=cpu_ns // MS)

    def _on_fault(self, where: str, error: Exception) -> None:
        """Logs an unexpected exception. The operation that raised it is lost, and deadline timers answer the
        requests concerned; everything else continues.
        """
        self.log("loop_fault", where=where, error=repr(error))

    def _client_limits(self, sockets: int) -> tuple[int, int]:
        """Returns the limits for clients and for bytes of their unread answers, if this process may use
        `sockets` of the descriptors.
        """
        config = self.config
        max_unread_bytes = config.memory_mb * 2**20 // 8 * sockets // max(self.sockets, 1)
        return split(sockets, len(config.doors)).clients, max_unread_bytes

    def share_descriptors(self, shared: bool) -> None:
        """Halves this process's descriptor limits while another process of the same gateway runs, so that
        both together stay within the limit of one, and restores them afterwards.
        """
        sockets = self.sockets // 2 if shared else self.sockets
        descriptors = split(sockets, len(self.config.doors))
        self.pool.limits = replace(
            self.pool.limits, per_store=descriptors.per_store, total=descriptors.stores
        )
        self.front.limit(*self._client_limits(sockets))

    def _create_front(self) -> Listener:
        """Creates the configured client listener."""
        config, settings = self.config, self.config.settings
        classes = {c.name: (index, c.write) for index, c in enumerate(settings.classes)}
        refusal_wait_ns = settings.max_retry_after_ns if settings.retry_after else 0
        max_clients, max_unread_bytes = self._client_limits(self.sockets)
        if config.signed is None:
            return ThriftFront(
                self.loop,
                config.listen,
                self.ledger,
                classes,
                self.takes_work,
                refusal_wait_ns,
                max_clients,
                max_unread_bytes,
                self.log,
                bool(config.doors),
                next((sock for part in self.parts if (sock := part.listener()) is not None), None),
            )
        # Imported here because a gateway without the signed listener needs neither module.
        from olivecourse.fronts.signed import SignedFront
        from olivecourse.fronts.tokens import Tokens, read_keys

        leeway_s = config.signed.leeway_s
        keys = read_keys(config.signed.keys)
        memory = config.sections.get("memory")
        if memory is not None and memory.section.tokens is not None:
            from olivecourse.memory.tokenstore import DurableSpent

            self.spent = DurableSpent(self.loop, memory, config.name, leeway_s, self.log)
        self.tokens = Tokens(config.name, keys, leeway_s, spent=self.spent)
        return SignedFront(
            self.loop,
            config.listen,
            self.ledger,
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
        """Reads the signed listener's key file again and returns whether there is such a listener.

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
        # Settings cannot change while a remote planner or order tokens also depend on them.
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
        # The leeway must not change either: with another leeway, an order token could be used a second time.
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
        for part in self.parts:
            part.reloaded(old)
        self.conf_loaded += 1
        self.log("reloaded", moved=changed + merged.applied, needs_restart=list(dict.fromkeys(needs_restart)))

    def _connection_limits(self) -> dict[str, int]:
        """Returns the limits for connections to stores that do not depend on the number of descriptors."""
        config = self.config
        return {
            "connect_ns": config.connect_ns,
            "idle_ns": int(config.idle_ns * 0.8),
            "streams": config.streams,
        }

    def _apply_settings(self, merged: MergeResult) -> None:
        """Applies new settings to every component. Classes keep their indexes."""
        settings = merged.settings
        self.ledger.settle(settings)
        if self.local is not None:
            self.local.settle(settings)
        class_names = [c.name for c in settings.classes]
        self.pool.classes[:] = class_names
        self.pool.reports = settings.report_fields
        for part in self.parts:
            part.settle(class_names)
        self.front.wait_ns = settings.max_retry_after_ns if settings.retry_after else 0
        live_classes = {
            name: (index, settings.classes[index].write) for name, index in merged.current_indexes.items()
        }
        self.front.classes = self.front.classes | live_classes
        self.loop.after(REMOVED_CLASS_GRACE_NS, lambda: self._remove_old_classes(merged))
        self._last_reload = merged

    def _remove_old_classes(self, merged: MergeResult) -> None:
        """Removes the classes that the last reload no longer lists, unless another reload came in the
        meantime. Requests for a removed class get an error.
        """
        if merged is self._last_reload:
            self.front.classes = {
                name: entry for name, entry in self.front.classes.items() if name in merged.current_indexes
            }

    def _sync_planner(self) -> None:
        """Sends a newly connected planner, which has no state, the stores and the purges still in effect."""
        self.control.sync_planner()

    def _on_planner_lost(self) -> None:
        """Answers every open request, because the planner is lost together with the actions it had
        planned.
        """
        self.batch.clear()
        self.ledger.give_up_all("planner lost")
        self.batch.clear()

    def drain(self, draining: bool) -> None:
        """Starts or ends the drain of all client listeners."""
        for front in self.fronts:
            front.drain(draining)

    def takes_work(self) -> bool:
        """Returns whether clients should send requests here: false while the gateway stops or an operator
        drains it.
        """
        return not self.stopping and all(part.takes_work() for part in self.parts)

    def why_not_ready(self) -> str:
        """Returns the reason why this gateway is not ready to serve requests, or an empty string if it is
        ready.

        A gateway is ready once it listens, has a usable store, and has received an answer from discovery.
        """
        if not self.takes_work():
            return "stopping" if self.stopping else "draining"
        if not any(map(self.directory.ready, self.directory.states)):
            return "no store is usable"
        discovery_silent = self.discovery is not None and not self.discovery.answered
        if discovery_silent and self.loop.clock.now() - self.started < MAX_DISCOVERY_WAIT_NS:
            return "the notice board has not answered yet"
        if self.remote is not None and self.remote.stream is None:
            return "no planner"
        for part in self.parts:
            part.serves()
        return ""

    def avoided(self) -> set[int]:
        """Returns the stores that the local planner avoids; empty with a planner in a separate process, which
        is not asked.
        """
        return set() if self.local is None else self.local.router.avoided()

    def longest_turn_s(self) -> float:
        """Returns the duration of the longest turn of the loop in seconds."""
        return self.loop.longest_ns / 1e9

    def emit(self, event: w.Event) -> None:
        """Adds an event to the batch for the planner."""
        self.batch.append(event)

    @property
    def discovery(self) -> DiscoveryClient | None:
        """The discovery client, or None if no discovery address is configured."""
        return self.control.discovery

    def on_events(self, events: list[Any], first: bool = False) -> None:
        """Processes discovery events in order. `first` marks the events known at startup."""
        self.control.on_events(events, first)

    def _on_server_terminated(self, server: int, terminated_at: int) -> None:
        """Drops the connections to a server whose process ended at `terminated_at` or earlier."""
        self.pool.drop(server, terminated_at)

    def decide(self) -> None:
        """Passes events to the planner and executes its actions until no new events result, so that the
        planner receives the outcomes of its own actions at once.
        """
        while self.batch:
            events = self.batch[:]
            self.batch.clear()
            if self.local is not None:
                for action in self.local.decide(events, self.loop.clock.now()):
                    try:
                        self.carry_out([action])
                    except Exception as error:  # The other actions of this turn are still executed.
                        self._on_fault("action", error)
            elif self.remote is None or not self.remote.send(events, self.loop.clock.now()):
                self._on_planner_lost()

    def carry_out(self, actions: list[w.Action]) -> None:
        """Executes the planner's actions."""
        for action in actions:
            if isinstance(action, w.ReadThrough | w.Look):
                self.ledger.attempt(action)
            elif isinstance(action, w.SetTimer):
                self._set_timer(action)
            elif isinstance(action, w.Refuse):
                self.ledger.refuse(action)
            elif isinstance(action, w.Fail):
                self.ledger.fail(action)
            elif isinstance(action, w.Cancel):
                self.ledger.cancel(action)
            elif isinstance(action, w.Log):
                self.log("module", text=action.text)
            elif isinstance(action, w.TellPeer):
                for part in self.parts:
                    part.execute_action(action)
            elif isinstance(action, w.CloseIdle):
                self.pool.close_idle(action.cache)

    def _set_timer(self, action: w.SetTimer) -> None:
        """Schedules a timer event that the planner asked for."""
        self.loop.after(action.delay_ns, lambda: self.batch.append(w.TimerFired(action.token)))

    def stop(self) -> None:
        """Starts the shutdown after SIGTERM: keeps listening and answering, finishes open requests, and ends
        before SIGKILL may come.
        """
        if self.stopping:
            return
        self.stopping = True
        longest_deadline_ns = max(c.deadline_ns for c in self.config.settings.classes)
        last_answers_ns = min(longest_deadline_ns, MAX_DEADLINE_NS) + 700 * MS - STOP_MARGIN_NS
        self.log("stopping", open=self.ledger.open, **self.ledger.tally)
        handed_over = any([part.retire() for part in self.parts])
        for part in self.parts if handed_over else ():
            part.on_clients_handed_over()
        self.loop.after(0 if handed_over else LINGER_NS, self._close_when_flushed)
        self.loop.after(last_answers_ns, self._last_answers)
        self.loop.after(last_answers_ns + STOP_MARGIN_NS // 2, self._end)

    def _last_answers(self) -> None:
        """Answers all open requests and accepts no more, because a new request could no longer be answered in
        time. A refusal is harmless, as the client can retry elsewhere.
        """
        self.ledger.closing = True
        self.ledger.give_up_all("stopping")

    def _close_when_flushed(self) -> None:
        """Closes the client connections once all answers are sent; checks again after 20 ms otherwise."""
        if self._flushed():
            self.front.retire()
            self._end_when_closed(self.loop.clock.now() + CLIENT_CLOSE_GRACE_NS)
        else:
            self.loop.after(20 * MS, self._close_when_flushed)

    def _flushed(self) -> bool:
        """Returns whether no request is open and all answers have been sent."""
        flushed = self.front.flushed() and all(part.flushed() for part in self.parts)
        return flushed and not self.ledger.open

    def _end_when_closed(self, close_at: int) -> None:
        """Ends the loop once all clients, which know that the gateway stops, have disconnected, or at the
        time `close_at` if every answer has been sent.
        """
        if self._flushed() and (not self.front.clients or self.loop.clock.now() >= close_at):
            self._end()
        else:
            self.loop.after(10 * MS, lambda: self._end_when_closed(close_at))

    def _end(self) -> None:
        """Ends the event loop."""
        self.loop.running = False

    def run(self) -> None:
        """Runs the event loop until the shutdown is complete, then releases all resources."""
        self.log(
            "ready",
            listen=f"{self.config.listen[0]}:{self.front.port}",
            stores=sum(1 for cache in self.directory.states if self.directory.ready(cache)),
        )
        if self.config.unread:
            self.log("settings_unread", names=list(self.config.unread))
        gc.collect()
        # Requests create many short-lived objects but few reference cycles. Collecting after every 700
        # allocations, as Python does by default, took an eighth of the CPU time.
        gc.set_threshold(50_000, 20, 100)
        gc.freeze()  # Excludes objects that live as long as the process from every later collection.
        self.loop.run(self.decide)
        self.log("stopped", open=self.ledger.open, **self.ledger.tally)
        self.front.close()
        if self.spent is not None:
            self.spent.stop()
        self.control.stop()
        for part in self.parts:
            part.stop()
        if self.remote is not None:
            self.remote.close()
        self.loop.close()
