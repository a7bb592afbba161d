"""Memory across restarts: what a gateway has learned, kept in a folder and aged when it is read.

`lessons`, `ageing`, `uptake`, `collect`, `schedule`, `generations` and `grouping` decide and touch nothing;
`container` and `codec` turn lessons into bytes; `disk`, `folder`, `tokenstore` and `keeper` carry out.
"""
