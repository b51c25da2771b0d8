"""What endpoints tell of themselves in answers binds gateways, also while the store is away."""

import contextlib
import itertools
import time

import pytest
from cardamomloft_standins import endpoints, processes

LAUNCH = ("-m", "cardamomloft.gateway.main")

DRAIN_S = 2.5
"""The drain time of the settings."""

ALONE_S = 3.0
"""For how long a refusing endpoint wants nothing."""

PATHS = [f"/menus/{number}" for number in range(60)]
"""Enough objects that each endpoint is the first of some."""


@pytest.fixture(params=[3, 9], ids=["each asks the store", "relays"])
def fleet(tmp_path, request):
    """Return settings of gateways, endpoints and what reaches these; the store is away."""
    with contextlib.ExitStack() as stack:
        store = stack.enter_context(processes.store())
        processes.configure(store)
        rows, arrivals = stack.enter_context(endpoints.service(store, 3))
        owned = (
            processes.settings(store, f"e-{number}", "ab"[number % 2])
            for number in range(request.param)
        )
        settings = [stack.enter_context(cfg) for cfg in owned]
        for cfg in settings:
            stack.enter_context(processes.gateway(tmp_path, cfg, LAUNCH))
        assert processes.eventually(lambda: all(map(knows(settings, rows), settings)), 60)
        assert bool(processes.status(settings[0])["relays"]) == (request.param > 8)
        endpoints.put(f"http://{store}/control", {"down": "hang"})
        yield settings, rows, arrivals


def knows(settings, rows):
    def check(cfg):
        page = processes.status(cfg)
        ready = page["state"] == "ready" and page["upstreams"] == len(rows)
        return ready and len(page["entries"]) == len(settings)

    return check


def ask_until(gateway, condition) -> None:
    """Send requests for one object after the other until `condition` holds."""
    for path in PATHS:
        assert endpoints.send_request(gateway, path, key=path).status == 200
        if condition():
            return
    raise AssertionError("no request reached the endpoint")


def test_an_endpoint_that_says_it_leaves_gets_nothing_more_from_any_gateway(fleet):
    settings, rows, arrivals = fleet
    leaving = rows[0]
    leaving.headers["X-Leaving"] = "1"
    ask_until(settings[0]["callers"], lambda: arrivals[-1].endpoint == leaving.name)
    time.sleep(DRAIN_S)
    arrivals.clear()
    for cfg in settings:
        answers = [endpoints.send_request(cfg["callers"], path, key=path) for path in PATHS]
        assert {answer.status for answer in answers} == {200}
    assert len(arrivals) == len(settings) * len(PATHS)
    assert leaving.name not in {arrival.endpoint for arrival in arrivals}


def test_an_endpoint_that_wants_nothing_for_a_time_gets_nothing_for_so_long(fleet):
    settings, rows, arrivals = fleet
    gateway, full = settings[0]["callers"], rows[0]
    full.behaviour = endpoints.refuse(f"{ALONE_S:.1f}")
    ask_until(gateway, lambda: full.name in {arrival.endpoint for arrival in arrivals})
    refused_at = time.monotonic()
    arrivals.clear()
    for path in itertools.cycle(PATHS):
        endpoints.send_request(gateway, path, key=path)
        if time.monotonic() - refused_at > ALONE_S * 0.9:
            break
    assert full.name not in {arrival.endpoint for arrival in arrivals}
    full.behaviour = endpoints.serve
    time.sleep(ALONE_S * 0.2)
    ask_until(gateway, lambda: arrivals[-1].endpoint == full.name)
