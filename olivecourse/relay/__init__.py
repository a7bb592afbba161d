"""Relays: fan-out of discovery events and purges to gateways, over the platform's long-poll protocol.

The modules `events`, `event_log`, `members`, `purges`, `history` and `watermarks` hold the logic and do no
I/O.
"""
