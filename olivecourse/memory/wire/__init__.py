"""Generated protobuf code of the snapshot format (memory.proto)."""
