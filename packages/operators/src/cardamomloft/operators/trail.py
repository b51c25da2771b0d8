"""The audit trail: a hash chain with one entry per change.

A change writes three keys: first the difference, under the change id, then the configuration record
by compare-and-swap, then the audit entry. The entry is derived from the other two, so if the writer
crashes before creating it, the next change or the command ``audit`` creates the same bytes.
"""

import hashlib
import typing as t
from collections.abc import Iterable

from cardamomloft.core.changes import Record, audit_entry, canonical
from cardamomloft.core.typedjson import load_json, load_typed
from cardamomloft.store.failures import StoreFailure
from cardamomloft.store.keyvalue import Record as StoredRecord
from cardamomloft.store.keyvalue import Store
from expression import Error, Ok, Result
from pydantic import ConfigDict, with_config
from typing_extensions import TypedDict

_strict = with_config(ConfigDict(strict=True))

MAX_MISSING_NUMBERS = 1000
"""Consecutive unused numbers after which the start of the trail is assumed."""
_MAX_CREATE_ATTEMPTS = 3


@_strict
class PathChange(TypedDict):
    """A changed path of the document, with its old and new value; None means absent."""

    path: str
    old: t.Any
    new: t.Any


@_strict
class AuditEntry(TypedDict):
    """One entry of the audit trail; `difference` is None if it was not found in the store."""

    number: int
    change: str
    parent: str | None
    who: str
    when: str
    why: str
    difference: list[PathChange] | None
    previous: str | None


def audit_key(number: int) -> str:
    """Return the store key of the audit entry of revision `number`."""
    return f"audit/{number}"


def difference_key(record: Record) -> str:
    """Return the store key of the difference that `record` makes.

    A change with unknown outcome may be retried under the same id, on a newer base or with a
    different timestamp in the document. The key includes the revision and a digest of the document
    to keep the differences of these attempts apart; only one of the attempts can be recorded.
    """
    digest = hashlib.sha256(canonical(record["document"])).hexdigest()[:16]
    return f"difference/{record['number']}/{record['change']}/{digest}"


def read_entry(raw: bytes) -> AuditEntry | None:
    """Decode a stored entry; None if it is malformed.

    The chain is not checked here, but by :func:`cardamomloft.core.changes.verify_chain`.
    """
    checked = load_typed(AuditEntry, raw)
    return checked.default_value(None)


def read_entries(raw_entries: Iterable[bytes]) -> tuple[AuditEntry, ...]:
    """Decode stored entries, and skip malformed ones."""
    return tuple(entry for raw in raw_entries if (entry := read_entry(raw)) is not None)


async def store_difference(
    store: Store, record: Record, difference: list[PathChange]
) -> Result[None, StoreFailure]:
    """Store the difference from which the audit entry of `record` is built."""
    created = await _create(store, difference_key(record), canonical(difference))
    return created.map(lambda _: None)


async def ensure_entry(store: Store, record: Record) -> Result[tuple[bytes, bool], StoreFailure]:
    """Return the audit entry of the current record, and whether it had to be created."""
    key = audit_key(record["number"])
    match await store.get(key):
        case Result(tag="error", error=fault):
            return Error(fault)
        case Result(ok=stored) if stored is not None:
            return Ok((stored.value, False))
    match await _build_entry(store, record):
        case Result(tag="error", error=fault):
            return Error(fault)
        case Result(ok=entry):
            created = await _create(store, key, entry)
            return created.map(lambda value: (value, True))
    raise AssertionError("a result is neither ok nor error")


async def read_back_from(
    store: Store, number: int, count: int
) -> Result[tuple[bytes, ...], StoreFailure]:
    """Read up to `count` entries that end with `number`, oldest first.

    Unused numbers are skipped. They occur after the store was restored from a backup: numbering
    then continues above the highest revision that an entry has.
    """
    found: list[bytes] = []
    missing = 0
    while number > 0 and len(found) < count and missing <= MAX_MISSING_NUMBERS:
        match await store.get(audit_key(number)):
            case Result(tag="error", error=fault):
                return Error(fault)
            case Result(ok=stored):
                missing = 0 if stored is not None else missing + 1
                found += [stored.value] if stored is not None else []
        number -= 1
    return Ok(tuple(reversed(found)))


async def _build_entry(store: Store, record: Record) -> Result[bytes, StoreFailure]:
    previous: bytes | None = None
    if record["parent"] is not None:
        match await read_back_from(store, record["number"] - 1, 1):
            case Result(tag="error", error=fault):
                return Error(fault)
            case Result(ok=entries):
                previous = entries[-1] if entries else None
    stored_difference = await store.get(difference_key(record))
    return stored_difference.map(
        lambda stored: audit_entry(record, previous, _read_difference(stored))
    )


def _read_difference(stored: StoredRecord | None) -> object:
    return load_json(stored.value).default_value(None) if stored is not None else None


async def _create(store: Store, key: str, value: bytes) -> Result[bytes, StoreFailure]:
    """Create a key unless it exists, and return its value; the operation is idempotent."""
    result: Result[bytes, StoreFailure] = Ok(value)
    for _ in range(_MAX_CREATE_ATTEMPTS):
        match await store.compare_and_swap(key, value, 0):
            case Result(tag="ok", ok=True):
                return Ok(value)
            case Result(tag="error", error=fault):
                result = Error(fault)
            case _:
                result = await _read_existing(store, key, value)
        if result.is_ok():
            return result
    return result


async def _read_existing(store: Store, key: str, value: bytes) -> Result[bytes, StoreFailure]:
    stored = await store.get(key)
    return stored.map(lambda record: record.value if record is not None else value)
