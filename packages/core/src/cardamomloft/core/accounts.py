"""The account of one limit at one entry: units owned, used, lent and borrowed."""

import typing as t
from datetime import timedelta

from cardamomloft.core.limits import Limit, LimitKind
from cardamomloft.core.loans import BorrowedLoans, GrantedLoans
from cardamomloft.core.ownership import Ownership

PEAK_WINDOW = timedelta(milliseconds=100)
"""How long the units of a peak of own use are kept here, and not lent, after the peak."""

_ZERO = timedelta(0)


class ShareRow(t.NamedTuple):
    """The state of one account for status pages; all amounts are in units of the limit."""

    key: str
    kind: LimitKind
    capacity: int
    base: int
    own: int
    used: int
    lent: int
    borrowed: int
    wanted: int
    complete: bool


class Account:
    """The units of one limit that this entry owns, uses, lends and borrows.

    Attributes
    ----------
    used
        Own units in use.
    wanted
        Units requested here beyond those in use; of a RATE limit the total rate requested.
    peak, peak_at
        The recent maximum of own use, and the instant at which it was recorded.
    granted_loans, loans
        Units lent to and borrowed from other entries; None until the first.
    """

    __slots__ = (
        "granted_loans",
        "limit",
        "loans",
        "ownership",
        "peak",
        "peak_at",
        "used",
        "wanted",
    )

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.ownership = Ownership()
        self.used = 0
        self.wanted = 0
        self.peak = 0
        self.peak_at = _ZERO
        self.granted_loans: GrantedLoans | None = None
        self.loans: BorrowedLoans | None = None

    @property
    def lent(self) -> int:
        """Own units lent to others."""
        return self.granted_loans.lent if self.granted_loans else 0

    @property
    def is_busy(self) -> bool:
        """Whether anything is in use, lent or borrowed."""
        return bool(self.used or self.granted_loans or self.loans)

    def is_clear(self, now: timedelta) -> bool:
        """Return whether no loans are open and no use by an earlier incarnation can remain."""
        return not self.lent and not self.loans and now >= self.ownership.wait_until

    def free_own(self) -> int:
        """Return own units neither used nor lent; negative after the share was reduced."""
        return self.ownership.own - self.used - self.lent

    def free(self, now: timedelta) -> int:
        """Return the units available to a new use: own and borrowed."""
        own = max(self.free_own(), 0)
        return own + self.loans.free(now) if self.loans else own

    def record_use(self, amount: int, now: timedelta) -> None:
        """Record the amount of own use, and update its recent peak."""
        if amount >= self.peak or now - self.peak_at > PEAK_WINDOW:
            self.peak = amount
            self.peak_at = now

    def spare(self, now: timedelta) -> int:
        """Return the units that can be lent: all but the recent peak and those wanted here.

        The result is negative if lent units are wanted here.
        """
        self.record_use(self.used, now)
        spare = self.free_own() - self.wanted
        return spare if spare < 0 else max(spare - self.peak + self.used, 0)

    def row(self, key: str) -> ShareRow:
        """Return the account's state for status pages."""
        return ShareRow(
            key=key,
            kind=self.limit.kind,
            capacity=self.limit.capacity,
            base=self.ownership.base,
            own=self.ownership.own,
            used=self.used,
            lent=self.lent,
            borrowed=self.loans.borrowed() if self.loans else 0,
            wanted=self.wanted,
            complete=self.ownership.complete,
        )
