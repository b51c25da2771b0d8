"""What entries tell each other about drains and cold endpoints.

An entry that the store does not answer learns of them only in this way. Any number of entries may
read the same change at about the same time: they issue the same notice, which spreads as one.
"""

import typing as t
from datetime import timedelta

from cardamomloft.core.notices import COLD_RETENTION, UpstreamCold, ZoneDrain
from cardamomloft.core.registrations import UpstreamIncarnation

_MS = timedelta(milliseconds=1)

_SETTLE_TIME = timedelta(seconds=10)
"""Time after the end of a drain in which the registrations of its zone state cold times."""


class DatedDrain(t.NamedTuple):
    """The beginning or end of a drain, with the monotonic instant at which an entry read it."""

    notice: ZoneDrain
    at: timedelta


class _DatedCold(t.NamedTuple):
    notice: UpstreamCold
    at: timedelta

    @property
    def until(self) -> timedelta:
        """Return until when the endpoint is cold."""
        return self.at + self.notice.left_ms * _MS


class ColdAnnouncements:
    """The latest notices about drains and cold endpoints, of this entry and of others."""

    def __init__(self) -> None:
        self._drains: dict[str, DatedDrain] = {}
        self._cold: dict[UpstreamIncarnation, _DatedCold] = {}

    def drain_notice(self, zone: str, *, drained: bool) -> ZoneDrain | None:
        """Return the notice to publish as a drain begins or ends, None if it is known already."""
        known = self._drains.get(zone)
        if known is None:
            return ZoneDrain(zone, 1, drained)
        if known.notice.drained == drained:
            return None
        return ZoneDrain(zone, known.notice.serial + 1, drained)

    def apply_drain(self, notice: ZoneDrain, at: timedelta) -> bool:
        """Apply a notice that was issued at the instant `at`; return whether it is the latest."""
        known = self._drains.get(notice.zone)
        if known is not None and known.notice.rank >= notice.rank:
            return False
        self._drains[notice.zone] = DatedDrain(notice, at)
        return True

    def drains(self) -> list[DatedDrain]:
        """Return the latest notice about each zone."""
        return list(self._drains.values())

    def has_drain(self, zone: str, now: timedelta) -> bool:
        """Return whether a zone is drained or was so a moment ago, as they say."""
        known = self._drains.get(zone)
        return known is not None and (known.notice.drained or now - known.at < _SETTLE_TIME)

    def cold_notice(
        self, incarnation: UpstreamIncarnation, left: timedelta, now: timedelta
    ) -> UpstreamCold | None:
        """Return the notice to publish of an endpoint that is cold, None if it is known already."""
        known = self._cold.get(incarnation)
        if known is not None and known.until > now:
            return None
        serial = 1 if known is None else known.notice.serial + 1
        return UpstreamCold(*incarnation, serial, left // _MS)

    def apply_cold(self, notice: UpstreamCold, at: timedelta) -> timedelta:
        """Apply a notice; return the monotonic instant until which the endpoint is cold."""
        incarnation = UpstreamIncarnation(notice.id, notice.started_ms)
        known = self._cold.get(incarnation)
        if known is None or known.notice.rank < notice.rank:
            self._cold[incarnation] = _DatedCold(notice, at)
        return self._cold[incarnation].until

    def expire(self, now: timedelta) -> None:
        """Discard notices that no entry keeps any more; call it periodically."""
        for zone, drain in list(self._drains.items()):
            if now - drain.at > COLD_RETENTION:
                del self._drains[zone]
        for incarnation, cold in list(self._cold.items()):
            if now - cold.at > COLD_RETENTION:
                del self._cold[incarnation]
