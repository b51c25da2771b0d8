"""Pacing of bytes over links with a token bucket per RATE limit.

A bucket fills at the rate of this entry's present share of the limit and holds at most that rate
times ``BURST``. A chunk may be sent while the level is not negative, and is charged in full. Since
the shares of all entries never exceed the capacity in total, all entries together send at most
``capacity * (window + BURST)`` bytes plus one chunk each within any window.
"""

from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.shares import Shares

BURST = timedelta(milliseconds=100)
"""Time in which an empty bucket becomes full."""

NO_SHARE_RETRY = timedelta(milliseconds=50)
"""Delay before the next attempt while this entry has no share of the limit."""

IDLE_TIMEOUT = timedelta(milliseconds=200)
"""Time without a reservation after which the request for a larger share is withdrawn."""

METER_WINDOW = timedelta(milliseconds=200)
"""Interval over which the rate in use is measured."""

MIN_CHUNKS_PER_S = 16
"""Minimum rate to request, in chunks per second."""

_ZERO = timedelta(0)
_SECOND = timedelta(seconds=1)


class _Bucket:
    __slots__ = ("at", "level", "metered", "metered_at", "requested_at", "requests_rate")

    def __init__(self, now: timedelta) -> None:
        self.level = 0.0
        self.at = now
        self.requested_at = now
        self.metered = 0
        self.metered_at = now
        self.requests_rate = False


class Pacer:
    """Decides when a sender may send its next chunk.

    It installs itself as the `before_rate_change` hook of `shares`.
    """

    def __init__(self, shares: Shares, clock: Clock) -> None:
        self._shares = shares
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        shares.before_rate_change = self._on_change

    def reserve(self, key: str, nbytes: int) -> timedelta:
        """Charge a chunk and return zero, or charge nothing and return the delay until a retry.

        While a sender has to wait, twice the present rate is requested, because its actual demand
        cannot be measured below the limit.

        Parameters
        ----------
        key
            Key of a RATE limit; there is no delay if the document has no such limit.
        nbytes
            Size of the chunk, preferably at most 64 KiB: a large one delays the next.
        """
        if not self._shares.has_limit(key):
            return _ZERO
        now = self._clock.monotonic()
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(now)
        self._fill(key, bucket, now)
        bucket.requested_at = now
        rate = self._shares.free(key)
        if rate and bucket.level >= 0:
            bucket.level -= nbytes
            bucket.metered += nbytes
            return _ZERO
        bucket.requests_rate = True
        self._shares.want(key, max(2 * rate, nbytes * MIN_CHUNKS_PER_S))
        if not rate:
            return NO_SHARE_RETRY
        return max(_SECOND * (-bucket.level / rate), timedelta.resolution)

    def _on_change(self, key: str) -> None:
        """Fill the bucket at the present rate; called before the rate changes, and regularly."""
        bucket = self._buckets.get(key)
        if bucket is None:
            return
        now = self._clock.monotonic()
        self._fill(key, bucket, now)
        if bucket.requests_rate and now - bucket.requested_at >= IDLE_TIMEOUT:
            bucket.requests_rate = False
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
