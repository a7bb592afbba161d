"""The core of a gateway: request tracking, the planner, and the file descriptor limits. No I/O."""
