"""HTTP pages for look-ups and readiness checks."""

import typing as t

import msgspec
from cardamomloft.callers.app import BACKLOG
from cardamomloft.core.model import Refusal
from cardamomloft.gateway.node import Gateway
from cardamomloft.runtime.pages import Pages
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

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self.app = Pages({"/ready": self._ready, "/lookup": self._lookup})

    def _ready(self, req: IRequest) -> bytes:
        if not self._gateway.ready():
            req.setResponseCode(503)
            return b"not ready\n"
        return b"ready\n"

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


def listen_pages(reactor: t.Any, pages: Pages, *addresses: str) -> list[IListeningPort]:
    """Serve pages on `addresses`, each ``ip:port``, without an access log."""
    site = Site(pages)
    site.log = lambda request: None
    return [
        reactor.listenTCP(int(port), site, backlog=BACKLOG, interface=host)
        for host, _, port in (address.rpartition(":") for address in dict.fromkeys(addresses))
    ]


def query_argument(req: IRequest, name: bytes) -> str:
    """Return the first value of a query argument, or an empty string."""
    values = req.args.get(name) or [b""]
    return values[0].decode("utf-8", "replace")
