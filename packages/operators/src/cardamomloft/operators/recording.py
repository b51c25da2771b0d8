"""Writes a change to the store: its difference, the configuration record, the audit entry."""

import typing as t
from datetime import timedelta

from cardamomloft.core import changes
from cardamomloft.core.changes import (
    Attempt,
    Conflict,
    ReadAudit,
    ReadCurrent,
    Record,
    Recorded,
    Step,
    StoreUnavailable,
    Swap,
    Unsettled,
)
from cardamomloft.core.checking import check_document
from cardamomloft.core.document import Document
from cardamomloft.operators import trail
from cardamomloft.operators.outcomes import ExitCode, Failure, unavailable
from cardamomloft.operators.session import Session
from cardamomloft.store.keyvalue import Record as StoredRecord
from cardamomloft.store.keyvalue import Store
from expression import Error, Ok, Result

CURRENT_KEY = "config/current"
RETRY_DELAY = timedelta(seconds=1)
MAX_READ_ATTEMPTS = 4


class Base(t.NamedTuple):
    """The record that a change is based on, with its version in the store."""

    record: Record | None
    version: int

    @property
    def number(self) -> int:
        """The number of the revision, 0 before the first change."""
        return self.record["number"] if self.record is not None else 0

    @property
    def document(self) -> Document | None:
        """The current document, None before the first change."""
        return self.record["document"] if self.record is not None else None


class WrittenRecord(t.NamedTuple):
    """A record that was written to the store.

    If `audited` is false, the audit entry is created by the next change or by ``audit``.
    """

    record: Record
    superseded: bool
    audited: bool


async def read_base(session: Session) -> Result[Base, Failure]:
    """Read the current record."""
    if session.store is None:
        text = "no store is configured: give --store or --settings"
        return Error(Failure(ExitCode.USAGE, text))
    match await session.store.get(CURRENT_KEY):
        case Result(tag="error", error=fault):
            return Error(unavailable(fault.detail))
        case Result(ok=stored):
            return _decode_base(stored)
    raise AssertionError("a result is neither ok nor error")


async def write(
    session: Session, base: Base, record: Record, difference: list[trail.PathChange]
) -> Result[WrittenRecord | Conflict, Failure]:
    """Replace `base`, whose audit entry must exist, by `record`.

    Returns
    -------
    Result
        The written record, or a conflict with the current one. A failure states either that
        nothing was written, or that the outcome of the write is unknown.
    """
    store = _store(session)
    match changes.encode_record(record).bind(lambda _: _check_size(record, difference)):
        case Result(tag="error", error=text):
            return Error(Failure(ExitCode.REFUSED, f"{text}; nothing was written"))
    match await trail.store_difference(store, record, difference):
        case Result(tag="error", error=fault):
            return Error(unavailable(fault.detail))
    return await _finish_write(session, await _run_attempt(session, Attempt(record, base.version)))


def _check_size(record: Record, difference: list[trail.PathChange]) -> Result[None, str]:
    """Reject a change whose audit entry would exceed the store's size limit."""
    entry = changes.audit_entry(record, b"", difference)
    limit = changes.MAX_RECORD_BYTES
    if len(entry) > limit:
        text = f"the audit entry of the change has {len(entry)} bytes, the limit is {limit}"
        return Error(f"{text}: split the change")
    return Ok(None)


async def _finish_write(
    session: Session, outcome: changes.Outcome
) -> Result[WrittenRecord | Conflict, Failure]:
    match outcome:
        case Conflict():
            return Ok(outcome)
        case StoreUnavailable(detail):
            return Error(unavailable(detail))
        case Unsettled(record, detail):
            return Error(_unknown_outcome(record, detail))
        case Recorded(record, True):
            # A writer ensures that the audit entry exists before it replaces the record.
            return Ok(WrittenRecord(record, superseded=True, audited=True))
        case Recorded(record):
            return Ok(await _write_audit_entry(session, record))
    raise AssertionError(f"not an outcome: {outcome!r}")


async def _write_audit_entry(session: Session, record: Record) -> WrittenRecord:
    """Write the audit entry of the recorded change.

    The record is read from the store, since an earlier attempt with the same change id may have
    written it.
    """
    match await read_base(session):
        case Result(tag="ok", ok=Base(current)) if (
            current and current["change"] == record["change"]
        ):
            done = await trail.ensure_entry(_store(session), current)
            return WrittenRecord(current, superseded=False, audited=done.is_ok())
        case Result(tag="ok"):
            return WrittenRecord(record, superseded=True, audited=True)
    return WrittenRecord(record, superseded=False, audited=False)


async def _run_attempt(session: Session, attempt: Attempt) -> changes.Outcome:
    """Perform the steps of an attempt until it has an outcome."""
    step = attempt.start()
    swaps = 0
    while not isinstance(step, changes.Outcome):
        if isinstance(step, Swap):
            swaps += 1
            if swaps > 1:
                await session.sleep(RETRY_DELAY)
        step = await _perform_step(session, attempt, step)
    return step


async def _perform_step(session: Session, attempt: Attempt, step: Step) -> Step:
    match step:
        case Swap(record, version):
            return await _perform_swap(_store(session), attempt, record, version)
        case ReadCurrent():
            return await _perform_read(session, attempt)
        case ReadAudit(number):
            match await _read_with_retries(session, trail.audit_key(number)):
                case Result(tag="ok", ok=stored):
                    return attempt.on_audit(stored.value if stored is not None else None)
                case Result(error=detail):
                    return attempt.on_read_failed(detail)
    raise AssertionError(f"not a step: {step!r}")


async def _perform_swap(store: Store, attempt: Attempt, record: Record, version: int) -> Step:
    value = changes.canonical(record)
    match await store.compare_and_swap(CURRENT_KEY, value, version):
        case Result(tag="ok", ok=swapped):
            return attempt.on_swap(swapped)
        case Result(error=fault):
            return attempt.on_swap_failed(ambiguous=fault.ambiguous, detail=fault.detail)
    raise AssertionError("a result is neither ok nor error")


async def _perform_read(session: Session, attempt: Attempt) -> Step:
    match await _read_with_retries(session, CURRENT_KEY):
        case Result(tag="error", error=detail):
            return attempt.on_read_failed(detail)
        case Result(ok=None):
            return attempt.on_current(None, 0)
        case Result(ok=stored):
            match changes.decode_record(stored.value):
                case Result(tag="ok", ok=current):
                    return attempt.on_current(current, stored.version)
                case Result(error=detail):
                    return attempt.on_read_failed(detail)
    raise AssertionError("a result is neither ok nor error")


async def _read_with_retries(session: Session, key: str) -> Result[StoredRecord | None, str]:
    """Read a key after a write with unknown outcome, and retry while the store is unavailable."""
    detail = ""
    for attempt in range(MAX_READ_ATTEMPTS):
        if attempt:
            await session.sleep(RETRY_DELAY)
        match await _store(session).get(key):
            case Result(tag="ok", ok=stored):
                return Ok(stored)
            case Result(error=fault):
                detail = fault.detail
    return Error(detail)


def _decode_base(stored: StoredRecord | None) -> Result[Base, Failure]:
    if stored is None:
        return Ok(Base(None, 0))
    decoded = changes.decode_record(stored.value).bind(_check_record)
    return decoded.map(lambda record: Base(record, stored.version)).map_error(_unreadable)


def _check_record(record: Record) -> Result[Record, str]:
    checked = check_document(record["document"])
    return checked.map(lambda _: record).map_error(lambda mistakes: str(mistakes[0]))


def _unreadable(detail: str) -> Failure:
    text = f"the store's {CURRENT_KEY} cannot be read: {detail}; nothing was written"
    return Failure(ExitCode.REFUSED, text)


def _unknown_outcome(record: Record, detail: str) -> Failure:
    change = record["change"]
    return Failure(
        ExitCode.UNKNOWN,
        f"it is not known whether change {change} was recorded: {detail}",
        (f"run the same command again with --change {change}: it is recorded at most once",),
        {"outcome": "unknown", "change": change},
    )


def _store(session: Session) -> Store:
    if session.store is None:
        raise AssertionError("a write needs a store")
    return session.store
