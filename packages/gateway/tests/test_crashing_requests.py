"""A request under which endpoints crash is soon sent to none any more, by any gateway."""

import contextlib
import time

import pytest
from cardamomloft_standins import endpoints, processes

LAUNCH = ("-m", "cardamomloft.gateway.main")

POISON = "/menus/poison"

CONTACT_S = 3.0
"""Time within which all gateways know of a crash that one of them has seen."""

ENDED = 3
"""Endpoints that may end under one request."""


class Fleet:
    """Gateways with their store, and endpoints that end without an answer at one path."""

    def __init__(self, stack, folder, gateways) -> None:
        self.folder = folder
        self.store = stack.enter_context(processes.store())
        processes.configure(self.store)
        service = endpoints.service(self.store, 6, endpoints.crash_on(POISON))
        self.endpoints, self.arrivals = stack.enter_context(service)
        self.settings = []
        for number in range(gateways):
            self.add(stack, f"e-{number}", "ab"[number % 2])

    def add(self, stack, name, zone) -> dict:
        cfg = stack.enter_context(processes.settings(self.store, name, zone))
        stack.enter_context(processes.gateway(self.folder, cfg, LAUNCH))
        self.settings.append(cfg)
        return cfg

    def know_each_other(self) -> bool:
        pages = [processes.status(cfg) for cfg in self.settings]
        return all(
            page["state"] == "ready"
            and len(page["entries"]) == len(self.settings)
            and page["upstreams"] == len(self.endpoints)
            for page in pages
        )

    def poison(self) -> int:
        return sum(arrival.path == POISON for arrival in self.arrivals)


@pytest.fixture(params=[3, 9], ids=["each asks the store", "relays"])
def fleet(tmp_path, request):
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, tmp_path, request.param)
        assert processes.eventually(fleet.know_each_other, 60)
        assert bool(processes.status(fleet.settings[0])["relays"]) == (request.param > 8)
        fleet.stack = stack
        yield fleet


def crash_three(fleet, gateways) -> None:
    """Send the poison request to these gateways in turn until three endpoints have ended."""
    for number in range(50):
        endpoints.send_request(gateways[number % len(gateways)]["callers"], POISON)
        if len({arrival.endpoint for arrival in fleet.arrivals}) >= ENDED:
            return
        time.sleep(0.4)
    raise AssertionError(f"after 50 requests {fleet.arrivals[-4:]}")


@pytest.mark.parametrize("store", ["there", "away"])
@pytest.mark.parametrize("seen_by", ["one gateway", "several"])
def test_a_request_that_ended_three_endpoints_is_sent_to_no_more(fleet, store, seen_by):
    if store == "away":
        endpoints.put(f"http://{fleet.store}/control", {"down": "hang"})
    crash_three(fleet, fleet.settings[:1] if seen_by == "one gateway" else fleet.settings[-3:])
    time.sleep(CONTACT_S)
    before = fleet.poison()
    answers = [endpoints.send_request(cfg["callers"], POISON) for cfg in fleet.settings * 2]
    assert fleet.poison() == before
    assert {answer.status for answer in answers} == {503}
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in answers)


def test_other_requests_for_the_same_object_are_served_on(fleet):
    crash_three(fleet, fleet.settings)
    time.sleep(CONTACT_S)
    answers = [endpoints.send_request(cfg["callers"], "/menus/17") for cfg in fleet.settings]
    assert {answer.status for answer in answers} == {200}


def test_a_gateway_that_starts_later_knows_it_too(fleet):
    crash_three(fleet, fleet.settings)
    late = fleet.add(fleet.stack, "e-late", "a")
    assert processes.eventually(fleet.know_each_other, 60)
    time.sleep(CONTACT_S)
    before = fleet.poison()
    assert endpoints.send_request(late["callers"], POISON).status == 503
    assert fleet.poison() == before
