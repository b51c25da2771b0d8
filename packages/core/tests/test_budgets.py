"""Retry budgets that hold over all entries together, and the entries that share them."""

import random
from datetime import timedelta

import pytest
from cardamomloft.core.budgets import Division, RetryBudget
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.recordlease import LAPSED_SHARE_TIME, RecordLease
from cardamomloft.core.registrations import RENEWAL_GRACE, EntryRecord

MS = timedelta(milliseconds=1)
WINDOW = timedelta(seconds=10)
TTL = timedelta(seconds=3)


@pytest.mark.parametrize("entries", [1, 4, 12])
@pytest.mark.parametrize("seed", range(3))
def test_retries_of_all_entries_stay_within_the_budget_in_every_window(entries, seed):
    rng = random.Random(seed)
    budgets = [RetryBudget(0.2, 60, WINDOW) for _ in range(entries)]
    requests, retries = [], []
    for step in range(3000):
        now = step * 10 * MS
        budget = rng.choice(budgets)
        budget.on_request(now)
        requests.append(now)
        while budget.may_retry(Division(entries, WINDOW), now) and rng.random() < 0.9:
            budget.spend(now)
            retries.append(now)
    assert retries
    for start in retries[::50]:
        requested = sum(1 for at in requests if start <= at < start + WINDOW)
        retried = sum(1 for at in retries if start <= at < start + WINDOW)
        assert retried <= 0.2 * max(requested, 1000) + 60


def test_a_new_entry_gets_only_its_share_of_the_slack():
    budget = RetryBudget(0.2, 60, WINDOW)
    spent = 0
    while budget.may_retry(Division(12, WINDOW), timedelta(0)):
        budget.spend(timedelta(0))
        spent += 1
    assert spent == 4


def test_an_entry_that_the_others_may_not_count_yet_has_no_share_of_the_slack():
    budget = RetryBudget(0.2, 60, WINDOW)
    assert not budget.may_retry(Division(12, WINDOW - MS), timedelta(0))
    for _ in range(7):
        budget.on_request(timedelta(0))
    assert budget.may_retry(Division(12, WINDOW - MS), timedelta(0))


def test_record_lease_has_an_age_from_its_first_confirmation_until_the_last_is_too_old():
    lease = RecordLease()
    assert lease.age(WINDOW) == timedelta(0)
    lease.confirm(0 * MS, 20 * MS)
    lease.confirm(1500 * MS, 1520 * MS)
    assert lease.age(WINDOW) == WINDOW - 20 * MS
    last = 1500 * MS + LAPSED_SHARE_TIME
    assert lease.age(last) == last - 20 * MS
    assert lease.age(last + MS) == timedelta(0)
    lease.confirm(last + WINDOW, last + WINDOW)
    assert lease.age(last + WINDOW + MS) == MS


class FleetEntry:
    """One process of an entry that retries whenever its budget allows it."""

    def __init__(self, name: str, now: timedelta) -> None:
        self.name = name
        self.table = EntryTable(_record(name), LAPSED_SHARE_TIME + WINDOW)
        self.lease = RecordLease()
        self.budget = RetryBudget(0.2, 60, WINDOW)
        self.started_at = now
        self.cut_off = False


class Fleet:
    """Entries that share a retry budget, and the records that the store holds of them."""

    STEP = 100 * MS
    REQUEST_INTERVAL = 500 * MS

    def __init__(self, size: int) -> None:
        self.now = timedelta(0)
        self.names = [f"e-{number}" for number in range(size)]
        self.entries: dict[str, FleetEntry] = {}
        self.renewed_at: dict[str, timedelta] = {}
        self.requests: list[timedelta] = []
        self.retries: list[timedelta] = []
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.entries[name] = FleetEntry(name, self.now)

    def kill(self, name: str) -> None:
        self.entries.pop(name, None)

    def run(self, duration: timedelta) -> None:
        end = self.now + duration
        while self.now < end:
            self.now += self.STEP
            for entry in self.entries.values():
                if not entry.cut_off:
                    self._renew(entry)
            for entry in self.entries.values():
                self._send(entry)

    def _renew(self, entry: FleetEntry) -> None:
        if (self.now - entry.started_at) % (1500 * MS) == self.STEP:
            self.renewed_at[entry.name] = self.now
            entry.lease.confirm(self.now, self.now)
        recorded = {name for name, at in self.renewed_at.items() if self.now - at < TTL}
        for name in recorded:
            entry.table.add(_record(name), self.now)
        entry.table.withdraw_unlisted(recorded, self.now)

    def _send(self, entry: FleetEntry) -> None:
        if self.now % self.REQUEST_INTERVAL == timedelta(0):
            entry.budget.on_request(self.now)
            self.requests.append(self.now)
        division = Division(entry.table.recent_count(self.now), entry.lease.age(self.now))
        while entry.budget.may_retry(division, self.now):
            entry.budget.spend(self.now)
            self.retries.append(self.now)

    def excess(self) -> float:
        """Return by how much the retries exceed the budget in the worst window."""
        return max(self._excess_from(start) for start in set(self.retries))

    def _excess_from(self, start: timedelta) -> float:
        begins = (start, start - WINDOW / 2, start - WINDOW)
        requests = max(
            sum(begin <= at < begin + WINDOW for at in self.requests) for begin in begins
        )
        retries = sum(start <= at < start + WINDOW for at in self.retries)
        return retries - 0.2 * requests - 60


@pytest.mark.parametrize("down", [300 * MS, 3500 * MS])
@pytest.mark.parametrize("seed", range(4))
def test_entries_that_restart_together_stay_within_the_retry_budget(seed, down):
    rng, fleet = random.Random(seed), Fleet(12)
    fleet.run(15_000 * MS)
    for _ in range(6):
        killed = rng.sample(fleet.names, rng.choice([6, 12]))
        for name in killed:
            fleet.kill(name)
        fleet.run(down)
        for name in killed:
            fleet.start(name)
        fleet.run(rng.randrange(5, 40) * 100 * MS)
    fleet.run(15_000 * MS)
    assert fleet.retries
    assert fleet.excess() <= 0


@pytest.mark.parametrize("cut_off", [1, 4, 11])
def test_entries_whose_records_lapse_while_they_serve_stay_within_the_retry_budget(cut_off):
    fleet = Fleet(12)
    fleet.run(30_000 * MS)
    assert fleet.excess() <= 0
    fleet.retries.clear()
    for name in fleet.names[:cut_off]:
        fleet.entries[name].cut_off = True
    fleet.run(40_000 * MS)
    for name in fleet.names[:cut_off]:
        fleet.entries[name].cut_off = False
    fleet.run(15_000 * MS)
    assert fleet.excess() <= 0


def test_retries_expire_after_the_window():
    budget = RetryBudget(0.0, 2, WINDOW)
    budget.spend(timedelta(0))
    assert not budget.may_retry(Division(1, WINDOW), WINDOW)
    assert budget.may_retry(Division(1, WINDOW), WINDOW + MS)


def _record(name: str) -> EntryRecord:
    return EntryRecord(name, f"{name}:1", "a", "east")


def _table(*names: str) -> EntryTable:
    table = EntryTable(_record("own"), WINDOW)
    for name in names:
        table.add(_record(name), timedelta(0))
    return table


def test_a_removed_entry_counts_as_long_as_its_share_may_be_in_use():
    table = _table("own", "b", "c")
    assert table.recent_count(timedelta(0)) == 3
    table.withdraw("c", 20_000 * MS)
    assert table.recent_count(20_000 * MS + WINDOW) == 3
    assert table.recent_count(20_001 * MS + WINDOW) == 2


def test_the_own_entry_counts_before_it_is_recorded():
    assert _table().recent_count(timedelta(0)) == 1
    assert _table("b").recent_count(timedelta(0)) == 2


def test_the_own_entry_is_listed_only_on_request():
    table = _table("own", "b")
    assert [record.name for record in table.records(with_own=False)] == ["b"]
    assert [record.name for record in table.records(with_own=True)] == ["b", "own"]


def test_records_lost_with_the_store_are_kept_until_the_return_time():
    table = _table("b", "c")
    table.start_grace_period(timedelta(0))
    assert table.withdraw_unlisted(set(), timedelta(0)) == []
    table.add(_record("b"), 1000 * MS)
    assert table.tick(RENEWAL_GRACE) == ["c"]
    assert [record.name for record in table.records(with_own=False)] == ["b"]
