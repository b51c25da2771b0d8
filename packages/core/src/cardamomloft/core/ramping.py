"""Rate-limited traffic shifting, and distribution of requests by weight.

A :class:`Shift` holds the fractions of one traffic stream that go to each place, and moves them
towards a target at a capped rate. Each entry does so on its own monotonic clock; since the traffic
of every entry stays within the cap, so does the sum over all entries.
"""

import typing as t
from collections import deque
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from datetime import timedelta

from cardamomloft.core.model import Priority

MAX_CREDIT = timedelta(seconds=1)
"""Upper bound of the elapsed time per step, so that a pause does not cause a large step."""

Fractions = dict[str, float]
"""Fractions of a traffic stream by place."""

_EPSILON = 1e-9
_MAX_RESERVE = 4
_DEMAND_WINDOW = timedelta(seconds=1)


class StepTimer:
    """Measures the time between two steps, bounded by :data:`MAX_CREDIT`."""

    def __init__(self, now: timedelta) -> None:
        self._last = now

    def elapsed_s(self, now: timedelta) -> float:
        """Return the seconds since the last call, at most :data:`MAX_CREDIT`."""
        elapsed = min(max(now - self._last, timedelta(0)), MAX_CREDIT)
        self._last = max(now, self._last)
        return elapsed.total_seconds()


class Ramp:
    """A value that moves towards a goal at a bounded rate."""

    def __init__(self, now: timedelta, value: float = 0.0) -> None:
        self.value = value
        self._timer = StepTimer(now)

    def advance(self, now: timedelta, goal: float, rate: float) -> float:
        """Move towards `goal` by at most `rate` per second; return the new value."""
        step = rate * self._timer.elapsed_s(now)
        self.value += min(max(goal - self.value, -step), step)
        return self.value


class WeightedRoundRobin:
    """Weighted round robin that distributes requests over places without randomness.

    It applies Tijdeman's algorithm for the chairman assignment problem: of the places that are not
    ahead of their fraction, it chooses the one that would be a whole request behind first. The
    count of each place stays within one request of the sum of its fractions.
    """

    def __init__(self) -> None:
        self._balances: dict[str, float] = {}

    def pick(self, fractions: Mapping[str, float]) -> str:
        """Return the place for the next request; `fractions` sum to 1."""
        places = [place for place, fraction in fractions.items() if fraction > 0]
        if len(places) == 1:
            return places[0]
        balances = self._balances
        for place in places:
            balances[place] = balances.get(place, 0.0) + fractions[place]
        margin = 1 / (2 * len(places) - 2)
        due = [place for place in places if balances[place] >= margin - _EPSILON]
        if due:
            chosen = min(due, key=lambda place: (1 - margin - balances[place]) / fractions[place])
        else:
            chosen = max(places, key=balances.__getitem__)
        balances[chosen] -= 1
        return chosen


class Shift:
    """The fractions of one traffic stream that currently go to each place.

    Parameters
    ----------
    fractions
        Initial fractions, summing to 1.
    now
        Monotonic instant.
    """

    def __init__(self, fractions: Mapping[str, float], now: timedelta) -> None:
        self.fractions: Fractions = dict(fractions)
        self.overflow = 0.0
        self._timer = StepTimer(now)
        self._selector = WeightedRoundRobin()
        self._overflow_credit = 0.0
        self._overflow_wanted: timedelta | None = None
        self._reserves: dict[Priority, deque[str]] = {priority: deque() for priority in Priority}
        self._shortages = dict.fromkeys(Priority, 0)

    def advance(
        self, now: timedelta, target: Mapping[str, float], closed: AbstractSet[str], rate: float
    ) -> None:
        """Move towards `target` by at most `rate` (a fraction of the traffic) per second.

        The traffic of `closed` places moves first, since it is refused until then. The remainder of
        the step changes the fraction that may overflow.
        """
        self._step(target, closed, rate * self._timer.elapsed_s(now), now)

    def jump(self, target: Mapping[str, float], amount: float) -> None:
        """Move by `amount` at once, to resume a shift that other entries have in progress."""
        self._move(target, frozenset(), amount)

    def distance(self, target: Mapping[str, float]) -> float:
        """Return the fraction of the traffic that still has to move to reach `target`."""
        return sum(self._surplus(target).values())

    def on(self, places: AbstractSet[str]) -> float:
        """Return the fraction of the traffic that is assigned to `places`."""
        return sum(fraction for place, fraction in self.fractions.items() if place in places)

    def pick(self, priority: Priority, closed: AbstractSet[str]) -> str | None:
        """Return the place for the next request, or None if it falls to a closed place.

        While places are closed, requests of higher priority that fall to them are refused. To make
        up for these, turns of lower priority at open places are reserved for later requests of
        higher priority. A turn is reserved before it is used, so that no open place gets more than
        its fraction.
        """
        place = self._selector.pick(self.fractions)
        if not closed:
            return place
        if place in closed:
            return self._use_reserve(priority, closed)
        for higher in Priority:
            if higher < priority and len(self._reserves[higher]) < self._shortages[higher]:
                self._reserves[higher].append(place)
                return None
        return place

    def want_overflow(self, now: timedelta) -> None:
        """Record that a request found its place full."""
        self._overflow_wanted = now

    def forget_overflow(self) -> None:
        """Reset the overflow fraction and its credit."""
        self.overflow = 0.0
        self._overflow_credit = 0.0

    def count_overflow(self) -> None:
        """Add the overflow credit of one request of the stream."""
        self._overflow_credit = min(1.0, self._overflow_credit + self.overflow)

    @property
    def may_overflow(self) -> bool:
        """Whether there is credit for a request to overflow to another place."""
        return self._overflow_credit >= 1 - _EPSILON

    def take_overflow(self) -> None:
        """Use up the credit for a request that has overflowed."""
        self._overflow_credit = 0.0

    def _step(
        self, target: Mapping[str, float], closed: AbstractSet[str], amount: float, now: timedelta
    ) -> None:
        amount -= self._move(target, closed, amount)
        wanted = self._overflow_wanted
        demand = wanted is not None and now - wanted <= _DEMAND_WINDOW
        self.overflow += min(amount, 1 - self.overflow) if demand else -min(amount, self.overflow)
        if not self.on(closed):
            self._clear_reserves()

    def _move(self, target: Mapping[str, float], closed: AbstractSet[str], amount: float) -> float:
        """Move up to `amount` of the traffic; return how much was moved."""
        surplus = self._surplus(target)
        total = sum(surplus.values())
        if total <= _EPSILON:
            self.fractions = dict(target)
            return 0.0
        moved = min(amount, total)
        for place, taken in _withdrawals(surplus, closed, moved).items():
            self.fractions[place] -= taken
        self._distribute(target, moved)
        return moved

    def _distribute(self, target: Mapping[str, float], moved: float) -> None:
        deficits = {
            place: fraction - self.fractions.get(place, 0.0)
            for place, fraction in target.items()
            if fraction > self.fractions.get(place, 0.0)
        }
        total = sum(deficits.values())
        for place, deficit in deficits.items():
            self.fractions[place] = self.fractions.get(place, 0.0) + deficit * moved / total
        gone = [place for place, fraction in self.fractions.items() if fraction <= _EPSILON]
        for place in gone:
            del self.fractions[place]

    def _surplus(self, target: Mapping[str, float]) -> Fractions:
        return {
            place: fraction - target.get(place, 0.0)
            for place, fraction in self.fractions.items()
            if fraction > target.get(place, 0.0)
        }

    def _use_reserve(self, priority: Priority, closed: AbstractSet[str]) -> str | None:
        reserve = self._reserves[priority]
        while reserve:
            place = reserve.popleft()
            if place not in closed:
                return place
        self._shortages[priority] = min(_MAX_RESERVE, self._shortages[priority] + 1)
        return None

    def _clear_reserves(self) -> None:
        for priority in Priority:
            self._reserves[priority].clear()
            self._shortages[priority] = 0


def _withdrawals(surplus: Fractions, closed: AbstractSet[str], amount: float) -> Fractions:
    """Split `amount` over the places with a surplus: closed ones first, then the others."""
    withdrawals: Fractions = {}
    for is_closed in (True, False):
        group = {
            place: excess for place, excess in surplus.items() if (place in closed) is is_closed
        }
        total = sum(group.values())
        taken = min(amount, total)
        if total > 0:
            withdrawals |= {place: excess * taken / total for place, excess in group.items()}
        amount -= taken
    return withdrawals


class Movement(t.NamedTuple):
    """Progress of a shift; `left` is the fraction of the traffic that still has to move."""

    service: str
    rule: str
    fractions: Fractions
    left: float
    ends_in: timedelta
