"""Prediction of when a waiting request is sent and answered, from the requests that ended."""

import math
import typing as t
from datetime import timedelta

RATE_TIME = timedelta(seconds=2)
"""Time constant of the observed rates. At five requests a second a shorter one would leave fewer
than ten requests to count."""

MIN_OBSERVED_TIME = timedelta(milliseconds=250)
"""Minimum time of observation by which a count is divided; less gives rates far too high."""

MIN_RATE_FRACTION = 0.1
"""Minimum fraction of the rate that a priority is assumed to get. While there was no overload, more
urgent requests may have been all that was sent, although there was capacity for others."""

DURATION_WEIGHT = 1 / 8
"""Weight of the newest duration in the moving average."""

MIN_MARGIN = 1.5
MAX_MARGIN = 20.0
MARGIN_AFTER_REFUSAL = 1.25
MARGIN_AFTER_SEND = 0.995
"""The predicted wait is multiplied by a margin, which grows by `MARGIN_AFTER_REFUSAL` when a held
request is refused and shrinks by `MARGIN_AFTER_SEND` when one is sent. The two balance at one
refusal in 45 sends. Below `MIN_MARGIN` the margin would oscillate: the queue is filled to the limit
of the prediction, and callers that return then pass many requests at once. Each priority has its
own margin, since more urgent requests make the wait of others uncertain. So have requests whose
answers will be late, as they need a free slot."""

INITIAL_MARGIN = 2.0
"""Margin of a new process. From 1 it would be learned by refusing about five held requests of each
priority at each gateway."""

_SECOND = timedelta(seconds=1)


class SpareRate(t.NamedTuple):
    """Requests per second that end, without the `urgent_per_s` that more urgent requests use."""

    per_s: float
    urgent_per_s: float


class DecayedRate:
    """Rate of events, with exponential decay.

    Parameters
    ----------
    now
        Monotonic instant from which events are counted.
    """

    __slots__ = ("_at", "_count", "_since")

    def __init__(self, now: timedelta) -> None:
        self._since = self._at = now
        self._count = 0.0

    def record(self, now: timedelta) -> None:
        """Count one event."""
        self._count = self._count * math.exp((self._at - now) / RATE_TIME) + 1
        self._at = max(now, self._at)

    def per_s(self, now: timedelta) -> float:
        """Return the number of events per second."""
        observed = max(now - self._since, MIN_OBSERVED_TIME)
        counted = self._count * math.exp((self._at - now) / RATE_TIME)
        return counted / (RATE_TIME / _SECOND * (1 - math.exp(-observed / RATE_TIME)))


class CompletionEstimate:
    """Predicts waiting times of one service from this gateway's requests that ended."""

    def __init__(self) -> None:
        self._ended: DecayedRate | None = None
        self._sent: dict[int, DecayedRate] = {}
        self._duration: timedelta | None = None
        self._margins: dict[tuple[int, bool], float] = {}

    def record_sent(self, priority: int, now: timedelta) -> None:
        """Count a request that was sent."""
        if priority not in self._sent:
            self._sent[priority] = DecayedRate(now)
        self._sent[priority].record(now)

    def record_answer(self, duration: timedelta, now: timedelta) -> None:
        """Count a request that was answered `duration` after it was sent."""
        if self._ended is None:
            self._ended = DecayedRate(now - duration)
        self._ended.record(now)
        if self._duration is None:
            self._duration = duration
        else:
            self._duration += (duration - self._duration) * DURATION_WEIGHT

    def record_held(self, priority: int, *, late: bool, sent: bool) -> None:
        """Adapt the margin after a held request was sent or refused."""
        factor = MARGIN_AFTER_SEND if sent else MARGIN_AFTER_REFUSAL
        margin = self.margin(priority, late=late) * factor
        self._margins[priority, late] = min(max(margin, MIN_MARGIN), MAX_MARGIN)

    def margin(self, priority: int, *, late: bool) -> float:
        """Return the factor for the predicted wait of a request that asks to be admitted.

        `late` is set if its answer is expected to be late.
        """
        return self._margins.get((priority, late), INITIAL_MARGIN)

    def duration(self, assumed: timedelta) -> timedelta:
        """Return the mean time from sending to the answer, `assumed` before the first answer."""
        return assumed if self._duration is None else self._duration

    def rate(self, priority: int, now: timedelta) -> float | None:
        """Return the requests per second that are left for a priority; None if not known.

        These are the completions without those that more urgent requests use.
        """
        if self._ended is None:
            return None
        total = self._ended.per_s(now)
        return max(total - self._urgent_rate(priority, now), MIN_RATE_FRACTION * total)

    def spare_rate(self, priority: int, assumed: timedelta, now: timedelta) -> SpareRate:
        """Return the rate that is left for a priority, without a minimum.

        Before the first answer, one request is assumed to end in each `assumed`.
        """
        if self._ended is None:
            return SpareRate(_SECOND / max(assumed, timedelta(milliseconds=1)), 0.0)
        urgent = self._urgent_rate(priority, now)
        return SpareRate(max(self._ended.per_s(now) - urgent, 0.0), urgent)

    def _urgent_rate(self, priority: int, now: timedelta) -> float:
        return sum(sent.per_s(now) for other, sent in self._sent.items() if other < priority)

    def wait(
        self, ahead: int, priority: int, assumed: timedelta, now: timedelta
    ) -> timedelta | None:
        """Return the time until a request is sent that has `ahead` others before it.

        None means that no end is in sight. Before the first answer, one request is assumed to be
        sent in each `assumed`.
        """
        rate = self.rate(priority, now)
        if rate is None:
            return (ahead + 1) * assumed
        if rate <= 1e-3:
            return None
        return (ahead + 1) / rate * _SECOND
