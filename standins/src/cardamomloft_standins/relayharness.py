"""Gateways of a region that relay changes, with store and network simulated on one clock."""

import random
import typing as t
from collections import Counter
from datetime import timedelta

from cardamomloft.core.coldness.limits import ColdLimit
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.messages import NoticeDigest
from cardamomloft.core.model import Incarnation
from cardamomloft.core.notices import DatedNotice
from cardamomloft.core.positions import Position
from cardamomloft.core.recordlease import LAPSED_SHARE_TIME
from cardamomloft.core.registrations import EntryRecorded, EntryWithdrawn, PlanRead
from cardamomloft.core.routes import RoutePlan, cold_times
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.feed.relays import relays_of
from cardamomloft.gateway.changefeed import ChangeFeed
from cardamomloft.gateway.control import Changes, Listing
from cardamomloft.gateway.drainview import connect_drains
from cardamomloft.gateway.following import Follower, poll_timing
from cardamomloft.gateway.gossip import ASK_INTERVAL, COMPARE_INTERVAL
from cardamomloft.gateway.noticehandler import NoticeHandler
from cardamomloft.gateway.storeview import StoreView
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.store.failures import StoreFailure
from expression import Error, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, LoopingCall

from cardamomloft_standins import gateway as kit

MS = kit.MS

DRAIN_TIME = 2500 * MS
"""Time within which a change must be in force at every gateway."""

ENTRY_COUNT = 10
"""Number of gateways in the region; large enough that relays are used."""

STORE_ROUND_TRIP = 4 * MS
"""Round-trip time of a call to the store."""

PEER_LATENCY = 2 * MS
"""Latency of a message between gateways."""

TICK_INTERVAL = 200 * MS
"""Interval of the ticks that expire unconfirmed facts."""

COLD_LIMIT = ColdLimit(1.5, 5.0)
"""What all gateways together may send to a cold endpoint, beside the rate of its service."""

CALL_TIMEOUT = 700 * MS
"""Timeout of a call to the store."""

POLL_MARGIN = 300 * MS
"""Time after the wait of a blocking query in which its answer must arrive, if that is longer."""


class Snapshot(t.NamedTuple):
    """The content of the store at one instant."""

    at: timedelta
    revision: int
    held: dict[object, object]


class Store:
    """A store with revisions; `cut` gateways get no answers, `refused` ones get errors.

    Answers take `answer_delay` longer on their way back. While it is `deaf`, queries for changes
    miss changes that are made. Of the answers to a gateway, the next ones named in `losing` are
    lost, and those in `breaking` end with an error; gateways in `garbled` can't use any answer to
    a query for changes.
    """

    def __init__(self, time: kit.Time) -> None:
        self.time = time
        self.era = 1
        self.revision = 1
        self.held: dict[object, object] = {}
        self.events: list[tuple[int, object]] = []
        self.snapshots: list[Snapshot] = [Snapshot(timedelta(0), 1, {})]
        self.compacted_revision = 0
        self.cut: set[str] = set()
        self.refused: set[str] = set()
        self.answer_delay = timedelta(0)
        self.deaf = False
        self.losing: Counter[str] = Counter()
        self.breaking: Counter[str] = Counter()
        self.garbled: set[str] = set()
        self.pending_queries: list[t.Callable[[], None]] = []
        self.calls = 0

    @property
    def position(self) -> Position:
        """The current position in the store's history."""
        return Position(self.era, self.revision)

    def write(self, key: object, fact: object, *, removes: bool = False) -> None:
        """Write or remove a key, and answer all blocking queries."""
        self.revision += 1
        self.events.append((self.revision, fact))
        self.held.pop(key, None)
        if not removes:
            self.held[key] = fact
        self.snapshots.append(Snapshot(self.time.clock.monotonic(), self.revision, dict(self.held)))
        if self.deaf:
            return
        pending_queries, self.pending_queries = self.pending_queries, []
        for answer in pending_queries:
            answer()

    def discard_history(self) -> None:
        """Discard the history of changes, as a compaction does."""
        self.compacted_revision = self.revision

    def restore(self, age: timedelta) -> None:
        """Restore a snapshot of age `age` in a new era; later writes are lost."""
        restored_at = self.time.clock.monotonic() - age
        snapshot = [
            snapshot
            for snapshot in self.snapshots
            if snapshot.at <= restored_at or snapshot.revision == 1
        ][-1]
        self.era += 1
        self.revision, self.held = snapshot.revision, dict(snapshot.held)
        self.events = [(at, fact) for at, fact in self.events if at <= snapshot.revision]
        self.snapshots = [each for each in self.snapshots if each.revision <= snapshot.revision]
        self.compacted_revision = min(self.compacted_revision, snapshot.revision)
        # A restore also ends all blocking queries.
        pending_queries, self.pending_queries = self.pending_queries, []
        for answer in pending_queries:
            answer()


class Client:
    """The store client of one gateway."""

    def __init__(self, store: Store, name: str) -> None:
        self.store, self.name = store, name

    def read(self):
        """Return a listing of the whole store."""
        store = self.store
        return self._call(
            lambda: Ok(Listing(tuple(store.held.values()), store.position)), timedelta(0)
        )

    def changes(self, after, wait):
        """Return the changes since `after`; wait for one for at most `wait`."""
        return self._call(
            lambda: self._changes_since(after, wait),
            wait,
            lambda: self.store.position > after and not self.store.deaf,
        )

    def _is_spared(self, failing: Counter[str]) -> bool:
        """Return whether the answer arrives, and count it if it does not."""
        if failing[self.name] <= 0:
            return True
        failing[self.name] -= 1
        return False

    def _changes_since(self, after, wait):
        store = self.store
        if self.name in store.garbled:
            return Error(StoreFailure(False, "the answer is too long", unusable=True))
        if store.deaf:
            return Ok(Changes((), after, waited=wait))
        if after.era != store.era or after.revision < store.compacted_revision:
            return Ok(Changes((), after, lost=True))
        facts = tuple(fact for at, fact in store.events if at > after.revision)
        return Ok(Changes(facts, store.position, waited=timedelta(0) if facts else wait))

    def _call(self, answer, wait, is_ready=lambda: True):
        store, reactor = self.store, self.store.time.reactor
        store.calls += 1
        done = Deferred(lambda _: finish(Error(StoreFailure(False, "cancelled"))))

        def finish(outcome):
            if not done.called:
                done.callback(outcome)

        def reply():
            if self.name not in store.cut and self._is_spared(store.losing):
                delay = STORE_ROUND_TRIP / 2 + store.answer_delay
                cut_short = Error(StoreFailure(False, "connection lost"))
                outcome = answer() if self._is_spared(store.breaking) else cut_short
                reactor.callLater(delay.total_seconds(), finish, outcome)

        def arrive():
            if self.name in store.refused:
                finish(Error(StoreFailure(False, "refused")))
            elif self.name not in store.cut:
                if is_ready() or not wait:
                    reply()
                else:
                    store.pending_queries.append(reply)
                    reactor.callLater(wait.total_seconds(), reply)

        lost = Error(StoreFailure(False, "no answer"))
        reactor.callLater((STORE_ROUND_TRIP / 2).total_seconds(), arrive)
        reactor.callLater(max(CALL_TIMEOUT, wait + POLL_MARGIN).total_seconds(), finish, lost)
        return done


class Network:
    """Delivers messages between gateways with latency and loss.

    Messages from and to the gateways in `silenced` are dropped, and those between the gateways in
    `separated` and the others.
    """

    def __init__(self, time: kit.Time, rng: random.Random) -> None:
        self.time, self.rng = time, rng
        self.loss = 0.0
        self.silenced: set[str] = set()
        self.separated: set[str] = set()
        self.gateways: dict[str, Gateway] = {}

    def send(self, sender: "Gateway", address: str, message, to) -> bool:
        """Deliver a message to the gateway at `address`, unless it is lost or dropped."""
        receiver = self.gateways[address]
        lost = self.rng.random() < self.loss
        if lost or {sender.name, receiver.name} & self.silenced:
            return True
        if len({sender.name, receiver.name} & self.separated) == 1:
            return True
        if to not in (None, receiver.me):
            return True
        self.time.reactor.callLater(
            PEER_LATENCY.total_seconds(), receiver.receive, sender.me, message
        )
        return True


class Gateway:
    """The change feed of one gateway, with the tables and the view that it maintains."""

    def __init__(self, record, store: Store, network: Network, time: kit.Time, seed: int) -> None:
        self.record, self.name, self.network = record, record.name, network
        self.me = Incarnation(record.name, str(seed))
        self.entries = EntryTable(record, LAPSED_SHARE_TIME + timedelta(seconds=10))
        self.time = time
        self.plan: RoutePlan | None = None
        self.plans: list[int] = [0]
        self.put_in_force: dict[int, timedelta] = {}
        self.faults = []
        self.digests = 0
        self.recoveries: list[timedelta] = []
        self.withdrawals: list[timedelta] = []
        self.stopped = False
        self.compares_notices = False
        self.notices: list[DatedNotice] = []
        network.gateways[record.peers] = self
        client = Client(store, self.name)
        metrics = self.metrics = Metrics()
        self.present = True
        self.feed = ChangeFeed(
            time.reactor,
            time.clock,
            client,
            record,
            self.entries,
            lambda: self.present,
            DRAIN_TIME,
            self._on_notice,
            random.Random(seed),
            metrics,
        )
        self.feed.port.peers = self
        self.upstream_table = UpstreamTable(dict.fromkeys("abc", record.region))
        self.selector = Selector(
            self.upstream_table, self.name, record.zone, COLD_LIMIT, Preferences()
        )
        started_at = time.clock.monotonic()
        self.selector.record_age = lambda now: now - started_at
        self.notice_handler = NoticeHandler(
            time.clock, self.upstream_table, self.selector.rate_limits, metrics
        )
        self.view = StoreView(
            time.clock,
            self.upstream_table,
            self.entries,
            self.selector,
            _ignore,
            self._on_plan,
            metrics,
        )
        gossip = self.feed.gossip
        self.notice_handler.publish = gossip.publish
        connect_drains(self.view.drains, self.feed, self.notice_handler)
        gossip.plan = lambda: self.plan
        gossip.on_plan = lambda plan, sender: self._on_plan(plan)
        self.follower = Follower(
            time.reactor,
            time.clock,
            self.feed.control,
            random.Random(seed),
            poll_timing(DRAIN_TIME),
            self._on_listing,
            self._on_changes,
            self._on_returned,
        )
        self._loops = [
            (LoopingCall(self.view.tick), TICK_INTERVAL),
            (LoopingCall(gossip.ask), ASK_INTERVAL),
        ]

    def compare_notices(self) -> None:
        """Let it compare notices with others, once it is started."""
        self.compares_notices = True
        self._loops.append((LoopingCall(self.feed.gossip.compare), COMPARE_INTERVAL))

    def start(self) -> None:
        """Start to follow the store."""
        for loop, interval in self._loops:
            loop.clock = self.time.reactor
            loop.start(interval.total_seconds(), now=False)
        self.follower.start(self.faults.append)

    def stop(self) -> None:
        """Stop the change feed."""
        self.stopped = True
        for loop, _ in self._loops:
            if loop.running:
                loop.stop()
        self.feed.stop()
        self.follower.stop()

    def send(self, address, message, to=None) -> bool:
        """Send a message to the gateway at `address`."""
        self.digests += isinstance(message, NoticeDigest)
        return self.network.send(self, address, message, to)

    def close(self) -> None:
        """Do nothing: there is no socket."""

    def receive(self, sender, message) -> None:
        """Pass a message from another gateway to the change feed."""
        if not self.stopped:
            self.feed.receive(sender, message)

    @property
    def drained(self) -> set[str]:
        """The drained zones."""
        return set(self.upstream_table.drained_zones)

    def _on_notice(self, dated: DatedNotice) -> None:
        self.notices.append(dated)
        self.notice_handler.apply(dated)

    def _on_listing(self, listing: Listing) -> None:
        first = not self.view.listed
        self.view.apply_listing(listing)
        if first and self.compares_notices:
            self.feed.gossip.catch_up()

    def _on_changes(self, facts) -> None:
        withdrawn = [fact for fact in facts if isinstance(fact, EntryWithdrawn)]
        self.withdrawals += [self.time.clock.monotonic()] * len(withdrawn)
        self.view.apply_changes(facts)

    def _on_plan(self, plan) -> None:
        if plan.number > self.plans[-1]:
            self.plan = plan
            self.selector.policies = plan.services
            self.upstream_table.set_cold_times(cold_times(plan), self.time.clock.monotonic())
            self.plans.append(plan.number)
            self.put_in_force[plan.number] = self.time.clock.monotonic()

    def _on_returned(self) -> None:
        self.recoveries.append(self.time.clock.monotonic())
        self.view.store_recovered()


def _ignore(address) -> None:
    """Do nothing: there are no pooled connections."""


class Deployment:
    """Gateways of one region that know each other, and a store with a plan.

    With `compares_notices` each compares its notices with another one's from time to time.
    """

    def __init__(
        self, seed: int = 1, count: int = ENTRY_COUNT, *, compares_notices: bool = False
    ) -> None:
        self.time = kit.Time(Clock())
        self.store = Store(self.time)
        self.network = Network(self.time, random.Random(seed))
        self.number = 0
        self.undisturbed: dict[str, timedelta] = {}
        self.configure()
        records = kit.entry_records(count)
        self.gateways = [
            Gateway(record, self.store, self.network, self.time, seed + at)
            for at, record in enumerate(records)
        ]
        for gateway in self.gateways:
            if compares_notices:
                gateway.compare_notices()
            gateway.start()
            self.store.write(("entry", gateway.name), EntryRecorded(gateway.record))
        self.relays = [row.name for row in relays_of("east", records)]
        self.run(3000 * MS)

    def configure(self) -> None:
        """Write a configuration with the next number."""
        self.number += 1
        self.store.write("plan", PlanRead(kit.plan(self.number)))

    def run(self, duration: timedelta) -> None:
        """Advance the clocks by `duration`."""
        self.time.advance(duration, 5 * MS)

    def by_name(self, name: str) -> Gateway:
        """Return the gateway called `name`."""
        return next(gateway for gateway in self.gateways if gateway.name == name)

    def subscribers(self) -> list[Gateway]:
        """Return the gateways that were not relays at the start."""
        return [gateway for gateway in self.gateways if gateway.name not in self.relays]

    def outdated_gateways(self) -> list[str]:
        """Return the names of the gateways that lack the newest configuration."""
        return [row.name for row in self.gateways if row.plans[-1] != self.number]


def counter_total(gateways, name: str) -> int:
    """Return the sum of a counter over `gateways`."""
    return sum(gateway.metrics.counters[name] for gateway in gateways)
