"""The loads of endpoints and the cached keys that this entry shares with others.

Addresses a load condition of many entries: each sends a given endpoint a request only every few
seconds, so that it knows neither the endpoint's load nor its cached keys from its own requests.
"""

import typing as t
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from statistics import median

from cardamomloft.core.loads.cachedpairs import MAX_CACHED_ROWS, CachedPairs
from cardamomloft.core.loads.cursors import Cursor, Position
from cardamomloft.core.loads.hashes import MAX_HASH, endpoint_hash, key_hash
from cardamomloft.core.loads.ownsends import OwnSends
from cardamomloft.core.loads.statements import (
    MAX_FORWARDED_AGE,
    MAX_SENT_LOAD_ROWS,
    Origin,
    Statement,
    StatementTable,
    Verdict,
    is_valid,
    microseconds,
)
from cardamomloft.core.messages import CachedRow, LoadRow
from cardamomloft.core.upstreamtable import LoadReport, Upstream, UpstreamTable

ACTIVE_TIME = timedelta(seconds=5)
"""How long an entry exchanges loads after the last one that it heard."""

LEARNED_TIME = timedelta(seconds=10)
"""How long a service counts as shared after a row of another entry. The settings of the entries
may differ for a moment, so that such a row alone doesn't say that the service remains shared."""

_USUAL_CACHED_ROWS = 40
_FREE_CACHED_ROWS = 5
"""Number of cached rows in any but the first message to a peer, and how many of them don't take the
place of a load row each. With 4 messages a second a peer gets at most 4 KB/s after the first."""

_MS = timedelta(milliseconds=1)
_MS_US = 1000
_LONG_AGO = -timedelta(days=1)


class SharedRows(t.NamedTuple):
    """The rows of one message."""

    loads: tuple[LoadRow, ...] = ()
    cached: tuple[CachedRow, ...] = ()


class KnownLoads(t.NamedTuple):
    """Number of endpoints whose load is known, of all, and the median age of the statements."""

    known: int
    total: int
    median_age_ms: int | None


class SharedLoads:
    """The loads that are known of endpoints, and the cached keys.

    Parameters
    ----------
    table
        The registered endpoints.
    pairs
        The known cached pairs.
    on_report
        Called with each statement of another entry that becomes an endpoint's load report.

    Attributes
    ----------
    all_services
        Whether the loads of all services are shared, as the settings ask.
    on_stated
        Called after each statement that this entry hears from an endpoint of a shared service.
    counts
        Numbers of rows by what became of them.
    """

    def __init__(
        self,
        table: UpstreamTable,
        pairs: CachedPairs,
        on_report: Callable[[Upstream, LoadReport], None],
    ) -> None:
        self._table = table
        self._pairs = pairs
        self._on_report = on_report
        self.all_services = False
        self.on_stated: Callable[[], None] = lambda: None
        self.counts: Counter[str] = Counter()
        self._stating: set[str] = set()
        self._learned_until: dict[str, timedelta] = {}
        self._heard_services: set[str] = set()
        self._statements = StatementTable()
        self._sends = OwnSends()
        self._by_hash: dict[int, Upstream] = {}
        self._membership = -1
        self._heard_at = _LONG_AGO

    def is_shared(self, service: str) -> bool:
        """Return whether entries share the loads of the endpoints of `service`."""
        return self.all_services or service in self._stating or service in self._learned_until

    def states_work(self, service: str) -> bool:
        """Return whether endpoints of `service` have stated their work time to this entry."""
        return service in self._stating

    @property
    def is_empty(self) -> bool:
        """Whether neither a load nor a cached key is known."""
        return not (self._statements or self._pairs)

    def is_active(self, now: timedelta) -> bool:
        """Return whether loads were heard lately, here or from another entry."""
        return now - self._heard_at <= ACTIVE_TIME

    def set_all_services(self, enabled: bool, now: timedelta) -> None:
        """Share the loads of all services or not; if so, begin to ask other entries for theirs."""
        if enabled and not self.all_services:
            self._heard_at = now
        self.all_services = enabled

    # Requests of this entry.

    def record_sent(self, upstream: Upstream, now: timedelta) -> None:
        """Record that a request is sent to `upstream`."""
        if self.is_shared(upstream.registration.service):
            self._sends.record_sent(_hash_of(upstream), now)

    def record_end(self, upstream: Upstream, sent_at: timedelta, now: timedelta) -> None:
        """Record that the request sent at `sent_at` has left the endpoint, or was given up."""
        if self._sends:
            self._sends.record_end(_hash_of(upstream), sent_at, now)

    def record_statement(
        self, upstream: Upstream, report: LoadReport, *, states_work: bool
    ) -> None:
        """Record what an endpoint stated with an answer to this entry.

        `states_work` tells that the statement had a figure for the work time.
        """
        service = upstream.registration.service
        if states_work:
            self._stating.add(service)
        if not self._is_source(service):
            return
        at_us = microseconds(report.at)
        statement = Statement(report.running, report.waiting, report.work_percent, at_us)
        if is_valid(LoadRow(0, *statement[:3], 0)):
            self._statements.merge(_hash_of(upstream), statement, Origin.OWN)
            self._heard_at = report.at
            self.on_stated()

    def record_cached(self, upstream: Upstream, key: str) -> None:
        """Record that an endpoint has answered a request of this entry for `key`."""
        if self._is_source(upstream.registration.service):
            self._pairs.add(_hash_of(upstream), key_hash(key), Origin.OWN)

    # Rows from and for other entries.

    def take(
        self,
        rows: SharedRows,
        origin: Origin,
        now: timedelta,
        transit: timedelta = timedelta(0),
        *,
        forward: bool = True,
    ) -> None:
        """Use the rows of a message.

        Parameters
        ----------
        rows
            The rows.
        origin
            Whether they come from an entry of this zone or from elsewhere.
        now
            Monotonic instant.
        transit
            Time that is added to the ages for the way of the rows. With the time in which a message
            to the sender was answered, this entry's own statements that come back are never taken
            for newer ones.
        forward
            Whether this entry's peers may lack the rows.
        """
        self._refresh_index()
        sent_us = microseconds(now - transit)
        loads = Counter(self._take_load(row, origin, sent_us, forward) for row in rows.loads)
        cached = Counter(self._take_cached(row, origin) for row in rows.cached)
        if loads["accepted"]:
            self._heard_at = now
        self._learn(now)
        for kind, verdicts in (("loads", loads), ("cached", cached)):
            for verdict, count in verdicts.items():
                self.counts[f"{kind}.{verdict}"] += count

    def rows_for(self, cursor: Cursor, origin: Origin, number: int, now: timedelta) -> SharedRows:
        """Return the rows for the message `number` to a peer, none if it is too soon for them."""
        if not cursor.is_due(now):
            return SharedRows()
        self._refresh_index()
        cursor.rewind(now)
        version, pairs = cursor.position
        limit = MAX_CACHED_ROWS if cursor.is_new else _USUAL_CACHED_ROWS
        cached, pairs = self._pairs.since(pairs, origin, self._by_hash.__contains__, limit)
        limit = MAX_SENT_LOAD_ROWS - max(
            0, min(len(cached), _USUAL_CACHED_ROWS) - _FREE_CACHED_ROWS
        )
        loads, version = self._statements.changed(version, origin, now, limit)
        cursor.on_sent(number, Position(version, pairs), now)
        self.counts["loads.sent"] += len(loads)
        self.counts["cached.sent"] += len(cached)
        return SharedRows(tuple(loads), tuple(cached))

    def tick(self, now: timedelta) -> None:
        """Forget what is not needed any more; call it about every second."""
        self._refresh_index()
        self._sends.expire(now)
        self._learned_until = {
            service: until for service, until in self._learned_until.items() if until > now
        }

    def known(self, now: timedelta) -> dict[str, KnownLoads]:
        """Return by shared service how many endpoints' loads are known, and their median age."""
        ages: dict[str, list[timedelta]] = {}
        totals: Counter[str] = Counter()
        for upstream in self._table.all():
            service = upstream.registration.service
            if not self.is_shared(service):
                continue
            totals[service] += 1
            if upstream.report is not None and now - upstream.report.at <= MAX_FORWARDED_AGE:
                ages.setdefault(service, []).append(now - upstream.report.at)
        return {
            service: KnownLoads(
                len(ages.get(service, ())),
                total,
                median(ages[service]) // _MS if service in ages else None,
            )
            for service, total in sorted(totals.items())
        }

    def _is_source(self, service: str) -> bool:
        """Return whether what this entry hears from endpoints of `service` is sent to others.

        If rows of others sufficed, two entries would continue to share the loads of a service for
        each other after this was switched off.
        """
        return self.all_services or service in self._stating

    def _take_load(self, row: LoadRow, origin: Origin, sent_us: int, forward: bool) -> Verdict:
        if not is_valid(row):
            return "invalid"
        endpoint, running, waiting, work_percent, age_ms = row
        upstream = self._by_hash.get(endpoint)
        if upstream is None:
            return "unknown"
        self._heard_services.add(upstream.registration.service)
        at_us = sent_us - age_ms * _MS_US
        statement = Statement(running, waiting, work_percent, at_us)
        if not self._statements.merge(endpoint, statement, origin, forward=forward):
            return "outdated"
        at = timedelta(0, 0, at_us)
        if upstream.report is None or upstream.report.at < at:
            own = self._sends.count_at(endpoint, at)
            slots = upstream.registration.slots
            report = LoadReport(running, waiting, slots, own, at, work_percent)
            self._on_report(upstream, report)
        return "accepted"

    def _take_cached(self, row: CachedRow, origin: Origin) -> Verdict:
        if not (0 <= row.endpoint <= MAX_HASH and 0 <= row.key <= MAX_HASH):
            return "invalid"
        upstream = self._by_hash.get(row.endpoint)
        if upstream is None:
            return "unknown"
        self._heard_services.add(upstream.registration.service)
        if self._pairs.add(row.endpoint, row.key, origin):
            return "accepted"
        return "outdated"

    def _learn(self, now: timedelta) -> None:
        """Count the services of received rows as shared."""
        for service in self._heard_services:
            self._learned_until[service] = now + LEARNED_TIME
        self._heard_services.clear()

    def _refresh_index(self) -> None:
        if self._membership == self._table.membership:
            return
        self._membership = self._table.membership
        self._by_hash = {_hash_of(upstream): upstream for upstream in self._table.all()}
        self._statements.retain(self._by_hash)
        self._pairs.retain(self._by_hash.__contains__)


def _hash_of(upstream: Upstream) -> int:
    return endpoint_hash(upstream.seed, upstream.registration.started_ms)
