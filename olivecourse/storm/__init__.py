"""Detection of retry storms (overload that lasts because clients repeat failed requests), limits on their
load, and the Retry-After times of refused clients.

All modules except `commands` and `section` only decide and hold state: callers pass in the time and the
random numbers, and nothing is imported that touches a file, a socket or a thread.
"""
