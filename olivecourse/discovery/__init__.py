"""What the long-poll discovery client needs without I/O: the parser for poll responses, the interval between
polls, and failover between discovery servers and relays.
"""
