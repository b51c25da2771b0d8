"""One caller's connection: requests are processed when their head has arrived.

``twisted.web`` spools a whole body, to disk when it is large, before it processes a request. Here
the body streams through :class:`RequestBody` instead. `HTTPChannel` reads a pipelined request only
when the one before it is answered; here those that may overlap are handled side by side, and their
answers wait for their turn (:mod:`.pipelining`).

Some parts of `HTTPChannel` are not public (`_respondToBadRequestAndDisconnect`, `_version` with
`_command` and `_path`, `_handlingRequest` with `_dataBuffer`, `_networkProducer`,
`_waitingForTransport`); the version of Twisted is pinned, and the tests cover each use.
"""

import typing as t
from http import HTTPStatus

from cardamomloft.core.model import Refusal, RefusalReason
from twisted.python.failure import Failure
from twisted.web import http

from .exchange import Answer, to_answer
from .pipelining import may_read_on

if t.TYPE_CHECKING:
    from .factory import CallerFactory
    from .request import CallerRequest

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
# Unless a configuration sets it: slow links take a second or two for a head.
HEAD_TIMEOUT_S = 10
# How long a rest of a body that is not kept is read and dropped, so that the caller gets to see
# its answer.
DISCARD_TIMEOUT_S = 5

# Room for the parser's own bounds beyond ours, so that ours come first.
_PARSER_ROOM = 2

_HTTP_VERSION = b"HTTP/1.1"


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
    _refusal: list[bytes] | None = None
    # When the first of the bytes came that are not read yet, and of those that are just being read.
    _unread_since: float | None = None
    _reading_since: float | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the factory."""
        super().connectionMade()
        self.factory.channels.add(self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Tell the request in progress that its caller has gone."""
        self._cancel_discard_timer()
        self._cancel_head_timer()
        self._dead = True
        super().connectionLost(reason)
        self.factory.forget(self)

    @property
    def idle(self) -> bool:
        """Whether no request is being received, processed or answered."""
        return not self.requests

    # The head.

    def set_head_limits(self, limits: HeadLimits) -> None:
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
        if not self._head_lines and self.requests and self.factory.closing:
            # The answers to what was read before end this connection.
            self._leave_unread(line + self.delimiter)
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
        """Start to process the request, unless it must wait; its body is still to come."""
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
        request.waiting_since = self._reading_since
        self._start_waiting()
        if not request.started and request.waiting_since is None:
            request.waiting_since = self.factory.seconds()

    def _refuse_head(self, status: HTTPStatus) -> None:
        self._dead = True
        self._cancel_head_timer()
        self.persistent = False
        if self.requests and self.requests[-1].body is None:
            # The parser has made a request of the head's first line.
            del self.requests[-1]
        refusal = Refusal(RefusalReason.BAD_REQUEST, status.phrase)
        self._refusal = _serialize(to_answer(refusal)._replace(status=int(status)))
        if not self.requests:
            self._close()

    # Requests ahead of their turn.

    def has_more(self, request: "CallerRequest") -> bool:
        """Tell whether another answer follows that to `request`."""
        return self.requests[-1] is not request or self._refusal is not None

    def _start_waiting(self) -> None:
        """Process the newest request if it waits and may run beside those before it.

        No further head is read while one waits, so only the newest can. Nothing is done for one
        whose head has not ended yet.
        """
        request: CallerRequest = self.requests[-1]
        if request.started or request.body is None:
            return
        is_first = len(self.requests) == 1
        overlaps = self.factory.may_overlap
        if is_first or all(one.body.length == 0 and overlaps(one.head()) for one in self.requests):
            if not is_first:
                request.place.take()
                self.factory.count("pipelined.beside")
            if request.waiting_since is not None:
                self.factory.observe_wait(request.waiting_since)
            request.start()

    def _read_on(self) -> None:
        """Read the next request if the newest has been read and there is room for one more."""
        if self._dead or not self._handlingRequest or not self.persistent:
            return
        if self._waitingForTransport:
            # A caller that does not read its answers gets no further ones.
            return
        if self.requests and (self.factory.closing or not self.requests[-1].started):
            return
        if not may_read_on([request.place for request in self.requests], self.factory.room):
            return
        self._handlingRequest = False
        self._networkProducer.resumeProducing()
        data = b"".join(self._dataBuffer)
        self._dataBuffer = []
        self._reading_since, self._unread_since = self._unread_since, None
        self.setLineMode(data)
        self._reading_since = None

    def _leave_unread(self, data: bytes) -> None:
        self._handlingRequest = True
        self.setRawMode()
        self._dataBuffer.append(data)

    # The body.

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Ignore what follows a malformed head or body."""
        if self._dead:
            return
        if self._handlingRequest and self._unread_since is None:
            self._unread_since = self.factory.seconds()
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
        else:
            self._read_on()

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
        self._read_on()

    # The end of an exchange.

    def requestDone(self, request: "CallerRequest") -> None:  # noqa: N802
        """Go to the next request, but not before this one's body has been read."""
        if self._content_received or request is not self.requests[-1]:
            self._end_exchange(request)
            return
        self._answered = request
        self._discard_timer = self.callLater(DISCARD_TIMEOUT_S, self.transport.abortConnection)
        request.body.discard()

    def _end_exchange(self, request: "CallerRequest") -> None:
        """Let the next request answer; without one, close the connection or let it rest."""
        self._cancel_discard_timer()
        self._answered = None
        if request is not self.requests[0]:
            raise RuntimeError("an answer has ended out of turn")
        del self.requests[0]
        if self.requests:
            self._start_waiting()
            self.requests[0].begin_turn()
            self._read_on()
        elif self.persistent:
            self.setTimeout(self.factory.timeOut)
            self._read_on()
        else:
            self._close()

    def _close(self) -> None:
        """Close the connection after what was written; a refused head gets its answer first."""
        if self._refusal is not None:
            self.transport.writeSequence(self._refusal)
            self._refusal = None
        self.loseConnection()

    def _cancel_discard_timer(self) -> None:
        if self._discard_timer is not None and self._discard_timer.active():
            self._discard_timer.cancel()
        self._discard_timer = None


def _serialize(answer: Answer) -> list[bytes]:
    """Return a whole answer that closes its connection, for a request that was never parsed."""
    status = HTTPStatus(answer.status)
    lines = [f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()]
    headers = (*answer.headers, ("Content-Length", str(len(answer.body))), ("Connection", "close"))
    for name, value in headers:
        lines.append(f"{name}: {value}\r\n".encode("latin-1"))
    return [*lines, b"\r\n", answer.body]
