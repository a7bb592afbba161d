"""Explicit-state model checking of the step functions that gateways run. A gateway does not load this
package."""
