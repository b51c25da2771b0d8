"""Which late timers and steps of the wall clock are reported."""

from datetime import UTC, datetime, timedelta

import pytest
from cardamomloft.core.timekeeping import REPORT_THRESHOLD, RESUMED_TIME, ClockAnomaly, ClockMonitor

MS = timedelta(milliseconds=1)
INTERVAL = 200 * MS


class TwoClocks:
    def __init__(self) -> None:
        self.elapsed = timedelta(0)
        self.wall = datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> timedelta:
        return self.elapsed

    def utcnow(self) -> datetime:
        return self.wall

    def advance(self, elapsed: timedelta, step: timedelta = timedelta(0)) -> None:
        self.elapsed += elapsed
        self.wall += elapsed + step


def check_after(elapsed, step=timedelta(0)):
    clocks = TwoClocks()
    monitor = ClockMonitor(clocks, INTERVAL)
    assert monitor.check() is None
    clocks.advance(elapsed, step)
    return monitor.check()


def test_a_check_in_time_reports_nothing():
    assert check_after(INTERVAL + 20 * MS) is None


@pytest.mark.parametrize("step", [-6000 * MS, 6000 * MS])
def test_a_step_of_the_wall_clock_is_reported_with_its_direction(step):
    assert check_after(INTERVAL, step) == ClockAnomaly(timedelta(0), step)


def test_timers_that_follow_the_wall_clock_are_late_by_the_step():
    found = check_after(6200 * MS, -6000 * MS)
    assert found == ClockAnomaly(6000 * MS, -6000 * MS)


def test_a_paused_process_is_late_without_a_step():
    assert check_after(3200 * MS) == ClockAnomaly(3000 * MS, timedelta(0))


def test_anomalies_below_the_threshold_are_not_reported():
    assert check_after(INTERVAL + REPORT_THRESHOLD) is not None
    assert check_after(INTERVAL + REPORT_THRESHOLD - MS) is None
    assert check_after(INTERVAL, REPORT_THRESHOLD - MS) is None


@pytest.mark.parametrize(
    ("elapsed", "known"), [(150 * MS, 150 * MS), (INTERVAL, INTERVAL), (900 * MS, 0 * MS)]
)
def test_process_is_known_to_have_run_until_its_last_check_if_the_next_is_overdue(elapsed, known):
    clocks = TwoClocks()
    monitor = ClockMonitor(clocks, INTERVAL)
    monitor.check()
    clocks.advance(elapsed)
    assert monitor.last_running() == known


def test_process_that_was_paused_may_have_been_signalled_before_its_late_check():
    """Guards against a stop that counts from the end of a pause, though the signal came in it."""
    clocks = TwoClocks()
    monitor = ClockMonitor(clocks, INTERVAL)
    monitor.check()
    began = clocks.elapsed
    clocks.advance(3000 * MS)
    monitor.check()
    assert monitor.last_running() == began
    clocks.advance(RESUMED_TIME + MS)
    assert monitor.last_running() == clocks.elapsed
