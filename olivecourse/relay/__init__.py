"""Relays: fan-out of discovery events and purges to gateways, over the platform's own long poll.

The modules `events`, `event_log`, `members`, `purges`, `history` and `watermarks` decide and do no I/O.
"""
