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
