"""Retries: when another attempt is safe, and the budget that keeps retries few."""

from datetime import timedelta

DEFAULT_BURST = 10.0
"""Retries that a budget saves up at most."""


class RetryBudget:
    """Allows retries as a share of requests, so that a failing service is not hit harder.

    Parameters
    ----------
    percent
        Retries allowed for each hundred requests.
    burst
        Retries saved up at most, and at hand at the start. With 0 percent there are none.
    """

    def __init__(self, percent: float, *, burst: float = DEFAULT_BURST) -> None:
        self._per_request = percent / 100
        self._burst = burst if percent > 0 else 0.0
        self._tokens = self._burst

    def on_request(self) -> None:
        """Count one request of a caller; its retries are not counted."""
        self._tokens = min(self._burst, self._tokens + self._per_request)

    def try_retry(self) -> bool:
        """Spend one retry if the budget has it."""
        # Sums of fractions such as a tenth fall short of one by rounding.
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
    """Tell whether another attempt is harmless and could still help.

    Parameters
    ----------
    idempotent
        Whether running the request twice has the effect of running it once.
    not_run
        Whether the last attempt provably did not run: it was not sent, or definitely refused.
    attempts_left
        Attempts that the rule still allows.
    time_left
        Time to the request's deadline.
    expected
        How long an attempt usually takes.
    """
    if not (idempotent or not_run):
        return False
    return attempts_left > 0 and time_left > max(expected, timedelta(0))
