"""Extracts retry storms from a gateway's log of JSON lines: when each began and ended, how many requests were
rejected, and which events preceded it.

Lines that are not in the log's format are counted and skipped.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

FIGURE = re.compile(r"(\w+)=(-?[0-9.]+)")  # a `name=number` in a log line of a storm's beginning or end
MAX_PRECEDING = 5  # most log lines before a storm that are reported as its possible causes
CAUSES = {  # events whose log lines before a storm may show what caused it
    "module",
    "store_connection_lost",
    "store_connect_failed",
    "store_broken_answer",
    "board_lost",
    "discovery_disconnected",
    "planner_lost",
    "memory_taken_up",
    "ready",
    "tokens_write_failed",
    "too_many_clients",
}


@dataclass
class Storm:
    """One storm of one gateway; `began` and `ended` are logged timestamps, `ended` empty while it lasts.

    `level` is the detector's level (0 to 1) at the beginning. `figures` holds the numbers by their names in
    the log line of the storm's end, or of its beginning while it lasts: `limit`, in open requests, and
    `room`, in retries a second. `rejected` counts the rejections during the storm by reason (late, crowded,
    budget), and `preceding` holds short forms of up to MAX_PRECEDING possible causes logged before it.
    """

    gateway: str
    began: str
    ended: str = ""
    level: float = 0.0
    figures: dict[str, float] = field(default_factory=dict)
    rejected: dict[str, int] = field(default_factory=dict)
    preceding: list[str] = field(default_factory=list)


@dataclass
class LogStorms:
    """The storms of a log; `unread` is the number of lines skipped because they are not in its format."""

    storms: list[Storm] = field(default_factory=list)
    unread: int = 0


def _summary(line: dict[str, Any]) -> str:
    """A log line in short form: its event and its fields, without level, timestamp and gateway."""
    rest = " ".join(
        f"{k}={v}" for k, v in line.items() if k not in ("event", "level", "timestamp", "gateway")
    )
    return f"{line['event']} {rest}".strip()


def read(lines: Iterable[str]) -> LogStorms:
    """Returns the storms of all gateways that wrote to the log, in the order of their beginning."""
    found = LogStorms()
    recent: dict[str, list[str]] = {}
    # Logged rejection counts are totals since the gateway's start. These are the totals by gateway at the
    # beginning of its latest storm, which are subtracted from those at the end.
    counts_at_start: dict[str, dict[str, int]] = {}
    open_: dict[str, Storm] = {}
    for raw in lines:
        try:
            line = json.loads(raw)
            event, gateway, text = str(line["event"]), str(line.get("gateway", "")), str(line.get("text", ""))
        except (ValueError, KeyError, TypeError):
            found.unread += 1
            continue
        if event != "module" or not text.startswith("storm "):
            if event == "ready":
                open_.pop(gateway, None)
                counts_at_start.pop(gateway, None)
            if event in CAUSES:
                recent[gateway] = [*recent.get(gateway, []), _summary(line)][-MAX_PRECEDING:]
            continue
        figures = {name: float(value) for name, value in FIGURE.findall(text)}
        counts = {n: int(figures.pop(n)) for n in ("late", "crowded", "budget") if n in figures}
        at = str(line.get("timestamp", ""))
        if text.startswith("storm begins"):
            storm = Storm(gateway, at, "", figures.pop("level", 0.0), figures, {}, recent.pop(gateway, []))
            open_[gateway], counts_at_start[gateway] = storm, counts
            found.storms.append(storm)
        elif gateway in open_:
            storm = open_.pop(gateway)
            base = counts_at_start.get(gateway, {})
            storm.ended, storm.figures = at, figures
            storm.rejected = {n: count - base.get(n, 0) for n, count in counts.items()}
    return found
