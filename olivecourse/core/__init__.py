"""The core of a gateway: request tracking, the planner, and the limits for descriptors. No I/O."""
