"""Gateways that lose their links to all endpoints, which the other gateways still reach."""

import concurrent.futures
import contextlib
import http.client
import statistics
import time
import typing as t

import pytest
from cardamomloft_standins import endpoints, linkfleet, processes
from cardamomloft_standins.cutlinks import Cut
from cardamomloft_standins.linkfleet import IDEMPOTENT, ONCE, LinkFleet

NOTICE_S = 1.0
"""Time after a cut within which the requests of new callers are served, in seconds."""

CUT_S = 5.0
SEND_INTERVAL_S = 0.1
SERVED_FRACTION = 0.95
"""Fraction of the requests at cut-off gateways that is served, of the others' fraction."""


class Sent(t.NamedTuple):
    """A request that was sent `at` seconds after the start of the callers, and its status."""

    gateway: str
    path: str
    at: float
    took: float
    status: int
    retry_after: str | None


class Callers:
    """Callers that send one request in each interval to every gateway, whatever is answered."""

    def __init__(self, fleet: LinkFleet) -> None:
        self.fleet = fleet
        self.pool = concurrent.futures.ThreadPoolExecutor(200)
        self.started = time.monotonic()
        self.rounds = 0

    def now(self) -> float:
        return time.monotonic() - self.started

    def send(self, cfg, path) -> Sent:
        at = self.now()
        try:
            answer = endpoints.send_request(cfg["callers"], path, key=f"{at}")
            status, retry_after = answer.status, answer.headers.get("Retry-After")
        except OSError:
            status, retry_after = 0, None
        return Sent(cfg["name"], path, at, self.now() - at, status, retry_after)

    def run(self, duration: float) -> list[Sent]:
        """Send for a time in seconds, and return all requests once they are answered."""
        futs = []
        end = self.now() + duration
        while self.now() < end:
            self.rounds += 1
            for cfg in self.fleet.settings:
                path = f"{ONCE}/{self.rounds}/{cfg['name']}" if self.rounds % 2 else IDEMPOTENT
                futs.append(self.pool.submit(self.send, cfg, path))
            time.sleep(SEND_INTERVAL_S)
        return [fut.result() for fut in futs]


def fraction_served(sent: list[Sent]) -> float:
    assert sent
    return sum(one.status == 200 for one in sent) / len(sent)


@pytest.fixture(params=[(4, 2), (9, 5)], ids=["2 of 4", "5 of 9"])
def fleet(tmp_path, request):
    with contextlib.ExitStack() as stack:
        fleet = LinkFleet(stack, tmp_path, *request.param)
        assert processes.eventually(fleet.has_converged, 60)
        yield fleet


@pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET, Cut.REFUSE])
def test_gateways_without_links_to_endpoints_serve_first_tries(fleet, cut):
    callers = Callers(fleet)
    callers.run(1.0)
    fleet.cut(cut)
    cut_at = callers.now()
    sent = [one for one in callers.run(CUT_S) if one.at > cut_at + NOTICE_S]
    cut_off = {cfg["name"] for cfg in fleet.cut_off}
    there = fraction_served([one for one in sent if one.gateway in cut_off])
    elsewhere = fraction_served([one for one in sent if one.gateway not in cut_off])
    assert there >= SERVED_FRACTION * elsewhere, f"{there}, {elsewhere}\n{fleet.unserved()}"
    assert elsewhere >= SERVED_FRACTION, f"{elsewhere}\n{fleet.unserved()}"


def fraction_served_with_a_partial_cut(fleet: LinkFleet, cut: Cut) -> float:
    callers = Callers(fleet)
    callers.run(1.0)
    fleet.cut(cut, endpoints=4)
    cut_at = callers.now()
    return fraction_served([one for one in callers.run(3.0) if one.at > cut_at + NOTICE_S])


def test_gateways_whose_connections_to_some_endpoints_are_reset_serve_first_tries(fleet):
    assert fraction_served_with_a_partial_cut(fleet, Cut.RESET) >= SERVED_FRACTION


def test_gateways_whose_links_to_some_endpoints_hang_serve_first_tries(fleet):
    assert fraction_served_with_a_partial_cut(fleet, Cut.HANG) >= SERVED_FRACTION


def test_answers_of_any_form_are_whole_or_broken_off_over_another_gateway(fleet):
    fleet.cut(Cut.RESET)
    address = fleet.cut_off[0]["callers"]
    for _ in range(3):
        endpoints.send_request(address, IDEMPOTENT)
    assert endpoints.send_request(address, linkfleet.LARGE).body == linkfleet.LARGE_BODY
    assert endpoints.send_request(address, linkfleet.CHUNKED).body == linkfleet.CHUNKED_BODY
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        endpoints.send_request(address, linkfleet.TRUNCATED)


@pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET])
def test_requests_that_must_not_run_twice_run_at_most_once_while_links_fail(fleet, cut):
    callers = Callers(fleet)
    sent = callers.run(0.5)
    for state in (cut, Cut.NONE, cut, Cut.NONE):
        fleet.cut(state)
        sent += callers.run(1.5)
    ended_at = callers.now()
    runs = fleet.runs()
    twice = [path for path, count in runs.items() if path.startswith(ONCE) and count > 1]
    assert not twice
    refused = {one.path for one in sent if one.status == 503 and one.path.startswith(ONCE)}
    assert not refused & runs.keys()
    recovered = [one for one in sent if one.at > ended_at - 1.0]
    assert fraction_served(recovered) >= SERVED_FRACTION


@pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET])
def test_requests_are_refused_at_once_while_no_gateway_reaches_an_endpoint(fleet, cut):
    callers = Callers(fleet)
    callers.run(1.0)
    fleet.cut(cut, fleet.settings)
    cut_at = callers.now()
    sent = [one for one in callers.run(3.0) if one.at > cut_at + NOTICE_S]
    assert {one.status for one in sent} == {503}, fleet.unserved()
    assert all(float(one.retry_after) > 0 for one in sent)
    assert statistics.median(one.took for one in sent) < 0.1
    fleet.cut(Cut.NONE, fleet.settings)
    opened_at = callers.now()
    sent = [one for one in callers.run(2.0) if one.at > opened_at + NOTICE_S]
    assert fraction_served(sent) >= SERVED_FRACTION
