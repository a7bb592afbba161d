"""A planner as a process of its own: a loop, and a Router for each forwarder that connects."""

from __future__ import annotations

from collections.abc import Callable

from olivecourse.config import Config
from olivecourse.net.loop import Loop
from olivecourse.net.seam import PlannerServer


class PlannerService:
    def __init__(self, config: Config, log: Callable[..., None]) -> None:
        if config.planner is None:
            raise ValueError("no planner socket")
        self.loop, self.log = Loop(), log
        self._server = PlannerServer(self.loop, config.planner, config.settings, log)

    def stop(self) -> None:
        self.loop.running = False

    def reload(self, config: Config) -> None:
        """A planner takes the settings of its start; the forwarders read what may change."""
        self.log("reloaded", moved=[], needs_restart=[])

    def run(self) -> None:
        self.log("ready", planner=self._server.path)
        self.loop.run(lambda: None)
        self._server.close()
        self.loop.close()
        self.log("stopped")
