"""Retries only where harmless, and few."""

import itertools
from datetime import timedelta

import pytest
from cardamomloft.core.retries import RetryBudget, may_retry

LONG, SHORT = timedelta(seconds=1), timedelta(milliseconds=10)


def check_at_most_once(decide):
    """Fail if a request that may have run, and must not run twice, would be sent again."""
    for attempts, left in itertools.product((0, 1, 4), (-LONG, SHORT, LONG)):
        assert not decide(False, False, attempts, left, SHORT)


def test_nothing_that_may_have_run_is_sent_again_unless_idempotent():
    check_at_most_once(may_retry)
    for idempotent, not_run in ((True, False), (False, True), (True, True)):
        assert may_retry(idempotent, not_run, 1, LONG, SHORT)
        assert not may_retry(idempotent, not_run, 0, LONG, SHORT)
        assert not may_retry(idempotent, not_run, 1, SHORT, LONG)
        assert not may_retry(idempotent, not_run, 1, timedelta(0), timedelta(0))


def test_check_catches_a_retry_after_sending():
    with pytest.raises(AssertionError):
        check_at_most_once(lambda idempotent, not_run, left, *_: left > 0)


@pytest.mark.parametrize(("percent", "most"), [(0, 0), (10, 110), (50, 510)])
def test_retries_stay_within_their_part_of_requests(percent, most):
    budget, retries = RetryBudget(percent), 0
    for _ in range(1000):
        budget.on_request()
        retries += budget.try_retry()
        retries += budget.try_retry()
    assert retries in (most - 1, most) if percent else retries == 0


def test_a_quiet_time_saves_up_no_more_than_the_burst():
    budget = RetryBudget(20, burst=5)
    for _ in range(10_000):
        budget.on_request()
    assert sum(budget.try_retry() for _ in range(100)) == 5
