"""Retries happen only where they are safe, and within the budget."""

import itertools
from datetime import timedelta

import pytest
from cardamomloft.core.retries import (
    MAX_CONNECTIONS,
    MAX_SENDS,
    AttemptCounts,
    RetryBudget,
    may_retry,
)

LONG, SHORT = timedelta(seconds=1), timedelta(milliseconds=10)


def check_at_most_once(decide):
    """Fail if a non-idempotent request that may have run would be sent again."""
    for attempts, left in itertools.product((0, 1, 4), (-LONG, SHORT, LONG)):
        assert not decide(False, False, attempts, left, SHORT)


def test_a_request_that_may_have_run_is_retried_only_if_idempotent():
    check_at_most_once(may_retry)
    for idempotent, not_run in ((True, False), (False, True), (True, True)):
        assert may_retry(idempotent, not_run, 1, LONG, SHORT)
        assert not may_retry(idempotent, not_run, 0, LONG, SHORT)
        assert not may_retry(idempotent, not_run, 1, SHORT, LONG)
        assert not may_retry(idempotent, not_run, 1, timedelta(0), timedelta(0))


def test_the_check_detects_an_unsafe_retry():
    with pytest.raises(AssertionError):
        check_at_most_once(lambda idempotent, not_run, left, *_: left > 0)


@pytest.mark.parametrize(("percent", "max_retries"), [(0, 0), (10, 110), (50, 510)])
def test_retries_stay_within_their_percentage_of_requests(percent, max_retries):
    budget, retries = RetryBudget(percent), 0
    for _ in range(1000):
        budget.on_request()
        retries += budget.try_retry()
        retries += budget.try_retry()
    assert retries in (max_retries - 1, max_retries) if percent else retries == 0


def test_unused_retries_accumulate_up_to_the_burst_only():
    budget = RetryBudget(20, burst=5)
    for _ in range(10_000):
        budget.on_request()
    assert sum(budget.try_retry() for _ in range(100)) == 5


def test_attempts_at_other_entries_count_for_the_limit():
    counts = AttemptCounts(deliveries=1)
    counts.record_sent("u1")
    assert counts.left(3) == 1
    assert counts.tried == ["u1"]


def test_connections_that_fail_are_no_attempts_but_have_a_limit_of_their_own():
    counts = AttemptCounts()
    for number in range(MAX_CONNECTIONS):
        assert counts.left(2) > 0
        counts.record_sent(f"u{number}")
        counts.record_unsent(SHORT, unreachable=True)
    assert counts.deliveries == 0
    assert counts.left(2) == 0
    assert counts.unsent_time == MAX_CONNECTIONS * SHORT


def test_attempts_are_limited_whatever_the_rule_allows():
    counts = AttemptCounts()
    for number in range(MAX_SENDS):
        counts.record_sent(f"u{number}")
    assert counts.left(100) == 0


def test_attempt_that_sent_nothing_at_a_reachable_endpoint_still_counts_as_tried():
    counts = AttemptCounts()
    for number in range(MAX_SENDS):
        counts.record_sent(f"u{number}")
        counts.record_unsent(SHORT, unreachable=False)
    assert counts.deliveries == 0
    assert counts.left(2) == 0
    assert counts.unsent_time == timedelta(0)
