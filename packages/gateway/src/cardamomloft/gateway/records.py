"""The log lines of requests, bounded in number.

Each request that was refused, failed, was repeated or was slow gets a line, and a sample of the
others. Beyond a number of lines a second they are left out and counted.
"""

import typing as t
from collections.abc import Sequence
from datetime import timedelta

from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.cachestate import CacheState
from cardamomloft.core.model import Refusal
from cardamomloft.core.selection import Reason
from cardamomloft.core.upstreamtable import Upstream
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.outcomes import Told
from cardamomloft.runtime.logs import log

MAX_LINES_PER_S = 100
"""Lines a second; one takes 20 us to write (3,000 timed alone), 0.2 % of a core in all."""

SAMPLE = 50
"""One in this many requests that went well gets a line."""

_SECOND = timedelta(seconds=1)


class SendNote(t.NamedTuple):
    """One send of a request: where, by what knowledge, and what came of it.

    `reason` is why the endpoint was chosen, and `touch` whether it had the object at hand. `load`
    is the load that was expected there, of `slots`, from a report of the age `report_age` (None: no
    report). `told` is what the endpoint told of itself with its answer.
    """

    endpoint: str
    reason: Reason
    touch: CacheState
    load: float
    slots: int
    report_age: timedelta | None
    took: timedelta
    outcome: t.NamedTuple
    told: Told

    def fields(self) -> dict[str, t.Any]:
        """Return the note for a log line."""
        return {
            "endpoint": self.endpoint,
            "reason": str(self.reason),
            "touch": str(self.touch),
            "load": f"{self.load:.1f}/{self.slots}",
            "report_age_ms": None if self.report_age is None else _ms(self.report_age),
            "ms": _ms(self.took),
            "outcome": type(self.outcome).__name__.lower(),
            "detail": getattr(self.outcome, "detail", ""),
            **({"cut": True} if getattr(self.outcome, "cut", False) else {}),
            **self.told.fields(),
        }


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

    def served(
        self, call: Call, status: int, sends: Sequence[SendNote], now: timedelta, **fields: t.Any
    ) -> None:
        """Log a request that has its answer if it is of interest or in the sample."""
        self._well += 1
        slow = now - call.arrived > call.rule.target
        if slow or len(sends) > 1 or status >= 500 or self._well % SAMPLE == 0:
            self.write(call, "served", now, status=status, sends=sends, **fields)

    def write(self, call: Call, outcome: str, now: timedelta, **fields: t.Any) -> None:
        """Log what became of a request."""
        if not self._has_room(now):
            return
        upstream = fields.pop("upstream", None)
        if isinstance(upstream, Upstream):
            fields["endpoint"] = upstream.id
        if "sends" in fields:
            fields["sends"] = [note.fields() for note in fields["sends"]]
        log(
            "request",
            id=call.id,
            outcome=outcome,
            rule=call.rule.name,
            service=call.service,
            key=call.key,
            ms=_ms(now - call.arrived),
            left_ms=_ms(call.deadline - now),
            configuration=self._version(),
            **fields,
        )

    def unread(self, head: RequestHead, request_id: str, refusal: Refusal, now: timedelta) -> None:
        """Log a request that was refused before it became a call."""
        if self._has_room(now):
            log(
                "request",
                id=request_id,
                outcome="refused",
                reason=str(refusal.reason),
                detail=refusal.detail,
                host=dict(head.headers).get("host", ""),
                path=head.path,
                configuration=self._version(),
            )

    def _has_room(self, now: timedelta) -> bool:
        if now - self._window >= _SECOND:
            if self._left_out:
                log("requests-not-logged", count=self._left_out)
            self._window, self._lines, self._left_out = now, 0, 0
        self._lines += 1
        if self._lines <= MAX_LINES_PER_S:
            return True
        self._left_out += 1
        return False


def _ms(duration: timedelta) -> float:
    return round(duration / timedelta(milliseconds=1), 1)
