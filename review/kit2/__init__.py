"""Stand-ins of the second review: platform, servers, callers and a node runner."""
