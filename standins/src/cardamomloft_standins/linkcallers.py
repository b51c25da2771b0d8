"""Callers that send requests to the gateways of a :class:`LinkFleet` at a fixed rate."""

import concurrent.futures
import time
import typing as t

from cardamomloft_standins import endpoints
from cardamomloft_standins.linkfleet import IDEMPOTENT, ONCE, LinkFleet

MAX_WAITING = 300
"""Requests that wait for an answer at the same time."""


class Sent(t.NamedTuple):
    """A request that was sent `at` seconds after the start of the callers, and its status.

    `took` is the time to its answer in seconds, and the status is 0 without a complete answer.
    """

    gateway: str
    path: str
    at: float
    took: float
    status: int
    retry_after: str | None


class LinkCallers:
    """Callers that send one request in each interval to every gateway, whatever is answered.

    Requests of the two rules alternate; those that must run at most once have paths of their own.

    Parameters
    ----------
    fleet
        The gateways.
    interval
        Time between two requests to one gateway, in seconds.
    """

    def __init__(self, fleet: LinkFleet, interval: float = 0.1) -> None:
        self._fleet = fleet
        self._interval = interval
        self._pool = concurrent.futures.ThreadPoolExecutor(MAX_WAITING)
        self._started = time.monotonic()
        self._rounds = 0

    def now(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._started

    def run(self, duration: float) -> list[Sent]:
        """Send for a time in seconds, and return all requests once they are answered."""
        futs = []
        end = self.now() + duration
        while self.now() < end:
            self._rounds += 1
            for cfg in self._fleet.settings:
                once = self._rounds % 2
                path = f"{ONCE}/{self._rounds}/{cfg['name']}" if once else IDEMPOTENT
                futs.append(self._pool.submit(self._send, cfg, path))
            time.sleep(self._interval)
        return [fut.result() for fut in futs]

    def _send(self, cfg: dict[str, t.Any], path: str) -> Sent:
        at = self.now()
        try:
            answer = endpoints.send_request(cfg["callers"], path, key=f"{at}")
            status, retry_after = answer.status, answer.headers.get("Retry-After")
        except OSError:
            status, retry_after = 0, None
        return Sent(cfg["name"], path, at, self.now() - at, status, retry_after)


def fraction_served(sent: list[Sent]) -> float:
    """Return the fraction of requests that were answered with status 200."""
    return sum(one.status == 200 for one in sent) / len(sent)
