"""Changes of the configuration: the record in the store, one attempt to write it, its audit chain.

Pure state: callers do the reads and writes and feed the outcomes in. The audit entries are
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
MAX_SWAPS = 5


class Record(TypedDict):
    """The value of the configuration key: one document and the change that made it.

    `change` is unique to the attempt; `parent` is the `change` of the record it replaced, None for
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
        A fresh unique id of this change; an attempt keeps it over all its retries.
    above
        The highest revision any entry holds. It matters only after the store lost changes, for
        example by a restored backup: entries take no revision below what they hold.
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
    """Return the value for the store, or why it doesn't fit there."""
    raw = canonical(record)
    if len(raw) > MAX_RECORD_BYTES:
        return Error(f"the record has {len(raw)} bytes, the store takes {MAX_RECORD_BYTES}")
    return Ok(raw)


def decode_record(raw: bytes) -> Result[Record, str]:
    """Read a value of the store; the document is not checked here."""
    try:
        record = json.loads(raw)
    except ValueError as exc:
        return Error(f"not JSON: {exc}")
    if not isinstance(record, dict) or set(record) != set(Record.__annotations__):
        return Error("not a configuration record")
    if not _is_count(record["number"]) or not isinstance(record["change"], str):
        return Error("not a configuration record: number or change has a wrong type")
    return Ok(t.cast("Record", record))


def canonical(value: object) -> bytes:
    """Return the one JSON form of `value`: sorted keys, no spaces, UTF-8."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode()


class Recorded(t.NamedTuple):
    """The change is in the store; `superseded` if a later one already replaced it."""

    record: Record
    superseded: bool = False


class Conflict(t.NamedTuple):
    """Another change won the race and this one never took effect; `winner` is what stands now."""

    winner: Record


class StoreUnavailable(t.NamedTuple):
    """The store didn't answer and the change provably did not take effect."""

    detail: str


class Unsettled(t.NamedTuple):
    """The change may have taken effect or may still do so; look for its change id later."""

    record: Record
    detail: str


class Swap(t.NamedTuple):
    """Write `record` if the key still has `version` (0 for an absent key)."""

    record: Record
    version: int


class ReadCurrent(t.NamedTuple):
    """Read the configuration key."""


class ReadAudit(t.NamedTuple):
    """Read the audit entry `number`; it tells whose change that number was."""

    number: int


Outcome = Recorded | Conflict | StoreUnavailable | Unsettled
Step = Swap | ReadCurrent | ReadAudit | Outcome


class _Phase(enum.Enum):
    SWAPPING = enum.auto()
    READING = enum.auto()
    AUDITING = enum.auto()
    DONE = enum.auto()


class Attempt:
    """One change on its way into the store.

    Call the returned step's operation and feed its outcome in, until an :data:`Outcome` comes.
    A write whose answer is lost may still be on its way, so finding the old record proves nothing:
    the same write, with the same change id and version, is repeated. At most one of the copies can
    pass the version check. A refused write is read back too, because an earlier copy may have won.
    Callers make sure that the audit entry of the record they replace exists before they start, so
    that a lost change two or more numbers back can always be told from a lost race.

    Parameters
    ----------
    record
        What to write; it keeps its change id over all retries.
    version
        The store's version of the record it replaces, 0 if the key was absent.
    max_swaps
        How often the write is sent before the attempt ends unsettled.
    """

    def __init__(self, record: Record, version: int, *, max_swaps: int = MAX_SWAPS) -> None:
        self._record = record
        self._version = version
        self._swaps_left = max_swaps
        self._maybe_sent = False
        self._seen: Record | None = None
        self._phase = _Phase.SWAPPING

    def start(self) -> Step:
        """Return the first step."""
        return self._swap("")

    def on_swap(self, swapped: bool) -> Step:
        """Take the definite answer to a :class:`Swap`."""
        self._expect(_Phase.SWAPPING)
        if swapped:
            return self._end(Recorded(self._record))
        return self._read()

    def on_swap_failed(self, *, ambiguous: bool, detail: str) -> Step:
        """Take a failure of a :class:`Swap`; `ambiguous` if the write may have taken effect."""
        self._expect(_Phase.SWAPPING)
        self._maybe_sent = self._maybe_sent or ambiguous
        if not self._maybe_sent:
            return self._end(StoreUnavailable(detail))
        return self._read()

    def on_current(self, current: Record | None, version: int) -> Step:
        """Take the answer to :class:`ReadCurrent`."""
        self._expect(_Phase.READING)
        if version == self._version:
            return self._swap("the store still has the former revision")
        if current is None:
            return self._unsettled("the store lost its configuration")
        if current["change"] == self._record["change"]:
            return self._end(Recorded(self._record))
        if current["parent"] == self._record["change"]:
            return self._end(Recorded(self._record, superseded=True))
        if current["parent"] == self._record["parent"]:
            return self._end(Conflict(current))
        return self._read_audit(current)

    def on_audit(self, entry: bytes | None) -> Step:
        """Take the answer to :class:`ReadAudit`, None if there is no such entry."""
        self._expect(_Phase.AUDITING)
        if self._seen is None:
            raise AssertionError("an audit entry was read before the record")
        if entry is None and not self._maybe_sent:
            return self._end(Conflict(self._seen))
        if entry is None:
            return self._unsettled("later changes followed, and the audit entry is missing")
        if json.loads(entry).get("change") == self._record["change"]:
            return self._end(Recorded(self._record, superseded=True))
        return self._end(Conflict(self._seen))

    def on_read_failed(self, detail: str) -> Step:
        """Take a failure of a read."""
        if self._phase is not _Phase.AUDITING:
            self._expect(_Phase.READING)
        return self._unsettled(detail)

    def _swap(self, detail: str) -> Step:
        if self._swaps_left == 0:
            return self._unsettled(detail)
        self._swaps_left -= 1
        self._phase = _Phase.SWAPPING
        return Swap(self._record, self._version)

    def _read(self) -> Step:
        self._phase = _Phase.READING
        return ReadCurrent()

    def _read_audit(self, current: Record) -> Step:
        self._seen = current
        self._phase = _Phase.AUDITING
        return ReadAudit(self._record["number"])

    def _unsettled(self, detail: str) -> Step:
        return self._end(Unsettled(self._record, detail))

    def _end(self, outcome: Outcome) -> Outcome:
        self._phase = _Phase.DONE
        return outcome

    def _expect(self, phase: _Phase) -> None:
        if self._phase is not phase:
            raise AssertionError(f"got an outcome for {phase.name} while {self._phase.name}")


class Acceptance(t.NamedTuple):
    """Whether a recorded revision is in force wherever it must be.

    `lacking` maps each seat that holds accepting up to its revision, None if not confirmed.
    """

    accepted: bool
    lacking: dict[str, int | None]


def acceptance(
    number: int,
    seats: Collection[str],
    in_force: Mapping[str, int],
    gone: Collection[str],
) -> Acceptance:
    """Judge whether revision `number` may be called accepted.

    Parameters
    ----------
    seats
        The rosters of the new document and of every one since the last accepted revision: an entry
        that a change removes still serves what it has until it learns better.
    in_force
        What each seat's present incarnation itself reported as in force, after the record was
        written.
    gone
        Seats whose VM the platform lists as gone. Silence is no proof and doesn't count.
    """
    lacking = {
        seat: in_force.get(seat)
        for seat in sorted(seats)
        if seat not in gone and in_force.get(seat, 0) < number
    }
    return Acceptance(not lacking, lacking)


class Report(t.NamedTuple):
    """What one seat answered: the number of its incarnation, and the revision in force there."""

    incarnation: str
    revision: int


def confirm_acceptance(
    number: int,
    seats: Collection[str],
    first: Mapping[str, Report],
    second: Mapping[str, Report],
    gone: Collection[str],
) -> Acceptance:
    """Judge by two rounds of questions, the second begun after the first had ended.

    One round isn't enough: an entry that has answered may be replaced by a process that, with the
    store away, takes an older revision from a peer not asked yet. A revision never goes back
    within one life, so if every seat had it in the first round and the same processes answer the
    second, all of them had it at once between the rounds, and whoever starts after that can only
    get it or a later one.

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
        JSON value that says what changed; None where a later writer fills a gap and can't know.
    """
    entry = {key: record[key] for key in AUDIT_KEYS if key in record}
    entry["difference"] = difference
    entry["previous"] = hashlib.sha256(previous).hexdigest() if previous is not None else None
    return canonical(entry)


def verify_chain(entries: Sequence[bytes], *, whole: bool = True) -> Result[int, str]:
    """Check that each audit entry follows from the one before it.

    Parameters
    ----------
    entries
        Stored entries in ascending order.
    whole
        Whether the first must be the first ever; a tail of the chain starts on trust.

    Returns
    -------
    Result[int, str]
        The number of the last entry (0 for an empty chain), or the first fault.
    """
    before: dict[str, t.Any] | None = None
    digest: str | None = None
    for raw in entries:
        parsed = _parse_entry(raw)
        if parsed.is_error():
            return Error(parsed.error)
        entry = parsed.ok
        if before is not None or whole:
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
        return Error("not an audit entry")
    return Ok(entry) if _is_count(entry["number"]) else Error("number is no positive integer")


def _link_fault(
    before: dict[str, t.Any] | None, digest: str | None, entry: dict[str, t.Any]
) -> str | None:
    if entry["previous"] != digest:
        return "the hash of the previous entry differs"
    if entry["parent"] != (before["change"] if before else None):
        return "its parent is not the previous change"
    if before and entry["number"] <= before["number"]:
        return "its number is not above the previous one"
    return None


def _is_count(value: object) -> bool:
    return type(value) is int and value > 0
