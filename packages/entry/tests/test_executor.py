"""Operations run at most once and answer duplicates, also when executors are replaced."""

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
from cardamomloft.upstreams.sends import SendFailure, UpstreamAnswer
from expression import Error, Ok
from twisted.internet.defer import Deferred, ensureDeferred, succeed

RECEIPT = KeptAnswer(201, (("content-type", "text/plain"),), b"receipt")


class FakeStore:
    """Claims in memory, with faults to inject.

    `faults` are used in order by `acquire`: None, "unavailable" (not sent), "lost" (not written) or
    "late" (written, answer lost).
    """

    def __init__(self):
        self.claims = {}
        self.faults = []
        self.read_faults = []
        self.leases = []
        self.answer_later = False
        self.expired = set()

    def renew(self, lease):
        return succeed(Ok(lease not in self.expired))

    def acquire(self, key, value, lease):
        fault = self.faults.pop(0) if self.faults else None
        if lease in self.expired:
            # The store reports an unknown lease by an ambiguous error.
            return succeed(Error(StoreFailure(True, "status 500: invalid session")))
        if fault == "unavailable":
            return succeed(Error(StoreFailure(False, "unavailable")))
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
    """Runs that end when the test ends them."""

    def __init__(self, runs):
        self.runs = runs

    def collect(self, req, head, body):
        run = Deferred()
        self.runs.append((body, run))
        return run


class Content:
    def __init__(self, content):
        self.content = content

    def collect(self, limit):
        return succeed(Ok(self.content))


class Fleet:
    """Two entries that forward requests to each other, and one store."""

    def __init__(self):
        self.clock, self.store = ManualClock(), FakeStore()
        self.runs, self.numbers, self.entries = [], itertools.count(1), {}
        self.ids, self.unreachable, self.current = {}, set(), {}
        self.faults = []
        for seat in ("e1", "e2"):
            self.start(seat)

    def start(self, seat):
        me = Incarnation(seat, f"incarnation{next(self.numbers)}")
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
        """Fake of the client that forwards requests to another entry."""
        seat = sent.endpoint.name.removeprefix("entry/")
        if seat in self.unreachable:
            return succeed(Error(SendFailure(True, "refused")))
        caller = self.submit(seat, dict(sent.headers)["idempotency-key"], sent.body, sent.headers)
        answered = Deferred()
        caller.answered.addCallback(
            lambda a: answered.callback(
                Ok(UpstreamAnswer(a.status, a.headers, None, False, Content(a.body)))
            )
        )
        return answered

    def submit(self, seat, operation, content=b"order", headers=None):
        headers = headers or (("idempotency-key", operation),)
        deadline = self.clock.monotonic() + timedelta(seconds=5)
        req = Request(
            "pay", "POST", "/pay", None, None, {}, Priority.NORMAL, False, deadline, operation
        )
        head = RequestHead("POST", "/pay", "", headers, "127.0.0.1", len(content), False)
        return Caller(self.entries[seat], req, head, content)

    def system_id(self, seat, unique="0123456789abcdef"):
        return f"{self.ids[seat].prefix().text}.{unique}"

    def caller_supplied_id(self, number=1):
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
    return fleet.system_id("e1") if request.param == "system" else fleet.caller_supplied_id()


def test_duplicates_join_the_run_or_get_its_kept_answer(fleet, operation):
    first, second = fleet.submit("e1", operation), fleet.submit("e1", operation)
    assert first.answers == second.answers == []
    fleet.finish()
    third = fleet.submit("e1", operation)
    for caller in (first, second, third):
        assert caller.outcome == "complete"
        assert caller.answers[0].body == b"receipt" and caller.answers[0].status == 201
    assert len(fleet.runs) == 1


def test_a_duplicate_at_another_entry_is_forwarded_to_the_executor(fleet, operation):
    first, second = fleet.submit("e1", operation), fleet.submit("e2", operation)
    fleet.finish()
    assert (first.answers[0].body, second.answers[0].body) == (b"receipt", b"receipt")
    assert second.outcome == "complete" and len(fleet.runs) == 1
    assert fleet.entries["e2"].running == 0


def test_a_first_request_at_another_entry_runs_at_its_executor(fleet):
    caller = fleet.submit("e2", fleet.system_id("e1"))
    assert fleet.entries["e1"].running == 1
    fleet.finish()
    assert caller.outcome == "complete" and len(fleet.runs) == 1


def test_an_unreachable_executor_leaves_the_outcome_unknown(fleet, operation):
    fleet.submit("e1", operation)
    fleet.unreachable.add("e1")
    assert fleet.submit("e2", operation).outcome == "unknown"
    assert len(fleet.runs) == 1


def test_an_operation_of_a_replaced_executor_is_unknown_at_every_entry(fleet, operation):
    fleet.submit("e1", operation)
    fleet.start("e1")
    for seat in ("e1", "e2"):
        assert fleet.submit(seat, operation).outcome == "unknown"
    fleet.finish()
    assert fleet.submit("e1", operation).outcome == "unknown" and len(fleet.runs) == 1


def test_a_request_is_forwarded_to_an_executor_at_most_once(fleet):
    operation = fleet.system_id("e1")
    headers = (("idempotency-key", operation), (FORWARDED_BY_HEADER, "e3"))
    assert fleet.submit("e2", operation, headers=headers).outcome == "unknown"
    assert fleet.runs == []


def test_a_caller_that_disconnects_ends_its_request_but_not_the_run(fleet, operation):
    first = fleet.submit("e1", operation)
    first.gone.callback(None)
    assert len(first.answers) == 1, "the request of a disconnected caller never ends"
    assert fleet.entries["e1"].running == 1
    again = fleet.submit("e1", operation)
    fleet.finish()
    assert again.outcome == "complete" and again.answers[0].body == b"receipt"
    assert len(fleet.runs) == 1


def test_a_disconnected_caller_gets_the_kept_answer_by_a_duplicate(fleet, operation):
    fleet.submit("e1", operation).gone.callback(None)
    fleet.finish()
    assert fleet.submit("e1", operation).answers[0].body == b"receipt"
    assert len(fleet.runs) == 1 and fleet.entries["e1"].running == 0


def test_a_run_with_an_unknown_outcome_is_not_run_again(fleet, operation):
    first = fleet.submit("e1", operation)
    fleet.finish(Unknown("cut short"))
    assert (first.outcome, fleet.submit("e1", operation).outcome) == ("unknown", "unknown")
    assert len(fleet.runs) == 1


def test_a_refused_run_may_be_run_by_a_later_request(fleet, operation):
    first, joined = fleet.submit("e1", operation), fleet.submit("e1", operation)
    fleet.finish(Refusal(RefusalReason.SHED))
    assert (first.outcome, joined.outcome) == ("refused", "refused")
    again = fleet.submit("e1", operation)
    fleet.finish()
    assert again.outcome == "complete" and len(fleet.runs) == 2


def test_an_exception_in_a_run_leaves_the_outcome_unknown(fleet, operation):
    first = fleet.submit("e1", operation)
    _, run = fleet.runs[0]
    run.errback(RuntimeError("a defect"))
    assert (first.outcome, fleet.submit("e1", operation).outcome) == ("unknown", "unknown")
    assert len(fleet.runs) == 1 and fleet.entries["e1"].running == 0
    assert [fault.type for fault in fleet.faults] == [RuntimeError]


def test_an_id_reused_for_a_different_request_is_refused(fleet, operation):
    fleet.submit("e1", operation)
    for seat in ("e1", "e2"):
        assert fleet.submit(seat, operation, b"another order").outcome == "refused"
    assert len(fleet.runs) == 1


def test_an_expired_id_never_runs_again(fleet, operation):
    fleet.submit("e1", operation)
    fleet.finish()
    late = fleet.system_id("e1", "unused-until-now-")
    fleet.clock.advance(timedelta(minutes=16))
    assert fleet.submit("e1", late).outcome == "refused"
    fleet.clock.advance(timedelta(hours=3))
    assert fleet.submit("e1", operation).outcome in ("unknown", "refused")
    assert len(fleet.runs) == 1


@pytest.mark.parametrize("operation_text", ["x", "v1.e1.incarnation1.0.forged.0123456789abcdef"])
def test_a_malformed_or_forged_id_is_refused(fleet, operation_text):
    assert fleet.submit("e1", operation_text).outcome == "refused" and fleet.runs == []


# Caller-supplied ids.


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_an_ambiguous_claim_write_is_resolved_by_reading_it_back(fleet, fault):
    operation = fleet.caller_supplied_id()
    fleet.store.faults = [fault]
    first = fleet.submit("e1", operation)
    fleet.finish()
    assert first.outcome == "complete"
    assert fleet.submit("e2", operation).outcome == "complete"
    assert len(fleet.runs) == 1 and len(fleet.store.claims) == 1


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_an_ambiguous_claim_that_cannot_be_read_runs_nothing(fleet, fault):
    operation = fleet.caller_supplied_id()
    fleet.store.faults, fleet.store.read_faults = [fault], ["unavailable"]
    assert fleet.submit("e1", operation).outcome == "refused"
    assert fleet.runs == []
    again = fleet.submit("e2", operation)
    # If the claim of e1 was written, it is valid, and e2 forwards the duplicate.
    fleet.finish()
    assert again.outcome == "complete" and len(fleet.runs) == 1


def test_an_unavailable_store_blocks_caller_supplied_ids_only(fleet):
    fleet.store.faults = ["unavailable"] * 2
    assert fleet.submit("e1", fleet.caller_supplied_id()).outcome == "refused"
    caller = fleet.submit("e1", fleet.system_id("e1"))
    fleet.finish()
    assert caller.outcome == "complete"


def test_two_entries_that_receive_one_caller_supplied_id_run_it_once(fleet):
    operation = fleet.caller_supplied_id()
    callers = [fleet.submit(seat, operation) for seat in ("e2", "e1", "e2")]
    fleet.finish()
    assert [caller.outcome for caller in callers] == ["complete"] * 3
    assert len(fleet.runs) == 1


@pytest.mark.parametrize("later", [True, False])
def test_a_new_lease_is_created_when_the_old_one_is_too_short(fleet, later):
    fleet.store.answer_later = later
    for count in (1, 2):
        fleet.clock.advance(timedelta(minutes=11))
        callers = [fleet.submit("e1", fleet.caller_supplied_id(10 * count + n)) for n in (1, 2)]
        assert len(fleet.store.leases) == count
        if later:
            assert callers[0].answers == callers[1].answers == []
            fleet.store.grant()
        fleet.finish()
        fleet.finish(at=-2)
        assert [caller.outcome for caller in callers] == ["complete", "complete"]


def test_a_lease_that_the_store_has_lost_is_replaced(fleet):
    first = fleet.submit("e1", fleet.caller_supplied_id(1))
    fleet.finish()
    assert first.outcome == "complete"
    fleet.store.expired.add("lease-incarnation1")
    fleet.clock.advance(timedelta(seconds=5))
    assert fleet.submit("e1", fleet.caller_supplied_id(2)).outcome == "refused"
    caller = fleet.submit("e1", fleet.caller_supplied_id(3))
    fleet.finish()
    assert caller.outcome == "complete" and len(fleet.store.leases) == 1


def test_failed_lease_creations_cost_no_more_store_calls_than_the_budget(fleet):
    fleet.clock.advance(timedelta(hours=1))
    fleet.store.answer_later = True
    for number in range(300):
        caller = fleet.submit("e1", fleet.caller_supplied_id(number))
        if not fleet.store.leases[-1].called:
            fleet.store.leases[-1].callback(Error(StoreFailure(False, "unavailable")))
        assert caller.outcome == "refused"
    # The claims' budget is 100 writes a second, and no time has passed.
    assert len(fleet.store.leases) <= 101
