"""Which requests would outlast a stop, by the times of those before."""

from datetime import timedelta

import pytest
from cardamomloft.core.stops.answertimes import PERIOD, AnswerTimes

SECOND = timedelta(seconds=1)
NOW = 100 * SECOND
END = NOW + 5 * SECOND
FAR = NOW + 9 * SECOND


@pytest.fixture
def times():
    return AnswerTimes()


def outlasts(times, now=NOW, deadline=FAR, rule="menus"):
    return times.may_outlast(rule, now, deadline, END)


def test_request_whose_deadline_is_before_the_end_never_outlasts_it(times):
    times.record("menus", 60 * SECOND, NOW)
    assert not outlasts(times, deadline=END)
    assert outlasts(times)


def test_request_of_a_rule_that_was_never_answered_may_outlast_the_end(times):
    times.record("orders", SECOND, NOW)
    assert outlasts(times) and not outlasts(times, rule="orders")


def test_longest_time_decides(times):
    for seconds in (3, 1):
        times.record("menus", seconds * SECOND, NOW)
    assert not outlasts(times, END - 3 * SECOND)
    assert outlasts(times, END - 3 * SECOND + timedelta(milliseconds=1))


@pytest.mark.parametrize(("age", "longest"), [(0.5, 1), (1.5, 1.5), (2, 2), (2.5, 5), (4, 8)])
def test_oldest_request_in_progress_tells_that_requests_have_become_slow(times, age, longest):
    times.record("menus", SECOND, NOW)
    with times.sending("menus", NOW - age * SECOND), times.sending("menus", NOW):
        assert times.longest("menus", NOW) == longest * SECOND
    assert times.longest("menus", NOW) == SECOND


def test_time_counts_for_one_to_two_periods_and_until_there_is_another(times):
    times.record("menus", 4 * SECOND, NOW)
    later = NOW + PERIOD + SECOND
    assert times.longest("menus", later + 9 * PERIOD) == 4 * SECOND
    times.record("menus", SECOND, later)
    assert times.longest("menus", later) == 4 * SECOND
    times.record("menus", SECOND, later + PERIOD + SECOND)
    assert times.longest("menus", later + PERIOD + SECOND) == SECOND


def test_rules_that_are_gone_are_forgotten_once_nothing_is_in_progress(times):
    times.record("menus", SECOND, NOW)
    with times.sending("menus", NOW):
        times.retain({"orders"})
        assert times.longest("menus", NOW) == SECOND
    times.retain({"orders"})
    assert times.longest("menus", NOW) is None
