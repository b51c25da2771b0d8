"""Applies drains of zones to a gateway's table: those of the store, and those others announce.

What the store says holds. While neither it nor a relay answers, drains count that other gateways
have announced since this gateway's data was complete.
"""

from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.coldness.announcements import ColdAnnouncements, DatedDrain
from cardamomloft.core.notices import Notice, UpstreamCold, ZoneDrain
from cardamomloft.core.registrations import UpstreamIncarnation
from cardamomloft.core.upstreamtable import Upstream, UpstreamTable
from cardamomloft.gateway.changefeed import ChangeFeed
from cardamomloft.gateway.noticehandler import NoticeHandler
from cardamomloft.runtime.logs import log


class DrainView:
    """The drains that are in force at one gateway.

    Parameters
    ----------
    clock
        Source of time.
    upstream_table
        The registered endpoints.

    Attributes
    ----------
    publish
        Sends notices to all gateways.
    is_outdated
        Returns whether neither the store nor a relay has answered in time.
    complete_until
        Returns the monotonic instant up to which the data of the store is complete; None before
        the first answer.
    """

    def __init__(self, clock: Clock, upstream_table: UpstreamTable) -> None:
        self._clock = clock
        self._table = upstream_table
        self._announcements = ColdAnnouncements()
        self._stored: set[str] = set()
        self.publish: Callable[[list[Notice]], None] = lambda notices: None
        self.is_outdated: Callable[[], bool] = lambda: False
        self.complete_until: Callable[[], timedelta | None] = lambda: None

    def zones(self) -> set[str]:
        """Return the zones that are drained by the store's last word, or by what is in force."""
        return self._stored | self._table.drained_zones

    # The store.

    def apply_stored(self, zone: str, *, drained: bool, announce: bool) -> None:
        """Apply the beginning or end of a drain that was read in the store.

        It is announced to the other gateways if it is new here and `announce` is set.
        """
        now = self._clock.monotonic()
        if drained:
            self._stored.add(zone)
        else:
            self._stored.discard(zone)
        if not self._apply(zone, drained, now, "store"):
            return
        notice = self._announcements.drain_notice(zone, drained=drained) if announce else None
        if notice is not None:
            self.publish([notice])

    def announce_cold(self, upstream: Upstream) -> None:
        """Tell the others that a running endpoint has become cold.

        That of a zone which is or was drained needs no notice of its own.
        """
        now, zone = self._clock.monotonic(), upstream.registration.zone
        if zone in self._table.drained_zones or self._announcements.has_drain(zone, now):
            return
        left = upstream.cold_until - now
        notice = self._announcements.cold_notice(upstream.incarnation, left, now)
        if notice is not None:
            self.publish([notice])

    # Other gateways.

    def apply_drain_notice(self, notice: ZoneDrain, at: timedelta) -> None:
        """Apply a notice of this or another gateway, issued at the monotonic instant `at`.

        That endpoints are cold holds at once. Whether a zone is drained, the store says while it
        answers.
        """
        if not self._announcements.apply_drain(notice, at):
            return
        if not notice.drained:
            self._table.record_drain_end(notice.zone, at, self._clock.monotonic())
        self._apply_announced()
        self._record_unseen_ends()

    def apply_cold_notice(self, notice: UpstreamCold, at: timedelta) -> None:
        """Apply a notice of this or another gateway, issued at the monotonic instant `at`."""
        until = self._announcements.apply_cold(notice, at)
        incarnation = UpstreamIncarnation(notice.id, notice.started_ms)
        self._table.mark_cold(incarnation, until, self._clock.monotonic())

    def tick(self) -> None:
        """Apply what became due, and return to what the store says once it answers."""
        self._announcements.expire(self._clock.monotonic())
        if self.is_outdated():
            self._apply_announced()
            return
        now = self._clock.monotonic()
        later = {notice.zone for notice, _ in self._announced_since()}
        for zone in (self._table.drained_zones ^ self._stored) - later:
            self._apply(zone, zone in self._stored, now, "store")
        self._record_unseen_ends()

    def _record_unseen_ends(self) -> None:
        """Count zones as restored that another gateway saw drained and the store doesn't any more.

        A process that starts between the end of a drain and the notice of it has not seen either.
        """
        complete_until = self.complete_until()
        if complete_until is None or self.is_outdated():
            return
        now = self._clock.monotonic()
        for notice, at in self._announcements.drains():
            zone = notice.zone
            known = zone in self._stored or self._table.has_drain_ended_since(zone, at)
            if notice.drained and at <= complete_until and not known:
                self._table.record_drain_end(zone, now, now)

    def _apply_announced(self) -> None:
        """Apply the drains announced since the data was complete, if it is outdated."""
        if self.is_outdated():
            for notice, at in self._announced_since():
                self._apply(notice.zone, notice.drained, at, "notice")

    def _announced_since(self) -> list[DatedDrain]:
        """Return the notices that are later than this gateway's data."""
        complete_until = self.complete_until()
        if complete_until is None:
            return []
        return [drain for drain in self._announcements.drains() if drain.at > complete_until]

    def _apply(self, zone: str, drained: bool, at: timedelta, source: str) -> bool:
        """Apply the state of a zone; return whether it is new."""
        if drained:
            is_new = self._table.drain_zone(zone)
        else:
            is_new = self._table.restore_zone(zone, at, self._clock.monotonic())
        if is_new:
            log("zone-drained" if drained else "zone-restored", zone=zone, source=source)
        return is_new


def connect_drains(drains: DrainView, feed: ChangeFeed, notice_handler: NoticeHandler) -> None:
    """Connect the drains of a gateway to the exchange of notices."""
    drains.publish = feed.gossip.publish
    drains.is_outdated = feed.is_outdated
    drains.complete_until = feed.complete_until
    notice_handler.on_drain = drains.apply_drain_notice
    notice_handler.on_cold = drains.apply_cold_notice
