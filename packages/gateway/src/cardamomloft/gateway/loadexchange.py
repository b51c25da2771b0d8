"""The rows about loads and cached keys in the messages between gateways."""

import typing as t
from collections.abc import Callable, Iterable, Iterator, Mapping
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.loads.cursors import Cursor, Position
from cardamomloft.core.loads.sharedloads import SharedLoads, SharedRows
from cardamomloft.core.loads.statements import Origin
from cardamomloft.core.messages import AdmissionRow, UsageAnswer, UsageReport, ZoneUsage
from cardamomloft.core.model import Incarnation
from cardamomloft.core.registrations import EntryRecord
from cardamomloft.gateway.gossip import Send
from twisted.internet.interfaces import IDelayedCall

UNSOLICITED = 0
"""Number of an answer that no report asked for."""

REPORT_DELAY = timedelta(milliseconds=10)
"""Delay of a report after an endpoint's statement, in which further ones are collected."""

WAKE_INTERVAL = timedelta(seconds=1)
"""Interval of messages to a gateway of the zone that doesn't report."""

MAX_TRANSIT = timedelta(milliseconds=600)
"""Time that is assumed for the way of an answer which arrives too late to tell."""

_NO_PAIRS = 2**62
"""A position after all cached pairs."""

_LONG_AGO = -timedelta(days=1)


class LoadExchange:
    """One gateway's rows in the exchange, and what its peers have of them.

    Parameters
    ----------
    reactor, clock
        Schedules reports; source of time.
    numbers
        The numbers of messages.
    shared
        The loads and cached keys, None if this gateway shares none.
    report
        Sends the reports that are due.
    due_in
        Returns the time until loads may be reported; None if they wait for the interval.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        numbers: Iterator[int],
        shared: SharedLoads | None,
        report: Callable[[], None],
        due_in: Callable[[timedelta], timedelta | None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._numbers = numbers
        self._shared = shared
        self._report = report
        self._due_in = due_in
        self._cursors: dict[Incarnation, Cursor] = {}
        self._woken_at: dict[str, timedelta] = {}
        self._transit = timedelta(0)
        self._timer: IDelayedCall | None = None
        if shared is not None:
            shared.on_stated = self._on_stated

    def is_active(self, now: timedelta) -> bool:
        """Return whether loads are being exchanged."""
        return self._shared is not None and self._shared.is_active(now)

    def tick(self, now: timedelta) -> None:
        """Forget what is not needed any more."""
        if self._shared is not None:
            self._shared.tick(now)

    def stop(self) -> None:
        """Send no further reports."""
        if self._shared is not None:
            self._shared.on_stated = lambda: None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def rows_for(self, cursor: Cursor, origin: Origin, number: int, now: timedelta) -> SharedRows:
        """Return the rows for the message `number` to a peer."""
        if self._shared is None:
            return SharedRows()
        return self._shared.rows_for(cursor, origin, number, now)

    def take(
        self,
        message: UsageReport | UsageAnswer | ZoneUsage,
        origin: Origin,
        now: timedelta,
        transit: timedelta = timedelta(0),
        *,
        forward: bool = True,
    ) -> None:
        """Use the rows of a message."""
        if self._shared is not None and (message.loads or message.cached):
            rows = SharedRows(message.loads, message.cached)
            self._shared.take(rows, origin, now, transit, forward=forward)

    def take_answer(
        self, message: UsageAnswer, sent_at: timedelta | None, now: timedelta, *, forward: bool
    ) -> None:
        """Use the rows of an answer to the report that was sent at `sent_at`, if that is known."""
        if sent_at is not None:
            self._transit = now - sent_at
        late = sent_at is None and message.number != UNSOLICITED
        transit = MAX_TRANSIT if late else self._transit
        self.take(message, Origin.ELSEWHERE, now, transit, forward=forward)

    def answer(
        self,
        sender: Incarnation,
        report: UsageReport,
        admissions: tuple[AdmissionRow, ...],
        now: timedelta,
    ) -> UsageAnswer:
        """Return the answer to a report."""
        if self._shared is None or self._shared.is_empty:
            return UsageAnswer(report.number, admissions)
        cursor = self._cursors.setdefault(sender, Cursor())
        cursor.confirm(report.confirmed)
        number = next(self._numbers)
        rows = self.rows_for(cursor, Origin.ELSEWHERE, number, now)
        return UsageAnswer(report.number, admissions, number, *rows)

    def forget(self, sender: Incarnation) -> None:
        """Forget what a gateway has that reports no more."""
        self._cursors.pop(sender, None)

    def wake_silent(
        self,
        records: Iterable[EntryRecord],
        reported_at: Mapping[Incarnation, timedelta],
        send: Send,
        now: timedelta,
    ) -> None:
        """Send the present loads to gateways that don't report, so that they begin to."""
        if not self.is_active(now):
            return
        self._woken_at = {
            name: at for name, at in self._woken_at.items() if now - at <= WAKE_INTERVAL
        }
        heard = {sender.seat for sender, at in reported_at.items() if now - at <= WAKE_INTERVAL}
        recent = heard | self._woken_at.keys()
        for row in records:
            if row.peers and row.name not in recent:
                self._woken_at[row.name] = now
                send(row.peers, self._wake_up(now))

    def _wake_up(self, now: timedelta) -> UsageAnswer:
        cursor = Cursor(Position(0, _NO_PAIRS))
        rows = self.rows_for(cursor, Origin.ELSEWHERE, UNSOLICITED, now)
        return UsageAnswer(UNSOLICITED, (), 0, *rows)

    def _on_stated(self) -> None:
        if self._timer is not None:
            return
        due_in = self._due_in(self._clock.monotonic())
        if due_in is not None:
            delay_s = max(REPORT_DELAY, due_in).total_seconds()
            self._timer = self._reactor.callLater(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._report()
