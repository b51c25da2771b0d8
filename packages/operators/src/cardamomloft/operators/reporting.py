"""The commands ``status``, ``audit`` and ``explain``, which do not change the configuration.

``audit`` creates the audit entry of the latest change if it is missing; nothing else is written.
"""

import typing as t
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

from cardamomloft.core.addresses import parse_address
from cardamomloft.core.changes import audit_entry, verify_chain
from cardamomloft.core.document import Document, RuleRow, regions_of_zones
from cardamomloft.core.model import Request
from cardamomloft.core.requests import Classifier
from cardamomloft.core.rules import RuleSet, RuleVerdict
from cardamomloft.operators import fleet, trail
from cardamomloft.operators.acceptance import (
    EntryReport,
    EntryStatus,
    SeatVerdict,
    drain_progress,
    evaluate_acceptance,
    highest_revision,
)
from cardamomloft.operators.outcomes import ExitCode, Failure, Outcome, unavailable
from cardamomloft.operators.recording import Base, read_base
from cardamomloft.operators.rendering import (
    compact_json,
    format_age,
    format_count,
    format_duration,
    table,
)
from cardamomloft.operators.session import Session
from cardamomloft.operators.trail import AuditEntry
from cardamomloft.operators.wording import difference_table
from expression import Error, Ok, Result

MAX_AUDIT_ENTRIES = 1_000_000


class ServiceTotal(t.NamedTuple):
    """Slots and requests of a service, summed over the entries that answered."""

    service: str
    free: int
    total: int
    in_flight: int
    queued: int


class ZoneExplanation(t.NamedTuple):
    """The rule verdicts that the entries of `zones` have in common."""

    zones: tuple[str, ...]
    verdicts: tuple[RuleVerdict, ...]


async def status(session: Session) -> Result[Outcome, Failure]:
    """Show entries with their revisions, headroom, drains and moves.

    If the store is unavailable, the entries given with ``--entry`` or in the settings are shown.
    """
    base = Base(None, 0)
    failure: Failure | None = None
    match await read_base(session):
        case Result(tag="error", error=failure):
            session.console.warn(f"{failure.text}; showing the status of the given entries")
        case Result(ok=base):
            pass
    reports = await _poll_entries(session, base)
    if failure is not None and not any(report.status for report in reports):
        return Error(failure)
    states = await fleet.vm_states(session)
    match states:
        case Result(tag="error", error=detail):
            session.console.warn(f"the VM list is not available: {detail}")
    number = base.number if base.record is not None else highest_revision(reports) or 0
    seat_verdicts = evaluate_acceptance(number, reports, states.default_value(None)).seat_verdicts
    totals = service_totals(reports)
    drains = _drain_rows(base.document, reports)
    _report_status(session, number, reports, seat_verdicts, totals, drains, base.document)
    payload = {
        "outcome": "ok",
        "store": "available" if failure is None else failure.text,
        "revision": number,
        "entries": [_entry_payload(r, s) for r, s in zip(reports, seat_verdicts, strict=True)],
        "services": {total.service: total._asdict() for total in totals},
        "drains": drains,
        "moves": dict(base.document.get("moves", {})) if base.document is not None else {},
        "unreachable": [report.seat for report in reports if report.status is None],
    }
    return Ok(Outcome(ExitCode.OK, payload))


async def audit(session: Session, last: int, verify: bool) -> Result[Outcome, Failure]:
    """Show the latest `last` audit entries, and with `verify` check the whole hash chain."""
    match await read_base(session):
        case Result(tag="error", error=failure):
            return Error(failure)
        case Result(ok=base):
            pass
    if base.record is None or session.store is None:
        session.console.info("no revision is recorded yet")
        return Ok(Outcome(ExitCode.OK, {"outcome": "ok", "entries": []}))
    match await trail.ensure_entry(session.store, base.record):
        case Result(tag="error", error=fault):
            return Error(unavailable(fault.detail))
        case Result(ok=(_, repaired)) if repaired:
            session.console.info(f"wrote the missing audit entry of revision {base.number}")
    read = await trail.read_back_from(
        session.store, base.number, MAX_AUDIT_ENTRIES if verify else last
    )
    match read:
        case Result(tag="error", error=fault):
            return Error(unavailable(fault.detail))
        case Result(ok=raw_entries):
            pass
    entries = list(trail.read_entries(raw_entries)[-last:])
    for entry in entries:
        session.console.info(*entry_lines(entry))
    payload: dict[str, t.Any] = {"outcome": "ok", "entries": entries}
    if not verify:
        return Ok(Outcome(ExitCode.OK, payload))
    match verify_trail(base, raw_entries):
        case Result(tag="error", error=detail):
            text = f"the audit trail is broken: {detail}"
            return Error(Failure(ExitCode.REFUSED, text, (), {**payload, "outcome": "broken"}))
        case Result(ok=number):
            verified = format_count(len(raw_entries), "entry", "entries")
            session.console.info(f"verified: {verified}, unbroken up to revision {number}")
            return Ok(Outcome(ExitCode.OK, {**payload, "verified": len(raw_entries)}))
    raise AssertionError("a result is neither ok nor error")


def verify_trail(base: Base, entries: Sequence[bytes]) -> Result[int, str]:
    """Check the hash chain, and that its last entry belongs to the current record."""
    return verify_chain(entries).bind(lambda number: _check_end(base, number, entries))


def _check_end(base: Base, number: int, entries: Sequence[bytes]) -> Result[int, str]:
    last = trail.read_entry(entries[-1]) if entries else None
    if base.record is None or last is None:
        return Error("its last entry is missing or unreadable")
    previous = entries[-2] if len(entries) > 1 else None
    if entries[-1] != audit_entry(base.record, previous, last["difference"]):
        return Error(f"entry {number} does not match the current record")
    return Ok(number)


def entry_lines(entry: AuditEntry) -> list[str]:
    """Format one audit entry."""
    head = f"revision {entry['number']} by {entry['who']} at {entry['when']}: {entry['why']}"
    if entry["difference"] is None:
        return [head, "  its difference is not known"]
    return [head, *difference_table(entry["difference"])]


async def explain(
    session: Session,
    method: str,
    path: str,
    client: str | None,
    zone: str | None,
    headers: Mapping[str, str],
) -> Result[Outcome, Failure]:
    """Show which rule matches a request, and why the preceding rules do not."""
    match await read_base(session):
        case Result(tag="error", error=failure):
            return Error(failure)
        case Result(ok=base):
            pass
    if base.document is None:
        return Error(Failure(ExitCode.REFUSED, "no revision is recorded yet: apply a file first"))
    address = parse_address(client) if client is not None else None
    if client is not None and address is None:
        return Error(Failure(ExitCode.USAGE, f"--client {client} is not an IPv4 address"))
    regions = regions_of_zones(base.document)
    if zone is not None and zone not in regions:
        return Error(Failure(ExitCode.REFUSED, f"the configuration has no zone named {zone!r}"))
    zones = [zone] if zone is not None else list(regions)
    return _explain_request(session, base, method, path, address, zones, headers)


def explain_at_zones(
    document: Document, req: Request, zones: Iterable[str]
) -> tuple[ZoneExplanation, ...]:
    """Explain a request for entries of each zone; zones with equal verdicts are grouped."""
    rules = RuleSet(document)
    regions = regions_of_zones(document)
    grouped: dict[tuple[RuleVerdict, ...], list[str]] = {}
    for zone in zones:
        grouped.setdefault(tuple(rules.explain(req, zone, regions[zone])), []).append(zone)
    return tuple(ZoneExplanation(tuple(zones), verdicts) for verdicts, zones in grouped.items())


def service_totals(reports: Iterable[EntryReport]) -> list[ServiceTotal]:
    """Sum each service over the entries that answered; each reports only its own share."""
    sums: dict[str, list[int]] = {}
    for report in reports:
        for name, row in (report.status["services"] if report.status else {}).items():
            parts = (row["slots_free"], row["slots_total"], row["in_flight"], row["queued"])
            sums[name] = [a + b for a, b in zip(sums.get(name, [0] * 4), parts, strict=True)]
    return [ServiceTotal(name, *sums[name]) for name in sorted(sums)]


def _explain_request(
    session: Session,
    base: Base,
    method: str,
    path: str,
    client: int | None,
    zones: Sequence[str],
    headers: Mapping[str, str],
) -> Result[Outcome, Failure]:
    document = t.cast(Document, base.document)
    classifier = Classifier(document)
    now = session.clock.monotonic()
    match classifier.classify(method, path, headers, client, now, zones[0]):
        case Result(tag="error", error=refusal):
            text = f"refused before any rule: {refusal.reason}"
            return Error(Failure(ExitCode.REFUSED, f"{text}: {refusal.detail}".rstrip(": ")))
        case Result(ok=req):
            pass
    explained = explain_at_zones(document, req, zones)
    session.console.info(f"revision {base.number}", _request_line(req, now))
    for group in explained:
        session.console.info(*_explained_lines(document["rules"], group))
    payload = {
        "outcome": "ok",
        "revision": base.number,
        "service": req.service,
        "idempotent": req.idempotent,
        "zones": [
            {"zones": group.zones, "rules": [verdict._asdict() for verdict in group.verdicts]}
            for group in explained
        ],
    }
    return Ok(Outcome(ExitCode.OK, payload))


def _request_line(req: Request, now: timedelta) -> str:
    kind = "idempotent" if req.idempotent else "not idempotent"
    deadline = format_duration(req.deadline - now)
    priority = req.priority.name.lower()
    return (
        f"{req.method} {req.path}: service {req.service}, {kind}, priority {priority},"
        f" deadline {deadline}"
    )


def _explained_lines(rules: Sequence[RuleRow], group: ZoneExplanation) -> list[str]:
    rows = [(v.rule, "yes" if v.matched else "no", v.why) for v in group.verdicts]
    lines = [
        f"at entries of {', '.join(group.zones)}:",
        *table(("rule", "matches", "why"), rows),
    ]
    if not group.verdicts or not group.verdicts[-1].matched:
        return [*lines, "  no rule matches: refused"]
    then = next(rule["then"] for rule in rules if rule["name"] == group.verdicts[-1].rule)
    return [*lines, f"  then: {compact_json(then)}"]


async def _poll_entries(session: Session, base: Base) -> tuple[EntryReport, ...]:
    if base.document is not None:
        return await fleet.poll(session, fleet.roster(base.document))
    return await fleet.poll_addresses(session, session.known_entries)


def _drain_rows(
    document: Document | None, reports: Sequence[EntryReport]
) -> list[dict[str, t.Any]]:
    """Return a row for every drain in the document or in an entry's status."""
    announced = dict(document.get("drains", {})) if document is not None else {}
    kinds = {name: row["kind"] for name, row in announced.items()}
    answered = [report for report in reports if report.status is not None]
    for report in answered:
        kinds = {row["name"]: row["kind"] for row in report.status["drains"]} | kinds
    rows = []
    for name in sorted(kinds):
        progress = drain_progress(name, answered)
        expected = progress.expected_end
        rows.append(
            {
                "name": name,
                "kind": kinds[name],
                "since": announced[name]["since"] if name in announced else None,
                "in_flight": progress.in_flight,
                "expected_end_s": expected.total_seconds() if expected is not None else None,
                "done_at": len(answered) - len(progress.pending),
                "of": len(reports),
            }
        )
    return rows


def _report_status(
    session: Session,
    number: int,
    reports: Sequence[EntryReport],
    seat_verdicts: Sequence[SeatVerdict],
    totals: Sequence[ServiceTotal],
    drains: Sequence[Mapping[str, t.Any]],
    document: Document | None,
) -> None:
    info = session.console.info
    answered = sum(report.status is not None for report in reports)
    info(
        f"revision {number};"
        f" {answered} of {format_count(len(reports), 'entry', 'entries')} answered"
    )
    column_names = ("entry", "zone", "state", "revision", "settled", "VM list", "store", "note")
    info(
        *table(
            column_names, [_entry_row(r, s) for r, s in zip(reports, seat_verdicts, strict=True)]
        )
    )
    if totals:
        info("headroom:")
        rows = [(s.service, f"{s.free}/{s.total}", s.in_flight, s.queued) for s in totals]
        info(*table(("service", "slots free/total", "in flight", "queued"), rows))
    if drains:
        info("drains:")
        info(
            *table(
                ("name", "kind", "since", "in flight", "expected end", "done"), _drain_cells(drains)
            )
        )
    moves = document.get("moves", {}) if document is not None else {}
    if moves:
        info("moves:")
        column_names = ("service", "from", "to", "percent", "percent per s", "since")
        info(*table(column_names, [_move_cells(row) for row in moves.values()]))


def _move_cells(row: Mapping[str, t.Any]) -> tuple[object, ...]:
    keys = ("service", "origin", "target", "percent", "cap_percent_per_s", "since")
    return tuple(f"{row[key]:g}" if "percent" in key else row[key] for key in keys)


def _drain_cells(drains: Iterable[Mapping[str, t.Any]]) -> list[tuple[object, ...]]:
    return [
        (
            row["name"],
            row["kind"],
            row["since"],
            row["in_flight"],
            _format_expected_end(row["expected_end_s"]),
            f"{row['done_at']}/{row['of']}",
        )
        for row in drains
    ]


def _format_expected_end(seconds: float | None) -> str:
    return "-" if seconds is None else f"in {format_duration(timedelta(seconds=seconds))}"


def _entry_row(report: EntryReport, seat_verdict: SeatVerdict) -> tuple[object, ...]:
    answer = report.status
    if answer is None:
        return (report.seat, "-", "-", "-", "-", "-", "-", seat_verdict.detail)
    return (
        report.seat,
        answer["zone"],
        _displayed_state(answer),
        answer["revision"],
        answer["settled"],
        format_age(answer.get("vms_age_ms")),
        format_age(answer.get("store_age_ms")),
        str(seat_verdict.verdict),
    )


def _displayed_state(answer: EntryStatus) -> str:
    """Return the lifecycle state, or "not ready" for an entry that fails its readiness check."""
    not_ready = answer["state"] == "ready" and not answer["ready"]
    return "not ready" if not_ready else answer["state"]


def _entry_payload(report: EntryReport, seat_verdict: SeatVerdict) -> dict[str, t.Any]:
    return {
        "entry": report.seat,
        "address": report.address,
        "verdict": str(seat_verdict.verdict),
        "detail": seat_verdict.detail,
        "status": report.status,
    }
