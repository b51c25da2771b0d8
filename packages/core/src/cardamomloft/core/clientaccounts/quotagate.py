"""Decides at one entry which requests are within the quotas of their accounts.

The entry goes by the answers of its zone's coordinator (:mod:`.quotas`). Without answers it admits
no more than it did while it had some, and after a while only its static share.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from cardamomloft.core.budgets import DIVIDED_FRACTION, Division
from cardamomloft.core.clientaccounts.quotas import (
    LAST_RATE_LIFE,
    MAX_WAIT,
    SCARCE_FRACTION,
    Admission,
    QuotaPolicy,
)
from cardamomloft.core.clientaccounts.rates import admitted_rate, demand_rate
from cardamomloft.core.clientaccounts.returns import ExpectedReturns
from cardamomloft.core.clientaccounts.usage import UsageRow
from cardamomloft.core.routes import ClientAccount

ANSWER_LIFE = timedelta(milliseconds=1250)
"""How long an entry goes by its coordinator's last answer, from before it was requested."""

UNANSWERED_FRACTION = 0.5
"""Requests of an account that all entries together may admit after reports without an answer, as a
fraction of what is tolerated beyond its quota. Beyond its part of them an entry acts as if it had
no answers, since its coordinator may not know of them."""

MIN_UNANSWERED = 1
"""Minimum of an entry's part while much of the account's burst is left, which is added then."""

MIN_WAIT = timedelta(milliseconds=100)

_SECOND = timedelta(seconds=1)


class _AccountHere:
    """One account at this entry.

    `credit` are the requests that may be admitted of those that arrived.
    """

    def __init__(self, account: ClientAccount, credit: float, now: timedelta) -> None:
        self.demand = demand_rate(account, now)
        self.credit = credit
        self.returns = ExpectedReturns()
        self.admitted = admitted_rate(now)
        self.last_rate = 0.0
        self.rated_at: timedelta | None = None
        self.unanswered = 0
        self.tokens: float | None = None
        self.refilled_at = now
        self.spared_at: timedelta | None = None

    def admit(self, fraction: float, caller: str, due: timedelta | None, now: timedelta) -> bool:
        """Return whether to admit a request if a fraction of all new requests is.

        Admitting at even intervals, unlike drawing lots, keeps to the fraction for few requests.

        Parameters
        ----------
        fraction
            The fraction to admit.
        caller
            Who asks, empty if that is not known. Any request may then be one that comes back.
        due
            The instant at which the caller was told to come back; None for a new request.
        now
            Monotonic instant.
        """
        if due is None:
            self.credit += fraction
        if not caller and self.returns.due(now) and self.credit > 0:
            self.returns.reserved.popleft()
        # A promise lets a request in ahead of its credit, but not into a debt that others caused.
        elif due is not None and due <= now:
            if self.credit <= 0:
                return False
        elif self.credit < 1:
            return False
        self.credit -= 1
        return True

    def promise(self, rate: float, earliest: timedelta, caller: str, now: timedelta) -> timedelta:
        """Return when a refused caller may come back, after those that were refused before it."""
        reserved = self.returns.reserved
        last = reserved[-1] if reserved else now
        wait_s = min(1 / rate, MAX_WAIT / _SECOND) if rate > 0 else MAX_WAIT / _SECOND
        due = max(last + wait_s * _SECOND, now + earliest)
        if due - now < MAX_WAIT:
            reserved.append(due)
        due = min(due, now + MAX_WAIT)
        if caller:
            self.returns.expect(caller, due)
        return due - now

    def take_token(self, rate: float, initial: float, now: timedelta) -> timedelta | None:
        """Take a token if there is one, otherwise return when there will be at this rate.

        Parameters
        ----------
        rate
            Tokens per second.
        initial
            Tokens if none were counted yet.
        now
            Monotonic instant.
        """
        if self.tokens is None:
            self.tokens, self.refilled_at = initial, now
        self.tokens = min(1.0, self.tokens + rate * ((now - self.refilled_at) / _SECOND))
        self.refilled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return None
        wait_s = MAX_WAIT / _SECOND
        return min(wait_s, (1 - self.tokens) / rate) * _SECOND if rate > 0 else MAX_WAIT


class QuotaGate:
    """Decides at one entry which requests are within the quotas of their accounts.

    Parameters
    ----------
    policy
        What is tolerated beyond the quotas.
    rng
        Spreads the admitted requests of the entries.
    division
        Returns how limits over all entries are divided.
    rank
        Returns this entry's rank among all for an account, from 0.
    on_usage
        Called with each count, for the reports.
    """

    def __init__(
        self,
        policy: QuotaPolicy,
        rng: random.Random,
        division: Callable[[timedelta], Division],
        rank: Callable[[str], int],
        on_usage: Callable[[UsageRow], None],
    ) -> None:
        self.policy = policy
        self._rng = rng
        self._division = division
        self._rank = rank
        self._on_usage = on_usage
        self._usage: dict[str, _AccountHere] = {}
        self._admissions: Mapping[str, Admission] = {}
        self._answered_at: timedelta | None = None

    def apply(self, admissions: Iterable[Admission], requested_at: timedelta) -> None:
        """Apply a coordinator's answer to a report of the instant `requested_at`."""
        if self._answered_at is not None and requested_at < self._answered_at:
            return
        self._admissions = {row.account: row for row in admissions}
        self._answered_at = requested_at

    def update(self, admissions: Iterable[Admission]) -> None:
        """Apply admissions that were sent without a report, which renew no answer."""
        self._admissions = {row.account: row for row in admissions}

    def admit(self, account: ClientAccount, now: timedelta, caller: str = "") -> timedelta | None:
        """Return None if a request is admitted, otherwise when its caller may come back.

        A `caller` that was refused and comes back is no new demand: it would lower the fraction
        that is admitted, and more callers would be refused again.
        """
        if account.rate_per_s <= 0:
            return None
        usage = self._usage.get(account.name)
        if usage is None:
            usage = self._usage[account.name] = _AccountHere(account, self._rng.random(), now)
        due = usage.returns.take(caller, now) if caller else None
        if self._is_informed(account, usage, now):
            wait = self._admit_informed(account, usage, caller, due, now)
        else:
            wait = self._admit_uninformed(account, usage, now)
        admitted = wait is None
        self._on_usage(UsageRow(account.name, int(due is None), int(admitted)))
        if admitted:
            usage.admitted.add(1, now)
            usage.unanswered += 1
            return None
        return max(wait, MIN_WAIT)

    def give_back(self, account: ClientAccount, now: timedelta) -> None:
        """Return the token of an admitted request that was not run."""
        usage = self._usage.get(account.name)
        if usage is not None:
            usage.admitted.add(-1, now)
            self._on_usage(UsageRow(account.name, 0, -1))

    def _is_informed(self, account: ClientAccount, usage: _AccountHere, now: timedelta) -> bool:
        if self._answered_at is None or now - self._answered_at > ANSWER_LIFE:
            return False
        if usage.rated_at != self._answered_at:
            usage.rated_at, usage.last_rate = self._answered_at, usage.admitted.per_s(now)
            usage.unanswered = 0
        return True

    def _unanswered_limit(self, account: ClientAccount, now: timedelta) -> float:
        """Return how many requests this entry may admit after its last report with an answer."""
        entries = max(1, self._division(now).entries)
        limit = UNANSWERED_FRACTION * self.policy.spare(account)
        if account.name in self._admissions:
            return limit / entries
        return max(MIN_UNANSWERED, (limit + SCARCE_FRACTION * account.burst) / entries)

    def _admit_informed(
        self,
        account: ClientAccount,
        usage: _AccountHere,
        caller: str,
        due: timedelta | None,
        now: timedelta,
    ) -> timedelta | None:
        if due is None:
            usage.demand.add(1, now)
        if usage.unanswered > self._unanswered_limit(account, now):
            wait = usage.take_token(self._uninformed_rate(account, usage, now), 0.0, now)
            if wait is not None:
                return wait
        else:
            usage.tokens = None
        admission = self._admissions.get(account.name)
        if admission is None or usage.admit(admission.fraction, caller, due, now):
            return None
        rate = admission.fraction * usage.demand.per_s(now)
        return usage.promise(rate, max(admission.wait, MIN_WAIT), caller, now)

    def _admit_uninformed(
        self, account: ClientAccount, usage: _AccountHere, now: timedelta
    ) -> timedelta | None:
        rate = self._uninformed_rate(account, usage, now)
        return usage.take_token(rate, self._initial_token(account, usage, now), now)

    def _initial_token(self, account: ClientAccount, usage: _AccountHere, now: timedelta) -> float:
        """Return the tokens at the start of a time without answers: one at most in each window."""
        if usage.tokens is not None or not self._has_spare_token(account, now):
            return 0.0
        if usage.spared_at is not None and now - usage.spared_at <= self.policy.window:
            return 0.0
        usage.spared_at = now
        return 1.0

    def _uninformed_rate(
        self, account: ClientAccount, usage: _AccountHere, now: timedelta
    ) -> float:
        static = account.rate_per_s * self._division(now).share(self.policy.window)
        answered_at = self._answered_at
        if answered_at is None or now - answered_at > LAST_RATE_LIFE:
            return static
        return max(static, min(usage.last_rate, account.rate_per_s))

    def _has_spare_token(self, account: ClientAccount, now: timedelta) -> bool:
        """Return whether this entry may admit one request that nobody knows of."""
        if not self._division(now).share(self.policy.window):
            return False
        return self._rank(account.name) < DIVIDED_FRACTION * self.policy.spare(account)
