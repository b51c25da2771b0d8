"""Differences between two configuration documents, for plans and for the audit trail."""

import json
import re
import typing as t
from collections.abc import Iterator, Mapping

_UNQUOTED_PART = re.compile(r"[A-Za-z0-9_()-]+\Z")
_MAX_WHOLE_LIST = 16
_MAX_VALUE_CHARS = 200


class Change(t.NamedTuple):
    """One difference; `old` or `new` is None where the path is absent on that side."""

    path: str
    old: t.Any
    new: t.Any

    def __str__(self) -> str:
        if self.old is None:
            return f"+ {self.path}: {_format_value(self.new)}"
        if self.new is None:
            return f"- {self.path}: {_format_value(self.old)}"
        return f"~ {self.path}: {_format_value(self.old)} -> {_format_value(self.new)}"


def dotted(*parts: object) -> str:
    """Join `parts` to a dotted path, quoting parts with dots or other special characters."""
    return ".".join(_part(str(part)) for part in parts)


def difference(old: object, new: object) -> tuple[Change, ...]:
    """Return the changes from `old` to `new`, sorted by path.

    Rules are compared by name, and links by origin and target. A rule inserted at the top is
    therefore one added rule and one change of order, not a change of each rule below it.
    """
    return tuple(sorted(_compare((), old, new), key=lambda change: change.path))


def _part(text: str) -> str:
    return text if _UNQUOTED_PART.match(text) else json.dumps(text, ensure_ascii=False)


def _format_value(value: object) -> str:
    text = json.dumps(value, ensure_ascii=False, sort_keys=True)
    return text if len(text) <= _MAX_VALUE_CHARS else text[: _MAX_VALUE_CHARS - 3] + "..."


def _compare(path: tuple[str, ...], old: t.Any, new: t.Any) -> Iterator[Change]:
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _compare_members(path, old, new)
    elif isinstance(old, list) and isinstance(new, list):
        yield from _compare_lists(path, old, new)
    elif not _equal(old, new):
        yield Change(dotted(*path), old, new)


def _equal(old: t.Any, new: t.Any) -> bool:
    # Python's 1 == True is a difference in JSON, 1 == 1.0 is not.
    return old == new and isinstance(old, bool) == isinstance(new, bool)


def _compare_members(
    path: tuple[str, ...], old: Mapping[str, t.Any], new: Mapping[str, t.Any]
) -> Iterator[Change]:
    for key in old.keys() | new.keys():
        yield from _compare((*path, key), old.get(key), new.get(key))


def _compare_lists(path: tuple[str, ...], old: list[t.Any], new: list[t.Any]) -> Iterator[Change]:
    before, after = _labelled(old), _labelled(new)
    if before is None or after is None:
        if old != new:
            yield Change(dotted(*path), old, new)
        return
    yield from _compare_members(path, before, after)
    if list(before) != list(after) and (_has_order(old) or _has_order(new)):
        yield Change(dotted(*path, "(order)"), list(before), list(after))


def _has_order(rows: list[t.Any]) -> bool:
    """Return whether the rows are rules, the only labelled rows whose order matters."""
    return bool(rows) and isinstance(rows[0], dict) and "name" in rows[0]


def _labelled(rows: list[t.Any]) -> dict[str, t.Any] | None:
    """Return the rows by label, or None if the list must be compared as a whole."""
    labels = [_label(row) for row in rows]
    if None in labels or len(set(labels)) < len(labels):
        return None
    if rows and isinstance(rows[0], str) and len(rows) <= _MAX_WHOLE_LIST:
        return None
    return dict(zip(t.cast(list[str], labels), rows, strict=True))


def _label(row: object) -> str | None:
    match row:
        case str():
            return row
        case {"name": str(name)}:
            return name
        case {"origin": str(origin), "target": str(target)}:
            return f"{origin}:{target}"
        case _:
            return None
