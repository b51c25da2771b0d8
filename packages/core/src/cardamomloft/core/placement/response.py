"""Expected response time of an endpoint: waiting by its load, and work by the cache state.

These estimates address uneven load between endpoints (hashing of keys, bursts, a swing of demand
between regions) and noise, in which work on an endpoint's machine takes a multiple of its time.
"""

import math

from cardamomloft.core.estimates import REPORT_MAX_AGE, others_load
from cardamomloft.core.upstreamtable import LoadReport, Upstream

WORK_PERCENT_MAX_AGE_S = 0.6
"""Age in seconds at which a stated work time no longer counts; its weight decreases linearly.

Noise lasts about this long, so a statement made at a random instant of it holds for a part of it.
"""

USUAL_PERCENT = 100

MAX_AGE_S = REPORT_MAX_AGE.total_seconds()
"""Age in seconds at which a load report no longer counts."""


def report_age(upstream: Upstream, now_s: float) -> float:
    """Return the age of an endpoint's load report in seconds; infinite if there is none.

    `now_s` is a monotonic instant in seconds.
    """
    report = upstream.report
    return math.inf if report is None else now_s - report.at.total_seconds()


def shared_load(upstream: Upstream, age_s: float, usual: float) -> float:
    """Return the expected number of requests at an endpoint, running and waiting.

    Requests that this gateway has sent count at once. Those of others are taken from the report,
    and blended into the usual load as the report ages.

    Parameters
    ----------
    upstream
        The endpoint.
    age_s
        Age of its report in seconds.
    usual
        Average load of the service's endpoints by other gateways, in multiples of their slots.
    """
    usual *= upstream.registration.slots
    if age_s >= MAX_AGE_S or upstream.report is None:
        return upstream.in_flight + usual
    others = others_load(upstream.report)
    return upstream.in_flight + others + (usual - others) * age_s / MAX_AGE_S


def slowdown(report: LoadReport | None, age_s: float) -> float:
    """Return the factor on work and waiting that the stated work time still implies."""
    if report is None or age_s >= WORK_PERCENT_MAX_AGE_S or report.work_percent == USUAL_PERCENT:
        return 1.0
    weight = 1 - age_s / WORK_PERCENT_MAX_AGE_S
    return 1 + (report.work_percent / USUAL_PERCENT - 1) * weight


def response_time(load: float, slots: int, work: float, mean_work: float, factor: float) -> float:
    """Return the expected time to an answer in seconds, without the latency of links.

    A slot becomes free every ``mean_work / slots`` seconds while all are taken, and the request
    starts after those that wait already.

    Parameters
    ----------
    load
        Requests at the endpoint, running and waiting.
    slots
        Its slots.
    work
        Work time of the request in seconds.
    mean_work
        Work time of the requests there, in seconds.
    factor
        Factor on all work at the endpoint.
    """
    ahead = max(0.0, load - slots + 1)
    return (ahead * mean_work / slots + work) * factor
