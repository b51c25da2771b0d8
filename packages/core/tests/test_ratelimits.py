"""Rate limits stated by endpoints hold over all entries together."""

import math
from datetime import timedelta

import pytest
from cardamomloft.core.budgets import Division
from cardamomloft.core.notices import RATE_LIMIT_RETENTION, UpstreamRateLimit
from cardamomloft.core.ratelimits import REFRESH_INTERVAL, RateLimits, entry_rate
from cardamomloft.core.registrations import UpstreamIncarnation

MS = timedelta(milliseconds=1)
S = timedelta(seconds=1)
NOW = 1000 * S
UPSTREAM = UpstreamIncarnation("i-1", 7)


def _notice(serial: int, per_s: float | None) -> UpstreamRateLimit:
    return UpstreamRateLimit(*UPSTREAM, serial, per_s)


def _limits(per_s: float | None = 4.0, at: timedelta = NOW) -> RateLimits:
    limits = RateLimits()
    limits.apply(_notice(1, per_s), at, at)
    return limits


def _wait(limits: RateLimits, now: timedelta, entries: int = 1, rank: int = 0) -> timedelta:
    return limits.wait(UPSTREAM, Division(entries, timedelta.max), lambda: rank, now)


@pytest.mark.parametrize("per_s", [0.3, 2.0, 6.4, 20.0, 100.0])
@pytest.mark.parametrize("entries", [1, 3, 12, 40, 195])
def test_all_entries_together_keep_to_the_limit_in_every_window(entries, per_s):
    fleet = [_limits(per_s) for _ in range(entries)]
    sent = []
    for step in range(1, 2000):
        now = NOW + step * 10 * MS
        for rank, limits in enumerate(fleet):
            while not _wait(limits, now, entries, rank):
                limits.record_sent(UPSTREAM)
                sent.append(now)
    most = max(sum(start <= at < start + 4 * S for at in sent) for start in set(sent))
    assert most <= 1.5 * per_s * 4 + 5
    assert 0.5 * per_s * 20 - 1 <= len(sent) <= per_s * 20 + 1


def test_an_entry_that_the_others_may_not_count_yet_has_no_rate():
    assert entry_rate(4.0, Division(1, 999 * MS), 0) == 0.0
    assert entry_rate(4.0, Division(1, S), 0) > 0


def test_the_wait_ends_when_a_request_may_be_sent():
    limits = _limits()
    wait = _wait(limits, NOW)
    assert wait > timedelta(0)
    assert _wait(limits, NOW + wait) == timedelta(0)
    limits.record_sent(UPSTREAM)
    assert _wait(limits, NOW + wait) > timedelta(0)


def test_an_entry_without_a_rate_waits_for_ever():
    assert _wait(_limits(), NOW, entries=12, rank=11) == timedelta.max
    assert _wait(_limits(0.0), NOW) == timedelta.max


def test_other_endpoints_and_later_incarnations_have_no_limit():
    limits = _limits()
    for other in (UpstreamIncarnation("i-2", 7), UpstreamIncarnation("i-1", 8)):
        division = Division(1, timedelta.max)
        assert limits.wait(other, division, lambda: 0, NOW) == timedelta(0)


def test_the_first_statement_and_each_change_are_published():
    limits = RateLimits()
    assert limits.observe(UPSTREAM, None, NOW, NOW) is None
    assert limits.observe(UPSTREAM, 4.0, NOW, NOW) == _notice(1, 4.0)
    limits.apply(_notice(1, 4.0), NOW, NOW)
    assert limits.observe(UPSTREAM, 4.0, NOW, NOW + S) is None
    assert limits.observe(UPSTREAM, 3.0, NOW, NOW + S) == _notice(2, 3.0)
    assert limits.observe(UPSTREAM, None, NOW, NOW + S) == _notice(2, None)


def test_a_limit_that_is_still_stated_is_published_again_before_it_expires():
    limits = _limits()
    late = NOW + REFRESH_INTERVAL
    assert limits.observe(UPSTREAM, 4.0, late, late) == _notice(2, 4.0)


@pytest.mark.parametrize("stated", [None, 9.0])
def test_an_answer_to_a_request_sent_before_the_limit_was_known_changes_nothing(stated):
    limits = _limits()
    assert limits.observe(UPSTREAM, stated, NOW - MS, NOW + S) is None


def test_of_two_notices_the_later_holds_and_of_simultaneous_ones_the_lower_limit():
    limits = _limits()
    assert limits.apply(_notice(2, 9.0), NOW, NOW)
    assert not limits.apply(_notice(1, 4.0), NOW, NOW)
    assert limits.apply(_notice(2, 5.0), NOW, NOW)
    assert not limits.apply(_notice(2, 9.0), NOW, NOW)
    assert not limits.apply(_notice(2, None), NOW, NOW)
    assert limits.limit_of(UPSTREAM) == 5.0


def test_a_limit_ends_with_its_notice_or_when_it_is_not_stated_for_long():
    limits = _limits()
    assert limits.apply(_notice(2, None), NOW, NOW)
    for _ in range(10):
        limits.record_sent(UPSTREAM)
    assert _wait(limits, NOW) == timedelta(0)
    assert limits.apply(_notice(3, 4.0), NOW, NOW)
    assert _wait(limits, NOW + S) == timedelta(0)
    limits.expire(NOW + RATE_LIMIT_RETENTION + MS)
    assert not limits


def test_at_most_as_many_entries_get_a_rate_as_requests_are_taken_in_a_second():
    rates = [entry_rate(6.4, Division(12, timedelta.max), rank) for rank in range(12)]
    assert sum(rate > 0 for rate in rates) == 6
    assert math.isclose(sum(rates), 0.8 * 6.4)
