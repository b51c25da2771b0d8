"""Which objects this entry has had worked on at which endpoints.

An endpoint works about three times as long on an object that it has not handled lately. This tells
such first touches from the others, as far as one entry can: those of other entries it does not see.
"""

import enum
from collections import OrderedDict

from cardamomloft.core.upstreamtable import Upstream

PAIRS_KEPT = 20_000
"""Pairs of endpoint and object that are kept, the longest unused forgotten first, at 0.2 KB each
(tracemalloc, 20,000 of them)."""


class CacheState(enum.StrEnum):
    """What a request is for its object at its endpoint, as this entry sees it.

    `FIRST`: nothing was done there before. `BESIDE`: the first has not ended yet, and this one is
    slow at times. `KNOWN`: the object was handled there. `NONE`: the request is about no object.
    """

    FIRST = "first"
    BESIDE = "beside-first"
    KNOWN = "known"
    NONE = "no-object"


class CacheTracker:
    """Remembers pairs of endpoint and object; a new life of an endpoint knows nothing."""

    def __init__(self) -> None:
        self._answered: OrderedDict[tuple[str, int, str], bool] = OrderedDict()

    def state_of(self, upstream: Upstream, key: str) -> CacheState:
        """Return what a request for `key` would be at `upstream`."""
        answered = self._answered.get(_pair(upstream, key))
        if answered is None:
            return CacheState.FIRST
        return CacheState.KNOWN if answered else CacheState.BESIDE

    def record_sent(self, upstream: Upstream, key: str) -> None:
        """Note that a request for `key` goes to `upstream`."""
        pair = _pair(upstream, key)
        self._answered.setdefault(pair, False)
        self._answered.move_to_end(pair)
        if len(self._answered) > PAIRS_KEPT:
            self._answered.popitem(last=False)

    def record_answer(self, upstream: Upstream, key: str) -> None:
        """Note that `upstream` has handled a request for `key`."""
        self._answered[_pair(upstream, key)] = True

    def record_failure(self, upstream: Upstream, key: str) -> None:
        """Note that a request did not run, or that nobody knows whether it did."""
        pair = _pair(upstream, key)
        if self._answered.get(pair) is False:
            del self._answered[pair]


def _pair(upstream: Upstream, key: str) -> tuple[str, int, str]:
    return upstream.id, upstream.registration.started_ms, key
