"""Requests at work at endpoints that accept no new connection for a while."""

import concurrent.futures
import contextlib
import http.client
import itertools
import signal
import threading
import time
import typing as t
from collections import Counter

import pytest
from cardamomloft_standins import endpoints, processes
from cardamomloft_standins.cutlinks import Cut
from cardamomloft_standins.linkfleet import ENDPOINTS, ONCE, SLOW, LinkFleet, RecordedWork

GATEWAYS = 2
SEND_INTERVAL_S = 0.1
ONCE_EVERY = 10
"""One of so many requests must not run twice."""

TIMEOUT_S = 3.0
TIMER_TOLERANCE_S = 0.1
STALL_S = 1.0
STOP_TIMEOUT_S = 8.0


class Stall(t.NamedTuple):
    """`endpoints` of the six accept no connection for a second; requests take `work_s`."""

    endpoints: int
    work_s: float
    signalled: bool

    def __str__(self) -> str:
        suffix = "with SIGTERM" if self.signalled else "without a signal"
        return f"{self.endpoints} of {ENDPOINTS} {self.work_s} s {suffix}"


STALLS = [Stall(*case) for case in itertools.product((3, ENDPOINTS), (0.6, 1.2), (False, True))]


class Sent(t.NamedTuple):
    """A request, the time to its answer in seconds, and the status; 0 without a whole answer."""

    path: str
    took: float
    status: int


class Callers:
    """Callers that send one request in each interval to every gateway, on new connections."""

    def __init__(self, fleet: LinkFleet) -> None:
        self.fleet = fleet
        self.pool = concurrent.futures.ThreadPoolExecutor(300)
        self.rounds = 0
        self.futs: list[concurrent.futures.Future[Sent]] = []

    def run(self, duration: float) -> None:
        end = time.monotonic() + duration
        while time.monotonic() < end:
            self.rounds += 1
            prefix = SLOW if self.rounds % ONCE_EVERY else ONCE
            for cfg in self.fleet.settings:
                path = f"{prefix}/{self.rounds}/{cfg['name']}"
                self.futs.append(self.pool.submit(send, cfg["callers"], path))
            time.sleep(SEND_INTERVAL_S)

    def sent(self) -> list[Sent]:
        return [fut.result() for fut in self.futs]


def send(address: str, path: str) -> Sent:
    headers = {
        "Host": endpoints.HOST,
        "X-Request-Id": path,
        "X-Deadline-Ms": str(int(TIMEOUT_S * 1000)),
    }
    started = time.monotonic()
    conn = http.client.HTTPConnection(address, timeout=2 * TIMEOUT_S)
    status = 0
    with contextlib.closing(conn), contextlib.suppress(OSError, http.client.HTTPException):
        conn.request("GET", path, headers=headers)
        answer = conn.getresponse()
        answer.read()
        status = answer.status
    return Sent(path, time.monotonic() - started, status)


def restart_once_stopped(fleet: LinkFleet, cfg) -> threading.Thread:
    proc = fleet.signal(cfg, signal.SIGTERM)

    def run() -> None:
        proc.wait(STOP_TIMEOUT_S)
        fleet.start(cfg)

    thread = threading.Thread(target=run)
    thread.start()
    return thread


@pytest.mark.parametrize("stall", STALLS, ids=str)
def test_no_request_at_work_is_given_up_for_connections_that_are_not_accepted(tmp_path, stall):
    work = RecordedWork(lambda path: stall.work_s)
    with contextlib.ExitStack() as stack:
        fleet = LinkFleet(stack, tmp_path, GATEWAYS, GATEWAYS, work)
        fleet.configure(int(TIMEOUT_S * 1000))
        assert processes.eventually(fleet.has_converged, 60)
        callers = Callers(fleet)
        callers.run(1.5)
        fleet.cut(Cut.STALL, endpoints=stall.endpoints)
        if stall.signalled:
            thread = restart_once_stopped(fleet, fleet.settings[0])
        before = len(callers.futs)
        callers.run(STALL_S)
        fleet.cut(Cut.NONE)
        callers.run(2.0)
        sent = callers.sent()
        if stall.signalled:
            thread.join()
        runs = Counter(work.accepted)
    assert not [path for path, count in runs.items() if path.startswith(ONCE) and count > 1]
    broken_off = {one.path: one.after for one in work.broken_off}
    given_up = [
        (one, broken_off[one.path])
        for one in sent
        if one.path in broken_off and one.status != 200 and one.took < TIMEOUT_S - TIMER_TOLERANCE_S
    ]
    assert not given_up, (len(given_up), len(broken_off), given_up)
    assert any(one.status == 200 for one in sent[:before])
    assert any(one.status == 200 for one in sent[before:])
