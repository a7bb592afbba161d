"""Explicit-state model checking of the code by which gateways agree on leases and halts, used by the tests. A
gateway does not load this package."""
