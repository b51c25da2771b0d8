"""Keeps the entry's own record in the control store, under a lease."""

import typing as t
from collections.abc import Callable, Iterable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.recordlease import RecordLease
from cardamomloft.core.registrations import EntryRecord, EntryRecorded, EntryWithdrawn, Fact
from cardamomloft.gateway.control import Control
from cardamomloft.runtime.logs import log
from cardamomloft.store.failures import StoreFailure
from expression import Result
from twisted.internet.defer import Deferred, ensureDeferred, succeed

RENEWALS_PER_TTL = 2
"""Renewals within the duration of a lease. A failed renewal is retried at once, so the lease
survives two lost calls."""


class Presence:
    """Records the entry, renews its lease, and records it again if the lease has expired.

    Parameters
    ----------
    clock
        Source of time.
    control
        The store.
    record
        The entry's record.
    ttl
        How long the record stays in the store after the last renewal.
    on_failed
        Called when a renewal fails, since the store may be unavailable.

    Attributes
    ----------
    record_lease
        How long the entry has been recorded.
    """

    def __init__(
        self,
        clock: Clock,
        control: Control,
        record: EntryRecord,
        ttl: timedelta,
        on_failed: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._control = control
        self._record = record
        self._ttl = ttl
        self._on_failed = on_failed
        self._lease: str | None = None
        self._withdrawn = False
        self.record_lease = RecordLease()

    @property
    def interval(self) -> timedelta:
        """Interval at which `refresh` must be called."""
        return self._ttl / RENEWALS_PER_TTL

    def set_proxy(self, address: str, token: str) -> None:
        """Record where requests of other entries are accepted, and the secret that they state."""
        self._record = self._record._replace(proxy=address, proxy_token=token)

    def refresh(self) -> "Deferred[None]":
        """Record the entry, or renew its lease."""
        return ensureDeferred(self._refresh())

    def on_changes(self, facts: Iterable[Fact]) -> None:
        """Record the entry again if its record was removed although its lease is held.

        A write whose answer was lost may take effect late, under a lease that nobody renews.
        """
        own = [fact for fact in facts if _entry_name(fact) == self._record.name]
        if own and isinstance(own[-1], EntryWithdrawn) and self._lease is not None:
            log("entry-record-removed", entry=self._record.name)
            self._lease = None

    def withdraw(self) -> "Deferred[t.Any]":
        """Remove the record, since this entry is stopping."""
        self._withdrawn = True
        lease, self._lease = self._lease, None
        return succeed(None) if lease is None else self._control.withdraw(lease)

    async def _refresh(self) -> None:
        if self._withdrawn:
            return
        if self._lease is not None:
            renewed = await self._renew(self._lease)
            if renewed != Result.Ok(False):
                return
            log("entry-lease-lapsed", entry=self._record.name)
            self._lease = None
        sent_at = self._clock.monotonic()
        match await self._control.record(self._record, self._ttl):
            case Result(tag="ok", ok=lease):
                await self._store_lease(lease, sent_at)
            case Result(error=failure):
                log("entry-not-recorded", entry=self._record.name, detail=failure.detail)

    async def _renew(self, lease: str) -> Result[bool, StoreFailure]:
        renewed = await self._renew_once(lease)
        if renewed.is_error():
            self._on_failed()
            renewed = await self._renew_once(lease)
        return renewed

    async def _renew_once(self, lease: str) -> Result[bool, StoreFailure]:
        sent_at = self._clock.monotonic()
        renewed = await self._control.renew(lease)
        if renewed == Result.Ok(True):
            self.record_lease.confirm(sent_at, self._clock.monotonic())
        return renewed

    async def _store_lease(self, lease: str, sent_at: timedelta) -> None:
        log("entry-recorded", entry=self._record.name)
        if self._withdrawn:
            await self._control.withdraw(lease)
        else:
            self._lease = lease
            self.record_lease.confirm(sent_at, self._clock.monotonic())


def _entry_name(fact: Fact) -> str:
    """Return the name of the entry that a fact is about, or an empty string."""
    match fact:
        case EntryRecorded(record):
            return record.name
        case EntryWithdrawn(name):
            return name
    return ""
