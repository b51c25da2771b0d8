"""Clocks: the only source of time that the decision code sees.

Monotonic instants are :class:`~datetime.timedelta` since an origin that differs from process to
process, so two processes can never compare them; wall-clock instants are aware UTC datetimes.
"""

import time
import typing as t
from datetime import UTC, datetime, timedelta


class Clock(t.Protocol):
    """What decision code may ask about time."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never goes back."""
        ...

    def utcnow(self) -> datetime:
        """Return the wall-clock time in UTC; it may jump."""
        ...


class SystemClock:
    """The machine's clocks."""

    def monotonic(self) -> timedelta:
        """Return the time since boot or another arbitrary origin."""
        return timedelta(microseconds=time.monotonic_ns() // 1000)

    def utcnow(self) -> datetime:
        """Return the machine's wall-clock time."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that moves only when told to, for tests and replayed sessions.

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
            raise ValueError("a monotonic clock cannot go back")
        self._elapsed += step
