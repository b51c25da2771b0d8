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


def test_an_object_is_known_once_the_first_request_for_it_was_answered():
    seen, upstream = CacheTracker(), endpoint(1)
    assert seen.look(upstream, "17") is CacheState.FIRST
    seen.sent(upstream, "17")
    assert seen.look(upstream, "17") is CacheState.BESIDE
    seen.answered(upstream, "17")
    assert seen.look(upstream, "17") is CacheState.KNOWN
    assert seen.look(upstream, "18") is seen.look(endpoint(2), "17") is CacheState.FIRST


def test_a_first_request_that_failed_leaves_the_object_unknown():
    seen, upstream = CacheTracker(), endpoint(1)
    seen.sent(upstream, "17")
    seen.failed(upstream, "17")
    assert seen.look(upstream, "17") is CacheState.FIRST
    seen.sent(upstream, "17")
    seen.answered(upstream, "17")
    seen.failed(upstream, "17")
    assert seen.look(upstream, "17") is CacheState.KNOWN


def test_a_new_life_knows_nothing():
    seen = CacheTracker()
    seen.sent(endpoint(1, 100), "17")
    seen.answered(endpoint(1, 100), "17")
    assert seen.look(endpoint(1, 200), "17") is CacheState.FIRST


def test_what_is_kept_is_bounded(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(cachestate, "PAIRS_KEPT", 2)
    seen, upstream = CacheTracker(), endpoint(1)
    for key in ("1", "2", "1", "3"):
        seen.sent(upstream, key)
        seen.answered(upstream, key)
    assert seen.look(upstream, "2") is CacheState.FIRST
    assert seen.look(upstream, "1") is CacheState.KNOWN
