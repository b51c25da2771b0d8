"""Text output for operators: tables, line wrapping and formatted values."""

import json
import textwrap
import typing as t
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

WIDTH = 100
_COLUMN_GAP = "  "
_CONTINUATION_INDENT = "    "
_MIN_COLUMN_WIDTH = 8


def table(
    column_names: Sequence[str], rows: Iterable[Sequence[object]], indent: str = "  "
) -> list[str]:
    """Format a table; the cells of the widest columns are truncated to fit `WIDTH`.

    Returns
    -------
    list of str
        The lines, none if there are no rows.
    """
    cells = [[_cell(value) for value in row] for row in rows]
    if not cells:
        return []
    lines = [list(column_names), *cells]
    natural = [max(len(line[i]) for line in lines) for i in range(len(column_names))]
    widths = _shrink_widths(
        natural, WIDTH - len(indent) - len(_COLUMN_GAP) * (len(column_names) - 1)
    )
    return [_line(line, widths, indent) for line in lines]


def _shrink_widths(widths: list[int], max_total: int) -> list[int]:
    while sum(widths) > max_total and max(widths) > _MIN_COLUMN_WIDTH:
        widest = widths.index(max(widths))
        widths[widest] -= 1
    return widths


def _line(cells: Sequence[str], widths: Sequence[int], indent: str) -> str:
    fitted = [
        _truncate(cell, width).ljust(width) for cell, width in zip(cells, widths, strict=True)
    ]
    return (indent + _COLUMN_GAP.join(fitted)).rstrip()


def _truncate(text: str, width: int) -> str:
    return text if len(text) <= width else text[: width - 3] + "..."


def _cell(value: object) -> str:
    if value is None:
        return "-"
    return value if isinstance(value, str) else str(value)


def wrap(line: str) -> list[str]:
    """Wrap a line at `WIDTH` with indented continuation lines.

    Text that contains line breaks is returned unchanged.
    """
    if len(line) <= WIDTH or "\n" in line:
        return [line]
    return textwrap.wrap(
        line,
        WIDTH,
        subsequent_indent=_CONTINUATION_INDENT,
        break_on_hyphens=False,
    )


def compact_json(value: object) -> str:
    """Return `value` as JSON in one line, or a dash for None."""
    return "-" if value is None else json.dumps(value, sort_keys=True, ensure_ascii=False)


def format_duration(span: timedelta | None) -> str:
    """Format a duration in seconds with one decimal, or as a dash for None."""
    return "-" if span is None else f"{span.total_seconds():.1f} s"


def format_age(milliseconds: float | None) -> str:
    """Format an age given in milliseconds, or a dash for None."""
    return "-" if milliseconds is None else format_duration(timedelta(milliseconds=milliseconds))


def format_count(number: int, noun: str, plural: str | None = None) -> str:
    """Return a number followed by the noun in singular or plural."""
    return f"{number} {noun if number == 1 else plural or noun + 's'}"


def as_json(payload: Mapping[str, t.Any]) -> str:
    """Return the payload of a command as one JSON object."""
    return json.dumps(payload, indent=2, sort_keys=True, ensure_ascii=False)
