"""Detection of late periodic tasks and of steps of the wall clock."""

import typing as t
from datetime import datetime, timedelta

from cardamomloft.core.clock import Clock

REPORT_THRESHOLD = timedelta(milliseconds=500)
"""Minimum lateness or clock step that is reported; well below the smallest promised bound, 2 s."""


RESUMED_TIME = timedelta(milliseconds=100)
"""Time after a late check in which what is handled may have happened before it: a process that
continues handles timers, signals and connections in any order."""


class ClockAnomaly(t.NamedTuple):
    """An anomaly between two checks.

    Attributes
    ----------
    late
        How long after its due time the check ran, by the monotonic clock.
    stepped
        How much further than the monotonic clock the wall clock moved; negative if it went back.
    """

    late: timedelta
    stepped: timedelta


class ClockMonitor:
    """Compares the monotonic clock and the wall clock at each periodic check.

    Lateness with a step of the same size means that timers follow the wall clock. Lateness without
    a step means that the process was paused or its event loop blocked. A step alone is harmless.

    Parameters
    ----------
    clock
        Source of both times.
    interval
        Time between two checks.
    """

    def __init__(self, clock: Clock, interval: timedelta) -> None:
        self._clock = clock
        self._interval = interval
        self._last_check: tuple[timedelta, datetime] | None = None
        self._paused_since: timedelta | None = None
        self._resumed_at = timedelta(0)

    def check(self) -> ClockAnomaly | None:
        """Return the anomaly since the last check, or None if there was none worth reporting."""
        now, wall = self._clock.monotonic(), self._clock.utcnow()
        last, self._last_check = self._last_check, (now, wall)
        if last is None:
            return None
        elapsed = now - last[0]
        if elapsed - self._interval >= REPORT_THRESHOLD:
            self._paused_since, self._resumed_at = last[0], now
        found = ClockAnomaly(elapsed - self._interval, (wall - last[1]) - elapsed)
        return (
            found
            if found.late >= REPORT_THRESHOLD or abs(found.stepped) >= REPORT_THRESHOLD
            else None
        )

    def last_running(self) -> timedelta:
        """Return now, or the time of the last check if the next one is overdue or was just late.

        The process has run until then; afterwards it may have been paused without noticing.
        """
        now = self._clock.monotonic()
        if self._paused_since is not None and now - self._resumed_at <= RESUMED_TIME:
            return self._paused_since
        if self._last_check is None or now - self._last_check[0] <= self._interval:
            return now
        return self._last_check[0]
