"""State-machine test of operators, stewards and replicas under faults.

Answers are lost, messages are late or repeated, and entries pause and restart. The invariants are
the guarantees given to operators. Faulty implementations at the end must violate one of them.
"""

import random
import typing as t
from datetime import timedelta

import pytest
from cardamomloft.core import changes
from cardamomloft.core.changes import (
    Attempt,
    Conflict,
    ReadAudit,
    ReadCurrent,
    Recorded,
    Report,
    StoreUnavailable,
    Swap,
    audit_entry,
    confirm_acceptance,
    next_record,
    verify_chain,
)
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.messages import Digest, DocumentRequest
from cardamomloft.core.model import Incarnation
from cardamomloft.core.replication import Replica, pack
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

SEATS = ("a", "b", "c")
seats, index = st.sampled_from(SEATS), st.integers(0, 99)
write_fates = st.sampled_from(["answered", "answered", "answer lost", "never sent", "late"])


FREQUENT_ACTIONS = ["operate", "deliver"] * 3
OCCASIONAL_ACTIONS = ["read_store_at_once", "talk", "ask_all", "change_at_once", "read_store"]
RARE_ACTIONS = ["late_write_takes_effect", "switch_store", "pause", "restart", "ask_entry"]
actions = st.sampled_from(
    (FREQUENT_ACTIONS + OCCASIONAL_ACTIONS) * 2
    + RARE_ACTIONS
    + ["store_answers", "gossip", "resume_all"]
)


class FakeStore:
    """The configuration key, its audit entries, and the history of effective changes."""

    def __init__(self):
        self.up, self.version = True, 0
        self.history: list[dict] = []
        self.audit: dict[int, bytes] = {}
        self.late: list[Swap] = []

    @property
    def current(self):
        return self.history[-1] if self.history else None

    def swap(self, step: Swap) -> bool:
        if step.version != self.version:
            return False
        self.history.append(step.record)
        self.version += 1
        return True

    def write_audit(self, record: dict):
        before = self.audit.get(record["number"] - 1)
        self.audit.setdefault(record["number"], audit_entry(record, before, None))


class Fleet(RuleBasedStateMachine):
    attempt_type: t.Any = Attempt
    replica_type: t.Any = Replica
    store_type: t.Any = FakeStore
    confirm: t.Any = staticmethod(confirm_acceptance)

    def __init__(self):
        super().__init__()
        self.clock, self.rng = ManualClock(), random.Random(1)
        self.store = self.store_type()
        self.operators: dict[int, tuple] = {}
        self.changes = 0
        self.outcomes: list[tuple[str, object]] = []
        self.incarnations = dict.fromkeys(SEATS, 0)
        self.replicas: dict[str, Replica] = {}
        self.paused: set[str] = set()
        self.queue: list[tuple] = []
        self.reads: list[tuple] = []
        self.seen: dict[tuple, int] = {}
        self.rounds: list[dict[str, Report]] = [{}, {}]
        self.accepted = 0
        for seat in SEATS:
            self.start(seat)

    def start(self, seat):
        self.incarnations[seat] += 1
        describe = lambda n: self.describe(seat, n)  # noqa: E731
        replica = self.replica_type(self.me(seat), self.clock, self.rng, describe, seeds=SEATS)
        self.replicas[seat] = replica

    def me(self, seat):
        return Incarnation(seat, str(self.incarnations[seat]))

    def describe(self, seat, number):
        state = "ready" if self.replicas[seat].ready else "starting"
        return Digest(number, number, state, "", 0)

    def post(self, seat, outs):
        self.queue += [(self.me(seat), out.seat, out.message) for out in outs]

    def pass_time(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        for seat in set(SEATS) - self.paused:
            self.post(seat, self.replicas[seat].tick())

    @initialize()
    def begin_in_force(self):
        self.change_at_once(0)
        for seat in SEATS:
            self.read_store_at_once(seat)

    # One rule for all actions: hypothesis disables random rules, after which few runs get far.

    @rule(who=st.integers(0, 1), seat=seats, to=seats, at=index, fate=write_fates, act=actions)
    def act(self, who, seat, to, at, fate, act):
        operator, entry = (who,), (seat,)
        args = {"operate": (who, fate), "change_at_once": operator, "talk": (seat, to)}
        args |= {"gossip": (seat, to), "deliver": (at, at % 3), "switch_store": (at % 2 == 0,)}
        args |= dict.fromkeys(["late_write_takes_effect", "store_answers"], (at,))
        args |= dict.fromkeys(["resume_all", "ask_all"], ())
        getattr(self, act)(*args.get(act, entry))

    # Operators.

    def operate(self, who, fate):
        if who not in self.operators:
            self.begin(who)
            return
        attempt, step = self.operators.pop(who)
        step = self.perform(attempt, step, fate)
        if isinstance(step, Swap | ReadCurrent | ReadAudit):
            self.operators[who] = attempt, step
            return
        self.outcomes.append((attempt.change, step))
        if isinstance(step, Recorded) and fate != "answer lost":
            self.store.write_audit(step.record)

    def begin(self, who):
        if not self.store.up:
            return
        if self.store.current:
            self.store.write_audit(self.store.current)
        self.changes += 1
        change = f"change-{self.changes}"
        document = {"entries": dict.fromkeys(SEATS, {}), "made by": change}
        record = next_record(self.store.current, document, f"op{who}", "now", "why", change)
        attempt = self.attempt_type(record, self.store.version)
        attempt.change = change
        self.operators[who] = attempt, attempt.start()

    def perform(self, attempt, step, fate):
        if isinstance(step, Swap):
            return self.swap(attempt, step, fate)
        if not self.store.up:
            return attempt.on_read_failed("away")
        if isinstance(step, ReadCurrent):
            return attempt.on_current(self.store.current, self.store.version)
        return attempt.on_audit(self.store.audit.get(step.number))

    def swap(self, attempt, step, fate):
        if not self.store.up:
            return attempt.on_swap_failed(ambiguous=False, detail="refused")
        if fate == "answered":
            return attempt.on_swap(self.store.swap(step))
        if fate == "answer lost":
            self.store.swap(step)
        if fate == "late":
            self.store.late.append(step)
        return attempt.on_swap_failed(ambiguous=True, detail="timeout")

    def change_at_once(self, who):
        while who in self.operators:
            self.operate(who, "answered")
        self.operate(who, "answered")
        while who in self.operators:
            self.operate(who, "answered")

    def late_write_takes_effect(self, at):
        if self.store.late and self.store.up:
            self.store.swap(self.store.late.pop(at % len(self.store.late)))

    def switch_store(self, up):
        self.store.up = up

    # Entries.

    def read_store(self, seat):
        if self.store.up and self.store.current:
            self.reads.append((self.me(seat), self.store.current))

    def read_store_at_once(self, seat):
        before = len(self.reads)
        self.read_store(seat)
        if len(self.reads) > before:
            self.store_answers(before)

    def store_answers(self, at):
        if not self.reads:
            return
        reader, record = self.reads.pop(at % len(self.reads))
        if reader == self.me(reader.seat) and reader.seat not in self.paused:
            replica = self.replicas[reader.seat]
            replica.offer(record["number"], pack(record["document"]))
            self.post(reader.seat, replica.tick())

    def deliver(self, at, copies):
        """Deliver any pending message, drop it, or keep it to be delivered again."""
        ready = [item for item in self.queue if item[1] not in self.paused]
        if not ready:
            return
        item = ready[at % len(ready)]
        if copies < 2:
            self.queue.remove(item)
        if copies:
            self.receive(*item)

    def talk(self, seat, to):
        """Send a digest and deliver all resulting messages before those already queued."""
        waiting, self.queue = self.queue, []
        for _ in range(2):
            self.pass_time(0.3)
            self.queue = []
            self.gossip(seat, to)
            while any(item[1] not in self.paused for item in self.queue):
                self.deliver(0, 1)
        self.queue += waiting

    def receive(self, sender, seat, message):
        replica = self.replicas[seat]
        if isinstance(message, Digest):
            outs = replica.on_digest(sender, message)
        elif isinstance(message, DocumentRequest):
            outs = replica.on_document_request(sender, message)
        else:
            outs = replica.on_document_reply(sender, message)
        self.post(seat, outs)

    def gossip(self, seat, to):
        if seat != to and seat not in self.paused:
            digest = self.describe(seat, self.replicas[seat].number)
            self.queue.append((self.me(seat), to, digest))

    def pause(self, seat):
        self.paused.add(seat)
        for _ in range(4):
            self.pass_time(1)

    def resume_all(self):
        self.paused.clear()

    def restart(self, seat):
        self.paused.discard(seat)
        self.start(seat)

    # Requests by the operators' command `apply`.

    def ask_entry(self, seat):
        """Answer in the current round of requests, which ends when all entries have answered."""
        if seat in self.paused or not self.replicas[seat].held:
            return
        first, now = self.rounds
        now[seat] = Report(str(self.incarnations[seat]), self.replicas[seat].number)
        if set(now) < set(SEATS):
            return
        for number in range(self.accepted + 1, len(self.store.history) + 1):
            if self.confirm(number, SEATS, first, now, ()).accepted:
                self.accepted = number
        self.rounds = [now, {}]

    def ask_all(self):
        for seat in SEATS:
            self.ask_entry(seat)

    # Guarantees.

    @invariant()
    def a_revision_never_decreases_within_an_incarnation(self):
        for seat, replica in self.replicas.items():
            assert replica.number >= self.seen.get(self.me(seat), 0)
            self.seen[self.me(seat)] = replica.number

    @invariant()
    def a_number_has_one_document_and_each_change_one_number(self):
        history = self.store.history
        assert [record["number"] for record in history] == list(range(1, len(history) + 1))
        assert len({record["change"] for record in history}) == len(history)
        for replica in self.replicas.values():
            if replica.held:
                assert replica.held.document == history[replica.number - 1]["document"]

    @invariant()
    def reported_outcomes_are_true(self):
        effective = {record["change"] for record in self.store.history}
        for change, outcome in self.outcomes:
            if isinstance(outcome, Recorded):
                assert change in effective
            if isinstance(outcome, Conflict | StoreUnavailable):
                assert change not in effective

    @invariant()
    def nothing_older_than_an_accepted_revision_is_served(self):
        for seat in set(SEATS) - self.paused:
            assert not self.replicas[seat].ready or self.replicas[seat].number >= self.accepted

    @invariant()
    def the_audit_chain_is_valid(self):
        chain = [self.store.audit[number] for number in sorted(self.store.audit)]
        assert verify_chain(chain).is_ok()

    def teardown(self):
        REACHED_OUTCOMES["accepted"] += self.accepted > 0
        REACHED_OUTCOMES["conflict"] += any(isinstance(o, Conflict) for _, o in self.outcomes)


REACHED_OUTCOMES = dict.fromkeys(["accepted", "conflict"], 0)
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)


def test_the_guarantees_hold_under_faults():
    run_state_machine_as_test(Fleet, settings=SETTINGS)
    assert REACHED_OUTCOMES["accepted"] > 10
    assert REACHED_OUTCOMES["conflict"] > 10


class DecreasesRevision(Replica):
    def offer(self, number, packed):
        self._held = None
        return super().offer(number, packed)


class IgnoresVersion(FakeStore):
    def swap(self, step):
        return super().swap(step._replace(version=self.version))


class TreatsAmbiguousAsFailed(Attempt):
    def on_swap_failed(self, *, ambiguous, detail):
        return StoreUnavailable(detail)


class TreatsRefusalAsConflict(Attempt):
    def on_swap(self, swapped):
        return super().on_swap(swapped) if swapped else Conflict(self._record)


class TreatsOldReadAsFailure(Attempt):
    def on_current(self, current, version):
        if version == self._version:
            return StoreUnavailable("it was not written")
        return super().on_current(current, version)


def accept_by_one_round(number, seats, first, second, gone):
    return confirm_acceptance(number, seats, second, second, gone)


@pytest.mark.parametrize(
    "fault",
    [
        {"replica_type": DecreasesRevision},
        {"store_type": IgnoresVersion},
        {"attempt_type": TreatsAmbiguousAsFailed},
        {"attempt_type": TreatsRefusalAsConflict},
        {"attempt_type": TreatsOldReadAsFailure},
    ],
    ids=lambda fault: str(next(iter(fault.values()))),
)
def test_each_faulty_implementation_violates_a_guarantee(fault):
    faulty = type("Faulty", (Fleet,), fault)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            faulty, settings=settings(SETTINGS, phases=[Phase.generate], max_examples=1000)
        )


@pytest.mark.parametrize(
    ("confirm", "accepted"), [(accept_by_one_round, 2), (confirm_acceptance, 1)]
)
def test_one_round_of_requests_is_not_enough_for_acceptance(confirm, accepted):
    fleet = Fleet()
    fleet.confirm = confirm
    for _ in range(2):
        fleet.change_at_once(0)
        fleet.read_store_at_once("a")
        if not fleet.accepted:
            fleet.talk("a", "b")
            fleet.talk("a", "c")
            fleet.ask_all()
            fleet.ask_all()
    fleet.ask_entry("a")
    fleet.restart("a")
    fleet.talk("b", "a")
    assert fleet.replicas["a"].ready
    for seat in "bc":
        fleet.read_store_at_once(seat)
        fleet.ask_entry(seat)
    assert (fleet.accepted, fleet.replicas["a"].number) == (accepted, 1)


def entry_of(number: int, previous: bytes | None, parent: str | None) -> bytes:
    record = {"number": number, "change": f"c{number}", "parent": parent, "who": "w"}
    return audit_entry({**record, "when": "t", "why": "y", "document": {}}, previous, [])


def test_the_audit_chain_shows_altered_and_removed_entries():
    first = entry_of(1, None, None)
    second = entry_of(2, first, "c1")
    third = entry_of(3, second, "c2")
    assert verify_chain([]).ok == 0
    assert verify_chain([first, second, third]).ok == 3
    assert verify_chain([second, third], from_first=False).ok == 3
    altered = first.replace(b'"who":"w"', b'"who":"x"')
    for chain in ([altered, second], [first, third], [second, third], [first, first], [b"{}"]):
        assert verify_chain(chain).is_error()


def test_a_change_gets_a_number_above_all_entries_after_the_store_lost_changes():
    assert next_record(None, {}, "w", "t", "y", "c")["number"] == 1
    assert (
        next_record({"number": 3, "change": "c3"}, {}, "w", "t", "y", "c", above=7)["number"] == 8
    )
    assert changes.acceptance(8, "ab", {"a": 8}, "").lacking == {"b": None}
    assert changes.acceptance(8, "ab", {"a": 8}, "b").accepted
