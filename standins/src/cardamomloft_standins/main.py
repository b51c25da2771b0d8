"""Run stand-ins: ``python -m cardamomloft_standins.main store|vms|upstreams ...``.

Each command prints the JSON line ``{"listening": [...], "control": ...}`` when it is ready. The
control address stays open while the others refuse connections. SIGTERM ends the process.
"""

import json
import random
import sys
import typing as t
from datetime import timedelta
from pathlib import Path

import defopt
from twisted.internet import reactor
from twisted.web import http
from twisted.web.resource import Resource
from twisted.web.server import Site

from cardamomloft_standins.control import ControlFactory
from cardamomloft_standins.listener import Listener
from cardamomloft_standins.store import MIN_TTL, Store
from cardamomloft_standins.upstream import EndpointSettings, Upstream
from cardamomloft_standins.vms import Vms

ANY_PORT = "127.0.0.1:0"


class UpstreamsSettings(t.TypedDict):
    """Settings of a process with several endpoints; `seed` determines the service times."""

    control: t.NotRequired[str]
    seed: t.NotRequired[int]
    endpoints: list[EndpointSettings]


def store(
    *,
    listen: str,
    control: str = ANY_PORT,
    shortest_ttl_ms: float = MIN_TTL.total_seconds() * 1000,
) -> None:
    """Run the key-value store.

    Parameters
    ----------
    listen
        Address as ip:port; port 0 picks a free port.
    control
        Address that stays open while the store refuses connections.
    shortest_ttl_ms
        Minimum session TTL to accept; Consul's minimum is 10 s.
    """
    min_ttl = timedelta(milliseconds=shortest_ttl_ms)
    _serve_app(lambda refuse: Store(reactor, refuse, min_ttl=min_ttl), listen, control)


def vms(*, listen: str, control: str = ANY_PORT) -> None:
    """Run the list of VMs.

    Parameters
    ----------
    listen
        Address as ip:port; port 0 picks a free port.
    control
        Address that stays open while the list refuses connections.
    """
    _serve_app(lambda refuse: Vms(reactor, refuse), listen, control)


def upstreams(*, settings: Path) -> None:
    """Run several upstream endpoints in one process.

    Parameters
    ----------
    settings
        JSON file with the settings of the endpoints.
    """
    cfg: UpstreamsSettings = json.loads(settings.read_text())
    rng = random.Random(cfg.get("seed", 1))
    endpoints = [Upstream(reactor, row, rng) for row in cfg["endpoints"]]
    control = Listener(reactor, cfg.get("control", ANY_PORT), ControlFactory(endpoints, reactor))
    _run([upstream.listener for upstream in endpoints], control)


def _serve_app(build: t.Callable[..., Store | Vms], listen: str, control: str) -> None:
    def set_refusing(refusing: bool, transport: t.Any) -> None:
        if refusing:
            main_listener.close(keep=transport)
        else:
            main_listener.open()

    resource = t.cast(Resource, build(set_refusing).app.resource())
    main_listener = Listener(reactor, listen, _site(resource))
    _run([main_listener], Listener(reactor, control, _site(resource)))


def _site(resource: Resource) -> Site:
    site = Site(resource, reactor=t.cast(t.Any, reactor))
    site.log = _no_log  # type: ignore[method-assign]
    return site


def _no_log(request: http.Request) -> None:
    """Write no access log."""


def _run(listeners: list[Listener], control: Listener) -> None:
    for listener in [*listeners, control]:
        listener.open()
    ready = {
        "listening": [listener.address for listener in listeners],
        "control": control.address,
    }
    print(json.dumps(ready), flush=True)
    t.cast(t.Any, reactor).run()


if __name__ == "__main__":
    defopt.run([store, vms, upstreams], argv=sys.argv[1:])
