"""Connections to upstream endpoints: which may be reused, and what an attempt may have sent."""

import re
import socket
import typing as t

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol
from twisted.web.client import URI, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory, IResponse
from zope.interface import implementer

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_PER_ENDPOINT = 4
# Shorter than what HTTP servers usually grant, so that it is seldom they who close first.
IDLE_TIMEOUT_S = 3.0
# Part of the idle time that an upstream grants in its answers.
IDLE_PART = 0.7

# How long what was sent may stay unacknowledged, in milliseconds, before the connection counts as
# dead. A round trip between regions takes some 70 ms and a lost packet some 200 ms more; without
# this a kept connection that has gone silent holds its request until the timeout of the rule.
SILENCE_MS = 700

_KEEP_ALIVE = re.compile(rb"timeout=(\d{1,6})")

_FIRST_ERROR_STATUS = 400

# States of HTTP11ClientProtocol.
_QUIESCENT = "QUIESCENT"
_TRANSMITTING = "TRANSMITTING"
_TRANSMITTING_AFTER_RESPONSE = "TRANSMITTING_AFTER_RECEIVING_RESPONSE"
_WAITING = "WAITING"


class UpstreamConnection(HTTP11ClientProtocol):
    """A connection that is not reused after bytes that no request has asked for.

    Attributes
    ----------
    exchange
        Number of the request in progress, or of the last one; counts from 1.
    closed_in_order
        Whether the upstream has ended the connection without a reset.
    idle_s
        How long it may stay idle and be used again, in seconds.
    """

    exchange = 0
    closed_in_order = False
    idle_s = IDLE_TIMEOUT_S

    def connectionMade(self) -> None:  # noqa: N802
        """Let the kernel end the connection soon when the other side has gone silent."""
        super().connectionMade()
        handle = getattr(self.transport, "getHandle", lambda: None)()
        if isinstance(handle, socket.socket):
            handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)

    def request(self, request: t.Any) -> "Deferred[t.Any]":
        """Send one request; an error status stops an upload that is still under way."""
        self.exchange += 1
        result = super().request(request)
        if self.state == _TRANSMITTING:
            self._responseDeferred.addCallback(self._answered_early, request)
        return result

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Drop the connection if an answer arrives that belongs to no request."""
        if self.state == _QUIESCENT:
            self.abort()
            self.transport.abortConnection()
        else:
            super().dataReceived(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Note how the connection ended."""
        self.closed_in_order = bool(reason.check(ConnectionDone))
        super().connectionLost(reason)

    def _answered_early(self, response: IResponse, request: t.Any) -> IResponse:
        # Without this the answer would stay unseen until the whole body was sent, and be lost if
        # the upstream closed the connection before. An upstream that answers well may still read.
        transmitting = self.state in (_TRANSMITTING, _TRANSMITTING_AFTER_RESPONSE)
        if response.code < _FIRST_ERROR_STATUS or not transmitting:
            return response
        request.stopWriting()
        request.persistent = False
        self.transport.unregisterProducer()
        if self.state == _TRANSMITTING:
            self._state = _WAITING
            self._responseDeferred.chainDeferred(self._finishedRequest)
        return response

    def _finishResponse_WAITING(self, rest: bytes) -> None:  # noqa: N802
        # What follows a whole answer could pass for the answer to the next request.
        if rest and self._currentRequest is not None:
            self._currentRequest.persistent = False
        granted = self._parser and self._parser.connHeaders.getRawHeaders(b"keep-alive")
        if granted:
            self.idle_s = usable_idle_s(granted[0])
        super()._finishResponse_WAITING(rest)


def usable_idle_s(granted: bytes) -> float:
    """Return how long a connection is used again whose server sent this ``Keep-Alive`` header.

    The server counts from when it sent its answer, so a part of the time granted is left out: a
    request that crosses the server's close may or may not have run.
    """
    found = _KEEP_ALIVE.search(granted)
    return IDLE_TIMEOUT_S if found is None else IDLE_PART * int(found[1])


class _ConnectionFactory(HTTPConnectionPool._factory):
    def buildProtocol(self, addr: object) -> UpstreamConnection:  # noqa: N802
        return UpstreamConnection(self._quiescentCallback)


class ConnectionPool(HTTPConnectionPool):
    """Idle connections, few per endpoint and never for long; nothing is retried here."""

    _factory = _ConnectionFactory
    retryAutomatically = False  # noqa: N815
    maxPersistentPerHost = MAX_IDLE_PER_ENDPOINT  # noqa: N815
    cachedConnectionTimeout = IDLE_TIMEOUT_S  # noqa: N815

    def _putConnection(self, key: t.Hashable, connection: UpstreamConnection) -> None:  # noqa: N802
        # Read by the method that this extends, for this connection only.
        self.cachedConnectionTimeout = connection.idle_s
        super()._putConnection(key, connection)

    def drop(self, address: str) -> None:
        """Close the idle connections to `address`, which is ``ip:port``."""
        host, _, port = address.rpartition(":")
        key = (b"http", host.encode(), int(port))
        for connection in tuple(self._connections.get(key, ())):
            self._timeouts[connection].cancel()
            self._removeConnection(key, connection)

    def open(self, key: t.Hashable, endpoint: IStreamClientEndpoint) -> "Deferred[t.Any]":
        """Open a new connection, which joins the pool after its first answer."""
        return self._newConnection(key, endpoint)


class Attempt:
    """One request's use of the pool: gives `Agent` its connection, and remembers it.

    Parameters
    ----------
    pool
        Where idle connections are kept.
    fresh
        Whether to open a new connection even if there is an idle one.

    Attributes
    ----------
    connection
        The connection, or None; as long as it is None, no byte can have left.
    """

    persistent = True

    def __init__(self, pool: ConnectionPool, *, fresh: bool) -> None:
        self.connection: UpstreamConnection | None = None
        self._pool = pool
        self._fresh = fresh
        self._exchange = 0

    def getConnection(  # noqa: N802  (the name that Agent calls)
        self, key: t.Hashable, endpoint: IStreamClientEndpoint
    ) -> "Deferred[UpstreamConnection]":
        """Return a connection for one request."""
        find = self._pool.open if self._fresh else self._pool.getConnection
        return find(key, endpoint).addCallback(self._connected)

    def abort(self) -> None:
        """Reset the connection, unless this attempt's exchange on it is over."""
        conn = self.connection
        if conn is None or conn.exchange != self._exchange or conn.state == _QUIESCENT:
            return
        conn.transport.abortConnection()

    def _connected(self, conn: UpstreamConnection) -> UpstreamConnection:
        self.connection = conn
        self._exchange = conn.exchange + 1
        return conn


@implementer(IAgentEndpointFactory)
class NumericEndpoints:
    """Connects to IPv4 numbers without a resolver, which would use threads."""

    def __init__(self, reactor: t.Any, timeout: float = CONNECT_TIMEOUT_S) -> None:
        self._reactor = reactor
        self._timeout = timeout

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint for the address in `uri`."""
        return TCP4ClientEndpoint(
            self._reactor, uri.host.decode("ascii"), uri.port, timeout=self._timeout
        )
