"""The phases of a stop end in time, and none of them ends what is being served too early."""

from datetime import timedelta

import pytest
from cardamomloft.runtime.stopplan import StopSignal, plan_stop

SECOND = timedelta(seconds=1)

STOP_TIMES = [2 * SECOND, 6 * SECOND, 10 * SECOND, 60 * SECOND]


@pytest.mark.parametrize("stop_time", STOP_TIMES)
def test_new_requests_are_served_for_at_most_three_seconds(stop_time):
    assert plan_stop(StopSignal(SECOND, SECOND), stop_time).admit_until - SECOND <= 3 * SECOND


@pytest.mark.parametrize("stop_time", STOP_TIMES)
def test_phases_follow_each_other_and_the_last_sixth_ends_them(stop_time):
    plan = plan_stop(StopSignal(SECOND, SECOND), stop_time)
    assert SECOND < plan.admit_until < plan.answer_by < plan.end_at
    assert stop_time * 5 / 6 < plan.end_at - SECOND < stop_time


@pytest.mark.parametrize("late", [0.1 * SECOND, 0.4 * SECOND, SECOND, 2 * SECOND])
def test_whenever_the_signal_was_sent_nothing_is_accepted_late_or_cut_early(late):
    stop_time = 6 * SECOND
    plan = plan_stop(StopSignal(SECOND, SECOND + late), stop_time)
    for sent in (SECOND, SECOND + late / 2, SECOND + late):
        assert plan.admit_until - sent <= 3 * SECOND
        assert plan.end_at - sent >= stop_time * 5 / 6


@pytest.mark.parametrize("late", [0.1 * SECOND, 0.9 * SECOND])
def test_process_ends_before_it_is_killed_if_it_was_not_paused_for_long(late):
    stop_time = 6 * SECOND
    assert plan_stop(StopSignal(SECOND, SECOND + late), stop_time).end_at < SECOND + stop_time
