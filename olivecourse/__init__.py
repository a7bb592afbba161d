"""Routing decisions for a request router in front of caches that fill from parents and an origin."""

from olivecourse.choice import Router

__all__ = ["Router"]
