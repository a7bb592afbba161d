"""What a gateway is told from outside, read and checked: no sockets of its own, no decisions on requests."""
