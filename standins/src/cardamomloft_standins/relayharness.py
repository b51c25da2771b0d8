"""Gateways of a region that pass changes on; store and network are in memory, on one clock."""

import random
import typing as t
from datetime import timedelta

from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.model import Incarnation
from cardamomloft.core.notices import DatedNotice
from cardamomloft.core.positions import Position
from cardamomloft.core.registrations import EntryRecorded, EntryWithdrawn, PlanRead
from cardamomloft.core.selection import Preferences, Selector
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.feed.relays import relays_of
from cardamomloft.gateway.changefeed import ChangeFeed
from cardamomloft.gateway.control import Changes, Listing
from cardamomloft.gateway.following import Follower, PollTiming
from cardamomloft.gateway.storeview import StoreView
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.store.failures import StoreFailure
from expression import Error, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, LoopingCall

from cardamomloft_standins import gateway as kit

MS = kit.MS

DRAIN_TIME = 2500 * MS
"""How soon a change must be in force."""

ENTRY_COUNT = 10
"""Gateways of the region: enough for relays."""

CALL = 4 * MS
"""How long the store takes for a call."""

LINK = 2 * MS
"""How long a message between gateways takes."""

TICK = 200 * MS
"""How often a gateway looks what did not come back."""

LOST_AFTER = 700 * MS
"""When a call to a store that says nothing counts as failed; its wait comes on top."""


class Copy(t.NamedTuple):
    """What a store held at an instant."""

    at: timedelta
    revision: int
    held: dict[object, object]


class Store:
    """A store with revisions. Gateways in `cut` hear nothing from it, those in `refused` a no."""

    def __init__(self, time: kit.Time) -> None:
        self.time = time
        self.era = 1
        self.revision = 1
        self.held: dict[object, object] = {}
        self.events: list[tuple[int, object]] = []
        self.copies: list[Copy] = [Copy(timedelta(0), 1, {})]
        self.first_known = 0
        self.cut: set[str] = set()
        self.refused: set[str] = set()
        self.waiting: list[t.Callable[[], None]] = []
        self.calls = 0

    @property
    def position(self) -> Position:
        """Where it is in its history."""
        return Position(self.era, self.revision)

    def write(self, key: object, fact: object, *, removes: bool = False) -> None:
        """Write or remove a key, and answer who waits for a change."""
        self.revision += 1
        self.events.append((self.revision, fact))
        self.held.pop(key, None)
        if not removes:
            self.held[key] = fact
        self.copies.append(Copy(self.time.clock.monotonic(), self.revision, dict(self.held)))
        waiting, self.waiting = self.waiting, []
        for answer in waiting:
            answer()

    def discard_history(self) -> None:
        """Drop the history of changes."""
        self.first_known = self.revision

    def restore(self, age: timedelta) -> None:
        """Come back from a copy of that age: what was written since is gone."""
        instant = self.time.clock.monotonic() - age
        copy = [copy for copy in self.copies if copy.at <= instant or copy.revision == 1][-1]
        self.era += 1
        self.revision, self.held = copy.revision, dict(copy.held)
        self.events = [(at, fact) for at, fact in self.events if at <= copy.revision]
        self.copies = [each for each in self.copies if each.revision <= copy.revision]
        self.first_known = min(self.first_known, copy.revision)
        # Whoever waits for a change is cut off, and hears of that.
        waiting, self.waiting = self.waiting, []
        for answer in waiting:
            answer()


class Client:
    """One gateway's connection to the store."""

    def __init__(self, store: Store, name: str) -> None:
        self.store, self.name = store, name

    def read(self):
        """List all that the store holds."""
        store = self.store
        return self._call(
            lambda: Ok(Listing(tuple(store.held.values()), store.position)), timedelta(0)
        )

    def changes(self, after, wait):
        """Return what has changed, at the latest when `wait` is over."""
        return self._call(lambda: self._news(after), wait, lambda: self.store.position > after)

    def _news(self, after):
        store = self.store
        if after.era != store.era or after.revision < store.first_known:
            return Ok(Changes((), after, lost=True))
        news = tuple(fact for at, fact in store.events if at > after.revision)
        return Ok(Changes(news, store.position))

    def _call(self, answer, wait, is_due=lambda: True):
        store, reactor = self.store, self.store.time.reactor
        store.calls += 1
        done = Deferred(lambda _: finish(Error(StoreFailure(False, "cancelled"))))

        def finish(outcome):
            if not done.called:
                done.callback(outcome)

        def reply():
            if self.name not in store.cut:
                reactor.callLater((CALL / 2).total_seconds(), finish, answer())

        def arrive():
            if self.name in store.refused:
                finish(Error(StoreFailure(False, "refused")))
            elif self.name not in store.cut:
                if is_due() or not wait:
                    reply()
                else:
                    store.waiting.append(reply)
                    reactor.callLater(wait.total_seconds(), reply)

        lost = Error(StoreFailure(False, "no answer"))
        reactor.callLater((CALL / 2).total_seconds(), arrive)
        reactor.callLater((wait + LOST_AFTER).total_seconds(), finish, lost)
        return done


class Network:
    """Messages between gateways: late, lost, or kept from those in `silenced`."""

    def __init__(self, time: kit.Time, rng: random.Random) -> None:
        self.time, self.rng = time, rng
        self.loss = 0.0
        self.silenced: set[str] = set()
        self.gateways: dict[str, Gateway] = {}

    def send(self, sender: "Gateway", address: str, message, to) -> bool:
        """Bring a message to the gateway at `address`, if nothing is in the way."""
        receiver = self.gateways[address]
        lost = self.rng.random() < self.loss
        if lost or {sender.name, receiver.name} & self.silenced:
            return True
        if to not in (None, receiver.me):
            return True
        self.time.reactor.callLater(LINK.total_seconds(), receiver.receive, sender.me, message)
        return True


class Gateway:
    """What a gateway does with the store and its peers, and what it knows by it."""

    def __init__(self, record, store: Store, network: Network, time: kit.Time, seed: int) -> None:
        self.record, self.name, self.network = record, record.name, network
        self.me = Incarnation(record.name, str(seed))
        self.entries = EntryTable(record, timedelta(seconds=10))
        self.time = time
        self.plans: list[int] = [0]
        self.faults = []
        self.recoveries: list[timedelta] = []
        self.withdrawals: list[timedelta] = []
        self.stopped = False
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
            self.notices.append,
            random.Random(seed),
            metrics,
        )
        self.feed.port.peers = self
        self.book = UpstreamTable(dict.fromkeys("abc", record.region))
        selector = Selector(self.book, self.name, record.zone, None, Preferences())
        self.view = StoreView(
            time.clock, self.book, self.entries, selector, _ignore, self._on_plan, metrics
        )
        self.follower = Follower(
            time.reactor,
            time.clock,
            self.feed.control,
            random.Random(seed),
            PollTiming(DRAIN_TIME * 0.4, DRAIN_TIME * 0.6),
            self.view.apply_listing,
            self._on_changes,
            self._on_returned,
        )
        self._ticks = LoopingCall(self.view.tick)
        self._ticks.clock = time.reactor

    def start(self) -> None:
        """Begin to follow."""
        self._ticks.start(TICK.total_seconds(), now=False)
        self.follower.start(self.faults.append)

    def stop(self) -> None:
        """End, as a gateway does."""
        self.stopped = True
        if self._ticks.running:
            self._ticks.stop()
        self.feed.stop()
        self.follower.stop()

    def send(self, address, message, to=None) -> bool:
        """Send a message to another gateway."""
        return self.network.send(self, address, message, to)

    def close(self) -> None:
        """Do nothing: there is no socket."""

    def receive(self, sender, message) -> None:
        """Take a message of another gateway."""
        if not self.stopped:
            self.feed.receive(sender, message)

    @property
    def drained(self) -> set[str]:
        """The zones that get nothing."""
        return set(self.book.drained_zones)

    def _on_changes(self, facts) -> None:
        gone = [fact for fact in facts if isinstance(fact, EntryWithdrawn)]
        self.withdrawals += [self.time.clock.monotonic()] * len(gone)
        self.view.apply_changes(facts)

    def _on_plan(self, plan) -> None:
        if plan.number > self.plans[-1]:
            self.plans.append(plan.number)

    def _on_returned(self) -> None:
        self.recoveries.append(self.time.clock.monotonic())
        self.view.store_recovered()


def _ignore(address) -> None:
    """Keep no connections."""


class Deployment:
    """Ten gateways of one region that know each other, and a store with a configuration."""

    def __init__(self, seed: int = 1) -> None:
        self.time = kit.Time(Clock())
        self.store = Store(self.time)
        self.network = Network(self.time, random.Random(seed))
        self.number = 0
        self.undisturbed: dict[str, timedelta] = {}
        self.configure()
        records = kit.entry_records(ENTRY_COUNT)
        self.gateways = [
            Gateway(record, self.store, self.network, self.time, seed + at)
            for at, record in enumerate(records)
        ]
        for gateway in self.gateways:
            gateway.start()
            self.store.write(("entry", gateway.name), EntryRecorded(gateway.record))
        self.relays = [row.name for row in relays_of("east", records)]
        self.run(3000 * MS)

    def configure(self) -> None:
        """Write a newer configuration."""
        self.number += 1
        self.store.write("plan", PlanRead(kit.plan(self.number)))

    def run(self, duration: timedelta) -> None:
        """Let time go by."""
        self.time.advance(duration, 5 * MS)

    def by_name(self, name: str) -> Gateway:
        """Return the gateway called `name`."""
        return next(gateway for gateway in self.gateways if gateway.name == name)

    def subscribers(self) -> list[Gateway]:
        """Return the gateways that were no relays at the start."""
        return [gateway for gateway in self.gateways if gateway.name not in self.relays]

    def outdated_gateways(self) -> list[str]:
        """Return the names of those that have not the newest configuration."""
        return [row.name for row in self.gateways if row.plans[-1] != self.number]


def counter_total(gateways, name: str) -> int:
    """Return the sum of a counter over `gateways`."""
    return sum(gateway.metrics.counters[name] for gateway in gateways)
