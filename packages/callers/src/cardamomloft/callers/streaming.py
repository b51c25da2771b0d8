"""The server side of HTTP/1.1: requests are processed when their head has arrived.

``twisted.web`` spools a whole body, to disk when it is large, before it processes a request. Here
the body streams through :class:`RequestBody` instead. Pipelined requests still wait until the one
before them has been read and answered completely, which `HTTPChannel` sees to.

Three hooks of `HTTPChannel` are not public (`_respondToBadRequestAndDisconnect`, `_version` with
`_command` and `_path`); the version of Twisted is pinned, and the tests cover each use.
"""

import typing as t
from http import HTTPStatus

from cardamomloft.core.model import Refusal, RefusalReason
from klein.interfaces import IKleinRequest
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web import http
from twisted.web.http import NO_BODY_CODES
from twisted.web.resource import IResource
from zope.interface import implementer

from .body import RequestBody
from .exchange import Answer, RequestHead, broken, end_to_end, to_answer
from .waiting import Waiters

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
# Unless a configuration sets it. Chosen, not measured: slow links take a second or two for a head.
HEAD_TIMEOUT_S = 10
IDLE_TIMEOUT_S = 60
# After an early answer, a rest of the body up to this size is read so that the connection lives on.
REST_TO_KEEP_ALIVE = 256 * 1024
# How long a larger rest is read and dropped, so that the caller gets to see its answer.
DISCARD_TIMEOUT_S = 5

# Room for the parser's own bounds beyond ours, so that ours come first.
_PARSER_ROOM = 2

_HTTP_VERSION = b"HTTP/1.1"
_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class HeadLimits(t.NamedTuple):
    """What the head of one request may take.

    Attributes
    ----------
    size
        Bytes of its header lines, and of its request line.
    time_s
        Seconds from its first byte to its last.
    """

    size: int = MAX_HEAD_BYTES
    time_s: float = HEAD_TIMEOUT_S


class CallerChannel(http.HTTPChannel):
    """One caller's connection.

    Attributes
    ----------
    head_limits
        Bounds of each request's head.
    """

    factory: "CallerFactory"
    head_limits = HeadLimits()

    _head_timer: t.Any = None
    _head_bytes = 0
    _head_lines = 0
    _dead = False
    _body_paused = False
    _content_received = False
    _answered: "CallerRequest | None" = None
    _discard_timer: t.Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the factory."""
        super().connectionMade()
        self.factory.channels.add(self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Tell the request in progress that its caller has gone."""
        self._cancel_discard_timer()
        self._cancel_head_timer()
        super().connectionLost(reason)
        self.factory.forget(self)

    @property
    def idle(self) -> bool:
        """Whether no request is being received, processed or answered."""
        return not self.requests

    # The head.

    def bound_heads(self, limits: HeadLimits) -> None:
        """Hold the heads that are still to come to `limits`."""
        self.head_limits = limits
        self.totalHeadersSize = _PARSER_ROOM * limits.size
        self.MAX_LENGTH = max(type(self).MAX_LENGTH, limits.size)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes; a head that has begun must end within its time."""
        super().dataReceived(data)
        begun = self.line_mode and bool(self._head_lines or self._buffer) and not self._dead
        if begun and self._head_timer is None:
            self._head_timer = self.callLater(self.head_limits.time_s, self._head_late)

    def _head_late(self) -> None:
        # Bytes that came while this process was busy are read before the head counts as late.
        self._head_timer = self.callLater(0, self._refuse_head, HTTPStatus.REQUEST_TIMEOUT)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None and self._head_timer.active():
            self._head_timer.cancel()
        self._head_timer = None

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Hold the head to its limits, then let the parser have the line."""
        if self._dead:
            return
        self._head_lines += 1
        if self._head_lines > 1:
            self._head_bytes += len(line) + len(self.delimiter)
        if self._head_bytes > self.head_limits.size or self._head_lines > MAX_HEADERS + 2:
            self._refuse_head(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        else:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line that is longer than the parser takes."""
        if not self._dead:
            self._refuse_head(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Start to process the request; its body is still to come."""
        self._head_bytes = self._head_lines = 0
        self._cancel_head_timer()
        self._content_received = False
        request: CallerRequest = self.requests[-1]
        if self._version != _HTTP_VERSION:
            self._refuse_head(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED)
            return
        self.persistent = self.checkPersistence(request, self._version)
        # From here on the deadline of the request rules, not the idle timeout.
        self.setTimeout(None)
        request.head_received(self._command, self._path, self._version, self.length)

    def _refuse_head(self, status: HTTPStatus) -> None:
        self._dead = True
        self._cancel_head_timer()
        self.persistent = False
        refusal = Refusal(RefusalReason.BAD_REQUEST, status.phrase)
        answer = to_answer(refusal)._replace(status=int(status))
        self.transport.writeSequence(_serialize(answer))
        self.loseConnection()

    # The body.

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Ignore what follows a malformed head or body."""
        if not self._dead:
            super().rawDataReceived(data)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        # The parser's own reply would land in the midst of an answer that has begun.
        if self._dead:
            return
        request: CallerRequest | None = self.requests[-1] if self.requests else None
        if request is None or request.body is None:
            self._refuse_head(HTTPStatus.BAD_REQUEST)
            return
        self._dead = True
        self.persistent = False
        self._content_received = True
        request.body.fail("malformed chunked body")
        if self._answered is not None:
            self._end_exchange(self._answered)

    def allContentReceived(self) -> None:  # noqa: N802
        """Note the end of the body; an exchange that was answered before is over now."""
        if self._dead:
            return
        answered = self._answered
        self._body_paused = False
        self._content_received = True
        super().allContentReceived()
        if answered is not None:
            self._end_exchange(answered)

    def pause_body(self) -> None:
        """Stop reading while the body's consumer is behind."""
        if not self._content_received and not self._body_paused:
            self._body_paused = True
            self.transport.pauseProducing()

    def resume_body(self) -> None:
        """Read again."""
        if self._body_paused:
            self._body_paused = False
            self.transport.resumeProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on writing; reading stays paused if the body's consumer is behind."""
        super().resumeProducing()
        if self._body_paused:
            self.transport.pauseProducing()

    # The end of an exchange.

    def requestDone(self, request: "CallerRequest") -> None:  # noqa: N802
        """Go to the next request, but not before this one's body has been read."""
        if self._content_received:
            self._end_exchange(request)
            return
        self._answered = request
        self._discard_timer = self.callLater(DISCARD_TIMEOUT_S, self.transport.abortConnection)
        request.body.discard()

    def _end_exchange(self, request: "CallerRequest") -> None:
        self._cancel_discard_timer()
        self._answered = None
        self._content_received = False
        self.setTimeout(self.factory.timeOut)
        super().requestDone(request)

    def _cancel_discard_timer(self) -> None:
        if self._discard_timer is not None and self._discard_timer.active():
            self._discard_timer.cancel()
        self._discard_timer = None


@implementer(IKleinRequest)
class CallerRequest(http.Request):
    """One request; klein routes it by `postpath`, and its body streams.

    Attributes
    ----------
    body
        The body, or None as long as the head has not arrived.
    gone
        Fires with None if the caller's connection is lost before the answer is complete.
    """

    channel: CallerChannel
    mapper: t.Any = None
    body: RequestBody | None = None

    def __init__(self, channel: CallerChannel, queued: object = False) -> None:
        super().__init__(channel, False)
        self.gone: Deferred[None] = Deferred()
        self.branch_segments = [""]
        self.query = b""
        self.prepath: list[bytes] = []
        self.postpath: list[bytes] = []
        self._awaits_continue = False

    def head_received(self, method: bytes, uri: bytes, version: bytes, length: int | None) -> None:
        """Take the head from the channel and process the request."""
        self.method, self.uri, self.clientproto = method, uri, version
        self.path, _, self.query = uri.partition(b"?")
        expectation = self.requestHeaders.getRawHeaders(b"Expect")
        if length != 0 and expectation and expectation[0].lower() == b"100-continue":
            self._awaits_continue = True
        self.body = RequestBody(length, self.channel, self._send_continue)
        self.process()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Pass a part of the body on."""
        self._awaits_continue = False
        self.body.data_received(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Note that the body has come to its end."""
        self.body.end()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Fail the body and tell the handler, unless the answer is complete."""
        super().connectionLost(reason)
        if self.body is None or self.finished:
            return
        self.body.fail(f"connection lost after {self.body.received} bytes of the body")
        self.gone.callback(None)

    def process(self) -> None:
        """Answer a look-up at once, and route everything else.

        Look-ups are many and tiny; klein's routing took 44 % of their time (docs/design/edges.md).
        Klein sees only whether it is a look-up: callers' paths reach the upstreams as they were
        sent, so nothing may decode, merge or redirect them.
        """
        lookup = self.channel.factory.lookup
        is_lookup = lookup is not None and self.path == b"/lookup"
        self.postpath = [b"lookup" if is_lookup else b""]
        try:
            if is_lookup and self.method == b"GET":
                self.answer_at_once(lookup(self))
            else:
                self.channel.factory.resource.render(self)
        except Exception:
            self.processingFailed(Failure())

    def render(self, resource: IResource) -> None:
        """Let `resource`, which klein's route returned, answer the request."""
        resource.render(self)

    def getRequestHostname(self) -> bytes:  # noqa: N802
        """Return a constant, since routes do not depend on the Host header."""
        return b"entry"

    def processingFailed(self, failure: Failure) -> None:  # noqa: N802
        """Answer after a fault of our own; abort if the answer has begun."""
        self.channel.factory.on_fault(failure)
        if self.startedWriting:
            self.abort()
        else:
            self.answer_at_once(broken("internal error"))

    def head(self) -> RequestHead:
        """Return the head for the decision code."""
        pairs = (
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        )
        length = self.body.length if isinstance(self.body.length, int) else None
        return RequestHead(
            method=self.method.decode("latin-1"),
            path=self.path.decode("latin-1"),
            query=self.query.decode("latin-1"),
            headers=tuple(pair for pair in end_to_end(pairs) if pair[0] != "expect"),
            client=self.getClientAddress().host,
            length=length,
            chunked=length is None,
        )

    def begin_answer(self, answer: Answer) -> None:
        """Set status and headers of the answer, but write nothing yet."""
        self.setResponseCode(answer.status, _PHRASES.get(answer.status, b"Unknown"))
        headers = self.responseHeaders
        for name, value in end_to_end(answer.headers):
            headers.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
        # The answer to HEAD may announce the size of a body that it does not have.
        sized = self.method == b"HEAD" and headers.hasHeader(b"Content-Length")
        if isinstance(answer.body, bytes) and not sized:
            headers.setRawHeaders(b"Content-Length", [b"%d" % len(answer.body)])
        if answer.status in NO_BODY_CODES:
            headers.removeHeader(b"Content-Length")
        if self._must_close():
            self.channel.persistent = False
            headers.setRawHeaders(b"Connection", [b"close"])

    def answer_at_once(self, answer: Answer) -> None:
        """Write an answer whose body is in memory, or that has none."""
        if self.over:
            return
        self.begin_answer(answer)
        self.write(answer.body if isinstance(answer.body, bytes) else b"")
        self.finish()

    @property
    def over(self) -> bool:
        """Whether the caller has gone or has its whole answer."""
        return self._disconnected or bool(self.finished)

    def abort(self) -> None:
        """Reset the caller's connection, so that no short answer passes for a whole one."""
        if not self.over:
            self.channel.transport.abortConnection()

    def _must_close(self) -> bool:
        if self.channel.factory.closing or not self.channel.persistent or self._awaits_continue:
            return True
        rest = self.body.remaining
        return self.body.failure is not None or (rest is not None and rest > REST_TO_KEEP_ALIVE)

    def _send_continue(self) -> None:
        if self._awaits_continue and not self.startedWriting and not self._disconnected:
            self._awaits_continue = False
            self.channel.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


class CallerFactory(http.HTTPFactory):
    """Makes a channel for each connection and knows which are open."""

    protocol = CallerChannel

    def __init__(
        self,
        reactor: IReactorTime,
        resource: IResource,
        on_fault: t.Callable[[Failure], None],
        lookup: t.Callable[[CallerRequest], Answer] | None,
    ) -> None:
        super().__init__(timeout=IDLE_TIMEOUT_S, reactor=reactor)
        self.lookup = lookup
        self.resource = resource
        self.on_fault = on_fault
        self.closing = False
        self.head_limits = HeadLimits()
        self.channels: set[CallerChannel] = set()
        self._gone = Waiters(lambda: not self.channels)

    def buildProtocol(self, addr: object) -> CallerChannel:  # noqa: N802
        """Make the channel of a new connection."""
        channel = super().buildProtocol(addr)
        channel.requestFactory = CallerRequest
        channel.bound_heads(self.head_limits)
        return channel

    def startFactory(self) -> None:  # noqa: N802
        """Open no access log: the entry logs what matters."""

    def stopFactory(self) -> None:  # noqa: N802
        """Close no access log."""

    def log(self, request: http.Request) -> None:
        """Write no access log."""

    def disconnect(self) -> "Deferred[None]":
        """Close all connections after what was written has been sent; fires when they are gone."""
        for channel in tuple(self.channels):
            if not channel.transport.disconnecting:
                channel.loseConnection()
        return self._gone.wait()

    def forget(self, channel: CallerChannel) -> None:
        """Note that a connection is gone."""
        self.channels.discard(channel)
        self._gone.check()


def _serialize(answer: Answer) -> list[bytes]:
    """Return a whole answer that closes its connection, for a request that was never parsed."""
    status = HTTPStatus(answer.status)
    lines = [f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()]
    headers = (*answer.headers, ("Content-Length", str(len(answer.body))), ("Connection", "close"))
    for name, value in headers:
        lines.append(f"{name}: {value}\r\n".encode("latin-1"))
    return [*lines, b"\r\n", answer.body]
