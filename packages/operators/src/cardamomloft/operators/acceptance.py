"""Evaluates the acceptance of a revision and the progress of a drain from entry reports.

A revision is accepted when it is in force at every entry of the roster, apart from entries that are
out of service. Evidence is either the entry's own status or the state "gone" in the VM list; an
entry that does not answer, or a VM that is not listed, is no evidence. A status applies to one
process incarnation only, so acceptance is confirmed by comparing two polling rounds.
"""

import enum
import typing as t
from collections.abc import Collection, Mapping
from datetime import timedelta
from typing import NotRequired

from cardamomloft.core.changes import Report, acceptance, confirm_acceptance
from pydantic import ConfigDict, with_config
from typing_extensions import TypedDict

_strict = with_config(ConfigDict(strict=True))

VmState = t.Literal["live", "leaving", "gone"]


@_strict
class ServiceStatus(TypedDict):
    """Slots and requests of one service at one entry."""

    slots_free: int
    slots_total: int
    in_flight: int
    queued: int


@_strict
class DrainStatus(TypedDict):
    """State of a drain at one entry; `expected_end_ms` is relative to the time of the answer."""

    name: str
    kind: str
    in_flight: int
    expected_end_ms: float | None
    done: bool


@_strict
class EntryStatus(TypedDict):
    """Body of an entry's ``/status`` answer; unknown keys are ignored."""

    seat: str
    incarnation: str
    zone: str
    region: str
    revision: int
    settled: int
    state: str
    ready: bool
    services: dict[str, ServiceStatus]
    drains: list[DrainStatus]
    limits: NotRequired[list[dict[str, t.Any]]]
    vms_age_ms: NotRequired[float | None]
    store_age_ms: NotRequired[float | None]


class EntryReport(t.NamedTuple):
    """Result of a status request to one seat; `detail` is the error if there is no status."""

    seat: str
    address: str
    status: EntryStatus | None
    detail: str = ""


class Verdict(enum.StrEnum):
    """Whether a revision is in force at a seat.

    `LACKING` includes seats whose state is unknown; `OUT` means that the VM is gone.
    """

    IN_FORCE = "in force"
    LACKING = "lacking"
    OUT = "out"


class SeatVerdict(t.NamedTuple):
    """Verdict on one seat, with the revision that it reported and the reason."""

    seat: str
    verdict: Verdict
    revision: int | None
    detail: str


class Acceptance(t.NamedTuple):
    """Verdicts on all seats that are required to have revision `number`."""

    number: int
    seat_verdicts: tuple[SeatVerdict, ...]

    def with_verdict(self, verdict: Verdict) -> tuple[SeatVerdict, ...]:
        """Return the seats' verdicts that equal `verdict`."""
        return tuple(s for s in self.seat_verdicts if s.verdict is verdict)

    @property
    def accepted(self) -> bool:
        """Whether no seat has the verdict `LACKING`."""
        return not self.with_verdict(Verdict.LACKING)


class DrainProgress(t.NamedTuple):
    """Progress of a drain over all entries; `pending` lists the seats where it is not done."""

    in_flight: int
    expected_end: timedelta | None
    pending: tuple[str, ...]

    @property
    def done(self) -> bool:
        """Whether the drain is done at every entry."""
        return not self.pending


def evaluate_acceptance(
    number: int,
    reports: t.Iterable[EntryReport],
    vms: Mapping[str, VmState] | None,
    removed: frozenset[str] = frozenset(),
    *,
    first_round: Mapping[str, EntryReport] | None = None,
) -> Acceptance:
    """Evaluate whether revision `number` is in force at every seat.

    Parameters
    ----------
    number
        The revision to evaluate.
    reports
        One report for each seat of the roster, and for each seat that the revision removes.
    vms
        The VM list, or None if it could not be read.
    removed
        Seats that the revision removes from the roster. Their VMs may already be deleted, so a
        missing row in the VM list counts as "gone" for them.
    first_round
        The reports of the previous polling round. Without them the verdicts apply only to the
        processes that answered, not to a process that replaces one of them.
    """
    by_seat = {report.seat: report for report in reports}
    answered = _reports_by_seat(by_seat.values())
    # The VM list is eventually consistent: an entry that answers is running even if listed as gone.
    gone = {s for s in by_seat.keys() - answered.keys() if _is_gone(s, vms, s in removed)}
    if first_round is None:
        in_force = {seat: report.revision for seat, report in answered.items()}
        lacking = acceptance(number, by_seat.keys(), in_force, gone).lacking
    else:
        first_reports = _reports_by_seat(first_round.values())
        lacking = confirm_acceptance(number, by_seat.keys(), first_reports, answered, gone).lacking
    return Acceptance(
        number, tuple(_seat_verdict(r, number, lacking, gone, vms) for r in by_seat.values())
    )


def _reports_by_seat(reports: t.Iterable[EntryReport]) -> dict[str, Report]:
    return {
        report.seat: Report(report.status["incarnation"], report.status["revision"])
        for report in reports
        if report.status is not None
    }


def _is_gone(seat: str, vms: Mapping[str, VmState] | None, removed: bool) -> bool:
    if vms is None:
        return False
    return vms.get(seat, "gone" if removed else None) == "gone"


def _seat_verdict(
    report: EntryReport,
    number: int,
    lacking: Mapping[str, int | None],
    gone: Collection[str],
    vms: Mapping[str, VmState] | None,
) -> SeatVerdict:
    seat = report.seat
    if report.status is not None:
        revision = report.status["revision"]
        if seat not in lacking:
            return SeatVerdict(seat, Verdict.IN_FORCE, revision, f"has revision {revision}")
        replaced = ", but was restarted between polls" if revision >= number else ""
        return SeatVerdict(seat, Verdict.LACKING, revision, f"has revision {revision}{replaced}")
    if seat in gone:
        return SeatVerdict(seat, Verdict.OUT, None, "VM gone")
    listed = "VM list not available" if vms is None else f"VM {vms.get(seat, 'not on the list')}"
    return SeatVerdict(seat, Verdict.LACKING, None, f"{report.detail}; {listed}")


def drain_progress(name: str, reports: t.Iterable[EntryReport]) -> DrainProgress:
    """Aggregate the progress of the drain `name` over entries.

    An entry without a status, or whose status does not list the drain, counts as not done, so
    `reports` must not include entries that are out of service.
    """
    in_flight = 0
    ends: list[float] = []
    pending: list[str] = []
    for report in reports:
        row = find_drain(report, name)
        if row is None:
            pending.append(report.seat)
            continue
        in_flight += row["in_flight"]
        if not row["done"]:
            pending.append(report.seat)
            if row["expected_end_ms"] is not None:
                ends.append(row["expected_end_ms"])
    expected = timedelta(milliseconds=max(ends)) if ends else None
    return DrainProgress(in_flight, expected, tuple(pending))


def find_drain(report: EntryReport, name: str) -> DrainStatus | None:
    """Return the status of the drain `name` in a report, or None if it is not listed."""
    rows = report.status["drains"] if report.status is not None else []
    return next((row for row in rows if row["name"] == name), None)


def highest_revision(reports: t.Iterable[EntryReport]) -> int | None:
    """Return the highest revision that any entry reports."""
    return max((r.status["revision"] for r in reports if r.status is not None), default=None)
