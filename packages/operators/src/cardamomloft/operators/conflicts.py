"""What one operator's file does to the changes that others have recorded.

A file carries no trace of the revision that it was edited from, so a stale one would silently take
back what was recorded since. The audit trail tells: a path that the file sets to the value from
before a recent change is a path on which the file undoes that change.
"""

import enum
import json
import typing as t
from collections.abc import Iterable, Sequence

from cardamomloft.core.difference import Change, dotted
from cardamomloft.operators.trail import AuditEntry, PathChange

_PLANNED = ("drains", "moves")


class Touch(enum.StrEnum):
    """How a file meets a recorded change on one path."""

    UNDOES = "undoes"
    EDITS = "edits the same path"


class Overlap(t.NamedTuple):
    """A path on which a file meets the recorded change `number`."""

    path: str
    touch: Touch
    number: int
    who: str
    when: str
    why: str


def as_rows(changes: Iterable[Change]) -> list[PathChange]:
    """Return a difference as the audit trail and programs read it."""
    return [PathChange(path=c.path, old=c.old, new=c.new) for c in changes]


def overlaps(recorded: Iterable[AuditEntry], mine: Sequence[Change]) -> tuple[Overlap, ...]:
    """Return where `mine`, the difference from what is in force, meets recorded changes."""
    return tuple(
        Overlap(theirs["path"], touch, entry["number"], entry["who"], entry["when"], entry["why"])
        for entry in recorded
        for theirs in entry["difference"] or []
        if (touch := _touch(theirs, mine)) is not None
    )


def undone(found: Iterable[Overlap]) -> tuple[Overlap, ...]:
    """Return the overlaps that take a recorded change back."""
    return tuple(overlap for overlap in found if overlap.touch is Touch.UNDOES)


def since(recorded: Iterable[AuditEntry], number: int) -> tuple[AuditEntry, ...]:
    """Return the entries above revision `number`."""
    return tuple(entry for entry in recorded if entry["number"] > number)


def removed_entries(difference: Iterable[PathChange]) -> dict[str, str]:
    """Return the operators' addresses of the seats that a change takes off the roster."""
    found = {}
    for change in difference:
        parent, _, part = change["path"].partition(".")
        row = change["old"]
        if parent == "entries" and change["new"] is None and _is_entry_row(row):
            found[json.loads(part) if part.startswith('"') else part] = row["operators"]
    return found


def _is_entry_row(row: object) -> bool:
    return isinstance(row, dict) and "operators" in row


def _touch(theirs: PathChange, mine: Iterable[Change]) -> Touch | None:
    touches = {_meet(theirs, change) for change in mine if _related(theirs["path"], change.path)}
    if Touch.UNDOES in touches:
        return Touch.UNDOES
    return Touch.EDITS if touches else None


def _meet(theirs: PathChange, mine: Change) -> Touch:
    if theirs["path"] == mine.path:
        return Touch.UNDOES if mine.new == theirs["old"] else Touch.EDITS
    both_absent = mine.new is None and theirs["old"] is None
    if _contains(mine.path, theirs["path"]):
        lost = both_absent and _has_part(mine.path, mine.old, theirs["path"])
        return Touch.UNDOES if lost else Touch.EDITS
    # They added a whole table and this file removes one row of it. Among drains and moves that
    # is a row that their file never had; elsewhere it is most often an ordinary later edit.
    planned = theirs["path"] in _PLANNED and _has_part(theirs["path"], theirs["new"], mine.path)
    return Touch.UNDOES if both_absent and planned else Touch.EDITS


def _has_part(outer: str, value: object, inner: str) -> bool:
    """Tell whether `value`, which stands at the path `outer`, has something at or on `inner`."""
    keys = value if isinstance(value, dict) else ()
    parts = (f"{outer}.{dotted(key)}" for key in keys)
    return any(inner == part or _contains(part, inner) for part in parts)


def _related(one: str, other: str) -> bool:
    return one == other or _contains(one, other) or _contains(other, one)


def _contains(outer: str, inner: str) -> bool:
    return inner.startswith(f"{outer}.")
