"""What an entry knows of one upstream endpoint: its own facts, and hints that age.

Facts are this entry's own requests: how many are in flight, how the last ones ended, how long
they took. Load reports and health lag and sometimes mislead; they order endpoints and may eject a
bounded part of a zone, and they count for nothing once they are old.
"""

import statistics
import typing as t
from collections.abc import Iterable, Sequence
from datetime import timedelta

from cardamomloft.core.model import Endpoint, Request

MAX_REPORT_AGE = timedelta(seconds=5)
"""After this a load report counts for nothing."""

FAILURES_TO_EJECT = 3
"""Failures in a row after which an endpoint is ejected, or its zone found dead."""

MAX_EJECTED = 0.5
"""The part of a zone's endpoints of a service that may be ejected at one time."""

PROBE_GRACE = timedelta(seconds=5)
"""How long only idempotent requests try an endpoint whose ejection has ended."""

_EJECTION = timedelta(seconds=1)
_MAX_EJECTION = timedelta(seconds=30)
_SHED_PAUSE = timedelta(milliseconds=50)
_MAX_SHED_PAUSE = timedelta(seconds=1)
_IDLE_UNTIL_COLD = timedelta(seconds=60)
_SLOW = 2.0
_OUTLIER = 3.0
_SLOW_ANSWERS = 16
_SMOOTHING = 1 / 8
_NO_HINT = 0.5

ReportState = t.Literal["ready", "draining", "cold"]


class LoadReport(t.NamedTuple):
    """What an endpoint said of itself; `at` is the monotonic instant at which it was asked."""

    running: int
    slots: int
    state: ReportState
    at: timedelta


class SlowStart:
    """Bounds the requests in flight at a cold endpoint.

    It starts at one and gains one with each answer that is about as fast as those of warm peers.
    Slow answers lift it too, but seldom, so that an endpoint that stays slower is not kept out.
    """

    def __init__(self) -> None:
        self.allowance: int | None = None
        self._slow_answers = 0

    def begin(self) -> None:
        """Treat the endpoint as cold from now on."""
        self.allowance = 1
        self._slow_answers = 0

    def on_answer(self, latency: timedelta, reference: timedelta | None, slots: int) -> None:
        """Count one good answer; `reference` is the usual latency of warm peers."""
        if self.allowance is None:
            return
        if reference is not None and latency > reference * _SLOW:
            self._slow_answers += 1
            if self._slow_answers % _SLOW_ANSWERS:
                return
        self.allowance += 1
        if self.allowance > slots:
            self.allowance = None


class EndpointState:
    """Facts and hints about one endpoint.

    Parameters
    ----------
    endpoint
        Where it is and what it can bear.
    cold
        Whether it starts cold, as one does that joined a running service.
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
        self._shed_until: timedelta | None = None
        self._sheds = 0
        self._shed_at: timedelta | None = None
        self._drain_heeded_until: timedelta | None = None
        self._last_used: timedelta | None = None
        if cold:
            self.slow_start.begin()

    @property
    def cold(self) -> bool:
        """Whether the endpoint is still warming up."""
        return self.slow_start.allowance is not None

    @property
    def failing(self) -> bool:
        """Whether this entry's own last requests there all failed."""
        return self.failures >= FAILURES_TO_EJECT

    def out(self, now: timedelta) -> bool:
        """Tell whether the endpoint is ejected at this moment, by facts or by its report."""
        return _ahead(self.ejected_until, now) or _ahead(self._drain_heeded_until, now)

    def usable(self, now: timedelta) -> bool:
        """Tell whether another request may go there as far as facts and hints tell."""
        if self.out(now) or _ahead(self._shed_until, now):
            return False
        if self.failing:
            return self.running == 0
        allowance = self.slow_start.allowance
        return allowance is None or self.running < allowance

    def suits(self, req: Request, now: timedelta) -> bool:
        """Tell whether to risk this request; one that is not idempotent avoids what just failed."""
        if req.idempotent or not self.failing or self.ejected_until is None:
            return True
        return now >= self.ejected_until + PROBE_GRACE

    def load(self, now: timedelta) -> float:
        """Return the reported part of its slots in use; a middle value if no report is fresh."""
        report = self._fresh(now)
        return _NO_HINT if report is None else report.running / max(1, report.slots)

    def outlier(self, reference: timedelta | None) -> bool:
        """Tell whether it answers far more slowly than its peers."""
        if reference is None or self.latency is None:
            return False
        return self.latency > reference * _OUTLIER

    def says_draining(self, now: timedelta) -> bool:
        """Tell whether a fresh report says so."""
        report = self._fresh(now)
        return report is not None and report.state == "draining"

    def confirmed_leaving(self, now: timedelta) -> bool:
        """Tell whether it says that it drains and has refused our work since: hint and fact."""
        if not self.says_draining(now) or self._shed_at is None:
            return False
        return now - self._shed_at <= MAX_REPORT_AGE

    def on_report(self, report: LoadReport) -> None:
        """Take in a report; one that was asked for earlier than the last is ignored."""
        last = self._report
        if last is not None and report.at < last.at:
            return
        # Only the change counts: a report that says "cold" for ever must not hold it down.
        if report.state == "cold" and (last is None or last.state != "cold"):
            self.slow_start.begin()
        if report.state != "draining":
            self._drain_heeded_until = None
        self._report = report

    def heed_drain(self, until: timedelta | None) -> None:
        """Give it no new work until then on the strength of its report, or stop doing so."""
        self._drain_heeded_until = until

    def heeds_drain(self, now: timedelta) -> bool:
        """Tell whether its own report keeps new work away now."""
        return _ahead(self._drain_heeded_until, now)

    def eject(self, now: timedelta) -> None:
        """Give it no work for a time that doubles with each ejection up to a bound."""
        self.ejected_until = now + min(_MAX_EJECTION, _EJECTION * 2 ** min(self._ejections, 8))
        self._ejections += 1

    def on_shed(self, now: timedelta) -> None:
        """Back off for a moment after it refused work; longer if it does so again and again."""
        pause = min(_MAX_SHED_PAUSE, _SHED_PAUSE * 2 ** min(self._sheds, 8))
        self._sheds += 1
        self._shed_until = now + pause
        self._shed_at = now

    def on_started(self, now: timedelta) -> None:
        """Count a request sent there; after a long idle time its caches count as cold."""
        idle = self._last_used is not None and now - self._last_used > _IDLE_UNTIL_COLD
        if idle and not self.running and not self.cold:
            self.slow_start.begin()
        self.running += 1
        self._last_used = now

    def on_finished(self, now: timedelta) -> None:
        """Count the end of a request, however it ended."""
        self.running = max(0, self.running - 1)
        self._last_used = now

    def on_result(self, ok: bool, latency: timedelta, reference: timedelta | None) -> None:
        """Take in how a request ended."""
        if not ok:
            self.failures += 1
            return
        if self.failing:
            self.slow_start.begin()
        self.failures = 0
        self.ejected_until = None
        self._sheds = 0
        self._ejections = max(0, self._ejections - 1)
        old = self.latency
        self.latency = latency if old is None else old + (latency - old) * _SMOOTHING
        self.slow_start.on_answer(latency, reference, self.endpoint.slots)

    def _fresh(self, now: timedelta) -> LoadReport | None:
        report = self._report
        if report is None or now - report.at > MAX_REPORT_AGE:
            return None
        return report


def may_eject(state: EndpointState, peers: Iterable[EndpointState], now: timedelta) -> bool:
    """Tell whether ejecting `state` keeps the bound; `peers` are its zone's, itself included."""
    others = [peer for peer in peers if peer is not state]
    out = sum(peer.out(now) for peer in others)
    return out + 1 <= (len(others) + 1) * MAX_EJECTED


def usual_latency(states: Iterable[EndpointState]) -> timedelta | None:
    """Return the median latency of the warm endpoints, if any has answered."""
    known = [s.latency for s in states if s.latency is not None and not s.cold and not s.failing]
    return statistics.median_low(known) if known else None


class Candidate(t.NamedTuple):
    """An endpoint with what this entry may still send there; sorts the better one first."""

    full: bool
    poor: bool
    used: int
    load: float
    order: int
    state: EndpointState


def rank(
    states: Sequence[EndpointState],
    free: t.Callable[[str], int],
    reference: timedelta | None,
    now: timedelta,
) -> list[Candidate]:
    """Return the usable endpoints, the best first, those without a free slot last.

    Facts come first: room in this entry's share, warm and sound before cold, slow or failing.
    Then the most room, then the reported load, then the given order.
    """
    ranked = []
    for order, state in enumerate(states):
        if not state.usable(now):
            continue
        room = free(state.key)
        poor = state.failing or state.cold or state.outlier(reference)
        ranked.append(Candidate(room < 1, poor, -room, state.load(now), order, state))
    ranked.sort(key=lambda c: c[:5])
    return ranked


def _ahead(instant: timedelta | None, now: timedelta) -> bool:
    return instant is not None and instant > now
