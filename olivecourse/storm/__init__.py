"""Retry storms: noticing them, bounding what they may cost, and telling clients when to come back.

Every module here decides and holds state only: the clock and random numbers are passed in, and nothing is
imported that touches a file, a socket or a thread.
"""
