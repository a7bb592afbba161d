"""Stand-ins of the systems that the gateway serves, on loopback sockets. They share nothing with what
decides: a stand-in that did would share its faults."""
