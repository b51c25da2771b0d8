"""At most once, as one machine: two entries, a store, an upstream that counts its runs.

Every piece of work is a task that the search may do at any later time, in any order, or, after a
crash, never: so every entry may be paused at every point, for longer than every window.
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
    """The true clock seen with a wall clock that is off, within what the claims allow."""

    def __init__(self, true: ManualClock, skew: timedelta) -> None:
        self.true, self.skew = true, skew

    def monotonic(self):
        return self.true.monotonic() + timedelta(hours=1)

    def utcnow(self):
        return self.true.utcnow() + self.skew


class Store:
    """Keys that go with their leases; taking a key again under its own lease succeeds."""

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


class Try(t.NamedTuple):
    """One presentation of an id; its word is kept by number in the world."""

    number: int
    text: str


class Entry:
    """One incarnation, wired as the entry program wires it."""

    ids_type, ledger_type, claims_type, resends = OperationIds, Ledger, Claims, False

    def __init__(self, world: "OnceMachine", seat: str, number: str, skew: timedelta) -> None:
        self.world, self.me, clock = (
            world,
            Incarnation(seat, number),
            SkewedClock(world.clock, skew),
        )
        self.ids = self.ids_type(self.me, clock, f"secret of {number:>9}".encode())
        self.ledger = self.ledger_type(clock, max_operations=6, max_bytes=10**6)
        self.claims = self.claims_type(self.me, clock, writes_per_s=5)

    def receive(self, tried: Try) -> None:
        operation = parse_operation(tried.text).ok
        if isinstance(operation, CallerSuppliedId):
            return self.claim(tried, operation)
        if operation.seat != self.me.seat:
            return self.world.later(None, self.world.deliver, operation.seat, tried)
        checked = self.ids.check(operation)
        return self.begin(tried, checked.ok) if checked.is_ok() else self.tell(tried, checked.error)

    def claim(self, tried: Try, own: CallerSuppliedId) -> None:
        found = self.ledger.lookup(tried.text, "f").ok
        if found is not None:
            return self.stand(tried, found)
        request = self.claims.want_lease()
        if request and not self.world.outage:
            self.claims.on_lease(request, self.world.store.lease(request.ttl))
        started = self.claims.start(own, "f")
        if started.is_error():
            return self.tell(tried, started.error)
        return self.follow(tried, started.ok, started.ok.step)

    def follow(self, tried: Try, attempt: Attempt, step) -> None:
        if isinstance(step, Claimed):
            return self.begin(tried, step.expires)
        if isinstance(step, HeldBy):
            return self.world.later(None, self.world.deliver, step.holder.seat, tried)
        if isinstance(step, Refusal | Unknown):
            return self.tell(tried, step)
        return self.world.later(self, self.call, tried, attempt, step)

    def call(self, tried: Try, attempt: Attempt, step, fault: str) -> None:
        store = self.world.store
        if self.world.outage:
            fault = "away"
        if fault == "late" and isinstance(step, CreateClaim):
            self.world.later(None, lambda _fault: store.create(step))
        if fault == "lost" and isinstance(step, CreateClaim):
            store.create(step)
        if fault != "none":
            return self.follow(tried, attempt, attempt.failed(fault != "away"))
        if isinstance(step, ReadClaim):
            return self.follow(tried, attempt, attempt.read(store.read(step.key)))
        return self.follow(tried, attempt, attempt.created(store.create(step)))

    def begin(self, tried: Try, expires: timedelta) -> None:
        begun = self.ledger.begin(tried.text, "f", expires)
        return self.stand(tried, begun.ok) if begun.is_ok() else self.tell(tried, begun.error)

    def stand(self, tried: Try, found) -> None:
        match found:
            case Run(operation):
                self.ledger.join(operation, lambda outcome: self.tell(tried, outcome))
                self.world.later(self, self.send, operation)
            case Join(operation):
                self.ledger.join(operation, lambda outcome: self.tell(tried, outcome))
            case Answered(answer):
                self.tell(tried, answer)
            case Settled(outcome):
                self.tell(tried, outcome)

    def send(self, operation: str, fault: str) -> None:
        if fault == "away":
            self.ledger.not_run(operation)
            return
        # From here on it is the upstream's, and a crash of this entry does not take it back.
        if fault == "late":
            self.told_lost(operation)
        answer_to = None if fault == "late" else self
        self.world.later(None, self.world.upstream_run, answer_to, operation)

    def told_lost(self, operation: str) -> None:
        self.ledger.unknown(operation, "no answer")
        if self.resends:
            self.world.later(None, self.world.upstream_run, None, operation)

    def tell(self, tried: Try, word) -> None:
        if isinstance(word, Refusal) and isinstance(parse_operation(tried.text).ok, SystemId):
            assert self.world.runs[tried.text] == 0, f"refused as not run after a run: {word}"
        self.world.later(self, self.world.word, tried, word)


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
        self.words: dict[str, dict[int, t.Any]] = {}
        self.entries = {seat: self.start(seat, timedelta(0)) for seat in SEATS}

    def start(self, seat: str, skew: timedelta) -> Entry:
        return self.entry_type(self, seat, f"i{next(self.numbers)}", skew)

    def later(self, owner: Entry | None, work, *args) -> None:
        self.tasks.append((owner, work, args))

    def deliver(self, seat: str, tried: Try, _fault: str = "none") -> None:
        self.entries[seat].receive(tried)

    def upstream_run(self, entry: Entry | None, operation: str, fault: str) -> None:
        if fault == "away" and entry:
            self.later(entry, lambda _fault: entry.ledger.not_run(operation))
            return
        if fault != "late":
            self.runs[operation] += 1
        if fault == "none" and entry:
            self.later(entry, lambda _fault: entry.ledger.finish(operation, ANSWER))
        elif entry:
            self.later(entry, lambda _fault: entry.told_lost(operation))

    def word(self, tried: Try, word, fault: str) -> None:
        if fault != "lost":
            self.words[tried.text][tried.number] = word

    def present(self, text: str, seat: str, at_once: bool) -> None:
        tried = Try(next(self.numbers), text)
        self.words.setdefault(text, {})[tried.number] = None
        self.later(None, self.deliver, seat, tried)
        if at_once:
            self.work_on("none")

    @rule(issuer=st.sampled_from(SEATS), seat=st.sampled_from(SEATS), at_once=st.booleans())
    def new_system_id(self, issuer: str, seat: str, at_once: bool) -> None:
        prefix = self.entries[issuer].ids.prefix().text
        self.present(f"{prefix}.{next(self.numbers):0>16}", seat, at_once)

    @rule(seat=st.sampled_from(SEATS), ahead=st.sampled_from([-840, 0, 240]), at_once=st.booleans())
    def new_own_id(self, seat: str, ahead: int, at_once: bool) -> None:
        stamp = int(self.clock.utcnow().timestamp() + ahead) * 1000
        number = stamp << 80 | 7 << 76 | 2 << 62 | next(self.numbers)
        self.present(str(uuid.UUID(int=number)), seat, at_once)

    @rule(pick=st.sampled_from([0, 1]), seat=st.sampled_from(SEATS), at_once=st.booleans())
    def repeat(self, pick: int, seat: str, at_once: bool) -> None:
        if self.words:
            self.present(list(self.words)[-1 - pick % len(self.words)], seat, at_once)

    @rule(
        picks=st.lists(st.sampled_from(range(4)), min_size=1, max_size=8),
        fault=st.sampled_from(["none", "none", "lost", "late", "away"]),
    )
    def work(self, picks: list[int], fault: str) -> None:
        for pick in picks:
            if self.tasks:
                self.do(pick % len(self.tasks), fault)

    @rule(fault=st.sampled_from(["none", "none", "lost"]))
    def work_on(self, fault: str) -> None:
        for number in range(20):
            if self.tasks:
                self.do(0, fault if number > 1 else "none")

    def do(self, index: int, fault: str) -> None:
        owner, work, args = self.tasks.pop(index)
        if owner is None or self.entries[owner.me.seat] is owner:
            work(*args, fault)

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
        for text, words in self.words.items():
            if all(isinstance(word, Refusal) for word in words.values()):
                assert self.runs[text] == 0, "every attempt was refused, and yet it ran"


def search(machine: type[OnceMachine], examples: int) -> None:
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


class ForgetfulLedger(Ledger):
    def _forget(self):
        now = self._clock.monotonic() // timedelta(seconds=1)
        for operation, entry in list(self._entries.items()):
            if entry.outcome is not IN_FLIGHT and entry.leaves - 19 * 60 <= now:
                self._leaving[entry.leaves].discard(operation)
                self._drop(operation, entry)


class AdoptingIds(OperationIds):
    def check(self, operation):
        checked = super().check(operation)
        adopted = self._clock.monotonic() + self._window
        return Ok(adopted) if checked.is_error() else checked


class HastyIds(OperationIds):
    def check(self, operation):
        expired = Refusal(RefusalReason.EXPIRED)
        checked = super().check(operation)
        if checked.is_ok() and checked.ok <= self._clock.monotonic():
            return Error(expired)
        return checked


class CarelessClaims(Claims):
    @property
    def keep(self):
        return super().needed(-self._ahead)

    def needed(self, age):
        return timedelta(0)

    def want_lease(self):
        request = super().want_lease()
        return request and request._replace(ttl=timedelta(minutes=2))


class ResendingEntry(Entry):
    resends = True


class ForgetfulEntry(Entry):
    ledger_type = ForgetfulLedger


class AdoptingEntry(Entry):
    ids_type = AdoptingIds


class HastyEntry(Entry):
    ids_type = HastyIds


class CarelessEntry(Entry):
    claims_type = CarelessClaims


class RashEntry(Entry):
    def call(self, tried, attempt, step, fault):
        if isinstance(step, CreateClaim) and fault in ("lost", "late"):
            return self.begin(tried, self.ledger._clock.monotonic() + self.claims.window)
        return super().call(tried, attempt, step, fault)


def test_once_holds_under_lost_answers_crashes_pauses_and_outages() -> None:
    search(OnceMachine, 400)


def test_a_paused_executor_is_not_overtaken() -> None:
    world, (paused, other) = OnceMachine(), SEATS
    world.new_system_id(issuer=paused, seat=paused, at_once=False)
    world.do(0, "none")
    world.pass_time(21)
    world.repeat(pick=0, seat=other, at_once=False)
    world.do(1, "none")
    assert not world.runs, "the entry that may not run it has only passed it on"
    world.work_on("none")
    ((text, words),) = world.words.items()
    assert world.runs[text] == 1 and set(words.values()) == {ANSWER}


@pytest.mark.parametrize(
    "entry",
    [ResendingEntry, ForgetfulEntry, AdoptingEntry, HastyEntry, CarelessEntry, RashEntry],
)
def test_a_deliberate_fault_is_caught(entry: type[Entry]) -> None:
    faulty = type("Faulty", (OnceMachine,), {"entry_type": entry})
    with pytest.raises(AssertionError, match="ran twice|refused"):
        search(faulty, 10_000)
