"""Gateway processes honor Leaving and Retry-After in answers while the store is unavailable."""

import contextlib
import itertools
import time

import pytest
from cardamomloft_standins import endpoints, processes

LAUNCH = ("-m", "cardamomloft.gateway.main")

DRAIN_S = 2.5
"""Drain time of the settings."""

PAUSE_S = 3.0
"""Retry-After of the refusing endpoint."""

RETRY_RATIO = 5.0
"""Allows retries by gateways that have just started, which have no share of the slack yet."""

PATHS = [f"/menus/{number}" for number in range(60)]
"""Enough affinity keys for each endpoint to be the primary endpoint of some."""


@pytest.fixture(params=[3, 9], ids=["without relays", "relays"])
def fleet(tmp_path, request):
    """Yield gateway settings, endpoints and their arrivals, with the store unavailable."""
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
            cfg["retries"]["ratio"] = RETRY_RATIO
            stack.enter_context(processes.gateway(tmp_path, cfg, LAUNCH))
        assert processes.eventually(lambda: all(map(has_converged(settings, rows), settings)), 60)
        assert bool(processes.status(settings[0])["relays"]) == (request.param > 8)
        endpoints.put(f"http://{store}/control", {"down": "hang"})
        yield settings, rows, arrivals


def has_converged(settings, rows):
    def check(cfg):
        page = processes.status(cfg)
        ready = page["state"] == "ready" and page["upstreams"] == len(rows)
        return ready and len(page["entries"]) == len(settings)

    return check


def send_until(gateway, condition) -> None:
    """Send requests with one affinity key after the other until `condition` holds."""
    for path in PATHS:
        assert endpoints.send_request(gateway, path, key=path).status == 200
        if condition():
            return
    raise AssertionError("no request reached the endpoint")


def test_endpoint_that_reports_leaving_gets_no_requests_from_any_gateway(fleet):
    settings, rows, arrivals = fleet
    leaving = rows[0]
    leaving.headers["X-Leaving"] = "1"
    send_until(settings[0]["callers"], lambda: arrivals[-1].endpoint == leaving.name)
    time.sleep(DRAIN_S)
    arrivals.clear()
    for cfg in settings:
        answers = [endpoints.send_request(cfg["callers"], path, key=path) for path in PATHS]
        assert {answer.status for answer in answers} == {200}
    assert len(arrivals) == len(settings) * len(PATHS)
    assert leaving.name not in {arrival.endpoint for arrival in arrivals}


def test_endpoint_is_paused_for_its_retry_after(fleet):
    settings, rows, arrivals = fleet
    gateway, paused = settings[0]["callers"], rows[0]
    paused.behaviour = endpoints.refuse(f"{PAUSE_S:.1f}")
    send_until(gateway, lambda: paused.name in {arrival.endpoint for arrival in arrivals})
    refused_at = time.monotonic()
    arrivals.clear()
    for path in itertools.cycle(PATHS):
        endpoints.send_request(gateway, path, key=path)
        if time.monotonic() - refused_at > PAUSE_S * 0.9:
            break
    assert paused.name not in {arrival.endpoint for arrival in arrivals}
    paused.behaviour = endpoints.serve
    time.sleep(PAUSE_S * 0.2)
    send_until(gateway, lambda: arrivals[-1].endpoint == paused.name)
