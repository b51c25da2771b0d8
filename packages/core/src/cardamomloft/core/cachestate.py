"""Estimated cache states of affinity keys at endpoints.

An endpoint answers much faster for a key that it has served recently. An entry sees its own
requests, and learns of those of others for services whose loads are shared. For other services, a
key that another entry has sent to an endpoint is still taken for a cache miss.
"""

import enum
from collections import OrderedDict

from cardamomloft.core.loads.cachedpairs import CachedPairs
from cardamomloft.core.loads.hashes import endpoint_hash, key_hash, pair_of
from cardamomloft.core.upstreamtable import Upstream

MAX_TRACKED_PAIRS = 20_000
"""Pairs of endpoint and key that are tracked; the least recently used ones are dropped first."""


class CacheState(enum.StrEnum):
    """Cache state of a key at an endpoint, as this entry sees it.

    `MISS`: no request for the key was sent there. `PENDING`: the first such request has not been
    answered yet, and another one may be as slow. `HIT`: the endpoint has served the key. `NONE`:
    the request has no affinity key.
    """

    MISS = "first"
    PENDING = "beside-first"
    HIT = "known"
    NONE = "no-object"


class CacheTracker:
    """Tracks the keys that were sent to each endpoint; a new incarnation starts without any.

    Attributes
    ----------
    shared
        Pairs of endpoint and key that are known to all entries.
    """

    def __init__(self) -> None:
        self.shared = CachedPairs()
        self._answered: OrderedDict[tuple[str, int, str], bool] = OrderedDict()

    def state_of(self, upstream: Upstream, key: str) -> CacheState:
        """Return the cache state of `key` at `upstream`."""
        answered = self._answered.get(_pair(upstream, key))
        if answered or (self.shared and self._is_shared(upstream, key)):
            return CacheState.HIT
        return CacheState.MISS if answered is None else CacheState.PENDING

    def record_sent(self, upstream: Upstream, key: str) -> None:
        """Record that a request for `key` is sent to `upstream`."""
        pair = _pair(upstream, key)
        self._answered.setdefault(pair, False)
        self._answered.move_to_end(pair)
        if len(self._answered) > MAX_TRACKED_PAIRS:
            self._answered.popitem(last=False)

    def record_answer(self, upstream: Upstream, key: str) -> None:
        """Record that `upstream` has answered a request for `key`."""
        self._answered[_pair(upstream, key)] = True

    def record_failure(self, upstream: Upstream, key: str) -> None:
        """Record that a request did not run, or that its outcome is unknown."""
        pair = _pair(upstream, key)
        if self._answered.get(pair) is False:
            del self._answered[pair]

    def _is_shared(self, upstream: Upstream, key: str) -> bool:
        endpoint = endpoint_hash(upstream.seed, upstream.registration.started_ms)
        return pair_of(endpoint, key_hash(key)) in self.shared


def _pair(upstream: Upstream, key: str) -> tuple[str, int, str]:
    return upstream.id, upstream.registration.started_ms, key
