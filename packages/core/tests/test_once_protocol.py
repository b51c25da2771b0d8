"""Stateful test of at-most-once execution with two entries, a store and an upstream.

Each step is a task that the search runs at any later time and in any order, or never after a
crash, so an entry may be paused at any point for longer than any window. A task may run with a
fault: "lost" loses the response of a call that took effect, "late" reports an ambiguous failure
whose effect comes later or never, and "away" is a definite failure.
"""

import itertools
import typing as t
import uuid
from collections import Counter
from datetime import timedelta

import pytest
from cardamomloft.core.claims import Attempt, Claimed, Claims, CreateClaim, HeldBy, ReadClaim
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.ledger import IN_FLIGHT, Answered, Join, KeptAnswer, Ledger, Run, Settled
from cardamomloft.core.model import Incarnation, Refusal, RefusalReason, Unknown
from cardamomloft.core.operations import CallerSuppliedId, OperationIds, SystemId, parse_operation
from expression import Error, Ok
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

ANSWER = KeptAnswer(200, (), b"done")
SEATS = ("kgn-1.a", "mobay-2")


class SkewedClock(ManualClock):
    """The true clock with a wall clock that deviates by `skew`."""

    def __init__(self, true: ManualClock, skew: timedelta) -> None:
        self.true, self.skew = true, skew

    def monotonic(self):
        return self.true.monotonic() + timedelta(hours=1)

    def utcnow(self):
        return self.true.utcnow() + self.skew


class Store:
    """A store whose keys expire with their leases; recreating a key under its lease succeeds."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.ends: list[timedelta] = []
        self.rows: dict[str, tuple[str, bytes]] = {}

    def lease(self, ttl: timedelta) -> str:
        self.ends.append(self.clock.monotonic() + ttl)
        return str(len(self.ends) - 1)

    def read(self, key: str) -> bytes | None:
        lease, value = self.rows.get(key, ("", None))
        return value if lease and self.ends[int(lease)] > self.clock.monotonic() else None

    def create(self, step: CreateClaim) -> bool:
        if self.ends[int(step.lease)] <= self.clock.monotonic():
            return False
        if self.read(step.key) is None or self.rows[step.key][0] == step.lease:
            self.rows[step.key] = (step.lease, step.value)
            return True
        return False


class Submission(t.NamedTuple):
    """One submission of an operation id; the machine records its reply by `number`."""

    number: int
    text: str


class Entry:
    """One incarnation of an entry, with the components connected as in the entry program."""

    ids_type, ledger_type, claims_type, resends_on_loss = OperationIds, Ledger, Claims, False

    def __init__(self, world: "OnceMachine", seat: str, number: str, skew: timedelta) -> None:
        self.world, self.me, clock = (
            world,
            Incarnation(seat, number),
            SkewedClock(world.clock, skew),
        )
        self.ids = self.ids_type(self.me, clock, f"secret of {number:>9}".encode())
        self.ledger = self.ledger_type(clock, max_operations=6, max_bytes=10**6)
        self.claims = self.claims_type(self.me, clock, writes_per_s=5)

    def receive(self, submission: Submission) -> None:
        operation = parse_operation(submission.text).ok
        if isinstance(operation, CallerSuppliedId):
            return self.claim(submission, operation)
        if operation.seat != self.me.seat:
            return self.world.schedule(None, self.world.deliver, operation.seat, submission)
        checked = self.ids.check(operation)
        return (
            self.begin(submission, checked.ok)
            if checked.is_ok()
            else self.reply(submission, checked.error)
        )

    def claim(self, submission: Submission, own: CallerSuppliedId) -> None:
        found = self.ledger.lookup(submission.text, "f").ok
        if found is not None:
            return self.on_status(submission, found)
        request = self.claims.want_lease()
        if request and not self.world.outage:
            self.claims.on_lease(request, self.world.store.lease(request.ttl))
        started = self.claims.start(own, "f")
        if started.is_error():
            return self.reply(submission, started.error)
        return self.on_step(submission, started.ok, started.ok.step)

    def on_step(self, submission: Submission, attempt: Attempt, step) -> None:
        if isinstance(step, Claimed):
            return self.begin(submission, step.expires)
        if isinstance(step, HeldBy):
            return self.world.schedule(None, self.world.deliver, step.holder.seat, submission)
        if isinstance(step, Refusal | Unknown):
            return self.reply(submission, step)
        return self.world.schedule(self, self.call, submission, attempt, step)

    def call(self, submission: Submission, attempt: Attempt, step, fault: str) -> None:
        store = self.world.store
        if self.world.outage:
            fault = "away"
        if fault == "late" and isinstance(step, CreateClaim):
            self.world.schedule(None, lambda _fault: store.create(step))
        if fault == "lost" and isinstance(step, CreateClaim):
            store.create(step)
        if fault != "none":
            return self.on_step(submission, attempt, attempt.failed(fault != "away"))
        if isinstance(step, ReadClaim):
            return self.on_step(submission, attempt, attempt.read(store.read(step.key)))
        return self.on_step(submission, attempt, attempt.created(store.create(step)))

    def begin(self, submission: Submission, expires: timedelta) -> None:
        begun = self.ledger.begin(submission.text, "f", expires)
        return (
            self.on_status(submission, begun.ok)
            if begun.is_ok()
            else self.reply(submission, begun.error)
        )

    def on_status(self, submission: Submission, found) -> None:
        match found:
            case Run(operation):
                self.ledger.join(operation, lambda outcome: self.reply(submission, outcome))
                self.world.schedule(self, self.send, operation)
            case Join(operation):
                self.ledger.join(operation, lambda outcome: self.reply(submission, outcome))
            case Answered(answer):
                self.reply(submission, answer)
            case Settled(outcome):
                self.reply(submission, outcome)

    def send(self, operation: str, fault: str) -> None:
        if fault == "away":
            self.ledger.not_run(operation)
            return
        # The upstream has received the request, so a crash of this entry does not cancel it.
        if fault == "late":
            self.on_answer_lost(operation)
        answer_to = None if fault == "late" else self
        self.world.schedule(None, self.world.upstream_run, answer_to, operation)

    def on_answer_lost(self, operation: str) -> None:
        self.ledger.unknown(operation, "no answer")
        if self.resends_on_loss:
            self.world.schedule(None, self.world.upstream_run, None, operation)

    def reply(self, submission: Submission, reply) -> None:
        if isinstance(reply, Refusal) and isinstance(parse_operation(submission.text).ok, SystemId):
            assert self.world.runs[submission.text] == 0, f"refused as not run after a run: {reply}"
        self.world.schedule(self, self.world.reply, submission, reply)


class OnceMachine(RuleBasedStateMachine):
    entry_type = Entry

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.store = Store(self.clock)
        self.outage = False
        self.numbers = itertools.count(1)
        self.tasks: list[tuple] = []
        self.runs: Counter[str] = Counter()
        self.replies: dict[str, dict[int, t.Any]] = {}
        self.entries = {seat: self.start(seat, timedelta(0)) for seat in SEATS}

    def start(self, seat: str, skew: timedelta) -> Entry:
        return self.entry_type(self, seat, f"i{next(self.numbers)}", skew)

    def schedule(self, owner: Entry | None, task, *args) -> None:
        self.tasks.append((owner, task, args))

    def deliver(self, seat: str, submission: Submission, _fault: str = "none") -> None:
        self.entries[seat].receive(submission)

    def upstream_run(self, entry: Entry | None, operation: str, fault: str) -> None:
        if fault == "away" and entry:
            self.schedule(entry, lambda _fault: entry.ledger.not_run(operation))
            return
        if fault != "late":
            self.runs[operation] += 1
        if fault == "none" and entry:
            self.schedule(entry, lambda _fault: entry.ledger.finish(operation, ANSWER))
        elif entry:
            self.schedule(entry, lambda _fault: entry.on_answer_lost(operation))

    def reply(self, submission: Submission, reply, fault: str) -> None:
        if fault != "lost":
            self.replies[submission.text][submission.number] = reply

    def submit(self, text: str, seat: str, at_once: bool) -> None:
        submission = Submission(next(self.numbers), text)
        self.replies.setdefault(text, {})[submission.number] = None
        self.schedule(None, self.deliver, seat, submission)
        if at_once:
            self.step_tasks_in_order("none")

    @rule(issuer=st.sampled_from(SEATS), seat=st.sampled_from(SEATS), at_once=st.booleans())
    def new_system_id(self, issuer: str, seat: str, at_once: bool) -> None:
        prefix = self.entries[issuer].ids.prefix().text
        self.submit(f"{prefix}.{next(self.numbers):0>16}", seat, at_once)

    @rule(seat=st.sampled_from(SEATS), ahead=st.sampled_from([-840, 0, 240]), at_once=st.booleans())
    def new_own_id(self, seat: str, ahead: int, at_once: bool) -> None:
        stamp = int(self.clock.utcnow().timestamp() + ahead) * 1000
        number = stamp << 80 | 7 << 76 | 2 << 62 | next(self.numbers)
        self.submit(str(uuid.UUID(int=number)), seat, at_once)

    @rule(pick=st.sampled_from([0, 1]), seat=st.sampled_from(SEATS), at_once=st.booleans())
    def resubmit(self, pick: int, seat: str, at_once: bool) -> None:
        if self.replies:
            self.submit(list(self.replies)[-1 - pick % len(self.replies)], seat, at_once)

    @rule(
        picks=st.lists(st.sampled_from(range(4)), min_size=1, max_size=8),
        fault=st.sampled_from(["none", "none", "lost", "late", "away"]),
    )
    def step_tasks(self, picks: list[int], fault: str) -> None:
        for pick in picks:
            if self.tasks:
                self.run_task(pick % len(self.tasks), fault)

    @rule(fault=st.sampled_from(["none", "none", "lost"]))
    def step_tasks_in_order(self, fault: str) -> None:
        for number in range(20):
            if self.tasks:
                self.run_task(0, fault if number > 1 else "none")

    def run_task(self, index: int, fault: str) -> None:
        owner, task, args = self.tasks.pop(index)
        if owner is None or self.entries[owner.me.seat] is owner:
            task(*args, fault)

    @rule(seat=st.sampled_from([*SEATS, None, None]), skew=st.sampled_from([-5, 0, 5]))
    def crash_and_restart(self, seat: str | None, skew: int) -> None:
        if seat:
            self.entries[seat] = self.start(seat, timedelta(minutes=skew))

    @rule(minutes=st.sampled_from([0.1, 4, 4, 8, 16, 21]))
    def pass_time(self, minutes: float) -> None:
        self.clock.advance(timedelta(minutes=minutes))
        self.outage = False

    @rule(outage=st.sampled_from([True, False, False, False]))
    def set_outage(self, outage: bool) -> None:
        self.outage = outage

    @invariant()
    def at_most_one_run(self) -> None:
        assert all(count <= 1 for count in self.runs.values()), "an operation ran twice"

    @invariant()
    def refused_is_not_run(self) -> None:
        for text, replies in self.replies.items():
            if all(isinstance(reply, Refusal) for reply in replies.values()):
                assert self.runs[text] == 0, "every attempt was refused, and yet it ran"


def run_search(machine: type[OnceMachine], examples: int) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=40,
            suppress_health_check=list(HealthCheck),
            print_blob=False,
            phases=[Phase.generate],
        ),
    )


class EarlyEvictingLedger(Ledger):
    def _evict(self):
        now = self._clock.monotonic() // timedelta(seconds=1)
        for operation, entry in list(self._records.items()):
            if entry.outcome is not IN_FLIGHT and entry.evict_at_s - 19 * 60 <= now:
                self._eviction_buckets[entry.evict_at_s].discard(operation)
                self._drop(operation, entry)


class ForeignIdAcceptingIds(OperationIds):
    def check(self, operation):
        checked = super().check(operation)
        adopted = self._clock.monotonic() + self._window
        return Ok(adopted) if checked.is_error() else checked


class EarlyExpiringIds(OperationIds):
    def check(self, operation):
        expired = Refusal(RefusalReason.EXPIRED)
        checked = super().check(operation)
        if checked.is_ok() and checked.ok <= self._clock.monotonic():
            return Error(expired)
        return checked


class ShortLeaseClaims(Claims):
    @property
    def retention(self):
        return super().required_lease(-self._max_ahead)

    def required_lease(self, age):
        return timedelta(0)

    def want_lease(self):
        request = super().want_lease()
        return request and request._replace(ttl=timedelta(minutes=2))


class ResendingEntry(Entry):
    resends_on_loss = True


class EarlyEvictingEntry(Entry):
    ledger_type = EarlyEvictingLedger


class ForeignIdAcceptingEntry(Entry):
    ids_type = ForeignIdAcceptingIds


class EarlyExpiringEntry(Entry):
    ids_type = EarlyExpiringIds


class ShortLeaseEntry(Entry):
    claims_type = ShortLeaseClaims


class UnverifiedClaimEntry(Entry):
    def call(self, submission, attempt, step, fault):
        if isinstance(step, CreateClaim) and fault in ("lost", "late"):
            return self.begin(submission, self.ledger._clock.monotonic() + self.claims.window)
        return super().call(submission, attempt, step, fault)


def test_operations_run_at_most_once_under_lost_answers_crashes_pauses_and_outages() -> None:
    run_search(OnceMachine, 400)


def test_no_other_entry_runs_an_operation_of_a_paused_executor() -> None:
    world, (paused, other) = OnceMachine(), SEATS
    world.new_system_id(issuer=paused, seat=paused, at_once=False)
    world.run_task(0, "none")
    world.pass_time(21)
    world.resubmit(pick=0, seat=other, at_once=False)
    world.run_task(1, "none")
    assert not world.runs, "the entry that may not run it has only passed it on"
    world.step_tasks_in_order("none")
    ((text, replies),) = world.replies.items()
    assert world.runs[text] == 1 and set(replies.values()) == {ANSWER}


@pytest.mark.parametrize(
    "entry",
    [
        ResendingEntry,
        EarlyEvictingEntry,
        ForeignIdAcceptingEntry,
        EarlyExpiringEntry,
        ShortLeaseEntry,
        UnverifiedClaimEntry,
    ],
)
def test_search_detects_a_deliberate_fault(entry: type[Entry]) -> None:
    faulty = type("Faulty", (OnceMachine,), {"entry_type": entry})
    with pytest.raises(AssertionError, match="ran twice|refused"):
        run_search(faulty, 10_000)
