"""Cache states: which requests are cache misses, as far as one entry can tell."""

from datetime import timedelta

import pytest
from cardamomloft.core import cachestate
from cardamomloft.core.cachestate import CacheState, CacheTracker
from cardamomloft.core.registrations import Registration
from cardamomloft.core.upstreamtable import Upstream

ZERO = timedelta(0)


def endpoint(number, started_ms=0):
    row = Registration(f"i-{number}", "menus", "10.0.0.1:80", "a", 4, False, ZERO, started_ms)
    return Upstream(row, "east", ZERO)


def test_a_key_is_cached_once_its_first_request_was_answered():
    tracker, upstream = CacheTracker(), endpoint(1)
    assert tracker.state_of(upstream, "17") is CacheState.MISS
    tracker.record_sent(upstream, "17")
    assert tracker.state_of(upstream, "17") is CacheState.PENDING
    tracker.record_answer(upstream, "17")
    assert tracker.state_of(upstream, "17") is CacheState.HIT
    assert (
        tracker.state_of(upstream, "18") is tracker.state_of(endpoint(2), "17") is CacheState.MISS
    )


def test_a_failed_first_request_leaves_the_key_uncached():
    tracker, upstream = CacheTracker(), endpoint(1)
    tracker.record_sent(upstream, "17")
    tracker.record_failure(upstream, "17")
    assert tracker.state_of(upstream, "17") is CacheState.MISS
    tracker.record_sent(upstream, "17")
    tracker.record_answer(upstream, "17")
    tracker.record_failure(upstream, "17")
    assert tracker.state_of(upstream, "17") is CacheState.HIT


def test_a_new_incarnation_starts_with_an_empty_cache():
    tracker = CacheTracker()
    tracker.record_sent(endpoint(1, 100), "17")
    tracker.record_answer(endpoint(1, 100), "17")
    assert tracker.state_of(endpoint(1, 200), "17") is CacheState.MISS


def test_the_number_of_tracked_pairs_is_bounded(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(cachestate, "MAX_TRACKED_PAIRS", 2)
    tracker, upstream = CacheTracker(), endpoint(1)
    for key in ("1", "2", "1", "3"):
        tracker.record_sent(upstream, key)
        tracker.record_answer(upstream, key)
    assert tracker.state_of(upstream, "2") is CacheState.MISS
    assert tracker.state_of(upstream, "1") is CacheState.HIT
