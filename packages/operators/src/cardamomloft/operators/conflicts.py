"""Detects where a configuration file overlaps with changes that are already recorded.

A file does not contain the revision that it was edited from, so applying a stale one would silently
undo later changes. These are detected from the audit trail: if the file sets a path to the value
that it had before a recent change, the file undoes that change.
"""

import enum
import json
import typing as t
from collections.abc import Iterable, Sequence

from cardamomloft.core.difference import Change, dotted
from cardamomloft.operators.trail import AuditEntry, PathChange

_PLANNED_WORK_TABLES = ("drains", "moves")


class OverlapKind(enum.StrEnum):
    """How a file overlaps with a recorded change on one path."""

    UNDOES = "undoes"
    EDITS = "edits the same path"


class Overlap(t.NamedTuple):
    """A path on which a file overlaps with the recorded revision `number`."""

    path: str
    touch: OverlapKind
    number: int
    who: str
    when: str
    why: str


def as_rows(changes: Iterable[Change]) -> list[PathChange]:
    """Convert a difference to the form of the audit trail and of the JSON output."""
    return [PathChange(path=c.path, old=c.old, new=c.new) for c in changes]


def overlaps(recorded: Iterable[AuditEntry], mine: Sequence[Change]) -> tuple[Overlap, ...]:
    """Return the paths on which `mine`, the difference to be applied, overlaps recorded changes."""
    return tuple(
        Overlap(theirs["path"], kind, entry["number"], entry["who"], entry["when"], entry["why"])
        for entry in recorded
        for theirs in entry["difference"] or []
        if (kind := _overlap_kind(theirs, mine)) is not None
    )


def filter_undoing(found: Iterable[Overlap]) -> tuple[Overlap, ...]:
    """Return the overlaps that undo a recorded change."""
    return tuple(overlap for overlap in found if overlap.touch is OverlapKind.UNDOES)


def entries_after(recorded: Iterable[AuditEntry], number: int) -> tuple[AuditEntry, ...]:
    """Return the audit entries of revisions later than `number`."""
    return tuple(entry for entry in recorded if entry["number"] > number)


def removed_entries(difference: Iterable[PathChange]) -> dict[str, str]:
    """Return the seats that a change removes from the roster, with their operators' addresses."""
    found = {}
    for change in difference:
        parent, _, part = change["path"].partition(".")
        row = change["old"]
        if parent == "entries" and change["new"] is None and _is_entry_row(row):
            found[json.loads(part) if part.startswith('"') else part] = row["operators"]
    return found


def _is_entry_row(row: object) -> bool:
    return isinstance(row, dict) and "operators" in row


def _overlap_kind(theirs: PathChange, mine: Iterable[Change]) -> OverlapKind | None:
    kinds = {
        _path_overlap_kind(theirs, change)
        for change in mine
        if _paths_overlap(theirs["path"], change.path)
    }
    if OverlapKind.UNDOES in kinds:
        return OverlapKind.UNDOES
    return OverlapKind.EDITS if kinds else None


def _path_overlap_kind(theirs: PathChange, mine: Change) -> OverlapKind:
    if theirs["path"] == mine.path:
        return OverlapKind.UNDOES if mine.new == theirs["old"] else OverlapKind.EDITS
    both_absent = mine.new is None and theirs["old"] is None
    if _is_ancestor(mine.path, theirs["path"]):
        removed = both_absent and _has_value_at(mine.path, mine.old, theirs["path"])
        return OverlapKind.UNDOES if removed else OverlapKind.EDITS
    # The recorded change added a whole table, and this file removes a row from it. A drain or move
    # is added by its own command, so a file that lacks it is stale; in other tables, removing a row
    # is usually an ordinary edit.
    planned = theirs["path"] in _PLANNED_WORK_TABLES and _has_value_at(
        theirs["path"], theirs["new"], mine.path
    )
    return OverlapKind.UNDOES if both_absent and planned else OverlapKind.EDITS


def _has_value_at(outer: str, value: object, inner: str) -> bool:
    """Return whether `value`, found at the path `outer`, has a key at `inner` or above it."""
    keys = value if isinstance(value, dict) else ()
    parts = (f"{outer}.{dotted(key)}" for key in keys)
    return any(inner == part or _is_ancestor(part, inner) for part in parts)


def _paths_overlap(one: str, other: str) -> bool:
    return one == other or _is_ancestor(one, other) or _is_ancestor(other, one)


def _is_ancestor(outer: str, inner: str) -> bool:
    return inner.startswith(f"{outer}.")
