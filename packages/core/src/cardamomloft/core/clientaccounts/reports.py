"""What the entries and zones that report to a coordinator of quotas were last known to do."""

import typing as t
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from cardamomloft.core.clientaccounts.rates import EventRate, admitted_rate
from cardamomloft.core.clientaccounts.usage import UsageRow

SOURCE_SILENCE = timedelta(milliseconds=600)
"""Time without a report of an entry or a zone after which its usage counts as unknown."""

_REPORTER_LIFE = timedelta(milliseconds=300)
"""How long a report of one of several coordinators of a zone counts beside that of another one.
It is just over the interval of reports, since one that has ended stated entries as heard that its
successor may not hear."""

TAKEOVER_TIME = timedelta(seconds=2)
"""Time without a report of a zone that a new coordinator's counts cover, as entries report again
what its predecessor did not confirm. It takes 1.2 s at most to replace a coordinator."""


class Source(t.NamedTuple):
    """Whose usage is reported: an entry of the same zone, or a whole other zone."""

    entry: str = ""
    zone: str = ""


class ReportedUsage:
    """What a source last reported: when, and the rate of admitted requests by account."""

    def __init__(self, now: timedelta) -> None:
        self.heard_at = now
        self.uncertain_until = now
        self.admitted: dict[str, EventRate] = {}
        self.unconfirmed: Counter[str] = Counter()
        self._reporter: t.Hashable = None
        self._unheard: dict[t.Hashable, tuple[timedelta, float]] = {}

    def record(
        self,
        rows: Iterable[UsageRow],
        uncertain_time: timedelta,
        reporter: t.Hashable,
        unheard_share: float,
        now: timedelta,
    ) -> None:
        """Record a report; `uncertain_time` is what is reserved for if some were missed."""
        silence = now - self.heard_at
        taken_over = reporter != self._reporter and silence <= TAKEOVER_TIME
        if silence > SOURCE_SILENCE and not taken_over:
            self.uncertain_until = now + uncertain_time
        self.heard_at, self._reporter = now, reporter
        self._unheard[reporter] = (now, unheard_share)
        self.unconfirmed.clear()
        for row in rows:
            rate = self.admitted.setdefault(row.account, admitted_rate(now))
            rate.add(row.admitted, now)

    def is_silent(self, now: timedelta) -> bool:
        """Return whether the usage of the source is unknown."""
        return now - self.heard_at > SOURCE_SILENCE or now < self.uncertain_until

    def unheard_share(self) -> float:
        """Return the fraction of all entries that a zone has but does not hear from.

        While a zone changes its coordinator, it has several, and an entry reports to one of them.
        """
        recent = {
            reporter: row
            for reporter, row in self._unheard.items()
            if self.heard_at - row[0] <= _REPORTER_LIFE
        }
        self._unheard = recent
        return min((share for _, share in recent.values()), default=0.0)

    def last_rate(self, account: str) -> float:
        """Return the rate of admitted requests of an account when this source was last heard."""
        rate = self.admitted.get(account)
        return 0.0 if rate is None else rate.per_s(self.heard_at)
