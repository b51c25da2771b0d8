"""Plain text for operators: tables that are readable at 100 columns."""

import json
import textwrap
import typing as t
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

WIDTH = 100
_GAP = "  "
_CONTINUED = "    "
_MIN_COLUMN = 8


def table(heads: Sequence[str], rows: Iterable[Sequence[object]], indent: str = "  ") -> list[str]:
    """Lay out `rows` under `heads`; cells of the widest columns are cut to fit the width.

    Returns
    -------
    list of str
        The lines; empty without rows.
    """
    cells = [[_cell(value) for value in row] for row in rows]
    if not cells:
        return []
    lines = [list(heads), *cells]
    natural = [max(len(line[i]) for line in lines) for i in range(len(heads))]
    widths = _fit(natural, WIDTH - len(indent) - len(_GAP) * (len(heads) - 1))
    return [_line(line, widths, indent) for line in lines]


def _fit(widths: list[int], room: int) -> list[int]:
    while sum(widths) > room and max(widths) > _MIN_COLUMN:
        widest = widths.index(max(widths))
        widths[widest] -= 1
    return widths


def _line(cells: Sequence[str], widths: Sequence[int], indent: str) -> str:
    fitted = [_cut(cell, width).ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return (indent + _GAP.join(fitted)).rstrip()


def _cut(text: str, width: int) -> str:
    return text if len(text) <= width else text[: width - 3] + "..."


def _cell(value: object) -> str:
    if value is None:
        return "-"
    return value if isinstance(value, str) else str(value)


def wrap(line: str) -> list[str]:
    """Break a line that is too long at its blanks; the rest of it is indented.

    Text of several lines is laid out already.
    """
    if len(line) <= WIDTH or "\n" in line:
        return [line]
    return textwrap.wrap(
        line,
        WIDTH,
        subsequent_indent=_CONTINUED,
        break_on_hyphens=False,
    )


def compact(value: object) -> str:
    """Return JSON in one line, or a dash for what is absent."""
    return "-" if value is None else json.dumps(value, sort_keys=True, ensure_ascii=False)


def duration(span: timedelta | None) -> str:
    """Return seconds with one decimal, or a dash."""
    return "-" if span is None else f"{span.total_seconds():.1f} s"


def age(milliseconds: float | None) -> str:
    """Return the age of a measurement, or a dash if there was none."""
    return "-" if milliseconds is None else duration(timedelta(milliseconds=milliseconds))


def count(number: int, noun: str, plural: str | None = None) -> str:
    """Return a number with its noun."""
    return f"{number} {noun if number == 1 else plural or noun + 's'}"


def as_json(payload: Mapping[str, t.Any]) -> str:
    """Return a command's result as one JSON object."""
    return json.dumps(payload, indent=2, sort_keys=True, ensure_ascii=False)
