"""A connection to an upstream endpoint, for one exchange after the other."""

import re
import socket
import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.runtime.answers.connections import QUIESCENT, AnswerConnection
from cardamomloft.runtime.logs import log
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import (
    IDelayedCall,
    IHalfCloseableProtocol,
)
from twisted.python.failure import Failure
from twisted.web.iweb import IResponse
from zope.interface import implementer

from .exchangestate import FIRST_ERROR_STATUS, Ending, ExchangeState
from .guardedtransport import GuardedTransport

# Shorter than the keep-alive time of most HTTP servers, so that the client usually closes first.
IDLE_TIMEOUT_S = 3.0
# An idle connection is closed after this fraction of the keep-alive time granted by its upstream.
IDLE_FRACTION = 0.7

USER_TIMEOUT = timedelta(minutes=10)
"""TCP_USER_TIMEOUT: how long sent data may stay unacknowledged or unread before the kernel closes a
connection. It is no shorter than the longest deadline of a request, since an endpoint that reads a
body slowly may be at work on it; it bounds how long closed connections keep unsent data."""

_KEEP_ALIVE = re.compile(rb"timeout=(\d{1,6})")

# States of HTTP11ClientProtocol.
_TRANSMITTING = "TRANSMITTING"
_TRANSMITTING_AFTER_RESPONSE = "TRANSMITTING_AFTER_RECEIVING_RESPONSE"
_WAITING = "WAITING"


@implementer(IHalfCloseableProtocol)
class UpstreamConnection(AnswerConnection):
    """A connection that is used again only after an exchange that is over on both sides.

    Parameters
    ----------
    on_quiescent
        Called when the connection can be used again.
    call_later
        Schedules a call after a number of seconds.
    carriers
        The connections that carry the rest of a stored body, to which this one adds itself.

    Attributes
    ----------
    exchange
        Number of requests sent on this connection, which identifies the current or last one.
    closed_cleanly
        Whether the upstream closed the connection without a reset.
    idle_s
        Idle time in seconds after which the connection is closed.
    target
        The target of the next request, as it is to be sent; None to leave it to the request.
    request_id
        The id of the last request, for log lines.
    """

    exchange = 0
    closed_cleanly = False
    idle_s = IDLE_TIMEOUT_S
    target: bytes | None = None
    request_id = ""
    _upload_stopped = False
    _stored_id = ""

    def __init__(
        self,
        on_quiescent: Callable[["UpstreamConnection"], None],
        call_later: Callable[..., IDelayedCall] | None = None,
        carriers: "set[UpstreamConnection] | None" = None,
    ) -> None:
        super().__init__(on_quiescent)
        self._exchange_state = ExchangeState()
        self._call_later = call_later
        self._carriers = set() if carriers is None else carriers

    def makeConnection(self, transport: t.Any) -> None:  # noqa: N802
        """Guard the transport, so that no stored body is lost with the connection."""
        super().makeConnection(GuardedTransport(transport, self._exchange_state, self._call_later))

    def connectionMade(self) -> None:  # noqa: N802
        """Set `TCP_USER_TIMEOUT` to `USER_TIMEOUT`."""
        super().connectionMade()
        handle = getattr(self.transport, "getHandle", lambda: None)()
        if isinstance(handle, socket.socket):
            ms = USER_TIMEOUT // timedelta(milliseconds=1)
            handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ms)

    def request(self, request: t.Any) -> "Deferred[t.Any]":
        """Send one request; an error status stops an upload that is still in progress."""
        self.exchange += 1
        self._exchange_state.begin(has_body=request.bodyProducer is not None)
        if self.target is not None:
            request.uri = self.target
        write_to = request.writeTo
        request.writeTo = lambda transport: write_to(transport).addBoth(self._upload_ended)
        result = super().request(request)
        if self.state == _TRANSMITTING:
            self._responseDeferred.addCallback(self._stop_upload_on_error, request)
        return result

    def give_up(self) -> None:
        """End the connection, since the answer of the present exchange will not be passed on."""
        self._exchange_state.reject_answer()
        self.transport.abortConnection()

    def is_passing_on(self) -> bool:
        """Return whether the endpoint's host has not received the whole body yet."""
        return self._exchange_state.is_upload_answered or self.transport.unsent() > 0

    # Data from the endpoint.

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Ignore data after a complete answer while the request's body is still being sent."""
        if self.transport.lingering is None and self.state != _TRANSMITTING_AFTER_RESPONSE:
            super().dataReceived(data)
            self._record_status()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Go on sending a body to an endpoint that has answered and closed only its side."""
        if self.transport.lingering is not None:
            self.transport.lingering.read_side_closed()
        elif self._exchange_state.is_upload_answered:
            log("upload-half-closed", id=self.request_id)
        elif self.state == _WAITING and self._ends_answer_of_unread_body():
            self.transport.loseConnection()
        else:
            self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Wait until the endpoint closes its side."""
        if self.transport.lingering is not None:
            self.transport.lingering.write_side_closed()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Record whether the connection was closed without a reset."""
        self.closed_cleanly = bool(reason.check(ConnectionDone))
        self.transport.lost = True
        self._carriers.discard(self)
        lingering = self.transport.lingering
        if lingering is not None:
            lingering.cancel()
        if self._exchange_state.is_upload_answered or (lingering and not self.closed_cleanly):
            self._exchange_state.record_body_incomplete()
            self._log_incomplete(reason)
        super().connectionLost(reason)

    def _ends_answer_of_unread_body(self) -> bool:
        """Complete an answer that ends with the endpoint's side; return whether it reads on."""
        if not self._exchange_state.has_good_answer or not self.transport.unsent():
            return False
        self.closed_cleanly = True
        self._disconnectParser(Failure(ConnectionDone()))
        self._state = QUIESCENT
        return True

    def _record_status(self) -> None:
        response = getattr(self._parser, "response", None)
        if response is not None:
            self._exchange_state.record_answer(response.code)

    def _record_answer_complete(self) -> None:
        self._record_status()
        self._exchange_state.record_answer_complete()
        self._stored_id = self.request_id

    # Uploads.

    def _stop_upload_on_error(self, response: IResponse, request: t.Any) -> IResponse:
        # The base class delivers an answer only after the request body is sent, and drops it if the
        # upstream closes the connection earlier. After a success status the upload continues,
        # since the upstream may still be reading the body.
        transmitting = self.state in (_TRANSMITTING, _TRANSMITTING_AFTER_RESPONSE)
        if response.code < FIRST_ERROR_STATUS or not transmitting:
            return response
        request.stopWriting()
        request.persistent = False
        self._upload_stopped = True
        self._exchange_state.record_body_incomplete()
        self.transport.unregisterProducer()
        if self.state == _TRANSMITTING:
            self._state = _WAITING
            self._responseDeferred.chainDeferred(self._finishedRequest)
        else:
            self.transport.abortConnection()
        return response

    def _giveUp(self, reason: Failure) -> None:  # noqa: N802
        # The base class reports nothing before the body is sent, and forgets to whom.
        transmitting = self.state == _TRANSMITTING
        if transmitting:
            self._currentRequest.stopWriting()
            self._exchange_state.record_body_incomplete()
            self.transport.unregisterProducer()
            self._state = _WAITING
            self._responseDeferred.chainDeferred(self._finishedRequest)
        super()._giveUp(reason)
        if transmitting:
            # Closing would wait until the upstream has read what is still in the send buffer.
            self.transport.abortConnection()

    def _finishResponse_TRANSMITTING(self, rest: bytes) -> None:  # noqa: N802
        # The upstream may read on after an early success; the base class would close now.
        if self._upload_stopped or self._parser is None:
            super()._finishResponse_TRANSMITTING(rest)
            return
        self._record_answer_complete()
        self._carriers.add(self)
        self._state = _TRANSMITTING_AFTER_RESPONSE
        self._responseDeferred.chainDeferred(self._finishedRequest)
        self._disconnectParser(Failure(ConnectionDone()))

    def _upload_ended(self, result: t.Any) -> t.Any:
        """Close the connection after a body that was sent on after its complete answer."""
        was_answered = self._exchange_state.is_upload_answered
        failed = isinstance(result, Failure)
        if failed:
            self._exchange_state.record_body_incomplete()
        else:
            self._exchange_state.record_body_written()
        if not was_answered:
            return result
        self._state = QUIESCENT
        if failed:
            # An incomplete body must not look like a whole one.
            self._log_incomplete(result)
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()
        return None

    def _log_incomplete(self, reason: Failure) -> None:
        log("upload-incomplete", id=self._stored_id, detail=reason.getErrorMessage())

    # The end of an answer.

    def _finishResponse_WAITING(self, rest: bytes) -> None:  # noqa: N802
        granted = self._parser and self._parser.connHeaders.getRawHeaders(b"keep-alive")
        if granted:
            self.idle_s = usable_idle_s(granted[0])
        self._record_answer_complete()
        ending = self._exchange_state.ending(self.transport.unsent)
        if ending is not Ending.REUSE and self._currentRequest is not None:
            self._currentRequest.persistent = False
        if ending is Ending.CLOSE:
            self._carriers.add(self)
        super()._finishResponse_WAITING(rest)
        if ending is Ending.RESET:
            # Closing would wait until the upstream has read what is still in the send buffer.
            self.transport.abortConnection()


def usable_idle_s(granted: bytes) -> float:
    """Return the idle timeout in seconds for a connection with this ``Keep-Alive`` header value.

    It is shorter than the time granted, which the server counts from when it sent its answer. If
    the server closes the connection while a request is being sent, the client cannot know whether
    the request ran.
    """
    match = _KEEP_ALIVE.search(granted)
    return IDLE_TIMEOUT_S if match is None else IDLE_FRACTION * int(match[1])
