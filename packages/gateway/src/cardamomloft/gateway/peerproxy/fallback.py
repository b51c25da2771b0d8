"""What a gateway does while its links to the endpoints are down, for itself and for others."""

import random
import typing as t

from cardamomloft.callers.app import CallersApp
from cardamomloft.core.clock import Clock
from cardamomloft.core.connectivity.cutoff import LinkReports
from cardamomloft.core.connectivity.reachability import ProbeTarget
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.gateway.calls import CallerHeaders
from cardamomloft.gateway.endpointmonitor import EndpointMonitor
from cardamomloft.gateway.forwarding import Forwarder
from cardamomloft.gateway.linkmonitor import LinkMonitor
from cardamomloft.gateway.noticehandler import NoticeHandler
from cardamomloft.gateway.peerproxy.client import PeerProxy
from cardamomloft.gateway.peerproxy.listener import ProxyListener, RequestAccess
from cardamomloft.gateway.peerproxy.versions import PeerVersions
from cardamomloft.upstreams.client import UpstreamClient


class PeerFallback:
    """Sends requests through other gateways while links are down, and serves those of others.

    Parameters
    ----------
    reactor, clock, rng
        The event loop, and sources of time and randomness.
    own
        This gateway's record.
    entries
        The recorded gateways.
    upstream_table
        The registered endpoints, of which some are probed.
    client
        Sends requests to endpoints.
    forwarder
        Forwards requests; it gets the monitor of the links and the way to other gateways.
    notice_handler
        Publishes whether links are down, and knows the gateways that have published it.
    headers
        The names of the callers' request headers.
    access
        Reads requests.

    Attributes
    ----------
    links : LinkMonitor
        Decides whether links work.
    listener : ProxyListener
        Accepts requests of other gateways.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        rng: random.Random,
        own: EntryRecord,
        entries: EntryTable,
        upstream_table: UpstreamTable,
        client: UpstreamClient,
        forwarder: Forwarder,
        notice_handler: NoticeHandler,
        headers: CallerHeaders,
        access: RequestAccess,
    ) -> None:
        self._clock = clock
        self._client = client
        self._upstream_table = upstream_table
        self._selector = forwarder.selector
        self._queue = forwarder.queue
        self._notice_handler = notice_handler
        self._reports = LinkReports(own.name)
        metrics = forwarder.metrics
        versions = PeerVersions(
            clock, access.configuration, access.push_configuration, access.ask_for_configuration
        )
        self.links = LinkMonitor(
            reactor, clock, rng, client, self._probe_targets, self._on_changed, metrics
        )
        self._proxy = PeerProxy(
            reactor,
            clock,
            rng,
            own,
            entries,
            notice_handler.cut_off,
            headers,
            versions,
            metrics,
        )
        self.listener = ProxyListener(reactor, own, forwarder, self.links, access, versions)
        forwarder.links, forwarder.proxy = self.links, self._proxy
        self._selector.has_connection = client.has_idle
        self._endpoints = EndpointMonitor(
            reactor,
            clock,
            client,
            self._selector.outages,
            upstream_table,
            lambda: self.links.down,
            metrics,
        )

    @property
    def app(self) -> CallersApp:
        """The HTTP application for requests of other gateways."""
        return self.listener.app

    async def bodies_passed_on(self) -> None:
        """Return once endpoints and other gateways have got all bodies that they answered early."""
        await self._client.passed_on()
        await self._proxy.bodies_passed_on()

    def report(self) -> None:
        """Tell the other gateways whether this one reaches endpoints; call it periodically."""
        report = self._reports.due(self.links.down, self._clock.monotonic())
        if report is not None:
            self._notice_handler.publish([report])

    def stop(self) -> None:
        """Stop probing, and close the connections to other gateways."""
        self.links.stop()
        self._endpoints.stop()
        self._proxy.close()

    def status(self) -> dict[str, t.Any]:
        """Return the state of the links for the status page."""
        return {
            "links": self.links.status(),
            "endpoints": self._endpoints.status(),
            "cut_off_entries": sorted(self._notice_handler.cut_off.names()),
            "proxied_in_flight": self.app.in_flight,
        }

    def _on_changed(self) -> None:
        self._endpoints.forget()
        if not self.links.down:
            self._selector.forget_failures()
        self._queue.retry_all()
        self.report()

    def _probe_targets(self) -> list[ProbeTarget]:
        return [
            ProbeTarget(upstream.registration.address, upstream.registration.zone)
            for upstream in self._upstream_table.all()
            if not upstream.leaving
        ]
