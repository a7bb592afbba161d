"""A planner in a process of its own: an event loop, and one Router for each connected forwarder, which is a
gateway process that handles the connections and leaves all decisions to the planner.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from olivecourse.config.gateway_config import Config
from olivecourse.core.planner import Planner
from olivecourse.net.loop import Loop
from olivecourse.net.planner_link import PlannerServer

if TYPE_CHECKING:
    from olivecourse.memory.snapshotter import Snapshotter


class PlannerService:
    """The planner process. It plans for forwarders, which connect to its Unix socket, until `stop` is
    called.
    """

    def __init__(self, config: Config, log: Callable[..., None]) -> None:
        if config.planner is None:
            raise ValueError("no planner socket")
        self.loop, self.log, self._config = Loop(), log, config
        self._snapshotter: Snapshotter | None = None
        if "memory" in config.sections:
            from olivecourse.memory.snapshotter import Snapshotter

            self._snapshotter = Snapshotter(self.loop, config.sections["memory"], config.name, log)
            self._snapshotter.start()
        self._server = PlannerServer(
            self.loop, config.planner, config.settings, log, self._on_planner_created, self._on_planner_gone
        )

    def _on_planner_created(self, planner: Planner) -> None:
        """Equips the planner of a forwarder that has just connected with the storm limiter and the learned
        values of earlier runs, if the configuration enables them.
        """
        if "storms" in self._config.sections:
            from olivecourse.storm.controller import StormController

            settings = self._config.settings
            planner.set_limiter(
                StormController(
                    self._config.sections["storms"].policy(),
                    settings,
                    self.loop.clock.now(),
                    Random(settings.seed).random,
                )
            )
        if self._snapshotter is not None:
            self._snapshotter.attach(planner.router)

    def _on_planner_gone(self, planner: Planner) -> None:
        """Stops saving the learned values of a planner whose forwarder disconnected."""
        if self._snapshotter is not None:
            self._snapshotter.detach(planner.router)

    def stop(self) -> None:
        """Makes `run` return after the current turn of the event loop. Called at SIGTERM."""
        self.loop.running = False

    def reload(self, config: Config) -> None:
        """Called after SIGHUP. Changes nothing in this process: the planner keeps the settings of its start,
        and the forwarders apply those parts of a configuration that may change while they run.
        """
        self.log("reloaded", moved=[], needs_restart=[])

    def run(self) -> None:
        """Runs the event loop until `stop` is called, then releases all resources."""
        self.log("ready", planner=self._server.path)
        self.loop.run(lambda: None)
        # Saves the learned values, which must happen while the forwarders' Routers still exist.
        if self._snapshotter is not None:
            self._snapshotter.stop()
        self._server.close()
        self.loop.close()
        self.log("stopped")
