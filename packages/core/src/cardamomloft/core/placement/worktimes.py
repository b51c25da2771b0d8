"""Smoothed work times of services, for cache hits and cache misses separately."""

import typing as t
from datetime import timedelta

from cardamomloft.core.cachestate import CacheState

MISS_RATIO = 1 / 0.3
"""Ratio of the time of a cache miss to that of a hit while only one of them was observed."""

SAMPLE_WEIGHT = 1 / 16
"""Weight of a sample in the smoothed times; a gateway gets several samples a second."""

MAX_SAMPLE_RATIO = 2.0
"""Samples are limited to this multiple of the present estimate, and to its inverse.

A few requests in a hundred take many times as long as usual, and an evicted key that counts as a
hit takes as long as a miss. Without the limit, one such sample would distort the estimate for
dozens of requests.
"""


class WorkTime(t.NamedTuple):
    """Work times of a service in seconds: of hits, of misses, and the mean of both."""

    hit: float
    miss: float
    mean: float


class WorkTimes:
    """Work times of services at endpoints of usual speed, as observed by one gateway."""

    def __init__(self) -> None:
        self._hits: dict[str, float] = {}
        self._misses: dict[str, float] = {}
        self._means: dict[str, float] = {}

    def of(self, service: str, target: timedelta) -> WorkTime:
        """Return the work times of a service.

        Parameters
        ----------
        service
            The service.
        target
            The target latency, which is taken for the time of a miss until one is observed.
        """
        hit, miss = self._hits.get(service), self._misses.get(service)
        if miss is None:
            miss = target.total_seconds() if hit is None else hit * MISS_RATIO
        if hit is None:
            hit = miss / MISS_RATIO
        return WorkTime(hit, max(hit, miss), self._means.get(service, hit))

    def record(self, service: str, state: CacheState, seconds: float) -> None:
        """Record the work time of an answered request, without waiting time.

        A request beside a key's first one is ignored, as it may be either a hit or a miss.
        """
        if state is CacheState.PENDING:
            return
        _smooth(self._misses if state is CacheState.MISS else self._hits, service, seconds)
        _smooth(self._means, service, seconds)


def limited(sample: float, estimate: float) -> float:
    """Return a sample within `MAX_SAMPLE_RATIO` of an estimate."""
    return min(max(sample, estimate / MAX_SAMPLE_RATIO), estimate * MAX_SAMPLE_RATIO)


def _smooth(estimates: dict[str, float], service: str, sample: float) -> None:
    estimate = estimates.get(service)
    estimates[service] = (
        sample
        if estimate is None
        else estimate + (limited(sample, estimate) - estimate) * SAMPLE_WEIGHT
    )
