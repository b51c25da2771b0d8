"""The load of an endpoint whose statements are shared.

Addresses a load condition of many entries with frequent statements: the estimate for unshared
loads gives a statement less weight as it ages, since nothing else is heard of the other entries.
With shared loads the next statement arrives within a few hundred milliseconds, and a load that is
reduced by age makes a busy endpoint look half idle until then.
"""

from datetime import timedelta

from cardamomloft.core.estimates import REPORT_MAX_AGE, expected_load, others_load
from cardamomloft.core.upstreamtable import Upstream


def shared_load(upstream: Upstream, now: timedelta) -> float:
    """Return the expected number of requests at an endpoint, running and waiting.

    A statement counts in full until it is too old to count at all.
    """
    report = upstream.report
    if report is None or now - report.at >= REPORT_MAX_AGE:
        return expected_load(upstream, now)
    return upstream.in_flight + others_load(report)
