"""Requests on their way through another gateway while one of the two stops or the link is lost."""

import base64
import concurrent.futures
import contextlib
import http.client
import json
import signal
import threading
import time
import typing as t
import urllib.request

import pytest
from cardamomloft_standins import cutlinks, endpoints, processes
from cardamomloft_standins.cutlinks import Cut
from cardamomloft_standins.linkfleet import IDEMPOTENT, ONCE, LinkFleet

WORK_S = 1.2
"""Time that an endpoint takes for a request, in seconds."""

TIMEOUT_S = 6.0
"""Time that requests have, in seconds."""

SEND_INTERVAL_S = 0.1

RETRIES = {"ratio": 0.2, "slack": 60.0, "window": "1s"}
"""With a short window, since new gateways retry nothing until they were recorded for it."""


class Sent(t.NamedTuple):
    """A request, its time of sending and to its answer, and its status; 0 without an answer."""

    path: str
    at: float
    took: float
    status: int


class Callers:
    """Callers of the gateway whose links to the endpoints are cut."""

    def __init__(self, fleet: LinkFleet) -> None:
        self.origin = fleet.cut_off[0]
        self.pool = concurrent.futures.ThreadPoolExecutor(200)
        self.count = 0

    def send(self, number: int) -> Sent:
        path = f"{IDEMPOTENT}/{number}" if number % 3 else f"{ONCE}/{number}"
        conn = http.client.HTTPConnection(self.origin["callers"], timeout=2 * TIMEOUT_S)
        headers = {"X-Request-Id": f"r{number}", "X-Deadline-Ms": str(round(TIMEOUT_S * 1000))}
        at, status = time.monotonic(), 0
        with contextlib.closing(conn), contextlib.suppress(OSError, http.client.HTTPException):
            conn.request("GET", path, headers={"Host": endpoints.HOST, **headers})
            answer = conn.getresponse()
            answer.read()
            status = answer.status
        return Sent(path, at, time.monotonic() - at, status)

    def run(self, duration: float) -> list[Sent]:
        futs = []
        end = time.monotonic() + duration
        while time.monotonic() < end:
            self.count += 1
            futs.append(self.pool.submit(self.send, self.count))
            time.sleep(SEND_INTERVAL_S)
        return [fut.result() for fut in futs]


def work(endpoint, handler) -> None:
    time.sleep(WORK_S)
    handler.answer()


def allow_long_requests(fleet: LinkFleet) -> None:
    document = json.loads(processes.ROUTES.read_text())
    safe = document["rules"][0]
    safe["then"] |= {"timeout": f"{TIMEOUT_S}s", "target": "2s"}
    once = json.loads(json.dumps(safe)) | {"name": "stamps"}
    once["when"]["path"], once["then"]["idempotent"] = f"{ONCE}/", False
    document["rules"] = [safe, once]
    endpoints.put(f"http://{fleet.store}/v1/kv/gateway/routes/current", document)


def helper_addresses(fleet: LinkFleet) -> dict[str, str]:
    """Return the addresses at which gateways accept the requests of others."""
    with urllib.request.urlopen(f"http://{fleet.store}/v1/kv/gateway/entries/?recurse=1") as answer:
        records = [json.loads(base64.b64decode(row["Value"])) for row in json.load(answer)]
    return {record["name"]: record["proxy"] for record in records}


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        fleet = LinkFleet(stack, tmp_path, 4, 1, work, {"retries": RETRIES})
        allow_long_requests(fleet)
        assert processes.eventually(fleet.has_converged, 60)
        yield fleet


@pytest.fixture
def callers(fleet):
    fleet.cut(Cut.RESET)
    callers = Callers(fleet)
    callers.run(1.0)
    assert processes.eventually(lambda: processes.metric(fleet.cut_off[0], "proxied_sent"), 10)
    return callers


def unanswered(sent: list[Sent]) -> list[Sent]:
    """Return the requests without an answer of an endpoint that had time for one."""
    return [one for one in sent if one.status != 200 and one.took < TIMEOUT_S]


def check_runs(fleet: LinkFleet, sent: list[Sent]) -> None:
    runs = fleet.runs()
    assert not [path for path, count in runs.items() if path.startswith(ONCE) and count > 1]
    assert not {one.path for one in sent if one.status == 503} & runs.keys()


def in_flight_and_later(callers: Callers, event: t.Callable[[], object], duration: float):
    """Send requests for a time, with an event after 0.8 s; return the requests."""
    timer = threading.Timer(0.8, event)
    timer.start()
    sent = callers.run(duration)
    timer.join()
    return sent


def test_helpers_that_stop_one_after_another_cost_no_request(fleet, callers):
    sent = []
    for cfg in fleet.settings[1:3]:
        sent += in_flight_and_later(callers, lambda cfg=cfg: fleet.signal(cfg, signal.SIGTERM), 5.0)
    assert not unanswered(sent)
    check_runs(fleet, sent)


def test_origin_that_stops_finishes_the_requests_that_other_gateways_have(fleet, callers):
    origin = fleet.cut_off[0]
    sent = in_flight_and_later(callers, lambda: fleet.signal(origin, signal.SIGTERM), 2.5)
    assert not unanswered(sent)
    check_runs(fleet, sent)


def test_helper_that_is_killed_costs_no_request_that_may_run_twice(fleet, callers):
    killed = fleet.settings[1]
    sent = in_flight_and_later(callers, lambda: fleet.signal(killed, signal.SIGKILL), 3.0)
    lost = unanswered(sent)
    assert not [one for one in lost if one.path.startswith(IDEMPOTENT)]
    assert {one.status for one in lost} <= {502}
    check_runs(fleet, sent)


def test_request_whose_caller_leaves_is_run_by_no_second_endpoint(fleet, callers):
    host, port = fleet.cut_off[0]["callers"].split(":")
    paths = [f"{IDEMPOTENT}/left/{number}" for number in range(10)]
    with contextlib.ExitStack() as stack:
        for number, path in enumerate(paths):
            conn = http.client.HTTPConnection(host, int(port))
            stack.callback(conn.close)
            conn.request(
                "GET", path, headers={"Host": endpoints.HOST, "X-Request-Id": f"l{number}"}
            )
        assert processes.eventually(lambda: fleet.runs().keys() >= set(paths), 5.0)
    time.sleep(WORK_S)
    assert [fleet.runs()[path] for path in paths] == [1] * len(paths)


def test_helper_whose_link_goes_silent_costs_no_request_that_may_run_twice(fleet):
    path = fleet.folder / f"{fleet.cut_off[0]['name']}.links"
    links = dict.fromkeys((endpoint.address for endpoint in fleet.endpoints), Cut.RESET)
    silent = helper_addresses(fleet)[fleet.settings[1]["name"]]
    cutlinks.write_each(path, links | {silent: Cut.NONE})
    callers = Callers(fleet)
    callers.run(1.0)
    sent = in_flight_and_later(
        callers, lambda: cutlinks.write_each(path, links | {silent: Cut.HANG}), 3.0
    )
    safe = [one for one in sent if one.path.startswith(IDEMPOTENT)]
    assert [one for one in safe if one.status == 200] == safe
    check_runs(fleet, sent)
