from datetime import timedelta

import pytest
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.ledger import (
    Answered,
    AnswerNotKept,
    Join,
    KeptAnswer,
    Ledger,
    Run,
    Settled,
)
from cardamomloft.core.model import RefusalReason, Unknown

ANSWER = KeptAnswer(201, (("content-type", "text/plain"),), b"two boxes")
EXPIRES = timedelta(minutes=15)
GRACE = timedelta(minutes=5)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


def ledger_of(clock: ManualClock, **bounds: int) -> Ledger:
    sizes = {"max_operations": 3, "max_bytes": 10**6, "answer_limit": 300} | bounds
    return Ledger(clock, grace=GRACE, **sizes)


def test_outcomes_outlive_the_window_by_the_grace_and_are_never_run_again(clock) -> None:
    ledger = ledger_of(clock)
    assert ledger.begin("a", "f", EXPIRES).ok == Run("a")
    ledger.finish("a", ANSWER)
    clock.advance(EXPIRES + GRACE - timedelta(microseconds=1))
    assert ledger.begin("a", "f", EXPIRES).ok == Answered(ANSWER)
    assert ledger.begin("b", "f", EXPIRES).error.reason is RefusalReason.EXPIRED
    clock.advance(timedelta(microseconds=1))
    assert isinstance(ledger.begin("a", "f", EXPIRES).error, Unknown)
    assert (len(ledger), ledger.held_bytes) == (0, 0)


def test_an_operation_in_flight_stays_and_its_late_answer_can_still_be_had(clock) -> None:
    ledger = ledger_of(clock)
    ledger.begin("a", "f", EXPIRES)
    clock.advance(4 * EXPIRES)
    assert ledger.begin("a", "f", EXPIRES).ok == Join("a")
    ledger.unknown("a", "no answer in time")
    assert ledger.begin("a", "f", EXPIRES).ok == Settled(Unknown("no answer in time"))
    ledger.finish("a", ANSWER)
    assert ledger.begin("a", "f", EXPIRES).ok == Answered(ANSWER)


def test_joined_callers_are_told_once_even_if_one_raises_or_asks_again(clock) -> None:
    ledger, told = ledger_of(clock), []
    ledger.begin("a", "f", EXPIRES)

    def fail(outcome) -> None:
        raise OSError("caller is gone")

    ledger.join("a", fail)
    ledger.join("a", lambda outcome: told.append(ledger.begin("a", "f", EXPIRES).ok))
    ledger.join("a", told.append)()
    ledger.join("a", told.append)
    assert [type(exc) for exc in ledger.not_run("a")] == [OSError]
    assert told[0] == Run("a") and told[1].reason is RefusalReason.UNREACHABLE
    assert ledger.finish("a", ANSWER) == () and len(told) == 2
    for late in (ledger.not_run, lambda operation: ledger.finish(operation, ANSWER)):
        with pytest.raises(ValueError, match="not in flight"):
            late("a")


def test_an_id_used_for_another_request_is_refused(clock) -> None:
    ledger = ledger_of(clock)
    ledger.begin("a", "f", EXPIRES)
    assert ledger.begin("a", "g", EXPIRES).error.reason is RefusalReason.OPERATION_REUSED


def test_a_large_answer_goes_to_who_waits_and_only_its_status_is_kept(clock) -> None:
    ledger, told = ledger_of(clock), []
    ledger.begin("a", "f", EXPIRES)
    ledger.join("a", told.append)
    large = ANSWER._replace(body=bytes(301))
    ledger.finish("a", large)
    assert told == [large]
    assert ledger.begin("a", "f", EXPIRES).ok == Settled(AnswerNotKept(201))


@pytest.mark.parametrize("bounds", [{"max_operations": 1}, {"max_bytes": 1500}])
def test_a_full_ledger_refuses_new_ids_and_forgets_nothing(clock, bounds) -> None:
    ledger = ledger_of(clock, **bounds)
    ledger.begin("a", "f", EXPIRES)
    refusal = ledger.begin("b", "f", EXPIRES).error
    assert refusal.reason is RefusalReason.LEDGER_FULL and refusal.retry_after == EXPIRES + GRACE
    assert ledger.begin("a", "f", EXPIRES).ok == Join("a")
    ledger.not_run("a")
    assert ledger.begin("b", "f", EXPIRES).ok == Run("b")
