"""Changes of the configuration: the stored record, an attempt to write it, and the audit trail.

The code does no I/O: callers do the reads and writes and report the outcomes. Audit entries are
canonical JSON, so two writers of one entry write the same bytes.
"""

import enum
import hashlib
import json
import typing as t
from collections.abc import Collection, Mapping, Sequence

from cardamomloft.core.document import Document
from expression import Error, Ok, Result
from typing_extensions import TypedDict

AUDIT_KEYS = ("number", "change", "parent", "who", "when", "why", "difference", "previous")
MAX_RECORD_BYTES = 1_000_000
# Maximum number of compare-and-swap writes of one attempt before it ends unsettled.
MAX_SWAPS = 5


class Record(TypedDict):
    """The value of the configuration key: a document and the change that produced it.

    `change` is unique to the attempt; `parent` is the `change` of the replaced record, None for
    the first. `when` is an ISO 8601 instant.
    """

    number: int
    change: str
    parent: str | None
    who: str
    when: str
    why: str
    document: Document


def next_record(
    current: Record | None,
    document: Document,
    who: str,
    when: str,
    why: str,
    change: str,
    *,
    above: int = 0,
) -> Record:
    """Build the record that follows `current`.

    Parameters
    ----------
    current
        The record in the store, None before the first change.
    change
        A new unique id of this change; an attempt keeps it over all its retries.
    above
        The highest revision in force at any entry. It exceeds the store's only after the store lost
        changes, for example when a backup was restored. Since entries adopt no revision below their
        own, the new revision must be above it.
    """
    number = current["number"] if current else 0
    return Record(
        number=max(number, above) + 1,
        change=change,
        parent=current["change"] if current else None,
        who=who,
        when=when,
        why=why,
        document=document,
    )


def encode_record(record: Record) -> Result[bytes, str]:
    """Return the value to store, or an error if it is too large."""
    raw = canonical(record)
    if len(raw) > MAX_RECORD_BYTES:
        return Error(
            f"configuration record too large for the store: {len(raw)} bytes, at most"
            f" {MAX_RECORD_BYTES}; make the document smaller"
        )
    return Ok(raw)


def decode_record(raw: bytes) -> Result[Record, str]:
    """Decode a stored value; the document in it is not validated here."""
    try:
        record = json.loads(raw)
    except ValueError as exc:
        return Error(f"not JSON: {exc}")
    if not isinstance(record, dict) or set(record) != set(Record.__annotations__):
        return Error("not a configuration record: not an object with the keys of a record")
    if not _is_count(record["number"]) or not isinstance(record["change"], str):
        return Error(
            "not a configuration record: number must be a positive integer and change a text"
        )
    return Ok(t.cast("Record", record))


def canonical(value: object) -> bytes:
    """Return the canonical JSON of `value`: sorted keys, no spaces, UTF-8."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


class Recorded(t.NamedTuple):
    """The change was written to the store; `superseded` if a later one has replaced it already."""

    record: Record
    superseded: bool = False


class Conflict(t.NamedTuple):
    """Another change was written first and this one never took effect; `winner` is in the store."""

    winner: Record


class StoreUnavailable(t.NamedTuple):
    """The write failed, and the change certainly did not take effect."""

    detail: str


class Unsettled(t.NamedTuple):
    """The change may have taken effect or may still do so; its change id shows it later."""

    record: Record
    detail: str


class Swap(t.NamedTuple):
    """Compare-and-swap: write `record` if the key still has `version` (0 for an absent key)."""

    record: Record
    version: int


class ReadCurrent(t.NamedTuple):
    """Read the configuration key."""


class ReadAudit(t.NamedTuple):
    """Read the audit entry `number`, which names the change that got this number."""

    number: int


Outcome = Recorded | Conflict | StoreUnavailable | Unsettled
Step = Swap | ReadCurrent | ReadAudit | Outcome


class _Phase(enum.Enum):
    SWAPPING = enum.auto()
    READING = enum.auto()
    AUDITING = enum.auto()
    DONE = enum.auto()


class Attempt:
    """State machine of one attempt to write a change to the store.

    Perform each returned step and report its result, until a step is an :data:`Outcome`.

    A write whose answer was lost may still take effect later, so reading the old record afterwards
    does not show that it failed: the same write, with the same change id and version, is sent
    again. The version check lets at most one of these writes succeed. A write that fails the
    version check is followed by a read too, since an earlier copy of it may have changed the
    version. Before an attempt, callers must ensure that the audit entry of the replaced record
    exists; only then can a change that was superseded twice be distinguished from one that never
    took effect.

    Parameters
    ----------
    record
        The record to write; it keeps its change id over all retries.
    version
        The store's version of the record it replaces, 0 if the key was absent.
    max_swaps
        Maximum number of writes before the attempt ends unsettled.
    """

    def __init__(self, record: Record, version: int, *, max_swaps: int = MAX_SWAPS) -> None:
        self._record = record
        self._version = version
        self._remaining_swaps = max_swaps
        self._may_have_written = False
        self._newer_record: Record | None = None
        self._phase = _Phase.SWAPPING

    def start(self) -> Step:
        """Return the first step."""
        return self._swap("")

    def on_swap(self, swapped: bool) -> Step:
        """Process the store's definite answer to a :class:`Swap`."""
        self._expect(_Phase.SWAPPING)
        if swapped:
            return self._end(Recorded(self._record))
        return self._read()

    def on_swap_failed(self, *, ambiguous: bool, detail: str) -> Step:
        """Process a failed :class:`Swap`; `ambiguous` if the write may have taken effect."""
        self._expect(_Phase.SWAPPING)
        self._may_have_written = self._may_have_written or ambiguous
        if not self._may_have_written:
            return self._end(StoreUnavailable(detail))
        return self._read()

    def on_current(self, current: Record | None, version: int) -> Step:
        """Process the answer to :class:`ReadCurrent`."""
        self._expect(_Phase.READING)
        if version == self._version:
            return self._swap("the store still has the previous revision")
        if current is None:
            return self._unsettled("the store has lost its configuration")
        if current["change"] == self._record["change"]:
            return self._end(Recorded(self._record))
        if current["parent"] == self._record["change"]:
            return self._end(Recorded(self._record, superseded=True))
        if current["parent"] == self._record["parent"]:
            return self._end(Conflict(current))
        return self._read_audit(current)

    def on_audit(self, entry: bytes | None) -> Step:
        """Process the answer to :class:`ReadAudit`, None if there is no such entry."""
        self._expect(_Phase.AUDITING)
        if self._newer_record is None:
            raise AssertionError("got an audit entry before the current record")
        if entry is None and not self._may_have_written:
            return self._end(Conflict(self._newer_record))
        if entry is None:
            return self._unsettled("later changes have followed and the audit entry is missing")
        if json.loads(entry).get("change") == self._record["change"]:
            return self._end(Recorded(self._record, superseded=True))
        return self._end(Conflict(self._newer_record))

    def on_read_failed(self, detail: str) -> Step:
        """Process a failed read."""
        if self._phase is not _Phase.AUDITING:
            self._expect(_Phase.READING)
        return self._unsettled(detail)

    def _swap(self, detail: str) -> Step:
        if self._remaining_swaps == 0:
            return self._unsettled(detail)
        self._remaining_swaps -= 1
        self._phase = _Phase.SWAPPING
        return Swap(self._record, self._version)

    def _read(self) -> Step:
        self._phase = _Phase.READING
        return ReadCurrent()

    def _read_audit(self, current: Record) -> Step:
        self._newer_record = current
        self._phase = _Phase.AUDITING
        return ReadAudit(self._record["number"])

    def _unsettled(self, detail: str) -> Step:
        return self._end(Unsettled(self._record, detail))

    def _end(self, outcome: Outcome) -> Outcome:
        self._phase = _Phase.DONE
        return outcome

    def _expect(self, phase: _Phase) -> None:
        if self._phase is not phase:
            raise AssertionError(f"got the result of {phase.name} in phase {self._phase.name}")


class Acceptance(t.NamedTuple):
    """Whether a recorded revision is in force at all entries where it must be.

    `lacking` maps each seat that does not have it yet to its revision, None if unconfirmed.
    """

    accepted: bool
    lacking: dict[str, int | None]


def acceptance(
    number: int,
    seats: Collection[str],
    in_force: Mapping[str, int],
    gone: Collection[str],
) -> Acceptance:
    """Decide whether revision `number` is accepted.

    Parameters
    ----------
    seats
        The rosters of the new document and of every one since the last accepted revision: an entry
        that a change removes serves its old configuration until it receives the new one.
    in_force
        The revision that each seat's present incarnation reported as in force after the record was
        written.
    gone
        Seats whose VM the platform lists as gone. A seat that is merely silent must not be listed.
    """
    lacking = {
        seat: in_force.get(seat)
        for seat in sorted(seats)
        if seat not in gone and in_force.get(seat, 0) < number
    }
    return Acceptance(not lacking, lacking)


class Report(t.NamedTuple):
    """The answer of one seat: the number of its incarnation, and the revision in force there."""

    incarnation: str
    revision: int


def confirm_acceptance(
    number: int,
    seats: Collection[str],
    first: Mapping[str, Report],
    second: Mapping[str, Report],
    gone: Collection[str],
) -> Acceptance:
    """Decide acceptance by two rounds of requests, the second begun after the first had ended.

    One round isn't enough: an entry that has answered may be replaced by a process that, while the
    store is unavailable, gets an older revision from a peer that the round has not reached yet. A
    revision never decreases within one incarnation. If every seat had `number` in force in the
    first round and the same processes answer the second, all of them had it in force at one time
    between the rounds, and a process that starts after that can only get it or a later one.

    `number`, `seats` and `gone` are as for :func:`acceptance`.
    """
    in_force = {}
    for seat, report in second.items():
        before = first.get(seat, Report("", 0))
        if before.incarnation == report.incarnation and before.revision >= number:
            in_force[seat] = report.revision
    return acceptance(number, seats, in_force, set(gone) - set(second))


def audit_entry(record: Record, previous: bytes | None, difference: object) -> bytes:
    """Return the audit entry for `record`.

    Parameters
    ----------
    previous
        The stored bytes of the entry before it, None for the first.
    difference
        JSON value that describes the change; None if a later writer fills in a missing entry and
        doesn't know it.
    """
    entry = {key: record[key] for key in AUDIT_KEYS if key in record}
    entry["difference"] = difference
    entry["previous"] = hashlib.sha256(previous).hexdigest() if previous is not None else None
    return canonical(entry)


def verify_chain(entries: Sequence[bytes], *, from_first: bool = True) -> Result[int, str]:
    """Check that each audit entry follows from the one before it.

    Parameters
    ----------
    entries
        Stored entries in ascending order.
    whole
        Whether the chain must begin with the first entry ever; otherwise the link of the first
        given entry is not checked.

    Returns
    -------
    Result[int, str]
        The number of the last entry (0 for an empty chain), or the first error.
    """
    before: dict[str, t.Any] | None = None
    digest: str | None = None
    for raw in entries:
        parsed = _parse_entry(raw)
        if parsed.is_error():
            return Error(parsed.error)
        entry = parsed.ok
        if before is not None or from_first:
            fault = _link_fault(before, digest, entry)
            if fault:
                return Error(f"entry {entry['number']}: {fault}")
        before, digest = entry, hashlib.sha256(raw).hexdigest()
    return Ok(before["number"] if before else 0)


def _parse_entry(raw: bytes) -> Result[dict[str, t.Any], str]:
    try:
        entry = json.loads(raw)
    except ValueError as exc:
        return Error(f"not JSON: {exc}")
    if not isinstance(entry, dict) or set(entry) != set(AUDIT_KEYS):
        return Error("not an audit entry: not an object with the keys of an audit entry")
    return (
        Ok(entry)
        if _is_count(entry["number"])
        else Error("not an audit entry: number is not a positive integer")
    )


def _link_fault(
    before: dict[str, t.Any] | None, digest: str | None, entry: dict[str, t.Any]
) -> str | None:
    if entry["previous"] != digest:
        return "its hash of the previous entry is wrong"
    if entry["parent"] != (before["change"] if before else None):
        return "its parent is not the previous change"
    if before and entry["number"] <= before["number"]:
        return "its number is not higher than the previous entry's"
    return None


def _is_count(value: object) -> bool:
    return type(value) is int and value > 0
