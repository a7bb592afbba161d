"""Decisions of the long-poll discovery client: parsing, polling intervals and failover between upstreams. No
I/O.
"""
