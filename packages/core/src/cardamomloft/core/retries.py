"""Retries: when another attempt is safe, and a token bucket that bounds their number."""

from datetime import timedelta

DEFAULT_BURST = 10.0
"""Default capacity of the token bucket, in retries."""


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
