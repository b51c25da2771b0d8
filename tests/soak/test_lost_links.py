"""Lost links and endpoints, signals, restarts and changes in series, with open connections.

Callers keep their connections while they can.

``SOAK_SEEDS=50 python -m pytest tests/soak`` runs more seeds.
"""

import contextlib
import http.client
import os
import random
import signal
import threading
import time
import typing as t

import pytest
from cardamomloft_standins import endpoints, processes
from cardamomloft_standins.cutlinks import Cut
from cardamomloft_standins.linkfleet import ENDPOINTS, ONCE, LinkFleet

SEEDS = range(int(os.environ.get("SOAK_SEEDS", "2")))
GATEWAYS = 4
CALLERS = 8
DURATION_S = 8.0
EVENT_INTERVAL_S = (0.1, 0.9)
PAUSE_S = 0.05
STOP_TIMEOUT_S = 7.0
RECOVERY_S = 3.0
SERVED_FRACTION = 0.95
"""Fraction of the requests that is served once nothing is disturbed any more."""


class Result(t.NamedTuple):
    """A request, and the status of its answer; 0 without a complete one."""

    path: str
    at: float
    status: int


class Caller(threading.Thread):
    """Sends requests one after the other on a connection that it keeps while it can."""

    def __init__(self, fleet: LinkFleet, number: int, seed: int) -> None:
        super().__init__(daemon=True)
        self.fleet = fleet
        self.number = number
        self.rng = random.Random(f"{seed}/{number}")
        self.results: list[Result] = []
        self.stopped = threading.Event()
        self.conn: http.client.HTTPConnection | None = None

    def run(self) -> None:
        while not self.stopped.is_set():
            path = f"{ONCE}/{self.number}/{len(self.results)}"
            at = time.monotonic()
            self.results.append(Result(path, at, self.send(path)))
            time.sleep(PAUSE_S)

    def send(self, path: str) -> int:
        if self.conn is None:
            cfg = self.rng.choice(self.fleet.settings)
            self.conn = http.client.HTTPConnection(cfg["callers"], timeout=5)
        headers = {"Host": endpoints.HOST, "X-Request-Id": path, "X-Deadline-Ms": "2000"}
        try:
            self.conn.request("GET", path, headers=headers)
            answer = self.conn.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            self.conn = None
            return 0
        if answer.will_close:
            self.conn = None
        return answer.status


class Disturber:
    """Draws what happens to the fleet; restarts overlap with whatever comes next."""

    def __init__(self, fleet: LinkFleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.log: list[str] = []
        self.restarts: dict[str, threading.Thread] = {}

    def disturb(self) -> None:
        cfg = self.rng.choice(self.fleet.settings)
        kind = self.rng.choice(
            ["cut", "cut", "cut", "lose", "lose", "restore", "stop", "kill", "configure", "hup"]
        )
        self.log.append(f"{kind} {cfg['name']}")
        if kind == "cut":
            self.fleet.cut(self.draw_cut(), [cfg], endpoints=self.rng.randint(3, ENDPOINTS))
        elif kind == "lose":
            concerned = self.rng.sample(self.fleet.settings, self.rng.randint(1, GATEWAYS))
            self.fleet.cut(self.draw_cut(), concerned, endpoints=self.rng.randint(1, ENDPOINTS - 1))
        elif kind == "restore":
            self.fleet.cut(Cut.NONE, [cfg])
        elif kind == "configure":
            self.fleet.configure(self.rng.randrange(800, 1200))
        elif cfg["name"] not in self.restarts:
            if kind == "hup":
                self.fleet.signal(cfg, signal.SIGHUP)
            else:
                self.restart(cfg, signal.SIGTERM if kind == "stop" else signal.SIGKILL)

    def draw_cut(self) -> Cut:
        return self.rng.choice([Cut.HANG, Cut.RESET, Cut.REFUSE])

    def restart(self, cfg, number: signal.Signals) -> None:
        proc = self.fleet.signal(cfg, number)

        def run() -> None:
            proc.wait(STOP_TIMEOUT_S)
            self.fleet.start(cfg)

        self.restarts[cfg["name"]] = threading.Thread(target=run)
        self.restarts[cfg["name"]].start()

    def settle(self) -> None:
        for thread in self.restarts.values():
            thread.join(STOP_TIMEOUT_S)
        self.fleet.cut(Cut.NONE, self.fleet.settings)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_runs_twice_or_after_its_refusal_while_links_and_processes_fail(tmp_path, seed):
    with contextlib.ExitStack() as stack:
        fleet = LinkFleet(stack, tmp_path, GATEWAYS, 2)
        assert processes.eventually(fleet.has_converged, 60)
        callers = [Caller(fleet, number, seed) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        disturber = Disturber(fleet, seed)
        end = time.monotonic() + DURATION_S
        while time.monotonic() < end:
            disturber.disturb()
            time.sleep(disturber.rng.uniform(*EVENT_INTERVAL_S))
        disturber.settle()
        assert processes.eventually(fleet.has_converged, 30), disturber.log
        time.sleep(1.0)
        settled_at = time.monotonic()
        time.sleep(RECOVERY_S)
        for caller in callers:
            caller.stopped.set()
        for caller in callers:
            caller.join(10)
        results = [result for caller in callers for result in caller.results]
        runs = fleet.runs()
    assert not [path for path, count in runs.items() if count > 1], disturber.log
    refused = [result.path for result in results if result.status == 503]
    assert not [path for path in refused if path in runs], disturber.log
    assert all(runs[result.path] for result in results if result.status == 200)
    after = [result.status == 200 for result in results if result.at > settled_at]
    assert sum(after) >= SERVED_FRACTION * len(after), (disturber.log, sum(after), len(after))
