"""What operators ask of a running gateway: the door, its figures, stores out by hand, upgrades.

`calls`, `bans` and `figures` decide and count without I/O; `door` and `presence` hold sockets and files.
"""
