"""Forwards callers' requests to upstreams: classification, dispatch, streaming and retries.

Every request gets exactly one answer. It is refused only if it provably has not run. A request that
is not idempotent is never resent once its first byte may have been sent.
"""

import ipaddress
import itertools
import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import (
    Answer,
    Delivery,
    RequestHead,
    complete,
    end_to_end,
    failed,
    to_answer,
)
from cardamomloft.core.clock import Clock
from cardamomloft.core.ledger import AnswerNotKept, KeptAnswer
from cardamomloft.core.model import Refusal, RefusalReason, Request, Unknown
from cardamomloft.core.rates import Pacer
from cardamomloft.core.router import Dispatch, Dropped, Router, Waiting
from cardamomloft.entry.pacing import PacedBody, PacedConsumer
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.dialect import REQUEST_ID_HEADER
from cardamomloft.upstreams.sends import SendFailure, UpstreamAnswer, UpstreamRequest
from expression import Error, Ok, Result
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import IBodyProducer

MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_OPERATION_BODY_BYTES = 1024 * 1024
MAX_OPERATION_ANSWER_BYTES = 8 * 1024 * 1024
CANCEL_ATTEMPTS = 3
DEADLINE_MARGIN = timedelta(milliseconds=500)

_ZERO = timedelta(0)
_NOT_RETURNED = frozenset({REQUEST_ID_HEADER, "content-length"})
_NOT_FORWARDED = frozenset({"host", "content-length", "x-client", "x-forwarded-by"})


class Payload(t.NamedTuple):
    """A request's body: buffered in memory, or a stream that can be read only once."""

    buffered: bytes | None
    stream: RequestBody | None

    @property
    def resendable(self) -> bool:
        """Whether the body can be sent again."""
        return self.buffered is not None or (self.stream is not None and self.stream.unconsumed)


class Caller:
    """Connection state of a caller; a request is not retried after its caller disconnected."""

    def __init__(self) -> None:
        self.disconnected = False


class Exchange(t.NamedTuple):
    """An upstream's answer whose body has not been read, and the dispatch that it belongs to."""

    answer: UpstreamAnswer
    dispatch: Dispatch


class Forwarder:
    """Forwards the requests of one entry.

    Parameters
    ----------
    reactor
        Runs the timers.
    clock
        Source of time.
    router
        Chooses endpoints, queues and refuses requests.
    client
        Sends requests to upstreams.
    metrics
        Receives counters and latencies.
    pacer
        Limits streams to this entry's shares of the links' rates.
    name
        Prefix of request ids; unique to this process.
    on_queued
        Called in the next turn of the event loop after a request was queued.

    Attributes
    ----------
    pending_cancellations
        Number of dispatches whose slot is held until the upstream has stopped the request.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        router: Router,
        client: UpstreamClient,
        metrics: Metrics,
        pacer: Pacer,
        name: str,
        on_queued: Callable[[], None] = lambda: None,
    ) -> None:
        self._reactor = reactor
        self.pacer = pacer
        self._on_queued = on_queued
        self._clock = clock
        self._router = router
        self._client = client
        self._metrics = metrics
        self._name = name
        self._queued: dict[int, Deferred[Result[Dispatch, Refusal]]] = {}
        self._numbers = itertools.count(1)
        self._pump_scheduled = False
        self.pending_cancellations = 0

    def classify(self, head: RequestHead) -> Result[Request, Refusal]:
        """Parse a request head; return the request, or why it is refused."""
        if self._router.classifier is None:
            return Error(Refusal(RefusalReason.NOT_READY, "no configuration yet"))
        headers = dict(head.headers)
        path = head.full_path
        client = _ipv4_number(headers.get("x-client", head.client))
        return self._router.classifier.classify(
            head.method, path, headers, client, self._clock.monotonic(), self._router.zone
        )

    def pump(self) -> None:
        """Resume the queued requests that have a dispatch or a refusal now."""
        for item in self._router.pump():
            waiting = self._queued.pop(item.ticket.number, None)
            if isinstance(item, Dropped):
                if waiting is not None:
                    waiting.callback(Error(item.refusal))
            elif waiting is None:
                self._finish(item, ok=False, latency=None)
            else:
                waiting.callback(Ok(item))

    async def stream(
        self, req: Request, head: RequestHead, body: RequestBody, gone: "Deferred[None]"
    ) -> Answer:
        """Answer a request that runs without the ledger, streaming the bodies both ways.

        `gone` fires when the caller disconnects; the attempt in progress is then cancelled.
        """
        payload = await self._payload(body)
        if isinstance(payload, Refusal):
            return to_answer(payload)
        caller = Caller()
        attempt = ensureDeferred(self._run(req, head, payload, caller))

        def on_disconnect(_: None) -> None:
            caller.disconnected = True
            attempt.cancel()

        gone.addCallback(on_disconnect)
        try:
            outcome = await attempt
        except CancelledError:
            outcome = SendFailure(False, "cancelled")
        if caller.disconnected:
            self._metrics.count("caller-left")
            if isinstance(outcome, Exchange):
                _AnswerSource(self, outcome.answer, outcome.dispatch).abort()
            return failed("the caller has disconnected")
        return self._to_counted_answer(req, outcome, body)

    def _to_counted_answer(
        self,
        req: Request,
        outcome: Exchange | Refusal | Unknown | SendFailure,
        body: RequestBody,
    ) -> Answer:
        match outcome:
            case Refusal():
                self._metrics.count(f"refused.{outcome.reason}")
                return to_answer(outcome)
            case Unknown():
                self._metrics.count("unknown")
                return to_answer(outcome)
            case SendFailure():
                self._metrics.count("failed")
                if body.failure is not None and outcome.not_run:
                    return to_answer(Refusal(RefusalReason.BAD_REQUEST, body.failure))
                return failed(body.failure or outcome.detail)
            case Exchange(answer, dispatch):
                self._metrics.count("complete")
                source = _AnswerSource(self, answer, dispatch)
                return complete(answer.status, _headers_for_caller(answer), source)

    async def collect(
        self, req: Request, head: RequestHead, body: bytes
    ) -> KeptAnswer | AnswerNotKept | Refusal | Unknown:
        """Run a request with an operation id and return its complete answer.

        The run continues after the caller has disconnected, since duplicates need its answer.
        """
        outcome = await self._run(req, head, Payload(body, None), Caller())
        match outcome:
            case SendFailure():
                return Unknown(outcome.detail)
            case Exchange(answer, dispatch):
                pass
            case _:
                return outcome
        collected = await answer.body.collect(MAX_OPERATION_ANSWER_BYTES)
        match collected:
            case Result(tag="ok", ok=content):
                self._record_completion(dispatch, answer)
                return KeptAnswer(answer.status, _headers_for_caller(answer), content)
            case Result(error=detail):
                self._cancel(dispatch)
                return Unknown(f"the upstream's answer is incomplete: {detail}")

    async def _payload(self, body: RequestBody) -> Payload | Refusal:
        """Buffer a small body, so that it can be resent; stream any other."""
        if body.length == 0:
            return Payload(b"", None)
        if not isinstance(body.length, int) or body.length > MAX_BUFFERED_BODY_BYTES:
            return Payload(None, body)
        match await body.collect(MAX_BUFFERED_BODY_BYTES):
            case Result(tag="ok", ok=content):
                return Payload(content, None)
            case Result(error=detail):
                return Refusal(RefusalReason.BAD_REQUEST, detail)

    async def _run(
        self, req: Request, head: RequestHead, payload: Payload, caller: "Caller"
    ) -> Exchange | Refusal | Unknown | SendFailure:
        """Dispatch and send until there is an answer or no further retry is allowed."""
        decision = self._router.submit(req)
        while True:
            match await self._wait_for_dispatch(decision):
                case Result(tag="error", error=refusal):
                    return refusal
                case Result(ok=dispatch):
                    result = await self._send(dispatch, head, payload)
            match result:
                case Exchange():
                    return result
                case SendFailure(not_run, detail):
                    refusal = Refusal(RefusalReason.UNREACHABLE, detail, timedelta(seconds=1))
                case Refusal():
                    not_run, refusal = True, result
            decision = Error(refusal)
            if payload.resendable and not caller.disconnected:
                decision = self._router.retry(dispatch, not_run=not_run, refusal=refusal)
            if decision.is_ok():
                self._metrics.count("retries")
            elif not not_run:
                return result if req.idempotent else Unknown(refusal.detail)

    async def _wait_for_dispatch(
        self, decision: Result[Dispatch | Waiting, Refusal]
    ) -> Result[Dispatch, Refusal]:
        match decision:
            case Result(tag="ok", ok=Waiting(ticket)):
                waiting: Deferred[Result[Dispatch, Refusal]] = Deferred(
                    lambda _: self._leave_queue(ticket.number)
                )
                self._queued[ticket.number] = waiting
                # Queueing may have displaced another request, which is to be refused, and the
                # limits may be able to borrow a slot.
                if not self._pump_scheduled:
                    self._pump_scheduled = True
                    self._reactor.callLater(0, self._after_queueing)
                return await waiting
            case _:
                return t.cast("Result[Dispatch, Refusal]", decision)

    def _after_queueing(self) -> None:
        self._pump_scheduled = False
        self._on_queued()
        self.pump()

    def _leave_queue(self, number: int) -> None:
        self._queued.pop(number, None)
        self._router.cancel(number)

    async def _send(
        self, dispatch: Dispatch, head: RequestHead, payload: Payload
    ) -> Exchange | Refusal | SendFailure:
        req = dispatch.ticket.req
        sent = self._client.send(
            UpstreamRequest(
                endpoint=dispatch.endpoint,
                method=head.method,
                path=req.path,
                headers=tuple(h for h in head.headers if h[0] not in _NOT_FORWARDED),
                body=self._body_for(dispatch, payload),
                timeout=req.deadline - self._clock.monotonic(),
                request_id=self._request_id(dispatch),
                idempotent=req.idempotent,
            )
        )
        try:
            result = await sent
        except CancelledError:
            self._cancel(dispatch)
            raise
        match result:
            case Result(tag="ok", ok=answer) if answer.not_run:
                answer.body.abort()
                self._finish(dispatch, ok=False, latency=None)
                self._router.steering.on_shed(dispatch.endpoint.name)
                self._metrics.count("shed")
                return Refusal(RefusalReason.SHED, "the upstream refused", timedelta(seconds=1))
            case Result(tag="ok", ok=answer):
                return Exchange(answer, dispatch)
            case Result(error=failure):
                if failure.not_run:
                    self._finish(dispatch, ok=False, latency=self._elapsed(dispatch))
                else:
                    self._cancel(dispatch)
                return failure

    def _body_for(self, dispatch: Dispatch, payload: Payload) -> IBodyProducer | bytes:
        if payload.stream is None:
            return payload.buffered or b""
        link = self._router.link_limit_key(dispatch.endpoint)
        if link is None:
            return payload.stream
        return PacedBody(self._reactor, self.pacer, link, payload.stream)

    def paced_consumer(self, dispatch: Dispatch, consumer: IConsumer) -> PacedConsumer | None:
        """Return a consumer that paces the answer, or None if the link has no rate limit."""
        link = self._router.link_limit_key(dispatch.endpoint)
        return None if link is None else PacedConsumer(self._reactor, self.pacer, link, consumer)

    def _record_completion(self, dispatch: Dispatch, answer: UpstreamAnswer) -> None:
        elapsed = self._elapsed(dispatch)
        self._metrics.observe(dispatch.ticket.req.service, elapsed)
        self._finish(dispatch, ok=answer.status < 500, latency=elapsed)

    def _finish(self, dispatch: Dispatch, *, ok: bool, latency: timedelta | None) -> None:
        self._router.finish(dispatch, ok=ok, latency=latency)
        self.pump()

    def _cancel(self, dispatch: Dispatch) -> None:
        """Cancel the request; its slot stays in use until the upstream has confirmed the end."""
        self.pending_cancellations += 1
        ensureDeferred(self._confirm_cancellation(dispatch)).addBoth(self._cancellation_ended)

    def _cancellation_ended(self, _: object) -> None:
        self.pending_cancellations -= 1

    async def _confirm_cancellation(self, dispatch: Dispatch) -> None:
        for _ in range(CANCEL_ATTEMPTS):
            if await self._client.cancel(dispatch.endpoint, self._request_id(dispatch)):
                break
        else:
            # Without a confirmation the upstream stops at the deadline that it was given.
            remaining = dispatch.ticket.req.deadline + DEADLINE_MARGIN - self._clock.monotonic()
            await self._sleep(max(_ZERO, remaining))
        self._finish(dispatch, ok=False, latency=self._elapsed(dispatch))

    def _sleep(self, duration: timedelta) -> "Deferred[None]":
        done: Deferred[None] = Deferred()
        self._reactor.callLater(duration.total_seconds(), done.callback, None)
        return done

    def _elapsed(self, dispatch: Dispatch) -> timedelta:
        return self._clock.monotonic() - dispatch.started

    def _request_id(self, dispatch: Dispatch) -> str:
        return f"{self._name}-{dispatch.ticket.number}"


class _AnswerSource:
    """The body of an upstream's answer; its end releases the dispatch's slot."""

    def __init__(self, forwarder: Forwarder, answer: UpstreamAnswer, dispatch: Dispatch) -> None:
        self._forwarder = forwarder
        self._answer = answer
        self._dispatch = dispatch
        self._ended = False

    def deliver(self, consumer: IConsumer) -> "Deferred[Delivery]":
        """Write the body to `consumer`, and end the dispatch when that is done."""
        pacing = self._forwarder.paced_consumer(self._dispatch, consumer)
        if pacing is None:
            return self._answer.body.deliver(consumer).addCallback(self._delivered)
        delivered = self._answer.body.deliver(pacing)
        return delivered.addCallback(self._delivered).addCallback(_flush_delivery, pacing)

    def abort(self) -> None:
        """Stop reading; only an answer that has an empty body counts as completed."""
        self._answer.body.abort()
        self._end(self._answer.length == 0)

    def _delivered(self, delivery: t.Any) -> Delivery:
        self._end(delivery.complete)
        return Delivery(*delivery)

    def _end(self, completed: bool) -> None:
        if self._ended:
            return
        self._ended = True
        if completed:
            self._forwarder._record_completion(self._dispatch, self._answer)
        else:
            self._forwarder._cancel(self._dispatch)


def _flush_delivery(delivery: Delivery, pacing: PacedConsumer) -> "Deferred[Delivery]":
    """Return the delivery once its last piece is written; discard what waits if incomplete."""
    if not delivery.complete:
        pacing.drop()

    def after_flush(_: None) -> Delivery:
        if pacing.dropped and delivery.complete:
            return delivery._replace(complete=False, detail="the consumer stopped")
        return delivery

    return pacing.flushed().addCallback(after_flush)


def _headers_for_caller(answer: UpstreamAnswer) -> tuple[tuple[str, str], ...]:
    # The request id identifies one attempt; callers must not see it.
    headers = tuple(h for h in end_to_end(answer.headers) if h[0] not in _NOT_RETURNED)
    if answer.length is None:
        return headers
    return (*headers, ("content-length", str(answer.length)))


def _ipv4_number(text: str) -> int | None:
    try:
        return int(ipaddress.IPv4Address(text))
    except ValueError:
        return None
