"""The control store over the key-value interface.

Keys: ``routes/current`` holds the configuration document, ``upstreams/ID`` a registration, and
``entries/NAME`` an entry's own record. ``drained-zones/ZONE`` drains a zone; its value is ignored.
"""

from datetime import timedelta

import msgspec
from cardamomloft.core.document import Mistake
from cardamomloft.core.positions import Position
from cardamomloft.core.registrations import (
    EntryRecord,
    EntryRecorded,
    EntryWithdrawn,
    Fact,
    PlanRead,
    Registration,
    Unreadable,
    UnreadablePlan,
    UpstreamRegistered,
    UpstreamUnreadable,
    UpstreamWithdrawn,
    ZoneDrained,
    ZoneRestored,
)
from cardamomloft.gateway.control import Changes, Listing
from cardamomloft.gateway.documents import load_accounts, load_plan, load_registration
from cardamomloft.gateway.entryrecords import encode_entry, read_entry
from cardamomloft.store.failures import StoreFailure
from cardamomloft.store.keyvalue import ListResult, Record, Store
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred, succeed

DOCUMENT_KEY = "routes/current"
UPSTREAMS = "upstreams/"
DRAINED_ZONES = "drained-zones/"
ENTRIES = "entries/"


class StoreControl:
    """A :class:`~cardamomloft.gateway.control.Control` over a key-value store.

    The store keeps no history, so each request lists all keys and compares them with the previous
    list. The differences are complete only for a reader whose position is that of the previous
    list; others have to take a complete listing.

    Parameters
    ----------
    store
        The store.
    prefix
        Common prefix of all keys of this deployment.
    """

    def __init__(self, store: Store, prefix: str) -> None:
        self._store = store
        self._prefix = prefix
        self._known: dict[str, int] = {}
        self._index: Position | None = None

    def read(self) -> "Deferred[Result[Listing, StoreFailure]]":
        """List everything that the store holds."""
        self._known = {}
        return ensureDeferred(self._read())

    def changes(
        self, after: Position, wait: timedelta
    ) -> "Deferred[Result[Changes, StoreFailure]]":
        """Return the differences from the last list at once; `lost` if `after` is not its index."""
        if self._index not in (None, after):
            return succeed(Ok(Changes((), after, lost=True)))
        return ensureDeferred(self._changes())

    async def _read(self) -> Result[Listing, StoreFailure]:
        listed = await self._store.list(self._prefix)
        return listed.map(lambda found: Listing(self._differences(found), _position(found)))

    async def _changes(self) -> Result[Changes, StoreFailure]:
        listed = await self._store.list(self._prefix)
        return listed.map(lambda found: Changes(self._differences(found), _position(found)))

    def _differences(self, listed: ListResult) -> tuple[Fact, ...]:
        records = {key.removeprefix(self._prefix): row for key, row in listed.records.items()}
        facts = [_removed(key) for key in self._known if key not in records]
        facts += [
            _read(key, row) for key, row in records.items() if self._known.get(key) != row.version
        ]
        self._known = {key: row.version for key, row in records.items()}
        self._index = _position(listed)
        return tuple(fact for fact in facts if fact is not None)

    def record(self, record: EntryRecord, ttl: timedelta) -> "Deferred[Result[str, StoreFailure]]":
        """Record an entry under a new lease."""
        return ensureDeferred(self._record(record, ttl))

    async def _record(self, record: EntryRecord, ttl: timedelta) -> Result[str, StoreFailure]:
        match await self._store.create_lease(ttl):
            case Result(tag="error", error=failure):
                return Error(failure)
            case Result(ok=lease):
                pass
        key, value = f"{self._prefix}{ENTRIES}{record.name}", encode_entry(record)
        match await self._store.acquire(key, value, lease):
            case Result(tag="ok", ok=True):
                return Ok(lease)
            case Result(tag="ok"):
                await self._store.release(lease)
                return Error(StoreFailure(False, f"{key} is held under another lease"))
            case Result(error=failure):
                return Error(failure)

    def renew(self, lease: str) -> "Deferred[Result[bool, StoreFailure]]":
        """Renew a lease; return False if it had expired."""
        return self._store.renew(lease)

    def withdraw(self, lease: str) -> "Deferred[Result[None, StoreFailure]]":
        """Revoke a lease, which removes the record."""
        return self._store.release(lease)


def _position(listed: ListResult) -> Position:
    # The key-value interface has no eras.
    return Position(0, listed.index)


def _read(key: str, record: Record) -> Fact | None:
    if key == DOCUMENT_KEY:
        return _plan(key, record)
    if key.startswith(UPSTREAMS):
        loaded = load_registration(record.value, key.removeprefix(UPSTREAMS))
        return _upstream(key.removeprefix(UPSTREAMS), loaded)
    if key.startswith(DRAINED_ZONES):
        return ZoneDrained(key.removeprefix(DRAINED_ZONES))
    if key.startswith(ENTRIES):
        return _entry(key, record)
    return None


def _removed(key: str) -> Fact | None:
    if key.startswith(UPSTREAMS):
        return UpstreamWithdrawn(key.removeprefix(UPSTREAMS))
    if key.startswith(DRAINED_ZONES):
        return ZoneRestored(key.removeprefix(DRAINED_ZONES))
    if key.startswith(ENTRIES):
        return EntryWithdrawn(key.removeprefix(ENTRIES))
    # A deleted configuration stays in force until there is a newer one.
    return None


def _plan(key: str, record: Record) -> Fact:
    match load_plan(record.value, record.version):
        case Result(tag="ok", ok=plan):
            return PlanRead(plan)
        case Result(error=mistakes):
            known = UnreadablePlan(record.version, load_accounts(record.value))
            return Unreadable(key, "; ".join(map(str, mistakes)), known)


def _upstream(upstream_id: str, loaded: Result[Registration, tuple[Mistake, ...]]) -> Fact:
    match loaded:
        case Result(tag="ok", ok=registration):
            return UpstreamRegistered(registration)
        case Result(error=mistakes):
            return UpstreamUnreadable(upstream_id, "; ".join(map(str, mistakes)))


def _entry(key: str, record: Record) -> Fact:
    try:
        return EntryRecorded(read_entry(record.value))
    except (TypeError, ValueError, msgspec.DecodeError) as exc:
        return Unreadable(key, str(exc))
