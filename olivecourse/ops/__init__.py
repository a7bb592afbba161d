"""The operators' side of a running gateway: admin server, metrics, manual drains and hot restarts.

`calls`, `bans`, `standing` and `figures` do no I/O; `door`, `presence` and `handover` own sockets and files.
"""
