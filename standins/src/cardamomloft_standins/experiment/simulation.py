"""Simulates a scenario: product forwarding and placement, simulated callers and endpoints."""

import random
import typing as t
from datetime import UTC, datetime, timedelta

from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import Answer, RequestHead
from cardamomloft.core.budgets import RetryBudget
from cardamomloft.core.coldness.limits import ColdLimit
from cardamomloft.core.registrations import Registration
from cardamomloft.core.routes import RouteRule, ServicePolicy, ServiceShare
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.forwarding import Forwarder
from cardamomloft.gateway.noticehandler import NoticeHandler
from cardamomloft.gateway.records import RequestLog
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.dialect import parse_header_load
from cardamomloft.upstreams.sends import SendFailure, UpstreamAnswer, UpstreamRequest
from expression import Error, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from cardamomloft_standins import gateway as kit
from cardamomloft_standins.experiment.callers import Callers, Outcome
from cardamomloft_standins.experiment.endpoints import Job, JobResult, ModelEndpoint
from cardamomloft_standins.experiment.loop import Loop
from cardamomloft_standins.experiment.policies import SelectorFactory
from cardamomloft_standins.experiment.scenarios import (
    CROSS_ZONE_LATENCY,
    IN_ZONE_LATENCY,
    Degradation,
    Noise,
    Scenario,
)
from cardamomloft_standins.experiment.sharing import LoadExchange, connect

SERVICE = "modelled"
_COLD_LIMIT = ColdLimit(1.5, 8.0)
_POLICY = ServicePolicy(SERVICE, 1000, timedelta(seconds=3), 7.0)
_RETRY_BUDGET = (0.2, 60.0, timedelta(seconds=10))
_DRAIN_TIME = timedelta(seconds=5)

REGISTRATION_TTL = timedelta(milliseconds=4500)
"""Time until the registration of a crashed endpoint expires: three heartbeats of 1.5 s."""


class SimulatedClock:
    """The product's clock interface on top of a simulated reactor."""

    def __init__(self, reactor: Clock) -> None:
        self._reactor = reactor

    def monotonic(self) -> timedelta:
        """Return the time since the start of the simulation."""
        return timedelta(seconds=self._reactor.seconds())

    def utcnow(self) -> datetime:
        """Return the simulated time of day."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self.monotonic()


class _NullLog(RequestLog):
    """A request log that writes nothing."""

    def _has_room(self, now: timedelta) -> bool:
        return False


class _EmptyBodyFlow:
    """Flow control of an empty request body."""

    def pause_body(self) -> None:
        """Do nothing."""

    def resume_body(self) -> None:
        """Do nothing."""


class Simulation:
    """One run of a scenario under one policy.

    Parameters
    ----------
    scenario
        The scenario.
    policy
        Creates the selector of each gateway.
    seed
        Seed of all random draws; the arrivals are the same for every policy.
    queue
        Whether gateways hold requests for which there is no capacity.
    """

    def __init__(
        self, scenario: Scenario, policy: SelectorFactory, seed: int, *, queue: bool = False
    ) -> None:
        self.scenario = scenario
        self.reactor = Loop()
        self.clock = SimulatedClock(self.reactor)
        self._seed = seed
        self.queue = queue
        self.rng = random.Random(seed)
        self.outcomes: list[Outcome] = []
        self.rule = _rule_of(scenario)
        self.endpoints = dict(self._make_endpoints())
        self.entries = {zone: self._make_entries(zone, policy) for zone in scenario.zones}
        selectors = [entry.selector for row in self.entries.values() for entry in row]
        connect(self.reactor, selectors)
        self.exchange = LoadExchange(self.reactor, random.Random(seed), selectors)
        self._start_noise()
        self._schedule_crashes()
        self._schedule_drains()
        self._schedule_degradations()

    def run(self) -> list[Outcome]:
        """Run the scenario and return the callers' results, ordered by the time of the request."""
        arrivals = random.Random(self._seed)
        for zone, load in self.scenario.load.items():
            Callers(self, zone, load, random.Random(arrivals.random())).start()
        self.reactor.run_until((self.scenario.length + _DRAIN_TIME).total_seconds())
        return sorted(self.outcomes)

    def _make_endpoints(self) -> t.Iterator[tuple[str, ModelEndpoint]]:
        for zone, count in self.scenario.endpoints.items():
            for number in range(count):
                name = f"{zone}-{number}"
                slots = self.scenario.traits.slots
                row = Registration(name, SERVICE, name, zone, slots, False, timedelta(0))
                rng = random.Random(self.rng.random())
                yield name, ModelEndpoint(self.reactor, row, self.scenario.traits, rng)

    def _make_entries(self, zone: str, policy: SelectorFactory) -> list["_Entry"]:
        count = self.scenario.entries.get(zone, self.scenario.entries_per_zone)
        return [_Entry(self, f"e-{zone}-{number}", zone, policy) for number in range(count)]

    def _schedule_crashes(self) -> None:
        for crash in self.scenario.crashes:
            for endpoint in self._endpoints_in(crash.zone):
                self.reactor.callLater(crash.begin.total_seconds(), endpoint.crash)
                self.reactor.callLater(crash.end.total_seconds(), self._restart, endpoint)
                if crash.end - crash.begin > REGISTRATION_TTL:
                    expires_at = (crash.begin + REGISTRATION_TTL).total_seconds()
                    self.reactor.callLater(expires_at, self._withdraw, endpoint)

    def _endpoints_in(self, zone: str) -> list[ModelEndpoint]:
        return [up for up in self.endpoints.values() if up.registration.zone == zone]

    def _upstream_tables(self) -> t.Iterator[UpstreamTable]:
        for entries in self.entries.values():
            for entry in entries:
                yield entry.table

    def _withdraw(self, endpoint: ModelEndpoint) -> None:
        for table in self._upstream_tables():
            table.withdraw(endpoint.registration.id, self.clock.monotonic())

    def _restart(self, endpoint: ModelEndpoint) -> None:
        """Restart a crashed endpoint with a cold registration."""
        endpoint.crashed = False
        now = self.clock.monotonic()
        started_ms = now // timedelta(milliseconds=1)
        row = endpoint.registration._replace(cold_left=_POLICY.cold_time, started_ms=started_ms)
        for table in self._upstream_tables():
            table.register(row, now)

    def _schedule_degradations(self) -> None:
        rng = random.Random(self._seed)
        for degradation in self.scenario.degradations:
            count = round(degradation.fraction * len(self.endpoints))
            for endpoint in rng.sample(list(self.endpoints.values()), count):
                self.reactor.callLater(
                    degradation.begin.total_seconds(), _degrade, endpoint, degradation
                )
                self.reactor.callLater(
                    degradation.end.total_seconds(), _recover, endpoint, degradation
                )

    def _start_noise(self) -> None:
        noise, rng = self.scenario.noise, random.Random(self._seed)
        for endpoint in self.endpoints.values() if noise is not None else ():
            endpoint.states_work = True
            self.reactor.callLater(_quiet_time(noise, rng), self._begin_noise, endpoint, rng)

    def _begin_noise(self, endpoint: ModelEndpoint, rng: random.Random) -> None:
        noise = t.cast(Noise, self.scenario.noise)
        endpoint.noise = noise.slowness
        self.reactor.callLater(noise.duration.total_seconds(), self._end_noise, endpoint, rng)

    def _end_noise(self, endpoint: ModelEndpoint, rng: random.Random) -> None:
        endpoint.noise = 1.0
        delay = _quiet_time(t.cast(Noise, self.scenario.noise), rng)
        self.reactor.callLater(delay, self._begin_noise, endpoint, rng)

    def _schedule_drains(self) -> None:
        for drain in self.scenario.drains:
            self.reactor.callLater(drain.begin.total_seconds(), self._drain, drain.zone)
            self.reactor.callLater(drain.end.total_seconds(), self._restore, drain.zone)

    def _drain(self, zone: str) -> None:
        for table in self._upstream_tables():
            table.drain_zone(zone)

    def _restore(self, zone: str) -> None:
        for table in self._upstream_tables():
            now = self.clock.monotonic()
            table.set_cold_times({SERVICE: _POLICY.cold_time}, now)
            table.restore_zone(zone, now, now)

    def delay(self, zone: str, other: str) -> float:
        """Return the one-way latency between two zones, in seconds."""
        if zone == other:
            return IN_ZONE_LATENCY.total_seconds()
        same = self.scenario.zones[zone] == self.scenario.zones[other]
        return (CROSS_ZONE_LATENCY if same else self.scenario.cross_region).total_seconds()


class _Entry:
    """The forwarding and placement of one gateway, with a simulated upstream client."""

    def __init__(self, world: Simulation, name: str, zone: str, policy: SelectorFactory) -> None:
        self._world = world
        self.table = table = UpstreamTable(world.scenario.zones)
        for endpoint in world.endpoints.values():
            table.register(endpoint.registration, timedelta(0))
        self.selector = selector = policy(table, name, zone, _COLD_LIMIT)
        selector.policies = {SERVICE: _POLICY}
        selector.entries = world.scenario.entry_count()
        budget = RetryBudget(*_RETRY_BUDGET)
        self.client = _Client(world, zone)
        self._forwarder = Forwarder(
            world.reactor,
            world.clock,
            random.Random(world.rng.random()),
            selector,
            table,
            t.cast(t.Any, self.client),
            lambda service: budget,
            Metrics(),
            _NullLog(lambda: 1),
            NoticeHandler(world.clock, table, selector.rate_limits, Metrics()),
        )
        self._forwarder.queue.set_enabled(world.queue)

    def ask(self, request_id: str, key: str, wait_limit: timedelta) -> "Deferred[Answer]":
        """Forward one request; its caller waits for at most `wait_limit`."""
        now = self._world.clock.monotonic()
        rule = self._world.rule
        until = now + min(rule.timeout, wait_limit)
        call = Call(request_id, rule, SERVICE, key, now, until, "/", now + wait_limit)
        head = RequestHead("GET", "/", "", (), "10.0.0.1", 0, False)
        gone: Deferred[None] = Deferred()
        answer = self._forwarder.forward(call, head, RequestBody(0, _EmptyBodyFlow()), gone)
        return Deferred.fromCoroutine(answer)


class _Client:
    """Simulated upstream client of one gateway: link latencies and simulated endpoints."""

    dialect = kit.DIALECT

    def __init__(self, world: Simulation, zone: str) -> None:
        self._world = world
        self._zone = zone
        self.warm: dict[str, bool] = {}

    def send(self, req: UpstreamRequest) -> "Deferred[Result[UpstreamAnswer, SendFailure]]":
        """Send a request to a simulated endpoint."""
        reactor = self._world.reactor
        delay = self._world.delay(self._zone, req.endpoint.zone)
        result: Deferred[Result[UpstreamAnswer, SendFailure]] = Deferred(
            lambda _: settle(Error(SendFailure(False, "cancelled")))
        )

        def settle(outcome: Result[UpstreamAnswer, SendFailure]) -> None:
            if not result.called:
                job.abandoned = outcome.is_error()
                result.callback(outcome)

        def on_end(job_result: JobResult) -> None:
            self.warm[req.request_id] = job_result.warm
            load = parse_header_load(job_result.load)
            self._world.exchange.record(req.endpoint.name, job.key, load, job_result.ran)
            status = (500 if job_result.faulty else 200) if job_result.ran else 503
            answer = kit.answer(status, b"", not_run=not job_result.ran, x_load=job_result.load)
            reactor.callLater(delay, settle, answer)

        until = reactor.seconds() + req.timeout.total_seconds()
        job = Job(_key_of(req), until, on_end)
        endpoint = self._world.endpoints[req.endpoint.name]
        reactor.callLater(delay, endpoint.offer, job)
        silence = self._world.scenario.silence
        if silence is not None:
            connection_lost = Error(SendFailure(False, "silent"))
            reactor.callLater(
                silence.total_seconds(), lambda: endpoint.crashed and settle(connection_lost)
            )
        deadline_passed = Error(SendFailure(False, "deadline passed"))
        reactor.callLater(req.timeout.total_seconds(), settle, deadline_passed)
        return result


def _quiet_time(noise: Noise, rng: random.Random) -> float:
    mean = noise.duration.total_seconds() * (1 / noise.fraction - 1)
    return rng.expovariate(1 / mean)


def _degrade(endpoint: ModelEndpoint, degradation: Degradation) -> None:
    endpoint.slowness *= degradation.slowness
    endpoint.errors += degradation.errors


def _recover(endpoint: ModelEndpoint, degradation: Degradation) -> None:
    endpoint.slowness /= degradation.slowness
    endpoint.errors -= degradation.errors


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
