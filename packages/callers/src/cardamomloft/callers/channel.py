"""The HTTP/1.1 protocol of one caller's connection, with streamed bodies and pipelining.

``twisted.web`` buffers a whole body, on disk if it is large, before it processes a request. This
channel processes a request as soon as its head has arrived, and streams the body through
:class:`RequestBody`. `HTTPChannel` reads a pipelined request only after the previous one is
answered. This channel handles requests that may overlap concurrently, and writes their answers in
the order of the requests (:mod:`.pipelining`).

It uses private attributes of `HTTPChannel`: `_respondToBadRequestAndDisconnect`, `_version`,
`_command`, `_path`, `_handlingRequest`, `_dataBuffer`, `_networkProducer` and
`_waitingForTransport`. The version of Twisted is therefore pinned, and tests cover each use.
"""

import typing as t
from http import HTTPStatus

from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.runtime.lingering import LINGER_TIMEOUT_S, LingeringClose
from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol, ITCPTransport
from twisted.python.failure import Failure
from twisted.web import http
from zope.interface import implementer

from .exchange import Answer, to_answer
from .pipelining import may_read_next

if t.TYPE_CHECKING:
    from .factory import CallerFactory
    from .request import CallerRequest

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
# Default; the configuration may override it.
HEAD_TIMEOUT_S = 10
# How long the rest of a body is read and discarded after an early answer. Closing with unread data
# would reset the connection before the caller has read the answer.
DISCARD_TIMEOUT_S = 5

UPLOAD_STALL_S = 30
"""Time in seconds without a byte after which an upload that was answered early is given up."""

# Makes the limits of Twisted's parser looser than `HeadLimits`, so that ours apply first.
_PARSER_LIMIT_FACTOR = 2

_HTTP_VERSION = b"HTTP/1.1"


class HeadLimits(t.NamedTuple):
    """Limits for the head of a request.

    Attributes
    ----------
    size
        Maximum bytes of all header lines together, and of the request line.
    time_s
        Maximum seconds from the first byte of the head to the last.
    """

    size: int = MAX_HEAD_BYTES
    time_s: float = HEAD_TIMEOUT_S


@implementer(IHalfCloseableProtocol)
class CallerChannel(http.HTTPChannel):
    """Protocol of one caller's connection.

    Attributes
    ----------
    head_limits
        Limits for the head of each request.
    """

    factory: "CallerFactory"
    head_limits = HeadLimits()

    _head_timer: t.Any = None
    _head_bytes = 0
    _head_lines = 0
    _input_closed = False
    _body_paused = False
    _content_received = False
    _answered_request: "CallerRequest | None" = None
    _discard_timer: t.Any = None
    _refusal: list[bytes] | None = None
    _closing: LingeringClose | None = None
    _has_answered = False
    # Reactor times in seconds at which the first byte arrived of the data that is buffered, and of
    # the data that is being parsed.
    _unread_since: float | None = None
    _reading_since: float | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the factory."""
        super().connectionMade()
        self.factory.channels.add(self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Cancel the timers, notify the open requests and deregister from the factory."""
        self._cancel_discard_timer()
        self._cancel_head_timer()
        if self._closing is not None:
            self._closing.cancel()
        self._input_closed = True
        try:
            super().connectionLost(reason)
        finally:
            self.factory.remove_channel(self)

    @property
    def idle(self) -> bool:
        """Whether no request is being received, processed or answered."""
        return not self.requests

    # Request heads.

    def set_head_limits(self, limits: HeadLimits) -> None:
        """Apply `limits` to the heads that are read from now on."""
        self.head_limits = limits
        self.totalHeadersSize = _PARSER_LIMIT_FACTOR * limits.size
        self.MAX_LENGTH = max(type(self).MAX_LENGTH, limits.size)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes; start the head timeout when a head is incomplete."""
        if self._closing is not None:
            return
        super().dataReceived(data)
        in_head = (
            self.line_mode and bool(self._head_lines or self._buffer) and not self._input_closed
        )
        if in_head and self._head_timer is None:
            self._head_timer = self.callLater(self.head_limits.time_s, self._on_head_timeout)

    def _on_head_timeout(self) -> None:
        # Bytes that arrived while the event loop was busy are read before the refusal.
        self._head_timer = self.callLater(0, self._refuse_head, HTTPStatus.REQUEST_TIMEOUT)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None and self._head_timer.active():
            self._head_timer.cancel()
        self._head_timer = None

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Check the head against its limits, then pass the line to the parser."""
        if self._input_closed:
            return
        if not self._head_lines and self.requests and self.factory.closing:
            # The last answer to a request that was already read closes the connection.
            self._buffer_unread(line + self.delimiter)
            return
        self._head_lines += 1
        if self._head_lines > 1:
            self._head_bytes += len(line) + len(self.delimiter)
        if self._head_bytes > self.head_limits.size or self._head_lines > MAX_HEADERS + 2:
            self._refuse_head(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        else:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line that exceeds the limit of the parser."""
        if not self._input_closed:
            self._refuse_head(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Start processing the request before its body arrives, unless it must wait."""
        self._head_bytes = self._head_lines = 0
        self._cancel_head_timer()
        self._content_received = False
        request: CallerRequest = self.requests[-1]
        if self._version != _HTTP_VERSION:
            self._refuse_head(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED)
            return
        self.persistent = self.checkPersistence(request, self._version)
        # The idle timeout applies only between requests.
        self.setTimeout(None)
        request.head_received(self._command, self._path, self._version, self.length)
        request.waiting_since = self._reading_since
        self._start_newest()
        if not request.started and request.waiting_since is None:
            request.waiting_since = self.factory.seconds()

    def _refuse_head(self, status: HTTPStatus) -> None:
        self._input_closed = True
        self._cancel_head_timer()
        self.persistent = False
        if self.requests and self.requests[-1].body is None:
            # The parser created a request object for the incomplete head.
            del self.requests[-1]
        refusal = Refusal(RefusalReason.BAD_REQUEST, status.phrase)
        self._refusal = _serialize(to_answer(refusal)._replace(status=int(status)))
        if not self.requests:
            self._close()

    # Pipelined requests.

    def has_more(self, request: "CallerRequest") -> bool:
        """Return whether another answer is written after that to `request`."""
        return self.requests[-1] is not request or self._refusal is not None

    def _start_newest(self) -> None:
        """Start the newest request if it waits and may overlap with those before it.

        No further head is read while a request waits, so only the newest request can be waiting.
        A request whose head is incomplete is not started.
        """
        request: CallerRequest = self.requests[-1]
        if request.started or request.body is None:
            return
        is_first = len(self.requests) == 1
        overlaps = self.factory.may_overlap
        if is_first or all(r.body.length == 0 and overlaps(r.head()) for r in self.requests):
            if not is_first:
                request.pipeline_usage.start_ahead()
                self.factory.count("pipelined.beside")
            if request.waiting_since is not None:
                self.factory.observe_wait(request.waiting_since)
            request.start()

    def _read_next(self) -> None:
        """Parse the next pipelined request if the newest has been read and limits allow it."""
        if self._input_closed or not self._handlingRequest or not self.persistent:
            return
        if self._waitingForTransport:
            # The caller does not read its answers: handle no further requests.
            return
        if self.requests and (self.factory.closing or not self.requests[-1].started):
            return
        if not may_read_next(
            [request.pipeline_usage for request in self.requests], self.factory.pipeline_budget
        ):
            return
        self._handlingRequest = False
        self._networkProducer.resumeProducing()
        data = b"".join(self._dataBuffer)
        self._dataBuffer = []
        self._reading_since, self._unread_since = self._unread_since, None
        self.setLineMode(data)
        self._reading_since = None

    def _buffer_unread(self, data: bytes) -> None:
        self._handlingRequest = True
        self.setRawMode()
        self._dataBuffer.append(data)

    # Request bodies.

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse body bytes, or buffer pipelined ones; ignore input after a malformed request."""
        if self._input_closed:
            return
        if self._handlingRequest and self._unread_since is None:
            self._unread_since = self.factory.seconds()
        super().rawDataReceived(data)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        # Replaces the parser's own reply, which could be written in the middle of an answer.
        if self._input_closed:
            return
        request: CallerRequest | None = self.requests[-1] if self.requests else None
        if request is None or request.body is None:
            self._refuse_head(HTTPStatus.BAD_REQUEST)
            return
        self._input_closed = True
        self.persistent = False
        self._content_received = True
        request.body.fail("malformed chunked body")
        if self._answered_request is not None:
            self._end_exchange(self._answered_request)

    def allContentReceived(self) -> None:  # noqa: N802
        """End the body, and the exchange too if it is already answered."""
        if self._input_closed:
            return
        answered = self._answered_request
        self._body_paused = False
        self._content_received = True
        super().allContentReceived()
        if answered is not None:
            self._end_exchange(answered)
        else:
            self._read_next()

    def pause_body(self) -> None:
        """Stop reading until the body's consumer has caught up."""
        if not self._content_received and not self._body_paused:
            self._body_paused = True
            self.transport.pauseProducing()

    def resume_body(self) -> None:
        """Resume reading."""
        if self._body_paused:
            self._body_paused = False
            self.transport.resumeProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume writing; reading stays paused while the body's consumer is behind."""
        super().resumeProducing()
        if self._body_paused:
            self.transport.pauseProducing()
        self._read_next()

    # Completed exchanges.

    def requestDone(self, request: "CallerRequest") -> None:  # noqa: N802
        """End the exchange, or first discard the rest of the request body."""
        self._has_answered = True
        if self._content_received or request is not self.requests[-1]:
            self._end_exchange(request)
            return
        self._answered_request = request
        if request.body.is_being_sent:
            # The upstream has answered early and reads on.
            self._await_upload(request)
            return
        self._discard_timer = self.callLater(DISCARD_TIMEOUT_S, self.transport.abortConnection)
        request.body.discard()

    def _await_upload(self, request: "CallerRequest") -> None:
        """Wait for the rest of an answered request's body as long as the caller sends it.

        While the upstream reads nothing, the kernel's timeout of its connection bounds the wait.
        """
        self._discard_timer = self.callLater(
            UPLOAD_STALL_S, self._check_upload, request, request.body.received
        )

    def _check_upload(self, request: "CallerRequest", received: int) -> None:
        is_received = request.body.failure is None and request.body.received > received
        if self._body_paused or is_received:
            self._await_upload(request)
        else:
            self.transport.abortConnection()

    def _end_exchange(self, request: "CallerRequest") -> None:
        """Let the next request write its answer; if none, close the connection or keep it idle."""
        self._cancel_discard_timer()
        self._answered_request = None
        if request is not self.requests[0]:
            raise RuntimeError("an answer was completed out of order")
        del self.requests[0]
        if self.requests:
            self._start_newest()
            # A request that is answered at once has ended meanwhile.
            if self.requests:
                self.requests[0].begin_turn()
            self._read_next()
        elif self.persistent:
            self.setTimeout(self.factory.timeOut)
            self._read_next()
        else:
            self._close()

    def _close(self) -> None:
        """Close the connection after its data is sent; first write the answer to a refused head."""
        if self._refusal is not None:
            self.transport.writeSequence(self._refusal)
            self._refusal = None
            self._has_answered = True
        self.loseConnection()

    def close_soon(self) -> None:
        """Close the connection, after the rest of an answered request's body if it is awaited."""
        self.persistent = False
        if self._answered_request is None:
            self.loseConnection()

    def break_off(self) -> None:
        """End the connection in the middle of an answer, but not before the answers ahead of it.

        A reset would discard what the caller has not received yet. Without such answers it is the
        clearest sign of a truncated one.
        """
        if not self._has_answered or not ITCPTransport.providedBy(self.transport):
            self.transport.abortConnection()
            return
        self._cancel_discard_timer()
        self.persistent = False
        open_requests, self.requests = self.requests, []
        if self._closing is None:
            self._close_after_data(stall_s=LINGER_TIMEOUT_S)
        for request in open_requests:
            request.connectionLost(Failure(ConnectionAborted()))

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection after its data is sent, and its answers are received."""
        if self._closing is not None:
            return
        if not self._has_answered or not ITCPTransport.providedBy(self.transport):
            super().loseConnection()
            return
        self._close_after_data()

    def _close_after_data(self, stall_s: float | None = None) -> None:
        self._input_closed = True
        self._cancel_head_timer()
        self.setTimeout(None)
        self._closing = LingeringClose(self.transport, self.callLater, stall_s=stall_s)
        self._closing.start()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Wait for the caller to close its side too."""
        if self._closing is not None:
            self._closing.write_side_closed()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection, even if the caller has closed only its side."""
        self.transport.connectionLost(Failure(ConnectionDone()))

    def _cancel_discard_timer(self) -> None:
        if self._discard_timer is not None and self._discard_timer.active():
            self._discard_timer.cancel()
        self._discard_timer = None


def _serialize(answer: Answer) -> list[bytes]:
    """Return the bytes of an answer with ``Connection: close``, without using a request object."""
    status = HTTPStatus(answer.status)
    lines = [f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()]
    headers = (*answer.headers, ("Content-Length", str(len(answer.body))), ("Connection", "close"))
    for name, value in headers:
        lines.append(f"{name}: {value}\r\n".encode("latin-1"))
    return [*lines, b"\r\n", answer.body]
