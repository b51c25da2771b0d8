"""What is told of late timers and of steps of the time of day."""

from datetime import UTC, datetime, timedelta

import pytest
from cardamomloft.core.timekeeping import NOTABLE, ClockMonitor, Irregularity

MS = timedelta(milliseconds=1)
INTERVAL = 200 * MS


class TwoClocks:
    def __init__(self) -> None:
        self.steady = timedelta(0)
        self.day = datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> timedelta:
        return self.steady

    def utcnow(self) -> datetime:
        return self.day

    def pass_by(self, steady: timedelta, step: timedelta = timedelta(0)) -> None:
        self.steady += steady
        self.day += steady + step


def look_after(steady, step=timedelta(0)):
    clocks = TwoClocks()
    keeper = ClockMonitor(clocks, INTERVAL)
    assert keeper.check() is None
    clocks.pass_by(steady, step)
    return keeper.check()


def test_a_look_in_time_tells_nothing():
    assert look_after(INTERVAL + 20 * MS) is None


@pytest.mark.parametrize("step", [-6000 * MS, 6000 * MS])
def test_a_step_of_the_time_of_day_is_told_with_its_direction(step):
    assert look_after(INTERVAL, step) == Irregularity(timedelta(0), step)


def test_timers_that_follow_the_time_of_day_are_late_by_the_step():
    found = look_after(6200 * MS, -6000 * MS)
    assert found == Irregularity(6000 * MS, -6000 * MS)


def test_a_process_that_stood_still_is_late_without_a_step():
    assert look_after(3200 * MS) == Irregularity(3000 * MS, timedelta(0))


def test_the_least_that_is_told():
    assert look_after(INTERVAL + NOTABLE) is not None
    assert look_after(INTERVAL + NOTABLE - MS) is None
    assert look_after(INTERVAL, NOTABLE - MS) is None
