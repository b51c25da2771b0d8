"""The generated parts of docs/CAPACITY.md and the plots of the series."""

import pathlib
import re
import typing as t
from collections.abc import Mapping, Sequence

from slopes_fit import Fit, Series, fit
from slopes_roles import ROLES, Plan, Row, over_ranges, rows

Results = dict[str, t.Any]
"""What docs/capacity.json holds: series, constants, plan, rows and where it was measured."""

_MARK = "<!-- {edge}: {part} -->"
_SIZES = (("GB", 1e9), ("MB", 1e6), ("KB", 1e3))
_DIGITS = 3
_PLOT_WIDTH = 3.2
_PLOT_HEIGHT = 2.4
_PLOT_COLUMNS = 4
_PLOT_DPI = 60


def series_of(results: Results) -> list[Series]:
    """Return the measured series of a results file."""
    return [
        Series(**{**row, "points": tuple((size, value) for size, value in row["points"])})
        for row in results["series"]
    ]


def fits_of(results: Results) -> dict[str, Fit]:
    """Return the line through each series of a results file."""
    return {series.name: fit(series) for series in series_of(results)}


def rows_of(results: Results) -> list[Row]:
    """Work the rows out anew from a results file's series and constants."""
    return rows(fits_of(results), results["constants"], Plan(**results["plan"]))


def render(results: Results) -> dict[str, str]:
    """Return the generated parts of the page by name."""
    return {
        "run": _run(results),
        "roles": "\n\n".join(_role_table(role, results) for role in ROLES),
        "over": _over_list(results),
        "slopes": _slope_table(results),
    }


def fill_parts(page: str, parts: Mapping[str, str]) -> str:
    """Return the page with each part between its marks.

    Raises
    ------
    ValueError
        If the marks of a part are not there.
    """
    for name, text in parts.items():
        begin, end = (_MARK.format(edge=edge, part=name) for edge in ("begin", "end"))
        pattern = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", re.DOTALL)
        if not pattern.search(page):
            raise ValueError(f"the page has no marks for {name}")
        page = pattern.sub(lambda _, text=text, b=begin, e=end: f"{b}\n{text}\n{e}", page)
    return page


def format_value(value: float, unit: str) -> str:
    """Return a value with its unit, to three digits."""
    if unit.startswith("bytes"):
        rate = unit.removeprefix("bytes")
        for name, size in _SIZES:
            if value >= size:
                return f"{_digits(value / size)} {name}{rate}"
        return f"{_digits(value)} B{rate}"
    return f"{_digits(value)} {unit}"


def _digits(value: float) -> str:
    if value >= 10**_DIGITS:
        return f"{value:,.0f}"
    return f"{value:.{_DIGITS}g}"


def _run(results: Results) -> str:
    run = results["run"]
    subjects = ", ".join(f"{name} {spent:.0f} s" for name, spent in run["seconds"].items())
    return (
        f"Measured {run['when']} at commit {run['commit']}, {run['cores']} cores, "
        f"Python {run['python']}, load average {run['load_before']:.1f} before and "
        f"{run['load_after']:.1f} after ({run['load_note']}). "
        f"Whole run {sum(run['seconds'].values()):.0f} s: {subjects}."
    )


def _role_table(role: str, results: Results) -> str:
    lines = [
        f"### {role[0].upper()}{role[1:]}",
        "",
        "| | What | Worked out | Limit | Over at (entries) | Mechanism | From |",
        "|---|---|---|---|---|---|---|",
    ]
    ranges = over_ranges(fits_of(results), results["constants"])
    for row, found in zip(rows_of(results), ranges, strict=True):
        if row.role == role:
            lines.append(_role_line(row, ", ".join(map(_range_text, found))))
    return "\n".join(lines)


def _role_line(row: Row, size: str) -> str:
    limit = "" if row.limit is None else format_value(row.limit, row.unit)
    worked = format_value(row.value, row.unit)
    if row.over:
        worked = f"**OVER: {worked}**"
    names = ", ".join(f"`{name}`" for name in row.series) or "the plan"
    return (
        f"| {row.aspect} | {row.what} | {worked} | {limit} | {size} | {row.mechanism} | {names} |"
    )


def _range_text(found: tuple[int, int | None]) -> str:
    first, last = found
    if last is None:
        return f"from {first:,}"
    return f"{first:,} to {last:,}"


def _over_list(results: Results) -> str:
    found = [
        f"- **{row.role}**: {row.what}, {format_value(row.value, row.unit)} against "
        f"{format_value(t.cast(float, row.limit), row.unit)}"
        for row in rows_of(results)
        if row.over
    ]
    return "\n".join(found) or "No row is over its limit."


def _slope_table(results: Results) -> str:
    lines = [
        "| Series | Against | Sizes | Values | Line | R² | Source |",
        "|---|---|---|---|---|---|---|",
    ]
    for series in series_of(results):
        line = fit(series)
        variable = "log2(n)" if series.scale == "log2" else "n"
        sizes = ", ".join(_digits(size) for size, _ in series.points)
        values = ", ".join(_digits(value) for _, value in series.points)
        lines.append(
            f"| `{series.name}` ({series.unit}) | {series.against} | {sizes} | {values} "
            f"| {line.slope:.3g} {variable} {'+' if line.intercept >= 0 else '-'} "
            f"{abs(line.intercept):.3g} | {line.r2:.3f} | {series.source} |"
        )
    return "\n".join(lines)


def subjects(all_series: Sequence[Series]) -> dict[str, list[Series]]:
    """Return the series by subject, the first part of their names."""
    found: dict[str, list[Series]] = {}
    for series in all_series:
        found.setdefault(series.name.partition(".")[0], []).append(series)
    return found


def draw(all_series: Sequence[Series], folder: pathlib.Path) -> None:
    """Write one plot a subject: the points of each series and the line through them."""
    import matplotlib

    matplotlib.use("Agg")
    for subject, members in subjects(all_series).items():
        _draw_subject(members, folder / f"{subject}.png")


def _draw_subject(members: Sequence[Series], path: pathlib.Path) -> None:
    from matplotlib import pyplot

    columns = min(_PLOT_COLUMNS, len(members))
    lines = -(-len(members) // columns)
    size = (_PLOT_WIDTH * columns, _PLOT_HEIGHT * lines)
    figure, axes = pyplot.subplots(lines, columns, figsize=size, squeeze=False)
    for axis in axes.flat[len(members) :]:
        axis.set_visible(False)
    for axis, series in zip(axes.flat, members, strict=False):
        sizes, values = zip(*series.points, strict=True)
        line = fit(series)
        axis.plot(sizes, values, "o", sizes, [line.at(one) for one in sizes], "-")
        axis.set_title(f"{series.name}, R² {line.r2:.3f}", fontsize=8)
        axis.set_xlabel(series.against, fontsize=7)
        axis.set_ylabel(series.unit, fontsize=7)
        axis.tick_params(labelsize=6)
        axis.set_ylim(bottom=0)
        if series.scale == "log2":
            axis.set_xscale("log", base=2)
    figure.tight_layout()
    figure.savefig(path, dpi=_PLOT_DPI, metadata={"Software": None})
    pyplot.close(figure)
