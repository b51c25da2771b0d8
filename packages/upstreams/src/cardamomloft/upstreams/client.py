"""HTTP client that sends requests to upstream endpoints.

A request counts as sent once it has a connection, since bytes may be sent from then on. A failure
before that proves that the request was not run; afterwards only a definite refusal by the upstream
proves it.
"""

import enum
import typing as t
from collections import Counter
from collections.abc import Callable, Container
from datetime import timedelta

from cardamomloft.core.model import Endpoint
from expression import Error, Ok, Result
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from twisted.web._newclient import RequestNotSent
from twisted.web.client import Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer, IResponse

from .body import AnswerBody, BytesProducer
from .connections import CONNECT_TIMEOUT, Attempt, ConnectionPool, NumericEndpoints
from .dialect import DEADLINE_HEADER, REQUEST_ID_HEADER, Dialect
from .hints import UpstreamLoad, confirms_stopped, parse_load
from .observers import ConnectionFailure, LinkObservers

POLL_TIMEOUT = timedelta(milliseconds=500)
CANCEL_TIMEOUT = timedelta(seconds=2)
MAX_IN_FLIGHT_PER_ENDPOINT = 64
READ_DELAY_S = 0.02
"""Time after a timer in which a connection that is already established is still noticed."""

PASSING_INTERVAL_S = 0.05
"""Interval at which a stop checks whether bodies have been passed on, in seconds."""

_CONTROL_BODY_LIMIT = 4096

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
_OWN_DIALECT = Dialect()


class UpstreamRequest(t.NamedTuple):
    """One attempt to run a request at `endpoint`.

    `path` is the request target with its query, as the caller sent it. `timeout` covers the whole
    exchange, until the last byte of the answer was delivered. A request that is not `idempotent`
    gets a new connection unless the dialect allows reuse. `expected` identifies the endpoint
    incarnation that is to run it, if the dialect has a header for that. `new_connection` requires a
    new connection, and `patience` is the time in which it must be established, if that is shorter
    than the time of the client. `on_suspected` is called with the evidence, each time that the
    endpoint seems not to work while its answer is awaited; the exchange goes on.
    """

    endpoint: Endpoint
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: IBodyProducer | bytes | None
    timeout: timedelta
    request_id: str
    idempotent: bool = False
    expected: str | None = None
    new_connection: bool = False
    patience: timedelta | None = None
    on_suspected: Callable[[str], None] | None = None


class UpstreamAnswer(t.NamedTuple):
    """The head of an answer; `body` must be delivered, collected or aborted.

    `length` is the announced size of the body in bytes, or None. `not_run` is True if the upstream
    states that it refused the request without running it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None
    not_run: bool
    body: AnswerBody


class EndedBy(enum.StrEnum):
    """Who ended an exchange that has no answer.

    `CONNECTION`: no connection was established, or it was lost. `DEADLINE`: the time of the request
    was over. `CALLER`: the user of the client cancelled it. `SUSPICION`: the endpoint or the links
    to it seemed not to work, and nothing was sent. `ANSWER`: the answer belonged to another
    request. `OTHER_ATTEMPT`: another attempt of the request was answered.
    """

    CONNECTION = "connection"
    DEADLINE = "deadline"
    CALLER = "caller"
    SUSPICION = "suspicion"
    ANSWER = "answer"
    OTHER_ATTEMPT = "other-attempt"


class SendFailure(t.NamedTuple):
    """The failure of a request without an answer.

    `not_run` is True only if no byte of the request can have been sent. `cut` is True if the
    connection was lost after that and before an answer began, as when the upstream crashes.
    `unreachable` is True if no connection could be established. `held` is the time for which the
    upstream may have had the request, None if it was not sent.
    """

    not_run: bool
    detail: str
    cut: bool = False
    unreachable: bool = False
    ended_by: EndedBy | None = None
    held: timedelta | None = None


class UpstreamClient:
    """HTTP/1.1 client for all upstream endpoints of one entry.

    Parameters
    ----------
    reactor
        The reactor for connections and timeouts.
    max_in_flight
        Maximum number of concurrent requests per endpoint, above which `send` fails as not run.
        It is a safeguard: the endpoint's own limits, which are enforced elsewhere, are lower.
    dialect
        Header names and conventions of the upstreams.
    connect_timeout
        Time in which a connection must be established.

    Attributes
    ----------
    observers : LinkObservers
        Observe whether connections work.
    """

    def __init__(
        self,
        reactor: t.Any,
        *,
        max_in_flight: int = MAX_IN_FLIGHT_PER_ENDPOINT,
        dialect: Dialect = _OWN_DIALECT,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> None:
        self.reactor = reactor
        self.dialect = dialect
        self.observers = LinkObservers()
        self.pool = ConnectionPool(reactor)
        self.endpoints = NumericEndpoints(reactor, connect_timeout)
        self.exchanges: set[_Exchange] = set()
        self.in_flight: Counter[str] = Counter()
        self._max_in_flight = max_in_flight
        self._control_pool = ConnectionPool(reactor)

    def send(self, req: UpstreamRequest) -> "Deferred[Result[UpstreamAnswer, SendFailure]]":
        """Send `req` and return the head of its answer.

        Cancelling the result aborts the request; once the head has arrived, aborting the answer's
        body does. After either one, or a timeout, the upstream may still run the request; `cancel`
        stops it.
        """
        if req.timeout <= timedelta(0):
            return succeed(Error(SendFailure(True, "no time left before the deadline")))
        if self.in_flight[req.endpoint.address] >= self._max_in_flight:
            detail = f"limit of {self._max_in_flight} requests in flight to the endpoint reached"
            return succeed(Error(SendFailure(True, detail)))
        return _Exchange(self, req).result

    def cancel(self, endpoint: Endpoint, request_id: str) -> "Deferred[bool]":
        """Cancel a request; return whether the upstream confirms that it is not running.

        This frees the slot, but the request may already have had an effect.
        """
        path = f"/-/requests/{request_id}"
        body = self._control("DELETE", endpoint, path, CANCEL_TIMEOUT)
        return body.addCallback(lambda raw: raw.is_ok() and confirms_stopped(raw.ok))

    def poll(
        self, endpoint: Endpoint, timeout: timedelta = POLL_TIMEOUT
    ) -> "Deferred[Result[UpstreamLoad, str]]":
        """Fetch the upstream's load report."""
        body = self._control("GET", endpoint, "/-/load", timeout)
        return body.addCallback(lambda raw: raw.bind(parse_load))

    def has_idle(self, address: str) -> bool:
        """Return whether there is an idle connection to `address`."""
        return self.pool.has_idle(address)

    def abort_unsent(self, detail: str, addresses: Container[str] | None = None) -> int:
        """Abort exchanges that have no connection yet; return their number.

        Parameters
        ----------
        detail
            The reason, for the results.
        addresses
            The endpoints concerned, None for all.
        """
        unsent = [one for one in self._awaited(addresses) if not one.is_sent]
        for exchange in unsent:
            exchange.abort(detail)
        return len(unsent)

    def suspect(self, evidence: str, addresses: Container[str] | None = None) -> int:
        """Tell the users of sent exchanges without an answer that these seem to be in vain.

        Parameters
        ----------
        evidence
            What speaks against them.
        addresses
            The endpoints concerned, None for all.

        Returns
        -------
        int
            The number of exchanges whose users were told.
        """
        suspected = [one for one in self._awaited(addresses) if one.may_suspect]
        for exchange in suspected:
            exchange.suspect(evidence)
        return len(suspected)

    def _awaited(self, addresses: Container[str] | None) -> "list[_Exchange]":
        return [
            exchange
            for exchange in self.exchanges
            if exchange.is_awaited and (addresses is None or exchange.address in addresses)
        ]

    def close_idle(self, address: str) -> None:
        """Close the idle connections to `address`, because the upstream there was restarted."""
        self.pool.close_idle(address)
        self._control_pool.close_idle(address)

    async def passed_on(self) -> None:
        """Return once endpoints have received all bodies that they have answered early."""
        while any(conn.is_passing_on() for conn in self.pool.carriers):
            await deferLater(self.reactor, PASSING_INTERVAL_S)

    def close(self) -> "Deferred[None]":
        """Close all idle connections."""
        done = self.pool.closeCachedConnections()
        return done.addCallback(lambda _: self._control_pool.closeCachedConnections())

    def _control(
        self, method: str, endpoint: Endpoint, path: str, timeout: timedelta
    ) -> "Deferred[Result[bytes, str]]":
        """Send a control request; return the body of its answer if the status is 200."""
        attempt = Attempt(self._control_pool, fresh=False)
        http = HTTPClient(Agent.usingEndpointFactory(self.reactor, self.endpoints, attempt))
        url = f"http://{endpoint.address}{path}"
        answered = http.request(
            method, url, reactor=self.reactor, unbuffered=True, allow_redirects=False
        )

        def collect(response: IResponse) -> "Deferred[Result[bytes, str]] | Result[bytes, str]":
            body = AnswerBody(response, attempt.abort)
            if response.code != 200:
                body.abort()
                return Error(f"status {response.code}")
            return body.collect(_CONTROL_BODY_LIMIT)

        answered.addCallback(collect)
        answered.addTimeout(timeout.total_seconds(), self.reactor)
        return answered.addErrback(_control_failure, attempt)


class _Exchange:
    """One exchange with an upstream, from connecting to the last byte of the answer."""

    def __init__(self, client: UpstreamClient, req: UpstreamRequest) -> None:
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
        echoed = _value_of(headers, self._dialect.request_id)
        body = AnswerBody(response, self._attempt.abort, self._end, self._closed_cleanly)
        if echoed is not None and echoed != self._req.request_id:
            body.abort()
            detail = f"answer to another request: {echoed}"
            failure = SendFailure(False, detail, ended_by=EndedBy.ANSWER, held=self._held())
            self._settle(Error(failure))
            return
        not_run = _value_of(headers, self._dialect.not_run)
        refused = self._dialect.is_refusal(response.code, not_run)
        length = None if response.length is UNKNOWN_LENGTH else response.length
        self._body = body
        self._settle(Ok(UpstreamAnswer(response.code, headers, length, refused, body)))

    def _failed(self, failure: Failure) -> None:
        not_run = self._attempt.connection is None or bool(failure.check(RequestNotSent))
        detail = self._abort_detail or _describe(failure)
        cut = not (not_run or self._abort_detail) and _is_connection_loss(failure)
        reason = self._failure_reason(failure, cut)
        if reason is not None:
            self._client.observers.failed(self.address, reason)
        self._end_wait()
        self._attempt.abort()
        self._end()
        ended_here = self._abort_detail is not None and not self._freed
        unreachable = self._attempt.connection is None and not ended_here
        held = None if not_run else self._held()
        self._settle(Error(SendFailure(not_run, detail, cut, unreachable, self._ended_by, held)))

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
        if self._body is not None:
            self._body.abort(detail)
            return
        self._abort_detail, self._ended_by = detail, ended_by
        self._pending.cancel()

    def _end(self) -> None:
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


def _value_of(headers: tuple[tuple[str, str], ...], wanted: str) -> str | None:
    return next((value for name, value in headers if name == wanted), None)


def _describe(failure: Failure) -> str:
    inner = _root_cause(failure)
    return f"{inner.type.__name__}: {inner.getErrorMessage()}"


def _is_connection_loss(failure: Failure) -> bool:
    return bool(_root_cause(failure).check(ConnectionDone, ConnectionLost))


def _root_cause(failure: Failure) -> Failure:
    reasons = getattr(failure.value, "reasons", None)
    return reasons[0] if reasons else failure


def _control_failure(failure: Failure, attempt: Attempt) -> Result[bytes, str]:
    attempt.abort()
    return Error(_describe(failure))
