"""Rates of the requests of client accounts."""

import math
from datetime import timedelta

from cardamomloft.core.routes import ClientAccount

_MIN_AVERAGING_S = 0.5
_MAX_AVERAGING_S = 5.0
_AVERAGED_REQUESTS = 10
"""Requests at an account's full rate over which its demand is averaged."""

_LAST_RATE_AVERAGING_S = 5.0

_SECOND = timedelta(seconds=1)


class EventRate:
    """An exponentially weighted rate of events, in events per second.

    Parameters
    ----------
    averaging_s
        Time constant in seconds.
    now
        Monotonic instant.
    """

    def __init__(self, averaging_s: float, now: timedelta) -> None:
        self._averaging_s = averaging_s
        self._count = 0.0
        self._at = now

    def add(self, count: float, now: timedelta) -> None:
        """Add events; a negative count takes some back."""
        self._count = max(0.0, self.per_s(now) * self._averaging_s + count)
        self._at = now

    def per_s(self, now: timedelta) -> float:
        """Return the events per second."""
        elapsed = max(0.0, (now - self._at) / _SECOND)
        return self._count * math.exp(-elapsed / self._averaging_s) / self._averaging_s


def admitted_rate(now: timedelta) -> EventRate:
    """Return a rate for the admitted requests of an account, to go on at when reports fail."""
    return EventRate(_LAST_RATE_AVERAGING_S, now)


def demand_rate(account: ClientAccount, now: timedelta) -> EventRate:
    """Return a rate for the requests of an account that adapts within a few of them."""
    averaging_s = _AVERAGED_REQUESTS / account.rate_per_s
    return EventRate(min(max(averaging_s, _MIN_AVERAGING_S), _MAX_AVERAGING_S), now)
