"""Pacing of bytes over links: a token bucket per RATE limit, fed by this entry's share of it.

The bucket fills at the rate that is this entry's at each moment and holds at most that rate times
``BURST``. A piece may be sent while the bucket is not in debt, and is charged in whole. Since the
shares of all entries add up to at most the capacity at any time, all entries together send within
any window at most ``capacity * (window + BURST)`` bytes and one piece each.
"""

from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.shares import Shares

BURST = timedelta(milliseconds=100)
"""How long a bucket fills at its rate until it is full."""

RETRY = timedelta(milliseconds=50)
"""When to ask again while this entry has no share of the limit."""

IDLE = timedelta(milliseconds=200)
"""After what time without a reservation no more rate is wanted."""

METER_WINDOW = timedelta(milliseconds=200)
"""Over what time the rate in use is measured."""

_ZERO = timedelta(0)
_SECOND = timedelta(seconds=1)


class _Bucket:
    __slots__ = ("asked_at", "at", "level", "metered", "metered_at", "rate", "wants")

    def __init__(self, now: timedelta) -> None:
        self.level = 0.0
        self.rate = 0
        self.at = now
        self.asked_at = now
        self.metered = 0
        self.metered_at = now
        self.wants = False


class Pacer:
    """Tells senders when they may send.

    It takes over the `before_rate_change` hook of `shares`.
    """

    def __init__(self, shares: Shares, clock: Clock) -> None:
        self._shares = shares
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        shares.before_rate_change = self._on_change

    def reserve(self, key: str, nbytes: int) -> timedelta:
        """Charge a piece and return zero, or charge nothing and return when to ask again.

        Parameters
        ----------
        key
            A RATE limit.
        nbytes
            The size of the piece, best 64 KiB or less: the next one waits until it is paid.
        """
        now = self._clock.monotonic()
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(now)
        self._fill(key, bucket, now)
        bucket.asked_at = now
        if bucket.rate and bucket.level >= 0:
            bucket.level -= nbytes
            bucket.metered += nbytes
            return _ZERO
        self._want(key, bucket)
        if not bucket.rate:
            return RETRY
        return max(_SECOND * (-bucket.level / bucket.rate), timedelta.resolution)

    def _on_change(self, key: str) -> None:
        """Count what has come in at the present rate; called before it changes, and often."""
        bucket = self._buckets.get(key)
        if bucket is None:
            return
        now = self._clock.monotonic()
        self._fill(key, bucket, now)
        if bucket.wants and now - bucket.asked_at >= IDLE:
            bucket.wants = False
            self._shares.want(key, 0)

    def _fill(self, key: str, bucket: _Bucket, now: timedelta) -> None:
        for span, rate in self._shares.rates(key, bucket.at):
            full = rate * (BURST / _SECOND)
            bucket.level = min(bucket.level + rate * (span / _SECOND), full)
            bucket.rate = rate
        bucket.at = now
        if now - bucket.metered_at >= METER_WINDOW:
            rate = bucket.metered / ((now - bucket.metered_at) / _SECOND)
            self._shares.observe(key, int(rate))
            bucket.metered = 0
            bucket.metered_at = now

    def _want(self, key: str, bucket: _Bucket) -> None:
        """Ask for as much again as there is: a sender that has to wait shows no other measure."""
        bucket.wants = True
        self._shares.want(key, max(bucket.rate, 1))
