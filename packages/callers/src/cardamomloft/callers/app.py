"""The HTTP application for callers: entry look-ups and requests."""

import socket
import typing as t
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus

import msgspec
from cardamomloft.core.model import Refusal, RefusalReason
from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.interfaces import IListeningPort
from twisted.python.failure import Failure
from twisted.web.http import NO_BODY_CODES as NO_BODY
from twisted.web.http import parse_qs

from .body import RequestBody
from .channel import HeadLimits
from .delivery import AnswerWriter
from .exchange import Answer, Delivery, RequestHead, internal_error, to_answer
from .factory import CallerFactory, Meter
from .request import CallerRequest
from .waiting import Waiters

BACKLOG = 1024
"""Connections that may wait to be accepted.

Twisted's default of 50 overflows when all callers reconnect after a restart; the kernel then drops
their SYN packets, which are retransmitted only after a second.
"""

_CLIENT_QUERY = b"client="

SAFE_METHODS = frozenset({"GET", "HEAD"})
"""Safe methods (RFC 9110, section 9.2.1); such requests may be handled concurrently."""


class LookupEntry(t.TypedDict):
    """One entry that the client may connect to."""

    name: str
    address: str


class LookupAnswer(t.TypedDict):
    """The entries that a client should use, and the prefix of its operation ids."""

    site: str
    entries: list[LookupEntry]
    executor: str
    operation_prefix: str
    valid_ms: int
    revision: int


Lookup = Callable[[str], LookupAnswer | Refusal]
Handle = Callable[[RequestHead, RequestBody, "Deferred[None]"], "Deferred[Answer]"]


class CallersApp:
    """Serves callers' look-ups and requests with the functions `lookup` and `handle`.

    Parameters
    ----------
    lookup
        Given a client's IPv4 address, returns the entries to use, or a refusal. With None, the path
        ``/lookup`` is handled like any other.
    handle
        Given the head, the body and a Deferred that fires if the caller disconnects, returns the
        answer. If it raises, the caller gets status 500 with the outcome ``unknown``.
    on_fault
        Called with the exceptions of `lookup` and `handle`.
    may_overlap
        Given a head, returns whether the request may be handled concurrently with others of its
        connection. Requests with a body never are.
    meter
        Records counters and durations, or None.

    Attributes
    ----------
    in_flight
        Number of requests that are being handled or answered.
    """

    def __init__(
        self,
        lookup: Lookup | None,
        handle: Handle,
        on_fault: Callable[[Failure], None] | None = None,
        may_overlap: Callable[[RequestHead], bool] = lambda head: head.method in SAFE_METHODS,
        meter: Meter | None = None,
    ) -> None:
        self.in_flight = 0
        self._lookup = lookup
        self._handle = handle
        self._on_fault = on_fault or (lambda failure: None)
        self._may_overlap = may_overlap
        self._meter = meter or _NullMeter()
        self._closing = False
        self._factory: CallerFactory | None = None
        self._drained = Waiters(lambda: not self.in_flight)

    def factory(self, reactor: t.Any) -> CallerFactory:
        """Return the protocol factory of the callers' connections."""
        if self._factory is None:
            look_up = None if self._lookup is None else self._look_up
            self._factory = CallerFactory(
                reactor,
                self._start,
                self._on_fault,
                look_up,
                self._may_overlap,
                self._meter,
            )
            self._factory.closing = self._closing
        return self._factory

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return 0 if self._factory is None else len(self._factory.channels)

    def set_idle_timeout(self, duration: timedelta) -> None:
        """Set how long an idle connection is kept open."""
        if self._factory is not None:
            self._factory.timeOut = duration.total_seconds()

    def set_head_limits(self, size: int, duration: timedelta) -> None:
        """Limit request heads on new connections to `size` bytes of header lines and `duration`."""
        if self._factory is not None:
            self._factory.head_limits = HeadLimits(size, duration.total_seconds())

    def start_closing(self) -> None:
        """Send ``Connection: close`` with all further answers."""
        self._closing = True
        if self._factory is not None:
            self._factory.closing = True

    def drained(self) -> "Deferred[None]":
        """Return a Deferred that fires when no request is in flight."""
        return self._drained.wait()

    def disconnect(self) -> "Deferred[None]":
        """Close all connections; the Deferred fires when they have sent their data and closed.

        Call it after `drained`, since it ends answers that are still being streamed, and with a
        timeout, since a caller may never read its data.
        """
        return succeed(None) if self._factory is None else self._factory.disconnect()

    # Entry look-ups.

    def _look_up(self, request: CallerRequest) -> Answer:
        client = _client_address(request)
        result = self._lookup(client) if client is not None else _INVALID_CLIENT
        if isinstance(result, Refusal):
            return to_answer(result)
        max_age_s = result["valid_ms"] // 1000
        headers = (*_LOOKUP_HEADERS, ("Cache-Control", f"max-age={max_age_s}"))
        return Answer(HTTPStatus.OK, headers, msgspec.json.encode(result))

    # Requests.

    def _start(self, request: CallerRequest) -> None:
        """Check and handle one request."""
        error = _request_error(request)
        if error is not None:
            request.write_answer_in_order(to_answer(Refusal(RefusalReason.BAD_REQUEST, error)))
            return
        self.in_flight += 1
        disconnected: Deferred[None] = Deferred()
        request.disconnected.addCallback(lambda _: disconnected.callback(None))
        answered = maybeDeferred(self._handle, request.head(), request.body, disconnected)
        answered.addErrback(self._handle_error)
        answered.addCallback(self._respond_in_order, request)
        answered.addErrback(request.processingFailed)
        answered.addBoth(lambda _: self._request_finished())

    def _handle_error(self, failure: Failure) -> Answer:
        self._on_fault(failure)
        return internal_error("internal error")

    def _respond_in_order(
        self, answer: Answer, request: CallerRequest
    ) -> "Deferred[Delivery | None]":
        size = len(answer.body) if isinstance(answer.body, bytes) else 0
        turn = request.wait_for_turn(size)
        if self._closing:
            # This answer closes the connection, at which a caller could stop sending its body.
            turn.addCallback(lambda _: request.body.passed_on())
        return turn.addCallback(lambda _: self._respond(answer, request))

    def _respond(self, answer: Answer, request: CallerRequest) -> "Deferred[Delivery] | None":
        """Write the answer; the Deferred fires when a streamed body is delivered or aborted."""
        if not isinstance(answer.body, bytes):
            if not request.ended and request.method != b"HEAD" and answer.status not in NO_BODY:
                return AnswerWriter(request, answer).start()
            answer.body.abort()
        request.write_answer(answer)
        return None

    def _request_finished(self) -> None:
        self.in_flight -= 1
        self._drained.check()


class _NullMeter:
    """A :class:`Meter` that records nothing."""

    def count(self, name: str) -> None:
        """Do nothing."""

    def observe(self, name: str, took: timedelta) -> None:
        """Do nothing."""


def listen(reactor: t.Any, address: str, app: CallersApp) -> IListeningPort:
    """Listen for callers' connections on `address`, which is ``ip:port``."""
    host, _, port = address.rpartition(":")
    return reactor.listenTCP(int(port), app.factory(reactor), backlog=BACKLOG, interface=host)


_LOOKUP_HEADERS = (("Content-Type", "application/json"),)
_INVALID_CLIENT = Refusal(RefusalReason.BAD_REQUEST, "client must be an IPv4 address")


def _client_address(request: CallerRequest) -> str | None:
    """Return the client address of a look-up, by default the caller's; None if malformed."""
    query = request.query
    if not query:
        return request.getClientAddress().host
    if query.startswith(_CLIENT_QUERY) and b"&" not in query and b"%" not in query:
        text = query[len(_CLIENT_QUERY) :]
    else:
        text = parse_qs(query, 1).get(b"client", [b""])[-1]
    try:
        client = text.decode("ascii")
        socket.inet_pton(socket.AF_INET, client)
    except (OSError, ValueError):
        return None
    return client


def _request_error(request: CallerRequest) -> str | None:
    """Return why a request cannot be forwarded, or None if it can."""
    if not request.path.startswith(b"/"):
        return "the request target must be a path"
    if not all(0x21 <= byte <= 0x7E for byte in request.uri):
        return "the request target must be percent-encoded"
    if len(request.requestHeaders.getRawHeaders(b"Host", ())) > 1:
        return "more than one Host header"
    return None
