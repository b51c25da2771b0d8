"""Retry-after times grow and spread with the fraction of refused requests."""

import random
from datetime import timedelta

import pytest
from cardamomloft.core.retryafter import RetryAfterBounds, RetryAfterPolicy

MS = timedelta(milliseconds=1)
LONG = timedelta(minutes=1)
WAITS = RetryAfterBounds(100 * MS, 500 * MS, 900 * MS, 2500 * MS)


def _after(*refused: bool) -> RetryAfterPolicy:
    policy = RetryAfterPolicy(WAITS)
    for each in refused:
        policy.record(each)
    return policy


def test_a_single_refusal_gives_a_short_time():
    policy = _after(*[False] * 100, True)
    assert 100 * MS <= policy.wait(0.0, LONG) < 120 * MS
    assert 500 * MS <= policy.wait(1.0, LONG) < 560 * MS


def test_an_overload_gives_longer_and_more_spread_times():
    normal, overload = _after(), _after(*[True] * 500)
    assert overload.wait(0.0, LONG) == pytest.approx(900 * MS, rel=0.01)
    assert overload.wait(1.0, LONG) == pytest.approx(2500 * MS, rel=0.01)
    assert (
        normal.wait(0.5, LONG)
        < _after(*[True, False] * 100).wait(0.5, LONG)
        < overload.wait(0.5, LONG)
    )


def test_the_time_becomes_short_again_after_an_overload():
    assert _after(*[True] * 500, *[False] * 300).wait(1.0, LONG) < 520 * MS


@pytest.mark.parametrize(("left_ms", "max_ms"), [(900, 300), (30, 10), (0, 0), (-50, 0)])
def test_the_time_is_at_most_a_third_of_the_remaining_time(left_ms, max_ms):
    assert _after(*[True] * 500).wait(1.0, left_ms * MS) == max_ms * MS


def _retry_success_rate(adaptive: bool, seed: int) -> float:
    """Simulate a ten-second overload; return the fraction of refused callers served on retry.

    100 callers arrive per second. The service accepts 60 per second, and 140 after four seconds;
    each refused caller retries once.
    """
    rng, policy = random.Random(seed), RetryAfterPolicy(RetryAfterBounds())
    returns, served, refused = [], 0, 0
    for tick in range(200):
        now = tick * 0.05
        room = 3 if now < 4 else 7
        returned = [at for at in returns if at <= now]
        returns = [at for at in returns if at > now]
        served += min(len(returned), room)
        fresh_room = max(0, room - len(returned))
        used = policy if adaptive else RetryAfterPolicy(RetryAfterBounds())
        for caller in range(5):
            policy.record(caller >= fresh_room)
            if caller >= fresh_room:
                refused += 1
                returns.append(now + used.wait(rng.random(), LONG).total_seconds())
    return served / refused


def test_adaptive_times_let_more_refused_callers_succeed_on_retry():
    """Under overload, adaptive bounds must serve clearly more retries than fixed ones."""
    fixed = sum(_retry_success_rate(False, seed) for seed in range(5)) / 5
    adaptive = sum(_retry_success_rate(True, seed) for seed in range(5)) / 5
    assert adaptive > fixed + 0.15
