"""Network I/O: the event loop, timers, connections, discovery polls, peer messages and worker threads."""
