"""From a call to its answer: choosing, sending, repeating where that is harmless.

A refusal (not run) is given only while no endpoint can have run the request: nothing was sent, or
every endpoint that got it has definitely refused it.
"""

import random
import typing as t
from collections.abc import Callable, Sequence
from datetime import timedelta
from http import HTTPStatus

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import (
    Answer,
    RequestHead,
    Source,
    complete,
    end_to_end,
    failed,
    late,
    to_answer,
    with_fractions,
)
from cardamomloft.core.budgets import RetryBudget
from cardamomloft.core.clock import Clock
from cardamomloft.core.comeback import ComeBack, Waits
from cardamomloft.core.estimates import expected_load
from cardamomloft.core.model import Endpoint, Refusal, RefusalReason
from cardamomloft.core.registrations import LoadReport, Upstream, UpstreamBook
from cardamomloft.core.retries import may_retry
from cardamomloft.core.selection import Choice, Reason, Selector
from cardamomloft.core.touches import Touch
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.records import RequestLog, SendNote
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.client import (
    SendFailure,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from cardamomloft.upstreams.dialect import HeaderLoad, parse_header_load
from expression import Result
from twisted.internet.defer import CancelledError, Deferred, TimeoutError, ensureDeferred

WHOLE_BODY = 1024 * 1024
"""Bytes up to which a request's body is held, so that it can be sent again after a refusal."""

WHOLE_ANSWER = 256 * 1024
"""Bytes up to which an answer is held until it is whole, so that one cut short can be repeated."""

MAX_SENDS = 4
"""Endpoints tried for one request, connections that failed included."""

LEAST_TIME = timedelta(milliseconds=5)
"""With less time than this left nothing is sent: it would end while its connection is opened."""

_UNBOUNDED = timedelta(minutes=1)
"""Time left of a caller whose deadline was not read, since this entry has not begun or stops."""


PROMISES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses by which callers take a request as not run and repeat it, whatever it does.

An endpoint that gives one without its definite mark may have run the request.
"""


class Served(t.NamedTuple):
    """An endpoint's answer; `faulty` if it says that the endpoint itself has failed."""

    answer: Answer
    faulty: bool = False


class Refused(t.NamedTuple):
    """The endpoint has definitely refused the request; it was not run.

    `had_room`: it reported a free slot with the refusal.
    """

    detail: str
    misdirected: bool
    had_room: bool = False


class Failed(t.NamedTuple):
    """There is no whole answer; `not_run` only if nothing was sent."""

    not_run: bool
    detail: str
    late: bool


Sent = Served | Refused | Failed


class Caller:
    """Whether the caller still waits: its request is not sent on after it has left."""

    def __init__(self) -> None:
        self.left = False


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
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        rng: random.Random,
        selector: Selector,
        book: UpstreamBook,
        client: UpstreamClient,
        budget_for: Callable[[str], RetryBudget],
        metrics: Metrics,
        records: RequestLog,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._selector = selector
        self._book = book
        self._client = client
        self._budget_for = budget_for
        self._metrics = metrics
        self._records = records
        self._returns: dict[str, ComeBack] = {}

    async def carry(
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
        payload = await self._payload(body, call.until)
        if isinstance(payload, Refusal):
            self._records.write(call, "refused", self._clock.monotonic(), detail=payload.detail)
            return self.refuse(payload)
        size = len(payload) if isinstance(payload, bytes) else t.cast(int, payload.length)
        self._selector.sizes.note(call.rule.name, size)
        return await _Passage(self, call, head, payload, caller).run()

    def left(self, call: Call, sends: Sequence[SendNote]) -> Answer:
        """Return an answer for nobody, after logging that the caller has left."""
        self._metrics.count("caller-left")
        self._records.write(call, "caller-left", self._clock.monotonic(), sends=sends)
        return failed("the caller has left")

    async def _payload(self, body: RequestBody, until: timedelta) -> bytes | RequestBody | Refusal:
        """Hold bodies whole so that they can be sent again; leave very large ones to stream."""
        if body.length == 0:
            return b""
        if isinstance(body.length, int) and body.length > WHOLE_BODY:
            return body
        collected = body.collect(WHOLE_BODY)
        left = max(timedelta(0), until - self._clock.monotonic())
        collected.addTimeout(left.total_seconds(), self._reactor)
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
        self._metrics.count(f"refused.{refusal.reason}")
        if refusal.retry_after is None and refusal.reason not in _FINAL:
            if wait is None:
                wait = ComeBack(Waits()).wait(self._rng.random(), _UNBOUNDED)
            refusal = refusal._replace(retry_after=wait)
        return with_fractions(to_answer(refusal))

    def come_back(self, call: Call, now: timedelta) -> timedelta:
        """Return when the caller of a refused request is to come back."""
        return self._returns_of(call.service).wait(self._rng.random(), call.leaves - now)

    def _returns_of(self, service: str) -> ComeBack:
        returns = self._returns.get(service)
        if returns is None:
            returns = self._returns[service] = ComeBack(Waits())
        return returns


_FINAL = frozenset({RefusalReason.NO_SERVICE, RefusalReason.BAD_REQUEST, RefusalReason.TOO_LARGE})


class _Passage:
    """One request on its way: what was tried, and what that proves."""

    def __init__(
        self,
        owner: Forwarder,
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
        self._budget = owner._budget_for(call.service)
        self._selector = owner._selector

    async def run(self) -> Answer:
        """Send until there is an answer or nothing more may be tried."""
        self._budget.on_request(self._now())
        last: Sent | None = None
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

    def _is_final(self, outcome: Sent) -> bool:
        if isinstance(outcome, Served) and not outcome.faulty:
            return True
        return not self._may_repeat(outcome)

    def _now(self) -> timedelta:
        return self._owner._clock.monotonic()

    def _choose(self) -> Choice | Refusal:
        call, now = self._call, self._now()
        if call.until - now < LEAST_TIME:
            return Refusal(RefusalReason.DEADLINE, "no time is left")
        return self._selector.choose(
            call.rule, call.service, call.key, self._tried, call.until, now
        )

    # Sending.

    async def _send(self, upstream: Upstream, reason: Reason) -> Sent:
        selector, now = self._selector, self._now()
        touch = self._begin_touch(upstream, reason)
        self._tried.append(upstream.id)
        if self._arrivals:
            self._budget.spend(now)
            self._owner._metrics.count("repeats")
        self._arrivals += 1
        load = expected_load(upstream, now)
        report_age = None if upstream.report is None else now - upstream.report.at
        selector.sent(upstream, now)
        try:
            result = await self._owner._client.send(self._request_for(upstream, now))
            outcome = await self._read(upstream, result)
        finally:
            selector.ended(upstream)
        self._learn(upstream, outcome, now, load)
        took = self._now() - now
        self._end_touch(upstream, touch, outcome, took)
        slots = upstream.registration.slots
        note = SendNote(upstream.id, reason, touch, load, slots, report_age, took, outcome)
        self._sends.append(note)
        return outcome

    def _begin_touch(self, upstream: Upstream, reason: Reason) -> Touch:
        owner, call = self._owner, self._call
        touch = Touch.NONE
        if call.rule.keyed:
            touch = owner._selector.touches.look(upstream, call.key)
            owner._selector.touches.sent(upstream, call.key)
        owner._metrics.count(f"sends.{reason}.{call.service}")
        owner._metrics.count(f"touch.{touch}.{call.service}")
        return touch

    def _end_touch(self, upstream: Upstream, touch: Touch, outcome: Sent, took: timedelta) -> None:
        owner, call = self._owner, self._call
        if isinstance(outcome, Served):
            owner._metrics.observe(f"{call.service}.{touch}", took)
        if touch is Touch.NONE:
            return
        if isinstance(outcome, Served):
            owner._selector.touches.answered(upstream, call.key)
        else:
            owner._selector.touches.failed(upstream, call.key)

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
            timeout=call.until - now,
            request_id=call.id,
            idempotent=call.rule.idempotent,
            expected=row.id,
        )

    async def _read(self, upstream: Upstream, result: Result[UpstreamAnswer, SendFailure]) -> Sent:
        match result:
            case Result(tag="error", error=failure):
                return Failed(failure.not_run, failure.detail, self._is_late())
            case Result(ok=answer):
                pass
        load = self._note_load(upstream, answer)
        if answer.not_run:
            answer.body.abort()
            dialect = self._owner._client.dialect
            had_room = load is not None and load.running + load.waiting < load.slots
            misdirected = answer.status == dialect.misdirected
            return Refused(f"status {answer.status}", misdirected, had_room)
        if answer.status in PROMISES:
            answer.body.abort()
            detail = f"status {answer.status} without a proof that it was not run"
            return Failed(False, detail, self._is_late())
        headers, faulty = _for_caller(answer), answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if answer.length is not None and answer.length > WHOLE_ANSWER:
            return Served(complete(answer.status, headers, t.cast(Source, answer.body)))
        match await answer.body.collect(WHOLE_ANSWER):
            case Result(tag="ok", ok=content):
                return Served(complete(answer.status, headers, content), faulty)
            case Result(error=detail):
                return Failed(False, detail, self._is_late())

    def _is_late(self) -> bool:
        return self._call.until - self._now() < LEAST_TIME

    # Learning.

    def _note_load(self, upstream: Upstream, answer: UpstreamAnswer) -> HeaderLoad | None:
        name = self._owner._client.dialect.load
        text = next((value for key, value in answer.headers if key == name), None)
        load = parse_header_load(text)
        if load is not None:
            # This request is still counted here, and not by the endpoint any more.
            own = max(0, upstream.in_flight - 1)
            report = LoadReport(*load, own=own, at=self._now())
            self._selector.reported(upstream, report)
        return load

    def _learn(self, upstream: Upstream, outcome: Sent, sent_at: timedelta, load: float) -> None:
        now = self._now()
        match outcome:
            case Served(faulty=True):
                self._ran = True
                self._selector.failed(upstream, now)
            case Served():
                self._selector.answered(upstream, now - sent_at, load)
            case Refused(misdirected=True):
                self._owner._book.mark_leaving(upstream)
                self._owner._records.write(self._call, "misdirected", now, upstream=upstream)
            case Refused(had_room=had_room):
                self._owner._metrics.count(f"refused-there.{'with-room' if had_room else 'full'}")
                self._selector.refused(upstream, now, had_room=had_room)
            case Failed() if self._caller.left:
                # The send was given up here; it says nothing about the endpoint.
                self._ran = True
            case Failed():
                self._arrivals -= outcome.not_run
                self._ran = self._ran or not outcome.not_run
                self._selector.failed(upstream, now)

    def _may_repeat(self, outcome: Sent) -> bool:
        not_run = isinstance(outcome, Refused) or (isinstance(outcome, Failed) and outcome.not_run)
        if not isinstance(self._payload, bytes) and not self._payload.untouched:
            return False
        call, now = self._call, self._now()
        attempts = min(call.rule.attempts - self._arrivals, MAX_SENDS - len(self._tried))
        harmless = may_retry(call.rule.idempotent, not_run, attempts, call.until - now, LEAST_TIME)
        entries = self._selector.entries
        return harmless and (not self._arrivals or self._budget.may_repeat(entries, now))

    # The end.

    def _end(self, last: Sent | None, refusal: Refusal | None) -> Answer:
        """Return the last answer that an endpoint gave, if any; else what nothing came of."""
        if self._answer is not None:
            return self._served(self._answer)
        return self._give_up(last, refusal)

    def _served(self, outcome: Served) -> Answer:
        owner, now = self._owner, self._now()
        owner._returns_of(self._call.service).note(False)
        owner._metrics.count("complete")
        owner._metrics.observe(self._call.service, now - self._call.arrived)
        owner._records.served(self._call, outcome.answer.status, self._sends, now)
        return outcome.answer

    def _give_up(self, last: Sent | None, refusal: Refusal | None) -> Answer:
        owner, now = self._owner, self._now()
        owner._returns_of(self._call.service).note(not self._ran)
        detail = refusal.detail if refusal is not None else getattr(last, "detail", "")
        outcome = "refused"
        if self._ran:
            outcome = "late" if isinstance(last, Failed) and last.late else "failed"
        owner._records.write(self._call, outcome, now, detail=detail, sends=self._sends)
        if not self._ran:
            refusal = refusal or Refusal(RefusalReason.SHED, detail)
            return owner.refuse(refusal, owner.come_back(self._call, now))
        owner._metrics.count(outcome)
        return late(detail) if outcome == "late" else failed(detail)


def _for_caller(answer: UpstreamAnswer) -> tuple[tuple[str, str], ...]:
    headers = tuple(pair for pair in end_to_end(answer.headers) if pair[0] != "content-length")
    if answer.length is None:
        return headers
    return (*headers, ("content-length", str(answer.length)))
