"""What an entry expects of an endpoint: its load, and how long an answer will take."""

from datetime import timedelta

from cardamomloft.core.upstreamtable import LoadReport, Upstream

REPORT_LIFE = timedelta(seconds=1)
"""How long a load report says more than this entry's own counts; it fades out over this time.

An endpoint's load turns over in about its waiting plus working time, some hundred milliseconds.
"""

SMOOTHING = 1 / 8
"""Weight of the newest value in a smoothed one: the last dozen count."""

_ZERO = timedelta(0)


def expected_load(upstream: Upstream, now: timedelta, usual: float = 0.0) -> float:
    """Return how many requests an endpoint probably has, running and waiting.

    The last report holds for all entries together; what this entry has sent since is added. With
    the report's age others' part of it turns into what is usual.

    Parameters
    ----------
    upstream
        The endpoint.
    now
        Monotonic instant.
    usual
        Other entries' requests at an endpoint of which nothing is known, in parts of its slots.
    """
    unknown = usual * upstream.registration.slots
    report = upstream.report
    if report is None or now - report.at >= REPORT_LIFE:
        return upstream.in_flight + unknown
    aged = (now - report.at) / REPORT_LIFE
    return upstream.in_flight + others_load(report) * (1 - aged) + unknown * aged


def others_load(report: LoadReport) -> int:
    """Return how many requests of other entries an endpoint had by its report."""
    return max(0, report.running + report.waiting - report.own)


def expected_time(upstream: Upstream, load: float) -> timedelta:
    """Return how long an answer will take from an endpoint with `load` requests, if known."""
    if upstream.service_time is None:
        return _ZERO
    return upstream.service_time * max(1.0, (load + 1) / upstream.registration.slots)


def described(upstream: Upstream, now: timedelta) -> str:
    """Return an endpoint's load with the age of the report that it rests on, for a log line."""
    report = upstream.report
    known = (
        "no report" if report is None else f"report {(now - report.at).total_seconds():.3f} s old"
    )
    return (
        f"{upstream.id} {expected_load(upstream, now):.1f}/{upstream.registration.slots} ({known})"
    )
