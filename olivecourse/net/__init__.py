"""Network I/O of a gateway: the event loop, timers, connections to clients and stores, polls of the discovery
server, UDP messages between gateways, the link to a planner process, and worker threads.
"""
