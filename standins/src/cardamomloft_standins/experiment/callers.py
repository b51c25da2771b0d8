"""Modelled callers: they ask at random instants, and repeat a refused request once."""

import math
import random
import typing as t
from datetime import timedelta

from cardamomloft.callers.exchange import Answer

from cardamomloft_standins.experiment.scenarios import WAVE, Load

if t.TYPE_CHECKING:
    from cardamomloft_standins.experiment.simulation import Simulation

LATE_PART = 0.2
"""Credit of an answer that comes after its target: callers still use it."""


class Outcome(t.NamedTuple):
    """What a caller got.

    Attributes
    ----------
    at
        When it first asked, in seconds.
    credit
        1 for an answer within the target, `LATE_PART` for a later one, else 0.
    state
        ``served``, ``late``, ``refused`` or ``failed``.
    took
        Time until its last answer, in seconds.
    warm
        Whether the object was at hand where it ran.
    """

    at: float
    credit: float
    state: str
    took: float
    warm: bool


class Callers:
    """The callers of one zone."""

    def __init__(self, world: "Simulation", zone: str, load: Load, rng: random.Random) -> None:
        self._world = world
        self._zone = zone
        self._area = world.scenario.zones[zone] if world.scenario.regional else zone
        self._load = load
        self._rng = rng
        # Apart from the arrivals, so that every policy gets the same ones.
        self._ways = random.Random(rng.random())
        self._weights = [1 / (place + 1) ** load.skew for place in range(load.objects)]

    def start(self) -> None:
        """Ask as often as the load says until the scenario ends."""
        self._world.reactor.callLater(self._pause(), self._arrive, 0)

    def _pause(self) -> float:
        now = self._world.clock.monotonic()
        load, wave = self._load, (now / WAVE + self._load.phase) % 1
        factor = 1.0 + load.swing * math.sin(2 * math.pi * wave)
        for burst in self._world.scenario.bursts:
            factor *= burst.factor if burst.begin <= now < burst.end else 1.0
        return self._rng.expovariate(self._load.per_s * factor)

    def _arrive(self, number: int) -> None:
        if self._world.clock.monotonic() >= self._world.scenario.length:
            return
        self._world.reactor.callLater(self._pause(), self._arrive, number + 1)
        (place,) = self._rng.choices(range(self._load.objects), self._weights)
        Ask(self._world, self._ways, self._zone, f"{self._zone}.{number}", f"{self._area}/{place}")


class Ask:
    """One caller with one request, which it repeats once if it is refused."""

    def __init__(
        self, world: "Simulation", rng: random.Random, zone: str, request_id: str, key: str
    ) -> None:
        self._world = world
        self._rng = rng
        self._zone = zone
        self._id = request_id
        self._key = key
        self._begin = world.reactor.seconds()
        self._attempts = 0
        self._try()

    def _try(self) -> None:
        self._attempts += 1
        entry = self._rng.choice(self._world.entries[self._zone])
        request_id = f"{self._key}.{self._id}.{self._attempts}"
        patience = 2 * self._world.rule.timeout - self._elapsed()
        answered = entry.ask(request_id, self._key, patience)
        answered.addCallback(self._answered, entry.client.warm, request_id)

    def _elapsed(self) -> timedelta:
        return timedelta(seconds=self._world.reactor.seconds() - self._begin)

    def _answered(self, answer: Answer, warm: dict[str, bool], request_id: str) -> None:
        was_warm = warm.pop(request_id, False)
        if answer.status == 503 and self._attempts == 1:
            headers = dict(answer.headers)
            self._world.reactor.callLater(float(headers.get("Retry-After", "0")), self._try)
            return
        target = self._world.rule.target
        states = {200: "served" if self._elapsed() <= target else "late", 503: "refused"}
        state = states.get(answer.status, "failed")
        credit = {"served": 1.0, "late": LATE_PART}.get(state, 0.0)
        took = self._elapsed().total_seconds()
        self._world.outcomes.append(Outcome(self._begin, credit, state, took, was_warm))
