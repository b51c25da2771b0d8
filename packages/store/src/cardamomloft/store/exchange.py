"""One HTTP exchange with the platform: bounded in time and size, never repeated."""

import socket
import typing as t
from collections.abc import Mapping
from datetime import timedelta

from cardamomloft.store.failures import CallFailure, call_failure
from expression import Error, Ok, Result
from treq.client import HTTPClient
from twisted.internet import defer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.iweb import IAgent, IResponse

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTIONS = 4

# A second without a byte, then one probe and a second for its answer: the least that there is.
_PROBES = {socket.TCP_KEEPIDLE: 1, socket.TCP_KEEPINTVL: 1, socket.TCP_KEEPCNT: 1}


class Answer(t.NamedTuple):
    """A whole HTTP answer.

    `index` is its X-Consul-Index, None if there is no valid one. `era` is the text of the header by
    which the server tells its era, None without it.
    """

    status: int
    index: int | None
    body: bytes
    era: str | None = None


class _Connection(HTTP11ClientProtocol):
    """A connection that ends soon after the other side has gone silent.

    A call may wait for a change for seconds; without probes it would wait on a dead connection.
    """

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        handle = getattr(self.transport, "getHandle", lambda: None)()
        if isinstance(handle, socket.socket):
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, value in _PROBES.items():
                handle.setsockopt(socket.IPPROTO_TCP, option, value)


class _ConnectionFactory(HTTPConnectionPool._factory):
    def buildProtocol(self, addr: object) -> _Connection:  # noqa: N802
        return _Connection(self._quiescentCallback)


class _Pool(HTTPConnectionPool):
    _factory = _ConnectionFactory


class Exchange:
    """Calls one HTTP server of the platform.

    Parameters
    ----------
    reactor
        Opens connections and measures timeouts.
    address
        The server as ``ip:port``.
    max_answer_bytes
        Longer answers count as failed.
    agent
        Sends the requests; the default keeps a few connections open.
    era_header
        Header of answers by which the server tells its era.
    """

    def __init__(
        self,
        reactor: t.Any,
        address: str,
        *,
        max_answer_bytes: int,
        agent: IAgent | None = None,
        era_header: str | None = None,
    ) -> None:
        self._reactor = reactor
        self._root = f"http://{address}"
        self._max_answer_bytes = max_answer_bytes
        self._era_header = era_header
        self._pool = _Pool(reactor)
        self._pool.maxPersistentPerHost = IDLE_CONNECTIONS
        # Twisted would repeat a GET on a connection that has died; the caller is to decide that.
        self._pool.retryAutomatically = False
        own_agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._client = HTTPClient(agent or own_agent)

    def call(
        self,
        method: str,
        path: str,
        *,
        timeout: timedelta,
        params: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> "defer.Deferred[Result[Answer, CallFailure]]":
        """Send one request and collect its answer.

        The Deferred never fails; cancelling it drops the connection and gives a failure.
        """
        answered = defer.Deferred.fromCoroutine(self._answer(method, path, params or {}, body))
        answered.addTimeout(timeout.total_seconds(), self._reactor)
        return answered.addCallbacks(Ok, lambda failure: Error(call_failure(failure)))

    def close(self) -> "defer.Deferred[None]":
        """Close the idle connections."""
        return self._pool.closeCachedConnections()

    async def _answer(
        self, method: str, path: str, params: Mapping[str, str], body: bytes | None
    ) -> Answer:
        response = await self._client.request(
            method,
            self._root + path,
            params=dict(params),
            data=body,
            allow_redirects=False,
            unbuffered=True,
        )
        content = await _collect(response, self._max_answer_bytes)
        era = response.headers.getRawHeaders(self._era_header) if self._era_header else None
        return Answer(response.code, _index(response), content, era[0] if era else None)


class _Collector(Protocol):
    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._body = bytearray()
        self.whole: defer.Deferred[bytes] = defer.Deferred(lambda _: self._stop())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._body.extend(data)
        if len(self._body) > self._limit and not self.whole.called:
            self._stop()
            self.whole.errback(ValueError(f"the answer is longer than {self._limit} bytes"))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.whole.called:
            return
        if reason.check(ResponseDone):
            self.whole.callback(bytes(self._body))
        else:
            self.whole.errback(reason)

    def _stop(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


def _collect(response: IResponse, limit: int) -> "defer.Deferred[bytes]":
    collector = _Collector(limit)
    response.deliverBody(collector)
    return collector.whole


def _index(response: IResponse) -> int | None:
    values = response.headers.getRawHeaders("X-Consul-Index") or [""]
    return int(values[0]) if values[0].isascii() and values[0].isdigit() else None
