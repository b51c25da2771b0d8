"""Services that lose most of their endpoints, for one gateway, some of them or all."""

import contextlib
import signal
import statistics
import typing as t

import pytest
from cardamomloft_standins import processes
from cardamomloft_standins.cutlinks import Cut
from cardamomloft_standins.linkcallers import LinkCallers, Sent, fraction_served
from cardamomloft_standins.linkfleet import (
    ENDPOINTS,
    ONCE,
    SLOTS,
    LimitedWork,
    LinkFleet,
)

NOTICE_S = 1.0
"""Time after a loss from which callers get what the remaining endpoints can serve, in seconds."""

SERVED_FRACTION = 0.95


class Loss(t.NamedTuple):
    """`endpoints` of the six are lost for `concerned` of the gateways."""

    gateways: int
    concerned: int
    endpoints: int
    cut: Cut

    def __str__(self) -> str:
        return f"{self.endpoints} {self.cut} at {self.concerned} of {self.gateways}"


LOSSES = [
    Loss(4, 4, 4, Cut.HANG),
    Loss(4, 4, 5, Cut.HANG),
    Loss(4, 4, 4, Cut.RESET),
    Loss(4, 4, 5, Cut.REFUSE),
    Loss(4, 2, 5, Cut.HANG),
    Loss(4, 1, 4, Cut.HANG),
    Loss(9, 5, 5, Cut.RESET),
    Loss(9, 5, 5, Cut.HANG),
    Loss(9, 9, 3, Cut.HANG),
]


@pytest.fixture
def start(tmp_path):
    with contextlib.ExitStack() as stack:

        def start(gateways: int, concerned: int, work: LimitedWork | None = None) -> LinkFleet:
            fleet = LinkFleet(stack, tmp_path, gateways, concerned, work)
            assert processes.eventually(fleet.has_converged, 60)
            return fleet

        yield start


def served_there_and_elsewhere(fleet: LinkFleet, sent: list[Sent]) -> tuple[float, float]:
    concerned = {cfg["name"] for cfg in fleet.cut_off}
    there = [one for one in sent if one.gateway in concerned]
    elsewhere = [one for one in sent if one.gateway not in concerned]
    return fraction_served(there), fraction_served(elsewhere) if elsewhere else 1.0


@pytest.mark.parametrize("loss", LOSSES, ids=str)
def test_remaining_endpoints_serve_the_first_tries(start, loss):
    fleet = start(loss.gateways, loss.concerned)
    callers = LinkCallers(fleet)
    callers.run(1.0)
    fleet.cut(loss.cut, endpoints=loss.endpoints)
    lost_at = callers.now()
    sent = [one for one in callers.run(4.0) if one.at > lost_at + NOTICE_S]
    there, elsewhere = served_there_and_elsewhere(fleet, sent)
    assert there >= SERVED_FRACTION, (there, elsewhere)
    assert elsewhere >= SERVED_FRACTION, (there, elsewhere)
    assert statistics.median(one.took for one in sent) < 0.2


@pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET])
def test_links_to_most_endpoints_that_come_and_go_cost_few_first_tries(start, cut):
    fleet = start(4, 2)
    callers = LinkCallers(fleet)
    callers.run(1.0)
    started_at = callers.now()
    sent = []
    for state in (cut, Cut.NONE) * 3:
        fleet.cut(state, endpoints=4)
        sent += callers.run(1.5)
    there, elsewhere = served_there_and_elsewhere(
        fleet, [one for one in sent if one.at > started_at + NOTICE_S]
    )
    assert there >= SERVED_FRACTION, (there, elsewhere)
    assert elsewhere >= SERVED_FRACTION, (there, elsewhere)


@pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET])
def test_lost_endpoints_get_few_requests_that_must_not_run_twice(start, cut):
    fleet = start(4, 4)
    callers = LinkCallers(fleet, interval=0.03)
    callers.run(1.0)
    fleet.cut(cut, endpoints=4)
    sent = [one for one in callers.run(4.0) if one.path.startswith(ONCE)]
    unknown = [one for one in sent if one.status in (502, 504)]
    # Two thirds of those that are sent in the first 0.3 s, or were running.
    assert len(unknown) <= 0.3 * len(sent) / 4.0, len(unknown)
    runs = fleet.runs()
    assert not [path for path, count in runs.items() if path.startswith(ONCE) and count > 1]
    assert not {one.path for one in sent if one.status == 503} & runs.keys()


def test_requests_beyond_the_last_endpoint_are_refused_at_once_and_its_slots_hold(start):
    work = LimitedWork()
    fleet = start(4, 4, work)
    callers = LinkCallers(fleet, interval=0.02)
    callers.run(1.0)
    fleet.cut(Cut.HANG, endpoints=ENDPOINTS - 1)
    lost_at = callers.now()
    sent = [one for one in callers.run(3.0) if one.at > lost_at + NOTICE_S]
    capacity = 2.0 * SLOTS / statistics.mean(work.durations)
    served = sum(one.status == 200 for one in sent)
    seen = f"{served} of {capacity} and {len(sent)}\n{fleet.unserved()}"
    assert served >= SERVED_FRACTION * min(capacity, len(sent)), seen
    refused = [one for one in sent if one.status == 503]
    assert all(float(one.retry_after) > 0 for one in refused)
    assert {one.status for one in sent} <= {200, 503}
    assert statistics.median(one.took for one in refused) < 0.1
    assert max(one.took for one in refused) < 0.5


def test_returning_endpoints_are_not_sent_more_than_they_hold(start):
    work = LimitedWork()
    fleet = start(9, 9, work)
    callers = LinkCallers(fleet, interval=0.05)
    callers.run(1.0)
    fleet.cut(Cut.HANG, endpoints=4)
    callers.run(2.5)
    work.reset()
    returned_at = callers.now()
    fleet.cut(Cut.NONE)
    sent = [one for one in callers.run(3.0) if one.at > returned_at + NOTICE_S]
    assert fraction_served(sent) >= SERVED_FRACTION
    # Requests that were held back by the cut arrive at once, but none besides.
    lost = {endpoint.name for endpoint in fleet.endpoints[:4]}
    refused = [name for name in work.refused if name in lost]
    assert len(refused) <= 0.02 * len(sent), (work.refused, len(sent))


def test_gateway_that_starts_while_most_endpoints_are_lost_serves_first_tries(start):
    fleet = start(4, 4)
    fleet.cut(Cut.HANG, endpoints=4)
    name = fleet.settings[0]["name"]
    proc = fleet.signal(fleet.settings[0], signal.SIGKILL)
    proc.wait(5)
    fleet.start(fleet.settings[0])
    assert processes.eventually(lambda: processes.status(fleet.settings[0])["state"] == "ready", 30)
    callers = LinkCallers(fleet)
    started_at = callers.now()
    sent = [one for one in callers.run(4.0) if one.at > started_at + NOTICE_S]
    assert fraction_served([one for one in sent if one.gateway == name]) >= SERVED_FRACTION
