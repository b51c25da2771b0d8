"""The shares of all limits at one entry: the units it may use, lend and borrow.

Every unit of a limit belongs to at most one entry at any time. It moves temporarily by a loan
(:mod:`cardamomloft.core.loans`), and permanently by a new division in a later revision
(:mod:`cardamomloft.core.ownership`). A restarted entry owns nothing until the uses and loans of
its predecessor are over (quarantine); then it obtains its base shares as under a new division.
"""

import itertools
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta

from cardamomloft.core.accounts import Account, ShareRow
from cardamomloft.core.clock import Clock
from cardamomloft.core.lending import Borrower, Lender
from cardamomloft.core.limits import Limit, LimitKind, base_shares
from cardamomloft.core.loans import denial, max_loan_term
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
"""Interval at which unsettled divisions are reviewed when no digest arrives."""

_ZERO = timedelta(0)

LoanMessage = LoanRequest | LoanGrant | LoanReturn | LoanRecall


def _refused(reason: RefusalReason, detail: str) -> Result[Hold, Refusal]:
    return Error(Refusal(reason, detail))


_NO_LIMIT = _refused(RefusalReason.NO_PLACE, "the configuration has no such limit")
_CLOSED = _refused(RefusalReason.STOPPING, "the entry is stopping and has released its shares")
_NO_SHARE = _refused(RefusalReason.OVERLOAD, "no units of the limit are free at this entry")
_BAD_DEADLINE = _refused(
    RefusalReason.DEADLINE, "the deadline is past, or later than the limit's longest use allows"
)


class Shares:
    """The accounts of all limits at one entry.

    Parameters
    ----------
    me
        This process; another incarnation of the seat never has the same number.
    drift
        How far any entry's monotonic clock may be from true time, as a fraction.
    """

    def __init__(self, me: Incarnation, clock: Clock, *, drift: float = 0.01) -> None:
        self.before_rate_change: Callable[[str], None] | None = None
        # False until this incarnation is recorded: its successor must be quarantined, and learns
        # that only from the record.
        self.may_own = True
        self._me = me
        self._clock = clock
        self._drift = drift
        self._revision = 0
        self._settled = 0
        self._limits: Mapping[str, Limit] = {}
        self._accounts: dict[str, Account] = {}
        self._active: set[str] = set()
        self._unsettled: set[str] = set()
        self._holds: set[int] = set()
        self._co_holders = CoHolders()
        self._hold_numbers = itertools.count(1)
        self._lender = Lender(drift)
        self._borrower = Borrower(me, drift, self._co_holders)
        self._quarantined_at: timedelta | None = None
        self._revision_count = 0
        self._reviewed_at = clock.monotonic()
        self._stopping = False
        self._closed = False

    @property
    def settled(self) -> int:
        """The highest revision whose division this entry reports as settled; 0 for none."""
        return self._settled

    @property
    def partners(self) -> frozenset[str]:
        """The other holders, and the former owners, of the limits that this entry holds."""
        accounts = self._accounts.values()
        seats = {seat for a in accounts for seat in (*a.limit.holders, *a.ownership.former_owners)}
        return frozenset(seats - {self._me.seat})

    @property
    def owns_any(self) -> bool:
        """Whether this entry owns a unit of any limit."""
        return any(account.ownership.own for account in self._accounts.values())

    @property
    def awaited(self) -> frozenset[str]:
        """The seats whose missing digests keep this entry from owning a base share."""
        seats = set()
        for key in self._unsettled:
            account = self._accounts[key]
            if not account.ownership.complete:
                seats.update(account.limit.holders, account.ownership.former_owners)
        seats.discard(self._me.seat)
        return frozenset(
            s for s in seats if not self._co_holders.settled_exactly(s, self._revision)
        )

    @property
    def is_clear(self) -> bool:
        """Whether nothing is used, lent or borrowed any longer after :meth:`hand_over`.

        Once it is true, no units can be acquired, and a successor may start without quarantine.
        """
        if self._stopping and not self._holds:
            now = self._clock.monotonic()
            self._closed = all(account.is_clear(now) for account in self._accounts.values())
        return self._closed

    def configure(
        self, revision: int, limits: Mapping[str, Limit], *, quarantine: bool = False
    ) -> None:
        """Apply the limits of a higher revision; the same or a lower one has no effect.

        Parameters
        ----------
        quarantine
            At the first call: whether uses or loans of an earlier incarnation of this seat may
            still exist. False only for the first incarnation and after a clean hand-over.
        """
        if revision <= self._revision:
            return
        now = self._clock.monotonic()
        if not self._revision and quarantine:
            self._quarantined_at = now
        self._revision_count += 1
        previous, self._limits, self._revision = self._limits, limits, revision
        held = {key for key, limit in limits.items() if self._me.seat in limit.holders}
        for key in sorted(held | set(self._accounts)):
            self._apply_limit(key, previous.get(key), limits.get(key), now)
        self._review()

    def lift_quarantine(self) -> None:
        """End the quarantine, because no uses or loans of an earlier incarnation can exist.

        It has no effect after a second revision, which may have extended the wait for other
        reasons.
        """
        if self._quarantined_at is None or self._revision_count > 1:
            return
        self._quarantined_at = None
        for account in self._accounts.values():
            account.ownership.wait_until = _ZERO
        self._review()

    def acquire(self, key: str, amount: int, deadline: timedelta) -> Result[Hold, Refusal]:
        """Take `amount` units for a use that ends by the monotonic time `deadline`.

        All units come from the entry's own share, or all from one loan.
        """
        now = self._clock.monotonic()
        account = self._accounts.get(key) or self._add_account(key)
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
        """Return the units; calling it again has no effect."""
        if hold.number not in self._holds:
            return
        self._holds.remove(hold.number)
        account = self._accounts[hold.key]
        if hold.loan is None:
            account.used -= hold.amount
            excess = account.used + account.lent - account.ownership.base
            # This release has reduced the occupied units to the base share or below.
            if -hold.amount < excess <= 0:
                self._review()
        elif account.loans:
            account.loans.end_use(hold.loan, hold.amount, self._clock.monotonic())

    def free(self, key: str) -> int:
        """Return the units available now, of the entry's own share and of its loans."""
        account = self._accounts.get(key)
        return account.free(self._clock.monotonic()) if account else 0

    def has_limit(self, key: str) -> bool:
        """Return whether the document defines a limit with this key."""
        return key in self._limits

    def base(self, key: str) -> int:
        """Return this entry's base share of a limit, even if it does not own it yet."""
        account = self._accounts.get(key)
        return account.ownership.base if account else 0

    def want(self, key: str, amount: int) -> None:
        """Set how many units are wanted beyond those in use; 0 ends the demand.

        For a RATE limit, `amount` is the total rate that is wanted, including the rate in use.
        """
        account = self._accounts.get(key) or self._add_account(key)
        if account:
            account.wanted = amount
            self._active.add(key)

    def observe(self, key: str, rate: int) -> None:
        """Record the rate at which a RATE limit is used, so that it is not lent or returned."""
        account = self._accounts.get(key)
        if account:
            now = self._clock.monotonic()
            account.record_use(min(rate, account.ownership.own), now)
            if account.loans:
                account.loans.mark_used(rate - account.free_own(), now)

    def rates(self, key: str, since: timedelta) -> Iterator[tuple[timedelta, int]]:
        """Yield the time spans from `since` until now, each with this entry's rate during it.

        The result is valid only if nothing but the expiry of loans changed the rate since then.
        `before_rate_change` is called with the key before any other change.
        """
        account = self._accounts.get(key) or self._add_account(key)
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
        """Apply a peer's report of the revisions that it has in force and settled."""
        self._co_holders.on_digest(sender, digest, self._clock.monotonic())
        self._review()

    def on_gone(self, seat: str) -> None:
        """Record that the seat's VM is gone, according to the platform's list."""
        self._co_holders.on_gone(seat, self._clock.monotonic())

    def on_listed(self, seat: str) -> None:
        """Record that the platform's list has a VM for the seat that is not gone."""
        self._co_holders.on_listed(seat)

    def hand_over(self) -> list[Outgoing]:
        """Begin a planned stop: return and recall loans; call `tick` until `is_clear`."""
        self._stopping = True
        return self.tick()

    def rows(self) -> list[ShareRow]:
        """Return the state of every limit that this entry holds or uses, for status pages."""
        return [account.row(key) for key, account in sorted(self._accounts.items())]

    def on_message(self, sender: Incarnation, message: LoanMessage) -> list[Outgoing]:
        """Handle a loan message from another entry and return the answers."""
        account = self._accounts.get(message.key)
        now = self._clock.monotonic()
        if account:
            self._notify_rate_change(account)
        match message:
            case LoanRequest():
                answer = self._lend(account, sender, message, now) if account else denial(message)
            case LoanGrant():
                answer = self._borrower.on_grant(account, sender, message, now)
            case LoanReturn():
                answer = self._lender.close(account, sender, message)
            case LoanRecall():
                found = account and account.loans and account.loans.recall(sender, message.number)
                answer = None if found else LoanReturn(message.number, message.key)
        return [Outgoing(sender.seat, answer)] if answer else []

    def tick(self) -> list[Outgoing]:
        """Expire loans and return the messages that are due; call it every 20 to 50 ms."""
        now = self._clock.monotonic()
        if now - self._reviewed_at >= REVIEW_INTERVAL:
            self._review()
        outgoing: list[Outgoing] = []
        for key in sorted(self._active):
            account = self._accounts[key]
            self._notify_rate_change(account)
            outgoing += self._lender.tick(key, account, now, stopping=self._stopping)
            outgoing += self._borrower.tick(key, account, now, stopping=self._stopping)
            if not account.wanted and not account.granted_loans and not account.loans:
                self._active.discard(key)
        return outgoing

    def _apply_limit(self, key: str, old: Limit | None, new: Limit | None, now: timedelta) -> None:
        """Apply the new revision's limit to one account; `old` is the previous one, if any."""
        me = self._me.seat
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = Account(new)
        else:
            old = account.limit
        limit = account.limit = new or old._replace(capacity=0, holders=())
        ownership = account.ownership
        is_holder = me in limit.holders or (old is not None and me in old.holders)
        if not is_holder and ownership.complete and ownership.settled:
            if not account.is_busy:
                self._active.discard(key)
                del self._accounts[key]
            return
        self._notify_rate_change(account)
        ownership.max_carryover = max(ownership.max_carryover, self._carryover_bound(limit))
        if old is None or (old.capacity, old.holders) != (limit.capacity, limit.holders):
            former_owners = [seat for seat in old.holders if seat != me] if old else ()
            ownership.begin_division(
                base_shares(limit).get(me, 0), former_owners, self._revision, now
            )
        self._extend_wait(account, old, now)
        self._unsettled.add(key)

    def _extend_wait(self, account: Account, old: Limit | None, now: timedelta) -> None:
        """Extend the wait for uses and loans that may exist from before this revision.

        They are those of an earlier incarnation under quarantine, and those that may outlast the
        new longest use.
        """
        ownership = account.ownership
        if self._quarantined_at is not None:
            until = self._quarantined_at + ownership.max_carryover
            ownership.wait_until = max(ownership.wait_until, until)
        if old and account.limit.longest_use < old.longest_use and account.is_busy:
            ownership.wait_until = max(ownership.wait_until, now + ownership.max_carryover)
            ownership.settled = False

    def _review(self) -> None:
        if not self.may_own:
            return
        now = self._reviewed_at = self._clock.monotonic()
        still_unsettled = set()
        settled = True
        for key in sorted(self._unsettled):
            account = self._accounts[key]
            ownership = account.ownership
            self._notify_rate_change(account)
            holders = [seat for seat in account.limit.holders if seat != self._me.seat]
            occupied = account.used + account.lent
            ownership.review(occupied, holders, self._co_holders, self._revision, now)
            settled = settled and ownership.settled
            if not (ownership.settled and ownership.complete):
                still_unsettled.add(key)
        self._unsettled = still_unsettled
        if settled:
            self._settled = self._revision

    def _carryover_bound(self, limit: Limit) -> timedelta:
        """Return the time after which all uses and loans begun under the limit have ended.

        It allows for the drift of every clock involved.
        """
        longest = limit.longest_use + max_loan_term(limit, self._drift)
        return longest * (1 + 3 * self._drift)

    def _add_account(self, key: str) -> Account | None:
        """Return a new account for a limit of which this entry holds no share."""
        limit = self._limits.get(key)
        if limit is None:
            return None
        account = self._accounts[key] = Account(limit)
        return account

    def _notify_rate_change(self, account: Account) -> None:
        if account.limit.kind is LimitKind.RATE and self.before_rate_change:
            self.before_rate_change(account.limit.key)

    def _lend(
        self, account: Account, borrower: Incarnation, req: LoanRequest, now: timedelta
    ) -> LoanGrant | None:
        self._active.add(req.key)
        return self._lender.answer(account, borrower, req, now, stopping=self._stopping)
