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

MIN_PIECES = 16
"""The least rate worth borrowing, in pieces per second."""

_ZERO = timedelta(0)
_SECOND = timedelta(seconds=1)


class _Bucket:
    __slots__ = ("asked_at", "at", "level", "metered", "metered_at", "wants")

    def __init__(self, now: timedelta) -> None:
        self.level = 0.0
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

        Whoever has to wait asks for twice the present rate: how much more could be sent shows
        only when it can be sent.

        Parameters
        ----------
        key
            A RATE limit; what the document does not limit is never delayed.
        nbytes
            The size of the piece, best 64 KiB or less: the next one waits until it is paid.
        """
        if not self._shares.has_limit(key):
            return _ZERO
        now = self._clock.monotonic()
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(now)
        self._fill(key, bucket, now)
        bucket.asked_at = now
        rate = self._shares.free(key)
        if rate and bucket.level >= 0:
            bucket.level -= nbytes
            bucket.metered += nbytes
            return _ZERO
        bucket.wants = True
        self._shares.want(key, max(2 * rate, nbytes * MIN_PIECES))
        if not rate:
            return RETRY
        return max(_SECOND * (-bucket.level / rate), timedelta.resolution)

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
        bucket.at = now
        if now - bucket.metered_at >= METER_WINDOW:
            rate = bucket.metered / ((now - bucket.metered_at) / _SECOND)
            self._shares.observe(key, int(rate))
            bucket.metered = 0
            bucket.metered_at = now
