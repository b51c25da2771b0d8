"""Exchange of the usage of client accounts, the loads of endpoints and cached keys.

In each zone one gateway is the coordinator: the first, in an order that all know, that answers. The
others report to it, and the coordinators of the zones report to each other. No election is needed:
usage is cumulative by session, and the newer statement of an endpoint wins, so a gateway may change
its coordinator at any time.
"""

import itertools
import typing as t
from collections.abc import Iterable
from datetime import timedelta
from functools import singledispatchmethod

from cardamomloft.core.clientaccounts.quotagate import QuotaGate
from cardamomloft.core.clientaccounts.quotas import (
    AccountUsage,
    Admission,
    QuotaCoordinator,
)
from cardamomloft.core.clientaccounts.reports import Source
from cardamomloft.core.clientaccounts.usage import UsageReceiver, UsageRow
from cardamomloft.core.clock import Clock
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.loads.sharedloads import SharedLoads
from cardamomloft.core.loads.statements import Origin
from cardamomloft.core.messages import (
    AdmissionRow,
    CoordinatorHint,
    Message,
    UsageAnswer,
    UsageReport,
    ZoneUsage,
)
from cardamomloft.core.model import Incarnation
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.gateway.loadexchange import UNSOLICITED, LoadExchange
from cardamomloft.gateway.zonecoordinators import ZoneCoordinators
from cardamomloft.gateway.zonereports import ANSWER_TIMEOUT, ReportTarget, Send, ZoneReports
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics
from twisted.internet.interfaces import IDelayedCall

REPORT_INTERVAL = timedelta(milliseconds=250)
"""Interval of reports. A quota may be exceeded for about three of them before all entries know."""

PUSH_DELAY = timedelta(milliseconds=20)
"""Delay of a report that cannot wait for the interval, in which further changes are collected."""

URGENT_FRACTION = 0.25
"""Fraction of a gateway's share of the burst of an account after which its usage is reported at
once, without waiting for the interval."""

MIN_URGENT_REQUESTS = 2

URGENT_DECREASE = 0.8
"""An admitted fraction below this multiple of the last one is sent to all gateways at once."""

ADMISSIONS_LIFE = timedelta(milliseconds=100)
"""How long computed admissions are used for the answers to several reports."""

ACTING_TIME = timedelta(seconds=2)
"""How long a gateway acts as coordinator after the last report of another one."""

RECEIVER_LIFE = timedelta(seconds=30)
"""How long the counts of a silent reporter are kept."""

MAX_LIMITED_LOGGED = 5
"""Number of limited accounts that are logged at a time, the busiest."""

_MS = timedelta(milliseconds=1)
_PERMILLE = 1000
_LONG_AGO = -timedelta(days=1)


class UsageExchange:
    """One gateway's part in the exchange.

    Parameters
    ----------
    reactor, clock
        Schedules urgent reports; source of time.
    own
        This gateway's record.
    entries
        The recorded gateways.
    is_announced
        Returns whether this gateway is announced to the others.
    send
        Sends a message to a gateway's address.
    coordinator
        Follows the quotas if this gateway coordinates its zone.
    metrics
        Counts messages.
    shared_loads
        The loads and cached keys to exchange; None if this gateway shares none.

    Attributes
    ----------
    gate
        Gets the coordinator's answers about quotas; None if quotas are not enforced. Then messages
        are sent only while loads are shared.
    """

    gate: QuotaGate | None = None

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        own: EntryRecord,
        entries: EntryTable,
        is_announced: t.Callable[[], bool],
        send: Send,
        coordinator: QuotaCoordinator,
        metrics: Metrics,
        shared_loads: SharedLoads | None = None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._own = own
        self._entries = entries
        self._candidates = ZoneCoordinators(own, entries, is_announced)
        self._send = send
        self._coordinator = coordinator
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._loads = LoadExchange(
            reactor, clock, self._numbers, shared_loads, self.report, self._load_due_in
        )
        self._target: ReportTarget | None = None
        self._unreported: dict[str, UsageRow] = {}
        self._zones = ZoneReports(
            own,
            self._candidates,
            coordinator,
            self._loads,
            self._numbers,
            send,
            self._schedule_push,
        )
        self._receivers: dict[Incarnation, UsageReceiver] = {}
        self._reported_at: dict[Incarnation, timedelta] = {}
        self._addresses: dict[Incarnation, str] = {}
        self._push_timer: IDelayedCall | None = None
        self._answered: dict[str, float] = {}
        self._sent_at: dict[int, timedelta] = {}
        self._asked_at = _LONG_AGO
        self._was_acting = False
        self._alone_since = clock.monotonic()
        self._admissions: tuple[AdmissionRow, ...] = ()
        self._admissions_at = _LONG_AGO

    @property
    def coordinator_name(self) -> str:
        """Name of the gateway that coordinates this one's zone."""
        return self._own.name if self._target is None else self._target.record.name

    def usage(self) -> list[AccountUsage]:
        """Return the busiest accounts, if this gateway is a coordinator."""
        return self._coordinator.usage(self._clock.monotonic())

    def reserved_for(self) -> list[str]:
        """Return the silent gateways and zones that quotas are reserved for, as a coordinator."""
        if not self._was_acting:
            return []
        return self._coordinator.silent_sources(self._clock.monotonic())

    def log_limited(self) -> None:
        """Log the busiest accounts of whose requests not all are admitted, as a coordinator."""
        if not self._was_acting:
            return
        limited = [row for row in self.usage() if row.admitted_fraction < 1]
        for row in limited[:MAX_LIMITED_LOGGED]:
            log(
                "account-limited",
                account=row.account,
                rate_per_s=row.rate_per_s,
                wanted_per_s=round(row.wanted_per_s, 1),
                tokens=round(row.tokens, 1),
                admitted_fraction=round(row.admitted_fraction, 3),
                silent=self._coordinator.silent_sources(self._clock.monotonic()),
            )

    def count(self, row: UsageRow) -> None:
        """Count requests at this gateway."""
        before = self._unreported.get(row.account) or UsageRow(row.account, 0, 0)
        total = UsageRow(row.account, before.wanted + row.wanted, before.admitted + row.admitted)
        self._unreported[row.account] = total
        if max(total.wanted, total.admitted) >= MIN_URGENT_REQUESTS and self._is_urgent(total):
            self._schedule_push()

    def stop(self) -> None:
        """Send no further reports."""
        if self._push_timer is not None:
            self._push_timer.cancel()
            self._push_timer = None
        self._loads.stop()

    def report(self) -> None:
        """Send the reports that are due; call it at each `REPORT_INTERVAL`."""
        now = self._clock.monotonic()
        self._loads.tick(now)
        if self.gate is None and not (self._own.peers and self._loads.is_active(now)):
            self._rest(now)
            return
        records = self._candidates.by_zone()
        self._choose_coordinator(records.get(self._own.zone, []), now)
        rows, self._unreported = tuple(self._unreported.values()), {}
        acting = self._target is None or now - self._asked_at <= ACTING_TIME
        if acting and not self._was_acting:
            self._coordinator.resume(now)
        self._was_acting = acting
        if acting:
            self._coordinator.sources = self._candidates.sources(records)
            self._zones.report(records, now, only_loads=self.gate is None)
            others = [row for row in records.get(self._own.zone, []) if row.name != self._own.name]
            self._loads.wake_silent(others, self._reported_at, self._send, now)
        if self._target is not None:
            self._report_to(self._target, rows, now)
        elif self.gate is not None:
            self._coordinator.record(rows, now)
            self._zones.add(rows, now)
            self.gate.apply(self._coordinator.admissions(now), now)
        self._discard_silent(now)

    def receive(self, sender: Incarnation, message: Message) -> None:
        """Handle a message of another gateway."""
        self._receive(message, sender)

    def _rest(self, now: timedelta) -> None:
        """Forget the other gateways, which are not heard of while there is nothing to report."""
        self._target = None
        self._zones.clear()
        self._was_acting = False
        self._alone_since = now
        self._discard_silent(now)

    def _load_due_in(self, now: timedelta) -> timedelta | None:
        """Return the time until loads may be reported; None if this is left to the interval.

        A coordinator gets reports and answers all the time; its messages to other zones collect
        what arrives between two of them.
        """
        if self._target is not None:
            return self._target.cursor.due_in(now)
        return None if self._was_acting else timedelta(0)

    def _is_urgent(self, row: UsageRow) -> bool:
        share = self._coordinator.burst_of(row.account) / max(1, self._entries.count)
        return max(row.wanted, row.admitted) >= URGENT_FRACTION * share

    def _schedule_push(self) -> None:
        if self._push_timer is None:
            delay_s = PUSH_DELAY.total_seconds()
            self._push_timer = self._reactor.callLater(delay_s, self._push)

    def _push(self) -> None:
        self._push_timer = None
        self.report()
        if not self._was_acting:
            return
        now = self._clock.monotonic()
        answer = UsageAnswer(UNSOLICITED, self._admission_rows(now, 0 * ADMISSIONS_LIFE))
        for sender, address in self._addresses.items():
            if now - self._reported_at[sender] <= ANSWER_TIMEOUT:
                self._send(address, answer, sender)

    def _push_decreases(self, rows: Iterable[UsageRow], now: timedelta) -> None:
        """Send admitted fractions at once if one of them has become much lower."""
        for row in rows:
            fraction = self._coordinator.fraction_of(row.account, now)
            if fraction < URGENT_DECREASE * self._answered.get(row.account, 1.0):
                self._schedule_push()
            if fraction >= 1:
                self._answered.pop(row.account, None)
            else:
                self._answered[row.account] = fraction

    def _choose_coordinator(self, candidates: list[EntryRecord], now: timedelta) -> None:
        target = self._target
        if target is not None and now - target.heard_at > ANSWER_TIMEOUT:
            self._candidates.suspect(target.record.name, now)
            self._metrics.count("usage_coordinator_silent")
        if target is None and len(candidates) > 1 and now - self._alone_since > ACTING_TIME:
            # The others report to another gateway, perhaps since they miss this one's record.
            self._candidates.suspect(self._own.name, now)
            self._alone_since = now
        first = self._candidates.first_usable(candidates, now) or self._own
        if first.name == self._own.name or not self._own.peers:
            if target is not None:
                self._alone_since = now
            self._target = None
        elif target is None or target.record != first:
            self._target = ReportTarget(first, next(self._numbers), now)
            if target is not None:
                self._report_again(target.unanswered.values(), now)

    def _report_again(self, reports: Iterable[tuple[UsageRow, ...]], now: timedelta) -> None:
        """Report to the new coordinator what its predecessor has not confirmed."""
        for rows in reports:
            for row in rows:
                self._target.reporter.add(row, now)

    def _report_to(self, target: ReportTarget, rows: Iterable[UsageRow], now: timedelta) -> None:
        for row in rows:
            target.reporter.add(row, now)
        if self.gate is None and not target.cursor.is_due(now):
            return
        number = next(self._numbers)
        self._sent_at[number] = now
        target.unanswered[number] = tuple(rows)
        message = UsageReport(
            number,
            target.session,
            self._own.peers,
            target.reporter.changed(now),
            target.heard_number,
            *self._loads.rows_for(target.cursor, Origin.OWN, number, now),
        )
        self._send(target.record.peers, message, target.incarnation)

    @singledispatchmethod
    def _receive(self, message: Message, sender: Incarnation) -> None:
        self._metrics.count("peer_messages_of_another_kind")

    @_receive.register
    def _(self, message: UsageReport, sender: Incarnation) -> None:
        now = self._asked_at = self._alone_since = self._clock.monotonic()
        receiver = self._receiver_for(sender)
        rows = receiver.take(message.session, message.rows)
        self._addresses[sender] = message.address
        self._loads.take(message, Origin.ZONE, now)
        if self.gate is not None:
            self._coordinator.record_from(Source(entry=sender.seat), rows, now)
        self._zones.add(rows, now)
        admissions = self._admission_rows(now, ADMISSIONS_LIFE)
        answer = self._loads.answer(sender, message, admissions, now)
        self._send(message.address, answer, sender)
        self._push_decreases(rows, now)

    @_receive.register
    def _(self, message: ZoneUsage, sender: Incarnation) -> None:
        now = self._clock.monotonic()
        self._loads.take(message, Origin.ELSEWHERE, now, forward=self._was_acting)
        receiver = self._receiver_for(sender)
        continued = receiver.continues(message.session)
        rows = receiver.take(message.session, message.rows)
        unheard_share = min(1.0, message.unheard / self._entries.count)
        source = Source(zone=message.zone)
        if self.gate is not None:
            self._coordinator.record_from(
                source, rows, now, unheard_share, continued=continued, reporter=sender
            )
        self._push_decreases(rows, now)
        record = self._candidates.record_of(sender.seat)
        if record is not None and self._target is not None and not self._was_acting:
            hint = CoordinatorHint(self._own.zone, self.coordinator_name)
            self._send(record.peers, hint, sender)
            return
        self._zones.on_report(message, sender, record, now)

    @_receive.register
    def _(self, message: CoordinatorHint, sender: Incarnation) -> None:
        record = self._candidates.record_of(message.name)
        self._zones.replace(message.zone, sender.seat, record, self._clock.monotonic())

    @_receive.register
    def _(self, message: UsageAnswer, sender: Incarnation) -> None:
        now, target = self._clock.monotonic(), self._target
        sent_at = self._sent_at.pop(message.number, None)
        self._loads.take_answer(message, sent_at, now, forward=self._was_acting)
        if target is None or target.record.name != sender.seat:
            return
        if target.incarnation not in (None, sender):
            return
        target.incarnation = sender
        target.cursor.confirm(message.number)
        if message.own_number:
            target.heard_number = message.own_number
        if sent_at is not None:
            target.heard_at = now
            target.unanswered = {
                number: rows
                for number, rows in target.unanswered.items()
                if number > message.number
            }
        if self.gate is not None:
            rows = (
                Admission(row.account, row.permille / _PERMILLE, row.wait_ms * _MS)
                for row in message.rows
            )
            if message.number == UNSOLICITED:
                self.gate.update(rows)
            elif sent_at is not None:
                self.gate.apply(rows, sent_at)

    def _receiver_for(self, sender: Incarnation) -> UsageReceiver:
        self._metrics.count("usage_reports")
        self._reported_at[sender] = self._clock.monotonic()
        return self._receivers.setdefault(sender, UsageReceiver())

    def _admission_rows(self, now: timedelta, max_age: timedelta) -> tuple[AdmissionRow, ...]:
        if self.gate is not None and now - self._admissions_at >= max_age:
            self._admissions_at = now
            self._admissions = tuple(
                AdmissionRow(row.account, int(row.fraction * _PERMILLE), row.wait // _MS)
                for row in self._coordinator.admissions(now)
            )
        return self._admissions

    def _discard_silent(self, now: timedelta) -> None:
        for sender, at in list(self._reported_at.items()):
            if now - at > RECEIVER_LIFE:
                del self._reported_at[sender], self._receivers[sender]
                self._addresses.pop(sender, None)
                self._loads.forget(sender)
        for number, at in list(self._sent_at.items()):
            if now - at > ANSWER_TIMEOUT:
                del self._sent_at[number]
