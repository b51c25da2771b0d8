"""The entries that have lost their links to the endpoints, as they report it themselves."""

from datetime import timedelta

from cardamomloft.core.notices import LINKS_DOWN_RETENTION, LinksDown

REPORT_INTERVAL = LINKS_DOWN_RETENTION / 3
"""Interval at which an entry reports again that its links are down."""


class CutOffEntries:
    """The entries whose links are down, those that have not reported it lately left out.

    Attributes
    ----------
    version
        Increases whenever the entries change.
    """

    def __init__(self) -> None:
        self.version = 0
        self._until: dict[str, timedelta] = {}

    def __contains__(self, name: object) -> bool:
        return name in self._until

    def names(self) -> frozenset[str]:
        """Return the names of the entries."""
        return frozenset(self._until)

    def apply(self, report: LinksDown, at: timedelta) -> bool:
        """Apply a report that was made at a monotonic instant; return whether it changes anything.

        Reports of one entry are applied in order.
        """
        known = report.entry in self._until
        if report.down:
            self._until[report.entry] = at + LINKS_DOWN_RETENTION
        elif known:
            del self._until[report.entry]
        changed = known != report.down
        self.version += changed
        return changed

    def expire(self, now: timedelta) -> None:
        """Remove the entries that have not reported lately; call it periodically."""
        expired = [name for name, until in self._until.items() if until <= now]
        for name in expired:
            del self._until[name]
        self.version += bool(expired)


class LinkReports:
    """The reports that one entry makes about its own links.

    Parameters
    ----------
    entry
        Name of the entry.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._reported = False
        self._reported_at = timedelta(0)

    def due(self, down: bool, now: timedelta) -> LinksDown | None:
        """Return the report to publish now, None if none is due."""
        is_news = down != self._reported
        if not is_news and not (down and now - self._reported_at >= REPORT_INTERVAL):
            return None
        self._reported, self._reported_at = down, now
        return LinksDown(self._entry, now // timedelta(microseconds=1), down)
