"""Waiting until a revision is accepted, and until a drain is done."""

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
    judge,
)
from cardamomloft.operators.rendering import count, duration
from cardamomloft.operators.session import Session
from cardamomloft.operators.trail import AuditEntry, PathChange

POLL_EVERY = timedelta(milliseconds=500)
SAY_EVERY = timedelta(seconds=5)


class Audience(t.NamedTuple):
    """The seats that must have a revision, by operators' address; `removed` are off its roster."""

    addresses: Mapping[str, str]
    removed: frozenset[str] = frozenset()


class DrainEnd(t.NamedTuple):
    """The end of waiting for a drain; times count from its start."""

    progress: DrainProgress
    expected: timedelta | None
    actual: timedelta


async def find_audience(
    session: Session,
    record: Record,
    difference: t.Iterable[PathChange],
    recorded: t.Iterable[AuditEntry],
) -> Audience:
    """Return who must have the revision of `record`.

    That is the roster, and the seats that this change takes off it. Seats that earlier changes
    took off may never have learnt of it: they count as long as the VM list still has them, or
    cannot be read.
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
    return Audience({**removed, **addresses}, frozenset(removed))


async def wait_accepted(
    session: Session, number: int, audience: Audience, wait: timedelta
) -> Acceptance:
    """Ask the entries until revision `number` is accepted, or `wait` is over.

    The first round collects a report of the revision from every entry; those that gave one are not
    asked again meanwhile. The second asks all of them once more, since one may have been replaced
    by a process with an older revision. It is begun even if the time is over.
    """
    until = session.clock.monotonic() + wait
    first: dict[str, EntryReport] = {}
    said: set[str] = set()
    while True:
        reports = await _ask_rest(session, audience, first)
        states = await _states(session, reports)
        standings = judge(number, reports.values(), states, audience.removed)
        if standings.accepted:
            standings, reports = await _confirm(session, number, audience, reports)
        if standings.accepted or session.clock.monotonic() >= until:
            return standings
        first = {seat: report for seat, report in reports.items() if _has(report, number)}
        lacking = {standing.seat for standing in standings.of(Verdict.LACKING)}
        if lacking != said:
            session.console.say(f"waiting for {_names(lacking)}")
            said = lacking
        await session.sleep(POLL_EVERY)


async def _confirm(
    session: Session, number: int, audience: Audience, first: Mapping[str, EntryReport]
) -> tuple[Acceptance, dict[str, EntryReport]]:
    """Ask all entries once more, after the first round has ended."""
    second = await _ask_rest(session, audience, {})
    states = await _states(session, second)
    return judge(number, second.values(), states, audience.removed, before=first), second


async def wait_drained(
    session: Session,
    name: str,
    since: datetime,
    acceptance: Acceptance,
    audience: Audience,
    wait: timedelta,
) -> DrainEnd:
    """Ask the entries that have the drain in force until all report it done, or `wait` is over."""
    until = session.clock.monotonic() + wait
    seats = {standing.seat for standing in acceptance.of(Verdict.IN_FORCE)}
    asked = {seat: audience.addresses[seat] for seat in seats}
    expected: timedelta | None = None
    next_word = session.clock.monotonic()
    while True:
        reports = {report.seat: report for report in await fleet.poll(session, asked)}
        out = await _known_out(session, reports)
        asked = {seat: address for seat, address in asked.items() if seat not in out}
        progress = drain_progress(name, [r for seat, r in reports.items() if seat not in out])
        elapsed = session.clock.utcnow() - since
        if expected is None and progress.expected_end is not None:
            expected = elapsed + progress.expected_end
            session.console.say(f"expected drain time {duration(expected)}")
        if progress.done or session.clock.monotonic() >= until:
            return DrainEnd(progress, expected, elapsed)
        if session.clock.monotonic() >= next_word:
            session.console.say(_drain_word(progress))
            next_word = session.clock.monotonic() + SAY_EVERY
        await session.sleep(POLL_EVERY)


def _drain_word(progress: DrainProgress) -> str:
    running = count(progress.in_flight, "request")
    return f"draining: {running} in flight, {_names(progress.pending)} not done"


async def _ask_rest(
    session: Session, audience: Audience, known: Mapping[str, EntryReport]
) -> dict[str, EntryReport]:
    """Ask those of whom no report is known."""
    rest = {seat: a for seat, a in audience.addresses.items() if seat not in known}
    answered = {report.seat: report for report in await fleet.poll(session, rest)}
    return {seat: known.get(seat) or answered[seat] for seat in audience.addresses}


async def _states(
    session: Session, reports: Mapping[str, EntryReport]
) -> Mapping[str, VmState] | None:
    """Read the VM list, if any entry is silent."""
    if all(report.status is not None for report in reports.values()):
        return {}
    states = await fleet.vm_states(session)
    return states.default_value(None)


async def _known_out(session: Session, reports: Mapping[str, EntryReport]) -> set[str]:
    states = await _states(session, reports) or {}
    return {s for s, r in reports.items() if r.status is None and states.get(s) == "gone"}


def _may_run(seat: str, states: Mapping[str, VmState] | None) -> bool:
    return states is None or states.get(seat) in ("live", "leaving")


def _has(report: EntryReport, number: int) -> bool:
    return report.status is not None and report.status["revision"] >= number


def _names(seats: t.Iterable[str], shown: int = 4) -> str:
    ordered = sorted(seats)
    rest = len(ordered) - shown
    return ", ".join(ordered[:shown]) + (f" and {rest} more" if rest > 0 else "")
