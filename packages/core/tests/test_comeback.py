"""Refused callers return later, and more spread, the more of a service's requests are refused."""

import random
from datetime import timedelta

import pytest
from cardamomloft.core.retryafter import RetryAfterBounds, RetryAfterPolicy

MS = timedelta(milliseconds=1)
LONG = timedelta(minutes=1)
WAITS = RetryAfterBounds(100 * MS, 500 * MS, 900 * MS, 2500 * MS)


def _after(*refused: bool) -> RetryAfterPolicy:
    come_back = RetryAfterPolicy(WAITS)
    for one in refused:
        come_back.note(one)
    return come_back


def test_a_single_refusal_asks_to_return_soon():
    come_back = _after(*[False] * 100, True)
    assert 100 * MS <= come_back.wait(0.0, LONG) < 120 * MS
    assert 500 * MS <= come_back.wait(1.0, LONG) < 560 * MS


def test_an_overload_asks_to_return_later_and_more_spread():
    calm, full = _after(), _after(*[True] * 500)
    assert full.wait(0.0, LONG) == pytest.approx(900 * MS, rel=0.01)
    assert full.wait(1.0, LONG) == pytest.approx(2500 * MS, rel=0.01)
    assert (
        calm.wait(0.5, LONG) < _after(*[True, False] * 100).wait(0.5, LONG) < full.wait(0.5, LONG)
    )


def test_it_forgets_an_overload_that_is_over():
    assert _after(*[True] * 500, *[False] * 300).wait(1.0, LONG) < 520 * MS


@pytest.mark.parametrize(("left", "most"), [(900, 300), (30, 10), (0, 0), (-50, 0)])
def test_nobody_is_asked_to_wait_for_more_than_a_third_of_its_time(left, most):
    assert _after(*[True] * 500).wait(1.0, left * MS) == most * MS


def _served_at_return(adaptive: bool, seed: int) -> float:
    """Play ten seconds of an overload; return the part of refused callers that find room later.

    100 callers a second come while there is room for 60, and after four seconds for 140; each
    returns once. This stands for the load of 3 to 10 s on a heavy day, with a zone drained.
    """
    rng, come_back = random.Random(seed), RetryAfterPolicy(RetryAfterBounds())
    returns, served, refused = [], 0, 0
    for tick in range(200):
        now = tick * 0.05
        room = 3 if now < 4 else 7
        back = [at for at in returns if at <= now]
        returns = [at for at in returns if at > now]
        served += min(len(back), room)
        fresh_room = max(0, room - len(back))
        come_back_or_calm = come_back if adaptive else RetryAfterPolicy(RetryAfterBounds())
        for caller in range(5):
            come_back.note(caller >= fresh_room)
            if caller >= fresh_room:
                refused += 1
                returns.append(now + come_back_or_calm.wait(rng.random(), LONG).total_seconds())
    return served / refused


def test_more_refused_callers_find_room_at_their_return():
    """0.68 of them with fixed bounds of 0.15 to 0.6 s, 0.92 with these; five seeds."""
    fixed = sum(_served_at_return(False, seed) for seed in range(5)) / 5
    adaptive = sum(_served_at_return(True, seed) for seed in range(5)) / 5
    assert adaptive > fixed + 0.15
