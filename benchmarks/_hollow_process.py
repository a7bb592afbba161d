"""A process of hollow gateways, driven by JSON lines on standard input, each answered by one line.

Its argument is a JSON object: `config` (a path), `first` and `count` of the gateways, `seed`, and
`boards`, the addresses to turn to where the configuration's own fails.
"""

from __future__ import annotations

import gc
import json
import os
import random
import sys
import threading
import time
from typing import Any

from benchmarks._hollow import LEFT_OUT, HollowFleet, compiled, resident_mb

TURN_NS = 1_000_000_000


class Commands:
    """Carries out what the harness writes."""

    def __init__(self, fleet: HollowFleet, seed: int) -> None:
        self.running = True
        self._fleet = fleet
        self._random = random.Random(seed)
        self._buffer = b""

    def watch(self) -> None:
        """Commands are carried out between the turns of many gateways."""
        os.set_blocking(0, False)
        self._fleet.watch(0, self._ready)

    def read(self) -> None:
        """Commands are carried out on this thread, beside one gateway that waits in its own loop."""
        while self.running:
            self._ready()
        self._fleet.gateways[0].loop.running = False

    @staticmethod
    def say(said: dict[str, Any]) -> None:
        sys.stdout.write(json.dumps(said) + "\n")
        sys.stdout.flush()

    def _ready(self) -> None:
        data = os.read(0, 1 << 16)
        if not data:  # the harness has ended
            self.running = False
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in lines:
            said = json.loads(line)
            self.say({"done": True, **self._do(said.pop("do"), said)})

    def _do(self, do: str, said: dict[str, Any]) -> dict[str, Any]:
        fleet = self._fleet
        if do == "clear":
            fleet.clear()
        elif do == "reload":
            fleet.reload(said["written_us"])
        elif do == "restart":
            count = max(round(len(fleet.gateways) * said["share"]), 1)
            fleet.restart(sorted(self._random.sample(range(len(fleet.gateways)), count)))
        elif do == "times":
            times = {"purges": fleet.purges, "changes": fleet.changes, "reloads": fleet.reloads}
            return {**self._state(), **{name: found.row() for name, found in times.items()}}
        elif do != "state":
            raise ValueError(do)
        return self._state()

    def _state(self) -> dict[str, Any]:
        gateways = self._fleet.gateways
        revs = [gateway.rev for gateway in gateways]
        return {
            "lowest_rev": min(revs, default=0),
            "highest_rev": max(revs, default=0),
            "events": sum(gateway.events for gateway in gateways),
            "least_events": min((gateway.events for gateway in gateways), default=0),
            "mb": resident_mb(),
            "cpu_s": time.process_time(),
            "excluded_s": self._fleet.excluded_ns() / 1e9,
            "logged": [line for gateway in gateways for line in gateway.logged][:5],
        }


def main(said: dict[str, Any]) -> None:
    fleet = HollowFleet(said["config"], said["first"], said.get("boards", ()))
    commands = Commands(fleet, said.get("seed", 1))
    alone = said["count"] == 1
    if not alone:
        commands.watch()
    gc.collect()
    empty_mb = resident_mb()
    fleet.add(said["count"])
    # As a gateway does once it has started.
    gc.collect()
    gc.set_threshold(50_000, 20, 100)
    gc.freeze()
    commands.say(
        {
            "started": True,
            "compiled": compiled(),
            "left_out": LEFT_OUT,
            "empty_mb": empty_mb,
            "mb": resident_mb(),
        }
    )
    if alone:
        threading.Thread(target=commands.read, daemon=True).start()
        fleet.run_alone()
    while commands.running:
        fleet.turn(TURN_NS)
    fleet.close()


if __name__ == "__main__":
    main(json.loads(sys.argv[1]))
