"""One request of a caller on its connection, and how its answer is written."""

import typing as t
from http import HTTPStatus

from klein.interfaces import IKleinRequest
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure
from twisted.web import http
from twisted.web.http import NO_BODY_CODES
from twisted.web.resource import IResource
from zope.interface import implementer

from .body import RequestBody
from .channel import CallerChannel
from .exchange import Answer, RequestHead, broken, end_to_end
from .pipelining import Place

# After an early answer, a rest of the body up to this size is read so that the connection lives on.
REST_TO_KEEP_ALIVE = 256 * 1024

_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@implementer(IKleinRequest)
class CallerRequest(http.Request):
    """One request; klein routes it by `postpath`, and its body streams.

    Attributes
    ----------
    body
        The body, or None as long as the head has not arrived.
    gone
        Fires with None if the caller's connection is lost before the answer is complete.
    started
        Whether it is being processed.
    place
        Its place among the requests of its connection.
    waiting_since
        When it came, in seconds of the reactor, if it had to wait for others; else None.
    """

    channel: CallerChannel
    mapper: t.Any = None
    body: RequestBody | None = None

    def __init__(self, channel: CallerChannel, queued: object = False) -> None:
        super().__init__(channel, False)
        self.gone: Deferred[None] = Deferred()
        self.started = False
        self.place = Place(channel.factory.room)
        self.waiting_since: float | None = None
        self._turn: Deferred[None] | None = None
        self.branch_segments = [""]
        self.query = b""
        self.prepath: list[bytes] = []
        self.postpath: list[bytes] = []
        self._awaits_continue = False

    def head_received(self, method: bytes, uri: bytes, version: bytes, length: int | None) -> None:
        """Take the head from the channel."""
        self.method, self.uri, self.clientproto = method, uri, version
        self.path, _, self.query = uri.partition(b"?")
        expectation = self.requestHeaders.getRawHeaders(b"Expect")
        if length != 0 and expectation and expectation[0].lower() == b"100-continue":
            self._awaits_continue = True
        self.body = RequestBody(length, self.channel, self._send_continue)

    def start(self) -> None:
        """Process the request."""
        self.started = True
        self.process()

    # The turn to answer.

    @property
    def _is_first(self) -> bool:
        return self.over or self.channel.requests[0] is self

    def turn(self, size: int = 0) -> "Deferred[None]":
        """Return a result that fires when this request's answer may be written.

        It also fires when the caller has gone. `size` are the bytes of the answer that is held
        until then.
        """
        if self._is_first:
            return succeed(None)
        self.place.hold(size)
        self._turn = Deferred()
        return self._turn

    def begin_turn(self) -> None:
        """Note that all requests before this one are answered, or that the caller has gone."""
        self.place.leave()
        if self._turn is not None:
            turn, self._turn = self._turn, None
            turn.callback(None)

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
        self.begin_turn()

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
                self.answer_in_turn(lookup(self))
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
            self.answer_in_turn(broken("internal error"))

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

    def answer_in_turn(self, answer: Answer) -> None:
        """Write an answer whose body is in memory when all before it are written."""
        if self._is_first:
            self.answer_at_once(answer)
            return
        size = len(answer.body) if isinstance(answer.body, bytes) else 0
        self.turn(size).addCallback(lambda _: self.answer_at_once(answer))

    def answer_at_once(self, answer: Answer) -> None:
        """Write an answer whose body is in memory, or that has none; it must be its turn."""
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
        if self.channel.has_more(self):
            # What was read behind this request is answered too; only the last answer closes.
            return False
        if self.channel.factory.closing or not self.channel.persistent or self._awaits_continue:
            return True
        rest = self.body.remaining
        return self.body.failure is not None or (rest is not None and rest > REST_TO_KEEP_ALIVE)

    def _send_continue(self) -> None:
        if self._awaits_continue and not self.startedWriting and not self._disconnected:
            self._awaits_continue = False
            self.channel.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
