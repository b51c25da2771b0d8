"""What a gateway knows of the control store's contents, and what each fact changes in it."""

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
from cardamomloft.runtime.logs import ReportedProblems, log
from cardamomloft.runtime.metrics import Metrics

DOUBTED_LOGGED = 20
"""Facts of a restored store that are named in the log line, of those that are not taken."""


class _Doubt(t.NamedTuple):
    """A fact of a restored store that is not believed yet, and the instant at which it is."""

    fact: Fact
    until: timedelta


class StoreView:
    """Applies facts to the books of upstreams and entries, and to what is derived from them.

    Parameters
    ----------
    clock
        Source of time.
    book, entries
        The upstream endpoints and the entries that are known.
    selector
        Divides limits among the entries.
    forget
        Closes idle connections to an address, whose endpoint has started anew.
    on_plan
        Takes a configuration, which may be older than the one in force.
    metrics
        Counts what is doubted.

    Attributes
    ----------
    listed
        Whether a whole list was taken.
    """

    def __init__(
        self,
        clock: Clock,
        book: UpstreamTable,
        entries: EntryTable,
        selector: Selector,
        forget: Callable[[str], None],
        on_plan: Callable[[RoutePlan], None],
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._book = book
        self._entries = entries
        self._selector = selector
        self._forget = forget
        self._on_plan = on_plan
        self._metrics = metrics
        self._unreadable = ReportedProblems()
        self._era: int | None = None
        self._doubts: dict[FactKey, _Doubt] = {}
        self.listed = False

    def apply_listing(self, listing: Listing) -> None:
        """Take a list of all that the store holds: what is not in it has gone."""
        now = self._clock.monotonic()
        restored = self._is_restored(listing.index)
        facts = self._sift(listing) if restored else self._undoubted(listing.facts)
        self.apply_changes(facts)
        upstreams = _listed_upstreams(listing.facts)
        entries = {fact.record.name for fact in facts if isinstance(fact, EntryRecorded)}
        _log_gone(self._book.withdraw_unlisted(upstreams, now))
        self._entries.withdraw_unlisted(entries, now)
        for zone in missing_drains(listing.facts, self._book):
            if key_of(ZoneRestored(zone)) not in self._doubts:
                self._take(ZoneRestored(zone))
        self.listed = True

    def _is_restored(self, index: Position) -> bool:
        """Note the era of a list; return whether the store came back from an older copy."""
        before, self._era = self._era, index.era
        return before not in (None, index.era)

    def _sift(self, listing: Listing) -> tuple[Fact, ...]:
        """Return what to take of the list of a restored store, and expect that others write."""
        now = self._clock.monotonic()
        self._book.start_grace_period(now)
        self._entries.start_grace_period(now)
        taken, doubted = classify_facts(listing.facts, self._book, self._entries)
        drains = missing_drains(listing.facts, self._book)
        doubted = (*doubted, *map(ZoneRestored, sorted(drains)))
        self._doubts = {key_of(fact): _Doubt(fact, now + CONFIRMATION_TIMEOUT) for fact in doubted}
        self._metrics.count("stores_restored")
        self._metrics.count("doubted_facts", len(doubted))
        log(
            "store-restored",
            era=listing.index.era,
            revision=listing.index.revision,
            doubted=[str(fact) for fact in doubted[:DOUBTED_LOGGED]],
            doubted_ms=CONFIRMATION_TIMEOUT // timedelta(milliseconds=1),
        )
        return taken

    def _undoubted(self, facts: tuple[Fact, ...]) -> tuple[Fact, ...]:
        """Return the facts of a list but for those that are doubted as they stand there.

        What was doubted and is not there any more has gone.
        """
        listed = {key_of(fact) for fact in facts}
        for key, doubt in list(self._doubts.items()):
            if key not in listed and not isinstance(doubt.fact, ZoneRestored):
                del self._doubts[key]
        return tuple(fact for fact in facts if not self._is_doubted(fact))

    def _is_doubted(self, fact: Fact) -> bool:
        doubt = self._doubts.get(key_of(fact))
        return doubt is not None and is_same_fact(doubt.fact, fact)

    def apply_changes(self, facts: tuple[Fact, ...]) -> None:
        """Take facts that have changed, in order."""
        withdrawn = _withdrawn(facts)
        if self._book.have_lapsed(withdrawn):
            log("registrations-lapsed", count=len(withdrawn), of=len(self._book))
            self._book.start_grace_period(self._clock.monotonic())
        for fact in facts:
            self._doubts.pop(key_of(fact), None)
            self._take(fact)
        self._share_budgets()

    def store_recovered(self) -> None:
        """Note that the store answers again: records that lapsed may come back."""
        self._entries.start_grace_period(self._clock.monotonic())

    def tick(self) -> None:
        """Withdraw what did not come back in time."""
        now = self._clock.monotonic()
        _log_gone(self._book.tick(now))
        for name in self._entries.tick(now):
            log("entry-gone", name=name)
        self._believe(now)
        self._share_budgets()

    def _believe(self, now: timedelta) -> None:
        """Take what was doubted and has stood for long enough."""
        for key, doubt in list(self._doubts.items()):
            if doubt.until <= now:
                del self._doubts[key]
                self._take(doubt.fact)

    def _share_budgets(self) -> None:
        self._selector.entries = self._entries.max_recent_count(self._clock.monotonic())
        self._selector.others = [row.name for row in self._entries.records(with_own=False)]

    @singledispatchmethod
    def _take(self, fact: Fact) -> None:
        raise TypeError(f"not a fact: {fact!r}")

    @_take.register
    def _(self, fact: PlanRead) -> None:
        self._on_plan(fact.plan)

    @_take.register
    def _(self, fact: UpstreamRegistered) -> None:
        row, before = fact.registration, self._book.get(fact.registration.id)
        self._unreadable.forget(row.id)
        if self._book.register(row, self._clock.monotonic()):
            if before is not None and self._book.get(row.id) is not before:
                # What was kept open belongs to the life before.
                self._forget(before.registration.address)
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

    @_take.register
    def _(self, fact: UpstreamWithdrawn) -> None:
        self._unreadable.forget(fact.id)
        if self._book.withdraw(fact.id, self._clock.monotonic()):
            _log_gone([fact.id])

    @_take.register
    def _(self, fact: UpstreamUnreadable) -> None:
        used = self._book.mark_unreadable(fact.id)
        if self._unreadable.is_new(fact.id, fact.detail):
            log("unreadable", upstream=fact.id, detail=fact.detail, was_used=used)

    @_take.register
    def _(self, fact: ZoneDrained) -> None:
        if self._book.drain_zone(fact.zone):
            log("zone-drained", zone=fact.zone)

    @_take.register
    def _(self, fact: ZoneRestored) -> None:
        cold_times = {name: row.cold_time for name, row in self._selector.policies.items()}
        if self._book.restore_zone(fact.zone, self._clock.monotonic(), cold_times):
            log("zone-restored", zone=fact.zone)

    @_take.register
    def _(self, fact: EntryRecorded) -> None:
        if self._entries.add(fact.record, self._clock.monotonic()):
            log("entry", name=fact.record.name, address=fact.record.address)

    @_take.register
    def _(self, fact: EntryWithdrawn) -> None:
        if self._entries.withdraw(fact.name, self._clock.monotonic()):
            log("entry-gone", name=fact.name)

    @_take.register
    def _(self, fact: Unreadable) -> None:
        if self._unreadable.is_new(fact.key, fact.detail):
            log("unreadable", key=fact.key, detail=fact.detail)


def _log_gone(ids: Iterable[str]) -> None:
    for upstream_id in ids:
        log("upstream-gone", id=upstream_id)


def _listed_upstreams(facts: Iterable[Fact]) -> set[str]:
    """Return the ids under which something is registered, readable or not."""
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
