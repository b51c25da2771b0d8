"""Retry-after times of refused callers, and the callers that were told to retry.

Callers retry once, at the time given or after a third of their remaining time if that is sooner. A
part of the capacity that becomes free is reserved for callers who return at the time given. A
caller whose turn would come later than it can wait gets no reservation; it is told that later time.
"""

import math
import typing as t
from collections import OrderedDict
from datetime import timedelta

from cardamomloft.core.queueing.estimate import SpareRate
from cardamomloft.core.retryafter import MAX_WAIT_FRACTION, RetryAfterBounds

MAX_EXPECTED = 1_000
"""Number of callers told to retry that are kept; the oldest are evicted."""

RESERVED_FRACTION = 0.25
"""Fraction of the capacity that is reserved for callers who return. Each reservation delays a new
request, so that more of them would only cause more first refusals."""

MIN_EXPECTED_SENDS = 4.0
"""Requests that are expected to be sent between a caller's return and the last instant at which its
request can be. With independent ends, none of 3 happens in 5 % of all cases; the rate is an
estimate too."""

ONE_IN_20 = 1.65
"""Standard deviations above the mean that a normal variable exceeds in 5 % of all cases."""

DURATION_FACTOR = 1.5
"""Multiple of the mean duration that is left for the answer, since durations vary."""

EARLY_TOLERANCE = timedelta(milliseconds=20)
"""How much before its time a caller may return; clocks and timers round."""

LATE_TOLERANCE = timedelta(seconds=1)
"""How long after its time a returning caller is still preferred."""

MIN_WAIT = timedelta(milliseconds=150)
"""Minimum retry-after time. Sooner returns would meet the same full endpoints."""

_SECOND = timedelta(seconds=1)


class CallerIdentity(t.NamedTuple):
    """By what a returning caller is recognised: its account, or its address, and the key."""

    caller: str
    anonymous: bool
    key: str


class ExpectedCallers:
    """The callers that were told to retry, with the instants given to them."""

    def __init__(self) -> None:
        self._due: OrderedDict[tuple[CallerIdentity, int], timedelta] = OrderedDict()
        self._numbers: dict[CallerIdentity, list[int]] = {}
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._due)

    def add(self, caller: CallerIdentity, due: timedelta) -> None:
        """Record that `caller` was told to retry at the instant `due`."""
        self._due[caller, self._next_number] = due
        self._numbers.setdefault(caller, []).append(self._next_number)
        self._next_number += 1
        if len(self._due) > MAX_EXPECTED:
            self._remove(*next(iter(self._due)))

    def take(self, caller: CallerIdentity, now: timedelta) -> bool:
        """Return whether `caller` returns at its time, and forget that it was expected."""
        for number in list(self._numbers.get(caller, ())):
            due = self._due[caller, number]
            if now > due + LATE_TOLERANCE:
                self._remove(caller, number)
            elif now >= due - EARLY_TOLERANCE:
                self._remove(caller, number)
                return True
        return False

    def expire(self, now: timedelta) -> None:
        """Forget the oldest callers while they are too late to be preferred."""
        while self._due:
            (caller, number), due = next(iter(self._due.items()))
            if now <= due + LATE_TOLERANCE:
                return
            self._remove(caller, number)

    def _remove(self, caller: CallerIdentity, number: int) -> None:
        del self._due[caller, number]
        numbers = self._numbers[caller]
        numbers.remove(number)
        if not numbers:
            del self._numbers[caller]


class ReturnPlan:
    """Retry-after times of one service at one gateway.

    Parameters
    ----------
    bounds
        The times without overload, for requests that endpoints refused although they had capacity.
    """

    def __init__(self, bounds: RetryAfterBounds) -> None:
        self._bounds = bounds
        self._last_turn: dict[int, timedelta] = {}
        self.expected = ExpectedCallers()

    def wait_after_rejection(
        self, caller: CallerIdentity, remaining: timedelta, draw: float, now: timedelta
    ) -> timedelta:
        """Return the time for a caller that endpoints refused although they had capacity.

        The next request may well be accepted, so the time is short. It uses no reservation.

        Parameters
        ----------
        caller
            The refused caller.
        remaining
            Time until the caller gives up.
        draw
            Random number from 0 to 1, which spreads the returns.
        now
            Monotonic instant.
        """
        low, high = self._bounds.normal_min, self._bounds.normal_max
        wait = min(low + (high - low) * draw, _latest_return(remaining))
        self._expect(caller, now + wait, now)
        return wait

    def wait_for_capacity(
        self,
        caller: CallerIdentity,
        priority: int,
        spare: SpareRate,
        duration: timedelta,
        remaining: timedelta,
        now: timedelta,
        *,
        may_reserve: bool,
    ) -> timedelta:
        """Return the time until there is capacity for a refused caller.

        Parameters
        ----------
        caller
            The refused caller.
        priority
            Priority of its request.
        spare
            The rate at which requests of its priority can be sent.
        duration
            Mean time from sending a request to its answer.
        remaining
            Time until the caller gives up.
        now
            Monotonic instant.
        may_reserve
            Whether capacity may be reserved for it; not for accounts above their share.
        """
        latest = _latest_return(remaining)
        interval = _SECOND / max(RESERVED_FRACTION * spare.per_s, 1e-3)
        turn = now + max(interval, MIN_WAIT)
        if priority in self._last_turn:
            turn = max(turn, self._last_turn[priority] + interval)
        time_to_send = remaining - (turn - now) - DURATION_FACTOR * duration
        if not may_reserve or _sure_sends(spare, time_to_send) < MIN_EXPECTED_SENDS:
            turn = max(turn, now + latest + MIN_WAIT)
        if turn - now <= latest:
            self._last_turn[priority] = turn
            self._expect(caller, turn, now)
        return turn - now

    def _expect(self, caller: CallerIdentity, due: timedelta, now: timedelta) -> None:
        self.expected.expire(now)
        self.expected.add(caller, due)


def _sure_sends(spare: SpareRate, duration: timedelta) -> float:
    """Return the sends in `duration` if urgent requests are as many as in one of 20 cases."""
    seconds = max(duration / _SECOND, 0.0)
    return spare.per_s * seconds - ONE_IN_20 * math.sqrt(spare.urgent_per_s * seconds)


def _latest_return(remaining: timedelta) -> timedelta:
    return max(remaining, timedelta(0)) * MAX_WAIT_FRACTION
