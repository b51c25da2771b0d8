"""Applies facts from the control store to the gateway's tables.

After the store was restored from an older copy, facts older than this gateway's data are applied
only after the confirmation timeout.
"""

import typing as t
from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import singledispatchmethod

from cardamomloft.core.clock import Clock
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.positions import Position
from cardamomloft.core.registrations import (
    EntryRecorded,
    EntryWithdrawn,
    Fact,
    PlanRead,
    Unreadable,
    UnreadablePlan,
    UpstreamRegistered,
    UpstreamUnreadable,
    UpstreamWithdrawn,
    ZoneDrained,
    ZoneRestored,
)
from cardamomloft.core.restoration import CONFIRMATION_TIMEOUT, classify_facts, missing_drains
from cardamomloft.core.routes import RoutePlan
from cardamomloft.core.selection import Selector
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft.feed.changetable import FactKey, is_same_fact, key_of
from cardamomloft.gateway.control import Listing
from cardamomloft.gateway.drainview import DrainView
from cardamomloft.runtime.logs import ReportedProblems, log
from cardamomloft.runtime.metrics import Metrics

MAX_UNCONFIRMED_LOGGED = 20
"""Maximum number of unconfirmed facts named in the log line about a restored store."""


class _UnconfirmedFact(t.NamedTuple):
    """A fact of a restored store that is not applied yet, and the instant at which it will be."""

    fact: Fact
    until: timedelta


class StoreView:
    """Applies facts to the tables of upstreams and entries, and to the selector.

    Parameters
    ----------
    clock
        Source of time.
    upstream_table, entries
        The registered upstream endpoints and the recorded entries.
    selector
        Divides limits among the entries.
    close_idle
        Closes idle connections to an address whose endpoint has restarted.
    on_plan
        Called with a configuration, which may be older than the one in force.
    metrics
        Counts restores and unconfirmed facts.

    Attributes
    ----------
    drains : DrainView
        The drains that are in force.
    listed
        Whether a complete listing has been applied.
    unreadable_plan
        Why the configuration in the store can't be put in force, None if it can.
    on_unreadable_plan
        Called with what is known of a configuration that can't be put in force.
    """

    def __init__(
        self,
        clock: Clock,
        upstream_table: UpstreamTable,
        entries: EntryTable,
        selector: Selector,
        close_idle: Callable[[str], None],
        on_plan: Callable[[RoutePlan], None],
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._upstream_table = upstream_table
        self._entries = entries
        self._selector = selector
        self._close_idle = close_idle
        self._on_plan = on_plan
        self._metrics = metrics
        self.drains = DrainView(clock, upstream_table)
        self._unreadable = ReportedProblems()
        self._era: int | None = None
        self._unconfirmed: dict[FactKey, _UnconfirmedFact] = {}
        self.listed = False
        self.unreadable_plan: Unreadable | None = None
        self.on_unreadable_plan: Callable[[UnreadablePlan], None] = lambda known: None

    def apply_listing(self, listing: Listing) -> None:
        """Apply a complete listing: what it does not contain has been removed from the store."""
        now = self._clock.monotonic()
        restored = self._is_restored(listing.index)
        facts = (
            self._accept_restored(listing) if restored else self._without_unconfirmed(listing.facts)
        )
        self.apply_changes(facts)
        upstreams = _listed_upstreams(listing.facts)
        entries = {fact.record.name for fact in facts if isinstance(fact, EntryRecorded)}
        _log_gone(self._upstream_table.withdraw_unlisted(upstreams, now))
        self._entries.withdraw_unlisted(entries, now)
        for zone in missing_drains(listing.facts, self.drains.zones()):
            if key_of(ZoneRestored(zone)) not in self._unconfirmed:
                self._apply(ZoneRestored(zone))
        self.listed = True
        self.drains.tick()

    def _is_restored(self, index: Position) -> bool:
        """Record the era of a listing; return whether the store was restored from an older copy."""
        before, self._era = self._era, index.era
        return before not in (None, index.era)

    def _accept_restored(self, listing: Listing) -> tuple[Fact, ...]:
        """Return the facts of a restored store that can be applied; keep the others as unconfirmed.

        Records that the copy lacks are kept for the grace period, in which their owners may write
        them again.
        """
        now = self._clock.monotonic()
        self._upstream_table.start_grace_period(now)
        self._entries.start_grace_period(now)
        accepted, unconfirmed = classify_facts(listing.facts, self._upstream_table, self._entries)
        drains = missing_drains(listing.facts, self.drains.zones())
        unconfirmed = (*unconfirmed, *map(ZoneRestored, sorted(drains)))
        self._unconfirmed = {
            key_of(fact): _UnconfirmedFact(fact, now + CONFIRMATION_TIMEOUT) for fact in unconfirmed
        }
        self._metrics.count("stores_restored")
        self._metrics.count("doubted_facts", len(unconfirmed))
        log(
            "store-restored",
            era=listing.index.era,
            revision=listing.index.revision,
            doubted=[str(fact) for fact in unconfirmed[:MAX_UNCONFIRMED_LOGGED]],
            doubted_ms=CONFIRMATION_TIMEOUT // timedelta(milliseconds=1),
        )
        return accepted

    def _without_unconfirmed(self, facts: tuple[Fact, ...]) -> tuple[Fact, ...]:
        """Return the facts of a listing except those still unconfirmed with the same content.

        Unconfirmed facts that the listing no longer contains are discarded.
        """
        listed = {key_of(fact) for fact in facts}
        for key, unconfirmed in list(self._unconfirmed.items()):
            if key not in listed and not isinstance(unconfirmed.fact, ZoneRestored):
                del self._unconfirmed[key]
        return tuple(fact for fact in facts if not self._is_unconfirmed(fact))

    def _is_unconfirmed(self, fact: Fact) -> bool:
        unconfirmed = self._unconfirmed.get(key_of(fact))
        return unconfirmed is not None and is_same_fact(unconfirmed.fact, fact)

    def apply_changes(self, facts: tuple[Fact, ...]) -> None:
        """Apply facts that have changed, in order."""
        withdrawn = _withdrawn(facts)
        if self._upstream_table.have_lapsed(withdrawn):
            log("registrations-lapsed", count=len(withdrawn), of=len(self._upstream_table))
            self._upstream_table.start_grace_period(self._clock.monotonic())
        for fact in facts:
            self._unconfirmed.pop(key_of(fact), None)
            self._apply(fact)
        self._update_selector_entries()

    def store_recovered(self) -> None:
        """Record that the store has recovered: expired records may be written again."""
        self._entries.start_grace_period(self._clock.monotonic())

    def tick(self) -> None:
        """Remove the records that were not written again in time, and apply confirmed facts."""
        now = self._clock.monotonic()
        _log_gone(self._upstream_table.tick(now))
        for name in self._entries.tick(now):
            log("entry-gone", name=name)
        self._apply_confirmed(now)
        self.drains.tick()
        self._update_selector_entries()

    def _apply_confirmed(self, now: timedelta) -> None:
        """Apply the unconfirmed facts whose confirmation timeout is over."""
        for key, unconfirmed in list(self._unconfirmed.items()):
            if unconfirmed.until <= now:
                del self._unconfirmed[key]
                self._apply(unconfirmed.fact)

    def _update_selector_entries(self) -> None:
        others = self._entries.recent_others(self._clock.monotonic())
        divisor = 1 + len(others)
        if divisor != self._selector.entries:
            log("limits-divided", entries=divisor)
        self._selector.entries = divisor
        self._selector.others = others

    @singledispatchmethod
    def _apply(self, fact: Fact) -> None:
        raise TypeError(f"not a fact: {fact!r}")

    @_apply.register
    def _(self, fact: PlanRead) -> None:
        if self.unreadable_plan is not None:
            self._unreadable.forget(self.unreadable_plan.key)
            self.unreadable_plan = None
        self._on_plan(fact.plan)

    @_apply.register
    def _(self, fact: UpstreamRegistered) -> None:
        row, before = fact.registration, self._upstream_table.get(fact.registration.id)
        now = self._clock.monotonic()
        was_warm = before is not None and before.cold_until <= now
        self._unreadable.forget(row.id)
        changed = self._upstream_table.register(row, now)
        if was_warm and before.cold_until > now:
            self.drains.announce_cold(before)
        if changed:
            if before is not None and self._upstream_table.get(row.id) is not before:
                # The idle connections belong to the previous incarnation.
                self._close_idle(before.registration.address)
            log(
                "upstream",
                id=row.id,
                service=row.service,
                address=row.address,
                zone=row.zone,
                draining=row.draining,
                started_ms=row.started_ms,
                cold_ms=row.cold_left // timedelta(milliseconds=1),
            )

    @_apply.register
    def _(self, fact: UpstreamWithdrawn) -> None:
        self._unreadable.forget(fact.id)
        if self._upstream_table.withdraw(fact.id, self._clock.monotonic()):
            _log_gone([fact.id])

    @_apply.register
    def _(self, fact: UpstreamUnreadable) -> None:
        used = self._upstream_table.mark_unreadable(fact.id)
        if self._unreadable.is_new(fact.id, fact.detail):
            log("unreadable", upstream=fact.id, detail=fact.detail, was_used=used)

    @_apply.register
    def _(self, fact: ZoneDrained) -> None:
        # A first listing may come from a copy of the store that is behind.
        self.drains.apply_stored(fact.zone, drained=True, announce=self.listed)

    @_apply.register
    def _(self, fact: ZoneRestored) -> None:
        self.drains.apply_stored(fact.zone, drained=False, announce=self.listed)

    @_apply.register
    def _(self, fact: EntryRecorded) -> None:
        if self._entries.add(fact.record, self._clock.monotonic()):
            log("entry", name=fact.record.name, address=fact.record.address)

    @_apply.register
    def _(self, fact: EntryWithdrawn) -> None:
        if self._entries.withdraw(fact.name, self._clock.monotonic()):
            log("entry-gone", name=fact.name)

    @_apply.register
    def _(self, fact: Unreadable) -> None:
        if self._unreadable.is_new(fact.key, fact.detail):
            log("unreadable", key=fact.key, detail=fact.detail)
        if fact.plan is not None:
            self.unreadable_plan = fact
            self.on_unreadable_plan(fact.plan)


def _log_gone(ids: Iterable[str]) -> None:
    for upstream_id in ids:
        log("upstream-gone", id=upstream_id)


def _listed_upstreams(facts: Iterable[Fact]) -> set[str]:
    """Return the ids of all registrations, readable or not."""
    found = {fact.registration.id for fact in facts if isinstance(fact, UpstreamRegistered)}
    return found | {fact.id for fact in facts if isinstance(fact, UpstreamUnreadable)}


def _withdrawn(facts: Iterable[Fact]) -> set[str]:
    """Return the ids of the endpoints that are withdrawn after all of `facts`."""
    found: set[str] = set()
    for fact in facts:
        match fact:
            case UpstreamWithdrawn():
                found.add(fact.id)
            case UpstreamRegistered():
                found.discard(fact.registration.id)
    return found
