"""A gateway that routes client requests to caches, which fill from parents or an origin on a miss.

The package itself exports only `Router`, which makes the routing decisions.
"""

from olivecourse.choice import Router

__all__ = ["Router"]
