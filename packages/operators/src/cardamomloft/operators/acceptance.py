"""Whether a revision is accepted, and how far a drain is, from what entries report.

A revision is accepted when every entry of the roster has it in force or is known to be out. Only
an entry's own answer or the VM list's word "gone" counts; silence and a missing row do not. An
entry answers for one process only, so the answers of two rounds are compared.
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
    """One entry's part of a service: its slots and what is running and queued."""

    slots_free: int
    slots_total: int
    in_flight: int
    queued: int


@_strict
class DrainStatus(TypedDict):
    """One entry's view of a drain; `expected_end_ms` counts from the answer."""

    name: str
    kind: str
    in_flight: int
    expected_end_ms: float | None
    done: bool


@_strict
class EntryStatus(TypedDict):
    """What an entry answers at ``/status``; keys unknown here are ignored."""

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
    """The outcome of asking one seat; without a status `detail` says why."""

    seat: str
    address: str
    status: EntryStatus | None
    detail: str = ""


class Verdict(enum.StrEnum):
    """What is known of one seat and one revision."""

    IN_FORCE = "in force"
    LACKING = "lacking"
    OUT = "out"


class Standing(t.NamedTuple):
    """The verdict on one seat, the revision it reported, and why."""

    seat: str
    verdict: Verdict
    revision: int | None
    detail: str


class Acceptance(t.NamedTuple):
    """The standings of all seats that count for one revision."""

    number: int
    standings: tuple[Standing, ...]

    def of(self, verdict: Verdict) -> tuple[Standing, ...]:
        """Return the standings with `verdict`."""
        return tuple(s for s in self.standings if s.verdict is verdict)

    @property
    def accepted(self) -> bool:
        """Whether no seat lacks the revision."""
        return not self.of(Verdict.LACKING)


class DrainProgress(t.NamedTuple):
    """A drain over all entries: `pending` names the seats that are not done."""

    in_flight: int
    expected_end: timedelta | None
    pending: tuple[str, ...]

    @property
    def done(self) -> bool:
        """Whether every entry that counts has reported the drain done."""
        return not self.pending


def judge(
    number: int,
    reports: t.Iterable[EntryReport],
    vms: Mapping[str, VmState] | None,
    removed: frozenset[str] = frozenset(),
    *,
    before: Mapping[str, EntryReport] | None = None,
) -> Acceptance:
    """Decide for every seat whether revision `number` is in force there.

    Parameters
    ----------
    number
        The revision asked about.
    reports
        One report for each seat of the roster, and for each seat that the revision removes.
    vms
        The VM list, or None if it could not be read.
    removed
        Seats that the revision takes off the roster. Their VMs may already be off the list, so a
        missing row means for them what "gone" means for others.
    before
        The reports of the round before this one, if there was one. Without it the verdicts hold
        for the processes that answered, but not for their successors.
    """
    by_seat = {report.seat: report for report in reports}
    said = _said_by(by_seat.values())
    # The VM list lags, so an entry that answers is alive whatever the list says.
    gone = {s for s in by_seat.keys() - said.keys() if _is_gone(s, vms, s in removed)}
    if before is None:
        in_force = {seat: report.revision for seat, report in said.items()}
        lacking = acceptance(number, by_seat.keys(), in_force, gone).lacking
    else:
        first = _said_by(before.values())
        lacking = confirm_acceptance(number, by_seat.keys(), first, said, gone).lacking
    return Acceptance(
        number, tuple(_stand(r, number, lacking, gone, vms) for r in by_seat.values())
    )


def _said_by(reports: t.Iterable[EntryReport]) -> dict[str, Report]:
    return {
        report.seat: Report(report.status["incarnation"], report.status["revision"])
        for report in reports
        if report.status is not None
    }


def _is_gone(seat: str, vms: Mapping[str, VmState] | None, removed: bool) -> bool:
    if vms is None:
        return False
    return vms.get(seat, "gone" if removed else None) == "gone"


def _stand(
    report: EntryReport,
    number: int,
    lacking: Mapping[str, int | None],
    gone: Collection[str],
    vms: Mapping[str, VmState] | None,
) -> Standing:
    seat = report.seat
    if report.status is not None:
        revision = report.status["revision"]
        if seat not in lacking:
            return Standing(seat, Verdict.IN_FORCE, revision, f"has revision {revision}")
        replaced = ", but was started meanwhile" if revision >= number else ""
        return Standing(seat, Verdict.LACKING, revision, f"has revision {revision}{replaced}")
    if seat in gone:
        return Standing(seat, Verdict.OUT, None, "VM gone")
    listed = "VM list not available" if vms is None else f"VM {vms.get(seat, 'not on the list')}"
    return Standing(seat, Verdict.LACKING, None, f"{report.detail}; {listed}")


def drain_progress(name: str, reports: t.Iterable[EntryReport]) -> DrainProgress:
    """Sum up the drain `name` over entries; pass no report of an entry that is out.

    An entry that cannot be asked, or does not list the drain, is not done.
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
    """Return the row of the drain `name` in a report, if there is one."""
    rows = report.status["drains"] if report.status is not None else []
    return next((row for row in rows if row["name"] == name), None)


def highest_revision(reports: t.Iterable[EntryReport]) -> int | None:
    """Return the highest revision that any entry reports."""
    return max((r.status["revision"] for r in reports if r.status is not None), default=None)
