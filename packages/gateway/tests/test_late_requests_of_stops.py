"""A gateway that stops takes no request that would outlast it, and serves the others."""

import concurrent.futures
import contextlib
import http.client
import itertools
import json
import signal
import socket
import time
import typing as t

import pytest
from cardamomloft_standins import endpoints, processes

LAUNCH = ("-m", "cardamomloft.gateway.main")
CALLERS = 24
DEADLINE_MS = 9_000
STOP_S = 6.0
TAKES_S = 2.5
"""Time since the signal in which callers send requests, half a second less than they are taken."""

_names = (f"late-{number}" for number in itertools.count(1))


class Late(t.NamedTuple):
    """A request that was sent during the stop; the status is 0 without an answer."""

    path: str
    status: int
    retry_after: str


def work(endpoint, handler):
    """Serve ``/orders/MS/ID`` after MS milliseconds."""
    time.sleep(int(handler.path.split("/")[2]) / 1000)
    handler.answer()


class Running:
    def __init__(self, stack, folder) -> None:
        store = stack.enter_context(processes.store())
        document = json.loads(processes.ROUTES.read_text())
        for rule in document["rules"]:
            rule["then"] |= {"timeout": "9s", "services": [{"service": "menus", "weight": 1}]}
            rule["then"].pop("homes", None)
        endpoints.put(f"http://{store}/v1/kv/gateway/routes/current", document)
        rows, self.arrivals = stack.enter_context(endpoints.service(store, 2, work))
        for row in rows:
            url = f"http://{store}/v1/kv/gateway/upstreams/{row.name}"
            slots = {"service": "menus", "address": row.address, "zone": "a", "slots": 64}
            endpoints.put(url, slots)
        self.cfg = stack.enter_context(processes.settings(store))
        self.proc = stack.enter_context(processes.gateway(folder, self.cfg, LAUNCH))
        self.log = processes.log_path(folder, self.cfg)
        self.pool = stack.enter_context(concurrent.futures.ThreadPoolExecutor(CALLERS))
        assert processes.eventually(lambda: processes.status(self.cfg)["upstreams"] == 2, 30)

    def connect(self):
        host, _, port = self.cfg["callers"].rpartition(":")
        return socket.create_connection((host, int(port)), 15)

    def ask(self, conn, prefix, work_ms) -> Late:
        path = f"{prefix}{work_ms}/{next(_names)}"
        lines = [f"GET {path} HTTP/1.1", f"Host: {endpoints.HOST}", f"X-Deadline-Ms: {DEADLINE_MS}"]
        lines += [f"X-Request-Id: {path.rpartition('/')[2]}", "", ""]
        try:
            conn.sendall("\r\n".join(lines).encode())
            answer = http.client.HTTPResponse(conn)
            answer.begin()
            answer.read()
        except (OSError, http.client.HTTPException):
            return Late(path, 0, "")
        return Late(path, answer.status, answer.headers.get("Retry-After", ""))

    def stop_while_asked(self, prefix, work_ms) -> list[Late]:
        """Stop while callers go on to send requests, each one after the other."""
        kept = [self.connect() for _ in range(CALLERS // 2)] + [None] * (CALLERS // 2)
        self.proc.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()

        def call(conn, number):
            late = []
            time.sleep(0.05 + 0.1 * number)
            while time.monotonic() - stopped_at < TAKES_S:
                try:
                    conn = conn or self.connect()
                except OSError:
                    break
                late.append(self.ask(conn, prefix, work_ms))
                conn.close()
                conn = None
                time.sleep(0.05)
            return late

        futs = [self.pool.submit(call, conn, number) for number, conn in enumerate(kept)]
        late = [one for fut in futs for one in fut.result()]
        assert self.proc.wait(timeout=10) == 0
        assert time.monotonic() - stopped_at < STOP_S + 10
        return late


@pytest.fixture
def run(tmp_path):
    with contextlib.ExitStack() as stack:
        run = Running(stack, tmp_path)
        yield run
        print(run.log.read_text()[-3000:])


def counts(run, late):
    """Return how many late requests were served and refused, after checking that none was cut.

    The listener closes meanwhile, so some are not read; these have reached no endpoint.
    """
    arrived = {arrival.path for arrival in run.arrivals}
    served = [one for one in late if one.status == 200]
    refused = [one for one in late if one.status == 503]
    assert [one for one in late if one.path in arrived and one.status != 200] == []
    assert {one.status for one in late} <= {0, 200, 503}
    assert all(one.retry_after for one in refused)
    return len(served), len(refused)


@pytest.mark.parametrize("prefix", ["/menus/", "/orders/"], ids=["repeatable", "once"])
@pytest.mark.parametrize("before", [0, 1], ids=["never answered", "answered before"])
def test_requests_that_would_outlast_the_stop_are_refused_and_not_cut(run, before, prefix):
    """Guards against requests that are passed on late in a stop and cut by its end."""
    for _ in range(before):
        with run.connect() as conn:
            assert run.ask(conn, prefix, 4_500).status == 200
    _, refused = counts(run, run.stop_while_asked(prefix, 4_500))
    assert refused >= CALLERS / 2


@pytest.mark.parametrize("work_ms", [20, 500, 1_500])
def test_requests_that_are_usually_answered_in_time_are_served_during_the_stop(run, work_ms):
    with run.connect() as conn:
        assert run.ask(conn, "/orders/", work_ms).status == 200
    served, refused = counts(run, run.stop_while_asked("/orders/", work_ms))
    assert served >= CALLERS and refused == 0


def test_requests_that_have_become_slow_are_refused_by_those_in_progress(run):
    with run.connect() as conn:
        assert run.ask(conn, "/orders/", 10).status == 200
    slow = [run.pool.submit(run.ask, run.connect(), "/orders/", 5_200) for _ in range(2)]
    time.sleep(2.5)
    late = run.stop_while_asked("/orders/", 4_500)
    assert [fut.result().status for fut in slow] == [200, 200]
    _, refused = counts(run, late)
    assert refused >= CALLERS / 2
