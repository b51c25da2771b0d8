"""One exchange with an upstream endpoint, from connecting to the last byte of the answer."""

import typing as t
from datetime import timedelta

from cardamomloft.runtime.answers.grammar import MalformedAnswerError
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.interfaces import IDelayedCall
from twisted.python.failure import Failure
from twisted.web._newclient import RequestNotSent
from twisted.web.client import Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer, IResponse

from .body import AnswerBody, BytesProducer
from .dialect import DEADLINE_HEADER, REQUEST_ID_HEADER, Dialect
from .observers import ConnectionFailure
from .pool import Attempt
from .sends import EndedBy, SendFailure, UpstreamAnswer, UpstreamRequest

if t.TYPE_CHECKING:
    from .client import UpstreamClient

READ_DELAY_S = 0.02
"""Time after a timer in which a connection that is already established is still noticed."""

# Headers that the client sets itself: framing of the body, request id and deadline.
_OWN_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "transfer-encoding",
        REQUEST_ID_HEADER,
        DEADLINE_HEADER,
    }
)


class Exchange:
    """One exchange with an upstream, from connecting to the last byte of the answer."""

    def __init__(self, client: "UpstreamClient", req: UpstreamRequest) -> None:
        self.result: Deferred[Result[UpstreamAnswer, SendFailure]] = Deferred(self._cancelled)
        self.address = req.endpoint.address
        self._client = client
        self._req = req
        self._settled = False
        self._body: AnswerBody | None = None
        self._abort_detail: str | None = None
        self._dialect = client.dialect
        fresh = req.new_connection or not (req.idempotent or self._dialect.reuse_always)
        self._slow = False
        self._patience_timer: IDelayedCall | None = None
        self._started_at = client.reactor.seconds()
        self._sent_at: float | None = None
        self._ended_by = EndedBy.CONNECTION
        target = req.path.encode("latin-1")
        self._attempt = Attempt(
            client.pool,
            fresh=fresh,
            on_connected=self._connected,
            target=target,
            request_id=req.request_id,
        )
        self._waits = True
        self._freed = False
        self._ended = False
        client.in_flight[req.endpoint.address] += 1
        client.exchanges.add(self)
        client.observers.sent(self.address)
        self._timer = client.reactor.callLater(req.timeout.total_seconds(), self._timed_out)
        agent = Agent.usingEndpointFactory(client.reactor, client.endpoints, self._attempt)
        self._pending = maybeDeferred(
            agent.request,
            req.method.encode("latin-1"),
            f"http://{req.endpoint.address}/".encode("latin-1"),
            _headers_for(req, self._dialect),
            _producer_for(req.body),
        )
        self._pending.addCallbacks(self._answered, self._failed)
        self._pending.addErrback(self._handler_failed)
        if req.patience is not None and self._attempt.connection is None and not self._settled:
            self._patience_timer = client.reactor.callLater(
                req.patience.total_seconds(), self._lose_patience
            )

    @property
    def is_awaited(self) -> bool:
        """Whether no answer has begun."""
        return self._waits

    @property
    def is_sent(self) -> bool:
        """Whether the endpoint may have got the request."""
        return self._attempt.connection is not None

    @property
    def may_suspect(self) -> bool:
        """Whether the request was sent, and its user wants to know of suspicions."""
        return self.is_sent and self._req.on_suspected is not None

    def suspect(self, evidence: str) -> None:
        """Tell the user that the request seems to be in vain."""
        if self._waits and self._req.on_suspected is not None:
            self._req.on_suspected(evidence)

    def abort(self, detail: str) -> None:
        """End the exchange without an answer, so that the request can be sent elsewhere."""
        self._freed = True
        self._abort(detail, EndedBy.SUSPICION)

    def _connected(self, new: bool) -> None:
        self._sent_at = self._client.reactor.seconds()
        if new:
            took = timedelta(seconds=self._sent_at - self._started_at)
            self._client.observers.connected(self.address, took)

    def _lose_patience(self) -> None:
        """Wait once more until sockets are read: timers run before, also after a suspension."""
        self._patience_timer = self._client.reactor.callLater(READ_DELAY_S, self._abort_slow)

    def _abort_slow(self) -> None:
        if self._attempt.connection is None and self._body is None and not self._settled:
            self._slow = True
            self.abort("no connection was established in time")

    def _end_wait(self) -> None:
        if self._waits:
            self._waits = False
            self._client.observers.ended(self.address)

    def _answered(self, response: IResponse) -> None:
        self._client.observers.answered(self.address)
        self._end_wait()
        headers = _headers_of(response)
        body = AnswerBody(response, self._attempt.abort, self._end, self._closed_cleanly)
        rejection = self._rejection(response.code, headers)
        if rejection is not None:
            body.abort()
            self._settle(Error(rejection))
            return
        not_run = _value_of(headers, self._dialect.not_run)
        refused = self._dialect.is_refusal(response.code, not_run)
        length = None if response.length is UNKNOWN_LENGTH else response.length
        self._body = body
        self._settle(Ok(UpstreamAnswer(response.code, headers, length, refused, body)))

    def _rejection(self, status: int, headers: tuple[tuple[str, str], ...]) -> SendFailure | None:
        """Return the failure if an answer is not that of the endpoint to this request."""
        echoed = _value_of(headers, self._dialect.request_id)
        if echoed is not None and echoed != self._req.request_id:
            detail = f"answer to another request: {echoed}"
            return SendFailure(False, detail, ended_by=EndedBy.ANSWER, held=self._held())
        name = self._dialect.signature
        if self._dialect.is_unsigned(status, _value_of(headers, name)):
            detail = f"status {status} without {name}"
            return SendFailure(False, detail, ended_by=EndedBy.MALFORMED, held=self._held())
        return None

    def _failed(self, failure: Failure) -> None:
        not_run = self._attempt.connection is None or bool(failure.check(RequestNotSent))
        detail = self._abort_detail or describe(failure)
        cut = not (not_run or self._abort_detail) and _is_connection_loss(failure)
        if not self._abort_detail and _root_cause(failure).check(MalformedAnswerError):
            self._ended_by = EndedBy.MALFORMED
        reason = self._failure_reason(failure, cut)
        if reason is not None:
            self._client.observers.failed(self.address, reason)
        self._end_wait()
        self._end()
        ended_here = self._abort_detail is not None and not self._freed
        unreachable = self._attempt.connection is None and not ended_here
        held = None if not_run else self._held()
        outcome = SendFailure(not_run, detail, cut, unreachable, self._ended_by, held)
        try:
            self._attempt.abort()
        finally:
            self._settle(Error(outcome))

    def _handler_failed(self, failure: Failure) -> None:
        """Settle the exchange after an exception in its own handlers, which nobody else sees."""
        self._client.report_fault(self._req.request_id, failure)
        self._end_wait()
        self._end()
        not_run = self._attempt.connection is None
        detail = f"internal error: {describe(failure)}"
        try:
            self._attempt.abort()
        except Exception:
            self._client.report_fault(self._req.request_id, Failure())
        finally:
            self._settle(Error(SendFailure(not_run, detail, ended_by=self._ended_by)))

    def _held(self) -> timedelta | None:
        if self._sent_at is None:
            return None
        return timedelta(seconds=self._client.reactor.seconds() - self._sent_at)

    def _failure_reason(self, failure: Failure, cut: bool) -> ConnectionFailure | None:
        """Return why there is no answer if a connection is the reason."""
        if self._slow:
            return ConnectionFailure.SLOW
        if cut:
            return ConnectionFailure.LOST
        if self._attempt.connection is not None or self._abort_detail:
            return None
        timed_out = failure.check(ConnectTimeout) is not None
        return ConnectionFailure.TIMEOUT if timed_out else ConnectionFailure.REFUSED

    def _closed_cleanly(self) -> bool:
        conn = self._attempt.connection
        return self._dialect.close_ends_body and conn is not None and conn.closed_cleanly

    def _timed_out(self) -> None:
        self._abort("deadline passed", EndedBy.DEADLINE)

    def _cancelled(self, _: object) -> None:
        self._abort("cancelled", EndedBy.CALLER)

    def _abort(self, detail: str, ended_by: EndedBy) -> None:
        try:
            if self._body is not None and ended_by is EndedBy.DEADLINE:
                self._body.expire(detail)
            elif self._body is not None:
                self._body.abort(detail)
            else:
                self._abort_detail, self._ended_by = detail, ended_by
                self._pending.cancel()
        except Exception:
            # The caller is a timer, or another exchange.
            self._handler_failed(Failure())

    def _end(self) -> None:
        """Cancel the timers and give back what the exchange holds, the first time."""
        if self._ended:
            return
        self._ended = True
        for timer in (self._timer, self._patience_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._client.exchanges.discard(self)
        address = self._req.endpoint.address
        self._client.in_flight[address] -= 1
        if not self._client.in_flight[address]:
            del self._client.in_flight[address]

    def _settle(self, outcome: Result[UpstreamAnswer, SendFailure]) -> None:
        if not self._settled:
            self._settled = True
            self.result.callback(outcome)


def _headers_for(req: UpstreamRequest, dialect: Dialect) -> Headers:
    headers = Headers()
    replaced = _OWN_HEADERS | {dialect.request_id, dialect.deadline_ms, dialect.expected}
    for name, value in req.headers:
        if name.lower() not in replaced:
            headers.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
    remaining_ms = max(1, req.timeout // timedelta(milliseconds=1))
    headers.setRawHeaders(dialect.request_id, [req.request_id])
    headers.setRawHeaders(dialect.deadline_ms, [str(remaining_ms)])
    if dialect.expected is not None and req.expected is not None:
        headers.setRawHeaders(dialect.expected, [req.expected])
    return headers


def _producer_for(body: IBodyProducer | bytes | None) -> IBodyProducer | None:
    if isinstance(body, bytes):
        return BytesProducer(body) if body else None
    return None if body is None or body.length == 0 else body


def _headers_of(response: IResponse) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    )


def _value_of(headers: tuple[tuple[str, str], ...], wanted: str | None) -> str | None:
    return next((value for name, value in headers if name == wanted), None)


def describe(failure: Failure) -> str:
    """Return the name and the message of the first cause of a failure."""
    inner = _root_cause(failure)
    return f"{inner.type.__name__}: {inner.getErrorMessage()}"


def _is_connection_loss(failure: Failure) -> bool:
    return bool(_root_cause(failure).check(ConnectionDone, ConnectionLost))


def _root_cause(failure: Failure) -> Failure:
    reasons = getattr(failure.value, "reasons", None)
    return reasons[0] if reasons else failure
