"""HTTP server for callers: entry look-ups and forwarded requests."""
