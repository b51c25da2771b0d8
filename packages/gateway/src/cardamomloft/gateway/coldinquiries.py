"""Asks endpoints whether they are cold, while nobody else can tell.

A gateway that neither the store nor other gateways answer takes every endpoint for cold, and sends
it no more than its part of the limit, until the endpoint itself has said that it is not.
"""

from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.coldness.sources import ColdSource
from cardamomloft.core.model import Endpoint
from cardamomloft.core.selection import Selector
from cardamomloft.core.upstreamtable import Upstream, UpstreamTable
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.dialect import parse_cold_time
from cardamomloft.upstreams.sends import SendFailure, UpstreamAnswer, UpstreamRequest
from expression import Result
from twisted.python.failure import Failure

WARM_TIME = timedelta(milliseconds=700)
"""Time for which the word of an endpoint that it is warm counts."""

ASK_AGAIN_TIME = timedelta(milliseconds=400)
"""Time after which an endpoint is asked again, shorter than `WARM_TIME`."""

SILENT_PAUSE = timedelta(milliseconds=1200)
"""The same for an endpoint that has not said that it is warm: one question in any second."""

ANSWER_TIME = timedelta(milliseconds=500)
"""Time in which an endpoint must answer."""

WANTED_TIME = timedelta(seconds=1)
"""Time after a request that an endpoint would have got, in which it is asked before others."""

MAX_ASKED = 8
"""Maximum number of endpoints asked in a tick, 40 a second."""

_NEVER = timedelta(0)


class ColdInquiries:
    """Asks endpoints on behalf of one gateway.

    Parameters
    ----------
    clock
        Source of time.
    upstream_table
        The registered endpoints.
    selector
        Knows whether the gateway is uninformed, and what it may send to cold endpoints.
    client
        Sends requests to endpoints.
    metrics
        Counts questions and answers.
    on_fault
        Called with unexpected exceptions.
    """

    def __init__(
        self,
        clock: Clock,
        upstream_table: UpstreamTable,
        selector: Selector,
        client: UpstreamClient,
        metrics: Metrics,
        on_fault: Callable[[Failure], None],
    ) -> None:
        self._clock = clock
        self._table = upstream_table
        self._selector = selector
        self._client = client
        self._metrics = metrics
        self._on_fault = on_fault
        self._asked_at: dict[str, timedelta] = {}

    def tick(self) -> None:
        """Ask the endpoints that are due, those with requests first; call it periodically."""
        if not self._selector.is_uninformed():
            self._asked_at.clear()
            return
        now = self._clock.monotonic()
        due = [up for up in self._table.all() if self._is_due(up, now)]
        due.sort(key=lambda up: (-self._is_wanted(up, now), self._asked_at.get(up.id, _NEVER)))
        for upstream in due[:MAX_ASKED]:
            self._ask(upstream, now)

    def _is_due(self, upstream: Upstream, now: timedelta) -> bool:
        asked_at = self._asked_at.get(upstream.id)
        pause = ASK_AGAIN_TIME if upstream.warm_until > now else SILENT_PAUSE
        if asked_at is not None and now - asked_at < pause:
            return False
        return bool(self._path(upstream)) and self._selector.may_ask(upstream, now)

    def _is_wanted(self, upstream: Upstream, now: timedelta) -> bool:
        return now - upstream.wanted_at < WANTED_TIME

    def _path(self, upstream: Upstream) -> str:
        policy = self._selector.policies.get(upstream.registration.service)
        return "" if policy is None else policy.health_path

    def _ask(self, upstream: Upstream, now: timedelta) -> None:
        self._asked_at[upstream.id] = now
        self._metrics.count("inquiries")
        # It takes a place among what the endpoint gets in this second.
        upstream.recent_sends.record(now)
        row = upstream.registration
        target = Endpoint(row.id, row.service, row.zone, upstream.region, row.address, row.slots, 0)
        request = UpstreamRequest(
            endpoint=target,
            method="GET",
            path=self._path(upstream),
            headers=(),
            body=None,
            timeout=ANSWER_TIME,
            request_id=f"health-{row.id}",
            idempotent=True,
            expected=row.id,
        )
        answer = self._client.send(request)
        answer.addCallback(self._apply, upstream, now).addErrback(self._on_fault)

    def _apply(
        self,
        result: Result[UpstreamAnswer, SendFailure],
        upstream: Upstream,
        asked_at: timedelta,
    ) -> None:
        if result.is_error():
            return
        answer = result.ok
        answer.body.abort("only the head of the answer is needed")
        headers = dict(answer.headers)
        dialect = self._client.dialect
        if headers.get(dialect.instance) != upstream.id or answer.status != 200:
            return
        now = self._clock.monotonic()
        left = parse_cold_time(headers.get(dialect.cold_ms))
        if left:
            self._metrics.count("inquiries.cold")
            self._table.mark_cold(upstream.incarnation, now + left, now, ColdSource.ENDPOINT)
        else:
            upstream.warm_until = asked_at + WARM_TIME
