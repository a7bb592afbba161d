"""The optional components of a gateway, such as the operators' endpoint, and the list of those that a
configuration enables.

Each component imports its own modules only when it is created, so that a disabled one costs nothing.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

from olivecourse import interface
from olivecourse.config.gateway_config import Config
from olivecourse.config.inventory import InvalidInventory, read_inventory
from olivecourse.core.planner import Planner
from olivecourse.fronts.listener import Listener
from olivecourse.net.loop import Loop
from olivecourse.net.peers import Peers

if TYPE_CHECKING:
    import socket

    from olivecourse.config.discovery_events import ServerDirectory
    from olivecourse.core.requests import RequestTracker
    from olivecourse.net.server_pool import ServerPool

MS = 1_000_000
# Interval between checks of the inventory file and the key file for changes.
FILE_CHECK_INTERVAL_NS = 1_000 * MS
ComponentT = TypeVar("ComponentT", bound="Component")


class GatewayContext(Protocol):
    """What the optional components use of the gateway that they belong to; `Gateway` implements it."""

    config: Config
    loop: Loop
    log: Callable[..., None]
    tracker: RequestTracker
    pool: ServerPool
    directory: ServerDirectory
    conf_loaded: int
    conf_invalid: int

    def emit(self, event: interface.Event) -> None:
        """Adds an event to the batch that the planner gets in this turn of the event loop."""
        ...

    def on_events(self, events: list[Any], first: bool = False) -> None:
        """Records discovery events in order and forwards them to the planner. `first` is true for the events
        that the configuration contains, which are processed at startup.
        """
        ...

    def share_descriptors(self, shared: bool) -> None:
        """Halves this process's limits for file descriptors while another process of the same gateway runs
        (`shared` true), or restores them (`shared` false).
        """
        ...

    def component(self, kind: type[ComponentT]) -> ComponentT | None:
        """Returns the optional component of the class `kind`, or None if the configuration does not enable it
        or it has not been created yet.
        """
        ...

    def why_not_ready(self) -> str:
        """Returns the reason why the gateway is not ready to serve requests, or an empty string if it is
        ready.
        """
        ...

    def drain(self, draining: bool) -> None:
        """Starts or ends the drain of all client listeners. A draining listener closes each connection once
        no request is open on it, so that clients go elsewhere.
        """
        ...

    def avoided(self) -> set[int]:
        """Returns the numbers of the stores to which the planner in this process sends no requests at
        present; empty if the planner runs in a separate process.
        """
        ...

    def longest_turn_s(self) -> float:
        """Returns the duration of the longest turn of the event loop since the process started, in seconds,
        without the time spent waiting for sockets and timers. It is exported as a metric.
        """
        ...

    def reload_keys(self) -> bool:
        """Reads the file with the keys of the signed HTTP listener again. Returns false, without reading
        anything, if the gateway has no such listener. Raises ValueError if the file is invalid.
        """
        ...


class Component:
    """Base class of the optional components. Every method does nothing unless a component overrides it.
    Components are created before the planner and the client listener.
    """

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway

    def configure_planner(self, planner: Planner) -> None:
        """Called before the first event of a planner that runs in this process, so that the component can
        configure it. Not called if the planner runs in a separate process.
        """

    def start(self, front: Listener) -> None:
        """Called at the end of the gateway's start, when the client listener `front` accepts connections."""

    def listener(self) -> socket.socket | None:
        """Returns the listening socket for clients that this component has taken over from the previous
        process of the gateway, or None if there is none.
        """
        return None

    def on_reload(self, old: Config) -> None:
        """Called after a reload has replaced the gateway's configuration; `old` is the previous one."""

    def execute_action(self, action: interface.TellPeer) -> None:
        """Executes an action of the planner that the gateway itself does not: sending a message to peer
        gateways.
        """

    def apply_settings(self, classes: Sequence[str]) -> None:
        """Called after a reload with the names of all request classes since the start, in the order of their
        indexes.
        """

    def accepts_requests(self) -> bool:
        """Returns whether clients should send requests to the gateway, as far as this component is concerned;
        false while an operator drains the gateway.
        """
        return True

    def before_ready(self) -> None:
        """Called whenever this process is about to report that it is ready to serve requests."""

    def hand_over_clients(self) -> bool:
        """Called at SIGTERM. Returns whether this component has handed the gateway's clients over to its next
        process.
        """
        return False

    def on_clients_handed_over(self) -> None:
        """Called at SIGTERM, only if some component has handed the clients over to the gateway's next
        process.
        """

    def flushed(self) -> bool:
        """Returns whether this component has sent all answers to clients that it still had to send; asked
        during the shutdown.
        """
        return True

    def stop(self) -> None:
        """Called after the event loop has ended, to release the component's sockets and files."""


class AdminServerComponent(Component):
    """Serves the operators' HTTP endpoints, for readiness, metrics, drains and taking stores out of service,
    as described in `docs/design/daily.md`.
    """

    def __init__(self, gateway: GatewayContext) -> None:
        super().__init__(gateway)
        from olivecourse.ops.admin_server import AdminServer
        from olivecourse.ops.handlers import GatewayHandlers

        self.handlers = GatewayHandlers(
            gateway,
            [c.name for c in gateway.config.settings.classes],
            gateway.tracker,
            gateway.pool,
            gateway.directory,
            gateway.log,
        )
        self.admin_servers: list[AdminServer] = []

    def start(self, front: Listener) -> None:
        from olivecourse.ops.admin_server import AdminServer

        gateway = self.gateway
        self.admin_servers = [
            AdminServer(gateway.loop, address, self.handlers, gateway.log) for address in gateway.config.doors
        ]

    def apply_settings(self, classes: Sequence[str]) -> None:
        self.handlers.classes[:] = classes

    def accepts_requests(self) -> bool:
        return not self.handlers.draining

    def stop(self) -> None:
        for admin_server in self.admin_servers:
            admin_server.close()


class UpgradeComponent(Component):
    """Hands clients over from the old to the new process of one gateway during an upgrade. It is created
    after AdminServerComponent, because the processes share the list of stores that operators took out of
    service, which the operators' endpoint keeps.
    """

    def __init__(self, gateway: GatewayContext) -> None:
        super().__init__(gateway)
        from olivecourse.ops.hot_restart import open_hot_restart

        admin_component = gateway.component(AdminServerComponent)
        assert admin_component is not None
        config = gateway.config
        self.hot_restart = open_hot_restart(
            gateway.loop,
            config.tmpdir,
            config.name,
            admin_component.handlers,
            gateway.tracker,
            gateway.share_descriptors,
            gateway.log,
        )
        if self.hot_restart is not None:
            admin_component.handlers.on_drain_change = self.hot_restart.drains_changed

    def configure_planner(self, planner: Planner) -> None:
        if self.hot_restart is not None:
            self.hot_restart.configure_planner(planner.router)

    def listener(self) -> socket.socket | None:
        return None if self.hot_restart is None else self.hot_restart.listener

    def start(self, front: Listener) -> None:
        if self.hot_restart is not None:
            self.hot_restart.start(front)

    def before_ready(self) -> None:
        if self.hot_restart is not None:
            self.hot_restart.announce_ready()

    def hand_over_clients(self) -> bool:
        return self.hot_restart is not None and self.hot_restart.transfer_clients()

    def flushed(self) -> bool:
        return self.hot_restart is None or self.hot_restart.flushed()

    def stop(self) -> None:
        if self.hot_restart is not None:
            self.hot_restart.close()


class PeersComponent(Component):
    """Exchanges the messages of the Routers with peer gateways as UDP datagrams. Enabled by `peer_listen` in
    the configuration, where the platform allows such messages.
    """

    def __init__(self, gateway: GatewayContext) -> None:
        super().__init__(gateway)
        config = gateway.config
        assert config.peer_listen is not None
        self.peers: Peers | None = Peers(
            gateway.loop,
            config.peer_listen,
            config.peers,
            config.peers_all,
            gateway.emit,
            gateway.log,
            bool(config.doors),
        )

    def on_reload(self, old: Config) -> None:
        if self.peers is not None:
            self.peers.replace_addresses(self.gateway.config.peers, self.gateway.config.peers_all)

    def execute_action(self, action: interface.TellPeer) -> None:
        if self.peers is not None:
            self.peers.send(action)

    def on_clients_handed_over(self) -> None:
        """Closes the socket for datagrams from peers, since otherwise the operating system would still
        deliver some of the datagrams meant for the gateway's new process to this one.
        """
        self.stop()

    def stop(self) -> None:
        if self.peers is not None:
            self.peers.close()
            self.peers = None


class MemoryComponent(Component):
    """Keeps what the Router has learned across restarts, in files, as described in `docs/design/memory.md`.
    The platform's gateway has no disk and does not use this component.
    """

    def __init__(self, gateway: GatewayContext) -> None:
        super().__init__(gateway)
        from olivecourse.memory.snapshotter import Snapshotter

        self.snapshotter = Snapshotter(
            gateway.loop, gateway.config.sections["memory"], gateway.config.name, gateway.log
        )

    def configure_planner(self, planner: Planner) -> None:
        self.snapshotter.attach(planner.router)
        self.snapshotter.start()

    def stop(self) -> None:
        self.snapshotter.stop()


class StormsComponent(Component):
    """Makes the Router limit the traffic that repeats by clients cause during a retry storm, as described in
    `docs/design/storms.md`.
    """

    def configure_planner(self, planner: Planner) -> None:
        from olivecourse.storm.controller import StormController

        settings = self.gateway.config.settings
        section = self.gateway.config.sections["storms"]
        planner.set_limiter(
            StormController(
                section.policy(), settings, self.gateway.loop.clock.now(), Random(settings.seed).random
            )
        )

    def start(self, front: Listener) -> None:
        front.identifies_clients = True


def modification_time_ns(path: str | None) -> int:
    """Returns the Unix time of a file's last change in nanoseconds, or 0 if there is no path or the time
    cannot be determined.
    """
    try:
        return os.stat(path).st_mtime_ns if path else 0
    except OSError:
        return 0


class WatchedFilesComponent(Component):
    """Checks every second whether the inventory file or the key file of an operator's configuration has
    changed, and then reads it again. An invalid file is logged and changes nothing.
    """

    def __init__(self, gateway: GatewayContext) -> None:
        super().__init__(gateway)
        self.inventory_seen = modification_time_ns(gateway.config.inventory)
        self.keys_seen = modification_time_ns(self._key_file())

    def _key_file(self) -> str | None:
        return self.gateway.config.signed.keys if self.gateway.config.signed else None

    def start(self, front: Listener) -> None:
        self.gateway.loop.after(FILE_CHECK_INTERVAL_NS, self.look)

    def on_reload(self, old: Config) -> None:
        if self.gateway.config.inventory != old.inventory:
            # No file has this modification time, so the next check, within a second, reads the new inventory.
            self.inventory_seen = -1

    def look(self) -> None:
        """Reads the inventory file and the key file again if they have changed, then schedules the next
        check.
        """
        gateway, config = self.gateway, self.gateway.config
        try:
            changed_at = modification_time_ns(config.inventory)
            if config.inventory is not None and changed_at != self.inventory_seen:
                self.inventory_seen = changed_at
                gateway.on_events([read_inventory(config.inventory, config.zones, config.kinds)])
                gateway.log("inventory_read", stores=len(gateway.directory.members))
            changed_at = modification_time_ns(self._key_file())
            if changed_at != self.keys_seen:
                self.keys_seen = changed_at
                gateway.reload_keys()
        except (InvalidInventory, ValueError) as error:
            gateway.log("file_unusable", why=str(error))
        gateway.loop.after(FILE_CHECK_INTERVAL_NS, self.look)


def _rollout_component() -> type[Component]:
    """Returns the class of the rollout component. Its module is imported here, only if the component is
    enabled.
    """
    from olivecourse.rollout.component import RolloutComponent

    return RolloutComponent


def enabled_components(config: Config) -> list[type[Component]]:
    """Returns the classes of the optional components that a configuration enables, in the order in which the
    gateway creates them.
    """
    planner_is_local = config.planner is None
    candidates: tuple[tuple[bool, type[Component]], ...] = (
        (bool(config.doors), AdminServerComponent),
        (bool(config.doors), UpgradeComponent),
        (config.peer_listen is not None, PeersComponent),
        (planner_is_local and "memory" in config.sections, MemoryComponent),
        ("storms" in config.sections, StormsComponent),
        (config.inventory is not None, WatchedFilesComponent),
    )
    return [component_class for enabled, component_class in candidates if enabled] + (
        [_rollout_component()] if "rollout" in config.sections else []
    )
