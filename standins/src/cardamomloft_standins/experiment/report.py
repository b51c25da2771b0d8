"""Summary of callers' results under each policy, as a table and as a plot."""

import statistics
import typing as t
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path

from cardamomloft_standins.experiment.callers import Outcome

WINDOW_S = 2
"""Length of the time windows over which credit is averaged, in seconds."""


class Summary(t.NamedTuple):
    """Statistics of one simulation run.

    Attributes
    ----------
    requests
        Number of requests.
    credit
        Mean credit of a request.
    worst
        Minimum over all windows of `WINDOW_S` of the mean credit.
    served, late, refused, failed
        Fractions of the requests.
    warm
        Fraction of the answered requests whose key was cached.
    p50_ms, p99_ms
        Percentiles of the time to an answer.
    """

    requests: int
    credit: float
    worst: float
    served: float
    late: float
    refused: float
    failed: float
    warm: float
    p50_ms: float
    p99_ms: float


def summarize(outcomes: Sequence[Outcome]) -> Summary:
    """Return the statistics of a run with at least one request."""
    states = Counter(outcome.state for outcome in outcomes)
    answered = [outcome for outcome in outcomes if outcome.credit]
    times = sorted(outcome.took * 1000 for outcome in answered) or [0.0]
    count = len(outcomes)
    return Summary(
        requests=count,
        credit=sum(outcome.credit for outcome in outcomes) / count,
        worst=min(by_window(outcomes).values()),
        **{state: states[state] / count for state in ("served", "late", "refused", "failed")},
        warm=sum(outcome.warm for outcome in answered) / max(1, len(answered)),
        p50_ms=times[len(times) // 2],
        p99_ms=times[len(times) * 99 // 100],
    )


class Spread(t.NamedTuple):
    """Statistics of several runs with different seeds.

    Attributes
    ----------
    median
        The median of each statistic.
    min_credit, max_credit
        Range of the runs' mean credit.
    """

    median: Summary
    min_credit: float
    max_credit: float


def spread(summaries: Sequence[Summary]) -> Spread:
    """Return the medians and the credit range of one or more runs."""
    medians = (statistics.median_low(column) for column in zip(*summaries, strict=True))
    credits = [summary.credit for summary in summaries]
    return Spread(Summary(*medians), min(credits), max(credits))


def by_window(outcomes: Sequence[Outcome]) -> dict[float, float]:
    """Return the mean credit of the requests in each window, by its start in seconds."""
    credits: dict[float, list[float]] = {}
    for outcome in outcomes:
        credits.setdefault(outcome.at // WINDOW_S * WINDOW_S, []).append(outcome.credit)
    return {start: sum(found) / len(found) for start, found in sorted(credits.items())}


def table(spreads: Mapping[str, Spread]) -> str:
    """Return a text table with a row per policy: the medians and the credit range."""
    heads = ["policy", *Summary._fields, "least", "most"]
    rows = [
        [
            name,
            *map(_format_value, found.median),
            _format_value(found.min_credit),
            _format_value(found.max_credit),
        ]
        for name, found in spreads.items()
    ]
    widths = [max(map(len, column)) for column in zip(heads, *rows, strict=True)]
    lines = (
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in (heads, *rows)
    )
    return "\n".join(lines)


def _format_value(value: float) -> str:
    if isinstance(value, int):
        return str(value)
    return f"{value:.3f}" if value <= 1 else f"{value:.0f}"


def plot(runs: Mapping[str, Sequence[Outcome]], title: str, path: Path) -> None:
    """Plot the credit over time under each policy to the file `path`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    for name, outcomes in runs.items():
        windows = by_window(outcomes)
        axes.plot(list(windows), list(windows.values()), marker=".", label=name)
    axes.set(title=title, xlabel="time of request (s)", ylabel="mean credit", ylim=(0, 1.02))
    axes.legend(loc="lower left", fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
