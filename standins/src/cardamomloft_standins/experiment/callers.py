"""Simulated callers with random arrivals, which retry a refused request once."""

import math
import random
import typing as t
from datetime import timedelta

from cardamomloft.callers.exchange import Answer

from cardamomloft_standins.experiment.scenarios import WAVE_PERIOD, Load

if t.TYPE_CHECKING:
    from cardamomloft_standins.experiment.simulation import Simulation

LATE_CREDIT = 0.2
"""Credit of an answer after the target but within the timeout."""


class Outcome(t.NamedTuple):
    """The result of a caller's request.

    Attributes
    ----------
    at
        Time of the first attempt, in seconds.
    credit
        1 for an answer within the target, `LATE_CREDIT` for a later one, else 0.
    state
        ``served``, ``late``, ``refused`` or ``failed``.
    took
        Time until the last answer, in seconds.
    warm
        Whether the key was cached at the endpoint that ran the request.
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
        self._key_scope = world.scenario.zones[zone] if world.scenario.regional else zone
        self._load = load
        self._rng = rng
        # Separate from the arrivals, so that all policies get the same arrivals.
        self._choice_rng = random.Random(rng.random())
        self._weights = [1 / (index + 1) ** load.skew for index in range(load.key_count)]

    def start(self) -> None:
        """Schedule arrivals according to the load until the scenario ends."""
        self._world.reactor.callLater(self._next_delay(), self._arrive, 0)

    def _next_delay(self) -> float:
        now = self._world.clock.monotonic()
        load, wave = self._load, (now / WAVE_PERIOD + self._load.phase) % 1
        factor = 1.0 + load.swing * math.sin(2 * math.pi * wave)
        for burst in self._world.scenario.bursts:
            factor *= burst.factor if burst.begin <= now < burst.end else 1.0
        return self._rng.expovariate(self._load.per_s * factor)

    def _arrive(self, number: int) -> None:
        if self._world.clock.monotonic() >= self._world.scenario.length:
            return
        self._world.reactor.callLater(self._next_delay(), self._arrive, number + 1)
        (index,) = self._rng.choices(range(self._load.key_count), self._weights)
        CallerRequest(
            self._world,
            self._choice_rng,
            self._zone,
            f"{self._zone}.{number}",
            f"{self._key_scope}/{index}",
        )


class CallerRequest:
    """One request of a caller, sent again once if it is refused."""

    def __init__(
        self, world: "Simulation", rng: random.Random, zone: str, request_id: str, key: str
    ) -> None:
        self._world = world
        self._rng = rng
        self._zone = zone
        self._id = request_id
        self._key = key
        self._started_at = world.reactor.seconds()
        self._attempts = 0
        self._send()

    def _send(self) -> None:
        self._attempts += 1
        entry = self._rng.choice(self._world.entries[self._zone])
        request_id = f"{self._key}.{self._id}.{self._attempts}"
        wait_limit = 2 * self._world.rule.timeout - self._elapsed()
        deferred = entry.ask(request_id, self._key, wait_limit)
        deferred.addCallback(self._handle_answer, entry.client.warm, request_id)

    def _elapsed(self) -> timedelta:
        return timedelta(seconds=self._world.reactor.seconds() - self._started_at)

    def _handle_answer(self, answer: Answer, warm: dict[str, bool], request_id: str) -> None:
        was_warm = warm.pop(request_id, False)
        if answer.status == 503 and self._attempts == 1:
            headers = dict(answer.headers)
            self._world.reactor.callLater(float(headers.get("Retry-After", "0")), self._send)
            return
        target = self._world.rule.target
        state_by_status = {200: "served" if self._elapsed() <= target else "late", 503: "refused"}
        state = state_by_status.get(answer.status, "failed")
        credit = {"served": 1.0, "late": LATE_CREDIT}.get(state, 0.0)
        took = self._elapsed().total_seconds()
        self._world.outcomes.append(Outcome(self._started_at, credit, state, took, was_warm))
