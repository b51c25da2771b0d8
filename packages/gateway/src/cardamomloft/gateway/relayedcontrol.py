"""The control store, with changes taken from a relay where that is safe."""

import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.positions import Position
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.feed.changetable import ChangeTable
from cardamomloft.feed.sources import SourceChoice, SourceSelector
from cardamomloft.gateway.control import Changes, Control, Listing
from cardamomloft.gateway.relaying import RelayedChanges, RelayFailure, RelayPort
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.store.failures import StoreFailure
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred


class RelayedControl:
    """A :class:`~cardamomloft.gateway.control.Control` that requests changes from relays.

    If a relay does not answer, or its data is older than this gateway's, the same request goes to
    the store, so that a failed relay delays changes but never hides them. All calls other than
    `changes` go to the store.

    Parameters
    ----------
    control
        The store.
    clock
        Source of time.
    table
        Stores the changes, to answer the requests of other gateways.
    sources
        Chooses between the relays and the store.
    port
        Sends requests to relays, and answers held requests when the table has changed.
    records
        Returns the recorded gateways, including this one if it is announced to the others.
    metrics
        Counts which source has answered.
    """

    def __init__(
        self,
        control: Control,
        clock: Clock,
        table: ChangeTable,
        sources: SourceSelector,
        port: RelayPort,
        records: Callable[[], list[EntryRecord]],
        metrics: Metrics,
    ) -> None:
        self._control = control
        self._clock = clock
        self._table = table
        self._sources = sources
        self._port = port
        self._records = records
        self._metrics = metrics
        self._stopped = False

    def stop(self) -> None:
        """Send no further requests: one that is cancelled from now on is not retried."""
        self._stopped = True

    def read(self) -> "Deferred[Result[Listing, StoreFailure]]":
        """List everything that the store holds."""
        return ensureDeferred(self._read())

    def changes(
        self, after: Position, wait: timedelta
    ) -> "Deferred[Result[Changes, StoreFailure]]":
        """Return what has changed after the position `after`.

        A request without a wait follows a failure. It either goes to the store for an immediate
        answer, or to a relay, to find out whether the store has recovered.
        """
        return ensureDeferred(self._changes(after, wait))

    def record(self, record: EntryRecord, ttl: timedelta) -> "Deferred[Result[str, StoreFailure]]":
        """Record an entry under a new lease."""
        return self._control.record(record, ttl)

    def renew(self, lease: str) -> "Deferred[Result[bool, StoreFailure]]":
        """Renew a lease."""
        return self._control.renew(lease)

    def withdraw(self, lease: str) -> "Deferred[Result[None, StoreFailure]]":
        """Revoke a lease."""
        return self._control.withdraw(lease)

    async def _read(self) -> Result[Listing, StoreFailure]:
        requested_at = self._clock.monotonic()
        outcome = await self._control.read()
        if outcome.is_ok():
            self._table.apply_listing(outcome.ok.facts, outcome.ok.index)
            self._sources.record_complete(requested_at)
            self._sources.record_verified(requested_at)
            self._port.answer_held_requests()
        return outcome

    async def _changes(self, after: Position, wait: timedelta) -> Result[Changes, StoreFailure]:
        if not wait:
            return await self._changes_while_failing(after)
        request = self._sources.next_source(self._records(), self._clock.monotonic())
        if request.relay is None:
            max_wait = wait if request.wait is None else request.wait
            return await self._from_store(after, max_wait, request.pause)
        return await self._from_relay(request.relay, request, after)

    async def _changes_while_failing(self, after: Position) -> Result[Changes, StoreFailure]:
        """Learn from a relay if the store may have recovered; if so, request from the store."""
        request = self._sources.next_source_during_outage(self._records(), self._clock.monotonic())
        if request.relay is None:
            return await self._from_store_without_wait(after)
        wait = request.wait or timedelta(0)
        match await self._port.request_changes(
            request.relay, after, wait, self._sources.relay_timeout
        ):
            case Result(tag="ok", ok=relayed) if self._is_store_still_unavailable(relayed, after):
                delegated = StoreFailure(
                    False, f"relay {request.relay.name} checks whether the store has recovered"
                )
                changes = self._apply_relayed(relayed, request.relay, after, None)
                return Ok(changes._replace(failure=delegated))
            case Result(tag="error", error=RelayFailure(cancelled=True, detail=detail)):
                return Error(StoreFailure(False, detail))
            case Result(tag="error", error=failure):
                self._record_relay_failure(request.relay, failure)
        return await self._from_store_without_wait(after)

    async def _from_store_without_wait(self, after: Position) -> Result[Changes, StoreFailure]:
        """Request from the store after a failure; if it fails again, take a relay's changes."""
        outcome = await self._from_store(after, timedelta(0), None)
        if outcome.is_ok() or self._stopped:
            return outcome
        relay = self._sources.usable_relay(self._records(), self._clock.monotonic())
        if relay is None:
            return outcome
        match await self._port.request_changes(
            relay, after, timedelta(0), self._sources.relay_timeout
        ):
            case Result(tag="ok", ok=relayed) if self._is_current(relayed, after):
                changes = self._apply_relayed(relayed, relay, after, None)
                return Ok(changes._replace(failure=outcome.error))
            case Result(tag="error", error=failure) if not failure.cancelled:
                self._record_relay_failure(relay, failure)
        return outcome

    async def _from_relay(
        self, relay: EntryRecord, request: SourceChoice, after: Position
    ) -> Result[Changes, StoreFailure]:
        wait = request.wait or timedelta(0)
        match await self._port.request_changes(relay, after, wait, self._sources.relay_timeout):
            case Result(tag="ok", ok=relayed) if self._is_current(relayed, after):
                return Ok(self._apply_relayed(relayed, relay, after, request.pause))
            case Result(tag="error", error=RelayFailure(cancelled=True, detail=detail)):
                return Error(StoreFailure(False, detail))
            case Result(tag="error", error=failure):
                self._record_relay_failure(relay, failure)
        return await self._from_store(after, timedelta(0), request.pause)

    def _apply_relayed(
        self,
        relayed: RelayedChanges,
        relay: EntryRecord,
        after: Position,
        pause: timedelta | None,
    ) -> Changes:
        source = f"relay {relay.name}"
        self._metrics.count("changes_from_relay")
        self._sources.record_complete(relayed.complete_at)
        if relayed.verified_at is not None:
            self._sources.record_verified(relayed.verified_at)
        if relayed.whole:
            self._table.apply_listing(relayed.facts, relayed.index)
            self._port.answer_held_requests()
            return Changes(relayed.facts, relayed.index, whole=True, pause=pause, source=source)
        index = max(after, relayed.index)
        self._record_changes(relayed.facts, index)
        return Changes(relayed.facts, index, pause=pause, source=source)

    def _is_store_still_unavailable(self, relayed: RelayedChanges, after: Position) -> bool:
        return not self._sources.shows_recovery(relayed.complete_at) and self._is_current(
            relayed, after
        )

    def _is_current(self, relayed: RelayedChanges, after: Position) -> bool:
        """Return whether a relay's answer is no older than the data of this gateway."""
        if relayed.whole:
            return relayed.index >= after
        return relayed.index.era == after.era and not self._revision_decreased(relayed, after)

    def _revision_decreased(self, relayed: RelayedChanges, after: Position) -> bool:
        """Return whether a relay saw a lower revision later: the store has reset its revisions."""
        own = self._sources.complete_until
        return relayed.index < after and own is not None and relayed.complete_at > own

    def _record_relay_failure(self, relay: EntryRecord, failure: RelayFailure) -> None:
        self._metrics.count("relay_silent")
        log("relay-silent", relay=relay.name, detail=failure.detail)
        self._sources.record_relay_timeout(relay.name, self._clock.monotonic())

    async def _from_store(
        self, after: Position, wait: timedelta, pause: timedelta | None
    ) -> Result[Changes, StoreFailure]:
        self._metrics.count("changes_from_store")
        requested_at = self._clock.monotonic()
        wait = self._sources.store_wait(wait, requested_at)
        outcome = await self._control.changes(after, wait)
        if outcome.is_error():
            self._sources.record_store_failure(requested_at)
            return outcome
        self._sources.record_store_answer()
        if outcome.ok.lost:
            return outcome
        # The store answers within the wait; the answer may be delayed, or read late after a pause.
        now = self._clock.monotonic()
        self._sources.record_complete(min(requested_at + wait, now))
        self._sources.record_verified(min(requested_at + outcome.ok.waited, now))
        self._record_changes(outcome.ok.facts, outcome.ok.index)
        return Ok(outcome.ok._replace(pause=pause))

    def _record_changes(self, facts: t.Iterable[t.Any], index: int) -> None:
        self._table.apply_changes(facts, index)
        self._port.answer_held_requests()
