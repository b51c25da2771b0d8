"""What is known of the loads of endpoints, for the status page and the log."""

import typing as t
from datetime import timedelta

from cardamomloft.core.loads.sharedloads import SharedLoads
from cardamomloft.runtime.logs import log

MAX_SERVICES_LOGGED = 20
"""Maximum number of services in a log line."""


def load_rows(shared: SharedLoads, now: timedelta) -> list[dict[str, t.Any]]:
    """Return for each service with shared loads how many of them are known, and their age."""
    return [
        {
            "service": service,
            "endpoints": row.total,
            "known": row.known,
            "median_age_ms": row.median_age_ms,
        }
        for service, row in shared.known(now).items()
    ]


def log_loads(shared: SharedLoads, now: timedelta) -> None:
    """Log what is known of the loads, unless none was heard lately."""
    if shared.is_active(now):
        log("loads", services=load_rows(shared, now)[:MAX_SERVICES_LOGGED])
