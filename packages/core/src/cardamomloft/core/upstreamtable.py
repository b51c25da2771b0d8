"""The book of upstream endpoints: which are registered, and which of them may get new service_time."""

import typing as t
from collections import Counter
from collections.abc import Iterable, Mapping
from datetime import timedelta

from cardamomloft.core.affinity import text_hash
from cardamomloft.core.recent import RecentSet
from cardamomloft.core.registrations import RENEWAL_GRACE, Registration, UpstreamIncarnation

LEAST_LAPSED = 3
"""Fewer registrations that vanish at once count as planned, on deployments with few endpoints."""

LAPSED_PART = 0.5
"""Part of all registrations beyond which those that vanish at once have lapsed with the store.

Their endpoints most likely live: on the known deployments a region has up to 0.49 of a service's
endpoints, and planned changes take those of one service step by step.
"""

STARTS_KEPT = 10_000
"""Endpoints whose latest start is kept, those heard of longest ago forgotten first, at 0.12 KB each
(tracemalloc, 10,000 of them)."""

LEAVERS_KEPT = 10_000
"""Lives that have said they leave, or are gone, and are remembered without a registration; none of
them comes back, so only a very old one is let go."""


class LoadReport(t.NamedTuple):
    """What an endpoint said of its load; `own` were this entry's requests there at that time."""

    running: int
    waiting: int
    slots: int
    own: int
    at: timedelta


class Upstream:
    """One life of an endpoint, with what this entry knows of it.

    Attributes
    ----------
    in_flight
        This entry's own requests there.
    report
        The last load report, or None.
    cold_until
        Monotonic instant until which it is cold.
    joined_at
        Monotonic instant at which it was first seen; None if it was there at the start.
    failures
        Own requests in a row that failed.
    ejected_until
        Monotonic instant until which it is left alone after failures.
    full_until
        Monotonic instant until which it counts as full after a refusal.
    paused_until
        Monotonic instant until which it wants nothing from this entry, as it said with a refusal.
    unreadable
        Whether its registration can't be read now, so that it must not be used.
    seed
        Hash of its id, for the placement of objects: the same in all of its lives.
    service_time
        How long its answers take without waiting, smoothed; None if not known.
    """

    __slots__ = (
        "paused_until",
        "cold_sends",
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
    )

    def __init__(self, registration: Registration, region: str, now: timedelta) -> None:
        self.registration = registration
        self.region = region
        self.seed = text_hash(registration.id)
        self.in_flight = 0
        self.report: LoadReport | None = None
        self.cold_until = now + registration.cold_left
        self.joined_at: timedelta | None = now
        self.failures = 0
        self.ejected_until = timedelta(0)
        self.full_until = timedelta(0)
        self.paused_until = timedelta(0)
        self.cold_sends: list[timedelta] = []
        self.leaving = False
        self.missing = False
        self.unreadable = False
        self.service_time: timedelta | None = None

    @property
    def id(self) -> str:
        """The id of this life."""
        return self.registration.id

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """What tells this life from others under the same id."""
        return self.registration.incarnation

    def __repr__(self) -> str:
        return f"Upstream({self.registration.service}/{self.id}@{self.registration.address})"


class UpstreamTable:
    """All registered endpoints.

    Parameters
    ----------
    regions
        The region of each zone.

    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        self.regions = regions
        self.drained_zones: set[str] = set()
        self._by_id: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._placements: dict[str, list[_Placed]] = {}
        self._stale = False
        self._versions: Counter[str] = Counter()
        self._starts = _Starts()
        self._leavers = RecentSet[UpstreamIncarnation](LEAVERS_KEPT)
        self._gone = RecentSet[UpstreamIncarnation](LEAVERS_KEPT)
        self._patience_until = timedelta(0)
        self._started = False

    def __len__(self) -> int:
        return len(self._by_id)

    def all(self) -> list[Upstream]:
        """Return every registered endpoint."""
        return list(self._by_id.values())

    def use_regions(self, regions: Mapping[str, str]) -> None:
        """Use another division of zones into regions from now on."""
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
        """Return the endpoints of `service` that may get new service_time, by registration."""
        self._refresh()
        return self._by_service.get(service, [])

    def zones(self) -> set[str]:
        """Return the zones that have registered endpoints."""
        return {upstream.registration.zone for upstream in self._by_id.values()}

    def register(self, registration: Registration, now: timedelta) -> bool:
        """Take a registration; return whether anything but its age has changed.

        A new life under an old id holds nothing of before, so nothing that was known of the
        endpoint is kept. A registration of an earlier life, written late, is left aside.
        """
        if not self._starts.note(registration):
            return False
        self._gone.discard(registration.incarnation)
        known = self._by_id.get(registration.id)
        region = self.regions.get(registration.zone, "")
        if known is None or known.registration.started_ms != registration.started_ms:
            upstream = Upstream(registration, region, now)
            upstream.leaving = upstream.incarnation in self._leavers
            if not self._started:
                upstream.joined_at = None
            self._by_id[registration.id] = upstream
            self._stale = True
            return True
        before = known.registration._replace(cold_left=registration.cold_left)
        changed = known.missing or known.unreadable or before != registration
        known.registration = registration
        known.missing = known.unreadable = False
        if registration.cold_left:
            known.cold_until = max(known.cold_until, now + registration.cold_left)
        if changed:
            self._stale = True
        return changed

    def mark_unreadable(self, upstream_id: str) -> bool:
        """Use an endpoint no more until its registration can be read; return whether it was used.

        What is known of it stays: its next own registration replaces the one of another writer.
        """
        upstream = self._by_id.get(upstream_id)
        if upstream is None or upstream.unreadable:
            return False
        upstream.unreadable = True
        self._stale = True
        return True

    def withdraw(self, upstream_id: str, now: timedelta) -> bool:
        """Forget an endpoint; soon after many have lapsed at once only if it stays away."""
        upstream = self._by_id.get(upstream_id)
        if upstream is None:
            return False
        if now < self._patience_until:
            upstream.missing = True
            return False
        del self._by_id[upstream_id]
        self._gone.add(upstream.incarnation)
        self._stale = True
        return True

    def is_outdated(self, registration: Registration) -> bool:
        """Tell whether a registration from an older copy of the store is known to be overtaken."""
        known = self._by_id.get(registration.id)
        if known is not None and known.incarnation == registration.incarnation:
            return known.registration.draining and not registration.draining
        return registration.incarnation in self._gone

    def withdraw_unlisted(self, ids: Iterable[str], now: timedelta) -> list[str]:
        """Withdraw all that are not among `ids`, the whole of a list; return the ids withdrawn."""
        present = set(ids)
        absent = [upstream_id for upstream_id in self._by_id if upstream_id not in present]
        if self.have_lapsed(absent):
            self.start_grace_period(now)
        self._started = True
        return [upstream_id for upstream_id in absent if self.withdraw(upstream_id, now)]

    def have_lapsed(self, ids: Iterable[str]) -> bool:
        """Tell whether so many of the registrations vanish at once that the store must be why."""
        vanished = sum(1 for upstream_id in ids if upstream_id in self._by_id)
        return vanished >= LEAST_LAPSED and vanished > LAPSED_PART * len(self._by_id)

    def start_grace_period(self, now: timedelta) -> None:
        """Note that registrations have lapsed with the store: they may still come back."""
        self._patience_until = now + RENEWAL_GRACE

    def tick(self, now: timedelta) -> list[str]:
        """Withdraw what did not come back in time; return the ids withdrawn."""
        if now < self._patience_until:
            return []
        missing = [upstream.id for upstream in self._by_id.values() if upstream.missing]
        return [upstream_id for upstream_id in missing if self.withdraw(upstream_id, now)]

    def drain_zone(self, zone: str) -> bool:
        """Use no endpoint of `zone` any more; return whether that is new."""
        if zone in self.drained_zones:
            return False
        self.drained_zones.add(zone)
        self._stale = True
        return True

    def restore_zone(self, zone: str, now: timedelta, cold_times: Mapping[str, timedelta]) -> bool:
        """Use endpoints of `zone` again, at first as cold; return whether that is new.

        Nobody used them meanwhile, so they have forgotten what they had at hand.
        """
        if zone not in self.drained_zones:
            return False
        self.drained_zones.discard(zone)
        for upstream in self._by_id.values():
            if upstream.registration.zone == zone:
                cold_time = cold_times.get(upstream.registration.service, timedelta(0))
                upstream.cold_until = max(upstream.cold_until, now + cold_time)
        self._stale = True
        return True

    def leave(self, incarnation: UpstreamIncarnation) -> bool:
        """Give a life no new service_time, though it is not registered yet; return whether that is new."""
        if incarnation in self._leavers:
            return False
        self._leavers.add(incarnation)
        upstream = self._by_id.get(incarnation.upstream_id)
        if upstream is not None and upstream.incarnation == incarnation:
            self.mark_leaving(upstream)
        return True

    def mark_leaving(self, upstream: Upstream) -> None:
        """Give an endpoint no new service_time, since it refused one as not the one expected."""
        if not upstream.leaving:
            upstream.leaving = True
            self._stale = True

    def version(self, service: str) -> int:
        """Return a number that grows whenever the usable endpoints of `service` change."""
        self._refresh()
        return self._versions[service]

    def _refresh(self) -> None:
        """Divide the endpoints by service, once for all that has changed since it was asked for.

        With each change anew a list of 810 took 0.365 s of processor time, and the time grew with
        the square of their number. Done once it takes 0.003 s (process_time, one run each).
        """
        if not self._stale:
            return
        self._stale = False
        before, self._by_service = self._placements, {}
        for upstream in sorted(self._by_id.values(), key=lambda known: known.id):
            row = upstream.registration
            if row.draining or upstream.leaving or upstream.unreadable:
                continue
            if row.zone in self.drained_zones:
                continue
            self._by_service.setdefault(row.service, []).append(upstream)
        self._placements = {name: _placed(rows) for name, rows in self._by_service.items()}
        for service in before.keys() | self._placements.keys():
            if before.get(service) != self._placements.get(service):
                self._versions[service] += 1


class _Starts:
    """When the latest known life of each endpoint began, also of those that have gone."""

    def __init__(self) -> None:
        self._latest: dict[str, int] = {}

    def note(self, registration: Registration) -> bool:
        """Return whether a registration is not of an earlier life than a known one."""
        latest = self._latest.pop(registration.id, 0)
        if registration.started_ms or latest:
            self._latest[registration.id] = max(latest, registration.started_ms)
        if len(self._latest) > STARTS_KEPT:
            del self._latest[next(iter(self._latest))]
        return registration.started_ms >= latest


class _Placed(t.NamedTuple):
    """What placement depends on; an object that took the place of another is another."""

    upstream: Upstream
    zone: str
    slots: int


def _placed(upstreams: Iterable[Upstream]) -> list[_Placed]:
    return [_Placed(up, up.registration.zone, up.registration.slots) for up in upstreams]
