"""The callers' HTTP interface: look-ups and requests, routed by klein."""

import socket
import typing as t
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus

import msgspec
from cardamomloft.core.model import Refusal, RefusalReason
from klein import Klein
from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.interfaces import IListeningPort
from twisted.python.failure import Failure
from twisted.web.http import NO_BODY_CODES as NO_BODY
from twisted.web.http import parse_qs
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from .body import RequestBody
from .channel import HeadLimits
from .delivery import AnswerWriter
from .exchange import Answer, Delivery, RequestHead, broken, to_answer
from .factory import CallerFactory, Meter
from .request import CallerRequest
from .waiting import Waiters

BACKLOG = 1024
"""Connections that may wait to be accepted.

With the default of 50, callers that all come back at once after an entry's start overflow it: their
opening packets are dropped and sent again after a second, longer than they wait.
"""

_CLIENT_QUERY = b"client="

SAFE_METHODS = frozenset({"GET", "HEAD"})
"""Methods that are only read (RFC 9110, section 9.2.1) and that callers pipeline."""


class LookupEntry(t.TypedDict):
    """One entry that the client may use."""

    name: str
    address: str


class LookupAnswer(t.TypedDict):
    """Which entries a client should use, and how to begin its operation ids."""

    site: str
    entries: list[LookupEntry]
    executor: str
    operation_prefix: str
    valid_ms: int
    revision: int


Lookup = Callable[[str], LookupAnswer | Refusal]
Handle = Callable[[RequestHead, RequestBody, "Deferred[None]"], "Deferred[Answer]"]


class CallersApp:
    """Serves callers with two functions.

    Parameters
    ----------
    lookup
        Given a client's IPv4 address, returns the entries to use, or a refusal. None if look-ups
        are answered elsewhere: then every path is a request's.
    handle
        Given the head, the body and a result that fires if the caller goes away, returns the
        answer. It should catch its own faults: to an exception, the caller gets 500 with the
        outcome ``unknown``.
    on_fault
        Told of exceptions in `lookup` and `handle`.
    may_overlap
        Given a head, tells whether the request may run beside others of its connection, before or
        after them; those with a body never do.
    meter
        Where counts and durations go, or None.

    Attributes
    ----------
    in_flight
        How many requests are being handled or answered.
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
        self._meter = meter or _NoMeter()
        self._closing = False
        self._factory: CallerFactory | None = None
        self._drained = Waiters(lambda: not self.in_flight)
        self._klein = Klein()
        if lookup is not None:
            self._klein.route("/lookup", strict_slashes=False)(self._answer_lookup)
        self._klein.route("/", strict_slashes=False)(self._answer_request)

    def factory(self, reactor: t.Any) -> CallerFactory:
        """Return the factory of the callers' connections."""
        if self._factory is None:
            look_up = None if self._lookup is None else self._look_up
            self._factory = CallerFactory(
                reactor,
                self._klein.resource(),
                self._on_fault,
                look_up,
                self._may_overlap,
                self._meter,
            )
            self._factory.closing = self._closing
        return self._factory

    def set_idle_timeout(self, duration: timedelta) -> None:
        """Keep idle connections for `duration` from now on; callers may count on it."""
        if self._factory is not None:
            self._factory.timeOut = duration.total_seconds()

    def set_head_limits(self, size: int, duration: timedelta) -> None:
        """Hold heads on new connections to `size` bytes of header lines and to `duration`."""
        if self._factory is not None:
            self._factory.head_limits = HeadLimits(size, duration.total_seconds())

    def start_closing(self) -> None:
        """Answer with ``Connection: close`` from now on."""
        self._closing = True
        if self._factory is not None:
            self._factory.closing = True

    def drained(self) -> "Deferred[None]":
        """Return a result that fires when no request is in flight."""
        return self._drained.wait()

    def disconnect(self) -> "Deferred[None]":
        """Close the connections, idle ones too; fires when all that was written has been sent.

        Call it after `drained`, since it ends answers that are still streaming, and with a limit
        of time, since a caller may never read.
        """
        return succeed(None) if self._factory is None else self._factory.disconnect()

    # Look-ups.

    def _answer_lookup(self, request: CallerRequest) -> bytes:
        answer = self._look_up(request)
        request.begin_answer(answer)
        return t.cast(bytes, answer.body)

    def _look_up(self, request: CallerRequest) -> Answer:
        client = _client_of(request)
        found = self._lookup(client) if client is not None else _BAD_CLIENT
        if isinstance(found, Refusal):
            return to_answer(found)
        age = found["valid_ms"] // 1000
        headers = (*_LOOKUP_HEADERS, ("Cache-Control", f"max-age={age}"))
        return Answer(HTTPStatus.OK, headers, msgspec.json.encode(found))

    # Requests.

    def _answer_request(self, request: CallerRequest) -> Resource:
        return _RequestResource(self)

    def start(self, request: CallerRequest) -> None:
        """Handle one request; called by its resource."""
        fault = _fault_of(request)
        if fault is not None:
            request.answer_in_turn(to_answer(Refusal(RefusalReason.BAD_REQUEST, fault)))
            return
        self.in_flight += 1
        gone: Deferred[None] = Deferred()
        request.gone.addCallback(lambda _: gone.callback(None))
        answered = maybeDeferred(self._handle, request.head(), request.body, gone)
        answered.addErrback(self._fault)
        answered.addCallback(self._respond_in_turn, request)
        answered.addErrback(request.processingFailed)
        answered.addBoth(lambda _: self._request_finished())

    def _fault(self, failure: Failure) -> Answer:
        self._on_fault(failure)
        return broken("internal error")

    def _respond_in_turn(
        self, answer: Answer, request: CallerRequest
    ) -> "Deferred[Delivery | None]":
        size = len(answer.body) if isinstance(answer.body, bytes) else 0
        return request.turn(size).addCallback(lambda _: self._respond(answer, request))

    def _respond(self, answer: Answer, request: CallerRequest) -> "Deferred[Delivery] | None":
        """Answer the request; the result fires when its body has been delivered or given up."""
        if not isinstance(answer.body, bytes):
            if not request.over and request.method != b"HEAD" and answer.status not in NO_BODY:
                return AnswerWriter(request, answer).start()
            answer.body.abort()
        request.answer_at_once(answer)
        return None

    def _request_finished(self) -> None:
        self.in_flight -= 1
        self._drained.check()


class _NoMeter:
    """Drops what is measured."""

    def count(self, name: str) -> None:
        """Drop it."""

    def observe(self, name: str, took: timedelta) -> None:
        """Drop it."""


class _RequestResource(Resource):
    """Takes a request over from klein, which would otherwise finish it."""

    isLeaf = True  # noqa: N815  (the name that klein looks for)

    def __init__(self, app: CallersApp) -> None:
        super().__init__()
        self._app = app

    def render(self, request: CallerRequest) -> int:
        self._app.start(request)
        return NOT_DONE_YET


def listen(reactor: t.Any, address: str, app: CallersApp) -> IListeningPort:
    """Accept callers' connections on `address`, which is ``ip:port``."""
    host, _, port = address.rpartition(":")
    return reactor.listenTCP(int(port), app.factory(reactor), backlog=BACKLOG, interface=host)


_LOOKUP_HEADERS = (("Content-Type", "application/json"),)
_BAD_CLIENT = Refusal(RefusalReason.BAD_REQUEST, "client must be an IPv4 address")


def _client_of(request: CallerRequest) -> str | None:
    """Return the client that a look-up asks for (the caller itself if none), None if malformed."""
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


def _fault_of(request: CallerRequest) -> str | None:
    """Return why a request cannot be passed on, or None."""
    if not request.path.startswith(b"/"):
        return "the request target must be a path"
    if not all(0x21 <= byte <= 0x7E for byte in request.uri):
        return "the request target must be percent-encoded"
    if len(request.requestHeaders.getRawHeaders(b"Host", ())) > 1:
        return "more than one Host header"
    return None
