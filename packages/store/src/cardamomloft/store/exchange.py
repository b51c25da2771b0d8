"""HTTP client of the platform with limits of time and size and without retries."""

import socket
import typing as t
from collections.abc import Mapping
from datetime import timedelta

from cardamomloft.runtime.answers.connections import AnswerConnection, AnswerPool
from cardamomloft.store.failures import AnswerTooLongError, CallFailure, call_failure
from expression import Error, Ok, Result
from treq.client import HTTPClient
from twisted.internet import defer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent, ResponseDone
from twisted.web.iweb import IAgent, IResponse

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 4

# TCP keep-alive with its minimum values, which detects a dead peer in about 2 s.
_KEEPALIVE_OPTIONS = {socket.TCP_KEEPIDLE: 1, socket.TCP_KEEPINTVL: 1, socket.TCP_KEEPCNT: 1}


class Answer(t.NamedTuple):
    """A complete HTTP answer.

    `index` is the X-Consul-Index, None if it is missing or invalid. `era` is the value of the
    server's era header, None if it is missing.
    """

    status: int
    index: int | None
    body: bytes
    era: str | None = None


class _Connection(AnswerConnection):
    """A connection with TCP keep-alive.

    With it, a call that waits for a change on a dead connection fails before its timeout.
    """

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        handle = getattr(self.transport, "getHandle", lambda: None)()
        if isinstance(handle, socket.socket):
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, value in _KEEPALIVE_OPTIONS.items():
                handle.setsockopt(socket.IPPROTO_TCP, option, value)


class Exchange:
    """HTTP client of one server of the platform.

    Parameters
    ----------
    reactor
        Opens connections and runs timeouts.
    address
        The server as ``ip:port``.
    max_answer_bytes
        A call whose answer is longer fails.
    agent
        Sends the requests; the default keeps up to `MAX_IDLE_CONNECTIONS` connections open.
    era_header
        Name of the answer header that holds the server's era, or None.
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
        # Retries, also of GET on a closed connection, are left to the caller.
        self._pool = AnswerPool(reactor, MAX_IDLE_CONNECTIONS, _Connection)
        default_agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._client = HTTPClient(agent or default_agent)

    def call(
        self,
        method: str,
        path: str,
        *,
        timeout: timedelta,
        params: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> "defer.Deferred[Result[Answer, CallFailure]]":
        """Send one request and read its answer.

        The Deferred never fails; cancelling it closes the connection and yields a `CallFailure`.
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
        self.body_received: defer.Deferred[bytes] = defer.Deferred(lambda _: self._stop())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._body.extend(data)
        if len(self._body) > self._limit and not self.body_received.called:
            detail = f"the answer is longer than {self._limit} bytes"
            self.body_received.errback(AnswerTooLongError(detail))
            self._stop()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.body_received.called:
            return
        if reason.check(ResponseDone):
            self.body_received.callback(bytes(self._body))
        else:
            self.body_received.errback(reason)

    def _stop(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


def _collect(response: IResponse, limit: int) -> "defer.Deferred[bytes]":
    collector = _Collector(limit)
    response.deliverBody(collector)
    return collector.body_received


def _index(response: IResponse) -> int | None:
    values = response.headers.getRawHeaders("X-Consul-Index") or [""]
    return int(values[0]) if values[0].isascii() and values[0].isdigit() else None
