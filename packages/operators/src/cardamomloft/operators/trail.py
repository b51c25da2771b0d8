"""The audit trail: one entry per change, chained by hashes, repaired by whoever comes next.

Three keys take part in a change. The difference is written beside the change id first, then the
configuration is swapped, then the audit entry is created. Its content follows from the first two,
so a writer that dies in between loses nothing: the next writer, or reading the trail, creates the
same bytes.
"""

import hashlib
import typing as t
from collections.abc import Iterable

from cardamomloft.core.changes import Record, audit_entry, canonical
from cardamomloft.core.checking import load_json, load_typed
from cardamomloft.store.failures import StoreFailure
from cardamomloft.store.keyvalue import Record as StoredRecord
from cardamomloft.store.keyvalue import Store
from expression import Error, Ok, Result
from pydantic import ConfigDict, with_config
from typing_extensions import TypedDict

_strict = with_config(ConfigDict(strict=True))

MAX_GAP = 1000
_TRIES = 3


@_strict
class PathChange(TypedDict):
    """One path of the document with its former and its present value."""

    path: str
    old: t.Any
    new: t.Any


@_strict
class AuditEntry(TypedDict):
    """One entry of the trail; `difference` is None where it could not be known."""

    number: int
    change: str
    parent: str | None
    who: str
    when: str
    why: str
    difference: list[PathChange] | None
    previous: str | None


def audit_key(number: int) -> str:
    """Return the key of the audit entry `number`."""
    return f"audit/{number}"


def difference_key(record: Record) -> str:
    """Return the key of the difference that `record` makes.

    A change whose outcome was lost may be tried again under its id, on a newer base or with
    another instant in it. Each of these has its own difference, and only one can be recorded.
    """
    digest = hashlib.sha256(canonical(record["document"])).hexdigest()[:16]
    return f"difference/{record['number']}/{record['change']}/{digest}"


def read_entry(raw: bytes) -> AuditEntry | None:
    """Read a stored entry; None if it is not one.

    Whether it belongs where it stands is for :func:`cardamomloft.core.changes.verify_chain`.
    """
    checked = load_typed(AuditEntry, raw)
    return checked.default_value(None)


def read_entries(raw_entries: Iterable[bytes]) -> tuple[AuditEntry, ...]:
    """Read stored entries, and leave out what is not one."""
    return tuple(entry for raw in raw_entries if (entry := read_entry(raw)) is not None)


async def keep_difference(
    store: Store, record: Record, difference: list[PathChange]
) -> Result[None, StoreFailure]:
    """Write a difference where the audit entry of `record` can be made from it later."""
    created = await _create(store, difference_key(record), canonical(difference))
    return created.map(lambda _: None)


async def ensure_entry(store: Store, record: Record) -> Result[tuple[bytes, bool], StoreFailure]:
    """Return the audit entry of the record in force, and whether it had to be created."""
    key = audit_key(record["number"])
    match await store.get(key):
        case Result(tag="error", error=fault):
            return Error(fault)
        case Result(ok=stored) if stored is not None:
            return Ok((stored.value, False))
    match await _derive(store, record):
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

    Numbers that were never used are passed over: after a restored backup of the store, changes
    continue above what the entries hold.
    """
    found: list[bytes] = []
    missing = 0
    while number > 0 and len(found) < count and missing <= MAX_GAP:
        match await store.get(audit_key(number)):
            case Result(tag="error", error=fault):
                return Error(fault)
            case Result(ok=stored):
                missing = 0 if stored is not None else missing + 1
                found += [stored.value] if stored is not None else []
        number -= 1
    return Ok(tuple(reversed(found)))


async def _derive(store: Store, record: Record) -> Result[bytes, StoreFailure]:
    previous: bytes | None = None
    if record["parent"] is not None:
        match await read_back_from(store, record["number"] - 1, 1):
            case Result(tag="error", error=fault):
                return Error(fault)
            case Result(ok=entries):
                previous = entries[-1] if entries else None
    kept = await store.get(difference_key(record))
    return kept.map(lambda stored: audit_entry(record, previous, _read_difference(stored)))


def _read_difference(stored: StoredRecord | None) -> object:
    return load_json(stored.value).default_value(None) if stored is not None else None


async def _create(store: Store, key: str, value: bytes) -> Result[bytes, StoreFailure]:
    """Create a key, and return what it holds then; repeating it is harmless."""
    result: Result[bytes, StoreFailure] = Ok(value)
    for _ in range(_TRIES):
        match await store.compare_and_swap(key, value, 0):
            case Result(tag="ok", ok=True):
                return Ok(value)
            case Result(tag="error", error=fault):
                result = Error(fault)
            case _:
                result = await _read_present(store, key, value)
        if result.is_ok():
            return result
    return result


async def _read_present(store: Store, key: str, value: bytes) -> Result[bytes, StoreFailure]:
    stored = await store.get(key)
    return stored.map(lambda record: record.value if record is not None else value)
