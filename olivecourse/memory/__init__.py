"""State that a gateway keeps across restarts: what its Router has learned, and spent order tokens.

- Decisions, without a file, clock or thread: `lessons`, `ageing`, `uptake`, `collect`, `merging`, `schedule`,
  `generations` and `grouping`.
- Conversion of records to bytes and back: `container` and `codec`.
- Input and output: `disk`, `folder`, `tokenstore` and `keeper`.
"""
