"""Gateways of the platform program with a raw endpoint, each directly and through another one."""

import contextlib
import http.client
import pathlib
import socket
import typing as t

from cardamomloft.platform.names import DEADLINE_MS, REQUEST_ID
from cardamomloft_standins import endpoints, processes, rawanswers
from cardamomloft_standins.cutlinks import Cut, write_links

from . import restorable
from .columns import ROUTE_COLUMNS

SERVICE_COLUMNS = ["name", "healthPath", "maxConnections", "coldStart", "coldPerS"]

KINDS = ("safe", "unsafe", "upload")
"""The kinds of routes; the prefix of each is its name."""

LAUNCH = """
import os, pathlib, sys
os.environ["CARDAMOMLOFT_CONFIG"] = sys.argv[2]
sys.argv = sys.argv[:1]
from cardamomloft.runtime.eventloop import install_event_loop
install_event_loop()
from cardamomloft_standins.cutlinks import CuttableLinks
from twisted.internet import reactor
links = CuttableLinks(reactor, pathlib.Path({links!r}), "127.0.0.1")
from cardamomloft.platform.process import run_gateway
sys.exit(run_gateway())
"""


def configuration(timeout: str = "5s") -> dict[str, t.Any]:
    """Return a configuration with a route of each kind."""
    rows = [
        [kind, endpoints.HOST, f"/{kind}/", kind, timeout, "400ms", 1, "menus", 2, False, [], None]
        for kind in KINDS
    ]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864}
    return {
        "version": 1,
        "routes": {"columns": ROUTE_COLUMNS, "rows": rows},
        "services": {
            "columns": SERVICE_COLUMNS,
            "rows": [["menus", "/health", 390, "0s", 13.0]],
        },
        "limits": limits | {"headerTimeout": "3000ms", "idleTimeout": "15000ms"},
    }


def registration(address: str) -> dict[str, t.Any]:
    """Return the registration of an endpoint."""
    return {
        "service": "menus",
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "coldRemaining": "0ms",
        "sequence": 1,
    }


class PlatformFleet:
    """Two gateways, of which the second reaches the endpoint through the first only."""

    def __init__(
        self, stack: contextlib.ExitStack, folder: pathlib.Path, default: rawanswers.Script
    ) -> None:
        self.store = restorable.RestorableStore()
        self.endpoint = stack.enter_context(rawanswers.raw_server(default, REQUEST_ID))
        self.store.put("op/config", configuration())
        self.store.put(f"servers/{self.endpoint.name}", registration(self.endpoint.address))
        (port,) = stack.enter_context(restorable.serve(self.store, 1))
        self.settings = []
        for name, cut in (("e-1", Cut.NONE), ("e-2", Cut.REFUSE)):
            cfg = stack.enter_context(processes.settings(f"127.0.0.1:{port}", name))
            links = folder / f"{name}.links"
            write_links(links, cut, [self.endpoint.address])
            launch = ("-c", LAUNCH.format(links=str(links)))
            stack.enter_context(processes.gateway(folder, cfg, launch))
            self.settings.append(cfg)
        assert processes.eventually(lambda: all(map(_has_converged, self.settings)), 30)

    def connect(self, number: int) -> socket.socket:
        """Connect to a gateway by its position."""
        host, _, port = self.settings[number]["callers"].rpartition(":")
        return socket.create_connection((host, int(port)), 15)


def _has_converged(cfg: dict[str, t.Any]) -> bool:
    try:
        page = processes.status(cfg)
    except http.client.HTTPException:
        return False
    return page["state"] == "ready" and page["upstreams"] == 1 and len(page["entries"]) == 2


def head_of(path: str, method: str = "GET", framing: str = "") -> bytes:
    """Return the head of a request whose id is the last part of its path."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {endpoints.HOST}", "Connection: close"]
    lines += [f"{REQUEST_ID}: {path.rpartition('/')[2]}", f"{DEADLINE_MS}: 5000"]
    return "\r\n".join((*lines, *filter(None, [framing]), "", "")).encode()


SIGNED = f"{REQUEST_ID}: {{id}}\r\nX-Cardamomloft-Server-Stamp: 3e1b.07\r\n".encode()
"""Fields of a valid answer of the platform's endpoints."""
