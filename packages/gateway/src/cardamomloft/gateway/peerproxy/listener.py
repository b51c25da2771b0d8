"""Serves the requests of gateways that have lost their links to the endpoints."""

import contextlib
import secrets
import typing as t
from collections.abc import Callable

from cardamomloft.callers.app import CallersApp, listen
from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import Answer, RequestHead
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.gateway.calls import Call, Origin
from cardamomloft.gateway.forwarding import MAX_BUFFERED_BODY_BYTES, Forwarder
from cardamomloft.gateway.linkmonitor import LinkMonitor
from cardamomloft.gateway.peerproxy.header import (
    CONFIGURATION_HEADER,
    ProxyHeader,
    read_proxy_header,
    without_proxy_header,
)
from cardamomloft.gateway.peerproxy.versions import PeerVersions
from cardamomloft.gateway.settings import ProxySettings
from cardamomloft.runtime.logs import log
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IListeningPort
from twisted.python.failure import Failure

MAX_IN_FLIGHT = 128
"""Maximum number of proxied requests at a time; the gateway's own callers come first."""

MAX_BODY_BYTES = 32 * 1024 * 1024
"""Maximum size of the bodies of all proxied requests at a time."""

TOKEN_BYTES = 16

HEADER_BYTES = 2_048
"""Bytes by which the head of a proxied request may exceed the limit for callers."""


class RequestAccess(t.NamedTuple):
    """How a gateway reads requests.

    Attributes
    ----------
    read
        Parses a request according to the configuration in force.
    admits
        Returns whether requests are served.
    configuration
        Returns the number of the configuration in force.
    push_configuration, ask_for_configuration
        Send the configuration in force to the named gateway, or ask it for its own one.
    may_overlap
        Returns whether a request may be handled concurrently with others of its connection.
    on_fault
        Called with unexpected exceptions.
    """

    read: Callable[[RequestHead], Call | Refusal]
    admits: Callable[[], bool]
    configuration: Callable[[], int]
    push_configuration: Callable[[str], None]
    ask_for_configuration: Callable[[str], None]
    may_overlap: Callable[[RequestHead], bool]
    on_fault: Callable[[Failure], None]


class ProxyListener:
    """Accepts requests of other gateways and sends them to endpoints, but never to a third gateway.

    Parameters
    ----------
    reactor
        The event loop.
    own
        This gateway's record.
    forwarder
        Sends requests to endpoints.
    links
        Knows whether this gateway's own links work.
    access
        Reads requests.
    versions
        The numbers of the configurations of the other gateways.

    Attributes
    ----------
    app : CallersApp
        The HTTP application.
    """

    def __init__(
        self,
        reactor: t.Any,
        own: EntryRecord,
        forwarder: Forwarder,
        links: LinkMonitor,
        access: RequestAccess,
        versions: PeerVersions,
    ) -> None:
        self._reactor = reactor
        self._versions = versions
        self._own = own
        self._forwarder = forwarder
        self._links = links
        self._access = access
        self._body_bytes = 0
        self._port: IListeningPort | None = None
        self._token = secrets.token_hex(TOKEN_BYTES)
        self.app = CallersApp(
            None,
            self.handle,
            access.on_fault,
            may_overlap=access.may_overlap,
            meter=forwarder.metrics,
        )

    def start(self, cfg: ProxySettings) -> tuple[str, str]:
        """Listen on the first free port; return the address and the token that requests must state.

        Without a free port the gateway serves only its own callers, and the address is empty.
        """
        first, last = cfg["ports"]
        for number in range(first, last + 1):
            # Some kernels report that a port is in use only when listening begins.
            with contextlib.suppress(CannotListenError, OSError):
                self._port = listen(self._reactor, f"{cfg['ip']}:{number}", self.app)
                return f"{cfg['ip']}:{self._port.getHost().port}", self._token
        log("proxy-not-listening", ip=cfg["ip"], ports=cfg["ports"])
        return "", ""

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._port is not None:
            self._port.stopListening()

    def handle(
        self, head: RequestHead, body: RequestBody, disconnected: "Deferred[None]"
    ) -> "Deferred[Answer]":
        """Answer one request."""
        return ensureDeferred(self._handle(head, body, disconnected))

    async def _handle(
        self, head: RequestHead, body: RequestBody, disconnected: "Deferred[None]"
    ) -> Answer:
        number = self._access.configuration()
        answer = await self._serve(head, body, disconnected)
        stated = (CONFIGURATION_HEADER, str(number))
        return answer._replace(headers=(*answer.headers, stated))

    async def _serve(
        self, head: RequestHead, body: RequestBody, disconnected: "Deferred[None]"
    ) -> Answer:
        stated = read_proxy_header(head)
        refusal = stated if isinstance(stated, Refusal) else self._check(stated)
        if refusal is not None:
            return self._refuse(refusal)
        header = t.cast(ProxyHeader, stated)
        head = without_proxy_header(head)._replace(client=header.client)
        call = self._read_call(head, header.service)
        if isinstance(call, Refusal):
            return self._refuse(call)
        self._forwarder.metrics.count("proxied.accepted")
        size = MAX_BUFFERED_BODY_BYTES if head.length is None else head.length
        self._body_bytes += size
        origin = Origin(header.origin, header.deliveries, header.counted)
        try:
            return await self._forwarder.forward(call, head, body, disconnected, origin)
        finally:
            self._body_bytes -= size

    def _check(self, header: ProxyHeader) -> Refusal | None:
        """Return why a request can't be served, if that is known before it is parsed."""
        if not header.states_token(self._token):
            return Refusal(RefusalReason.NOT_A_PEER, "the token is wrong")
        if not self._access.admits():
            return Refusal(RefusalReason.STOPPING, "this entry is not serving requests")
        # Before the request reaches an endpoint, so that the origin knows what decides it.
        self._versions.on_request(header.origin, header.configuration)
        if header.configuration > self._access.configuration():
            return Refusal(RefusalReason.NOT_READY, "this entry has an older configuration")
        if not self._links.may_send_any():
            return Refusal(RefusalReason.UNREACHABLE, "this entry reaches no endpoint either")
        if self.app.in_flight > MAX_IN_FLIGHT or self._body_bytes > MAX_BODY_BYTES:
            return Refusal(RefusalReason.BUSY, "too many requests of other entries")
        return None

    def _read_call(self, head: RequestHead, service: str) -> Call | Refusal:
        call = self._access.read(head)
        if isinstance(call, Refusal):
            return call
        if call.rule.homes and self._own.region not in call.rule.homes:
            return Refusal(RefusalReason.NOT_READY, "this region is not a home of the request")
        offered = {share.service for share in call.rule.services}
        return call._replace(service=service) if service in offered else call

    def _refuse(self, refusal: Refusal) -> Answer:
        self._forwarder.metrics.count(f"proxied.refused.{refusal.reason}")
        return self._forwarder.refuse(refusal)
