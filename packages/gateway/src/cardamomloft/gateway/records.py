"""Log lines about requests, limited in rate.

Every request that was refused, failed, retried or slow is logged, and a sample of the others.
Lines in excess of the limit are dropped and counted.
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
from cardamomloft.gateway.knowledge import Knowledge
from cardamomloft.gateway.outcomes import EndpointStatus, Failed
from cardamomloft.runtime.logs import log

MAX_LINES_PER_S = 100
"""Maximum number of lines a second. A line takes 20 us to write, so logging takes at most 0.2 % of
a core."""

SAMPLE_INTERVAL = 50
"""One in this many requests without special events is logged."""

_SECOND = timedelta(seconds=1)


class SendRecord(t.NamedTuple):
    """One send of a request: the endpoint, the data that the choice was based on, and the outcome.

    `reason` is why the endpoint was chosen, and `cache_state` whether it had the key's data cached.
    `load` is the expected number of requests at the endpoint, which has `slots` slots, from a
    report of the age `report_age`, None without a report. `status` is what the endpoint reported
    about itself with its answer, and `suspicion` why the send seemed to be in vain, if it did.
    """

    endpoint: str
    reason: Reason
    cache_state: CacheState
    load: float
    slots: int
    report_age: timedelta | None
    duration: timedelta
    outcome: t.NamedTuple
    status: EndpointStatus
    suspicion: str = ""

    def fields(self) -> dict[str, t.Any]:
        """Return the values for a log line."""
        return {
            "endpoint": self.endpoint,
            "reason": str(self.reason),
            "touch": str(self.cache_state),
            "load": f"{self.load:.1f}/{self.slots}",
            "report_age_ms": None if self.report_age is None else _ms(self.report_age),
            "ms": _ms(self.duration),
            "outcome": type(self.outcome).__name__.lower(),
            "detail": getattr(self.outcome, "detail", ""),
            **(self.outcome.fields() if isinstance(self.outcome, Failed) else {}),
            **({"suspicion": self.suspicion} if self.suspicion else {}),
            **self.status.fields(),
        }


class Logged(t.Protocol):
    """One attempt to get a request run."""

    def fields(self) -> dict[str, t.Any]:
        """Return the values for a log line."""
        ...


class RequestLog:
    """Writes log lines about requests.

    Parameters
    ----------
    knowledge
        Returns the configuration in force and how it is known.

    Attributes
    ----------
    cut_by_stop
        Whether requests end because the process does.
    """

    def __init__(self, knowledge: t.Callable[[], Knowledge]) -> None:
        self.cut_by_stop = False
        self._knowledge = knowledge
        self._window_start = timedelta(0)
        self._lines = 0
        self._suppressed = 0
        self._served_count = 0

    def served(
        self, call: Call, status: int, sends: Sequence[Logged], now: timedelta, **fields: t.Any
    ) -> None:
        """Log an answered request if it was slow, retried, a 5xx, proxied, or is in the sample."""
        self._served_count += 1
        slow = now - call.arrived > call.rule.target
        notable = slow or len(sends) > 1 or status >= 500 or fields
        direct = all(isinstance(one, SendRecord) for one in sends)
        if notable or not direct or self._served_count % SAMPLE_INTERVAL == 0:
            self.write(call, "served", now, status=status, sends=sends, **fields)

    def write(self, call: Call, outcome: str, now: timedelta, **fields: t.Any) -> None:
        """Log the outcome of a request."""
        if not self._within_line_limit(now):
            return
        upstream = fields.pop("upstream", None)
        if isinstance(upstream, Upstream):
            fields["endpoint"] = upstream.id
        if "sends" in fields:
            fields["sends"] = [send_record.fields() for send_record in fields["sends"]]
        if self.cut_by_stop:
            fields["cut_by"] = "hard-stop"
        log(
            "request",
            id=call.id,
            outcome=outcome,
            rule=call.rule.name,
            service=call.service,
            key=call.key,
            **({} if call.account is None else {"account": call.account.name}),
            ms=_ms(now - call.arrived),
            left_ms=_ms(call.deadline - now),
            **call.knowledge.fields(),
            **fields,
        )

    def write_unparsed(
        self, head: RequestHead, request_id: str, refusal: Refusal, now: timedelta
    ) -> None:
        """Log a request that was refused before it was parsed."""
        if self._within_line_limit(now):
            log(
                "request",
                id=request_id,
                outcome="refused",
                reason=str(refusal.reason),
                detail=refusal.detail,
                host=dict(head.headers).get("host", ""),
                path=head.path,
                **self._knowledge().fields(),
            )

    def _within_line_limit(self, now: timedelta) -> bool:
        if now - self._window_start >= _SECOND:
            if self._suppressed:
                log("requests-not-logged", count=self._suppressed)
            self._window_start, self._lines, self._suppressed = now, 0, 0
        self._lines += 1
        if self._lines <= MAX_LINES_PER_S:
            return True
        self._suppressed += 1
        return False


def _ms(duration: timedelta) -> float:
    return round(duration / timedelta(milliseconds=1), 1)
