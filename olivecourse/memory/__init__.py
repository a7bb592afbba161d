"""State that a gateway keeps across restarts: what its Router has learned, and spent order tokens.

`lessons`, `ageing`, `uptake`, `collect`, `merging`, `schedule`, `generations` and `grouping` only decide and
use no file, clock or thread. `container` and `codec` convert records to bytes and back. `disk`, `folder`,
`tokenstore` and `keeper` do the input and output.
"""
