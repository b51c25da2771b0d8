"""From a call to its answer, or to the word that it was not run and when to come back."""

import random
import typing as t
from collections.abc import Callable, Sequence
from datetime import timedelta

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import (
    Answer,
    RequestHead,
    failed,
    to_answer,
    with_fractional_retry_after,
)
from cardamomloft.core.budgets import RetryBudget
from cardamomloft.core.clock import Clock
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.retryafter import RetryAfterBounds, RetryAfterPolicy
from cardamomloft.core.selection import Selector
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.noticehandler import NoticeHandler
from cardamomloft.gateway.records import RequestLog, SendNote
from cardamomloft.gateway.requestrun import Caller, RequestRun
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.client import UpstreamClient
from expression import Result
from twisted.internet.defer import CancelledError, Deferred, TimeoutError, ensureDeferred

WHOLE_BODY = 1024 * 1024
"""Bytes up to which a request's body is held, so that it can be sent again after a refusal."""

_UNBOUNDED = timedelta(minutes=1)
"""Time left of a caller whose deadline was not read, since this entry has not begun or stops."""


class Forwarder:
    """Carries the requests of one gateway.

    Parameters
    ----------
    reactor
        For timers.
    clock, rng
        Sources of time and chance.
    selector
        Chooses endpoints.
    book
        The registered endpoints.
    client
        Sends to them.
    budget_for
        Returns the budget of repeats of a service.
    metrics
        Where counts and latencies go.
    records
        Writes the log lines of requests.
    noticing
        Knows which requests are sent to no upstream.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        rng: random.Random,
        selector: Selector,
        book: UpstreamTable,
        client: UpstreamClient,
        budget_for: Callable[[str], RetryBudget],
        metrics: Metrics,
        records: RequestLog,
        noticing: NoticeHandler,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.selector = selector
        self.book = book
        self.client = client
        self.budget_for = budget_for
        self.metrics = metrics
        self.records = records
        self.notice_handler = noticing
        self._returns: dict[str, RetryAfterPolicy] = {}

    async def forward(
        self, call: Call, head: RequestHead, body: RequestBody, gone: "Deferred[None]"
    ) -> Answer:
        """Answer a call; if the caller leaves, its work is given up."""
        caller = Caller()
        attempt = ensureDeferred(self._carry(call, head, body, caller))

        def leave(_: None) -> None:
            caller.left = True
            attempt.cancel()

        gone.addCallback(leave)
        try:
            return await attempt
        except CancelledError:
            if not caller.left:
                raise
            return self.left(call, ())

    async def _carry(
        self, call: Call, head: RequestHead, body: RequestBody, caller: Caller
    ) -> Answer:
        payload = await self._payload(body, call.deadline)
        if isinstance(payload, Refusal):
            self.records.write(call, "refused", self.clock.monotonic(), detail=payload.detail)
            return self.refuse(payload)
        size = len(payload) if isinstance(payload, bytes) else t.cast(int, payload.length)
        self.selector.body_sizes.record(call.rule.name, size)
        return await RequestRun(self, call, head, payload, caller).run()

    def left(self, call: Call, sends: Sequence[SendNote]) -> Answer:
        """Return an answer for nobody, after logging that the caller has left."""
        self.metrics.count("caller-left")
        self.records.write(call, "caller-left", self.clock.monotonic(), sends=sends)
        return failed("the caller has left")

    async def _payload(self, body: RequestBody, until: timedelta) -> bytes | RequestBody | Refusal:
        """Hold bodies whole so that they can be sent again; leave very large ones to stream."""
        if body.length == 0:
            return b""
        if isinstance(body.length, int) and body.length > WHOLE_BODY:
            return body
        collected = body.collect(WHOLE_BODY)
        left = max(timedelta(0), until - self.clock.monotonic())
        collected.addTimeout(left.total_seconds(), self.reactor)
        try:
            outcome = await collected
        except TimeoutError:
            return Refusal(
                RefusalReason.DEADLINE, f"{body.received} bytes of the body came in time"
            )
        match outcome:
            case Result(tag="ok", ok=whole):
                return whole
            case Result(error=detail):
                return Refusal(RefusalReason.BAD_REQUEST, detail)

    def refuse(self, refusal: Refusal, wait: timedelta | None = None) -> Answer:
        """Return the answer that says "not run", with when to come back unless that is useless.

        `wait` is that time; None if no service is concerned.
        """
        self.metrics.count(f"refused.{refusal.reason}")
        if refusal.retry_after is None and refusal.reason not in _FINAL:
            if wait is None:
                wait = RetryAfterPolicy(RetryAfterBounds()).wait(self.rng.random(), _UNBOUNDED)
            refusal = refusal._replace(retry_after=wait)
        return with_fractional_retry_after(to_answer(refusal))

    def come_back(self, call: Call, now: timedelta) -> timedelta:
        """Return when the caller of a refused request is to come back."""
        return self.returns_of(call.service).wait(self.rng.random(), call.leaves - now)

    def returns_of(self, service: str) -> RetryAfterPolicy:
        """Return what decides when the refused callers of a service come back."""
        returns = self._returns.get(service)
        if returns is None:
            returns = self._returns[service] = RetryAfterPolicy(RetryAfterBounds())
        return returns


_FINAL = frozenset({RefusalReason.NO_SERVICE, RefusalReason.BAD_REQUEST, RefusalReason.TOO_LARGE})
