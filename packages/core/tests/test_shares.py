import typing as t
from datetime import timedelta

import pytest
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.limits import Limit, LimitKind
from cardamomloft.core.messages import Digest, LoanGrant, LoanRecall, LoanRequest, LoanReturn
from cardamomloft.core.model import Hold, Incarnation, RefusalReason
from cardamomloft.core.rates import BURST, Pacer
from cardamomloft.core.shares import Shares

KEY = "slots/e"
SECOND = timedelta(seconds=1)
MS = timedelta(milliseconds=1)
MAX_CARRYOVER = 14 * SECOND  # above the longest use plus the longest loan, with drift


def limits(
    *holders: str, capacity: int = 1, longest: int = 4, kind: LimitKind = LimitKind.CONCURRENCY
) -> dict[str, Limit]:
    return {KEY: Limit(KEY, kind, capacity, holders, longest * SECOND)}


def digest(revision: int, settled: int | None = None) -> Digest:
    return Digest(revision, revision if settled is None else settled, "ready", "", 0)


class Entry:
    def __init__(self, seat: str, clock: ManualClock) -> None:
        self.me = Incarnation(seat, "1")
        self.clock = clock
        self.shares = Shares(self.me, clock)

    def take(self, seconds: float = 1) -> Hold | None:
        result = self.shares.acquire(KEY, 1, self.clock.monotonic() + seconds * SECOND)
        return result.ok if result.is_ok() else None


class Fleet:
    def __init__(self, seats: str, **kinds: t.Any) -> None:
        self.clock = ManualClock()
        self.entries = {seat: Entry(seat, self.clock) for seat in seats}
        self.messages = 0
        for entry in self.entries.values():
            entry.shares.configure(1, limits(*seats, **kinds))
        self.report(1)
        self.clock.advance(MS)

    def __getitem__(self, seat: str) -> Entry:
        return self.entries[seat]

    def report(self, revision: int) -> None:
        for entry in self.entries.values():
            for other in self.entries.values():
                if other is not entry:
                    other.shares.on_digest(entry.me, digest(revision, entry.shares.settled))

    def tick(self) -> None:
        for entry in self.entries.values():
            self.pass_on(entry, entry.shares.tick())

    def pass_on(self, entry: Entry, outgoing: list[t.Any]) -> None:
        for out in outgoing:
            self.messages += 1
            other = self.entries[out.seat]
            self.pass_on(other, other.shares.on_message(entry.me, out.message))


def message(outgoing: list[t.Any], kind: type) -> t.Any:
    found = [out.message for out in outgoing if isinstance(out.message, kind)]
    assert len(found) == 1, outgoing
    return found[0]


@pytest.fixture
def fleet() -> Fleet:
    """Two entries with one unit each."""
    return Fleet("ab", capacity=2)


def borrow(fleet: Fleet) -> tuple[Entry, Entry, LoanRequest, LoanGrant]:
    """Let entry a request the unit of b; return the request and the undelivered grant."""
    a, b = fleet["a"], fleet["b"]
    assert a.take()
    a.shares.want(KEY, 1)
    request = message(a.shares.tick(), LoanRequest)
    return a, b, request, message(b.shares.on_message(a.me, request), LoanGrant)


def test_share_grows_only_when_the_other_holders_settled_exactly_this_revision() -> None:
    a = Entry("a", ManualClock())
    a.shares.configure(2, limits("a", "b", capacity=2))
    b = Incarnation("b", "1")
    for report in (digest(1), digest(2, 1), digest(3)):
        a.shares.on_digest(Incarnation("b", f"incarnation{report.revision}"), report)
        assert a.take() is None
    a.shares.on_digest(b, digest(2))
    assert a.take()


def test_a_skipped_revision_cannot_hide_an_owner() -> None:
    """Revision 2, which a never received, moves the unit from b to c; c is partitioned at 2."""
    clock = ManualClock()
    a, b, c = (Entry(seat, clock) for seat in "abc")
    for entry in (a, b, c):
        entry.shares.configure(1, limits("b"))
    b.shares.on_digest(c.me, digest(1))
    c.shares.on_digest(b.me, digest(1))
    clock.advance(MS)
    for entry in (b, c):
        entry.shares.configure(2, limits("c"))
    c.shares.on_digest(b.me, digest(2, b.shares.settled))
    for entry in (a, b):
        entry.shares.configure(3, limits("a"))
    a.shares.on_digest(b.me, digest(3, b.shares.settled))
    clock.advance(10 * MAX_CARRYOVER)
    a.shares.tick()
    b.shares.tick()
    a.shares.on_digest(b.me, digest(3, b.shares.settled))
    assert c.take() and a.take() is None
    c.shares.configure(3, limits("a"))
    b.shares.on_digest(c.me, digest(3, 2))
    clock.advance(MAX_CARRYOVER)
    b.shares.tick()
    a.shares.on_digest(b.me, digest(3, b.shares.settled))
    a.shares.on_digest(c.me, digest(3, c.shares.settled))
    assert a.take() and c.take() is None


def test_a_new_division_settles_when_the_units_in_use_fit(fleet: Fleet) -> None:
    a = fleet["a"]
    hold = a.take()
    fleet["b"].shares.configure(2, limits("a", capacity=2))
    assert fleet["b"].take() is None
    a.shares.configure(2, limits("b", capacity=2))
    a.shares.on_digest(fleet["b"].me, digest(2))
    assert a.take() is None and a.shares.settled == 1
    a.shares.release(t.cast(Hold, hold))
    assert a.take() is None
    a.shares.tick()
    assert a.shares.settled == 2


def test_a_shorter_longest_use_settles_when_the_old_uses_are_over(fleet: Fleet) -> None:
    a = fleet["a"]
    hold = t.cast(Hold, a.take(4))
    a.shares.configure(2, limits("a", "b", capacity=2, longest=1))
    fleet.clock.advance(SECOND)
    a.shares.tick()
    assert a.shares.settled == 1
    fleet.clock.advance(MAX_CARRYOVER)
    a.shares.release(hold)
    a.shares.tick()
    assert a.shares.settled == 2


def test_unchanged_division_waits_for_no_other_entry(fleet: Fleet) -> None:
    a = fleet["a"]
    a.shares.configure(2, limits("a", "b", capacity=2))
    assert a.shares.settled == 2 and a.take()


def test_share_of_a_gone_holder_is_reassigned_only_after_its_uses_and_loans_ended(
    fleet: Fleet,
) -> None:
    a = fleet["a"]
    a.shares.configure(2, limits("a", capacity=2))
    a.shares.on_gone("b")
    fleet.clock.advance(MAX_CARRYOVER - 2 * SECOND)
    a.shares.tick()
    assert a.shares.free(KEY) == 1
    fleet.clock.advance(2 * SECOND)
    a.shares.tick()
    assert a.shares.free(KEY) == 2


def test_incarnation_first_seen_after_the_change_delays_reassignment(fleet: Fleet) -> None:
    a = fleet["a"]
    a.shares.configure(2, limits("a", capacity=2))
    a.shares.on_digest(Incarnation("b", "2"), digest(2))
    assert a.shares.free(KEY) == 1
    fleet.clock.advance(MAX_CARRYOVER)
    a.shares.tick()
    assert a.shares.free(KEY) == 2


def test_stale_platform_list_does_not_mark_the_replacement_as_gone(fleet: Fleet) -> None:
    a = fleet["a"]
    a.shares.configure(2, limits("a", capacity=2))
    a.shares.on_gone("b")
    a.shares.on_digest(Incarnation("b", "2"), digest(1))
    a.shares.on_gone("b")
    fleet.clock.advance(2 * MAX_CARRYOVER)
    a.shares.tick()
    assert a.shares.free(KEY) == 1


def test_restarted_entry_owns_nothing_during_quarantine() -> None:
    clock = ManualClock()
    a = Entry("a", clock)
    a.shares.configure(1, limits("a", "b", capacity=2), quarantine=True)
    a.shares.on_digest(Incarnation("b", "1"), digest(1))
    clock.advance(MAX_CARRYOVER - 2 * SECOND)
    a.shares.tick()
    assert a.take() is None and a.shares.settled == 0
    a.shares.hand_over()
    assert not a.shares.is_clear
    clock.advance(2 * SECOND)
    a.shares.tick()
    assert a.take() and a.shares.settled == 1


def test_duplicate_loan_request_gets_the_same_grant_and_is_subtracted_once(fleet: Fleet) -> None:
    a, b, request, grant = borrow(fleet)
    assert message(b.shares.on_message(a.me, request), LoanGrant) == grant
    assert b.shares.rows()[0].lent == 1
    b.shares.on_message(a.me, LoanReturn(request.number, KEY))
    b.shares.on_message(a.me, LoanReturn(request.number, KEY))
    assert b.shares.free(KEY) == 1
    assert b.shares.on_message(a.me, request) == [] and b.shares.free(KEY) == 1


def test_loan_term_starts_when_the_request_was_sent(fleet: Fleet) -> None:
    a, b, _, grant = borrow(fleet)
    fleet.clock.advance(grant.term_ms * MS)
    assert message(a.shares.on_message(b.me, grant), LoanReturn).number == grant.number
    assert a.shares.free(KEY) == 0


def test_the_borrower_stops_before_the_lender_starts(fleet: Fleet) -> None:
    a, b, _, grant = borrow(fleet)
    a.shares.on_message(b.me, grant)
    fleet.clock.advance(grant.term_ms * MS * 0.995)
    fleet.tick()
    assert a.take(0.1) is None and b.take() is None
    fleet.clock.advance(grant.term_ms * MS * 0.02)
    fleet.tick()
    assert b.take()


def test_a_use_must_end_inside_the_loan(fleet: Fleet) -> None:
    a, b, _, grant = borrow(fleet)
    a.shares.on_message(b.me, grant)
    fleet.clock.advance(6 * SECOND)
    assert a.take(3) is None
    assert a.take(1)


def test_late_grant_of_an_earlier_renewal_does_not_extend_the_loan(fleet: Fleet) -> None:
    a, b, _, grant = borrow(fleet)
    a.shares.on_message(b.me, grant)
    hold = t.cast(Hold, a.take())
    a.shares.want(KEY, 0)
    fleet.clock.advance(4 * SECOND)
    renewal = message(a.shares.tick(), LoanRequest)
    assert renewal.number == grant.number + 1
    a.shares.on_message(b.me, grant)
    a.shares.release(hold)
    fleet.clock.advance(6 * SECOND)
    assert a.take(0.1) is None


def test_recall_that_overtakes_the_grant_cancels_the_request(fleet: Fleet) -> None:
    a, b, _, grant = borrow(fleet)
    b.shares.want(KEY, 1)
    recall = message(b.shares.tick(), LoanRecall)
    b.shares.on_message(a.me, message(a.shares.on_message(b.me, recall), LoanReturn))
    assert b.take()
    a.shares.on_message(b.me, grant)
    assert a.shares.free(KEY) == 0


def test_grant_to_an_earlier_incarnation_is_returned(fleet: Fleet) -> None:
    _, b, _, grant = borrow(fleet)
    later = Shares(Incarnation("a", "2"), fleet.clock)
    later.configure(1, limits("a", "b", capacity=2), quarantine=True)
    later.want(KEY, 1)
    assert message(later.tick(), LoanRequest).number != grant.number
    assert message(later.on_message(b.me, grant), LoanReturn).number == grant.number
    assert later.free(KEY) == 0


def test_recalled_loan_is_returned_when_its_use_ends(fleet: Fleet) -> None:
    a, b, _, grant = borrow(fleet)
    a.shares.on_message(b.me, grant)
    hold = t.cast(Hold, a.take())
    b.shares.want(KEY, 1)
    fleet.tick()
    a.shares.release(hold)
    assert a.shares.free(KEY) == 0
    fleet.tick()
    assert b.take()


def test_loan_return_of_another_incarnation_is_ignored(fleet: Fleet) -> None:
    _, b, request, _ = borrow(fleet)
    b.shares.on_message(Incarnation("a", "2"), LoanReturn(request.number, KEY))
    assert b.take() is None


def test_a_hand_over_is_clear_when_nothing_is_used_or_lent(fleet: Fleet) -> None:
    a, b, _, grant = borrow(fleet)
    a.shares.on_message(b.me, grant)
    hold = t.cast(Hold, a.take())
    fleet.pass_on(b, b.shares.hand_over())
    assert not b.shares.is_clear
    a.shares.release(hold)
    fleet.tick()
    assert b.shares.is_clear
    result = b.shares.acquire(KEY, 1, fleet.clock.monotonic() + SECOND)
    assert result.is_error() and result.error.reason is RefusalReason.STOPPING


def test_a_use_longer_than_the_limit_allows_is_refused(fleet: Fleet) -> None:
    result = fleet["a"].shares.acquire(KEY, 1, 5 * SECOND)
    assert result.is_error() and result.error.reason is RefusalReason.DEADLINE


def test_entry_with_all_the_demand_gets_nearly_the_full_limit() -> None:
    """One of twelve entries uses nearly the full limit, with few messages, after warm-up."""
    fleet = Fleet("abcdefghijkl", capacity=36)
    a = fleet["a"]
    running: list[Hold] = []
    uses = sum_running = steps = 0
    for step in range(800):
        running = [
            h for h in running if h.deadline > fleet.clock.monotonic() or a.shares.release(h)
        ]
        while hold := a.take(0.05):
            running.append(hold)
            uses += step >= 40
        a.shares.want(KEY, 36)
        fleet.tick()
        fleet.messages *= step != 40
        sum_running += len(running) * (step >= 40)
        steps += step >= 40
        assert len(running) <= 36
        fleet.clock.advance(25 * MS)
    assert sum_running / (steps * 36) >= 0.95
    assert fleet.messages / uses < 0.1


def test_entries_together_stay_within_a_link_rate_while_lending_it() -> None:
    capacity, chunk = 12_000_000, 65_536
    fleet = Fleet("abc", capacity=capacity, kind=LimitKind.RATE)
    pacers = {seat: Pacer(entry.shares, fleet.clock) for seat, entry in fleet.entries.items()}
    sent: list[int] = []
    for step in range(5000):
        busy = "abc" if step // 1000 % 2 else "a"
        sent.append(0)
        for seat in busy:
            while pacers[seat].reserve(KEY, chunk) == timedelta(0):
                sent[-1] += chunk
        if step % 5 == 0:
            fleet.tick()
        fleet.clock.advance(5 * MS)
    for window in (1, 20, 200, 1000):
        max_sent = max(sum(sent[at : at + window]) for at in range(0, len(sent), 5))
        assert max_sent <= capacity * (window * 5 * MS + BURST) / SECOND + 3 * chunk
    assert sum(sent[200:1000]) >= 0.95 * capacity * 4


def test_a_link_without_a_limit_is_not_delayed(fleet: Fleet) -> None:
    assert Pacer(fleet["a"].shares, fleet.clock).reserve("link/x/y", 1) == timedelta(0)
