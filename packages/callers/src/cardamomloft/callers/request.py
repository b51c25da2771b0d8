"""One HTTP request of a caller: its body, its order in the pipeline and its answer."""

import typing as t
from http import HTTPStatus

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure
from twisted.web import http
from twisted.web.http import NO_BODY_CODES

from .body import RequestBody
from .channel import CallerChannel
from .exchange import Answer, RequestHead, end_to_end, internal_error
from .pipelining import PipelineUsage

# After an early answer, up to this many bytes of the body are read to keep the connection usable.
MAX_DISCARD_BYTES = 256 * 1024

_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class CallerRequest(http.Request):
    """One request with a streamed body.

    Attributes
    ----------
    body
        The body, or None until the head has arrived.
    disconnected
        Fires with None if the connection is lost before the answer is complete.
    started
        Whether processing has started.
    pipeline_usage
        The share of the pipelining budget that the request uses.
    waiting_since
        When the request arrived, in reactor seconds, if it had to wait for others; else None.
    """

    channel: CallerChannel
    mapper: t.Any = None
    body: RequestBody | None = None

    def __init__(self, channel: CallerChannel, queued: object = False) -> None:
        super().__init__(channel, False)
        self.disconnected: Deferred[None] = Deferred()
        self.started = False
        self.pipeline_usage = PipelineUsage(channel.factory.pipeline_budget)
        self.waiting_since: float | None = None
        self._turn: Deferred[None] | None = None
        self.query = b""
        self._awaits_continue = False

    def head_received(self, method: bytes, uri: bytes, version: bytes, length: int | None) -> None:
        """Store the head that the channel has parsed, and create the body."""
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

    # Order of answers.

    @property
    def _is_first(self) -> bool:
        return self.ended or self.channel.requests[0] is self

    def wait_for_turn(self, size: int = 0) -> "Deferred[None]":
        """Return a Deferred that fires when the answer may be written.

        It also fires when the connection is lost. `size` is the number of bytes of the answer that
        are held in memory until then.
        """
        if self._is_first:
            return succeed(None)
        self.pipeline_usage.hold_answer(size)
        self._turn = Deferred()
        return self._turn

    def begin_turn(self) -> None:
        """Let the answer be written: earlier ones are complete, or the connection is lost."""
        self.pipeline_usage.release()
        if self._turn is not None:
            turn, self._turn = self._turn, None
            turn.callback(None)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Pass a chunk of the body to its consumer."""
        self._awaits_continue = False
        self.body.data_received(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """End the body."""
        self.body.end()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Fail the body, and notify the handler unless the answer is complete."""
        super().connectionLost(reason)
        if self.body is None:
            return
        # An upstream that has answered early may still be reading the body.
        self.body.fail(f"connection lost after {self.body.received} bytes of the body")
        if self.finished:
            return
        self.disconnected.callback(None)
        self.begin_turn()

    def process(self) -> None:
        """Answer a look-up, or pass the request on.

        It replaces the routing of twisted.web, which would decode and divide the path; it must
        reach the upstream as sent.
        """
        lookup = self.channel.factory.lookup
        try:
            if lookup is not None and self.path == b"/lookup":
                self.write_answer_in_order(lookup(self))
            else:
                self.channel.factory.handle(self)
        except Exception:
            self.processingFailed(Failure())

    def processingFailed(self, failure: Failure) -> None:  # noqa: N802
        """Answer with an internal error; reset the connection if the answer has begun."""
        self.channel.factory.on_fault(failure)
        if self.startedWriting:
            self.abort()
        else:
            self.write_answer_in_order(internal_error("internal error"))

    def head(self) -> RequestHead:
        """Return the head without hop-by-hop headers."""
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
            target=self.uri.decode("latin-1"),
        )

    def begin_answer(self, answer: Answer) -> None:
        """Set the status and headers of the answer without writing them."""
        self.setResponseCode(answer.status, _PHRASES.get(answer.status, b"Unknown"))
        headers = self.responseHeaders
        for name, value in end_to_end(answer.headers):
            headers.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
        # An answer to HEAD keeps the Content-Length of the body that GET would return.
        keeps_length = self.method == b"HEAD" and headers.hasHeader(b"Content-Length")
        if isinstance(answer.body, bytes) and not keeps_length:
            headers.setRawHeaders(b"Content-Length", [b"%d" % len(answer.body)])
        if answer.status in NO_BODY_CODES:
            headers.removeHeader(b"Content-Length")
        if self._must_close():
            self.channel.persistent = False
            headers.setRawHeaders(b"Connection", [b"close"])

    def write_answer_in_order(self, answer: Answer) -> None:
        """Write an answer without a streamed body after all answers before it."""
        if self._is_first:
            self.write_answer(answer)
            return
        size = len(answer.body) if isinstance(answer.body, bytes) else 0
        self.wait_for_turn(size).addCallback(lambda _: self.write_answer(answer))

    def write_answer(self, answer: Answer) -> None:
        """Write an answer without a streamed body; earlier answers must be complete."""
        if self.ended:
            return
        self.begin_answer(answer)
        self.write(answer.body if isinstance(answer.body, bytes) else b"")
        self.finish()

    @property
    def ended(self) -> bool:
        """Whether the connection is lost or the answer is complete."""
        return self._disconnected or bool(self.finished)

    def abort(self) -> None:
        """End the connection, so that the caller recognizes a truncated answer."""
        if not self.ended:
            self.channel.break_off()

    def _must_close(self) -> bool:
        if self.channel.has_more(self):
            # Only the last of the pipelined answers closes the connection.
            return False
        if self.channel.factory.closing or not self.channel.persistent or self._awaits_continue:
            return True
        if self.body.is_being_sent:
            # A caller that sees the close could stop an upload that the upstream still reads.
            return False
        remaining = self.body.remaining
        return self.body.failure is not None or (
            remaining is not None and remaining > MAX_DISCARD_BYTES
        )

    def _send_continue(self) -> None:
        if self._awaits_continue and not self.startedWriting and not self._disconnected:
            self._awaits_continue = False
            self.channel.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
