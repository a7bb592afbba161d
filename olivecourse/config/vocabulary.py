"""The words that deployments use for the same things, read from here and nowhere else.

Every word is understood everywhere: which one arrives depends on who calls, not on where we run.
"""

from __future__ import annotations

from enum import Enum


class Call(Enum):
    """What operators ask at a door."""

    READY = "ready"
    FIGURES = "figures"
    DOWN = "down"
    UP = "up"
    DRAIN = "drain"
    UNDRAIN = "undrain"


# A further address, for operators only: its name in the configuration, and in the environment.
DOORS: tuple[tuple[str, str], ...] = (("mgmt", "EDGE_MGMT"), ("admin", "EDGE_ADMIN"))

# Path at the door -> the call, and the methods that make it. After a path that ends in a slash comes the id
# of a store, which else stands in the body.
CALLS: dict[str, tuple[Call, tuple[str, ...]]] = {
    "/ops/readiness": (Call.READY, ("GET",)),
    "/ready": (Call.READY, ("GET",)),
    "/ops/stats": (Call.FIGURES, ("GET",)),
    "/metrics": (Call.FIGURES, ("GET",)),
    "/ops/stores/down": (Call.DOWN, ("PUT",)),
    "/ops/stores/up": (Call.UP, ("PUT",)),
    "/servers/out/": (Call.DOWN, ("POST",)),
    "/servers/in/": (Call.UP, ("POST",)),
    "/ops/drain": (Call.DRAIN, ("PUT",)),
    "/ops/undrain": (Call.UNDRAIN, ("PUT",)),
    "/drain": (Call.DRAIN, ("POST",)),
    "/undrain": (Call.UNDRAIN, ("POST",)),
}

# Figures of a gateway. Counts by class and end: the name, the label of the class, and how each end (served,
# refused, failed) is told: by a label's value, or by a name of its own.
ENDS: tuple[tuple[str, str, str, tuple[str, str, str]], ...] = (
    ("app_transactions", "group", "state", ("answered", "deferred", "errored")),
    ("lb_{}", "class", "", ("served", "refused", "failed")),
)
# The others, each with all its names.
ATTEMPTS = ("app_sends", "lb_attempts")
OPEN = ("app_current", "lb_in_flight")
KNOWN = ("app_cluster_size", "lb_servers_known")
AVOIDED = ("app_cluster_unhealthy", "lb_servers_out")
TAKEN_UP = ("app_conf_loaded",)  # with the configuration of the start
RELOADS = ("lb_reloads",)  # without it
REFUSED = ("app_conf_invalid", "lb_reloads_refused")
LONGEST_TURN = ("app_turn_seconds_max",)

# The key by which stores know a repeat; clients give it for classes with a window for repeats. Its field in a
# client's request, and in one to a store (`kit/sites/real.json`, "idem").
IDEMPOTENCY_KEY, STORE_IDEMPOTENCY_KEY = "k", "op"

# Fields of load reports: the settings name them by the right-hand words, stores may write either.
REPORTED: dict[str, str] = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}
