"""State that a gateway keeps across restarts: what its Router has learned of stores and objects, and the used
("spent") order tokens, Bearer tokens each of which permits one write request (order).

- Logic that uses no file, clock or thread: `records`, `decay`, `restore`, `collect`, `merging`, `schedule`,
  `generations` and `group_commit`.
- Conversion of snapshots to the bytes of a file and back: `container` and `codec`.
- Input and output, with the thread that writes: `disk`, `folder`, `tokenstore` and `snapshotter`.
"""
