"""Connection pool for upstream endpoints, and the connection used by each attempt."""

import functools
import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.runtime.answers.connections import QUIESCENT
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import URI, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from .connections import IDLE_TIMEOUT_S, UpstreamConnection

CONNECT_TIMEOUT = timedelta(milliseconds=500)
"""Default time in which a connection must be established. It covers several round trips between
regions. A lost SYN packet is retransmitted only after a second, by which a caller is served sooner
by another endpoint."""

MAX_IDLE_PER_ENDPOINT = 4


class _ConnectionFactory(HTTPConnectionPool._factory):
    def __init__(self, pool: "ConnectionPool", *args: t.Any) -> None:
        super().__init__(*args)
        self._pool = pool

    def buildProtocol(self, addr: object) -> UpstreamConnection:  # noqa: N802
        pool = self._pool
        return UpstreamConnection(self._quiescentCallback, pool.call_later, pool.carriers)


class ConnectionPool(HTTPConnectionPool):
    """Pool of idle connections with a small limit per endpoint, without automatic retries.

    Attributes
    ----------
    carriers : set of UpstreamConnection
        Connections with a stored body of which the endpoint may not have received the rest.
    """

    retryAutomatically = False  # noqa: N815
    maxPersistentPerHost = MAX_IDLE_PER_ENDPOINT  # noqa: N815
    cachedConnectionTimeout = IDLE_TIMEOUT_S  # noqa: N815

    def __init__(self, reactor: t.Any) -> None:
        super().__init__(reactor)
        self.call_later = reactor.callLater
        self.carriers: set[UpstreamConnection] = set()
        self._factory = functools.partial(_ConnectionFactory, self)

    def _putConnection(self, key: t.Hashable, connection: UpstreamConnection) -> None:  # noqa: N802
        # The base class reads this attribute when it schedules the close of this connection.
        self.cachedConnectionTimeout = connection.idle_s
        super()._putConnection(key, connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to `address`, which is ``ip:port``."""
        key = _pool_key(address)
        for connection in tuple(self._connections.get(key, ())):
            self._timeouts[connection].cancel()
            self._removeConnection(key, connection)

    def has_idle(self, address: str) -> bool:
        """Return whether there is an idle connection to `address`, which is ``ip:port``."""
        return bool(self._connections.get(_pool_key(address)))

    def open(self, key: t.Hashable, endpoint: IStreamClientEndpoint) -> "Deferred[t.Any]":
        """Open a new connection, which is added to the pool after its first answer."""
        return self._newConnection(key, endpoint)


def _pool_key(address: str) -> tuple[bytes, bytes, int]:
    host, _, port = address.rpartition(":")
    return (b"http", host.encode(), int(port))


class Attempt:
    """Pool adapter for one request: passes a connection to `Agent` and keeps a reference to it.

    Parameters
    ----------
    pool
        The pool of idle connections.
    fresh
        Whether to open a new connection even if an idle one is available.
    on_connected
        Called when the attempt has got its connection; tells whether that is a new one.
    target
        The request target, which `Agent` would change where it has empty parts.
    request_id
        The id of the request, for log lines.

    Attributes
    ----------
    connection
        The connection, or None; while it is None, no byte can have been sent.
    """

    persistent = True

    def __init__(
        self,
        pool: ConnectionPool,
        *,
        fresh: bool,
        on_connected: Callable[[bool], None] = lambda new: None,
        target: bytes | None = None,
        request_id: str = "",
    ) -> None:
        self._target = target
        self._request_id = request_id
        self.connection: UpstreamConnection | None = None
        self._pool = pool
        self._fresh = fresh
        self._on_connected = on_connected
        self._exchange = 0

    def getConnection(  # noqa: N802  (called by Agent)
        self, key: t.Hashable, endpoint: IStreamClientEndpoint
    ) -> "Deferred[UpstreamConnection]":
        """Return a connection for this request, from the pool or a new one."""
        get_connection = self._pool.open if self._fresh else self._pool.getConnection
        return get_connection(key, endpoint).addCallback(self._connected)

    def abort(self) -> None:
        """Reset the connection, unless this attempt's exchange on it has ended."""
        conn = self.connection
        if conn is None or conn.exchange != self._exchange or conn.state == QUIESCENT:
            return
        conn.give_up()

    def _connected(self, conn: UpstreamConnection) -> UpstreamConnection:
        self.connection = conn
        self._exchange = conn.exchange + 1
        conn.target, conn.request_id = self._target, self._request_id
        self._on_connected(not conn.exchange)
        return conn


@implementer(IAgentEndpointFactory)
class NumericEndpoints:
    """Endpoint factory for numeric IPv4 addresses; it bypasses the threaded name resolver."""

    def __init__(self, reactor: t.Any, timeout: timedelta = CONNECT_TIMEOUT) -> None:
        self._reactor = reactor
        self._timeout = timeout.total_seconds()

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return an endpoint for the numeric address in `uri`."""
        return TCP4ClientEndpoint(
            self._reactor, uri.host.decode("ascii"), uri.port, timeout=self._timeout
        )
