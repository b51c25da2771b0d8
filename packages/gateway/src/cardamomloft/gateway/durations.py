"""Durations written as a number with a unit, such as ``250ms`` or ``2.5s``."""

import re
from datetime import timedelta

PATTERN = r"^([0-9]+\.?[0-9]*|\.[0-9]+)([eE][+-]?[0-9]+)?(ms|s)$"
"""Form of a duration. Programs write numbers with any number of digits, or with an exponent."""

MAX_DURATION = timedelta(days=36_500)
"""Longest duration; a longer one has the same effect and is reduced to it."""

_TEXT = re.compile(PATTERN)
_UNITS = {"ms": timedelta(milliseconds=1), "s": timedelta(seconds=1)}


def parse_duration(text: str) -> timedelta:
    """Return the duration that `text` states, in whole microseconds, up to `MAX_DURATION`.

    Raises
    ------
    ValueError
        If it is not a number with the unit ms or s.
    """
    if not isinstance(text, str) or not _TEXT.fullmatch(text):
        raise ValueError(f"not a duration in ms or s, such as 250ms: {text!r}")
    unit = "ms" if text.endswith("ms") else "s"
    return min(float(text.removesuffix(unit)), MAX_DURATION / _UNITS[unit]) * _UNITS[unit]
