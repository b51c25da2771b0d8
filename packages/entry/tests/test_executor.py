"""Operations: run once by one process, repeated to anybody, through replaced executors."""

import itertools
import uuid
from datetime import timedelta

import pytest
from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.claims import Claims
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.ledger import KeptAnswer, Ledger
from cardamomloft.core.model import (
    Incarnation,
    Priority,
    Refusal,
    RefusalReason,
    Request,
    Unknown,
)
from cardamomloft.core.operations import OperationIds
from cardamomloft.entry.executor import FORWARDED_BY_HEADER, Executor
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.store.failures import StoreFailure
from cardamomloft.store.keyvalue import Record
from cardamomloft.upstreams.client import SendFailure, UpstreamAnswer
from expression import Error, Ok
from twisted.internet.defer import Deferred, ensureDeferred, succeed

RECEIPT = KeptAnswer(201, (("content-type", "text/plain"),), b"receipt")


class FakeStore:
    """Claims; `faults` of acquire in order: None, "away", "lost" or "late" (written)."""

    def __init__(self):
        self.claims = {}
        self.faults = []
        self.read_faults = []
        self.leases = []
        self.answer_later = False
        self.lapsed = set()

    def renew(self, lease):
        return succeed(Ok(lease not in self.lapsed))

    def acquire(self, key, value, lease):
        fault = self.faults.pop(0) if self.faults else None
        if lease in self.lapsed:
            # The published service says this with an error that proves nothing.
            return succeed(Error(StoreFailure(True, "status 500: invalid session")))
        if fault == "away":
            return succeed(Error(StoreFailure(False, "away")))
        made = fault != "lost" and key not in self.claims
        if made:
            self.claims[key] = Record(value, 1)
        if fault is not None:
            return succeed(Error(StoreFailure(True, "no answer")))
        return succeed(Ok(made))

    def create_lease(self, ttl):
        self.leases.append(Deferred())
        if not self.answer_later:
            self.grant()
        return self.leases[-1]

    def grant(self):
        self.leases[-1].callback(Ok(f"lease-{len(self.leases)}"))

    def get(self, key):
        if self.read_faults:
            return succeed(Error(StoreFailure(False, self.read_faults.pop(0))))
        return succeed(Ok(self.claims.get(key)))


class FakeForwarder:
    """Runs that end when the test says so."""

    def __init__(self, runs):
        self.runs = runs

    def collect(self, req, head, whole):
        run = Deferred()
        self.runs.append((whole, run))
        return run


class Content:
    def __init__(self, content):
        self.content = content

    def collect(self, limit):
        return succeed(Ok(self.content))


class Fleet:
    """Entries that pass requests on to each other, and one store."""

    def __init__(self):
        self.clock, self.store = ManualClock(), FakeStore()
        self.runs, self.lives, self.entries = [], itertools.count(1), {}
        self.ids, self.cut_off, self.current = {}, set(), {}
        self.faults = []
        for seat in ("e1", "e2"):
            self.start(seat)

    def start(self, seat):
        me = Incarnation(seat, f"life{next(self.lives)}")
        claims = Claims(me, self.clock, writes_per_s=100)
        claims.on_lease(claims.want_lease(), f"lease-{me.number}")
        self.ids[seat] = OperationIds(me, self.clock, bytes(32))
        self.current[seat] = me
        self.entries[seat] = Executor(
            me,
            self.clock,
            self.ids[seat],
            Ledger(self.clock, max_operations=100, max_bytes=10_000_000),
            claims,
            self.store,
            FakeForwarder(self.runs),
            self,
            Metrics(),
            {"e1": "127.0.0.1:1", "e2": "127.0.0.1:2"}.get,
            lambda process: self.current[process.seat] == process,
            self.faults.append,
        )

    def send(self, sent):
        """Stand in for the client that passes requests on."""
        seat = sent.endpoint.name.removeprefix("entry/")
        if seat in self.cut_off:
            return succeed(Error(SendFailure(True, "refused")))
        caller = self.ask(seat, dict(sent.headers)["idempotency-key"], sent.body, sent.headers)
        answered = Deferred()
        caller.answered.addCallback(
            lambda a: answered.callback(
                Ok(UpstreamAnswer(a.status, a.headers, None, False, Content(a.body)))
            )
        )
        return answered

    def ask(self, seat, operation, content=b"order", headers=None):
        headers = headers or (("idempotency-key", operation),)
        deadline = self.clock.monotonic() + timedelta(seconds=5)
        req = Request(
            "pay", "POST", "/pay", None, None, {}, Priority.NORMAL, False, deadline, operation
        )
        head = RequestHead("POST", "/pay", "", headers, "127.0.0.1", len(content), False)
        return Caller(self.entries[seat], req, head, content)

    def system_id(self, seat, unique="0123456789abcdef"):
        return f"{self.ids[seat].prefix().text}.{unique}"

    def own_id(self, number=1):
        stamp = int(self.clock.utcnow().timestamp() * 1000)
        value = stamp << 80 | 7 << 76 | 2 << 62 | number
        return str(uuid.UUID(int=value))

    def finish(self, outcome=RECEIPT, at=-1):
        self.runs[at][1].callback(outcome)


class Flow:
    def pause_body(self):
        pass

    def resume_body(self):
        pass


class Caller:
    def __init__(self, executor, req, head, content):
        self.gone, self.answered, self.answers = Deferred(), Deferred(), []
        body = RequestBody(len(content), Flow())
        body.data_received(content)
        body.end()
        handled = ensureDeferred(executor.handle(req, head, body, self.gone))
        handled.addBoth(self._take)

    def _take(self, answer):
        self.answers.append(answer)
        self.answered.callback(answer)

    @property
    def outcome(self):
        return {k.lower(): v for k, v in self.answers[0].headers}["cardamomloft-outcome"]


@pytest.fixture
def fleet():
    return Fleet()


@pytest.fixture(params=["system", "own"])
def operation(request, fleet):
    return fleet.system_id("e1") if request.param == "system" else fleet.own_id()


def test_repeats_join_the_run_and_later_ones_get_its_answer(fleet, operation):
    first, second = fleet.ask("e1", operation), fleet.ask("e1", operation)
    assert first.answers == second.answers == []
    fleet.finish()
    third = fleet.ask("e1", operation)
    for caller in (first, second, third):
        assert caller.outcome == "complete"
        assert caller.answers[0].body == b"receipt" and caller.answers[0].status == 201
    assert len(fleet.runs) == 1


def test_a_repeat_at_another_entry_is_passed_on(fleet, operation):
    first, second = fleet.ask("e1", operation), fleet.ask("e2", operation)
    fleet.finish()
    assert (first.answers[0].body, second.answers[0].body) == (b"receipt", b"receipt")
    assert second.outcome == "complete" and len(fleet.runs) == 1
    assert fleet.entries["e2"].running == 0


def test_a_first_request_at_another_entry_runs_at_its_executor(fleet):
    caller = fleet.ask("e2", fleet.system_id("e1"))
    assert fleet.entries["e1"].running == 1
    fleet.finish()
    assert caller.outcome == "complete" and len(fleet.runs) == 1


def test_an_executor_that_cannot_be_reached_leaves_the_outcome_unknown(fleet, operation):
    fleet.ask("e1", operation)
    fleet.cut_off.add("e1")
    assert fleet.ask("e2", operation).outcome == "unknown"
    assert len(fleet.runs) == 1


def test_after_its_executor_was_replaced_an_operation_is_unknown_everywhere(fleet, operation):
    fleet.ask("e1", operation)
    fleet.start("e1")
    for seat in ("e1", "e2"):
        assert fleet.ask(seat, operation).outcome == "unknown"
    fleet.finish()
    assert fleet.ask("e1", operation).outcome == "unknown" and len(fleet.runs) == 1


def test_a_request_is_passed_on_once_at_most(fleet):
    operation = fleet.system_id("e1")
    headers = (("idempotency-key", operation), (FORWARDED_BY_HEADER, "e3"))
    assert fleet.ask("e2", operation, headers=headers).outcome == "unknown"
    assert fleet.runs == []


def test_a_caller_that_leaves_ends_its_request_and_the_run_goes_on(fleet, operation):
    first = fleet.ask("e1", operation)
    first.gone.callback(None)
    assert len(first.answers) == 1, "the request of a caller that has left never ends"
    assert fleet.entries["e1"].running == 1
    again = fleet.ask("e1", operation)
    fleet.finish()
    assert again.outcome == "complete" and again.answers[0].body == b"receipt"
    assert len(fleet.runs) == 1


def test_a_caller_that_left_gets_the_answer_by_its_repeat(fleet, operation):
    fleet.ask("e1", operation).gone.callback(None)
    fleet.finish()
    assert fleet.ask("e1", operation).answers[0].body == b"receipt"
    assert len(fleet.runs) == 1 and fleet.entries["e1"].running == 0


def test_a_run_with_an_unknown_end_is_not_repeated(fleet, operation):
    first = fleet.ask("e1", operation)
    fleet.finish(Unknown("cut short"))
    assert (first.outcome, fleet.ask("e1", operation).outcome) == ("unknown", "unknown")
    assert len(fleet.runs) == 1


def test_a_run_that_provably_did_not_happen_may_be_tried_again(fleet, operation):
    first, joined = fleet.ask("e1", operation), fleet.ask("e1", operation)
    fleet.finish(Refusal(RefusalReason.SHED))
    assert (first.outcome, joined.outcome) == ("refused", "refused")
    again = fleet.ask("e1", operation)
    fleet.finish()
    assert again.outcome == "complete" and len(fleet.runs) == 2


def test_a_fault_while_running_leaves_the_outcome_unknown(fleet, operation):
    first = fleet.ask("e1", operation)
    _, run = fleet.runs[0]
    run.errback(RuntimeError("a defect"))
    assert (first.outcome, fleet.ask("e1", operation).outcome) == ("unknown", "unknown")
    assert len(fleet.runs) == 1 and fleet.entries["e1"].running == 0
    assert [fault.type for fault in fleet.faults] == [RuntimeError]


def test_an_id_used_for_another_request_runs_nothing(fleet, operation):
    fleet.ask("e1", operation)
    for seat in ("e1", "e2"):
        assert fleet.ask(seat, operation, b"another order").outcome == "refused"
    assert len(fleet.runs) == 1


def test_an_expired_id_never_runs_again(fleet, operation):
    fleet.ask("e1", operation)
    fleet.finish()
    late = fleet.system_id("e1", "unused-until-now-")
    fleet.clock.advance(timedelta(minutes=16))
    assert fleet.ask("e1", late).outcome == "refused"
    fleet.clock.advance(timedelta(hours=3))
    assert fleet.ask("e1", operation).outcome in ("unknown", "refused")
    assert len(fleet.runs) == 1


@pytest.mark.parametrize("operation_text", ["x", "v1.e1.life1.0.forged.0123456789abcdef"])
def test_what_nobody_handed_out_runs_nothing(fleet, operation_text):
    assert fleet.ask("e1", operation_text).outcome == "refused" and fleet.runs == []


# Ids of the callers' own making.


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_an_ambiguous_claim_is_settled_by_reading_it_back(fleet, fault):
    operation = fleet.own_id()
    fleet.store.faults = [fault]
    first = fleet.ask("e1", operation)
    fleet.finish()
    assert first.outcome == "complete"
    assert fleet.ask("e2", operation).outcome == "complete"
    assert len(fleet.runs) == 1 and len(fleet.store.claims) == 1


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_an_ambiguous_claim_that_cannot_be_read_runs_nothing(fleet, fault):
    operation = fleet.own_id()
    fleet.store.faults, fleet.store.read_faults = [fault], ["away"]
    assert fleet.ask("e1", operation).outcome == "refused"
    assert fleet.runs == []
    again = fleet.ask("e2", operation)
    # The claim of e1, if it was written, stands: e2 passes the repeat on.
    fleet.finish()
    assert again.outcome == "complete" and len(fleet.runs) == 1


def test_with_the_store_away_own_ids_are_refused_and_system_ids_work(fleet):
    fleet.store.faults = ["away"] * 2
    assert fleet.ask("e1", fleet.own_id()).outcome == "refused"
    caller = fleet.ask("e1", fleet.system_id("e1"))
    fleet.finish()
    assert caller.outcome == "complete"


def test_two_entries_that_get_one_own_id_at_once_run_it_once(fleet):
    operation = fleet.own_id()
    callers = [fleet.ask(seat, operation) for seat in ("e2", "e1", "e2")]
    fleet.finish()
    assert [caller.outcome for caller in callers] == ["complete"] * 3
    assert len(fleet.runs) == 1


@pytest.mark.parametrize("later", [True, False])
def test_a_new_lease_is_taken_each_time_the_old_one_gets_short(fleet, later):
    fleet.store.answer_later = later
    for count in (1, 2):
        fleet.clock.advance(timedelta(minutes=11))
        callers = [fleet.ask("e1", fleet.own_id(10 * count + n)) for n in (1, 2)]
        assert len(fleet.store.leases) == count
        if later:
            assert callers[0].answers == callers[1].answers == []
            fleet.store.grant()
        fleet.finish()
        fleet.finish(at=-2)
        assert [caller.outcome for caller in callers] == ["complete", "complete"]


def test_a_lease_that_the_store_has_lost_is_replaced(fleet):
    first = fleet.ask("e1", fleet.own_id(1))
    fleet.finish()
    assert first.outcome == "complete"
    fleet.store.lapsed.add("lease-life1")
    fleet.clock.advance(timedelta(seconds=5))
    assert fleet.ask("e1", fleet.own_id(2)).outcome == "refused"
    caller = fleet.ask("e1", fleet.own_id(3))
    fleet.finish()
    assert caller.outcome == "complete" and len(fleet.store.leases) == 1


def test_leases_that_cannot_be_had_cost_the_store_no_more_calls_than_the_budget(fleet):
    fleet.clock.advance(timedelta(hours=1))
    fleet.store.answer_later = True
    for number in range(300):
        caller = fleet.ask("e1", fleet.own_id(number))
        if not fleet.store.leases[-1].called:
            fleet.store.leases[-1].callback(Error(StoreFailure(False, "away")))
        assert caller.outcome == "refused"
    # The claims' budget is 100 writes a second, and no time has passed.
    assert len(fleet.store.leases) <= 101
