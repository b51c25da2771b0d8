"""HTTP client that sends requests to upstream endpoints.

A request counts as sent once it has a connection, since bytes may be sent from then on. A failure
before that proves that the request was not run; afterwards only a definite refusal by the upstream
proves it.
"""

import typing as t
from collections import Counter
from collections.abc import Container
from datetime import timedelta

from cardamomloft.core.model import Endpoint
from cardamomloft.runtime.logs import ReportedProblems, log
from expression import Error, Result
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from twisted.web.client import Agent
from twisted.web.iweb import IResponse

from .body import AnswerBody
from .dialect import Dialect
from .exchange import Exchange, describe
from .hints import UpstreamLoad, confirms_stopped, parse_load
from .observers import LinkObservers
from .pool import CONNECT_TIMEOUT, Attempt, ConnectionPool, NumericEndpoints
from .sends import SendFailure, UpstreamAnswer, UpstreamRequest

POLL_TIMEOUT = timedelta(milliseconds=500)
CANCEL_TIMEOUT = timedelta(seconds=2)
MAX_IN_FLIGHT_PER_ENDPOINT = 64

PASSING_INTERVAL_S = 0.05
"""Interval at which a stop checks whether bodies have been passed on, in seconds."""

_CONTROL_BODY_LIMIT = 4096
_OWN_DIALECT = Dialect()


class UpstreamClient:
    """HTTP/1.1 client for all upstream endpoints of one entry.

    Parameters
    ----------
    reactor
        The reactor for connections and timeouts.
    max_in_flight
        Maximum number of concurrent requests per endpoint, above which `send` fails as not run.
        It is a safeguard: the endpoint's own limits, which are enforced elsewhere, are lower.
    dialect
        Header names and conventions of the upstreams.
    connect_timeout
        Time in which a connection must be established.

    Attributes
    ----------
    observers : LinkObservers
        Observe whether connections work.
    """

    def __init__(
        self,
        reactor: t.Any,
        *,
        max_in_flight: int = MAX_IN_FLIGHT_PER_ENDPOINT,
        dialect: Dialect = _OWN_DIALECT,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> None:
        self.reactor = reactor
        self.dialect = dialect
        self.observers = LinkObservers()
        self.pool = ConnectionPool(reactor)
        self.endpoints = NumericEndpoints(reactor, connect_timeout)
        self.exchanges: set[Exchange] = set()
        self.in_flight: Counter[str] = Counter()
        self._max_in_flight = max_in_flight
        self._control_pool = ConnectionPool(reactor)
        self._faults = ReportedProblems()

    def send(self, req: UpstreamRequest) -> "Deferred[Result[UpstreamAnswer, SendFailure]]":
        """Send `req` and return the head of its answer.

        Cancelling the result aborts the request; once the head has arrived, aborting the answer's
        body does. After either one, or a timeout, the upstream may still run the request; `cancel`
        stops it.
        """
        if req.timeout <= timedelta(0):
            return succeed(Error(SendFailure(True, "no time left before the deadline")))
        if self.in_flight[req.endpoint.address] >= self._max_in_flight:
            detail = f"limit of {self._max_in_flight} requests in flight to the endpoint reached"
            return succeed(Error(SendFailure(True, detail)))
        return Exchange(self, req).result

    def cancel(self, endpoint: Endpoint, request_id: str) -> "Deferred[bool]":
        """Cancel a request; return whether the upstream confirms that it is not running.

        This frees the slot, but the request may already have had an effect.
        """
        path = f"/-/requests/{request_id}"
        body = self._control("DELETE", endpoint, path, CANCEL_TIMEOUT)
        return body.addCallback(lambda raw: raw.is_ok() and confirms_stopped(raw.ok))

    def poll(
        self, endpoint: Endpoint, timeout: timedelta = POLL_TIMEOUT
    ) -> "Deferred[Result[UpstreamLoad, str]]":
        """Fetch the upstream's load report."""
        body = self._control("GET", endpoint, "/-/load", timeout)
        return body.addCallback(lambda raw: raw.bind(parse_load))

    def has_idle(self, address: str) -> bool:
        """Return whether there is an idle connection to `address`."""
        return self.pool.has_idle(address)

    def abort_unsent(self, detail: str, addresses: Container[str] | None = None) -> int:
        """Abort exchanges that have no connection yet; return their number.

        Parameters
        ----------
        detail
            The reason, for the results.
        addresses
            The endpoints concerned, None for all.
        """
        unsent = [one for one in self._awaited(addresses) if not one.is_sent]
        for exchange in unsent:
            exchange.abort(detail)
        return len(unsent)

    def suspect(self, evidence: str, addresses: Container[str] | None = None) -> int:
        """Tell the users of sent exchanges without an answer that these seem to be in vain.

        Parameters
        ----------
        evidence
            What speaks against them.
        addresses
            The endpoints concerned, None for all.

        Returns
        -------
        int
            The number of exchanges whose users were told.
        """
        suspected = [one for one in self._awaited(addresses) if one.may_suspect]
        for exchange in suspected:
            exchange.suspect(evidence)
        return len(suspected)

    def _awaited(self, addresses: Container[str] | None) -> "list[Exchange]":
        return [
            exchange
            for exchange in self.exchanges
            if exchange.is_awaited and (addresses is None or exchange.address in addresses)
        ]

    def close_idle(self, address: str) -> None:
        """Close the idle connections to `address`, because the upstream there was restarted."""
        self.pool.close_idle(address)
        self._control_pool.close_idle(address)

    async def passed_on(self) -> None:
        """Return once endpoints have received all bodies that they have answered early."""
        while any(conn.is_passing_on() for conn in self.pool.carriers):
            await deferLater(self.reactor, PASSING_INTERVAL_S)

    def report_fault(self, request_id: str, failure: Failure) -> None:
        """Log an exception in the handlers of an exchange, each kind of it once."""
        detail = describe(failure)
        if self._faults.is_new(detail, detail):
            log("exchange-fault", id=request_id, detail=detail, trace=failure.getTraceback())

    def close(self) -> "Deferred[None]":
        """Close all idle connections."""
        done = self.pool.closeCachedConnections()
        return done.addCallback(lambda _: self._control_pool.closeCachedConnections())

    def _control(
        self, method: str, endpoint: Endpoint, path: str, timeout: timedelta
    ) -> "Deferred[Result[bytes, str]]":
        """Send a control request; return the body of its answer if the status is 200."""
        attempt = Attempt(self._control_pool, fresh=False)
        http = HTTPClient(Agent.usingEndpointFactory(self.reactor, self.endpoints, attempt))
        url = f"http://{endpoint.address}{path}"
        answered = http.request(
            method, url, reactor=self.reactor, unbuffered=True, allow_redirects=False
        )

        def collect(response: IResponse) -> "Deferred[Result[bytes, str]] | Result[bytes, str]":
            body = AnswerBody(response, attempt.abort)
            if response.code != 200:
                body.abort()
                return Error(f"status {response.code}")
            return body.collect(_CONTROL_BODY_LIMIT)

        answered.addCallback(collect)
        answered.addTimeout(timeout.total_seconds(), self.reactor)
        return answered.addErrback(_control_failure, attempt)


def _control_failure(failure: Failure, attempt: Attempt) -> Result[bytes, str]:
    attempt.abort()
    return Error(describe(failure))
