"""Polls entries until a revision is accepted, or until a drain is done."""

import typing as t
from collections.abc import Mapping
from datetime import datetime, timedelta

from cardamomloft.core.changes import Record
from cardamomloft.operators import conflicts, fleet
from cardamomloft.operators.acceptance import (
    Acceptance,
    DrainProgress,
    EntryReport,
    Verdict,
    VmState,
    drain_progress,
    evaluate_acceptance,
)
from cardamomloft.operators.rendering import format_count, format_duration
from cardamomloft.operators.session import Session
from cardamomloft.operators.trail import AuditEntry, PathChange

POLL_INTERVAL = timedelta(milliseconds=500)
PROGRESS_INTERVAL = timedelta(seconds=5)


class RequiredSeats(t.NamedTuple):
    """The seats that must have a revision, with their operators' addresses.

    `removed` are those of them that are no longer on the roster of the revision.
    """

    addresses: Mapping[str, str]
    removed: frozenset[str] = frozenset()


class DrainResult(t.NamedTuple):
    """Result of waiting for a drain; both times are relative to the start of the drain."""

    progress: DrainProgress
    expected: timedelta | None
    actual: timedelta


async def find_required_seats(
    session: Session,
    record: Record,
    difference: t.Iterable[PathChange],
    recorded: t.Iterable[AuditEntry],
) -> RequiredSeats:
    """Return the seats that must have the revision of `record`.

    These are the seats of the roster and those that this change removes from it. Seats removed by
    earlier changes may not have received that change, so they are included while the VM list shows
    them as running, or if it cannot be read.
    """
    addresses = fleet.roster(record["document"])
    removed = conflicts.removed_entries(difference)
    earlier = {}
    for entry in recorded:
        earlier |= conflicts.removed_entries(entry["difference"] or [])
    if earlier.keys() - addresses.keys():
        states = (await fleet.vm_states(session)).default_value(None)
        removed = {s: a for s, a in earlier.items() if _may_run(s, states)} | removed
    removed = {seat: address for seat, address in removed.items() if seat not in addresses}
    return RequiredSeats({**removed, **addresses}, frozenset(removed))


async def wait_accepted(
    session: Session, number: int, required: RequiredSeats, wait: timedelta
) -> Acceptance:
    """Poll the entries until revision `number` is accepted, or `wait` has elapsed.

    The first round polls each entry until it reports the revision. The second round polls all
    entries once more, since one may have been replaced since then by a process with an older
    revision. The second round is also run if `wait` has elapsed by then.
    """
    deadline = session.clock.monotonic() + wait
    first: dict[str, EntryReport] = {}
    last_reported: set[str] = set()
    while True:
        reports = await _poll_missing(session, required, first)
        states = await _vm_states_if_needed(session, reports)
        acceptance = evaluate_acceptance(number, reports.values(), states, required.removed)
        if acceptance.accepted:
            acceptance, reports = await _confirm(session, number, required, reports)
        if acceptance.accepted or session.clock.monotonic() >= deadline:
            return acceptance
        first = {seat: report for seat, report in reports.items() if _has_revision(report, number)}
        lacking = {seat_verdict.seat for seat_verdict in acceptance.with_verdict(Verdict.LACKING)}
        if lacking != last_reported:
            session.console.info(f"waiting for {_format_seats(lacking)}")
            last_reported = lacking
        await session.sleep(POLL_INTERVAL)


async def _confirm(
    session: Session, number: int, required: RequiredSeats, first: Mapping[str, EntryReport]
) -> tuple[Acceptance, dict[str, EntryReport]]:
    """Poll all entries again, and evaluate acceptance from both rounds."""
    second = await _poll_missing(session, required, {})
    states = await _vm_states_if_needed(session, second)
    return (
        evaluate_acceptance(number, second.values(), states, required.removed, first_round=first),
        second,
    )


async def wait_drained(
    session: Session,
    name: str,
    since: datetime,
    acceptance: Acceptance,
    required: RequiredSeats,
    wait: timedelta,
) -> DrainResult:
    """Poll the entries where the drain is in force until it is done, or `wait` has elapsed."""
    deadline = session.clock.monotonic() + wait
    seats = {seat_verdict.seat for seat_verdict in acceptance.with_verdict(Verdict.IN_FORCE)}
    addresses = {seat: required.addresses[seat] for seat in seats}
    expected: timedelta | None = None
    next_report_at = session.clock.monotonic()
    while True:
        reports = {report.seat: report for report in await fleet.poll(session, addresses)}
        out = await _seats_out(session, reports)
        addresses = {seat: address for seat, address in addresses.items() if seat not in out}
        progress = drain_progress(name, [r for seat, r in reports.items() if seat not in out])
        elapsed = session.clock.utcnow() - since
        if expected is None and progress.expected_end is not None:
            expected = elapsed + progress.expected_end
            session.console.info(f"expected drain time {format_duration(expected)}")
        if progress.done or session.clock.monotonic() >= deadline:
            return DrainResult(progress, expected, elapsed)
        if session.clock.monotonic() >= next_report_at:
            session.console.info(_drain_progress_text(progress))
            next_report_at = session.clock.monotonic() + PROGRESS_INTERVAL
        await session.sleep(POLL_INTERVAL)


def _drain_progress_text(progress: DrainProgress) -> str:
    running = format_count(progress.in_flight, "request")
    return f"draining: {running} in flight, {_format_seats(progress.pending)} not done"


async def _poll_missing(
    session: Session, required: RequiredSeats, known: Mapping[str, EntryReport]
) -> dict[str, EntryReport]:
    """Poll the seats that have no report in `known`, and return the reports of all seats."""
    missing = {seat: a for seat, a in required.addresses.items() if seat not in known}
    answered = {report.seat: report for report in await fleet.poll(session, missing)}
    return {seat: known.get(seat) or answered[seat] for seat in required.addresses}


async def _vm_states_if_needed(
    session: Session, reports: Mapping[str, EntryReport]
) -> Mapping[str, VmState] | None:
    """Read the VM list if any entry did not answer; None if it cannot be read."""
    if all(report.status is not None for report in reports.values()):
        return {}
    states = await fleet.vm_states(session)
    return states.default_value(None)


async def _seats_out(session: Session, reports: Mapping[str, EntryReport]) -> set[str]:
    states = await _vm_states_if_needed(session, reports) or {}
    return {s for s, r in reports.items() if r.status is None and states.get(s) == "gone"}


def _may_run(seat: str, states: Mapping[str, VmState] | None) -> bool:
    return states is None or states.get(seat) in ("live", "leaving")


def _has_revision(report: EntryReport, number: int) -> bool:
    return report.status is not None and report.status["revision"] >= number


def _format_seats(seats: t.Iterable[str], shown: int = 4) -> str:
    ordered = sorted(seats)
    omitted = len(ordered) - shown
    return ", ".join(ordered[:shown]) + (f" and {omitted} more" if omitted > 0 else "")
