"""How a long-poll client of the notice board finds and changes its upstream; without I/O."""
