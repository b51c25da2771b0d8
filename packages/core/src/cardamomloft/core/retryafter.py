"""When refused callers are asked to come back.

A caller that comes back while there is still no room is refused for good, since most repeat once.
So the more of a service's requests are refused, the later they are asked to return, and the more
their returns are spread.
"""

import typing as t
from datetime import timedelta

MEMORY = 50
"""Requests over which the refused part is smoothed: some seconds of one service at one entry."""

LONGEST_PART = 1 / 3
"""Part of the time that a caller has left beyond which it is not asked to wait; callers that are
told more return then anyway."""


class RetryAfterBounds(t.NamedTuple):
    """From when until when callers return: without refusals before, and if all were refused.

    Work at an endpoint takes some hundred milliseconds, so single slots become free within the
    first bounds. The others are long enough for an overload of seconds to pass. Against 0.15 to
    0.6 s whatever the load, four played days gave 0.004 to 0.009 more worth each, and the heaviest
    refused 0.089 of its requests for good instead of 0.094.
    """

    first_calm: timedelta = timedelta(milliseconds=150)
    last_calm: timedelta = timedelta(milliseconds=600)
    first_full: timedelta = timedelta(milliseconds=900)
    last_full: timedelta = timedelta(milliseconds=2700)


class RetryAfterPolicy:
    """What one entry tells the refused callers of one service."""

    def __init__(self, waits: RetryAfterBounds) -> None:
        self._waits = waits
        self._refused = 0.0

    def record(self, refused: bool) -> None:
        """Note whether a request was refused."""
        self._refused += (refused - self._refused) / MEMORY

    def wait(self, draw: float, left: timedelta) -> timedelta:
        """Return after how long a caller with the time `left` is to come back.

        Parameters
        ----------
        draw
            From 0 to 1: where in the time in which callers return.
        left
            Until the caller gives up.
        """
        waits, part = self._waits, self._refused
        first = waits.first_calm + (waits.first_full - waits.first_calm) * part
        last = waits.last_calm + (waits.last_full - waits.last_calm) * part
        return min(first + (last - first) * draw, max(left, timedelta(0)) * LONGEST_PART)
