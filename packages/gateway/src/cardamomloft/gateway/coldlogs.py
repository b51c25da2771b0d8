"""Log lines about cold endpoints: since when, why and until when they count as cold."""

import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.selection import Selector
from cardamomloft.core.upstreamtable import Upstream, UpstreamTable
from cardamomloft.gateway.changefeed import ChangeFeed
from cardamomloft.runtime.logs import log

MAX_ENDPOINTS_LOGGED = 30
"""Maximum number of endpoints in a log line, about 2 KB."""

_MS = timedelta(milliseconds=1)


class ColdLogs:
    """Logs what one gateway knows of cold endpoints, and what it sends to them and to others.

    Parameters
    ----------
    upstream_table
        The registered endpoints.
    selector
        Counts what is sent to each.
    feed
        Tells how old the data of this gateway is.
    now
        Returns the monotonic instant.
    """

    def __init__(
        self,
        upstream_table: UpstreamTable,
        selector: Selector,
        feed: ChangeFeed,
        now: Callable[[], timedelta],
    ) -> None:
        self._upstream_table = upstream_table
        self._selector = selector
        self._feed = feed
        self._now = now
        upstream_table.on_cold = self.log_learned

    def log_learned(self, upstreams: list[Upstream], now: timedelta) -> None:
        """Log that endpoints are cold which were not known to be."""
        counts = self._selector.send_counts
        rows = [
            {
                "id": up.id,
                "left_ms": (up.cold_until - now) // _MS,
                "sent": counts.sent_to(up),
            }
            for up in upstreams[:MAX_ENDPOINTS_LOGGED]
        ]
        log(
            "upstreams-cold",
            source=str(upstreams[0].cold_source),
            count=len(upstreams),
            endpoints=rows,
            verified_age_ms=self._verified_age_ms(),
        )

    def log_sends(self) -> None:
        """Log what was sent since the last call, if an endpoint is cold or the data is outdated."""
        table, now = self._upstream_table, self._now()
        cold, warm = self._selector.send_counts.take(table.all(), MAX_ENDPOINTS_LOGGED, now)
        outdated = self._feed.is_outdated()
        if cold or outdated:
            log(
                "endpoint-sends",
                cold=[
                    {
                        "id": row.endpoint,
                        "sent": row.sent,
                        "left_ms": row.left // _MS,
                        "source": str(row.source),
                    }
                    for row in cold
                ],
                warm=warm,
                outdated=outdated,
                verified_age_ms=self._verified_age_ms(),
            )

    def _verified_age_ms(self) -> t.Any:
        age = self._feed.verified_age()
        return None if age is None else age // _MS
