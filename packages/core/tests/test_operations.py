import uuid
from datetime import timedelta

import pytest
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.model import Incarnation, Refusal, RefusalReason, Unknown
from cardamomloft.core.operations import OperationIds, parse_operation

ME = Incarnation("kgn.1-a.2", "f00d_-9")
UNIQUE = "0123456789abcdef"


def ids_of(clock: ManualClock, me: Incarnation = ME, secret: bytes = bytes(16)) -> OperationIds:
    return OperationIds(me, clock, secret)


def test_a_seat_with_dots_is_parsed_and_validity_starts_with_the_epoch() -> None:
    clock = ManualClock()
    clock.advance(timedelta(seconds=3))
    ids = ids_of(clock)
    clock.advance(timedelta(seconds=24))
    prefix = ids.prefix()
    assert prefix.valid_for == timedelta(minutes=15) - timedelta(seconds=4)
    operation = parse_operation(f'"{prefix.text}.{UNIQUE}"').ok
    assert operation.executor == ME
    assert ids.check(operation).ok == clock.monotonic() + prefix.valid_for


def test_forged_future_and_foreign_ids_are_distinguished() -> None:
    clock = ManualClock()
    ids = ids_of(clock)
    text = f"{ids.prefix().text}.{UNIQUE}"
    later = parse_operation(text.replace(".0.", ".1.")).ok
    assert ids.check(later).error.reason is RefusalReason.BAD_OPERATION
    other = ids_of(clock, secret=bytes([1]) * 16)
    assert other.check(parse_operation(text).ok).error.reason is RefusalReason.BAD_OPERATION
    successor = ids_of(clock, ME._replace(number="2"))
    assert isinstance(successor.check(parse_operation(text).ok).error, Unknown)
    # A valid MAC of a future epoch, as after a clock was set back.
    clock.advance(timedelta(seconds=10))
    ahead = parse_operation(f"{ids.prefix().text}.{UNIQUE}").ok
    assert ids_of(ManualClock()).check(ahead).error.detail == "the prefix is of a future epoch"
    with pytest.raises(ValueError, match="another seat"):
        ids_of(clock, ME._replace(seat="b")).check(ahead)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "order-17",
        str(uuid.UUID(int=4 << 76 | 2 << 62)),
        "v1.a.b.0." + "m" * 22 + ".short",
        "v1.a.b.00." + "m" * 22 + "." + UNIQUE,
        "v1.a.b.\u0663." + "m" * 22 + "." + UNIQUE,
        "v1..b.0." + "m" * 22 + "." + UNIQUE,
        "v1.a.b.0." + "m" * 22 + "." + UNIQUE + "\n",
        str(uuid.UUID(int=(2**48 - 1) << 80 | 7 << 76 | 2 << 62)),
    ],
)
def test_malformed_ids_are_refused_with_a_detail(text: str) -> None:
    refusal = parse_operation(text).error
    assert isinstance(refusal, Refusal) and refusal.detail
    assert refusal.reason is RefusalReason.BAD_OPERATION
