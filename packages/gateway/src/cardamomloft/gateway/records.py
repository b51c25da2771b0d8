"""The log lines of requests, bounded in number.

Each request that was refused, failed, was repeated or was slow gets a line, and a sample of the
others. Beyond a number of lines a second they are left out and counted.
"""

import typing as t
from collections.abc import Collection
from datetime import timedelta

from cardamomloft.core.registrations import Upstream
from cardamomloft.entry.logs import log
from cardamomloft.gateway.calls import Call

LINES_PER_S = 100
"""Lines a second; a line costs about 0.1 ms, so logging takes 1 % of a core at the most."""

SAMPLE = 50
"""One in this many requests that went well gets a line."""

_SECOND = timedelta(seconds=1)


class RequestLog:
    """Writes lines about requests.

    Parameters
    ----------
    version
        Returns the number of the configuration in force.
    """

    def __init__(self, version: t.Callable[[], int]) -> None:
        self._version = version
        self._window = timedelta(0)
        self._lines = 0
        self._left_out = 0
        self._well = 0

    def served(self, call: Call, status: int, tried: Collection[str], now: timedelta) -> None:
        """Log a request that has its answer if it is of interest or in the sample."""
        self._well += 1
        slow = now - call.arrived > call.rule.target
        if slow or len(tried) > 1 or status >= 500 or self._well % SAMPLE == 0:
            self.write(call, "served", now, status=status, tried=tried)

    def write(self, call: Call, outcome: str, now: timedelta, **fields: t.Any) -> None:
        """Log what became of a request."""
        if not self._has_room(now):
            return
        upstream = fields.pop("upstream", None)
        if isinstance(upstream, Upstream):
            fields["endpoint"] = upstream.id
        if "tried" in fields:
            fields["tried"] = list(fields["tried"])
        log(
            "request",
            id=call.id,
            outcome=outcome,
            rule=call.rule.name,
            service=call.service,
            key=call.key,
            ms=round((now - call.arrived) / timedelta(milliseconds=1), 1),
            left_ms=round((call.until - now) / timedelta(milliseconds=1), 1),
            configuration=self._version(),
            **fields,
        )

    def _has_room(self, now: timedelta) -> bool:
        if now - self._window >= _SECOND:
            if self._left_out:
                log("requests-not-logged", count=self._left_out)
            self._window, self._lines, self._left_out = now, 0, 0
        self._lines += 1
        if self._lines <= LINES_PER_S:
            return True
        self._left_out += 1
        return False
