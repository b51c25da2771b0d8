"""The commands ``check``, ``plan`` and ``apply``: an operator's file and what is in force."""

import typing as t
from datetime import timedelta

from cardamomloft.core.changes import Conflict, Record, next_record
from cardamomloft.core.checking import check_document, load_json
from cardamomloft.core.difference import Change, difference
from cardamomloft.core.document import Document
from cardamomloft.operators import conflicts, editing, fleet, trail, waiting, wording
from cardamomloft.operators.acceptance import Acceptance, highest_revision
from cardamomloft.operators.outcomes import ExitCode, Failure, Outcome, unavailable, unwritten
from cardamomloft.operators.recording import Base, Written, read_base, write
from cardamomloft.operators.rendering import count
from cardamomloft.operators.session import Session
from cardamomloft.operators.trail import AuditEntry
from cardamomloft.operators.wording import Recording
from expression import Error, Ok, Result

RECENT = 20


class Intent(t.NamedTuple):
    """Who makes a change and why; `change` is its unique id."""

    who: str
    why: str
    change: str


def read_document(text: str) -> Result[Document, Failure]:
    """Check an operator's file; the failure lists every mistake."""
    checked = load_json(text).bind(check_document).map(editing.without_empty_plans)
    return checked.map_error(lambda mistakes: wording.refused("the file has mistakes", mistakes))


async def check(session: Session, text: str) -> Result[Outcome, Failure]:
    """Check a file without asking anyone."""
    match read_document(text):
        case Result(tag="error", error=failure):
            return Error(failure)
        case Result(ok=document):
            found = wording.warn_document(session, document)
            session.console.say(f"no mistakes, {count(len(found), 'warning')}")
            return Ok(Outcome(ExitCode.OK, {"outcome": "ok", "warnings": found}))
    raise AssertionError("a result is neither ok nor error")


async def plan(session: Session, text: str) -> Result[Outcome, Failure]:
    """Show what applying a file would change; write nothing."""
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
    wording.say_base(session, base)
    wording.say_difference(session, changes)
    warned = wording.warn_document(session, document)
    wording.warn_overlaps(session, found)
    if changes:
        session.console.say(f"apply it with --base {base.number} to be sure of this plan")
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
        The revision that the file was edited from. With it a file may undo recorded changes, and
        any change since then is a conflict.
    """
    match read_document(text):
        case Result(tag="error", error=failure):
            return Error(unwritten(failure))
        case Result(ok=document):
            pass
    match await read_base(session):
        case Result(tag="error", error=failure):
            return Error(unwritten(failure))
        case Result(ok=base):
            pass
    match await read_recent(session, base, repair=True):
        case Result(tag="error", error=failure):
            return Error(unwritten(failure))
        case Result(ok=recent):
            pass
    known = find_recorded(base, recent, intent.change)
    if known is not None:
        if not known.written.superseded and base.document != document:
            text = f"change {intent.change} is recorded, with another file; leave --change out"
            return Error(Failure(ExitCode.REFUSED, text))
        session.console.say(f"change {intent.change} is recorded already")
        return Ok(await conclude(session, known, wait))
    changes = _changes(base, document)
    if not changes:
        return Ok(wording.no_change(session, base))
    match _allow(base, base_number, recent, changes):
        case Result(tag="error", error=failure):
            return Error(unwritten(failure))
    wording.say_base(session, base)
    wording.say_difference(session, changes)
    wording.warn_document(session, document)
    wording.warn_overlaps(session, conflicts.overlaps(recent, changes))
    match await record(session, base, document, intent, recent):
        case Result(tag="error", error=failure):
            return Error(unwritten(failure))
        case Result(ok=Conflict(winner)):
            return Error(await conflict(session, base, winner, changes))
        case Result(ok=recording):
            return Ok(await conclude(session, recording, wait))
    raise AssertionError("a result is neither ok nor error")


async def record(
    session: Session,
    base: Base,
    document: Document,
    intent: Intent,
    recent: tuple[AuditEntry, ...],
) -> Result[Recording | Conflict, Failure]:
    """Write `document` over `base`."""
    rows = conflicts.as_rows(_changes(base, document))
    above = await _highest_held(session, base, document)
    if above > base.number:
        session.console.warn(
            f"warning: entries hold revision {above}, the store only {base.number}: it lost changes"
        )
    new = next_record(
        base.record,
        document,
        intent.who,
        session.clock.utcnow().isoformat(timespec="milliseconds"),
        intent.why,
        intent.change,
        above=above,
    )
    match await write(session, base, new, rows):
        case Result(tag="ok", ok=Written() as written):
            wording.say_recorded(session, written)
            return Ok(Recording(written, rows, recent))
        case other:
            return t.cast(Result[Recording | Conflict, Failure], other)


async def conclude(session: Session, recording: Recording, wait: timedelta) -> Outcome:
    """Wait for acceptance and report it."""
    acceptance, _ = await accept(session, recording, wait)
    return wording.conclusion(session, recording, acceptance)


async def accept(
    session: Session, recording: Recording, wait: timedelta
) -> tuple[Acceptance, waiting.Audience]:
    """Wait until the recorded revision is accepted or `wait` is over."""
    new = recording.written.record
    audience = await waiting.find_audience(session, new, recording.difference, recording.recent)
    return await waiting.wait_accepted(session, new["number"], audience, wait), audience


def find_recorded(base: Base, recent: t.Iterable[AuditEntry], change: str) -> Recording | None:
    """Return the change `change` if the store shows that it was recorded.

    Only the record in force has its document at hand; of an older change the roster in force now
    is asked, since every later revision contains it.
    """
    if base.record is None:
        return None
    for entry in recent:
        if entry["change"] == change:
            found = t.cast(Record, {**base.record, "number": entry["number"], "change": change})
            superseded = entry["number"] < base.number
            written = Written(found, superseded, audited=True)
            return Recording(written, entry["difference"] or [], tuple(recent))
    return None


async def conflict(
    session: Session, base: Base, winner: Record, mine: t.Sequence[Change]
) -> Failure:
    """Report who recorded a change first, what it was, and whether the edits meet."""
    theirs: tuple[AuditEntry, ...] = ()
    current = Base(winner, 0)
    match await read_recent(session, current, repair=True):
        case Result(tag="ok", ok=recent):
            theirs = conflicts.since(recent, base.number)
    return wording.conflict_failure(current, theirs, mine)


def _allow(
    base: Base,
    base_number: int | None,
    recent: t.Sequence[AuditEntry],
    mine: t.Sequence[Change],
) -> Result[None, Failure]:
    """Refuse a file that would take back what others have recorded without knowing of it."""
    if base_number is not None:
        if base_number == base.number:
            return Ok(None)
        return Error(wording.conflict_failure(base, conflicts.since(recent, base_number), mine))
    undone = conflicts.undone(conflicts.overlaps(recent, mine))
    if not undone:
        return Ok(None)
    numbers = {overlap.number for overlap in undone}
    theirs = [entry for entry in recent if entry["number"] in numbers]
    failure = wording.conflict_failure(base, theirs, mine)
    revisions = "revision" if len(numbers) == 1 else "revisions"
    listed = ", ".join(str(number) for number in sorted(numbers))
    text = f"conflict: the file undoes {revisions} {listed}; nothing was written"
    last = f"take this into the file, or undo it knowingly with --base {base.number}"
    return Error(failure._replace(text=text, lines=(*failure.lines[:-2], last)))


async def read_recent(
    session: Session, base: Base, *, repair: bool
) -> Result[tuple[AuditEntry, ...], Failure]:
    """Read the recent trail.

    With `repair` the entry of the record in force is written if it is missing. That has to be done
    before the record is replaced: the trail alone tells then whose change it was.
    """
    if base.record is None or session.store is None:
        return Ok(())
    if repair:
        match await trail.ensure_entry(session.store, base.record):
            case Result(tag="error", error=fault):
                return Error(unavailable(fault.detail))
    read = await trail.read_back_from(session.store, base.number, RECENT)
    return read.map(trail.read_entries).map_error(lambda fault: unavailable(fault.detail))


async def _highest_held(session: Session, base: Base, document: Document) -> int:
    addresses = fleet.roster(document)
    if base.document is not None:
        addresses = {**fleet.roster(base.document), **addresses}
    return highest_revision(await fleet.poll(session, addresses)) or 0


def _changes(base: Base, document: Document) -> tuple[Change, ...]:
    return difference(base.document or {}, document)
