"""The servers that clients connect to: Thrift, and HTTP with signed links and tokens."""
