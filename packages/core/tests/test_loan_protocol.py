"""Three entries share four units under losses, pauses, restarts and new revisions.

The invariant is the promise itself: the endpoint never runs more than its capacity. Four
deliberate faults show that the same machine would notice if a rule of the protocol were dropped.
"""

import typing as t
from datetime import timedelta
from unittest import mock

import pytest
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.limits import Limit, LimitKind
from cardamomloft.core.loans import BorrowedLoans, GrantedLoans
from cardamomloft.core.messages import Digest
from cardamomloft.core.model import Hold, Incarnation
from cardamomloft.core.ownership import Ownership
from cardamomloft.core.shares import Shares
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

KEY = "slots/e"
CAPACITY = 4
SEATS = ("a", "b", "c")
RATES = {"a": 1.01, "b": 0.99, "c": 1.0}
LONGEST_USE = timedelta(seconds=2)
SETTINGS = settings(
    derandomize=True, database=None, deadline=None, max_examples=300, stateful_step_count=40
)
UNSHRUNK = settings(SETTINGS, phases=[Phase.generate], max_examples=1000)


class Entry:
    """One seat: its clock goes on through pauses and restarts."""

    def __init__(self, seat: str) -> None:
        self.seat = seat
        self.clock = ManualClock()
        self.paused = False
        self.lives = 0

    def start(self, revision: int, limits: dict[str, Limit], *, quarantine: bool) -> None:
        self.lives += 1
        self.me = Incarnation(self.seat, str(self.lives))
        self.shares = Shares(self.me, self.clock)
        self.adopt(revision, limits, quarantine=quarantine)

    def adopt(self, revision: int, limits: dict[str, Limit], *, quarantine: bool = False) -> None:
        self.revision = revision
        self.shares.configure(revision, limits, quarantine=quarantine)

    def digest(self) -> Digest:
        return Digest(self.revision, self.shares.settled, "ready", "", 0)


class Use(t.NamedTuple):
    entry: Entry
    life: int
    hold: Hold

    def is_over(self) -> bool:
        return self.entry.clock.monotonic() >= self.hold.deadline


class Fleet:
    """The entries, the messages on their way and the endpoint, which ends a use by its deadline."""

    quarantine = True

    def __init__(self) -> None:
        self.revisions = [self.limits(SEATS)]
        self.entries = [Entry(seat) for seat in SEATS]
        self.sent: list[tuple[Incarnation, str, t.Any]] = []
        self.uses: list[Use] = []
        for entry in self.entries:
            entry.start(1, self.revisions[0], quarantine=False)
        self.exchange()
        self.advance(0.1)

    @staticmethod
    def limits(holders: tuple[str, ...]) -> dict[str, Limit]:
        return {KEY: Limit(KEY, LimitKind.CONCURRENCY, CAPACITY, holders, LONGEST_USE)}

    def running(self) -> int:
        return sum(not use.is_over() for use in self.uses)

    def awake(self) -> list[Entry]:
        return [entry for entry in self.entries if not entry.paused]

    def advance(self, seconds: float) -> None:
        for entry in self.entries:
            entry.clock.advance(timedelta(seconds=seconds * RATES[entry.seat]))

    def tick(self) -> None:
        for entry in self.awake():
            self.finish(entry, over=True)
            self.send(entry, entry.shares.tick())

    def send(self, entry: Entry, outgoing: list[t.Any]) -> None:
        self.sent += [(entry.me, out.seat, out.message) for out in outgoing]

    def deliver(self, at: int) -> None:
        sender, seat, message = self.sent[at]
        entry = next(entry for entry in self.entries if entry.seat == seat)
        if entry.paused:
            return
        del self.sent[at]
        if isinstance(message, Digest):
            entry.shares.on_digest(sender, message)
        else:
            self.send(entry, entry.shares.on_message(sender, message))

    def deliver_all(self) -> None:
        """Deliver what is on its way; what is sent in answer stays on its way."""
        for at in reversed(range(len(self.sent))):
            self.deliver(at)

    def report(self) -> None:
        for entry in self.awake():
            for seat in (seat for seat in SEATS if seat != entry.seat):
                self.sent.append((entry.me, seat, entry.digest()))

    def exchange(self) -> None:
        self.report()
        self.tick()
        self.deliver_all()
        self.deliver_all()

    def use_all(self, entry: Entry, seconds: float) -> None:
        deadline = entry.clock.monotonic() + timedelta(seconds=seconds)
        while not entry.paused and (result := entry.shares.acquire(KEY, 1, deadline)).is_ok():
            self.uses.append(Use(entry, entry.lives, result.ok))

    def finish(self, entry: Entry, *, over: bool) -> None:
        """End the uses of an entry that is awake: those past their deadline, or all."""
        for use in [use for use in self.uses if use.entry is entry and not entry.paused]:
            if use.is_over() or not over:
                self.uses.remove(use)
                if use.life == entry.lives:
                    entry.shares.release(use.hold)

    def restart(self, entry: Entry, peer: Entry) -> None:
        """Replace the process; what it started runs on at the endpoint until its deadline."""
        entry.paused = False
        limits = self.revisions[peer.revision - 1]
        entry.start(peer.revision, limits, quarantine=self.quarantine)


at_entry = st.integers(0, len(SEATS) - 1)


class FleetMachine(RuleBasedStateMachine):
    """Draws what may happen; `fleet_type` is replaced to plant a fault."""

    fleet_type = Fleet

    def __init__(self) -> None:
        super().__init__()
        self.fleet = self.fleet_type()

    def stall(self, at: int, seconds: float) -> None:
        """Pause one entry while the others go on; then it reads what they sent meanwhile."""
        self.fleet.entries[at].paused = True
        self.fleet.deliver_all()
        self.fleet.advance(seconds)
        self.fleet.tick()
        self.fleet.entries[at].paused = False
        self.fleet.deliver_all()

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0, 8.0, 12.0]), ticks=st.booleans())
    def advance(self, seconds: float, ticks: bool) -> None:
        self.fleet.advance(seconds)
        if ticks:
            self.fleet.tick()

    @rule(
        at=at_entry,
        seconds=st.sampled_from([0.3, 1.0, 2.0]),
        more=st.integers(0, 4),
        then=st.sampled_from(["go on", "exchange", "stall"]),
    )
    def crowd(self, at: int, seconds: float, more: int, then: str) -> None:
        """Let one entry use all it can and want more; it may get an answer or stall before it."""
        entry = self.fleet.entries[at]
        self.fleet.use_all(entry, seconds)
        if entry.paused:
            return
        entry.shares.want(KEY, more)
        self.fleet.send(entry, entry.shares.tick())
        if then == "exchange":
            self.fleet.exchange()
        elif then == "stall":
            self.stall(at, 8.0)

    @rule(seconds=st.sampled_from([1.0, 2.0]))
    def crowd_everywhere(self, seconds: float) -> None:
        for entry in self.fleet.entries:
            self.fleet.use_all(entry, seconds)

    @rule(at=at_entry)
    def finish(self, at: int) -> None:
        self.fleet.finish(self.fleet.entries[at], over=False)

    @rule()
    def exchange(self) -> None:
        self.fleet.exchange()

    @rule(reports=st.booleans())
    def deliver_all(self, reports: bool) -> None:
        if reports:
            self.fleet.report()
        self.fleet.deliver_all()

    @rule(at=st.integers(0, 30), fate=st.sampled_from(["deliver", "duplicate", "lose"]))
    def pick_message(self, at: int, fate: str) -> None:
        sent = self.fleet.sent
        if sent and fate == "deliver":
            self.fleet.deliver(at % len(sent))
        elif sent and fate == "duplicate":
            sent.append(sent[at % len(sent)])
        elif sent:
            del sent[at % len(sent)]

    @rule(at=at_entry, seconds=st.sampled_from([3.0, 8.0, 12.0]))
    def stall_one(self, at: int, seconds: float) -> None:
        self.stall(at, seconds)

    @rule(at=at_entry)
    def pause_or_resume(self, at: int) -> None:
        self.fleet.entries[at].paused = not self.fleet.entries[at].paused

    @rule(at=at_entry, other=st.integers(1, 2), hears=st.booleans())
    def restart(self, at: int, other: int, hears: bool) -> None:
        entries = self.fleet.entries
        self.fleet.restart(entries[at], entries[(at + other) % len(entries)])
        if hears:
            self.fleet.report()
            self.fleet.deliver_all()

    @rule(at=at_entry, holders=st.none() | st.permutations(SEATS))
    def adopt(self, at: int, holders: list[str] | None) -> None:
        revisions = self.fleet.revisions
        if holders:
            revisions.append(self.fleet.limits(tuple(holders)))
        if not self.fleet.entries[at].paused:
            self.fleet.entries[at].adopt(len(revisions), revisions[-1])

    @invariant()
    def endpoint_keeps_its_capacity(self) -> None:
        assert self.fleet.running() <= CAPACITY


def assert_caught(fleet_type: type[Fleet] = Fleet) -> None:
    machine = type("FaultyMachine", (FleetMachine,), {"fleet_type": fleet_type})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=UNSHRUNK)


def test_the_endpoint_never_runs_more_than_its_capacity() -> None:
    run_state_machine_as_test(FleetMachine, settings=SETTINGS)


def test_the_machine_catches_a_lender_that_does_not_subtract() -> None:
    with mock.patch.object(GrantedLoans, "lent", property(lambda _: 0, lambda *_: None)):
        assert_caught()


def test_the_machine_catches_a_borrower_that_counts_from_the_grants_arrival() -> None:
    take = BorrowedLoans.take

    def take_from_now(
        self: BorrowedLoans, lender: Incarnation, grant: t.Any, now: timedelta
    ) -> bool:
        for ask in self.asks.values():
            ask.asked = now
        return take(self, lender, grant, now)

    with mock.patch.object(BorrowedLoans, "take", take_from_now):
        assert_caught()


def test_the_machine_catches_a_restart_without_quarantine() -> None:
    class Hasty(Fleet):
        quarantine = False

    assert_caught(Hasty)


def test_the_machine_catches_a_gain_that_does_not_wait_for_the_others() -> None:
    divide = Ownership.divide

    def divide_and_gain(self: Ownership, base: int, *args: t.Any) -> None:
        divide(self, base, *args)
        self.own = base

    with mock.patch.object(Ownership, "divide", divide_and_gain):
        assert_caught()
