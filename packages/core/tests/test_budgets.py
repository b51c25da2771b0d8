"""Budgets that hold over all entries together."""

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
def test_repeats_of_all_entries_stay_within_the_budget_in_every_window(entries, seed):
    rng = random.Random(seed)
    budgets = [RetryBudget(0.2, 60, WINDOW) for _ in range(entries)]
    requests, repeats = [], []
    for step in range(3000):
        now = step * 10 * MS
        budget = rng.choice(budgets)
        budget.on_request(now)
        requests.append(now)
        while budget.may_retry(entries, now) and rng.random() < 0.9:
            budget.spend(now)
            repeats.append(now)
    assert repeats
    for start in repeats[::50]:
        asked = sum(1 for at in requests if start <= at < start + WINDOW)
        again = sum(1 for at in repeats if start <= at < start + WINDOW)
        assert again <= 0.2 * max(asked, 1000) + 60


def test_a_new_entry_has_only_its_part_of_the_slack():
    budget = RetryBudget(0.2, 60, WINDOW)
    spent = 0
    while budget.may_retry(12, timedelta(0)):
        budget.spend(timedelta(0))
        spent += 1
    assert spent == 4


def test_repeats_are_forgotten_after_the_window():
    budget = RetryBudget(0.0, 2, WINDOW)
    budget.spend(timedelta(0))
    assert not budget.may_retry(1, WINDOW)
    assert budget.may_retry(1, WINDOW + MS)


def _record(name: str) -> EntryRecord:
    return EntryRecord(name, f"{name}:1", "a", "east")


def _book(*names: str) -> EntryTable:
    book = EntryTable(_record("own"), WINDOW)
    for name in names:
        book.add(_record(name), timedelta(0))
    return book


def test_an_entry_that_went_still_counts_while_its_part_may_be_spent():
    book = _book("own", "b", "c")
    assert book.max_recent_count(timedelta(0)) == 3
    book.withdraw("c", 20_000 * MS)
    assert book.max_recent_count(20_000 * MS + WINDOW) == 3
    assert book.max_recent_count(20_001 * MS + WINDOW) == 2


def test_the_own_entry_counts_before_it_is_recorded():
    assert _book().max_recent_count(timedelta(0)) == 1
    assert _book("b").max_recent_count(timedelta(0)) == 2


def test_the_own_entry_is_named_only_if_it_may_be():
    book = _book("own", "b")
    assert [record.name for record in book.records(with_own=False)] == ["b"]
    assert [record.name for record in book.records(with_own=True)] == ["b", "own"]


def test_records_that_lapsed_with_the_store_may_come_back():
    book = _book("b", "c")
    book.start_grace_period(timedelta(0))
    assert book.withdraw_unlisted(set(), timedelta(0)) == []
    book.add(_record("b"), 1000 * MS)
    assert book.tick(RENEWAL_GRACE) == ["c"]
    assert [record.name for record in book.records(with_own=False)] == ["b"]
