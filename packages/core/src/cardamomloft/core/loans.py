"""Loans of unused share between entries: the lender's and the borrower's book of one limit.

A lender subtracts what it grants before the grant leaves, and takes it back when the borrower
returns it or ``term * (1 + drift)`` after granting. The borrower stops ``term * (1 - drift)``
after it *asked*. Asking happens before granting, and no clock runs faster or slower than true
time by more than `drift`, so the borrower always stops first, however late the grant came.

The number of a request names the loan in its high bits and the renewal in its low bits. A grant
counts only from the moment at which exactly its own number was asked for: a late grant of an
earlier renewal cannot be taken for the answer to a later one.
"""

import hashlib
import typing as t
from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.limits import STOP_GRACE, Limit
from cardamomloft.core.messages import LoanGrant, LoanRequest
from cardamomloft.core.model import Incarnation

LOAN_MARGIN = timedelta(seconds=5)
"""What a loan's term has over the longest use, so that there is time to use and to renew it."""

IDLE_RETURN = timedelta(milliseconds=500)
"""How long a loan may be unused before it is returned."""

ASK_TIMEOUT = timedelta(milliseconds=250)
"""When an unanswered request is repeated."""

MAX_TRIES = 3
"""How often a request is sent before the borrower gives it up."""

RECALL_INTERVAL = timedelta(milliseconds=500)
"""When a loan that did not come back is recalled again."""

DENIAL_PAUSE = timedelta(milliseconds=250)
"""When a borrower may ask again whom nothing could be lent; it doubles with each denial."""

MAX_PAUSE = timedelta(seconds=2)
"""The longest time for which a borrower leaves a lender alone after denials."""

RENEWAL_BITS = 16
_MAX_RENEWALS = (1 << RENEWAL_BITS) - 1
_NUMBER_BITS = 46
_MILLISECOND = timedelta(milliseconds=1)


def longest_loan(limit: Limit, drift: float) -> timedelta:
    """Return the longest term for which units of the limit are lent.

    What the borrower counts of it still exceeds the longest use by the margin.
    """
    return (limit.longest_use + LOAN_MARGIN) / (1 - drift)


def loan_numbers(me: Incarnation) -> Iterator[int]:
    """Yield loan numbers that no other life of this seat uses, so that its grants aren't ours."""
    digest = hashlib.blake2b(str(me).encode(), digest_size=8).digest()
    loan = int.from_bytes(digest, "big") >> (64 - _NUMBER_BITS)
    while True:
        loan += 1
        yield loan


def denial(req: LoanRequest) -> LoanGrant:
    """Return the message that nothing is lent."""
    return LoanGrant(req.number, req.key, 0, 0, DENIAL_PAUSE // _MILLISECOND)


class Lending:
    """Units lent to one borrower; `amount` is 0 once they are back."""

    __slots__ = ("amount", "expires", "granted", "number", "recalled", "term")

    def __init__(self, number: int, amount: int, term: timedelta) -> None:
        self.number = number
        self.amount = amount
        self.granted = amount
        self.term = term
        self.expires = timedelta(0)
        self.recalled: timedelta | None = None

    def grant(self, key: str) -> LoanGrant:
        """Return the message for the last number granted."""
        return LoanGrant(self.number, key, self.granted, self.term // _MILLISECOND, 0)


class GrantedLoans:
    """The lender's book of one limit.

    A lending that was returned stays in the book until its term is over, so that a late copy of
    its request is recognised and not granted anew.
    """

    __slots__ = ("_book", "_drift", "lent")

    def __init__(self, drift: float) -> None:
        self.lent = 0
        self._drift = drift
        self._book: dict[tuple[Incarnation, int], Lending] = {}

    def __len__(self) -> int:
        return len(self._book)

    def find(self, borrower: Incarnation, number: int) -> Lending | None:
        """Return the lending that the number belongs to."""
        return self._book.get((borrower, number >> RENEWAL_BITS))

    def answer(
        self,
        borrower: Incarnation,
        req: LoanRequest,
        spare: int,
        longest: timedelta,
        now: timedelta,
    ) -> LoanGrant | None:
        """Answer a request; None if it is a late copy of one that is over.

        Parameters
        ----------
        spare
            The units that can be lent; negative if units that are lent are wanted back.
        longest
            The longest term.
        """
        lending = self.find(borrower, req.number)
        term = min(req.term_ms * _MILLISECOND, longest)
        if lending is None:
            amount = min(req.amount, spare)
            if amount <= 0 or req.number & _MAX_RENEWALS:
                return denial(req)
            lending = self._lend(borrower, req.number, amount, term, now)
            return lending.grant(req.key)
        if not lending.amount or req.number < lending.number:
            return None
        if req.number > lending.number:
            if spare < 0 or lending.recalled is not None:
                return denial(req)
            self._renew(lending, req.number, term, now)
        return lending.grant(req.key)

    def _lend(
        self, borrower: Incarnation, number: int, amount: int, term: timedelta, now: timedelta
    ) -> Lending:
        """Subtract `amount` and return the new lending."""
        lending = Lending(number, amount, term)
        self.lent += amount
        lending.expires = now + term * (1 + self._drift)
        self._book[borrower, number >> RENEWAL_BITS] = lending
        return lending

    def _renew(self, lending: Lending, number: int, term: timedelta, now: timedelta) -> None:
        """Lend the same units for another term from now on."""
        lending.number = number
        lending.term = term
        lending.expires = max(lending.expires, now + term * (1 + self._drift))

    def close(self, lending: Lending) -> None:
        """Add the units back; closing twice changes nothing."""
        self.lent -= lending.amount
        lending.amount = 0

    def expire(self, now: timedelta) -> None:
        """Close and forget the lendings whose term is over."""
        for name in [name for name, lending in self._book.items() if now >= lending.expires]:
            self.close(self._book.pop(name))

    def recall(self, amount: int, now: timedelta) -> list[tuple[str, int]]:
        """Choose lendings of together at least `amount`; return seat and number to recall now."""
        due = []
        for (borrower, _), lending in self._book.items():
            if amount <= 0:
                break
            if not lending.amount:
                continue
            amount -= lending.amount
            if lending.recalled is None or now >= lending.recalled + RECALL_INTERVAL:
                lending.recalled = now
                due.append((borrower.seat, lending.number))
        return due


class Loan:
    """Units borrowed until `expires`, as the borrower counts it."""

    __slots__ = (
        "amount",
        "asked",
        "expires",
        "last_used",
        "lender",
        "number",
        "recalled",
        "renewable",
        "used",
    )

    def __init__(self, lender: Incarnation, number: int, amount: int, asked: timedelta) -> None:
        self.lender = lender
        self.number = number
        self.amount = amount
        self.asked = asked
        self.expires = timedelta(0)
        self.last_used = timedelta(0)
        self.used = 0
        self.recalled = False
        self.renewable = True


class Ask:
    """A request for a new loan that has no answer yet."""

    __slots__ = ("amount", "asked", "number", "seat", "sent", "tries")

    def __init__(self, seat: str, number: int, amount: int, now: timedelta) -> None:
        self.seat = seat
        self.number = number
        self.amount = amount
        self.asked = now
        self.sent = now
        self.tries = 1


class _Pause(t.NamedTuple):
    """Until when a lender is left alone, and for how long it was this time."""

    until: timedelta
    length: timedelta


class BorrowedLoans:
    """The borrower's book of one limit: loans by their number, and requests under way."""

    __slots__ = ("_drift", "asks", "loans", "pauses")

    def __init__(self, drift: float) -> None:
        self._drift = drift
        self.loans: dict[int, Loan] = {}
        self.asks: dict[int, Ask] = {}
        self.pauses: dict[str, _Pause] = {}

    def __len__(self) -> int:
        return len(self.loans) + len(self.asks)

    def live(self, now: timedelta) -> Iterator[tuple[int, Loan]]:
        """Yield the loans that new uses may start under."""
        for number, loan in self.loans.items():
            if not loan.recalled and now < loan.expires:
                yield number, loan

    def free(self, now: timedelta) -> int:
        """Return the units that new uses may take, whatever their deadline."""
        return sum(loan.amount - loan.used for _, loan in self.live(now))

    def borrowed(self) -> int:
        """Return the units of all loans."""
        return sum(loan.amount for loan in self.loans.values())

    def use(self, amount: int, deadline: timedelta, now: timedelta) -> int | None:
        """Take units of one loan for a use that ends inside it; return the loan's number."""
        for number, loan in self.live(now):
            if loan.amount - loan.used >= amount and deadline + STOP_GRACE <= loan.expires:
                loan.used += amount
                loan.last_used = now
                return number
        return None

    def end_use(self, number: int, amount: int, now: timedelta) -> None:
        """Put units back into the loan, if it is still there."""
        loan = self.loans.get(number)
        if loan:
            loan.used -= amount
            loan.last_used = now

    def ask(self, loan: int, seat: str, amount: int, now: timedelta) -> int:
        """Note a request for a new loan and return its number."""
        number = loan << RENEWAL_BITS
        self.asks[loan] = Ask(seat, number, amount, now)
        return number

    def asked(self) -> int:
        """Return the units that requests under way ask for."""
        return sum(ask.amount for ask in self.asks.values())

    def take(self, lender: Incarnation, grant: LoanGrant, now: timedelta) -> bool:
        """Take a grant; return False if it is of no use and has to go back."""
        number = grant.number >> RENEWAL_BITS
        loan = self.loans.get(number)
        if loan:
            self._renew(loan, lender, grant)
            return True
        ask = self.asks.get(number)
        if ask is None or ask.seat != lender.seat:
            return False
        del self.asks[number]
        self.pauses.pop(lender.seat, None)
        expires = self._expiry(ask.asked, grant)
        if expires <= now:
            return False
        loan = Loan(lender, grant.number, grant.amount, ask.asked)
        loan.expires = expires
        loan.last_used = now
        self.loans[number] = loan
        return True

    def refuse(self, lender: Incarnation, grant: LoanGrant, now: timedelta) -> None:
        """Take a denial: leave the lender alone for a while, or let the loan run out."""
        number = grant.number >> RENEWAL_BITS
        loan = self.loans.get(number)
        if loan and loan.number == grant.number and loan.lender == lender:
            loan.renewable = False
            return
        ask = self.asks.get(number)
        if ask and ask.seat == lender.seat:
            del self.asks[number]
            self._pause(ask.seat, timedelta(milliseconds=grant.retry_ms), now)

    def mark_used(self, amount: int, now: timedelta) -> None:
        """Note that `amount` units of a rate are in use, the oldest loans first."""
        for _, loan in self.live(now):
            if amount <= 0:
                return
            loan.last_used = now
            amount -= loan.amount

    def recall(self, lender: Incarnation, number: int) -> bool:
        """Start nothing more under the loan; return False if there is no such loan any more."""
        self.asks.pop(number >> RENEWAL_BITS, None)
        loan = self.loans.get(number >> RENEWAL_BITS)
        if loan and loan.lender == lender:
            loan.recalled = True
        return loan is not None

    def due_renewals(self, longest_use: timedelta, now: timedelta) -> Iterator[Loan]:
        """Renumber and yield the loans in use whose renewal is to be asked for now."""
        for loan in self.loans.values():
            late = loan.expires - now < longest_use + LOAN_MARGIN / 2
            waiting = now < loan.asked + ASK_TIMEOUT
            if late and not waiting and self._in_demand(loan, now):
                loan.number += 1
                loan.asked = now
                yield loan

    def repeat(self, now: timedelta, *, give_up: bool) -> Iterator[tuple[Ask, bool]]:
        """Yield the requests to send again, and those that are given up (False)."""
        for name, ask in list(self.asks.items()):
            if now < ask.sent + ASK_TIMEOUT and not give_up:
                continue
            if ask.tries == MAX_TRIES or give_up:
                del self.asks[name]
                self._pause(ask.seat, MAX_PAUSE, now)
                yield ask, False
                continue
            ask.tries += 1
            ask.sent = now
            yield ask, True

    def drop_idle(self, now: timedelta, *, at_once: bool) -> list[tuple[str, int]]:
        """Forget loans that are over, and idle ones; return seat and number of the latter.

        A recalled loan goes back as soon as it is idle, as do all of them if `at_once`.
        """
        returned = []
        for number, loan in list(self.loans.items()):
            over = now >= loan.expires
            idle = not loan.used and (
                at_once or loan.recalled or now >= loan.last_used + IDLE_RETURN
            )
            if over or idle:
                del self.loans[number]
            if idle and not over:
                returned.append((loan.lender.seat, loan.number))
        return returned

    def may_ask(self, seat: str, now: timedelta) -> bool:
        """Tell whether the seat may be asked for a loan now."""
        pause = self.pauses.get(seat)
        if pause and now < pause.until:
            return False
        return all(ask.seat != seat for ask in self.asks.values())

    def _pause(self, seat: str, least: timedelta, now: timedelta) -> None:
        last = self.pauses.get(seat)
        length = max(least, 2 * last.length) if last else least
        length = min(length, MAX_PAUSE)
        self.pauses[seat] = _Pause(now + length, length)

    def _renew(self, loan: Loan, lender: Incarnation, grant: LoanGrant) -> None:
        if loan.number == grant.number and loan.lender == lender and grant.amount == loan.amount:
            loan.expires = max(loan.expires, self._expiry(loan.asked, grant))

    def _expiry(self, asked: timedelta, grant: LoanGrant) -> timedelta:
        return asked + timedelta(milliseconds=grant.term_ms) * (1 - self._drift)

    def _in_demand(self, loan: Loan, now: timedelta) -> bool:
        if loan.recalled or not loan.renewable or loan.number & _MAX_RENEWALS == _MAX_RENEWALS:
            return False
        return loan.used > 0 or now < loan.last_used + IDLE_RETURN
