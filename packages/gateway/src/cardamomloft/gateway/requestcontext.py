"""The components that the requests of a gateway share, and how they are refused."""

import contextlib
import random
import typing as t
from collections.abc import Callable, Iterator, Sequence
from datetime import timedelta

from cardamomloft.callers.exchange import (
    Answer,
    failed,
    to_answer,
    with_fractional_retry_after,
)
from cardamomloft.core.budgets import RetryBudget
from cardamomloft.core.clock import Clock
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.retryafter import RetryAfterBounds, RetryAfterPolicy
from cardamomloft.core.selection import Selector
from cardamomloft.core.stops.answertimes import AnswerTimes
from cardamomloft.core.upstreamtable import Upstream, UpstreamTable
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.linkmonitor import LinkMonitor
from cardamomloft.gateway.noticehandler import NoticeHandler
from cardamomloft.gateway.peerproxy.client import PeerProxy
from cardamomloft.gateway.peerproxy.hops import Hop
from cardamomloft.gateway.records import RequestLog, SendRecord
from cardamomloft.gateway.requestqueue import RequestQueue
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.client import UpstreamClient
from twisted.internet.interfaces import IDelayedCall

CROSSING_TIME = timedelta(milliseconds=250)
"""Time after the beginning of a stop in which requests arrive that were sent before: it covers a
connection from another region, and the reading of what waits in sockets."""

_DEFAULT_CALLER_WAIT = timedelta(minutes=1)
"""Assumed remaining time of a caller whose deadline was not read, before this entry is ready or
while it stops."""


class RequestContext:
    """What the requests of one gateway have in common.

    Parameters
    ----------
    reactor
        Schedules timeouts.
    clock, rng
        Sources of time and randomness.
    selector
        Chooses endpoints.
    upstream_table
        The registered endpoints.
    client
        Sends requests to endpoints.
    budget_for
        Returns the retry budget of a service.
    metrics
        Counts outcomes and records latencies.
    records
        Writes the log lines of requests.
    notice_handler
        Decides which requests are quarantined, and publishes notices about upstreams.

    Attributes
    ----------
    on_not_run
        Called with each call that is refused.
    queue
        Holds requests for which no endpoint has capacity, if it is enabled.
    answer_times
        How long requests take until they are answered.
    links
        Knows whether endpoints can be reached, None if that is not monitored.
    proxy
        Sends requests through other gateways, None if there is no way to them.
    answer_by
        Monotonic instant by which requests must be answered, None unless this gateway stops.
    """

    links: LinkMonitor | None = None
    proxy: PeerProxy | None = None
    answer_by: timedelta | None = None

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        rng: random.Random,
        selector: Selector,
        upstream_table: UpstreamTable,
        client: UpstreamClient,
        budget_for: Callable[[str], RetryBudget],
        metrics: Metrics,
        records: RequestLog,
        notice_handler: NoticeHandler,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.rng = rng
        self.selector = selector
        self.upstream_table = upstream_table
        self.client = client
        self.budget_for = budget_for
        self.metrics = metrics
        self.records = records
        self.notice_handler = notice_handler
        self.on_not_run: Callable[[Call], None] = lambda call: None
        self.queue = RequestQueue(reactor, clock, rng, metrics)
        self.answer_times = AnswerTimes()
        self._end_timer: IDelayedCall | None = None
        self._late_from = timedelta(0)
        self._retry_after_policies: dict[str, RetryAfterPolicy] = {}

    def finish_by(self, instant: timedelta) -> None:
        """Refuse all requests that no endpoint has by a monotonic instant, since the process ends.

        Without it they would end without an answer, and their callers could not repeat them.
        """
        self.answer_by = instant
        self._late_from = self.clock.monotonic() + CROSSING_TIME
        self.queue.finish_by(instant)
        if self.proxy is not None:
            self.proxy.stop_asking_at(instant)
        delay = max(timedelta(0), instant - self.clock.monotonic())
        self._end_timer = self.reactor.callLater(
            delay.total_seconds(), self.client.abort_unsent, _ENDING
        )

    def close(self) -> None:
        """Refuse all waiting requests and cancel the timers."""
        if self._end_timer is not None and self._end_timer.active():
            self._end_timer.cancel()
        self.queue.close()

    def outlasts_stop(self, call: Call) -> bool:
        """Return whether the process may end before a request that is sent now is answered.

        One that its caller has sent before the stop is sent on as long as it can be answered at
        all.
        """
        if self.answer_by is None:
            return False
        now = self.clock.monotonic()
        if now >= self.answer_by or call.arrived < self._late_from:
            return now >= self.answer_by
        return self.answer_times.may_outlast(call.rule.name, now, call.deadline, self.answer_by)

    @contextlib.contextmanager
    def sending(self, call: Call, upstream: Upstream, now: timedelta) -> Iterator[None]:
        """Count a request as in progress at an endpoint in the with-block."""
        self.selector.record_sent(upstream, now)
        with self.answer_times.sending(call.rule.name, now):
            try:
                yield
            finally:
                self.selector.record_end(upstream)

    def record_caller_left(self, call: Call, sends: Sequence[SendRecord | Hop]) -> Answer:
        """Log and count that the caller has disconnected; return an answer that nobody receives."""
        self.metrics.count("caller-left")
        self.records.write(call, "caller-left", self.clock.monotonic(), sends=sends)
        return failed("the caller has disconnected")

    def refuse(self, refusal: Refusal, wait: timedelta | None = None) -> Answer:
        """Return the answer for a request that was not run, with a retry-after time if useful.

        `wait` is that time; None if the refusal concerns no service.
        """
        self.metrics.count(f"refused.{refusal.reason}")
        if refusal.retry_after is None and refusal.reason not in _NOT_RETRYABLE:
            if wait is None:
                wait = RetryAfterPolicy(RetryAfterBounds()).wait(
                    self.rng.random(), _DEFAULT_CALLER_WAIT
                )
            refusal = refusal._replace(retry_after=wait)
        return with_fractional_retry_after(to_answer(refusal))

    def retry_after_for(self, call: Call, now: timedelta) -> timedelta:
        """Return how long the caller of a refused request should wait before it retries."""
        return self.retry_after_policy(call.service).wait(
            self.rng.random(), call.caller_deadline - now
        )

    def retry_after_policy(self, service: str) -> RetryAfterPolicy:
        """Return the retry-after policy of a service."""
        policy = self._retry_after_policies.get(service)
        if policy is None:
            policy = self._retry_after_policies[service] = RetryAfterPolicy(RetryAfterBounds())
        return policy


_ENDING = "this entry stops before an endpoint could answer"

_NOT_RETRYABLE = frozenset(
    {
        RefusalReason.NO_SERVICE,
        RefusalReason.BAD_REQUEST,
        RefusalReason.TOO_LARGE,
        RefusalReason.UNAUTHENTICATED,
    }
)
