"""Counts of the requests that one entry sends to each endpoint, for the log."""

import heapq
import typing as t
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from cardamomloft.core.upstreamtable import Upstream


class ColdSends(t.NamedTuple):
    """What an entry has sent to an endpoint that it holds for cold.

    `sent` is the number of requests since the last row. `left` is the time for which the entry
    still holds the endpoint for cold, and `source` what told it so.
    """

    endpoint: str
    sent: int
    left: timedelta
    source: str


class SendCounts:
    """The requests of one entry by endpoint, since they were last taken."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def record(self, upstream: Upstream) -> None:
        """Count a request that is sent to an endpoint."""
        self._counts[upstream.id] += 1

    def sent_to(self, upstream: Upstream) -> int:
        """Return the number of requests sent to an endpoint since counts were last taken."""
        return self._counts[upstream.id]

    def take(
        self, upstreams: Iterable[Upstream], most: int, now: timedelta
    ) -> tuple[list[ColdSends], dict[str, int]]:
        """Return what was sent to cold endpoints and to others, and start counting anew.

        Parameters
        ----------
        upstreams
            The registered endpoints.
        most
            Maximum length of each result; the endpoints with most requests are kept.
        now
            Monotonic instant.
        """
        counts, self._counts = self._counts, Counter()
        cold = [
            ColdSends(up.id, counts.pop(up.id, 0), up.cold_until - now, up.cold_source)
            for up in upstreams
            if up.cold_until > now
        ]
        return heapq.nlargest(most, cold, key=lambda row: row.sent), dict(counts.most_common(most))
