"""The columns of the platform's routes, as its pages name them."""

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
