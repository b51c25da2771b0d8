"""Budgets that hold over all entries together, each entry owning a part.

An entry's part depends only on how many entries are recorded, so that the parts add up to less
than the whole without a message. A new entry begins with nothing that was another's: its own
requests earn it repeats, and the slack is divided with a margin.
"""

import typing as t
from collections import deque
from datetime import timedelta

SAFETY = 0.8
"""Part of a budget that is divided; the rest covers entries that learn of each other late.

While one of ten entries is added and the others have not yet heard of it, the parts add up to
1.1 times what was divided; 0.8 x 1.1 stays below 1, and so does a quarter more entries at once.
"""


class RetryBudget:
    """Repeats of one service's requests by this entry, in a sliding window.

    Parameters
    ----------
    ratio
        Repeats allowed for each request, over all entries.
    slack
        Repeats allowed besides, over all entries.
    window
        Length of the sliding window.
    """

    def __init__(self, ratio: float, slack: float, window: timedelta) -> None:
        self.set_limits(ratio, slack, window)
        self._requests: deque[timedelta] = deque()
        self._repeats: deque[timedelta] = deque()

    def set_limits(self, ratio: float, slack: float, window: timedelta) -> None:
        """Hold other bounds from now on; what was counted stays."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def on_request(self, now: timedelta) -> None:
        """Count one caller's request."""
        self._requests.append(now)
        self._forget(now)

    def may_retry(self, entries: int, now: timedelta) -> bool:
        """Tell whether one more repeat fits this entry's part.

        Parameters
        ----------
        entries
            How many entries share the budget.
        now
            Monotonic instant.
        """
        self._forget(now)
        part = self._ratio * len(self._requests) + self._slack / max(entries, 1)
        return len(self._repeats) + 1 <= SAFETY * part

    def spend(self, now: timedelta) -> None:
        """Count one repeat."""
        self._repeats.append(now)

    def _forget(self, now: timedelta) -> None:
        for instants in (self._requests, self._repeats):
            while instants and now - instants[0] > self._window:
                instants.popleft()


class ColdLimit(t.NamedTuple):
    """Requests a second that a cold endpoint bears: ``rate * overage + slack``, all entries."""

    overage: float
    slack: float


_SECOND = timedelta(seconds=1)
_COLD_MARGIN = timedelta(milliseconds=150)
"""How much a request's arrival may be later or earlier than the one before: link and queue."""


def cold_part(rate: float, limit: ColdLimit, entries: int, place: int) -> int:
    """Return how many requests a second an entry may send to a cold endpoint.

    Parameters
    ----------
    rate
        Requests a second that the service states for a cold endpoint.
    limit
        What is allowed beyond the stated rate.
    entries
        How many entries share the limit.
    place
        This entry's place among them for this endpoint, from 0. Where the whole is less than one
        request for each entry, only the first places get one: many entries may start at once.
    """
    whole = int(SAFETY * (rate * limit.overage + limit.slack))
    return whole // entries if whole >= entries else int(place < whole)


def may_send_cold(sends: list[timedelta], part: int, now: timedelta) -> bool:
    """Tell whether an entry may send a request to a cold endpoint now.

    Parameters
    ----------
    sends
        Instants of its earlier sends to that endpoint; old ones are removed here.
    part
        Requests that it may send in any second.
    now
        Monotonic instant.
    """
    while sends and now - sends[0] > _SECOND + _COLD_MARGIN:
        sends.pop(0)
    return len(sends) < part
