"""Emulated cache servers, clients and a discovery server on loopback sockets, to test and measure gateways.

The emulator shares no code with the decision module (olivecourse/choice.py), because it would then share that
module's faults.
"""
