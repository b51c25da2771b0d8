"""What one gateway admits of an account between the answers of its coordinator."""

import random
from datetime import timedelta

import pytest
from cardamomloft.core.budgets import Division
from cardamomloft.core.clientaccounts.quotagate import ANSWER_LIFE, QuotaGate
from cardamomloft.core.clientaccounts.quotas import Admission, QuotaPolicy
from cardamomloft.core.routes import ClientAccount

MS = timedelta(milliseconds=1)
POLICY = QuotaPolicy(5000 * MS, 0.1, 20.0)
LARGE = ClientAccount("large", (), None, 188.0, 188.0)
ENTRIES = 24


class Gate:
    """The quotas of one of several gateways, with a spare token."""

    def __init__(self) -> None:
        self.now = timedelta(seconds=100)
        division = Division(ENTRIES, timedelta(seconds=100))
        rng = random.Random(1)
        self.gate = QuotaGate(POLICY, rng, lambda _: division, lambda _: 0, lambda row: None)

    def answer(self, fraction: float | None) -> None:
        """Apply a coordinator's answer; it does not name the account without a fraction."""
        rows = [] if fraction is None else [Admission("large", fraction, 0 * MS)]
        self.gate.apply(rows, self.now)

    def admitted(self, count: int, interval: timedelta = 0 * MS) -> int:
        """Return how many of some requests are admitted."""
        total = 0
        for _ in range(count):
            self.now += interval
            total += self.gate.admit(LARGE, self.now) is None
        return total


@pytest.mark.parametrize("fraction", [1.0, 0.8, 0.0])
def test_gateways_that_are_not_heard_admit_no_more_together_than_is_tolerated(fraction):
    """Guards against rights of 10 requests at each of 24 gateways where 132 are tolerated."""
    run = Gate()
    run.answer(fraction)
    assert run.admitted(100) * ENTRIES <= POLICY.spare(LARGE)


def test_gateway_without_answers_admits_more_while_much_of_the_burst_is_left():
    run = Gate()
    run.answer(None)
    admitted = run.admitted(100)
    assert admitted > POLICY.spare(LARGE) / ENTRIES
    assert admitted * ENTRIES <= POLICY.spare(LARGE) + LARGE.burst


def test_refused_fraction_binds_also_beyond_what_may_be_unanswered():
    run = Gate()
    run.answer(1.0)
    run.admitted(500, 10 * MS)
    run.answer(0.0)
    assert run.admitted(20, 10 * MS) <= 1


def test_spare_token_is_given_once_in_a_window_however_often_answers_are_lost():
    """Guards against gateways that get one more request with each answer that is late."""
    run = Gate()
    run.answer(0.0)
    admitted = 0
    for _ in range(3):
        run.now += ANSWER_LIFE + MS
        admitted += run.admitted(1)
        run.answer(0.0)
        admitted += run.admitted(1)
    assert admitted <= 2
