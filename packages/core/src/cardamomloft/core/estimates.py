"""Estimates of an endpoint's load and of the time until it answers."""

from datetime import timedelta

from cardamomloft.core.upstreamtable import LoadReport, Upstream

REPORT_MAX_AGE = timedelta(seconds=1)
"""Age at which a load report no longer counts; its weight decreases linearly until then.

The requests at an endpoint are replaced by others within a few hundred milliseconds.
"""

SMOOTHING_FACTOR = 1 / 8
"""Weight of the newest sample in an exponential moving average."""

_ZERO = timedelta(0)


def expected_load(upstream: Upstream, now: timedelta, assumed: float = 0.0) -> float:
    """Return the expected number of requests at an endpoint, running and waiting.

    This is the sum of this entry's own requests in flight and of the other entries' requests by
    the last load report. As the report ages, the latter are blended into the assumed load.

    Parameters
    ----------
    upstream
        The endpoint.
    now
        Monotonic instant.
    assumed
        Load by other entries that is assumed without a report, in multiples of the slots.
    """
    fallback = assumed * upstream.registration.slots
    report = upstream.report
    if report is None or now - report.at >= REPORT_MAX_AGE:
        return upstream.in_flight + fallback
    aged = (now - report.at) / REPORT_MAX_AGE
    return upstream.in_flight + others_load(report) * (1 - aged) + fallback * aged


def others_load(report: LoadReport) -> int:
    """Return the number of requests of other entries according to a load report."""
    return max(0, report.running + report.waiting - report.own)


def expected_time(upstream: Upstream, load: float) -> timedelta:
    """Return the expected time to an answer at this load; 0 if the service time is unknown."""
    if upstream.service_time is None:
        return _ZERO
    return upstream.service_time * max(1.0, (load + 1) / upstream.registration.slots)


def describe_load(upstream: Upstream, now: timedelta) -> str:
    """Return an endpoint's expected load and the age of its last report, for a log line."""
    report = upstream.report
    age = "no report" if report is None else f"report {(now - report.at).total_seconds():.3f} s old"
    return f"{upstream.id} {expected_load(upstream, now):.1f}/{upstream.registration.slots} ({age})"
