"""Quotas of client accounts over all entries together.

Every entry reports the requests of each account to a coordinator of its zone, and the coordinators
exchange the sums of their zones. A coordinator thereby follows one token bucket for each account of
the deployment. It answers with the fraction of an account's requests to admit; an account that is
not named is admitted entirely. What was admitted in excess before the reports arrived is a debt of
the bucket, and is compensated within the window of the quota.

An entry without answers admits no more than it did while it had some, and after a while only its
static share. Of each quota a coordinator reserves as much for each entry of its zone that it does
not hear from, and the static share of each such zone. The parts add up to the quota while entries
cannot reach each other.
"""

import math
import typing as t
from collections.abc import Iterable, Mapping
from datetime import timedelta

from cardamomloft.core.clientaccounts.buckets import AccountBucket
from cardamomloft.core.clientaccounts.reports import ReportedUsage, Source
from cardamomloft.core.clientaccounts.usage import UsageRow
from cardamomloft.core.routes import ClientAccount

UNCONFIRMED_FRACTION = 0.25
MIN_UNCONFIRMED = 10
"""Requests of an account that a zone may admit between two reports of another zone: this fraction
of its burst, and at least this number. With more, the other zone's share is reserved, since both
might use the whole burst before either notices that it does not hear the other."""

RECENT_TIME = timedelta(seconds=1)
"""Age of the usage that the coordinator of a zone gets which was not heard before."""

LAST_RATE_LIFE = timedelta(seconds=10)
"""How long an entry without answers may admit at the rate at which it did before."""

SCARCE_FRACTION = 0.5
"""Fraction of a burst below which entries are told of an account even if all its requests are
admitted, so that they admit fewer before they hear more."""

SPENDING_TIME = timedelta(seconds=1)
"""Time over which the tokens of a bucket are offered to the requests that are expected."""

MAX_WAIT = timedelta(seconds=5)
"""Longest time after which a caller beyond its quota is told to come back."""

INITIAL_SPARE_FRACTION = 0.5
"""Fraction of what is tolerated beyond a quota that a new coordinator admits at once."""

ACTIVE_TIME = timedelta(seconds=10)
"""How long an account without requests is still examined; its demand has decayed by then."""

_SECOND = timedelta(seconds=1)
_ZERO = timedelta(0)


class QuotaPolicy(t.NamedTuple):
    """How far the requests of an account in any `window` may exceed its quota.

    The quota is ``rate * window + burst``. `overage` times as many requests more, and `slack`
    besides, are tolerated.
    """

    window: timedelta
    overage: float
    slack: float

    def spare(self, account: ClientAccount) -> float:
        """Return the requests in a window that are tolerated beyond the quota."""
        quota = account.rate_per_s * (self.window / _SECOND) + account.burst
        return self.overage * quota + self.slack


class Admission(t.NamedTuple):
    """Which fraction of an account's requests to admit; the others may come back after `wait`."""

    account: str
    fraction: float
    wait: timedelta


class AccountUsage(t.NamedTuple):
    """The use of an account's quota at all entries together, as its zone's coordinator sees it.

    `reserved_fraction` of the quota is reserved for entries and zones that are not heard from.
    """

    account: str
    rate_per_s: float
    wanted_per_s: float
    tokens: float
    admitted_fraction: float
    reserved_fraction: float = 0.0


class QuotaCoordinator:
    """Follows the quotas of all accounts from the reports of entries and zones.

    Parameters
    ----------
    policy
        What is tolerated beyond the quotas.
    started_at
        When this process started.

    Attributes
    ----------
    sources
        Whose reports are expected: the other entries of the zone, and the other zones, each with
        its fraction of all entries.
    """

    def __init__(self, policy: QuotaPolicy, started_at: timedelta) -> None:
        self.policy = policy
        self._started_at = started_at
        self._accounts: Mapping[str, ClientAccount] = {}
        self._buckets: dict[str, AccountBucket] = {}
        self._reported: dict[Source, ReportedUsage] = {}
        self.sources: Mapping[Source, float] = {}

    def set_accounts(self, accounts: Iterable[ClientAccount]) -> None:
        """Apply the quotas of a configuration; the tokens of known accounts are kept."""
        self._accounts = {row.name: row for row in accounts if row.rate_per_s > 0}
        self._buckets = {
            name: bucket for name, bucket in self._buckets.items() if name in self._accounts
        }
        for name, bucket in self._buckets.items():
            bucket.account = self._accounts[name]

    def record(self, rows: Iterable[UsageRow], now: timedelta) -> None:
        """Record requests at this entry."""
        rows = tuple(rows)
        self._add_unconfirmed(rows)
        self._record(rows, now)

    def _add_unconfirmed(self, rows: Iterable[UsageRow]) -> None:
        zones = [row for source, row in self._reported.items() if source.zone]
        for row in rows:
            for zone in zones:
                zone.unconfirmed[row.account] += row.admitted

    def _record(self, rows: Iterable[UsageRow], now: timedelta) -> None:
        silent = self._silent(now)
        for row in rows:
            bucket = self._bucket(row.account, now)
            if bucket is not None:
                bucket.refill(self._part(bucket.account, silent, now), now)
                bucket.record(row.wanted, row.admitted, now)

    def record_from(
        self,
        source: Source,
        rows: Iterable[UsageRow],
        now: timedelta,
        unheard_share: float = 0.0,
        *,
        continued: bool = True,
        reporter: t.Hashable = None,
    ) -> None:
        """Record a report of another entry or zone.

        Parameters
        ----------
        source, rows
            Who reports what; there may be no rows.
        now
            Monotonic instant.
        unheard_share
            The fraction of all entries that a zone has but does not hear from.
        continued
            Whether nothing is missing since the last report. If not, and the source was silent,
            something is reserved for it until that time is out of the window.
        reporter
            Who reports for the source. Another one than before states what was missed itself.
        """
        rows = tuple(rows)
        is_first = source not in self._reported
        if is_first:
            self._reported[source] = ReportedUsage(now)
        uncertain_time = _ZERO if continued else self.policy.window
        self._reported[source].record(rows, uncertain_time, reporter, unheard_share, now)
        if source.entry:
            self._add_unconfirmed(rows)
        self._record(rows, now)
        if is_first and source.zone:
            self._credit_recent(source, rows)

    def _credit_recent(self, source: Source, rows: Iterable[UsageRow]) -> None:
        """Add the rate of the time before this coordinator followed the accounts.

        The first report of a zone repeats the requests of `RECENT_TIME`. Without its part of the
        rate for that time, a new coordinator would begin with a debt that nobody has.
        """
        for row in rows:
            bucket = self._buckets.get(row.account)
            if bucket is not None:
                entitled = self.sources.get(source, 0.0) * bucket.account.rate_per_s
                bucket.credit(min(max(0, row.admitted), entitled * (RECENT_TIME / _SECOND)))

    def admissions(self, now: timedelta) -> tuple[Admission, ...]:
        """Return the accounts of whose requests not all can be admitted, or soon may not be."""
        silent = self._silent(now)
        found = ((self._admission(bucket, silent, now), bucket) for bucket in self._active(now))
        return tuple(
            admission
            for admission, bucket in found
            if admission.fraction < 1 or bucket.tokens < SCARCE_FRACTION * bucket.account.burst
        )

    def usage(self, now: timedelta) -> list[AccountUsage]:
        """Return the accounts with recent requests, the busiest first."""
        silent = self._silent(now)
        rows = [self._usage_of(bucket, silent, now) for bucket in self._active(now)]
        return sorted(rows, key=lambda row: -row.wanted_per_s)

    def _usage_of(
        self, bucket: AccountBucket, silent: Mapping[Source, float], now: timedelta
    ) -> AccountUsage:
        fraction = self._admission(bucket, silent, now).fraction
        wanted_per_s = bucket.demand.per_s(now)
        rate_per_s = bucket.account.rate_per_s
        return AccountUsage(
            bucket.account.name,
            rate_per_s,
            wanted_per_s,
            bucket.tokens,
            fraction,
            1 - bucket.part,
        )

    def silent_sources(self, now: timedelta) -> list[str]:
        """Return the names of the entries and zones that something is reserved for."""
        return sorted(source.entry or source.zone for source in self._silent(now))

    def unheard_entries(self, now: timedelta) -> int:
        """Return how many entries of this zone are not heard from."""
        return sum(bool(source.entry) for source in self._silent(now))

    def burst_of(self, account: str) -> float:
        """Return the burst of an account, infinite without a quota."""
        found = self._accounts.get(account)
        return math.inf if found is None else found.burst

    def fraction_of(self, account: str, now: timedelta) -> float:
        """Return the fraction of an account's requests to admit."""
        bucket = self._buckets.get(account)
        return 1.0 if bucket is None else self._admission(bucket, self._silent(now), now).fraction

    def resume(self, now: timedelta) -> None:
        """Start again after a time in which reports went to another coordinator."""
        self._reported.clear()
        for bucket in self._buckets.values():
            bucket.restart(self._initial_tokens(bucket.account, now), now)

    def _initial_tokens(self, account: ClientAccount, now: timedelta) -> float:
        """Return the tokens of a bucket whose use so far is unknown.

        Just after the start there are none: if all entries were restarted, their predecessors may
        have used the burst.
        """
        if now - self._started_at < self.policy.window:
            return 0.0
        return min(account.burst, INITIAL_SPARE_FRACTION * self.policy.spare(account))

    def _active(self, now: timedelta) -> list[AccountBucket]:
        return [row for row in self._buckets.values() if now - row.recorded_at <= ACTIVE_TIME]

    def _admission(
        self, bucket: AccountBucket, silent: Mapping[Source, float], now: timedelta
    ) -> Admission:
        part = self._part(bucket.account, silent, now)
        rate = part * bucket.account.rate_per_s
        bucket.refill(part, now)
        demand = bucket.demand.per_s(now)
        offered = max(0.0, rate + bucket.tokens / (SPENDING_TIME / _SECOND))
        fraction = 1.0 if offered >= demand else offered / demand
        debt = max(0.0, -bucket.tokens)
        wait = min(debt, rate * (MAX_WAIT / _SECOND)) / rate * _SECOND if rate > 0 else MAX_WAIT
        return Admission(bucket.account.name, fraction, wait)

    def _bucket(self, name: str, now: timedelta) -> AccountBucket | None:
        bucket = self._buckets.get(name)
        account = self._accounts.get(name)
        if bucket is None and account is not None:
            part = self._part(account, self._silent(now), now)
            tokens = self._initial_tokens(account, now)
            bucket = self._buckets[name] = AccountBucket(
                account, tokens, part, self.policy.window, now
            )
        return bucket

    def _silent(self, now: timedelta) -> dict[Source, float]:
        """Return the sources that are not heard from, with their fractions of all entries."""
        reported = self._reported
        for source in reported.keys() - self.sources.keys():
            del reported[source]
        return {
            source: share
            for source, share in self.sources.items()
            if source not in reported or reported[source].is_silent(now)
        }

    def _part(
        self, account: ClientAccount, silent: Mapping[Source, float], now: timedelta
    ) -> float:
        """Return the part of an account's quota that is not reserved for silent sources.

        All have their static shares. An entry that was heard a moment ago may go on at its last
        rate if that is higher.
        """
        part = 1.0
        limit = max(MIN_UNCONFIRMED, UNCONFIRMED_FRACTION * account.burst)
        for source, share in self.sources.items():
            last = self._reported.get(source)
            unconfirmed = 0 if last is None else last.unconfirmed[account.name]
            if source not in silent and unconfirmed <= limit:
                part -= last.unheard_share()
                continue
            if not source.zone and last is not None and now - last.heard_at <= LAST_RATE_LIFE:
                share = max(share, last.last_rate(account.name) / account.rate_per_s)
            part -= share
        return max(0.0, part)
