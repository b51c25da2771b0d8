"""An endpoint that states a rate limit gets no more than that from all gateway processes."""

import contextlib
import itertools
import threading
import time

import pytest
from cardamomloft_standins import endpoints, processes

LAUNCH = ("-m", "cardamomloft.gateway.main")

LIMIT_PER_S = 4.0
"""Stated by one of the endpoints; the requests whose keys belong to it are several times more."""

REQUESTS_PER_S = 40.0
"""Requests to all gateways together."""

SETTLE_S = 3.0
"""Time from the first statement of the limit until it is kept."""

MEASURED_S = 8.0

WINDOW_S = 4.0

ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests that the endpoint may get in a window."""

SERVICE_TIME_S = 0.02
"""Time that each request takes, large beside that for a new connection."""


class Load:
    """Callers that send requests to all gateways in turn, each with another affinity key."""

    def __init__(self, settings) -> None:
        self._settings = settings
        self._stopped = threading.Event()
        self.statuses: list[int] = []
        self._threads = [
            threading.Thread(target=self._send_all, args=(cfg, number), daemon=True)
            for number, cfg in enumerate(settings)
        ]

    def __enter__(self) -> "Load":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _send_all(self, cfg, number) -> None:
        pause = len(self._settings) / REQUESTS_PER_S
        for path in (f"/menus/{number}-{at}" for at in itertools.count()):
            if self._stopped.wait(pause):
                return
            answer = endpoints.send_request(cfg["callers"], path, key=path)
            self.statuses.append(answer.status)


@pytest.fixture(params=[3, 9], ids=["without relays", "relays"])
def fleet(tmp_path, request):
    """Yield gateway settings and three endpoints whose arrivals are recorded with their time."""
    with contextlib.ExitStack() as stack:
        store = stack.enter_context(processes.store())
        processes.configure(store)
        rows, _ = stack.enter_context(endpoints.service(store, 3, serve))
        owned = (
            processes.settings(store, f"e-{number}", "ab"[number % 2])
            for number in range(request.param)
        )
        settings = [stack.enter_context(cfg) for cfg in owned]
        for cfg in settings:
            stack.enter_context(processes.gateway(tmp_path, cfg, LAUNCH))

        def has_converged() -> bool:
            pages = [processes.status(cfg) for cfg in settings]
            return all(
                page["state"] == "ready"
                and page["upstreams"] == len(rows)
                and len(page["entries"]) == len(settings)
                for page in pages
            )

        assert processes.eventually(has_converged, 60)
        assert bool(processes.status(settings[0])["relays"]) == (request.param > 8)
        yield settings, rows, store


def serve(endpoint, handler) -> None:
    time.sleep(SERVICE_TIME_S)
    handler.answer()


def record_times(endpoint) -> list[float]:
    """Record when requests arrive at the endpoint, and return the growing list."""
    times: list[float] = []

    def behave(endpoint, handler) -> None:
        times.append(time.monotonic())
        serve(endpoint, handler)

    endpoint.behaviour = behave
    return times


def most_in_window(times: list[float], start: float) -> int:
    """Return the most arrivals within `WINDOW_S` among those after `start`."""
    late = [at for at in times if at >= start]
    return max(sum(begin <= at < begin + WINDOW_S for at in late) for begin in late)


@pytest.mark.parametrize("store_state", ["available", "unavailable"])
def test_all_gateways_together_keep_to_the_rate_limit_of_an_endpoint(fleet, store_state):
    settings, rows, store = fleet
    if store_state == "unavailable":
        endpoints.put(f"http://{store}/control", {"down": "hang"})
    times = record_times(rows[0])
    rows[0].headers["X-Rate-Limit"] = str(LIMIT_PER_S)
    with Load(settings) as load:
        assert processes.eventually(lambda: times, 10)
        time.sleep(SETTLE_S + MEASURED_S)
    assert most_in_window(times, times[0] + SETTLE_S) <= ALLOWED
    assert set(load.statuses) == {200}


def test_an_endpoint_gets_its_requests_back_when_it_states_no_limit_any_more(fleet):
    settings, rows, _ = fleet
    times = record_times(rows[0])
    rows[0].headers["X-Rate-Limit"] = "1.0"
    with Load(settings):
        assert processes.eventually(lambda: times, 10)
        time.sleep(SETTLE_S + MEASURED_S)
        del rows[0].headers["X-Rate-Limit"]
        ended_at = time.monotonic()
        time.sleep(MEASURED_S)
    assert most_in_window(times, ended_at) > 1.5 * 1.0 * WINDOW_S + 5
