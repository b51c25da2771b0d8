"""Messages and JSON payloads of the commands that change the configuration."""

import typing as t

from cardamomloft.core.checking import warnings
from cardamomloft.core.difference import Change
from cardamomloft.core.document import Document, Mistake
from cardamomloft.operators import conflicts
from cardamomloft.operators.acceptance import Acceptance, Verdict
from cardamomloft.operators.conflicts import Overlap, OverlapKind
from cardamomloft.operators.outcomes import ExitCode, Failure, Outcome
from cardamomloft.operators.recording import Base, WrittenRecord
from cardamomloft.operators.rendering import compact_json, format_count, table
from cardamomloft.operators.session import Session
from cardamomloft.operators.trail import AuditEntry, PathChange


class RecordedChange(t.NamedTuple):
    """A change that is in the store, its difference, and the latest audit entries before it."""

    written: WrittenRecord
    difference: list[PathChange]
    recent: tuple[AuditEntry, ...]


def report_acceptance(
    session: Session, recorded: RecordedChange, acceptance: Acceptance
) -> Outcome:
    """Report at which entries a recorded revision is in force."""
    payload = acceptance_payload(recorded, acceptance)
    in_force = acceptance.with_verdict(Verdict.IN_FORCE)
    lacking = acceptance.with_verdict(Verdict.LACKING)
    number = acceptance.number
    if not lacking:
        out = acceptance.with_verdict(Verdict.OUT)
        suffix = f"; out of service: {', '.join(s.seat for s in out)}" if out else ""
        entries = format_count(len(in_force), "entry", "entries")
        session.console.info(f"accepted: revision {number} is in force at {entries}{suffix}")
        return Outcome(ExitCode.OK, payload)
    entries = format_count(len(lacking), "entry", "entries")
    session.console.info(f"recorded, not accepted: revision {number} is not in force at {entries}")
    rows = [(s.seat, s.revision, s.detail) for s in lacking]
    session.console.info(*table(("entry", "revision", "detail"), rows))
    session.console.info(
        "entries will still receive it; to keep waiting, repeat the command with"
        f" --change {recorded.written.record['change']}"
    )
    return Outcome(ExitCode.RECORDED, payload)


def acceptance_payload(recorded: RecordedChange, acceptance: Acceptance) -> dict[str, t.Any]:
    """Return the JSON payload of a recorded change."""
    written = recorded.written
    return {
        "outcome": "accepted" if acceptance.accepted else "recorded",
        "revision": acceptance.number,
        "change": written.record["change"],
        "audited": written.audited,
        "difference": recorded.difference,
        "in_force": [s.seat for s in acceptance.with_verdict(Verdict.IN_FORCE)],
        "out": [s.seat for s in acceptance.with_verdict(Verdict.OUT)],
        "lacking": [
            {"entry": s.seat, "revision": s.revision, "detail": s.detail}
            for s in acceptance.with_verdict(Verdict.LACKING)
        ],
    }


def report_no_change(session: Session, base: Base) -> Outcome:
    """Report that the current document already equals the requested one."""
    session.console.info(f"no change: revision {base.number} holds this already")
    return Outcome(ExitCode.OK, {"outcome": "no change", "revision": base.number})


def conflict_failure(
    current: Base, theirs: t.Sequence[AuditEntry], mine: t.Sequence[Change]
) -> Failure:
    """Return the failure of a change that conflicts with the recorded changes `theirs`."""
    found = conflicts.overlaps(theirs, mine)
    lines = [line for entry in theirs for line in _audit_entry_lines(entry, found)]
    if theirs:
        lines.append(_overlap_summary(found))
    lines.append(f"merge this into the file, then apply it with --base {current.number}")
    text = f"conflict: revision {current.number} was recorded first; nothing was written"
    payload = {
        "outcome": "conflict",
        "revision": current.number,
        "recorded": list(theirs),
        "overlaps": overlap_rows(found),
    }
    return Failure(ExitCode.CONFLICT, text, tuple(lines), payload)


def _overlap_summary(found: t.Sequence[Overlap]) -> str:
    if any(overlap.touch is OverlapKind.EDITS for overlap in found):
        return "this file edits the same paths"
    if found:
        return "this file still has the former values"
    return "the edits touch different paths"


def difference_table(rows: t.Iterable[PathChange]) -> list[str]:
    """Format a difference as a table."""
    cells = [(row["path"], compact_json(row["old"]), compact_json(row["new"])) for row in rows]
    return table(("path", "old", "new"), cells)


def report_base(session: Session, base: Base) -> None:
    """Print the latest revision."""
    if base.record is None:
        session.console.info("no revision is recorded yet")
        return
    record = base.record
    session.console.info(
        f"revision {base.number} is the latest,"
        f" by {record['who']} at {record['when']}: {record['why']}"
    )


def report_difference(session: Session, changes: t.Sequence[Change]) -> None:
    """Print the difference that a change makes."""
    if not changes:
        session.console.info("no difference")
        return
    session.console.info(f"difference ({format_count(len(changes), 'path')}):")
    session.console.info(*difference_table(conflicts.as_rows(changes)))


def report_recorded(session: Session, written: WrittenRecord) -> None:
    """Print that a change was recorded, and warn if its audit entry is not written yet."""
    record = written.record
    suffix = "; a later revision has replaced it" if written.superseded else ""
    session.console.info(
        f"recorded: revision {record['number']}, change {record['change']}{suffix}"
    )
    if not written.audited:
        session.console.warn(
            "the audit entry could not be written yet; the next change or audit writes it"
        )


def warn_document(session: Session, document: Document) -> list[dict[str, str]]:
    """Print the warnings about a valid document, and return them for the JSON payload."""
    found = warnings(document)
    session.console.warn(*(f"warning: {mistake}" for mistake in found))
    return [mistake._asdict() for mistake in found]


def warn_overlaps(session: Session, found: t.Iterable[Overlap]) -> None:
    """Print a warning for each recent change that a file undoes."""
    for overlap in conflicts.filter_undoing(found):
        session.console.warn(
            f"warning: {overlap.path}: {overlap.touch} revision {overlap.number}"
            f" by {overlap.who} at {overlap.when}: {overlap.why}"
        )


def overlap_rows(found: t.Iterable[Overlap]) -> list[dict[str, t.Any]]:
    """Return overlaps for the JSON payload."""
    return [{**overlap._asdict(), "touch": str(overlap.touch)} for overlap in found]


def _audit_entry_lines(entry: AuditEntry, found: t.Iterable[Overlap]) -> list[str]:
    kinds = {overlap.path: overlap.touch for overlap in found if overlap.number == entry["number"]}
    head = f"revision {entry['number']} by {entry['who']} at {entry['when']}: {entry['why']}"
    if entry["difference"] is None:
        return [head, "  its difference is not known"]
    rows = [
        (
            row["path"],
            compact_json(row["old"]),
            compact_json(row["new"]),
            _overlap_cell(kinds.get(row["path"])),
        )
        for row in entry["difference"]
    ]
    return [head, *table(("path", "old", "new", "this file"), rows)]


def _overlap_cell(kind: OverlapKind | None) -> str | None:
    return str(kind) if kind is not None else None


def mistakes_failure(text: str, mistakes: t.Sequence[Mistake]) -> Failure:
    """Return the failure of an invalid document or settings file."""
    payload = {"outcome": "refused", "mistakes": [m._asdict() for m in mistakes]}
    lines = tuple(f"  {mistake}" for mistake in mistakes)
    return Failure(ExitCode.REFUSED, f"{text} ({len(mistakes)})", lines, payload)
