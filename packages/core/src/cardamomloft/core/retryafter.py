"""Retry-after times for refused callers.

Most callers retry only once, so one that returns while the service is still overloaded is lost.
The larger the fraction of a service's requests that is refused, the later refused callers are asked
to return, and the wider their returns are spread.
"""

import typing as t
from datetime import timedelta

SMOOTHED_REQUESTS = 50
"""Time constant of the smoothed fraction of refusals, in requests."""

MAX_WAIT_FRACTION = 1 / 3
"""Maximum wait as a fraction of the caller's remaining time. Callers that are asked to wait longer
retry at this point anyway."""


class RetryAfterBounds(t.NamedTuple):
    """Bounds of the retry-after time without refusals, and when all requests are refused.

    Single slots become free within the first range. The second one is long enough for a short
    overload to pass.
    """

    normal_min: timedelta = timedelta(milliseconds=150)
    normal_max: timedelta = timedelta(milliseconds=600)
    overload_min: timedelta = timedelta(milliseconds=900)
    overload_max: timedelta = timedelta(milliseconds=2700)


class RetryAfterPolicy:
    """Retry-after times that one entry gives to the refused callers of one service."""

    def __init__(self, waits: RetryAfterBounds) -> None:
        self._waits = waits
        self._refused_fraction = 0.0

    def record(self, refused: bool) -> None:
        """Record whether a request was refused."""
        self._refused_fraction += (refused - self._refused_fraction) / SMOOTHED_REQUESTS

    def wait(self, draw: float, remaining: timedelta) -> timedelta:
        """Return the time after which a refused caller should retry.

        Parameters
        ----------
        draw
            Random number from 0 to 1, which sets the position between the bounds.
        left
            Time until the caller gives up.
        """
        waits, fraction = self._waits, self._refused_fraction
        low = waits.normal_min + (waits.overload_min - waits.normal_min) * fraction
        high = waits.normal_max + (waits.overload_max - waits.normal_max) * fraction
        return min(low + (high - low) * draw, max(remaining, timedelta(0)) * MAX_WAIT_FRACTION)
