"""The limit of a cold endpoint, which holds over all entries together."""

import typing as t
from collections import deque
from datetime import timedelta

from cardamomloft.core.budgets import DIVIDED_FRACTION, Division


class ColdLimit(t.NamedTuple):
    """Rate limit of a cold endpoint in requests per second, over all entries.

    The limit is ``rate * overage + slack``, where ``rate`` is the rate that the service states.
    """

    overage: float
    slack: float


_SECOND = timedelta(seconds=1)
_COLD_MARGIN = timedelta(milliseconds=150)
"""Allowance for jitter between sending a request and its arrival, from the link and from queues."""


def cold_allowance(rate: float, limit: ColdLimit, division: Division, rank: int) -> int:
    """Return the number of requests per second that an entry may send to a cold endpoint.

    Parameters
    ----------
    rate
        Requests per second that the service states for a cold endpoint.
    limit
        What is allowed beyond the stated rate.
    division
        How the limit is divided.
    rank
        This entry's rank among them for this endpoint, from 0. If the limit is below one request
        per entry, only the lowest ranks get one.
    """
    if not division.share(_SECOND):
        return 0
    budget = int(DIVIDED_FRACTION * (rate * limit.overage + limit.slack))
    entries = division.entries
    return budget // entries if budget >= entries else int(rank < budget)


class RecentSends:
    """The instants of an entry's requests to one endpoint in the last second.

    They are kept whether the endpoint is cold or not, since it may become cold at any time.
    """

    __slots__ = ("_instants",)

    def __init__(self) -> None:
        self._instants: deque[timedelta] = deque()

    def record(self, now: timedelta) -> None:
        """Record a request that is sent now."""
        self._instants.append(now)
        self._expire(now)

    def count(self, now: timedelta) -> int:
        """Return the number of requests that may arrive in one second with one sent now."""
        self._expire(now)
        return len(self._instants)

    def _expire(self, now: timedelta) -> None:
        while self._instants and now - self._instants[0] > _SECOND + _COLD_MARGIN:
            self._instants.popleft()
