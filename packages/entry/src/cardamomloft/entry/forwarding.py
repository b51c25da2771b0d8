"""From a caller's request to its answer: classification, operation ids, dispatch, retries.

Every path ends in exactly one answer. A refusal is given only where the request provably has not
run; after the first byte may have left, a request that is not idempotent is never sent again.
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
from cardamomloft.upstreams.client import (
    SendFailure,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from cardamomloft.upstreams.dialect import REQUEST_ID_HEADER
from expression import Error, Ok, Result
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import IBodyProducer

REPEATABLE_BODY = 64 * 1024
OPERATION_BODY = 1024 * 1024
OPERATION_ANSWER = 8 * 1024 * 1024
CANCEL_TRIES = 3
STOP_MARGIN = timedelta(milliseconds=500)

_ZERO = timedelta(0)
_OWN_TO_ATTEMPT = frozenset({REQUEST_ID_HEADER, "content-length"})
_NOT_FORWARDED = frozenset({"host", "content-length", "x-client", "x-forwarded-by"})


class Payload(t.NamedTuple):
    """A request's body: whole in memory, or a stream that can be sent once."""

    whole: bytes | None
    stream: RequestBody | None

    @property
    def repeatable(self) -> bool:
        """Whether the body could be sent again."""
        return self.whole is not None or (self.stream is not None and self.stream.unconsumed)


class Caller:
    """Whether the caller still waits; a request of one that has left is not tried again."""

    def __init__(self) -> None:
        self.left = False


class Outcome(t.NamedTuple):
    """How an exchange with the upstreams ended, before it is put into words for the caller."""

    answer: UpstreamAnswer
    dispatch: Dispatch


class Forwarder:
    """Carries requests of one entry.

    Parameters
    ----------
    reactor
        For timers.
    clock
        Source of time.
    router
        The decisions.
    client
        Sends to upstreams.
    metrics
        Where counts and latencies go.
    pacer
        Holds streams to the shares of links' rates.
    name
        Prefix of request ids; unique to this process.
    on_queued
        Called soon after a request had to be queued.
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
        self._queue_call = False
        self.lingering = 0

    def classify(self, head: RequestHead) -> Result[Request, Refusal]:
        """Return the request behind a head, or why it is refused."""
        if self._router.classifier is None:
            return Error(Refusal(RefusalReason.NOT_READY, "no configuration yet"))
        headers = dict(head.headers)
        path = f"{head.path}?{head.query}" if head.query else head.path
        client = _client_number(headers.get("x-client", head.client))
        return self._router.classifier.classify(
            head.method, path, headers, client, self._clock.monotonic(), self._router.zone
        )

    def pump(self) -> None:
        """Hand out the dispatches and refusals that queued requests wait for."""
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
        """Answer a request that has no operation id, streaming the bodies both ways."""
        payload = await self._payload(body)
        if isinstance(payload, Refusal):
            return to_answer(payload)
        caller = Caller()
        attempt = ensureDeferred(self._run(req, head, payload, caller))

        def left(_: None) -> None:
            caller.left = True
            attempt.cancel()

        gone.addCallback(left)
        try:
            outcome = await attempt
        except CancelledError:
            outcome = SendFailure(False, "cancelled")
        if caller.left:
            self._metrics.count("caller-left")
            if isinstance(outcome, Outcome):
                _HeldSource(self, outcome.answer, outcome.dispatch).abort()
            return failed("the caller has left")
        return self._in_words(req, outcome, body)

    def _in_words(
        self,
        req: Request,
        outcome: Outcome | Refusal | Unknown | SendFailure,
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
            case Outcome(answer, dispatch):
                self._metrics.count("complete")
                source = _HeldSource(self, answer, dispatch)
                return complete(answer.status, _headers_for_caller(answer), source)

    async def collect(
        self, req: Request, head: RequestHead, whole: bytes
    ) -> KeptAnswer | AnswerNotKept | Refusal | Unknown:
        """Run a request with an operation id and return its whole answer.

        The caller's leaving does not stop it: the answer is kept for the repeat.
        """
        outcome = await self._run(req, head, Payload(whole, None), Caller())
        match outcome:
            case SendFailure():
                return Unknown(outcome.detail)
            case Outcome(answer, dispatch):
                pass
            case _:
                return outcome
        collected = await answer.body.collect(OPERATION_ANSWER)
        match collected:
            case Result(tag="ok", ok=content):
                self._done(dispatch, answer)
                return KeptAnswer(answer.status, _headers_for_caller(answer), content)
            case Result(error=detail):
                self._give_up(dispatch)
                return Unknown(f"the answer was cut short: {detail}")

    async def _payload(self, body: RequestBody) -> Payload | Refusal:
        """Hold small bodies whole so that they can be repeated; leave the others to stream."""
        if body.length == 0:
            return Payload(b"", None)
        if not isinstance(body.length, int) or body.length > REPEATABLE_BODY:
            return Payload(None, body)
        match await body.collect(REPEATABLE_BODY):
            case Result(tag="ok", ok=whole):
                return Payload(whole, None)
            case Result(error=detail):
                return Refusal(RefusalReason.BAD_REQUEST, detail)

    async def _run(
        self, req: Request, head: RequestHead, payload: Payload, caller: "Caller"
    ) -> Outcome | Refusal | Unknown | SendFailure:
        """Dispatch and send until there is an answer, or nothing more may be tried."""
        decision = self._router.submit(req)
        while True:
            match await self._dispatched(decision):
                case Result(tag="error", error=refusal):
                    return refusal
                case Result(ok=dispatch):
                    result = await self._send(dispatch, head, payload)
            match result:
                case Outcome():
                    return result
                case SendFailure(not_run, detail):
                    refusal = Refusal(RefusalReason.UNREACHABLE, detail, timedelta(seconds=1))
                case Refusal():
                    not_run, refusal = True, result
            decision = Error(refusal)
            if payload.repeatable and not caller.left:
                decision = self._router.retry(dispatch, not_run=not_run, refusal=refusal)
            if decision.is_ok():
                self._metrics.count("retries")
            elif not not_run:
                return result if req.idempotent else Unknown(refusal.detail)

    async def _dispatched(
        self, decision: Result[Dispatch | Waiting, Refusal]
    ) -> Result[Dispatch, Refusal]:
        match decision:
            case Result(tag="ok", ok=Waiting(ticket)):
                waiting: Deferred[Result[Dispatch, Refusal]] = Deferred(
                    lambda _: self._leave_queue(ticket.number)
                )
                self._queued[ticket.number] = waiting
                # An arrival may have displaced another, which is told now, and loans may help.
                if not self._queue_call:
                    self._queue_call = True
                    self._reactor.callLater(0, self._after_queueing)
                return await waiting
            case _:
                return t.cast("Result[Dispatch, Refusal]", decision)

    def _after_queueing(self) -> None:
        self._queue_call = False
        self._on_queued()
        self.pump()

    def _leave_queue(self, number: int) -> None:
        self._queued.pop(number, None)
        self._router.cancel(number)

    async def _send(
        self, dispatch: Dispatch, head: RequestHead, payload: Payload
    ) -> Outcome | Refusal | SendFailure:
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
            self._give_up(dispatch)
            raise
        match result:
            case Result(tag="ok", ok=answer) if answer.not_run:
                answer.body.abort()
                self._finish(dispatch, ok=False, latency=None)
                self._router.steering.on_shed(dispatch.endpoint.name)
                self._metrics.count("shed")
                return Refusal(RefusalReason.SHED, "the upstream refused", timedelta(seconds=1))
            case Result(tag="ok", ok=answer):
                return Outcome(answer, dispatch)
            case Result(error=failure):
                if failure.not_run:
                    self._finish(dispatch, ok=False, latency=self._elapsed(dispatch))
                else:
                    self._give_up(dispatch)
                return failure

    def _body_for(self, dispatch: Dispatch, payload: Payload) -> IBodyProducer | bytes:
        if payload.stream is None:
            return payload.whole or b""
        link = self._router.link_limit_key(dispatch.endpoint)
        if link is None:
            return payload.stream
        return PacedBody(self._reactor, self.pacer, link, payload.stream)

    def paced(self, dispatch: Dispatch, consumer: IConsumer) -> PacedConsumer | None:
        """Return a consumer that holds the answer to the link's rate, if the link has one."""
        link = self._router.link_limit_key(dispatch.endpoint)
        return None if link is None else PacedConsumer(self._reactor, self.pacer, link, consumer)

    def _done(self, dispatch: Dispatch, answer: UpstreamAnswer) -> None:
        elapsed = self._elapsed(dispatch)
        self._metrics.observe(dispatch.ticket.req.service, elapsed)
        self._finish(dispatch, ok=answer.status < 500, latency=elapsed)

    def _finish(self, dispatch: Dispatch, *, ok: bool, latency: timedelta | None) -> None:
        self._router.finish(dispatch, ok=ok, latency=latency)
        self.pump()

    def _give_up(self, dispatch: Dispatch) -> None:
        """Keep the holds until the upstream confirms that the request runs no more."""
        self.lingering += 1
        ensureDeferred(self._confirm_stop(dispatch)).addBoth(self._lingered)

    def _lingered(self, _: object) -> None:
        self.lingering -= 1

    async def _confirm_stop(self, dispatch: Dispatch) -> None:
        for _ in range(CANCEL_TRIES):
            if await self._client.cancel(dispatch.endpoint, self._request_id(dispatch)):
                break
        else:
            # The upstream ends at the deadline that it was given.
            left = dispatch.ticket.req.deadline + STOP_MARGIN - self._clock.monotonic()
            await self._sleep(max(_ZERO, left))
        self._finish(dispatch, ok=False, latency=self._elapsed(dispatch))

    def _sleep(self, duration: timedelta) -> "Deferred[None]":
        done: Deferred[None] = Deferred()
        self._reactor.callLater(duration.total_seconds(), done.callback, None)
        return done

    def _elapsed(self, dispatch: Dispatch) -> timedelta:
        return self._clock.monotonic() - dispatch.started

    def _request_id(self, dispatch: Dispatch) -> str:
        return f"{self._name}-{dispatch.ticket.number}"


class _HeldSource:
    """An upstream's body with the holds that end with it."""

    def __init__(self, forwarder: Forwarder, answer: UpstreamAnswer, dispatch: Dispatch) -> None:
        self._forwarder = forwarder
        self._answer = answer
        self._dispatch = dispatch
        self._over = False

    def deliver(self, consumer: IConsumer) -> "Deferred[Delivery]":
        """Write the body to `consumer`; release what the exchange held when it is over."""
        paced = self._forwarder.paced(self._dispatch, consumer)
        if paced is None:
            return self._answer.body.deliver(consumer).addCallback(self._delivered)
        delivered = self._answer.body.deliver(paced)
        return delivered.addCallback(self._delivered).addCallback(_flush, paced)

    def abort(self) -> None:
        """Stop the exchange; a body without bytes to come is simply over."""
        self._answer.body.abort()
        self._end(self._answer.length == 0)

    def _delivered(self, delivery: t.Any) -> Delivery:
        self._end(delivery.complete)
        return Delivery(*delivery)

    def _end(self, whole: bool) -> None:
        if self._over:
            return
        self._over = True
        if whole:
            self._forwarder._done(self._dispatch, self._answer)
        else:
            self._forwarder._give_up(self._dispatch)


def _flush(delivery: Delivery, paced: PacedConsumer) -> "Deferred[Delivery]":
    """Pass the delivery on when its last piece has been sent, or drop the rest of a short one."""
    if not delivery.complete:
        paced.drop()

    def checked(_: None) -> Delivery:
        if paced.dropped and delivery.complete:
            return delivery._replace(complete=False, detail="the consumer stopped")
        return delivery

    return paced.flushed().addCallback(checked)


def _headers_for_caller(answer: UpstreamAnswer) -> tuple[tuple[str, str], ...]:
    # The request id names one attempt between this entry and the upstream only.
    headers = tuple(h for h in end_to_end(answer.headers) if h[0] not in _OWN_TO_ATTEMPT)
    if answer.length is None:
        return headers
    return (*headers, ("content-length", str(answer.length)))


def _client_number(text: str) -> int | None:
    try:
        return int(ipaddress.IPv4Address(text))
    except ValueError:
        return None
