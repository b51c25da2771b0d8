"""The entry's own record in the control store, kept under a lease."""

import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.registrations import EntryRecord
from cardamomloft.gateway.control import Control
from cardamomloft.runtime.logs import log
from cardamomloft.store.failures import StoreFailure
from expression import Result
from twisted.internet.defer import Deferred, ensureDeferred, succeed

RENEWALS = 2
"""Renewals in the life of a lease. One that fails is tried again at once, so that two calls may be
lost before it lapses. With three and no second try two might be lost as well, for half as many
calls again."""


class Presence:
    """Records the entry, renews its lease, and records it anew if the lease has lapsed.

    Parameters
    ----------
    control
        The store.
    record
        What the others are to know.
    life
        How long the record stays after the last renewal.
    on_failed
        Told when a renewal fails: the store may have gone away.
    """

    def __init__(
        self,
        control: Control,
        record: EntryRecord,
        life: timedelta,
        on_failed: Callable[[], None] = lambda: None,
    ) -> None:
        self._control = control
        self._record = record
        self._life = life
        self._on_failed = on_failed
        self._lease: str | None = None
        self._withdrawn = False

    @property
    def interval(self) -> timedelta:
        """How often `refresh` is to be called."""
        return self._life / RENEWALS

    def refresh(self) -> "Deferred[None]":
        """Record the entry, or renew its lease."""
        return ensureDeferred(self._keep())

    def withdraw(self) -> "Deferred[t.Any]":
        """Take the record away, since this entry is stopping."""
        self._withdrawn = True
        lease, self._lease = self._lease, None
        return succeed(None) if lease is None else self._control.withdraw(lease)

    async def _keep(self) -> None:
        if self._withdrawn:
            return
        if self._lease is not None:
            renewed = await self._renew(self._lease)
            if renewed != Result.Ok(False):
                return
            log("entry-lease-lapsed", entry=self._record.name)
            self._lease = None
        match await self._control.record(self._record, self._life):
            case Result(tag="ok", ok=lease):
                await self._recorded(lease)
            case Result(error=failure):
                log("entry-not-recorded", entry=self._record.name, detail=failure.detail)

    async def _renew(self, lease: str) -> Result[bool, StoreFailure]:
        renewed = await self._control.renew(lease)
        if renewed.is_error():
            self._on_failed()
            renewed = await self._control.renew(lease)
        return renewed

    async def _recorded(self, lease: str) -> None:
        log("entry-recorded", entry=self._record.name)
        if self._withdrawn:
            await self._control.withdraw(lease)
        else:
            self._lease = lease
