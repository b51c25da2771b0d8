"""What an entry expects of an endpoint: its load, and how long an answer will take."""

from datetime import timedelta

from cardamomloft.core.registrations import Upstream

REPORT_LIFE = timedelta(seconds=1)
"""How long a load report says more than this entry's own counts; it fades out over this time.

An endpoint's load turns over in about its waiting plus working time, some hundred milliseconds.
"""

SMOOTHING = 1 / 8
"""Weight of the newest value in a smoothed one: the last dozen count."""

_ZERO = timedelta(0)


def expected_load(upstream: Upstream, now: timedelta) -> float:
    """Return how many requests an endpoint probably has, running and waiting.

    The last report holds for all entries together; what this entry has sent since is added, and
    others' part of it fades with the report's age.
    """
    report = upstream.report
    own = upstream.in_flight
    if report is None:
        return own
    age = now - report.at
    if age >= REPORT_LIFE:
        return own
    others = max(0, report.running + report.waiting - report.own)
    return own + others * (1 - age / REPORT_LIFE)


def expected_time(upstream: Upstream, load: float) -> timedelta:
    """Return how long an answer will take from an endpoint with `load` requests, if known."""
    if upstream.work is None:
        return _ZERO
    return upstream.work * max(1.0, (load + 1) / upstream.registration.slots)


def described(upstream: Upstream, now: timedelta) -> str:
    """Return an endpoint's load with the age of the report that it rests on, for a log line."""
    report = upstream.report
    known = (
        "no report" if report is None else f"report {(now - report.at).total_seconds():.3f} s old"
    )
    return (
        f"{upstream.id} {expected_load(upstream, now):.1f}/{upstream.registration.slots} ({known})"
    )
