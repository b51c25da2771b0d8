"""A steward's store calls with expired leases, store outages and exceptions."""

import random
from collections import Counter
from datetime import timedelta

import pytest
from cardamomloft.core.changes import canonical, next_record
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.model import Incarnation
from cardamomloft.core.stewardship import Stewardship
from cardamomloft.entry.steward import CONFIGURATION_KEY, StewardRunner, offer_record
from cardamomloft.store.failures import StoreFailure
from cardamomloft.store.keyvalue import Record, WatchResult
from expression import Error, Ok
from twisted.internet.defer import Deferred, ensureDeferred, succeed

TICK = timedelta(milliseconds=25)
AWAY = Error(StoreFailure(False, "away"))


class FakeStore:
    """A lease key and the configuration record; `away` and `raising` inject faults."""

    def __init__(self):
        self.away = False
        self.raising = False
        self.holder = None
        self.leases = {}
        self.calls = Counter()
        self.config = None
        self.watches = []

    def answer(self, name, result):
        self.calls[name] += 1
        if self.raising:
            raise RuntimeError("a defect")
        return succeed(AWAY if self.away else result())

    def expire(self):
        self.holder = None
        self.leases.clear()

    def create_lease(self, ttl):
        def create():
            self.leases[f"lease-{self.calls['create']}"] = ttl
            return Ok(f"lease-{self.calls['create']}")

        return self.answer("create", create)

    def acquire(self, key, value, lease):
        def acquire():
            if self.holder is not None or lease not in self.leases:
                return Ok(False)
            self.holder = (value.decode(), lease)
            return Ok(True)

        return self.answer("acquire", acquire)

    def renew(self, lease):
        return self.answer("renew", lambda: Ok(lease in self.leases))

    def release(self, lease):
        def release():
            self.leases.pop(lease, None)
            if self.holder is not None and self.holder[1] == lease:
                self.holder = None
            return Ok(None)

        return self.answer("release", release)

    def watch(self, key, index, wait):
        if key == CONFIGURATION_KEY:
            if self.away or index == 0:
                return self.answer("config", lambda: Ok(WatchResult(self.config, 1)))
            self.watches.append(Deferred())
            return self.watches[-1]

        def read_lease():
            held = None if self.holder is None else Record(self.holder[0].encode(), 1)
            return Ok(WatchResult(held, 1))

        return self.answer("read_lease", read_lease)


class FakeReplica:
    def __init__(self):
        self.offers = []
        self.empty = 0

    def offer(self, number, packed):
        self.offers.append(number)
        return Ok(None) if number > 0 else Error("refused")

    def on_store_empty(self):
        self.empty += 1


class Bench:
    def __init__(self, standby=True):
        self.clock, self.store, self.replica = ManualClock(), FakeStore(), FakeReplica()
        self.faults, self.offered = [], 0
        stewardship = Stewardship("r1", self.clock, random.Random(1))
        stewardship.set_role(standby=standby, size=4)
        self.runner = StewardRunner(
            Incarnation("e1", "1"),
            "r1",
            self.clock,
            random.Random(2),
            self.store,
            self.replica,
            stewardship,
            self.on_offer,
            self.faults.append,
        )

    def on_offer(self):
        self.offered += 1

    @property
    def is_steward(self):
        return self.runner.stewardship.is_steward

    def run(self, seconds):
        for _ in range(int(seconds / TICK.total_seconds())):
            self.clock.advance(TICK)
            self.runner.tick()


def record(number):
    row = next_record(None, {"made": number}, "ann", "now", "why", "c1", above=number - 1)
    return Record(canonical(row), number)


@pytest.fixture
def steward():
    bench = Bench()
    bench.store.config = record(3)
    bench.run(3)
    assert bench.is_steward and bench.replica.offers == [3]
    return bench


def test_a_steward_offers_the_records_of_its_watch(steward):
    steward.store.watches[-1].callback(Ok(WatchResult(record(4), 2)))
    assert steward.replica.offers == [3, 4] and steward.offered == 2
    assert len(steward.store.watches) == 2


def test_an_expired_lease_is_noticed_and_acquired_again(steward):
    steward.store.expire()
    steward.store.holder = ("e2", "other")
    steward.run(10)
    assert not steward.is_steward and not steward.faults
    steward.store.expire()
    steward.run(30)
    assert steward.is_steward and steward.store.holder[0] == "e1/1"


def test_a_late_record_of_a_paused_steward_is_only_offered(steward):
    """The replica, not the lease, prevents copies from going back to an older revision."""
    steward.store.expire()
    steward.clock.advance(timedelta(seconds=30))
    steward.store.watches[-1].callback(Ok(WatchResult(record(2), 2)))
    assert steward.replica.offers == [3, 2]
    steward.run(10)
    assert not steward.faults


def test_a_store_outage_costs_few_calls_and_is_recovered_from(steward):
    steward.store.away = True
    steward.store.watches[-1].callback(AWAY)
    before = steward.store.calls.total()
    steward.run(60)
    assert (
        steward.store.calls.total() - before <= 120
    ), "more than two calls per second during an outage"
    steward.store.away = False
    steward.store.expire()
    steward.store.config = record(5)
    steward.run(60)
    assert steward.is_steward and steward.replica.offers[-1] == 5


@pytest.mark.parametrize("standby", [True, False])
def test_an_outage_costs_a_candidate_few_calls(standby):
    bench = Bench(standby)
    bench.store.away = True
    bench.run(60)
    assert 1 <= bench.store.calls.total() <= 30
    bench.store.away = False
    bench.run(60)
    assert bench.is_steward


def test_an_exception_in_a_step_is_reported_and_the_steps_continue():
    bench = Bench()
    bench.store.raising = True
    bench.run(5)
    assert bench.faults and not bench.is_steward
    bench.store.raising = False
    bench.run(60)
    assert bench.is_steward


def test_an_exception_in_the_watch_is_reported_and_the_watch_continues(steward):
    steward.store.config = record(4)
    steward.replica.offer = lambda number, packed: 1 / 0
    steward.store.watches[-1].callback(Ok(WatchResult(record(4), 2)))
    assert [fault.type for fault in steward.faults] == [ZeroDivisionError]
    del steward.replica.offer
    steward.run(5)
    assert steward.replica.offers == [3, 4]


def test_a_lease_whose_acquisition_was_not_confirmed_expires():
    bench = Bench()
    acquire = bench.store.acquire

    def lose(key, value, lease):
        bench.store.acquire = acquire
        acquire(key, value, lease)
        return succeed(Error(StoreFailure(True, "no answer")))

    bench.store.acquire = lose
    bench.run(8)
    assert not bench.is_steward and bench.store.holder[0] == "e1/1"
    bench.store.expire()
    bench.run(10)
    assert bench.is_steward and len(bench.store.leases) == 1


def test_a_planned_stop_releases_the_lease(steward):
    assert steward.store.holder is not None
    ensureDeferred(steward.runner.release())
    assert steward.store.holder is None


@pytest.mark.parametrize("value", [b"", b"{}", b"[1]", b'{"number": "1"}'])
def test_a_malformed_record_is_not_offered(value):
    replica = FakeReplica()
    offer_record(replica, Record(value, 1))
    assert replica.offers == [] and replica.empty == 0
    offer_record(replica, None)
    assert replica.empty == 1
