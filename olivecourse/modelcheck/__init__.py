"""Explicit-state model checking of step functions that the program itself runs. Not loaded by a gateway."""
