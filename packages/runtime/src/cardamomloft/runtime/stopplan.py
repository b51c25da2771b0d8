"""When the phases of a graceful stop end."""

import typing as t
from datetime import timedelta

ADMIT_FRACTION = 0.5
"""Fraction of the stop time during which new requests are still served, since callers may use an
earlier look-up. After it the listener closes, and callers try another entry."""

MAX_ADMIT_TIME = timedelta(seconds=3)
"""Maximum time for which new requests are served. Look-ups are valid for less, and a request that
is accepted later could outlast the stop."""

ANSWER_FRACTION = 0.85
"""Fraction of the stop time by which requests in the queue are expected to be answered; others are
refused, which leaves time to write the refusals before the end."""

END_FRACTION = 0.92
"""Fraction of the stop time after which the process ends regardless of requests in flight."""

MIN_END_FRACTION = 5 / 6
"""Fraction of the stop time for which requests in flight are not cut, even if it is not known when
the signal was sent."""


class StopSignal(t.NamedTuple):
    """When a process was told to stop.

    A process that gets no processor time handles a signal late, and can't tell when it was sent.

    Attributes
    ----------
    sent_after
        Monotonic instant at which it was not sent yet.
    handled
        Monotonic instant at which it was handled.
    """

    sent_after: timedelta
    handled: timedelta


class StopPlan(t.NamedTuple):
    """Monotonic instants at which the phases of a stop end.

    Attributes
    ----------
    admit_until
        New requests are refused from then on.
    answer_by
        Requests that wait are refused if they can't be answered by then.
    end_at
        The process ends then, whatever is in flight.
    """

    admit_until: timedelta
    answer_by: timedelta
    end_at: timedelta


def plan_stop(signal: StopSignal, stop_time: timedelta) -> StopPlan:
    """Return when the phases of a stop end.

    Parameters
    ----------
    signal
        The signal.
    stop_time
        Time from the signal to the end of the process by force.
    """
    sent_after, handled = signal
    return StopPlan(
        admit_until=sent_after + min(stop_time * ADMIT_FRACTION, MAX_ADMIT_TIME),
        answer_by=sent_after + stop_time * ANSWER_FRACTION,
        end_at=max(sent_after + stop_time * END_FRACTION, handled + stop_time * MIN_END_FRACTION),
    )
