"""Emulated stores, clients and a discovery server on loopback sockets.

The emulator shares no code with the decision module, because it would then share that module's faults.
"""
