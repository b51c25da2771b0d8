"""The shares of all limits at one entry: what it may use now, lends, borrows and settles.

Every unit of a limit belongs to at most one entry at any time. It moves for a while by loan
(:mod:`cardamomloft.core.loans`), and for good by a new division in a later revision
(:mod:`cardamomloft.core.ownership`). A restarted entry owns nothing until the uses and loans of its
predecessor are over (quarantine), and then only as under a new division.
"""

import itertools
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta

from cardamomloft.core.accounts import Account, ShareRow
from cardamomloft.core.clock import Clock
from cardamomloft.core.lending import Borrower, Lender
from cardamomloft.core.limits import Limit, LimitKind, base_shares
from cardamomloft.core.loans import denial, longest_loan
from cardamomloft.core.messages import (
    Digest,
    LoanGrant,
    LoanRecall,
    LoanRequest,
    LoanReturn,
    Outgoing,
)
from cardamomloft.core.model import Hold, Incarnation, Refusal, RefusalReason
from cardamomloft.core.ownership import CoHolders
from expression import Error, Ok, Result

REVIEW_INTERVAL = timedelta(milliseconds=200)
"""How often a division that is not settled is looked at without a report."""

_ZERO = timedelta(0)

LoanMessage = LoanRequest | LoanGrant | LoanReturn | LoanRecall


def _refused(reason: RefusalReason, detail: str) -> Result[Hold, Refusal]:
    return Error(Refusal(reason, detail))


_NO_LIMIT = _refused(RefusalReason.NO_PLACE, "no such limit")
_CLOSED = _refused(RefusalReason.STOPPING, "all shares are handed over")
_NO_SHARE = _refused(RefusalReason.OVERLOAD, "no share is free")
_BAD_DEADLINE = _refused(RefusalReason.DEADLINE, "the deadline is past or too far off")


class Shares:
    """Every limit at one entry.

    Parameters
    ----------
    me
        This process; another life of the seat never has the same number.
    drift
        How far any entry's monotonic clock may be from true time, as a fraction.
    """

    def __init__(self, me: Incarnation, clock: Clock, *, drift: float = 0.01) -> None:
        self.before_rate_change: Callable[[str], None] | None = None
        # Until this life is recorded, its successor could not know that it had been there.
        self.may_own = True
        self._me = me
        self._clock = clock
        self._drift = drift
        self._revision = 0
        self._settled = 0
        self._limits: Mapping[str, Limit] = {}
        self._accounts: dict[str, Account] = {}
        self._active: set[str] = set()
        self._open: set[str] = set()
        self._holds: set[int] = set()
        self._others = CoHolders()
        self._hold_numbers = itertools.count(1)
        self._lender = Lender(drift)
        self._borrower = Borrower(me, drift, self._others)
        self._quarantined_at: timedelta | None = None
        self._configured = 0
        self._reviewed_at = clock.monotonic()
        self._stopping = False
        self._closed = False

    @property
    def settled(self) -> int:
        """The highest revision whose division this entry keeps and vouches for; 0 for none."""
        return self._settled

    @property
    def partners(self) -> frozenset[str]:
        """The seats whose digests this entry waits for, or that may wait for its own."""
        accounts = self._accounts.values()
        seats = {seat for a in accounts for seat in (*a.limit.holders, *a.ownership.before)}
        return frozenset(seats - {self._me.seat})

    @property
    def owns_any(self) -> bool:
        """Whether this entry owns a unit of anything."""
        return any(account.ownership.own for account in self._accounts.values())

    @property
    def awaited(self) -> frozenset[str]:
        """The seats whose agreement keeps this entry from owning a base share."""
        seats = set()
        for key in self._open:
            account = self._accounts[key]
            if not account.ownership.complete:
                seats.update(account.limit.holders, account.ownership.before)
        seats.discard(self._me.seat)
        return frozenset(s for s in seats if not self._others.agrees(s, self._revision))

    @property
    def is_clear(self) -> bool:
        """Whether after :meth:`hand_over` nothing is used, lent or borrowed any more.

        From then on nothing can be acquired, and a successor may start without quarantine.
        """
        if self._stopping and not self._holds:
            now = self._clock.monotonic()
            self._closed = all(account.is_clear(now) for account in self._accounts.values())
        return self._closed

    def configure(
        self, revision: int, limits: Mapping[str, Limit], *, quarantine: bool = False
    ) -> None:
        """Take the limits of a higher revision; a lower or the same one changes nothing.

        Parameters
        ----------
        quarantine
            At the first call: whether an earlier life of this seat may have left uses or loans
            behind. False only for the first life, and after a clean hand-over.
        """
        if revision <= self._revision:
            return
        now = self._clock.monotonic()
        if not self._revision and quarantine:
            self._quarantined_at = now
        self._configured += 1
        known, self._limits, self._revision = self._limits, limits, revision
        held = {key for key, limit in limits.items() if self._me.seat in limit.holders}
        for key in sorted(held | set(self._accounts)):
            self._divide(key, known.get(key), limits.get(key), now)
        self._review()

    def lift_quarantine(self) -> None:
        """Take it that no earlier life left anything behind, which was not known at first.

        After a second revision it is too late: other waits may have been added to the quarantine.
        """
        if self._quarantined_at is None or self._configured > 1:
            return
        self._quarantined_at = None
        for account in self._accounts.values():
            account.ownership.wait_until = _ZERO
        self._review()

    def acquire(self, key: str, amount: int, deadline: timedelta) -> Result[Hold, Refusal]:
        """Take `amount` units for a use that ends by the monotonic instant `deadline`.

        The units come whole from the own share or whole from one loan.
        """
        now = self._clock.monotonic()
        account = self._accounts.get(key) or self._open_account(key)
        if account is None:
            return _NO_LIMIT
        if self._closed:
            return _CLOSED
        if not now < deadline <= now + account.limit.longest_use:
            return _BAD_DEADLINE
        loan = None
        if account.free_own() >= amount:
            account.used += amount
            account.record_use(account.used, now)
        else:
            loan = account.loans.use(amount, deadline, now) if account.loans else None
            if loan is None:
                return _NO_SHARE
        number = next(self._hold_numbers)
        self._holds.add(number)
        return Ok(Hold(number, key, amount, deadline, loan))

    def release(self, hold: Hold) -> None:
        """Give the units back; releasing twice changes nothing."""
        if hold.number not in self._holds:
            return
        self._holds.remove(hold.number)
        account = self._accounts[hold.key]
        if hold.loan is None:
            account.used -= hold.amount
            over = account.used + account.lent - account.ownership.base
            if -hold.amount < over <= 0:
                self._review()
        elif account.loans:
            account.loans.end_use(hold.loan, hold.amount, self._clock.monotonic())

    def free(self, key: str) -> int:
        """Return the units that a use may take now: of the own share or, if short, of loans."""
        account = self._accounts.get(key)
        return account.free(self._clock.monotonic()) if account else 0

    def has_limit(self, key: str) -> bool:
        """Tell whether the document has a limit of this name."""
        return key in self._limits

    def base(self, key: str) -> int:
        """Return this entry's base share of a limit, whether or not it owns it yet."""
        account = self._accounts.get(key)
        return account.ownership.base if account else 0

    def want(self, key: str, amount: int) -> None:
        """Say how many units are wanted beyond those in use; 0 when none are any more.

        Of a RATE limit, say the whole rate that is wanted.
        """
        account = self._accounts.get(key) or self._open_account(key)
        if account:
            account.wanted = amount
            self._active.add(key)

    def observe(self, key: str, rate: int) -> None:
        """Say at what rate a RATE limit is used, so that this much of it is kept."""
        account = self._accounts.get(key)
        if account:
            now = self._clock.monotonic()
            account.record_use(min(rate, account.ownership.own), now)
            if account.loans:
                account.loans.mark_used(rate - account.free_own(), now)

    def rates(self, key: str, since: timedelta) -> Iterator[tuple[timedelta, int]]:
        """Yield the spans from `since` until now with the rate that was this entry's in each.

        Right only if nothing but loans running out has changed the rate since then; see
        `before_rate_change`, which is called with the key before anything else does.
        """
        account = self._accounts.get(key) or self._open_account(key)
        now = self._clock.monotonic()
        if account is None or now <= since:
            return
        loans = [loan for _, loan in account.loans.live(since)] if account.loans else []
        ends = {loan.expires for loan in loans if loan.expires < now}
        start = since
        for end in sorted({*ends, now}):
            borrowed = sum(loan.amount for loan in loans if loan.expires >= end)
            yield end - start, max(account.free_own(), 0) + borrowed
            start = end

    def on_digest(self, sender: Incarnation, digest: Digest) -> None:
        """Take a peer's report of the revision that it has in force and has settled."""
        self._others.on_digest(sender, digest, self._clock.monotonic())
        self._review()

    def on_gone(self, seat: str) -> None:
        """Take from the platform's list that the seat's VM is gone."""
        self._others.on_gone(seat, self._clock.monotonic())

    def on_listed(self, seat: str) -> None:
        """Take from the platform's list that the seat has a VM that is not gone."""
        self._others.on_listed(seat)

    def hand_over(self) -> list[Outgoing]:
        """Begin a planned stop: return and recall loans; go on with tick until `is_clear`."""
        self._stopping = True
        return self.tick()

    def rows(self) -> list[ShareRow]:
        """Return the state of every limit that this entry holds or uses, for status pages."""
        return [account.row(key) for key, account in sorted(self._accounts.items())]

    def on_message(self, sender: Incarnation, message: LoanMessage) -> list[Outgoing]:
        """Take a loan message from another entry and return the answers."""
        account = self._accounts.get(message.key)
        now = self._clock.monotonic()
        if account:
            self._touch(account)
        match message:
            case LoanRequest():
                answer = self._lend(account, sender, message, now) if account else denial(message)
            case LoanGrant():
                answer = self._borrower.take(account, sender, message, now)
            case LoanReturn():
                answer = self._lender.close(account, sender, message)
            case LoanRecall():
                known = account and account.loans and account.loans.recall(sender, message.number)
                answer = None if known else LoanReturn(message.number, message.key)
        return [Outgoing(sender.seat, answer)] if answer else []

    def tick(self) -> list[Outgoing]:
        """Let loans run out, and send what is due; call it every 20 to 50 ms."""
        now = self._clock.monotonic()
        if now - self._reviewed_at >= REVIEW_INTERVAL:
            self._review()
        outgoing: list[Outgoing] = []
        for key in sorted(self._active):
            account = self._accounts[key]
            self._touch(account)
            outgoing += self._lender.tick(key, account, now, stopping=self._stopping)
            outgoing += self._borrower.tick(key, account, now, stopping=self._stopping)
            if not account.wanted and not account.granted_loans and not account.loans:
                self._active.discard(key)
        return outgoing

    def _divide(self, key: str, old: Limit | None, new: Limit | None, now: timedelta) -> None:
        """Move one account to the new revision's limit; `old` is the last revision's, if any."""
        me = self._me.seat
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = Account(new)
        else:
            old = account.limit
        limit = account.limit = new or old._replace(capacity=0, holders=())
        owned = account.ownership
        holds = me in limit.holders or (old is not None and me in old.holders)
        if not holds and owned.complete and owned.settled:
            if not account.is_busy:
                self._active.discard(key)
                del self._accounts[key]
            return
        self._touch(account)
        owned.overhang = max(owned.overhang, self._overhang(limit))
        if old is None or (old.capacity, old.holders) != (limit.capacity, limit.holders):
            before = [seat for seat in old.holders if seat != me] if old else ()
            owned.divide(base_shares(limit).get(me, 0), before, self._revision, now)
        self._delay(account, old, now)
        self._open.add(key)

    def _delay(self, account: Account, old: Limit | None, now: timedelta) -> None:
        """Let what may last longer than the new limit's longest use end first."""
        owned = account.ownership
        if self._quarantined_at is not None:
            until = self._quarantined_at + owned.overhang
            owned.wait_until = max(owned.wait_until, until)
        if old and account.limit.longest_use < old.longest_use and account.is_busy:
            owned.wait_until = max(owned.wait_until, now + owned.overhang)
            owned.settled = False

    def _review(self) -> None:
        if not self.may_own:
            return
        now = self._reviewed_at = self._clock.monotonic()
        still_open = set()
        settled = True
        for key in sorted(self._open):
            account = self._accounts[key]
            owned = account.ownership
            self._touch(account)
            holders = [seat for seat in account.limit.holders if seat != self._me.seat]
            occupied = account.used + account.lent
            owned.review(occupied, holders, self._others, self._revision, now)
            settled = settled and owned.settled
            if not (owned.settled and owned.complete):
                still_open.add(key)
        self._open = still_open
        if settled:
            self._settled = self._revision

    def _overhang(self, limit: Limit) -> timedelta:
        """Return after what time all that began under the limit is over, by any clock."""
        longest = limit.longest_use + longest_loan(limit, self._drift)
        return longest * (1 + 3 * self._drift)

    def _open_account(self, key: str) -> Account | None:
        """Return a new account of a limit of which this entry holds nothing."""
        limit = self._limits.get(key)
        if limit is None:
            return None
        account = self._accounts[key] = Account(limit)
        return account

    def _touch(self, account: Account) -> None:
        if account.limit.kind is LimitKind.RATE and self.before_rate_change:
            self.before_rate_change(account.limit.key)

    def _lend(
        self, account: Account, borrower: Incarnation, req: LoanRequest, now: timedelta
    ) -> LoanGrant | None:
        self._active.add(req.key)
        return self._lender.answer(account, borrower, req, now, stopping=self._stopping)
