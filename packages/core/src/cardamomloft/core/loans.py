"""Loans of unused share between entries: the lender's and the borrower's state for one limit.

A lender subtracts the granted units before it sends the grant, and adds them back when the
borrower returns them or ``term * (1 + drift)`` after granting. The borrower stops using them
``term * (1 - drift)`` after it sent the *request*. The request precedes the grant, and no clock
deviates from true time by more than the fraction `drift`, so the borrower always stops before the
lender resumes, however long the grant was delayed.

The number of a request holds the loan id in its high bits and a renewal counter in its low bits.
A term starts when the request with exactly the number of the grant was sent, so a delayed grant
of an earlier renewal does not extend a later one.
"""

import hashlib
import typing as t
from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.limits import STOP_GRACE, Limit
from cardamomloft.core.messages import LoanGrant, LoanRequest
from cardamomloft.core.model import Incarnation

LOAN_MARGIN = timedelta(seconds=5)
"""How much longer than the longest use a loan's term is, to leave time for use and renewal."""

IDLE_RETURN = timedelta(milliseconds=500)
"""Idle time after which a loan is returned."""

REQUEST_TIMEOUT = timedelta(milliseconds=250)
"""Time after which an unanswered request is sent again."""

MAX_REQUEST_ATTEMPTS = 3
"""How often a request is sent before the borrower cancels it."""

RECALL_INTERVAL = timedelta(milliseconds=500)
"""Interval between recalls of a loan that has not been returned."""

INITIAL_DENIAL_PAUSE = timedelta(milliseconds=250)
"""Back-off after the first denial by a lender; it doubles with each further denial."""

MAX_DENIAL_PAUSE = timedelta(seconds=2)
"""Upper bound of the back-off after denials."""

RENEWAL_BITS = 16
_MAX_RENEWALS = (1 << RENEWAL_BITS) - 1
_LOAN_ID_BITS = 46
_MILLISECOND = timedelta(milliseconds=1)


def max_loan_term(limit: Limit, drift: float) -> timedelta:
    """Return the longest term for which units of the limit are lent.

    The borrower's term, shortened by the drift, still exceeds the longest use by the margin.
    """
    return (limit.longest_use + LOAN_MARGIN) / (1 - drift)


def loan_ids(me: Incarnation) -> Iterator[int]:
    """Yield loan ids that no other incarnation of this seat uses.

    A late grant to an earlier incarnation is therefore never taken for one to this incarnation.
    """
    digest = hashlib.blake2b(str(me).encode(), digest_size=8).digest()
    loan_id = int.from_bytes(digest, "big") >> (64 - _LOAN_ID_BITS)
    while True:
        loan_id += 1
        yield loan_id


def denial(req: LoanRequest) -> LoanGrant:
    """Return the message that denies a request."""
    return LoanGrant(req.number, req.key, 0, 0, INITIAL_DENIAL_PAUSE // _MILLISECOND)


class GrantedLoan:
    """Units lent to one borrower; `amount` is 0 after they were returned."""

    __slots__ = ("amount", "expires", "granted", "number", "recalled", "term")

    def __init__(self, number: int, amount: int, term: timedelta) -> None:
        self.number = number
        self.amount = amount
        self.granted = amount
        self.term = term
        self.expires = timedelta(0)
        self.recalled: timedelta | None = None

    def grant(self, key: str) -> LoanGrant:
        """Return the grant message for the last granted number."""
        return LoanGrant(self.number, key, self.granted, self.term // _MILLISECOND, 0)


class GrantedLoans:
    """The loans of one limit that the lender has granted.

    A returned loan is kept until its term is over, so that a delayed duplicate of its request is
    recognised and not granted again.
    """

    __slots__ = ("_drift", "_loans", "lent")

    def __init__(self, drift: float) -> None:
        self.lent = 0
        self._drift = drift
        self._loans: dict[tuple[Incarnation, int], GrantedLoan] = {}

    def __len__(self) -> int:
        return len(self._loans)

    def find(self, borrower: Incarnation, number: int) -> GrantedLoan | None:
        """Return the loan that the request number belongs to."""
        return self._loans.get((borrower, number >> RENEWAL_BITS))

    def answer(
        self,
        borrower: Incarnation,
        req: LoanRequest,
        spare: int,
        max_term: timedelta,
        now: timedelta,
    ) -> LoanGrant | None:
        """Return the grant or denial of a request; None for a duplicate of a completed one.

        Parameters
        ----------
        spare
            The units that can be lent; negative if lent units are needed back.
        max_term
            The longest term to grant.
        """
        loan = self.find(borrower, req.number)
        term = min(req.term_ms * _MILLISECOND, max_term)
        if loan is None:
            amount = min(req.amount, spare)
            if amount <= 0 or req.number & _MAX_RENEWALS:
                return denial(req)
            loan = self._lend(borrower, req.number, amount, term, now)
            return loan.grant(req.key)
        if not loan.amount or req.number < loan.number:
            return None
        if req.number > loan.number:
            if spare < 0 or loan.recalled is not None:
                return denial(req)
            self._renew(loan, req.number, term, now)
        return loan.grant(req.key)

    def _lend(
        self, borrower: Incarnation, number: int, amount: int, term: timedelta, now: timedelta
    ) -> GrantedLoan:
        """Record and return a new loan of `amount` units."""
        loan = GrantedLoan(number, amount, term)
        self.lent += amount
        loan.expires = now + term * (1 + self._drift)
        self._loans[borrower, number >> RENEWAL_BITS] = loan
        return loan

    def _renew(self, loan: GrantedLoan, number: int, term: timedelta, now: timedelta) -> None:
        """Extend the loan by another term that starts now."""
        loan.number = number
        loan.term = term
        loan.expires = max(loan.expires, now + term * (1 + self._drift))

    def close(self, loan: GrantedLoan) -> None:
        """Add the units back; calling it again has no effect."""
        self.lent -= loan.amount
        loan.amount = 0

    def expire(self, now: timedelta) -> None:
        """Close and remove the loans whose term is over."""
        for key in [key for key, loan in self._loans.items() if now >= loan.expires]:
            self.close(self._loans.pop(key))

    def recall(self, amount: int, now: timedelta) -> list[tuple[str, int]]:
        """Choose loans of at least `amount` units in total; return seat and number of each.

        Loans recalled less than ``RECALL_INTERVAL`` ago count, but are omitted from the result.
        """
        due = []
        for (borrower, _), loan in self._loans.items():
            if amount <= 0:
                break
            if not loan.amount:
                continue
            amount -= loan.amount
            if loan.recalled is None or now >= loan.recalled + RECALL_INTERVAL:
                loan.recalled = now
                due.append((borrower.seat, loan.number))
        return due


class BorrowedLoan:
    """Units borrowed until `expires`, by the borrower's clock."""

    __slots__ = (
        "amount",
        "expires",
        "last_used",
        "lender",
        "number",
        "recalled",
        "renewable",
        "requested_at",
        "used",
    )

    def __init__(
        self, lender: Incarnation, number: int, amount: int, requested_at: timedelta
    ) -> None:
        self.lender = lender
        self.number = number
        self.amount = amount
        self.requested_at = requested_at
        self.expires = timedelta(0)
        self.last_used = timedelta(0)
        self.used = 0
        self.recalled = False
        self.renewable = True


class PendingRequest:
    """A request for a new loan that has not been answered."""

    __slots__ = ("amount", "attempts", "number", "requested_at", "seat", "sent_at")

    def __init__(self, seat: str, number: int, amount: int, now: timedelta) -> None:
        self.seat = seat
        self.number = number
        self.amount = amount
        self.requested_at = now
        self.sent_at = now
        self.attempts = 1


class _Pause(t.NamedTuple):
    """The back-off for one lender: until when it is paused, and the length of this pause."""

    until: timedelta
    length: timedelta


class BorrowedLoans:
    """The borrower's state for one limit: its loans and pending requests, by loan id."""

    __slots__ = ("_drift", "loans", "pauses", "requests")

    def __init__(self, drift: float) -> None:
        self._drift = drift
        self.loans: dict[int, BorrowedLoan] = {}
        self.requests: dict[int, PendingRequest] = {}
        self.pauses: dict[str, _Pause] = {}

    def __len__(self) -> int:
        return len(self.loans) + len(self.requests)

    def live(self, now: timedelta) -> Iterator[tuple[int, BorrowedLoan]]:
        """Yield id and loan of those under which new uses may start."""
        for loan_id, loan in self.loans.items():
            if not loan.recalled and now < loan.expires:
                yield loan_id, loan

    def free(self, now: timedelta) -> int:
        """Return the units available for new uses, regardless of their deadline."""
        return sum(loan.amount - loan.used for _, loan in self.live(now))

    def borrowed(self) -> int:
        """Return the units of all loans."""
        return sum(loan.amount for loan in self.loans.values())

    def use(self, amount: int, deadline: timedelta, now: timedelta) -> int | None:
        """Take units of one loan that outlasts the use; return the loan id, or None."""
        for loan_id, loan in self.live(now):
            if loan.amount - loan.used >= amount and deadline + STOP_GRACE <= loan.expires:
                loan.used += amount
                loan.last_used = now
                return loan_id
        return None

    def end_use(self, loan_id: int, amount: int, now: timedelta) -> None:
        """Return units to the loan, if it still exists."""
        loan = self.loans.get(loan_id)
        if loan:
            loan.used -= amount
            loan.last_used = now

    def add_request(self, loan_id: int, seat: str, amount: int, now: timedelta) -> int:
        """Record a request for a new loan and return the request number."""
        number = loan_id << RENEWAL_BITS
        self.requests[loan_id] = PendingRequest(seat, number, amount, now)
        return number

    def pending_units(self) -> int:
        """Return the total units of pending requests."""
        return sum(request.amount for request in self.requests.values())

    def on_grant(self, lender: Incarnation, grant: LoanGrant, now: timedelta) -> bool:
        """Handle a grant; return False if it is not usable and must be returned."""
        loan_id = grant.number >> RENEWAL_BITS
        loan = self.loans.get(loan_id)
        if loan:
            self._renew(loan, lender, grant)
            return True
        request = self.requests.get(loan_id)
        if request is None or request.seat != lender.seat:
            return False
        del self.requests[loan_id]
        self.pauses.pop(lender.seat, None)
        expires = self._expiry(request.requested_at, grant)
        if expires <= now:
            return False
        loan = BorrowedLoan(lender, grant.number, grant.amount, request.requested_at)
        loan.expires = expires
        loan.last_used = now
        self.loans[loan_id] = loan
        return True

    def on_denial(self, lender: Incarnation, grant: LoanGrant, now: timedelta) -> None:
        """Handle a denial: pause requests to the lender, or stop renewing the loan."""
        loan_id = grant.number >> RENEWAL_BITS
        loan = self.loans.get(loan_id)
        if loan and loan.number == grant.number and loan.lender == lender:
            loan.renewable = False
            return
        request = self.requests.get(loan_id)
        if request and request.seat == lender.seat:
            del self.requests[loan_id]
            self._pause(request.seat, timedelta(milliseconds=grant.retry_ms), now)

    def mark_used(self, amount: int, now: timedelta) -> None:
        """Mark the oldest loans that cover `amount` units of a rate as used now."""
        for _, loan in self.live(now):
            if amount <= 0:
                return
            loan.last_used = now
            amount -= loan.amount

    def recall(self, lender: Incarnation, number: int) -> bool:
        """Allow no new uses under the loan; return False if the loan does not exist."""
        self.requests.pop(number >> RENEWAL_BITS, None)
        loan = self.loans.get(number >> RENEWAL_BITS)
        if loan and loan.lender == lender:
            loan.recalled = True
        return loan is not None

    def due_renewals(self, longest_use: timedelta, now: timedelta) -> Iterator[BorrowedLoan]:
        """Renumber and yield the loans in use that must request a renewal now."""
        for loan in self.loans.values():
            near_expiry = loan.expires - now < longest_use + LOAN_MARGIN / 2
            pending = now < loan.requested_at + REQUEST_TIMEOUT
            if near_expiry and not pending and self._in_demand(loan, now):
                loan.number += 1
                loan.requested_at = now
                yield loan

    def due_resends(
        self, now: timedelta, *, give_up: bool
    ) -> Iterator[tuple[PendingRequest, bool]]:
        """Yield the requests to send again (True) and those that are cancelled (False)."""
        for loan_id, request in list(self.requests.items()):
            if now < request.sent_at + REQUEST_TIMEOUT and not give_up:
                continue
            if request.attempts == MAX_REQUEST_ATTEMPTS or give_up:
                del self.requests[loan_id]
                self._pause(request.seat, MAX_DENIAL_PAUSE, now)
                yield request, False
                continue
            request.attempts += 1
            request.sent_at = now
            yield request, True

    def drop_idle(self, now: timedelta, *, at_once: bool) -> list[tuple[str, int]]:
        """Remove expired and idle loans; return seat and number of the idle ones.

        A recalled loan is returned as soon as it has no uses; with `at_once` every loan is.
        """
        returned = []
        for loan_id, loan in list(self.loans.items()):
            over = now >= loan.expires
            idle = not loan.used and (
                at_once or loan.recalled or now >= loan.last_used + IDLE_RETURN
            )
            if over or idle:
                del self.loans[loan_id]
            if idle and not over:
                returned.append((loan.lender.seat, loan.number))
        return returned

    def may_request(self, seat: str, now: timedelta) -> bool:
        """Return whether a loan may be requested from the seat now."""
        pause = self.pauses.get(seat)
        if pause and now < pause.until:
            return False
        return all(request.seat != seat for request in self.requests.values())

    def _pause(self, seat: str, min_length: timedelta, now: timedelta) -> None:
        last = self.pauses.get(seat)
        length = max(min_length, 2 * last.length) if last else min_length
        length = min(length, MAX_DENIAL_PAUSE)
        self.pauses[seat] = _Pause(now + length, length)

    def _renew(self, loan: BorrowedLoan, lender: Incarnation, grant: LoanGrant) -> None:
        if loan.number == grant.number and loan.lender == lender and grant.amount == loan.amount:
            loan.expires = max(loan.expires, self._expiry(loan.requested_at, grant))

    def _expiry(self, requested_at: timedelta, grant: LoanGrant) -> timedelta:
        return requested_at + timedelta(milliseconds=grant.term_ms) * (1 - self._drift)

    def _in_demand(self, loan: BorrowedLoan, now: timedelta) -> bool:
        if loan.recalled or not loan.renewable or loan.number & _MAX_RENEWALS == _MAX_RENEWALS:
            return False
        return loan.used > 0 or now < loan.last_used + IDLE_RETURN
