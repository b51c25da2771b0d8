"""Attempts of a request: when another one is safe, and how their number is limited."""

from datetime import timedelta

DEFAULT_BURST = 10.0
"""Default capacity of the token bucket, in retries."""


MAX_SENDS = 4
"""Maximum number of endpoints to which one request is sent."""

MAX_CONNECTIONS = 8
"""Maximum number of endpoints to which no connection could be established for one request."""


class RetryBudget:
    """Token bucket that limits retries to a percentage of requests.

    It keeps retries from adding to the load of a service that is failing.

    Parameters
    ----------
    percent
        Retries allowed per hundred requests; 0 turns retries off.
    burst
        Capacity of the bucket in retries; the bucket is full at the start.
    """

    def __init__(self, percent: float, *, burst: float = DEFAULT_BURST) -> None:
        self._per_request = percent / 100
        self._burst = burst if percent > 0 else 0.0
        self._tokens = self._burst

    def on_request(self) -> None:
        """Count one request of a caller; retries do not count as requests."""
        self._tokens = min(self._burst, self._tokens + self._per_request)

    def try_retry(self) -> bool:
        """Take one token and return True, or return False if there is none."""
        # Adding 0.1 ten times gives slightly less than 1 in floating point.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True


def may_retry(
    idempotent: bool,
    not_run: bool,
    attempts_left: int,
    time_left: timedelta,
    expected: timedelta,
) -> bool:
    """Return whether another attempt is safe and can finish in time.

    Parameters
    ----------
    idempotent
        Whether running the request twice has the same effect as running it once.
    not_run
        Whether the last attempt provably did not run: it was not sent, or definitely refused.
    attempts_left
        Attempts that the rule still allows.
    time_left
        Time to the request's deadline.
    expected
        Expected duration of an attempt.
    """
    if not (idempotent or not_run):
        return False
    return attempts_left > 0 and time_left > max(expected, timedelta(0))


class AttemptCounts:
    """Counts the attempts of one request against their limits.

    Parameters
    ----------
    deliveries
        Number of endpoints that may have got the request from another entry.

    Attributes
    ----------
    tried : list of str
        The endpoints that were tried.
    deliveries : int
        Number of endpoints that may have got the request.
    unsent_time : timedelta
        Time spent on connections that could not be established.
    """

    def __init__(self, deliveries: int = 0) -> None:
        self.tried: list[str] = []
        self.deliveries = deliveries
        self.unsent_time = timedelta(0)
        self._unconnected = 0

    def record_sent(self, endpoint: str) -> None:
        """Record that an attempt begins."""
        self.tried.append(endpoint)
        self.deliveries += 1

    def record_unsent(self, duration: timedelta, *, unreachable: bool) -> None:
        """Record that an attempt sent nothing, and whether it got no connection."""
        self.deliveries -= 1
        if unreachable:
            self.unsent_time += duration
            self._unconnected += 1

    def left(self, allowed: int) -> int:
        """Return how many more attempts may be made if `allowed` endpoints may get the request."""
        return min(
            allowed - self.deliveries,
            MAX_SENDS - (len(self.tried) - self._unconnected),
            MAX_CONNECTIONS - self._unconnected,
        )
