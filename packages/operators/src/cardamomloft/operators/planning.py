"""The commands ``drain`` and ``move``: edits of the document that announce planned work."""

import typing as t
from datetime import datetime, timedelta

from cardamomloft.core.changes import Conflict
from cardamomloft.core.checking import check_document, warnings
from cardamomloft.core.document import Document, DrainKind
from cardamomloft.core.references import parse_instant
from cardamomloft.operators import applying, editing, waiting, wording
from cardamomloft.operators.acceptance import Acceptance
from cardamomloft.operators.applying import Intent
from cardamomloft.operators.editing import Edit, Move
from cardamomloft.operators.outcomes import ExitCode, Failure, Outcome, unwritten
from cardamomloft.operators.recording import Base, Written, read_base
from cardamomloft.operators.rendering import count, duration
from cardamomloft.operators.session import Session
from cardamomloft.operators.wording import Recording
from expression import Error, Ok, Result

EDIT_TRIES = 5


class Drain(t.NamedTuple):
    """A drain that an operator asks for, or takes back; without `at` it starts now."""

    kind: DrainKind
    name: str
    at: datetime | None = None
    undo: bool = False


class Edited(t.NamedTuple):
    """The revision that holds an edit; `fresh` if this command recorded it."""

    recording: Recording
    fresh: bool


async def drain(
    session: Session, asked: Drain, intent: Intent, wait: timedelta
) -> Result[Outcome, Failure]:
    """Announce a drain or take it back, and wait until it is accepted and done."""

    def edit(document: Document) -> Result[Document, t.Any]:
        if asked.undo:
            return editing.remove_drain(document, asked.kind, asked.name)
        now = session.clock.utcnow()
        return editing.add_drain(
            document, asked.kind, asked.name, now=now, at=asked.at, reason=intent.why
        )

    match await edit_document(session, edit, intent):
        case Result(tag="error", error=failure):
            return Error(unwritten(failure))
        case Result(ok=edited) if asked.undo:
            return Ok(await _conclude(session, edited, wait))
        case Result(ok=edited):
            return Ok(await _follow_drain(session, asked, edited, wait))
    raise AssertionError("a result is neither ok nor error")


async def move(
    session: Session, asked: Move, undo: bool, intent: Intent, wait: timedelta
) -> Result[Outcome, Failure]:
    """Announce a move or take it back, and wait until it is accepted."""

    def edit(document: Document) -> Result[Document, t.Any]:
        if undo:
            return editing.remove_move(document, asked)
        return editing.add_move(document, asked, session.clock.utcnow())

    match await edit_document(session, edit, intent):
        case Result(tag="error", error=failure):
            return Error(unwritten(failure))
        case Result(ok=edited):
            outcome = await _conclude(session, edited, wait)
    if undo or not edited.fresh:
        return Ok(outcome)
    cap = editing.move_cap(edited.recording.written.record["document"], asked)
    takes = timedelta(seconds=asked.percent / cap)
    session.console.say(
        f"at {cap:g} percent per second the whole move takes {duration(takes)} at least"
    )
    return Ok(outcome._replace(payload={**outcome.payload, "takes_s": takes.total_seconds()}))


async def edit_document(session: Session, edit: Edit, intent: Intent) -> Result[Edited, Failure]:
    """Make an edit of what is in force; after a conflict make it again on what won."""
    failure: Failure | None = None
    for _ in range(EDIT_TRIES):
        match await read_base(session):
            case Result(tag="error", error=failure):
                return Error(failure)
            case Result(ok=base):
                pass
        match await _edit_once(session, base, edit, intent):
            case Result(tag="ok", ok=Conflict(winner)):
                failure = await applying.conflict(session, base, winner, ())
                session.console.say(f"revision {winner['number']} was recorded first; trying again")
            case other:
                return t.cast(Result[Edited, Failure], other)
    if failure is None:
        raise AssertionError("no try was made")
    return Error(failure)


async def _edit_once(
    session: Session, base: Base, edit: Edit, intent: Intent
) -> Result[Edited | Conflict, Failure]:
    if base.record is None or base.document is None:
        return Error(Failure(ExitCode.REFUSED, "no revision is recorded yet: apply a file first"))
    match await applying.read_recent(session, base, repair=True):
        case Result(tag="error", error=failure):
            return Error(failure)
        case Result(ok=recent):
            pass
    known = applying.find_recorded(base, recent, intent.change)
    if known is not None:
        session.console.say(f"change {intent.change} is recorded already")
        return Ok(Edited(known, fresh=True))
    match edit(base.document):
        case Result(tag="error", error=mistake):
            return Error(wording.refused("the configuration cannot be edited so", (mistake,)))
        case Result(ok=document) if document == base.document:
            session.console.say(f"no change: revision {base.number} holds this already")
            return Ok(Edited(Recording(Written(base.record, False, True), [], recent), fresh=False))
        case Result(ok=document):
            pass
    match check_document(document):
        case Result(tag="error", error=mistakes):
            return Error(wording.refused("the edit makes mistakes", mistakes))
    _warn_new(session, base.document, document)
    recorded = await applying.record(session, base, document, intent, recent)
    return recorded.map(
        lambda done: done if isinstance(done, Conflict) else Edited(done, fresh=True)
    )


def _warn_new(session: Session, old: Document, new: Document) -> None:
    """Warn of what the edit brings about; the rest was said when it was applied."""
    before = set(warnings(old))
    found = [mistake for mistake in warnings(new) if mistake not in before]
    session.console.warn(*(f"warning: {mistake}" for mistake in found))


async def _conclude(session: Session, edited: Edited, wait: timedelta) -> Outcome:
    if edited.fresh:
        return await applying.conclude(session, edited.recording, wait)
    number = edited.recording.written.record["number"]
    return Outcome(ExitCode.OK, {"outcome": "no change", "revision": number})


async def _follow_drain(session: Session, asked: Drain, edited: Edited, wait: timedelta) -> Outcome:
    until = session.clock.monotonic() + wait
    acceptance, audience = await applying.accept(session, edited.recording, wait)
    outcome = wording.conclusion(session, edited.recording, acceptance)
    since = _since(edited.recording, asked)
    if not acceptance.accepted or since is None:
        return outcome
    if since > session.clock.utcnow():
        session.console.say(f"the drain starts at {editing.format_instant(since)}")
        return outcome._replace(payload={**outcome.payload, "drain": {"state": "planned"}})
    left = max(until - session.clock.monotonic(), timedelta(0))
    end = await waiting.wait_drained(session, asked.name, since, acceptance, audience, left)
    return _drain_outcome(session, outcome, acceptance, end)


def _since(recording: Recording, asked: Drain) -> datetime | None:
    row = recording.written.record["document"].get("drains", {}).get(asked.name)
    return parse_instant(row["since"]) if row is not None else None


def _drain_outcome(
    session: Session, outcome: Outcome, acceptance: Acceptance, end: waiting.DrainEnd
) -> Outcome:
    progress = end.progress
    payload = {
        "state": "done" if progress.done else "draining",
        "in_flight": progress.in_flight,
        "expected_s": end.expected.total_seconds() if end.expected is not None else None,
        "actual_s": end.actual.total_seconds(),
        "pending": list(progress.pending),
    }
    whole = {**outcome.payload, "drain_s": payload["actual_s"], "drain": payload}
    if progress.done:
        expected = f", expected {duration(end.expected)}" if end.expected is not None else ""
        session.console.say(f"drained: took {duration(end.actual)}{expected}")
        return Outcome(ExitCode.OK, whole)
    running = count(progress.in_flight, "request")
    session.console.say(
        f"still draining after {duration(end.actual)}: {running} in flight,"
        f" not done at {', '.join(progress.pending)}"
    )
    return Outcome(ExitCode.DRAINING, whole)
