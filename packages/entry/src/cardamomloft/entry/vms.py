"""Watching the platform's VM list: stewards often, all others seldom and by notices."""

from collections.abc import Callable, Sequence
from datetime import datetime, timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.membership import VmRow
from cardamomloft.core.messages import Outgoing, VmNotice
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.store.vms import VmList
from expression import Result
from twisted.internet.defer import Deferred, ensureDeferred

POLL_INTERVAL_PER_ENTRY = timedelta(milliseconds=100)


class VmWatch:
    """One entry's knowledge of the list.

    Parameters
    ----------
    on_rows
        Told of the whole list after each fetch and notice.
    send
        Sends notices to peers.

    Attributes
    ----------
    fetched_at
        When the list was last fetched, monotonic.
    """

    def __init__(
        self,
        vms: VmList,
        clock: Clock,
        metrics: Metrics,
        on_rows: Callable[[list[VmRow]], None],
        send: Callable[[list[Outgoing]], None],
    ) -> None:
        self.fetched_at: timedelta | None = None
        self._vms = vms
        self._clock = clock
        self._metrics = metrics
        self._on_rows = on_rows
        self._send = send
        self._due = timedelta(0)
        self._rows: dict[str, VmRow] = {}

    def poll(
        self, roster: int, *, watches: bool, tells: Sequence[str] = ()
    ) -> "Deferred[None] | None":
        """Fetch the list if that is due.

        Parameters
        ----------
        roster
            Entries in the roster; the more there are, the seldomer each one asks.
        watches
            Whether this entry is a steward or stands in for one, and asks at each call.
        tells
            Seats that are to hear of changed rows from here.
        """
        now = self._clock.monotonic()
        if now < self._due:
            return None
        if not watches:
            self._due = now + roster * POLL_INTERVAL_PER_ENTRY
        return ensureDeferred(self._fetch(tells))

    def on_notice(self, notice: VmNotice) -> None:
        """Take a changed row from a steward."""
        try:
            row = VmRow(notice.name, notice.state, datetime.fromisoformat(notice.at))
        except ValueError:
            self._metrics.count("messages-ignored")
            return
        self._rows[row.name] = row
        self._on_rows(list(self._rows.values()))

    async def _fetch(self, tells: Sequence[str]) -> None:
        match await self._vms.fetch():
            case Result(tag="ok", ok=rows):
                pass
            case _:
                self._metrics.count("vm-list-failures")
                return
        self.fetched_at = self._clock.monotonic()
        changed = [row for row in rows if self._rows and self._rows.get(row.name) != row]
        self._rows.update((row.name, row) for row in rows)
        notices = [VmNotice(row.name, row.state, row.at.isoformat()) for row in changed]
        # By seat first, so that each link is opened once however many rows there are.
        self._send([Outgoing(seat, notice) for seat in tells for notice in notices])
        self._on_rows(rows)
