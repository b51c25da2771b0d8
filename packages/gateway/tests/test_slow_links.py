"""The monitors of endpoints and links at a gateway whose own links are slow, in a model."""

import random
import typing as t
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import pytest
from cardamomloft.core.connectivity.outages import EndpointOutages
from cardamomloft.core.connectivity.reachability import MAX_SILENCE, ProbeTarget
from cardamomloft.core.registrations import Registration
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.gateway.endpointmonitor import EndpointMonitor
from cardamomloft.gateway.linkmonitor import LinkMonitor
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.observers import ConnectionFailure, LinkObservers
from cardamomloft_standins import gateway as kit
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

MS = kit.MS
ENDPOINTS = [f"10.0.0.{number}:80" for number in range(1, 13)]
ROUND_TRIP_S = 0.001
SYN_RESENT_S = 1.0
MAX_CONNECTIONS = 8
READ_DELAY_S = 0.02
NOTICE_S = 1.0
"""Time within which silent endpoints are found."""

MORE_CONNECTIONS = 2.0
"""Bound of the connections, as a multiple of those on a link without a queue."""

MAX_SILENCE_S = MAX_SILENCE.total_seconds()

Delay = Callable[[float], float]


def no_delay(now: float) -> float:
    return 0.0


class Load(t.NamedTuple):
    """Requests in a second, and the range of the time that endpoints work on each."""

    rate: float
    work_s: tuple[float, float]


LOADS = [Load(5, (0.3, 1.0)), Load(20, (0.3, 1.0)), Load(50, (0.05, 0.4))]


class Gateway:
    """A gateway that sends requests to endpoints over one link with a queue.

    Parameters
    ----------
    load
        The requests.
    delay
        Returns how long packets wait in the queue, at a time in seconds.
    answers_wait
        Whether answers wait as well.
    lost_fraction
        Fraction of the packets that open a connection and are lost.
    patient
        Whether connections are awaited for any time, and the monitors observe nothing.
    """

    def __init__(
        self,
        load: Load,
        delay: Delay = no_delay,
        *,
        answers_wait: bool = False,
        lost_fraction: float = 0.0,
        patient: bool = False,
        seed: int = 1,
    ) -> None:
        self.time = kit.Time(Clock())
        self.reactor = self.time.reactor
        self.load, self.delay = load, delay
        self.answers_wait, self.lost_fraction = answers_wait, lost_fraction
        self.patient = patient
        self.rng = random.Random(seed)
        self.silent: set[str] = set()
        self.idle: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.found: dict[str, float] = {}
        self.tried: dict[str, float] = {}
        self.gap = 0.0
        self._arrived_at = 0.0
        self._queue_free = 0.0
        self.observers = LinkObservers()
        self.outages = EndpointOutages()
        table = UpstreamTable({"a": "east"})
        for number, address in enumerate(ENDPOINTS):
            row = Registration(f"i-{number}", "s", address, "a", 4, False, timedelta(0))
            table.register(row, self.time.clock.monotonic())
        targets = [ProbeTarget(address, "abc"[at % 3]) for at, address in enumerate(ENDPOINTS)]
        self.links = LinkMonitor(
            self.reactor,
            self.time.clock,
            kit.rng(),
            self,
            lambda: targets,
            self._links_changed,
            Metrics(),
            self._probe,
        )
        self.endpoints = EndpointMonitor(
            self.reactor,
            self.time.clock,
            self,
            self.outages,
            table,
            lambda: self.links.down,
            Metrics(),
            self._probe,
        )
        if patient:
            self.observers = LinkObservers()

    # The client of the monitors.

    def has_idle(self, address: str) -> bool:
        return bool(self.idle[address])

    def close_idle(self, address: str) -> None:
        self.idle[address] = 0

    def abort_unsent(self, detail: str, addresses: t.Any = None) -> int:
        return 0

    def suspect(self, evidence: str, addresses: t.Any = None) -> int:
        return 0

    # The network.

    def now(self) -> float:
        return self.reactor.seconds()

    def connect(self, address: str, established: Callable[[], None]) -> None:
        """Open a connection; packets of all connections wait in one queue, in order."""
        self.counts["connections"] += 1
        self._send_syn(address, established)

    def _send_syn(self, address: str, established: Callable[[], None]) -> None:
        leaves = self._queue_free = max(self._queue_free, self.now() + self.delay(self.now()))
        if address in self.silent:
            return
        if self.rng.random() < self.lost_fraction:
            self.reactor.callLater(SYN_RESENT_S, self._send_syn, address, established)
            return

        def arrive() -> None:
            self._arrive()
            established()

        self.reactor.callLater(leaves - self.now() + ROUND_TRIP_S, arrive)

    def _arrive(self) -> None:
        self.gap = max(self.gap, self.now() - self._arrived_at)
        self._arrived_at = self.now()

    def _probe(self, reactor: t.Any, address: str, timeout: timedelta) -> "Deferred[bool]":
        outcome: Deferred[bool] = Deferred()

        def finish(connected: bool) -> None:
            if not outcome.called:
                outcome.callback(connected)

        self.connect(address, lambda: finish(True))
        self.reactor.callLater(timeout.total_seconds() + READ_DELAY_S, finish, False)
        return outcome

    # Requests.

    def _request(self, tried: tuple[str, ...] = ()) -> None:
        left = [
            address
            for address in ENDPOINTS
            if address not in tried
            and not self.outages.is_lost(address, connected=self.has_idle(address))
        ]
        if self.links.down or not left or len(tried) >= MAX_CONNECTIONS:
            self.counts["refused"] += 1
            return
        address = self.rng.choice(left)
        new = self.outages.needs_new_connection(address, self.time.clock.monotonic())
        patience = self.outages.patience(address).total_seconds()
        self.observers.sent(address)
        if address in self.silent:
            self.tried.setdefault(address, self.now())
        if self.idle[address] and not new:
            self.idle[address] -= 1
            self._send(address)
            return
        started_at, is_over = self.now(), []

        def established() -> None:
            if not is_over:
                is_over.append(True)
                took = timedelta(seconds=self.now() - started_at)
                self.observers.connected(address, took)
                self._send(address)

        def give_up() -> None:
            if not is_over:
                is_over.append(True)
                self.observers.failed(address, ConnectionFailure.SLOW)
                self.observers.ended(address)
                self._request((*tried, address))

        self.connect(address, established)
        if not self.patient:
            self.reactor.callLater(patience + READ_DELAY_S, give_up)

    def _send(self, address: str) -> None:
        self.counts["sent"] += 1
        wait = self.delay(self.now()) + self.rng.uniform(*self.load.work_s)
        if self.answers_wait:
            wait += self.delay(self.now())
        if address in self.silent:
            self.counts["sent_to_silent"] += 1
            self.reactor.callLater(3.0, self.observers.ended, address)
        else:
            self.reactor.callLater(wait, self._answer, address)

    def _answer(self, address: str) -> None:
        if address not in self.silent:
            self._arrive()
            self.observers.answered(address)
            self.idle[address] = min(4, self.idle[address] + 1)
        self.observers.ended(address)

    # Plays.

    def _links_changed(self) -> None:
        self.counts["links_down"] += self.links.down
        self.endpoints.forget()

    def run(self, seconds: float) -> None:
        """Send requests for a time."""
        end = self.now() + seconds
        next_at = self.now()
        while self.now() < end:
            while next_at <= self.now():
                next_at += self.rng.expovariate(self.load.rate)
                self._request()
            before = set(self.outages.lost())
            self.time.advance(5 * MS, 5 * MS)
            for address in set(self.outages.lost()) - before:
                self.counts["false_losses"] += address not in self.silent
                self.found.setdefault(address, self.now())


def bursts(longest: float) -> Delay:
    """Return a delay that grows and shrinks within a second, from the second second on."""
    return lambda now: longest * (1 - abs(1 - (now % 1.0) * 2)) if now > 2.0 else 0.0


def growth(longest: float) -> Delay:
    """Return a delay that grows for a second, stays for two, and shrinks for one."""
    return lambda now: longest * max(0.0, min(1.0, now - 2.0, 6.0 - now))


SHAPES = [bursts, growth]


@pytest.mark.parametrize("answers_wait", [False, True], ids=["connections", "all"])
@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("longest", [0.1, 0.2, 0.4, 0.7, 1.0])
@pytest.mark.parametrize("load", LOADS, ids=lambda load: f"{load.rate:g}/s")
def test_slow_links_are_not_taken_for_silent_endpoints(load, longest, shape, answers_wait):
    gateway = Gateway(load, shape(longest), answers_wait=answers_wait)
    gateway.run(8.0)
    assert not gateway.counts["false_losses"], gateway.counts
    # A link on which nothing arrives can't be told from one that is down.
    assert gateway.gap > MAX_SILENCE_S or not gateway.counts["links_down"], gateway.counts


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("longest", [0.2, 0.7])
@pytest.mark.parametrize("load", LOADS[1:], ids=lambda load: f"{load.rate:g}/s")
def test_slow_links_cause_few_more_connections(load, longest, shape):
    plays = [(shape(longest), False), (shape(longest), True), (no_delay, False), (no_delay, True)]
    gateways = [Gateway(load, delay, patient=patient) for delay, patient in plays]
    for gateway in gateways:
        gateway.run(8.0)
    slow, slow_patient, fast, fast_patient = (each.counts["connections"] for each in gateways)
    # Requests that wait for connections keep idle ones from being used.
    waiting = max(0, slow_patient - fast_patient)
    assert slow <= MORE_CONNECTIONS * fast + waiting, (slow, slow_patient, fast, fast_patient)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lost_packets_are_not_taken_for_silent_endpoints(seed):
    gateway = Gateway(LOADS[1], lost_fraction=0.03, seed=seed)
    gateway.run(20.0)
    assert not gateway.counts["false_losses"], gateway.counts


@pytest.mark.parametrize("delay", [0.0, 0.2], ids=["fast", "slow"])
@pytest.mark.parametrize("silent", [1, 4, 8, 11])
@pytest.mark.parametrize("load", LOADS[1:], ids=lambda load: f"{load.rate:g}/s")
def test_silent_endpoints_are_found_in_a_fraction_of_a_second(load, silent, delay):
    gateway = Gateway(load, lambda now: delay)
    gateway.run(4.0)
    gateway.silent = set(ENDPOINTS[:silent])
    silent_since = gateway.now()
    sent = gateway.counts["sent"]
    gateway.run(3.0)
    took = {
        address: gateway.found.get(address, gateway.now()) - tried_at
        for address, tried_at in gateway.tried.items()
        if tried_at < silent_since + 1.0
    }
    # A probe, the next one and the connections to compare with wait in the queue.
    assert max(took.values(), default=0.0) <= NOTICE_S + 4 * delay, took
    # Those before the first probe is overdue, and those that were running.
    noticed_s = 0.3 + 2 * delay
    assert gateway.counts["sent_to_silent"] <= noticed_s * load.rate * silent / len(ENDPOINTS) + 3
    assert not gateway.counts["false_losses"]
    assert gateway.counts["sent"] > sent
