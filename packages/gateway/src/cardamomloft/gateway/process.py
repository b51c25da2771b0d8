"""One gateway over the product's own key-value store, put together."""

import json
import pathlib
import random

from cardamomloft.core.clock import SystemClock
from cardamomloft.gateway.calls import CallerHeaders
from cardamomloft.gateway.node import Gateway
from cardamomloft.gateway.pages import GatewayPages, listen_pages
from cardamomloft.gateway.reloading import SettingsFile
from cardamomloft.gateway.running import EXIT_SETTINGS, run
from cardamomloft.gateway.storecontrol import StoreControl
from cardamomloft.runtime.logs import start_logs
from cardamomloft.store.keyvalue import HttpStore
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.dialect import DEADLINE_HEADER, REQUEST_ID_HEADER, Dialect
from twisted.internet import reactor

CALLER_HEADERS = CallerHeaders(REQUEST_ID_HEADER, DEADLINE_HEADER, "x-placement-key")
UPSTREAM_DIALECT = Dialect(
    misdirected=421, expected="x-expected-instance", load="x-load", reuse_always=True
)


def run_gateway(settings: pathlib.Path, prefix: str, check: bool) -> int:
    """Run until a signal stops it, or only check the settings; return the exit code."""
    start_logs()
    source = SettingsFile(settings)
    cfg = source.read()
    if cfg is None:
        return EXIT_SETTINGS
    if check:
        print(json.dumps({"settings": str(settings), "name": cfg["name"], "ok": True}))
        return 0
    control = StoreControl(HttpStore(reactor, cfg["store"]), prefix)
    client = UpstreamClient(reactor, dialect=UPSTREAM_DIALECT)
    node = Gateway(reactor, cfg, SystemClock(), random.Random(), control, client, CALLER_HEADERS)
    listen_pages(reactor, GatewayPages(node).app, cfg["readiness"], cfg["lookups"])
    return run(reactor, node, source)
