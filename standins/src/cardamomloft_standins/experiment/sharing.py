"""Simulated policies in which gateways share what they observe of endpoints."""

import random
import typing as t
from collections.abc import Sequence
from datetime import timedelta

from cardamomloft.core.registrations import UpstreamIncarnation
from cardamomloft.core.selection import Selector
from cardamomloft.core.suspicion import Suspicions
from cardamomloft.core.upstreamtable import LoadReport, Upstream
from cardamomloft.upstreams.dialect import HeaderLoad

REPORT_LATENCY = timedelta(milliseconds=150)
"""Latency of a report from one gateway to all others, through a relay on each side."""

MEAN_AGE = timedelta(milliseconds=300)
"""Mean age of a shared load when it arrives."""


class SharingSelector(Selector):
    """Ejects endpoints based on the observations of all gateways, not only its own.

    Reports failures, and answers of suspected endpoints.

    Attributes
    ----------
    report_count
        Number of reports sent to all other gateways.
    """

    def __init__(self, *args: t.Any) -> None:
        super().__init__(*args)
        self.report_count = 0
        self._loop: t.Any = None
        self._others: Sequence[SharingSelector] = ()
        self._name = str(id(self))
        self._suspicions = Suspicions(self._name)

    def connect(self, loop: t.Any, others: Sequence["SharingSelector"]) -> None:
        """Send all further reports to `others`."""
        self._loop, self._others = loop, others

    def record_failure(self, upstream: Upstream, now: timedelta) -> None:
        """Record a failure and report it."""
        self._report(upstream.id, now, failed=True)

    def record_answer(self, upstream: Upstream, took: timedelta, load: float) -> None:
        """Record an answer, and report it if the endpoint is suspected."""
        super().record_answer(upstream, took, load)
        if self._suspicions.is_suspected(_incarnation_of(upstream)):
            self._report(upstream.id, timedelta(seconds=self._loop.seconds()), failed=False)

    def receive_report(self, upstream_id: str, entry: str, at: timedelta, failed: bool) -> None:
        """Apply a report of this or another gateway."""
        upstream = self._table.get(upstream_id)
        if upstream is None:
            return
        incarnation = _incarnation_of(upstream)
        if failed:
            now = timedelta(seconds=self._loop.seconds())
            self._suspicions.record_failure(incarnation, entry, at, now)
        else:
            self._suspicions.record_answer(incarnation, at)
        upstream.ejected_until = self._suspicions.ejected_until(incarnation)

    def _report(self, upstream_id: str, at: timedelta, *, failed: bool) -> None:
        self.report_count += 1
        report = (upstream_id, self._name, at, failed)
        self.receive_report(*report)
        for other in self._others:
            self._loop.callLater(REPORT_LATENCY.total_seconds(), other.receive_report, *report)


class InformedSelector(Selector):
    """Gets the loads and cached keys of all endpoints; the placement is that without these."""


class SharedSelector(InformedSelector):
    """Places by shared loads."""

    def __init__(self, *args: t.Any) -> None:
        super().__init__(*args)
        self.shared_loads.all_services = True


class LoadExchange:
    """Passes the load statements of endpoints, and the keys they have cached, to all gateways.

    Parameters
    ----------
    loop
        The simulated reactor.
    rng
        Draws the ages at which statements arrive.
    selectors
        Those of all gateways; the informed ones get the statements.
    """

    def __init__(self, loop: t.Any, rng: random.Random, selectors: Sequence[Selector]) -> None:
        self._loop = loop
        self._rng = rng
        self._selectors = [one for one in selectors if isinstance(one, InformedSelector)]
        self._pairs: set[tuple[str, str]] = set()

    def record(self, upstream_id: str, key: str, load: HeaderLoad | None, ran: bool) -> None:
        """Pass on what an endpoint states now; the statements arrive at different ages."""
        if load is None or not self._selectors:
            return
        at = timedelta(seconds=self._loop.seconds())
        rows = [
            (one, up, up.in_flight)
            for one in self._selectors
            if (up := one._table.get(upstream_id)) is not None
        ]
        age = self._rng.uniform(0.5, 1.5) * MEAN_AGE.total_seconds()
        is_new = ran and (upstream_id, key) not in self._pairs
        if is_new:
            self._pairs.add((upstream_id, key))
        self._loop.callLater(age, _deliver, rows, key if is_new else None, load, at)


def _deliver(
    rows: Sequence[tuple[Selector, Upstream, int]],
    key: str | None,
    load: HeaderLoad,
    at: timedelta,
) -> None:
    for selector, upstream, own in rows:
        known = upstream.report
        if known is None or known.at < at:
            report = LoadReport(load.running, load.waiting, load.slots, own, at, load.work_percent)
            selector.record_report(upstream, report)
        if key is not None:
            selector.cache_states.record_answer(upstream, key)


def connect(loop: t.Any, selectors: Sequence[Selector]) -> None:
    """Connect all selectors that share their observations."""
    sharing = [one for one in selectors if isinstance(one, SharingSelector)]
    for one in sharing:
        one.connect(loop, [other for other in sharing if other is not one])


def _incarnation_of(upstream: Upstream) -> UpstreamIncarnation:
    return UpstreamIncarnation(upstream.id, upstream.registration.started_ms)
