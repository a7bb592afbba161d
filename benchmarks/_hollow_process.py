"""A process of hollow gateways, driven by JSON lines on standard input; each command is answered by one line.

Its argument is a JSON object: `config` (path of the configuration file), `first` (number in the first
gateway's name), `count` of gateways, `seed`, and `boards`, the addresses to poll if the
discovery address of the configuration fails.
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
    """Carries out the commands that the parent, a benchmark, writes to standard input as JSON lines."""

    def __init__(self, fleet: HollowFleet, seed: int) -> None:
        self.running = True
        self._fleet = fleet
        self._random = random.Random(seed)
        self._buffer = b""

    def watch(self) -> None:
        """Lets the fleet read commands on the thread of the gateways, between their turns."""
        os.set_blocking(0, False)
        self._fleet.watch(0, self._read_commands)

    def read(self) -> None:
        """Reads commands on the calling thread until the input ends, while one gateway runs on another."""
        while self.running:
            self._read_commands()
        self._fleet.gateways[0].loop.running = False

    @staticmethod
    def write_message(message: dict[str, Any]) -> None:
        """Writes a message as one JSON line to standard output, which the benchmark reads."""
        sys.stdout.write(json.dumps(message) + "\n")
        sys.stdout.flush()

    def _read_commands(self) -> None:
        data = os.read(0, 1 << 16)
        if not data:  # standard input is closed: the benchmark has ended
            self.running = False
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in lines:
            command = json.loads(line)
            self.write_message({"done": True, **self._execute(command.pop("do"), command)})

    def _execute(self, command_name: str, arguments: dict[str, Any]) -> dict[str, Any]:
        fleet = self._fleet
        if command_name == "clear":
            fleet.clear()
        elif command_name == "reload":
            fleet.reload(arguments["written_us"])
        elif command_name == "restart":
            count = max(round(len(fleet.gateways) * arguments["share"]), 1)
            fleet.restart(sorted(self._random.sample(range(len(fleet.gateways)), count)))
        elif command_name == "times":
            times = {"purges": fleet.purges, "changes": fleet.changes, "reloads": fleet.reloads}
            return {**self._state(), **{name: found.row() for name, found in times.items()}}
        elif command_name != "state":
            raise ValueError(command_name)
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


def main(arguments: dict[str, Any]) -> None:
    """Runs hollow gateways until the parent, a benchmark, closes standard input."""
    fleet = HollowFleet(arguments["config"], arguments["first"], arguments.get("boards", ()))
    commands = Commands(fleet, arguments.get("seed", 1))
    alone = arguments["count"] == 1
    if not alone:
        commands.watch()
    gc.collect()
    empty_mb = resident_mb()
    fleet.add(arguments["count"])
    # Sets the garbage collector as a real gateway does at its start, so that costs are comparable.
    gc.collect()
    gc.set_threshold(50_000, 20, 100)
    gc.freeze()
    commands.write_message(
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
