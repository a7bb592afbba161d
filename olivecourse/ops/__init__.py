"""The operators' side of a running gateway: the admin HTTP server, metrics, manual drains (stores or the
gateway itself, taken out of service by hand) and hot restarts.

`calls`, `manual_drains`, `process_lineage` and `metrics` do no I/O; `admin_server`, `process_record` and
`socket_handover` own sockets and files.
"""
