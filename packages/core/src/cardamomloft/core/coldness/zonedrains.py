"""The zones that are drained, and those whose drain has ended, so that their endpoints are cold."""

from datetime import timedelta


class ZoneDrains:
    """What one entry knows of drains.

    Attributes
    ----------
    drained
        The zones that are drained.
    """

    def __init__(self) -> None:
        self.drained: set[str] = set()
        self._ended_at: dict[str, timedelta] = {}

    def begin(self, zone: str) -> bool:
        """Record that a zone is drained; return whether that is new."""
        if zone in self.drained:
            return False
        self.drained.add(zone)
        return True

    def end(self, zone: str, at: timedelta) -> bool:
        """Record that the drain of a zone ended at a monotonic instant; return whether it is new.

        It is new too if the drain itself was not seen, but not if its end is stated again.
        """
        if zone not in self.drained and zone in self._ended_at:
            return False
        self.drained.discard(zone)
        self.record_end(zone, at)
        return True

    def record_end(self, zone: str, at: timedelta) -> None:
        """Record when a drain ended, though the zone may still count as drained here."""
        self._ended_at[zone] = max(at, self._ended_at.get(zone, at))

    def ended_at(self, zone: str) -> timedelta:
        """Return the monotonic instant at which the last drain ended, 0 if none is known."""
        return self._ended_at.get(zone, timedelta(0))

    def cold_until(self, zone: str, cold_time: timedelta) -> timedelta:
        """Return until when an endpoint is cold that is so for a time after a drain of its zone."""
        ended_at = self._ended_at.get(zone)
        return timedelta(0) if ended_at is None else ended_at + cold_time

    def ended(self) -> list[str]:
        """Return the zones of which the end of a drain is known."""
        return list(self._ended_at)
