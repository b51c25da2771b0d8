"""Publishes notices about upstreams and crashes, and applies those of all gateways."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.connectivity.cutoff import CutOffEntries
from cardamomloft.core.notices import (
    CrashUnderRequest,
    DatedNotice,
    LinksDown,
    Notice,
    UpstreamCold,
    UpstreamLeaving,
    UpstreamRateLimit,
    ZoneDrain,
)
from cardamomloft.core.quarantine import Quarantine, RecentAnswers
from cardamomloft.core.ratelimits import RateLimits
from cardamomloft.core.registrations import UpstreamIncarnation
from cardamomloft.core.upstreamtable import Upstream, UpstreamTable
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics


class NoticeHandler:
    """Publishes and applies the notices of one gateway.

    Parameters
    ----------
    clock
        Source of time.
    upstream_table
        The registered endpoints.
    rate_limits
        The limits that endpoints have stated.
    metrics
        Counts crashes and quarantined requests.

    Attributes
    ----------
    publish
        Sends notices to all gateways and applies them here.
    on_drain, on_cold
        Called with notices about drains and cold endpoints, and the instant of their issue.
    cut_off : CutOffEntries
        The gateways that have lost their links to the endpoints.
    """

    def __init__(
        self,
        clock: Clock,
        upstream_table: UpstreamTable,
        rate_limits: RateLimits,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._upstream_table = upstream_table
        self._rate_limits = rate_limits
        self._metrics = metrics
        self._quarantine = Quarantine()
        self._answers = RecentAnswers()
        self.cut_off = CutOffEntries()
        self.on_drain: Callable[[ZoneDrain, timedelta], None] = lambda notice, at: None
        self.on_cold: Callable[[UpstreamCold, timedelta], None] = lambda notice, at: None
        self.publish: Callable[[Iterable[Notice]], None] = self._apply_own

    def refused_until(self, fingerprint: Callable[[], str]) -> timedelta | None:
        """Return the instant until which a request is quarantined, None if it is not.

        The fingerprint is computed only if any request is suspected of crashing upstreams.
        """
        if not self._quarantine:
            return None
        return self._quarantine.refused_until(fingerprint(), self._clock.monotonic())

    def record_crash(self, fingerprint: str, upstream: Upstream) -> None:
        """Record that an upstream closed the connection of a request without an answer."""
        self._metrics.count("crashes_under_requests")
        now = self._clock.monotonic()
        self.publish([self._quarantine.crash_notice(fingerprint, upstream.incarnation, now)])

    def record_answer(self, fingerprint: Callable[[], str], *, keep: bool = True) -> None:
        """Record that a request was answered; its fingerprint is computed only if needed.

        With `keep` it is kept for some seconds, and so is what it refers to.
        """
        if keep:
            self._answers.record(fingerprint, self._clock.monotonic())
        if self._quarantine:
            self.publish(self._quarantine.clearing_notices(fingerprint()))

    def record_leaving(self, upstream: Upstream) -> None:
        """Publish that an upstream is about to stop, unless it already counts as leaving."""
        if not upstream.leaving:
            self.publish([UpstreamLeaving(*upstream.incarnation)])

    def record_rate_limit(
        self, upstream: Upstream, per_s: float | None, sent_at: timedelta
    ) -> None:
        """Publish the rate limit that an answer states, or that it states none, if this is new.

        `sent_at` is when the answered request was sent.
        """
        now = self._clock.monotonic()
        notice = self._rate_limits.observe(upstream.incarnation, per_s, sent_at, now)
        if notice is not None:
            self.publish([notice])

    def apply(self, dated: DatedNotice) -> None:
        """Apply a notice of this or another gateway."""
        notice, at = dated
        match notice:
            case CrashUnderRequest():
                self._apply_crash(notice, at)
            case UpstreamLeaving(id=upstream_id, started_ms=started_ms):
                self._apply_leaving(UpstreamIncarnation(upstream_id, started_ms))
            case UpstreamRateLimit():
                self._apply_rate_limit(notice, at)
            case LinksDown():
                self._apply_links(notice, at)
            case ZoneDrain():
                self.on_drain(notice, at)
            case UpstreamCold():
                self.on_cold(notice, at)

    def quarantined(self) -> list[str]:
        """Return the fingerprints of the quarantined requests."""
        return self._quarantine.quarantined(self._clock.monotonic())

    def tick(self) -> None:
        """Discard expired notices; call it periodically."""
        now = self._clock.monotonic()
        self.cut_off.expire(now)
        self._quarantine.expire(now)
        self._answers.expire(now)
        self._rate_limits.expire(now)

    def _apply_own(self, notices: Iterable[Notice]) -> None:
        for notice in notices:
            self.apply(DatedNotice(notice, self._clock.monotonic()))

    def _apply_crash(self, notice: CrashUnderRequest, at: timedelta) -> None:
        started = self._quarantine.apply(notice, at)
        if not notice.excused and self._answers.clear_crash(notice, at):
            self._metrics.count("crashes_cleared")
            self.publish([notice._replace(excused=True)])
        elif started:
            self._metrics.count("requests_quarantined")
            log("request-quarantined", fingerprint=notice.fingerprint, upstream=notice.upstream)

    def _apply_rate_limit(self, notice: UpstreamRateLimit, at: timedelta) -> None:
        if self._rate_limits.apply(notice, at, self._clock.monotonic()):
            log("upstream-rate-limit", id=notice.id, per_s=notice.per_s)

    def _apply_links(self, notice: LinksDown, at: timedelta) -> None:
        if self.cut_off.apply(notice, at):
            log("entry-links", entry=notice.entry, down=notice.down)

    def _apply_leaving(self, incarnation: UpstreamIncarnation) -> None:
        if self._upstream_table.leave(incarnation):
            log("upstream-leaving", id=incarnation.upstream_id, started_ms=incarnation.started_ms)
