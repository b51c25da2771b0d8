"""Gateways of several zones that send to modelled endpoints and exchange their loads.

Time is simulated by a queue of events, without a network. Each gateway runs the product's exchange;
which endpoint gets a request is decided simply, so that the measurements don't depend on placement.
"""

import heapq
import itertools
import random
import typing as t
from collections import Counter, deque
from datetime import timedelta

from cardamomloft.core.affinity import Candidate, first_ranked
from cardamomloft.core.cachestate import CacheState
from cardamomloft.core.clientaccounts.quotas import QuotaCoordinator, QuotaPolicy
from cardamomloft.core.coldness.limits import ColdLimit
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.estimates import expected_load
from cardamomloft.core.loads.estimating import shared_load
from cardamomloft.core.loads.hashes import endpoint_hash, key_hash
from cardamomloft.core.loads.statements import Origin
from cardamomloft.core.model import Incarnation
from cardamomloft.core.registrations import EntryRecord, Registration
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.upstreamtable import LoadReport, Upstream, UpstreamTable
from cardamomloft.gateway.usageexchange import REPORT_INTERVAL, UsageExchange
from cardamomloft.peers.codec import Envelope, encode
from cardamomloft.runtime.metrics import Metrics

ZONES = ("a", "b", "c", "d", "e", "f")
REGIONS = {"a": "1", "b": "1", "c": "2", "d": "2", "e": "3", "f": "3"}
SLOTS, QUEUE = 3, 9
WORK_S = 0.64
HIT_FRACTION = 0.3
RECORD_LIFE_S = 3.0
ZONE_LATENCY_S, REGION_LATENCY_S, FAR_LATENCY_S = 0.001, 0.003, 0.02


class Event:
    """A function to call at a time, unless it is cancelled."""

    def __init__(self, function: t.Callable[..., t.Any], args: tuple[t.Any, ...]) -> None:
        self.function = function
        self.args = args

    def cancel(self) -> None:
        """Don't call the function."""
        self.function = lambda *args: None

    def active(self) -> bool:
        """Return whether the event is not cancelled, for users of a reactor."""
        return True


class EventQueue:
    """The clock, and the reactor of the exchange."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Event]] = []
        self._numbers = itertools.count()

    def monotonic(self) -> timedelta:
        """Return the time since the start."""
        return timedelta(seconds=self.now)

    def callLater(self, delay_s: float, function, *args) -> Event:  # noqa: N802 (as in reactors)
        """Call `function` after a delay."""
        event = Event(function, args)
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), event))
        return event

    def run(self, until: float) -> None:
        """Process all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event.function(*event.args)
        self.now = until


class ModelEndpoint:
    """An endpoint with slots, a queue and a cache without bounds."""

    def __init__(self, play: "LoadPlay", row: Registration) -> None:
        self.play, self.row = play, row
        self.running = 0
        self.queue: deque[tuple[str, t.Callable[[bool], None]]] = deque()
        self.cached: set[str] = set()

    @property
    def load(self) -> int:
        """Requests that are running or waiting."""
        return self.running + len(self.queue)

    def receive(self, key: str, done: t.Callable[[bool], None]) -> None:
        """Run a request, or refuse it if the queue is full; `done` tells which."""
        if len(self.queue) >= QUEUE:
            done(False)
            return
        self.queue.append((key, done))
        self._start()

    def _start(self) -> None:
        while self.running < SLOTS and self.queue:
            key, done = self.queue.popleft()
            self.running += 1
            work = WORK_S * self.play.rng.uniform(0.7, 1.3)
            if key in self.cached:
                work *= HIT_FRACTION
            self.play.time.callLater(work, self._end, key, done)

    def _end(self, key: str, done: t.Callable[[bool], None]) -> None:
        self.running -= 1
        self.cached.add(key)
        self._start()
        done(True)


class ModelGateway:
    """The exchange of one gateway, and what it knows of the endpoints."""

    def __init__(self, play: "LoadPlay", record: EntryRecord, number: int) -> None:
        self.play, self.record = play, record
        self.me = Incarnation(record.name, f"{number:032x}")
        self.table = UpstreamTable(REGIONS)
        for endpoint in play.endpoints:
            self.table.register(endpoint.row, play.time.monotonic())
        limit = ColdLimit(1.0, 1.0)
        self.selector = Selector(self.table, record.name, record.zone, limit, Preferences())
        self.shared = self.selector.shared_loads
        self.shared.set_all_services(play.shared, play.time.monotonic())
        self.entries = EntryTable(record, timedelta(hours=1))
        self.metrics = Metrics()
        self.shared.counts = self.metrics.counters
        self.exchange = UsageExchange(
            play.time,
            play.time,
            record,
            self.entries,
            lambda: True,
            lambda address, message, to=None: play.send(self, address, message),
            QuotaCoordinator(QuotaPolicy(timedelta(seconds=5), 0.0, 0.0), play.time.monotonic()),
            self.metrics,
            self.shared,
        )
        self.running = True
        interval = REPORT_INTERVAL.total_seconds()
        play.time.callLater(play.rng.random() * interval, self._report, interval)

    def _report(self, interval: float) -> None:
        if self.running:
            self.exchange.report()
            self.play.time.callLater(interval, self._report, interval)

    def stop(self) -> None:
        """End the process."""
        self.running = False
        self.exchange.stop()

    def request(self, key: str) -> None:
        """Send a request to the key's first endpoint, or to its second if that is less loaded."""
        play, now = self.play, self.play.time.monotonic()
        first, second = (self._upstream(row) for row in play.ranked(key))
        estimate = shared_load if play.shared else expected_load
        loads = [estimate(upstream, now) for upstream in (first, second)]
        upstream = second if loads[1] + 2 < loads[0] else first
        endpoint = play.endpoint(upstream)
        play.record_send(self, upstream, endpoint, key)
        self.selector.record_sent(upstream, now)
        latency = play.latency(self.record.zone, endpoint.row.zone)

        def done(ran: bool) -> None:
            stated = (endpoint.running, len(endpoint.queue))
            play.time.callLater(latency, self._answered, upstream, key, now, stated, ran)

        play.time.callLater(latency, endpoint.receive, key, done)

    def _upstream(self, row: Registration) -> Upstream:
        upstream = self.table.get(row.id)
        assert upstream is not None
        return upstream

    def _answered(
        self, upstream: Upstream, key: str, sent_at: timedelta, stated: tuple[int, int], ran: bool
    ) -> None:
        if not self.running:
            return
        now = self.play.time.monotonic()
        self.shared.record_end(upstream, sent_at, now)
        self.selector.record_end(upstream)
        report = LoadReport(*stated, SLOTS, upstream.in_flight, now)
        self.selector.record_report(upstream, report)
        self.shared.record_statement(upstream, report, states_work=False)
        if ran:
            states = self.selector.cache_states
            is_new = states.state_of(upstream, key) is not CacheState.HIT
            states.record_answer(upstream, key)
            if is_new:
                self.shared.record_cached(upstream, key)


class Send(t.NamedTuple):
    """A request that was sent: when, what load was estimated and what it was, and cache states."""

    at: float
    estimated: float
    true: int
    report_age_s: float | None
    known_hit: bool
    is_hit: bool


class LoadPlay:
    """Gateways, endpoints, and requests of one service.

    Parameters
    ----------
    gateways, endpoints
        Their numbers, spread evenly over the zones.
    rate_per_s
        Usual number of requests a second.
    shared
        Whether loads are shared.
    seed
        Of everything random.

    Attributes
    ----------
    sends
        All requests sent.
    bytes_to
        Bytes of messages to each gateway.
    """

    def __init__(
        self,
        gateways: int,
        endpoints: int,
        rate_per_s: float,
        *,
        shared: bool = True,
        seed: int = 1,
    ) -> None:
        self.time = EventQueue()
        self.rng = random.Random(seed)
        self.rate_per_s, self.shared = rate_per_s, shared
        self.loss = 0.0
        self.cut: set[str] = set()
        self.sends: list[Send] = []
        self.bytes_to: Counter[str] = Counter()
        self.messages_to: Counter[str] = Counter()
        self.gaps: dict[tuple[str, str], list[float]] = {}
        self._numbers = itertools.count(1)
        zones = [ZONES[number % len(ZONES)] for number in range(max(gateways, endpoints))]
        self.endpoints = [
            ModelEndpoint(
                self,
                Registration(f"i-{n}", "s", f"h:{n}", zones[n], SLOTS, False, timedelta(0), 1),
            )
            for n in range(endpoints)
        ]
        self._by_id = {endpoint.row.id: endpoint for endpoint in self.endpoints}
        self._keys = [f"k-{number}" for number in range(int(4.4 * endpoints))]
        self._ranked: dict[str, list[Registration]] = {}
        self.records = [
            EntryRecord(f"g-{n}", "", zones[n], REGIONS[zones[n]], f"g-{n}:1")
            for n in range(gateways)
        ]
        self.gateways: dict[str, ModelGateway] = {}
        for record in self.records:
            self._start(record)

    def play(self, seconds: float, factor: float = 1.0) -> None:
        """Let requests arrive at `factor` times the usual rate."""
        until = self.time.now + seconds
        at = self.time.now + self.rng.expovariate(self.rate_per_s * factor)
        while at < until:
            self.time.run(at)
            running = [row for row in self.records if self.gateways[row.name].running]
            self.gateways[self.rng.choice(running).name].request(self.rng.choice(self._keys))
            at += self.rng.expovariate(self.rate_per_s * factor)
        self.time.run(until)

    def fill_caches(self, *, shared: bool = False) -> None:
        """Let each endpoint have its keys cached, and each gateway know it, as after a while.

        With `shared` the gateways know it from others, and tell it to those that start.
        """
        for key in self._keys:
            for row in self.ranked(key):
                self._by_id[row.id].cached.add(key)
                for gateway in self.gateways.values():
                    upstream, states = gateway._upstream(row), gateway.selector.cache_states
                    if shared:
                        pair = endpoint_hash(upstream.seed, row.started_ms), key_hash(key)
                        states.shared.add(*pair, Origin.ELSEWHERE)
                    else:
                        states.record_answer(upstream, key)

    def coordinators(self) -> set[str]:
        """Return the names of the gateways that coordinate their zones."""
        return {gateway.exchange.coordinator_name for gateway in self.gateways.values()}

    def kill(self, names: t.Iterable[str]) -> None:
        """End gateways; their records expire later."""
        for name in names:
            self.gateways[name].stop()
            self.time.callLater(RECORD_LIFE_S, self._forget, self.gateways[name].record)

    def restart(self, name: str) -> None:
        """Start a gateway again without what it knew."""
        self.gateways[name].stop()
        self._start(self.gateways[name].record)

    def restart_all(self) -> None:
        """Start all gateways again without what they knew."""
        for record in self.records:
            self.gateways[record.name].stop()
        for record in self.records:
            self._start(record)

    def send(self, sender: ModelGateway, address: str, message: t.Any) -> bool:
        """Deliver a message after the latency, unless it is lost or cut off."""
        receiver = self.gateways[address.partition(":")[0]]
        zones = {sender.record.zone, receiver.record.zone}
        self.bytes_to[receiver.record.name] += len(encode(Envelope(sender.me, None, message)))
        self.messages_to[receiver.record.name] += 1
        if getattr(message, "loads", ()):
            link = (sender.record.name, receiver.record.name)
            self.gaps.setdefault(link, []).append(self.time.now)
        if self.rng.random() >= self.loss and not (len(zones) > 1 and zones & self.cut):
            latency = self.latency(sender.record.zone, receiver.record.zone)
            self.time.callLater(latency, self._deliver, receiver, sender.me, message)
        return True

    def latency(self, first: str, second: str) -> float:
        """Return the seconds for one way between two zones."""
        if first == second:
            return ZONE_LATENCY_S
        return REGION_LATENCY_S if REGIONS[first] == REGIONS[second] else FAR_LATENCY_S

    def ranked(self, key: str) -> list[Registration]:
        """Return the first two endpoints of a key."""
        found = self._ranked.get(key)
        if found is None:
            candidates = [
                Candidate(endpoint.row, hash_number * 0x9E3779B97F4A7C15 % 2**64, 1.0)
                for hash_number, endpoint in enumerate(self.endpoints, 1)
            ]
            found = self._ranked[key] = first_ranked(key, candidates, 2)
        return found

    def endpoint(self, upstream: Upstream) -> ModelEndpoint:
        """Return the model of an endpoint."""
        return self._by_id[upstream.id]

    def record_send(
        self, gateway: ModelGateway, upstream: Upstream, endpoint: ModelEndpoint, key: str
    ) -> None:
        """Record what a gateway knows of an endpoint when it sends a request there."""
        now, report = self.time.monotonic(), upstream.report
        estimate = shared_load if self.shared else expected_load
        state = gateway.selector.cache_states.state_of(upstream, key)
        self.sends.append(
            Send(
                self.time.now,
                estimate(upstream, now),
                endpoint.load,
                None if report is None else (now - report.at).total_seconds(),
                state is CacheState.HIT,
                key in endpoint.cached,
            )
        )

    def within_one(self, since: float, until: float = 1e9) -> float:
        """Return the share of sends at which the estimate was within one request of the load."""
        sends = [send for send in self.sends if since <= send.at < until]
        return sum(abs(send.estimated - send.true) <= 1 for send in sends) / len(sends)

    def known(self, gateways: t.Iterable[str]) -> float:
        """Return the share of the endpoints whose load these gateways know, the lowest of them."""
        now = self.time.monotonic()
        rows = [self.gateways[name].shared.known(now)["s"] for name in gateways]
        return min(row.known / row.total for row in rows)

    def hits_known(self, since: float, until: float = 1e9) -> float:
        """Return the share of the cache hits that the gateway expected."""
        hits = [send for send in self.sends if since <= send.at < until and send.is_hit]
        return sum(send.known_hit for send in hits) / len(hits)

    def _start(self, record: EntryRecord) -> None:
        gateway = self.gateways[record.name] = ModelGateway(self, record, next(self._numbers))
        for row in self.records:
            gateway.entries.add(row, self.time.monotonic())

    def _deliver(self, receiver: ModelGateway, sender: Incarnation, message: t.Any) -> None:
        if receiver.running:
            receiver.exchange.receive(sender, message)

    def _forget(self, record: EntryRecord) -> None:
        for gateway in self.gateways.values():
            gateway.entries.withdraw(record.name, self.time.monotonic())
