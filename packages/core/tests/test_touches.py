"""Cache states: which requests are cache misses, as far as one entry can tell."""

from datetime import timedelta

import pytest
from cardamomloft.core import touches
from cardamomloft.core.registrations import Registration
from cardamomloft.core.touches import Touch, Touches
from cardamomloft.core.upstreamtable import Upstream

ZERO = timedelta(0)


def endpoint(number, started_ms=0):
    row = Registration(f"i-{number}", "menus", "10.0.0.1:80", "a", 4, False, ZERO, started_ms)
    return Upstream(row, "east", ZERO)


def test_a_key_is_cached_once_its_first_request_was_answered():
    tracker, upstream = Touches(), endpoint(1)
    assert tracker.look(upstream, "17") is Touch.MISS
    tracker.sent(upstream, "17")
    assert tracker.look(upstream, "17") is Touch.PENDING
    tracker.answered(upstream, "17")
    assert tracker.look(upstream, "17") is Touch.HIT
    assert tracker.look(upstream, "18") is tracker.look(endpoint(2), "17") is Touch.MISS


def test_a_failed_first_request_leaves_the_key_uncached():
    tracker, upstream = Touches(), endpoint(1)
    tracker.sent(upstream, "17")
    tracker.failed(upstream, "17")
    assert tracker.look(upstream, "17") is Touch.MISS
    tracker.sent(upstream, "17")
    tracker.answered(upstream, "17")
    tracker.failed(upstream, "17")
    assert tracker.look(upstream, "17") is Touch.HIT


def test_a_new_incarnation_starts_with_an_empty_cache():
    tracker = Touches()
    tracker.sent(endpoint(1, 100), "17")
    tracker.answered(endpoint(1, 100), "17")
    assert tracker.look(endpoint(1, 200), "17") is Touch.MISS


def test_the_number_of_tracked_pairs_is_bounded(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(touches, "MAX_TRACKED_PAIRS", 2)
    tracker, upstream = Touches(), endpoint(1)
    for key in ("1", "2", "1", "3"):
        tracker.sent(upstream, key)
        tracker.answered(upstream, key)
    assert tracker.look(upstream, "2") is Touch.MISS
    assert tracker.look(upstream, "1") is Touch.HIT
