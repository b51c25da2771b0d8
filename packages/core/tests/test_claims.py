import uuid
from datetime import timedelta

import msgspec
import pytest
from cardamomloft.core.claims import Claimed, Claims, CreateClaim, HeldBy, ReadClaim
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.model import Incarnation, RefusalReason, Unknown
from cardamomloft.core.operations import CallerSuppliedId, parse_operation

ME = Incarnation("kgn-1", "one")
TICK = timedelta(milliseconds=1)
WINDOW = timedelta(minutes=15)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


def own_id(clock: ManualClock, age: timedelta = timedelta(0)) -> CallerSuppliedId:
    stamp = round((clock.utcnow() - age).timestamp() * 1000)
    return parse_operation(str(uuid.UUID(int=stamp << 80 | 7 << 76 | 2 << 62 | 1)).upper()).ok


def claims_of(clock: ManualClock, me: Incarnation = ME, writes_per_s: float = 2) -> Claims:
    claims = Claims(me, clock, writes_per_s=writes_per_s)
    claims.on_lease(claims.want_lease(), f"lease of {me}")
    return claims


def value_of(clock: ManualClock, me: Incarnation, fingerprint: str = "f") -> bytes:
    return claims_of(clock, me).start(own_id(clock), fingerprint).ok.step.value


def test_ambiguous_claim_write_is_read_back_before_the_operation_runs(clock) -> None:
    claims = claims_of(clock)
    attempt = claims.start(own_id(clock), "f").ok
    assert isinstance(attempt.failed(ambiguous=True), ReadClaim)
    again = attempt.read(None)
    assert again == attempt.step
    assert isinstance(attempt.failed(ambiguous=True), ReadClaim)
    assert attempt.read(again.value) == Claimed(claims.retention)


@pytest.mark.parametrize("ambiguous", [True, False])
def test_entry_that_lost_the_claim_forwards_and_never_refuses_as_not_run(clock, ambiguous) -> None:
    other, before = Incarnation("mobay-1", "x"), ME._replace(number="zero")
    for holder, verdict in ((other, HeldBy(other)), (before, Unknown)):
        attempt = claims_of(clock).start(own_id(clock), "f").ok
        assert isinstance(attempt.created(made=False), ReadClaim)
        step = attempt.read(value_of(clock, holder))
        assert step == verdict or type(step) is verdict
    for last in (
        lambda attempt: attempt.failed(ambiguous),
        lambda attempt: attempt.read(None),
        lambda attempt: attempt.read(b"[]"),
    ):
        attempt = claims_of(clock).start(own_id(clock), "f").ok
        attempt.created(made=False)
        assert isinstance(last(attempt), Unknown)
    reused = claims_of(clock).start(own_id(clock), "f").ok
    reused.created(made=False)
    step = reused.read(value_of(clock, other, "another request"))
    assert step.reason is RefusalReason.OPERATION_REUSED


def test_claim_refused_in_a_store_outage_can_run_later_in_the_same_incarnation(clock) -> None:
    claims = claims_of(clock)
    attempt = claims.start(own_id(clock), "f").ok
    attempt.failed(ambiguous=True)
    assert attempt.failed(ambiguous=False).reason is RefusalReason.CLAIM_UNAVAILABLE
    retry = claims.start(own_id(clock), "f").ok
    retry.created(made=False)
    assert retry.read(attempt.step.value) == Claimed(claims.retention)
    assert claims.start(own_id(clock), "f").error.reason is RefusalReason.CLAIM_BUDGET
    clock.advance(timedelta(seconds=0.5))
    assert claims.start(own_id(clock), "f").is_ok()


def test_claim_runs_only_if_its_lease_outlasts_acceptance_of_the_id_at_any_entry(clock) -> None:
    skew = timedelta(minutes=5)
    fast, slow = ManualClock(clock.utcnow() + skew), ManualClock(clock.utcnow() - skew)
    own, claims = own_id(clock), Claims(ME, fast, writes_per_s=2, drift=0.0)
    required_lease = claims.required_lease(fast.utcnow() - own.stamped)
    request = claims.want_lease()
    claims.on_lease(request._replace(ttl=required_lease), "lease")
    attempt = claims.start(own, "f").ok
    assert attempt.created(True) == Claimed(claims.retention)
    record = msgspec.json.decode(attempt.step.value)
    assert record["lease_end_ms"] == required_lease // TICK
    record["lease_end_ms"] -= 1
    retry = claims.start(own, "f").ok
    retry.created(False)
    assert retry.read(msgspec.json.encode(record)) == Claimed(fast.monotonic())
    # The entry with the slowest clock reads the claim until the lease ends, and no longer.
    slow_entry = claims_of(slow, ME._replace(seat="mobay-1"))
    slow.advance(required_lease - TICK)
    assert slow_entry.start(own, "f").is_ok()
    slow.advance(TICK)
    assert isinstance(slow_entry.start(own, "f").error, Unknown)
    claims.on_lease(request._replace(ttl=required_lease - TICK), "lease")
    assert claims.start(own, "f").error.reason is RefusalReason.CLAIM_UNAVAILABLE


def test_claim_created_after_the_window_does_not_run(clock) -> None:
    claims = claims_of(clock)
    for late, runs in ((WINDOW - TICK, True), (WINDOW, False)):
        at = clock.utcnow() + late
        step = claims.start(own_id(clock), "f").ok.created(True, at)
        assert (step.expires > clock.monotonic()) is runs


def test_ids_outside_the_window_are_refused_without_a_claim_write(clock) -> None:
    claims, minute = claims_of(clock), timedelta(minutes=1)
    ahead = claims.start(own_id(clock, -5 * minute - TICK), "f").error
    assert ahead.reason is RefusalReason.BAD_OPERATION
    assert isinstance(claims.start(own_id(clock, -5 * minute), "f").ok.step, CreateClaim)
    assert isinstance(claims.start(own_id(clock, WINDOW - TICK), "f").ok.step, CreateClaim)
    old = claims.start(own_id(clock, WINDOW), "f").ok
    assert isinstance(old.step, ReadClaim)
    assert old.read(None).reason is RefusalReason.EXPIRED
    assert isinstance(claims.start(own_id(clock, 20 * minute), "f").error, Unknown)
