"""Retry budgets that hold over all entries together, and the entries that share them."""

import random
from datetime import timedelta

import pytest
from cardamomloft.core.budgets import RetryBudget
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.registrations import RENEWAL_GRACE, EntryRecord

MS = timedelta(milliseconds=1)
WINDOW = timedelta(seconds=10)


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
        while budget.may_retry(entries, now) and rng.random() < 0.9:
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
    while budget.may_retry(12, timedelta(0)):
        budget.spend(timedelta(0))
        spent += 1
    assert spent == 4


def test_retries_expire_after_the_window():
    budget = RetryBudget(0.0, 2, WINDOW)
    budget.spend(timedelta(0))
    assert not budget.may_retry(1, WINDOW)
    assert budget.may_retry(1, WINDOW + MS)


def _record(name: str) -> EntryRecord:
    return EntryRecord(name, f"{name}:1", "a", "east")


def _table(*names: str) -> EntryTable:
    table = EntryTable(_record("own"), WINDOW)
    for name in names:
        table.add(_record(name), timedelta(0))
    return table


def test_a_removed_entry_counts_as_long_as_its_share_may_be_in_use():
    table = _table("own", "b", "c")
    assert table.max_recent_count(timedelta(0)) == 3
    table.withdraw("c", 20_000 * MS)
    assert table.max_recent_count(20_000 * MS + WINDOW) == 3
    assert table.max_recent_count(20_001 * MS + WINDOW) == 2


def test_the_own_entry_counts_before_it_is_recorded():
    assert _table().max_recent_count(timedelta(0)) == 1
    assert _table("b").max_recent_count(timedelta(0)) == 2


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
