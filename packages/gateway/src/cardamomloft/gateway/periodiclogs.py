"""Log lines that a gateway writes periodically."""

from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.selection import Selector
from cardamomloft.core.timekeeping import ClockMonitor
from cardamomloft.gateway.changefeed import ChangeFeed
from cardamomloft.gateway.coldlogs import ColdLogs
from cardamomloft.gateway.forwarding import Forwarder
from cardamomloft.gateway.inforce import PlanInForce
from cardamomloft.gateway.loadstatus import log_loads
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.metrics import Metrics

FIGURES_INTERVAL = timedelta(seconds=2)
"""Interval at which the growth of the counters is logged, a line of up to about 50 counts."""

_MS = timedelta(milliseconds=1)


class PeriodicLogs:
    """Logs what the parts of one gateway have counted and observed.

    Parameters
    ----------
    clock, timekeeper
        Source of time, and what notices that it is irregular.
    metrics, plan, selector, feed, forwarder, cold_logs
        The parts.
    """

    def __init__(
        self,
        clock: Clock,
        timekeeper: ClockMonitor,
        metrics: Metrics,
        plan: PlanInForce,
        selector: Selector,
        feed: ChangeFeed,
        forwarder: Forwarder,
        cold_logs: ColdLogs,
    ) -> None:
        self._clock = clock
        self._timekeeper = timekeeper
        self._metrics = metrics
        self._plan = plan
        self._selector = selector
        self._feed = feed
        self._forwarder = forwarder
        self._cold_logs = cold_logs

    def log_irregular_time(self) -> None:
        """Log if repeated work came late, or if the time of day moved against the steady clock."""
        found = self._timekeeper.check()
        if found is not None:
            log("irregular-time", late_ms=found.late // _MS, stepped_ms=found.stepped // _MS)

    def log_figures(self) -> None:
        """Log the growth of the counters, since the metrics page is lost if the process crashes."""
        grown = self._metrics.take_growth()
        if grown:
            log("figures", **grown)
        if self._feed.usage is not None:
            self._feed.usage.log_limited()
        self._plan.log_splits()
        log_loads(self._selector.shared_loads, self._clock.monotonic())
        self._forwarder.queue.log()
        self._cold_logs.log_sends()
