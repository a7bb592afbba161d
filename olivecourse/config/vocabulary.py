"""The words that different deployments use for the same things. No other module defines such words.

Every word is accepted everywhere, because the words that arrive depend on the caller and not on the
deployment.
"""

from __future__ import annotations

from enum import Enum


class Call(Enum):
    """The operations that operators can call at their endpoint."""

    READY = "ready"
    FIGURES = "figures"
    DOWN = "down"
    UP = "up"
    DRAIN = "drain"
    UNDRAIN = "undrain"


# A further listening address for operators: its name in the configuration, and in the environment.
DOORS: tuple[tuple[str, str], ...] = (("mgmt", "EDGE_MGMT"), ("admin", "EDGE_ADMIN"))

# Path at the operators' endpoint, with the operation and the methods that it accepts. If a path ends in a
# slash, the id of a store follows it; otherwise the id is in the request body.
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

# Metrics of a gateway. Request counters by class and result: the metric name, the label for the class, and
# the label for the result (served, refused, failed) with its values. Without a result label, the result is
# part of the metric name.
ENDS: tuple[tuple[str, str, str, tuple[str, str, str]], ...] = (
    ("app_transactions", "group", "state", ("answered", "deferred", "errored")),
    ("lb_{}", "class", "", ("served", "refused", "failed")),
)
# The other metrics, each with all its names.
ATTEMPTS = ("app_sends", "lb_attempts")
OPEN = ("app_current", "lb_in_flight")
KNOWN = ("app_cluster_size", "lb_servers_known")
AVOIDED = ("app_cluster_unhealthy", "lb_servers_out")
TAKEN_UP = ("app_conf_loaded",)  # Counts configurations applied, including the one at the start.
RELOADS = ("lb_reloads",)  # Counts configurations applied, not including the one at the start.
REFUSED = ("app_conf_invalid", "lb_reloads_refused")
LONGEST_TURN = ("app_turn_seconds_max",)

# The key by which stores recognize a repeat; clients send it for classes whose repeats are deduplicated. The
# first name is its field in a client's request, the second its field in a request to a store
# (`kit/sites/real.json`, "idem").
IDEMPOTENCY_KEY, STORE_IDEMPOTENCY_KEY = "k", "op"

# Fields of load reports. The settings use the names on the right; stores may use either name.
REPORTED: dict[str, str] = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}
