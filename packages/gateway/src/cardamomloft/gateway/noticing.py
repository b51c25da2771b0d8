"""What a gateway notices about requests and upstreams, and what it does with others' notices."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.notices import CrashUnderRequest, Dated, Notice, UpstreamLeaving
from cardamomloft.core.quarantine import Quarantine
from cardamomloft.core.registrations import Life
from cardamomloft.core.upstreambook import Upstream, UpstreamBook
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics


class Noticing:
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
    tell
        Lets all gateways know of notices, and applies them here.
    """

    def __init__(self, clock: Clock, book: UpstreamBook, metrics: Metrics) -> None:
        self._clock = clock
        self._book = book
        self._metrics = metrics
        self._quarantine = Quarantine()
        self.tell: Callable[[Iterable[Notice]], None] = self._apply_own

    def refused_until(self, fingerprint: Callable[[], str]) -> timedelta | None:
        """Return until when a request is sent to no upstream; its fingerprint only if needed."""
        if not self._quarantine:
            return None
        return self._quarantine.refused_until(fingerprint(), self._clock.monotonic())

    def crashed(self, fingerprint: str, upstream: Upstream) -> None:
        """Note that an upstream ended the connection of a request without an answer."""
        self._metrics.count("crashes_under_requests")
        now = self._clock.monotonic()
        self.tell([self._quarantine.crashed(fingerprint, upstream.life, now)])

    def answered(self, fingerprint: Callable[[], str]) -> None:
        """Note that a request was answered; its fingerprint only if needed."""
        if self._quarantine:
            self.tell(self._quarantine.answered(fingerprint()))

    def leaving(self, upstream: Upstream) -> None:
        """Note that an upstream has said that it leaves."""
        if not upstream.leaving:
            self.tell([UpstreamLeaving(*upstream.life)])

    def apply(self, dated: Dated) -> None:
        """Do what a notice asks for."""
        notice, at = dated
        match notice:
            case CrashUnderRequest():
                self._apply_crash(notice, at)
            case UpstreamLeaving(id=upstream_id, started_ms=started_ms):
                self._apply_leaving(Life(upstream_id, started_ms))

    def refused(self) -> list[str]:
        """Return the fingerprints of the requests that are sent to no upstream."""
        return self._quarantine.refused(self._clock.monotonic())

    def tick(self) -> None:
        """Forget what is too old; to be called now and then."""
        self._quarantine.forget(self._clock.monotonic())

    def _apply_own(self, notices: Iterable[Notice]) -> None:
        for notice in notices:
            self.apply(Dated(notice, self._clock.monotonic()))

    def _apply_crash(self, notice: CrashUnderRequest, at: timedelta) -> None:
        if self._quarantine.apply(notice, at):
            self._metrics.count("requests_quarantined")
            log("request-quarantined", fingerprint=notice.fingerprint, upstream=notice.upstream)

    def _apply_leaving(self, life: Life) -> None:
        if self._book.leave(life):
            log("upstream-leaving", id=life.upstream_id, started_ms=life.started_ms)
