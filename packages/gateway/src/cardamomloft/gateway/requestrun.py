"""One request on its way: choosing, sending, repeating where that is harmless.

A refusal (not run) is given only while no endpoint can have run the request: nothing was sent, or
every endpoint that got it has definitely refused it.
"""

import typing as t
from datetime import timedelta
from functools import cached_property

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import Answer, RequestHead, deadline_exceeded, failed
from cardamomloft.core.cachestate import CacheState
from cardamomloft.core.estimates import expected_load
from cardamomloft.core.fingerprints import fingerprint
from cardamomloft.core.model import Endpoint, Refusal, RefusalReason
from cardamomloft.core.retries import may_retry
from cardamomloft.core.selection import Choice, Reason
from cardamomloft.core.upstreamtable import LoadReport, Upstream
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.outcomes import (
    Failed,
    Outcome,
    Refused,
    Served,
    Told,
    read_outcome,
    told_by,
)
from cardamomloft.gateway.records import SendNote
from cardamomloft.upstreams.client import SendFailure, UpstreamAnswer, UpstreamRequest
from expression import Result

if t.TYPE_CHECKING:
    from cardamomloft.gateway.forwarding import Forwarder

MAX_SENDS = 4
"""Endpoints tried for one request, connections that failed included."""

LEAST_TIME = timedelta(milliseconds=5)
"""With less time than this left nothing is sent: it would end while its connection is opened."""


class Caller:
    """Whether the caller still waits: its request is not sent on after it has left."""

    def __init__(self) -> None:
        self.left = False


class RequestRun:
    """One request on its way: what was tried, and what that proves."""

    def __init__(
        self,
        owner: "Forwarder",
        call: Call,
        head: RequestHead,
        payload: bytes | RequestBody,
        caller: Caller,
    ) -> None:
        self._owner = owner
        self._call = call
        self._head = head
        self._payload = payload
        self._caller = caller
        self._sends: list[SendNote] = []
        self._tried: list[str] = []
        self._arrivals = 0
        self._ran = False
        self._answer: Served | None = None
        self._was_cut = False
        self._budget = owner.budget_for(call.service)
        self._selector = owner.selector
        self._dialect = owner.client.dialect

    async def run(self) -> Answer:
        """Send until there is an answer or nothing more may be tried."""
        self._budget.on_request(self._now())
        last: Outcome | None = None
        while True:
            chosen = self._choose()
            if not isinstance(chosen, Choice):
                return self._end(last, chosen)
            last = await self._send(chosen.upstream, chosen.reason)
            if self._caller.left:
                return self._owner.left(self._call, self._sends)
            if isinstance(last, Served):
                self._answer = last
            if self._is_final(last):
                return self._end(last, None)

    def _is_final(self, outcome: Outcome) -> bool:
        if isinstance(outcome, Served) and not outcome.faulty:
            return True
        return not self._may_repeat(outcome)

    def _now(self) -> timedelta:
        return self._owner.clock.monotonic()

    def _choose(self) -> Choice | Refusal:
        call, now = self._call, self._now()
        if call.deadline - now < LEAST_TIME:
            return Refusal(RefusalReason.DEADLINE, "no time is left")
        refused_until = self._owner.noticing.refused_until(self._get_fingerprint)
        if refused_until is not None:
            detail = "upstreams crash under this request"
            return Refusal(RefusalReason.QUARANTINED, detail, refused_until - now)
        return self._selector.choose(
            call.rule, call.service, call.key, self._tried, call.deadline, now
        )

    # Sending.

    async def _send(self, upstream: Upstream, reason: Reason) -> Outcome:
        selector, now = self._selector, self._now()
        touch = self._begin_touch(upstream, reason)
        self._tried.append(upstream.id)
        if self._arrivals:
            self._budget.spend(now)
            self._owner.metrics.count("repeats")
        self._arrivals += 1
        load = expected_load(upstream, now)
        report_age = None if upstream.report is None else now - upstream.report.at
        selector.record_sent(upstream, now)
        try:
            result = await self._owner.client.send(self._request_for(upstream, now))
            told = self._heed(upstream, result)
            outcome = await read_outcome(result, told, self._dialect, self._is_late)
        finally:
            selector.record_end(upstream)
        self._learn(upstream, outcome, now, load)
        took = self._now() - now
        self._end_touch(upstream, touch, outcome, took)
        slots = upstream.registration.slots
        note = SendNote(upstream.id, reason, touch, load, slots, report_age, took, outcome, told)
        self._sends.append(note)
        return outcome

    def _begin_touch(self, upstream: Upstream, reason: Reason) -> CacheState:
        owner, call = self._owner, self._call
        touch = CacheState.NONE
        if call.rule.keyed:
            touch = owner.selector.cache_states.state_of(upstream, call.key)
            owner.selector.cache_states.record_sent(upstream, call.key)
        owner.metrics.count(f"sends.{reason}.{call.service}")
        owner.metrics.count(f"touch.{touch}.{call.service}")
        return touch

    def _end_touch(
        self, upstream: Upstream, touch: CacheState, outcome: Outcome, took: timedelta
    ) -> None:
        owner, call = self._owner, self._call
        if isinstance(outcome, Served):
            owner.metrics.observe(f"{call.service}.{touch}", took)
        if touch is CacheState.NONE:
            return
        if isinstance(outcome, Served):
            owner.selector.cache_states.record_answer(upstream, call.key)
        else:
            owner.selector.cache_states.record_failure(upstream, call.key)

    def _request_for(self, upstream: Upstream, now: timedelta) -> UpstreamRequest:
        call, row = self._call, upstream.registration
        endpoint = Endpoint(
            row.id, row.service, row.zone, upstream.region, row.address, row.slots, 0
        )
        return UpstreamRequest(
            endpoint=endpoint,
            method=self._head.method,
            path=call.target,
            headers=self._head.headers,
            body=self._payload,
            timeout=call.deadline - now,
            request_id=call.id,
            idempotent=call.rule.idempotent,
            expected=row.id,
        )

    def _is_late(self) -> bool:
        return self._call.deadline - self._now() < LEAST_TIME

    # Learning.

    def _heed(self, upstream: Upstream, result: Result[UpstreamAnswer, SendFailure]) -> Told:
        """Act on what an endpoint tells of itself, before the rest of its answer is read."""
        if result.is_error():
            return Told()
        told = told_by(result.ok, self._dialect)
        if told.leaving:
            self._owner.noticing.leaving(upstream)
        if told.leave_alone is not None:
            upstream.paused_until = max(upstream.paused_until, self._now() + told.leave_alone)
        if told.load is not None:
            # This request is still counted here, and not by the endpoint any more.
            own = max(0, upstream.in_flight - 1)
            report = LoadReport(*told.load, own=own, at=self._now())
            self._selector.record_report(upstream, report)
        return told

    def _learn(self, upstream: Upstream, outcome: Outcome, sent_at: timedelta, load: float) -> None:
        now = self._now()
        match outcome:
            case Served(faulty=True):
                self._ran = True
                self._selector.record_failure(upstream, now)
                self._owner.noticing.answered(self._get_fingerprint)
            case Served():
                self._owner.noticing.answered(self._get_fingerprint)
                self._selector.record_answer(upstream, now - sent_at, load)
            case Refused(misdirected=True):
                self._owner.book.mark_leaving(upstream)
                self._owner.records.write(self._call, "misdirected", now, upstream=upstream)
            case Refused(had_room=had_room):
                self._owner.metrics.count(f"refused-there.{'with-room' if had_room else 'full'}")
                self._selector.record_refusal(upstream, now, had_room=had_room)
            case Failed() if self._caller.left:
                # The send was given up here; it says nothing about the endpoint.
                self._ran = True
            case Failed():
                self._was_cut = self._was_cut or outcome.cut
                self._arrivals -= outcome.not_run
                self._ran = self._ran or not outcome.not_run
                self._selector.record_failure(upstream, now)
                if outcome.cut:
                    self._owner.noticing.crashed(self._fingerprint, upstream)

    def _may_repeat(self, outcome: Outcome) -> bool:
        not_run = isinstance(outcome, Refused) or (isinstance(outcome, Failed) and outcome.not_run)
        if not isinstance(self._payload, bytes) and not self._payload.unconsumed:
            return False
        call, now = self._call, self._now()
        attempts = min(call.rule.attempts - self._arrivals, MAX_SENDS - len(self._tried))
        harmless = may_retry(
            call.rule.idempotent, not_run, attempts, call.deadline - now, LEAST_TIME
        )
        entries = self._selector.entries
        return harmless and (not self._arrivals or self._budget.may_retry(entries, now))

    # The end.

    def _end(self, last: Outcome | None, refusal: Refusal | None) -> Answer:
        """Return the last answer that an endpoint gave, if any; else what nothing came of."""
        if self._answer is not None:
            return self._served(self._answer)
        return self._give_up(last, refusal)

    def _served(self, outcome: Served) -> Answer:
        owner, now = self._owner, self._now()
        owner.returns_of(self._call.service).note(False)
        owner.metrics.count("complete")
        owner.metrics.observe(self._call.service, now - self._call.arrived)
        status = outcome.answer.status
        owner.records.served(self._call, status, self._sends, now, **self._identity())
        return outcome.answer

    def _give_up(self, last: Outcome | None, refusal: Refusal | None) -> Answer:
        owner, now = self._owner, self._now()
        if refusal is None or refusal.reason is not RefusalReason.QUARANTINED:
            owner.returns_of(self._call.service).note(not self._ran)
        detail = refusal.detail if refusal is not None else getattr(last, "detail", "")
        outcome = "refused"
        if self._ran:
            outcome = "late" if isinstance(last, Failed) and last.late else "failed"
        about = self._identity()
        owner.records.write(self._call, outcome, now, detail=detail, sends=self._sends, **about)
        if not self._ran:
            refusal = refusal or Refusal(RefusalReason.SHED, detail)
            return owner.refuse(refusal, owner.come_back(self._call, now))
        owner.metrics.count(outcome)
        return deadline_exceeded(detail) if outcome == "late" else failed(detail)

    def _identity(self) -> dict[str, str]:
        """Return what shows in the log that a request which was cut off comes again."""
        if not self._was_cut:
            return {}
        return {"fingerprint": self._fingerprint, "caller": self._head.client}

    def _get_fingerprint(self) -> str:
        return self._fingerprint

    @cached_property
    def _fingerprint(self) -> str:
        head, payload = self._head, self._payload
        body = payload if isinstance(payload, bytes) else t.cast(int, payload.length)
        return fingerprint(head.method, self._call.target, head.headers, body)
