"""Columns of the route table in the platform's configuration."""

ROUTE_COLUMNS = [
    "name",
    "host",
    "prefix",
    "kind",
    "timeout",
    "targetLatency",
    "priority",
    "service",
    "maxAttempts",
    "stickySessions",
    "homeRegions",
    "split",
]
