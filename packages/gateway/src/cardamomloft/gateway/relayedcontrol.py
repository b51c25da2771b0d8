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
from cardamomloft.gateway.relaying import RelayedChanges, RelayPort, Silence
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.store.failures import StoreFailure
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred


class RelayedControl:
    """A :class:`~cardamomloft.gateway.control.Control` that asks relays for changes.

    A relay that is silent, or knows no more than this gateway, costs time but never hides a change:
    then the store itself is asked within the same question. Everything but changes goes to the
    store.

    Parameters
    ----------
    control
        The store.
    clock
        Source of time.
    table
        Keeps what is learned, for this gateway's own answers to others.
    sources
        Chooses whom to ask.
    port
        Asks relays, and is told of changes.
    records
        Returns the gateways that are recorded, this one too if the others know of it.
    metrics
        Counts who answered.
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
        """Ask nobody any more: a question that is cut short from now on is over."""
        self._stopped = True

    def read(self) -> "Deferred[Result[Listing, StoreFailure]]":
        """List everything that the store holds."""
        return ensureDeferred(self._read())

    def changes(
        self, after: Position, wait: timedelta
    ) -> "Deferred[Result[Changes, StoreFailure]]":
        """Return what has changed after the revision `after`; without a wait, by the store."""
        return ensureDeferred(self._changes(after, wait))

    def record(self, record: EntryRecord, ttl: timedelta) -> "Deferred[Result[str, StoreFailure]]":
        """Record an entry under a new lease."""
        return self._control.record(record, ttl)

    def renew(self, lease: str) -> "Deferred[Result[bool, StoreFailure]]":
        """Renew a lease."""
        return self._control.renew(lease)

    def withdraw(self, lease: str) -> "Deferred[Result[None, StoreFailure]]":
        """End a lease."""
        return self._control.withdraw(lease)

    async def _read(self) -> Result[Listing, StoreFailure]:
        asked_at = self._clock.monotonic()
        outcome = await self._control.read()
        if outcome.is_ok():
            self._table.apply_listing(outcome.ok.facts, outcome.ok.index)
            self._sources.record_complete(asked_at)
            self._port.answer_held_requests()
        return outcome

    async def _changes(self, after: Position, wait: timedelta) -> Result[Changes, StoreFailure]:
        if not wait:
            return await self._while_failing(after)
        question = self._sources.next_source(self._records(), self._clock.monotonic())
        if question.relay is None:
            longest = wait if question.wait is None else question.wait
            return await self._from_store(after, longest, question.pause)
        return await self._from_relay(question.relay, question, after)

    async def _while_failing(self, after: Position) -> Result[Changes, StoreFailure]:
        """Leave it to a relay to ask whether the store is back; ask it if that may be so."""
        question = self._sources.next_source_during_outage(self._records(), self._clock.monotonic())
        if question.relay is None:
            return await self._from_store_at_once(after)
        wait = question.wait or timedelta(0)
        match await self._port.request_changes(
            question.relay, after, wait, self._sources.relay_timeout
        ):
            case Result(tag="ok", ok=passed) if self._is_no_news_of_store(passed, after):
                left = StoreFailure(False, f"left to {question.relay.name} to ask")
                return Ok(self._passed(passed, after, None)._replace(failure=left))
            case Result(tag="error", error=Silence(cancelled=True, detail=detail)):
                return Error(StoreFailure(False, detail))
            case Result(tag="error", error=silence):
                self._silent(question.relay, silence)
        return await self._from_store_at_once(after)

    async def _from_store_at_once(self, after: Position) -> Result[Changes, StoreFailure]:
        """Ask the store, which has failed before; if it does so again, hear what a relay knows."""
        outcome = await self._from_store(after, timedelta(0), None)
        if outcome.is_ok() or self._stopped:
            return outcome
        relay = self._sources.usable_relay(self._records(), self._clock.monotonic())
        if relay is None:
            return outcome
        match await self._port.request_changes(
            relay, after, timedelta(0), self._sources.relay_timeout
        ):
            case Result(tag="ok", ok=passed) if self._is_of_use(passed, after):
                return Ok(self._passed(passed, after, None)._replace(failure=outcome.error))
            case Result(tag="error", error=silence) if not silence.cancelled:
                self._silent(relay, silence)
        return outcome

    async def _from_relay(
        self, relay: EntryRecord, question: SourceChoice, after: Position
    ) -> Result[Changes, StoreFailure]:
        wait = question.wait or timedelta(0)
        match await self._port.request_changes(relay, after, wait, self._sources.relay_timeout):
            case Result(tag="ok", ok=passed) if self._is_of_use(passed, after):
                return Ok(self._passed(passed, after, question.pause))
            case Result(tag="error", error=Silence(cancelled=True, detail=detail)):
                return Error(StoreFailure(False, detail))
            case Result(tag="error", error=silence):
                self._silent(relay, silence)
        return await self._from_store(after, timedelta(0), question.pause)

    def _passed(self, passed: RelayedChanges, after: Position, pause: timedelta | None) -> Changes:
        self._metrics.count("changes_from_relay")
        self._sources.record_complete(passed.complete_at)
        if passed.whole:
            self._table.apply_listing(passed.facts, passed.index)
            self._port.answer_held_requests()
            return Changes(passed.facts, passed.index, whole=True, pause=pause)
        index = max(after, passed.index)
        self._learn(passed.facts, index)
        return Changes(passed.facts, index, pause=pause)

    def _is_no_news_of_store(self, passed: RelayedChanges, after: Position) -> bool:
        return not self._sources.shows_recovery(passed.complete_at) and self._is_of_use(
            passed, after
        )

    def _is_of_use(self, passed: RelayedChanges, after: Position) -> bool:
        """Tell whether an answer tells nothing that is older than what is known here."""
        if passed.whole:
            return passed.index >= after
        return passed.index.era == after.era and not self._went_back(passed, after)

    def _went_back(self, passed: RelayedChanges, after: Position) -> bool:
        """Tell whether a relay heard a lower revision later: then the store counts anew."""
        own = self._sources.complete_until
        return passed.index < after and own is not None and passed.complete_at > own

    def _silent(self, relay: EntryRecord, silence: Silence) -> None:
        self._metrics.count("relay_silent")
        log("relay-silent", relay=relay.name, detail=silence.detail)
        self._sources.record_relay_timeout(relay.name, self._clock.monotonic())

    async def _from_store(
        self, after: Position, wait: timedelta, pause: timedelta | None
    ) -> Result[Changes, StoreFailure]:
        self._metrics.count("changes_from_store")
        asked_at = self._clock.monotonic()
        outcome = await self._control.changes(after, wait)
        if outcome.is_error():
            self._sources.record_store_failure(asked_at)
            return outcome
        self._sources.record_store_answer()
        if outcome.ok.lost:
            return outcome
        # After a wait the answer is of now; without one it is of when the question came there.
        self._sources.record_complete(self._clock.monotonic() if wait else asked_at)
        self._learn(outcome.ok.facts, outcome.ok.index)
        return Ok(outcome.ok._replace(pause=pause))

    def _learn(self, facts: t.Iterable[t.Any], index: int) -> None:
        self._table.apply_changes(facts, index)
        self._port.answer_held_requests()
