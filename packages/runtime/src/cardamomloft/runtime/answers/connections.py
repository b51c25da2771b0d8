"""A client's connections to HTTP servers, whose answers are read strictly.

The parser of Twisted gets only heads that are valid, so that its leniency has no effect.
"""

import functools
import typing as t

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol
from twisted.web.client import HTTPConnectionPool
from twisted.web.http import _ChunkedTransferDecoder

from .grammar import MAX_ANSWER_HEAD_BYTES, AnswerReader, MalformedAnswerError, read_field

# State of HTTP11ClientProtocol.
QUIESCENT = "QUIESCENT"


class _ChunkedDecoder(_ChunkedTransferDecoder):
    """Decodes bodies in chunks, and accepts only fields in the trailer."""

    def _dataReceived_TRAILER(self) -> bool:  # noqa: N802
        end = self._buffer.find(b"\r\n", self._start)
        if end > 0:
            read_field(bytes(self._buffer[:end]))
        return super()._dataReceived_TRAILER()


_DECODERS = {b"chunked": _ChunkedDecoder}


class AnswerConnection(HTTP11ClientProtocol):
    """A connection that is reset at the first malformed answer, or at data that nobody requested.

    The request then fails with `~cardamomloft.runtime.answers.grammar.MalformedAnswerError`.
    """

    _reader: AnswerReader

    def request(self, request: t.Any) -> "Deferred[t.Any]":
        """Send one request; the Deferred fires with the answer once its head is valid."""
        self._reader = AnswerReader()
        answered = super().request(request)
        if self._parser is not None:
            self._parser.MAX_LENGTH = MAX_ANSWER_HEAD_BYTES
            self._parser._transferDecoders = _DECODERS
        return answered

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on the data of a valid answer; reset the connection otherwise."""
        if self.state == QUIESCENT:
            self.abort()
            self.transport.abortConnection()
            return
        if self._parser is None:
            return
        try:
            data = self._reader.feed(data)
        except MalformedAnswerError:
            self._giveUp(Failure())
            # A close would wait until the server has read what is still in the send buffer.
            self.transport.abortConnection()
            return
        if data:
            super().dataReceived(data)

    def _finishResponse_WAITING(self, rest: bytes) -> None:  # noqa: N802
        # Data after a complete answer could be mistaken for the answer to the next request.
        if rest and self._currentRequest is not None:
            self._currentRequest.persistent = False
        super()._finishResponse_WAITING(rest)


class _ConnectionFactory(HTTPConnectionPool._factory):
    def __init__(self, connection: type[AnswerConnection], *args: t.Any) -> None:
        super().__init__(*args)
        self._connection = connection

    def buildProtocol(self, addr: object) -> AnswerConnection:  # noqa: N802
        return self._connection(self._quiescentCallback)


class AnswerPool(HTTPConnectionPool):
    """Pool of connections that read answers strictly, without automatic retries.

    Parameters
    ----------
    reactor
        Closes connections that are idle for long.
    max_idle
        Maximum number of idle connections to a server.
    connection
        The class of the connections.
    """

    retryAutomatically = False  # noqa: N815

    def __init__(
        self, reactor: t.Any, max_idle: int, connection: type[AnswerConnection] = AnswerConnection
    ) -> None:
        super().__init__(reactor)
        self.maxPersistentPerHost = max_idle
        self._factory = functools.partial(_ConnectionFactory, connection)
