"""Names that differ between deployments for the same thing: configuration keys, paths of the operators'
endpoint, metrics, and fields of messages. No other module defines such names.

Every name is accepted, and every metric is exported under all its names, in every deployment, because the
names that arrive depend on the caller and not on the deployment.
"""

from __future__ import annotations

from enum import Enum


class Call(Enum):
    """The operations that operators can call at the operators' HTTP endpoint."""

    READY = "ready"
    METRICS = "figures"
    DOWN = "down"
    UP = "up"
    DRAIN = "drain"
    UNDRAIN = "undrain"


# The names under which the listening address of an operators' HTTP endpoint may be given, one pair for each
# kind of deployment: the key in the configuration, and the environment variable that takes precedence over
# it.
DOORS: tuple[tuple[str, str], ...] = (("mgmt", "EDGE_MGMT"), ("admin", "EDGE_ADMIN"))

# For each path at the operators' HTTP endpoint, the operation and the HTTP methods that it accepts. If the
# operation concerns one store (DOWN and UP), the store's id follows a path that ends in a slash, and is in
# the request body otherwise.
CALLS: dict[str, tuple[Call, tuple[str, ...]]] = {
    "/ops/readiness": (Call.READY, ("GET",)),
    "/ready": (Call.READY, ("GET",)),
    "/ops/stats": (Call.METRICS, ("GET",)),
    "/metrics": (Call.METRICS, ("GET",)),
    "/ops/stores/down": (Call.DOWN, ("PUT",)),
    "/ops/stores/up": (Call.UP, ("PUT",)),
    "/servers/out/": (Call.DOWN, ("POST",)),
    "/servers/in/": (Call.UP, ("POST",)),
    "/ops/drain": (Call.DRAIN, ("PUT",)),
    "/ops/undrain": (Call.UNDRAIN, ("PUT",)),
    "/drain": (Call.DRAIN, ("POST",)),
    "/undrain": (Call.UNDRAIN, ("POST",)),
}

# The metric that counts a gateway's requests by request class and result, under the names of each kind of
# deployment: the metric's name, the label for the class, the label for the result, and the words for the
# results served, refused and failed. Where the label for the result is empty, the word replaces {} in the
# metric's name.
RESULT_COUNTERS: tuple[tuple[str, str, str, tuple[str, str, str]], ...] = (
    ("app_transactions", "group", "state", ("answered", "deferred", "errored")),
    ("lb_{}", "class", "", ("served", "refused", "failed")),
)
# The metrics of a gateway other than the one in RESULT_COUNTERS. Each constant lists all names under which
# one value is exported, because deployments differ in their names for it.
ATTEMPTS_SENT = ("app_sends", "lb_attempts")  # Counts the attempts that were written to stores as a whole.
REQUESTS_OPEN = ("app_current", "lb_in_flight")  # Requests accepted and not closed yet.
STORES_KNOWN = ("app_cluster_size", "lb_servers_known")  # Stores in the list from discovery or the inventory.
STORES_AVOIDED = ("app_cluster_unhealthy", "lb_servers_out")  # Listed stores that get no requests at present.
CONFIGS_APPLIED = ("app_conf_loaded",)  # Counts configurations applied, including the one at the start.
CONFIGS_RELOADED = ("lb_reloads",)  # Counts configurations applied, not including the one at the start.
CONFIGS_REFUSED = ("app_conf_invalid", "lb_reloads_refused")  # Counts configurations rejected as invalid.
# The duration in seconds of the longest turn of the event loop since the start.
LONGEST_TURN = ("app_turn_seconds_max",)

# The idempotency key, by which stores recognize a repeat; clients send it with requests of classes whose
# repeats are deduplicated. The first name is its field in a client's request, the second its field in a
# request to a store (`kit/sites/real.json`, "idem").
IDEMPOTENCY_KEY, STORE_IDEMPOTENCY_KEY = "k", "op"

# Fields of the load reports that stores send with their answers. Stores may use the name on the left or the
# one on the right for a field; the settings use the one on the right.
REPORT_FIELDS: dict[str, str] = {
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}
