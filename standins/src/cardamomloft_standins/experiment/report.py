"""What callers got under each policy, as a table and as a plot."""

import statistics
import typing as t
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path

from cardamomloft_standins.experiment.callers import Outcome

WINDOW_S = 2
"""Length of the windows whose worst is reported, in seconds."""


class Summary(t.NamedTuple):
    """Figures of one play.

    Attributes
    ----------
    requests
        Callers' requests.
    credit
        Mean credit of a request.
    worst
        The least mean credit of a window of `WINDOW_S`.
    served, late, refused, failed
        Parts of the requests.
    warm
        Part of the answered requests whose object was at hand.
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
    """Return the figures of a play, which must have had requests."""
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
    """Figures of several plays with different seeds.

    Attributes
    ----------
    median
        Each figure's median.
    least, most
        The least and the greatest credit of a play.
    """

    median: Summary
    least: float
    most: float


def spread(summaries: Sequence[Summary]) -> Spread:
    """Return the medians of one or more plays, and between what their credit lies."""
    medians = (statistics.median_low(column) for column in zip(*summaries, strict=True))
    credits = [summary.credit for summary in summaries]
    return Spread(Summary(*medians), min(credits), max(credits))


def by_window(outcomes: Sequence[Outcome]) -> dict[float, float]:
    """Return the mean credit of the requests of each window, by its begin in seconds."""
    credits: dict[float, list[float]] = {}
    for outcome in outcomes:
        credits.setdefault(outcome.at // WINDOW_S * WINDOW_S, []).append(outcome.credit)
    return {begin: sum(found) / len(found) for begin, found in sorted(credits.items())}


def table(spreads: Mapping[str, Spread]) -> str:
    """Return one line for each policy: medians, and the least and greatest credit."""
    heads = ["policy", *Summary._fields, "least", "most"]
    rows = [
        [name, *map(_text, found.median), _text(found.least), _text(found.most)]
        for name, found in spreads.items()
    ]
    widths = [max(map(len, column)) for column in zip(heads, *rows, strict=True)]
    lines = (
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in (heads, *rows)
    )
    return "\n".join(lines)


def _text(value: float) -> str:
    if isinstance(value, int):
        return str(value)
    return f"{value:.3f}" if value <= 1 else f"{value:.0f}"


def plot(plays: Mapping[str, Sequence[Outcome]], title: str, path: Path) -> None:
    """Draw the credit of each window under each policy to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    for name, outcomes in plays.items():
        windows = by_window(outcomes)
        axes.plot(list(windows), list(windows.values()), marker=".", label=name)
    axes.set(title=title, xlabel="time of asking (s)", ylabel="mean credit", ylim=(0, 1.02))
    axes.legend(loc="lower left", fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
