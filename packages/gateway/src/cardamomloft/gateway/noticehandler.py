"""What a gateway notices about requests and upstreams, and what it does with others' notices."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.notices import CrashUnderRequest, DatedNotice, Notice, UpstreamLeaving
from cardamomloft.core.quarantine import Quarantine
from cardamomloft.core.registrations import UpstreamIncarnation
from cardamomloft.core.upstreamtable import Upstream, UpstreamTable
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics


class NoticeHandler:
    """The notices of one gateway.

    Parameters
    ----------
    clock
        Source of time.
    book
        The registered endpoints.
    metrics
        Counts what is noticed.

    Attributes
    ----------
    publish
        Lets all gateways know of notices, and applies them here.
    """

    def __init__(self, clock: Clock, book: UpstreamTable, metrics: Metrics) -> None:
        self._clock = clock
        self._book = book
        self._metrics = metrics
        self._quarantine = Quarantine()
        self.publish: Callable[[Iterable[Notice]], None] = self._apply_own

    def refused_until(self, fingerprint: Callable[[], str]) -> timedelta | None:
        """Return until when a request is sent to no upstream; its fingerprint only if needed."""
        if not self._quarantine:
            return None
        return self._quarantine.refused_until(fingerprint(), self._clock.monotonic())

    def crashed(self, fingerprint: str, upstream: Upstream) -> None:
        """Note that an upstream ended the connection of a request without an answer."""
        self._metrics.count("crashes_under_requests")
        now = self._clock.monotonic()
        self.publish([self._quarantine.crash_notice(fingerprint, upstream.incarnation, now)])

    def answered(self, fingerprint: Callable[[], str]) -> None:
        """Note that a request was answered; its fingerprint only if needed."""
        if self._quarantine:
            self.publish(self._quarantine.clearing_notices(fingerprint()))

    def leaving(self, upstream: Upstream) -> None:
        """Note that an upstream has said that it leaves."""
        if not upstream.leaving:
            self.publish([UpstreamLeaving(*upstream.incarnation)])

    def apply(self, dated: DatedNotice) -> None:
        """Do what a notice asks for."""
        notice, at = dated
        match notice:
            case CrashUnderRequest():
                self._apply_crash(notice, at)
            case UpstreamLeaving(id=upstream_id, started_ms=started_ms):
                self._apply_leaving(UpstreamIncarnation(upstream_id, started_ms))

    def quarantined(self) -> list[str]:
        """Return the fingerprints of the requests that are sent to no upstream."""
        return self._quarantine.quarantined(self._clock.monotonic())

    def tick(self) -> None:
        """Forget what is too old; to be called now and then."""
        self._quarantine.expire(self._clock.monotonic())

    def _apply_own(self, notices: Iterable[Notice]) -> None:
        for notice in notices:
            self.apply(DatedNotice(notice, self._clock.monotonic()))

    def _apply_crash(self, notice: CrashUnderRequest, at: timedelta) -> None:
        if self._quarantine.apply(notice, at):
            self._metrics.count("requests_quarantined")
            log("request-quarantined", fingerprint=notice.fingerprint, upstream=notice.upstream)

    def _apply_leaving(self, incarnation: UpstreamIncarnation) -> None:
        if self._book.leave(incarnation):
            log("upstream-leaving", id=incarnation.upstream_id, started_ms=incarnation.started_ms)
