"""Detection of retry storms, bounds on their cost, and the retry times given to refused clients.

All modules except `commands` and `section` only decide and hold state: callers pass in the clock and random
numbers, and nothing is imported that touches a file, a socket or a thread.
"""
