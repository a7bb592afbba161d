"""The status of a relay for operators: one JSON object in answer to `GET /relay/status`.

With `?behind=N` it lists the watchers (gateways and relays that poll) that have not taken the event with
number N, otherwise those that lack the newest event.
"""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from olivecourse.relay.requests import number_parameter

if TYPE_CHECKING:
    from olivecourse.relay.service import RelayService

S = 1_000_000_000  # nanoseconds per second
MAX_LISTED = 200  # most watchers listed as lacking the event, about 20 KB
BEHIND = b"behind"  # query parameter with the event number that the status is asked about


def encode_status(relay: RelayService, target: bytes, now: int) -> bytes:
    """Returns the JSON body of the answer to a status request with this target.

    `now` is the Unix time in nanoseconds. Raises BadTarget if the `behind` parameter is not a valid number.
    """
    asked = number_parameter(target, BEHIND)
    number = relay.history.revision if asked is None else asked
    mark = relay.marks.mark(now)
    behind = relay.marks.behind(number, now)
    listed: list[dict[str, Any]] = []
    for watcher in behind[:MAX_LISTED]:
        seconds = round((now - watcher.since_ns) / S, 3)
        listed.append(
            {
                "watcher": watcher.name,
                "number": watcher.revision,
                "seconds": seconds,
                "lapsed": watcher.lapsed,
            }
        )
    host, port = relay.upstream
    status = {
        "name": relay.name,
        "revision": relay.history.revision,
        "ready": relay.history.ready,
        "upstream": {
            "address": f"{host}:{port}",
            "seconds": round((now - relay.upstream_since_ns) / S, 3),
            "answered": relay.upstream_answers,
        },
        "watchers": {
            "connections": len(relay.server.watchers),
            "waiting": relay.server.waiting,
            "counted": relay.marks.counted(now),
        },
        "mark": mark,
        "asked": number,
        "passed": mark is not None and mark >= number,
        "behind_total": len(behind),
        "behind": listed,
        "unread_bytes": relay.server.unread_bytes,
        "longest_turn_ms": round(relay.loop.longest_turn_ns / 1_000_000, 1),
        "counters": {
            **asdict(relay.server.counters),
            "history": asdict(relay.history.counters),
            "marks": asdict(relay.marks.counters),
        },
    }
    return json.dumps(status).encode()
