"""Finds the endpoints that accept no connections, and when they accept them again."""

import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.connectivity.outages import EndpointOutages
from cardamomloft.core.connectivity.probes import PROBE_TIME
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.gateway.linkmonitor import Probe
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.observers import ConnectionFailure
from cardamomloft.upstreams.probing import probe
from twisted.internet.interfaces import IDelayedCall

TICK = timedelta(milliseconds=25)
"""Interval of checks while answers are awaited or endpoints are lost."""

MAX_LATENESS = timedelta(milliseconds=100)
"""Lateness of a check above which the process was suspended or busy, so that silence says nothing
until sockets were read."""

RETAIN_INTERVAL = timedelta(seconds=10)
"""Interval at which endpoints that are not registered any more are forgotten."""

_EVIDENCE = "the endpoint accepts no connections"


class EndpointMonitor:
    """Observes the exchanges of a client with each endpoint, and probes endpoints that are silent.

    Parameters
    ----------
    reactor, clock
        The event loop, and the source of time.
    client
        Sends requests to endpoints.
    outages
        Records which endpoints are lost, for the choice of endpoints.
    upstream_table
        The registered endpoints.
    links_down
        Returns whether the links of this gateway are down, which says nothing about endpoints.
    metrics
        Counts probes, losses, and the exchanges that are aborted or suspected.
    probe
        Opens a connection to an address; see :func:`~cardamomloft.upstreams.probing.probe`.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        client: UpstreamClient,
        outages: EndpointOutages,
        upstream_table: UpstreamTable,
        links_down: Callable[[], bool],
        metrics: Metrics,
        probe: Probe = probe,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._client = client
        self._outages = outages
        self._upstream_table = upstream_table
        self._links_down = links_down
        self._metrics = metrics
        self._probe = probe
        self._timer: IDelayedCall | None = None
        self._due = timedelta(0)
        self._checked_at = timedelta(0)
        self._retained_at = timedelta(0)
        self._stopped = False
        client.observers.add(self)

    # Observations of the client.

    def sent(self, address: str) -> None:
        """Observe the start of an exchange."""
        self._outages.record_sent(address, self._clock.monotonic())
        self._schedule()

    def connected(self, address: str, took: timedelta) -> None:
        """Observe that a new connection is established."""
        self.reached(address, took)

    def reached(self, address: str, took: timedelta) -> None:
        """Observe that a probe was accepted."""
        if self._outages.record_connected(address, took, self._clock.monotonic()):
            self._record_return(address)

    def answered(self, address: str) -> None:
        """Observe the head of an answer."""
        self._outages.record_answer(address, self._clock.monotonic())

    def failed(self, address: str, reason: ConnectionFailure) -> None:
        """Observe that there is no connection, or that one was lost before an answer began."""
        if self._links_down() or self._stopped:
            return
        if reason is ConnectionFailure.REFUSED:
            self._record_loss(address, silent=False)
        elif not self._outages.is_probed(address):
            self._start_probe(address)

    def ended(self, address: str) -> None:
        """Observe the end of the wait for an answer."""
        self._outages.record_end(address)

    # Probes.

    def forget(self) -> None:
        """Use all endpoints again, because failures had another cause."""
        self._outages.forget()

    def stop(self) -> None:
        """Stop probing."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def status(self) -> dict[str, t.Any]:
        """Return which endpoints are lost, for the status page."""
        return {
            "lost": sorted(self._outages.lost()),
            "returning": self._outages.returning_count,
        }

    def _schedule(self) -> None:
        if self._stopped or self._outages.is_idle:
            return
        if self._timer is None:
            self._due = self._clock.monotonic() + TICK
            self._timer = self._reactor.callLater(TICK.total_seconds(), self._check)

    def _check(self) -> None:
        self._timer = None
        now = self._clock.monotonic()
        if now - self._due <= MAX_LATENESS and not self._links_down():
            self._judge(now)
        self._checked_at = now
        if now - self._retained_at >= RETAIN_INTERVAL:
            self._retained_at = now
            self._outages.retain({up.registration.address for up in self._upstream_table.all()})
        self._schedule()

    def _judge(self, now: timedelta) -> None:
        """Record the endpoints that have gone silent, and probe those that may have."""
        outages = self._outages
        for address in outages.silent(self._checked_at):
            self._record_loss(address, silent=True)
        for address in outages.suspects(now):
            if not outages.is_probed(address):
                self._start_probe(address)
        for address in (*outages.checks(now), *outages.due_probes(now)):
            self._start_probe(address)

    def _start_probe(self, address: str) -> None:
        self._metrics.count("probes.endpoints")
        now, was_lost = self._clock.monotonic(), self._outages.is_lost(address)
        limit = self._outages.patience(address) if was_lost else PROBE_TIME
        self._outages.start_probe(address, now)
        outcome = self._probe(self._reactor, address, limit)
        outcome.addCallback(self._end_probe, address, now, limit, was_lost)
        self._schedule()

    def _end_probe(
        self,
        connected: bool,
        address: str,
        started_at: timedelta,
        limit: timedelta,
        was_lost: bool,
    ) -> None:
        self._outages.end_probe(address, started_at)
        took = self._clock.monotonic() - started_at
        if self._stopped:
            return
        if connected:
            self._client.observers.reached(address, took)
        elif self._links_down() or self._outages.is_lost(address) != was_lost:
            return
        elif took < limit:
            self._record_loss(address, silent=False)
        elif not self._outages.has_given_sign(address, started_at):
            self._record_loss(address, silent=True)

    # Losses and returns.

    def _record_loss(self, address: str, *, silent: bool) -> None:
        now = self._clock.monotonic()
        evidence, suspected = self._outages.evidence(address, now), 0
        is_new = self._outages.record_lost(address, now, silent=silent)
        if silent:
            self._client.close_idle(address)
            aborted = self._client.abort_unsent(_EVIDENCE, (address,))
            suspected = self._client.suspect(_EVIDENCE, (address,))
            self._metrics.count("aborted_sends", aborted)
            self._metrics.count("suspected_sends", suspected)
        if is_new:
            self._metrics.count("endpoints_lost")
            log(
                "endpoint-lost",
                address=address,
                silent=silent,
                lost=len(self._outages.lost()),
                suspected=suspected,
                **evidence.fields(),
            )
        self._schedule()

    def _record_return(self, address: str) -> None:
        self._metrics.count("endpoints_returned")
        log("endpoint-returned", address=address, lost=len(self._outages.lost()))
        for upstream in self._upstream_table.all():
            if upstream.registration.address == address:
                upstream.failures = 0
                upstream.ejected_until = timedelta(0)
