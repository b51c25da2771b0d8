"""The table of upstream endpoints: which are registered and which may get new requests."""

import typing as t
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from cardamomloft.core.affinity import text_hash
from cardamomloft.core.coldness.limits import RecentSends
from cardamomloft.core.coldness.sources import ColdSource
from cardamomloft.core.coldness.zonedrains import ZoneDrains
from cardamomloft.core.recent import RecentSet
from cardamomloft.core.registrations import RENEWAL_GRACE, Registration, UpstreamIncarnation

MIN_LAPSED = 3
"""Minimum number of registrations that vanish at once to count as lapsed; fewer may be planned."""

LAPSED_FRACTION = 0.5
"""Fraction of all registrations above which those that vanish at once count as lapsed.

Lapsed registrations were lost by the store, and their endpoints are most likely still running. The
loss of a region or a planned change removes a smaller fraction at once: a region has up to 0.49 of
a service's endpoints, and planned changes take those of one service step by step.
"""

MAX_STARTS = 10_000
"""Maximum number of endpoints whose latest start is kept; the least recently seen are evicted. Each
takes 0.12 KB."""

MAX_LEAVING = 10_000
"""Maximum number of incarnations kept as leaving, and of those kept as gone."""

MAX_WITHDRAWN = 1_000
"""Maximum number of withdrawn incarnations whose state is kept, in case they register again; those
withdrawn longest ago are evicted."""


class LoadReport(t.NamedTuple):
    """The load that an endpoint reported at the monotonic instant `at`.

    `own` is this entry's requests there at that time. `work_percent` is how long work takes on the
    endpoint's machine, in percent of the usual time.
    """

    running: int
    waiting: int
    slots: int
    own: int
    at: timedelta
    work_percent: int = 100


class Upstream:
    """One incarnation of an endpoint with its state at this entry.

    Attributes
    ----------
    in_flight
        Number of this entry's requests in progress there.
    report
        The last load report, or None.
    cold_until
        Monotonic instant until which the endpoint is cold.
    cold_source
        What last told this entry that it is cold.
    recent_sends
        This entry's requests to it in the last second.
    joined_at
        Monotonic instant of its first registration; None if it was in the first listing.
    failures
        Number of this entry's consecutive failed requests.
    ejected_until
        Monotonic instant until which it is ejected after failures.
    full_until
        Monotonic instant until which it counts as full after a refusal.
    paused_until
        Monotonic instant until which this entry sends nothing, as a refusal of the endpoint asks.
    leaving
        Whether it gets no new requests because it is leaving.
    missing
        Whether its registration has lapsed and may still be renewed.
    unreadable
        Whether its present registration can't be decoded, so that it must not be used.
    seed
        Hash of its id, which ranks it for affinity keys; the same for all incarnations.
    service_time
        Smoothed service time without queueing; None if not known.
    work_ratio
        Smoothed ratio of its work times to those of its service.
    """

    __slots__ = (
        "paused_until",
        "recent_sends",
        "cold_source",
        "cold_until",
        "failures",
        "full_until",
        "in_flight",
        "joined_at",
        "leaving",
        "missing",
        "region",
        "registration",
        "report",
        "ejected_until",
        "seed",
        "unreadable",
        "service_time",
        "work_ratio",
    )

    def __init__(self, registration: Registration, region: str, now: timedelta) -> None:
        self.registration = registration
        self.region = region
        self.seed = text_hash(registration.id)
        self.in_flight = 0
        self.report: LoadReport | None = None
        self.cold_until = now + registration.cold_left
        self.cold_source = ColdSource.REGISTRATION
        self.joined_at: timedelta | None = now
        self.failures = 0
        self.ejected_until = timedelta(0)
        self.full_until = timedelta(0)
        self.paused_until = timedelta(0)
        self.recent_sends = RecentSends()
        self.leaving = False
        self.missing = False
        self.unreadable = False
        self.service_time: timedelta | None = None
        self.work_ratio = 1.0

    def mark_cold(self, until: timedelta, source: ColdSource) -> None:
        """Count it as cold until then, unless it is known to be cold for longer."""
        if until > self.cold_until:
            self.cold_until, self.cold_source = until, source

    @property
    def id(self) -> str:
        """The endpoint's id, which other incarnations may share."""
        return self.registration.id

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """Identifies this incarnation among all with the same id."""
        return self.registration.incarnation

    def __repr__(self) -> str:
        return f"Upstream({self.registration.service}/{self.id}@{self.registration.address})"


class UpstreamTable:
    """All registered endpoints.

    Parameters
    ----------
    regions
        The region of each zone.

    Attributes
    ----------
    membership
        Increases whenever an incarnation of an endpoint is added or removed.
    on_cold
        Called with endpoints that were held for warm until this instant, or were not known, and
        are cold.
    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        self.regions = regions
        self.membership = 0
        self.on_cold: Callable[[list[Upstream], timedelta], None] = _ignore_cold
        self._drains = ZoneDrains()
        self._cold_times: Mapping[str, timedelta] = {}
        self._by_id: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._candidates_by_service: dict[str, list[_Candidate]] = {}
        self._stale = False
        self._versions: Counter[str] = Counter()
        self._starts = _Starts()
        self._leaving = RecentSet[UpstreamIncarnation](MAX_LEAVING)
        self._gone = RecentSet[UpstreamIncarnation](MAX_LEAVING)
        self._withdrawn: OrderedDict[UpstreamIncarnation, Upstream] = OrderedDict()
        self._grace_until = timedelta(0)
        self._has_list = False

    def __len__(self) -> int:
        return len(self._by_id)

    def all(self) -> list[Upstream]:
        """Return every registered endpoint."""
        return list(self._by_id.values())

    def use_regions(self, regions: Mapping[str, str]) -> None:
        """Replace the mapping of zones to regions."""
        if regions == self.regions:
            return
        self.regions = regions
        for upstream in self._by_id.values():
            upstream.region = regions.get(upstream.registration.zone, "")
        self._versions.update(self._by_service.keys())

    def get(self, upstream_id: str) -> Upstream | None:
        """Return the endpoint with this id, or None."""
        return self._by_id.get(upstream_id)

    def of_service(self, service: str) -> list[Upstream]:
        """Return the endpoints of `service` that may get new requests, ordered by id."""
        self._refresh()
        return self._by_service.get(service, [])

    def zones(self) -> set[str]:
        """Return the zones that have registered endpoints."""
        return {upstream.registration.zone for upstream in self._by_id.values()}

    def register(self, registration: Registration, now: timedelta) -> bool:
        """Apply a registration; return whether anything but its age has changed.

        A new incarnation starts with fresh state, since it shares only the id with the old one. A
        registration of an earlier incarnation, written late, is ignored.
        """
        if not self._starts.record(registration):
            return False
        self._gone.discard(registration.incarnation)
        known = self._by_id.get(registration.id)
        region = self.regions.get(registration.zone, "")
        if known is None or known.registration.started_ms != registration.started_ms:
            upstream = Upstream(registration, region, now)
            upstream.leaving = upstream.incarnation in self._leaving
            self._restore_coldness(upstream)
            if not self._has_list:
                upstream.joined_at = None
            self._by_id[registration.id] = upstream
            self.membership += 1
            self._stale = True
            if upstream.cold_until > now:
                self.on_cold([upstream], now)
            return True
        before = known.registration._replace(cold_left=registration.cold_left)
        changed = known.missing or known.unreadable or before != registration
        known.registration = registration
        known.missing = known.unreadable = False
        if registration.cold_left:
            until = {registration.id: now + registration.cold_left}
            self._mark_cold([known], until, ColdSource.REGISTRATION, now)
        if changed:
            self._stale = True
        return changed

    def mark_unreadable(self, upstream_id: str) -> bool:
        """Exclude an endpoint until its registration is readable; return whether it was in use.

        Its state is kept: the endpoint's next own registration replaces the unreadable one.
        """
        upstream = self._by_id.get(upstream_id)
        if upstream is None or upstream.unreadable:
            return False
        upstream.unreadable = True
        self._stale = True
        return True

    def withdraw(self, upstream_id: str, now: timedelta) -> bool:
        """Remove an endpoint and return whether it is removed now.

        In the grace period after a mass lapse the endpoint is only marked as missing.
        """
        upstream = self._by_id.get(upstream_id)
        if upstream is None:
            return False
        if now < self._grace_until:
            upstream.missing = True
            return False
        del self._by_id[upstream_id]
        self.membership += 1
        self._gone.add(upstream.incarnation)
        self._withdrawn[upstream.incarnation] = upstream
        if len(self._withdrawn) > MAX_WITHDRAWN:
            self._withdrawn.popitem(last=False)
        self._stale = True
        return True

    def is_outdated(self, registration: Registration) -> bool:
        """Return whether a registration from an older copy of the store is known to be outdated."""
        known = self._by_id.get(registration.id)
        if known is not None and known.incarnation == registration.incarnation:
            return known.registration.draining and not registration.draining
        return registration.incarnation in self._gone

    def withdraw_unlisted(self, ids: Iterable[str], now: timedelta) -> list[str]:
        """Withdraw all endpoints not in the complete list `ids`; return the ids removed now."""
        present = set(ids)
        absent = [upstream_id for upstream_id in self._by_id if upstream_id not in present]
        if self.have_lapsed(absent):
            self.start_grace_period(now)
        self._has_list = True
        return [upstream_id for upstream_id in absent if self.withdraw(upstream_id, now)]

    def have_lapsed(self, ids: Iterable[str]) -> bool:
        """Return whether so many registrations vanish at once that the store has lost them."""
        vanished = sum(1 for upstream_id in ids if upstream_id in self._by_id)
        return vanished >= MIN_LAPSED and vanished > LAPSED_FRACTION * len(self._by_id)

    def start_grace_period(self, now: timedelta) -> None:
        """Start the grace period for endpoints to renew registrations that the store lost."""
        self._grace_until = now + RENEWAL_GRACE

    def tick(self, now: timedelta) -> list[str]:
        """Withdraw endpoints still missing after the grace period; return their ids."""
        if now < self._grace_until:
            return []
        missing = [upstream.id for upstream in self._by_id.values() if upstream.missing]
        return [upstream_id for upstream_id in missing if self.withdraw(upstream_id, now)]

    @property
    def drained_zones(self) -> set[str]:
        """The zones whose endpoints are excluded."""
        return self._drains.drained

    def drain_zone(self, zone: str) -> bool:
        """Exclude the endpoints of `zone`; return whether that is new."""
        is_new = self._drains.begin(zone)
        self._stale = self._stale or is_new
        return is_new

    def restore_zone(self, zone: str, at: timedelta, now: timedelta) -> bool:
        """Use the endpoints of `zone` again, at first as cold; return whether that is new.

        They got no requests during the drain, which may have ended before this entry knew of it,
        so their caches may have expired.

        Parameters
        ----------
        zone
            The zone.
        at
            Monotonic instant of the end of its drain.
        now
            Monotonic instant.
        """
        if not self._drains.end(zone, at):
            return False
        self._mark_zone_cold(zone, now)
        self._stale = True
        return True

    def record_drain_end(self, zone: str, at: timedelta, now: timedelta) -> None:
        """Count the endpoints of `zone` as cold, as `restore_zone`, but keep its drain here."""
        self._drains.record_end(zone, at)
        self._mark_zone_cold(zone, now)

    def has_drain_ended_since(self, zone: str, at: timedelta) -> bool:
        """Return whether a drain of `zone` ended at a monotonic instant or later."""
        return self._drains.ended_at(zone) >= at

    def set_cold_times(self, cold_times: Mapping[str, timedelta], now: timedelta) -> None:
        """Use the times for which the endpoints of each service are cold after a drain."""
        self._cold_times = cold_times
        for zone in self._drains.ended():
            self._mark_zone_cold(zone, now)

    def mark_cold(self, incarnation: UpstreamIncarnation, until: timedelta, now: timedelta) -> None:
        """Count an endpoint as cold until then if it is registered, as another entry says."""
        upstream = self._by_id.get(incarnation.upstream_id)
        if upstream is not None and upstream.incarnation == incarnation:
            self._mark_cold([upstream], {upstream.id: until}, ColdSource.NOTICE, now)

    def _mark_zone_cold(self, zone: str, now: timedelta) -> None:
        restored = [up for up in self._by_id.values() if up.registration.zone == zone]
        until = {up.id: self._cold_after_drain(up) for up in restored}
        self._mark_cold(restored, until, ColdSource.DRAIN_END, now)

    def _cold_after_drain(self, upstream: Upstream) -> timedelta:
        row = upstream.registration
        cold_time = self._cold_times.get(row.service, timedelta(0))
        return self._drains.cold_until(row.zone, cold_time)

    def _restore_coldness(self, upstream: Upstream) -> None:
        """Apply what is known of an endpoint that registers for the first time, or again."""
        before = self._withdrawn.pop(upstream.incarnation, None)
        if before is not None:
            upstream.recent_sends = before.recent_sends
            upstream.mark_cold(before.cold_until, before.cold_source)
        upstream.mark_cold(self._cold_after_drain(upstream), ColdSource.DRAIN_END)

    def _mark_cold(
        self,
        upstreams: list[Upstream],
        until: Mapping[str, timedelta],
        source: ColdSource,
        now: timedelta,
    ) -> None:
        """Count each endpoint as cold until the instant by its id; report those that were warm."""
        warm = [up for up in upstreams if up.cold_until <= now]
        for upstream in upstreams:
            upstream.mark_cold(until[upstream.id], source)
        if found := [up for up in warm if up.cold_until > now]:
            self.on_cold(found, now)

    def leave(self, incarnation: UpstreamIncarnation) -> bool:
        """Exclude a leaving incarnation, registered or not; return whether this is new."""
        if incarnation in self._leaving:
            return False
        self._leaving.add(incarnation)
        upstream = self._by_id.get(incarnation.upstream_id)
        if upstream is not None and upstream.incarnation == incarnation:
            self.mark_leaving(upstream)
        return True

    def mark_leaving(self, upstream: Upstream) -> None:
        """Exclude an endpoint that is leaving or that refused a request meant for another."""
        if not upstream.leaving:
            upstream.leaving = True
            self._stale = True

    def version(self, service: str) -> int:
        """Return a number that increases whenever the usable endpoints of `service` change."""
        self._refresh()
        return self._versions[service]

    def _refresh(self) -> None:
        """Rebuild the lists by service on first use after a change.

        Rebuilding at each change would take quadratic time for a long list of registrations:
        0.365 s of processor time for 810 of them, instead of 0.003 s.
        """
        if not self._stale:
            return
        self._stale = False
        before, self._by_service = self._candidates_by_service, {}
        for upstream in sorted(self._by_id.values(), key=lambda known: known.id):
            row = upstream.registration
            if row.draining or upstream.leaving or upstream.unreadable:
                continue
            if row.zone in self._drains.drained:
                continue
            self._by_service.setdefault(row.service, []).append(upstream)
        self._candidates_by_service = {
            name: _candidates(rows) for name, rows in self._by_service.items()
        }
        for service in before.keys() | self._candidates_by_service.keys():
            if before.get(service) != self._candidates_by_service.get(service):
                self._versions[service] += 1


def _ignore_cold(upstreams: list[Upstream], now: timedelta) -> None:
    """Do nothing: nobody asked to be told."""


class _Starts:
    """The start of the latest known incarnation of each endpoint, including withdrawn ones."""

    def __init__(self) -> None:
        self._latest: dict[str, int] = {}

    def record(self, registration: Registration) -> bool:
        """Record a registration; return False if a later incarnation is known."""
        latest = self._latest.pop(registration.id, 0)
        if registration.started_ms or latest:
            self._latest[registration.id] = max(latest, registration.started_ms)
        if len(self._latest) > MAX_STARTS:
            del self._latest[next(iter(self._latest))]
        return registration.started_ms >= latest


class _Candidate(t.NamedTuple):
    """An endpoint and its properties that determine the assignment of keys.

    Candidates are compared to detect changes; an `Upstream` is equal only to itself.
    """

    upstream: Upstream
    zone: str
    slots: int


def _candidates(upstreams: Iterable[Upstream]) -> list[_Candidate]:
    return [_Candidate(up, up.registration.zone, up.registration.slots) for up in upstreams]
