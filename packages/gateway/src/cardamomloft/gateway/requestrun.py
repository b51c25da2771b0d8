"""Handling of one request: endpoint selection, sending, and retries where these are safe.

The caller gets a refusal, which means that its request was not run, only if no endpoint can have
run it: nothing was sent, or every endpoint that received it has definitely refused it.
"""

import typing as t
from datetime import timedelta
from functools import cached_property
from http import HTTPStatus

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import Answer, RequestHead, deadline_exceeded, failed, too_large
from cardamomloft.core.fingerprints import fingerprint
from cardamomloft.core.model import Endpoint, Refusal, RefusalReason
from cardamomloft.core.retries import AttemptCounts, may_retry
from cardamomloft.core.selection import Choice
from cardamomloft.core.upstreamtable import Upstream
from cardamomloft.gateway.attempts import Attempt, Attempts, attempts_of_request
from cardamomloft.gateway.calls import Call, Origin
from cardamomloft.gateway.endpointfeedback import EndpointFeedback
from cardamomloft.gateway.outcomes import (
    Failed,
    Outcome,
    Refused,
    Served,
    is_good,
    read_outcome,
)
from cardamomloft.gateway.peerproxy.client import ProxyOutcome, unreachable
from cardamomloft.gateway.peerproxy.hops import Hop
from cardamomloft.gateway.peerroute import PeerRoute
from cardamomloft.gateway.records import SendRecord
from cardamomloft.gateway.requestcontext import RequestContext
from cardamomloft.upstreams.sends import EndedBy, SendFailure, UpstreamAnswer, UpstreamRequest
from expression import Result

MIN_TIME_LEFT = timedelta(milliseconds=5)
"""Minimum time to the deadline for sending a request; with less, the deadline would pass while the
connection is opened."""

MAX_UNSENT_TIME = timedelta(milliseconds=600)
"""Time spent on connections that could not be established after which another gateway is asked."""

MAX_KEPT_BODY_BYTES = 16 * 1024
"""Size of a body up to which a request is kept for a while after its answer."""

_NO_ENDPOINT = Refusal(RefusalReason.UNREACHABLE, "this entry reaches no endpoint")


class CallerState:
    """Whether the caller has disconnected, after which its request is not sent again."""

    def __init__(self) -> None:
        self.disconnected = False


class RequestRun:
    """Sends one request to endpoints, and tracks whether any of them may have run it."""

    def __init__(
        self,
        context: RequestContext,
        call: Call,
        head: RequestHead,
        payload: bytes | RequestBody,
        caller: CallerState,
        origin: Origin | None = None,
    ) -> None:
        self._context = context
        self._call = call
        self._head = head
        self._payload = payload
        self._caller = caller
        self._origin = origin
        self._sends: list[SendRecord | Hop] = []
        self._counts = AttemptCounts(0 if origin is None else origin.deliveries)
        self._counted = origin is not None and origin.counted
        self._may_have_run = False
        self._answer: Served | None = None
        self._asked_peer_beside = False
        self._connection_lost = False
        self._rejected_with_room = False
        self._returning = False
        self._budget = context.budget_for(call.service)
        self._selector = context.selector
        self._dialect = context.client.dialect
        self._feedback = EndpointFeedback(context, call)
        self._peers = PeerRoute(context, call, head, payload, is_proxied=origin is not None)

    async def run(self) -> Answer:
        """Send the request until it is answered or no further attempt is allowed."""
        self._returning = self._context.queue.is_returning(self._call, self._head.client)
        last: Outcome | None = None
        while True:
            if self._peers.links_are_down():
                return await self._send_through_peer(last)
            self._count_request()
            chosen = await self._choose_or_wait()
            if not isinstance(chosen, Choice):
                if self._peers.links_are_down() or await self._needs_peer(last, chosen):
                    return await self._send_through_peer(last)
                return self._finish(last, self._refusal_after(last, chosen))
            if self._peers.links_are_down(chosen.upstream):
                return await self._send_through_peer(last)
            last = await self._attempt(chosen)
            if self._caller.disconnected:
                return self._context.record_caller_left(self._call, self._sends)
            if self._is_final(last):
                if await self._needs_peer(last, None):
                    return await self._send_through_peer(last)
                return self._finish(last, None)

    async def _attempt(self, chosen: Choice) -> Outcome:
        """Send the request, and again elsewhere while it seems to be in vain; return the outcome.

        That is the first good answer, or the last outcome if there is none.
        """
        last: Outcome | None = None
        with attempts_of_request() as attempts:
            attempts.start(lambda attempt: self._send(chosen, attempt))
            while attempts:
                outcome = await attempts.next()
                last = outcome or last
                if isinstance(outcome, Served):
                    self._answer = outcome
                if self._caller.disconnected or is_good(outcome):
                    break
                if attempts.are_suspected():
                    self._attempt_beside(attempts)
        return t.cast(Outcome, last)

    def _attempt_beside(self, attempts: Attempts) -> None:
        """Start another attempt beside those in progress, if that is allowed and possible."""
        if not self._may_send_again(not_run=False):
            return
        if self._peers.links_are_down():
            if self._peers.may_reach() and not self._asked_peer_beside:
                self._asked_peer_beside = True
                attempts.start(self._send_through_peer_beside)
            return
        chosen = self._choose()
        if isinstance(chosen, Choice) and not self._peers.links_are_down(chosen.upstream):
            self._context.metrics.count("attempts.beside")
            attempts.start(lambda attempt: self._send(chosen, attempt))

    def _is_final(self, outcome: Outcome) -> bool:
        if is_good(outcome):
            return True
        if self._counts.unsent_time > MAX_UNSENT_TIME and self._peers.may_reach():
            return True
        return not self._may_retry(outcome)

    def _count_request(self) -> None:
        """Count the request for the retry budget, once at all gateways together."""
        if not self._counted:
            self._counted = True
            self._budget.on_request(self._now())

    # Other gateways.

    async def _needs_peer(self, outcome: Outcome | None, refusal: Refusal | None) -> bool:
        """Return whether the request is to be sent through another gateway."""
        if self._may_have_run:
            return False
        needed = await self._peers.is_needed(outcome, refusal)
        return needed and not self._caller.disconnected

    async def _ask_peer(self, deliveries: int, *, may_have_run: bool) -> ProxyOutcome:
        outcome = await self._peers.send(
            deliveries, counted=self._counted, may_have_run=may_have_run
        )
        self._sends.extend(outcome.hops)
        return outcome

    async def _send_through_peer(self, last: Outcome | None) -> Answer:
        """Send the request through another gateway, unless it came from one; return the answer."""
        if not self._peers.exists:
            return self._finish(last, _NO_ENDPOINT)
        outcome = await self._ask_peer(self._counts.deliveries, may_have_run=self._may_have_run)
        if self._caller.disconnected:
            return self._context.record_caller_left(self._call, self._sends)
        self._may_have_run = outcome.may_have_run
        answer = outcome.answer
        if answer is None or (outcome.refused and self._may_have_run):
            failure = Failed(not self._may_have_run, outcome.detail, self._is_late())
            return self._finish(failure, None if self._may_have_run else unreachable(outcome))
        if outcome.refused:
            return self._finish_refused_by_peer(answer, outcome.detail)
        return self._finish_served(answer)

    async def _send_through_peer_beside(self, attempt: Attempt) -> Outcome:
        """Send the request through another gateway while an attempt of this one goes on.

        The other gateway may send it to one endpoint.
        """
        outcome = await self._ask_peer(self._call.rule.attempts - 1, may_have_run=True)
        delivered = sum(hop.delivered for hop in outcome.hops)
        self._counts.deliveries += delivered
        self._may_have_run = self._may_have_run or delivered > 0
        answer = outcome.answer
        if answer is None:
            return Failed(False, outcome.detail, self._is_late())
        if outcome.refused:
            return Refused(outcome.detail, misdirected=False)
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            if not isinstance(answer.body, bytes):
                answer.body.abort()
            return Failed(False, f"status {answer.status} by another entry", self._is_late())
        return Served(answer)

    def _now(self) -> timedelta:
        return self._context.clock.monotonic()

    async def _choose_or_wait(self) -> Choice | Refusal:
        """Return an endpoint or a refusal, after a wait if nothing can have run yet."""
        if self._may_have_run:
            self._context.queue.send_before(self._call.service, self._call.rule.priority)
            return self._choose()
        size = len(self._payload) if isinstance(self._payload, bytes) else 0
        return await self._context.queue.choose(self._call, size, self._returning, self._choose)

    def _choose(self) -> Choice | Refusal:
        call, now = self._call, self._now()
        if self._peers.links_are_down():
            return _NO_ENDPOINT
        if self._context.outlasts_stop(call):
            return Refusal(RefusalReason.STOPPING, "this entry stops before it could answer")
        if call.deadline - now < MIN_TIME_LEFT:
            return Refusal(RefusalReason.DEADLINE, "the deadline is too close to send the request")
        refused_until = self._context.notice_handler.refused_until(self._get_fingerprint)
        if refused_until is not None:
            detail = "the request is quarantined because upstreams have crashed while running it"
            return Refusal(RefusalReason.QUARANTINED, detail, refused_until - now)
        if self._counts.deliveries and not self._budget.may_retry(
            self._selector.division(now), now
        ):
            # The budget may have been spent by others while this request waited.
            return Refusal(RefusalReason.SHED, "the retry budget was used up")
        return self._selector.choose(
            call.rule, call.service, call.key, self._counts.tried, call.deadline, now
        )

    # Sending.

    async def _send(self, chosen: Choice, attempt: Attempt) -> Outcome:
        upstream, reason = chosen.upstream, chosen.reason
        selector, now = self._selector, self._now()
        cache_state = self._feedback.record_sent(upstream, reason)
        if self._counts.deliveries:
            self._budget.spend(now)
            self._context.metrics.count("repeats")
            self._context.metrics.count(f"repeats.{self._call.service}")
        self._counts.record_sent(upstream.id)
        load = selector.load_of(upstream, now)
        report_age = None if upstream.report is None else now - upstream.report.at
        with self._context.sending(self._call, upstream, now):
            result = await self._answer_head(upstream, now, attempt)
            status = self._feedback.apply_status(upstream, result, now)
            outcome = await read_outcome(result, status, self._dialect, self._is_late)
        if attempt.cancelled and isinstance(outcome, Failed) and not self._caller.disconnected:
            outcome = outcome._replace(ended_by=EndedBy.OTHER_ATTEMPT)
        self._record_outcome(upstream, outcome, now, load)
        duration = self._now() - now
        if isinstance(outcome, Served) and not outcome.faulty:
            selector.record_work(upstream, duration, load, cache_state, self._call.rule.target)
        self._feedback.record_cache_outcome(upstream, cache_state, outcome, duration)
        slots = upstream.registration.slots
        send_record = SendRecord(
            upstream.id, reason, cache_state, load, slots, report_age, duration, outcome, status
        )
        self._sends.append(send_record._replace(suspicion=attempt.suspicion))
        self._record_end(outcome, duration)
        if attempt.beside and is_good(outcome):
            self._context.metrics.count("attempts.beside-served")
        return outcome

    async def _answer_head(
        self, upstream: Upstream, now: timedelta, attempt: Attempt
    ) -> Result[UpstreamAnswer, SendFailure]:
        """Send the request, and return the answer without its body."""
        try:
            return await self._context.client.send(self._request_for(upstream, now, attempt))
        finally:
            self._selector.shared_loads.record_end(upstream, now, self._now())

    def _request_for(self, upstream: Upstream, now: timedelta, attempt: Attempt) -> UpstreamRequest:
        call, row, selector = self._call, upstream.registration, self._selector
        endpoint = Endpoint(
            row.id, row.service, row.zone, upstream.region, row.address, row.slots, 0
        )
        return UpstreamRequest(
            endpoint=endpoint,
            method=self._head.method,
            path=call.target,
            headers=call.headers,
            body=self._payload,
            timeout=call.deadline - now,
            request_id=call.id,
            idempotent=call.rule.idempotent,
            expected=row.id,
            new_connection=selector.outages.needs_new_connection(row.address, now),
            patience=self._patience(row.address),
            on_suspected=attempt.suspect if call.rule.idempotent else None,
        )

    def _patience(self, address: str) -> timedelta | None:
        """Return how long a connection may take, None if no other endpoint can be tried."""
        selector, call = self._selector, self._call
        if not selector.has_alternative(call.rule, call.service, self._counts.tried):
            return None
        return selector.outages.patience(address)

    def _is_late(self) -> bool:
        return self._call.deadline - self._now() < MIN_TIME_LEFT

    # Recording of outcomes.

    def _record_outcome(
        self, upstream: Upstream, outcome: Outcome, sent_at: timedelta, load: float
    ) -> None:
        now = self._now()
        match outcome:
            case Served(faulty=True):
                self._may_have_run = True
                self._selector.record_failure(upstream, now)
                self._record_answer()
            case Served():
                self._record_answer()
                self._selector.record_answer(upstream, now - sent_at, load)
            case Refused(misdirected=True):
                self._context.upstream_table.mark_leaving(upstream)
                self._context.records.write(self._call, "misdirected", now, upstream=upstream)
            case Refused(had_room=had_room):
                self._context.metrics.count(f"refused-there.{'with-room' if had_room else 'full'}")
                self._selector.record_refusal(upstream, now, had_room=had_room)
            case Failed() if self._caller.disconnected or outcome.ended_by is EndedBy.OTHER_ATTEMPT:
                # The send was cancelled here, so the failure is not the endpoint's.
                self._may_have_run = True
            case Failed():
                self._connection_lost = self._connection_lost or outcome.cut
                self._may_have_run = self._may_have_run or not outcome.not_run
                if outcome.not_run:
                    self._counts.record_unsent(now - sent_at, unreachable=outcome.unreachable)
                self._feedback.record_failure(upstream, outcome, self._get_fingerprint)

    def _record_answer(self) -> None:
        """Record that the request crashes no endpoint."""
        payload = self._payload
        keep = not isinstance(payload, bytes) or len(payload) <= MAX_KEPT_BODY_BYTES
        self._context.notice_handler.record_answer(self._get_fingerprint, keep=keep)

    def _record_end(self, outcome: Outcome, duration: timedelta) -> None:
        self._rejected_with_room = isinstance(outcome, Refused) and outcome.had_room
        ran = not isinstance(outcome, Refused) and not getattr(outcome, "not_run", False)
        answered = duration if isinstance(outcome, Served) else None
        if answered is not None:
            self._context.answer_times.record(self._call.rule.name, answered, self._now())
        self._context.queue.record_end(self._call, answered, ran=ran)

    def _may_retry(self, outcome: Outcome) -> bool:
        not_run = isinstance(outcome, Refused) or (isinstance(outcome, Failed) and outcome.not_run)
        return self._may_send_again(not_run=not_run)

    def _may_send_again(self, *, not_run: bool) -> bool:
        if not isinstance(self._payload, bytes) and not self._payload.unconsumed:
            return False
        call, now = self._call, self._now()
        attempts = self._counts.left(call.rule.attempts)
        allowed = may_retry(
            call.rule.idempotent, not_run, attempts, call.deadline - now, MIN_TIME_LEFT
        )
        division = self._selector.division(now)
        return allowed and (not self._counts.deliveries or self._budget.may_retry(division, now))

    # Final answer.

    def _refusal_after(self, last: Outcome | None, refusal: Refusal) -> Refusal:
        """Return why the request is refused if no other endpoint has room after the last send."""
        if isinstance(last, Failed) and last.unreachable:
            return refusal._replace(reason=RefusalReason.UNREACHABLE)
        return refusal

    def _finish(self, last: Outcome | None, refusal: Refusal | None) -> Answer:
        """Return the last answer of an endpoint, if any; else an error or a refusal."""
        if self._answer is not None:
            return self._finish_served(self._answer.answer)
        return self._finish_unserved(last, refusal)

    def _finish_served(self, answer: Answer) -> Answer:
        context, now = self._context, self._now()
        context.retry_after_policy(self._call.service).record(False)
        context.metrics.count("complete")
        context.metrics.observe(self._call.service, now - self._call.arrived)
        context.records.served(self._call, answer.status, self._sends, now, **self._log_fields())
        return answer

    def _finish_refused_by_peer(self, answer: Answer, detail: str) -> Answer:
        """Return the refusal of a gateway that reaches endpoints, with its retry-after time."""
        context, now = self._context, self._now()
        context.retry_after_policy(self._call.service).record(True)
        context.metrics.count("proxied.refused-there")
        context.records.write(
            self._call, "refused", now, detail=detail, sends=self._sends, **self._log_fields()
        )
        context.on_not_run(self._call)
        return answer

    def _finish_unserved(self, last: Outcome | None, refusal: Refusal | None) -> Answer:
        context, now = self._context, self._now()
        if refusal is None or refusal.reason is not RefusalReason.QUARANTINED:
            context.retry_after_policy(self._call.service).record(not self._may_have_run)
        detail = refusal.detail if refusal is not None else getattr(last, "detail", "")
        outcome = "refused"
        if self._may_have_run:
            outcome = "late" if isinstance(last, Failed) and last.late else "failed"
        context.records.write(
            self._call, outcome, now, detail=detail, sends=self._sends, **self._log_fields()
        )
        if not self._may_have_run:
            if self._origin is None:
                context.on_not_run(self._call)
            unreachable = isinstance(last, Failed) and last.unreachable
            reason = RefusalReason.UNREACHABLE if unreachable else RefusalReason.SHED
            refusal = refusal or Refusal(reason, detail)
            wait = context.retry_after_for(self._call, now)
            if refusal.retry_after is None:
                rejected = self._rejected_with_room and refusal.reason is RefusalReason.SHED
                wait = context.queue.retry_after(self._call, self._head.client, rejected, wait)
            return context.refuse(refusal, wait)
        context.metrics.count(outcome)
        if isinstance(self._payload, RequestBody) and self._payload.is_too_large:
            return too_large(detail)
        return deadline_exceeded(detail) if outcome == "late" else failed(detail)

    def _log_fields(self) -> dict[str, str]:
        """Return further log fields: the origin, and what identifies a request that was cut."""
        fields = {} if self._origin is None else {"origin": self._origin.name}
        if self._connection_lost:
            fields |= {"fingerprint": self._fingerprint, "caller": self._head.client}
        return fields

    def _get_fingerprint(self) -> str:
        return self._fingerprint

    @cached_property
    def _fingerprint(self) -> str:
        head, payload = self._head, self._payload
        body = payload if isinstance(payload, bytes) else payload.announced_size
        return fingerprint(head.method, self._call.target, head.headers, body)
