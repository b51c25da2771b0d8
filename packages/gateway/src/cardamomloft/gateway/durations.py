"""Durations written as a number with a unit, such as ``250ms`` or ``2.5s``."""

import re
from datetime import timedelta

PATTERN = r"^\d{1,9}(\.\d{1,6})?(ms|s)$"

_TEXT = re.compile(PATTERN)
_UNITS = {"ms": timedelta(milliseconds=1), "s": timedelta(seconds=1)}


def parse_duration(text: str) -> timedelta:
    """Return the duration that `text` states.

    Raises
    ------
    ValueError
        If it is not a number with the unit ms or s.
    """
    if not isinstance(text, str) or not _TEXT.match(text):
        raise ValueError(f"not a duration in ms or s, such as 250ms: {text!r}")
    unit = "ms" if text.endswith("ms") else "s"
    return float(text.removesuffix(unit)) * _UNITS[unit]
