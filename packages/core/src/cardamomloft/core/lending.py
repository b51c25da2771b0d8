"""The lender and the borrower of one entry, which exchange loan messages with other entries.

The accounts hold the state of lent and borrowed units; :mod:`cardamomloft.core.shares` calls both
sides with messages and on each tick.
"""

from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.accounts import Account
from cardamomloft.core.limits import Limit, base_shares
from cardamomloft.core.loans import BorrowedLoans, GrantedLoans, loan_ids, max_loan_term
from cardamomloft.core.messages import (
    LoanGrant,
    LoanRecall,
    LoanRequest,
    LoanReturn,
    Outgoing,
)
from cardamomloft.core.model import Incarnation
from cardamomloft.core.ownership import CoHolders

MAX_PENDING_REQUESTS = 8
"""Maximum number of pending loan requests per limit."""

_MILLISECOND = timedelta(milliseconds=1)


class Lender:
    """Answers loan requests of other entries, and recalls loans.

    Parameters
    ----------
    drift
        How far any entry's monotonic clock may be from true time, as a fraction.
    """

    def __init__(self, drift: float) -> None:
        self._drift = drift

    def answer(
        self,
        account: Account,
        borrower: Incarnation,
        req: LoanRequest,
        now: timedelta,
        *,
        stopping: bool,
    ) -> LoanGrant | None:
        """Return the grant or denial of a request; None for a duplicate of a completed one."""
        if account.granted_loans is None:
            account.granted_loans = GrantedLoans(self._drift)
        spare = -1 if stopping else account.spare(now)
        max_term = max_loan_term(account.limit, self._drift)
        return account.granted_loans.answer(borrower, req, spare, max_term, now)

    def close(self, account: Account | None, borrower: Incarnation, msg: LoanReturn) -> None:
        """Add back the units that a borrower returns."""
        granted_loans = account.granted_loans if account else None
        loan = granted_loans.find(borrower, msg.number) if granted_loans is not None else None
        if loan:
            granted_loans.close(loan)

    def tick(
        self, key: str, account: Account, now: timedelta, *, stopping: bool
    ) -> Iterator[Outgoing]:
        """Remove expired loans, and recall units that this entry needs itself."""
        granted_loans = account.granted_loans
        if granted_loans is None:
            return
        granted_loans.expire(now)
        if not granted_loans:
            account.granted_loans = None
        shortfall = granted_loans.lent if stopping else account.wanted - account.free_own()
        for seat, number in granted_loans.recall(shortfall, now):
            yield Outgoing(seat, LoanRecall(number, key))


class Borrower:
    """Requests loans from other entries, renews and returns them.

    Parameters
    ----------
    me
        This process.
    drift
        How far any entry's monotonic clock may be from true time, as a fraction.
    co_holders
        The state of the other entries that hold shares of the same limits.
    """

    def __init__(self, me: Incarnation, drift: float, co_holders: CoHolders) -> None:
        self._me = me
        self._drift = drift
        self._co_holders = co_holders
        self._loan_ids = loan_ids(me)
        self._rotation = 0

    def on_grant(
        self, account: Account | None, lender: Incarnation, grant: LoanGrant, now: timedelta
    ) -> LoanReturn | None:
        """Handle a grant or denial; return a message that gives back an unusable loan."""
        loans = account.loans if account else None
        if not grant.amount:
            if loans is not None:
                loans.on_denial(lender, grant, now)
            return None
        if loans is not None and loans.on_grant(lender, grant, now):
            return None
        return LoanReturn(grant.number, grant.key)

    def tick(
        self, key: str, account: Account, now: timedelta, *, stopping: bool
    ) -> Iterator[Outgoing]:
        """Return idle loans, renew loans in use, and request the units that are wanted."""
        loans = account.loans
        if loans is not None:
            limit = account.limit
            for seat, number in loans.drop_idle(now, at_once=stopping):
                yield Outgoing(seat, LoanReturn(number, key))
            for loan in loans.due_renewals(limit.longest_use, now):
                yield Outgoing(loan.lender.seat, self._request(limit, loan.number, loan.amount))
            for pending, resend in loans.due_resends(now, give_up=stopping):
                request = self._request(limit, pending.number, pending.amount)
                yield Outgoing(pending.seat, request if resend else LoanReturn(pending.number, key))
        if account.wanted and not stopping:
            yield from self._borrow(account, now)
        elif not account.loans:
            account.loans = None

    def _borrow(self, account: Account, now: timedelta) -> Iterator[Outgoing]:
        """Request the missing units, but no less than half of what is already borrowed."""
        if account.loans is None:
            account.loans = BorrowedLoans(self._drift)
        loans, limit = account.loans, account.limit
        shortfall = account.wanted - account.free(now) - loans.pending_units()
        if shortfall <= 0:
            return
        shortfall = max(shortfall, loans.borrowed() // 2)
        for seat, base in self._lenders(limit):
            if shortfall <= 0 or len(loans.requests) >= MAX_PENDING_REQUESTS:
                return
            if loans.may_request(seat, now):
                amount = min(base, shortfall)
                shortfall -= amount
                number = loans.add_request(next(self._loan_ids), seat, amount, now)
                yield Outgoing(seat, self._request(limit, number, amount))

    def _lenders(self, limit: Limit) -> list[tuple[str, int]]:
        """Return the other seats with a base share, rotated by one on each call."""
        lenders = [
            (seat, base)
            for seat, base in base_shares(limit).items()
            if base and seat != self._me.seat and not self._co_holders.is_gone(seat)
        ]
        self._rotation += 1
        start = self._rotation % max(len(lenders), 1)
        return lenders[start:] + lenders[:start]

    def _request(self, limit: Limit, number: int, amount: int) -> LoanRequest:
        term = max_loan_term(limit, self._drift) // _MILLISECOND
        return LoanRequest(number, limit.key, amount, term)
