"""The servers that clients connect to: one for Thrift, one for HTTP with signed links and Bearer tokens."""
