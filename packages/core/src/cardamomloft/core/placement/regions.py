"""Shares of the keys of each region that are placed in other regions.

Addresses demand that swings between regions, and regions with fewer endpoints than demand: the
endpoints of one region are full while those of another idle. Keys leave and return in the order of
their hashes, so that all gateways move about the same ones and their copies stay of use.
"""

import typing as t
from collections import defaultdict
from collections.abc import Callable, Sequence
from datetime import timedelta

from cardamomloft.core.affinity import unit_hash
from cardamomloft.core.placement.response import MAX_AGE_S, report_age
from cardamomloft.core.upstreamtable import Upstream

HIGH_USE = 0.8
"""Use of a region's slots above which keys leave it. From there on most requests wait."""

LOW_USE = 0.5
"""Use of a region's slots below which its keys return. The distance to `HIGH_USE` keeps keys from
moving to and fro, which would leave behind unused copies."""

MIN_DIFFERENCE = 0.2
"""Minimum difference in use between two regions for keys to move from one to the other. A copy in
another region costs a cache miss and the latency of the links."""

MAX_CHANGE_PER_S = 0.04
"""Maximum change of the share of a region's keys that are placed elsewhere, per second.

Deployments allow 0.15 of a region's requests to change their region from one window of 2 s to the
next. This is 0.08; the remainder covers keys that are used more than others, and gateways that hear
of loads late.
"""

UPDATE_INTERVAL = timedelta(milliseconds=250)
"""Minimum interval between two looks at the loads of all endpoints of a service."""

MAX_STEP_TIME = timedelta(milliseconds=500)
"""Longest time that one update covers, so that shares do not jump after an idle time."""

_SECOND = timedelta(seconds=1)

Load = Callable[[Upstream, timedelta], float]
Uses = dict[str, float]


class _Shares:
    """The shares of one service, by the region that keys leave and the one they go to."""

    def __init__(self, now: timedelta) -> None:
        self.updated_at = now
        self.by_pair: defaultdict[tuple[str, str], float] = defaultdict(float)


class RegionShares:
    """The regions to which this gateway moves keys of services whose loads are shared.

    Parameters
    ----------
    endpoints_of
        Returns the usable endpoints of a service.
    load
        Returns the expected number of requests at an endpoint at an instant.
    """

    def __init__(self, endpoints_of: Callable[[str], Sequence[Upstream]], load: Load) -> None:
        self._endpoints_of = endpoints_of
        self._load = load
        self._services: dict[str, _Shares] = {}

    def region_for(self, service: str, home: str, key: str, now: timedelta) -> str:
        """Return the region for a key whose first endpoint is in the region `home`."""
        shares = self._services.get(service)
        if shares is None:
            shares = self._services[service] = _Shares(now)
        if now - shares.updated_at >= UPDATE_INTERVAL:
            self._update(service, shares, now)
        for (origin, target), share in shares.by_pair.items():
            if origin == home and unit_hash(key, target) < share:
                return target
        return home

    def shares(self, service: str) -> dict[tuple[str, str], float]:
        """Return the shares of a service that are not 0, by origin and target."""
        found = self._services.get(service)
        return {} if found is None else {pair: x for pair, x in found.by_pair.items() if x}

    def _update(self, service: str, shares: _Shares, now: timedelta) -> None:
        passed = min(now - shares.updated_at, MAX_STEP_TIME)
        shares.updated_at = now
        uses = self._uses(service, now)
        for origin in uses:
            change_shares(shares.by_pair, origin, uses, MAX_CHANGE_PER_S * (passed / _SECOND))

    def _uses(self, service: str, now: timedelta) -> Uses:
        """Return the use of the slots of each region; regions without a fresh load are left out."""
        loads: dict[str, float] = {}
        slots: dict[str, int] = {}
        known: set[str] = set()
        now_s = now.total_seconds()
        for upstream in self._endpoints_of(service):
            if upstream.cold_until > now or upstream.ejected_until > now:
                continue
            region = upstream.region
            loads[region] = loads.get(region, 0.0) + self._load(upstream, now)
            slots[region] = slots.get(region, 0) + upstream.registration.slots
            if report_age(upstream, now_s) < MAX_AGE_S:
                known.add(region)
        return {region: loads[region] / slots[region] for region in sorted(known)}


def change_shares(
    shares: t.MutableMapping[tuple[str, str], float], origin: str, uses: Uses, step: float
) -> None:
    """Change the shares of the keys of `origin` by at most `step` in all.

    Parameters
    ----------
    shares
        Share of the keys by the region that they leave and the one they go to.
    origin
        The region that keys leave, or to which they return.
    uses
        Use of the slots by region, `origin` included; other regions are unknown and keep theirs.
    step
        Maximum change of all shares together.
    """
    others = [region for region in uses if region != origin]
    use = uses[origin]
    back = [
        region
        for region in others
        if shares.get((origin, region), 0.0) > 0 and (use < LOW_USE or uses[region] > use)
    ]
    for region in back:
        pair = (origin, region)
        shares[pair] = max(0.0, shares[pair] - step / len(back))
    targets = [region for region in others if uses[region] <= use - MIN_DIFFERENCE]
    if back or use <= HIGH_USE or not targets:
        return
    for region in targets:
        pair = (origin, region)
        shares[pair] = min(1.0, shares.get(pair, 0.0) + step / len(targets))
