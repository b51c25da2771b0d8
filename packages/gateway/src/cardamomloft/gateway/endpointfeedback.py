"""What a gateway learns about endpoints from the requests that it sends."""

from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.cachestate import CacheState
from cardamomloft.core.selection import Reason
from cardamomloft.core.upstreamtable import LoadReport, Upstream
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.outcomes import (
    EndpointStatus,
    Failed,
    Outcome,
    Served,
    endpoint_status,
)
from cardamomloft.gateway.requestcontext import RequestContext
from cardamomloft.upstreams.sends import EndedBy, SendFailure, UpstreamAnswer
from expression import Result


class EndpointFeedback:
    """Records what the sends of one request tell about endpoints.

    Parameters
    ----------
    context
        Has the components that use it.
    call
        The request.
    """

    def __init__(self, context: RequestContext, call: Call) -> None:
        self._context = context
        self._call = call
        self._selector = context.selector
        self._dialect = context.client.dialect
        self._answered = False

    def _now(self) -> timedelta:
        return self._context.clock.monotonic()

    def record_sent(self, upstream: Upstream, reason: Reason) -> CacheState:
        """Record that the request is sent; return whether the endpoint has its key cached."""
        context, call = self._context, self._call
        cache_state = CacheState.NONE
        if call.rule.keyed:
            cache_state = context.selector.cache_states.state_of(upstream, call.key)
            context.selector.cache_states.record_sent(upstream, call.key)
        context.metrics.count(f"sends.{reason}.{call.service}")
        if upstream.cold_until > self._now():
            context.metrics.count(f"sends-cold.{call.service}")
        context.metrics.count(f"touch.{cache_state}.{call.service}")
        return cache_state

    def record_cache_outcome(
        self, upstream: Upstream, cache_state: CacheState, outcome: Outcome, duration: timedelta
    ) -> None:
        """Record whether the endpoint has the key cached now."""
        context, call = self._context, self._call
        if isinstance(outcome, Served):
            self._answered = True
            context.metrics.observe(f"{call.service}.{cache_state}", duration)
        if cache_state is CacheState.NONE:
            return
        cache_states = context.selector.cache_states
        if not isinstance(outcome, Served):
            cache_states.record_failure(upstream, call.key)
            return
        is_new = cache_states.state_of(upstream, call.key) is not CacheState.HIT
        cache_states.record_answer(upstream, call.key)
        if is_new and not outcome.faulty:
            context.selector.shared_loads.record_cached(upstream, call.key)

    def apply_status(
        self, upstream: Upstream, result: Result[UpstreamAnswer, SendFailure], sent_at: timedelta
    ) -> EndpointStatus:
        """Apply what an endpoint reports about itself, before the body of its answer is read."""
        if result.is_error():
            return EndpointStatus()
        status = endpoint_status(result.ok, self._dialect)
        notice_handler = self._context.notice_handler
        if status.leaving:
            notice_handler.record_leaving(upstream)
        if result.ok.status != self._dialect.misdirected:
            notice_handler.record_rate_limit(upstream, status.rate_limit, sent_at)
        if status.pause is not None:
            upstream.paused_until = max(upstream.paused_until, self._now() + status.pause)
        if status.load is not None:
            # This request still counts as in flight here, but no longer at the endpoint.
            own = max(0, upstream.in_flight - 1)
            load = status.load
            report = LoadReport(
                load.running, load.waiting, load.slots, own, self._now(), load.work_percent
            )
            self._selector.record_report(upstream, report)
            if not status.elsewhere:
                self._selector.shared_loads.record_statement(
                    upstream, report, states_work=status.states_work
                )
        return status

    def record_failure(
        self, upstream: Upstream, failure: Failed, fingerprint: Callable[[], str]
    ) -> None:
        """Record a failure of an endpoint, unless this gateway's own links are the cause.

        Endpoints that accept no connections are known to the monitor of endpoints, which finds out
        when they do again, so that they need not be ejected for a time.
        """
        if failure.ended_by is EndedBy.MALFORMED:
            self._context.metrics.count("answers.malformed")
        links, cut = self._context.links, failure.cut
        if links is None:
            self._selector.record_failure(upstream, self._now())
            self._record_crash(cut, upstream, fingerprint)
            return
        if failure.unreachable:
            return
        if cut:
            links.confirm().addCallback(self._record_crash, upstream, fingerprint)
        if not links.is_suspected():
            self._selector.record_failure(upstream, self._now())
            return

        def record(_: None) -> None:
            if not links.down:
                self._selector.record_failure(upstream, self._now())

        links.verdict().addCallback(record)

    def _record_crash(
        self, confirmed: bool, upstream: Upstream, fingerprint: Callable[[], str]
    ) -> None:
        if confirmed and not self._answered:
            self._context.notice_handler.record_crash(fingerprint(), upstream)
