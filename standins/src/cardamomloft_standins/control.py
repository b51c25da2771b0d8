"""Control server for all upstream endpoints of a process.

``/<endpoint>/-/...`` is handled like ``/-/...`` on that endpoint's own address, and also works
while the endpoint refuses connections.
"""

import typing as t
from collections.abc import Sequence
from functools import partial

from twisted.internet.address import IPv4Address
from twisted.web import http

from cardamomloft_standins.answers import send
from cardamomloft_standins.upstream import Upstream, UpstreamRequest


class ControlRequest(UpstreamRequest):
    """A control request, whose path names the endpoint."""

    def __init__(
        self, endpoints: dict[str, Upstream], placeholder: Upstream, *args: t.Any, **kwargs: t.Any
    ) -> None:
        super().__init__(placeholder, *args, **kwargs)
        self._endpoints = endpoints

    def process(self) -> None:
        """Dispatch to the endpoint that the first path segment names."""
        name, _, path = self.path.decode("latin-1").removeprefix("/").partition("/-/")
        upstream = self._endpoints.get(name)
        if upstream is None:
            send(self, 404, {"error": f"no endpoint {name}"})
        else:
            upstream.administer(self, self.method.decode(), path)

    def connectionLost(self, reason: t.Any) -> None:  # noqa: N802
        """End the request; it holds no slot of an endpoint."""
        http.Request.connectionLost(self, reason)


class ControlFactory(http.HTTPFactory):
    """Builds the channels of the control server."""

    def __init__(self, endpoints: Sequence[Upstream], reactor: t.Any) -> None:
        super().__init__(reactor=reactor)
        self._endpoints = {upstream.name: upstream for upstream in endpoints}

    def buildProtocol(self, addr: IPv4Address) -> t.Any:  # noqa: N802
        """Return a channel whose requests can address every endpoint."""
        channel = super().buildProtocol(addr)
        placeholder = next(iter(self._endpoints.values()))
        channel.requestFactory = partial(ControlRequest, self._endpoints, placeholder)
        return channel

    def log(self, request: t.Any) -> None:
        """Write no access log."""
