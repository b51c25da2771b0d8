"""Retries of all gateway processes stay within the budget across restarts."""

import concurrent.futures
import contextlib
import time
import typing as t

from cardamomloft_standins import endpoints, processes

LAUNCH = ("-m", "cardamomloft.gateway.main")

GATEWAYS = 4

ROUNDS = 4
"""Starts of each gateway, all within one window where the machine is fast enough."""

REQUESTS_PER_ROUND = 40
"""Requests to each gateway after each start, more than it has retries for."""

RATIO, SLACK, WINDOW_S = 0.2, 60, 10.0
"""The retry budget of the settings."""


class TimedArrivals(list):
    """A list of arrivals that also records when each of them was added."""

    def __init__(self) -> None:
        super().__init__()
        self.timed: list[tuple[float, str]] = []

    def append(self, arrival: endpoints.Arrival) -> None:
        self.timed.append((time.monotonic(), arrival.path))
        super().append(arrival)


def fail(endpoint: endpoints.Endpoint, handler: t.Any) -> None:
    handler.answer(500)


def send_all(settings, round_number) -> list[float]:
    """Send `REQUESTS_PER_ROUND` requests to each gateway; return when each was sent."""

    def send(cfg) -> list[float]:
        sent = []
        for number in range(REQUESTS_PER_ROUND):
            path = f"/menus/{round_number}-{cfg['name']}-{number}"
            sent.append(time.monotonic())
            endpoints.send_request(cfg["callers"], path, key=path)
        return sent

    with concurrent.futures.ThreadPoolExecutor(len(settings)) as pool:
        return [at for sent in pool.map(send, settings) for at in sent]


def is_ready(cfg) -> bool:
    return processes.status(cfg)["state"] == "ready"


def excess(sent: list[float], arrivals: list[tuple[float, str]]) -> float:
    """Return by how much retries exceed the budget in the worst window; negative if in none."""
    seen: set[str] = set()
    retries = []
    for at, path in arrivals:
        if path in seen:
            retries.append(at)
        seen.add(path)
    return max(_excess_from(start, sent, retries) for start in retries)


def _excess_from(start: float, sent: list[float], retries: list[float]) -> float:
    begins = (start, start - WINDOW_S / 2, start - WINDOW_S)
    requests = max(sum(begin <= at < begin + WINDOW_S for at in sent) for begin in begins)
    retried = sum(start <= at < start + WINDOW_S for at in retries)
    return retried - RATIO * requests - SLACK


def test_gateways_killed_again_and_again_retry_no_more_than_the_budget_allows(tmp_path):
    with contextlib.ExitStack() as stack:
        store = stack.enter_context(processes.store())
        processes.configure(store)
        rows, _ = stack.enter_context(endpoints.service(store, 4, fail))
        arrivals = TimedArrivals()
        for row in rows:
            row.arrivals = arrivals
        settings = [
            stack.enter_context(processes.settings(store, f"e-{number}"))
            for number in range(GATEWAYS)
        ]
        sent: list[float] = []
        for round_number in range(ROUNDS):
            with contextlib.ExitStack() as running:
                for cfg in settings:
                    running.enter_context(processes.gateway(tmp_path, cfg, LAUNCH))
                assert processes.eventually(lambda: all(map(is_ready, settings)), 60)
                sent += send_all(settings, round_number)
    assert len(arrivals.timed) > len(sent)
    assert excess(sent, arrivals.timed) <= 0
