"""The phases of a stop end in time, and none of them ends what is being served too early."""

from datetime import timedelta

import pytest
from cardamomloft.runtime.stopplan import plan_stop

SECOND = timedelta(seconds=1)

STOP_TIMES = [2 * SECOND, 6 * SECOND, 10 * SECOND, 60 * SECOND]


@pytest.mark.parametrize("stop_time", STOP_TIMES)
def test_new_requests_are_served_for_at_most_three_seconds(stop_time):
    assert plan_stop(SECOND, stop_time).admit_until - SECOND <= 3 * SECOND


@pytest.mark.parametrize("stop_time", STOP_TIMES)
def test_phases_follow_each_other_and_the_last_sixth_ends_them(stop_time):
    plan = plan_stop(SECOND, stop_time)
    assert SECOND < plan.admit_until < plan.answer_by < plan.end_at
    assert stop_time * 5 / 6 < plan.end_at - SECOND < stop_time
