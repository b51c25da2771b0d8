"""Polls the VM list; entries that poll it seldom also get changes as notices from stewards."""

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
"""Poll interval of an ordinary entry, per entry of the roster."""


class VmWatch:
    """The VM list as one entry knows it.

    Parameters
    ----------
    vms
        Fetches the list.
    clock
        Source of time.
    metrics
        Counts failed fetches and malformed notices.
    on_rows
        Called with all known rows after each fetch and each notice.
    send
        Sends notices to peers.

    Attributes
    ----------
    fetched_at
        When the list was last fetched, monotonic; None before.
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
        self._next_fetch_at = timedelta(0)
        self._rows: dict[str, VmRow] = {}

    def poll(
        self, roster_size: int, *, at_each_call: bool, notify: Sequence[str] = ()
    ) -> "Deferred[None] | None":
        """Fetch the list if a fetch is due.

        Parameters
        ----------
        roster_size
            Number of entries in the roster; the poll interval is proportional to it.
        at_each_call
            Whether to fetch at each call, as stewards and their standbys do.
        notify
            Seats that get a notice of each changed row.
        """
        now = self._clock.monotonic()
        if now < self._next_fetch_at:
            return None
        if not at_each_call:
            self._next_fetch_at = now + roster_size * POLL_INTERVAL_PER_ENTRY
        return ensureDeferred(self._fetch(notify))

    def on_notice(self, notice: VmNotice) -> None:
        """Apply a changed row from a steward; a malformed one is counted and ignored."""
        try:
            row = VmRow(notice.name, notice.state, datetime.fromisoformat(notice.at))
        except ValueError:
            self._metrics.count("messages-ignored")
            return
        self._rows[row.name] = row
        self._on_rows(list(self._rows.values()))

    async def _fetch(self, notify: Sequence[str]) -> None:
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
        # Ordered by seat, so that each connection is opened once.
        self._send([Outgoing(seat, notice) for seat in notify for notice in notices])
        self._on_rows(rows)
