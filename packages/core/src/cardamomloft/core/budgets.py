"""Budgets that hold over all entries together, divided without coordination.

An entry's share depends only on the number of recorded entries, so that the shares add up to less
than the budget. An entry uses its share of a fixed allowance only after its record has been in the
store for the whole window of the limit. Until then the others may not count it, or its predecessor
under the same name may have used the share. Its retries in proportion to its own requests need
no agreement.
"""

import typing as t
from collections import deque
from datetime import timedelta

DIVIDED_FRACTION = 0.8
"""Fraction of a budget that is divided; the remainder covers entries that not all others know.

While one of ten entries is added and the others have not yet heard of it, the shares add up to 1.1
times what was divided, and 0.8 x 1.1 stays below 1.

An entry that started while the records of others had lapsed does not count them; the sum of the
shares stays within the budget as long as no more than a quarter of the entries are unknown to it.
"""


class Division(t.NamedTuple):
    """How limits over all entries are divided at one instant.

    Attributes
    ----------
    entries
        Number of entries that share the limits.
    record_age
        How long this entry has been recorded. The others count it as soon as they have read that,
        and for as long as it may use its share.
    """

    entries: int
    record_age: timedelta

    def share(self, window: timedelta) -> float:
        """Return this entry's fraction of a limit that holds for any `window`."""
        return 1 / max(self.entries, 1) if self.record_age >= window else 0.0


class RetryBudget:
    """Bounds one entry's retries for a service in a sliding window.

    Parameters
    ----------
    ratio
        Retries allowed per request, over all entries.
    slack
        Additional retries allowed in a window, over all entries.
    window
        Length of the sliding window.
    """

    def __init__(self, ratio: float, slack: float, window: timedelta) -> None:
        self.set_limits(ratio, slack, window)
        self._requests: deque[timedelta] = deque()
        self._retries: deque[timedelta] = deque()

    def set_limits(self, ratio: float, slack: float, window: timedelta) -> None:
        """Replace the limits; requests and retries counted so far are kept."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def on_request(self, now: timedelta) -> None:
        """Count one caller's request."""
        self._requests.append(now)
        self._expire(now)

    def may_retry(self, division: Division, now: timedelta) -> bool:
        """Return whether one more retry is within this entry's share.

        Parameters
        ----------
        division
            How the fixed allowance is divided.
        now
            Monotonic instant.
        """
        self._expire(now)
        allowed = self._ratio * len(self._requests) + self._slack * division.share(self._window)
        return len(self._retries) + 1 <= DIVIDED_FRACTION * allowed

    def spend(self, now: timedelta) -> None:
        """Count one retry."""
        self._retries.append(now)

    def _expire(self, now: timedelta) -> None:
        for instants in (self._requests, self._retries):
            while instants and now - instants[0] > self._window:
                instants.popleft()
