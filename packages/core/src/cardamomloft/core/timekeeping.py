"""Whether repeated work comes when it is due, and what the time of day does meanwhile."""

import typing as t
from datetime import datetime, timedelta

from cardamomloft.core.clock import Clock

NOTABLE = timedelta(milliseconds=500)
"""Lateness or step from which it is told: both below it pass without harm to any bound, of which
the smallest promised is 2 s."""


class Irregularity(t.NamedTuple):
    """What was irregular between two looks.

    Attributes
    ----------
    late
        How much later than due the look came, on the monotonic clock.
    stepped
        How much further than the monotonic clock the time of day moved; negative if it went back.
    """

    late: timedelta
    stepped: timedelta


class ClockMonitor:
    """Compares the clocks at each look.

    Late with a step of the same width: timers follow the time of day. Late without a step: the
    process stood still, or its loop was blocked. A step alone is harmless.

    Parameters
    ----------
    clock
        Both clocks.
    interval
        When the next look is due.
    """

    def __init__(self, clock: Clock, interval: timedelta) -> None:
        self._clock = clock
        self._interval = interval
        self._last: tuple[timedelta, datetime] | None = None

    def check(self) -> Irregularity | None:
        """Return what was notable since the last look, if anything."""
        now, wall = self._clock.monotonic(), self._clock.utcnow()
        last, self._last = self._last, (now, wall)
        if last is None:
            return None
        elapsed = now - last[0]
        found = Irregularity(elapsed - self._interval, (wall - last[1]) - elapsed)
        return found if found.late >= NOTABLE or abs(found.stepped) >= NOTABLE else None
