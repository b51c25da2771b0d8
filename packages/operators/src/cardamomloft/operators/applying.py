"""The commands ``check``, ``plan`` and ``apply``, which take a configuration file."""

import typing as t
from datetime import timedelta

from cardamomloft.core.changes import Conflict, Record, next_record
from cardamomloft.core.checking import check_document
from cardamomloft.core.difference import Change, difference
from cardamomloft.core.document import Document
from cardamomloft.core.typedjson import load_json
from cardamomloft.operators import conflicts, editing, fleet, trail, waiting, wording
from cardamomloft.operators.acceptance import Acceptance, highest_revision
from cardamomloft.operators.outcomes import (
    ExitCode,
    Failure,
    Outcome,
    unavailable,
    with_nothing_written,
)
from cardamomloft.operators.recording import Base, WrittenRecord, read_base, write
from cardamomloft.operators.rendering import format_count
from cardamomloft.operators.session import Session
from cardamomloft.operators.trail import AuditEntry
from cardamomloft.operators.wording import RecordedChange
from expression import Error, Ok, Result

MAX_RECENT_ENTRIES = 20
"""Number of the latest audit entries that a file is checked against for conflicts."""


class Intent(t.NamedTuple):
    """Author and reason of a change; `change` is its unique id."""

    who: str
    why: str
    change: str


def read_document(text: str) -> Result[Document, Failure]:
    """Parse and validate a configuration file; the failure lists every mistake."""
    checked = load_json(text).bind(check_document).map(editing.drop_empty_drains_and_moves)
    return checked.map_error(
        lambda mistakes: wording.mistakes_failure("the file has mistakes", mistakes)
    )


async def check(session: Session, text: str) -> Result[Outcome, Failure]:
    """Validate a file offline."""
    match read_document(text):
        case Result(tag="error", error=failure):
            return Error(failure)
        case Result(ok=document):
            found = wording.warn_document(session, document)
            session.console.info(f"no mistakes, {format_count(len(found), 'warning')}")
            return Ok(Outcome(ExitCode.OK, {"outcome": "ok", "warnings": found}))
    raise AssertionError("a result is neither ok nor error")


async def plan(session: Session, text: str) -> Result[Outcome, Failure]:
    """Show the difference that applying a file would make, without writing."""
    match read_document(text):
        case Result(tag="error", error=failure):
            return Error(failure)
        case Result(ok=document):
            pass
    match await read_base(session):
        case Result(tag="error", error=failure):
            return Error(failure)
        case Result(ok=base):
            pass
    match await read_recent(session, base, repair=False):
        case Result(tag="error", error=failure):
            return Error(failure)
        case Result(ok=recent):
            pass
    changes = _changes(base, document)
    found = conflicts.overlaps(recent, changes)
    wording.report_base(session, base)
    wording.report_difference(session, changes)
    warned = wording.warn_document(session, document)
    wording.warn_overlaps(session, found)
    if changes:
        session.console.info(f"apply it with --base {base.number} to be sure of this plan")
    payload = {
        "outcome": "plan" if changes else "no change",
        "base": base.number,
        "difference": conflicts.as_rows(changes),
        "warnings": warned,
        "overlaps": wording.overlap_rows(found),
    }
    return Ok(Outcome(ExitCode.OK, payload))


async def apply(
    session: Session,
    text: str,
    intent: Intent,
    wait: timedelta,
    base_number: int | None = None,
) -> Result[Outcome, Failure]:
    """Record a file as the next revision and wait until it is accepted.

    Parameters
    ----------
    base_number
        The revision that the file was edited from. If given, the file may undo changes up to that
        revision, and any later revision is a conflict.
    """
    match read_document(text):
        case Result(tag="error", error=failure):
            return Error(with_nothing_written(failure))
        case Result(ok=document):
            pass
    match await read_base(session):
        case Result(tag="error", error=failure):
            return Error(with_nothing_written(failure))
        case Result(ok=base):
            pass
    match await read_recent(session, base, repair=True):
        case Result(tag="error", error=failure):
            return Error(with_nothing_written(failure))
        case Result(ok=recent):
            pass
    known = find_recorded(base, recent, intent.change)
    if known is not None:
        if not known.written.superseded and base.document != document:
            text = f"change {intent.change} is recorded already with another file; omit --change"
            return Error(Failure(ExitCode.REFUSED, text))
        session.console.info(f"change {intent.change} is recorded already")
        return Ok(await wait_and_report(session, known, wait))
    changes = _changes(base, document)
    if not changes:
        return Ok(wording.report_no_change(session, base))
    match _check_conflicts(base, base_number, recent, changes):
        case Result(tag="error", error=failure):
            return Error(with_nothing_written(failure))
    wording.report_base(session, base)
    wording.report_difference(session, changes)
    wording.warn_document(session, document)
    wording.warn_overlaps(session, conflicts.overlaps(recent, changes))
    match await record(session, base, document, intent, recent):
        case Result(tag="error", error=failure):
            return Error(with_nothing_written(failure))
        case Result(ok=Conflict(winner)):
            return Error(await describe_conflict(session, base, winner, changes))
        case Result(ok=recorded):
            return Ok(await wait_and_report(session, recorded, wait))
    raise AssertionError("a result is neither ok nor error")


async def record(
    session: Session,
    base: Base,
    document: Document,
    intent: Intent,
    recent: tuple[AuditEntry, ...],
) -> Result[RecordedChange | Conflict, Failure]:
    """Write `document` to the store as the revision that follows `base`."""
    rows = conflicts.as_rows(_changes(base, document))
    highest = await _highest_entry_revision(session, base, document)
    if highest > base.number:
        session.console.warn(
            f"warning: entries have revision {highest}, the store only {base.number}:"
            " the store has lost changes"
        )
    new = next_record(
        base.record,
        document,
        intent.who,
        session.clock.utcnow().isoformat(timespec="milliseconds"),
        intent.why,
        intent.change,
        above=highest,
    )
    match await write(session, base, new, rows):
        case Result(tag="ok", ok=WrittenRecord() as written):
            wording.report_recorded(session, written)
            return Ok(RecordedChange(written, rows, recent))
        case other:
            return t.cast(Result[RecordedChange | Conflict, Failure], other)


async def wait_and_report(session: Session, recorded: RecordedChange, wait: timedelta) -> Outcome:
    """Wait until the revision is accepted or `wait` has elapsed, and report the result."""
    acceptance, _ = await wait_for_acceptance(session, recorded, wait)
    return wording.report_acceptance(session, recorded, acceptance)


async def wait_for_acceptance(
    session: Session, recorded: RecordedChange, wait: timedelta
) -> tuple[Acceptance, waiting.RequiredSeats]:
    """Wait until the recorded revision is accepted or `wait` has elapsed.

    Returns
    -------
    tuple
        The last evaluation, and the seats that it covers.
    """
    new = recorded.written.record
    required = await waiting.find_required_seats(session, new, recorded.difference, recorded.recent)
    return await waiting.wait_accepted(session, new["number"], required, wait), required


def find_recorded(base: Base, recent: t.Iterable[AuditEntry], change: str) -> RecordedChange | None:
    """Return the change with the id `change` if the recent audit trail contains it.

    The store keeps only the current document, so the returned record contains that one even if the
    change is older. Its acceptance is thus evaluated for the current roster, which is valid because
    every later revision includes the change.
    """
    if base.record is None:
        return None
    for entry in recent:
        if entry["change"] == change:
            found = t.cast(Record, {**base.record, "number": entry["number"], "change": change})
            superseded = entry["number"] < base.number
            written = WrittenRecord(found, superseded, audited=True)
            return RecordedChange(written, entry["difference"] or [], tuple(recent))
    return None


async def describe_conflict(
    session: Session, base: Base, winner: Record, mine: t.Sequence[Change]
) -> Failure:
    """Return the failure that describes the changes recorded first and where the edits overlap."""
    theirs: tuple[AuditEntry, ...] = ()
    current = Base(winner, 0)
    match await read_recent(session, current, repair=True):
        case Result(tag="ok", ok=recent):
            theirs = conflicts.entries_after(recent, base.number)
    return wording.conflict_failure(current, theirs, mine)


def _check_conflicts(
    base: Base,
    base_number: int | None,
    recent: t.Sequence[AuditEntry],
    mine: t.Sequence[Change],
) -> Result[None, Failure]:
    """Reject a file that would unintentionally undo recorded changes."""
    if base_number is not None:
        if base_number == base.number:
            return Ok(None)
        return Error(
            wording.conflict_failure(base, conflicts.entries_after(recent, base_number), mine)
        )
    undoing = conflicts.filter_undoing(conflicts.overlaps(recent, mine))
    if not undoing:
        return Ok(None)
    numbers = {overlap.number for overlap in undoing}
    theirs = [entry for entry in recent if entry["number"] in numbers]
    failure = wording.conflict_failure(base, theirs, mine)
    revisions = "revision" if len(numbers) == 1 else "revisions"
    listed = ", ".join(str(number) for number in sorted(numbers))
    text = f"conflict: the file undoes {revisions} {listed}; nothing was written"
    last = f"merge this into the file, or undo it deliberately with --base {base.number}"
    return Error(failure._replace(text=text, lines=(*failure.lines[:-2], last)))


async def read_recent(
    session: Session, base: Base, *, repair: bool
) -> Result[tuple[AuditEntry, ...], Failure]:
    """Read the most recent audit entries.

    With `repair`, the audit entry of the current record is created if it is missing. This must
    happen before the record is replaced, since afterwards only the audit trail identifies the
    change.
    """
    if base.record is None or session.store is None:
        return Ok(())
    if repair:
        match await trail.ensure_entry(session.store, base.record):
            case Result(tag="error", error=fault):
                return Error(unavailable(fault.detail))
    read = await trail.read_back_from(session.store, base.number, MAX_RECENT_ENTRIES)
    return read.map(trail.read_entries).map_error(lambda fault: unavailable(fault.detail))


async def _highest_entry_revision(session: Session, base: Base, document: Document) -> int:
    addresses = fleet.roster(document)
    if base.document is not None:
        addresses = {**fleet.roster(base.document), **addresses}
    return highest_revision(await fleet.poll(session, addresses)) or 0


def _changes(base: Base, document: Document) -> tuple[Change, ...]:
    return difference(base.document or {}, document)
