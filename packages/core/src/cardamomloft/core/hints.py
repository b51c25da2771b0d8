"""State of one upstream endpoint as seen by an entry: its own observations and reported hints.

Observations come from this entry's own requests: how many are in flight, how the last ones ended
and how long they took. Reported load and health lag and can be wrong, so they only affect the order
of endpoints and eject a bounded fraction of a zone. Reports older than `MAX_REPORT_AGE` are
ignored.
"""

import statistics
import typing as t
from collections.abc import Iterable, Sequence
from datetime import timedelta

from cardamomloft.core.model import Endpoint, Request

MAX_REPORT_AGE = timedelta(seconds=5)
"""Age after which a load report is ignored."""

FAILURES_TO_EJECT = 3
"""Consecutive failures after which an endpoint counts as failing, and is ejected if permitted."""

MAX_EJECTED_FRACTION = 0.5
"""Fraction of a service's endpoints in a zone that may be ejected at one time."""

PROBE_GRACE = timedelta(seconds=5)
"""Time for which only idempotent requests probe an endpoint after its ejection."""

_INITIAL_EJECTION = timedelta(seconds=1)
_MAX_EJECTION = timedelta(seconds=30)
_INITIAL_SHED_BACKOFF = timedelta(milliseconds=50)
_MAX_SHED_BACKOFF = timedelta(seconds=1)
_IDLE_UNTIL_COLD = timedelta(seconds=60)
_SLOW_FACTOR = 2.0
_OUTLIER_FACTOR = 3.0
_SLOW_ANSWERS_PER_INCREASE = 16
_LATENCY_EWMA_WEIGHT = 1 / 8
_DEFAULT_LOAD = 0.5

ReportState = t.Literal["ready", "draining", "cold"]


class LoadReport(t.NamedTuple):
    """Load reported by an endpoint; the report was requested at the monotonic instant `at`."""

    running: int
    slots: int
    state: ReportState
    at: timedelta


class SlowStart:
    """Bounds the requests in flight at a cold endpoint.

    The bound starts at one and grows by one with each answer about as fast as those of warm peers.
    Of slower answers only one in several raises it, so that an endpoint that stays slow still warms
    up.
    """

    def __init__(self) -> None:
        self.allowance: int | None = None
        self._slow_answers = 0

    def begin(self) -> None:
        """Treat the endpoint as cold from now on."""
        self.allowance = 1
        self._slow_answers = 0

    def on_answer(
        self, latency: timedelta, reference_latency: timedelta | None, slots: int
    ) -> None:
        """Count a successful answer; `reference_latency` is the median of warm peers."""
        if self.allowance is None:
            return
        if reference_latency is not None and latency > reference_latency * _SLOW_FACTOR:
            self._slow_answers += 1
            if self._slow_answers % _SLOW_ANSWERS_PER_INCREASE:
                return
        self.allowance += 1
        if self.allowance > slots:
            self.allowance = None


class EndpointState:
    """Observations and hints about one endpoint.

    Parameters
    ----------
    endpoint
        Its name, location and capacity.
    cold
        Whether it starts cold, as an endpoint that joins a running service does.
    """

    def __init__(self, endpoint: Endpoint, *, cold: bool = False) -> None:
        self.endpoint = endpoint
        self.key = f"slots/{endpoint.name}"
        self.running = 0
        self.failures = 0
        self.latency: timedelta | None = None
        self.slow_start = SlowStart()
        self.ejected_until: timedelta | None = None
        self._ejections = 0
        self._report: LoadReport | None = None
        self._shed_backoff_until: timedelta | None = None
        self._consecutive_sheds = 0
        self._last_shed_at: timedelta | None = None
        self._drain_honored_until: timedelta | None = None
        self._last_used: timedelta | None = None
        if cold:
            self.slow_start.begin()

    @property
    def cold(self) -> bool:
        """Whether the endpoint is warming up."""
        return self.slow_start.allowance is not None

    @property
    def failing(self) -> bool:
        """Whether this entry's last requests to the endpoint all failed."""
        return self.failures >= FAILURES_TO_EJECT

    def is_ejected(self, now: timedelta) -> bool:
        """Return whether the endpoint is ejected now, after failures or for a reported drain."""
        return _is_future(self.ejected_until, now) or _is_future(self._drain_honored_until, now)

    def usable(self, now: timedelta) -> bool:
        """Return whether another request may be sent to the endpoint now."""
        if self.is_ejected(now) or _is_future(self._shed_backoff_until, now):
            return False
        if self.failing:
            return self.running == 0
        allowance = self.slow_start.allowance
        return allowance is None or self.running < allowance

    def accepts(self, req: Request, now: timedelta) -> bool:
        """Return whether this request may be sent; only idempotent ones probe after an ejection."""
        if req.idempotent or not self.failing or self.ejected_until is None:
            return True
        return now >= self.ejected_until + PROBE_GRACE

    def load(self, now: timedelta) -> float:
        """Return the reported fraction of slots in use, or a default without a recent report."""
        report = self._fresh_report(now)
        return _DEFAULT_LOAD if report is None else report.running / max(1, report.slots)

    def outlier(self, reference_latency: timedelta | None) -> bool:
        """Return whether the endpoint is far slower than its peers."""
        if reference_latency is None or self.latency is None:
            return False
        return self.latency > reference_latency * _OUTLIER_FACTOR

    def reports_draining(self, now: timedelta) -> bool:
        """Return whether a recent report announces a drain."""
        report = self._fresh_report(now)
        return report is not None and report.state == "draining"

    def drain_confirmed(self, now: timedelta) -> bool:
        """Return whether a reported drain is confirmed by a recent refusal of a request."""
        if not self.reports_draining(now) or self._last_shed_at is None:
            return False
        return now - self._last_shed_at <= MAX_REPORT_AGE

    def on_report(self, report: LoadReport) -> None:
        """Record a report, unless one that was requested later is already recorded."""
        last = self._report
        if last is not None and report.at < last.at:
            return
        # Only a change to "cold" restarts the slow start, or an endpoint that always reports it
        # would never warm up.
        if report.state == "cold" and (last is None or last.state != "cold"):
            self.slow_start.begin()
        if report.state != "draining":
            self._drain_honored_until = None
        self._report = report

    def honor_drain_until(self, until: timedelta | None) -> None:
        """Eject the endpoint until `until` because it reports a drain; None ends the ejection."""
        self._drain_honored_until = until

    def honors_drain(self, now: timedelta) -> bool:
        """Return whether the endpoint is ejected now because it reports a drain."""
        return _is_future(self._drain_honored_until, now)

    def eject(self, now: timedelta) -> None:
        """Eject the endpoint for a time that doubles with each ejection, up to a bound."""
        self.ejected_until = now + min(
            _MAX_EJECTION, _INITIAL_EJECTION * 2 ** min(self._ejections, 8)
        )
        self._ejections += 1

    def on_shed(self, now: timedelta) -> None:
        """Back off after a refusal, for longer with each consecutive one up to a bound."""
        backoff = min(
            _MAX_SHED_BACKOFF, _INITIAL_SHED_BACKOFF * 2 ** min(self._consecutive_sheds, 8)
        )
        self._consecutive_sheds += 1
        self._shed_backoff_until = now + backoff
        self._last_shed_at = now

    def on_started(self, now: timedelta) -> None:
        """Count a request sent to the endpoint; after a long idle time it is treated as cold."""
        idle = self._last_used is not None and now - self._last_used > _IDLE_UNTIL_COLD
        if idle and not self.running and not self.cold:
            self.slow_start.begin()
        self.running += 1
        self._last_used = now

    def on_finished(self, now: timedelta) -> None:
        """Count the end of a request, whatever its result."""
        self.running = max(0, self.running - 1)
        self._last_used = now

    def on_result(self, ok: bool, latency: timedelta, reference_latency: timedelta | None) -> None:
        """Record the result of a request."""
        if not ok:
            self.failures += 1
            return
        if self.failing:
            self.slow_start.begin()
        self.failures = 0
        self.ejected_until = None
        self._consecutive_sheds = 0
        self._ejections = max(0, self._ejections - 1)
        old = self.latency
        self.latency = latency if old is None else old + (latency - old) * _LATENCY_EWMA_WEIGHT
        self.slow_start.on_answer(latency, reference_latency, self.endpoint.slots)

    def _fresh_report(self, now: timedelta) -> LoadReport | None:
        report = self._report
        if report is None or now - report.at > MAX_REPORT_AGE:
            return None
        return report


def may_eject(state: EndpointState, peers: Iterable[EndpointState], now: timedelta) -> bool:
    """Return whether `state` may be ejected too without exceeding `MAX_EJECTED_FRACTION`.

    `peers` are the endpoints of its service in its zone, itself included.
    """
    others = [peer for peer in peers if peer is not state]
    ejected = sum(peer.is_ejected(now) for peer in others)
    return ejected + 1 <= (len(others) + 1) * MAX_EJECTED_FRACTION


def median_latency(states: Iterable[EndpointState]) -> timedelta | None:
    """Return the median latency of the warm, healthy endpoints, or None if none has answered."""
    warm = [s.latency for s in states if s.latency is not None and not s.cold and not s.failing]
    return statistics.median_low(warm) if warm else None


class Candidate(t.NamedTuple):
    """A ranked endpoint; candidates sort in order of preference."""

    full: bool
    degraded: bool
    negated_free_slots: int
    load: float
    order: int
    state: EndpointState


def rank(
    states: Sequence[EndpointState],
    free: t.Callable[[str], int],
    reference_latency: timedelta | None,
    now: timedelta,
) -> list[Candidate]:
    """Return the usable endpoints in order of preference, those without a free slot last.

    Observations come first: a free slot in this entry's share, then warm and healthy before cold,
    slow or failing. Ties are broken by the most free slots, the reported load and the given order.
    """
    ranked = []
    for order, state in enumerate(states):
        if not state.usable(now):
            continue
        free_slots = free(state.key)
        degraded = state.failing or state.cold or state.outlier(reference_latency)
        ranked.append(
            Candidate(free_slots < 1, degraded, -free_slots, state.load(now), order, state)
        )
    ranked.sort(key=lambda c: c[:5])
    return ranked


def _is_future(instant: timedelta | None, now: timedelta) -> bool:
    return instant is not None and instant > now
