"""Relays: processes that poll the platform's discovery service and pass its events (changes of the server
list, purges) on to many gateways or further relays, over the platform's long-poll protocol.

The modules `events`, `event_log`, `members`, `purges`, `history` and `watermarks` hold the logic and do no
I/O.
"""
