"""The commands ``drain`` and ``move``, which edit the configuration document."""

import typing as t
from datetime import datetime, timedelta

from cardamomloft.core.changes import Conflict
from cardamomloft.core.checking import check_document, warnings
from cardamomloft.core.document import Document, DrainKind
from cardamomloft.core.references import parse_instant
from cardamomloft.operators import applying, editing, waiting, wording
from cardamomloft.operators.acceptance import Acceptance
from cardamomloft.operators.applying import Intent
from cardamomloft.operators.editing import Edit, MoveRequest
from cardamomloft.operators.outcomes import ExitCode, Failure, Outcome, with_nothing_written
from cardamomloft.operators.recording import Base, WrittenRecord, read_base
from cardamomloft.operators.rendering import format_count, format_duration
from cardamomloft.operators.session import Session
from cardamomloft.operators.wording import RecordedChange
from expression import Error, Ok, Result

MAX_EDIT_ATTEMPTS = 5


class DrainRequest(t.NamedTuple):
    """A request to add a drain, or with `undo` to remove it; without `at` it starts now."""

    kind: DrainKind
    name: str
    at: datetime | None = None
    undo: bool = False


class EditResult(t.NamedTuple):
    """The revision that contains an edit.

    `changed` is false if the document already was in the requested state.
    """

    recorded: RecordedChange
    changed: bool


async def drain(
    session: Session, request: DrainRequest, intent: Intent, wait: timedelta
) -> Result[Outcome, Failure]:
    """Add a drain and wait until it is accepted and done, or remove it and wait for acceptance."""

    def edit(document: Document) -> Result[Document, t.Any]:
        if request.undo:
            return editing.remove_drain(document, request.kind, request.name)
        now = session.clock.utcnow()
        return editing.add_drain(
            document, request.kind, request.name, now=now, at=request.at, reason=intent.why
        )

    match await edit_document(session, edit, intent):
        case Result(tag="error", error=failure):
            return Error(with_nothing_written(failure))
        case Result(ok=edited) if request.undo:
            return Ok(await _finish_edit(session, edited, wait))
        case Result(ok=edited):
            return Ok(await _wait_for_drain(session, request, edited, wait))
    raise AssertionError("a result is neither ok nor error")


async def move(
    session: Session, request: MoveRequest, undo: bool, intent: Intent, wait: timedelta
) -> Result[Outcome, Failure]:
    """Add or remove a move, and wait until the revision is accepted."""

    def edit(document: Document) -> Result[Document, t.Any]:
        if undo:
            return editing.remove_move(document, request)
        return editing.add_move(document, request, session.clock.utcnow())

    match await edit_document(session, edit, intent):
        case Result(tag="error", error=failure):
            return Error(with_nothing_written(failure))
        case Result(ok=edited):
            outcome = await _finish_edit(session, edited, wait)
    if undo or not edited.changed:
        return Ok(outcome)
    cap = editing.move_cap(edited.recorded.written.record["document"], request)
    min_duration = timedelta(seconds=request.percent / cap)
    session.console.info(
        f"at {cap:g} percent per second the whole move takes"
        f" {format_duration(min_duration)} at least"
    )
    return Ok(
        outcome._replace(payload={**outcome.payload, "takes_s": min_duration.total_seconds()})
    )


async def edit_document(
    session: Session, edit: Edit, intent: Intent
) -> Result[EditResult, Failure]:
    """Apply an edit to the current document, and retry on the newer one after a conflict."""
    failure: Failure | None = None
    for _ in range(MAX_EDIT_ATTEMPTS):
        match await read_base(session):
            case Result(tag="error", error=failure):
                return Error(failure)
            case Result(ok=base):
                pass
        match await _edit_once(session, base, edit, intent):
            case Result(tag="ok", ok=Conflict(winner)):
                failure = await applying.describe_conflict(session, base, winner, ())
                session.console.info(
                    f"revision {winner['number']} was recorded first; trying again"
                )
            case other:
                return t.cast(Result[EditResult, Failure], other)
    if failure is None:
        raise AssertionError("MAX_EDIT_ATTEMPTS is below 1")
    return Error(failure)


async def _edit_once(
    session: Session, base: Base, edit: Edit, intent: Intent
) -> Result[EditResult | Conflict, Failure]:
    if base.record is None or base.document is None:
        return Error(Failure(ExitCode.REFUSED, "no revision is recorded yet: apply a file first"))
    match await applying.read_recent(session, base, repair=True):
        case Result(tag="error", error=failure):
            return Error(failure)
        case Result(ok=recent):
            pass
    known = applying.find_recorded(base, recent, intent.change)
    if known is not None:
        session.console.info(f"change {intent.change} is recorded already")
        return Ok(EditResult(known, changed=True))
    match edit(base.document):
        case Result(tag="error", error=mistake):
            return Error(
                wording.mistakes_failure(
                    "the edit is not possible in the current configuration", (mistake,)
                )
            )
        case Result(ok=document) if document == base.document:
            session.console.info(f"no change: revision {base.number} holds this already")
            return Ok(
                EditResult(
                    RecordedChange(WrittenRecord(base.record, False, True), [], recent),
                    changed=False,
                )
            )
        case Result(ok=document):
            pass
    match check_document(document):
        case Result(tag="error", error=mistakes):
            return Error(
                wording.mistakes_failure("the edited configuration has mistakes", mistakes)
            )
    _show_new_warnings(session, base.document, document)
    recorded = await applying.record(session, base, document, intent, recent)
    return recorded.map(
        lambda done: done if isinstance(done, Conflict) else EditResult(done, changed=True)
    )


def _show_new_warnings(session: Session, old: Document, new: Document) -> None:
    """Show the warnings about the new document that did not apply to the old one."""
    before = set(warnings(old))
    found = [mistake for mistake in warnings(new) if mistake not in before]
    session.console.warn(*(f"warning: {mistake}" for mistake in found))


async def _finish_edit(session: Session, edited: EditResult, wait: timedelta) -> Outcome:
    if edited.changed:
        return await applying.wait_and_report(session, edited.recorded, wait)
    number = edited.recorded.written.record["number"]
    return Outcome(ExitCode.OK, {"outcome": "no change", "revision": number})


async def _wait_for_drain(
    session: Session, request: DrainRequest, edited: EditResult, wait: timedelta
) -> Outcome:
    deadline = session.clock.monotonic() + wait
    acceptance, required = await applying.wait_for_acceptance(session, edited.recorded, wait)
    outcome = wording.report_acceptance(session, edited.recorded, acceptance)
    since = _drain_start(edited.recorded, request)
    if not acceptance.accepted or since is None:
        return outcome
    if since > session.clock.utcnow():
        session.console.info(f"the drain starts at {editing.format_instant(since)}")
        return outcome._replace(payload={**outcome.payload, "drain": {"state": "planned"}})
    remaining = max(deadline - session.clock.monotonic(), timedelta(0))
    end = await waiting.wait_drained(session, request.name, since, acceptance, required, remaining)
    return _drain_outcome(session, outcome, acceptance, end)


def _drain_start(recorded: RecordedChange, request: DrainRequest) -> datetime | None:
    row = recorded.written.record["document"].get("drains", {}).get(request.name)
    return parse_instant(row["since"]) if row is not None else None


def _drain_outcome(
    session: Session, outcome: Outcome, acceptance: Acceptance, end: waiting.DrainResult
) -> Outcome:
    progress = end.progress
    payload = {
        "state": "done" if progress.done else "draining",
        "in_flight": progress.in_flight,
        "expected_s": end.expected.total_seconds() if end.expected is not None else None,
        "actual_s": end.actual.total_seconds(),
        "pending": list(progress.pending),
    }
    full_payload = {**outcome.payload, "drain_s": payload["actual_s"], "drain": payload}
    if progress.done:
        expected = f", expected {format_duration(end.expected)}" if end.expected is not None else ""
        session.console.info(f"drained: took {format_duration(end.actual)}{expected}")
        return Outcome(ExitCode.OK, full_payload)
    running = format_count(progress.in_flight, "request")
    session.console.info(
        f"still draining after {format_duration(end.actual)}: {running} in flight,"
        f" not done at {', '.join(progress.pending)}"
    )
    return Outcome(ExitCode.DRAINING, full_payload)
