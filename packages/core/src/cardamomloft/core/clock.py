"""Clocks: the only source of time that the decision code sees.

A monotonic instant is the :class:`~datetime.timedelta` since an origin that differs from process to
process, so instants of two processes cannot be compared. Wall-clock instants are aware UTC
datetimes.

Elapsed time is read from ``CLOCK_BOOTTIME``. Unlike the wall clock it is never adjusted, and unlike
``CLOCK_MONOTONIC`` it advances while the VM is suspended. After a suspension, the age of all data
includes its length, and timers that expired during it are due at once.
"""

import time
import typing as t
from datetime import UTC, datetime, timedelta


class Clock(t.Protocol):
    """The source of time that is passed to decision code."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never goes back."""
        ...

    def utcnow(self) -> datetime:
        """Return the wall-clock time in UTC; it may jump."""
        ...


def elapsed_seconds() -> float:
    """Return the time since the VM's start, suspensions included, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """The machine's clocks."""

    def monotonic(self) -> timedelta:
        """Return the time since the VM's start."""
        return timedelta(microseconds=time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)

    def utcnow(self) -> datetime:
        """Return the machine's wall-clock time."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that moves only by `advance`, for tests and replayed sessions.

    Parameters
    ----------
    start
        The wall-clock time at the monotonic origin.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta(0)

    def monotonic(self) -> timedelta:
        """Return the time advanced so far."""
        return self._elapsed

    def utcnow(self) -> datetime:
        """Return the start plus the time advanced so far."""
        return self._start + self._elapsed

    def advance(self, step: timedelta) -> None:
        """Move both clocks forward by `step`, which must not be negative."""
        if step < timedelta(0):
            raise ValueError(f"a monotonic clock cannot go back: step of {step}")
        self._elapsed += step
