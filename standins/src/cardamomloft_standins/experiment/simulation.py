"""Plays a scenario: callers, the product's own forwarding and placement, modelled endpoints."""

import random
import typing as t
from datetime import UTC, datetime, timedelta

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import Answer, RequestHead
from cardamomloft.core.budgets import ColdLimit, RetryBudget
from cardamomloft.core.registrations import Registration
from cardamomloft.core.routes import RouteRule, ServicePolicy, ServiceShare
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.forwarding import Forwarder
from cardamomloft.gateway.noticehandler import NoticeHandler
from cardamomloft.gateway.records import RequestLog
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.client import SendFailure, UpstreamAnswer, UpstreamRequest
from expression import Error, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from cardamomloft_standins import gateway as kit
from cardamomloft_standins.experiment.callers import Callers, Outcome
from cardamomloft_standins.experiment.endpoints import Ended, Job, ModelEndpoint
from cardamomloft_standins.experiment.loop import Loop
from cardamomloft_standins.experiment.policies import MakeSelector
from cardamomloft_standins.experiment.scenarios import CROSS_ZONE, IN_ZONE, Ailment, Scenario
from cardamomloft_standins.experiment.sharing import connect

SERVICE = "modelled"
_COLD = ColdLimit(1.5, 8.0)
_POLICY = ServicePolicy(SERVICE, 1000, timedelta(seconds=3), 7.0)
_BUDGET = (0.2, 60.0, timedelta(seconds=10))
_DRAIN = timedelta(seconds=5)

LAPSE = timedelta(milliseconds=4500)
"""How long the registration of an endpoint that is lost stays: three heartbeats of 1.5 s."""


class SimulatedClock:
    """The decisions' clock over the loop's."""

    def __init__(self, reactor: Clock) -> None:
        self._reactor = reactor

    def monotonic(self) -> timedelta:
        """Return the simulated time."""
        return timedelta(seconds=self._reactor.seconds())

    def utcnow(self) -> datetime:
        """Return the simulated time as a time of day."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self.monotonic()


class _NoLog(RequestLog):
    """Writes nothing."""

    def _has_room(self, now: timedelta) -> bool:
        return False


class _Flow:
    """The connection of a body that is empty."""

    def pause_body(self) -> None:
        """Do nothing."""

    def resume_body(self) -> None:
        """Do nothing."""


class Simulation:
    """One play of a scenario under one policy.

    Parameters
    ----------
    scenario
        What is played.
    policy
        Makes the selector of each gateway.
    seed
        Of all that is drawn; the same load comes for every policy.
    """

    def __init__(self, scenario: Scenario, policy: MakeSelector, seed: int) -> None:
        self.scenario = scenario
        self.reactor = Loop()
        self.clock = SimulatedClock(self.reactor)
        self._seed = seed
        self.rng = random.Random(seed)
        self.outcomes: list[Outcome] = []
        self.rule = _rule_of(scenario)
        self.endpoints = dict(self._make_endpoints())
        self.entries = {zone: self._make_entries(zone, policy) for zone in scenario.zones}
        connect(self.reactor, [entry.selector for row in self.entries.values() for entry in row])
        self._plan_crashes()
        self._plan_drains()
        self._plan_ailments()

    def run(self) -> list[Outcome]:
        """Play the load and return what the callers got, in the order in which they asked."""
        arrivals = random.Random(self._seed)
        for zone, load in self.scenario.load.items():
            Callers(self, zone, load, random.Random(arrivals.random())).start()
        self.reactor.run_until((self.scenario.length + _DRAIN).total_seconds())
        return sorted(self.outcomes)

    def _make_endpoints(self) -> t.Iterator[tuple[str, ModelEndpoint]]:
        for zone, count in self.scenario.endpoints.items():
            for number in range(count):
                name = f"{zone}-{number}"
                slots = self.scenario.traits.slots
                row = Registration(name, SERVICE, name, zone, slots, False, timedelta(0))
                rng = random.Random(self.rng.random())
                yield name, ModelEndpoint(self.reactor, row, self.scenario.traits, rng)

    def _make_entries(self, zone: str, policy: MakeSelector) -> list["_Entry"]:
        count = self.scenario.entries_per_zone
        return [_Entry(self, f"e-{zone}-{number}", zone, policy) for number in range(count)]

    def _plan_crashes(self) -> None:
        for crash in self.scenario.crashes:
            for endpoint in self._endpoints_in(crash.zone):
                self.reactor.callLater(crash.begin.total_seconds(), endpoint.lose)
                self.reactor.callLater(crash.end.total_seconds(), self._bring_back, endpoint)
                if crash.end - crash.begin > LAPSE:
                    lapse = (crash.begin + LAPSE).total_seconds()
                    self.reactor.callLater(lapse, self._withdraw, endpoint)

    def _endpoints_in(self, zone: str) -> list[ModelEndpoint]:
        return [up for up in self.endpoints.values() if up.registration.zone == zone]

    def _books(self) -> t.Iterator[UpstreamTable]:
        for entries in self.entries.values():
            for entry in entries:
                yield entry.book

    def _withdraw(self, endpoint: ModelEndpoint) -> None:
        for book in self._books():
            book.withdraw(endpoint.registration.id, self.clock.monotonic())

    def _bring_back(self, endpoint: ModelEndpoint) -> None:
        """Let an endpoint start again: cold, and with nothing at hand."""
        endpoint.lost = False
        now = self.clock.monotonic()
        started_ms = now // timedelta(milliseconds=1)
        row = endpoint.registration._replace(cold_left=_POLICY.cold_time, started_ms=started_ms)
        for book in self._books():
            book.register(row, now)

    def _plan_ailments(self) -> None:
        rng = random.Random(self._seed)
        for ailment in self.scenario.ailments:
            count = round(ailment.part * len(self.endpoints))
            for endpoint in rng.sample(list(self.endpoints.values()), count):
                self.reactor.callLater(ailment.begin.total_seconds(), _ail, endpoint, ailment)
                self.reactor.callLater(ailment.end.total_seconds(), _recover, endpoint, ailment)

    def _plan_drains(self) -> None:
        for drain in self.scenario.drains:
            self.reactor.callLater(drain.begin.total_seconds(), self._drain, drain.zone)
            self.reactor.callLater(drain.end.total_seconds(), self._restore, drain.zone)

    def _drain(self, zone: str) -> None:
        for book in self._books():
            book.drain_zone(zone)

    def _restore(self, zone: str) -> None:
        for book in self._books():
            book.restore_zone(zone, self.clock.monotonic(), {SERVICE: _POLICY.cold_time})

    def delay(self, zone: str, other: str) -> float:
        """Return the time one way between two zones, in seconds."""
        if zone == other:
            return IN_ZONE.total_seconds()
        same = self.scenario.zones[zone] == self.scenario.zones[other]
        return (CROSS_ZONE if same else self.scenario.cross_region).total_seconds()


class _Entry:
    """A gateway's forwarding and placement, without its network."""

    def __init__(self, world: Simulation, name: str, zone: str, policy: MakeSelector) -> None:
        self._world = world
        self.book = book = UpstreamTable(world.scenario.zones)
        for endpoint in world.endpoints.values():
            book.register(endpoint.registration, timedelta(0))
        self.selector = selector = policy(book, name, zone, _COLD)
        selector.policies = {SERVICE: _POLICY}
        selector.entries = len(world.scenario.zones) * world.scenario.entries_per_zone
        budget = RetryBudget(*_BUDGET)
        self.client = _Client(world, zone)
        self._forwarder = Forwarder(
            world.reactor,
            world.clock,
            random.Random(world.rng.random()),
            selector,
            book,
            t.cast(t.Any, self.client),
            lambda service: budget,
            Metrics(),
            _NoLog(lambda: 1),
            NoticeHandler(world.clock, book, Metrics()),
        )

    def ask(self, request_id: str, key: str, patience: timedelta) -> "Deferred[Answer]":
        """Carry one request."""
        now = self._world.clock.monotonic()
        rule = self._world.rule
        until = now + min(rule.timeout, patience)
        call = Call(request_id, rule, SERVICE, key, now, until, "/", now + patience)
        head = RequestHead("GET", "/", "", (), "10.0.0.1", 0, False)
        gone: Deferred[None] = Deferred()
        carried = self._forwarder.forward(call, head, RequestBody(0, _Flow()), gone)
        return Deferred.fromCoroutine(carried)


class _Client:
    """Stands in for the upstream client of one gateway: links and modelled endpoints."""

    dialect = kit.DIALECT

    def __init__(self, world: Simulation, zone: str) -> None:
        self._world = world
        self._zone = zone
        self.warm: dict[str, bool] = {}

    def send(self, req: UpstreamRequest) -> "Deferred[Result[UpstreamAnswer, SendFailure]]":
        """Send a request to a modelled endpoint."""
        reactor = self._world.reactor
        delay = self._world.delay(self._zone, req.endpoint.zone)
        result: Deferred[Result[UpstreamAnswer, SendFailure]] = Deferred(
            lambda _: settle(Error(SendFailure(False, "cancelled")))
        )

        def settle(outcome: Result[UpstreamAnswer, SendFailure]) -> None:
            if not result.called:
                job.abandoned = outcome.is_error()
                result.callback(outcome)

        def ended(how: Ended) -> None:
            self.warm[req.request_id] = how.warm
            status = (500 if how.faulty else 200) if how.ran else 503
            answer = kit.answer(status, b"", not_run=not how.ran, x_load=how.load)
            reactor.callLater(delay, settle, answer)

        until = reactor.seconds() + req.timeout.total_seconds()
        job = Job(_key_of(req), until, ended)
        endpoint = self._world.endpoints[req.endpoint.name]
        reactor.callLater(delay, endpoint.offer, job)
        silence = self._world.scenario.silence
        if silence is not None:
            silent = Error(SendFailure(False, "silent"))
            reactor.callLater(silence.total_seconds(), lambda: endpoint.lost and settle(silent))
        late = Error(SendFailure(False, "deadline passed"))
        reactor.callLater(req.timeout.total_seconds(), settle, late)
        return result


def _ail(endpoint: ModelEndpoint, ailment: Ailment) -> None:
    endpoint.slowness *= ailment.slowness
    endpoint.errors += ailment.errors


def _recover(endpoint: ModelEndpoint, ailment: Ailment) -> None:
    endpoint.slowness /= ailment.slowness
    endpoint.errors -= ailment.errors


def _key_of(req: UpstreamRequest) -> str:
    return req.request_id.partition(".")[0]


def _rule_of(scenario: Scenario) -> RouteRule:
    return RouteRule(
        name="modelled",
        host="a.example",
        prefix="/",
        services=(ServiceShare(SERVICE, 1),),
        idempotent=scenario.idempotent,
        timeout=scenario.timeout,
        target=scenario.target,
        attempts=2,
        priority=1,
        keyed=True,
        homes=frozenset(),
    )
