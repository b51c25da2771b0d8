"""The zones that are drained, and those whose drain has ended, so that their endpoints are cold."""

import typing as t
from collections.abc import Mapping
from datetime import timedelta


class _DrainEnd(t.NamedTuple):
    """The end of a zone's drain, and how long the endpoints of each service are cold after it."""

    at: timedelta
    cold_times: Mapping[str, timedelta]


class ZoneDrains:
    """What one entry knows of drains.

    Attributes
    ----------
    drained
        The zones that are drained.
    """

    def __init__(self) -> None:
        self.drained: set[str] = set()
        self._ends: dict[str, _DrainEnd] = {}

    def begin(self, zone: str) -> bool:
        """Record that a zone is drained; return whether that is new."""
        if zone in self.drained:
            return False
        self.drained.add(zone)
        self._ends.pop(zone, None)
        return True

    def end(self, zone: str, at: timedelta, cold_times: Mapping[str, timedelta]) -> bool:
        """Record that the drain of a zone has ended; return whether that is new.

        It is new too if the drain itself was not seen, but not if its end is stated again.

        Parameters
        ----------
        zone
            The zone.
        at
            Monotonic instant of the end.
        cold_times
            How long endpoints are cold after it, by service.
        """
        if zone in self._ends:
            return False
        self.drained.discard(zone)
        self._ends[zone] = _DrainEnd(at, cold_times)
        return True

    def cold_until(self, zone: str, service: str) -> timedelta:
        """Return until when an endpoint is cold after the last drain of its zone; 0 if it isn't."""
        end = self._ends.get(zone)
        if end is None or service not in end.cold_times:
            return timedelta(0)
        return end.at + end.cold_times[service]
