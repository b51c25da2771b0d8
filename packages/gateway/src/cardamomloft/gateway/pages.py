"""A gateway's look-ups and readiness in this project's own form, over HTTP."""

import typing as t

import msgspec
from cardamomloft.callers.app import BACKLOG
from cardamomloft.core.model import Refusal
from cardamomloft.gateway.node import Gateway
from klein import Klein
from twisted.internet.interfaces import IListeningPort
from twisted.web.iweb import IRequest
from twisted.web.server import Site


class GatewayPages:
    """Answers ``GET /lookup?host=&zone=&region=`` and ``GET /ready``.

    Parameters
    ----------
    gateway
        The gateway.
    """

    app = Klein()

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    @app.route("/ready")
    def _ready(self, req: IRequest) -> bytes:
        if not self._gateway.ready():
            req.setResponseCode(503)
            return b"not ready\n"
        return b"ready\n"

    @app.route("/lookup")
    def _lookup(self, req: IRequest) -> bytes:
        named = self._gateway.lookup(
            query_argument(req, b"host"),
            query_argument(req, b"zone"),
            query_argument(req, b"region"),
        )
        req.setHeader("Content-Type", "application/json")
        if isinstance(named, Refusal):
            req.setResponseCode(503)
            return msgspec.json.encode({"reason": str(named.reason), "detail": named.detail})
        valid_ms = round(named.ttl.total_seconds() * 1000)
        return msgspec.json.encode({"entries": named.addresses, "valid_ms": valid_ms})


def listen_pages(reactor: t.Any, app: Klein, *addresses: str) -> list[IListeningPort]:
    """Serve a klein app on `addresses`, each ``ip:port``, without an access log."""
    site = Site(app.resource())
    site.log = lambda request: None
    return [
        reactor.listenTCP(int(port), site, backlog=BACKLOG, interface=host)
        for host, _, port in (address.rpartition(":") for address in dict.fromkeys(addresses))
    ]


def query_argument(req: IRequest, name: bytes) -> str:
    """Return the first value of a query argument, or an empty text."""
    values = req.args.get(name) or [b""]
    return values[0].decode("utf-8", "replace")
