"""Bounded rates of change: how fast traffic may move, and which place gets the next request.

A :class:`Shift` holds the fractions of one stream of traffic and lets them follow a target by at
most a cap per second. Every entry does so on its own monotonic clock; since each entry's traffic
moves within the cap, the sum over all entries does too.
"""

import typing as t
from collections import deque
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from datetime import timedelta

from cardamomloft.core.model import Priority

MAX_CREDIT = timedelta(seconds=1)
"""Elapsed time that one step makes up for at most; a pause does not pile up movement."""

Fractions = dict[str, float]

_DUST = 1e-9
_MAX_RESERVE = 4
_DEMAND = timedelta(seconds=1)


class Pace:
    """Measures the time between two steps, bounded by :data:`MAX_CREDIT`."""

    def __init__(self, now: timedelta) -> None:
        self._last = now

    def take(self, now: timedelta) -> float:
        """Return the seconds since the last call, at most the bound."""
        elapsed = min(max(now - self._last, timedelta(0)), MAX_CREDIT)
        self._last = max(now, self._last)
        return elapsed.total_seconds()


class Ramp:
    """A number that follows a goal at a bounded rate."""

    def __init__(self, now: timedelta, value: float = 0.0) -> None:
        self.value = value
        self._pace = Pace(now)

    def advance(self, now: timedelta, goal: float, rate: float) -> float:
        """Step towards `goal` by at most `rate` per second; return the new value."""
        step = rate * self._pace.take(now)
        self.value += min(max(goal - self.value, -step), step)
        return self.value


class WeightedRoundRobin:
    """Deals requests to places so that counts follow the fractions, with no random draw.

    Tijdeman's rule for the chairman assignment problem: of the places that are not ahead, take
    the one that would fall a whole request behind first. Each count stays within one request of
    the sum of its fractions since the start.
    """

    def __init__(self) -> None:
        self._balances: dict[str, float] = {}

    def pick(self, fractions: Mapping[str, float]) -> str:
        """Return the place of the next request; `fractions` sum to 1."""
        places = [place for place, fraction in fractions.items() if fraction > 0]
        if len(places) == 1:
            return places[0]
        balances = self._balances
        for place in places:
            balances[place] = balances.get(place, 0.0) + fractions[place]
        margin = 1 / (2 * len(places) - 2)
        due = [place for place in places if balances[place] >= margin - _DUST]
        if due:
            chosen = min(due, key=lambda place: (1 - margin - balances[place]) / fractions[place])
        else:
            chosen = max(places, key=balances.__getitem__)
        balances[chosen] -= 1
        return chosen


class Shift:
    """The applied fractions of one stream of traffic.

    Parameters
    ----------
    fractions
        What holds at the start, summing to 1.
    now
        Monotonic instant.
    """

    def __init__(self, fractions: Mapping[str, float], now: timedelta) -> None:
        self.fractions: Fractions = dict(fractions)
        self.overflow = 0.0
        self._pace = Pace(now)
        self._selector = WeightedRoundRobin()
        self._overflow_credit = 0.0
        self._overflow_wanted: timedelta | None = None
        self._reserves: dict[Priority, deque[str]] = {priority: deque() for priority in Priority}
        self._shortages = dict.fromkeys(Priority, 0)

    def advance(
        self, now: timedelta, target: Mapping[str, float], closed: AbstractSet[str], rate: float
    ) -> None:
        """Move towards `target` by at most `rate` (a fraction of the traffic) per second.

        The traffic of `closed` places moves first, since it is refused until it has. What is left
        of the step goes to the overflow.
        """
        self._step(target, closed, rate * self._pace.take(now), now)

    def jump(self, target: Mapping[str, float], amount: float) -> None:
        """Move by `amount` at once; only to resume a shift that other entries have under way."""
        self._move(target, frozenset(), amount)

    def distance(self, target: Mapping[str, float]) -> float:
        """Return the fraction of the traffic that has yet to move."""
        return sum(self._surplus(target).values())

    def on(self, places: AbstractSet[str]) -> float:
        """Return the fraction of the traffic that is still assigned to `places`."""
        return sum(fraction for place, fraction in self.fractions.items() if place in places)

    def pick(self, priority: Priority, closed: AbstractSet[str]) -> str | None:
        """Return the place of the next request, or None if it is the turn of a closed one.

        While some places are closed, requests of lower priority give up turns at open places to
        those of higher priority that were refused. Turns are given up before they are used, so
        that no open place gets more than its fraction.
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
        """Note that a request found its place full."""
        self._overflow_wanted = now

    def forget_overflow(self) -> None:
        """Begin the overflow anew."""
        self.overflow = 0.0
        self._overflow_credit = 0.0

    def count_overflow(self) -> None:
        """Count one request of the stream towards what may overflow."""
        self._overflow_credit = min(1.0, self._overflow_credit + self.overflow)

    @property
    def may_overflow(self) -> bool:
        """Whether the next request may leave its place for another one."""
        return self._overflow_credit >= 1 - _DUST

    def take_overflow(self) -> None:
        """Use the credit for one request that left its place."""
        self._overflow_credit = 0.0

    def _step(
        self, target: Mapping[str, float], closed: AbstractSet[str], amount: float, now: timedelta
    ) -> None:
        amount -= self._move(target, closed, amount)
        wanted = self._overflow_wanted
        demand = wanted is not None and now - wanted <= _DEMAND
        self.overflow += min(amount, 1 - self.overflow) if demand else -min(amount, self.overflow)
        if not self.on(closed):
            self._clear_reserves()

    def _move(self, target: Mapping[str, float], closed: AbstractSet[str], amount: float) -> float:
        """Move up to `amount` and return how much."""
        surplus = self._surplus(target)
        total = sum(surplus.values())
        if total <= _DUST:
            self.fractions = dict(target)
            return 0.0
        moved = min(amount, total)
        for place, taken in _takings(surplus, closed, moved).items():
            self.fractions[place] -= taken
        self._hand_out(target, moved)
        return moved

    def _hand_out(self, target: Mapping[str, float], moved: float) -> None:
        lacks = {
            place: fraction - self.fractions.get(place, 0.0)
            for place, fraction in target.items()
            if fraction > self.fractions.get(place, 0.0)
        }
        total = sum(lacks.values())
        for place, lack in lacks.items():
            self.fractions[place] = self.fractions.get(place, 0.0) + lack * moved / total
        gone = [place for place, fraction in self.fractions.items() if fraction <= _DUST]
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


def _takings(surplus: Fractions, closed: AbstractSet[str], amount: float) -> Fractions:
    """Split `amount` over the places that give up traffic: closed ones first, then the others."""
    takings: Fractions = {}
    for first in (True, False):
        group = {place: part for place, part in surplus.items() if (place in closed) is first}
        total = sum(group.values())
        taken = min(amount, total)
        if total > 0:
            takings |= {place: part * taken / total for place, part in group.items()}
        amount -= taken
    return takings


class Movement(t.NamedTuple):
    """How far a shift has come; `left` is the fraction that has yet to move."""

    service: str
    rule: str
    fractions: Fractions
    left: float
    ends_in: timedelta
