"""The way of one request through other gateways, while this one reaches no endpoint for it."""

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.upstreamtable import Upstream
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.linkmonitor import LinkMonitor
from cardamomloft.gateway.outcomes import Failed, Outcome
from cardamomloft.gateway.peerproxy.client import (
    MAX_HELPERS,
    MAX_HELPERS_OF_SERVICE,
    PeerProxy,
    ProxiedCall,
    ProxyOutcome,
)
from cardamomloft.gateway.requestcontext import RequestContext


class PeerRoute:
    """Decides whether another gateway is asked for one request, and sends the request there.

    Parameters
    ----------
    context
        Has the monitor of the links and the way to other gateways.
    call, head, payload
        The request.
    is_proxied
        Whether another gateway has sent it here, so that it is not sent to a third one.
    """

    def __init__(
        self,
        context: RequestContext,
        call: Call,
        head: RequestHead,
        payload: bytes | RequestBody,
        *,
        is_proxied: bool,
    ) -> None:
        self._context = context
        self._is_proxied = is_proxied
        self._call = call
        self._head = head
        self._payload = payload

    @property
    def _links(self) -> LinkMonitor | None:
        return self._context.links

    @property
    def _proxy(self) -> PeerProxy | None:
        return None if self._is_proxied else self._context.proxy

    @property
    def exists(self) -> bool:
        """Whether the request may be sent to other gateways."""
        return self._proxy is not None

    def may_reach(self) -> bool:
        """Return whether another gateway may reach the service although this one does not."""
        return self._proxy is not None and self._proxy.may_reach(self._call)

    def links_are_down(self, upstream: Upstream | None = None) -> bool:
        """Return whether no endpoint can be reached, or not the one that was chosen."""
        if self._links is None:
            return False
        if upstream is None:
            return not self._links.may_send_any()
        return not self._links.may_send(upstream.registration.address)

    async def is_needed(self, outcome: Outcome | None, refusal: Refusal | None) -> bool:
        """Return whether another gateway may reach an endpoint where this one could not.

        Parameters
        ----------
        outcome
            That of the last send, None without one.
        refusal
            Why no endpoint was chosen, None if the last one was tried.
        """
        if self._links is None:
            return False
        if refusal is not None and refusal.reason is RefusalReason.OVERLOAD:
            return self._context.selector.has_lost(self._call.service) and self.may_reach()
        lost = refusal is not None and refusal.reason is RefusalReason.UNREACHABLE
        if not lost and not (isinstance(outcome, Failed) and outcome.unreachable):
            return False
        await self._links.verdict()
        return self._links.down or self.may_reach()

    async def send(self, deliveries: int, *, counted: bool, may_have_run: bool) -> ProxyOutcome:
        """Send the request through another gateway; see `ProxiedCall` for the parameters."""
        assert self._proxy is not None
        links_down = self._links is not None and self._links.down
        call = ProxiedCall(
            self._call,
            self._head,
            self._payload,
            deliveries,
            may_have_run,
            counted,
            MAX_HELPERS if links_down else MAX_HELPERS_OF_SERVICE,
        )
        return await self._proxy.send(call)
