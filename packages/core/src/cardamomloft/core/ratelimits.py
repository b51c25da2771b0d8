"""Rate limits that upstream endpoints state for all entries together.

The limit of an endpoint is divided among the entries as token buckets. At most as many entries send
to it as it takes requests in a second, so that the bursts of all buckets stay small beside the
limit. All entries learn of a limit by notices, since few of them receive answers of that endpoint.
"""

from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.budgets import DIVIDED_FRACTION, Division
from cardamomloft.core.notices import RATE_LIMIT_RETENTION, UpstreamRateLimit
from cardamomloft.core.registrations import UpstreamIncarnation

REFRESH_INTERVAL = RATE_LIMIT_RETENTION / 2
"""Age at which a limit that is still stated is published again."""

_SECOND = timedelta(seconds=1)


def entry_rate(per_s: float, division: Division, rank: int) -> float:
    """Return the requests per second that one entry may send to an endpoint.

    Parameters
    ----------
    per_s
        The endpoint's limit in requests per second, over all entries.
    division
        How limits are divided.
    rank
        This entry's rank for the endpoint, from 0. Only the lowest ranks get a rate.
    """
    holders = max(1, min(division.entries, int(per_s)))
    if rank >= holders or not division.share(_SECOND):
        return 0.0
    return DIVIDED_FRACTION * per_s / holders


class _Limit:
    """The limit of one endpoint, with this entry's tokens for it."""

    def __init__(self, notice: UpstreamRateLimit, at: timedelta, now: timedelta) -> None:
        self.notice = notice
        self.at = at
        self.learned_at = now
        self.tokens = 0.0
        self.refilled_at = now

    def refill(self, rate: float, now: timedelta) -> None:
        added = rate * ((now - self.refilled_at) / _SECOND)
        self.tokens = min(max(1.0, rate), self.tokens + added)
        self.refilled_at = now


class RateLimits:
    """The limits that endpoints have stated, and what this entry may still send to them."""

    def __init__(self) -> None:
        self._limits: dict[UpstreamIncarnation, _Limit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def limit_of(self, incarnation: UpstreamIncarnation) -> float | None:
        """Return the requests per second that an endpoint takes, None without a limit."""
        limit = self._limits.get(incarnation)
        return None if limit is None else limit.notice.per_s

    def wait(
        self,
        incarnation: UpstreamIncarnation,
        division: Division,
        rank: Callable[[], int],
        now: timedelta,
    ) -> timedelta:
        """Return the time until this entry may send a request; `timedelta.max` if it has no share.

        `rank` is called only for an endpoint with a limit.
        """
        limit = self._limits.get(incarnation)
        if limit is None or limit.notice.per_s is None:
            return timedelta(0)
        rate = entry_rate(limit.notice.per_s, division, rank())
        limit.refill(rate, now)
        if limit.tokens >= 1:
            return timedelta(0)
        return (1 - limit.tokens) / rate * _SECOND if rate else timedelta.max

    def record_sent(self, incarnation: UpstreamIncarnation) -> None:
        """Record that a request is sent to an endpoint."""
        limit = self._limits.get(incarnation)
        if limit is not None and limit.notice.per_s is not None:
            limit.tokens -= 1

    def observe(
        self,
        incarnation: UpstreamIncarnation,
        per_s: float | None,
        sent_at: timedelta,
        now: timedelta,
    ) -> UpstreamRateLimit | None:
        """Return the notice to publish after an answer, None if it states nothing new.

        Parameters
        ----------
        incarnation
            The endpoint that answered.
        per_s
            The limit that the answer states, None if it states none.
        sent_at
            When the request was sent. An answer to a request sent before the latest notice arrived
            may be older than that notice.
        now
            Monotonic instant.
        """
        limit = self._limits.get(incarnation)
        if limit is None:
            return None if per_s is None else UpstreamRateLimit(*incarnation, 1, per_s)
        if sent_at < limit.learned_at:
            return None
        if per_s == limit.notice.per_s and (per_s is None or now - limit.at < REFRESH_INTERVAL):
            return None
        return UpstreamRateLimit(*incarnation, limit.notice.serial + 1, per_s)

    def apply(self, notice: UpstreamRateLimit, at: timedelta, now: timedelta) -> bool:
        """Apply a notice issued at the instant `at`; return whether the limit has changed."""
        incarnation = UpstreamIncarnation(notice.id, notice.started_ms)
        limit = self._limits.get(incarnation)
        if limit is not None and limit.notice.rank >= notice.rank:
            return False
        before = self.limit_of(incarnation)
        if limit is None or before is None:
            self._limits[incarnation] = _Limit(notice, at, now)
        else:
            limit.notice, limit.at, limit.learned_at = notice, at, now
        return notice.per_s != before

    def expire(self, now: timedelta) -> None:
        """Discard limits that were not stated again for too long; call it periodically."""
        for incarnation, limit in list(self._limits.items()):
            if now - limit.at > RATE_LIMIT_RETENTION:
                del self._limits[incarnation]
