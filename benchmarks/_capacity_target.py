"""The sizes of the target deployment (7,500 gateways), and figures that follow from them by arithmetic."""

from __future__ import annotations

from olivecourse.core import descriptors
from olivecourse.core.descriptors import MAX_CONNECTIONS_PER_STORE
from olivecourse.net.server_pool import MAX_BODY_BYTES
from olivecourse.rollout.liveness import MISSED_HEARTBEATS_LIMIT, LivenessTracker
from olivecourse.sending_times import MAX_OBJECTS as MOST_SIZES

GATEWAYS, SITES, STORES, REGIONS, ZONES = 7500, 470, 1100, 23, 46
REQUESTS_PER_S = 6.3e6
BITS_PER_S = 38e12
OBJECTS = 3.7e9
PURGES_PER_S = 150.0
CHANGES_PER_DAY = 11_000
REPLACED_PER_DAY = 480
HOUR_S, DAY_S = 3600, 86_400
SETTLES_S = 6.0  # how long the settings keep a purge in force
RETUNE_S = 5.0  # how often the Router starts new object sketches and checks for expired purges
PARENT_SHARE = 0.1  # share of parents among all stores; an assumption, as the target does not state it
ONE_CORE_PCT = 100.0
SOCKETS = (512, 1024, 2048, 4096)
MANAGEMENT_PORTS = 1


def arithmetic() -> dict[str, float]:
    """Returns the target's totals divided among its gateways, stores and zones, by name with unit."""
    return {
        "requests_s_gateway": REQUESTS_PER_S / GATEWAYS,
        "requests_s_store": REQUESTS_PER_S / STORES,
        "mbit_s_gateway": BITS_PER_S / GATEWAYS / 1e6,
        "gbit_s_store": BITS_PER_S / STORES / 1e9,
        "kb_request": BITS_PER_S / 8 / REQUESTS_PER_S / 1e3,
        "bodies_request": BITS_PER_S / 8 / REQUESTS_PER_S / MAX_BODY_BYTES,
        "core_us_request": 1e6 * GATEWAYS / REQUESTS_PER_S,
        "gateways_zone": round(GATEWAYS / ZONES),
        "gateways_region": round(GATEWAYS / REGIONS),
        "stores_zone": round(STORES / ZONES),
        "gateways_site": GATEWAYS / SITES,
        "objects_store": OBJECTS / STORES,
        "known_sizes_share": MOST_SIZES / OBJECTS,
        "changes_minute": CHANGES_PER_DAY / (DAY_S / 60),
        "config_files_s": CHANGES_PER_DAY / DAY_S * GATEWAYS,
        "seconds_between_replaced": DAY_S / REPLACED_PER_DAY,
        "backlog_hour_purges": PURGES_PER_S * HOUR_S,
        "purges_bind": PURGES_PER_S * (SETTLES_S + RETUNE_S),
        "polls_s_unpaced": PURGES_PER_S * GATEWAYS,
        "requests_counting_interval": REQUESTS_PER_S / GATEWAYS * RETUNE_S,
        "beat_period_s": beat_period_s(),
        "death_noticed_s": MISSED_HEARTBEATS_LIMIT * beat_period_s(),
        "store_connections_zone_one_each": round(GATEWAYS / ZONES),
        "store_connections_zone_most": round(GATEWAYS / ZONES) * MAX_CONNECTIONS_PER_STORE,
        "store_connections_all_one_each": GATEWAYS,
        "store_connections_all_most": GATEWAYS * MAX_CONNECTIONS_PER_STORE,
        "gateway_connections_zone_one_each": round(STORES / ZONES),
        "gateway_connections_zone_most": round(STORES / ZONES) * MAX_CONNECTIONS_PER_STORE,
        "gateway_connections_all_one_each": STORES,
        "least_sockets_zone_most": least_sockets(round(STORES / ZONES) * MAX_CONNECTIONS_PER_STORE),
        "least_sockets_all_one_each": least_sockets(STORES),
    }


def beat_period_s() -> float:
    """Returns the seconds between two rollout heartbeats of one gateway, in a fleet of the target's size."""
    return LivenessTracker(0, range(GATEWAYS), 0).period_ns / 1e9


def least_sockets(connections: int) -> int:
    """Returns the least file descriptor limit at which a gateway may open `connections` store connections.

    The gateway has a management port, which takes a part of the descriptors too.
    """
    sockets = 2 * connections
    while descriptors.divide_descriptors(sockets, MANAGEMENT_PORTS).stores < connections:
        sockets += 1
    return sockets


def divided() -> dict[str, dict[str, int]]:
    """Returns how a gateway with a management port divides its file descriptors, for each of SOCKETS."""
    division = {}
    for sockets in SOCKETS:
        descriptor_split = descriptors.divide_descriptors(sockets, MANAGEMENT_PORTS)
        division[str(sockets)] = {
            "stores": descriptor_split.stores,
            "per_store": descriptor_split.per_store,
            "clients": descriptor_split.clients,
            "total": descriptor_split.total(MANAGEMENT_PORTS),
        }
    return division
