"""What the commands that change the configuration say, to people and to programs."""

import typing as t

from cardamomloft.core.checking import warnings
from cardamomloft.core.difference import Change
from cardamomloft.core.document import Document, Mistake
from cardamomloft.operators import conflicts
from cardamomloft.operators.acceptance import Acceptance, Verdict
from cardamomloft.operators.conflicts import Overlap, Touch
from cardamomloft.operators.outcomes import ExitCode, Failure, Outcome
from cardamomloft.operators.recording import Base, Written
from cardamomloft.operators.rendering import compact, count, table
from cardamomloft.operators.session import Session
from cardamomloft.operators.trail import AuditEntry, PathChange


class Recording(t.NamedTuple):
    """A change as recorded, what it differs in, and the recent trail below it."""

    written: Written
    difference: list[PathChange]
    recent: tuple[AuditEntry, ...]


def conclusion(session: Session, recording: Recording, acceptance: Acceptance) -> Outcome:
    """Report who has a recorded revision in force."""
    payload = acceptance_payload(recording, acceptance)
    in_force = acceptance.of(Verdict.IN_FORCE)
    lacking = acceptance.of(Verdict.LACKING)
    number = acceptance.number
    if not lacking:
        out = acceptance.of(Verdict.OUT)
        known = f"; known to be out: {', '.join(s.seat for s in out)}" if out else ""
        entries = count(len(in_force), "entry", "entries")
        session.console.say(f"accepted: revision {number} is in force at {entries}{known}")
        return Outcome(ExitCode.OK, payload)
    entries = count(len(lacking), "entry", "entries")
    session.console.say(f"recorded, not accepted: revision {number} is not in force at {entries}")
    rows = [(s.seat, s.revision, s.detail) for s in lacking]
    session.console.say(*table(("entry", "revision", "detail"), rows))
    session.console.say(
        f"it spreads by itself; to wait on: --change {recording.written.record['change']}"
    )
    return Outcome(ExitCode.RECORDED, payload)


def acceptance_payload(recording: Recording, acceptance: Acceptance) -> dict[str, t.Any]:
    """Return the result of a change for programs."""
    written = recording.written
    return {
        "outcome": "accepted" if acceptance.accepted else "recorded",
        "revision": acceptance.number,
        "change": written.record["change"],
        "audited": written.audited,
        "difference": recording.difference,
        "in_force": [s.seat for s in acceptance.of(Verdict.IN_FORCE)],
        "out": [s.seat for s in acceptance.of(Verdict.OUT)],
        "lacking": [
            {"entry": s.seat, "revision": s.revision, "detail": s.detail}
            for s in acceptance.of(Verdict.LACKING)
        ],
    }


def no_change(session: Session, base: Base) -> Outcome:
    """Report that the store holds what was asked for."""
    session.console.say(f"no change: revision {base.number} holds this already")
    return Outcome(ExitCode.OK, {"outcome": "no change", "revision": base.number})


def conflict_failure(
    current: Base, theirs: t.Sequence[AuditEntry], mine: t.Sequence[Change]
) -> Failure:
    """Return the failure of a change that others have overtaken."""
    found = conflicts.overlaps(theirs, mine)
    lines = [line for entry in theirs for line in _entry_lines(entry, found)]
    if theirs:
        lines.append(_how_they_meet(found))
    lines.append(f"take this into the file, then apply it with --base {current.number}")
    text = f"conflict: revision {current.number} was recorded first; nothing of this was written"
    payload = {
        "outcome": "conflict",
        "revision": current.number,
        "recorded": list(theirs),
        "overlaps": overlap_rows(found),
    }
    return Failure(ExitCode.CONFLICT, text, tuple(lines), payload)


def _how_they_meet(found: t.Sequence[Overlap]) -> str:
    if any(overlap.touch is Touch.EDITS for overlap in found):
        return "this file edits the same paths"
    if found:
        return "this file still has the former values"
    return "the edits touch different paths"


def difference_table(rows: t.Iterable[PathChange]) -> list[str]:
    """Lay out a difference."""
    cells = [(row["path"], compact(row["old"]), compact(row["new"])) for row in rows]
    return table(("path", "old", "new"), cells)


def say_base(session: Session, base: Base) -> None:
    """Say what the latest revision is."""
    if base.record is None:
        session.console.say("no revision is recorded yet")
        return
    made = base.record
    session.console.say(
        f"revision {base.number} is the latest, by {made['who']} at {made['when']}: {made['why']}"
    )


def say_difference(session: Session, changes: t.Sequence[Change]) -> None:
    """Say what a change differs in."""
    if not changes:
        session.console.say("no difference")
        return
    session.console.say(f"difference ({count(len(changes), 'path')}):")
    session.console.say(*difference_table(conflicts.as_rows(changes)))


def say_recorded(session: Session, written: Written) -> None:
    """Say that a change is in the store."""
    made = written.record
    after = "; a later revision has replaced it" if written.superseded else ""
    session.console.say(f"recorded: revision {made['number']}, change {made['change']}{after}")
    if not written.audited:
        session.console.warn(
            "the audit entry could not be written yet; the next change or audit writes it"
        )


def warn_document(session: Session, document: Document) -> list[dict[str, str]]:
    """Warn of what a document says that can hardly be meant, and return it for programs."""
    found = warnings(document)
    session.console.warn(*(f"warning: {mistake}" for mistake in found))
    return [mistake._asdict() for mistake in found]


def warn_overlaps(session: Session, found: t.Iterable[Overlap]) -> None:
    """Warn of recent changes that a file takes back."""
    for overlap in conflicts.undone(found):
        session.console.warn(
            f"warning: {overlap.path}: {overlap.touch} revision {overlap.number}"
            f" by {overlap.who} at {overlap.when}: {overlap.why}"
        )


def overlap_rows(found: t.Iterable[Overlap]) -> list[dict[str, t.Any]]:
    """Return overlaps for programs."""
    return [{**overlap._asdict(), "touch": str(overlap.touch)} for overlap in found]


def _entry_lines(entry: AuditEntry, found: t.Iterable[Overlap]) -> list[str]:
    touches = {
        overlap.path: overlap.touch for overlap in found if overlap.number == entry["number"]
    }
    head = f"revision {entry['number']} by {entry['who']} at {entry['when']}: {entry['why']}"
    if entry["difference"] is None:
        return [head, "  its difference is not known"]
    rows = [
        (row["path"], compact(row["old"]), compact(row["new"]), _yours(touches.get(row["path"])))
        for row in entry["difference"]
    ]
    return [head, *table(("path", "old", "new", "this file"), rows)]


def _yours(touch: Touch | None) -> str | None:
    return str(touch) if touch is not None else None


def refused(text: str, mistakes: t.Sequence[Mistake]) -> Failure:
    """Return the failure of a document with mistakes."""
    payload = {"outcome": "refused", "mistakes": [m._asdict() for m in mistakes]}
    lines = tuple(f"  {mistake}" for mistake in mistakes)
    return Failure(ExitCode.REFUSED, f"{text} ({len(mistakes)})", lines, payload)
