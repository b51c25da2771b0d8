"""The two sides of the loans of one entry's accounts: what it answers, and what it asks for.

Which units are lent or borrowed stands in the accounts; :mod:`cardamomloft.core.shares` says when
each side has its turn.
"""

from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.accounts import Account
from cardamomloft.core.limits import Limit, base_shares
from cardamomloft.core.loans import BorrowedLoans, GrantedLoans, loan_numbers, longest_loan
from cardamomloft.core.messages import (
    LoanGrant,
    LoanRecall,
    LoanRequest,
    LoanReturn,
    Outgoing,
)
from cardamomloft.core.model import Incarnation
from cardamomloft.core.ownership import CoHolders

MAX_ASKS = 8
"""Requests under way at one time for one limit."""

_MILLISECOND = timedelta(milliseconds=1)


class Lender:
    """Answers other entries' requests for loans, and calls loans back.

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
        """Return the grant or denial of a request; None if it came before and is answered."""
        if account.granted_loans is None:
            account.granted_loans = GrantedLoans(self._drift)
        spare = -1 if stopping else account.spare(now)
        longest = longest_loan(account.limit, self._drift)
        return account.granted_loans.answer(borrower, req, spare, longest, now)

    def close(self, account: Account | None, borrower: Incarnation, msg: LoanReturn) -> None:
        """Take units back that a borrower returns."""
        granted_loans = account.granted_loans if account else None
        lending = granted_loans.find(borrower, msg.number) if granted_loans is not None else None
        if lending:
            granted_loans.close(lending)

    def tick(
        self, key: str, account: Account, now: timedelta, *, stopping: bool
    ) -> Iterator[Outgoing]:
        """Let loans run out, and call back what this entry needs itself."""
        granted_loans = account.granted_loans
        if granted_loans is None:
            return
        granted_loans.expire(now)
        if not granted_loans:
            account.granted_loans = None
        short = granted_loans.lent if stopping else account.wanted - account.free_own()
        for seat, number in granted_loans.recall(short, now):
            yield Outgoing(seat, LoanRecall(number, key))


class Borrower:
    """Asks other entries for loans, renews and returns them.

    Parameters
    ----------
    me
        This process.
    drift
        How far any entry's monotonic clock may be from true time, as a fraction.
    others
        What is known of the entries that hold shares of the same limits.
    """

    def __init__(self, me: Incarnation, drift: float, others: CoHolders) -> None:
        self._me = me
        self._drift = drift
        self._others = others
        self._numbers = loan_numbers(me)
        self._turn = 0

    def take(
        self, account: Account | None, lender: Incarnation, grant: LoanGrant, now: timedelta
    ) -> LoanReturn | None:
        """Take a granted loan; return it at once if nobody waits for it any more."""
        loans = account.loans if account else None
        if not grant.amount:
            if loans is not None:
                loans.refuse(lender, grant, now)
            return None
        if loans is not None and loans.take(lender, grant, now):
            return None
        return LoanReturn(grant.number, grant.key)

    def tick(
        self, key: str, account: Account, now: timedelta, *, stopping: bool
    ) -> Iterator[Outgoing]:
        """Return what is idle, renew what is in use, and ask for what is wanted."""
        loans = account.loans
        if loans is not None:
            limit = account.limit
            for seat, number in loans.drop_idle(now, at_once=stopping):
                yield Outgoing(seat, LoanReturn(number, key))
            for loan in loans.due_renewals(limit.longest_use, now):
                yield Outgoing(loan.lender.seat, self._request(limit, loan.number, loan.amount))
            for ask, again in loans.repeat(now, give_up=stopping):
                request = self._request(limit, ask.number, ask.amount)
                yield Outgoing(ask.seat, request if again else LoanReturn(ask.number, key))
        if account.wanted and not stopping:
            yield from self._borrow(account, now)
        elif not account.loans:
            account.loans = None

    def _borrow(self, account: Account, now: timedelta) -> Iterator[Outgoing]:
        """Ask for what is wanted, and for more the more is borrowed already."""
        if account.loans is None:
            account.loans = BorrowedLoans(self._drift)
        loans, limit = account.loans, account.limit
        short = account.wanted - account.free(now) - loans.asked()
        if short <= 0:
            return
        short = max(short, loans.borrowed() // 2)
        for seat, base in self._lenders(limit):
            if short <= 0 or len(loans.asks) >= MAX_ASKS:
                return
            if loans.may_ask(seat, now):
                amount = min(base, short)
                short -= amount
                number = loans.ask(next(self._numbers), seat, amount, now)
                yield Outgoing(seat, self._request(limit, number, amount))

    def _lenders(self, limit: Limit) -> list[tuple[str, int]]:
        """Return the other seats with a base share, another one first each time."""
        lenders = [
            (seat, base)
            for seat, base in base_shares(limit).items()
            if base and seat != self._me.seat and not self._others.is_gone(seat)
        ]
        self._turn += 1
        start = self._turn % max(len(lenders), 1)
        return lenders[start:] + lenders[:start]

    def _request(self, limit: Limit, number: int, amount: int) -> LoanRequest:
        term = longest_loan(limit, self._drift) // _MILLISECOND
        return LoanRequest(number, limit.key, amount, term)
