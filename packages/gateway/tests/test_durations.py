"""Durations are read however a program writes their number."""

from datetime import timedelta

import pytest
from cardamomloft.gateway.durations import MAX_DURATION, parse_duration
from cardamomloft.gateway.settings import DurationText
from hypothesis import given
from hypothesis import strategies as st
from pydantic import TypeAdapter, ValidationError

_CHECKED = TypeAdapter(DurationText)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("250ms", 0.25),
        ("2.5s", 2.5),
        ("0s", 0.0),
        ("3333.3333333333335ms", 3.333333),
        ("3.33333333333333s", 3.333333),
        ("0.1000000000000000055511151231257827s", 0.1),
        ("00000000000012s", 12.0),
        ("1e3ms", 1.0),
        ("1.5E+0s", 1.5),
        ("1e-05s", 0.00001),
        ("5.s", 5.0),
        (".5s", 0.5),
        ("123456789012ms", 123_456_789.012),
    ],
)
def test_number_with_any_number_of_digits_is_read(text, seconds):
    """Guards against a configuration that is refused whole for a time with many decimals."""
    assert abs(parse_duration(text) - timedelta(seconds=seconds)) <= timedelta(microseconds=1)
    assert _CHECKED.validate_python(text) == text


@pytest.mark.parametrize("text", ["1e400s", "9" * 400 + "ms", "1e30ms"])
def test_duration_beyond_all_use_is_reduced(text):
    assert parse_duration(text) == MAX_DURATION


@pytest.mark.parametrize(
    "text",
    ["", "5", "ms", ".s", "soon", "-5ms", "+5ms", "5 ms", " 5ms", "5ms\n", "5m", "5MS", "1e", "1es"]
    + ["nans", "infs", "1_000ms", "0x5ms", "\u0665ms", "1,5s", "5ms5ms", "1.2.3s"],
)
def test_anything_else_is_refused(text):
    with pytest.raises(ValueError, match="not a duration"):
        parse_duration(text)
    with pytest.raises(ValidationError):
        _CHECKED.validate_python(text)


@pytest.mark.parametrize("value", [None, 5, 2.5, True, b"5ms", ["5ms"]])
def test_other_types_are_refused(value):
    with pytest.raises(ValueError, match="not a duration"):
        parse_duration(value)


@given(st.floats(min_value=0, max_value=1e9), st.sampled_from(["ms", "s"]))
def test_every_number_that_a_program_writes_is_read(number, unit):
    found = parse_duration(f"{number!r}{unit}")
    expected = number * timedelta(**{"milliseconds" if unit == "ms" else "seconds": 1})
    assert found == min(expected, MAX_DURATION)
