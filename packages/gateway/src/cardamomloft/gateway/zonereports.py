"""Reports of one zone's coordinator to those of the other zones."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from datetime import timedelta

from cardamomloft.core.clientaccounts.quotas import RECENT_TIME, QuotaCoordinator
from cardamomloft.core.clientaccounts.usage import UsageReporter, UsageRow
from cardamomloft.core.loads.cursors import Cursor
from cardamomloft.core.loads.statements import Origin
from cardamomloft.core.messages import Message, ZoneUsage
from cardamomloft.core.model import Incarnation
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.gateway.loadexchange import LoadExchange
from cardamomloft.gateway.zonecoordinators import ZoneCoordinators

ANSWER_TIMEOUT = timedelta(milliseconds=600)
"""Time without an answer after which a coordinator is not used any more."""

URGENT_ZONE_FRACTION = 0.1
MIN_URGENT_ZONE_REQUESTS = 3
"""Requests of an account in a zone that are reported to the other zones at once: this fraction of
its burst, and at least this number."""

Send = Callable[[str, Message, Incarnation | None], bool]
"""Sends a message to an address, for one incarnation or, without it, for any process there."""


class ReportTarget:
    """A gateway that gets reports, and when and with which number it was last heard of.

    Once it has answered, reports are addressed to that `incarnation`. A process that has taken its
    place would count the session from its start, and so charge accounts for requests of hours.
    """

    def __init__(self, record: EntryRecord, session: int, now: timedelta) -> None:
        self.record = record
        self.session = session
        self.heard_at = now
        self.heard_number = 0
        self.incarnation: Incarnation | None = None
        self.unanswered: dict[int, tuple[UsageRow, ...]] = {}
        self.reporter = UsageReporter()
        self.cursor = Cursor()


class ZoneReports:
    """What a coordinator reports to the other zones, and to which gateways there.

    Parameters
    ----------
    own
        This gateway's record.
    candidates
        The gateways that may coordinate their zones.
    coordinator
        Follows the quotas.
    loads
        Adds the rows about loads and cached keys.
    numbers
        The numbers of messages and sessions.
    send
        Sends a message to a gateway's address.
    on_urgent
        Called when usage must be reported without waiting for the interval.
    """

    def __init__(
        self,
        own: EntryRecord,
        candidates: ZoneCoordinators,
        coordinator: QuotaCoordinator,
        loads: LoadExchange,
        numbers: Iterator[int],
        send: Send,
        on_urgent: Callable[[], None],
    ) -> None:
        self._own = own
        self._candidates = candidates
        self._coordinator = coordinator
        self._loads = loads
        self._numbers = numbers
        self._send = send
        self._on_urgent = on_urgent
        # While entries of a zone change their coordinator, it may have several.
        self._zones: dict[str, dict[str, ReportTarget]] = {}
        self._unforwarded: Counter[str] = Counter()
        self._recent: list[tuple[timedelta, UsageRow]] = []

    def report(
        self, records: Mapping[str, list[EntryRecord]], now: timedelta, *, only_loads: bool
    ) -> None:
        """Send the reports; with `only_loads` just those that may have loads again."""
        self._unforwarded.clear()
        unheard = 0 if only_loads else self._coordinator.unheard_entries(now)
        self._zones = {
            zone: self._zones.get(zone, {}) for zone in records if zone != self._own.zone
        }
        for zone, targets in self._zones.items():
            for target in list(targets.values()):
                if now - target.heard_at > ANSWER_TIMEOUT:
                    self._candidates.suspect(target.record.name, now)
                    del targets[target.record.name]
            if not targets:
                self._add_target(targets, records[zone], now)
            for target in targets.values():
                if not only_loads or target.cursor.is_due(now):
                    message = self._message(target, unheard, now)
                    self._send(target.record.peers, message, target.incarnation)

    def add(self, rows: Iterable[UsageRow], now: timedelta) -> None:
        """Add usage of this zone to the next reports."""
        rows = tuple(rows)
        for targets in self._zones.values():
            for target in targets.values():
                for row in rows:
                    target.reporter.add(row, now)
        self._recent_rows(now)
        for row in rows:
            self._recent.append((now, row))
            self._unforwarded[row.account] += max(row.wanted, row.admitted)
            urgent = URGENT_ZONE_FRACTION * self._coordinator.burst_of(row.account)
            if self._unforwarded[row.account] >= max(urgent, MIN_URGENT_ZONE_REQUESTS):
                self._on_urgent()

    def on_report(
        self, message: ZoneUsage, sender: Incarnation, record: EntryRecord | None, now: timedelta
    ) -> None:
        """Record that the coordinator of another zone was heard; `record` is its record, if any."""
        targets = self._zones.setdefault(message.zone, {})
        target = targets.get(sender.seat)
        if record is not None and (target is None or target.incarnation not in (None, sender)):
            target = targets[sender.seat] = self._new_target(record, now)
        if target is None:
            return
        target.heard_at, target.heard_number = now, message.number
        target.incarnation = sender
        target.cursor.confirm(message.confirmed)

    def replace(self, zone: str, name: str, record: EntryRecord | None, now: timedelta) -> None:
        """Report to another gateway of a zone than to the one called `name`."""
        targets = self._zones.setdefault(zone, {})
        targets.pop(name, None)
        if record is not None and record.name not in targets:
            targets[record.name] = self._new_target(record, now)

    def clear(self) -> None:
        """Forget the gateways of the other zones."""
        self._zones.clear()

    def _message(self, target: ReportTarget, unheard: int, now: timedelta) -> ZoneUsage:
        number = next(self._numbers)
        return ZoneUsage(
            self._own.zone,
            target.session,
            unheard,
            target.reporter.changed(now),
            number,
            target.heard_number,
            *self._loads.rows_for(target.cursor, Origin.ZONE, number, now),
        )

    def _add_target(
        self, targets: dict[str, ReportTarget], candidates: Iterable[EntryRecord], now: timedelta
    ) -> None:
        first = self._candidates.first_usable(candidates, now)
        if first is not None:
            targets[first.name] = self._new_target(first, now)

    def _new_target(self, record: EntryRecord, now: timedelta) -> ReportTarget:
        """Return a new target, which gets the usage of the last moments, since it may lack it."""
        target = ReportTarget(record, next(self._numbers), now)
        for row in self._recent_rows(now):
            target.reporter.add(row, now)
        return target

    def _recent_rows(self, now: timedelta) -> list[UsageRow]:
        self._recent = [(at, row) for at, row in self._recent if now - at <= RECENT_TIME]
        return [row for _, row in self._recent]
