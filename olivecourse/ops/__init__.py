"""The operators' side of a running gateway: the admin HTTP server, metrics, manual drains (stores or the
gateway itself, taken out of service by hand) and hot restarts.

`calls`, `bans`, `standing` and `figures` do no I/O; `door`, `presence` and `handover` own sockets and files.
"""
